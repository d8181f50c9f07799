//! The latest changes of the platform's list, for whoever is a little behind.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    sync::Arc,
};

use super::listing::{ListingDelta, Upstream};
use crate::id::UpstreamId;

/// Which part of the list changes may be and still be worth telling by
/// themselves: a whole list takes as much as changes of all.
const WORTH_PART: usize = 2;

/// The latest changes of a list, without a gap between them.
#[derive(Debug, Clone, Default)]
pub struct RecentChanges {
    deltas: VecDeque<Arc<ListingDelta>>,
    /// How many upstreams these name together.
    named: usize,
}

impl RecentChanges {
    /// Takes in the next changes of a list with so many upstreams.
    pub fn note(&mut self, delta: ListingDelta, upstreams: usize) {
        let last = self.deltas.back().map(|last| last.version);
        if last.is_some_and(|last| delta.base_version > last) {
            *self = Self::default();
        }
        self.named += named(&delta);
        self.deltas.push_back(Arc::new(delta));
        while self.named > upstreams / WORTH_PART
            && let Some(oldest) = self.deltas.pop_front()
        {
            self.named -= named(&oldest);
        }
    }

    /// Returns all changes since a version as one; `None` if some of them are
    /// not known any more, or there are none. Whether the store was away is
    /// for who takes them in to say.
    pub fn since(&self, version: u64) -> Option<ListingDelta> {
        let newer: Vec<&Arc<ListingDelta>> = self
            .deltas
            .iter()
            .skip_while(|delta| delta.version <= version)
            .collect();
        let (first, last) = (newer.first()?, newer.last()?);
        if first.base_version > version {
            return None;
        }
        let mut changed: BTreeMap<&UpstreamId, &Arc<Upstream>> =
            BTreeMap::new();
        let mut gone: BTreeSet<&UpstreamId> = BTreeSet::new();
        for delta in &newer {
            for upstream in &delta.changed {
                gone.remove(&upstream.id);
                changed.insert(&upstream.id, upstream);
            }
            for id in &delta.removed {
                changed.remove(id);
                gone.insert(id);
            }
        }
        Some(ListingDelta {
            base_version: first.base_version,
            version: last.version,
            changed: changed.into_values().cloned().collect(),
            removed: gone.into_iter().cloned().collect(),
            after_outage: false,
        })
    }
}

fn named(delta: &ListingDelta) -> usize {
    delta.changed.len() + delta.removed.len()
}
