//! Identifies one start of an upstream.
//!
//! An upstream may restart under the same name. The restarted process holds no
//! models and has no state of the process before. Statistics, counters and
//! expectations therefore belong to one start, and maps use [`UpstreamStart`]
//! as their key: a restart gets a new key, and a late report about an earlier
//! start still finds the entry of that start. [`StartTimes`] records the
//! latest start of each upstream, so that a stale report cannot replace the
//! latest start with an earlier one.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{
    id::{UpstreamId, UpstreamTag},
    time::Millis,
};

/// One start of an upstream.
#[derive(
    Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct UpstreamStart {
    /// The upstream.
    pub id: UpstreamId,
    /// The start time in ms of the upstream's own clock, or `None` if the
    /// upstream does not report a start time.
    pub started_at_ms: Option<u64>,
}

impl UpstreamStart {
    /// Returns a 32-bit hash of the name and the start time, which tells this
    /// start from other starts.
    #[allow(clippy::cast_possible_truncation)]
    pub fn tag(&self) -> UpstreamTag {
        let seed = self.started_at_ms.unwrap_or(0);
        let hash = xxh3_64_with_seed(self.id.as_str().as_bytes(), seed);
        UpstreamTag::new(hash as u32)
    }
}

/// How long after the last report about a start a report about an earlier
/// start counts as late, in ms. No message is in transit for longer. After
/// this time, an earlier start time means that a clock was set back, and the
/// report is about a newer start.
const LATE_REPORT_WINDOW_MS: u64 = 600_000;

/// The interval at which entries of removed upstreams are pruned, in ms.
const PRUNE_INTERVAL_MS: u64 = 60_000;

/// The latest start of an upstream.
#[derive(Debug, Clone, Copy)]
struct LatestStart {
    started_at_ms: u64,
    reported_at: Millis,
}

/// The latest start time of each upstream that reports start times.
///
/// Start times order the starts of an upstream: a report with an earlier start
/// time is stale even if the report arrives later than others. A report
/// without a start time counts as a report about the latest start.
#[derive(Debug, Clone, Default)]
pub struct StartTimes {
    latest: BTreeMap<UpstreamId, LatestStart>,
    pruned_at: Millis,
}

impl StartTimes {
    /// Records the start time that a report about an upstream states. Returns
    /// whether the report is about the latest start, rather than an earlier
    /// one.
    pub fn record(
        &mut self,
        id: &UpstreamId,
        started_at_ms: Option<u64>,
        now: Millis,
    ) -> bool {
        let Some(started_at_ms) = started_at_ms else { return true };
        let reported = LatestStart { started_at_ms, reported_at: now };
        let latest = self.latest.entry(id.clone()).or_insert(reported);
        let is_recent = now.since(latest.reported_at) < LATE_REPORT_WINDOW_MS;
        if started_at_ms < latest.started_at_ms && is_recent {
            return false;
        }
        *latest = reported;
        true
    }

    /// Returns the start time of an upstream's latest start, or `None` if no
    /// start time is recorded.
    pub fn latest(&self, id: &UpstreamId) -> Option<u64> {
        self.latest.get(id).map(|latest| latest.started_at_ms)
    }

    /// Removes upstreams that had no report for `LATE_REPORT_WINDOW_MS` and
    /// for which `known` returns `false`. Does nothing if the last run was
    /// less than `PRUNE_INTERVAL_MS` ago.
    pub fn prune(&mut self, known: impl Fn(&UpstreamId) -> bool, now: Millis) {
        if now.since(self.pruned_at) < PRUNE_INTERVAL_MS {
            return;
        }
        self.pruned_at = now;
        self.latest.retain(|id, latest| {
            now.since(latest.reported_at) < LATE_REPORT_WINDOW_MS || known(id)
        });
    }
}
