//! Loads from the weight store, counted for as long as they may begin.
//!
//! The weight store bears so many loads a second, over all engines, and what
//! counts is when they begin. That is not when a load is planned: a report is
//! asked for first, the order takes its time, and one that drew no answer may
//! be carried out seconds later. So a load counts from its plan until the
//! latest moment at which it can have begun, and for a window from then on.
//! However late each of them is, no window holds more than are allowed: when
//! the last of those that began in it was planned, all others were counted.
//!
//! A holder of the lease that takes over does not know what the last one began.
//! It counts the most that one may have begun, which kept to the same bounds,
//! and of its orders without an answer as many as it was told: see
//! [`Inheritance`].

use std::collections::BTreeMap;

use super::identity::UpstreamStart;
use crate::time::Millis;

/// The part of a window in which only as much of its loads begins, so that a
/// holder that takes over need not wait for a whole window.
const BURST_PART: f64 = 0.4;

/// For how long an order that drew no answer may still be carried out, in ms.
const MOST_LATE_MS: u64 = 15_000;

/// What the weight store bears.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LoadRate {
    /// Loads a second, over all engines.
    pub per_second: f64,
    /// The time over which they are counted, in ms.
    pub window_ms: u64,
}

impl LoadRate {
    /// Returns how many loads may begin in a window; one at least.
    pub fn in_window(self) -> usize {
        self.part(1.0)
    }

    /// Returns how many may begin in a part of it of [`Self::burst_ms`].
    fn in_burst(self) -> usize {
        self.part(BURST_PART)
    }

    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    fn burst_ms(self) -> u64 {
        (self.window_ms as f64 * BURST_PART) as u64
    }

    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    fn part(self, part: f64) -> usize {
        let window_s = self.window_ms as f64 / 1_000.0;
        ((self.per_second * window_s * part) as usize).max(1)
    }
}

/// A place in the row of orders that one start of an engine takes: whatever is
/// ordered there, and however often, the engine carries one order out.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct OrderPlace {
    /// The engine.
    pub start: UpstreamStart,
    /// How many orders it took before.
    pub sequence: u64,
}

/// How an order to load from the weight store ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LoadEnd {
    /// The engine took it.
    Began,
    /// It was not sent, or the engine turned it away.
    NotBegun,
    /// Nothing tells: the engine may carry it out, also later.
    Unknown,
}

/// Loads whose orders drew no answer.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LostLoads {
    /// How many.
    pub count: usize,
    /// Until when any of them may begin.
    pub until: Millis,
}

/// What a holder of the lease knows of loads that others ordered before.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Inheritance {
    /// Until when orders of theirs that were not held up have arrived.
    pub until: Millis,
    /// Those that may begin later.
    pub lost: LostLoads,
}

/// A load that may yet begin.
#[derive(Debug, Clone, Copy, Default)]
struct OpenLoad {
    /// Whether an order is being given.
    under_way: bool,
    /// When it was last found that one drew no answer.
    lost: Option<Millis>,
}

impl OpenLoad {
    /// Tells whether its order arrived within a span, if it did without delay.
    fn is_within(&self, span_ms: u64, now: Millis) -> bool {
        let is_recent = |lost| now.since(lost) <= span_ms;
        self.under_way || self.lost.is_some_and(is_recent)
    }
}

/// The loads from the weight store that one holder of the lease counts.
///
/// # Example
///
/// ```
/// # use valehold_core::{Millis, fleet::{UpstreamStart, weight_loads::*}};
/// # use valehold_core::id::UpstreamId;
/// let rate = LoadRate { per_second: 1.0, window_ms: 5_000 };
/// let mut loads = WeightLoads::default();
/// let start = UpstreamStart { id: UpstreamId::new("e1"), started_at_ms: None };
/// let place = OrderPlace { start, sequence: 0 };
/// loads.plan(place.clone());
/// assert_eq!(loads.count(rate, Millis::new(60_000)), 1);
/// loads.end(&place, LoadEnd::Began, Millis::new(60_000));
/// assert_eq!(loads.count(rate, Millis::new(65_000)), 1);
/// assert_eq!(loads.count(rate, Millis::new(65_001)), 0);
/// ```
#[derive(Debug, Clone, Default)]
pub struct WeightLoads {
    open: BTreeMap<OrderPlace, OpenLoad>,
    /// The latest moments at which loads can have begun that are open no more.
    begun: Vec<Millis>,
    inherited: Option<Inheritance>,
}

impl WeightLoads {
    /// Notes that a load is planned.
    pub fn plan(&mut self, place: OrderPlace) {
        self.open.entry(place).or_default().under_way = true;
    }

    /// Notes how the order of a load ended.
    pub fn end(&mut self, place: &OrderPlace, end: LoadEnd, now: Millis) {
        let Some(open) = self.open.get_mut(place) else { return };
        open.under_way = false;
        match end {
            LoadEnd::Began => {
                self.open.remove(place);
                self.begun.push(now);
            }
            LoadEnd::Unknown => open.lost = Some(now),
            // An earlier one at the same place may still be carried out.
            LoadEnd::NotBegun if open.lost.is_some() => {}
            LoadEnd::NotBegun => {
                self.open.remove(place);
            }
        }
    }

    /// Notes that an engine took an order at a place that is no load from the
    /// weight store: whatever else was ordered there is not carried out.
    pub fn void(&mut self, place: &OrderPlace) {
        self.open.remove(place);
    }

    /// Notes that an engine has taken so many orders: loads at earlier places
    /// began, or never will.
    pub fn seen(&mut self, start: &UpstreamStart, orders: u64, now: Millis) {
        let is_past = |place: &OrderPlace, open: &OpenLoad| {
            place.start == *start && place.sequence < orders && !open.under_way
        };
        let begun = &mut self.begun;
        self.open.retain(|place, open| {
            let is_past = is_past(place, open);
            if is_past {
                begun.push(now);
            }
            !is_past
        });
    }

    /// Notes that other holders gave orders before. What this one knows of
    /// loads until then is counted among the most that they may have begun.
    pub fn inherit(&mut self, others: Inheritance) {
        self.begun.retain(|begun| *begun > others.until);
        self.inherited = Some(others);
    }

    /// Returns the loads whose orders drew no answer and that may begin yet:
    /// the next holder is told.
    pub fn lost(&mut self, now: Millis) -> LostLoads {
        self.expire(now);
        let own = self.open.values().filter_map(|open| open.lost);
        let own = own.map(|lost| lost + MOST_LATE_MS);
        let others = self.inherited_lost(0, now);
        own.fold(others, |all, until| LostLoads {
            count: all.count + 1,
            until: all.until.max(until),
        })
    }

    /// Returns others' loads whose orders drew no answer, if they may have
    /// begun so long ago at the most.
    fn inherited_lost(&self, span_ms: u64, now: Millis) -> LostLoads {
        let lost = self.inherited.map(|others| others.lost);
        let lost = lost.filter(|lost| now.since(lost.until) <= span_ms);
        lost.unwrap_or_default()
    }

    /// Counts the loads that can have begun within the last window, or may
    /// begin yet.
    pub fn count(&mut self, rate: LoadRate, now: Millis) -> usize {
        self.expire(now);
        self.begun.retain(|begun| now.since(*begun) <= rate.window_ms);
        self.open.len()
            + self.inherited_lost(rate.window_ms, now).count
            + self.begun_within(rate.window_ms, rate, now)
    }

    /// Tells whether a load at a place is counted already: an order that drew
    /// no answer may be given again at any time.
    pub fn is_counted(&self, place: &OrderPlace) -> bool {
        self.open.contains_key(place)
    }

    /// Returns how many loads may be planned now.
    pub fn left(&mut self, rate: LoadRate, now: Millis) -> usize {
        let left = rate.in_window().saturating_sub(self.count(rate, now));
        let burst_ms = rate.burst_ms();
        let open = self.open.values();
        let open = open.filter(|open| open.is_within(burst_ms, now)).count();
        let burst = open + self.begun_within(burst_ms, rate, now);
        left.min(rate.in_burst().saturating_sub(burst))
    }

    fn begun_within(
        &self,
        span_ms: u64,
        rate: LoadRate,
        now: Millis,
    ) -> usize {
        let begun = self.begun.iter();
        let begun = begun.filter(|begun| now.since(**begun) <= span_ms);
        let inherited = self.inherited.map_or(0, |others| {
            inherited_within(span_ms, others.until, rate, now)
        });
        begun.count() + inherited
    }

    /// Takes orders for begun that cannot be carried out any more.
    fn expire(&mut self, now: Millis) {
        let begun = &mut self.begun;
        self.open.retain(|_, open| {
            let lost = open.lost.filter(|_| !open.under_way);
            let until = lost.map(|lost| lost + MOST_LATE_MS);
            let over = until.filter(|until| *until <= now);
            begun.extend(over);
            over.is_none()
        });
    }
}

/// Counts the most loads of others that can have begun within a span, if they
/// began until a moment: as much as a burst at that moment, at one burst's
/// time before, and so on.
fn inherited_within(
    span_ms: u64,
    until: Millis,
    rate: LoadRate,
    now: Millis,
) -> usize {
    let mut within = 0;
    let mut left = rate.in_window();
    let mut before_ms = 0;
    while left > 0 {
        let burst = left.min(rate.in_burst());
        let ago_ms =
            (now.since(until) + before_ms).saturating_sub(until.since(now));
        if ago_ms <= span_ms {
            within += burst;
        }
        left -= burst;
        before_ms += rate.burst_ms();
    }
    within
}
