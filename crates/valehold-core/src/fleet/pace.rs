//! How fast an engine was lately, as one gateway saw it.

use crate::time::Millis;

/// How much a new observation counts against those before it.
const NEW_PART: f64 = 0.2;

/// In how many ms what was observed counts for half.
const HALF_LIFE_MS: f64 = 4_000.0;

/// The bounds within which slowness is believed.
const SLOWNESS: std::ops::RangeInclusive<f64> = 0.7..=6.0;

/// Predictions below this are not compared with what came, in ms.
const LEAST_PREDICTED_MS: f64 = 40.0;

/// How fast an engine was lately.
#[derive(Debug, Clone, Copy)]
pub struct Pace {
    slowness: f64,
    updated: Millis,
}

impl Default for Pace {
    fn default() -> Self {
        Self { slowness: 1.0, updated: Millis::default() }
    }
}

impl Pace {
    /// Notes when a first event came, and when it was predicted to.
    pub fn began(&mut self, took_ms: f64, predicted_ms: f64, now: Millis) {
        let ratio = took_ms / predicted_ms.max(LEAST_PREDICTED_MS);
        let ratio = ratio.clamp(*SLOWNESS.start(), *SLOWNESS.end());
        self.slowness = mix(self.slowness(now), ratio);
        self.updated = now;
    }

    /// Returns how much longer first events take than predicted.
    pub fn slowness(&self, now: Millis) -> f64 {
        1.0 + (self.slowness - 1.0) * self.remembered(now)
    }

    #[allow(clippy::cast_precision_loss)]
    fn remembered(&self, now: Millis) -> f64 {
        (-(now.since(self.updated) as f64) / HALF_LIFE_MS).exp2()
    }
}

fn mix(old: f64, new: f64) -> f64 {
    old + (new - old) * NEW_PART
}
