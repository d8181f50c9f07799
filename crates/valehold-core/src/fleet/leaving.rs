//! Upstreams that report in their answers that they are leaving.
//!
//! An upstream that is about to end reports this in its answers, because its
//! list entry cannot change during an outage of the platform's store and still
//! says that the upstream accepts requests. The report concerns one start of
//! the upstream and is final: no list entry and no report of another instance
//! revokes the report.

use std::collections::BTreeMap;

use super::identity::UpstreamStart;
use crate::time::Millis;

/// How long the report of a start is kept after the start was last known, in
/// ms. Without the report, an entry that lapsed during an outage of the store
/// or that arrives late would bring the upstream back. Outages that users plan
/// for are no longer than this.
const RETENTION_MS: u64 = 600_000;

/// The interval at which reports of removed upstreams are pruned, in ms.
const PRUNE_INTERVAL_MS: u64 = 60_000;

/// The minimum number of reports that are kept, and the number per known
/// upstream. All upstreams may be replaced within [`RETENTION_MS`], and an
/// upstream whose report is evicted before it has left gets requests again.
const MIN_CAPACITY: usize = 4_096;
const CAPACITY_PER_UPSTREAM: usize = 2;

/// The starts of upstreams that reported that they are leaving.
#[derive(Debug, Clone, Default)]
pub struct LeavingUpstreams {
    /// For each start the time of its report, or the time of the last pruning
    /// at which the start was known.
    last_known: BTreeMap<UpstreamStart, Millis>,
    pruned_at: Millis,
}

impl LeavingUpstreams {
    /// Records that a start of an upstream is leaving, and returns whether the
    /// report is new. `upstreams` is the number of known upstreams, which
    /// determines how many reports are kept. If there are too many, the oldest
    /// report is evicted.
    pub fn record(
        &mut self,
        start: &UpstreamStart,
        upstreams: usize,
        now: Millis,
    ) -> bool {
        if self.contains(start) {
            return false;
        }
        let capacity = MIN_CAPACITY.max(upstreams * CAPACITY_PER_UPSTREAM);
        if self.last_known.len() >= capacity {
            self.evict_oldest();
        }
        self.last_known.insert(start.clone(), now);
        true
    }

    fn evict_oldest(&mut self) {
        let oldest = self.last_known.iter().min_by_key(|(_, at)| **at);
        let oldest = oldest.map(|(start, _)| start.clone());
        if let Some(oldest) = oldest {
            self.last_known.remove(&oldest);
        }
    }

    /// Returns whether a start of an upstream reported that it is leaving.
    pub fn contains(&self, start: &UpstreamStart) -> bool {
        self.last_known.contains_key(start)
    }

    /// Returns all starts that reported that they are leaving.
    pub fn starts(&self) -> impl Iterator<Item = &UpstreamStart> {
        self.last_known.keys()
    }

    /// Removes the reports of starts for which `known` has returned `false`
    /// for `RETENTION_MS`. Does nothing if the last run was less than
    /// `PRUNE_INTERVAL_MS` ago.
    pub fn prune(
        &mut self,
        known: impl Fn(&UpstreamStart) -> bool,
        now: Millis,
    ) {
        if now.since(self.pruned_at) < PRUNE_INTERVAL_MS {
            return;
        }
        self.pruned_at = now;
        self.last_known.retain(|start, last_known| {
            if known(start) {
                *last_known = now;
            }
            now.since(*last_known) < RETENTION_MS
        });
    }
}
