//! Planning which engine loads and unloads which model.

use std::collections::{BTreeMap, BTreeSet};

use valehold_core::{
    Millis,
    fleet::{
        Catalog, RegionBound, UpstreamStart, Variant,
        catalog::EngineSpec,
        replicas::{
            self, EngineState, ModelNeed, ModelNeeds, Needs, ReplicaStep,
        },
        topology::Topology,
        weight_loads::LoadRate,
    },
    id::{ModelName, ServiceName},
};
use valehold_ports::port::fleet::OrderWish;

use super::{LostModels, Placer};
use crate::{
    control::{
        entry::Entry,
        needs::{needs, note_lost, note_peaks},
    },
    events::Event,
    peers::roster::sums::{DemandSum, Loads},
};

impl Placer {
    /// Notes which models of a service no sound engine holds, or none inside
    /// a bound in which they are used.
    fn note_lost(
        &mut self,
        now: Millis,
        service: &ServiceName,
        spec: &EngineSpec,
    ) {
        let mut last = self.lost.remove(service).unwrap_or_default();
        let models = spec.models.iter().map(|model| &model.name);
        let mut note = |bound: &RegionBound, missed: Vec<&ModelName>| {
            let last = last.remove(bound).unwrap_or_default();
            let since = |model| last.get(model).copied().unwrap_or(now);
            let since = missed.into_iter().map(|m| (m.clone(), since(m)));
            (bound.clone(), since.collect())
        };
        let anywhere = RegionBound::Anywhere;
        let missed = self.missed(service, &anywhere, models);
        let mut lost = LostModels::from([note(&anywhere, missed)]);
        for (bound, models) in self.bound_use.bounds() {
            let models = models.filter(|model| spec.model(model).is_some());
            let missed = self.missed(service, bound, models);
            lost.extend([note(bound, missed)]);
        }
        self.lost.insert(service.clone(), lost);
    }

    /// Returns those models that no sound engine inside a bound takes
    /// requests for.
    fn missed<'a>(
        &self,
        service: &ServiceName,
        bound: &RegionBound,
        models: impl Iterator<Item = &'a ModelName>,
    ) -> Vec<&'a ModelName> {
        let entries = self.entries.values();
        let sound = entries.filter(|entry| {
            entry.service == *service
                && entry.is_sound()
                && self.is_inside(bound, entry)
        });
        let held: BTreeSet<&ModelName> =
            sound.flat_map(Entry::usable_models).collect();
        models.filter(|model| !held.contains(model)).collect()
    }

    /// Plans the models of all services. They share what the weight store
    /// bears, and take turns at the larger part of it.
    pub(super) fn plan_models(
        &mut self,
        now: Millis,
        catalog: &Catalog,
        rate: LoadRate,
        demand: &DemandSum,
        loads: &Loads,
    ) {
        let mut services: Vec<_> = catalog.engine_specs().collect();
        let first = self.turn % services.len().max(1);
        services.rotate_left(first);
        self.turn = first + 1;
        let mut waiting = services.len();
        for (service, spec) in services {
            let left = self.weight_loads.available(rate, now);
            let allowed = left.div_ceil(waiting);
            waiting -= 1;
            self.note_lost(now, service, spec);
            self.place_models(now, service, spec, demand, loads, allowed);
        }
    }

    fn place_models(
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
                holding: entry.usable(),
                loading: entry.loading.clone(),
                busy: entry.busy || !entry.may_order(now),
                sound: entry.is_sound(),
                copies: match self.mechanisms.copies_first {
                    true => entry.copies.clone(),
                    false => BTreeSet::new(),
                },
                is_counted: self.weight_loads.is_counted(&entry.next_place()),
                load: load_of(loads, &entry.start),
            })
            .collect();
        let needs = self.needs(now, service, demand, &states);
        if log::log_enabled!(log::Level::Debug) {
            log_needs(&needs.everywhere, &states);
        }
        let topology = Some(&self.topology);
        let steps =
            replicas::plan_by_place(spec, &needs, &states, topology, allowed);
        for step in steps {
            match step {
                ReplicaStep::Load { engine, model, source } => {
                    let variant = Variant { model, adapter: None };
                    let wish = OrderWish::Load(variant);
                    let source = Some(source);
                    self.order_checked(&engine, wish, source, spec, now);
                }
                ReplicaStep::Unload { engine, model } => {
                    let variant = Variant { model, adapter: None };
                    let wish = OrderWish::Unload(variant);
                    self.order_checked(&engine, wish, None, spec, now);
                }
            }
        }
    }

    /// Returns what the models need, everywhere and inside bounds.
    fn needs(
        &mut self,
        now: Millis,
        service: &ServiceName,
        demand: &DemandSum,
        states: &[EngineState],
    ) -> Needs {
        let mut needs = needs(demand, &self.bound_use);
        let lost = self.lost.get(service);
        let lost_in = |bound| lost.and_then(|lost| lost.get(bound));
        let anywhere = RegionBound::Anywhere;
        let everywhere = std::iter::once((&anywhere, &mut needs.everywhere));
        let peaks = self.peaks.entry(service.clone()).or_default();
        peaks.retain(|bound, _| {
            *bound == anywhere || needs.bounds.contains_key(bound)
        });
        for (bound, needs) in everywhere.chain(&mut needs.bounds) {
            if let Some(lost) = lost_in(bound) {
                note_lost(needs, lost, now);
            }
            if self.mechanisms.busy_models_kept {
                let mut replicas =
                    replicas_inside(states, bound, &self.topology);
                // Inside a bound, only what is used there is looked after.
                replicas.retain(|model, _| {
                    *bound == anywhere || needs.contains_key(model)
                });
                let peaks = peaks.entry(bound.clone()).or_default();
                note_peaks(peaks, needs, replicas, now);
            }
        }
        needs
    }

    /// Returns what the weight store bears, if any service has engines.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    pub(super) fn load_rate(&self, catalog: &Catalog) -> Option<LoadRate> {
        let window_ms = (self.load_window_s * 1_000.0) as u64;
        let per_second = catalog.loads_per_second()?;
        Some(LoadRate { per_second, window_ms })
    }

    /// Logs that no more loads may begin for now, once.
    pub(super) fn tell_held_back(&mut self, now: Millis, rate: LoadRate) {
        let is_held_back = self.weight_loads.available(rate, now) == 0;
        let was_held_back =
            std::mem::replace(&mut self.held_back, is_held_back);
        if is_held_back && !was_held_back {
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

/// Logs what each model needs and has.
fn log_needs(needs: &ModelNeeds, engines: &[EngineState]) {
    for (model, need) in needs {
        let holds = |e: &&EngineState| e.holding.models.contains_key(model);
        let held = engines.iter().filter(holds).count();
        let ModelNeed { busy, adapters, .. } = need;
        log::debug!("{model}: busy {busy:.2}, {adapters:.1} adapters, {held}");
    }
}

/// Returns how many requests are under way at one start of an engine.
fn load_of(loads: &Loads, start: &UpstreamStart) -> f64 {
    loads.get(&start.tag()).map_or(0.0, |load| f64::from(load.running))
}
