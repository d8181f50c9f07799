//! A pool of connections to upstreams.

use std::{
    cell::RefCell, collections::BTreeMap, net::SocketAddr, sync::Arc,
    time::Duration,
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::time::Instant;
use valehold_core::{Millis, fleet::UpstreamStart};
use valehold_ports::port::fleet::UpstreamConnector;

use crate::clock::Clock;

/// How long connecting may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// How long a connection is kept idle if the upstream states no time.
const DEFAULT_IDLE: Duration = Duration::from_millis(2_500);

/// How much earlier than the time stated by the upstream an idle connection is
/// closed.
const IDLE_MARGIN: Duration = Duration::from_millis(700);

/// The maximum number of idle connections to an upstream.
const MAX_IDLE: usize = 12;

/// A connection that can take one request at a time.
pub(super) struct Connection {
    pub(super) sender: SendRequest<Full<Bytes>>,
    /// How long connecting took, or `None` for a reused connection.
    pub(super) connect_time: Option<Duration>,
}

struct IdleConnection {
    sender: SendRequest<Full<Bytes>>,
    until: Millis,
}

/// Keeps connections idle between requests for reuse.
///
/// The idle time is measured by a clock that counts suspensions of the
/// machine: upstreams close connections that were idle for too long during a
/// suspension, and a request sent on such a connection may be lost.
pub(super) struct Pool {
    clock: Clock,
    connector: Arc<dyn UpstreamConnector>,
    idle: RefCell<BTreeMap<UpstreamStart, Vec<IdleConnection>>>,
}

impl Pool {
    /// Creates an empty pool.
    pub(super) fn new(
        clock: Clock,
        connector: Arc<dyn UpstreamConnector>,
    ) -> Self {
        Self { clock, connector, idle: RefCell::default() }
    }

    /// Takes an idle connection, or opens a new one.
    ///
    /// # Errors
    ///
    /// If connecting fails. Nothing was sent in that case.
    pub(super) async fn take(
        &self,
        upstream: &UpstreamStart,
        address: SocketAddr,
    ) -> std::io::Result<Connection> {
        if let Some(sender) = self.take_idle(upstream) {
            return Ok(Connection { sender, connect_time: None });
        }
        let (sender, connect_time) = self.connect(address).await?;
        Ok(Connection { sender, connect_time: Some(connect_time) })
    }

    fn take_idle(
        &self,
        upstream: &UpstreamStart,
    ) -> Option<SendRequest<Full<Bytes>>> {
        let now = self.clock.now();
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(upstream)?;
        connections.retain(|one| now < one.until && !one.sender.is_closed());
        let ready = connections.iter().rposition(|c| c.sender.is_ready())?;
        Some(connections.remove(ready).sender)
    }

    /// Returns whether the pool has an idle connection to an upstream.
    pub(super) fn has_idle(&self, upstream: &UpstreamStart) -> bool {
        let now = self.clock.now();
        let idle = self.idle.borrow();
        let connections = idle.get(upstream).map_or(&[][..], Vec::as_slice);
        connections
            .iter()
            .any(|one| now < one.until && !one.sender.is_closed())
    }

    /// Returns a connection to the pool after its answer was read completely.
    ///
    /// `stated` is the idle time that the upstream stated, if any.
    pub(super) fn put_back(
        &self,
        upstream: &UpstreamStart,
        sender: SendRequest<Full<Bytes>>,
        stated: Option<Duration>,
    ) {
        let keep = stated
            .map_or(DEFAULT_IDLE, |stated| stated.saturating_sub(IDLE_MARGIN));
        if keep.is_zero() {
            return;
        }
        let until = self.clock.now() + Millis::from(keep).get();
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(upstream.clone()).or_default();
        if connections.len() < MAX_IDLE {
            connections.push(IdleConnection { sender, until });
        }
    }

    /// Closes connections that were idle for too long, and those to upstream
    /// starts for which `known` returns `false`.
    pub(super) fn prune(&self, known: impl Fn(&UpstreamStart) -> bool) {
        let now = self.clock.now();
        let mut idle = self.idle.borrow_mut();
        idle.retain(|id, connections| {
            connections
                .retain(|one| now < one.until && !one.sender.is_closed());
            known(id) && !connections.is_empty()
        });
    }

    /// Connects to an upstream, and returns how long it took to accept.
    async fn connect(
        &self,
        address: SocketAddr,
    ) -> std::io::Result<(SendRequest<Full<Bytes>>, Duration)> {
        let began = Instant::now();
        let connecting = self.connector.connect(address);
        let stream =
            tokio::time::timeout(CONNECT_TIMEOUT, connecting).await.map_err(
                |_| std::io::Error::from(std::io::ErrorKind::TimedOut),
            )??;
        let connect_time = began.elapsed();
        let (sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(std::io::Error::other)?;
        tokio::task::spawn_local(async move {
            // The outcome of a request is reported with its answer, so this
            // error is only logged.
            if let Err(error) = connection.await {
                log::debug!(
                    "a connection to an upstream ended with an error: {error}"
                );
            }
        });
        Ok((sender, connect_time))
    }
}
