//! What a watch does when the store fails it.

use std::{rc::Rc, time::Duration};

use tokio::time::Instant;
use valehold_ports::{PortError, PortErrorKind, port::fleet::WatchSpan};

use super::{Inputs, orders::WatchOrders};
use crate::control::input::Input;

/// The least pause after a failure.
const LEAST_PAUSE: Duration = Duration::from_millis(150);

/// The greatest pause after failures.
const GREATEST_PAUSE: Duration = Duration::from_millis(700);

/// The same for a gateway that hears from others of the store. Each call
/// costs, refused ones too, and 63 gateways that all looked twice a second
/// made 4,400 calls on a day with outages. Below the three seconds within
/// which the users expect a configuration, should the others fall silent.
const GREATEST_PAUSE_IN_RESERVE: Duration = Duration::from_millis(2_200);

/// Pauses after failures, longer and longer.
pub(super) struct Pauses {
    next: Duration,
    /// Whether the last call failed.
    pub(super) is_failing: bool,
    inputs: Inputs,
    orders: Rc<WatchOrders>,
}

impl Pauses {
    pub(super) fn new(inputs: Inputs, orders: Rc<WatchOrders>) -> Self {
        Self { next: LEAST_PAUSE, is_failing: false, inputs, orders }
    }

    /// Returns how long the next watch is to wait, if it waits for so long
    /// while the store answers.
    ///
    /// A store that just failed is only asked what changed, until it answers:
    /// a watch that began shortly before the store came back would hang on for
    /// all of its time.
    pub(super) fn span(&self, usual: WatchSpan) -> WatchSpan {
        match self.is_failing {
            true => WatchSpan::Now,
            false => usual,
        }
    }

    pub(super) fn succeeded(&mut self) {
        self.next = LEAST_PAUSE;
        self.is_failing = false;
    }

    /// Notes that a call failed, and pauses before the next.
    ///
    /// The first call that gets no answer is followed by another at once: a
    /// watch that was forgotten, or whose connection died, tells nothing of
    /// the store as it is now.
    pub(super) async fn failed(&mut self, error: PortError, began: Instant) {
        let was_failing = std::mem::replace(&mut self.is_failing, true);
        let is_silence = error.kind() == PortErrorKind::TimedOut;
        let lasted = began.elapsed();
        let _ = self.inputs.send(Input::StoreFailed { error, lasted });
        if is_silence && !was_failing {
            return;
        }
        let jitter = 0.75 + 0.5 * rand::random::<f64>();
        tokio::time::sleep(self.next.mul_f64(jitter)).await;
        let greatest = match self.orders.others_look.get() {
            true => GREATEST_PAUSE_IN_RESERVE,
            false => GREATEST_PAUSE,
        };
        self.next = (self.next * 2).min(greatest);
    }
}
