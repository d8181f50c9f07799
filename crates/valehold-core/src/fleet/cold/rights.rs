//! The rights of one gateway to send to cold upstreams.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::{RIGHT_HOLDS_MS, RightAnswer};
use crate::{id::UpstreamId, time::Millis};

/// For how long an upstream is passed over whose grantor did not answer, in
/// ms.
const UNANSWERED_MS: u64 = 150;

/// A gateway's wish to send one request to a cold upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RightAsk {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Tells the wishes of one gateway apart, also over its restarts.
    pub number: u64,
}

/// The right to send one request to a cold upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SendRight {
    until: Millis,
}

impl SendRight {
    /// Tells whether it still holds.
    pub fn holds(&self, now: Millis) -> bool {
        now < self.until
    }
}

/// The rights of one gateway to send to cold upstreams.
///
/// A right holds for a time after it was asked for, so that a late answer
/// gives none; and an answer counts once, however often it comes.
#[derive(Debug, Clone)]
pub struct SendRights {
    next: u64,
    asked: BTreeMap<u64, (UpstreamId, Millis)>,
    held: BTreeMap<UpstreamId, Vec<SendRight>>,
    denied_until: BTreeMap<UpstreamId, Millis>,
}

impl SendRights {
    /// Makes the rights of a gateway that has none; `first` is drawn at
    /// random, so that no answer to an earlier start counts.
    pub fn new(first: u64) -> Self {
        Self {
            next: first,
            asked: BTreeMap::new(),
            held: BTreeMap::new(),
            denied_until: BTreeMap::new(),
        }
    }

    /// Begins to ask for a right.
    pub fn ask(&mut self, upstream: &UpstreamId, now: Millis) -> RightAsk {
        let number = self.next;
        self.next = self.next.wrapping_add(1);
        self.asked.insert(number, (upstream.clone(), now));
        RightAsk { upstream: upstream.clone(), number }
    }

    /// Takes in a grantor's answer.
    pub fn answered(&mut self, number: u64, answer: RightAnswer, now: Millis) {
        let Some((upstream, asked)) = self.asked.remove(&number) else {
            return;
        };
        match answer {
            RightAnswer::Granted => {
                let until = asked + RIGHT_HOLDS_MS;
                let held = self.held.entry(upstream).or_default();
                held.push(SendRight { until });
            }
            RightAnswer::Denied { next_ms } => {
                let until = now + u64::from(next_ms);
                self.denied_until.insert(upstream, until);
            }
        }
    }

    /// Notes that a grantor did not answer.
    pub fn unanswered(&mut self, upstream: &UpstreamId, now: Millis) {
        let until = now + UNANSWERED_MS;
        let known = self.denied_until.entry(upstream.clone()).or_default();
        *known = until.max(*known);
    }

    /// Tells whether there is a right for an upstream.
    pub fn has(&self, upstream: &UpstreamId, now: Millis) -> bool {
        let held = self.held.get(upstream);
        held.is_some_and(|held| held.iter().any(|one| one.holds(now)))
    }

    /// Takes a right for an upstream, if there is one.
    pub fn take(
        &mut self,
        upstream: &UpstreamId,
        now: Millis,
    ) -> Option<SendRight> {
        let held = self.held.get_mut(upstream)?;
        held.retain(|one| one.holds(now));
        held.pop()
    }

    /// Returns for how much longer it makes no sense to ask for a right, in
    /// ms; 0 if it does.
    pub fn denied_ms(&self, upstream: &UpstreamId, now: Millis) -> u64 {
        let until = self.denied_until.get(upstream);
        until.map_or(0, |until| until.since(now))
    }

    /// Forgets what is over.
    pub fn sweep(&mut self, now: Millis) {
        self.asked.retain(|_, (_, at)| now.since(*at) < RIGHT_HOLDS_MS);
        self.denied_until.retain(|_, until| now < *until);
        self.held.retain(|_, held| {
            held.retain(|one| one.holds(now));
            !held.is_empty()
        });
    }
}
