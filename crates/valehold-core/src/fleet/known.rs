//! The upstreams as one instance knows them.
//!
//! Four sources speak of an upstream: the platform's list, the holder of the
//! lease, which knows earlier than the list what engines hold since its
//! orders, the memory of those that fell off the list with the store, and the
//! upstream itself, which says in its answers that it leaves.
//! What they say together is kept up to date one upstream at a time, so that
//! a change costs what changed and not the whole list. An upstream may start
//! again under its name: what any source says of an earlier start changes
//! nothing, and of a later one voids what was said before.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use serde::{Deserialize, Serialize};

use super::{
    identity::{StartTimes, UpstreamStart},
    index::UpstreamIndex,
    lapsed::LapsedUpstreams,
    leaving::LeavingUpstreams,
    listing::{Holding, Listing, ListingDelta, Upstream, Upstreams},
    recent::RecentChanges,
    store_version::StoreVersion,
};
use crate::{id::UpstreamId, order::Stamp, time::Millis};

/// By how much the list may lag behind what the holder says, in ms.
const LIST_LAGS_MS: u64 = 2_500;

/// For how long it is kept that a start went from the list, in ms: copies from
/// which the store comes back are some seconds old.
const REMEMBER_GONE_MS: u64 = 60_000;

/// What an engine holds, as the holder of the lease knows it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineHolding {
    /// The engine.
    pub engine: UpstreamId,
    /// When the start of it began that holds this, in ms, if it says so.
    pub started_at_ms: Option<u64>,
    /// What it holds.
    pub holding: Holding,
    /// Orders what holders say of one engine.
    pub stamp: Stamp,
}

/// What the holder said of an engine.
#[derive(Debug, Clone)]
struct Told {
    birth: Option<u64>,
    holding: Holding,
    stamp: Stamp,
    at: Millis,
}

/// The upstreams as one instance knows them.
#[derive(Debug, Clone, Default)]
pub struct KnownUpstreams {
    /// The list as the platform gives it.
    rows: Listing,
    lapsed: LapsedUpstreams,
    told: BTreeMap<UpstreamId, Told>,
    leaving: LeavingUpstreams,
    start_times: StartTimes,
    /// Starts that went from the list lately, and when.
    gone: BTreeMap<UpstreamStart, Millis>,
    /// All four together.
    known: Arc<Listing>,
    /// The same by what they serve.
    index: UpstreamIndex,
    /// The latest changes of the list.
    recent: Arc<RecentChanges>,
    /// Those that changed since they were last taken.
    changed: BTreeSet<UpstreamId>,
}

impl KnownUpstreams {
    /// Returns the version of the platform's list; 0 before the first.
    pub fn version(&self) -> u64 {
        self.rows.version
    }

    /// Tells whether a list was ever taken in.
    pub fn has_list(&self) -> bool {
        self.rows.version > 0
    }

    /// Returns all that is known.
    pub fn listing(&self) -> &Arc<Listing> {
        &self.known
    }

    /// Returns which of them serve what.
    pub fn index(&self) -> &UpstreamIndex {
        &self.index
    }

    /// Returns the latest changes of the platform's list.
    pub fn recent(&self) -> &Arc<RecentChanges> {
        &self.recent
    }

    /// Returns an upstream's entry, as the platform's list has it.
    pub fn listed(&self, id: &UpstreamId) -> Option<&Arc<Upstream>> {
        self.rows.upstreams.get(id)
    }

    /// Returns those that are kept although they fell off the list.
    pub fn lapsed(&self) -> &LapsedUpstreams {
        &self.lapsed
    }

    /// Takes in a whole list, unless it is older than what is known; tells
    /// whether it was taken.
    ///
    /// `after_outage` tells whether the store was away until a moment ago, so
    /// that those that it misses may only have lapsed.
    pub fn replace(
        &mut self,
        mut listing: Listing,
        after_outage: bool,
        now: Millis,
    ) -> bool {
        if listing.version < self.rows.version || listing.version == 0 {
            return false;
        }
        self.void_earlier_starts(&mut listing, now);
        let known = self.rows.version;
        let is_copy = StoreVersion::is_later_era(listing.version, known);
        if is_copy && self.has_list() {
            self.leave_out_copied(&mut listing, now);
        }
        let after_outage = after_outage || is_copy;
        let before = std::mem::replace(&mut self.rows, listing);
        if after_outage {
            self.keep_missing(&before, now);
        }
        let listed = self.rows.upstreams.iter();
        let differ = listed.filter(|(id, upstream)| {
            before.upstreams.get(*id) != Some(*upstream)
        });
        let mut touched: BTreeSet<UpstreamId> =
            differ.map(|(id, _)| id.clone()).collect();
        let rows = &self.rows.upstreams;
        let gone = before.upstreams.keys();
        let gone = gone.filter(|id| !rows.contains_key(*id));
        let gone: Vec<UpstreamId> = gone.cloned().collect();
        self.note_gone(&before, &gone, now);
        touched.extend(gone);
        self.note_replaced(before.version, &touched);
        self.touch(touched);
        self.pass(now);
        true
    }

    /// Notes what a whole list changed, for peers that are as far behind as
    /// this one was.
    fn note_replaced(&mut self, before: u64, touched: &BTreeSet<UpstreamId>) {
        if before == 0 {
            // Who has no list yet needs all of it.
            return;
        }
        let rows = &self.rows.upstreams;
        let changed = touched.iter().filter_map(|id| rows.get(id).cloned());
        let gone = touched.iter().filter(|id| !rows.contains_key(*id));
        let delta = ListingDelta {
            base_version: before,
            version: self.rows.version,
            changed: changed.collect(),
            removed: gone.cloned().collect(),
            after_outage: false,
        };
        let upstreams = rows.len();
        Arc::make_mut(&mut self.recent).record(delta, upstreams);
    }

    /// Leaves out of a list that the store has from a copy what it said and
    /// took back later: starts that left are not brought back. One that is
    /// there after all writes its entry again.
    fn leave_out_copied(&mut self, listing: &mut Listing, now: Millis) {
        let gone = &self.gone;
        let copied: Vec<UpstreamId> = listing
            .upstreams
            .values()
            .filter(|one| gone.contains_key(&one.start()))
            .map(|one| one.id.clone())
            .collect();
        for id in copied {
            listing.upstreams.remove(&id);
        }
        self.keep_leaving(listing.upstreams.values(), now);
    }

    /// Keeps to it that starts leave of which entries do not say so any more.
    fn keep_leaving<'a>(
        &mut self,
        entries: impl Iterator<Item = &'a Arc<Upstream>>,
        now: Millis,
    ) {
        let upstreams = self.known.upstreams.len();
        for entry in entries.filter(|entry| !entry.leaving) {
            let start = entry.start();
            if self.rows.get_start(&start).is_some_and(|known| known.leaving) {
                self.leaving.record(&start, upstreams, now);
            }
        }
    }

    /// Notes which starts went from the list.
    fn note_gone(&mut self, from: &Listing, ids: &[UpstreamId], now: Millis) {
        let starts = ids.iter().filter_map(|id| from.upstreams.get(id));
        let starts: Vec<UpstreamStart> =
            starts.map(|one| one.start()).collect();
        self.gone.retain(|_, at| now.since(*at) < REMEMBER_GONE_MS);
        self.gone.extend(starts.into_iter().map(|start| (start, now)));
    }

    /// Puts what was listed before in the place of entries of earlier starts.
    fn void_earlier_starts(&mut self, listing: &mut Listing, now: Millis) {
        let mut latest = Upstreams::new();
        for (id, upstream) in std::mem::take(&mut listing.upstreams) {
            let is_latest =
                self.start_times.record(&id, upstream.started_at_ms, now);
            let before = self.rows.upstreams.get(&id).cloned();
            if let Some(one) = if is_latest { Some(upstream) } else { before }
            {
                latest.insert(id, one);
            }
        }
        listing.upstreams = latest;
    }

    fn keep_missing(&mut self, before: &Listing, now: Millis) {
        for (id, upstream) in &before.upstreams {
            if !self.rows.upstreams.contains_key(id) {
                self.lapsed.keep(upstream, now);
            }
        }
    }

    /// Takes in changes of the list; tells whether they were new.
    pub fn apply(&mut self, delta: &ListingDelta, now: Millis) -> bool {
        let delta = &self.of_latest_starts(delta, now);
        let known = self.rows.version;
        let is_copy = StoreVersion::is_later_era(delta.version, known);
        let after_outage = delta.after_outage || is_copy;
        if is_copy {
            self.keep_leaving(delta.changed.iter(), now);
        }
        let before = self.rows.clone();
        let gone = delta.removed.iter().filter(|_| after_outage);
        let lapsed: Vec<Arc<Upstream>> = gone
            .filter_map(|id| self.rows.upstreams.get(id).cloned())
            .collect();
        if !self.has_list() || !self.rows.apply(delta) {
            return false;
        }
        let upstreams = self.rows.upstreams.len();
        Arc::make_mut(&mut self.recent).record(delta.clone(), upstreams);
        for one in &lapsed {
            self.lapsed.keep(one, now);
        }
        self.note_gone(&before, &delta.removed, now);
        for one in &delta.changed {
            self.gone.remove(&one.start());
        }
        let changed = delta.changed.iter().map(|upstream| &upstream.id);
        for id in changed.clone() {
            let told = self.told.get(id);
            let is_old =
                told.is_some_and(|told| now.since(told.at) >= LIST_LAGS_MS);
            if is_old {
                self.told.remove(id);
            }
        }
        self.touch(changed.chain(&delta.removed).cloned());
        self.pass(now);
        true
    }

    /// Returns changes of the list without entries of earlier starts.
    fn of_latest_starts(
        &mut self,
        delta: &ListingDelta,
        now: Millis,
    ) -> ListingDelta {
        let mut delta = delta.clone();
        let start_times = &mut self.start_times;
        delta
            .changed
            .retain(|one| start_times.record(&one.id, one.started_at_ms, now));
        delta
    }

    /// Takes in what the holder says engines hold; tells whether that
    /// changes what is known.
    pub fn tell(&mut self, told: Vec<EngineHolding>, now: Millis) -> bool {
        let mut changed = BTreeSet::new();
        for one in told {
            let known = self.told.get(&one.engine);
            let is_older = known.is_some_and(|known| known.stamp > one.stamp);
            let is_there = self.known.upstreams.contains_key(&one.engine);
            let EngineHolding { engine, started_at_ms: birth, holding, stamp } =
                one;
            let is_of_earlier = birth < self.start_times.latest(&engine);
            if is_older || !is_there || is_of_earlier {
                continue;
            }
            self.start_times.record(&engine, birth, now);
            let is_same = known.is_some_and(|known| {
                known.birth == birth && known.holding == holding
            });
            if !is_same {
                changed.insert(engine.clone());
            }
            self.told.insert(engine, Told { birth, holding, stamp, at: now });
        }
        let is_new = !changed.is_empty();
        self.touch(changed);
        is_new
    }

    /// Tells whether the holder already said of an engine what has a stamp,
    /// or more.
    pub fn was_told(&self, engine: &UpstreamId, stamp: Stamp) -> bool {
        let told = self.told.get(engine);
        told.is_some_and(|told| told.stamp >= stamp)
    }

    /// Takes in that a start of an upstream said that it leaves; tells whether
    /// that is new.
    pub fn say_leaving(&mut self, start: &UpstreamStart, now: Millis) -> bool {
        let upstreams = self.known.upstreams.len();
        let is_new = self.leaving.record(start, upstreams, now);
        if is_new && self.known.upstreams.contains_key(&start.id) {
            self.touch([start.id.clone()]);
        }
        is_new
    }

    /// Lets time pass for those that fell off the list.
    pub fn pass(&mut self, now: Millis) {
        let over = self.lapsed.prune(&self.rows, now);
        self.touch(over);
        let listed = &self.known.upstreams;
        self.start_times.prune(|id| listed.contains_key(id), now);
        let known = &self.known;
        self.leaving.prune(|start| known.get_start(start).is_some(), now);
    }

    /// Tells whether something changed since changes were last taken.
    pub fn has_changes(&self) -> bool {
        !self.changed.is_empty()
    }

    /// Takes which upstreams changed since the last call.
    pub fn take_changes(&mut self) -> BTreeSet<UpstreamId> {
        std::mem::take(&mut self.changed)
    }

    /// Puts together anew what is known of some upstreams.
    fn touch(&mut self, ids: impl IntoIterator<Item = UpstreamId>) {
        for id in ids {
            self.put_together(&id);
            self.changed.insert(id);
        }
        if self.known.version != self.rows.version {
            Arc::make_mut(&mut self.known).version = self.rows.version;
        }
    }

    fn put_together(&mut self, id: &UpstreamId) {
        let listed = self.rows.upstreams.get(id).or(self.lapsed.get(id));
        let Some(listed) = listed else {
            self.told.remove(id);
            let known = Arc::make_mut(&mut self.known);
            let before = known.upstreams.remove(id);
            self.index.update(before.as_deref(), None);
            return;
        };
        let listed = listed.clone();
        let birth = self.start_times.latest(id);
        let told = self.told.get(id).filter(|told| told.birth == birth);
        let start = UpstreamStart { id: id.clone(), started_at_ms: birth };
        // Entries may lag behind it for as long as the store is away.
        let leaves = listed.leaving || self.leaving.contains(&start);
        let upstream = as_of(listed, birth, leaves, told);
        if told.is_none() {
            self.told.remove(id);
        }
        let known = Arc::make_mut(&mut self.known);
        let before = known.upstreams.insert(id.clone(), upstream.clone());
        self.index.update(before.as_deref(), Some(&upstream));
    }
}

/// Puts together what is known of an upstream's latest start: of an entry of
/// another one, what it holds is left out.
fn as_of(
    listed: Arc<Upstream>,
    birth: Option<u64>,
    leaves: bool,
    told: Option<&Told>,
) -> Arc<Upstream> {
    let is_of_another =
        listed.started_at_ms.is_some() && listed.started_at_ms != birth;
    let holding = match told {
        Some(told) => Some(told.holding.clone()),
        None if is_of_another => Some(Holding::default()),
        None => None,
    };
    let holding = holding.filter(|holding| *holding != listed.holding);
    let is_as_listed =
        listed.started_at_ms == birth && listed.leaving == leaves;
    if holding.is_none() && is_as_listed {
        return listed;
    }
    let mut upstream = listed;
    let changed = Arc::make_mut(&mut upstream);
    changed.started_at_ms = birth;
    changed.leaving = leaves;
    if let Some(holding) = holding {
        changed.holding = holding;
    }
    upstream
}
