//! The pace of an engine as measured by one gateway: how much longer than
//! predicted the first events of answers recently took.
//!
//! [`paces`](super::paces) estimates the paces from the measurements of all
//! gateways together.

use crate::time::Millis;

/// The weight of a new observation in the moving average.
const NEW_WEIGHT: f64 = 0.2;

/// The time in which the deviation from the prediction decays to half, in ms.
const HALF_LIFE_MS: f64 = 4_000.0;

/// The range to which an observed ratio is clamped.
const SLOWNESS_RANGE: std::ops::RangeInclusive<f64> = 0.7..=6.0;

/// The least prediction with which a measured time is compared, in ms. Shorter
/// predictions are raised to this value.
const MIN_PREDICTED_MS: f64 = 40.0;

/// The recent pace of an engine, as measured by one gateway.
#[derive(Debug, Clone, Copy)]
pub struct Pace {
    slowness: f64,
    updated_at: Millis,
}

impl Default for Pace {
    fn default() -> Self {
        Self { slowness: 1.0, updated_at: Millis::default() }
    }
}

impl Pace {
    /// Records the measured and the predicted time of a first event.
    pub fn observe(&mut self, took_ms: f64, predicted_ms: f64, now: Millis) {
        let ratio = took_ms / predicted_ms.max(MIN_PREDICTED_MS);
        let ratio =
            ratio.clamp(*SLOWNESS_RANGE.start(), *SLOWNESS_RANGE.end());
        self.slowness = average(self.slowness(now), ratio);
        self.updated_at = now;
    }

    /// Returns the factor by which first events take longer than predicted.
    pub fn slowness(&self, now: Millis) -> f64 {
        1.0 + (self.slowness - 1.0) * self.decay(now)
    }

    #[allow(clippy::cast_precision_loss)]
    fn decay(&self, now: Millis) -> f64 {
        (-(now.since(self.updated_at) as f64) / HALF_LIFE_MS).exp2()
    }
}

fn average(old: f64, new: f64) -> f64 {
    old + (new - old) * NEW_WEIGHT
}
