//! The most recent changes of the platform's list.
//!
//! A peer whose list is a few versions old gets these changes instead of the
//! whole list.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    sync::Arc,
};

use super::listing::{ListingDelta, Upstream};
use crate::id::UpstreamId;

/// Changes are kept as long as the number of their entries is at most the
/// number of listed upstreams divided by this. The whole list is as large as
/// changes of all upstreams, so more changes would save little.
const LIST_SIZE_DIVISOR: usize = 2;

/// The most recent changes of a list, without a gap between the deltas.
#[derive(Debug, Clone, Default)]
pub struct RecentChanges {
    deltas: VecDeque<Arc<ListingDelta>>,
    /// The number of changed and removed entries in all deltas.
    entries: usize,
}

impl RecentChanges {
    /// Adds the next delta of a list that has `upstreams` entries. Discards
    /// all earlier deltas if changes between the last delta and this one are
    /// missing, and the oldest deltas if there are too many entries.
    pub fn record(&mut self, delta: ListingDelta, upstreams: usize) {
        let last = self.deltas.back().map(|last| last.version);
        if last.is_some_and(|last| delta.base_version > last) {
            *self = Self::default();
        }
        self.entries += entry_count(&delta);
        self.deltas.push_back(Arc::new(delta));
        while self.entries > upstreams / LIST_SIZE_DIVISOR
            && let Some(oldest) = self.deltas.pop_front()
        {
            self.entries -= entry_count(&oldest);
        }
    }

    /// Returns all changes since a version as one delta, or `None` if there
    /// are no such changes or some of the changes are no longer kept.
    ///
    /// `after_outage` of the delta is always `false`: the caller that applies
    /// the delta has to set the field.
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
        let mut removed: BTreeSet<&UpstreamId> = BTreeSet::new();
        for delta in &newer {
            for upstream in &delta.changed {
                removed.remove(&upstream.id);
                changed.insert(&upstream.id, upstream);
            }
            for id in &delta.removed {
                changed.remove(id);
                removed.insert(id);
            }
        }
        Some(ListingDelta {
            base_version: first.base_version,
            version: last.version,
            changed: changed.into_values().cloned().collect(),
            removed: removed.into_iter().cloned().collect(),
            after_outage: false,
        })
    }
}

fn entry_count(delta: &ListingDelta) -> usize {
    delta.changed.len() + delta.removed.len()
}
