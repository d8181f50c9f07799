//! Provides the connection for a send: an idle one, a new one over this
//! gateway's own links, or a tunnel through another gateway.

use std::{io, net::SocketAddr, time::Duration};

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use valehold_core::fleet::{
    RegionBound, Upstream, reachability::ConnectionPath,
};
use valehold_ports::port::fleet::UpstreamStream;

use super::{
    choose::current_bound,
    route::Job,
    state::App,
    tunnel::{self, TunnelError},
};

/// The most bytes that are read of a connection ahead of their use, and so the
/// largest head of an answer.
const MAX_READ_BYTES: usize = 64 << 10;

/// A connection that can take one request at a time.
pub(super) struct Connection {
    pub(super) sender: SendRequest<Full<Bytes>>,
    /// Whether the connection served requests before.
    pub(super) is_reused: bool,
    /// How long connecting over this gateway's own links took; `None` for any
    /// other connection.
    pub(super) connect_time: Option<Duration>,
    /// The gateway whose tunnel the connection uses; `None` if it uses this
    /// gateway's own links.
    pub(super) via: Option<SocketAddr>,
}

/// Why there is no connection to an upstream. Nothing was sent.
#[derive(Debug)]
pub(super) struct ConnectError {
    pub(super) error: io::Error,
    /// Whether the upstream may be at fault, and not only the links of this
    /// gateway.
    pub(super) may_be_upstream: bool,
    /// Whether another gateway may reach the upstream and was not asked.
    pub(super) may_use_peer: bool,
}

impl ConnectError {
    /// Nothing else can be tried.
    fn last(error: io::Error, may_be_upstream: bool) -> Self {
        Self { error, may_be_upstream, may_use_peer: false }
    }
}

/// Returns an idle connection to an upstream, or opens a new one.
///
/// # Errors
///
/// If no connection can be made over this gateway's own links, nor through
/// another gateway if the own links have failed.
pub(super) async fn connect(
    app: &App,
    job: &Job,
    upstream: &Upstream,
) -> Result<Connection, ConnectError> {
    let start = upstream.start();
    let path = app.path_to(&start);
    let bound = current_bound(&app.shared.view.load(), job).into_owned();
    let may_use = |peer| tunnel::is_inside_bound(app, &bound, peer);
    if let Some((sender, via)) = app.pool.take_idle(&start, path, may_use) {
        let connect_time = None;
        return Ok(Connection { sender, is_reused: true, connect_time, via });
    }
    if path == ConnectionPath::Direct {
        match connect_directly(app, upstream).await {
            Ok(connection) => return Ok(connection),
            // The links may have turned out to be lost by this failure.
            Err(error) if !app.are_links_lost() => {
                let may_use_peer = tunnel::has_peer(app, &bound);
                return Err(ConnectError {
                    error,
                    may_be_upstream: true,
                    may_use_peer,
                });
            }
            Err(_) => {}
        }
    }
    app.request_link_probe(&start);
    match connect_via_peer(app, &bound, upstream).await {
        Ok(connection) => Ok(connection),
        Err(TunnelError::Unreachable(kind)) => {
            Err(ConnectError::last(kind.into(), true))
        }
        Err(TunnelError::NoPeer) if path == ConnectionPath::ViaPeer => {
            // Without another gateway, the own links are all there is.
            let may_be_upstream = !app.are_links_lost();
            connect_directly(app, upstream)
                .await
                .map_err(|error| ConnectError::last(error, may_be_upstream))
        }
        Err(TunnelError::NoPeer) => {
            let error = io::ErrorKind::NetworkUnreachable.into();
            Err(ConnectError::last(error, false))
        }
    }
}

async fn connect_directly(
    app: &App,
    upstream: &Upstream,
) -> io::Result<Connection> {
    let start = upstream.start();
    let connected = app.connect_directly(&start, upstream.address).await?;
    let sender = start_http(connected.stream).await?;
    let connect_time = Some(connected.connect_time);
    Ok(Connection { sender, is_reused: false, connect_time, via: None })
}

async fn connect_via_peer(
    app: &App,
    bound: &RegionBound,
    upstream: &Upstream,
) -> Result<Connection, TunnelError> {
    let tunnel = tunnel::open(app, bound, upstream).await?;
    let via = Some(tunnel.peer);
    let sender =
        start_http(Box::new(tunnel.stream)).await.map_err(|error| {
            log::debug!("a tunnel through {} failed: {error}", tunnel.peer);
            TunnelError::NoPeer
        })?;
    Ok(Connection { sender, is_reused: false, connect_time: None, via })
}

/// Starts HTTP on a new connection.
async fn start_http(
    stream: Box<dyn UpstreamStream>,
) -> io::Result<SendRequest<Full<Bytes>>> {
    let (sender, connection) = http1::Builder::new()
        .max_buf_size(MAX_READ_BYTES)
        .handshake(TokioIo::new(stream))
        .await
        .map_err(io::Error::other)?;
    tokio::task::spawn_local(async move {
        // The outcome of a request is reported with its answer, so this error
        // is only logged.
        if let Err(error) = connection.await {
            log::debug!(
                "a connection to an upstream ended with an error: {error}"
            );
        }
    });
    Ok(sender)
}
