//! The permits of one gateway to send to cold and rate-limited upstreams.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::{PERMIT_LIFETIME_MS, PermitReply};
use crate::{id::UpstreamId, time::Millis};

/// The time for which an upstream is skipped after its grantor did not reply,
/// in ms.
const NO_REPLY_BACKOFF_MS: u64 = 150;

/// The request of a gateway for a permit to send one request to a cold or
/// rate-limited upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitRequest {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Identifies the permit request among those of one gateway, also across
    /// restarts of the gateway.
    pub number: u64,
}

/// A permit to send one request to a cold or rate-limited upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SendPermit {
    expires_at: Millis,
}

impl SendPermit {
    /// Reports whether the permit has not expired.
    pub fn is_valid(&self, now: Millis) -> bool {
        now < self.expires_at
    }
}

/// The permits of one gateway to send to cold and rate-limited upstreams.
///
/// The lifetime of a permit starts when the permit is requested, so that a
/// late reply grants nothing. A reply counts once, however often the reply
/// arrives.
#[derive(Debug, Clone)]
pub struct SendPermits {
    next_number: u64,
    pending: BTreeMap<u64, (UpstreamId, Millis)>,
    held: BTreeMap<UpstreamId, Vec<SendPermit>>,
    denied_until: BTreeMap<UpstreamId, Millis>,
}

impl SendPermits {
    /// Creates an empty set of permits.
    ///
    /// `first` is the number of the first permit request. The caller draws it
    /// at random, so that no reply to an earlier start of this gateway counts.
    pub fn new(first: u64) -> Self {
        Self {
            next_number: first,
            pending: BTreeMap::new(),
            held: BTreeMap::new(),
            denied_until: BTreeMap::new(),
        }
    }

    /// Creates and records a permit request, which the caller sends to the
    /// grantor.
    pub fn request(
        &mut self,
        upstream: &UpstreamId,
        now: Millis,
    ) -> PermitRequest {
        let number = self.next_number;
        self.next_number = self.next_number.wrapping_add(1);
        self.pending.insert(number, (upstream.clone(), now));
        PermitRequest { upstream: upstream.clone(), number }
    }

    /// Processes the grantor's reply to the permit request with this number.
    ///
    /// A reply to a request that is not pending is ignored.
    pub fn on_reply(&mut self, number: u64, reply: PermitReply, now: Millis) {
        let Some((upstream, requested_at)) = self.pending.remove(&number)
        else {
            return;
        };
        match reply {
            PermitReply::Granted => {
                let expires_at = requested_at + PERMIT_LIFETIME_MS;
                let held = self.held.entry(upstream).or_default();
                held.push(SendPermit { expires_at });
            }
            PermitReply::Denied { retry_after_ms } => {
                let until = now + u64::from(retry_after_ms);
                self.denied_until.insert(upstream, until);
            }
        }
    }

    /// Records that the grantor of an upstream did not reply in time.
    pub fn on_timeout(&mut self, upstream: &UpstreamId, now: Millis) {
        let until = now + NO_REPLY_BACKOFF_MS;
        let known = self.denied_until.entry(upstream.clone()).or_default();
        *known = until.max(*known);
    }

    /// Reports whether a valid permit for an upstream is held.
    pub fn has(&self, upstream: &UpstreamId, now: Millis) -> bool {
        let held = self.held.get(upstream);
        held.is_some_and(|held| held.iter().any(|one| one.is_valid(now)))
    }

    /// Removes and returns a valid permit for an upstream, or `None` if none
    /// is held.
    pub fn take(
        &mut self,
        upstream: &UpstreamId,
        now: Millis,
    ) -> Option<SendPermit> {
        let held = self.held.get_mut(upstream)?;
        held.retain(|one| one.is_valid(now));
        held.pop()
    }

    /// Returns the time for which no permit for an upstream should be
    /// requested, in ms, or 0 if one may be requested now.
    pub fn denied_ms(&self, upstream: &UpstreamId, now: Millis) -> u64 {
        let until = self.denied_until.get(upstream);
        until.map_or(0, |until| until.since(now))
    }

    /// Removes expired permits, permit requests and denials.
    pub fn prune(&mut self, now: Millis) {
        self.pending.retain(|_, (_, at)| now.since(*at) < PERMIT_LIFETIME_MS);
        self.denied_until.retain(|_, until| now < *until);
        self.held.retain(|_, held| {
            held.retain(|one| one.is_valid(now));
            !held.is_empty()
        });
    }
}
