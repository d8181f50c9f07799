//! Sums over a sliding window, with a fixed number of slots.

use crate::time::Millis;

/// Number of slots in a window. Amounts leave the window a slot at a time, so
/// a sum is never too small, and covers up to one slot more than the window.
const SLOTS: usize = 16;

/// A sum of the amounts added in the last `span_ms`.
#[derive(Debug, Clone)]
pub struct SlidingSum {
    slot_ms: u64,
    slots: [f64; SLOTS + 1],
    /// The number of the current slot, counted from the clock's start.
    current: u64,
}

impl SlidingSum {
    /// Creates an empty sum.
    pub fn new(span_ms: u64) -> Self {
        let slot_ms = span_ms.div_ceil(SLOTS as u64).max(1);
        Self { slot_ms, slots: [0.0; SLOTS + 1], current: 0 }
    }

    /// Adds an amount at `now`. A negative amount takes back an earlier one.
    pub fn add(&mut self, amount: f64, now: Millis) {
        self.advance(now);
        let slot = self.index(self.current);
        self.slots[slot] += amount;
    }

    /// Returns the sum, or 0 if it is negative.
    pub fn sum(&mut self, now: Millis) -> f64 {
        self.advance(now);
        self.slots.iter().sum::<f64>().max(0.0)
    }

    /// Returns the time until the sum has fallen by an amount if nothing is
    /// added, in ms. If the sum is less than the amount, that is a whole
    /// window.
    pub fn ms_until_freed(&mut self, amount: f64, now: Millis) -> u64 {
        self.advance(now);
        let slots = self.slots.len() as u64;
        let mut fallen = 0.0;
        for later in 1..=slots {
            fallen += self.slots[self.index(self.current + later)];
            if fallen >= amount {
                let at = (self.current + later) * self.slot_ms;
                return at.saturating_sub(now.get());
            }
        }
        slots * self.slot_ms
    }

    /// Empties the slots that have left the window.
    fn advance(&mut self, now: Millis) {
        let now_slot = now.get() / self.slot_ms;
        let elapsed = now_slot.saturating_sub(self.current);
        for number in 1..=elapsed.min(self.slots.len() as u64) {
            let slot = self.index(self.current + number);
            self.slots[slot] = 0.0;
        }
        self.current = self.current.max(now_slot);
    }

    /// Returns the index of a slot by its number.
    fn index(&self, number: u64) -> usize {
        #[allow(clippy::cast_possible_truncation)]
        let index = (number % self.slots.len() as u64) as usize;
        index
    }
}
