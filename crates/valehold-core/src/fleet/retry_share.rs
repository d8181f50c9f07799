//! The share of one instance in the retry budget of a service.
//!
//! Within any window, all instances together may retry at most a ratio of a
//! service's requests plus a slack. The instances do not coordinate: each
//! instance counts its own requests, uses less than the ratio of these and a
//! fixed part of the slack. The shares sum to less than the budget even when
//! instances are cut off from one another, and however often they restart.

use super::window::Window;
use crate::time::Millis;

/// The budget that all instances share.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBudget {
    /// The number of retries allowed per request.
    pub ratio: f64,
    /// The number of retries allowed in a window beyond the ratio.
    pub slack: f64,
    /// The length of the window, in ms.
    pub window_ms: u64,
    /// The least number of instances among which the slack is divided.
    pub instances: u32,
}

/// The fraction of the ratio that is used. The windows in which the budget of
/// all instances is checked start at other times than those of an instance.
const RATIO_FRACTION: f64 = 0.7;

/// The fraction of the slack that is used. The remainder is reserved for
/// restarts.
const SLACK_FRACTION: f64 = 0.6;

/// The fraction of the slack that accrues evenly in the first window after a
/// start. A restarted instance loses the count of its retries. In any window
/// its lives last no longer than the window, so that their shares together
/// are at most this fraction, beside the whole share of the life before.
const ACCRUED_FRACTION: f64 = 1.0 - SLACK_FRACTION;

/// The share of one instance in the retry budget of one service.
#[derive(Debug, Clone)]
pub struct RetryShare {
    budget: RetryBudget,
    started: Millis,
    requests: Window,
    retries: Window,
}

impl RetryShare {
    /// Creates the share of an instance that started at `started` and has sent
    /// nothing.
    pub fn new(budget: RetryBudget, started: Millis) -> Self {
        let window = Window::new(budget.window_ms);
        Self { budget, started, requests: window.clone(), retries: window }
    }

    /// Updates the number of instances among which the slack is divided.
    ///
    /// The number never decreases: instances that are no longer seen may be
    /// cut off and still use their shares.
    pub fn observe_instances(&mut self, count: u32) {
        self.budget.instances = self.budget.instances.max(count);
    }

    /// Records the first attempt of a request.
    pub fn record_request(&mut self, now: Millis) {
        self.requests.record(now);
    }

    /// Reports whether the share allows another retry.
    pub fn can_retry(&mut self, now: Millis) -> bool {
        self.retries.count(now) < self.allowed(now)
    }

    /// Records a retry if the share allows one, and reports whether it does.
    pub fn try_retry(&mut self, now: Millis) -> bool {
        let can = self.can_retry(now);
        if can {
            self.retries.record(now);
        }
        can
    }

    #[allow(
        clippy::cast_precision_loss,
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss
    )]
    fn allowed(&mut self, now: Millis) -> usize {
        let requests = self.requests.count(now) as f64;
        let instances = f64::from(self.budget.instances.max(1));
        let slack = self.budget.slack * self.slack_fraction(now) / instances;
        (requests * self.budget.ratio * RATIO_FRACTION + slack) as usize
    }

    /// Returns the fraction of the slack that all instances of the age of this
    /// one may use together.
    #[allow(clippy::cast_precision_loss)]
    fn slack_fraction(&self, now: Millis) -> f64 {
        let age_ms = now.since(self.started);
        if age_ms >= self.budget.window_ms {
            return SLACK_FRACTION;
        }
        ACCRUED_FRACTION * age_ms as f64 / self.budget.window_ms as f64
    }
}
