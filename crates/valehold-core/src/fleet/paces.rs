//! How fast engines read prompts, and how much longer some models take: learned
//! by all gateways together.
//!
//! One gateway of many sends an engine a request now and then, and learns
//! little of it before it has changed. So each tells what it saw: when a first
//! event came, against when it would have come if engine and model were as
//! fast as all are taken to be. Those that hear all, the hubs, divide each
//! difference between the engine and the model ([`PaceBook`]), and tell what
//! they learned ([`Paces`]).

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{
    id::{ModelTag, UpstreamTag},
    time::Millis,
};

/// A ratio, by its logarithm in steps of a thirty-second: from 1/53 to 53,
/// to 3 in 100.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct LogRatio(i8);

/// Steps for a change by a factor of e.
const STEPS: f64 = 32.0;

impl LogRatio {
    /// Makes it of a ratio's natural logarithm.
    #[allow(clippy::cast_possible_truncation)]
    pub fn from_ln(ln: f64) -> Self {
        let steps = (ln * STEPS).round();
        Self(steps.clamp(f64::from(i8::MIN), f64::from(i8::MAX)) as i8)
    }

    /// Returns the ratio's natural logarithm.
    pub fn ln(self) -> f64 {
        f64::from(self.0) / STEPS
    }

    /// Returns the ratio.
    pub fn ratio(self) -> f64 {
        self.ln().exp()
    }
}

/// What a gateway saw of one first event.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PaceObservation {
    /// The engine.
    pub engine: UpstreamTag,
    /// The model.
    pub model: ModelTag,
    /// How long reading took, against how long it would have taken if engine
    /// and model were as fast as all are taken to be.
    pub took: LogRatio,
}

/// How long engines and models take, against what all are taken to. Those
/// that are not among them take about as long.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Paces {
    /// Engines.
    pub engines: BTreeMap<UpstreamTag, LogRatio>,
    /// Models.
    pub models: BTreeMap<ModelTag, LogRatio>,
}

impl Paces {
    /// Returns how many times as long an engine takes.
    pub fn of_engine(&self, engine: UpstreamTag) -> f64 {
        self.engines.get(&engine).map_or(1.0, |ratio| ratio.ratio())
    }

    /// Returns how many times as long a model takes.
    pub fn of_model(&self, model: ModelTag) -> f64 {
        self.models.get(&model).map_or(1.0, |ratio| ratio.ratio())
    }
}

/// Changes of what was learned since it was told last.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PaceNews {
    /// Whether those that are not among them take as long as all.
    pub is_whole: bool,
    /// What was learned.
    pub paces: Paces,
}

impl Paces {
    /// Takes in news.
    pub fn hear(&mut self, news: &PaceNews) {
        if news.is_whole {
            *self = news.paces.clone();
            return;
        }
        self.engines.extend(&news.paces.engines);
        self.models.extend(&news.paces.models);
    }
}

/// How often all is told although not all changed, in ms: who lost a datagram
/// is wrong for so long at the most.
const WHOLE_EVERY_MS: u64 = 3_000;

/// Changes below this many steps of a [`LogRatio`] wait until all is told: one
/// in ten.
const LEAST_CHANGE: u8 = 3;

/// What was told last.
#[derive(Debug, Clone, Default)]
pub struct ToldPaces {
    told: Paces,
    whole: Option<Millis>,
}

impl ToldPaces {
    /// Returns what to tell of what was learned.
    pub fn news(&mut self, paces: Paces, now: Millis) -> PaceNews {
        let is_due = |at: Millis| now.since(at) >= WHOLE_EVERY_MS;
        if self.whole.is_none_or(is_due) {
            self.whole = Some(now);
            self.told = paces.clone();
            return PaceNews { is_whole: true, paces };
        }
        let changed = Paces {
            engines: changed(&self.told.engines, &paces.engines),
            models: changed(&self.told.models, &paces.models),
        };
        let news = PaceNews { is_whole: false, paces: changed };
        self.told.hear(&news);
        news
    }
}

/// Returns what differs enough from what was told; what is not there any more
/// is as all are.
fn changed<K: Ord + Copy>(
    told: &BTreeMap<K, LogRatio>,
    now: &BTreeMap<K, LogRatio>,
) -> BTreeMap<K, LogRatio> {
    let as_all = LogRatio(0);
    let all = told.keys().chain(now.keys());
    let differing = all.filter_map(|key| {
        let before = told.get(key).unwrap_or(&as_all);
        let after = now.get(key).unwrap_or(&as_all);
        let change = before.0.abs_diff(after.0);
        (change >= LEAST_CHANGE).then_some((*key, *after))
    });
    differing.collect()
}

/// How fast what is learned follows what is seen, once enough was: the part
/// that one more observation counts. Engines turn slow within a second, while
/// models stay as they are.
const ENGINE_GAIN: f64 = 0.12;
const MODEL_GAIN: f64 = 0.03;

/// Of how many observations what is taken at first counts for.
const PRIOR_COUNT: f64 = 3.0;

/// In how many ms what was learned of an engine counts for half, if nothing
/// more is seen of it: whoever is taken for slow is asked seldom, and is to be
/// asked again.
const ENGINE_HALF_LIFE_MS: f64 = 8_000.0;

/// The same for a model.
const MODEL_HALF_LIFE_MS: f64 = 120_000.0;

/// The most that one observation speaks for, as a logarithm: what gateways
/// believe of queues is off at times by far more than engines are.
const MOST_SURPRISE: f64 = 1.0;

/// Differences below this are not told, as a logarithm.
const LEAST_TOLD: f64 = 0.06;

/// Something that is learned.
#[derive(Debug, Clone, Copy, Default)]
struct Learned {
    ln: f64,
    count: f64,
    updated: Millis,
}

impl Learned {
    #[allow(clippy::cast_precision_loss)]
    fn at(self, half_life_ms: f64, now: Millis) -> Self {
        let age_ms = now.since(self.updated) as f64;
        let kept = (-age_ms / half_life_ms).exp2();
        Self { ln: self.ln * kept, count: self.count * kept, updated: now }
    }

    fn learn(&mut self, surprise: f64, least_gain: f64) {
        let gain = (1.0 / (self.count + PRIOR_COUNT)).max(least_gain);
        self.ln += surprise * gain;
        self.count += 1.0;
    }
}

/// What is learned of observations.
#[derive(Debug, Clone, Default)]
pub struct PaceBook {
    engines: BTreeMap<UpstreamTag, Learned>,
    models: BTreeMap<ModelTag, Learned>,
}

impl PaceBook {
    /// Learns from what gateways saw.
    pub fn learn(&mut self, seen: &[PaceObservation], now: Millis) {
        for one in seen {
            let engine = self.engines.entry(one.engine).or_default();
            let model = self.models.entry(one.model).or_default();
            *engine = engine.at(ENGINE_HALF_LIFE_MS, now);
            *model = model.at(MODEL_HALF_LIFE_MS, now);
            let surprise = one.took.ln() - engine.ln - model.ln;
            let surprise = surprise.clamp(-MOST_SURPRISE, MOST_SURPRISE);
            engine.learn(surprise, ENGINE_GAIN);
            model.learn(surprise, MODEL_GAIN);
        }
    }

    /// Takes over what another one learned, where nothing was learned here.
    pub fn adopt(&mut self, paces: &Paces, now: Millis) {
        let taken_over = |ratio: &LogRatio| Learned {
            ln: ratio.ln(),
            count: PRIOR_COUNT,
            updated: now,
        };
        for (engine, ratio) in &paces.engines {
            self.engines.entry(*engine).or_insert_with(|| taken_over(ratio));
        }
        for (model, ratio) in &paces.models {
            self.models.entry(*model).or_insert_with(|| taken_over(ratio));
        }
    }

    /// Returns what was learned, where it differs from what all are taken for.
    pub fn paces(&self, now: Millis) -> Paces {
        let engines = self.engines.iter().filter_map(|(engine, learned)| {
            let ln = learned.at(ENGINE_HALF_LIFE_MS, now).ln;
            Some((*engine, told(ln)?))
        });
        let models = self.models.iter().filter_map(|(model, learned)| {
            let ln = learned.at(MODEL_HALF_LIFE_MS, now).ln;
            Some((*model, told(ln)?))
        });
        Paces { engines: engines.collect(), models: models.collect() }
    }

    /// Forgets engines of which nothing was seen for long.
    pub fn sweep(&mut self, now: Millis) {
        self.engines.retain(|_, learned| {
            learned.at(ENGINE_HALF_LIFE_MS, now).ln.abs() >= LEAST_TOLD / 2.0
        });
    }
}

fn told(ln: f64) -> Option<LogRatio> {
    (ln.abs() >= LEAST_TOLD).then(|| LogRatio::from_ln(ln))
}
