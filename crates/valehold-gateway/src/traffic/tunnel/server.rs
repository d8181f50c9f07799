//! Serves the tunnels of gateways that have lost their links to upstreams.

use std::{io, net::SocketAddr, rc::Rc, time::Duration};

use http::{Method, Request, Response, StatusCode};
use hyper::{body::Incoming, upgrade};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::{
    io::{AsyncWriteExt, copy, split},
    net::TcpStream,
};
use valehold_core::fleet::UpstreamStart;
use valehold_ports::port::fleet::UpstreamStream;

use super::{
    super::{Body, refusal::plain, state::App},
    client::UPSTREAM_HEADER,
};

/// The maximum number of tunnels that a gateway serves at once. Each one takes
/// two descriptors, of which the gateway's own callers need most.
const MAX_TUNNELS: usize = 1_000;

/// Answers another gateway's request to open a tunnel. `guard` is dropped when
/// the tunnel ends.
pub(in super::super) async fn answer<G: 'static>(
    app: Rc<App>,
    request: Request<Incoming>,
    guard: G,
) -> Response<Body> {
    let (upstream, address) = match target(&app, &request) {
        Ok(target) => target,
        Err(status) => return plain(status, ""),
    };
    let is_full = Rc::strong_count(&app.open_tunnels) > MAX_TUNNELS;
    if is_full || app.are_links_lost() {
        return plain(StatusCode::SERVICE_UNAVAILABLE, "");
    }
    match app.connect_directly(&upstream, address).await {
        Ok(connected) => {
            let guard = (guard, app.open_tunnels.clone());
            tokio::task::spawn_local(async move {
                serve(request, connected.stream).await;
                drop(guard);
            });
            plain(StatusCode::OK, "")
        }
        Err(error) => {
            log::debug!("no tunnel to {}: {error}", upstream.id);
            match error.kind() {
                io::ErrorKind::TimedOut => {
                    plain(StatusCode::GATEWAY_TIMEOUT, "")
                }
                _ => plain(StatusCode::BAD_GATEWAY, ""),
            }
        }
    }
}

/// Returns the upstream to which a request asks for a tunnel. Only listed
/// upstreams are connected to, at their listed addresses.
fn target(
    app: &App,
    request: &Request<Incoming>,
) -> Result<(UpstreamStart, SocketAddr), StatusCode> {
    if request.method() != Method::CONNECT {
        return Err(StatusCode::METHOD_NOT_ALLOWED);
    }
    let id = request.headers().get(UPSTREAM_HEADER);
    let id = id.and_then(|id| id.to_str().ok());
    let id = id.ok_or(StatusCode::BAD_REQUEST)?;
    let address = request.uri().authority().map(|one| one.as_str().parse());
    let address = address.and_then(Result::ok);
    let address: SocketAddr = address.ok_or(StatusCode::BAD_REQUEST)?;
    let view = app.shared.view.load();
    let listed = view.listing.upstreams.get(id);
    let listed = listed.filter(|listed| listed.address == address);
    let listed = listed.ok_or(StatusCode::NOT_FOUND)?;
    Ok((listed.start(), address))
}

/// Copies bytes between a gateway and an upstream until either side ends.
async fn serve(
    request: Request<Incoming>,
    mut upstream: Box<dyn UpstreamStream>,
) {
    let parts = match upgrade::on(request).await {
        Ok(upgraded) => upgraded.downcast::<TokioIo<TcpStream>>(),
        Err(error) => {
            log::debug!("a gateway left before its tunnel opened: {error}");
            return;
        }
    };
    let Ok(parts) = parts else {
        log::error!("a tunnel was opened over an unexpected transport");
        return;
    };
    let mut peer = parts.io.into_inner();
    let copied = match upstream.write_all(&parts.read_buf).await {
        Ok(()) => copy_both(&mut peer, upstream).await,
        Err(error) => Err(error),
    };
    if let Err(error) = copied {
        log::debug!("a tunnel broke off: {error}");
        // A reset, so that the other gateway does not take the end of the
        // connection for the end of an answer.
        if let Err(error) =
            SockRef::from(&peer).set_linger(Some(Duration::ZERO))
        {
            log::debug!("a tunnel could not be reset: {error}");
        }
    }
}

/// Copies bytes in both directions. Returns once the upstream has ended its
/// connection and all bytes were passed on, or once the gateway has left.
async fn copy_both(
    peer: &mut TcpStream,
    upstream: Box<dyn UpstreamStream>,
) -> io::Result<()> {
    let (mut from_peer, mut to_peer) = peer.split();
    let (mut from_upstream, mut to_upstream) = split(upstream);
    tokio::select! {
        answered = copy(&mut from_upstream, &mut to_peer) => {
            answered?;
            to_peer.shutdown().await
        }
        // Gateways do not close a connection halfway, so the upstream's
        // connection ends at once, which cancels its requests.
        sent = copy(&mut from_peer, &mut to_upstream) => sent.map(drop),
    }
}
