//! Backoff of a watch after failed calls to the store.

use std::{rc::Rc, time::Duration};

use tokio::time::Instant;
use valehold_ports::{PortError, PortErrorKind, port::fleet::WatchSpan};

use super::{Inputs, watch_state::WatchState};
use crate::control::input::Input;

/// The minimum delay after a failure.
const MIN_DELAY: Duration = Duration::from_millis(150);

/// The maximum delay after failures, unless enough other gateways probe the
/// store.
const MAX_DELAY: Duration = Duration::from_millis(700);

/// The maximum delay while enough other gateways probe the store. Each call
/// costs, refused calls too, and 63 gateways with two calls a second each made
/// 4,400 calls in a test with outages. The delay is below the three seconds
/// within which users expect a configuration to arrive, in case the other
/// gateways fail.
const MAX_DELAY_IN_RESERVE: Duration = Duration::from_millis(2_200);

/// Exponential backoff after failed calls.
pub(super) struct WatchBackoff {
    next: Duration,
    /// Whether the last call failed.
    pub(super) is_failing: bool,
    inputs: Inputs,
    state: Rc<WatchState>,
}

impl WatchBackoff {
    pub(super) fn new(inputs: Inputs, state: Rc<WatchState>) -> Self {
        Self { next: MIN_DELAY, is_failing: false, inputs, state }
    }

    /// Returns the span of the next watch, given the usual span.
    ///
    /// After a failure, watches return at once until the store answers: a
    /// watch that began shortly before the store recovered would otherwise
    /// hang for its full duration.
    pub(super) fn span(&self, usual: WatchSpan) -> WatchSpan {
        match self.is_failing {
            true => WatchSpan::Now,
            false => usual,
        }
    }

    pub(super) fn succeeded(&mut self) {
        self.next = MIN_DELAY;
        self.is_failing = false;
    }

    /// Reports a failed call to control and waits before the next.
    ///
    /// The first call that times out is retried at once: a watch that the
    /// store lost, or whose connection died, says nothing about the store's
    /// present state.
    pub(super) async fn failed(&mut self, error: PortError, started: Instant) {
        let was_failing = std::mem::replace(&mut self.is_failing, true);
        let timed_out = error.kind() == PortErrorKind::TimedOut;
        let lasted = started.elapsed();
        let _ = self.inputs.send(Input::StoreFailed { error, lasted });
        if timed_out && !was_failing {
            return;
        }
        let jitter = 0.75 + 0.5 * rand::random::<f64>();
        tokio::time::sleep(self.next.mul_f64(jitter)).await;
        let max_delay = match self.state.others_probe_store.get() {
            true => MAX_DELAY_IN_RESERVE,
            false => MAX_DELAY,
        };
        self.next = (self.next * 2).min(max_delay);
    }
}
