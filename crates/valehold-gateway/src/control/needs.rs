//! What the demand that all gateways hear asks of each model.

use std::collections::BTreeMap;

use valehold_core::{
    Millis,
    fleet::{Variant, catalog::EngineSpec, replicas::ModelNeed},
    id::ModelName,
};

use crate::peers::message::VariantDemand;

/// For how long a request keeps its adapter in use, in s.
const ADAPTER_USE_S: f64 = 2.0;

/// The part of an engine's slots at which its requests keep it wholly busy.
const BUSY_PART_OF_SLOTS: f64 = 0.4;

/// Returns what each model needs, given since when some of them are lost.
///
/// How busy its requests keep engines is the mean of two estimates: what the
/// requests that come ask for, which is known at once but takes all models
/// for equally fast, and how many are under way, which follows how long they
/// really take.
pub(super) fn needs(
    demand: &BTreeMap<Variant, VariantDemand>,
    lost: &BTreeMap<ModelName, Millis>,
    spec: &EngineSpec,
    now: Millis,
) -> BTreeMap<ModelName, ModelNeed> {
    let mut needs: BTreeMap<ModelName, ModelNeed> = BTreeMap::new();
    for (variant, one) in demand {
        let need = needs.entry(variant.model.clone()).or_default();
        need.busy += (f64::from(one.busy) + busy_by_running(one, spec)) / 2.0;
        if variant.adapter.is_some() {
            need.adapters += expected_in_use(one);
        }
    }
    for (model, since) in lost {
        let need = needs.entry(model.clone()).or_default();
        need.lost_ms = now.since(*since);
    }
    needs
}

fn busy_by_running(demand: &VariantDemand, spec: &EngineSpec) -> f64 {
    let full = f64::from(spec.slots.max(1)) * BUSY_PART_OF_SLOTS;
    f64::from(demand.running) / full
}

/// Returns the chance that an adapter is in use at a moment.
fn expected_in_use(demand: &VariantDemand) -> f64 {
    match demand.running {
        0 => 1.0 - (-f64::from(demand.requests) * ADAPTER_USE_S).exp(),
        _ => 1.0,
    }
}
