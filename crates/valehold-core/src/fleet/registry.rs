//! The upstreams known to one instance.
//!
//! [`UpstreamRegistry`] merges four sources: the platform's list; the lease
//! holder, which knows the effect of its own orders on the holdings of engines
//! earlier than the list; the entries that lapsed during an outage of the
//! platform's store; and the upstreams, which report in their answers that
//! they are leaving. The registry updates one upstream at a time, so that the
//! cost of an update depends on the number of changes and not on the length of
//! the list. An upstream may restart under the same name: a report about an
//! earlier start is ignored, and a report about a later start invalidates all
//! earlier reports.

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
    software::SoftwareHistory,
    store_version::StoreVersion,
    stream_record::ServiceVersions,
};
use crate::{id::UpstreamId, order::Stamp, time::Millis};

/// The maximum lag of the platform's list behind the lease holder's reports,
/// in ms. A report of this age gives way to the next change of the list entry.
const MAX_LIST_LAG_MS: u64 = 2_500;

/// How long the removal of a start from the list is recorded, in ms. The
/// copies from which the store is restored are some seconds old.
const REMOVED_RETENTION_MS: u64 = 60_000;

/// The models that an engine holds, as reported by the lease holder.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineHolding {
    /// The engine.
    pub engine: UpstreamId,
    /// The start time of the engine's start that holds the models, in ms of
    /// the engine's own clock, or `None` if the engine does not report a start
    /// time.
    pub started_at_ms: Option<u64>,
    /// The models and adapters of the engine.
    pub holding: Holding,
    /// The stamp of the report. Of the reports about one engine, the report
    /// with the greatest stamp is the newest.
    pub stamp: Stamp,
}

/// The lease holder's latest report about an engine.
#[derive(Debug, Clone)]
struct HoldingReport {
    started_at_ms: Option<u64>,
    holding: Holding,
    stamp: Stamp,
    received_at: Millis,
}

/// The upstreams known to one instance, merged from four sources.
#[derive(Debug, Clone, Default)]
pub struct UpstreamRegistry {
    /// The platform's list.
    list: Listing,
    lapsed: LapsedUpstreams,
    reports: BTreeMap<UpstreamId, HoldingReport>,
    leaving: LeavingUpstreams,
    start_times: StartTimes,
    /// Starts that were removed from the list recently, and when.
    removed: BTreeMap<UpstreamStart, Millis>,
    /// The entries merged from the four sources.
    merged: Arc<Listing>,
    /// The index of the merged entries.
    index: UpstreamIndex,
    /// The versions of the software of the merged entries.
    software: SoftwareHistory,
    /// The most recent changes of the platform's list.
    recent: Arc<RecentChanges>,
    /// Upstreams that changed since the last call of `take_changes`.
    changed: BTreeSet<UpstreamId>,
}

impl UpstreamRegistry {
    /// Returns the version of the platform's list, or 0 before the first list.
    pub fn version(&self) -> u64 {
        self.list.version
    }

    /// Returns whether the registry has received a list.
    pub fn has_list(&self) -> bool {
        self.list.version > 0
    }

    /// Returns the entries merged from all sources.
    pub fn listing(&self) -> &Arc<Listing> {
        &self.merged
    }

    /// Returns the index of the merged entries.
    pub fn index(&self) -> &UpstreamIndex {
        &self.index
    }

    /// Returns the software versions of the merged entries over time.
    pub fn software(&self) -> &SoftwareHistory {
        &self.software
    }

    /// Adds the software versions that were in use before the start of this
    /// instance, as the store recorded them at its time `store_ms`.
    pub fn restore_software(
        &mut self,
        recorded: &[ServiceVersions],
        store_ms: u64,
        now: Millis,
    ) {
        self.software.restore(recorded, store_ms, now);
    }

    /// Returns the most recent changes of the platform's list.
    pub fn recent(&self) -> &Arc<RecentChanges> {
        &self.recent
    }

    /// Returns the entry of an upstream in the platform's list, or `None` if
    /// the list does not contain the upstream.
    pub fn listed(&self, id: &UpstreamId) -> Option<&Arc<Upstream>> {
        self.list.upstreams.get(id)
    }

    /// Returns the upstreams that are kept although their entries are missing
    /// on the list after an outage.
    pub fn lapsed(&self) -> &LapsedUpstreams {
        &self.lapsed
    }

    /// Replaces the platform's list, and returns whether `listing` was
    /// accepted. A list that is older than the present one is not accepted.
    ///
    /// `after_outage` states whether the store was unavailable until shortly
    /// before, so that missing entries may only have lapsed.
    pub fn replace(
        &mut self,
        mut listing: Listing,
        after_outage: bool,
        now: Millis,
    ) -> bool {
        if listing.version < self.list.version || listing.version == 0 {
            return false;
        }
        self.discard_earlier_starts(&mut listing, now);
        let version = self.list.version;
        let is_restored = StoreVersion::is_later_era(listing.version, version);
        if is_restored && self.has_list() {
            self.discard_removed_starts(&mut listing, now);
        }
        let after_outage = after_outage || is_restored;
        let before = std::mem::replace(&mut self.list, listing);
        if after_outage {
            self.keep_missing(&before, now);
        }
        let listed = self.list.upstreams.iter();
        let differ = listed.filter(|(id, upstream)| {
            before.upstreams.get(*id) != Some(*upstream)
        });
        let mut changed: BTreeSet<UpstreamId> =
            differ.map(|(id, _)| id.clone()).collect();
        let entries = &self.list.upstreams;
        let removed = before.upstreams.keys();
        let removed = removed.filter(|id| !entries.contains_key(*id));
        let removed: Vec<UpstreamId> = removed.cloned().collect();
        self.record_removed(&before, &removed, now);
        changed.extend(removed);
        self.record_replacement(before.version, &changed);
        self.rebuild(changed, now);
        self.prune(now);
        true
    }

    /// Records the changes that a whole list brought, for peers that still
    /// have the list that was replaced. `before` is the version of that list.
    fn record_replacement(&mut self, before: u64, ids: &BTreeSet<UpstreamId>) {
        if before == 0 {
            // A peer without a list needs the whole list.
            return;
        }
        let entries = &self.list.upstreams;
        let changed = ids.iter().filter_map(|id| entries.get(id).cloned());
        let removed = ids.iter().filter(|id| !entries.contains_key(*id));
        let delta = ListingDelta {
            base_version: before,
            version: self.list.version,
            changed: changed.collect(),
            removed: removed.cloned().collect(),
            after_outage: false,
        };
        let upstreams = entries.len();
        Arc::make_mut(&mut self.recent).record(delta, upstreams);
    }

    /// Removes from the list of a restored store the starts that were removed
    /// after the copy was made, and preserves that starts are leaving. A
    /// removed start that still runs writes its entry again.
    fn discard_removed_starts(&mut self, listing: &mut Listing, now: Millis) {
        let removed = &self.removed;
        let restored: Vec<UpstreamId> = listing
            .upstreams
            .values()
            .filter(|one| removed.contains_key(&one.start()))
            .map(|one| one.id.clone())
            .collect();
        for id in restored {
            listing.upstreams.remove(&id);
        }
        self.preserve_leaving(listing.upstreams.values(), now);
    }

    /// Records as leaving the starts that the present list marks as leaving
    /// but `entries`, of a restored store, do not.
    fn preserve_leaving<'a>(
        &mut self,
        entries: impl Iterator<Item = &'a Arc<Upstream>>,
        now: Millis,
    ) {
        let upstreams = self.merged.upstreams.len();
        for entry in entries.filter(|entry| !entry.leaving) {
            let start = entry.start();
            if self.list.get_start(&start).is_some_and(|known| known.leaving) {
                self.leaving.record(&start, upstreams, now);
            }
        }
    }

    /// Records which starts were removed from the list. `before` is the list
    /// that still contains the starts.
    fn record_removed(
        &mut self,
        before: &Listing,
        ids: &[UpstreamId],
        now: Millis,
    ) {
        let starts = ids.iter().filter_map(|id| before.upstreams.get(id));
        let starts: Vec<UpstreamStart> =
            starts.map(|one| one.start()).collect();
        self.removed.retain(|_, at| now.since(*at) < REMOVED_RETENTION_MS);
        self.removed.extend(starts.into_iter().map(|start| (start, now)));
    }

    /// Replaces entries of earlier starts in a new list by the present entries
    /// of the same upstreams, or removes the entries of upstreams that are not
    /// listed at present.
    fn discard_earlier_starts(&mut self, listing: &mut Listing, now: Millis) {
        let mut latest = Upstreams::new();
        for (id, upstream) in std::mem::take(&mut listing.upstreams) {
            let is_latest =
                self.start_times.record(&id, upstream.started_at_ms, now);
            let before = self.list.upstreams.get(&id).cloned();
            if let Some(one) = if is_latest { Some(upstream) } else { before }
            {
                latest.insert(id, one);
            }
        }
        listing.upstreams = latest;
    }

    fn keep_missing(&mut self, before: &Listing, now: Millis) {
        for (id, upstream) in &before.upstreams {
            if !self.list.upstreams.contains_key(id) {
                self.lapsed.keep(upstream, now);
            }
        }
    }

    /// Applies changes of the platform's list, and returns whether the changes
    /// were new. A delta is not applied before the first list, or if changes
    /// between the list and the delta are missing.
    pub fn apply(&mut self, delta: &ListingDelta, now: Millis) -> bool {
        let delta = &self.without_earlier_starts(delta, now);
        let version = self.list.version;
        let is_restored = StoreVersion::is_later_era(delta.version, version);
        let after_outage = delta.after_outage || is_restored;
        if is_restored {
            self.preserve_leaving(delta.changed.iter(), now);
        }
        let before = self.list.clone();
        let removed = delta.removed.iter().filter(|_| after_outage);
        let lapsed: Vec<Arc<Upstream>> = removed
            .filter_map(|id| self.list.upstreams.get(id).cloned())
            .collect();
        if !self.has_list() || !self.list.apply(delta) {
            return false;
        }
        let upstreams = self.list.upstreams.len();
        Arc::make_mut(&mut self.recent).record(delta.clone(), upstreams);
        for one in &lapsed {
            self.lapsed.keep(one, now);
        }
        self.record_removed(&before, &delta.removed, now);
        for one in &delta.changed {
            self.removed.remove(&one.start());
        }
        let changed = delta.changed.iter().map(|upstream| &upstream.id);
        for id in changed.clone() {
            let report = self.reports.get(id);
            let is_old = report.is_some_and(|report| {
                now.since(report.received_at) >= MAX_LIST_LAG_MS
            });
            if is_old {
                self.reports.remove(id);
            }
        }
        self.rebuild(changed.chain(&delta.removed).cloned(), now);
        self.prune(now);
        true
    }

    /// Returns a copy of a delta without the entries of earlier starts.
    fn without_earlier_starts(
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

    /// Receives the lease holder's reports about the holdings of engines, and
    /// returns whether the reports change the merged entries. Ignores reports
    /// that are older than the last report about the engine, that concern an
    /// earlier start, or that concern an unknown engine.
    pub fn receive_holdings(
        &mut self,
        reports: Vec<EngineHolding>,
        now: Millis,
    ) -> bool {
        let mut changed = BTreeSet::new();
        for one in reports {
            let last = self.reports.get(&one.engine);
            let is_older = last.is_some_and(|last| last.stamp > one.stamp);
            let is_known = self.merged.upstreams.contains_key(&one.engine);
            let EngineHolding { engine, started_at_ms, holding, stamp } = one;
            let is_of_earlier =
                started_at_ms < self.start_times.latest(&engine);
            if is_older || !is_known || is_of_earlier {
                continue;
            }
            self.start_times.record(&engine, started_at_ms, now);
            let is_same = last.is_some_and(|last| {
                last.started_at_ms == started_at_ms && last.holding == holding
            });
            if !is_same {
                changed.insert(engine.clone());
            }
            self.reports.insert(
                engine,
                HoldingReport {
                    started_at_ms,
                    holding,
                    stamp,
                    received_at: now,
                },
            );
        }
        let is_new = !changed.is_empty();
        self.rebuild(changed, now);
        is_new
    }

    /// Returns whether the registry has a holding report about an engine with
    /// this stamp or a greater one.
    pub fn has_holding_report(
        &self,
        engine: &UpstreamId,
        stamp: Stamp,
    ) -> bool {
        let report = self.reports.get(engine);
        report.is_some_and(|report| report.stamp >= stamp)
    }

    /// Records that a start of an upstream reported that it is leaving, and
    /// returns whether the report is new.
    pub fn record_leaving(
        &mut self,
        start: &UpstreamStart,
        now: Millis,
    ) -> bool {
        let upstreams = self.merged.upstreams.len();
        let is_new = self.leaving.record(start, upstreams, now);
        if is_new && self.merged.upstreams.contains_key(&start.id) {
            self.rebuild([start.id.clone()], now);
        }
        is_new
    }

    /// Returns the starts that are recorded as leaving, whatever the list says.
    pub fn announced_leaving(&self) -> impl Iterator<Item = &UpstreamStart> {
        self.leaving.starts()
    }

    /// Removes lapsed upstreams whose grace period is over, and old records of
    /// upstreams that are no longer known.
    pub fn prune(&mut self, now: Millis) {
        let over = self.lapsed.prune(&self.list, now);
        self.rebuild(over, now);
        self.software.prune(now);
        let entries = &self.merged.upstreams;
        self.start_times.prune(|id| entries.contains_key(id), now);
        let merged = &self.merged;
        self.leaving.prune(|start| merged.get_start(start).is_some(), now);
    }

    /// Returns whether upstreams changed since the last call of
    /// [`take_changes`](Self::take_changes).
    pub fn has_changes(&self) -> bool {
        !self.changed.is_empty()
    }

    /// Returns the upstreams that changed since the last call of this
    /// function.
    pub fn take_changes(&mut self) -> BTreeSet<UpstreamId> {
        std::mem::take(&mut self.changed)
    }

    /// Rebuilds the merged entries of some upstreams, and records the
    /// upstreams as changed.
    fn rebuild(
        &mut self,
        ids: impl IntoIterator<Item = UpstreamId>,
        now: Millis,
    ) {
        for id in ids {
            self.rebuild_one(&id, now);
            self.changed.insert(id);
        }
        if self.merged.version != self.list.version {
            Arc::make_mut(&mut self.merged).version = self.list.version;
        }
    }

    fn rebuild_one(&mut self, id: &UpstreamId, now: Millis) {
        let listed = self.list.upstreams.get(id).or(self.lapsed.get(id));
        let Some(listed) = listed else {
            self.reports.remove(id);
            let merged = Arc::make_mut(&mut self.merged);
            let before = merged.upstreams.remove(id);
            self.index.update(before.as_deref(), None);
            self.software.update(before.as_deref(), None, now);
            return;
        };
        let listed = listed.clone();
        let started_at_ms = self.start_times.latest(id);
        let report = self
            .reports
            .get(id)
            .filter(|report| report.started_at_ms == started_at_ms);
        let start = UpstreamStart { id: id.clone(), started_at_ms };
        // During an outage of the store, list entries do not show that an
        // upstream is leaving.
        let leaving = listed.leaving || self.leaving.contains(&start);
        let upstream = merge(listed, started_at_ms, leaving, report);
        if report.is_none() {
            self.reports.remove(id);
        }
        let merged = Arc::make_mut(&mut self.merged);
        let before = merged.upstreams.insert(id.clone(), upstream.clone());
        self.index.update(before.as_deref(), Some(&upstream));
        self.software.update(before.as_deref(), Some(&upstream), now);
    }
}

/// Returns the merged entry of an upstream's latest start. If the list entry
/// belongs to another start, the version of the software is unknown, and the
/// merged entry holds no models unless there is a report.
fn merge(
    listed: Arc<Upstream>,
    started_at_ms: Option<u64>,
    leaving: bool,
    report: Option<&HoldingReport>,
) -> Arc<Upstream> {
    let is_of_another = listed.started_at_ms.is_some()
        && listed.started_at_ms != started_at_ms;
    let holding = match report {
        Some(report) => Some(report.holding.clone()),
        None if is_of_another => Some(Holding::default()),
        None => None,
    };
    let holding = holding.filter(|holding| *holding != listed.holding);
    let is_as_listed =
        listed.started_at_ms == started_at_ms && listed.leaving == leaving;
    if holding.is_none() && is_as_listed {
        return listed;
    }
    let mut upstream = listed;
    let merged = Arc::make_mut(&mut upstream);
    merged.started_at_ms = started_at_ms;
    merged.leaving = leaving;
    if is_of_another {
        merged.software = None;
    }
    if let Some(holding) = holding {
        merged.holding = holding;
    }
    upstream
}
