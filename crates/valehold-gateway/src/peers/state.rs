//! Reading a peer's configuration, orders to empty data centres and list of
//! upstreams.
//!
//! A reader says which versions it has and is given what is newer. Many may
//! read at once, after all gateways were started: a gateway answers a few at
//! a time and turns the others away, who then read from one another.

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
use crate::shared::Shared;

/// The path under which a gateway gives its state to peers.
const STATE_PATH: &str = "/state";

/// How long a peer may take to connect.
const CONNECT: Duration = Duration::from_millis(300);

/// How long a peer may take to answer.
const ANSWER: Duration = Duration::from_millis(800);

/// How long the next part of its state may take. A peer that freezes in the
/// middle of it would otherwise be waited for for five seconds, while others
/// have it; a state of 450 KB over a link full of readers takes seconds, but
/// its parts keep coming.
const PART: Duration = Duration::from_millis(700);

/// How long a peer's connection may rest.
const REST: Duration = Duration::from_secs(5);

/// How many connections of readers a gateway has at the least.
const LEAST_READERS: usize = 4;

/// Within how many ms as many whole states can be sent as there may be
/// readers: a reader waits for 800 ms, and shares the link with callers.
const ALL_READ_WITHIN_MS: f64 = 200.0;

/// The size of a whole state, in bytes, of which readers are reckoned until one
/// was written.
const FIRST_STATE_BYTES: usize = 64_000;

/// The versions of a configuration and a list of upstreams.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct StateVersions {
    /// The configuration's version; 0 if there is none.
    pub catalog: u64,
    /// The list's version; 0 if there is none.
    pub listing: u64,
}

impl StateVersions {
    /// Returns the path at which newer ones are read.
    fn path(self) -> String {
        let Self { catalog, listing } = self;
        format!("{STATE_PATH}?catalog={catalog}&listing={listing}")
    }

    /// Reads them from a request's query; what is missing is 0.
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

/// What a gateway has that is newer than what a reader has.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct PeerState {
    /// The configuration.
    pub catalog: Option<Catalog>,
    /// The upstreams, if the reader has none or is far behind.
    pub listing: Option<Listing>,
    /// Otherwise what changed of them.
    pub changes: Option<ListingDelta>,
    /// The orders to empty data centres, whatever the reader has: they are
    /// few.
    pub evacuations: Option<Evacuations>,
    /// How many requests upstreams in need take, whatever the reader has.
    pub limits: Vec<LimitReport>,
}

impl PeerState {
    /// Writes it, with the number of its format before it.
    ///
    /// # Errors
    ///
    /// If it cannot be written.
    pub fn encode(&self) -> Result<Vec<u8>, PortError> {
        postcard::to_extend(self, vec![FORMAT])
            .map_err(|e| PortError::malformed(e.to_string()))
    }

    /// Reads it.
    ///
    /// # Errors
    ///
    /// If it is of another format, or none at all.
    pub fn decode(bytes: &[u8]) -> Result<Self, PortError> {
        let rest = check_format(bytes)
            .map_err(|e| PortError::malformed(e.to_string()))?;
        postcard::from_bytes(rest)
            .map_err(|e| PortError::malformed(e.to_string()))
    }
}

/// Reads peers' states.
#[derive(Debug, Clone)]
pub struct StateClient {
    client: HttpClient,
}

impl StateClient {
    /// Makes a client.
    pub fn new() -> Self {
        let settings = ClientSettings {
            connect_timeout: CONNECT,
            answer_timeout: ANSWER,
            part_timeout: PART,
            ..ClientSettings::default()
        };
        Self { client: HttpClient::new(settings, Connections::OneEach) }
    }

    /// Reads what a peer has that is newer.
    ///
    /// # Errors
    ///
    /// If it does not answer in time, or not with its state.
    pub async fn read(
        &self,
        at: SocketAddr,
        known: StateVersions,
    ) -> Result<PeerState, PortError> {
        let request = bare("GET", uri(at, &known.path())?)?;
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

/// Gives this gateway's state to peers until it ends.
pub async fn serve(shared: Arc<Shared>, listener: TcpListener) {
    let server = Rc::new(StateServer::new(shared));
    loop {
        let Ok((stream, _)) = listener.accept().await else { continue };
        let reader = Reader::new(server.clone());
        let answering = service_fn(move |request: Request<Incoming>| {
            let answer = reader.answer(&request);
            async move { Ok::<_, Infallible>(answer) }
        });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(REST)
            .serve_connection(TokioIo::new(stream), answering);
        tokio::task::spawn_local(async move {
            if let Err(error) = connection.await {
                log::debug!("a peer's connection ended: {error}");
            }
        });
    }
}

/// A whole state that was written, and what it was written of.
#[derive(Debug)]
struct Written {
    catalog: Option<Arc<Catalog>>,
    listing: Arc<Listing>,
    evacuations: Option<Evacuations>,
    limits: Vec<LimitReport>,
    bytes: Bytes,
}

/// Gives this gateway's state to readers.
#[derive(Debug)]
struct StateServer {
    shared: Arc<Shared>,
    readers: Cell<usize>,
    /// The last whole state: after a start, many read the same one.
    whole: RefCell<Option<Written>>,
}

impl StateServer {
    fn new(shared: Arc<Shared>) -> Self {
        Self { shared, readers: Cell::new(0), whole: RefCell::new(None) }
    }

    fn most_readers(&self) -> usize {
        let whole = self.whole.borrow();
        let bytes = whole.as_ref().map(|written| written.bytes.len());
        let link_mbps = self.shared.settings.peers.link_mbps;
        most_readers(link_mbps, bytes.unwrap_or(FIRST_STATE_BYTES))
    }

    /// Writes what is newer than what a reader has.
    fn newer_than(&self, known: StateVersions) -> Result<Bytes, PortError> {
        if known == StateVersions::default() {
            return self.whole();
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

    fn whole(&self) -> Result<Bytes, PortError> {
        let view = self.shared.view.load();
        let (catalog, listing) = (view.catalog.clone(), view.listing.clone());
        let evacuations = view.evacuations.orders();
        let limits = self.limits();
        let mut whole = self.whole.borrow_mut();
        if let Some(written) = &*whole
            && written.catalog.as_ref().map(Arc::as_ptr)
                == catalog.as_ref().map(Arc::as_ptr)
            && Arc::ptr_eq(&written.listing, &listing)
            && written.evacuations.as_ref() == evacuations
            && written.limits == limits
        {
            return Ok(written.bytes.clone());
        }
        let state = PeerState {
            catalog: catalog.as_deref().cloned(),
            listing: (listing.version > 0).then(|| self.listing()),
            changes: None,
            evacuations: evacuations.cloned(),
            limits: limits.clone(),
        };
        let bytes = Bytes::from(state.encode()?);
        *whole = Some(Written {
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

    /// Returns the upstreams without those that lapsed: a peer could not tell
    /// when those are to be taken as gone.
    fn listing(&self) -> Listing {
        let view = self.shared.view.load();
        let mut listing = (*view.listing).clone();
        for id in view.lapsed.ids() {
            listing.upstreams.remove(id);
        }
        listing
    }
}

/// Returns how many readers a gateway with such a link may have at once of a
/// whole state with so many bytes.
///
/// Who has read it gives it to others. Where the state is large, fewer at once
/// have it sooner, and all of them together, too.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
pub fn most_readers(link_mbps: f64, state_bytes: usize) -> usize {
    let bytes_each_ms = link_mbps * 1_000.0 / 8.0;
    let bytes = bytes_each_ms * ALL_READ_WITHIN_MS;
    let readers = bytes / state_bytes.max(1) as f64;
    (readers as usize).max(LEAST_READERS)
}

/// One reader's connection.
#[derive(Debug)]
struct Reader {
    server: Rc<StateServer>,
    /// Whether readers were too many already when this one came.
    is_beyond: bool,
}

impl Reader {
    fn new(server: Rc<StateServer>) -> Self {
        let readers = server.readers.get();
        server.readers.set(readers + 1);
        let is_beyond = readers >= server.most_readers();
        Self { server, is_beyond }
    }

    fn answer(&self, request: &Request<Incoming>) -> Response<Full<Bytes>> {
        let mut response = Response::new(Full::default());
        if request.uri().path() != STATE_PATH {
            *response.status_mut() = StatusCode::NOT_FOUND;
            return response;
        }
        if self.is_beyond {
            *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
            return response;
        }
        let query = request.uri().query().unwrap_or_default();
        let known = StateVersions::from_query(query);
        match self.server.newer_than(known) {
            Ok(bytes) => *response.body_mut() = Full::from(bytes),
            Err(error) => {
                log::warn!("the state for a peer was not written: {error}");
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
