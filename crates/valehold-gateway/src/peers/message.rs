//! What gateways send to each other.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use valehold_core::{
    fleet::{Holding, ListingDelta, Variant},
    id::{DataCentreId, InstanceId, UpstreamId},
    order::Stamp,
};

use crate::view::{Life, Load};

/// The largest datagram that is sent, in bytes.
pub const MAX_DATAGRAM: usize = 60_000;

/// What one gateway has under way at one upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamLoad {
    /// The upstream.
    pub upstream: UpstreamId,
    /// What is under way.
    pub load: Load,
}

/// The demand for one variant that came to one gateway.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct VariantDemand {
    /// The variant.
    pub variant: Variant,
    /// Requests a second.
    pub requests: f32,
    /// Engines that it keeps wholly busy.
    pub busy: f32,
    /// Requests that are under way.
    pub running: u32,
}

/// What an engine holds, as the holder of the lease knows it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineHolding {
    /// The engine.
    pub engine: UpstreamId,
    /// What it holds.
    pub holding: Holding,
    /// Orders what holders say of one engine.
    pub stamp: Stamp,
}

/// What a gateway says of the lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum LeaseWord {
    /// It holds it.
    Holds {
        /// The epoch.
        epoch: u64,
        /// The row's version after its last renewal.
        version: u64,
    },
    /// It held it, and will not use this epoch again.
    GaveUp {
        /// The epoch.
        epoch: u64,
        /// In how many ms another holder's first order may come.
        quiet_ms: u64,
    },
}

/// A gateway's word about itself.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Its name.
    pub instance: InstanceId,
    /// Differs between its starts.
    pub start: u64,
    /// Counts its heartbeats.
    pub sequence: u64,
    /// The data centre that it stands in.
    pub data_centre: DataCentreId,
    /// How far its life has come.
    pub life: Life,
    /// How suited it is to work for the others.
    pub rank: Rank,
    /// Where it takes requests.
    pub requests: SocketAddr,
    /// Where peers read its state.
    pub state: SocketAddr,
    /// The version of its configuration; 0 before the first.
    pub catalog: u64,
    /// The version of its list of upstreams; 0 before the first.
    pub listing: u64,
    /// What it says of the lease.
    pub lease: Option<LeaseWord>,
    /// Whether the platform's store does not answer it.
    pub store_fails: bool,
    /// Where the gateways that it knows take heartbeats.
    pub known: Vec<SocketAddr>,
    /// What it has under way.
    pub loads: Vec<UpstreamLoad>,
    /// The demand that comes to it.
    pub demand: Vec<VariantDemand>,
    /// From the holder: what engines hold since its last orders.
    pub holdings: Vec<EngineHolding>,
}

/// What a gateway has under way, between its heartbeats.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// The gateway's name.
    pub instance: InstanceId,
    /// Differs between its starts.
    pub start: u64,
    /// Counts its heartbeats and these together.
    pub sequence: u64,
    /// What it has under way.
    pub loads: Vec<UpstreamLoad>,
}

/// How suited a gateway is to work for the others: to observe the platform's
/// list, to sum up, to hold the lease. The greatest comes first.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Serialize,
    Deserialize,
)]
pub struct Rank {
    /// Its share of a processor, in hundredths.
    pub strength: u16,
    /// Tells gateways of equal strength apart.
    pub tie: u32,
}

/// What a hub hears of one gateway.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberWord {
    /// How suited it is to work for the others.
    pub rank: Rank,
    /// Where it takes heartbeats.
    pub heartbeats: SocketAddr,
    /// Where it takes requests.
    pub requests: SocketAddr,
    /// The data centre that it stands in: its place in the summary's list.
    pub data_centre: u8,
    /// Whether callers may be sent to it.
    pub serves: bool,
    /// Whether the platform's store answers it.
    pub hears_store: bool,
}

/// What a hub hears of the lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRumour {
    /// Who said it: where it takes heartbeats.
    pub from: SocketAddr,
    /// What it said.
    pub word: LeaseWord,
    /// How long ago, in ms.
    pub age_ms: u64,
}

/// What a hub hears from all gateways.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Summary {
    /// The hub's rank.
    pub hub: Rank,
    /// The data centres of its members.
    pub data_centres: Vec<DataCentreId>,
    /// Every gateway that it hears, itself among them.
    pub members: Vec<MemberWord>,
    /// What all of them have under way.
    pub loads: Vec<UpstreamLoad>,
    /// What is said of the lease.
    pub lease: Vec<LeaseRumour>,
    /// The newest configuration that it hears of, and where it is.
    pub catalog: Newest,
    /// The newest list of upstreams that it hears of, and where it is.
    pub listing: Newest,
}

/// The newest version of something that is heard of.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Newest {
    /// The version.
    pub version: u64,
    /// Where the state with it can be read.
    pub state: SocketAddr,
}

/// A datagram.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// A gateway's word about itself.
    Heartbeat(Box<Heartbeat>),
    /// To the holder: a request waits for this variant.
    Wish(Variant),
    /// From the holder: what engines hold since its last orders.
    Holdings(Vec<EngineHolding>),
    /// From an observer: changes of the platform's list.
    Listed(ListingDelta),
    /// From a hub: what it hears from all.
    Summary(Box<Summary>),
    /// To hubs: what a gateway has under way, between its heartbeats.
    Loads(LoadReport),
    /// From the foremost hub: what all gateways have under way, between its
    /// summaries.
    LoadSums(Vec<UpstreamLoad>),
}

impl Message {
    /// Writes a datagram.
    ///
    /// # Errors
    ///
    /// If it is too large, or cannot be written.
    pub fn encode(&self) -> Result<Vec<u8>, postcard::Error> {
        let bytes = postcard::to_stdvec(self)?;
        match bytes.len() <= MAX_DATAGRAM {
            true => Ok(bytes),
            false => Err(postcard::Error::SerializeBufferFull),
        }
    }

    /// Reads a datagram.
    ///
    /// # Errors
    ///
    /// If it is none of these.
    pub fn decode(bytes: &[u8]) -> Result<Self, postcard::Error> {
        postcard::from_bytes(bytes)
    }
}
