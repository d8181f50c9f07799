//! Traces of requests, for each user and scenario.

use rand::{Rng, SeedableRng, rngs::StdRng};
use valehold_core::{
    Millis,
    config::{Config, Served},
    id::ModelName,
};

use super::fleet::Work;

/// Whose deployment and load it is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum User {
    /// Station finders: short prompts.
    Hledsluvit,
    /// Diagnoses: long prompts.
    CalorAndino,
}

impl User {
    /// Both users.
    pub const ALL: [Self; 2] = [Self::Hledsluvit, Self::CalorAndino];

    /// Returns the folder of the user's example.
    pub fn example(self) -> &'static str {
        match self {
            Self::Hledsluvit => "hledsluvit",
            Self::CalorAndino => "calor-andino",
        }
    }

    /// Mean tokens of prompt and answer.
    fn mean_tokens(self) -> (f64, f64) {
        match self {
            Self::Hledsluvit => (400.0, 80.0),
            Self::CalorAndino => (1_600.0, 120.0),
        }
    }

    /// Requests a second on an ordinary evening.
    fn base_rate(self) -> f64 {
        match self {
            Self::Hledsluvit => 50.0,
            Self::CalorAndino => 25.0,
        }
    }
}

/// What happens in a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scenario {
    /// Nothing out of the ordinary.
    Steady,
    /// Many models wake at once.
    FrostNight,
    /// A few models get most of the load, rising and falling.
    Holiday,
    /// One engine is lost.
    EngineLost,
    /// A data centre is lost.
    DataCentreLost,
    /// Load reports are 5 s old, in a frost night.
    LateReports,
    /// The weight store is four times slower, in a frost night.
    SlowWeights,
    /// Prompts are long manuals that many requests share.
    LongManuals,
    /// The table is down through the peak of a frost night.
    StoreDown,
}

impl Scenario {
    /// Every scenario.
    pub const ALL: [Self; 9] = [
        Self::Steady,
        Self::FrostNight,
        Self::Holiday,
        Self::EngineLost,
        Self::DataCentreLost,
        Self::LateReports,
        Self::SlowWeights,
        Self::StoreDown,
        Self::LongManuals,
    ];

    /// Returns its name in tables.
    pub fn name(self) -> &'static str {
        match self {
            Self::Steady => "steady",
            Self::FrostNight => "frost night",
            Self::Holiday => "holiday weekend",
            Self::EngineLost => "engine lost",
            Self::DataCentreLost => "data centre lost",
            Self::LateReports => "reports 5 s old",
            Self::SlowWeights => "weight store slow",
            Self::StoreDown => "store down at peak",
            Self::LongManuals => "long manuals",
        }
    }

    /// The age of load reports, in ms.
    pub(super) fn report_age_ms(self) -> u64 {
        match self {
            Self::LateReports => 5_000,
            _ => 500,
        }
    }

    /// How many times slower the weight store is.
    pub(super) fn slowness(self) -> u64 {
        match self {
            Self::SlowWeights => 4,
            _ => 1,
        }
    }

    /// Tells whether the table can be written to at a part of the run.
    pub(super) fn store_is_up(self, part: f64) -> bool {
        self != Self::StoreDown || !(0.25..0.75).contains(&part)
    }

    /// How many times longer prompts are, which part of them others share,
    /// and how many different beginnings a model's prompts have.
    fn prompts(self) -> (f64, f64, u32) {
        match self {
            Self::LongManuals => (5.0, 0.9, 12),
            _ => (1.0, 0.5, 3),
        }
    }

    /// Draws the size of a request.
    #[allow(
        clippy::cast_precision_loss,
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss
    )]
    fn work(self, user: User, model: usize, random: &mut StdRng) -> Work {
        let (longer, shared, beginnings) = self.prompts();
        let (prompt, answer) = user.mean_tokens();
        let prompt_tokens = spread(prompt * longer, random);
        let model = u32::try_from(model).unwrap_or(0);
        let beginning = random.random_range(0..beginnings);
        Work {
            prompt_tokens,
            shared_tokens: (prompt_tokens as f64 * shared) as u64,
            prefix: model * beginnings + beginning,
            answer_tokens: spread(answer, random),
        }
    }

    /// By how much a model's demand is multiplied at a part of the run.
    fn factor(self, model: usize, models: usize, part: f64) -> f64 {
        match self {
            Self::Steady
            | Self::EngineLost
            | Self::DataCentreLost
            | Self::LongManuals => 1.0,
            Self::Holiday => {
                let peak = (part * std::f64::consts::PI).sin();
                if model.is_multiple_of(9) { 1.0 + 6.0 * peak } else { 0.8 }
            }
            _ => {
                // The models that wake are those that sleep otherwise.
                let wakes = model >= models / 4 && model.is_multiple_of(3);
                let is_night = (0.25..0.75).contains(&part);
                match (wakes, is_night) {
                    (true, true) => 10.0,
                    _ => 1.0,
                }
            }
        }
    }
}

/// One request of a trace.
#[derive(Debug, Clone)]
pub(super) struct Request {
    pub(super) at: Millis,
    pub(super) model: ModelName,
    /// The instance that it comes to.
    pub(super) instance: usize,
    pub(super) work: Work,
}

/// Makes the requests of a run.
pub(super) fn requests(
    user: User,
    scenario: Scenario,
    config: &Config,
    seed: u64,
    length_ms: u64,
    instances: usize,
) -> Vec<Request> {
    let mut random = StdRng::seed_from_u64(seed);
    let models: Vec<&Served> = config.served().values().collect();
    let weights = popularity(models.len());
    let mut requests = Vec::new();
    const STEP_MS: u64 = 100;
    for step in 0..length_ms / STEP_MS {
        #[allow(clippy::cast_precision_loss)]
        let part = (step * STEP_MS) as f64 / length_ms as f64;
        for (index, served) in models.iter().enumerate() {
            let factor = scenario.factor(index, models.len(), part);
            let rate = user.base_rate() * weights[index] * factor;
            let count = poisson(rate * 0.1, &mut random);
            for _ in 0..count {
                let offset = random.random_range(0..STEP_MS);
                requests.push(Request {
                    at: Millis::new(step * STEP_MS + offset),
                    model: served.artifact.name.clone(),
                    instance: random.random_range(0..instances),
                    work: scenario.work(user, index, &mut random),
                });
            }
        }
    }
    requests.sort_by_key(|request| request.at);
    requests
}

/// Returns the share of each model: few are asked for often.
#[allow(clippy::cast_precision_loss)]
fn popularity(models: usize) -> Vec<f64> {
    let weights: Vec<f64> =
        (0..models).map(|i| 1.0 / (i as f64 + 3.0).powf(0.7)).collect();
    let total: f64 = weights.iter().sum();
    weights.into_iter().map(|w| w / total).collect()
}

/// Draws a size between half and one and a half of the mean.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn spread(mean: f64, random: &mut StdRng) -> u64 {
    (mean * random.random_range(0.5..1.5)) as u64
}

fn poisson(mean: f64, random: &mut StdRng) -> u32 {
    let limit = (-mean).exp();
    let mut product: f64 = random.random();
    let mut count = 0;
    while product > limit {
        product *= random.random::<f64>();
        count += 1;
    }
    count
}
