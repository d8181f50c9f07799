//! Serves the requests of callers, on a thread of its own.
//!
//! Each request passes through these modules in order:
//!
//! - `connection` serves a connection of a caller, and records how it ends.
//! - `dispatch` accepts the request from the connection, and answers calls to the
//!   gateway itself.
//! - `route` finds the route, the service and the workspace of the request.
//!   `discard` discards the bodies of requests that are refused there.
//! - `charge` charges the request against the limit of its workspace.
//! - `choose` chooses an upstream.
//! - `permits` acquires a send permit if the upstream requires one.
//! - `connect` provides the connection: over the gateway's own links (`links`),
//!   or through another gateway (`tunnel`) if those have failed.
//! - `send` sends the request to the upstream.
//! - `signals` records what the answer states about the upstream: a shutdown, a
//!   backoff or a request limit.
//! - `after_close` decides whether an answer that ended with its connection is
//!   whole.
//! - `answer` relays the answer to the caller, event by event if the answer is
//!   a stream. `buffered` bounds the memory of all answers.
//!
//! `exchange` calls these modules for a request, and repeats sends that fail.
//! `stop` has the times of a planned stop.

pub mod addresses;
mod after_close;
mod answer;
mod brittle;
mod buffered;
mod charge;
mod choose;
mod connect;
mod connection;
mod connector;
mod crashes;
mod discard;
mod dispatch;
mod exchange;
mod links;
mod origins;
mod permits;
mod pool;
mod record;
mod refusal;
mod retry_after;
mod route;
mod send;
mod server;
mod signals;
mod state;
mod stop;
mod tunnel;

use std::{convert::Infallible, pin::Pin};

use bytes::Bytes;

pub use self::{
    connector::TcpConnector,
    server::{Listeners, serve},
    state::App,
};

/// The error that ends the body of an answer that was broken off, so that the
/// caller does not take the partial answer for a complete one.
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

/// The body of an answer to a caller.
pub type Body = Pin<Box<dyn http_body::Body<Data = Bytes, Error = BrokenOff>>>;
