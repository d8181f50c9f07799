//! The needs of each model, derived from the demand at all gateways.

use std::collections::BTreeMap;

use valehold_core::{
    Millis,
    fleet::{
        RegionBound,
        bound_usage::BoundUsage,
        peak_demand::PeakDemand,
        replicas::{ModelNeeds, Needs},
    },
    id::ModelName,
};

use crate::peers::{message::VariantDemand, roster::sums::DemandSum};

/// How long a request keeps its adapter in use, in s.
const ADAPTER_USE_S: f64 = 2.0;

/// Returns the needs of each model, in total and inside each region bound in
/// which the model is used.
pub(super) fn needs(demand: &DemandSum, usage: &BoundUsage) -> Needs {
    let everywhere = needs_within(demand, &RegionBound::Anywhere);
    let bounds = usage.bounds().map(|(bound, models)| {
        let all = needs_within(demand, bound);
        let need = |model: &ModelName| all.get(model).copied();
        let needs = models
            .map(|model| (model.clone(), need(model).unwrap_or_default()));
        (bound.clone(), needs.collect())
    });
    Needs { everywhere, bounds: bounds.collect() }
}

/// Returns the needs of each model that result from the demand that has to be
/// served inside a bound.
fn needs_within(demand: &DemandSum, bound: &RegionBound) -> ModelNeeds {
    let matching = demand
        .iter()
        .filter(|(request_bound, _)| request_bound.is_within(bound));
    let mut needs = ModelNeeds::new();
    for (variant, demand) in matching.flat_map(|(_, variants)| variants) {
        let need = needs.entry(variant.model.clone()).or_default();
        need.busy_engines += f64::from(demand.busy);
        if variant.adapter.is_some() {
            need.adapters_in_use += probability_in_use(demand);
        }
    }
    needs
}

/// Adds to each missing model's need how long the model has been missing.
pub(super) fn add_missing_durations(
    needs: &mut ModelNeeds,
    missing: &BTreeMap<ModelName, Millis>,
    now: Millis,
) {
    for (model, since) in missing {
        let need = needs.entry(model.clone()).or_default();
        need.missing_ms = now.since(*since);
    }
}

/// Adds to each model's need its recent peak demand, given the number of
/// replicas of the model.
pub(super) fn add_peak_demand(
    peaks: &mut PeakDemand,
    needs: &mut ModelNeeds,
    replicas: BTreeMap<ModelName, usize>,
    now: Millis,
) {
    let busy =
        needs.iter().map(|(model, need)| (model.clone(), need.busy_engines));
    peaks.update(&busy.collect(), &replicas, now);
    for model in replicas.into_keys() {
        let need = needs.entry(model.clone()).or_default();
        need.recent_busy_engines = peaks.get(&model);
    }
}

/// Returns the probability that an adapter is in use at a given moment.
///
/// Arrivals are treated as a Poisson process: an adapter without running
/// requests is in use if a request arrived within the last
/// [`ADAPTER_USE_S`].
fn probability_in_use(demand: &VariantDemand) -> f64 {
    let requests = f64::from(demand.requests);
    match demand.running {
        0 => 1.0 - (-requests * ADAPTER_USE_S).exp(),
        _ => 1.0,
    }
}
