//! The estimate of cold upstreams and the send permits of one gateway, read
//! together to decide whether an upstream may be sent a request.

use super::{ColdEstimate, SendPermits};
use crate::{id::UpstreamId, time::Millis};

/// Whether an upstream may be sent a request now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PermitState {
    /// The upstream is neither cold nor rate-limited: no permit is needed.
    NotNeeded,
    /// A permit is needed, and is held or may be requested now.
    Needed,
    /// A permit is needed, and none is available now.
    Unavailable {
        /// The time until no permit is needed or a permit may be requested
        /// again, in ms.
        retry_after_ms: u64,
    },
}

/// The estimate of cold upstreams and the send permits of one gateway.
#[derive(Debug, Clone)]
pub struct ColdPermits {
    /// Which upstreams are cold.
    pub estimate: ColdEstimate,
    /// The permits to send to cold and rate-limited upstreams.
    pub permits: SendPermits,
}

impl ColdPermits {
    /// Creates the state of a gateway that has received no entry and holds no
    /// permit. `first` is the random number of the first permit request.
    pub fn new(first: u64) -> Self {
        let estimate = ColdEstimate::default();
        Self { estimate, permits: SendPermits::new(first) }
    }

    /// Returns whether an upstream may be sent a request now.
    ///
    /// `is_limited` says whether the upstream has stated a request limit.
    pub fn permit_state(
        &self,
        upstream: &UpstreamId,
        is_limited: bool,
        now: Millis,
    ) -> PermitState {
        let cold_ms = self.estimate.left_ms(upstream, now);
        if cold_ms == 0 && !is_limited {
            return PermitState::NotNeeded;
        }
        let denied_ms = self.permits.denied_ms(upstream, now);
        if denied_ms == 0 || self.permits.has(upstream, now) {
            return PermitState::Needed;
        }
        let retry_after_ms = match is_limited {
            true => denied_ms,
            false => denied_ms.min(cold_ms),
        };
        PermitState::Unavailable { retry_after_ms }
    }

    /// Removes expired records, and the estimates of upstreams for which
    /// `known` returns `false`.
    pub fn prune(&mut self, known: impl Fn(&UpstreamId) -> bool, now: Millis) {
        self.estimate.prune(known, now);
        self.permits.prune(now);
    }
}
