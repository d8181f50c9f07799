//! The estimate of one gateway of which upstreams are cold, and until when.

use std::collections::BTreeMap;

use crate::{fleet::listing::Upstream, id::UpstreamId, time::Millis};

/// The greatest age that an entry may have when it is received, in ms: one
/// heartbeat of the upstream plus the delay through the store and the peers.
/// An entry that reports an upstream as warm says nothing about the last
/// `ENTRY_LAG_MS` before its receipt.
const ENTRY_LAG_MS: u64 = 2_000;

/// The greatest difference between the reported and the estimated remaining
/// cold time at which an entry is not an update, in ms. Heartbeats are not
/// evenly spaced and differ by this much.
const COLD_TOLERANCE_MS: u64 = 300;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct ColdPeriod {
    until: Millis,
    /// An entry received before this time may have been written before the
    /// upstream became cold.
    uncertain_until: Millis,
}

/// The estimate of one gateway of which upstreams are cold.
///
/// An upstream counts as cold for as long as its last received entry states.
/// If an upstream may have become cold without an entry that says so, the
/// upstream counts as cold until the cold time has passed or a later entry
/// reports otherwise.
#[derive(Debug, Clone, Default)]
pub struct ColdEstimate {
    cold: BTreeMap<UpstreamId, ColdPeriod>,
    start_times: BTreeMap<UpstreamId, u64>,
}

impl ColdEstimate {
    /// Updates the estimate from an upstream's entry.
    ///
    /// `lasts_ms` is the time for which upstreams of the service are cold
    /// after a start, or 0 if they never are.
    pub fn update(&mut self, entry: &Upstream, lasts_ms: u64, now: Millis) {
        let id = &entry.id;
        let known = self.start_times.get(id).copied();
        if known > entry.started_at_ms && entry.started_at_ms.is_some() {
            // A delayed entry of an earlier start.
            return;
        }
        let has_restarted = known.is_some() && known < entry.started_at_ms;
        if let Some(started_at) = entry.started_at_ms {
            self.start_times.insert(id.clone(), started_at);
        }
        let until = now + entry.cold_for_ms;
        if entry.cold_for_ms > 0 {
            let reported = ColdPeriod { until, uncertain_until: now };
            self.cold.insert(id.clone(), reported);
        } else if has_restarted {
            self.mark_possibly_cold(id, lasts_ms, 0, now);
        } else if self.cold.get(id).is_some_and(|c| now >= c.uncertain_until) {
            self.cold.remove(id);
        }
    }

    /// Records that an upstream may have become cold `ago_ms` ago: its
    /// connection broke, no heartbeat arrived, or the evacuation of its data
    /// centre ended then.
    pub fn mark_possibly_cold(
        &mut self,
        id: &UpstreamId,
        lasts_ms: u64,
        ago_ms: u64,
        now: Millis,
    ) {
        let left_ms = lasts_ms.saturating_sub(ago_ms);
        if left_ms == 0 {
            return;
        }
        let lag_ms = ENTRY_LAG_MS.saturating_sub(ago_ms);
        let possible =
            ColdPeriod { until: now + left_ms, uncertain_until: now + lag_ms };
        let known = self.cold.entry(id.clone()).or_insert(possible);
        known.until = known.until.max(possible.until);
        known.uncertain_until =
            known.uncertain_until.max(possible.uncertain_until);
    }

    /// Reports whether an upstream counts as cold.
    pub fn is_cold(&self, id: &UpstreamId, now: Millis) -> bool {
        self.left_ms(id, now) > 0
    }

    /// Returns for how much longer an upstream counts as cold, in ms, or 0 if
    /// the upstream is warm.
    pub fn left_ms(&self, id: &UpstreamId, now: Millis) -> u64 {
        self.cold.get(id).map_or(0, |cold| cold.until.since(now))
    }

    /// Reports whether an entry differs from the `known` entry of the upstream
    /// only in the remaining cold time, and that time is as estimated.
    pub fn is_expected(
        &self,
        known: &Upstream,
        entry: &Upstream,
        now: Millis,
    ) -> bool {
        let left_ms = self.left_ms(&entry.id, now);
        let matches_estimate = entry.cold_for_ms > 0
            && left_ms > 0
            && left_ms.abs_diff(entry.cold_for_ms) <= COLD_TOLERANCE_MS;
        let cold_for_ms = known.cold_for_ms;
        matches_estimate && Upstream { cold_for_ms, ..entry.clone() } == *known
    }

    /// Removes expired records, and the records of upstreams for which `known`
    /// returns `false`.
    pub fn prune(&mut self, known: impl Fn(&UpstreamId) -> bool, now: Millis) {
        self.cold.retain(|id, cold| now < cold.until && known(id));
        self.start_times.retain(|id, _| known(id));
    }
}
