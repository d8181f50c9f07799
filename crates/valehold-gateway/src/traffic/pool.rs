//! Connections to upstreams.

use std::{
    cell::RefCell, collections::BTreeMap, net::SocketAddr, time::Duration,
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::{net::TcpStream, time::Instant};
use valehold_core::{Millis, fleet::UpstreamStart};

use crate::clock::Clock;

/// How long a connection may take.
const CONNECT: Duration = Duration::from_millis(300);

/// How long sent bytes may stay unconfirmed.
const SILENCE: Duration = Duration::from_millis(1_200);

/// After how long of silence a connection is probed, and again.
const PROBE: Duration = Duration::from_secs(1);

/// For how long a connection rests if the upstream does not say.
const REST: Duration = Duration::from_millis(2_500);

/// How much earlier than the upstream says a connection is given up.
const REST_MARGIN: Duration = Duration::from_millis(700);

/// How many connections to an upstream rest at the most.
const MOST_RESTING: usize = 12;

/// A connection that can take one request at a time.
pub(super) struct Connection {
    pub(super) sender: SendRequest<Full<Bytes>>,
    /// How long it took to be made, if it was made just now.
    pub(super) made_in: Option<Duration>,
}

struct Resting {
    sender: SendRequest<Full<Bytes>>,
    until: Millis,
}

/// Connections that rest between requests.
///
/// For how long is counted by a clock that counts suspensions: upstreams close
/// what rested too long meanwhile, and what is sent on it then may be lost.
pub(super) struct Pool {
    clock: Clock,
    resting: RefCell<BTreeMap<UpstreamStart, Vec<Resting>>>,
}

impl Pool {
    /// Makes a pool without connections.
    pub(super) fn new(clock: Clock) -> Self {
        Self { clock, resting: RefCell::default() }
    }

    /// Takes a resting connection, or makes one.
    ///
    /// # Errors
    ///
    /// If none can be made: nothing was sent.
    pub(super) async fn take(
        &self,
        upstream: &UpstreamStart,
        address: SocketAddr,
    ) -> std::io::Result<Connection> {
        if let Some(sender) = self.take_resting(upstream) {
            return Ok(Connection { sender, made_in: None });
        }
        let (sender, made_in) = connect(address).await?;
        Ok(Connection { sender, made_in: Some(made_in) })
    }

    fn take_resting(
        &self,
        upstream: &UpstreamStart,
    ) -> Option<SendRequest<Full<Bytes>>> {
        let now = self.clock.now();
        let mut resting = self.resting.borrow_mut();
        let connections = resting.get_mut(upstream)?;
        connections.retain(|one| now < one.until && !one.sender.is_closed());
        let ready = connections.iter().rposition(|c| c.sender.is_ready())?;
        Some(connections.remove(ready).sender)
    }

    /// Tells whether a connection to an upstream rests.
    pub(super) fn has_resting(&self, upstream: &UpstreamStart) -> bool {
        let now = self.clock.now();
        let resting = self.resting.borrow();
        let connections = resting.get(upstream).map_or(&[][..], Vec::as_slice);
        connections
            .iter()
            .any(|one| now < one.until && !one.sender.is_closed())
    }

    /// Lets a connection rest whose answer was taken whole.
    pub(super) fn rest(
        &self,
        upstream: &UpstreamStart,
        sender: SendRequest<Full<Bytes>>,
        stated: Option<Duration>,
    ) {
        let rest =
            stated.map_or(REST, |stated| stated.saturating_sub(REST_MARGIN));
        if rest.is_zero() {
            return;
        }
        let until = self.clock.now() + Millis::from(rest).get();
        let mut resting = self.resting.borrow_mut();
        let connections = resting.entry(upstream.clone()).or_default();
        if connections.len() < MOST_RESTING {
            connections.push(Resting { sender, until });
        }
    }

    /// Closes what rested too long, and connections to starts of
    /// upstreams that are not `known`.
    pub(super) fn sweep(&self, known: impl Fn(&UpstreamStart) -> bool) {
        let now = self.clock.now();
        let mut resting = self.resting.borrow_mut();
        resting.retain(|id, connections| {
            connections
                .retain(|one| now < one.until && !one.sender.is_closed());
            known(id) && !connections.is_empty()
        });
    }
}

/// Connects, and says how long the upstream took to accept it.
async fn connect(
    address: SocketAddr,
) -> std::io::Result<(SendRequest<Full<Bytes>>, Duration)> {
    let began = Instant::now();
    let connecting = TcpStream::connect(address);
    let stream = tokio::time::timeout(CONNECT, connecting)
        .await
        .map_err(|_| std::io::Error::from(std::io::ErrorKind::TimedOut))??;
    let made_in = began.elapsed();
    stream.set_nodelay(true)?;
    let socket = SockRef::from(&stream);
    socket.set_tcp_user_timeout(Some(SILENCE))?;
    let probes = TcpKeepalive::new()
        .with_time(PROBE)
        .with_interval(PROBE)
        .with_retries(2);
    socket.set_tcp_keepalive(&probes)?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(std::io::Error::other)?;
    tokio::task::spawn_local(async move {
        // How a request on it ended is told by its answer.
        if let Err(error) = connection.await {
            log::debug!("a connection to an upstream ended: {error}");
        }
    });
    Ok((sender, made_in))
}
