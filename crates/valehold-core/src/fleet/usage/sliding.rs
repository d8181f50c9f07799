//! Sums over a sliding window, in a fixed number of slots.

use crate::time::Millis;

/// How many slots a window has. What leaves the window does so a slot at a
/// time, so a sum is never too small, and holds up to a slot's time more.
const SLOTS: usize = 16;

/// A sum over the last `span_ms`.
#[derive(Debug, Clone)]
pub struct SlidingSum {
    slot_ms: u64,
    slots: [f64; SLOTS + 1],
    /// The number of the slot that is being filled, since the clock's start.
    filling: u64,
}

impl SlidingSum {
    /// Makes an empty sum.
    pub fn new(span_ms: u64) -> Self {
        let slot_ms = span_ms.div_ceil(SLOTS as u64).max(1);
        Self { slot_ms, slots: [0.0; SLOTS + 1], filling: 0 }
    }

    /// Adds something that happened now; less than 0 takes it back.
    pub fn add(&mut self, amount: f64, now: Millis) {
        self.pass(now);
        let slot = self.index(self.filling);
        self.slots[slot] += amount;
    }

    /// Returns the sum, at least 0.
    pub fn sum(&mut self, now: Millis) -> f64 {
        self.pass(now);
        self.slots.iter().sum::<f64>().max(0.0)
    }

    /// Returns in how many ms the sum will have fallen by an amount, if
    /// nothing is added; the whole window if it never has so much.
    pub fn falls_by(&mut self, amount: f64, now: Millis) -> u64 {
        self.pass(now);
        let slots = self.slots.len() as u64;
        let mut fallen = 0.0;
        for later in 1..=slots {
            fallen += self.slots[self.index(self.filling + later)];
            if fallen >= amount {
                let at = (self.filling + later) * self.slot_ms;
                return at.saturating_sub(now.get());
            }
        }
        slots * self.slot_ms
    }

    /// Empties the slots that have left the window.
    fn pass(&mut self, now: Millis) {
        let current = now.get() / self.slot_ms;
        let passed = current.saturating_sub(self.filling);
        for number in 1..=passed.min(self.slots.len() as u64) {
            let slot = self.index(self.filling + number);
            self.slots[slot] = 0.0;
        }
        self.filling = self.filling.max(current);
    }

    fn index(&self, number: u64) -> usize {
        #[allow(clippy::cast_possible_truncation)]
        let index = (number % self.slots.len() as u64) as usize;
        index
    }
}
