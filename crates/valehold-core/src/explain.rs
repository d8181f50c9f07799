//! Decisions, kept for a while so that operators can see why.

#[cfg(test)]
mod tests;

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::{
    chart::library::RequestState,
    id::{ModelName, RequestId, UpstreamId, WorkspaceId},
    reason::{RefusalReason, RetryReason},
    routing::Choice,
    verdict::Verdict,
};

/// One attempt of a request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Attempt {
    /// The upstream that it went to.
    pub upstream: UpstreamId,
    /// How it was chosen, for engines.
    pub choice: Option<Choice>,
    /// Why it was made, if it was not the first.
    pub retry: Option<RetryReason>,
    /// What went wrong, if anything.
    pub error: Option<String>,
}

/// A refusal.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Refusal {
    /// Why.
    pub reason: RefusalReason,
    /// The sentence that the caller got.
    pub message: String,
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// In how many ms the caller was told to come back.
    pub retry_after_ms: Option<u64>,
}

/// Everything that was decided about one request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// The request.
    pub request: RequestId,
    /// The workspace, if its key was known.
    pub workspace: Option<WorkspaceId>,
    /// The model or service that was asked for.
    pub target: Option<ModelName>,
    /// The attempts, in order.
    pub attempts: Vec<Attempt>,
    /// The state in which it ended.
    pub outcome: RequestState,
    /// The refusal, if it was refused.
    pub refusal: Option<Refusal>,
    /// The time until the first part of the answer, in ms.
    pub first_output_ms: Option<u64>,
    /// The time until its end, in ms.
    pub total_ms: u64,
    /// The revision of the configuration that it was decided by.
    pub revision: u64,
}

/// The newest records, up to a bound.
#[derive(Debug, Clone)]
pub struct Records {
    capacity: usize,
    records: VecDeque<Record>,
    dropped: u64,
}

impl Records {
    /// Makes an empty set of at most `capacity` records.
    pub fn new(capacity: usize) -> Self {
        Self { capacity, records: VecDeque::new(), dropped: 0 }
    }

    /// Adds a record; the oldest makes room for it.
    pub fn push(&mut self, record: Record) {
        if self.records.len() >= self.capacity {
            self.records.pop_front();
            self.dropped += 1;
        }
        self.records.push_back(record);
    }

    /// Finds a request's record.
    pub fn find(&self, request: &str) -> Option<&Record> {
        self.records.iter().rev().find(|r| r.request.as_str() == request)
    }

    /// Returns the records after the `seen`th ever pushed, and the new count.
    pub fn since(&self, seen: u64) -> (Vec<&Record>, u64) {
        let total = self.dropped + self.records.len() as u64;
        let skip = seen.saturating_sub(self.dropped);
        let skip = usize::try_from(skip).unwrap_or(usize::MAX);
        (self.records.iter().skip(skip).collect(), total)
    }

    /// Returns the records, the newest first.
    pub fn newest(&self) -> impl Iterator<Item = &Record> {
        self.records.iter().rev()
    }
}
