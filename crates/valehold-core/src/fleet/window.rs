//! Counts of events within a sliding window.

use std::collections::VecDeque;

use crate::time::Millis;

/// Counts the events of the last `span_ms` exactly.
#[derive(Debug, Clone)]
pub struct Window {
    span_ms: u64,
    /// The times of the events, oldest first.
    times: VecDeque<Millis>,
}

impl Window {
    /// Creates an empty window.
    pub fn new(span_ms: u64) -> Self {
        Self { span_ms, times: VecDeque::new() }
    }

    /// Records an event at `now`.
    pub fn record(&mut self, now: Millis) {
        self.times.push_back(now);
    }

    /// Returns the time of the oldest event that the last call of
    /// [`Self::count`] kept, or `None` if there are no events.
    pub fn oldest(&self) -> Option<Millis> {
        self.times.front().copied()
    }

    /// Counts the events within the window, and drops all others.
    pub fn count(&mut self, now: Millis) -> usize {
        while let Some(first) = self.times.front() {
            if now.since(*first) < self.span_ms {
                break;
            }
            self.times.pop_front();
        }
        self.times.len()
    }
}
