//! For how long requests keep an engine's slot, as one gateway sees it.
//!
//! One gateway of many sees few requests end at any one engine, but many at
//! all of them. It therefore learns a mean for each model, and a mean over
//! all models, to which a model of which little was seen is drawn.

use std::collections::BTreeMap;

use crate::{id::ModelName, time::Millis};

/// Over how many ms what was seen fades.
const FADE_MS: f64 = 20_000.0;

/// For how long a request is taken to keep a slot before any was seen, in ms.
const FIRST_MS: f64 = 800.0;

/// How many requests what is taken before any was seen counts for.
const FIRST_COUNTS: f64 = 2.0;

/// How many requests the mean over all models counts for, for one model.
const ALL_COUNTS: f64 = 4.0;

/// Below this count, a model is forgotten.
const LEAST: f64 = 0.01;

/// A mean that follows what is seen.
#[derive(Debug, Clone, Copy, Default)]
struct FadingMean {
    count: f64,
    sum_ms: f64,
    updated: Millis,
}

impl FadingMean {
    fn at(self, now: Millis) -> Self {
        #[allow(clippy::cast_precision_loss)]
        let age_ms = now.since(self.updated) as f64;
        let kept = (-age_ms / FADE_MS).exp();
        Self {
            count: self.count * kept,
            sum_ms: self.sum_ms * kept,
            updated: now,
        }
    }

    fn add(&mut self, took_ms: f64, now: Millis) {
        let faded = self.at(now);
        *self = Self {
            count: faded.count + 1.0,
            sum_ms: faded.sum_ms + took_ms,
            updated: now,
        };
    }

    /// Returns the mean, with `weight` more requests of `usual_ms`.
    fn mean(&self, usual_ms: f64, weight: f64, now: Millis) -> f64 {
        let faded = self.at(now);
        (faded.sum_ms + usual_ms * weight) / (faded.count + weight)
    }
}

/// For how long requests keep a slot, by model.
#[derive(Debug, Clone, Default)]
pub struct SlotTimes {
    all: FadingMean,
    models: BTreeMap<ModelName, FadingMean>,
}

impl SlotTimes {
    /// Notes for how long a request of a model kept its slot, in ms.
    pub fn note(&mut self, model: &ModelName, took_ms: f64, now: Millis) {
        self.all.add(took_ms, now);
        let mean = self.models.entry(model.clone()).or_default();
        mean.add(took_ms, now);
    }

    /// Returns for how long a request of a model keeps its slot, in ms.
    pub fn expected_ms(&self, model: &ModelName, now: Millis) -> f64 {
        let usual_ms = self.all.mean(FIRST_MS, FIRST_COUNTS, now);
        let seen = self.models.get(model).copied().unwrap_or_default();
        seen.mean(usual_ms, ALL_COUNTS, now)
    }

    /// Forgets models of which nothing was seen for long.
    pub fn sweep(&mut self, now: Millis) {
        self.models.retain(|_, mean| mean.at(now).count > LEAST);
    }
}
