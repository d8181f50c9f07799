//! Decaying peaks of the demand for each model.
//!
//! The planner compares these peaks before it takes a replica from a model.
//! Demand comes in waves, so a model without requests for a second is not
//! idle, and a replica that is unloaded too early has to be loaded again. The
//! peak of a model therefore decays slowly. Before any demand is reported, a
//! model with several replicas is presumed to be busy.

use std::collections::BTreeMap;

use crate::{id::ModelName, time::Millis};

/// The half-life of a peak, in ms: about the time that it takes to load an
/// unloaded replica again.
const HALF_LIFE_MS: f64 = 4_000.0;

/// The utilization that is presumed for each replica of a model with several
/// replicas before any demand is reported.
const PRESUMED_UTILIZATION: f64 = 0.3;

/// The number of busy engines, summed over all models, below which no demand
/// counts as reported; the peaks then do not decay.
const MIN_TOTAL_DEMAND: f64 = 0.05;

/// The decaying peak of the number of engines that each model keeps busy.
#[derive(Debug, Clone, Default)]
pub struct PeakDemand {
    peaks: BTreeMap<ModelName, f64>,
    updated: Option<Millis>,
}

impl PeakDemand {
    /// Updates the peaks from the number of engines that each model keeps
    /// busy now.
    ///
    /// `replicas`, the number of replicas of each model, is used by the first
    /// update only, to presume the demand for models with several replicas.
    pub fn update(
        &mut self,
        busy: &BTreeMap<ModelName, f64>,
        replicas: &BTreeMap<ModelName, usize>,
        now: Millis,
    ) {
        if busy.values().sum::<f64>() >= MIN_TOTAL_DEMAND {
            self.decay(now);
        }
        if self.updated.is_none() {
            self.seed_from_replicas(replicas);
        }
        self.updated = Some(now);
        for (model, busy) in busy {
            let peak = self.peaks.entry(model.clone()).or_default();
            *peak = peak.max(*busy);
        }
    }

    /// Returns the decayed peak of a model, in busy engines; 0 if the model is
    /// not recorded.
    pub fn get(&self, model: &ModelName) -> f64 {
        self.peaks.get(model).copied().unwrap_or_default()
    }

    #[allow(clippy::cast_precision_loss)]
    fn seed_from_replicas(&mut self, replicas: &BTreeMap<ModelName, usize>) {
        let several = replicas.iter().filter(|(_, count)| **count > 1);
        self.peaks = several
            .map(|(model, count)| {
                (model.clone(), *count as f64 * PRESUMED_UTILIZATION)
            })
            .collect();
    }

    #[allow(clippy::cast_precision_loss)]
    fn decay(&mut self, now: Millis) {
        let Some(updated) = self.updated else { return };
        let kept = (-(now.since(updated) as f64) / HALF_LIFE_MS).exp2();
        for peak in self.peaks.values_mut() {
            *peak *= kept;
        }
    }
}
