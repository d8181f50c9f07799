//! What the demand that all gateways hear asks of each model.

use std::collections::BTreeMap;

use valehold_core::{
    Millis,
    fleet::{
        Variant,
        peaks::Peaks,
        replicas::{EngineState, ModelNeed},
    },
    id::ModelName,
};

use crate::peers::message::VariantDemand;

/// For how long a request keeps its adapter in use, in s.
const ADAPTER_USE_S: f64 = 2.0;

/// Returns what each model needs, given since when some of them are lost.
pub(super) fn needs<'a>(
    demand: &BTreeMap<Variant, VariantDemand>,
    lost: impl Iterator<Item = (&'a ModelName, &'a Millis)>,
    now: Millis,
) -> BTreeMap<ModelName, ModelNeed> {
    let mut needs: BTreeMap<ModelName, ModelNeed> = BTreeMap::new();
    for (variant, one) in demand {
        let need = needs.entry(variant.model.clone()).or_default();
        need.busy += f64::from(one.busy);
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

/// Adds to each model's need how busy it was lately.
pub(super) fn note_peaks(
    peaks: &mut Peaks,
    needs: &mut BTreeMap<ModelName, ModelNeed>,
    engines: &[EngineState],
    now: Millis,
) {
    let busy = needs.iter().map(|(model, need)| (model.clone(), need.busy));
    let mut replicas: BTreeMap<ModelName, usize> = BTreeMap::new();
    for model in engines.iter().flat_map(|e| e.holding.models.keys()) {
        *replicas.entry(model.clone()).or_default() += 1;
    }
    peaks.follow(&busy.collect(), &replicas, now);
    for model in replicas.into_keys() {
        let need = needs.entry(model.clone()).or_default();
        need.lately = peaks.of(&model);
    }
}

/// Returns the chance that an adapter is in use at a moment.
fn expected_in_use(demand: &VariantDemand) -> f64 {
    let requests = f64::from(demand.requests);
    match demand.running {
        0 => 1.0 - (-requests * ADAPTER_USE_S).exp(),
        _ => 1.0,
    }
}
