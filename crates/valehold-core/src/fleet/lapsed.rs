//! Upstreams that fell off the list while the platform's store was away.
//!
//! Upstreams write to the list in the store. While that is away they cannot,
//! and their entries lapse although they serve on. Those that live are back
//! on the list soon after the store is; who is still missing then is gone.

use std::{collections::BTreeMap, sync::Arc};

use super::listing::{Listing, Upstream};
use crate::{id::UpstreamId, time::Millis};

/// For how long after the store's return an upstream may be missing, in ms.
const MAY_BE_MISSING_MS: u64 = 2_200;

/// For how long a store that fails must not have been heard to count as away,
/// in ms.
const AWAY_MS: u64 = 1_000;

/// The same for one that did not say so: it answers watches within less.
const SILENT_MS: u64 = 2_800;

/// Whether the store was away until a moment ago.
#[derive(Debug, Clone, Copy, Default)]
pub struct StorePresence {
    heard: Option<Millis>,
    fails: bool,
    returned: Option<Millis>,
}

impl StorePresence {
    /// Notes that a call failed.
    pub fn failed(&mut self) {
        self.fails = true;
    }

    /// Notes that a call was answered.
    pub fn heard(&mut self, now: Millis) {
        let gap = self.heard.map_or(0, |heard| now.since(heard));
        let was_away = gap >= SILENT_MS || (self.fails && gap >= AWAY_MS);
        if was_away {
            self.returned = Some(now);
        }
        self.heard = Some(now);
        self.fails = false;
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

    /// Lets time pass, with those that are listed; tells whether fewer are
    /// kept now.
    pub fn pass(&mut self, listing: &Listing, now: Millis) -> bool {
        let before = self.lapsed.len();
        self.lapsed.retain(|id, one| {
            now < one.until && !listing.upstreams.contains_key(id)
        });
        self.lapsed.len() < before
    }

    /// Adds those that are kept to a list.
    pub fn add_to(&self, listing: &mut Listing) {
        for (id, one) in &self.lapsed {
            let entry = listing.upstreams.entry(id.clone());
            entry.or_insert_with(|| one.upstream.clone());
        }
    }

    /// Tells whether an upstream is kept.
    pub fn contains(&self, id: &UpstreamId) -> bool {
        self.lapsed.contains_key(id)
    }
}
