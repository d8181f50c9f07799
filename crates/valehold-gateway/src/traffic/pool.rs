//! A pool of connections to upstreams.

use std::{
    cell::RefCell, collections::BTreeMap, net::SocketAddr, time::Duration,
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::SendRequest;
use valehold_core::{
    Millis,
    fleet::{UpstreamStart, reachability::ConnectionPath},
};

use crate::clock::Clock;

/// How long a connection is kept idle if the upstream states no time.
const DEFAULT_IDLE: Duration = Duration::from_millis(2_500);

/// How much earlier than the time stated by the upstream an idle connection is
/// closed.
const IDLE_MARGIN: Duration = Duration::from_millis(700);

/// The maximum number of idle connections to an upstream.
const MAX_IDLE: usize = 12;

struct IdleConnection {
    sender: SendRequest<Full<Bytes>>,
    /// The gateway whose tunnel the connection uses, if any.
    via: Option<SocketAddr>,
    until: Millis,
}

impl IdleConnection {
    fn is_usable(&self, now: Millis) -> bool {
        now < self.until && !self.sender.is_closed()
    }
}

/// How a connection may be reused after its answer.
#[derive(Debug, Clone, Copy)]
pub(super) struct Reuse {
    /// The idle time that the upstream stated, if any.
    pub(super) stated: Option<Duration>,
    /// The gateway whose tunnel the connection uses, if any.
    pub(super) via: Option<SocketAddr>,
}

/// Keeps connections idle between requests for reuse.
///
/// The idle time is measured by a clock that counts suspensions of the
/// machine: upstreams close connections that were idle for too long during a
/// suspension, and a request sent on such a connection may be lost.
pub(super) struct Pool {
    clock: Clock,
    idle: RefCell<BTreeMap<UpstreamStart, Vec<IdleConnection>>>,
}

impl Pool {
    /// Creates an empty pool.
    pub(super) fn new(clock: Clock) -> Self {
        Self { clock, idle: RefCell::default() }
    }

    /// Takes an idle connection to an upstream, with the gateway whose tunnel
    /// it uses; only tunnels through gateways for which `may_use` returns
    /// `true`. Tunnels are closed once a direct connection can be made.
    pub(super) fn take_idle(
        &self,
        upstream: &UpstreamStart,
        path: ConnectionPath,
        may_use: impl Fn(SocketAddr) -> bool,
    ) -> Option<(SendRequest<Full<Bytes>>, Option<SocketAddr>)> {
        let now = self.clock.now();
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(upstream)?;
        connections.retain(|one| {
            let is_needed =
                one.via.is_none() || path == ConnectionPath::ViaPeer;
            one.is_usable(now) && is_needed
        });
        let ready = connections.iter().rposition(|one| {
            one.sender.is_ready() && one.via.is_none_or(&may_use)
        })?;
        let taken = connections.remove(ready);
        Some((taken.sender, taken.via))
    }

    /// Returns whether the pool has an idle connection to an upstream.
    pub(super) fn has_idle(&self, upstream: &UpstreamStart) -> bool {
        let now = self.clock.now();
        let idle = self.idle.borrow();
        let connections = idle.get(upstream).map_or(&[][..], Vec::as_slice);
        connections.iter().any(|one| one.is_usable(now))
    }

    /// Returns a connection to the pool after its answer was read completely.
    ///
    pub(super) fn put_back(
        &self,
        upstream: &UpstreamStart,
        sender: SendRequest<Full<Bytes>>,
        reuse: Reuse,
    ) {
        let stated = reuse.stated;
        let keep = stated
            .map_or(DEFAULT_IDLE, |stated| stated.saturating_sub(IDLE_MARGIN));
        if keep.is_zero() {
            return;
        }
        let until = self.clock.now() + Millis::from(keep).get();
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(upstream.clone()).or_default();
        if connections.len() < MAX_IDLE {
            let via = reuse.via;
            connections.push(IdleConnection { sender, via, until });
        }
    }

    /// Closes the idle connections to an upstream over this gateway's own
    /// links.
    pub(super) fn close_direct(&self, upstream: &UpstreamStart) {
        if let Some(connections) = self.idle.borrow_mut().get_mut(upstream) {
            connections.retain(|one| one.via.is_some());
        }
    }

    /// Closes all idle connections over this gateway's own links.
    pub(super) fn close_all_direct(&self) {
        for connections in self.idle.borrow_mut().values_mut() {
            connections.retain(|one| one.via.is_some());
        }
    }

    /// Closes connections that were idle for too long, those to upstream
    /// starts for which `known` returns `false`, and tunnels through gateways
    /// for which `is_ready` returns `false`: a gateway that stops waits for
    /// the end of its tunnels.
    pub(super) fn prune(
        &self,
        known: impl Fn(&UpstreamStart) -> bool,
        is_ready: impl Fn(SocketAddr) -> bool,
    ) {
        let now = self.clock.now();
        let mut idle = self.idle.borrow_mut();
        idle.retain(|id, connections| {
            connections.retain(|one| {
                one.is_usable(now) && one.via.is_none_or(&is_ready)
            });
            known(id) && !connections.is_empty()
        });
    }
}
