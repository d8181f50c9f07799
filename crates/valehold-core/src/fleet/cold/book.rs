//! What one gateway believes of cold upstreams, with its rights to send.

use super::{ColdBelief, SendRights};
use crate::{id::UpstreamId, time::Millis};

/// Whether an upstream may get a request now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RightSight {
    /// It is neither cold nor in need: it may.
    Free,
    /// It may with a right, which may be asked for.
    Needed,
    /// A right is needed, and none is to be had now.
    None {
        /// In how many ms none is needed, or one may be asked for.
        next_ms: u64,
    },
}

/// What one gateway believes of cold upstreams, with its rights to send to
/// them.
#[derive(Debug, Clone)]
pub struct ColdBook {
    /// Which upstreams are cold.
    pub belief: ColdBelief,
    /// The rights.
    pub rights: SendRights,
}

impl ColdBook {
    /// Makes the book of a gateway that knows nothing; `first` is drawn at
    /// random.
    pub fn new(first: u64) -> Self {
        let belief = ColdBelief::default();
        Self { belief, rights: SendRights::new(first) }
    }

    /// Tells whether an upstream may get a request now.
    pub fn sight(
        &self,
        upstream: &UpstreamId,
        is_limited: bool,
        now: Millis,
    ) -> RightSight {
        let cold_ms = self.belief.left_ms(upstream, now);
        if cold_ms == 0 && !is_limited {
            return RightSight::Free;
        }
        let denied_ms = self.rights.denied_ms(upstream, now);
        if denied_ms == 0 || self.rights.has(upstream, now) {
            return RightSight::Needed;
        }
        let next_ms = match is_limited {
            true => denied_ms,
            false => denied_ms.min(cold_ms),
        };
        RightSight::None { next_ms }
    }

    /// Forgets what is over, and upstreams that are not `known`.
    pub fn sweep(&mut self, known: impl Fn(&UpstreamId) -> bool, now: Millis) {
        self.belief.sweep(known, now);
        self.rights.sweep(now);
    }
}
