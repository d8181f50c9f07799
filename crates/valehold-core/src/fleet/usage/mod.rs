//! Distributed rate limiting: the usage limits of workspaces, over all
//! gateways.
//!
//! A limit holds for the sum over all gateways, but a request must not wait
//! until the gateways agree. So each gateway counts the requests that it
//! admits ([`UsageMeter`]) and reports its totals a few times a second. The
//! gateways that receive all reports, the hubs, add the totals up
//! ([`UsageAggregator`]) and compute which fraction of a workspace's requests
//! to admit ([`Throttle`]). A gateway with recent throttles admits each
//! request with that probability. A gateway without them may use an equal
//! share of each limit ([`Presence`]), so that gateways which cannot reach one
//! another never exceed the limit together.
//!
//! A limit holds over a sliding window: the use in any window is bounded by
//! the rate times the window's length, plus the burst. So the burst is
//! available again in each window, and throttles aim at the rate that uses
//! both up evenly.

mod aggregator;
mod meter;
mod presence;
mod sliding;

use serde::{Deserialize, Serialize};

pub use self::{
    aggregator::{ReportScope, UsageAggregator},
    meter::{LimitReached, UsageMeter},
    presence::Presence,
    sliding::SlidingSum,
};
use super::workspace::UsageLimit;
use crate::id::WorkspaceTag;

/// Settings of usage limits. Operators set them to the terms that they agreed
/// with their callers.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LimitSettings {
    /// The length of the sliding window, in seconds.
    pub window_s: f64,
    /// The fraction of a window's budget by which the sum over all gateways
    /// may exceed the budget.
    pub overshoot: f64,
    /// The amount, in the limit's unit, by which the sum may exceed the budget
    /// in addition to `overshoot`.
    pub slack: f64,
    /// The number of gateways among which a gateway divides each limit until
    /// it has received a report from another one, if there are others.
    pub instances: u32,
}

impl Default for LimitSettings {
    fn default() -> Self {
        // 400 instances are the target size in docs/CAPACITY.md.
        Self { window_s: 8.0, overshoot: 0.1, slack: 0.0, instances: 400 }
    }
}

/// The use that occurs before throttles reflect it, in seconds of a limit's
/// rate. In a property test with 350 ms between a request and the throttles
/// that reflect it, floods that doubled while the window was full exceeded the
/// limit by this much.
const UNREPORTED_S: f64 = 1.0;

/// The bounds of the allowance for short peaks, as fractions of the tolerance.
const PEAK_FRACTIONS: std::ops::RangeInclusive<f64> = 0.1..=0.4;

/// The fraction of the tolerance from which no request is admitted.
const STOP_FRACTION: f64 = 0.4;

impl LimitSettings {
    /// Returns the window's length, in ms.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    pub fn window_ms(&self) -> u64 {
        (self.window_s * 1_000.0) as u64
    }

    /// Returns the use that a limit allows in one window.
    pub fn budget(&self, limit: &UsageLimit) -> f64 {
        limit.rate * self.window_s + limit.burst
    }

    /// Returns the rate per second that uses the budget up evenly.
    fn even_rate(&self, limit: &UsageLimit) -> f64 {
        self.budget(limit) / self.window_s
    }

    /// Returns the allowance for a short peak after a period of low use.
    fn peak_allowance(&self, limit: &UsageLimit) -> f64 {
        let tolerance = self.tolerance(limit);
        let min = tolerance * PEAK_FRACTIONS.start();
        let max = tolerance * PEAK_FRACTIONS.end();
        (tolerance - limit.rate * UNREPORTED_S).clamp(min, max)
    }

    /// Returns the maximum use in a window with a peak.
    fn max_with_peak(&self, limit: &UsageLimit) -> f64 {
        self.budget(limit) + self.peak_allowance(limit)
    }

    /// Returns the use in a window from which no request is admitted.
    fn stop_threshold(&self, limit: &UsageLimit) -> f64 {
        self.budget(limit) + self.tolerance(limit) * STOP_FRACTION
    }

    /// Returns the amount by which the use in a window may exceed the budget.
    fn tolerance(&self, limit: &UsageLimit) -> f64 {
        self.budget(limit) * self.overshoot + self.slack
    }
}

/// The use of a workspace's limit at one gateway, or at one group of gateways,
/// counted since the gateway started.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageTotal {
    /// The workspace.
    pub workspace: WorkspaceTag,
    /// The cost of all admitted requests, in the limit's unit.
    pub used: u64,
    /// The cost of all requests, admitted or not, except for requests that
    /// were admitted but did not run.
    pub requested: u64,
    /// The cost of the requests admitted in the last window.
    pub used_in_window: u64,
}

/// A fraction from 0 to 1, in 255 steps.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Fraction(u8);

impl Fraction {
    /// The fraction 1.
    pub const ONE: Self = Self(u8::MAX);

    /// Creates a fraction from a number, which is clamped to the range 0 to 1.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    pub fn new(fraction: f64) -> Self {
        Self((fraction.clamp(0.0, 1.0) * f64::from(u8::MAX)).round() as u8)
    }

    /// Returns the fraction as a number from 0 to 1.
    pub fn get(self) -> f64 {
        f64::from(self.0) / f64::from(u8::MAX)
    }
}

/// The fraction of a workspace's requests that gateways admit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Throttle {
    /// The workspace.
    pub workspace: WorkspaceTag,
    /// The fraction of the workspace's requests to admit.
    pub admitted: Fraction,
    /// The fraction of the budget that was used in the last window.
    pub used: Fraction,
}

/// The throttles that one hub computes for all workspaces.
///
/// Workspaces without a throttle are far from their limits.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Throttles {
    /// The number of gateways that the hub has seen recently.
    pub seen: u32,
    /// The number of gateways that the hub receives reports from, and for
    /// which the throttles hold.
    pub present: u32,
    /// The throttle of each workspace that is near its limit or uses much of
    /// its budget.
    pub workspaces: Vec<Throttle>,
}
