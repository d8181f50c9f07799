//! Placement of models and adapters on engines, by orders to the engines.
//!
//! Every order states how many orders its engine must have accepted before. A
//! decision rests on the engine's holding after that number of orders, and the
//! engine executes the order only if the number still matches. An order that
//! arrives late, or that an order of another holder has overtaken, has no
//! effect.
//!
//! - `models` plans which engine loads and unloads which model.
//! - `adapters` places adapters.
//! - `holders` finds the engines that hold a model.
//! - `known_models` keeps the sizes of models, and finds those that engines
//!   hold although they are no longer declared.
//! - `orders` sends the orders and processes their results.

mod adapters;
mod holders;
mod known_models;
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
        BoundVariant, Catalog, EngineHolding, EvacuationState, Listing,
        RegionBound, Upstream, UpstreamRegistry, UpstreamStart, Variant,
        backoff::UpstreamBackoffs,
        bound_usage::BoundUsage,
        catalog::EngineSpec,
        peak_demand::PeakDemand,
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
    adapters::{LoadRequest, PreloadScan},
    holders::ModelHolders,
    known_models::ModelRecords,
};
use super::{
    entry::{EngineEntry, POLL_INTERVAL_MS},
    input::Input,
};
use crate::{
    mechanisms::MechanismSettings,
    peers::roster::sums::{DemandSum, Loads},
};

/// The minimum interval between two plans for models, in ms.
const PLAN_INTERVAL_MS: u64 = 250;

/// The maximum number of engines that are polled at the same time. Each poll
/// holds a connection, and the number of connections of a machine is limited,
/// however many engines there are.
const MAX_POLLS_IN_FLIGHT: usize = 256;

/// How long an engine gets no further calls after a poll or an order without
/// an answer, in ms.
const FAILURE_BACKOFF_MS: u64 = 200;

/// The number of consecutive reports older than the entry after which the next
/// report is applied nonetheless. Reports lag by less than the time that so
/// many polls take, so the entry is wrong by then.
const MAX_STALE_REPORTS: u32 = 6;

/// Counts of loads from the weight store, for metrics.
#[derive(Debug, Clone, Copy)]
pub(super) struct LoadCount {
    /// The loads that started in the last window or may still start.
    pub(super) counted: usize,
    /// The number of loads that may start in a window.
    pub(super) allowed: usize,
}

/// The lease data that orders carry.
#[derive(Clone)]
pub(super) struct Authority {
    /// The holder of the lease: this gateway.
    pub(super) holder: InstanceId,
    /// Returns the epoch if an order may be sent at this moment, and records
    /// that an order is sent.
    pub(super) epoch: Rc<dyn Fn() -> Option<u64>>,
}

/// For each bound, the models that are missing inside the bound, and since
/// when.
type MissingModels = BTreeMap<RegionBound, BTreeMap<ModelName, Millis>>;

/// Places models and adapters on engines while this gateway holds the lease.
pub(super) struct Placer {
    engines: Arc<dyn FleetEngines>,
    inputs: mpsc::UnboundedSender<Input>,
    authority: Authority,
    entries: BTreeMap<UpstreamId, EngineEntry>,
    holders: ModelHolders,
    /// The sizes of models, and the models that are no longer declared.
    models: ModelRecords,
    /// The number of engines that are being polled.
    polls_in_flight: usize,
    /// Data centres that operators evacuate.
    evacuated: BTreeSet<DataCentreId>,
    load_requests: BTreeMap<BoundVariant, LoadRequest>,
    preload_scans: BTreeMap<ServiceName, PreloadScan>,
    /// The models of each service that no available engine serves, or no
    /// available engine inside a bound in which the model is used, and since
    /// when.
    missing: BTreeMap<ServiceName, MissingModels>,
    /// The models that are used inside each bound.
    bound_usage: BoundUsage,
    /// Adapters with a load order in flight.
    pending_adapter_orders: BTreeSet<Variant>,
    /// When models were last planned.
    planned_at: Millis,
    weight_loads: WeightLoads,
    /// Whether the last plan found that no more loads from the weight store
    /// may start.
    loads_exhausted: bool,
    /// The index of the service that is planned first in the next plan.
    next_service_index: usize,
    peaks: BTreeMap<ServiceName, BTreeMap<RegionBound, PeakDemand>>,
    topology: Topology,
    load_window_s: f64,
    mechanisms: MechanismSettings,
    /// The last stamp of an advertised holding.
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
            models: ModelRecords::default(),
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
            bound_usage: BoundUsage::default(),
            topology,
            load_window_s,
            mechanisms,
            stamp: Stamp::default(),
        }
    }

    /// Records the models that a new configuration declares. `listing` is the
    /// list of upstreams, as this gateway may not hold the lease.
    pub(super) fn record_catalog(
        &mut self,
        catalog: &Catalog,
        listing: &Listing,
        now: Millis,
    ) {
        let mut held: BTreeMap<&ServiceName, BTreeSet<&ModelName>> =
            BTreeMap::new();
        for entry in self.entries.values() {
            let models = held.entry(&entry.service).or_default();
            models.extend(entry.holding.models.keys());
            models.extend(&entry.loading);
        }
        for upstream in listing.upstreams.values() {
            let models = held.entry(&upstream.service).or_default();
            models.extend(upstream.holding.models.keys());
        }
        self.models.record_catalog(catalog, &held, now);
    }

    /// Updates the evacuated data centres. Engines in an evacuated data centre
    /// count as unavailable, so that their models are loaded elsewhere.
    pub(super) fn evacuate(&mut self, evacuations: &EvacuationState) {
        self.evacuated = evacuations.ordered().cloned().collect();
        for entry in self.entries.values_mut() {
            entry.set_evacuated(self.evacuated.contains(&entry.data_centre));
        }
    }

    /// Applies a whole list of upstreams.
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

    /// Applies the changes of some upstreams in the list.
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

    /// Handles a load request: a request of a caller waits for a variant
    /// inside a bound.
    pub(super) fn on_load_request(
        &mut self,
        requested: BoundVariant,
        now: Millis,
    ) {
        let BoundVariant { bound, variant } = &requested;
        self.bound_usage.record(bound, &variant.model, now);
        let topology = &self.topology;
        // A load request for a variant that an engine already serves means
        // that the requesting gateway has missed the advertisement.
        for id in self.holders.engines_with(&variant.model) {
            let Some(entry) = self.entries.get_mut(id) else { continue };
            let is_inside =
                bound.allows(topology.region_of(&entry.data_centre));
            if is_inside && entry.serves(variant) && !entry.needs_report {
                entry.advertised_since = Some(now);
                // The requesting gateway may also have failed to reach the
                // engine, which may be gone.
                entry.needs_report =
                    now.since(entry.polled_at) >= POLL_INTERVAL_MS;
            }
        }
        let request = self.load_requests.entry(requested).or_default();
        request.last_made = now;
    }

    /// Begins a lease epoch, with the loads that earlier holders ordered.
    pub(super) fn begin_epoch(
        &mut self,
        epoch: u64,
        inherited: Option<InheritedLoads>,
    ) {
        self.stamp = Stamp { epoch, sequence: 0 };
        self.loads_exhausted = false;
        if let Some(inherited) = inherited {
            self.weight_loads.inherit(inherited);
        }
        self.missing.clear();
        self.models.begin_epoch();
        self.peaks.clear();
        for entry in self.entries.values_mut() {
            entry.needs_report = true;
            entry.holding.sequence = 0;
        }
    }

    /// Returns the loads whose orders were not answered and that may still
    /// start.
    pub(super) fn lost_loads(&mut self, now: Millis) -> LostLoads {
        self.weight_loads.lost(now)
    }

    /// Returns the recently changed holdings of engines, for peers.
    pub(super) fn holdings_to_advertise(
        &self,
        now: Millis,
    ) -> Vec<EngineHolding> {
        self.holdings_where(|_, entry| entry.needs_advertising(now))
    }

    /// Returns the recently changed holdings that a registry of upstreams has
    /// not received.
    pub(super) fn holdings_unknown_to(
        &self,
        registry: &UpstreamRegistry,
        now: Millis,
    ) -> Vec<EngineHolding> {
        let is_due = |id: &UpstreamId, entry: &EngineEntry| {
            entry.needs_advertising(now)
                && !registry.has_holding_report(id, entry.stamp)
        };
        self.holdings_where(is_due)
    }

    /// Returns the usable holdings of engines that are unloading a model. The
    /// list of upstreams still contains the model until the unload is
    /// complete.
    pub(super) fn unloading_holdings(&self) -> Vec<EngineHolding> {
        self.holdings_where(|_, entry| entry.unloading.is_some())
    }

    /// Returns the usable holdings of the engines that satisfy a predicate.
    fn holdings_where(
        &self,
        predicate: impl Fn(&UpstreamId, &EngineEntry) -> bool,
    ) -> Vec<EngineHolding> {
        let entries =
            self.entries.iter().filter(|(id, entry)| predicate(id, entry));
        let holdings = entries.map(|(id, entry)| EngineHolding {
            engine: id.clone(),
            started_at_ms: entry.start.started_at_ms,
            holding: entry.usable_holding(),
            stamp: entry.stamp,
        });
        holdings.collect()
    }

    /// Updates which engines asked this gateway to back off or accept a
    /// limited number of requests. Polls and orders would count as such
    /// requests.
    pub(super) fn update_restrictions(
        &mut self,
        backoffs: &UpstreamBackoffs,
        limits: &UpstreamLimits,
        now: Millis,
    ) {
        for entry in self.entries.values_mut() {
            entry.restricted = !backoffs.is_ready(&entry.start, now)
                || limits.rate(&entry.start).is_some();
        }
    }

    /// Performs the due work for one service while orders may be given, except
    /// for the plan of its models.
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

    /// Plans the models of all services if a plan is due, and returns the
    /// count of loads from the weight store.
    pub(super) fn plan_if_due(
        &mut self,
        now: Millis,
        catalog: &Catalog,
        demand: &DemandSum,
        loads: &Loads,
    ) -> Option<LoadCount> {
        if now.since(self.planned_at) < PLAN_INTERVAL_MS {
            return None;
        }
        self.planned_at = now;
        let rate = self.load_rate(catalog)?;
        self.log_loads_exhausted(now, rate);
        self.plan_models(now, catalog, rate, demand, loads);
        let counted = self.weight_loads.count(rate, now);
        Some(LoadCount { counted, allowed: rate.in_window() })
    }

    /// Records which models are used inside bounds.
    fn record_bound_usage(&mut self, demand: &DemandSum, now: Millis) {
        for (bound, variants) in demand {
            for variant in variants.keys() {
                self.bound_usage.record(bound, &variant.model, now);
            }
        }
        self.bound_usage.prune(now);
    }

    /// Returns whether an engine is inside a bound.
    fn is_inside(&self, bound: &RegionBound, entry: &EngineEntry) -> bool {
        bound.allows(self.topology.region_of(&entry.data_centre))
    }

    /// Polls engines whose report is needed, as far as the number of polls in
    /// flight permits. Engines without failed polls come first, and among
    /// equals those that were polled the longest ago.
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

    /// Handles the result of a poll, which was sent to the given start of an
    /// engine.
    pub(super) fn on_report(
        &mut self,
        start: &UpstreamStart,
        report: Result<EngineReport, PortError>,
        now: Millis,
    ) {
        self.polls_in_flight = self.polls_in_flight.saturating_sub(1);
        let Some(entry) = self.entries.get_mut(&start.id) else { return };
        if entry.start != *start {
            // The poll was sent to another start of the engine.
            return;
        }
        entry.call_in_flight = false;
        let report = match report {
            Ok(report) => report,
            Err(error) => {
                log::debug!("no report from engine {}: {error}", start.id);
                entry.failures += 1;
                entry.backoff_until = now + FAILURE_BACKOFF_MS;
                return;
            }
        };
        entry.failures = 0;
        if entry.is_current_start(report.birth) {
            let orders = report.holding.sequence;
            self.weight_loads.record_accepted(start, orders, now);
        }
        if entry.is_later_start(report.birth) {
            entry.restart(report.birth);
            entry.mark_changed(now, &mut self.stamp);
        }
        let is_stale = !entry.is_current_start(report.birth)
            || report.holding.sequence < entry.holding.sequence;
        if is_stale && entry.stale_reports < MAX_STALE_REPORTS {
            // The report may be older than the last order.
            entry.stale_reports += 1;
            entry.backoff_until = now + POLL_INTERVAL_MS / 4;
            return;
        }
        if !entry.is_current_start(report.birth) {
            // Reports keep stating an earlier start: the engine was restarted
            // after its clock had been set back.
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
