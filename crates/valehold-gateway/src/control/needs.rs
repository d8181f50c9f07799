//! What the demand that all gateways hear asks of each model.

use std::collections::BTreeMap;

use valehold_core::{
    Millis,
    fleet::{
        RegionBound,
        asked::BoundUse,
        peaks::Peaks,
        replicas::{ModelNeeds, Needs},
    },
    id::ModelName,
};

use crate::peers::{message::VariantDemand, roster::sums::DemandSum};

/// For how long a request keeps its adapter in use, in s.
const ADAPTER_USE_S: f64 = 2.0;

/// Returns what each model needs, everywhere and inside the bounds in which
/// it is used.
pub(super) fn needs(demand: &DemandSum, used: &BoundUse) -> Needs {
    let everywhere = needs_within(demand, &RegionBound::Anywhere);
    let bounds = used.bounds().map(|(bound, models)| {
        let all = needs_within(demand, bound);
        let need = |model: &ModelName| all.get(model).copied();
        let needs = models
            .map(|model| (model.clone(), need(model).unwrap_or_default()));
        (bound.clone(), needs.collect())
    });
    Needs { everywhere, bounds: bounds.collect() }
}

/// Returns what the demand asks of each model that can be served inside a
/// bound only.
fn needs_within(demand: &DemandSum, bound: &RegionBound) -> ModelNeeds {
    let inside = demand.iter().filter(|(of, _)| of.is_within(bound));
    let mut needs = ModelNeeds::new();
    for (variant, one) in inside.flat_map(|(_, variants)| variants) {
        let need = needs.entry(variant.model.clone()).or_default();
        need.busy += f64::from(one.busy_engines);
        if variant.adapter.is_some() {
            need.adapters += expected_in_use(one);
        }
    }
    needs
}

/// Adds to each model's need for how long it has been lost.
pub(super) fn note_lost(
    needs: &mut ModelNeeds,
    lost: &BTreeMap<ModelName, Millis>,
    now: Millis,
) {
    for (model, since) in lost {
        let need = needs.entry(model.clone()).or_default();
        need.lost_ms = now.since(*since);
    }
}

/// Adds to each model's need how busy it was lately, given how many of the
/// engines there hold it.
pub(super) fn note_peaks(
    peaks: &mut Peaks,
    needs: &mut ModelNeeds,
    replicas: BTreeMap<ModelName, usize>,
    now: Millis,
) {
    let busy = needs.iter().map(|(model, need)| (model.clone(), need.busy));
    peaks.follow(&busy.collect(), &replicas, now);
    for model in replicas.into_keys() {
        let need = needs.entry(model.clone()).or_default();
        need.lately = peaks.of(&model);
    }
}

/// Returns the chance that an adapter is in use at a moment.
fn expected_in_use(demand: &VariantDemand) -> f64 {
    let requests = f64::from(demand.requests_per_second);
    match demand.running {
        0 => 1.0 - (-requests * ADAPTER_USE_S).exp(),
        _ => 1.0,
    }
}
