//! The clock by which this process decides.

use std::{
    future::Future,
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use rustix::time::{ClockId, clock_gettime};
use valehold_core::Millis;

/// How long a timer runs before the clock is read again. Timers stand still
/// while the machine is suspended; this is how much later than due something
/// may end after that, and a part of what callers take for a late answer.
const LOOK_AGAIN: Duration = Duration::from_millis(250);

/// A clock that never goes back, and counts the time for which the machine is
/// suspended; copies share its start.
///
/// Others count that time too: a lease that ran out, a limit that another
/// granted, a caller that left. A clock that stands still meanwhile, as that
/// of timers and of [`std::time::Instant`], would have this process go on as
/// if nothing had happened.
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
    /// Time that is counted beside the machine's, in ms.
    beside: Option<&'static AtomicU64>,
}

impl Clock {
    /// Starts a clock.
    pub fn new() -> Self {
        Self { start: since_boot(), beside: None }
    }

    /// Starts a clock that also counts the ms in `beside`, which only grow: a
    /// test suspends a process by adding to them.
    pub fn with(beside: &'static AtomicU64) -> Self {
        Self { beside: Some(beside), ..Self::new() }
    }

    /// Returns the time now.
    pub fn now(&self) -> Millis {
        let elapsed = since_boot().saturating_sub(self.start);
        let beside = self.beside.map_or(0, |ms| ms.load(Ordering::SeqCst));
        Millis::from(elapsed) + beside
    }

    /// Returns how long it is until a moment; nothing if that is past.
    pub fn until(&self, moment: Millis) -> Duration {
        Duration::from_millis(moment.since(self.now()))
    }

    /// Waits for something until a moment at the longest; `None` if it has not
    /// come by then.
    pub async fn wait_until<F: Future>(
        &self,
        moment: Millis,
        waiting: F,
    ) -> Option<F::Output> {
        let mut waiting = std::pin::pin!(waiting);
        loop {
            let left = self.until(moment);
            let span = left.min(LOOK_AGAIN);
            let came = tokio::time::timeout(span, waiting.as_mut()).await;
            match came {
                Ok(output) => return Some(output),
                Err(_) if left <= LOOK_AGAIN => return None,
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

/// Returns the time since the machine started, suspensions included.
fn since_boot() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    // It is never before the start.
    Duration::try_from(time).unwrap_or_default()
}
