//! The control thread: it owns all control state.
//!
//! [`Control`] takes one input after the other, changes its state, starts
//! whatever has to be read or written, and publishes a snapshot. What it
//! starts never blocks it: results come back as further inputs.

mod cell;
mod config;
mod peers;
mod publish;
mod upstreams;

use std::{future::Future, sync::Arc, time::Duration};

use tokio::sync::{mpsc, watch};
use valehold_core::{
    Millis,
    chart::library::{self, InstanceEvent, InstanceState},
    config::{Head, Revision},
    demand::Estimator,
    id::UpstreamId,
};
use valehold_ports::{
    PortError,
    port::{CacheEvents, CommitOutcome, EngineStatus, Listed, Row},
};

use self::{
    cell::{Cell, LeaseWrite, Recording},
    config::ConfigWatch,
    peers::Peers,
    upstreams::Upstreams,
};
use crate::{
    Error,
    peer::{Answerer, Link, Reply},
    shared::{Report, Shared},
};

/// How often time passes for the control state, and a snapshot is published.
const TICK: Duration = Duration::from_millis(100);

/// How many inputs are taken in one go.
const INPUTS_AT_ONCE: usize = 256;

/// Something that the control state takes in.
pub(crate) enum Input {
    /// The head of the configuration was read.
    Head(Result<Option<Head>, PortError>),
    /// A revision was read from the store or came from a peer.
    Revision(Option<Box<Revision>>),
    /// The platform's list was read.
    List(Result<Vec<Listed>, PortError>),
    /// An engine answered.
    Status {
        /// The engine.
        engine: UpstreamId,
        /// When it was asked.
        asked: Millis,
        /// What it said.
        result: Result<EngineStatus, PortError>,
    },
    /// An engine's cache events were read.
    CacheEvents {
        /// The engine.
        engine: UpstreamId,
        /// The events.
        result: Result<CacheEvents, PortError>,
    },
    /// A process of a plain service said whether it leaves.
    Health {
        /// The process.
        upstream: UpstreamId,
        /// What it said.
        result: Result<bool, PortError>,
    },
    /// A peer answered a heartbeat.
    Peer {
        /// When it was asked.
        asked: Millis,
        /// What it said.
        result: Result<Reply, Error>,
    },
    /// The lease's row was read.
    LeaseRead(Result<Option<Row>, PortError>),
    /// The lease's row was written.
    LeaseWritten(LeaseWrite, Result<CommitOutcome, PortError>),
    /// The orders of the cell were read after the lease was taken.
    OrdersRead(u64, Result<Vec<Row>, PortError>),
    /// Orders were recorded.
    Recorded(Recording, Result<CommitOutcome, PortError>),
    /// An order was sent, whatever became of it.
    Sent(UpstreamId, Result<(), PortError>),
    /// Old claims were looked for.
    Swept,
}

/// What parts of the control state need to start reads and writes.
pub(crate) struct Context {
    pub(crate) shared: Arc<Shared>,
    inputs: mpsc::UnboundedSender<Input>,
}

impl Context {
    /// Starts something whose result is an input.
    pub(crate) fn start<F>(&self, work: F)
    where
        F: Future<Output = Input> + 'static,
    {
        let inputs = self.inputs.clone();
        tokio::task::spawn_local(async move {
            // The receiver is gone only when control has ended.
            let _ = inputs.send(work.await);
        });
    }

    pub(crate) fn now(&self) -> Millis {
        self.shared.clock.now()
    }
}

/// The channels on which control takes what comes from outside its thread.
pub struct Channels {
    /// Reports from traffic.
    pub reports: mpsc::Receiver<Report>,
    /// Questions from peers.
    pub asked: mpsc::Receiver<Answerer>,
    /// Becomes true when this instance is to stop.
    pub stop: watch::Receiver<bool>,
    /// Becomes true when traffic has finished its last request.
    pub finished: watch::Receiver<bool>,
}

/// The control state of one instance.
pub struct Control {
    context: Context,
    taken: mpsc::UnboundedReceiver<Input>,
    life: InstanceState,
    drain_from: Option<Millis>,
    config: ConfigWatch,
    upstreams: Upstreams,
    peers: Peers,
    cell: Cell,
    estimator: Estimator,
    store_read: Option<Millis>,
}

impl Control {
    /// Makes the control state of an instance that starts.
    pub fn new(shared: Arc<Shared>, link: Link) -> Self {
        let (inputs, taken) = mpsc::unbounded_channel();
        let context = Context { shared: shared.clone(), inputs };
        let now = context.now();
        Self {
            taken,
            life: library::instance_life().initial(),
            drain_from: None,
            config: ConfigWatch::new(),
            upstreams: Upstreams::new(&shared.settings),
            peers: Peers::new(link),
            cell: Cell::new(&shared.settings),
            estimator: Estimator::new(shared.settings.demand, now),
            store_read: None,
            context,
        }
    }

    /// Runs until the instance has stopped. Needs a `LocalSet`.
    pub async fn run(mut self, mut channels: Channels) {
        let mut ticks = tokio::time::interval(TICK);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        while self.life != InstanceState::Stopped {
            tokio::select! {
                _ = ticks.tick() => {
                    let began = std::time::Instant::now();
                    self.tick();
                    let busy = began.elapsed().as_secs_f64();
                    self.context.shared.metrics.control_busy(busy);
                }
                Some(input) = self.taken.recv() => self.take_all(input),
                Some(report) = channels.reports.recv() => {
                    self.take_report(report);
                    self.take_reports(&mut channels.reports);
                }
                Some(question) = channels.asked.recv() => self.answer(question),
                Ok(()) = channels.stop.changed() => self.stop(),
                Ok(()) = channels.finished.changed() => {
                    self.live(InstanceEvent::AllFinished);
                }
            }
        }
    }

    fn tick(&mut self) {
        let now = self.context.now();
        self.estimator.close_window_if_due(now);
        self.config.tick(&self.context, now);
        self.upstreams.tick(&self.context, now);
        self.send_due_heartbeats(now);
        self.tick_cell(now);
        self.grant_own();
        self.tick_drain(now);
        self.publish();
    }

    fn tick_cell(&mut self, now: Millis) {
        if matches!(
            self.life,
            InstanceState::Starting | InstanceState::Serving
        ) {
            let (peers, estimator) = (&self.peers, &self.estimator);
            let demand = || peers.total_demand(estimator.demand(), now);
            self.cell.tick(
                &self.context,
                now,
                self.config.current(),
                &self.upstreams,
                demand,
            );
        }
    }

    fn tick_drain(&mut self, now: Millis) {
        let Some(from) = self.drain_from else { return };
        let keep_s = self.context.shared.settings.callers.address_keep_s;
        if now.since(from) >= keep_s.saturating_mul(1_000) {
            self.live(InstanceEvent::AddressesExpired);
        }
    }

    fn take_all(&mut self, first: Input) {
        let began = std::time::Instant::now();
        self.take(first);
        for _ in 0..INPUTS_AT_ONCE {
            let Ok(input) = self.taken.try_recv() else { break };
            self.take(input);
        }
        let busy = began.elapsed().as_secs_f64();
        self.context.shared.metrics.control_busy(busy);
    }

    fn take(&mut self, input: Input) {
        let now = self.context.now();
        match input {
            Input::Head(head) => {
                if head.is_ok() {
                    self.store_read = Some(now);
                }
                self.config.head_read(&self.context, head);
            }
            Input::Revision(revision) => {
                if self.config.revision_read(revision) {
                    self.configured(now);
                }
            }
            Input::List(list) => {
                let own = &self.context.shared.settings.instance;
                if let Ok(list) = &list {
                    self.peers.listed(list, own);
                }
                self.upstreams.list_read(list);
            }
            Input::Status { engine, asked, result } => {
                if let Ok(status) = &result {
                    self.cell.observe(&engine, &status.residency, asked);
                }
                let resident =
                    self.upstreams.status_read(&engine, asked, result, now);
                if let Some(count) = resident {
                    let metrics = &self.context.shared.metrics;
                    metrics.engine_resident(engine.as_str(), count);
                }
            }
            Input::CacheEvents { engine, result } => {
                let news = self.upstreams.cache_events_read(&engine, result);
                let mut hints = self.context.shared.hints();
                if news.gap {
                    hints.forget(&engine);
                }
                hints.note(&engine, &news.stored, now);
            }
            Input::Health { upstream, result } => {
                self.upstreams.health_read(&upstream, &result, now);
            }
            Input::Peer { asked, result } => {
                let newest = self.peers.reply_received(asked, result, now);
                self.config.peer_has(&self.context, newest);
            }
            Input::LeaseRead(row) => self.cell.lease_read(row, now),
            Input::LeaseWritten(write, result) => {
                self.cell.lease_written(&self.context, write, result, now);
            }
            Input::OrdersRead(epoch, rows) => {
                let config = self.config.current();
                self.cell.orders_read(epoch, rows, config, now);
            }
            Input::Recorded(recording, result) => {
                self.cell.recorded(&self.context, recording, &result, now);
            }
            Input::Sent(engine, result) => {
                if let Err(error) = result {
                    log::warn!("an order to {engine} was lost: {error}");
                }
            }
            Input::Swept => self.cell.swept(),
        }
    }

    fn configured(&mut self, now: Millis) {
        let Some((config, revision)) = self.config.current() else { return };
        log::info!("revision {revision} is in force");
        self.upstreams.configure(config, now);
        self.live(InstanceEvent::Configured);
        self.publish();
    }

    fn take_reports(&mut self, reports: &mut mpsc::Receiver<Report>) {
        for _ in 0..INPUTS_AT_ONCE {
            let Ok(report) = reports.try_recv() else { return };
            self.take_report(report);
        }
    }

    fn take_report(&mut self, report: Report) {
        match report {
            Report::Arrived { artifact, prompt_tokens } => {
                self.estimator.arrived(&artifact, prompt_tokens);
            }
            Report::Served { artifact, service_s, read_tokens } => {
                self.estimator.finished(&artifact, service_s, read_tokens);
            }
            Report::Succeeded(upstream) => {
                self.upstreams.succeeded(&upstream);
            }
            Report::Failed(upstream) => {
                self.upstreams.failed(&upstream, self.context.now());
            }
            Report::Decided(record) => {
                self.peers.note_asked(record.workspace.as_ref());
                self.context.shared.records().push(*record);
            }
        }
    }

    fn stop(&mut self) {
        let now = self.context.now();
        self.drain_from = Some(now);
        self.live(InstanceEvent::StopAsked);
        self.cell.step_down(&self.context, now);
        let heartbeat = self.heartbeat();
        self.peers.send_heartbeats(&self.context, now, heartbeat, None);
        self.publish();
    }

    /// Sends heartbeats if they are due.
    fn send_due_heartbeats(&mut self, now: Millis) {
        let heartbeat = self.heartbeat();
        let holder = self.cell.holder(now);
        let estimator = &self.estimator;
        let demand = || estimator.demand();
        self.peers.tick(&self.context, now, heartbeat, holder, demand);
    }

    fn live(&mut self, event: InstanceEvent) {
        let next = library::instance_life().next(self.life, event);
        if next != self.life {
            log::info!("this instance is now {next:?}");
            self.life = next;
            self.context.shared.set_life(next);
        }
    }
}
