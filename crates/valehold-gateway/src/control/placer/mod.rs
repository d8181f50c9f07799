//! Giving engines the orders that placement decides.
//!
//! Every order states how many orders its engine must have taken before. A
//! decision is made on what an engine holds after so many orders, and is
//! carried out only if that still is so: an order that arrives late, or that
//! another holder's has overtaken, does nothing.
//!
//! - `models` plans which engine loads and unloads which model.
//! - `adapters` brings adapters.
//! - `holders` finds the engines that hold a model.
//! - `orders` gives the orders, and takes in how they ended.

mod adapters;
mod holders;
mod models;
mod orders;
#[cfg(test)]
mod tests;

use std::{
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
    sync::Arc,
};

use tokio::sync::mpsc;
use valehold_core::{
    Millis,
    fleet::{
        Asked, Catalog, EngineHolding, EvacuationState, Listing, RegionBound,
        Upstream, UpstreamRegistry, UpstreamStart, Variant,
        asked::BoundUse,
        backoff::UpstreamBackoffs,
        catalog::EngineSpec,
        peaks::Peaks,
        topology::Topology,
        upstream_limit::UpstreamLimits,
        weight_loads::{InheritedLoads, LostLoads, WeightLoads},
    },
    id::{DataCentreId, InstanceId, ModelName, ServiceName, UpstreamId},
    order::Stamp,
};
use valehold_ports::{
    PortError,
    port::fleet::{EngineReport, FleetEngines},
};

use self::{
    adapters::{Bringing, Wish},
    holders::Holders,
};
use super::{
    entry::{ASK_EVERY_MS, Entry},
    input::Input,
};
use crate::{
    mechanisms::MechanismSettings,
    peers::roster::sums::{DemandSum, Loads},
};

/// How often the plan is made, in ms.
const PLAN_EVERY_MS: u64 = 250;

/// How many engines are asked at once at the most. Each question holds a
/// connection, and a machine has a bounded number of those, however many
/// engines there are.
const MOST_QUESTIONS: usize = 256;

/// How long an engine is left alone after an order failed, in ms.
const AFTER_FAILURE_MS: u64 = 200;

/// After how many reports in a row from before an order its effect is taken
/// for what they say. Reports lag by less than so many questions take.
const MOST_OLD_REPORTS: u32 = 6;

/// Loads from the weight store, for metrics.
#[derive(Debug, Clone, Copy)]
pub(super) struct LoadCount {
    /// Those that began in the last window, or may begin.
    pub(super) counted: usize,
    /// How many may begin in a window.
    pub(super) allowed: usize,
}

/// What the lease allows an order to carry.
#[derive(Clone)]
pub(super) struct Authority {
    /// The holder.
    pub(super) holder: InstanceId,
    /// Returns the epoch, if an order may be given at this moment, and notes
    /// that one is.
    pub(super) epoch: Rc<dyn Fn() -> Option<u64>>,
}

/// For each bound, the models that are missed inside it, and since when.
type LostModels = BTreeMap<RegionBound, BTreeMap<ModelName, Millis>>;

/// Gives orders to engines.
pub(super) struct Placer {
    engines: Arc<dyn FleetEngines>,
    inputs: mpsc::UnboundedSender<Input>,
    authority: Authority,
    entries: BTreeMap<UpstreamId, Entry>,
    holders: Holders,
    /// How many engines are being asked.
    questions: usize,
    /// Data centres that are to be empty.
    emptied: BTreeSet<DataCentreId>,
    wishes: BTreeMap<Asked, Wish>,
    bringing: BTreeMap<ServiceName, Bringing>,
    /// Models of each service that no sound engine holds, or none inside a
    /// bound in which they are used, and since when.
    lost: BTreeMap<ServiceName, LostModels>,
    /// Which models are used inside which bounds.
    bound_use: BoundUse,
    /// Adapters about which orders are under way.
    ordered_now: BTreeSet<Variant>,
    /// When models were planned last.
    planned: Millis,
    weight_loads: WeightLoads,
    /// Whether the weight store bore no more loads when it was planned last.
    held_back: bool,
    /// Which service plans first the next time.
    turn: usize,
    peaks: BTreeMap<ServiceName, BTreeMap<RegionBound, Peaks>>,
    topology: Topology,
    load_window_s: f64,
    mechanisms: MechanismSettings,
    /// The last stamp that was given.
    stamp: Stamp,
}

impl Placer {
    pub(super) fn new(
        engines: Arc<dyn FleetEngines>,
        inputs: mpsc::UnboundedSender<Input>,
        authority: Authority,
        load_window_s: f64,
        mechanisms: MechanismSettings,
        topology: Topology,
    ) -> Self {
        Self {
            engines,
            inputs,
            authority,
            entries: BTreeMap::new(),
            holders: Holders::default(),
            questions: 0,
            emptied: BTreeSet::new(),
            wishes: BTreeMap::new(),
            bringing: BTreeMap::new(),
            lost: BTreeMap::new(),
            ordered_now: BTreeSet::new(),
            planned: Millis::default(),
            weight_loads: WeightLoads::default(),
            held_back: false,
            turn: 0,
            peaks: BTreeMap::new(),
            bound_use: BoundUse::default(),
            topology,
            load_window_s,
            mechanisms,
            stamp: Stamp::default(),
        }
    }

    /// Takes in which data centres are to be empty: engines in them count as
    /// gone, so that what they hold comes up elsewhere.
    pub(super) fn evacuate(&mut self, orders: &EvacuationState) {
        self.emptied = orders.ordered().cloned().collect();
        for entry in self.entries.values_mut() {
            entry.empty(self.emptied.contains(&entry.data_centre));
        }
    }

    /// Takes in the upstreams.
    pub(super) fn listed(&mut self, listing: &Listing) {
        let entries = &mut self.entries;
        entries.retain(|id, _| listing.upstreams.contains_key(id));
        for upstream in listing.upstreams.values() {
            self.list(upstream);
        }
    }

    fn list(&mut self, upstream: &Arc<Upstream>) {
        let entry = self.entries.entry(upstream.id.clone());
        let entry = entry.or_insert_with(|| Entry::new(upstream));
        entry.list(upstream);
        entry.empty(self.emptied.contains(&upstream.data_centre));
        self.holders.note(&upstream.id, entry);
    }

    /// Takes in what changed of some upstreams.
    pub(super) fn list_changes(
        &mut self,
        changed: &BTreeSet<UpstreamId>,
        listing: &Listing,
    ) {
        for id in changed {
            let Some(upstream) = listing.upstreams.get(id) else {
                self.entries.remove(id);
                continue;
            };
            self.list(upstream);
        }
    }

    /// Takes in that a request waits for a variant inside its bound.
    pub(super) fn wished(&mut self, asked: Asked, now: Millis) {
        let Asked { bound, variant } = &asked;
        self.bound_use.note(bound, &variant.model, now);
        let topology = &self.topology;
        // Who wishes for what is there has not been told.
        for id in self.holders.of(&variant.model) {
            let Some(entry) = self.entries.get_mut(id) else { continue };
            let is_inside =
                bound.allows(topology.region_of(&entry.data_centre));
            if is_inside && entry.serves(variant) && !entry.uncertain {
                entry.changed = Some(now);
                // It may be gone, too: whoever wishes did not reach it.
                entry.uncertain = now.since(entry.asked) >= ASK_EVERY_MS;
            }
        }
        let wish = self.wishes.entry(asked).or_default();
        wish.repeated = now;
    }

    /// Begins an epoch, with what others ordered before.
    pub(super) fn begin_epoch(
        &mut self,
        epoch: u64,
        others: Option<InheritedLoads>,
    ) {
        self.stamp = Stamp { epoch, sequence: 0 };
        self.held_back = false;
        if let Some(others) = others {
            self.weight_loads.inherit(others);
        }
        self.lost.clear();
        self.peaks.clear();
        for entry in self.entries.values_mut() {
            entry.uncertain = true;
            entry.holding.sequence = 0;
        }
    }

    /// Returns the loads that were ordered without an answer and may begin
    /// yet.
    pub(super) fn lost_loads(&mut self, now: Millis) -> LostLoads {
        self.weight_loads.lost(now)
    }

    /// Returns what engines hold since the last orders.
    pub(super) fn news(&self, now: Millis) -> Vec<EngineHolding> {
        self.told(|_, entry| entry.is_news(now))
    }

    /// Returns those of the news that were not told yet.
    pub(super) fn news_beyond(
        &self,
        known: &UpstreamRegistry,
        now: Millis,
    ) -> Vec<EngineHolding> {
        let is_news = |id: &UpstreamId, entry: &Entry| {
            entry.is_news(now) && !known.has_holding_report(id, entry.stamp)
        };
        self.told(is_news)
    }

    /// Returns what engines take requests for that give a model up: their
    /// own word in the list says otherwise until they have.
    pub(super) fn unloading(&self) -> Vec<EngineHolding> {
        self.told(|_, entry| entry.unloading.is_some())
    }

    fn told(
        &self,
        which: impl Fn(&UpstreamId, &Entry) -> bool,
    ) -> Vec<EngineHolding> {
        let entries = self.entries.iter().filter(|(id, one)| which(id, one));
        let told = entries.map(|(id, entry)| EngineHolding {
            engine: id.clone(),
            started_at_ms: entry.start.started_at_ms,
            holding: entry.usable(),
            stamp: entry.stamp,
        });
        told.collect()
    }

    /// Takes in which engines asked this gateway for rest, or take a limited
    /// number of requests: questions and orders would be some of them.
    pub(super) fn note_rests(
        &mut self,
        rests: &UpstreamBackoffs,
        limits: &UpstreamLimits,
        now: Millis,
    ) {
        for entry in self.entries.values_mut() {
            entry.resting = !rests.is_ready(&entry.start, now)
                || limits.rate(&entry.start).is_some();
        }
    }

    /// Does what is due for one service while orders may be given.
    pub(super) fn tick(
        &mut self,
        now: Millis,
        service: &ServiceName,
        spec: &EngineSpec,
        demand: &DemandSum,
    ) {
        for entry in self.entries.values_mut() {
            entry.forget_arrivals(now);
        }
        self.holders.rebuild_if_due(&self.entries, now);
        self.note_bound_use(demand, now);
        self.ask_where_due(service, now);
        self.place_adapters(now, service, spec, demand);
        if self.mechanisms.adapters_ahead {
            self.bring_adapters(now, service, spec, demand);
        }
    }

    /// Plans the models of all services, if that is due, and returns how many
    /// loads from the weight store count.
    pub(super) fn plan_if_due(
        &mut self,
        now: Millis,
        catalog: &Catalog,
        demand: &DemandSum,
        loads: &Loads,
    ) -> Option<LoadCount> {
        if now.since(self.planned) < PLAN_EVERY_MS {
            return None;
        }
        self.planned = now;
        let rate = self.load_rate(catalog)?;
        self.tell_held_back(now, rate);
        self.plan_models(now, catalog, rate, demand, loads);
        let counted = self.weight_loads.count(rate, now);
        Some(LoadCount { counted, allowed: rate.in_window() })
    }

    /// Notes which models are used inside bounds.
    fn note_bound_use(&mut self, demand: &DemandSum, now: Millis) {
        for (bound, variants) in demand {
            for variant in variants.keys() {
                self.bound_use.note(bound, &variant.model, now);
            }
        }
        self.bound_use.pass(now);
    }

    /// Tells whether an engine is inside a bound.
    fn is_inside(&self, bound: &RegionBound, entry: &Entry) -> bool {
        bound.allows(self.topology.region_of(&entry.data_centre))
    }

    /// Asks engines of which a report is needed, those first that answered
    /// lately and were left alone the longest.
    fn ask_where_due(&mut self, service: &ServiceName, now: Millis) {
        let free = MOST_QUESTIONS.saturating_sub(self.questions);
        if free == 0 {
            return;
        }
        let of_service =
            self.entries.iter().filter(|(_, entry)| entry.service == *service);
        let mut due: Vec<(bool, Millis, &UpstreamId)> = of_service
            .filter(|(_, entry)| entry.is_question_due(now))
            .map(|(id, entry)| (entry.failures > 0, entry.asked, id))
            .collect();
        due.sort_unstable();
        due.truncate(free);
        let due: Vec<UpstreamId> =
            due.into_iter().map(|(_, _, id)| id.clone()).collect();
        for id in due {
            self.ask(&id, now);
        }
    }

    fn ask(&mut self, id: &UpstreamId, now: Millis) {
        let Some(entry) = self.entries.get_mut(id) else { return };
        entry.under_way = true;
        entry.asked = now;
        self.questions += 1;
        let (engines, inputs) = (self.engines.clone(), self.inputs.clone());
        let (start, address) = (entry.start.clone(), entry.address);
        tokio::task::spawn_local(async move {
            let report = engines.report(address).await;
            let input = Input::Reported { start, report };
            let _ = inputs.send(input);
        });
    }

    /// Takes in an engine's report, which one of its starts was asked for.
    pub(super) fn reported(
        &mut self,
        start: &UpstreamStart,
        report: Result<EngineReport, PortError>,
        now: Millis,
    ) {
        self.questions = self.questions.saturating_sub(1);
        let Some(entry) = self.entries.get_mut(&start.id) else { return };
        if entry.start != *start {
            // An earlier start was asked.
            return;
        }
        entry.under_way = false;
        let report = match report {
            Ok(report) => report,
            Err(error) => {
                log::debug!("{} did not report: {error}", start.id);
                entry.failures += 1;
                entry.left_alone_until = now + AFTER_FAILURE_MS;
                return;
            }
        };
        entry.failures = 0;
        if entry.is_of_this_start(report.birth) {
            let orders = report.holding.sequence;
            self.weight_loads.record_accepted(start, orders, now);
        }
        if entry.is_later(report.birth) {
            entry.begin_anew(report.birth);
            entry.change(now, &mut self.stamp);
        }
        let is_old = !entry.is_of_this_start(report.birth)
            || report.holding.sequence < entry.holding.sequence;
        if is_old && entry.old_reports < MOST_OLD_REPORTS {
            // It is from before the last order.
            entry.old_reports += 1;
            entry.left_alone_until = now + ASK_EVERY_MS / 4;
            return;
        }
        if !entry.is_of_this_start(report.birth) {
            // Its clock went back.
            entry.begin_anew(report.birth);
            entry.change(now, &mut self.stamp);
        }
        entry.old_reports = 0;
        entry.uncertain = false;
        entry.busy = report.busy;
        let told = entry.usable();
        if !report.busy {
            entry.loading = None;
            entry.unloading = None;
        }
        entry.holding = report.holding;
        self.holders.note(&start.id, entry);
        if entry.usable() != told {
            entry.change(now, &mut self.stamp);
        }
        entry.copies = report.copies;
    }
}
