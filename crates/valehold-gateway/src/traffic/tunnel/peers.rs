//! Selects the gateways through which tunnels are opened.

use std::{cell::RefCell, collections::BTreeMap, net::SocketAddr};

use rand::seq::SliceRandom;
use valehold_core::{Millis, fleet::RegionBound, id::DataCentreId};

use super::super::state::App;
use crate::view::ReadyMember;

/// The maximum number of gateways that are asked for one tunnel.
const MAX_PEERS: usize = 3;

/// How long a gateway that could not open a tunnel is avoided, in ms. A
/// gateway that has lost its own links is asked again once a second.
const AVOID_MS: u64 = 1_000;

/// The gateways that could not open a tunnel a moment ago.
#[derive(Debug, Default)]
pub(in super::super) struct TunnelPeers {
    avoided_until: RefCell<BTreeMap<SocketAddr, Millis>>,
}

impl TunnelPeers {
    /// Records that a gateway could not open a tunnel.
    pub(super) fn avoid(&self, peer: SocketAddr, now: Millis) {
        let mut avoided = self.avoided_until.borrow_mut();
        avoided.retain(|_, until| now < *until);
        avoided.insert(peer, now + AVOID_MS);
    }

    fn is_avoided(&self, peer: SocketAddr, now: Millis) -> bool {
        let avoided = self.avoided_until.borrow();
        avoided.get(&peer).is_some_and(|until| now < *until)
    }
}

/// A gateway through which a tunnel can be opened.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Peer {
    /// The address at which the gateway accepts requests.
    pub(super) requests: SocketAddr,
    /// The address at which the gateway accepts tunnels.
    pub(super) tunnels: SocketAddr,
    data_centre: DataCentreId,
}

/// Returns the gateways to ask for a tunnel, in order. Gateways that could not
/// open one a moment ago are asked only if there is no other: a single slow
/// answer must not leave callers without the only gateway that can help.
///
/// The nearest gateway comes first. The second one is in another data centre
/// if possible: the links of a whole data centre may be lost.
pub(super) fn candidates(app: &App, bound: &RegionBound) -> Vec<Peer> {
    let now = app.now();
    let is_avoided =
        |peer: &Peer| app.tunnel_peers.is_avoided(peer.requests, now);
    let (avoided, preferred): (Vec<Peer>, Vec<Peer>) =
        eligible(app, bound).into_iter().partition(is_avoided);
    let mut peers = if preferred.is_empty() { avoided } else { preferred };
    peers.shuffle(&mut rand::rng());
    let topology = &app.shared.topology;
    peers.sort_by_key(|peer| topology.distance(&peer.data_centre));
    let first = peers.first().map(|peer| peer.data_centre.clone());
    let elsewhere =
        peers.iter().position(|p| Some(&p.data_centre) != first.as_ref());
    if let Some(elsewhere) = elsewhere {
        let peer = peers.remove(elsewhere);
        peers.insert(1, peer);
    }
    peers.truncate(MAX_PEERS);
    peers
}

/// Returns the ready gateways inside a request's region bound, without those in
/// evacuated data centres.
fn eligible(app: &App, bound: &RegionBound) -> Vec<Peer> {
    let settings = &app.shared.settings;
    // All gateways use the same ports.
    let Some(own) = settings.peers.tunnels else { return Vec::new() };
    let view = app.shared.view.load();
    let (topology, now) = (&app.shared.topology, app.now());
    let is_eligible = |member: &&ReadyMember| {
        member.requests != settings.callers.requests
            && bound.allows(topology.region_of(&member.data_centre))
            && !view.evacuations.is_evacuated(&member.data_centre, now)
    };
    let members = view.ready.iter().filter(is_eligible);
    members
        .map(|member| Peer {
            requests: member.requests,
            tunnels: SocketAddr::new(member.requests.ip(), own.port()),
            data_centre: member.data_centre.clone(),
        })
        .collect()
}
