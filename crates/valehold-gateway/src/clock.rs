//! The monotonic clock of all decisions, which includes suspended time.

use std::{
    future::Future,
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use rustix::time::{ClockId, clock_gettime};
use valehold_core::Millis;

/// How long a timer runs before the clock is read again. Timers stop while the
/// machine is suspended, so a deadline may be missed by this much afterwards.
/// The delay adds to the lateness that callers measure.
const RECHECK_INTERVAL: Duration = Duration::from_millis(250);

/// A monotonic clock that includes the time for which the machine is suspended.
/// Copies share the same start.
///
/// Other processes count that time too: while this one is suspended, its lease
/// expires, its share of a limit is granted to others and its callers leave.
/// With a clock that stops meanwhile, such as [`std::time::Instant`] and that
/// of timers, the process would continue as if no time had passed.
///
/// # Example
///
/// ```
/// use valehold_gateway::Clock;
///
/// let clock = Clock::new();
/// let before = clock.now();
/// assert!(clock.now() >= before);
/// ```
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: Duration,
    /// Time that is added to the machine's, in ms.
    extra_ms: Option<&'static AtomicU64>,
}

impl Clock {
    /// Starts a clock.
    pub fn new() -> Self {
        Self { start: since_boot(), extra_ms: None }
    }

    /// Starts a clock that is ahead of the machine's by `extra_ms`, which must
    /// never decrease. Tests add to it to simulate a suspended process.
    pub fn with(extra_ms: &'static AtomicU64) -> Self {
        Self { extra_ms: Some(extra_ms), ..Self::new() }
    }

    /// Returns the time since the start of the clock.
    pub fn now(&self) -> Millis {
        let elapsed = since_boot().saturating_sub(self.start);
        let extra_ms = self.extra_ms.map_or(0, |ms| ms.load(Ordering::SeqCst));
        Millis::from(elapsed) + extra_ms
    }

    /// Returns the time until a moment; zero if the moment has passed.
    pub fn until(&self, moment: Millis) -> Duration {
        Duration::from_millis(moment.since(self.now()))
    }

    /// Waits for a future, and returns `None` if it has not completed by the
    /// given moment.
    pub async fn wait_until<F: Future>(
        &self,
        moment: Millis,
        future: F,
    ) -> Option<F::Output> {
        self.wait_until_latest(|| moment, future).await
    }

    /// Waits for a future as [`Self::wait_until`] does, until a moment that may
    /// become earlier meanwhile. The moment is asked for several times a
    /// second.
    pub async fn wait_until_latest<F: Future>(
        &self,
        moment: impl Fn() -> Millis,
        future: F,
    ) -> Option<F::Output> {
        let mut future = std::pin::pin!(future);
        loop {
            let left = self.until(moment());
            let timeout = left.min(RECHECK_INTERVAL);
            let result = tokio::time::timeout(timeout, future.as_mut()).await;
            match result {
                Ok(output) => return Some(output),
                Err(_) if left <= RECHECK_INTERVAL => return None,
                Err(_) => {}
            }
        }
    }
}

impl Default for Clock {
    fn default() -> Self {
        Self::new()
    }
}

/// Returns the time since the machine booted, including suspended time.
fn since_boot() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    // The conversion fails for negative times only, which do not occur.
    Duration::try_from(time).unwrap_or_default()
}
