//! How far an upstream's failures speak against it.

use crate::time::Millis;

/// In how many ms a score falls to half by itself.
const HALF_LIFE_MS: f64 = 3_000.0;

/// From which score on an upstream is taken only where no other is left.
const SUSPECT: f64 = 0.45;

/// By how much a score nears 1 with a failure of a request.
const FAILURE: f64 = 0.35;

/// What is left of a score after a success.
const AFTER_SUCCESS: f64 = 0.75;

/// A score of failures, from 0 to 1.
#[derive(Debug, Clone, Copy, Default)]
pub struct Health {
    score: f64,
    updated: Millis,
}

impl Health {
    /// Notes that a request failed.
    pub fn failed(&mut self, now: Millis) {
        let score = self.score(now);
        self.set(score + (1.0 - score) * FAILURE, now);
    }

    /// Notes that it could not be reached, or fell silent.
    pub fn unreachable(&mut self, now: Millis) {
        self.set(1.0, now);
    }

    /// Notes that a request succeeded.
    pub fn succeeded(&mut self, now: Millis) {
        let score = self.score(now) * AFTER_SUCCESS;
        self.set(score, now);
    }

    /// Tells whether another upstream should be taken.
    pub fn is_suspect(&self, now: Millis) -> bool {
        self.score(now) >= SUSPECT
    }

    #[allow(clippy::cast_precision_loss)]
    fn score(&self, now: Millis) -> f64 {
        let age = now.since(self.updated) as f64;
        self.score * (-age / HALF_LIFE_MS).exp2()
    }

    fn set(&mut self, score: f64, now: Millis) {
        self.score = score.clamp(0.0, 1.0);
        self.updated = now;
    }
}
