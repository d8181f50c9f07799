//! One instance's share of a budget for second sends.
//!
//! All instances together may send a service, within any window, no more
//! than a ratio of its requests plus a slack again. Instances do not ask each
//! other: each counts its own requests, takes less than the ratio of those,
//! and a fixed part of the slack. The parts sum to less than the budget also
//! when instances are cut off from one another.

use super::window::Window;
use crate::time::Millis;

/// The budget that all instances share.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBudget {
    /// Second sends for each request.
    pub ratio: f64,
    /// Second sends beyond that, in a window.
    pub slack: f64,
    /// The window's length, in ms.
    pub window_ms: u64,
    /// Among how many instances the slack is divided at the least.
    pub instances: u32,
}

/// The part of the ratio that is used, since windows of the judge and of the
/// instance begin at different times.
const USED_RATIO: f64 = 0.7;

/// The part of the slack that is given out. A restarted instance forgets
/// what it used, so some is left for restarts.
const USED_SLACK: f64 = 0.6;

/// One instance's share, for one service.
#[derive(Debug, Clone)]
pub struct RetryShare {
    budget: RetryBudget,
    requests: Window,
    again: Window,
}

impl RetryShare {
    /// Makes the share of an instance that has sent nothing.
    pub fn new(budget: RetryBudget) -> Self {
        let window = Window::new(budget.window_ms);
        Self { budget, requests: window.clone(), again: window }
    }

    /// Takes in how many instances there are, as far as this one has seen.
    ///
    /// The slack is never divided among fewer than before: instances that
    /// are not seen any more may only be cut off.
    pub fn seen_instances(&mut self, seen: u32) {
        self.budget.instances = self.budget.instances.max(seen);
    }

    /// Notes a request's first send.
    pub fn first_send(&mut self, now: Millis) {
        self.requests.record(now);
    }

    /// Tells whether there is a second send left in the share.
    pub fn can_again(&mut self, now: Millis) -> bool {
        self.again.count(now) < self.allowed(now)
    }

    /// Takes a second send out of the share, if there is one left.
    pub fn try_again(&mut self, now: Millis) -> bool {
        let can = self.can_again(now);
        if can {
            self.again.record(now);
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
        let slack = self.budget.slack * USED_SLACK / instances;
        (requests * self.budget.ratio * USED_RATIO + slack) as usize
    }
}
