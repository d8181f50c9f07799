//! The snapshot of the fleet that control publishes for traffic.

use std::{net::SocketAddr, sync::Arc};

use serde::{Deserialize, Serialize};
use valehold_core::{
    fleet::{
        Catalog, EvacuationState, Listing, UpstreamIndex,
        lapsed::LapsedUpstreams, recent::RecentChanges,
        software::SoftwareHistory,
    },
    id::DataCentreId,
};

/// A gateway's phase of life.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Life {
    /// The gateway lacks the configuration or the list of upstreams.
    Starting,
    /// The gateway serves callers.
    Serving,
    /// The gateway was asked to stop. It still serves new requests, since
    /// callers use its address until their lists of addresses expire.
    Leaving,
    /// The gateway finishes requests in flight and accepts no new ones.
    Finishing,
}

/// How many prompt tokens a running request equals when loads are compared.
/// The request lengthens each step of its engine by about 1 ms, in which an
/// engine reads some 40 tokens, and costs further time for the memory that it
/// occupies.
const TOKENS_PER_RUNNING_REQUEST: u64 = 100;

/// The requests in flight at an upstream.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize,
)]
pub struct Load {
    /// The number of requests whose answers are incomplete.
    pub running: u32,
    /// The prompt tokens of requests that wait for their first event.
    pub waiting_tokens: u64,
}

impl Load {
    /// Returns the sum of two loads. The sum saturates, since a peer may
    /// report any value.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        Self {
            running: self.running.saturating_add(other.running),
            waiting_tokens: self
                .waiting_tokens
                .saturating_add(other.waiting_tokens),
        }
    }

    /// Returns the difference of two loads in prompt tokens, in which a running
    /// request counts as the tokens that delay a new request as long.
    pub fn difference(self, other: Self) -> u64 {
        let running = self.running.abs_diff(other.running);
        let tokens = self.waiting_tokens.abs_diff(other.waiting_tokens);
        tokens.saturating_add(u64::from(running) * TOKENS_PER_RUNNING_REQUEST)
    }

    /// Returns the load without another one; no part goes below 0.
    #[must_use]
    pub fn minus(self, other: Self) -> Self {
        let tokens = self.waiting_tokens;
        Self {
            running: self.running.saturating_sub(other.running),
            waiting_tokens: tokens.saturating_sub(other.waiting_tokens),
        }
    }
}

/// A gateway whose address callers may be given.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReadyMember {
    /// The address at which the gateway accepts requests.
    pub requests: SocketAddr,
    /// The gateway's data centre.
    pub data_centre: DataCentreId,
}

/// The snapshot that traffic reads. Control replaces it as a whole.
#[derive(Debug, Clone)]
pub struct View {
    /// This gateway's phase of life.
    pub life: Life,
    /// The configuration in force.
    pub catalog: Option<Arc<Catalog>>,
    /// The list of upstreams.
    pub listing: Arc<Listing>,
    /// The index of the upstreams by service and model.
    pub index: UpstreamIndex,
    /// The software versions of the upstreams over time.
    pub software: SoftwareHistory,
    /// Recent changes of the list, for peers that have an older version.
    pub recent: Arc<RecentChanges>,
    /// Upstreams that the store lost, kept in the list for a grace period.
    pub lapsed: LapsedUpstreams,
    /// The data centres under evacuation, and those whose evacuation was
    /// recently cancelled.
    pub evacuations: EvacuationState,
    /// Whether any gateway is known to hold the placement lease.
    pub has_holder: bool,
    /// All gateways that are ready, including this one.
    pub ready: Arc<Vec<ReadyMember>>,
}

impl Default for View {
    fn default() -> Self {
        Self {
            life: Life::Starting,
            catalog: None,
            listing: Arc::default(),
            index: UpstreamIndex::default(),
            software: SoftwareHistory::default(),
            recent: Arc::default(),
            lapsed: LapsedUpstreams::default(),
            evacuations: EvacuationState::default(),
            has_holder: false,
            ready: Arc::default(),
        }
    }
}
