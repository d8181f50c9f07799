//! The line that a request leaves.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};
use valehold_core::{
    Verdict,
    id::{RegionId, ServiceName, UpstreamId, WorkspaceId},
    reason::RefusalReason,
};

/// How one send of a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SendEnd {
    /// It was under way when the line was written.
    UnderWay,
    /// Its answer was passed on.
    Answered,
    /// Nothing left this gateway: no connection could be made.
    NotSent,
    /// Nothing left this gateway: the upstream leaves, rests, or is cold
    /// without a right to send to it, as it turned out after it was chosen.
    Withheld,
    /// The upstream does not hold what was asked for, and did not run it.
    NotHeld,
    /// The upstream is full, and did not run it.
    Busy,
    /// The answer broke off, or was none, or took too long.
    Broken,
    /// The upstream answered that it failed.
    Failed,
}

/// One send of a request to an upstream, and what was known when it was
/// decided. Times are in ms.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SendRecord {
    /// The upstream.
    pub upstream: UpstreamId,
    /// When it was sent, after the request came.
    pub at_ms: u64,
    /// When its first event was predicted, after it was sent.
    pub predicted_ms: u64,
    /// Requests that were thought to be under way at the upstream.
    pub running: u32,
    /// Prompt tokens that were thought to wait at the upstream.
    pub waiting_tokens: u64,
    /// Prompt tokens that the upstream was expected to read.
    pub read_tokens: u64,
    /// When its first event, or its whole answer, came after it was sent.
    pub first_ms: Option<u64>,
    /// How it ended.
    pub end: SendEnd,
    /// For how long the upstream, which turned it away, asked for rest.
    #[serde(default)]
    pub rest_ms: Option<u64>,
}

/// How a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestOutcome {
    /// It got an upstream's whole answer.
    Answered,
    /// It got a refusal of this gateway.
    Refused,
    /// Its answer was broken off.
    BrokenOff,
    /// Its caller left before the end.
    CallerLeft,
}

/// How a request ended, and why.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestEnd {
    /// How it ended.
    pub outcome: RequestOutcome,
    /// The status that the caller got.
    pub status: u16,
    /// Why it was refused.
    pub reason: Option<RefusalReason>,
    /// Whether it may have run.
    pub verdict: Verdict,
    /// In how many ms the caller was told to come back.
    pub come_back_ms: Option<u64>,
}

/// The regions that bound a request, and who set them.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BoundRecord {
    /// Those in which it could be served at its last decision.
    pub regions: BTreeSet<RegionId>,
    /// Those that its route allowed when it came; `None` if any.
    pub of_route: Option<BTreeSet<RegionId>>,
    /// Those that its workspace allowed when it came; `None` if any.
    pub of_workspace: Option<BTreeSet<RegionId>>,
    /// How many upstreams elsewhere held what it asked for at its last
    /// decision.
    pub able_elsewhere: usize,
}

/// Why an upstream that held what a request asks for could not get it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PassedOverFor {
    /// It leaves.
    Leaving,
    /// It asked this gateway for rest, or another request is the first one
    /// after its rest.
    Resting,
    /// It takes a limited number of requests, and no right to send to it was
    /// to be had.
    Limited,
}

/// An upstream that held what a request asks for and could not get it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PassedOver {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Why.
    pub reason: PassedOverFor,
}

/// A request that ended. Times are in ms, from when it came.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RequestEnded {
    /// Its identifier, as the caller wrote it.
    pub request: String,
    /// The workspace whose key came with it, if one did.
    #[serde(default)]
    pub workspace: Option<WorkspaceId>,
    /// The service that it was for; `None` if no route took it.
    pub service: Option<ServiceName>,
    /// The model, and after a slash an adapter.
    pub variant: Option<String>,
    /// The digest of what it asks for, the same for each of its attempts;
    /// `None` if no route took it.
    #[serde(default)]
    pub content: Option<String>,
    /// The route's rank; 0 is the most urgent.
    pub rank: u8,
    /// How it ended.
    #[serde(flatten)]
    pub end: RequestEnd,
    /// How long it took.
    pub took_ms: u64,
    /// When its first event, or its whole answer, came.
    pub first_ms: Option<u64>,
    /// The longest pause between its events.
    pub longest_pause_ms: Option<u64>,
    /// The time within which its answer was to begin.
    pub begin_within_ms: u64,
    /// The longest pause between events that is in time; 0 if none is stated.
    pub pause_within_ms: u64,
    /// How long the caller would have waited.
    pub deadline_ms: u64,
    /// How many upstreams held what was asked for at its last decision.
    pub able: usize,
    /// Those that held it and could not get it when the line was written, the
    /// first of them where they are many.
    #[serde(default)]
    pub passed_over: Vec<PassedOver>,
    /// The regions that bound it; `None` if it could be served anywhere.
    #[serde(default)]
    pub bound: Option<BoundRecord>,
    /// When the first event was predicted at the last decision.
    pub predicted_ms: Option<u64>,
    /// The configuration's version at that time.
    pub configuration: u64,
    /// The version of the list of upstreams at that time.
    pub listing: u64,
    /// Every send, in order.
    pub sends: Vec<SendRecord>,
}

impl RequestEnded {
    /// Tells whether nothing about it needs an explanation.
    pub fn went_well(&self) -> bool {
        self.course().went_well()
    }

    /// Tells whether its answer began in time and made no long pause.
    pub fn is_in_time(&self) -> bool {
        self.course().is_in_time()
    }

    /// Returns the level at which it is logged.
    pub fn level(&self) -> log::Level {
        self.course().level()
    }

    fn course(&self) -> RequestCourse {
        RequestCourse {
            end: self.end,
            first_ms: self.first_ms,
            longest_pause_ms: self.longest_pause_ms,
            begin_within_ms: self.begin_within_ms,
            pause_within_ms: self.pause_within_ms,
            sends: self.sends.len(),
        }
    }
}

/// The part of a request's line that decides at which level it is logged.
///
/// It is cheap to make for every request; the whole line is made only where
/// its level is logged. Times are in ms, from when the request came.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestCourse {
    /// How it ended.
    pub end: RequestEnd,
    /// When its first event, or its whole answer, came.
    pub first_ms: Option<u64>,
    /// The longest pause between its events.
    pub longest_pause_ms: Option<u64>,
    /// The time within which its answer was to begin.
    pub begin_within_ms: u64,
    /// The longest pause between events that is in time; 0 if none is stated.
    pub pause_within_ms: u64,
    /// How often it was sent to an upstream.
    pub sends: usize,
}

impl RequestCourse {
    /// Tells whether nothing about it needs an explanation.
    pub fn went_well(&self) -> bool {
        self.end.outcome == RequestOutcome::Answered
            && self.end.status < 500
            && self.is_in_time()
            && self.sends <= 1
    }

    /// Returns the level at which its line is logged.
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
