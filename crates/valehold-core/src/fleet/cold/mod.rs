//! Limits the requests that all gateways together send to a cold upstream.
//!
//! An upstream is cold after a start and can serve only a few requests per
//! second, counted over all gateways. Each gateway keeps a [`ColdEstimate`] of
//! which upstreams are cold until when. To send to a cold upstream, a gateway
//! needs a [`SendPermit`] (see [`SendPermits`]) from the upstream's grantor
//! ([`PermitGrantor`]): the live gateway that rendezvous hashing ranks first.
//! A permit allows one request and soon expires, by the clock of the gateway
//! that requested the permit. A gateway that cannot reach the grantor gets no
//! permit.
//!
//! The permits that a grantor issues in any window leave room for a second
//! grantor: while gateways join or leave, two gateways may act as the grantor
//! of one upstream for a moment.
//!
//! The same grantor issues the permits for rate-limited upstreams, which state
//! how many requests per second they accept from all gateways together
//! ([`upstream_limit`](super::upstream_limit)).

mod estimate;
mod grantor;
mod permits;
mod state;

use serde::{Deserialize, Serialize};

pub use self::{
    estimate::ColdEstimate,
    grantor::PermitGrantor,
    permits::{PermitRequest, SendPermit, SendPermits},
    state::{ColdPermits, PermitState},
};
use super::catalog::ColdSpec;

/// The lifetime of a permit from the moment it is requested, in ms: the round
/// trip to the grantor plus a new connection to the upstream.
pub const PERMIT_LIFETIME_MS: u64 = 200;

/// The number of simultaneous grantors for which the bound holds: the one on
/// which all gateways agree, and a second one while gateways join or leave.
const MAX_CONCURRENT_GRANTORS: f64 = 2.0;

/// The load that a cold upstream survives beyond its rated load, counted over
/// all gateways.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdBound {
    /// The factor by which the requests in any one second may exceed
    /// [`ColdSpec::requests_per_second`].
    pub overshoot: f64,
    /// The number of requests allowed in any one second beyond that.
    pub slack: f64,
}

impl ColdBound {
    /// Returns how many requests a cold upstream may get in any one second.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    pub fn max_per_second(&self, spec: &ColdSpec) -> usize {
        let max = spec.requests_per_second * self.overshoot + self.slack;
        max.max(0.0) as usize
    }

    /// Returns how many permits one grantor may issue in any window of one
    /// second plus the lifetime of a permit.
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_precision_loss,
        clippy::cast_sign_loss
    )]
    pub fn permits_per_window(&self, spec: &ColdSpec) -> usize {
        let share = self.max_per_second(spec) as f64 / MAX_CONCURRENT_GRANTORS;
        let window_s = (1_000 + PERMIT_LIFETIME_MS) as f64 / 1_000.0;
        let rated = spec.requests_per_second * window_s;
        share.min(rated) as usize
    }
}

/// The grantor's reply to a permit request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum PermitReply {
    /// The gateway may send one request.
    Granted,
    /// The gateway may not send a request.
    Denied {
        /// The time after which a permit may be requested again, in ms.
        retry_after_ms: u32,
    },
}
