//! The memory of one engine, counted pessimistically.
//!
//! A placement holder writes each order to the platform before it sends it.
//! The order's row is a claim on memory for as long as it exists, whatever
//! the order wants, and so is whatever the engine reports. An artifact can
//! be loaded only into memory that no claim is on.
//!
//! The claim of an unload goes when no copy of an earlier load can have an
//! effect any more:
//!
//! - An engine that checks fences reports the stamp that it obeyed last for
//!   each artifact. Once that is the unload's, older orders are refused.
//! - An engine that does not check fences might obey a late copy. The claim
//!   stays until the bound for late orders has passed since anything about
//!   the artifact was recorded or sent, and a report asked for after that
//!   says that the artifact is absent.
//!
//! For the same reason an engine without fences is given no new load of an
//! artifact while a row about its unload exists: a late copy of the unload
//! could take away what callers were sent to.

mod report;
#[cfg(test)]
mod tests;

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
};

pub use self::report::{Reported, ReportedArtifact, ResidencyReport};
use crate::{
    chart::library::{
        self, OrderEvent, OrderState, ResidencyEvent, ResidencyState,
    },
    id::{Artifact, UpstreamId},
    order::{Order, Stamp, TrackedOrder, Wanted},
    time::Millis,
};

/// Why an order cannot be given.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderFault {
    /// Claims leave too little memory.
    NoRoom,
    /// An order about the artifact is unsettled.
    Unsettled,
    /// There is nothing to unload.
    Nothing,
    /// It is there, or on its way.
    AlreadyThere,
}

impl fmt::Display for OrderFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NoRoom => "claims leave too little memory",
            Self::Unsettled => "an order about it is unsettled",
            Self::Nothing => "it is not there",
            Self::AlreadyThere => "it is there or on its way",
        })
    }
}

impl std::error::Error for OrderFault {}

/// What is known of one artifact on the engine.
#[derive(Debug, Clone)]
struct Entry {
    size_mib: u64,
    residency: ResidencyState,
    order: Option<TrackedOrder>,
    /// What stood before `order`, until that is known to be recorded.
    before: Option<TrackedOrder>,
    /// When anything about it was last recorded, sent, or taken over.
    touched: Millis,
    /// When what is wanted of it was last decided.
    decided: Millis,
}

impl Entry {
    fn wants(&self, wanted: Wanted) -> bool {
        self.order.as_ref().is_some_and(|o| o.order().wanted == wanted)
    }

    fn is_unsettled(&self) -> bool {
        self.order.as_ref().is_some_and(TrackedOrder::is_unsettled)
    }

    fn is_intended(&self) -> bool {
        let state = self.order.as_ref().map(TrackedOrder::state);
        state == Some(OrderState::Intended)
    }

    fn follow(&mut self, event: ResidencyEvent) {
        self.residency = library::residency().next(self.residency, event);
    }
}

/// The claims on one engine's memory.
#[derive(Debug, Clone)]
pub struct EngineAccount {
    engine: UpstreamId,
    usable_mib: u64,
    checks_fences: bool,
    late_order_bound_ms: u64,
    entries: BTreeMap<Artifact, Entry>,
    /// When the newest report taken in was asked for.
    observed: Option<Millis>,
}

impl EngineAccount {
    /// Makes the account of an engine on which there are no claims.
    pub fn new(
        engine: UpstreamId,
        usable_mib: u64,
        checks_fences: bool,
        late_order_bound_ms: u64,
    ) -> Self {
        Self {
            engine,
            usable_mib,
            checks_fences,
            late_order_bound_ms,
            entries: BTreeMap::new(),
            observed: None,
        }
    }

    /// Takes in what the configuration says of the engine now.
    pub fn configure(&mut self, usable_mib: u64, late_order_bound_ms: u64) {
        self.usable_mib = usable_mib;
        self.late_order_bound_ms = late_order_bound_ms;
    }

    /// Takes over an order that was found in the platform.
    ///
    /// An earlier holder may have sent it, or one that it replaced, at any
    /// time until its lease ended, so the bound for late orders starts anew.
    pub fn take_over(&mut self, order: Order, now: Millis) {
        let mut entry = Entry {
            size_mib: order.size_mib,
            residency: library::residency().initial(),
            order: None,
            before: None,
            touched: now,
            decided: now,
        };
        entry.follow(ResidencyEvent::OrderLoad);
        if order.wanted == Wanted::Absent {
            entry.follow(ResidencyEvent::OrderUnload);
        }
        let artifact = order.artifact.clone();
        entry.order = Some(TrackedOrder::from_platform(order));
        self.entries.insert(artifact, entry);
    }

    /// Returns the memory that claims are on, in MiB.
    pub fn claimed_mib(&self) -> u64 {
        self.entries.values().map(|entry| entry.size_mib).sum()
    }

    /// Returns the memory that no claim is on, in MiB.
    pub fn free_mib(&self) -> u64 {
        self.usable_mib.saturating_sub(self.claimed_mib())
    }

    /// Returns every artifact with a claim, and its memory in MiB.
    pub fn claims(&self) -> impl Iterator<Item = (&Artifact, u64)> {
        self.entries.iter().map(|(artifact, e)| (artifact, e.size_mib))
    }

    /// Returns what is known of an artifact's residency.
    pub fn residency(&self, artifact: &Artifact) -> ResidencyState {
        let entry = self.entries.get(artifact);
        entry.map_or(ResidencyState::Absent, |entry| entry.residency)
    }

    /// Tells whether callers may be sent to the artifact.
    pub fn is_reachable(&self, artifact: &Artifact) -> bool {
        self.entries.get(artifact).is_some_and(|entry| {
            entry.residency == ResidencyState::Resident
                && !entry.wants(Wanted::Absent)
        })
    }

    /// Tells whether the artifact was told to go.
    pub fn is_leaving(&self, artifact: &Artifact) -> bool {
        let entry = self.entries.get(artifact);
        entry.is_some_and(|entry| entry.wants(Wanted::Absent))
    }

    /// Tells whether no other order about the artifact may be given yet.
    pub fn is_unsettled(&self, artifact: &Artifact) -> bool {
        let entry = self.entries.get(artifact);
        entry.is_some_and(Entry::is_unsettled)
    }

    /// Counts the loads that the weight store may be busy with.
    pub fn loads_under_way(&self) -> usize {
        let loading = |entry: &&Entry| {
            entry.wants(Wanted::Resident)
                && entry.residency != ResidencyState::Resident
        };
        self.entries.values().filter(loading).count()
    }

    /// Lists loads that were decided long ago and are not done.
    pub fn stuck_loads(&self, now: Millis, after_ms: u64) -> Vec<Artifact> {
        self.entries
            .iter()
            .filter(|(_, e)| e.wants(Wanted::Resident) && e.is_unsettled())
            .filter(|(_, e)| now.since(e.decided) >= after_ms)
            .map(|(artifact, _)| artifact.clone())
            .collect()
    }

    /// Decides to load an artifact.
    ///
    /// The claim stands from now on. The order has to be recorded in the
    /// platform before it is sent.
    ///
    /// # Errors
    ///
    /// If claims leave too little memory, or the artifact has a claim.
    pub fn order_load(
        &mut self,
        artifact: &Artifact,
        size_mib: u64,
        stamp: Stamp,
        now: Millis,
    ) -> Result<Order, OrderFault> {
        if self.entries.contains_key(artifact) {
            // A claimed artifact is either wanted already or told to go. An
            // unload has to settle first, at engines of both kinds: taking
            // it back would gain little and make two cases of one.
            return Err(match self.is_leaving(artifact) {
                true => OrderFault::Unsettled,
                false => OrderFault::AlreadyThere,
            });
        }
        if self.free_mib() < size_mib {
            return Err(OrderFault::NoRoom);
        }
        let order =
            self.make_order(artifact, size_mib, Wanted::Resident, stamp);
        let mut entry = Entry {
            size_mib,
            residency: library::residency().initial(),
            order: Some(TrackedOrder::new(order.clone())),
            before: None,
            touched: now,
            decided: now,
        };
        entry.follow(ResidencyEvent::OrderLoad);
        self.entries.insert(artifact.clone(), entry);
        Ok(order)
    }

    /// Decides to unload an artifact.
    ///
    /// From now on no caller is sent to it; its claim stays.
    ///
    /// It may take back a load that is not seen to be done; its own stamp is
    /// later, and the claim covers both.
    ///
    /// # Errors
    ///
    /// If there is no claim, or it was told to go already, or it is not known
    /// yet whether the platform has the order about its load.
    pub fn order_unload(
        &mut self,
        artifact: &Artifact,
        stamp: Stamp,
        now: Millis,
    ) -> Result<Order, OrderFault> {
        let Some(entry) = self.entries.get(artifact) else {
            return Err(OrderFault::Nothing);
        };
        if entry.wants(Wanted::Absent) || entry.is_intended() {
            return Err(OrderFault::Unsettled);
        }
        let size_mib = entry.size_mib;
        let order = self.make_order(artifact, size_mib, Wanted::Absent, stamp);
        if let Some(entry) = self.entries.get_mut(artifact) {
            entry.before = entry.order.take();
            entry.order = Some(TrackedOrder::new(order.clone()));
            entry.touched = now;
            entry.decided = now;
            entry.follow(ResidencyEvent::OrderUnload);
        }
        Ok(order)
    }

    /// Notes that an order is in the platform.
    pub fn recorded(&mut self, order: &Order, now: Millis) {
        if let Some(entry) = self.entry_of(order) {
            entry.touched = now;
            if let Some(replaced) = &mut entry.before {
                replaced.follow(OrderEvent::Replaced);
            }
            entry.before = None;
            if let Some(tracked) = &mut entry.order {
                tracked.follow(OrderEvent::Recorded);
            }
        }
    }

    /// Takes back an order that the platform certainly does not have.
    pub fn not_recorded(&mut self, order: &Order) {
        let Some(entry) = self.entry_of(order) else { return };
        entry.order = entry.before.take();
        if order.wanted == Wanted::Absent && !entry.wants(Wanted::Absent) {
            entry.follow(ResidencyEvent::OrderLoad);
        }
        if order.wanted == Wanted::Resident && entry.order.is_none() {
            self.entries.remove(&order.artifact);
        }
    }

    /// Decides again, under a new stamp, what an earlier holder decided and
    /// is not seen to be done.
    ///
    /// Engines that check fences refuse orders of earlier epochs once they
    /// have seen a newer one, so those are not sent as they are. Nothing is
    /// decided before a report came: most such orders turn out to be done.
    pub fn renew(
        &mut self,
        epoch: u64,
        mut next_stamp: impl FnMut() -> Stamp,
        now: Millis,
    ) -> Vec<Order> {
        let Some(observed) = self.observed else { return Vec::new() };
        let mut renewed = Vec::new();
        for entry in self.entries.values_mut() {
            let Some(tracked) = &entry.order else { continue };
            let is_open = tracked.state() == OrderState::Recorded;
            let is_old = tracked.order().stamp.epoch < epoch;
            if !is_open || !is_old || entry.touched > observed {
                continue;
            }
            let order =
                Order { stamp: next_stamp(), ..tracked.order().clone() };
            entry.before = entry.order.take();
            entry.order = Some(TrackedOrder::new(order.clone()));
            entry.touched = now;
            renewed.push(order);
        }
        renewed
    }

    /// Lists the orders of an epoch that are to be sent now, and notes their
    /// sending.
    pub fn take_due(
        &mut self,
        epoch: u64,
        now: Millis,
        resend_after_ms: u64,
    ) -> Vec<Order> {
        let mut due = Vec::new();
        for entry in self.entries.values_mut() {
            let Some(tracked) = &mut entry.order else { continue };
            let is_own = tracked.order().stamp.epoch == epoch;
            if is_own && tracked.is_due(now, resend_after_ms) {
                tracked.sent(now);
                entry.touched = now;
                due.push(tracked.order().clone());
            }
        }
        due
    }

    /// Takes in a report that was asked for at `asked`.
    ///
    /// A report that was overtaken by a newer one is left out, and so is one
    /// that was asked for in the same millisecond: which of the two the
    /// engine gave first cannot be told.
    pub fn observe(&mut self, report: &ResidencyReport, asked: Millis) {
        if self.observed.is_some_and(|observed| asked <= observed) {
            return;
        }
        self.observed = Some(asked);
        for reported in &report.artifacts {
            self.observe_present(reported, asked);
        }
        let present: BTreeSet<&Artifact> =
            report.artifacts.iter().map(|r| &r.artifact).collect();
        let fences: BTreeMap<&Artifact, Stamp> =
            report.fences.iter().map(|(a, stamp)| (a, *stamp)).collect();
        let (fenced, bound) = (self.checks_fences, self.late_order_bound_ms);
        for (artifact, entry) in &mut self.entries {
            if present.contains(artifact) {
                continue;
            }
            let obeyed = fences.get(artifact).copied();
            observe_absent(entry, obeyed, asked, fenced, bound);
        }
        self.entries.retain(|_, entry| !is_over(entry));
    }

    /// Lists rows that the platform need not keep any more.
    ///
    /// `rows` are the artifacts that the platform has rows for.
    pub fn settled_rows<'a>(
        &self,
        rows: impl Iterator<Item = &'a Artifact>,
    ) -> Vec<Artifact> {
        rows.filter(|artifact| !self.entries.contains_key(*artifact))
            .cloned()
            .collect()
    }

    fn observe_present(&mut self, reported: &ReportedArtifact, asked: Millis) {
        let entry = self
            .entries
            .entry(reported.artifact.clone())
            .or_insert_with(|| Entry {
                size_mib: reported.size_mib,
                residency: library::residency().initial(),
                order: None,
                before: None,
                touched: asked,
                decided: asked,
            });
        entry.size_mib = entry.size_mib.max(reported.size_mib);
        entry.follow(match reported.state {
            Reported::Resident => ResidencyEvent::ReportedResident,
            Reported::Loading => ResidencyEvent::ReportedLoading,
            // Memory that is being freed is treated as not reachable yet
            // still taken; the report that lacks it is what counts.
            Reported::Unloading => ResidencyEvent::ReportedLoading,
        });
        let Some(tracked) = &mut entry.order else { return };
        match (tracked.order().wanted, reported.state) {
            (Wanted::Resident, Reported::Resident) => {
                tracked.follow(OrderEvent::Confirmed);
            }
            // A late copy of an older load was obeyed after the unload was
            // confirmed: start over, so that the unload is sent again.
            (Wanted::Absent, _) if !tracked.is_unsettled() => {
                *tracked =
                    TrackedOrder::from_platform(tracked.order().clone());
                entry.touched = entry.touched.max(asked);
            }
            _ => {}
        }
    }

    fn make_order(
        &self,
        artifact: &Artifact,
        size_mib: u64,
        wanted: Wanted,
        stamp: Stamp,
    ) -> Order {
        Order {
            engine: self.engine.clone(),
            artifact: artifact.clone(),
            size_mib,
            wanted,
            stamp,
        }
    }

    fn entry_of(&mut self, order: &Order) -> Option<&mut Entry> {
        let entry = self.entries.get_mut(&order.artifact)?;
        let tracked = entry.order.as_ref()?;
        (tracked.order().stamp == order.stamp).then_some(entry)
    }
}

/// Takes in that a report asked for at `asked` lacks an artifact.
fn observe_absent(
    entry: &mut Entry,
    obeyed: Option<Stamp>,
    asked: Millis,
    checks_fences: bool,
    late_order_bound_ms: u64,
) {
    let Some(tracked) = &mut entry.order else {
        entry.follow(ResidencyEvent::ReportedAbsent);
        return;
    };
    if tracked.order().wanted == Wanted::Resident {
        // The load has not begun, or the engine lost what it held. Either
        // way the claim stays, and the order is sent again.
        if asked >= entry.touched
            && entry.residency == ResidencyState::Resident
        {
            *tracked = TrackedOrder::from_platform(tracked.order().clone());
            entry.follow(ResidencyEvent::ReportedAbsent);
            entry.follow(ResidencyEvent::OrderLoad);
        }
        return;
    }
    if tracked.state() == OrderState::Intended {
        return;
    }
    let ruled_out = if checks_fences {
        obeyed.is_some_and(|stamp| stamp >= tracked.order().stamp)
    } else {
        asked.since(entry.touched) >= late_order_bound_ms
    };
    if !checks_fences && asked >= entry.touched {
        // Known to be gone, so it need not be sent again meanwhile; a late
        // copy of a load would show in a later report.
        tracked.follow(OrderEvent::Confirmed);
    }
    if ruled_out {
        tracked.follow(OrderEvent::Confirmed);
        tracked.follow(OrderEvent::HoldOver);
        entry.follow(ResidencyEvent::ReportedAbsent);
    }
}

/// Tells whether nothing about an artifact needs to be kept.
fn is_over(entry: &Entry) -> bool {
    if entry.residency != ResidencyState::Absent {
        return false;
    }
    match &entry.order {
        None => true,
        Some(tracked) => {
            tracked.order().wanted == Wanted::Absent
                && tracked.state() == OrderState::Settled
        }
    }
}
