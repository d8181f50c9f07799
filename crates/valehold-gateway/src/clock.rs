//! The monotonic clock of this process.

use tokio::time::Instant;
use valehold_core::Millis;

/// A monotonic clock; copies share its start.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// Starts a clock.
    pub fn new() -> Self {
        Self { start: Instant::now() }
    }

    /// Returns the time now.
    pub fn now(&self) -> Millis {
        Millis::from(self.start.elapsed())
    }
}

impl Default for Clock {
    fn default() -> Self {
        Self::new()
    }
}
