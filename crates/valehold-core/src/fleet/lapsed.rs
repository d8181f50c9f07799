//! Upstreams that fell off the list while the platform's store was away.
//!
//! Upstreams write to the list in the store. While that is away they cannot,
//! and their entries lapse although they serve on. Those that live are back
//! on the list soon after the store is; who is still missing then is gone.
//! Those that are missing stay in use for a part of that time.

use std::{collections::BTreeMap, sync::Arc};

use super::listing::{Listing, Upstream};
use crate::{id::UpstreamId, time::Millis};

/// For how long after the store's return a missing upstream stays in use, in
/// ms.
///
/// Whether the store was away for all or for this instance alone cannot be
/// told. An upstream that is gone without a word must get nothing new two
/// seconds after the store said so, and up to 0.8 s pass until all instances
/// have heard of it: this is what is left, less a margin.
const MAY_BE_MISSING_MS: u64 = 1_000;

/// For how long the store must have failed to count as away, in ms.
const AWAY_MS: u64 = 1_000;

/// Whether the store was away until a moment ago.
///
/// Only failures count: for how long nothing was heard says nothing, since
/// watches last long, and this process may itself have stood still.
#[derive(Debug, Clone, Copy, Default)]
pub struct StorePresence {
    failing_since: Option<Millis>,
    heard: Option<Millis>,
    returned: Option<Millis>,
}

impl StorePresence {
    /// Notes that a call failed that lasted for some ms; tells whether that
    /// says anything of the store as it is now.
    ///
    /// A call that began before the store answered another one tells of an
    /// earlier time. Taken for news, it had gateways look for a store that
    /// was back for two seconds.
    pub fn failed(&mut self, lasted_ms: u64, now: Millis) -> bool {
        let answered_since =
            self.heard.is_some_and(|heard| now.since(heard) < lasted_ms);
        if !answered_since {
            self.failing_since.get_or_insert(now);
        }
        !answered_since
    }

    /// Notes that a call was answered.
    pub fn heard(&mut self, now: Millis) {
        self.heard = Some(now);
        let failed = self.failing_since.take();
        if failed.is_some_and(|since| now.since(since) >= AWAY_MS) {
            self.returned = Some(now);
        }
    }

    /// Tells whether it has just come back: entries may have lapsed.
    pub fn has_just_returned(&self, now: Millis) -> bool {
        let returned = self.returned;
        returned.is_some_and(|at| now.since(at) < MAY_BE_MISSING_MS)
    }
}

#[derive(Debug, Clone)]
struct Lapsed {
    upstream: Arc<Upstream>,
    until: Millis,
}

/// Upstreams that fell off the list while the store was away.
#[derive(Debug, Clone, Default)]
pub struct LapsedUpstreams {
    lapsed: BTreeMap<UpstreamId, Lapsed>,
}

impl LapsedUpstreams {
    /// Keeps an upstream that is missing, unless it said that it leaves.
    pub fn keep(&mut self, upstream: &Arc<Upstream>, now: Millis) {
        if upstream.leaving {
            return;
        }
        let upstream = upstream.clone();
        let id = upstream.id.clone();
        let until = now + MAY_BE_MISSING_MS;
        self.lapsed.entry(id).or_insert(Lapsed { upstream, until });
    }

    /// Lets time pass, with those that are listed; returns which are not
    /// kept any more.
    pub fn pass(&mut self, listing: &Listing, now: Millis) -> Vec<UpstreamId> {
        let is_over = |id: &UpstreamId, one: &mut Lapsed| {
            now >= one.until || listing.upstreams.contains_key(id)
        };
        let over = self.lapsed.extract_if(.., is_over);
        over.map(|(id, _)| id).collect()
    }

    /// Returns an upstream that is kept.
    pub fn get(&self, id: &UpstreamId) -> Option<&Arc<Upstream>> {
        self.lapsed.get(id).map(|one| &one.upstream)
    }

    /// Returns those that are kept.
    pub fn ids(&self) -> impl Iterator<Item = &UpstreamId> {
        self.lapsed.keys()
    }

    /// Tells whether an upstream is kept.
    pub fn contains(&self, id: &UpstreamId) -> bool {
        self.lapsed.contains_key(id)
    }
}
