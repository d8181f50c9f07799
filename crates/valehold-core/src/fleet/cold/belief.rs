//! Which upstreams are cold, as far as one gateway knows.

use std::collections::BTreeMap;

use crate::{fleet::listing::Upstream, id::UpstreamId, time::Millis};

/// By how much an entry may be older than the moment at which it is heard, in
/// ms: a heartbeat of the upstream, and its way over the store and peers. An
/// entry that says that an upstream is warm proves nothing of what happened
/// to it later than so long ago.
const ENTRY_LAG_MS: u64 = 2_000;

/// By how much another time than is believed already an upstream may say that
/// it is cold, in ms, for its entry to be no news: heartbeats come that
/// unevenly.
const COOLS_AS_BELIEVED_MS: u64 = 300;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Cold {
    until: Millis,
    /// Before this, an entry may be from before it became cold.
    doubted_until: Millis,
}

/// Which upstreams are cold, as far as one gateway knows.
///
/// An upstream is believed to be cold for as long as its entry said when it
/// was heard. Where something suggests that it may have become cold without an
/// entry that was heard, it is believed to be until its time is over or a
/// later entry says otherwise.
#[derive(Debug, Clone, Default)]
pub struct ColdBelief {
    cold: BTreeMap<UpstreamId, Cold>,
    births: BTreeMap<UpstreamId, u64>,
}

impl ColdBelief {
    /// Takes in an upstream's entry. `lasts_ms` tells for how long upstreams
    /// of its service are cold after a start, 0 if they never are.
    pub fn hear(&mut self, entry: &Upstream, lasts_ms: u64, now: Millis) {
        let id = &entry.id;
        let known = self.births.get(id).copied();
        if known > entry.started_at_ms && entry.started_at_ms.is_some() {
            // An earlier start's entry that comes late.
            return;
        }
        let is_reborn = known.is_some() && known < entry.started_at_ms;
        if let Some(birth) = entry.started_at_ms {
            self.births.insert(id.clone(), birth);
        }
        let until = now + entry.cold_for_ms;
        if entry.cold_for_ms > 0 {
            let told = Cold { until, doubted_until: now };
            self.cold.insert(id.clone(), told);
        } else if is_reborn {
            self.doubt(id, lasts_ms, 0, now);
        } else if self.cold.get(id).is_some_and(|c| now >= c.doubted_until) {
            self.cold.remove(id);
        }
    }

    /// Notes that an upstream may have become cold some ms ago: it broke a
    /// connection, was silent, or its data centre was evacuated until then.
    pub fn doubt(
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
        let doubted =
            Cold { until: now + left_ms, doubted_until: now + lag_ms };
        let known = self.cold.entry(id.clone()).or_insert(doubted);
        known.until = known.until.max(doubted.until);
        known.doubted_until = known.doubted_until.max(doubted.doubted_until);
    }

    /// Tells whether an upstream is believed to be cold.
    pub fn is_cold(&self, id: &UpstreamId, now: Millis) -> bool {
        self.left_ms(id, now) > 0
    }

    /// Returns for how much longer an upstream is believed to be cold, in ms.
    pub fn left_ms(&self, id: &UpstreamId, now: Millis) -> u64 {
        self.cold.get(id).map_or(0, |cold| cold.until.since(now))
    }

    /// Tells whether nothing changed in an entry since it was `known` but that
    /// its upstream is cold for less time, as is believed already.
    pub fn expects(
        &self,
        known: &Upstream,
        entry: &Upstream,
        now: Millis,
    ) -> bool {
        let left_ms = self.left_ms(&entry.id, now);
        let is_cooling = entry.cold_for_ms > 0
            && left_ms > 0
            && left_ms.abs_diff(entry.cold_for_ms) <= COOLS_AS_BELIEVED_MS;
        let cold_for_ms = known.cold_for_ms;
        is_cooling && Upstream { cold_for_ms, ..entry.clone() } == *known
    }

    /// Forgets what is over, and upstreams that are not `known`.
    pub fn sweep(&mut self, known: impl Fn(&UpstreamId) -> bool, now: Millis) {
        self.cold.retain(|id, cold| now < cold.until && known(id));
        self.births.retain(|id, _| known(id));
    }
}
