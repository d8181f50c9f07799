//! How busy requests keep engines, learned from requests that ended.
//!
//! A request takes two things from an engine: time to read the part of its
//! prompt that is not cached, during which nothing else runs, and one of the
//! engine's slots from its first event to its last. Both depend on the model:
//! a small one reads and writes several times as fast as a large one. Nothing
//! states by how much, so it is learned: gateways add up for how long ended
//! requests kept their slots and how many events they had in it, and tell the
//! sums. A model of which few requests ended is taken for a usual one.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::id::ModelName;

/// How long an engine reads one prompt token of a usual model, in ms: the
/// users' sheets state 38 to 41 tokens a ms for their large models.
const READ_TOKEN_MS: f64 = 1.0 / 38.0;

/// For how long a request is taken to keep its slot before any ended, in ms.
const FIRST_SLOT_MS: f64 = 800.0;

/// How many ended requests a usual one counts for, where few have ended.
const USUAL_COUNTS: f64 = 2.0;

/// How far a model's reading speed may lie from a usual one's, as a factor.
/// Beyond, what was seen is taken for an accident.
const SPEED: std::ops::RangeInclusive<f64> = 0.1..=3.0;

/// Over how many ms recent arrivals are smoothed.
pub const RECENT_MS: f32 = 800.0;

/// By how many standard deviations recent arrivals have to exceed the usual
/// ones to be believed at once.
const BELIEVED_DEVIATIONS: f64 = 2.0;

/// What gateways saw of one model, or of one of its adapters. Gateways tell
/// each other of it, so it takes few bytes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct ModelWork {
    /// Requests a second, smoothed over seconds.
    pub requests: f32,
    /// Requests a second, smoothed over [`RECENT_MS`].
    pub recent: f32,
    /// Prompt tokens to read a second, smoothed as `requests`.
    pub read_tokens: f32,
    /// Requests that ended, fading with time.
    pub ended: f32,
    /// For how many ms those kept a slot after their first event.
    pub slot_ms: f32,
    /// How many events those had after their first.
    pub events: f32,
}

impl ModelWork {
    /// Adds what was seen elsewhere, or of another adapter.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        Self {
            requests: self.requests + other.requests,
            recent: self.recent + other.recent,
            read_tokens: self.read_tokens + other.read_tokens,
            ended: self.ended + other.ended,
            slot_ms: self.slot_ms + other.slot_ms,
            events: self.events + other.events,
        }
    }

    /// Returns how many requests a second are to be expected.
    ///
    /// Recent arrivals count where they exceed the smoothed ones by more than
    /// chance explains, so that a rise is followed at once and a lull is not.
    pub fn rate(&self) -> f64 {
        let usual = f64::from(self.requests);
        let recent = f64::from(self.recent);
        let deviation =
            (usual / (2.0 * f64::from(RECENT_MS) / 1_000.0)).sqrt();
        let is_rise = recent > usual + BELIEVED_DEVIATIONS * deviation;
        if is_rise { recent } else { usual }
    }

    /// Returns the time between two events, in ms, if any were seen.
    fn event_ms(&self) -> Option<f64> {
        (self.events >= 1.0).then(|| (self.slot_ms / self.events).into())
    }
}

/// What a request of no model in particular is like.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct UsualWork {
    slot_ms: f64,
    event_ms: Option<f64>,
}

impl UsualWork {
    /// Learns it from all models of a service.
    pub fn of<'a>(models: impl IntoIterator<Item = &'a ModelWork>) -> Self {
        let models: Vec<&ModelWork> = models.into_iter().collect();
        let ended = models.iter().map(|work| f64::from(work.ended));
        let slot_ms = models.iter().map(|work| f64::from(work.slot_ms));
        let (ended, slot_ms): (f64, f64) = (ended.sum(), slot_ms.sum());
        let first = USUAL_COUNTS * FIRST_SLOT_MS;
        Self {
            slot_ms: (slot_ms + first) / (ended + USUAL_COUNTS),
            event_ms: median_event_ms(&models),
        }
    }

    /// Returns how many engines with so many slots a model's requests keep
    /// wholly busy.
    pub fn busy(&self, work: &ModelWork, slots: u32) -> f64 {
        let ended = f64::from(work.ended) + USUAL_COUNTS;
        let slots_ms = f64::from(work.slot_ms) + USUAL_COUNTS * self.slot_ms;
        let slot_ms = slots_ms / ended;
        let rate = work.rate();
        let requests = f64::from(work.requests).max(f64::EPSILON);
        let each_tokens = f64::from(work.read_tokens) / requests;
        let read_ms = each_tokens * READ_TOKEN_MS * self.speed(work);
        let each_ms = read_ms + slot_ms / f64::from(slots.max(1));
        rate * each_ms / 1_000.0
    }

    /// Returns how many times as long as a usual model one takes to read.
    fn speed(&self, work: &ModelWork) -> f64 {
        let (Some(own), Some(usual)) = (work.event_ms(), self.event_ms) else {
            return 1.0;
        };
        let seen = own / usual.max(f64::EPSILON);
        let ended = f64::from(work.ended);
        let weight = ended / (ended + USUAL_COUNTS);
        let speed = 1.0 + (seen - 1.0) * weight;
        speed.clamp(*SPEED.start(), *SPEED.end())
    }
}

/// Returns the time between events that half of the ended requests stayed
/// below.
fn median_event_ms(models: &[&ModelWork]) -> Option<f64> {
    let mut seen: Vec<(f64, f64)> = models
        .iter()
        .filter_map(|work| Some((work.event_ms()?, work.ended.into())))
        .collect();
    seen.sort_by(|(a, _), (b, _)| a.total_cmp(b));
    let half = seen.iter().map(|(_, ended)| ended).sum::<f64>() / 2.0;
    let mut below = 0.0;
    seen.into_iter().find_map(|(event_ms, ended)| {
        below += ended;
        (below >= half).then_some(event_ms)
    })
}

/// Returns how many engines each model's requests keep wholly busy.
pub fn busy_engines(
    work: &BTreeMap<ModelName, ModelWork>,
    slots: u32,
) -> BTreeMap<ModelName, f64> {
    let usual = UsualWork::of(work.values());
    let busy = work
        .iter()
        .map(|(model, work)| (model.clone(), usual.busy(work, slots)));
    busy.collect()
}
