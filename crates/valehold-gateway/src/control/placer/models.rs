//! Plans of which engine loads and unloads which model.

use std::collections::{BTreeMap, BTreeSet};

use valehold_core::{
    Millis,
    fleet::{
        Catalog, RegionBound, UpstreamStart, Variant,
        catalog::EngineSpec,
        replicas::{
            self, EngineState, KnownModels, ModelNeed, ModelNeeds, Needs,
            ReplicaStep,
        },
        topology::Topology,
        weight_loads::LoadRate,
    },
    id::{ModelName, ServiceName},
};
use valehold_ports::port::fleet::OrderWish;

use super::{MissingModels, Placer};
use crate::{
    control::{
        entry::EngineEntry,
        needs::{add_missing_durations, add_peak_demand, needs},
    },
    events::Event,
    peers::roster::sums::{DemandSum, Loads},
};

impl Placer {
    /// Updates the missing models of a service: models that no available
    /// engine serves, or no available engine inside a bound in which the model
    /// is used.
    fn update_missing_models(
        &mut self,
        now: Millis,
        service: &ServiceName,
        spec: &EngineSpec,
    ) {
        let mut previous = self.missing.remove(service).unwrap_or_default();
        let models = spec.models.iter().map(|model| &model.name);
        let mut with_start = |bound: &RegionBound, models: Vec<&ModelName>| {
            let previous = previous.remove(bound).unwrap_or_default();
            let since = |model| previous.get(model).copied().unwrap_or(now);
            let since = models.into_iter().map(|m| (m.clone(), since(m)));
            (bound.clone(), since.collect())
        };
        let anywhere = RegionBound::Anywhere;
        let models = self.missing_models(service, &anywhere, models);
        let mut missing = MissingModels::from([with_start(&anywhere, models)]);
        for (bound, models) in self.bound_usage.bounds() {
            let models = models.filter(|model| spec.model(model).is_some());
            let models = self.missing_models(service, bound, models);
            missing.extend([with_start(bound, models)]);
        }
        self.missing.insert(service.clone(), missing);
    }

    /// Returns the models for which no available engine inside a bound accepts
    /// requests.
    fn missing_models<'a>(
        &self,
        service: &ServiceName,
        bound: &RegionBound,
        models: impl Iterator<Item = &'a ModelName>,
    ) -> Vec<&'a ModelName> {
        let entries = self.entries.values();
        let available = entries.filter(|entry| {
            entry.service == *service
                && entry.is_available()
                && self.is_inside(bound, entry)
        });
        let served: BTreeSet<&ModelName> =
            available.flat_map(EngineEntry::usable_models).collect();
        models.filter(|model| !served.contains(model)).collect()
    }

    /// Plans the models of all services.
    ///
    /// The services share the loads that the weight store permits. Shares are
    /// rounded up in the order of planning, so the services take turns to be
    /// planned first.
    pub(super) fn plan_models(
        &mut self,
        now: Millis,
        catalog: &Catalog,
        rate: LoadRate,
        demand: &DemandSum,
        loads: &Loads,
    ) {
        let mut services: Vec<_> = catalog.engine_specs().collect();
        let first = self.next_service_index % services.len().max(1);
        services.rotate_left(first);
        self.next_service_index = first + 1;
        let mut remaining_services = services.len();
        for (service, spec) in services {
            let available = self.weight_loads.available(rate, now);
            let allowed = available.div_ceil(remaining_services);
            remaining_services -= 1;
            self.update_missing_models(now, service, spec);
            self.place_models(now, service, spec, demand, loads, allowed);
        }
    }

    /// Plans the models of one service and sends the resulting orders, with at
    /// most `allowed` loads from the weight store.
    pub(super) fn place_models(
        &mut self,
        now: Millis,
        service: &ServiceName,
        spec: &EngineSpec,
        demand: &DemandSum,
        loads: &Loads,
        allowed: usize,
    ) {
        let states: Vec<EngineState> = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.service == *service)
            .map(|(id, entry)| EngineState {
                id: id.clone(),
                data_centre: entry.data_centre.clone(),
                software: entry.software().cloned(),
                holding: entry.usable_holding(),
                loading: entry.loading.clone(),
                has_pending_order: entry.executing_model_order
                    || !entry.may_order(now),
                is_available: entry.is_available(),
                copies: match self.mechanisms.copies_first {
                    true => entry.copies.clone(),
                    false => BTreeSet::new(),
                },
                has_counted_load: self
                    .weight_loads
                    .is_counted(&entry.next_position()),
                running_requests: running_requests(loads, &entry.start),
            })
            .collect();
        let needs = self.needs(now, service, demand, &states);
        if log::log_enabled!(log::Level::Debug) {
            log_needs(&needs.everywhere, &states);
        }
        let topology = Some(&self.topology);
        let removable = self.models.removable(service, spec, &states, now);
        let known = KnownModels {
            sizes: self.models.sizes_of(service),
            removable: &removable,
        };
        let steps = replicas::plan_with_bounds(
            spec, known, &needs, &states, topology, allowed,
        );
        for step in steps {
            match step {
                ReplicaStep::Load { engine, model, source } => {
                    let variant = Variant { model, adapter: None };
                    let action = OrderWish::Load(variant);
                    let source = Some(source);
                    self.verify_and_send_order(
                        &engine, action, source, service, spec, now,
                    );
                }
                ReplicaStep::Unload { engine, model } => {
                    let variant = Variant { model, adapter: None };
                    let action = OrderWish::Unload(variant);
                    self.verify_and_send_order(
                        &engine, action, None, service, spec, now,
                    );
                }
            }
        }
    }

    /// Returns the needs of the models of a service, in total and inside each
    /// bound.
    fn needs(
        &mut self,
        now: Millis,
        service: &ServiceName,
        demand: &DemandSum,
        states: &[EngineState],
    ) -> Needs {
        let mut needs = needs(demand, &self.bound_usage);
        let missing = self.missing.get(service);
        let missing_in =
            |bound| missing.and_then(|missing| missing.get(bound));
        let anywhere = RegionBound::Anywhere;
        let everywhere = std::iter::once((&anywhere, &mut needs.everywhere));
        let peaks = self.peaks.entry(service.clone()).or_default();
        peaks.retain(|bound, _| {
            *bound == anywhere || needs.bounds.contains_key(bound)
        });
        for (bound, needs) in everywhere.chain(&mut needs.bounds) {
            if let Some(missing) = missing_in(bound) {
                add_missing_durations(needs, missing, now);
            }
            if self.mechanisms.busy_models_kept {
                let mut replicas =
                    replicas_inside(states, bound, &self.topology);
                // Inside a bound, peak demand concerns only the models that
                // are used there.
                replicas.retain(|model, _| {
                    *bound == anywhere || needs.contains_key(model)
                });
                let peaks = peaks.entry(bound.clone()).or_default();
                add_peak_demand(peaks, needs, replicas, now);
            }
        }
        needs
    }

    /// Returns the rate of loads that the weight store permits, or `None` if
    /// no service has engines.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    pub(super) fn load_rate(&self, catalog: &Catalog) -> Option<LoadRate> {
        let window_ms = (self.load_window_s * 1_000.0) as u64;
        let per_second = catalog.loads_per_second()?;
        Some(LoadRate { per_second, window_ms })
    }

    /// Logs an event when the permitted loads from the weight store become
    /// exhausted.
    pub(super) fn log_loads_exhausted(&mut self, now: Millis, rate: LoadRate) {
        let is_exhausted = self.weight_loads.available(rate, now) == 0;
        let was_exhausted =
            std::mem::replace(&mut self.loads_exhausted, is_exhausted);
        if is_exhausted && !was_exhausted {
            Event::LoadsHeldBack {
                epoch: self.stamp.epoch,
                counted: self.weight_loads.count(rate, now),
                allowed: rate.in_window(),
            }
            .log();
        }
    }
}

/// Counts the engines inside a bound that hold each model.
fn replicas_inside(
    engines: &[EngineState],
    bound: &RegionBound,
    topology: &Topology,
) -> BTreeMap<ModelName, usize> {
    let inside = engines.iter().filter(|engine| {
        bound.allows(topology.region_of(&engine.data_centre))
    });
    let mut replicas = BTreeMap::new();
    for model in inside.flat_map(|engine| engine.holding.models.keys()) {
        *replicas.entry(model.clone()).or_default() += 1;
    }
    replicas
}

/// Logs the needs of each model and its number of replicas.
fn log_needs(needs: &ModelNeeds, engines: &[EngineState]) {
    for (model, need) in needs {
        let holds = |e: &&EngineState| e.holding.models.contains_key(model);
        let replicas = engines.iter().filter(holds).count();
        let ModelNeed { busy_engines, adapters_in_use, .. } = need;
        log::debug!(
            "model {model}: {busy_engines:.2} busy engines, \
             {adapters_in_use:.1} adapters in use, {replicas} replicas"
        );
    }
}

/// Returns the number of running requests at one start of an engine.
fn running_requests(loads: &Loads, start: &UpstreamStart) -> f64 {
    loads.get(&start.tag()).map_or(0.0, |load| f64::from(load.running))
}
