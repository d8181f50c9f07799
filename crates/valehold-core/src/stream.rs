//! Binding an upstream's stream of frames to the request it answers.
//!
//! Each frame carries the request's id and a sequence number. A
//! [`StreamGate`] lets through exactly the next frame of its own request;
//! frames that are late, crossed or repeated are left out, and a missing one
//! stops the stream until it is resumed after the last frame let through.

#[cfg(test)]
mod tests;

use serde::{Deserialize, Serialize};

use crate::id::RequestId;

/// Why an engine ended an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FinishReason {
    /// The answer is complete.
    Stop,
    /// The bound on the answer's length was reached.
    Length,
}

/// The end mark of an answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndMark {
    /// Why it ended.
    pub finish: FinishReason,
    /// Tokens read.
    pub prompt_tokens: u64,
    /// Tokens generated.
    pub completion_tokens: u64,
}

/// What a frame carries.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Payload {
    /// The next piece of the answer.
    Text(String),
    /// The end of the answer.
    End(EndMark),
}

/// One frame of an upstream's answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Frame {
    /// The request that it answers.
    pub request: RequestId,
    /// Its place in the answer, counted from 0.
    pub sequence: u64,
    /// What it carries.
    pub payload: Payload,
}

/// What to do with a frame.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Passage {
    /// Pass it on.
    Pass(Payload),
    /// Leave it out: it is another request's, or was let through before.
    Leave,
    /// Frames are missing before it: pass nothing on, resume or break off.
    Missing,
}

/// Lets through the frames of one request, each once and in order.
///
/// # Example
///
/// ```
/// use valehold_core::{
///     id::RequestId,
///     stream::{Frame, Passage, Payload, StreamGate},
/// };
///
/// let frame = |request: &str, sequence| Frame {
///     request: RequestId::new(request),
///     sequence,
///     payload: Payload::Text("a".into()),
/// };
/// let mut gate = StreamGate::new(RequestId::new("r1"));
/// assert_eq!(gate.accept(frame("r2", 0)), Passage::Leave);
/// assert_eq!(gate.accept(frame("r1", 1)), Passage::Missing);
/// assert!(matches!(gate.accept(frame("r1", 0)), Passage::Pass(_)));
/// assert_eq!(gate.accept(frame("r1", 0)), Passage::Leave);
/// ```
#[derive(Debug, Clone)]
pub struct StreamGate {
    request: RequestId,
    next: u64,
    ended: bool,
}

impl StreamGate {
    /// Makes the gate of a request of which nothing came yet.
    pub fn new(request: RequestId) -> Self {
        Self { request, next: 0, ended: false }
    }

    /// Returns the request whose frames it lets through.
    pub fn request(&self) -> &RequestId {
        &self.request
    }

    /// Returns the sequence number of the frame that it waits for.
    pub fn next_sequence(&self) -> u64 {
        self.next
    }

    /// Tells whether the end mark was let through.
    pub fn ended(&self) -> bool {
        self.ended
    }

    /// Decides about a frame.
    pub fn accept(&mut self, frame: Frame) -> Passage {
        if frame.request != self.request || self.ended {
            return Passage::Leave;
        }
        if frame.sequence < self.next {
            return Passage::Leave;
        }
        if frame.sequence > self.next {
            return Passage::Missing;
        }
        self.next += 1;
        self.ended = matches!(frame.payload, Payload::End(_));
        Passage::Pass(frame.payload)
    }
}
