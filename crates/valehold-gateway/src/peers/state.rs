//! The transfer of state between gateways: the configuration, evacuation orders
//! and the list of upstreams.
//!
//! A reader sends the versions that it has and receives newer ones. After a
//! start of all gateways many of them read at once. A gateway therefore limits
//! the number of concurrent readers and rejects the others, which then read
//! from the gateways that have been served.

use std::{
    cell::{Cell, RefCell},
    convert::Infallible,
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use serde::{Deserialize, Serialize};
use tokio::net::TcpListener;
use valehold_core::fleet::{
    Catalog, Evacuations, Listing, ListingDelta, upstream_limit::LimitReport,
};
use valehold_ports::{
    PortError,
    http::client::{
        ClientSettings, Connections, HttpClient, bare, check_status, uri,
    },
};

use super::message::{FORMAT, check_format};
use crate::{shared::Shared, silence};

/// The path at which peers read a gateway's state.
const STATE_PATH: &str = "/state";

/// How long connecting to a peer may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// How long a peer may take to begin its response.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(800);

/// How long the next part of a response's body may take. Without this limit a
/// reader would wait five seconds for a peer that freezes during the response,
/// although other peers have the state. A limit for the whole response would
/// not do: a state of 450 KB takes seconds over a link shared by many readers,
/// but its parts arrive steadily.
const BODY_PART_TIMEOUT: Duration = Duration::from_millis(700);

/// How long a reader's connection may stay idle or take to send a header.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// The number of concurrent readers that a gateway serves at least, however
/// slow its link is.
const MIN_READERS: usize = 4;

/// The time in which the link can send a full state to every concurrent
/// reader, in ms. A reader waits for 800 ms at most, and the link also carries
/// the traffic of callers.
const ALL_READERS_SERVED_MS: f64 = 200.0;

/// The assumed size of a full state until one has been encoded, in bytes.
const INITIAL_STATE_BYTES: usize = 64_000;

/// The versions of a configuration and a list of upstreams.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct StateVersions {
    /// The version of the configuration; 0 if there is none.
    pub catalog: u64,
    /// The version of the list of upstreams; 0 if there is none.
    pub listing: u64,
}

impl StateVersions {
    /// Returns the path and query that request newer versions.
    fn path(self) -> String {
        let Self { catalog, listing } = self;
        format!("{STATE_PATH}?catalog={catalog}&listing={listing}")
    }

    /// Parses the versions of a request's query; a missing or malformed
    /// version is 0.
    fn from_query(query: &str) -> Self {
        let mut versions = Self::default();
        for part in query.split('&') {
            match part.split_once('=') {
                Some(("catalog", version)) => {
                    versions.catalog = version.parse().unwrap_or(0);
                }
                Some(("listing", version)) => {
                    versions.listing = version.parse().unwrap_or(0);
                }
                _ => {}
            }
        }
        versions
    }
}

/// The part of a gateway's state that is newer than that of a reader.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct PeerState {
    /// The configuration, if it is newer.
    pub catalog: Option<Catalog>,
    /// The full list of upstreams, if the reader has none or the changes since
    /// its version are no longer kept.
    pub listing: Option<Listing>,
    /// Otherwise the changes of the list since the reader's version.
    pub changes: Option<ListingDelta>,
    /// The evacuation orders, regardless of the reader's state, since they are
    /// few.
    pub evacuations: Option<Evacuations>,
    /// The limits that upstreams have stated, regardless of the reader's state.
    pub limits: Vec<LimitReport>,
}

impl PeerState {
    /// Encodes the state after the number of the format.
    ///
    /// # Errors
    ///
    /// If the state cannot be encoded.
    pub fn encode(&self) -> Result<Vec<u8>, PortError> {
        postcard::to_extend(self, vec![FORMAT])
            .map_err(|e| PortError::malformed(e.to_string()))
    }

    /// Decodes a state.
    ///
    /// # Errors
    ///
    /// If the bytes have another format or are malformed.
    pub fn decode(bytes: &[u8]) -> Result<Self, PortError> {
        let rest = check_format(bytes)
            .map_err(|e| PortError::malformed(e.to_string()))?;
        postcard::from_bytes(rest)
            .map_err(|e| PortError::malformed(e.to_string()))
    }
}

/// Reads the states of peers.
#[derive(Debug, Clone)]
pub struct StateClient {
    client: HttpClient,
}

impl StateClient {
    /// Creates a client.
    pub fn new() -> Self {
        let settings = ClientSettings {
            connect_timeout: CONNECT_TIMEOUT,
            answer_timeout: RESPONSE_TIMEOUT,
            part_timeout: BODY_PART_TIMEOUT,
            ..ClientSettings::default()
        };
        Self { client: HttpClient::new(settings, Connections::OneEach) }
    }

    /// Reads the part of a peer's state that is newer than the given versions.
    ///
    /// # Errors
    ///
    /// If the peer does not respond in time, rejects the request or sends no
    /// valid state.
    pub async fn read(
        &self,
        address: SocketAddr,
        known: StateVersions,
    ) -> Result<PeerState, PortError> {
        let request = bare("GET", uri(address, &known.path())?)?;
        let answer = self.client.whole(request).await?;
        check_status(answer.status())?;
        PeerState::decode(answer.body())
    }
}

impl Default for StateClient {
    fn default() -> Self {
        Self::new()
    }
}

/// Serves this gateway's state to peers, forever.
pub async fn serve(shared: Arc<Shared>, listener: TcpListener) {
    let server = Rc::new(StateServer::new(shared));
    loop {
        let Ok((stream, _)) = listener.accept().await else { continue };
        silence::limit_gateway(&stream);
        let reader = Reader::new(server.clone());
        let answering = service_fn(move |request: Request<Incoming>| {
            let answer = reader.answer(&request);
            async move { Ok::<_, Infallible>(answer) }
        });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(IDLE_TIMEOUT)
            .serve_connection(TokioIo::new(stream), answering);
        tokio::task::spawn_local(async move {
            if let Err(error) = connection.await {
                log::debug!("peer connection closed with an error: {error}");
            }
        });
    }
}

/// An encoded full state and the values that it was encoded from.
#[derive(Debug)]
struct EncodedState {
    catalog: Option<Arc<Catalog>>,
    listing: Arc<Listing>,
    evacuations: Option<Evacuations>,
    limits: Vec<LimitReport>,
    bytes: Bytes,
}

/// Serves this gateway's state to readers.
#[derive(Debug)]
struct StateServer {
    shared: Arc<Shared>,
    readers: Cell<usize>,
    /// The last encoded full state, which many readers request after a start.
    full: RefCell<Option<EncodedState>>,
}

impl StateServer {
    fn new(shared: Arc<Shared>) -> Self {
        Self { shared, readers: Cell::new(0), full: RefCell::new(None) }
    }

    fn max_readers(&self) -> usize {
        let full = self.full.borrow();
        let bytes = full.as_ref().map(|encoded| encoded.bytes.len());
        let link_mbps = self.shared.settings.peers.link_mbps;
        max_readers(link_mbps, bytes.unwrap_or(INITIAL_STATE_BYTES))
    }

    /// Encodes the part of the state that is newer than the reader's versions.
    fn newer_than(&self, known: StateVersions) -> Result<Bytes, PortError> {
        if known == StateVersions::default() {
            return self.full();
        }
        let view = self.shared.view.load();
        let catalog = view.catalog.as_deref();
        let changes = view.recent.since(known.listing);
        let is_behind = view.listing.version > known.listing;
        let listing = (is_behind && changes.is_none()).then(|| self.listing());
        let state = PeerState {
            catalog: catalog.filter(|c| c.version > known.catalog).cloned(),
            listing,
            changes,
            evacuations: view.evacuations.orders().cloned(),
            limits: self.limits(),
        };
        state.encode().map(Bytes::from)
    }

    fn full(&self) -> Result<Bytes, PortError> {
        let view = self.shared.view.load();
        let (catalog, listing) = (view.catalog.clone(), view.listing.clone());
        let evacuations = view.evacuations.orders();
        let limits = self.limits();
        let mut full = self.full.borrow_mut();
        if let Some(encoded) = &*full
            && encoded.catalog.as_ref().map(Arc::as_ptr)
                == catalog.as_ref().map(Arc::as_ptr)
            && Arc::ptr_eq(&encoded.listing, &listing)
            && encoded.evacuations.as_ref() == evacuations
            && encoded.limits == limits
        {
            return Ok(encoded.bytes.clone());
        }
        let state = PeerState {
            catalog: catalog.as_deref().cloned(),
            listing: (listing.version > 0).then(|| self.listing()),
            changes: None,
            evacuations: evacuations.cloned(),
            limits: limits.clone(),
        };
        let bytes = Bytes::from(state.encode()?);
        *full = Some(EncodedState {
            catalog,
            listing,
            evacuations: evacuations.cloned(),
            limits,
            bytes: bytes.clone(),
        });
        Ok(bytes)
    }

    fn limits(&self) -> Vec<LimitReport> {
        self.shared.upstream_limits().reports().cloned().collect()
    }

    /// Returns the list without lapsed upstreams, since a peer would not know
    /// when their grace period ends.
    fn listing(&self) -> Listing {
        let view = self.shared.view.load();
        let mut listing = (*view.listing).clone();
        for id in view.lapsed.ids() {
            listing.upstreams.remove(id);
        }
        listing
    }
}

/// Returns how many readers a gateway serves at once, given the bandwidth of
/// its link and the size of a full state.
///
/// A gateway that has read the state serves others in turn. With a large state,
/// fewer concurrent readers finish sooner, and so do all gateways together.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
pub fn max_readers(link_mbps: f64, state_bytes: usize) -> usize {
    let bytes_per_ms = link_mbps * 1_000.0 / 8.0;
    let bytes = bytes_per_ms * ALL_READERS_SERVED_MS;
    let readers = bytes / state_bytes.max(1) as f64;
    (readers as usize).max(MIN_READERS)
}

/// The connection of one reader.
#[derive(Debug)]
struct Reader {
    server: Rc<StateServer>,
    /// Whether the limit of readers was reached when this one connected.
    is_over_limit: bool,
}

impl Reader {
    fn new(server: Rc<StateServer>) -> Self {
        let readers = server.readers.get();
        server.readers.set(readers + 1);
        let is_over_limit = readers >= server.max_readers();
        Self { server, is_over_limit }
    }

    fn answer(&self, request: &Request<Incoming>) -> Response<Full<Bytes>> {
        let mut response = Response::new(Full::default());
        if request.uri().path() != STATE_PATH {
            *response.status_mut() = StatusCode::NOT_FOUND;
            return response;
        }
        if self.is_over_limit {
            *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
            return response;
        }
        let query = request.uri().query().unwrap_or_default();
        let known = StateVersions::from_query(query);
        match self.server.newer_than(known) {
            Ok(bytes) => *response.body_mut() = Full::from(bytes),
            Err(error) => {
                log::warn!("failed to encode the state for a peer: {error}");
                *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
            }
        }
        response
    }
}

impl Drop for Reader {
    fn drop(&mut self) {
        let readers = self.server.readers.get();
        self.server.readers.set(readers - 1);
    }
}
