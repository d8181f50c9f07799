//! The reports about crashes that instances send one another.

use serde::{Deserialize, Deserializer, Serialize};

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

/// Reports since when a request was in flight at an upstream without output:
/// until the upstream crashed or, if no crash of the upstream is reported,
/// for longer than at crashes of other upstreams.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExposureReport {
    /// The request.
    pub content: RequestContent,
    /// The start of the upstream.
    pub upstream: UpstreamTag,
    /// The time until a crash at the moment of the send would expire, in ms.
    pub sent_left_ms: u64,
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
    /// Since when requests were in flight at upstreams. Instances of earlier
    /// versions neither send nor read this part.
    #[serde(
        default,
        skip_serializing_if = "Vec::is_empty",
        deserialize_with = "exposures_or_none"
    )]
    pub exposures: Vec<ExposureReport>,
}

/// Reads the exposures at the end of a message, or none if the message ends
/// before them.
fn exposures_or_none<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<Vec<ExposureReport>, D::Error> {
    Ok(Vec::deserialize(deserializer).unwrap_or_default())
}

impl CrashReports {
    /// Returns whether there are no reports of any kind.
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty()
            && self.answered.is_empty()
            && self.refused.is_empty()
            && self.exposures.is_empty()
    }
}
