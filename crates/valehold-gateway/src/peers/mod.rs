//! Gateways and one another: heartbeats, wishes, and state that is behind.
//!
//! Heartbeats go by UDP, without answers: a lost one is followed by the
//! next. Whole states, the configuration and the list of upstreams, are asked
//! for by HTTP, and only when a heartbeat shows that a peer has something
//! newer.

pub mod fragments;
pub mod message;
pub mod number;
pub mod outbox;
pub mod roster;
pub mod state;

pub use self::{
    message::{Heartbeat, Message},
    number::WordNumber,
    roster::Roster,
};
