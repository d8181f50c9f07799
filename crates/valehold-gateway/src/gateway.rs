//! The start, the threads and the stop of a gateway.

use std::{
    net::SocketAddr,
    sync::{Arc, mpsc as std_mpsc},
    thread::JoinHandle,
};

use tokio::{
    net::{TcpListener, UdpSocket},
    sync::watch,
    task::LocalSet,
};
use valehold_core::chart::library;
use valehold_ports::port::fleet::{
    Dialect, FleetEngines, FleetStore, UpstreamConnector,
};

use crate::{
    clock::Clock,
    control::{Control, Parts},
    error::Error,
    metrics::Metrics,
    peers::PeerLink,
    settings::Settings,
    shared::{ControlReceivers, Shared},
    traffic::{self, App},
};

/// The ports through which a gateway reaches the outside.
#[derive(Clone)]
pub struct Ports {
    /// The platform's store.
    pub store: Arc<dyn FleetStore>,
    /// The model engines.
    pub engines: Arc<dyn FleetEngines>,
    /// The format of requests and answers.
    pub dialect: Arc<dyn Dialect>,
    /// The network over which callers' requests reach upstreams.
    pub connector: Arc<dyn UpstreamConnector>,
    /// The link to the other gateways.
    pub peers: PeerLink,
}

/// A running gateway.
#[derive(Debug)]
pub struct Gateway {
    stop: watch::Sender<bool>,
    seeds: watch::Sender<Vec<SocketAddr>>,
    traffic: JoinHandle<()>,
}

impl Gateway {
    /// Starts a gateway with a control thread and a traffic thread.
    ///
    /// # Errors
    ///
    /// If a state chart is invalid or an address cannot be bound.
    pub fn start(settings: Settings, ports: Ports) -> Result<Self, Error> {
        Self::start_with(settings, ports, Clock::new())
    }

    /// Starts a gateway with the given clock.
    ///
    /// # Errors
    ///
    /// As [`Gateway::start`].
    pub fn start_with(
        settings: Settings,
        ports: Ports,
        clock: Clock,
    ) -> Result<Self, Error> {
        library::check_all().map_err(|e| Error::new("reading charts", e))?;
        let metrics = Metrics::try_new()?;
        let (shared, receivers) = Shared::new(settings, metrics, clock);
        let (stop, stopping) = watch::channel(false);
        let (seeds, new_seeds) = watch::channel(Vec::new());
        let control = ControlThread {
            shared: shared.clone(),
            ports: ports.clone(),
            receivers,
            stop: stopping,
            seeds: new_seeds,
        };
        let instance = control.shared.settings.instance.clone();
        let (started, starting) = std_mpsc::channel();
        let name = format!("control {instance}");
        spawn(name, move || control.run(started))?;
        wait_for_start(starting)?;
        let (started, starting) = std_mpsc::channel();
        let app = (shared, ports.dialect, ports.connector);
        let name = format!("traffic {instance}");
        let traffic = spawn(name, move || {
            let (shared, dialect, connector) = app;
            run_traffic(shared, dialect, connector, started);
        })?;
        wait_for_start(starting)?;
        Ok(Self { stop, seeds, traffic })
    }

    /// Requests an orderly shutdown: the gateway finishes requests in flight
    /// before it stops.
    pub fn stop(&self) {
        self.stop.send_replace(true);
    }

    /// Replaces the state addresses of other gateways.
    pub fn set_seeds(&self, seeds: Vec<SocketAddr>) {
        self.seeds.send_replace(seeds);
    }

    /// Waits until the gateway has stopped.
    ///
    /// # Errors
    ///
    /// If the traffic thread panicked.
    pub fn join(self) -> Result<(), Error> {
        self.traffic
            .join()
            .map_err(|_| Error::new("running", "the traffic thread panicked"))
    }
}

type StartSender = std_mpsc::Sender<Result<(), Error>>;

/// Waits until a thread has started, and returns its error if it has failed.
fn wait_for_start(
    starting: std_mpsc::Receiver<Result<(), Error>>,
) -> Result<(), Error> {
    starting.recv().map_err(|e| Error::new("starting", e))?
}

fn spawn(
    name: String,
    run: impl FnOnce() + Send + 'static,
) -> Result<JoinHandle<()>, Error> {
    std::thread::Builder::new()
        .name(name)
        .spawn(run)
        .map_err(|e| Error::new("starting a thread", e))
}

/// Runs a task to completion on a single-threaded runtime.
fn block_on<F: Future<Output = ()>>(
    task: impl FnOnce() -> F,
) -> Result<(), Error> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|e| Error::new("starting a runtime", e))?;
    let local = LocalSet::new();
    local.block_on(&runtime, task());
    Ok(())
}

/// The arguments of the control thread.
struct ControlThread {
    shared: Arc<Shared>,
    ports: Ports,
    receivers: ControlReceivers,
    stop: watch::Receiver<bool>,
    seeds: watch::Receiver<Vec<SocketAddr>>,
}

impl ControlThread {
    fn run(self, started: StartSender) {
        let run = || async move {
            let peers = &self.shared.settings.peers;
            let bound = async {
                let heartbeats = UdpSocket::bind(peers.heartbeats)
                    .await
                    .map_err(|e| bind_error(peers.heartbeats, e))?;
                Ok::<_, Error>((heartbeats, bind(peers.state).await?))
            };
            let (heartbeats, state) = match bound.await {
                Ok(bound) => bound,
                Err(error) => {
                    let _ = started.send(Err(error));
                    return;
                }
            };
            let _ = started.send(Ok(()));
            Control::run(Parts {
                shared: self.shared,
                store: self.ports.store,
                engines: self.ports.engines,
                heartbeats,
                link: self.ports.peers,
                state,
                wishes: self.receivers,
                stop: self.stop,
                seeds: self.seeds,
            })
            .await;
        };
        if let Err(error) = block_on(run) {
            log::error!("{error}");
        }
    }
}

fn run_traffic(
    shared: Arc<Shared>,
    dialect: Arc<dyn Dialect>,
    connector: Arc<dyn UpstreamConnector>,
    started: StartSender,
) {
    let run = || async move {
        let listeners = match bind_listeners(&shared.settings).await {
            Ok(listeners) => listeners,
            Err(error) => {
                let _ = started.send(Err(error));
                return;
            }
        };
        let _ = started.send(Ok(()));
        let app = App::new(shared, dialect, connector);
        traffic::serve(app, listeners).await;
    };
    if let Err(error) = block_on(run) {
        log::error!("{error}");
    }
}

async fn bind_listeners(
    settings: &Settings,
) -> Result<traffic::Listeners, Error> {
    let callers = &settings.callers;
    let metrics = match callers.metrics {
        Some(address) => Some(bind(address).await?),
        None => None,
    };
    let tunnels = match settings.peers.tunnels {
        Some(address) => Some(bind(address).await?),
        None => None,
    };
    Ok(traffic::Listeners {
        tunnels,
        requests: bind(callers.requests).await?,
        ready: bind(callers.ready).await?,
        addresses: bind(callers.addresses).await?,
        metrics,
    })
}

async fn bind(address: SocketAddr) -> Result<TcpListener, Error> {
    TcpListener::bind(address).await.map_err(|e| bind_error(address, e))
}

fn bind_error(address: SocketAddr, error: std::io::Error) -> Error {
    Error::new(&format!("listening on {address}"), error)
}
