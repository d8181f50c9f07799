//! Monotonic time as a plain number.

use std::{
    ops::{Add, Sub},
    time::Duration,
};

use serde::{Deserialize, Serialize};

/// Milliseconds on one process's monotonic clock.
///
/// Two values may be compared only if they come from the same process: the
/// start of the clock has no meaning outside it. No decision in this crate
/// reads a wall clock.
///
/// # Example
///
/// ```
/// use valehold_core::Millis;
///
/// let sent = Millis::new(1_000);
/// assert_eq!(Millis::new(1_250).since(sent), 250);
/// assert_eq!(sent.since(Millis::new(1_250)), 0);
/// ```
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
pub struct Millis(u64);

impl Millis {
    /// Makes a point in time from milliseconds since the clock's start.
    pub const fn new(millis: u64) -> Self {
        Self(millis)
    }

    /// Returns the milliseconds since the clock's start.
    pub const fn get(self) -> u64 {
        self.0
    }

    /// Returns the milliseconds since `earlier`, or 0 if it lies ahead.
    pub const fn since(self, earlier: Self) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}

impl From<Duration> for Millis {
    fn from(elapsed: Duration) -> Self {
        Self(u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX))
    }
}

impl Add<u64> for Millis {
    type Output = Self;

    fn add(self, millis: u64) -> Self {
        Self(self.0.saturating_add(millis))
    }
}

impl Sub<u64> for Millis {
    type Output = Self;

    fn sub(self, millis: u64) -> Self {
        Self(self.0.saturating_sub(millis))
    }
}
