//! Messages between instances, over QUIC with mutual TLS.

mod keys;
mod link;
mod message;
#[cfg(test)]
mod tests;

pub use self::{
    keys::{Authority, PeerKeys},
    link::{Answerer, Link},
    message::{
        Ask, Heartbeat, HeartbeatReply, MAX_MESSAGE_BYTES, Reply, decode,
        encode,
    },
};
