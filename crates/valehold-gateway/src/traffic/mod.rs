//! Callers' requests, on a thread of their own.
//!
//! A request goes straight through these modules: `dispatch` takes it from the
//! connection and answers calls to the gateway itself, `route` finds what the
//! configuration says of it, `charge` counts it to its workspace's limit,
//! `choose` finds an upstream, `rights` the right to send to one, `send`
//! brings it there, `signals` notes what the answer says of the upstream, and
//! `answer` passes the whole answer back, event by event where it is a stream.
//! `exchange` leads it from one to the next.

pub mod addresses;
mod answer;
mod charge;
mod choose;
mod crashes;
mod dispatch;
mod exchange;
mod pool;
mod record;
mod refusal;
mod retry_after;
mod rights;
mod route;
mod send;
mod server;
mod signals;
mod state;

use std::{convert::Infallible, pin::Pin};

use bytes::Bytes;

pub use self::{
    server::{Listeners, serve},
    state::App,
};

/// An answer was broken off: the caller must not take it for whole.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BrokenOff;

impl std::fmt::Display for BrokenOff {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the answer was broken off")
    }
}

impl std::error::Error for BrokenOff {}

impl From<Infallible> for BrokenOff {
    fn from(never: Infallible) -> Self {
        match never {}
    }
}

/// The body of an answer.
pub type Body = Pin<Box<dyn http_body::Body<Data = Bytes, Error = BrokenOff>>>;
