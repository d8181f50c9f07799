//! Tunnels to upstreams through other gateways.
//!
//! A gateway that has lost its links to upstreams asks another gateway to
//! connect to an upstream (HTTP `CONNECT`) and sends its requests over that
//! connection. All decisions about the requests stay with the first gateway:
//! the other one copies bytes, and connects only to listed upstreams.
//!
//! `peers` selects the gateway, `client` opens a tunnel, and `server` serves
//! the tunnels of other gateways.

mod client;
mod peers;
mod server;

use std::{io, net::SocketAddr};

use futures::{StreamExt, stream::FuturesUnordered};
use tokio::net::TcpStream;
use valehold_core::fleet::{RegionBound, Upstream};

use self::{client::ClientError, peers::candidates};
pub(super) use self::{peers::TunnelPeers, server::answer};
use super::state::App;

/// The number of gateways after which an upstream counts as unreachable. A
/// single one may have lost its own links.
const ENOUGH_UNREACHABLE: usize = 2;

/// A connection to an upstream through another gateway.
pub(super) struct Tunnel {
    pub(super) stream: TcpStream,
    /// The address at which the other gateway accepts requests.
    pub(super) peer: SocketAddr,
}

/// Why there is no tunnel to an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum TunnelError {
    /// No other gateway is available, or none reaches upstreams.
    NoPeer,
    /// Other gateways cannot connect to the upstream either.
    Unreachable(io::ErrorKind),
}

/// Opens a tunnel to an upstream, through a gateway inside a request's region
/// bound.
///
/// # Errors
///
/// If none of the selected gateways connects to the upstream.
pub(super) async fn open(
    app: &App,
    bound: &RegionBound,
    upstream: &Upstream,
) -> Result<Tunnel, TunnelError> {
    let mut outcome = TunnelError::NoPeer;
    let mut unreachable = 0;
    for peer in candidates(app, bound) {
        match client::open(&peer, upstream).await {
            Ok(stream) => {
                app.shared.metrics.tunnel_opened("opened");
                return Ok(Tunnel { stream, peer: peer.requests });
            }
            Err(ClientError::Unreachable(kind)) => {
                app.shared.metrics.tunnel_opened("unreachable");
                outcome = TunnelError::Unreachable(kind);
                unreachable += 1;
                if unreachable == ENOUGH_UNREACHABLE {
                    break;
                }
            }
            Err(ClientError::Unavailable(error)) => {
                log::debug!("no tunnel through {}: {error}", peer.requests);
                app.shared.metrics.tunnel_opened("unavailable");
                app.tunnel_peers.avoid(peer.requests, app.now());
            }
        }
    }
    Err(outcome)
}

/// Returns whether a gateway is ready and inside a request's region bound.
pub(super) fn is_inside_bound(
    app: &App,
    bound: &RegionBound,
    peer: SocketAddr,
) -> bool {
    let view = app.shared.view.load();
    let member = view.ready.iter().find(|one| one.requests == peer);
    let topology = &app.shared.topology;
    member.is_some_and(|member| {
        bound.allows(topology.region_of(&member.data_centre))
    })
}

/// Returns whether there is another gateway inside a request's region bound
/// that may open a tunnel.
pub(super) fn has_peer(app: &App, bound: &RegionBound) -> bool {
    !candidates(app, bound).is_empty()
}

/// Returns whether an upstream accepts a connection of any other gateway, or
/// `None` if no other gateway could tell.
pub(super) async fn is_reached_by_peers(
    app: &App,
    bound: &RegionBound,
    upstream: &Upstream,
) -> Option<bool> {
    let peers = candidates(app, bound);
    let mut asked: FuturesUnordered<_> =
        peers.iter().map(|peer| client::open(peer, upstream)).collect();
    let mut is_reached = None;
    while let Some(opened) = asked.next().await {
        match opened {
            Ok(_) => return Some(true),
            Err(ClientError::Unreachable(io::ErrorKind::TimedOut)) => {}
            Err(ClientError::Unreachable(_)) => is_reached = Some(false),
            Err(ClientError::Unavailable(error)) => {
                log::debug!("a peer could not tell: {error}");
            }
        }
    }
    is_reached
}
