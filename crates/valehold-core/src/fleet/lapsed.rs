//! Upstreams whose list entries lapsed during an outage of the platform's
//! store.
//!
//! Upstreams renew their entries in the store. During an outage the entries
//! lapse, although the upstreams still serve. After the outage, a running
//! upstream is back on the list soon, and an upstream that stays missing is
//! gone. [`LapsedUpstreams`] keeps missing upstreams in use for a grace period
//! after the outage.

use std::{collections::BTreeMap, sync::Arc};

use super::listing::{Listing, Upstream};
use crate::{id::UpstreamId, time::Millis};

/// How long a missing upstream stays in use after an outage, in ms.
///
/// An instance cannot know whether the store was unavailable for all instances
/// or only for this one. An upstream that ends without notice must get no new
/// requests later than 2 s after the store reports the removal, and up to
/// 0.8 s of this time pass until all instances know about the removal. The
/// grace period is the remaining 1.2 s, less a margin.
const GRACE_MS: u64 = 1_000;

/// How long calls to the store must have failed to count as an outage, in ms.
const MIN_OUTAGE_MS: u64 = 1_000;

/// Whether an outage of the store ended recently.
///
/// Only failed calls count as an outage. The time since the last answer does
/// not, because watches last long and because this process may have been
/// suspended.
#[derive(Debug, Clone, Copy, Default)]
pub struct StoreAvailability {
    failing_since: Option<Millis>,
    answered_at: Option<Millis>,
    recovered_at: Option<Millis>,
}

impl StoreAvailability {
    /// Records a failed call that lasted for `lasted_ms`. Returns whether the
    /// failure says anything about the present state of the store.
    ///
    /// The failure of a call that began before the last answer to another call
    /// is out of date. When such failures counted, gateways took a store for
    /// lost that had been available again for two seconds.
    pub fn record_failure(&mut self, lasted_ms: u64, now: Millis) -> bool {
        let answered_since =
            self.answered_at.is_some_and(|at| now.since(at) < lasted_ms);
        if !answered_since {
            self.failing_since.get_or_insert(now);
        }
        !answered_since
    }

    /// Records an answered call.
    pub fn record_answer(&mut self, now: Millis) {
        self.answered_at = Some(now);
        let failed = self.failing_since.take();
        if failed.is_some_and(|since| now.since(since) >= MIN_OUTAGE_MS) {
            self.recovered_at = Some(now);
        }
    }

    /// Returns whether an outage ended less than `GRACE_MS` ago, so that
    /// entries missing on the list may have lapsed.
    pub fn has_just_recovered(&self, now: Millis) -> bool {
        let recovered = self.recovered_at;
        recovered.is_some_and(|at| now.since(at) < GRACE_MS)
    }
}

#[derive(Debug, Clone)]
struct Lapsed {
    upstream: Arc<Upstream>,
    until: Millis,
}

/// The upstreams that are missing on the list after an outage of the store
/// and that stay in use for a grace period.
#[derive(Debug, Clone, Default)]
pub struct LapsedUpstreams {
    lapsed: BTreeMap<UpstreamId, Lapsed>,
}

impl LapsedUpstreams {
    /// Keeps a missing upstream for the grace period, unless the upstream is
    /// leaving. Does not extend the grace period of an upstream that is
    /// already kept.
    pub fn keep(&mut self, upstream: &Arc<Upstream>, now: Millis) {
        if upstream.leaving {
            return;
        }
        let upstream = upstream.clone();
        let id = upstream.id.clone();
        let until = now + GRACE_MS;
        self.lapsed.entry(id).or_insert(Lapsed { upstream, until });
    }

    /// Removes upstreams that are listed again or whose grace period is over,
    /// and returns their names.
    pub fn prune(
        &mut self,
        listing: &Listing,
        now: Millis,
    ) -> Vec<UpstreamId> {
        let is_over = |id: &UpstreamId, one: &mut Lapsed| {
            now >= one.until || listing.upstreams.contains_key(id)
        };
        let over = self.lapsed.extract_if(.., is_over);
        over.map(|(id, _)| id).collect()
    }

    /// Returns the last entry of a kept upstream, or `None` if the upstream is
    /// not kept.
    pub fn get(&self, id: &UpstreamId) -> Option<&Arc<Upstream>> {
        self.lapsed.get(id).map(|one| &one.upstream)
    }

    /// Returns the names of the kept upstreams.
    pub fn ids(&self) -> impl Iterator<Item = &UpstreamId> {
        self.lapsed.keys()
    }

    /// Returns whether an upstream is kept.
    pub fn contains(&self, id: &UpstreamId) -> bool {
        self.lapsed.contains_key(id)
    }
}
