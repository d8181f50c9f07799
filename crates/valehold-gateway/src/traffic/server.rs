//! Taking connections, and closing them without cutting a request.

use std::{cell::Cell, rc::Rc, time::Duration};

use hyper::{server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
};

use valehold_core::Millis;

use super::{App, face, face::Door};
use crate::view::Life;

/// How long a connection may rest while no configuration says so.
const REST: Duration = Duration::from_secs(15);

/// How often resting connections to upstreams are looked through.
const SWEEP: Duration = Duration::from_secs(1);

/// For how many times as long as they are told some callers keep an address.
const KEEPS: u32 = 3;

/// How much sooner than that no more requests are taken, so that the last
/// ones have the time that a stop allows.
const LINGER_LESS: Duration = Duration::from_millis(100);

/// The greatest part of the time for a stop in which requests are taken.
const MOST_LINGER_PART: f64 = 0.6;

/// The part of the time for a stop after which nothing is waited for.
const STOP_PART: f64 = 0.93;

/// The doors of a gateway.
pub struct Doors {
    /// For callers' requests.
    pub requests: TcpListener,
    /// For the platform's question whether it is ready.
    pub ready: TcpListener,
    /// For callers who ask for addresses.
    pub addresses: TcpListener,
    /// For metrics.
    pub metrics: Option<TcpListener>,
}

/// How often it is looked whether all connections are closed.
const LOOK_EVERY: Duration = Duration::from_millis(20);

/// Counts the connections that are open.
#[derive(Debug, Clone, Default)]
struct Open(Rc<Cell<usize>>);

impl Open {
    fn enter(&self) -> OpenGuard {
        self.0.set(self.0.get() + 1);
        OpenGuard(self.clone())
    }
}

/// One open connection.
struct OpenGuard(Open);

impl Drop for OpenGuard {
    fn drop(&mut self) {
        let open = &self.0.0;
        open.set(open.get() - 1);
    }
}

/// What a door needs.
#[derive(Clone)]
struct Doorkeeper {
    app: Rc<App>,
    open: Open,
    life: watch::Receiver<Life>,
}

/// Serves until this gateway has stopped.
pub async fn serve(app: App, doors: Doors) {
    let app = Rc::new(app);
    let life = app.shared.watch_life();
    let keeper = Doorkeeper { app: app.clone(), open: Open::default(), life };
    tokio::task::spawn_local(sweep(app));
    let others = [
        (Some(doors.ready), Door::Own),
        (Some(doors.addresses), Door::Own),
        (doors.metrics, Door::Metrics),
    ];
    for (listener, door) in others {
        if let Some(listener) = listener {
            tokio::task::spawn_local(keeper.clone().accept(listener, door));
        }
    }
    let taking = keeper.clone().accept(doors.requests, Door::Requests);
    let requests = tokio::task::spawn_local(taking);
    keeper.finish(requests).await;
}

impl Doorkeeper {
    /// Waits for a stop, serves who still comes, and closes.
    async fn finish(mut self, requests: tokio::task::JoinHandle<()>) {
        // An error means that control has ended: a reason to stop as well.
        let _ = self.life.wait_for(|life| *life == Life::Leaving).await;
        // The platform ends the process when the time for a stop is over, and
        // counts the time for which the machine was suspended.
        let shared = &self.app.shared;
        let (clock, began) = (shared.clock, shared.clock.now());
        let callers = &shared.settings.callers;
        let stop = Duration::from_secs_f64(callers.stop_s);
        let keep = Duration::from_secs(callers.address_keep_s);
        let linger = (keep * KEEPS)
            .saturating_sub(LINGER_LESS)
            .min(stop.mul_f64(MOST_LINGER_PART));
        let lingers_until = began + Millis::from(linger).get();
        let pending = std::future::pending::<()>();
        clock.wait_until(lingers_until, pending).await;
        shared.set_life(Life::Finishing);
        let _ = requests.await;
        let end = began + Millis::from(stop.mul_f64(STOP_PART)).get();
        while self.open.0.get() > 0 && clock.now() < end {
            tokio::time::sleep(LOOK_EVERY).await;
        }
    }

    async fn accept(mut self, listener: TcpListener, door: Door) {
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                _ = self.life.wait_for(is_finishing) => return,
            };
            match accepted {
                Ok((stream, _)) => self.take(stream, door),
                Err(error) => {
                    log::warn!("a connection was not taken: {error}");
                    tokio::time::sleep(LOOK_EVERY).await;
                }
            }
        }
    }

    fn take(&self, stream: TcpStream, door: Door) {
        // Events are passed on as they come.
        let _ = stream.set_nodelay(true);
        let handling = self.app.clone();
        let service = service_fn(move |request| {
            face::answer(handling.clone(), door, request)
        });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(self.rest())
            .serve_connection(TokioIo::new(stream), service);
        let open = self.open.enter();
        let mut life = self.life.clone();
        tokio::task::spawn_local(async move {
            let mut connection = std::pin::pin!(connection);
            let ended = tokio::select! {
                ended = connection.as_mut() => ended,
                _ = life.wait_for(is_finishing) => {
                    connection.as_mut().graceful_shutdown();
                    connection.await
                }
            };
            if let Err(error) = ended {
                log::debug!("a caller's connection ended: {error}");
            }
            drop(open);
        });
    }

    /// Returns how long a connection may rest, or take to send a head.
    fn rest(&self) -> Duration {
        let view = self.app.shared.view.load();
        let limits = view.catalog.as_ref().map(|catalog| catalog.limits);
        limits.map_or(REST, |limits| {
            let longest = limits
                .keep_alive_timeout_ms
                .max(limits.header_read_timeout_ms);
            Duration::from_millis(longest)
        })
    }
}

fn is_finishing(life: &Life) -> bool {
    *life == Life::Finishing
}

async fn sweep(app: Rc<App>) {
    loop {
        tokio::time::sleep(SWEEP).await;
        app.sweep();
    }
}
