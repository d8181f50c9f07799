//! Upstreams that have asked an instance to back off.
//!
//! An overloaded upstream rejects a request and states for how long it accepts
//! nothing from the instance that sent the request: no requests of any kind,
//! no queries and no orders. Such an answer is no failure of the upstream and
//! does not concern the rejected request only, so backoffs are kept per
//! upstream. When a backoff ends, one request is sent as a probe, and other
//! requests follow when the probe was not rejected. If all waiting requests
//! were sent at once, they would overload the upstream again.

use std::{collections::BTreeMap, time::Duration};

use super::identity::UpstreamStart;
use crate::time::Millis;

/// The maximum backoff, in ms. A longer one is a configuration error of the
/// upstream. After the maximum, one request probes the upstream, which may ask
/// for another backoff.
const MAX_BACKOFF_MS: u64 = 600_000;

/// How long the probe after a backoff is the only request, in ms. Upstreams
/// reject requests within a few ms, and a round trip to the most distant
/// region takes 100 ms.
const PROBE_MS: u64 = 200;

/// How long the record of a finished backoff is kept, in ms. If no request for
/// the upstream arrives in this time, the next one is sent without a probe.
const RETENTION_MS: u64 = 10_000;

/// Whether an instance may send to an upstream now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BackoffState {
    /// Requests may be sent.
    Ready,
    /// No requests may be sent.
    BackingOff {
        /// The time in ms until requests may be sent, unless the upstream asks
        /// for another backoff.
        remaining_ms: u64,
    },
}

/// The backoff of one upstream.
#[derive(Debug, Clone, Copy)]
struct Backoff {
    until: Millis,
    /// When the probe after the backoff was sent.
    probed_at: Option<Millis>,
}

impl Backoff {
    fn state(&self, now: Millis) -> BackoffState {
        let probe_until = self.probed_at.map(|sent| sent + PROBE_MS);
        let until = probe_until.unwrap_or(self.until);
        match until.since(now) {
            0 => BackoffState::Ready,
            remaining_ms => BackoffState::BackingOff { remaining_ms },
        }
    }
}

/// The upstreams that have asked one instance to back off.
#[derive(Debug, Clone, Default)]
pub struct UpstreamBackoffs {
    backoffs: BTreeMap<UpstreamStart, Backoff>,
}

impl UpstreamBackoffs {
    /// Records that an upstream asked for a backoff. Returns whether no other
    /// backoff of the upstream was in effect.
    ///
    /// Each answer asks independently of other answers, and answers may arrive
    /// in any order. Of several backoffs, the latest end applies.
    pub fn record(
        &mut self,
        upstream: &UpstreamStart,
        backoff: Duration,
        now: Millis,
    ) -> bool {
        let backoff_ms = Millis::from(backoff).get().min(MAX_BACKOFF_MS);
        if backoff_ms == 0 {
            return false;
        }
        let until = now + backoff_ms;
        let earlier = self.backoffs.get(upstream).map(|one| one.until);
        let until = earlier.map_or(until, |earlier| earlier.max(until));
        self.backoffs
            .insert(upstream.clone(), Backoff { until, probed_at: None });
        earlier.is_none_or(|earlier| earlier <= now)
    }

    /// Returns whether requests may be sent to an upstream, and if not, for
    /// how long.
    pub fn state(
        &self,
        upstream: &UpstreamStart,
        now: Millis,
    ) -> BackoffState {
        let backoff = self.backoffs.get(upstream);
        backoff.map_or(BackoffState::Ready, |backoff| backoff.state(now))
    }

    /// Returns whether requests may be sent to an upstream.
    pub fn is_ready(&self, upstream: &UpstreamStart, now: Millis) -> bool {
        self.state(upstream, now) == BackoffState::Ready
    }

    /// Returns whether a request may be sent to an upstream now. The first
    /// request after a backoff becomes the probe, and for `PROBE_MS` no other
    /// request is permitted.
    pub fn try_acquire(
        &mut self,
        upstream: &UpstreamStart,
        now: Millis,
    ) -> bool {
        if !self.is_ready(upstream, now) {
            return false;
        }
        if let Some(backoff) = self.backoffs.get_mut(upstream) {
            backoff.probed_at.get_or_insert(now);
        }
        true
    }

    /// Records that an upstream accepted a request, which removes a finished
    /// backoff. A backoff that is still in effect stays.
    pub fn record_accepted(&mut self, upstream: &UpstreamStart, now: Millis) {
        let is_over = |backoff: &Backoff| now >= backoff.until;
        if self.backoffs.get(upstream).is_some_and(is_over) {
            self.backoffs.remove(upstream);
        }
    }

    /// Returns whether no backoffs are recorded.
    pub fn is_empty(&self) -> bool {
        self.backoffs.is_empty()
    }

    /// Removes backoffs that ended `RETENTION_MS` ago or earlier, and backoffs
    /// of starts for which `known` returns `false`.
    pub fn prune(
        &mut self,
        known: impl Fn(&UpstreamStart) -> bool,
        now: Millis,
    ) {
        self.backoffs.retain(|start, backoff| {
            known(start) && now.since(backoff.until) < RETENTION_MS
        });
    }
}
