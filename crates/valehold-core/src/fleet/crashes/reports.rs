//! The reports about crashes that instances send one another.

use serde::{Deserialize, Serialize};

use super::RequestContent;
use crate::id::UpstreamTag;

/// Reports that one process of an upstream crashed.
///
/// The tag differs for each start of an upstream, so a restarted upstream that
/// crashes again is another crash.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// The start of the upstream that crashed.
    pub upstream: UpstreamTag,
    /// The time until the crash expires, in ms.
    pub left_ms: u64,
    /// The requests that were in flight there without output.
    pub in_flight: Vec<RequestContent>,
}

/// Reports that an upstream answered a request that was in flight at a crash.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnsweredReport {
    /// The request.
    pub content: RequestContent,
    /// The time until the report expires, in ms.
    pub left_ms: u64,
}

/// Reports that a request crashes upstreams and is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RefusedReport {
    /// The request.
    pub content: RequestContent,
    /// The time until the request is accepted again, in ms.
    pub left_ms: u64,
}

/// All reports about crashes that an instance sends in one message.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReports {
    /// The crashes.
    pub crashes: Vec<CrashReport>,
    /// The requests that an upstream answered.
    pub answered: Vec<AnsweredReport>,
    /// The requests that the platform's store records as refused.
    pub refused: Vec<RefusedReport>,
}

impl CrashReports {
    /// Returns whether there are no reports of any kind.
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty()
            && self.answered.is_empty()
            && self.refused.is_empty()
    }
}
