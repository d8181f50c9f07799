//! Planning which engine loads and unloads which model.

use std::collections::{BTreeMap, BTreeSet};

use valehold_core::{
    Millis,
    fleet::{
        Variant,
        catalog::EngineSpec,
        replicas::{self, EngineState, ModelNeed, ReplicaStep},
        window::Window,
    },
    id::{ModelName, ServiceName, UpstreamId},
};
use valehold_ports::port::fleet::OrderWish;

use super::Placer;
use crate::{
    control::{
        entry::Entry,
        needs::{needs, note_peaks},
    },
    peers::{message::VariantDemand, roster::sums::Loads},
};

/// The part of a window in which only as much of its loads begins. The next
/// holder counts anew, and what the last one began still counts.
const BURST_PART: f64 = 0.4;

/// When one service was planned, and the loads that began lately.
#[derive(Debug)]
pub(super) struct Pacing {
    pub(super) planned: Millis,
    long: Window,
    short: Window,
}

impl Pacing {
    fn note(&mut self, now: Millis) {
        self.long.note(now);
        self.short.note(now);
    }

    pub(super) fn take_back(&mut self, count: usize) {
        self.long.take_back(count);
        self.short.take_back(count);
    }
}

impl Placer {
    /// Notes which models of a service no sound engine holds.
    pub(super) fn note_lost(
        &mut self,
        now: Millis,
        service: &ServiceName,
        spec: &EngineSpec,
    ) {
        let of_service =
            self.entries.values().filter(|e| e.service == *service);
        let held: BTreeSet<&ModelName> = of_service
            .filter(|entry| entry.is_sound())
            .flat_map(Entry::usable_models)
            .collect();
        let lost = self.lost.entry(service.clone()).or_default();
        lost.retain(|model, _| !held.contains(model));
        for model in &spec.models {
            if !held.contains(&model.name) {
                lost.entry(model.name.clone()).or_insert(now);
            }
        }
    }

    pub(super) fn place_models(
        &mut self,
        now: Millis,
        service: &ServiceName,
        spec: &EngineSpec,
        demand: &BTreeMap<Variant, VariantDemand>,
        loads: &Loads,
    ) {
        let lost = self.lost.get(service).into_iter().flatten();
        let mut needs = needs(demand, lost, now);
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
                load: load_of(loads, id),
            })
            .collect();
        if self.mechanisms.busy_models_kept {
            let peaks = self.peaks.entry(service.clone()).or_default();
            note_peaks(peaks, &mut needs, &states, now);
        }
        if log::log_enabled!(log::Level::Debug) {
            log_needs(&needs, &states);
        }
        let allowed = self.loads_left(now, service, spec);
        for step in replicas::plan(spec, &needs, &states, allowed) {
            match step {
                ReplicaStep::Load { engine, model, from_store } => {
                    if from_store {
                        self.pacing_of(service).note(now);
                    }
                    let variant = Variant { model, adapter: None };
                    let wish = OrderWish::Load(variant);
                    self.order_checked(&engine, wish, spec, now);
                }
                ReplicaStep::Unload { engine, model } => {
                    let variant = Variant { model, adapter: None };
                    let wish = OrderWish::Unload(variant);
                    self.order_checked(&engine, wish, spec, now);
                }
            }
        }
    }

    /// Returns how many loads may begin now.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    pub(super) fn loads_left(
        &mut self,
        now: Millis,
        service: &ServiceName,
        spec: &EngineSpec,
    ) -> usize {
        let in_window = spec.loads_per_second * self.load_window_s;
        let allowed = |part: f64| ((in_window * part) as usize).max(1);
        let began = self.pacing_of(service);
        let left = allowed(1.0).saturating_sub(began.long.count(now));
        let burst = allowed(BURST_PART).saturating_sub(began.short.count(now));
        left.min(burst)
    }

    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    pub(super) fn pacing_of(&mut self, service: &ServiceName) -> &mut Pacing {
        let span_ms = self.load_window_s * 1_000.0;
        self.pacing.entry(service.clone()).or_insert_with(|| Pacing {
            planned: Millis::default(),
            long: Window::new(span_ms as u64),
            short: Window::new((span_ms * BURST_PART) as u64),
        })
    }
}

/// Logs what each model needs and has.
fn log_needs(needs: &BTreeMap<ModelName, ModelNeed>, engines: &[EngineState]) {
    for (model, need) in needs {
        let holds = |e: &&EngineState| e.holding.models.contains_key(model);
        let held = engines.iter().filter(holds).count();
        let ModelNeed { busy, adapters, .. } = need;
        log::debug!("{model}: busy {busy:.2}, {adapters:.1} adapters, {held}");
    }
}

/// Returns the least time that a load from the weight store takes, in ms.
#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss
)]
fn load_of(loads: &Loads, id: &UpstreamId) -> f64 {
    loads.get(&id.tag()).map_or(0.0, |load| f64::from(load.running))
}
