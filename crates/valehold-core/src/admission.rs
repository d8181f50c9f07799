//! Whether a request is let in, given when its answer could begin.

#[cfg(test)]
mod tests;

use serde::{Deserialize, Serialize};

use crate::config::MAX_PRIORITY;

/// How much of its time a request may be predicted to wait.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct AdmissionSettings {
    /// The part of its time that a request of the lowest priority may wait.
    pub lowest: f64,
    /// The part of its time that a request of the highest priority may wait.
    pub highest: f64,
}

impl Default for AdmissionSettings {
    fn default() -> Self {
        // Predictions run high, since what an instance sent counts as unread
        // until its answer begins: in docs/TUNING.md more is in time with
        // allowances above the whole time than below.
        Self { lowest: 1.0, highest: 1.2 }
    }
}

impl AdmissionSettings {
    /// Returns how long a request may be predicted to wait, in ms.
    ///
    /// A lower priority may wait less, so that it is turned away while
    /// higher ones still find room: it never takes the last part of an
    /// engine's queue.
    pub fn allowance_ms(&self, priority: u8, first_token_ms: u64) -> f64 {
        let rank = f64::from(priority.min(MAX_PRIORITY));
        let part = rank / f64::from(MAX_PRIORITY);
        let share = self.lowest + (self.highest - self.lowest) * part;
        #[allow(clippy::cast_precision_loss)]
        let time = first_token_ms as f64;
        share * time
    }
}

/// Decides whether a request is let in.
///
/// # Errors
///
/// If its answer would begin too late: in how many ms to come back. That is
/// when what waits now is worked off far enough, at the pace at which it was
/// predicted to be.
pub fn admit(
    predicted_ms: f64,
    priority: u8,
    first_token_ms: u64,
    settings: &AdmissionSettings,
) -> Result<(), u64> {
    let allowance = settings.allowance_ms(priority, first_token_ms);
    if predicted_ms <= allowance {
        return Ok(());
    }
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let come_back = (predicted_ms - allowance).ceil() as u64;
    Err(come_back.max(1))
}
