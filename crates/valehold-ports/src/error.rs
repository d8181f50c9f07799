//! The error of this crate.

use std::{fmt, time::Duration};

use valehold_core::Verdict;

/// What kind of failure a port met.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PortErrorKind {
    /// No connection; nothing was sent.
    Connect,
    /// The other side said that it did not run the request.
    Refused,
    /// No answer in time.
    TimedOut,
    /// The connection or the answer broke off.
    Broken,
    /// The answer is not what the interface says.
    Malformed,
    /// The other side failed while it ran the request.
    Failed,
}

/// A failure at a port, with what it says of the request.
#[derive(Debug, Clone)]
pub struct PortError {
    kind: PortErrorKind,
    verdict: Verdict,
    message: String,
    come_back: Option<Duration>,
}

impl PortError {
    /// Makes an error; the verdict has to be given.
    pub fn new(
        kind: PortErrorKind,
        verdict: Verdict,
        message: impl Into<String>,
    ) -> Self {
        Self { kind, verdict, message: message.into(), come_back: None }
    }

    /// Makes the error of a connection that was never there.
    pub fn not_connected(message: impl Into<String>) -> Self {
        Self::new(PortErrorKind::Connect, Verdict::NotRun, message)
    }

    /// Makes the error of an answer that did not come in time.
    pub fn timed_out(message: impl Into<String>) -> Self {
        Self::new(PortErrorKind::TimedOut, Verdict::MayHaveRun, message)
    }

    /// Makes the error of an answer that broke off.
    pub fn broken(message: impl Into<String>) -> Self {
        Self::new(PortErrorKind::Broken, Verdict::MayHaveRun, message)
    }

    /// Makes the error of an answer that is not what it should be.
    pub fn malformed(message: impl Into<String>) -> Self {
        Self::new(PortErrorKind::Malformed, Verdict::MayHaveRun, message)
    }

    /// Adds when the other side asked to be tried again.
    #[must_use]
    pub fn come_back(mut self, after: Option<Duration>) -> Self {
        self.come_back = after;
        self
    }

    /// Adds what was being done.
    #[must_use]
    pub fn context(mut self, context: &str) -> Self {
        self.message = format!("{context}: {}", self.message);
        self
    }

    /// Returns the kind of failure.
    pub fn kind(&self) -> PortErrorKind {
        self.kind
    }

    /// Returns what is known of whether the request ran.
    pub fn verdict(&self) -> Verdict {
        self.verdict
    }

    /// Returns after how long the other side asked to be tried again.
    pub fn retry_after(&self) -> Option<Duration> {
        self.come_back
    }
}

impl fmt::Display for PortError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.message)
    }
}

impl std::error::Error for PortError {}
