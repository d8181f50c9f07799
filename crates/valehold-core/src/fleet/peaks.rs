//! How busy models were lately, for what may be taken from them.
//!
//! A model that has been quiet for a second is not idle: demand comes in
//! waves, and a replica that was given away takes a load to come back. What a
//! model is taken to need therefore falls slowly. Before anything was heard,
//! several replicas are taken for a sign that a model is busy.

use std::collections::BTreeMap;

use crate::{id::ModelName, time::Millis};

/// In how many ms a peak falls to half: about the time in which a replica
/// that was given away could be back.
const HALF_LIFE_MS: f64 = 4_000.0;

/// How busy each of several replicas is taken to be before demand is heard.
const PRESUMED_BUSY: f64 = 0.3;

/// Below this many busy engines over all models no demand is heard at all,
/// and nothing falls.
const LEAST_HEARD: f64 = 0.05;

/// How busy models were lately.
#[derive(Debug, Clone, Default)]
pub struct Peaks {
    busy: BTreeMap<ModelName, f64>,
    updated: Option<Millis>,
}

impl Peaks {
    /// Takes in how many engines each model keeps busy now, and how many
    /// replicas each has.
    pub fn follow(
        &mut self,
        busy: &BTreeMap<ModelName, f64>,
        replicas: &BTreeMap<ModelName, usize>,
        now: Millis,
    ) {
        if busy.values().sum::<f64>() >= LEAST_HEARD {
            self.fall(now);
        }
        if self.updated.is_none() {
            self.presume(replicas);
        }
        self.updated = Some(now);
        for (model, busy) in busy {
            let peak = self.busy.entry(model.clone()).or_default();
            *peak = peak.max(*busy);
        }
    }

    /// Returns how many engines a model kept busy lately.
    pub fn of(&self, model: &ModelName) -> f64 {
        self.busy.get(model).copied().unwrap_or_default()
    }

    #[allow(clippy::cast_precision_loss)]
    fn presume(&mut self, replicas: &BTreeMap<ModelName, usize>) {
        let several = replicas.iter().filter(|(_, count)| **count > 1);
        self.busy = several
            .map(|(model, count)| {
                (model.clone(), *count as f64 * PRESUMED_BUSY)
            })
            .collect();
    }

    #[allow(clippy::cast_precision_loss)]
    fn fall(&mut self, now: Millis) {
        let Some(updated) = self.updated else { return };
        let kept = (-(now.since(updated) as f64) / HALF_LIFE_MS).exp2();
        for peak in self.busy.values_mut() {
            *peak *= kept;
        }
    }
}
