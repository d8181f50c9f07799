//! Opens a tunnel through another gateway.

use std::{io, time::Duration};

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use http_body_util::Empty;
use hyper::{body::Incoming, client::conn::http1, upgrade};
use hyper_util::rt::TokioIo;
use thiserror::Error;
use tokio::{net::TcpStream, time};
use valehold_core::fleet::Upstream;

use super::{super::connector::TcpConnector, peers::Peer};

/// The header that names the upstream of a tunnel.
pub(super) const UPSTREAM_HEADER: &str = "valehold-upstream";

/// How long opening a tunnel may take: two connections, one of which the other
/// gateway makes.
const OPEN_TIMEOUT: Duration = Duration::from_millis(450);

/// Why a gateway opened no tunnel.
#[derive(Debug, Error)]
pub(super) enum ClientError {
    /// The gateway does not respond, or opens no tunnels now.
    #[error("{0}")]
    Unavailable(String),
    /// The gateway cannot connect to the upstream.
    #[error("the upstream is unreachable: {0}")]
    Unreachable(io::ErrorKind),
}

/// Opens a tunnel to an upstream through a gateway.
///
/// # Errors
///
/// If the gateway does not respond in time, opens no tunnels, or cannot
/// connect to the upstream.
pub(super) async fn open(
    peer: &Peer,
    upstream: &Upstream,
) -> Result<TcpStream, ClientError> {
    time::timeout(OPEN_TIMEOUT, open_within(peer, upstream))
        .await
        .unwrap_or_else(|_| Err(ClientError::Unavailable("no answer".into())))
}

async fn open_within(
    peer: &Peer,
    upstream: &Upstream,
) -> Result<TcpStream, ClientError> {
    let unavailable = |error: &dyn std::error::Error| {
        ClientError::Unavailable(error.to_string())
    };
    let stream = TcpConnector::connect_tcp(peer.tunnels)
        .await
        .map_err(|e| unavailable(&e))?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(|e| unavailable(&e))?;
    tokio::task::spawn_local(async move {
        if let Err(error) = connection.with_upgrades().await {
            log::debug!("a tunnel ended with an error: {error}");
        }
    });
    let request = request(upstream).map_err(|e| unavailable(&e))?;
    let answer =
        sender.send_request(request).await.map_err(|e| unavailable(&e))?;
    match answer.status() {
        StatusCode::OK => into_stream(answer).await,
        StatusCode::BAD_GATEWAY => {
            Err(ClientError::Unreachable(io::ErrorKind::ConnectionRefused))
        }
        StatusCode::GATEWAY_TIMEOUT => {
            Err(ClientError::Unreachable(io::ErrorKind::TimedOut))
        }
        status => Err(ClientError::Unavailable(status.to_string())),
    }
}

fn request(upstream: &Upstream) -> http::Result<Request<Empty<Bytes>>> {
    Request::builder()
        .method(Method::CONNECT)
        .uri(upstream.address.to_string())
        .header(UPSTREAM_HEADER, upstream.id.as_str())
        .body(Empty::new())
}

/// Takes the connection of an answer that opened a tunnel.
async fn into_stream(
    answer: Response<Incoming>,
) -> Result<TcpStream, ClientError> {
    let upgraded = upgrade::on(answer)
        .await
        .map_err(|e| ClientError::Unavailable(e.to_string()))?;
    let parts = upgraded
        .downcast::<TokioIo<TcpStream>>()
        .map_err(|_| ClientError::Unavailable("another transport".into()))?;
    match parts.read_buf.is_empty() {
        true => Ok(parts.io.into_inner()),
        // Upstreams say nothing before the first request.
        false => Err(ClientError::Unavailable("unexpected bytes".into())),
    }
}
