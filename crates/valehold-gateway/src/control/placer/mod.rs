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
        Asked, Catalog, EngineHolding, EvacuationState, KnownUpstreams,
        Listing, RegionBound, Upstream, UpstreamStart, Variant,
        asked::BoundUse,
        catalog::EngineSpec,
        peaks::Peaks,
        rest::Rests,
        topology::Topology,
        upstream_limit::UpstreamLimits,
        weight_loads::{Inheritance, LostLoads, WeightLoads},
    },
    id::{DataCentreId, InstanceId, ModelName, ServiceName, UpstreamId},
    order::Stamp,
};
use valehold_ports::{
    PortError,
    port::fleet::{EngineReport, FleetEngines},
};

use self::{
    adapters::{LoadRequest, PreloadScan},
    holders::ModelHolders,
};
use super::{
    entry::{EngineEntry, POLL_INTERVAL_MS},
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
const MAX_POLLS_IN_FLIGHT: usize = 256;

/// How long an engine is left alone after an order failed, in ms.
const FAILURE_BACKOFF_MS: u64 = 200;

/// After how many reports in a row from before an order its effect is taken
/// for what they say. Reports lag by less than so many questions take.
const MAX_STALE_REPORTS: u32 = 6;

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
type MissingModels = BTreeMap<RegionBound, BTreeMap<ModelName, Millis>>;

/// Gives orders to engines.
pub(super) struct Placer {
    engines: Arc<dyn FleetEngines>,
    inputs: mpsc::UnboundedSender<Input>,
    authority: Authority,
    entries: BTreeMap<UpstreamId, EngineEntry>,
    holders: ModelHolders,
    /// How many engines are being asked.
    polls_in_flight: usize,
    /// Data centres that are to be empty.
    evacuated: BTreeSet<DataCentreId>,
    load_requests: BTreeMap<Asked, LoadRequest>,
    preload_scans: BTreeMap<ServiceName, PreloadScan>,
    /// Models of each service that no sound engine holds, or none inside a
    /// bound in which they are used, and since when.
    missing: BTreeMap<ServiceName, MissingModels>,
    /// Which models are used inside which bounds.
    bound_usage: BoundUse,
    /// Adapters about which orders are under way.
    pending_adapter_orders: BTreeSet<Variant>,
    /// When models were planned last.
    planned_at: Millis,
    weight_loads: WeightLoads,
    /// Whether the weight store bore no more loads when it was planned last.
    loads_exhausted: bool,
    /// Which service plans first the next time.
    next_service_index: usize,
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
            holders: ModelHolders::default(),
            polls_in_flight: 0,
            evacuated: BTreeSet::new(),
            load_requests: BTreeMap::new(),
            preload_scans: BTreeMap::new(),
            missing: BTreeMap::new(),
            pending_adapter_orders: BTreeSet::new(),
            planned_at: Millis::default(),
            weight_loads: WeightLoads::default(),
            loads_exhausted: false,
            next_service_index: 0,
            peaks: BTreeMap::new(),
            bound_usage: BoundUse::default(),
            topology,
            load_window_s,
            mechanisms,
            stamp: Stamp::default(),
        }
    }

    /// Takes in which data centres are to be empty: engines in them count as
    /// gone, so that what they hold comes up elsewhere.
    pub(super) fn evacuate(&mut self, evacuations: &EvacuationState) {
        self.evacuated = evacuations.ordered().cloned().collect();
        for entry in self.entries.values_mut() {
            entry.set_evacuated(self.evacuated.contains(&entry.data_centre));
        }
    }

    /// Takes in the upstreams.
    pub(super) fn replace_listing(&mut self, listing: &Listing) {
        let entries = &mut self.entries;
        entries.retain(|id, _| listing.upstreams.contains_key(id));
        for upstream in listing.upstreams.values() {
            self.update_listing(upstream);
        }
    }

    fn update_listing(&mut self, upstream: &Arc<Upstream>) {
        let entry = self.entries.entry(upstream.id.clone());
        let entry = entry.or_insert_with(|| EngineEntry::new(upstream));
        entry.update_listing(upstream);
        entry.set_evacuated(self.evacuated.contains(&upstream.data_centre));
        self.holders.record(&upstream.id, entry);
    }

    /// Takes in what changed of some upstreams.
    pub(super) fn apply_listing_changes(
        &mut self,
        changed: &BTreeSet<UpstreamId>,
        listing: &Listing,
    ) {
        for id in changed {
            let Some(upstream) = listing.upstreams.get(id) else {
                self.entries.remove(id);
                continue;
            };
            self.update_listing(upstream);
        }
    }

    /// Takes in that a request waits for a variant inside its bound.
    pub(super) fn on_load_request(&mut self, asked: Asked, now: Millis) {
        let Asked { bound, variant } = &asked;
        self.bound_usage.note(bound, &variant.model, now);
        let topology = &self.topology;
        // Who wishes for what is there has not been told.
        for id in self.holders.engines_with(&variant.model) {
            let Some(entry) = self.entries.get_mut(id) else { continue };
            let is_inside =
                bound.allows(topology.region_of(&entry.data_centre));
            if is_inside && entry.serves(variant) && !entry.needs_report {
                entry.advertised_since = Some(now);
                // It may be gone, too: whoever wishes did not reach it.
                entry.needs_report =
                    now.since(entry.polled_at) >= POLL_INTERVAL_MS;
            }
        }
        let request = self.load_requests.entry(asked).or_default();
        request.last_made = now;
    }

    /// Begins an epoch, with what others ordered before.
    pub(super) fn begin_epoch(
        &mut self,
        epoch: u64,
        inherited: Option<Inheritance>,
    ) {
        self.stamp = Stamp { epoch, sequence: 0 };
        self.loads_exhausted = false;
        if let Some(inherited) = inherited {
            self.weight_loads.inherit(inherited);
        }
        self.missing.clear();
        self.peaks.clear();
        for entry in self.entries.values_mut() {
            entry.needs_report = true;
            entry.holding.sequence = 0;
        }
    }

    /// Returns the loads that were ordered without an answer and may begin
    /// yet.
    pub(super) fn lost_loads(&mut self, now: Millis) -> LostLoads {
        self.weight_loads.lost(now)
    }

    /// Returns what engines hold since the last orders.
    pub(super) fn holdings_to_advertise(
        &self,
        now: Millis,
    ) -> Vec<EngineHolding> {
        self.holdings_where(|_, entry| entry.needs_advertising(now))
    }

    /// Returns those of the news that were not told yet.
    pub(super) fn holdings_unknown_to(
        &self,
        peers_known: &KnownUpstreams,
        now: Millis,
    ) -> Vec<EngineHolding> {
        let is_due = |id: &UpstreamId, entry: &EngineEntry| {
            entry.needs_advertising(now)
                && !peers_known.was_told(id, entry.stamp)
        };
        self.holdings_where(is_due)
    }

    /// Returns what engines take requests for that give a model up: their
    /// own word in the list says otherwise until they have.
    pub(super) fn unloading_holdings(&self) -> Vec<EngineHolding> {
        self.holdings_where(|_, entry| entry.unloading.is_some())
    }

    fn holdings_where(
        &self,
        predicate: impl Fn(&UpstreamId, &EngineEntry) -> bool,
    ) -> Vec<EngineHolding> {
        let entries =
            self.entries.iter().filter(|(id, one)| predicate(id, one));
        let holdings = entries.map(|(id, entry)| EngineHolding {
            engine: id.clone(),
            birth: entry.start.birth,
            holding: entry.usable_holding(),
            stamp: entry.stamp,
        });
        holdings.collect()
    }

    /// Takes in which engines asked this gateway for rest, or take a limited
    /// number of requests: questions and orders would be some of them.
    pub(super) fn update_restrictions(
        &mut self,
        rests: &Rests,
        limits: &UpstreamLimits,
        now: Millis,
    ) {
        for entry in self.entries.values_mut() {
            entry.restricted = !rests.is_awake(&entry.start, now)
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
            entry.prune_recent_adapters(now);
        }
        self.holders.rebuild_if_due(&self.entries, now);
        self.record_bound_usage(demand, now);
        self.poll_due_engines(service, now);
        self.place_requested_adapters(now, service, spec, demand);
        if self.mechanisms.adapters_ahead {
            self.preload_adapters(now, service, spec, demand);
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
        if now.since(self.planned_at) < PLAN_EVERY_MS {
            return None;
        }
        self.planned_at = now;
        let rate = self.load_rate(catalog)?;
        self.log_loads_exhausted(now, rate);
        self.plan_models(now, catalog, rate, demand, loads);
        let counted = self.weight_loads.count(rate, now);
        Some(LoadCount { counted, allowed: rate.in_window() })
    }

    /// Notes which models are used inside bounds.
    fn record_bound_usage(&mut self, demand: &DemandSum, now: Millis) {
        for (bound, variants) in demand {
            for variant in variants.keys() {
                self.bound_usage.note(bound, &variant.model, now);
            }
        }
        self.bound_usage.pass(now);
    }

    /// Tells whether an engine is inside a bound.
    fn is_inside(&self, bound: &RegionBound, entry: &EngineEntry) -> bool {
        bound.allows(self.topology.region_of(&entry.data_centre))
    }

    /// Asks engines of which a report is needed, those first that answered
    /// lately and were left alone the longest.
    fn poll_due_engines(&mut self, service: &ServiceName, now: Millis) {
        let free = MAX_POLLS_IN_FLIGHT.saturating_sub(self.polls_in_flight);
        if free == 0 {
            return;
        }
        let engines =
            self.entries.iter().filter(|(_, entry)| entry.service == *service);
        let mut due: Vec<(bool, Millis, &UpstreamId)> = engines
            .filter(|(_, entry)| entry.is_poll_due(now))
            .map(|(id, entry)| (entry.failures > 0, entry.polled_at, id))
            .collect();
        due.sort_unstable();
        due.truncate(free);
        let due: Vec<UpstreamId> =
            due.into_iter().map(|(_, _, id)| id.clone()).collect();
        for id in due {
            self.poll_engine(&id, now);
        }
    }

    fn poll_engine(&mut self, id: &UpstreamId, now: Millis) {
        let Some(entry) = self.entries.get_mut(id) else { return };
        entry.call_in_flight = true;
        entry.polled_at = now;
        self.polls_in_flight += 1;
        let (engines, inputs) = (self.engines.clone(), self.inputs.clone());
        let (start, address) = (entry.start.clone(), entry.address);
        tokio::task::spawn_local(async move {
            let report = engines.report(address).await;
            let input = Input::EngineReported { start, report };
            let _ = inputs.send(input);
        });
    }

    /// Takes in an engine's report, which one of its starts was asked for.
    pub(super) fn on_report(
        &mut self,
        start: &UpstreamStart,
        report: Result<EngineReport, PortError>,
        now: Millis,
    ) {
        self.polls_in_flight = self.polls_in_flight.saturating_sub(1);
        let Some(entry) = self.entries.get_mut(&start.id) else { return };
        if entry.start != *start {
            // An earlier start was asked.
            return;
        }
        entry.call_in_flight = false;
        let report = match report {
            Ok(report) => report,
            Err(error) => {
                log::debug!("{} did not report: {error}", start.id);
                entry.failures += 1;
                entry.backoff_until = now + FAILURE_BACKOFF_MS;
                return;
            }
        };
        entry.failures = 0;
        if entry.is_current_start(report.birth) {
            let orders = report.holding.sequence;
            self.weight_loads.seen(start, orders, now);
        }
        if entry.is_later_start(report.birth) {
            entry.restart(report.birth);
            entry.mark_changed(now, &mut self.stamp);
        }
        let is_stale = !entry.is_current_start(report.birth)
            || report.holding.sequence < entry.holding.sequence;
        if is_stale && entry.stale_reports < MAX_STALE_REPORTS {
            // It is from before the last order.
            entry.stale_reports += 1;
            entry.backoff_until = now + POLL_INTERVAL_MS / 4;
            return;
        }
        if !entry.is_current_start(report.birth) {
            // Its clock went back.
            entry.restart(report.birth);
            entry.mark_changed(now, &mut self.stamp);
        }
        entry.stale_reports = 0;
        entry.needs_report = false;
        entry.executing_model_order = report.busy;
        let advertised = entry.usable_holding();
        if !report.busy {
            entry.loading = None;
            entry.unloading = None;
        }
        entry.holding = report.holding;
        self.holders.record(&start.id, entry);
        if entry.usable_holding() != advertised {
            entry.mark_changed(now, &mut self.stamp);
        }
        entry.copies = report.copies;
    }
}
