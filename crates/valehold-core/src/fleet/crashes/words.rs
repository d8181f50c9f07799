//! What instances tell one another of crashes.

use serde::{Deserialize, Serialize};

use super::RequestContent;
use crate::id::UpstreamTag;

/// A start of an upstream that crashed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashWord {
    /// The start.
    pub upstream: UpstreamTag,
    /// For how much longer it counts, in ms.
    pub left_ms: u64,
    /// The requests that were there and had no output yet.
    pub under_way: Vec<RequestContent>,
}

/// A request that an upstream answered after it was under way at a crash.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnsweredWord {
    /// The request.
    pub content: RequestContent,
    /// For how much longer it counts, in ms.
    pub left_ms: u64,
}

/// A request that was found to crash upstreams.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RefusedWord {
    /// The request.
    pub content: RequestContent,
    /// For how much longer it is refused, in ms.
    pub left_ms: u64,
}

/// What an instance tells of crashes.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashWords {
    /// Crashes.
    pub crashes: Vec<CrashWord>,
    /// Requests that were answered.
    pub answered: Vec<AnsweredWord>,
    /// Requests that the platform's store names as found.
    pub refused: Vec<RefusedWord>,
}

impl CrashWords {
    /// Tells whether it says nothing.
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty()
            && self.answered.is_empty()
            && self.refused.is_empty()
    }
}
