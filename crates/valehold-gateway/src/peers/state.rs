//! Reading a peer's configuration and list of upstreams.

use std::{convert::Infallible, net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use serde::{Deserialize, Serialize};
use tokio::net::TcpListener;
use valehold_core::fleet::{Catalog, Listing};
use valehold_ports::{
    PortError,
    http::client::{
        ClientSettings, Connections, HttpClient, bare, check_status, uri,
    },
};

use crate::shared::Shared;

/// The path under which a gateway gives its state to peers.
const STATE_PATH: &str = "/state";

/// How long a peer may take to connect.
const CONNECT: Duration = Duration::from_millis(300);

/// How long a peer may take to answer.
const ANSWER: Duration = Duration::from_millis(800);

/// How long a peer's connection may rest.
const REST: Duration = Duration::from_secs(5);

/// A gateway's configuration and list of upstreams.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct PeerState {
    /// The configuration.
    pub catalog: Option<Catalog>,
    /// The upstreams.
    pub listing: Listing,
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
            ..ClientSettings::default()
        };
        Self { client: HttpClient::new(settings, Connections::OneEach) }
    }

    /// Reads a peer's state.
    ///
    /// # Errors
    ///
    /// If it does not answer in time, or not with its state.
    pub async fn read(&self, at: SocketAddr) -> Result<PeerState, PortError> {
        let request = bare("GET", uri(at, STATE_PATH)?)?;
        let answer = self.client.whole(request).await?;
        check_status(answer.status())?;
        postcard::from_bytes(answer.body())
            .map_err(|e| PortError::malformed(e.to_string()))
    }
}

impl Default for StateClient {
    fn default() -> Self {
        Self::new()
    }
}

/// Gives this gateway's state to peers until it ends.
pub async fn serve(shared: Arc<Shared>, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else { continue };
        let shared = shared.clone();
        let answering = service_fn(move |request: Request<Incoming>| {
            let answer = answer(&shared, &request);
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

fn answer(
    shared: &Shared,
    request: &Request<Incoming>,
) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    if request.uri().path() != STATE_PATH {
        *response.status_mut() = StatusCode::NOT_FOUND;
        return response;
    }
    let view = shared.view.load();
    let mut listing = (*view.listing).clone();
    // A peer could not tell when those are to be taken as gone.
    listing.upstreams.retain(|id, _| !view.lapsed.contains(id));
    let state =
        PeerState { catalog: view.catalog.as_deref().cloned(), listing };
    match postcard::to_stdvec(&state) {
        Ok(bytes) => *response.body_mut() = Full::from(bytes),
        Err(_) => {
            *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
        }
    }
    response
}
