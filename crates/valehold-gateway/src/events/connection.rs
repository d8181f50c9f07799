//! The event that a gateway logs when a connection of a caller ends.

use serde::{Deserialize, Serialize};

/// Who ended a connection of a caller, and why.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ConnectionEnd {
    /// The caller closed the connection between requests, or a request or an
    /// answer had announced the close.
    Closed,
    /// The caller closed the connection during a request, or it failed.
    CallerLeft,
    /// The caller sent what is no request.
    BadRequest,
    /// The gateway closed the connection because it rested for too long.
    Rested,
    /// The gateway closed the connection because it stops.
    Stopping,
    /// The gateway broke off an answer.
    BrokenOff,
    /// The gateway's process ended.
    ProcessEnded,
}

impl ConnectionEnd {
    /// Returns the value of the metric label for this end.
    pub const fn label(self) -> &'static str {
        match self {
            Self::Closed => "closed",
            Self::CallerLeft => "caller_left",
            Self::BadRequest => "bad_request",
            Self::Rested => "rested",
            Self::Stopping => "stopping",
            Self::BrokenOff => "broken_off",
            Self::ProcessEnded => "process_ended",
        }
    }

    /// Returns whether the gateway ended the connection without having
    /// announced it.
    pub const fn is_unannounced(self) -> bool {
        matches!(
            self,
            Self::Rested
                | Self::Stopping
                | Self::BrokenOff
                | Self::ProcessEnded
        )
    }
}

/// The end of a connection of a caller.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConnectionEnded {
    /// Who ended the connection, and why.
    pub end: ConnectionEnd,
    /// Whether a request on it got no complete answer.
    pub is_unanswered: bool,
    /// The identifier of the last request on it, if any.
    pub last_request: Option<String>,
    /// For how long the connection was open, in ms.
    pub open_ms: u64,
    /// For how long it had no request, in ms.
    pub resting_ms: u64,
    /// The version of the configuration in force when it opened.
    pub configuration: u64,
}

impl ConnectionEnded {
    /// Returns the log level: connections that end at rest are usual.
    pub(super) fn level(&self) -> log::Level {
        match (self.is_unanswered, self.end.is_unannounced()) {
            (true, true) => log::Level::Warn,
            (true, false) => log::Level::Info,
            (false, _) => log::Level::Debug,
        }
    }

    /// Describes the end for an operator.
    pub(super) fn describe(&self) -> String {
        let request = self.last_request.as_deref().unwrap_or("no request");
        let state = match self.is_unanswered {
            true => "without a complete answer to",
            false => "at rest after",
        };
        format!(
            "a caller's connection ended ({}) {state} {request}: open for {} \
             ms, at rest for {} ms, from configuration {}\n",
            self.end.label(),
            self.open_ms,
            self.resting_ms,
            self.configuration,
        )
    }
}
