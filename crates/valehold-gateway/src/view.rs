//! What control publishes for traffic to read.

use std::{net::SocketAddr, sync::Arc};

use serde::{Deserialize, Serialize};
use valehold_core::{
    fleet::{
        Catalog, EvacuationState, Listing, UpstreamIndex,
        lapsed::LapsedUpstreams, recent::RecentChanges,
    },
    id::DataCentreId,
};

/// How far a gateway's life has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Life {
    /// It knows no configuration or no upstreams yet.
    Starting,
    /// It serves callers.
    Serving,
    /// It was told to stop, and serves who still comes.
    Leaving,
    /// It finishes what it has and takes nothing new.
    Finishing,
}

/// What a running request counts for in prompt tokens when loads are
/// compared: it lengthens each step of its engine by about a ms, in which
/// engines read some 40 tokens, and more for what it keeps in memory.
const TOKENS_OF_RUNNING: u64 = 100;

/// What is under way at an upstream.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize,
)]
pub struct Load {
    /// Requests without their whole answer.
    pub running: u32,
    /// Prompt tokens of those without a first event.
    pub waiting_tokens: u64,
}

impl Load {
    /// Adds another load, which may be any that a peer told.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        Self {
            running: self.running.saturating_add(other.running),
            waiting_tokens: self
                .waiting_tokens
                .saturating_add(other.waiting_tokens),
        }
    }

    /// Returns how much another load differs, in prompt tokens: a request
    /// that runs keeps a new one waiting about as long as so many do.
    pub fn difference(self, other: Self) -> u64 {
        let running = self.running.abs_diff(other.running);
        let tokens = self.waiting_tokens.abs_diff(other.waiting_tokens);
        tokens.saturating_add(u64::from(running) * TOKENS_OF_RUNNING)
    }

    /// Takes another load away, as far as there is any.
    #[must_use]
    pub fn minus(self, other: Self) -> Self {
        let tokens = self.waiting_tokens;
        Self {
            running: self.running.saturating_sub(other.running),
            waiting_tokens: tokens.saturating_sub(other.waiting_tokens),
        }
    }
}

/// A gateway that callers may be sent to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReadyMember {
    /// Where it takes requests.
    pub requests: SocketAddr,
    /// The data centre that it stands in.
    pub data_centre: DataCentreId,
}

/// What traffic knows. It is replaced as a whole.
#[derive(Debug, Clone)]
pub struct View {
    /// This gateway's life.
    pub life: Life,
    /// The configuration in force.
    pub catalog: Option<Arc<Catalog>>,
    /// The upstreams.
    pub listing: Arc<Listing>,
    /// Which of them serve what.
    pub index: UpstreamIndex,
    /// What changed of the list lately, for peers that are behind.
    pub recent: Arc<RecentChanges>,
    /// Those of them that fell off the list with the store.
    pub lapsed: LapsedUpstreams,
    /// The data centres that are to be empty, and those that were lately.
    pub evacuations: EvacuationState,
    /// Whether some gateway is heard to hold the lease.
    pub has_holder: bool,
    /// Every gateway that is ready, this one among them.
    pub ready: Arc<Vec<ReadyMember>>,
}

impl Default for View {
    fn default() -> Self {
        Self {
            life: Life::Starting,
            catalog: None,
            listing: Arc::default(),
            index: UpstreamIndex::default(),
            recent: Arc::default(),
            lapsed: LapsedUpstreams::default(),
            evacuations: EvacuationState::default(),
            has_holder: false,
            ready: Arc::default(),
        }
    }
}
