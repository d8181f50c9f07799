//! Upstreams that are cold after a start, and who may send to them.
//!
//! A cold upstream bears few requests a second, over all gateways together.
//! Each gateway has a [`ColdBelief`] of which upstreams are cold until when.
//! To send to one of them it needs a [`SendRight`] ([`SendRights`]) of the one
//! gateway that all take for the upstream's grantor ([`Grantor`]): the first
//! by rendezvous hash of those that are there. Rights are for one request and
//! end soon, by the clock of the gateway that asked for them. Who hears no
//! grantor has no right.
//!
//! What a grantor gives out in any window leaves room for a second one beside
//! it: gateways come and go, and for a moment two may take themselves for it.
//!
//! Upstreams in need, which name how many requests a second they take from all
//! gateways together ([`upstream_limit`](super::upstream_limit)), are sent to
//! with rights of the same grantor.

mod belief;
mod book;
mod grantor;
mod rights;

use serde::{Deserialize, Serialize};

pub use self::{
    belief::ColdBelief,
    book::{ColdBook, RightSight},
    grantor::Grantor,
    rights::{RightAsk, SendRight, SendRights},
};
use super::catalog::ColdSpec;

/// For how long after it was asked for a right holds, in ms: the way to the
/// grantor and back, and a new connection to the upstream.
pub const RIGHT_HOLDS_MS: u64 = 200;

/// Over how many grantors at once the bound holds: the one that all know, and
/// one more while gateways come or go.
const GRANTORS_BORNE: f64 = 2.0;

/// What cold upstreams survive beyond what they bear, over all gateways.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdBound {
    /// How many times as many as they bear they survive in any one second.
    pub overshoot: f64,
    /// How many more than that, in any one second.
    pub slack: f64,
}

impl ColdBound {
    /// Returns how many requests a cold upstream may get in any one second.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    pub fn most_in_a_second(&self, spec: &ColdSpec) -> usize {
        let most = spec.requests_per_second * self.overshoot + self.slack;
        most.max(0.0) as usize
    }

    /// Returns how many rights one grantor may have out in any window of a
    /// second and the time that a right holds.
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_precision_loss,
        clippy::cast_sign_loss
    )]
    pub fn rights_in_window(&self, spec: &ColdSpec) -> usize {
        let shared = self.most_in_a_second(spec) as f64 / GRANTORS_BORNE;
        let window_s = (1_000 + RIGHT_HOLDS_MS) as f64 / 1_000.0;
        let borne = spec.requests_per_second * window_s;
        shared.min(borne) as usize
    }
}

/// What a grantor says to a gateway that asks for a right.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RightAnswer {
    /// It may send one request.
    Granted,
    /// It may not.
    Denied {
        /// In how many ms to ask again at the earliest.
        next_ms: u32,
    },
}
