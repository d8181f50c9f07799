//! What the control thread and the traffic threads have in common.

use std::sync::{
    Arc, Mutex, MutexGuard, PoisonError,
    atomic::{AtomicU32, Ordering},
};

use arc_swap::ArcSwap;
use tokio::sync::{mpsc, watch};
use valehold_core::{
    chart::library::{self, InstanceState},
    explain::{Record, Records},
    id::{Artifact, UpstreamId},
    prefix::PrefixHints,
};
use valehold_ports::{
    port::{Engines, InstanceList, Objects, Services, Table},
    store::Store,
};

use crate::{Clock, metrics::Metrics, settings::Settings, snapshot::Snapshot};

/// For how long a hint about an engine's prefix cache is kept.
const KEEP_HINTS_MS: u64 = 300_000;

/// How many hints are kept.
const MAX_HINTS: usize = 65_536;

/// How many reports may wait for the control thread.
pub const REPORT_CHANNEL: usize = 8_192;

/// The outside, through its ports.
#[derive(Clone)]
pub struct Ports {
    /// The platform's table.
    pub table: Arc<dyn Table>,
    /// The platform's object store.
    pub objects: Arc<dyn Objects>,
    /// The platform's instance list.
    pub list: Arc<dyn InstanceList>,
    /// Model engines.
    pub engines: Arc<dyn Engines>,
    /// Plain services.
    pub services: Arc<dyn Services>,
}

/// What traffic tells control.
#[derive(Debug)]
pub enum Report {
    /// A request for an artifact arrived.
    Arrived {
        /// The artifact.
        artifact: Artifact,
        /// The length of its prompt.
        prompt_tokens: u64,
    },
    /// An engine worked on a request for so long.
    Served {
        /// The artifact.
        artifact: Artifact,
        /// For how long it kept a slot, in seconds.
        service_s: f64,
        /// How many tokens of its prompt were not cached.
        read_tokens: u64,
    },
    /// A request to an upstream succeeded.
    Succeeded(UpstreamId),
    /// A request to an upstream failed.
    Failed(UpstreamId),
    /// Everything that was decided about a request.
    Decided(Box<Record>),
}

/// What all parts of an instance share.
pub struct Shared {
    /// The settings.
    pub settings: Settings,
    /// The clock.
    pub clock: Clock,
    /// The outside.
    pub ports: Ports,
    /// The table, with writes whose outcome is certain.
    pub store: Store,
    /// The instruments.
    pub metrics: Metrics,
    /// The newest snapshot.
    pub snapshot: ArcSwap<Snapshot>,
    /// The newest decisions; written by the control thread.
    records: Mutex<Records>,
    /// Which engine is likely to have which prompt's beginning.
    hints: Mutex<PrefixHints>,
    in_flight: AtomicU32,
    reports: mpsc::Sender<Report>,
    life: watch::Sender<InstanceState>,
}

impl Shared {
    /// Makes the shared part, and the end at which control takes reports.
    pub fn new(
        settings: Settings,
        ports: Ports,
        metrics: Metrics,
    ) -> (Arc<Self>, mpsc::Receiver<Report>) {
        let (reports, taken) = mpsc::channel(REPORT_CHANNEL);
        let starting = library::instance_life().initial();
        let owner = settings.instance.clone();
        let store = Store::new(ports.table.clone(), owner);
        let records = Records::new(settings.operators.records);
        let shared = Self {
            clock: Clock::new(),
            store,
            metrics,
            snapshot: ArcSwap::from_pointee(Snapshot::empty(starting)),
            records: Mutex::new(records),
            hints: Mutex::new(PrefixHints::new(KEEP_HINTS_MS, MAX_HINTS)),
            in_flight: AtomicU32::new(0),
            reports,
            life: watch::Sender::new(starting),
            settings,
            ports,
        };
        (Arc::new(shared), taken)
    }

    /// Tells control something, unless too much waits for it already.
    ///
    /// What is dropped is counted. Nothing that a promise rests on goes this
    /// way.
    pub fn report(&self, report: Report) {
        if self.reports.try_send(report).is_err() {
            self.metrics.dropped_report();
        }
    }

    /// Returns the newest decisions, locked.
    pub fn records(&self) -> MutexGuard<'_, Records> {
        // Every change of the records is one push, so they stay whole.
        self.records.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the hints about prefix caches, locked.
    pub fn hints(&self) -> MutexGuard<'_, PrefixHints> {
        // A panic between two changes leaves hints that are still only hints.
        self.hints.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts a request in.
    pub fn request_began(&self) {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a request out.
    pub fn request_ended(&self) {
        self.in_flight.fetch_sub(1, Ordering::Relaxed);
    }

    /// Returns how many requests this instance is working on.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Publishes this instance's life; control alone calls it.
    pub fn set_life(&self, life: InstanceState) {
        self.life.send_replace(life);
    }

    /// Follows this instance's life.
    pub fn life(&self) -> watch::Receiver<InstanceState> {
        self.life.subscribe()
    }
}
