//! One running instance.

use std::{net::SocketAddr, sync::Arc, thread::JoinHandle};

use hyper::server::conn::http1;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::{
    net::TcpListener,
    sync::{mpsc, oneshot, watch},
    task::LocalSet,
};
use valehold_core::chart::library;
use valehold_ports::{
    budget::BudgetedTable,
    http::{ClientSettings, HttpEngines, HttpPlatform, HttpServices},
};
use viz::{Responder, Tree};

use crate::{
    Error,
    control::{Channels, Control},
    metrics::Metrics,
    once::Claims,
    operators,
    peer::{Answerer, Link},
    settings::Settings,
    shared::{Ports, Shared},
    traffic::{self, App},
};

/// How many questions of peers may wait.
const QUESTIONS_WAITING: usize = 256;

/// Where an instance listens.
#[derive(Debug, Clone, Copy)]
pub struct Addresses {
    /// For callers.
    pub callers: SocketAddr,
    /// For operators.
    pub operators: SocketAddr,
    /// For other instances.
    pub peers: SocketAddr,
}

/// A running instance.
#[derive(Debug)]
pub struct Instance {
    addresses: Addresses,
    stop: watch::Sender<bool>,
    control: JoinHandle<()>,
    _traffic: tokio::runtime::Runtime,
}

impl Instance {
    /// Starts an instance on threads of its own.
    ///
    /// Addresses with port 0 get a free port; [`Instance::addresses`] tells
    /// which.
    ///
    /// # Errors
    ///
    /// If a chart does not hold, an address cannot be had, or the keys for
    /// other instances do not hold.
    pub fn start(settings: Settings) -> Result<Self, Error> {
        library::check_all().map_err(|e| Error::new("reading charts", e))?;
        let traffic = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(settings.callers.threads)
            .thread_name("traffic")
            .enable_all()
            .build()
            .map_err(|e| Error::new("starting traffic threads", e))?;
        let listener = traffic.block_on(bind(settings.callers.listen))?;
        let callers = local(&listener)?;
        let (stop, stopping) = watch::channel(false);
        let (finished, finishing) = watch::channel(false);
        let (started, starting) = oneshot::channel();
        let traffic_handle = traffic.handle().clone();
        let mut settings = settings;
        settings.callers.listen = callers;
        let control = std::thread::Builder::new()
            .name("control".to_owned())
            .spawn(move || {
                let parts = Parts {
                    settings,
                    listener,
                    stop: stopping,
                    finished,
                    finishing,
                };
                run_control(parts, &traffic_handle, started);
            })
            .map_err(|e| Error::new("starting the control thread", e))?;
        let (operators, peers) = starting
            .blocking_recv()
            .map_err(|e| Error::new("starting the control thread", e))??;
        let addresses = Addresses { callers, operators, peers };
        Ok(Self { addresses, stop, control, _traffic: traffic })
    }

    /// Returns where it listens.
    pub fn addresses(&self) -> Addresses {
        self.addresses
    }

    /// Asks it to stop; it finishes what it has first.
    pub fn stop(&self) {
        self.stop.send_replace(true);
    }

    /// Waits until it has stopped.
    ///
    /// # Errors
    ///
    /// If its control thread panicked.
    pub fn join(self) -> Result<(), Error> {
        self.control
            .join()
            .map_err(|_| Error::new("running", "the control thread panicked"))
    }
}

/// What the control thread is started with.
struct Parts {
    settings: Settings,
    listener: TcpListener,
    stop: watch::Receiver<bool>,
    finished: watch::Sender<bool>,
    finishing: watch::Receiver<bool>,
}

type Started = oneshot::Sender<Result<(SocketAddr, SocketAddr), Error>>;

fn run_control(
    parts: Parts,
    traffic: &tokio::runtime::Handle,
    started: Started,
) {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = match runtime {
        Ok(runtime) => runtime,
        Err(error) => {
            let error = Error::new("starting the control runtime", error);
            let _ = started.send(Err(error));
            return;
        }
    };
    let local = LocalSet::new();
    local.block_on(&runtime, async move {
        match set_up(parts, traffic).await {
            Ok((control, channels, addresses)) => {
                let _ = started.send(Ok(addresses));
                control.run(channels).await;
            }
            Err(error) => {
                let _ = started.send(Err(error));
            }
        }
    });
}

async fn set_up(
    parts: Parts,
    traffic: &tokio::runtime::Handle,
) -> Result<(Control, Channels, (SocketAddr, SocketAddr)), Error> {
    let settings = parts.settings;
    let ports = ports(&settings);
    let (answerers, asked) = mpsc::channel::<Answerer>(QUESTIONS_WAITING);
    let link = Link::open(&settings.peers, answerers)?;
    let peers = link.address()?;
    let (operators, operators_at) = bind_std(settings.operators.listen)?;
    let metrics = Metrics::try_new()?;
    let (shared, reports) = Shared::new(settings, ports, metrics);
    // On the traffic threads: a plan takes longer than control may stand.
    traffic.spawn(serve_operators(shared.clone(), operators));
    let control = Control::new(shared.clone(), link);
    // Entered so that the task of the claims runs on the traffic threads.
    let claims = {
        let _entered = traffic.enter();
        Claims::start(shared.store.clone())
    };
    let app = Arc::new(App::new(shared, claims));
    traffic.spawn(async move {
        traffic::serve(app, parts.listener, parts.finished).await;
    });
    let channels = Channels {
        reports,
        asked,
        stop: parts.stop,
        finished: parts.finishing,
    };
    Ok((control, channels, (operators_at, peers)))
}

/// Makes the ports over HTTP.
fn ports(settings: &Settings) -> Ports {
    let client = ClientSettings::default();
    let platform =
        Arc::new(HttpPlatform::new(settings.platform.address, client));
    let table = BudgetedTable::new(
        platform.clone(),
        settings.platform.reads_per_second,
        settings.platform.writes_per_second,
    );
    Ports {
        table: Arc::new(table),
        objects: platform.clone(),
        list: platform,
        engines: Arc::new(HttpEngines::new(client)),
        services: Arc::new(HttpServices::new(client)),
    }
}

async fn bind(address: SocketAddr) -> Result<TcpListener, Error> {
    TcpListener::bind(address)
        .await
        .map_err(|e| Error::new(&format!("listening on {address}"), e))
}

/// Binds an address for a runtime other than the current one.
fn bind_std(
    address: SocketAddr,
) -> Result<(std::net::TcpListener, SocketAddr), Error> {
    let bind = || {
        let listener = std::net::TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        let bound = listener.local_addr()?;
        Ok::<_, std::io::Error>((listener, bound))
    };
    bind().map_err(|e| Error::new(&format!("listening on {address}"), e))
}

fn local(listener: &TcpListener) -> Result<SocketAddr, Error> {
    listener.local_addr().map_err(|e| Error::new("reading an address", e))
}

async fn serve_operators(
    shared: Arc<Shared>,
    listener: std::net::TcpListener,
) {
    let tree = Arc::new(Tree::from(operators::router(&shared)));
    let listener = match TcpListener::from_std(listener) {
        Ok(listener) => listener,
        Err(error) => {
            log::error!("operators cannot be served: {error}");
            return;
        }
    };
    loop {
        let Ok((stream, from)) = listener.accept().await else { continue };
        let responder = Responder::new(tree.clone(), Some(Arc::new(from)));
        tokio::spawn(async move {
            let connection = http1::Builder::new()
                .timer(TokioTimer::new())
                .serve_connection(TokioIo::new(stream), responder);
            if let Err(error) = connection.await {
                log::debug!("an operator's connection ended: {error}");
            }
        });
    }
}
