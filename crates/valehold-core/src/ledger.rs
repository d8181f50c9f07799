//! Calls that may not be repeated.
//!
//! A caller marks such a call with an idempotency key. Before the call is
//! sent, a claim under that key is committed to the platform's table, on the
//! condition that there is none. Whoever finds a claim never sends. The
//! claim's row later takes the answer, so that a repeat gets it again.

#[cfg(test)]
mod tests;

use serde::{Deserialize, Serialize};

use crate::{
    chart::library::{self, OnceEvent, OnceState},
    id::{InstanceId, RequestId},
    time::Millis,
};

/// The row of a claim in the platform.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRow {
    /// The request that claimed the key.
    pub request: RequestId,
    /// The instance that it came to.
    pub instance: InstanceId,
    /// A digest of the call, to tell a repeat from another call.
    pub call_digest: String,
    /// Seconds since the epoch, for the sweep of old claims alone.
    pub claimed_at: u64,
    /// The answer, once there is one.
    pub answer: Option<RecordedAnswer>,
}

/// The answer of a call, as it is given again.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordedAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The content type.
    pub content_type: Option<String>,
    /// The body.
    pub body: Vec<u8>,
}

/// What to do with a call, given the row under its key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Found {
    /// Nothing is there: claim it.
    Nothing,
    /// It ran: give its answer again.
    Answer(RecordedAnswer),
    /// It was begun: it may have run, or may run yet.
    Begun,
    /// The key belongs to a different call.
    OtherCall,
}

/// Decides what a row under a call's key means for the call.
pub fn judge(row: Option<&ClaimRow>, call_digest: &str) -> Found {
    match row {
        None => Found::Nothing,
        Some(row) if row.call_digest != call_digest => Found::OtherCall,
        Some(row) => match &row.answer {
            Some(answer) => Found::Answer(answer.clone()),
            None => Found::Begun,
        },
    }
}

/// One attempt at a call that may not be repeated.
///
/// # Example
///
/// ```
/// use valehold_core::{
///     Millis, chart::library::OnceEvent, ledger::OnceAttempt,
/// };
///
/// let mut attempt = OnceAttempt::new();
/// assert!(!attempt.may_send(Millis::new(5)));
/// attempt.claim_won(Millis::new(0), 100);
/// assert!(attempt.may_send(Millis::new(5)));
/// assert!(!attempt.may_send(Millis::new(200)));
/// ```
#[derive(Debug, Clone)]
pub struct OnceAttempt {
    state: OnceState,
    send_until: Millis,
}

impl OnceAttempt {
    /// Starts an attempt that has no claim.
    pub fn new() -> Self {
        let state = library::once_call().initial();
        Self { state, send_until: Millis::default() }
    }

    /// Returns the attempt's state.
    pub fn state(&self) -> OnceState {
        self.state
    }

    /// Notes that its claim, sent at `sent`, is in the table.
    ///
    /// The attempt may send for `window_ms` only. Claims are kept for far
    /// longer, so an instance that was paused for so long that its claim was
    /// swept, and the key claimed anew, finds its window closed.
    pub fn claim_won(&mut self, sent: Millis, window_ms: u64) {
        self.follow(OnceEvent::ClaimWon);
        self.send_until = sent + window_ms;
    }

    /// Tells whether this attempt may send the call at `now`.
    pub fn may_send(&self, now: Millis) -> bool {
        self.state == OnceState::Claimed && now < self.send_until
    }

    /// Takes any other event.
    pub fn follow(&mut self, event: OnceEvent) {
        self.state = library::once_call().next(self.state, event);
    }
}

impl Default for OnceAttempt {
    fn default() -> Self {
        Self::new()
    }
}
