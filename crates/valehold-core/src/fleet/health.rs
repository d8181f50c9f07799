//! Scores the recent failures of an upstream and marks unreliable upstreams as
//! suspect.

use crate::time::Millis;

/// The half-life of a score, in ms: without new failures a score decays to
/// half in this time.
const HALF_LIFE_MS: f64 = 3_000.0;

/// The score from which on an upstream is suspect. A suspect upstream is
/// chosen only if no other upstream is left.
const SUSPECT_SCORE: f64 = 0.45;

/// The share of the distance to 1 by which a failed request raises a score.
const FAILURE_WEIGHT: f64 = 0.35;

/// The factor by which a successful request reduces a score.
const SUCCESS_FACTOR: f64 = 0.75;

/// A failure score from 0, without recent failures, to 1.
#[derive(Debug, Clone, Copy, Default)]
pub struct Health {
    score: f64,
    updated_at: Millis,
}

impl Health {
    /// Records a failed request.
    pub fn record_failure(&mut self, now: Millis) {
        let score = self.score(now);
        self.set(score + (1.0 - score) * FAILURE_WEIGHT, now);
    }

    /// Records that the upstream could not be reached or stopped responding.
    pub fn record_unreachable(&mut self, now: Millis) {
        self.set(1.0, now);
    }

    /// Records a successful request.
    pub fn record_success(&mut self, now: Millis) {
        let score = self.score(now) * SUCCESS_FACTOR;
        self.set(score, now);
    }

    /// Returns whether other upstreams should be preferred to this one.
    pub fn is_suspect(&self, now: Millis) -> bool {
        self.score(now) >= SUSPECT_SCORE
    }

    #[allow(clippy::cast_precision_loss)]
    fn score(&self, now: Millis) -> f64 {
        let age = now.since(self.updated_at) as f64;
        self.score * (-age / HALF_LIFE_MS).exp2()
    }

    fn set(&mut self, score: f64, now: Millis) {
        self.score = score.clamp(0.0, 1.0);
        self.updated_at = now;
    }
}
