//! What a workspace may use, over all instances together.
//!
//! A workspace's limit is split in two. Half is divided evenly over the
//! instances that the deployment may have, and belongs to each without
//! asking. The other half is granted for a while by the holder of the
//! placement lease, by demand. Grants expire on the receiver's own clock
//! before they expire in the grantor's book, and a new grantor waits until
//! its predecessor's grants are over; so the shares never sum to more than
//! the limit, also between instances that cannot reach each other.

#[cfg(test)]
mod tests;

use std::collections::BTreeMap;

use crate::{
    id::{InstanceId, WorkspaceId},
    time::Millis,
};

/// The part of a limit that is divided evenly, without asking.
pub const EVEN_PART: f64 = 0.5;

/// Tokens that come in at a rate and can be saved up for a while.
#[derive(Debug, Clone)]
pub struct TokenBucket {
    rate_per_second: f64,
    burst: f64,
    tokens: f64,
    filled: Millis,
}

impl TokenBucket {
    /// Makes a full bucket that saves up `burst_s` seconds of its rate.
    pub fn new(rate_per_second: f64, burst_s: f64, now: Millis) -> Self {
        let burst = (rate_per_second * burst_s).max(1.0);
        Self { rate_per_second, burst, tokens: burst, filled: now }
    }

    /// Changes the rate, and what can be saved up with it.
    pub fn set_rate(&mut self, rate: f64, burst_s: f64, now: Millis) {
        self.fill(now);
        self.rate_per_second = rate;
        self.burst = (rate * burst_s).max(1.0);
        self.tokens = self.tokens.min(self.burst);
    }

    /// Takes tokens if there are enough.
    ///
    /// # Errors
    ///
    /// In how many ms there will be enough.
    pub fn try_take(&mut self, tokens: f64, now: Millis) -> Result<(), u64> {
        self.fill(now);
        // More than can ever be saved up is let through on a full bucket and
        // leaves a debt, or it could never be taken at all.
        let needed = tokens.min(self.burst);
        if self.tokens >= needed {
            self.tokens -= tokens;
            return Ok(());
        }
        let missing = needed - self.tokens;
        let wait_s = missing / self.rate_per_second.max(f64::MIN_POSITIVE);
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let wait_ms = (wait_s * 1_000.0).ceil() as u64;
        Err(wait_ms.max(1))
    }

    /// Makes an empty bucket, for a budget that another may just have spent.
    pub fn new_empty(rate: f64, burst_s: f64, now: Millis) -> Self {
        let mut bucket = Self::new(rate, burst_s, now);
        bucket.tokens = 0.0;
        bucket
    }

    /// Returns how many whole tokens there are.
    pub fn available(&mut self, now: Millis) -> usize {
        self.fill(now);
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let whole = self.tokens.max(0.0) as usize;
        whole
    }

    /// Gives back tokens that were taken and not used.
    pub fn give_back(&mut self, tokens: f64) {
        self.tokens = (self.tokens + tokens).min(self.burst);
    }

    fn fill(&mut self, now: Millis) {
        #[allow(clippy::cast_precision_loss)]
        let elapsed_s = now.since(self.filled) as f64 / 1_000.0;
        let tokens = self.tokens + elapsed_s * self.rate_per_second;
        self.tokens = tokens.min(self.burst);
        self.filled = now;
    }
}

/// Returns an instance's share of a limit without any grant.
#[allow(clippy::cast_precision_loss)]
pub fn even_share(limit: f64, max_instances: u32) -> f64 {
    limit * EVEN_PART / f64::from(max_instances.max(1))
}

/// A granted part of a workspace's limits.
#[derive(
    Debug, Clone, Copy, PartialEq, serde::Serialize, serde::Deserialize,
)]
pub struct Grant {
    /// The part of each limit, from 0 to 1.
    pub part: f64,
    /// For how long, from when it was asked for, in ms.
    pub term_ms: u64,
}

#[derive(Debug, Clone, Copy)]
struct IssuedGrant {
    part: f64,
    until: Millis,
}

/// The book of the one instance that grants.
#[derive(Debug, Clone)]
pub struct Grantor {
    term_ms: u64,
    grants_from: Millis,
    given: BTreeMap<WorkspaceId, BTreeMap<InstanceId, Vec<IssuedGrant>>>,
}

impl Grantor {
    /// Opens the book of an instance that became the grantor at `now`.
    ///
    /// It grants nothing for one term, while its predecessor's grants run
    /// out.
    pub fn new(term_ms: u64, now: Millis) -> Self {
        let grants_from = now + term_ms;
        Self { term_ms, grants_from, given: BTreeMap::new() }
    }

    /// Grants an instance a part of a workspace's limits by its demand.
    ///
    /// `demand` is what each instance asked for lately, in any one unit.
    pub fn grant(
        &mut self,
        workspace: &WorkspaceId,
        instance: &InstanceId,
        demand: &BTreeMap<InstanceId, f64>,
        now: Millis,
    ) -> Grant {
        let none = Grant { part: 0.0, term_ms: self.term_ms };
        if now < self.grants_from {
            return none;
        }
        let total: f64 = demand.values().sum();
        let own = demand.get(instance).copied().unwrap_or(0.0);
        if total <= 0.0 || own <= 0.0 {
            return none;
        }
        let wanted = (1.0 - EVEN_PART) * own / total;
        let part = wanted.min(self.left_for(workspace, instance, now));
        // Earlier grants still run and stay in the book: the receiver keeps
        // to the newest, but that one may be lost on its way.
        let until = now + self.term_ms;
        let given = self.given.entry(workspace.clone()).or_default();
        let given = given.entry(instance.clone()).or_default();
        given.retain(|g| g.until > now);
        given.push(IssuedGrant { part, until });
        Grant { part, term_ms: self.term_ms }
    }

    /// Returns what is left beside the other instances' running grants.
    fn left_for(
        &self,
        workspace: &WorkspaceId,
        instance: &InstanceId,
        now: Millis,
    ) -> f64 {
        let given = self.given.get(workspace).into_iter().flatten();
        let others: f64 = given
            .filter(|(other, _)| *other != instance)
            .map(|(_, given)| largest_running(given, now))
            .sum();
        (1.0 - EVEN_PART - others).max(0.0)
    }
}

fn largest_running(given: &[IssuedGrant], now: Millis) -> f64 {
    let running = given.iter().filter(|g| g.until > now);
    running.map(|g| g.part).fold(0.0, f64::max)
}

/// A grant as its receiver uses it.
#[derive(Debug, Clone, Copy, Default)]
pub struct HeldGrant {
    part: f64,
    asked: Millis,
    until: Millis,
}

impl HeldGrant {
    /// Takes in a grant that was asked for at `asked`.
    ///
    /// Its term counts from the asking, so it is over here before it is over
    /// in the grantor's book. One that a newer one overtook is left out.
    pub fn receive(&mut self, grant: Grant, asked: Millis) {
        if asked < self.asked {
            return;
        }
        self.asked = asked;
        self.part = grant.part;
        self.until = asked + grant.term_ms;
    }

    /// Returns the share of a limit at `now`, the even part among it.
    pub fn share(&self, limit: f64, max_instances: u32, now: Millis) -> f64 {
        let granted = if now < self.until { self.part } else { 0.0 };
        even_share(limit, max_instances) + limit * granted
    }
}
