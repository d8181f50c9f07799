//! What one gateway believes of cold upstreams, with its rights.

use super::{ColdBelief, SendRights};
use crate::{id::UpstreamId, time::Millis};

/// Whether an upstream may get a request now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ColdSight {
    /// It is warm: it may.
    Warm,
    /// It is cold: it may, with a right, which may be asked for.
    NeedsRight,
    /// It is cold, and no right is to be had now.
    NoRight {
        /// In how many ms it is warm, or a right may be asked for.
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
    pub fn sight(&self, upstream: &UpstreamId, now: Millis) -> ColdSight {
        let left_ms = self.belief.left_ms(upstream, now);
        if left_ms == 0 {
            return ColdSight::Warm;
        }
        let denied_ms = self.rights.denied_ms(upstream, now);
        if denied_ms == 0 || self.rights.has(upstream, now) {
            return ColdSight::NeedsRight;
        }
        ColdSight::NoRight { next_ms: denied_ms.min(left_ms) }
    }

    /// Forgets what is over, and upstreams that are not `known`.
    pub fn sweep(&mut self, known: impl Fn(&UpstreamId) -> bool, now: Millis) {
        self.belief.sweep(known, now);
        self.rights.sweep(now);
    }
}
