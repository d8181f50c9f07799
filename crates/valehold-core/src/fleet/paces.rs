//! The paces of engines and models when they read prompts, learned by all
//! gateways together.
//!
//! One gateway of many sends an engine a request only now and then. Alone, it
//! would learn little of an engine before the engine has changed. Each gateway
//! therefore reports its observations: when a first event arrived, relative to
//! the time expected if engine and model had the standard pace, which is the
//! same for all engines and models. The hubs, which receive all reports,
//! divide each deviation between the engine and the model ([`PaceEstimator`]),
//! and advertise the estimates ([`Paces`]).

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{
    id::{ModelTag, UpstreamTag},
    time::Millis,
};

/// A ratio, stored as its natural logarithm in steps of 1/32. The ratio ranges
/// from 1/53 to 53, with a precision of 3 in 100.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct LogRatio(i8);

/// The number of steps for a change by a factor of e.
const STEPS_PER_E: f64 = 32.0;

impl LogRatio {
    /// Creates a ratio from its natural logarithm, rounded and clamped to the
    /// range of the type.
    #[allow(clippy::cast_possible_truncation)]
    pub fn from_ln(ln: f64) -> Self {
        let steps = (ln * STEPS_PER_E).round();
        Self(steps.clamp(f64::from(i8::MIN), f64::from(i8::MAX)) as i8)
    }

    /// Returns the natural logarithm of the ratio.
    pub fn ln(self) -> f64 {
        f64::from(self.0) / STEPS_PER_E
    }

    /// Returns the ratio.
    pub fn ratio(self) -> f64 {
        self.ln().exp()
    }
}

/// The observation of a gateway about one first event.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PaceObservation {
    /// The engine.
    pub engine: UpstreamTag,
    /// The model.
    pub model: ModelTag,
    /// The measured reading time, relative to the time expected at the
    /// standard pace of engines and models.
    pub ratio: LogRatio,
}

/// The reading times of engines and models, relative to the standard pace.
/// Engines and models without an entry have about the standard pace.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Paces {
    /// The engines.
    pub engines: BTreeMap<UpstreamTag, LogRatio>,
    /// The models.
    pub models: BTreeMap<ModelTag, LogRatio>,
}

impl Paces {
    /// Returns the factor by which an engine takes longer than at the standard
    /// pace.
    pub fn of_engine(&self, engine: UpstreamTag) -> f64 {
        self.engines.get(&engine).map_or(1.0, |ratio| ratio.ratio())
    }

    /// Returns the factor by which a model takes longer than at the standard
    /// pace.
    pub fn of_model(&self, model: ModelTag) -> f64 {
        self.models.get(&model).map_or(1.0, |ratio| ratio.ratio())
    }
}

/// An update of the paces since the last advertisement.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PaceUpdate {
    /// Whether the update replaces all paces, so that engines and models
    /// without an entry have the standard pace.
    pub is_full: bool,
    /// The changed paces, or all paces in a full update.
    pub paces: Paces,
}

impl Paces {
    /// Applies an update.
    pub fn apply(&mut self, update: &PaceUpdate) {
        if update.is_full {
            *self = update.paces.clone();
            return;
        }
        self.engines.extend(&update.paces.engines);
        self.models.extend(&update.paces.models);
    }
}

/// The interval of full updates, in ms. A gateway that lost a datagram uses
/// wrong paces for at most this long.
const FULL_UPDATE_INTERVAL_MS: u64 = 3_000;

/// The least change that is advertised before the next full update, in steps
/// of a [`LogRatio`]: about one in ten.
const MIN_CHANGE_STEPS: u8 = 3;

/// The paces that were advertised last.
#[derive(Debug, Clone, Default)]
pub struct AdvertisedPaces {
    last: Paces,
    last_full_at: Option<Millis>,
}

impl AdvertisedPaces {
    /// Returns the update to advertise for the current paces: a full update if
    /// one is due, and otherwise the sufficiently changed paces.
    pub fn next_update(&mut self, paces: Paces, now: Millis) -> PaceUpdate {
        let is_due = |at: Millis| now.since(at) >= FULL_UPDATE_INTERVAL_MS;
        if self.last_full_at.is_none_or(is_due) {
            self.last_full_at = Some(now);
            self.last = paces.clone();
            return PaceUpdate { is_full: true, paces };
        }
        let changed = Paces {
            engines: changed(&self.last.engines, &paces.engines),
            models: changed(&self.last.models, &paces.models),
        };
        let update = PaceUpdate { is_full: false, paces: changed };
        self.last.apply(&update);
        update
    }
}

/// Returns the ratios that differ by at least [`MIN_CHANGE_STEPS`] from the
/// last advertised ones. A missing ratio stands for the standard pace.
fn changed<K: Ord + Copy>(
    last: &BTreeMap<K, LogRatio>,
    current: &BTreeMap<K, LogRatio>,
) -> BTreeMap<K, LogRatio> {
    let standard = LogRatio(0);
    let all = last.keys().chain(current.keys());
    let differing = all.filter_map(|key| {
        let before = last.get(key).unwrap_or(&standard);
        let after = current.get(key).unwrap_or(&standard);
        let change = before.0.abs_diff(after.0);
        (change >= MIN_CHANGE_STEPS).then_some((*key, *after))
    });
    differing.collect()
}

/// The least weight of one more observation in the estimate of an engine.
/// Engines may become slow within a second, so the weight is higher than that
/// for models.
const ENGINE_GAIN: f64 = 0.12;
/// The least weight of one more observation in the estimate of a model. The
/// pace of a model does not change.
const MODEL_GAIN: f64 = 0.03;

/// The number of observations for which the standard pace counts in a new
/// estimate.
const PRIOR_COUNT: f64 = 3.0;

/// The half-life of the estimate of an engine without new observations, in ms.
/// An engine that is estimated as slow gets few requests; the decay makes the
/// gateways try such an engine again.
const ENGINE_HALF_LIFE_MS: f64 = 8_000.0;

/// The half-life of the estimate of a model without new observations, in ms.
const MODEL_HALF_LIFE_MS: f64 = 120_000.0;

/// The maximum residual of one observation, as a logarithm. The queue lengths
/// assumed by gateways are at times wrong by far more than the paces of
/// engines differ.
const MAX_RESIDUAL: f64 = 1.0;

/// The least deviation from the standard pace that is advertised, as a
/// logarithm.
const MIN_ADVERTISED_LN: f64 = 0.06;

/// The estimate of the pace of one engine or model.
#[derive(Debug, Clone, Copy, Default)]
struct Estimate {
    ln: f64,
    count: f64,
    updated_at: Millis,
}

impl Estimate {
    /// Returns the estimate decayed to the time `now`.
    #[allow(clippy::cast_precision_loss)]
    fn at(self, half_life_ms: f64, now: Millis) -> Self {
        let age_ms = now.since(self.updated_at) as f64;
        let kept = (-age_ms / half_life_ms).exp2();
        Self { ln: self.ln * kept, count: self.count * kept, updated_at: now }
    }

    fn learn(&mut self, residual: f64, min_gain: f64) {
        let gain = (1.0 / (self.count + PRIOR_COUNT)).max(min_gain);
        self.ln += residual * gain;
        self.count += 1.0;
    }
}

/// Estimates the paces of engines and models from observations.
#[derive(Debug, Clone, Default)]
pub struct PaceEstimator {
    engines: BTreeMap<UpstreamTag, Estimate>,
    models: BTreeMap<ModelTag, Estimate>,
}

impl PaceEstimator {
    /// Updates the estimates from the observations of gateways.
    pub fn learn(&mut self, observations: &[PaceObservation], now: Millis) {
        for one in observations {
            let engine = self.engines.entry(one.engine).or_default();
            let model = self.models.entry(one.model).or_default();
            *engine = engine.at(ENGINE_HALF_LIFE_MS, now);
            *model = model.at(MODEL_HALF_LIFE_MS, now);
            let residual = one.ratio.ln() - engine.ln - model.ln;
            let residual = residual.clamp(-MAX_RESIDUAL, MAX_RESIDUAL);
            engine.learn(residual, ENGINE_GAIN);
            model.learn(residual, MODEL_GAIN);
        }
    }

    /// Adopts the paces that another hub advertised, for engines and models
    /// that have no estimate here.
    pub fn adopt(&mut self, paces: &Paces, now: Millis) {
        let adopted = |ratio: &LogRatio| Estimate {
            ln: ratio.ln(),
            count: PRIOR_COUNT,
            updated_at: now,
        };
        for (engine, ratio) in &paces.engines {
            self.engines.entry(*engine).or_insert_with(|| adopted(ratio));
        }
        for (model, ratio) in &paces.models {
            self.models.entry(*model).or_insert_with(|| adopted(ratio));
        }
    }

    /// Returns the estimated paces that differ from the standard pace.
    pub fn paces(&self, now: Millis) -> Paces {
        let engines = self.engines.iter().filter_map(|(engine, estimate)| {
            let ln = estimate.at(ENGINE_HALF_LIFE_MS, now).ln;
            Some((*engine, advertised_ratio(ln)?))
        });
        let models = self.models.iter().filter_map(|(model, estimate)| {
            let ln = estimate.at(MODEL_HALF_LIFE_MS, now).ln;
            Some((*model, advertised_ratio(ln)?))
        });
        Paces { engines: engines.collect(), models: models.collect() }
    }

    /// Removes the estimates of engines that have decayed to about the
    /// standard pace.
    pub fn prune(&mut self, now: Millis) {
        self.engines.retain(|_, estimate| {
            estimate.at(ENGINE_HALF_LIFE_MS, now).ln.abs()
                >= MIN_ADVERTISED_LN / 2.0
        });
    }
}

fn advertised_ratio(ln: f64) -> Option<LogRatio> {
    (ln.abs() >= MIN_ADVERTISED_LN).then(|| LogRatio::from_ln(ln))
}
