//! Rate limiting of loads from the weight store.
//!
//! The weight store supports a limited number of loads per second, over all
//! engines, counted when they start. A load does not start when it is planned:
//! the engine is asked for a report first, the order takes time, and an order
//! without an answer may be executed seconds later. So a load counts from its
//! planning until the latest time at which it can have started, and for one
//! window after that. No window holds more loads than allowed, however late
//! each one starts: when the last load of a window was planned, all others in
//! that window were counted.
//!
//! A new holder of the lease does not know which loads the previous holder
//! started. The previous holder kept to the same limits, so the new one counts
//! the maximum that these allow, and the number of unanswered orders that the
//! previous holder recorded: see [`InheritedLoads`].

use std::collections::BTreeMap;

use super::identity::UpstreamStart;
use crate::time::Millis;

/// The length of a burst as a fraction of a window. At most the same fraction
/// of a window's loads starts in a burst, so that a new holder of the lease
/// need not wait for a whole window.
const BURST_FRACTION: f64 = 0.4;

/// How long an unanswered order may still be executed, in ms.
pub const MAX_ORDER_DELAY_MS: u64 = 15_000;

/// The rate of loads that the weight store supports.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LoadRate {
    /// Loads per second, over all engines.
    pub per_second: f64,
    /// The window in which loads are counted, in ms.
    pub window_ms: u64,
}

impl LoadRate {
    /// Returns the number of loads that may start in a window, at least one.
    pub fn in_window(self) -> usize {
        self.loads_in(1.0)
    }

    /// Returns the number of loads that may start in a burst, at least one.
    fn in_burst(self) -> usize {
        self.loads_in(BURST_FRACTION)
    }

    /// Returns the length of a burst, in ms.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    fn burst_ms(self) -> u64 {
        (self.window_ms as f64 * BURST_FRACTION) as u64
    }

    /// Returns the number of loads in a fraction of a window, at least one.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    fn loads_in(self, fraction: f64) -> usize {
        let window_s = self.window_ms as f64 / 1_000.0;
        ((self.per_second * window_s * fraction) as usize).max(1)
    }
}

/// A position in the sequence of orders that one start of an engine accepts.
///
/// The engine executes a single order for each position, however many are
/// sent.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct OrderPosition {
    /// The start of the engine.
    pub start: UpstreamStart,
    /// The number of orders that the engine accepted before.
    pub sequence: u64,
}

/// The outcome of an order to load from the weight store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LoadOutcome {
    /// The engine accepted the order.
    Started,
    /// The order was not sent, or the engine rejected it.
    NotStarted,
    /// The order was not answered: the engine may have executed it, or may
    /// still execute it.
    Unknown,
}

/// Loads whose orders were not answered and that may still start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LostLoads {
    /// The number of loads.
    pub count: usize,
    /// The latest time at which any of them can start.
    pub until: Millis,
}

/// The loads that previous holders of the lease ordered, as far as the current
/// holder knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct InheritedLoads {
    /// The time by which the orders of previous holders have arrived, except
    /// for delayed ones.
    pub until: Millis,
    /// The loads whose orders may be delayed, so that they may start later.
    pub lost: LostLoads,
}

/// A load that may still start.
#[derive(Debug, Clone, Copy, Default)]
struct PendingLoad {
    /// Whether an order for the load is in flight.
    in_flight: bool,
    /// When the last unanswered order was given up.
    lost: Option<Millis>,
}

impl PendingLoad {
    /// Returns whether the order arrived within the last `span_ms`, provided
    /// that it was not delayed.
    fn is_within(&self, span_ms: u64, now: Millis) -> bool {
        let is_recent = |lost| now.since(lost) <= span_ms;
        self.in_flight || self.lost.is_some_and(is_recent)
    }
}

/// Counts the loads from the weight store for one holder of the lease.
///
/// # Example
///
/// ```
/// # use valehold_core::{Millis, fleet::{UpstreamStart, weight_loads::*}};
/// # use valehold_core::id::UpstreamId;
/// let rate = LoadRate { per_second: 1.0, window_ms: 5_000 };
/// let mut loads = WeightLoads::default();
/// let start = UpstreamStart { id: UpstreamId::new("e1"), started_at_ms: None };
/// let position = OrderPosition { start, sequence: 0 };
/// loads.plan(position.clone());
/// assert_eq!(loads.count(rate, Millis::new(60_000)), 1);
/// loads.record_outcome(&position, LoadOutcome::Started, Millis::new(60_000));
/// assert_eq!(loads.count(rate, Millis::new(65_000)), 1);
/// assert_eq!(loads.count(rate, Millis::new(65_001)), 0);
/// ```
#[derive(Debug, Clone, Default)]
pub struct WeightLoads {
    /// The loads that may still start.
    pending: BTreeMap<OrderPosition, PendingLoad>,
    /// The latest possible start of each load that has started.
    started: Vec<Millis>,
    /// The loads of previous holders; `None` if there were none.
    inherited: Option<InheritedLoads>,
}

impl WeightLoads {
    /// Records that a load is planned.
    pub fn plan(&mut self, position: OrderPosition) {
        self.pending.entry(position).or_default().in_flight = true;
    }

    /// Records the outcome of the order for a load.
    pub fn record_outcome(
        &mut self,
        position: &OrderPosition,
        outcome: LoadOutcome,
        now: Millis,
    ) {
        let Some(pending) = self.pending.get_mut(position) else { return };
        pending.in_flight = false;
        match outcome {
            LoadOutcome::Started => {
                self.pending.remove(position);
                self.started.push(now);
            }
            LoadOutcome::Unknown => pending.lost = Some(now),
            // An earlier order for the same position may still be executed.
            LoadOutcome::NotStarted if pending.lost.is_some() => {}
            LoadOutcome::NotStarted => {
                self.pending.remove(position);
            }
        }
    }

    /// Discards the load at a position: the engine accepted another order for
    /// the position, which is not a load from the weight store.
    pub fn discard(&mut self, position: &OrderPosition) {
        self.pending.remove(position);
    }

    /// Records the number of orders that an engine has accepted. Loads at
    /// earlier positions have started, or never will.
    pub fn record_accepted(
        &mut self,
        start: &UpstreamStart,
        accepted: u64,
        now: Millis,
    ) {
        let is_past = |position: &OrderPosition, pending: &PendingLoad| {
            position.start == *start
                && position.sequence < accepted
                && !pending.in_flight
        };
        let started = &mut self.started;
        self.pending.retain(|position, pending| {
            let is_past = is_past(position, pending);
            if is_past {
                started.push(now);
            }
            !is_past
        });
    }

    /// Records the loads that previous holders of the lease ordered.
    ///
    /// Loads that this holder recorded as started by `previous.until` are
    /// dropped: the maximum that previous holders may have started includes
    /// them.
    pub fn inherit(&mut self, previous: InheritedLoads) {
        self.started.retain(|started| *started > previous.until);
        self.inherited = Some(previous);
    }

    /// Returns the loads whose orders were not answered and that may still
    /// start, to record them for the next holder.
    pub fn lost(&mut self, now: Millis) -> LostLoads {
        self.expire(now);
        let own = self.pending.values().filter_map(|pending| pending.lost);
        let own = own.map(|lost| lost + MAX_ORDER_DELAY_MS);
        let previous = self.inherited_lost(0, now);
        own.fold(previous, |all, until| LostLoads {
            count: all.count + 1,
            until: all.until.max(until),
        })
    }

    /// Returns the unanswered loads of previous holders if any of them may
    /// have started within the last `span_ms` or may still start.
    fn inherited_lost(&self, span_ms: u64, now: Millis) -> LostLoads {
        let lost = self.inherited.map(|previous| previous.lost);
        let lost = lost.filter(|lost| now.since(lost.until) <= span_ms);
        lost.unwrap_or_default()
    }

    /// Counts the loads that can have started within the last window or may
    /// still start.
    pub fn count(&mut self, rate: LoadRate, now: Millis) -> usize {
        self.expire(now);
        self.started.retain(|started| now.since(*started) <= rate.window_ms);
        self.pending.len()
            + self.inherited_lost(rate.window_ms, now).count
            + self.started_within(rate.window_ms, rate, now)
    }

    /// Returns whether the load at a position is counted already. If so, its
    /// unanswered order may be sent again at any time.
    pub fn is_counted(&self, position: &OrderPosition) -> bool {
        self.pending.contains_key(position)
    }

    /// Returns the number of loads that may be planned now.
    pub fn available(&mut self, rate: LoadRate, now: Millis) -> usize {
        let in_window = rate.in_window().saturating_sub(self.count(rate, now));
        let burst_ms = rate.burst_ms();
        let pending = self.pending.values();
        let pending =
            pending.filter(|pending| pending.is_within(burst_ms, now)).count();
        let in_burst = pending + self.started_within(burst_ms, rate, now);
        in_window.min(rate.in_burst().saturating_sub(in_burst))
    }

    /// Counts the loads that can have started within the last `span_ms`.
    fn started_within(
        &self,
        span_ms: u64,
        rate: LoadRate,
        now: Millis,
    ) -> usize {
        let started = self.started.iter();
        let started =
            started.filter(|started| now.since(**started) <= span_ms);
        let inherited = self.inherited.map_or(0, |previous| {
            inherited_within(span_ms, previous.until, rate, now)
        });
        started.count() + inherited
    }

    /// Treats unanswered orders that can no longer be executed as started.
    fn expire(&mut self, now: Millis) {
        let started = &mut self.started;
        self.pending.retain(|_, pending| {
            let lost = pending.lost.filter(|_| !pending.in_flight);
            let until = lost.map(|lost| lost + MAX_ORDER_DELAY_MS);
            let expired = until.filter(|until| *until <= now);
            started.extend(expired);
            expired.is_none()
        });
    }
}

/// Counts the maximum number of loads of previous holders that can have
/// started within the last `span_ms`.
///
/// In the worst case, a full burst of loads started at `until`, another one
/// burst length earlier, and so on.
fn inherited_within(
    span_ms: u64,
    until: Millis,
    rate: LoadRate,
    now: Millis,
) -> usize {
    let mut within = 0;
    let mut remaining = rate.in_window();
    let mut before_ms = 0;
    while remaining > 0 {
        let burst = remaining.min(rate.in_burst());
        let ago_ms =
            (now.since(until) + before_ms).saturating_sub(until.since(now));
        if ago_ms <= span_ms {
            within += burst;
        }
        remaining -= burst;
        before_ms += rate.burst_ms();
    }
    within
}
