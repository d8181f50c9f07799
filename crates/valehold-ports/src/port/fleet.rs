//! A platform that keeps the configuration, lists upstreams, and holds the
//! lease; engines that take orders; and the headers that all of them use.

use std::{
    collections::{BTreeMap, BTreeSet},
    io,
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use bytes::Bytes;
use futures::future::BoxFuture;
use http::{HeaderMap, HeaderName, StatusCode, Uri};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use tokio::io::{AsyncRead, AsyncWrite};
use valehold_core::{
    fleet::{
        Catalog, EvacuationUpdate, Holding, Listing, Upstream, Variant,
        upstream_limit::StatedLimit, workspace::KeyDigest,
    },
    id::{
        DataCentreId, InstanceId, ModelName, RegionId, UpstreamId, WorkspaceId,
    },
    lease::{LeaseInEra, LeaseRow},
};

use super::Answer;

/// What a read of what operators wrote, or a watch on it, gave.
#[derive(Debug, Clone)]
pub enum CatalogNews {
    /// What they wrote: all of it, or what changed.
    Heard {
        /// The store's version from which to go on.
        version: u64,
        /// The store's steady clock, in ms.
        store_ms: u64,
        /// The configuration, if there is a newer one.
        catalog: Option<Box<Catalog>>,
        /// Orders to empty data centres: all after a read, changes after a
        /// watch.
        evacuations: EvacuationUpdate,
    },
    /// The store forgot its history: read anew.
    HistoryGone,
}

/// What a watch on the upstreams gave.
#[derive(Debug, Clone)]
pub enum ListingNews {
    /// What changed since the version that was asked for.
    Changed {
        /// The version of the store from which to go on.
        next: u64,
        /// The store's steady clock, in ms.
        store_ms: u64,
        /// The version of the newest change; `None` if nothing changed.
        version: Option<u64>,
        /// Upstreams that are new or differ.
        changed: Vec<Arc<Upstream>>,
        /// Upstreams that are gone.
        gone: Vec<UpstreamId>,
    },
    /// The store forgot its history: read anew.
    HistoryGone,
}

/// The lease's row, with the store's time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeaseSight {
    /// The row.
    pub lease: LeaseInEra,
    /// The store's steady clock, in ms.
    pub store_ms: u64,
}

/// How a conditional write of the lease ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaseWrite {
    /// It took effect.
    Won {
        /// The row's version.
        version: u64,
        /// The store's steady clock, in ms.
        store_ms: u64,
    },
    /// Another's row stood there.
    Lost,
    /// The store came back from a copy since the version that the write was
    /// conditioned on: none stands there in its new era.
    OtherEra {
        /// On what the first write of the row in that era is conditioned.
        version: u64,
    },
}

/// How long the answer of a watch may take after its turn.
const TURN_SLACK: Duration = Duration::from_millis(450);

/// For how long a watch on the store waits for a change.
///
/// A store that fell silent forgets who watches. Nothing tells a watch that
/// hangs from one that has nothing to say, but its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WatchSpan {
    /// Not at all: the store says at once what changed, or that nothing did.
    /// For a store that may not answer, since such a call may be short.
    Now,
    /// A second or two, for those that watch for others.
    Brief,
    /// So many ms, for those that watch for others in turns.
    Turn(u64),
    /// As long as calls should be few.
    Long,
}

impl WatchSpan {
    /// Returns how long the store is asked to wait for a change.
    pub const fn wait(self) -> Duration {
        match self {
            Self::Now => Duration::ZERO,
            Self::Brief => Duration::from_millis(1_600),
            Self::Turn(wait_ms) => Duration::from_millis(wait_ms),
            Self::Long => Duration::from_secs(28),
        }
    }

    /// Returns how long the whole call may last.
    ///
    /// A call that a silent store forgot lasts as long, and nothing that was
    /// accepted meanwhile is heard: so brief ones end well within the three
    /// seconds after an outage in which users expect everything to be in
    /// force. A slow store takes 0.4 s for an answer.
    pub const fn patience(self) -> Duration {
        match self {
            Self::Now => Duration::from_millis(1_000),
            Self::Brief => Duration::from_millis(2_200),
            Self::Turn(wait_ms) => {
                Duration::from_millis(wait_ms).saturating_add(TURN_SLACK)
            }
            Self::Long => Duration::from_secs(29),
        }
    }
}

/// The store of a platform.
///
/// Its versions rise with each change, also when it comes back from an older
/// copy of itself: they are numbers of
/// [`StoreVersion`](valehold_core::fleet::StoreVersion).
pub trait FleetStore: Send + Sync {
    /// Reads the newest configuration and all orders to empty data centres,
    /// with the store's version.
    fn read_catalog(&self) -> Answer<'_, CatalogNews>;

    /// Waits for a configuration, or an order to empty a data centre or its
    /// end, after a version of the store. It lasts no longer than the span's
    /// patience.
    fn await_catalog(
        &self,
        after: u64,
        span: WatchSpan,
    ) -> Answer<'_, CatalogNews>;

    /// Reads all upstreams.
    fn read_listing(&self) -> Answer<'_, Listing>;

    /// Waits for changes of upstreams after a version of the store, no
    /// longer than the span's patience.
    fn await_listing(
        &self,
        after: u64,
        span: WatchSpan,
    ) -> Answer<'_, ListingNews>;

    /// Reads the lease's row.
    fn read_lease(&self) -> Answer<'_, LeaseSight>;

    /// Writes the lease's row if its version is still `version`.
    fn write_lease<'a>(
        &'a self,
        version: u64,
        row: &'a LeaseRow,
    ) -> Answer<'a, LeaseWrite>;

    /// Reads a table that belongs to the gateways. Rows that cannot be read
    /// are left out.
    fn read_own(&self, table: OwnTable) -> Answer<'_, OwnRows>;

    /// Changes rows of such a table, whatever they said before.
    fn write_own<'a>(
        &'a self,
        table: OwnTable,
        change: &'a OwnRowsChange,
    ) -> Answer<'a, ()>;
}

/// A table that belongs to the gateways, in which they keep what has to outlive
/// all of them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OwnTable {
    /// What requests are refused for since it crashes upstreams.
    Refused,
    /// Where streams began.
    Streams,
}

/// The rows of such a table.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct OwnRows {
    /// The values, by their keys.
    pub rows: BTreeMap<String, Value>,
    /// The store's steady clock, in ms.
    pub store_ms: u64,
}

/// A change of rows of such a table.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct OwnRowsChange {
    /// The values to write, by their keys.
    pub put: BTreeMap<String, Value>,
    /// The keys of rows to remove.
    pub remove: Vec<String>,
}

/// What an engine says of itself, as of a moment ago.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineReport {
    /// When the start of it began that this is of, in ms, if it says so.
    pub birth: Option<u64>,
    /// What it holds, adapters on their way among them.
    pub holding: Holding,
    /// Models of which it keeps copies, which it loads sooner and without
    /// the weight store.
    pub copies: BTreeSet<ModelName>,
    /// Whether it carries out an order about a model.
    pub busy: bool,
}

/// What an order wants.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderWish {
    /// The model, or an adapter beside its model, is to be loaded.
    Load(Variant),
    /// The model, or the adapter, is to be given up.
    Unload(Variant),
}

impl OrderWish {
    /// Returns the word for it in logs.
    pub const fn verb(&self) -> &'static str {
        match self {
            Self::Load(_) => "load",
            Self::Unload(_) => "unload",
        }
    }

    /// Returns what is to be loaded or given up.
    pub const fn variant(&self) -> &Variant {
        match self {
            Self::Load(variant) | Self::Unload(variant) => variant,
        }
    }
}

/// An order to one engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineOrder {
    /// The engine: another one at its address refuses.
    pub engine: UpstreamId,
    /// Where it is reached.
    pub address: SocketAddr,
    /// What is wanted.
    pub wish: OrderWish,
    /// How many orders the engine must have taken before this one since it
    /// started.
    pub expected_sequence: u64,
    /// Who holds the lease.
    pub holder: InstanceId,
    /// The lease's epoch, which only rises.
    pub epoch: u64,
}

/// What an engine said to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderOutcome {
    /// It is being carried out.
    Accepted,
    /// It holds already.
    Holds,
    /// Another order came first, or is being carried out.
    Conflict,
    /// A later epoch was seen, the engine is another one, or the order makes
    /// no sense to it.
    Refused,
}

/// An engine's answer to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OrderAnswer {
    /// What it said to the order.
    pub outcome: OrderOutcome,
    /// Whether it said that it leaves.
    pub leaving: bool,
}

/// Engines that hold models.
pub trait FleetEngines: Send + Sync {
    /// Asks an engine what it holds.
    fn report(&self, engine: SocketAddr) -> Answer<'_, EngineReport>;

    /// Gives an order. Without an answer it may be carried out, also later.
    fn order<'a>(&'a self, order: &'a EngineOrder) -> Answer<'a, OrderAnswer>;
}

/// A connection to an upstream.
pub trait UpstreamStream: AsyncRead + AsyncWrite + Send + Unpin {}

impl<T: AsyncRead + AsyncWrite + Send + Unpin> UpstreamStream for T {}

/// Opens connections to upstreams.
pub trait UpstreamConnector: Send + Sync {
    /// Connects to the address of an upstream. The caller limits the time.
    fn connect(
        &self,
        address: SocketAddr,
    ) -> BoxFuture<'_, io::Result<Box<dyn UpstreamStream>>>;
}

/// What a caller's request says of itself.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct CallerRequest {
    /// Its identifier, as the caller wrote it.
    pub id: Option<Bytes>,
    /// The digest of the caller's key, if it sent one.
    pub key: Option<KeyDigest>,
    /// How long the caller waits, in ms.
    pub deadline_ms: Option<u64>,
    /// What is to answer it, if a model is.
    pub variant: Option<Variant>,
    /// The tokens of its prompt.
    pub prompt_tokens: u64,
    /// The tokens that the caller expects at most.
    pub output_tokens: u64,
    /// Whether it states its tokens at all.
    pub states_tokens: bool,
    /// The parts of its prompt, in order.
    pub parts: Vec<PromptPart>,
    /// The last event that the caller has already.
    pub after_event: Option<u64>,
    /// The identifier of the caller's request that brought the first event of
    /// the stream, if this one continues it.
    pub resumes: Option<Bytes>,
}

/// A part of a prompt that requests may share.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PromptPart {
    /// What is the same for the same text.
    pub digest: u64,
    /// Its tokens.
    pub tokens: u64,
}

impl CallerRequest {
    /// Returns the tokens of its prompt and, at most, of its answer, if it
    /// states them.
    pub fn stated_tokens(&self) -> Option<u64> {
        let sum = self.prompt_tokens.saturating_add(self.output_tokens);
        self.states_tokens.then_some(sum)
    }
}

/// What an instance adds to a request for an upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Sending {
    /// The start of the upstream that is meant; any other one refuses.
    pub upstream: UpstreamId,
    /// How long the caller still waits.
    pub left: Duration,
    /// The workspace whose key came with the request.
    pub workspace: Option<WorkspaceId>,
    /// How urgent it is, 0 being the most, for engines.
    pub urgency: Option<u8>,
    /// The last event that the caller has, if the stream is taken up again.
    pub after_event: Option<u64>,
}

/// What an upstream's answer says beside its status and body.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UpstreamAnswer {
    /// The identifier of the request that it answers.
    pub id: Option<Bytes>,
    /// The start of the upstream that answers, if it says so: answers to a
    /// question about its health do.
    pub instance: Option<UpstreamId>,
    /// Whether it carries the upstream's signature.
    pub signed: bool,
    /// Whether the upstream says that it did not run the request.
    pub not_run: bool,
    /// Whether the upstream says that it leaves.
    pub leaving: bool,
    /// How many requests a second it says that the upstream takes.
    pub limit: StatedLimit,
    /// How many requests a second the upstream can turn away before it falls
    /// over, if it says that it is brittle.
    pub rejections: Option<u32>,
    /// For how long the connection may rest, as the upstream says.
    pub rest: Option<Duration>,
}

/// A call to the instance itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OwnCall {
    /// Whether it is ready for callers.
    Ready,
    /// Which addresses a caller is to use.
    Addresses {
        /// The host whose routes it uses.
        host: Option<String>,
        /// The data centre that it stands in.
        data_centre: Option<DataCentreId>,
        /// The region that it stands in.
        region: Option<RegionId>,
    },
    /// Anything else.
    Unknown,
}

/// How requests, answers and calls are written.
pub trait Dialect: Send + Sync {
    /// Reads what a caller's request says of itself.
    fn read_request(&self, headers: &HeaderMap) -> CallerRequest;

    /// Removes a caller's key, and its copies of headers that only an instance
    /// may set.
    ///
    /// Returns the names of those copies that were there.
    fn remove_reserved(&self, headers: &mut HeaderMap) -> Vec<HeaderName>;

    /// Writes what an instance adds to a request for an upstream.
    fn write_request(&self, headers: &mut HeaderMap, sending: &Sending);

    /// Reads what an upstream's answer says of itself.
    fn read_answer(
        &self,
        status: StatusCode,
        headers: &HeaderMap,
    ) -> UpstreamAnswer;

    /// Returns the path at which an upstream is asked about its health. Its
    /// answer says which start of it answers.
    fn health_path(&self) -> &'static str;

    /// Returns the path at which an upstream is asked for a report.
    fn report_path(&self) -> &'static str;

    /// Reads from an upstream's report when it started, in ms, if it says so.
    fn read_birth(&self, report: &[u8]) -> Option<u64>;

    /// Takes an upstream's signature off an answer that is not its own.
    fn unsign(&self, headers: &mut HeaderMap);

    /// Writes the identifier of the request that an answer belongs to.
    fn write_answer(&self, headers: &mut HeaderMap, id: &Bytes);

    /// Reads a call to the instance itself.
    fn own_call(&self, uri: &Uri) -> OwnCall;

    /// Writes the answer to a caller that asked for addresses.
    fn write_addresses(
        &self,
        addresses: &BTreeSet<SocketAddr>,
        keep_s: u64,
    ) -> Bytes;
}
