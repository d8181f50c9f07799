//! The monotonic clock of all decisions, which includes suspended time.

use std::{
    future::Future,
    pin::Pin,
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use rustix::time::{ClockId, clock_gettime};
use valehold_core::Millis;

/// How long a timer runs before the clock is read again. Timers stop while the
/// machine is suspended, so a deadline may be missed by this much afterwards.
/// The delay adds to the lateness that callers measure.
const RECHECK_INTERVAL: Duration = Duration::from_millis(250);

/// How late a wait has to end for its process to count as having stood still
/// until then, in ms, apart from the time for which it ran. A process may go on
/// right at the end of a wait.
const MIN_STILL_MS: u64 = 2;

/// How much longer than it ran such a process stood still, at least. One that
/// has much to do is late too, and has read meanwhile.
const MIN_STILL_FACTOR: u64 = 4;

/// How often a process that stood still looks again at what it waited for, and
/// the pause before each look. Each look is one turn of the event loop at least,
/// however little processor time the process gets.
const LAST_LOOKS: u32 = 8;
const LAST_LOOK_INTERVAL: Duration = Duration::from_millis(5);

/// The processor time after which a process has looked often enough: its event
/// loop has much to do, and has read meanwhile.
const MAX_LOOK_TIME: Duration = Duration::from_millis(80);

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
        let mut future = std::pin::pin!(future);
        self.wait(|| moment, future.as_mut()).await.ok()
    }

    /// Waits for a future as [`Self::wait_until`] does, until a moment that may
    /// become earlier meanwhile. The moment is asked for several times a
    /// second.
    ///
    /// If the process stood still until after the moment, what has arrived
    /// meanwhile still counts, provided that `may_look` allows the time for it.
    pub async fn wait_for_arrival<F: Future>(
        &self,
        moment: impl Fn() -> Millis,
        may_look: impl Fn() -> bool,
        future: F,
    ) -> Option<F::Output> {
        let mut future = std::pin::pin!(future);
        match self.wait(moment, future.as_mut()).await {
            Ok(output) => Some(output),
            Err(late) if late.has_stood_still() && may_look() => {
                look_again(future).await
            }
            Err(_) => None,
        }
    }

    async fn wait<F: Future>(
        &self,
        moment: impl Fn() -> Millis,
        mut future: Pin<&mut F>,
    ) -> Result<F::Output, Lateness> {
        loop {
            let began = running_time();
            let left = self.until(moment());
            let timeout = left.min(RECHECK_INTERVAL);
            let result = tokio::time::timeout(timeout, future.as_mut()).await;
            match result {
                Ok(output) => return Ok(output),
                Err(_) if left > RECHECK_INTERVAL => {}
                Err(_) => {
                    let ran = running_time().saturating_sub(began);
                    let late_ms = self.now().since(moment());
                    let ran_ms = Millis::from(ran).get();
                    return Err(Lateness { late_ms, ran_ms });
                }
            }
        }
    }
}

/// How late a wait ended.
#[derive(Debug, Clone, Copy)]
struct Lateness {
    /// The time since the moment until which the wait was to last, in ms.
    late_ms: u64,
    /// The processor time that the thread used in the last part of the wait, in
    /// ms.
    ran_ms: u64,
}

impl Lateness {
    /// Returns whether the process stood still for most of that time.
    const fn has_stood_still(self) -> bool {
        let still_ms = self.late_ms.saturating_sub(self.ran_ms);
        still_ms >= MIN_STILL_MS && still_ms >= self.ran_ms * MIN_STILL_FACTOR
    }
}

/// The last looks at what may have arrived while a process stood still. The
/// time for which the process does not run is no time to look.
#[derive(Debug, Clone, Copy)]
pub struct LastLooks {
    looks: u32,
    began: Duration,
}

impl LastLooks {
    /// Begins to look.
    pub fn begin() -> Self {
        Self { looks: 0, began: running_time() }
    }

    /// Counts a look, and returns whether it was one too many.
    pub fn are_over(&mut self) -> bool {
        self.looks += 1;
        let took = running_time().saturating_sub(self.began);
        self.looks > LAST_LOOKS || took >= MAX_LOOK_TIME
    }
}

/// Looks again at a future after its time.
async fn look_again<F: Future>(mut future: Pin<&mut F>) -> Option<F::Output> {
    let mut looks = LastLooks::begin();
    while !looks.are_over() {
        let look = tokio::time::timeout(LAST_LOOK_INTERVAL, future.as_mut());
        if let Ok(output) = look.await {
            return Some(output);
        }
    }
    None
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

/// Returns the processor time that this thread has used.
fn running_time() -> Duration {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    // The conversion fails for negative times only, which do not occur.
    Duration::try_from(time).unwrap_or_default()
}
