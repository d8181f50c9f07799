//! Counting what happened within a sliding window.

use std::collections::VecDeque;

use crate::time::Millis;

/// Counts events of the last `span_ms`, exactly.
#[derive(Debug, Clone)]
pub struct Window {
    span_ms: u64,
    times: VecDeque<Millis>,
}

impl Window {
    /// Makes an empty window.
    pub fn new(span_ms: u64) -> Self {
        Self { span_ms, times: VecDeque::new() }
    }

    /// Notes an event.
    pub fn note(&mut self, now: Millis) {
        self.times.push_back(now);
    }

    /// Returns when the oldest event happened that was counted last.
    pub fn oldest(&self) -> Option<Millis> {
        self.times.front().copied()
    }

    /// Counts the events that are still within the window.
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
