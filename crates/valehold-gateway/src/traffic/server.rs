//! Accepts connections, and shuts down without cutting off a request.

use std::{cell::Cell, convert::Infallible, rc::Rc, time::Duration};

use hyper::{server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
    time::Instant,
};

use super::{
    App,
    connection::{self, is_finishing},
    dispatch::Listener,
    links,
    stop::StopTimes,
    tunnel,
};
use crate::{silence, view::Life};

/// How long another gateway may take to ask for a tunnel over its connection.
const TUNNEL_HEAD_TIMEOUT: Duration = Duration::from_secs(15);

/// How often expired state, such as idle connections to upstreams, is pruned.
const PRUNE_INTERVAL: Duration = Duration::from_secs(1);

/// The least time that requests under way have to be refused, in ms, also if
/// the time of the stop is over after a suspension: they look for their end
/// four times a second.
const MIN_FINISH_MS: u64 = 300;

/// For how long a listener accepts connections that were made before it is
/// closed: each one is reset then, with the request on it.
const MAX_BACKLOG_TIME: Duration = Duration::from_millis(300);

/// The time without a new connection after which none is left.
const BACKLOG_QUIET: Duration = Duration::from_millis(20);

/// The listening sockets of a gateway.
pub struct Listeners {
    /// For callers' requests.
    pub requests: TcpListener,
    /// For the platform's readiness checks.
    pub ready: TcpListener,
    /// For callers' requests for gateway addresses.
    pub addresses: TcpListener,
    /// For metrics.
    pub metrics: Option<TcpListener>,
    /// For the tunnels of other gateways.
    pub tunnels: Option<TcpListener>,
}

/// The interval at which a stop polls for open connections, and the pause
/// after a failed accept.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Counts open connections.
#[derive(Debug, Clone, Default)]
struct OpenConnections(Rc<Cell<usize>>);

impl OpenConnections {
    fn enter(&self) -> OpenGuard {
        self.0.set(self.0.get() + 1);
        OpenGuard(self.clone())
    }
}

/// Counts one connection as open until dropped.
struct OpenGuard(OpenConnections);

impl Drop for OpenGuard {
    fn drop(&mut self) {
        let open = &self.0.0;
        open.set(open.get() - 1);
    }
}

/// Accepts the connections of one listener.
#[derive(Clone)]
struct ConnectionAcceptor {
    app: Rc<App>,
    open: OpenConnections,
    life: watch::Receiver<Life>,
}

/// Serves until this gateway has stopped.
pub async fn serve(app: App, listeners: Listeners) {
    let app = Rc::new(app);
    let life = app.shared.watch_life();
    let acceptor = ConnectionAcceptor {
        app: app.clone(),
        open: OpenConnections::default(),
        life,
    };
    tokio::task::spawn_local(prune_periodically(app.clone()));
    tokio::task::spawn_local(links::probe_periodically(app));
    let others = [
        (Some(listeners.ready), Listener::Own),
        (Some(listeners.addresses), Listener::Own),
        (listeners.metrics, Listener::Metrics),
        (listeners.tunnels, Listener::Tunnels),
    ];
    for (socket, kind) in others {
        if let Some(socket) = socket {
            tokio::task::spawn_local(acceptor.clone().accept(socket, kind));
        }
    }
    let accepting =
        acceptor.clone().accept(listeners.requests, Listener::Requests);
    let requests = tokio::task::spawn_local(accepting);
    acceptor.finish(requests).await;
}

impl ConnectionAcceptor {
    /// Waits for a stop, keeps accepting requests from callers that still use
    /// this address, then waits until open connections are closed.
    async fn finish(mut self, requests: tokio::task::JoinHandle<()>) {
        // An error means that control has ended, which is also a reason to
        // stop.
        let _ = self.life.wait_for(|life| *life == Life::Leaving).await;
        // The platform ends the process when the time for a stop is over. That
        // time includes suspensions of the machine, so this clock does too.
        let shared = &self.app.shared;
        let clock = shared.clock;
        let times = StopTimes::new(clock.now(), &shared.settings.callers);
        self.app.end_requests_at(times.requests_end);
        let pending = std::future::pending::<()>();
        clock.wait_until(times.accepts_until, pending).await;
        shared.set_life(Life::Finishing);
        let _ = requests.await;
        let end = times.end.max(clock.now() + MIN_FINISH_MS);
        while self.open.0.get() > 0 && clock.now() < end {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    async fn accept(mut self, socket: TcpListener, listener: Listener) {
        loop {
            let accepted = tokio::select! {
                accepted = socket.accept() => accepted,
                _ = self.life.wait_for(is_finishing) => break,
            };
            match accepted {
                Ok((stream, _)) => self.serve(stream, listener),
                Err(error) => {
                    log::warn!("accepting a connection failed: {error}");
                    tokio::time::sleep(POLL_INTERVAL).await;
                }
            }
        }
        self.accept_backlog(&socket, listener).await;
    }

    /// Accepts the connections that were made before the listener is closed.
    async fn accept_backlog(&self, socket: &TcpListener, listener: Listener) {
        let began = Instant::now();
        while began.elapsed() < MAX_BACKLOG_TIME {
            let accepting = socket.accept();
            match tokio::time::timeout(BACKLOG_QUIET, accepting).await {
                Ok(Ok((stream, _))) => self.serve(stream, listener),
                Ok(Err(error)) => {
                    log::warn!("accepting a connection failed: {error}");
                    return;
                }
                Err(_) => return,
            }
        }
    }

    fn serve(&self, stream: TcpStream, listener: Listener) {
        // Sends each event of a stream without delay (no Nagle batching).
        let _ = stream.set_nodelay(true);
        if listener == Listener::Tunnels {
            silence::limit_gateway(&stream);
            self.serve_tunnel(TokioIo::new(stream));
            return;
        }
        silence::limit_caller(&stream);
        let (app, life) = (self.app.clone(), self.life.clone());
        let open = self.open.enter();
        tokio::task::spawn_local(async move {
            connection::serve(app, listener, stream, life).await;
            drop(open);
        });
    }

    /// Serves a connection over which another gateway asks for a tunnel. The
    /// tunnel counts as an open connection until its end.
    fn serve_tunnel(&self, stream: TokioIo<TcpStream>) {
        let (app, open) = (self.app.clone(), self.open.clone());
        let service = service_fn(move |request| {
            let (app, guard) = (app.clone(), open.enter());
            async move {
                Ok::<_, Infallible>(tunnel::answer(app, request, guard).await)
            }
        });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(TUNNEL_HEAD_TIMEOUT)
            .serve_connection(stream, service)
            .with_upgrades();
        tokio::task::spawn_local(async move {
            if let Err(error) = connection.await {
                log::debug!("a tunnel's connection failed: {error}");
            }
        });
    }
}

async fn prune_periodically(app: Rc<App>) {
    loop {
        tokio::time::sleep(PRUNE_INTERVAL).await;
        app.prune();
    }
}
