//! The time for which requests occupy a slot of an engine, as learned by one
//! gateway.
//!
//! One gateway of many sees few requests end at any one engine, but many at
//! all engines together. The gateway therefore learns a mean for each model
//! and an overall mean. The estimate for a model with few observations is
//! drawn towards the overall mean.

use std::collections::BTreeMap;

use crate::{id::ModelName, time::Millis};

/// The time constant of the exponential decay of observations, in ms.
const DECAY_MS: f64 = 20_000.0;

/// The slot time that is assumed before any observation, in ms.
const INITIAL_MS: f64 = 800.0;

/// The weight of the initial slot time in the overall mean, in requests.
const INITIAL_WEIGHT: f64 = 2.0;

/// The weight of the overall mean in the mean of one model, in requests.
const OVERALL_WEIGHT: f64 = 4.0;

/// The decayed count of requests at or below which a model is removed.
const MIN_COUNT: f64 = 0.01;

/// A mean of observations that decay exponentially.
#[derive(Debug, Clone, Copy, Default)]
struct DecayingMean {
    count: f64,
    sum_ms: f64,
    updated_at: Millis,
}

impl DecayingMean {
    /// Returns the mean decayed to the time `now`.
    fn at(self, now: Millis) -> Self {
        #[allow(clippy::cast_precision_loss)]
        let age_ms = now.since(self.updated_at) as f64;
        let kept = (-age_ms / DECAY_MS).exp();
        Self {
            count: self.count * kept,
            sum_ms: self.sum_ms * kept,
            updated_at: now,
        }
    }

    fn add(&mut self, took_ms: f64, now: Millis) {
        let decayed = self.at(now);
        *self = Self {
            count: decayed.count + 1.0,
            sum_ms: decayed.sum_ms + took_ms,
            updated_at: now,
        };
    }

    /// Returns the mean, with `weight` additional requests of `prior_ms`.
    fn mean(&self, prior_ms: f64, weight: f64, now: Millis) -> f64 {
        let decayed = self.at(now);
        (decayed.sum_ms + prior_ms * weight) / (decayed.count + weight)
    }
}

/// The time for which requests occupy a slot, by model.
#[derive(Debug, Clone, Default)]
pub struct SlotTimes {
    overall: DecayingMean,
    models: BTreeMap<ModelName, DecayingMean>,
}

impl SlotTimes {
    /// Records the time for which a request of a model occupied a slot, in ms.
    pub fn record(&mut self, model: &ModelName, took_ms: f64, now: Millis) {
        self.overall.add(took_ms, now);
        let mean = self.models.entry(model.clone()).or_default();
        mean.add(took_ms, now);
    }

    /// Returns the expected time for which a request of a model occupies a
    /// slot, in ms.
    pub fn expected_ms(&self, model: &ModelName, now: Millis) -> f64 {
        let prior_ms = self.overall.mean(INITIAL_MS, INITIAL_WEIGHT, now);
        let mean = self.models.get(model).copied().unwrap_or_default();
        mean.mean(prior_ms, OVERALL_WEIGHT, now)
    }

    /// Removes models without recent requests.
    pub fn prune(&mut self, now: Millis) {
        self.models.retain(|_, mean| mean.at(now).count > MIN_COUNT);
    }
}
