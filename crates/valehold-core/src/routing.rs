//! Which engine takes a request.
//!
//! For each engine that holds the model, the time until the first token is
//! predicted: the way there and back, the prompts that wait before this one,
//! the part of this prompt that is not cached, and the wait for a free slot.
//! What this instance sent since the engine's last report is added to the
//! report.
//!
//! Several instances that look at the same late report must not all choose
//! the same engine. The choice is therefore drawn at random, nearly evenly
//! among engines whose predictions differ by less than the reports can be
//! trusted to tell, and hardly ever for one that is much worse.

#[cfg(test)]
mod tests;

use serde::{Deserialize, Serialize};

use crate::id::UpstreamId;

/// How predictions are made and drawn from.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RoutingSettings {
    /// Differences below this are not told apart, in ms.
    pub least_doubt_ms: f64,
    /// By how much doubt grows with each ms of a report's age, in ms.
    pub doubt_per_ms: f64,
    /// How much of a prompt's cached part is counted on, from 0 to 1.
    pub prefix_trust: f64,
    /// What a further connection to an engine is taken to cost, in ms, beside
    /// the time that it takes.
    pub connection_ms: f64,
}

impl Default for RoutingSettings {
    fn default() -> Self {
        Self {
            least_doubt_ms: 3.0,
            doubt_per_ms: 0.01,
            prefix_trust: 0.9,
            connection_ms: CONNECTION_MS,
        }
    }
}

/// What a further connection to an engine is taken to cost, in ms.
///
/// Many gateways before many engines send each of them a request now and
/// then, and connections lapse in between: at 76 gateways and 60 engines
/// nearly every second request opened one. Engines bear a limited number of
/// them and work for each. With this much the same load opens a fifth fewer;
/// a queue of that length still outweighs it.
const CONNECTION_MS: f64 = 25.0;

/// From which part of the longest pause on a reading that long makes answers
/// pause too long: how long reading takes is known to a third or so.
const PAUSED_FROM: f64 = 0.6;

/// What a running request that pauses too long counts for, in ms: it loses
/// most of its worth, as a new one does that begins late. A new one seldom
/// has more than some hundred ms to lose, and ten may run beside it.
const HARM_EACH_MS: f64 = 30.0;

/// How many running requests are counted at the most. What is believed of an
/// engine lags, and beyond this the choice is clear.
const MOST_HARMED: u32 = 20;

/// What is known of one engine that holds the model.
#[derive(Debug, Clone, PartialEq)]
pub struct Candidate {
    /// The engine.
    pub engine: UpstreamId,
    /// Its way from here, one way, in ms.
    pub distance_ms: f64,
    /// What a further connection to it costs beside its time, in ms; 0 if one
    /// rests.
    pub connection_ms: f64,
    /// What the bytes of this request and its answer cost on the way, as the
    /// time that a caller may as well wait, in ms.
    pub bytes_ms: f64,
    /// Whether it missed its last reports.
    pub suspect: bool,
    /// How many requests it decodes at once.
    pub slots: u32,
    /// How many prompt tokens it reads in a second.
    pub prefill_tokens_per_second: f64,
    /// Requests running at its last report, and those sent since.
    pub running: u32,
    /// Prompt tokens waiting at its last report, and those sent since.
    pub waiting_tokens: u64,
    /// For how long a request keeps a slot, in ms.
    pub service_ms: f64,
    /// The age of its last report, in ms.
    pub report_age_ms: u64,
    /// How many tokens of this prompt it is likely to have cached.
    pub cached_tokens: u64,
    /// The longest pause between events that is in time for answers that run
    /// there, in ms; `None` if nothing says so.
    pub pause_within_ms: Option<f64>,
}

/// The terms of one engine's predicted time to the first token, in ms.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Prediction {
    /// The engine.
    pub engine: UpstreamId,
    /// The way there and back.
    pub distance_ms: f64,
    /// Prompts that are read before this one.
    pub queue_ms: f64,
    /// The wait for a free slot.
    pub slot_ms: f64,
    /// Reading what of this prompt is not cached.
    pub prompt_ms: f64,
    /// How many tokens of this prompt are taken for cached.
    pub cached_tokens: u64,
    /// The sum.
    pub total_ms: f64,
    /// What the requests that run there would lose, as time; it counts in the
    /// choice and not in what is predicted.
    pub harm_ms: f64,
    /// What a further connection costs beside its time; it counts in the
    /// choice and not in what is predicted.
    pub connection_ms: f64,
    /// What bytes on the way cost, as time; it counts in the choice and not in
    /// what is predicted.
    #[serde(default)]
    pub bytes_ms: f64,
    /// Whether the engine missed its last reports.
    pub suspect: bool,
    /// The chance with which it was drawn, from 0 to 1.
    pub chance: f64,
}

impl Prediction {
    /// Returns what counts in the choice, in ms.
    pub fn cost_ms(&self) -> f64 {
        self.total_ms + self.harm_ms + self.connection_ms + self.bytes_ms
    }
}

/// Why the chosen engine was chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WhyChosen {
    /// No other engine holds the model.
    Only,
    /// Its predicted time is the least.
    Least,
    /// Its predicted time is near enough to the least to be drawn.
    DrawnNearLeast,
}

/// A choice, with everything that led to it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Choice {
    /// The engine.
    pub engine: UpstreamId,
    /// Why it was chosen.
    pub why: WhyChosen,
    /// Its predicted time to the first token, in ms.
    pub predicted_ms: f64,
    /// Every candidate's terms, the least time first.
    pub predictions: Vec<Prediction>,
}

impl Choice {
    /// Returns the least predicted time of all engines, in ms; suspect ones
    /// count where there are no others.
    pub fn least_ms(&self) -> f64 {
        let suspect = self.predictions.first().is_some_and(|one| one.suspect);
        let alike = self.predictions.iter().filter(|p| p.suspect == suspect);
        let least = alike.map(|one| one.total_ms).min_by(f64::total_cmp);
        least.unwrap_or(self.predicted_ms)
    }
}

/// Predicts one engine's time to the first token.
pub fn predict(
    candidate: &Candidate,
    prompt_tokens: u64,
    settings: &RoutingSettings,
) -> Prediction {
    let distance_ms = 2.0 * candidate.distance_ms;
    let queue_ms = read_ms(candidate, candidate.waiting_tokens);
    let slot_ms = slot_wait_ms(candidate);
    let cached_tokens = trusted_cached(candidate, prompt_tokens, settings);
    let uncached = prompt_tokens.saturating_sub(cached_tokens);
    let prompt_ms = read_ms(candidate, uncached);
    Prediction {
        engine: candidate.engine.clone(),
        distance_ms,
        queue_ms,
        slot_ms,
        prompt_ms,
        cached_tokens,
        total_ms: distance_ms + queue_ms + slot_ms + prompt_ms,
        harm_ms: harm_ms(candidate, queue_ms + prompt_ms),
        connection_ms: candidate.connection_ms,
        bytes_ms: candidate.bytes_ms,
        suspect: candidate.suspect,
        chance: 0.0,
    }
}

/// Chooses an engine, or `None` without candidates.
///
/// `draw` is a number from 0 to 1, drawn at random by the caller. Suspect
/// engines are chosen only when no other one is left.
pub fn choose(
    candidates: &[Candidate],
    prompt_tokens: u64,
    draw: f64,
    settings: &RoutingSettings,
) -> Option<Choice> {
    let mut predictions: Vec<Prediction> = candidates
        .iter()
        .map(|candidate| predict(candidate, prompt_tokens, settings))
        .collect();
    predictions.sort_by(|a, b| {
        let by_cost = a.cost_ms().total_cmp(&b.cost_ms());
        a.suspect.cmp(&b.suspect).then(by_cost)
    });
    let eldest = candidates.iter().map(|c| c.report_age_ms).max()?;
    set_chances(&mut predictions, doubt_ms(eldest, settings));
    let index = draw_index(&predictions, draw);
    let chosen = &predictions[index];
    let why = match (predictions.len(), index) {
        (1, _) => WhyChosen::Only,
        (_, 0) => WhyChosen::Least,
        _ => WhyChosen::DrawnNearLeast,
    };
    Some(Choice {
        engine: chosen.engine.clone(),
        why,
        predicted_ms: chosen.total_ms,
        predictions,
    })
}

/// Returns what requests that run at an engine would lose if it read prompts
/// for so long, as time.
///
/// An engine reads prompts piece by piece between outputs. While it reads
/// without a break each output takes as long as a piece, and every answer
/// there pauses: past what is in time if the reading lasts longer than that.
fn harm_ms(candidate: &Candidate, reading_ms: f64) -> f64 {
    let Some(pause_within_ms) = candidate.pause_within_ms else { return 0.0 };
    let from_ms = pause_within_ms * PAUSED_FROM;
    let over = (reading_ms - from_ms) / (pause_within_ms - from_ms);
    let running = f64::from(candidate.running.min(MOST_HARMED));
    running * HARM_EACH_MS * over.clamp(0.0, 1.0)
}

#[allow(clippy::cast_precision_loss)]
fn read_ms(candidate: &Candidate, tokens: u64) -> f64 {
    tokens as f64 / candidate.prefill_tokens_per_second * 1_000.0
}

fn slot_wait_ms(candidate: &Candidate) -> f64 {
    if candidate.running < candidate.slots {
        return 0.0;
    }
    let ahead = f64::from(candidate.running - candidate.slots + 1);
    ahead * candidate.service_ms / f64::from(candidate.slots.max(1))
}

fn trusted_cached(
    candidate: &Candidate,
    prompt_tokens: u64,
    settings: &RoutingSettings,
) -> u64 {
    #[allow(
        clippy::cast_precision_loss,
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss
    )]
    let trusted =
        (candidate.cached_tokens as f64 * settings.prefix_trust) as u64;
    trusted.min(prompt_tokens)
}

#[allow(clippy::cast_precision_loss)]
fn doubt_ms(report_age_ms: u64, settings: &RoutingSettings) -> f64 {
    settings.least_doubt_ms + settings.doubt_per_ms * report_age_ms as f64
}

/// Gives each prediction its chance; those after the first suspect get none.
fn set_chances(predictions: &mut [Prediction], doubt_ms: f64) {
    let Some(first) = predictions.first() else { return };
    let (least, suspect) = (first.cost_ms(), first.suspect);
    let mut total = 0.0;
    for prediction in predictions.iter_mut() {
        if prediction.suspect == suspect {
            let behind = prediction.cost_ms() - least;
            prediction.chance = (-behind / doubt_ms.max(f64::EPSILON)).exp();
            total += prediction.chance;
        }
    }
    for prediction in predictions.iter_mut() {
        prediction.chance /= total;
    }
}

fn draw_index(predictions: &[Prediction], draw: f64) -> usize {
    let mut left = draw;
    for (index, prediction) in predictions.iter().enumerate() {
        if left < prediction.chance {
            return index;
        }
        left -= prediction.chance;
    }
    0
}
