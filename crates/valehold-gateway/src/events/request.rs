//! The event that a gateway logs when a request ends.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};
use valehold_core::{
    Verdict,
    id::{RegionId, ServiceName, SoftwareVersion, UpstreamId, WorkspaceId},
    reason::RefusalReason,
};

/// How one send of a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SendEnd {
    /// The send was in flight when the line was written.
    UnderWay,
    /// The upstream's answer was relayed to the caller.
    Answered,
    /// Nothing was sent: no connection could be made.
    NotSent,
    /// Nothing was sent: after the choice, the upstream turned out to be
    /// leaving, in backoff, or cold with no permit available.
    Withheld,
    /// The upstream does not hold the requested model and did not run the
    /// request.
    NotHeld,
    /// The upstream is full and did not run the request.
    Busy,
    /// The answer was truncated, missing, invalid or too late.
    Broken,
    /// The upstream answered with a failure.
    Failed,
    /// The answer to another send came first.
    Superseded,
}

/// One send of a request to an upstream, with the inputs of the decision.
/// Times are in ms.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SendRecord {
    /// The upstream.
    pub upstream: UpstreamId,
    /// The version of the upstream's software, if it is known.
    #[serde(default)]
    pub software: Option<SoftwareVersion>,
    /// The last event of the stream that the caller had when the request was
    /// sent.
    #[serde(default)]
    pub after_event: Option<u64>,
    /// The time from the arrival of the request to the send.
    pub at_ms: u64,
    /// The predicted time from the send to the first event.
    pub predicted_ms: u64,
    /// The estimated number of requests in flight at the upstream.
    pub running: u32,
    /// The estimated number of prompt tokens queued at the upstream.
    pub waiting_tokens: u64,
    /// The number of prompt tokens that the upstream was expected to process.
    pub read_tokens: u64,
    /// The time from the send to the first event or the whole answer.
    pub first_ms: Option<u64>,
    /// The outcome of the send.
    pub end: SendEnd,
    /// Why no connection to the upstream could be made.
    #[serde(default)]
    pub connect_error: Option<String>,
    /// The backoff that the upstream requested when it rejected the request.
    #[serde(default)]
    pub rest_ms: Option<u64>,
}

/// How a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestOutcome {
    /// The caller received an upstream's whole answer.
    Answered,
    /// This gateway refused the request.
    Refused,
    /// The answer was cut off.
    BrokenOff,
    /// The caller disconnected before the end.
    CallerLeft,
}

/// How a request ended, and why.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestEnd {
    /// The outcome of the request.
    pub outcome: RequestOutcome,
    /// The HTTP status sent to the caller.
    pub status: u16,
    /// The reason of a refusal.
    pub reason: Option<RefusalReason>,
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// The time in ms after which the caller may retry, if one was sent.
    pub come_back_ms: Option<u64>,
}

/// The regions to which a request is restricted, and the source of the
/// restriction.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BoundRecord {
    /// The regions allowed at the last decision.
    pub regions: BTreeSet<RegionId>,
    /// The regions that the route allowed on arrival; `None` for any region.
    pub of_route: Option<BTreeSet<RegionId>>,
    /// The regions that the workspace allowed on arrival; `None` for any
    /// region.
    pub of_workspace: Option<BTreeSet<RegionId>>,
    /// The number of upstreams in other regions that held the requested model
    /// at the last decision.
    pub able_elsewhere: usize,
}

/// Why an upstream that held the requested model was not eligible.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PassedOverFor {
    /// The upstream is leaving.
    Leaving,
    /// The upstream requested a backoff from this gateway, or another request
    /// is the first one after the backoff.
    Resting,
    /// The upstream falls over if it rejects too many requests, and may have
    /// no room.
    Brittle,
    /// The upstream limits its requests, and no permit to send was available.
    Limited,
}

/// An upstream that held the requested model and was not eligible.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PassedOver {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Why the upstream was not eligible.
    pub reason: PassedOverFor,
}

/// A request that ended. Times are in ms from the arrival of the request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RequestEnded {
    /// The identifier that the caller gave the request.
    pub request: String,
    /// The workspace of the key in the request, if there was one.
    #[serde(default)]
    pub workspace: Option<WorkspaceId>,
    /// The request that brought the first event of the stream, if the caller
    /// continues one.
    #[serde(default)]
    pub resumes: Option<String>,
    /// The requested service; `None` if no route matched.
    pub service: Option<ServiceName>,
    /// The model, followed by a slash and the adapter if there is one.
    pub variant: Option<String>,
    /// The digest of the request's content, the same for each attempt;
    /// `None` if no route matched.
    #[serde(default)]
    pub content: Option<String>,
    /// The digests of the parts of the prompt that other requests may share,
    /// in their order.
    #[serde(default)]
    pub parts: Vec<String>,
    /// The route's rank; 0 is the most urgent.
    pub rank: u8,
    /// The outcome and its reason.
    #[serde(flatten)]
    pub end: RequestEnd,
    /// The duration of the request.
    pub took_ms: u64,
    /// The time of the first event or the whole answer.
    pub first_ms: Option<u64>,
    /// The longest pause between events.
    pub longest_pause_ms: Option<u64>,
    /// The target time for the beginning of the answer.
    pub begin_within_ms: u64,
    /// The longest pause allowed between events; 0 if no target is set.
    pub pause_within_ms: u64,
    /// The time that the caller was willing to wait.
    pub deadline_ms: u64,
    /// The number of upstreams that held the requested model at the last
    /// decision.
    pub able: usize,
    /// The upstreams that held the requested model and were not eligible when
    /// the line was written; only the first ones if there are many.
    #[serde(default)]
    pub passed_over: Vec<PassedOver>,
    /// The allowed regions; `None` if the request is not restricted.
    #[serde(default)]
    pub bound: Option<BoundRecord>,
    /// The time of the first event as predicted at the last decision.
    pub predicted_ms: Option<u64>,
    /// The configuration's version at the last decision.
    pub configuration: u64,
    /// The version of the list of upstreams at the last decision.
    pub listing: u64,
    /// Every send, in order.
    pub sends: Vec<SendRecord>,
}

impl RequestEnded {
    /// Returns whether the request was answered in time, without a server
    /// error and with at most one send.
    pub fn went_well(&self) -> bool {
        self.summary().went_well()
    }

    /// Returns whether the answer began in time and made no long pause.
    pub fn is_in_time(&self) -> bool {
        self.summary().is_in_time()
    }

    /// Returns the log level of the event.
    pub fn level(&self) -> log::Level {
        self.summary().level()
    }

    fn summary(&self) -> RequestSummary {
        RequestSummary {
            end: self.end,
            first_ms: self.first_ms,
            longest_pause_ms: self.longest_pause_ms,
            begin_within_ms: self.begin_within_ms,
            pause_within_ms: self.pause_within_ms,
            sends: self.sends.len(),
        }
    }
}

/// The part of [`RequestEnded`] that decides the log level.
///
/// This part is cheap to build for every request; the whole event is built
/// only if its level is logged. Times are in ms from the arrival of the
/// request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestSummary {
    /// The outcome and its reason.
    pub end: RequestEnd,
    /// The time of the first event or the whole answer.
    pub first_ms: Option<u64>,
    /// The longest pause between events.
    pub longest_pause_ms: Option<u64>,
    /// The target time for the beginning of the answer.
    pub begin_within_ms: u64,
    /// The longest pause allowed between events; 0 if no target is set.
    pub pause_within_ms: u64,
    /// The number of sends to upstreams.
    pub sends: usize,
}

impl RequestSummary {
    /// Returns whether the request was answered in time, without a server
    /// error and with at most one send.
    pub fn went_well(&self) -> bool {
        self.end.outcome == RequestOutcome::Answered
            && self.end.status < 500
            && self.is_in_time()
            && self.sends <= 1
    }

    /// Returns the log level of the event.
    pub fn level(&self) -> log::Level {
        match self.went_well() {
            true => log::Level::Debug,
            false => log::Level::Warn,
        }
    }

    fn is_in_time(&self) -> bool {
        let begun = self.first_ms.is_some_and(|ms| ms <= self.begin_within_ms);
        let paused = self.pause_within_ms > 0
            && self
                .longest_pause_ms
                .is_some_and(|ms| ms > self.pause_within_ms);
        begun && !paused
    }
}
