//! Communication between gateways: datagrams and the transfer of state.
//!
//! Heartbeats and other messages are sent by UDP without acknowledgement; a
//! lost heartbeat is made up for by the next one. A gateway reads the
//! configuration and the list of upstreams from a peer by HTTP, and only when
//! a message shows that the peer has a newer version.

pub mod fragments;
pub mod link;
pub mod message;
pub mod number;
pub mod outbox;
pub mod roster;
pub mod state;

pub use self::{
    link::PeerLink,
    message::{Heartbeat, Message},
    number::MessageNumber,
    roster::Roster,
};
