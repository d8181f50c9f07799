//! The state that the control and the traffic thread share.
//!
//! Control publishes its decisions here for traffic to read. Traffic counts its
//! load and demand here, and sends requests to control through bounded queues.

use std::{
    collections::BTreeMap,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
};

use arc_swap::ArcSwap;
use tokio::sync::{Notify, mpsc, oneshot, watch};
use valehold_core::{
    Millis,
    fleet::{
        BoundVariant, UpstreamStart,
        backoff::UpstreamBackoffs,
        brittle::{BrittleReport, BrittleUpstreams},
        cold::{ColdPermits, PermitRequest},
        crashes::{CrashTracker, PartChange, SuspicionReport},
        paces::{PaceObservation, Paces},
        stream_origin::{StreamId, StreamOrigin, StreamOrigins},
        topology::Topology,
        upstream_limit::{AnswerEffect, UpstreamLimits},
        usage::UsageMeter,
    },
    id::{ServiceName, SoftwareVersion, UpstreamId, UpstreamTag},
};

use crate::{
    clock::Clock,
    events::Event,
    metrics::Metrics,
    peers::roster::sums::Loads,
    settings::Settings,
    view::{Life, Load, View},
};

/// The capacity of the queue of load requests.
const LOAD_REQUEST_CAPACITY: usize = 256;

/// The capacity of the queue of permit requests: a burst of requests, each of
/// which waits for a permit for some ten milliseconds only.
const PERMIT_REQUEST_CAPACITY: usize = 256;

/// The capacity of the queue of leaving upstreams. One that is dropped is
/// reported again with the upstream's next answer.
const LEAVING_CAPACITY: usize = 256;

/// The capacity of the queue of answers about upstream limits. If one is
/// dropped, other gateways learn the limit from the upstream's next answers to
/// them.
const LIMIT_ANSWER_CAPACITY: usize = 256;

/// The capacity of the queue of answers of brittle upstreams. Rejections, which
/// are most of them, become rare with the first one.
const BRITTLE_REPORT_CAPACITY: usize = 256;

/// The capacity of the queue of streams whose origin is unknown here. A gateway
/// whose neighbour died may be asked to continue all of its streams.
const ORIGIN_LOOKUP_CAPACITY: usize = 1_024;

/// The most pace observations that are kept until control takes them, which it
/// does every few hundred milliseconds.
const MAX_PACE_OBSERVATIONS: usize = 128;

/// The demand for a variant inside a bound since control last took it.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Work {
    /// The number of requests that arrived.
    pub requests: f64,
    /// The time for which the requests keep an engine busy, in ms.
    pub busy_ms: f64,
}

/// A request to find where a stream began.
#[derive(Debug)]
pub struct OriginLookup {
    /// The stream.
    pub stream: StreamId,
    /// The service that is to continue the stream.
    pub service: ServiceName,
    /// Receives what was found.
    pub reply: oneshot::Sender<OriginFinding>,
}

/// What other gateways know of the origin of a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OriginFinding {
    /// Where the stream began.
    Reported(StreamOrigin),
    /// The only version of the service that is to continue the stream.
    OnlyVersion(SoftwareVersion),
    /// Nothing, or reports that contradict one another.
    Unknown,
}

/// The receiving ends of the queues from traffic to control.
#[derive(Debug)]
pub struct ControlReceivers {
    /// Variants to load, since no engine inside the bound holds them.
    pub load_requests: mpsc::Receiver<BoundVariant>,
    /// Requests for permits to send to upstreams that are cold or have stated
    /// a limit.
    pub permit_requests: mpsc::Receiver<PermitRequest>,
    /// Upstreams that announced that they are leaving.
    pub leaving: mpsc::Receiver<UpstreamStart>,
    /// Answers that changed or confirmed the limit of an upstream.
    pub limit_answers: mpsc::Receiver<AnswerEffect>,
    /// Answers of brittle upstreams that the other gateways have to know of.
    pub brittle_reports: mpsc::Receiver<BrittleReport>,
    /// Streams that callers continue and whose origin is unknown here.
    pub origin_lookups: mpsc::Receiver<OriginLookup>,
}

/// The state that control and traffic share.
#[derive(Debug)]
pub struct Shared {
    /// The gateway's settings.
    pub settings: Settings,
    /// The regions of data centres and their distances from this gateway.
    pub topology: Topology,
    /// The clock of all decisions.
    pub clock: Clock,
    /// The gateway's metrics.
    pub metrics: Metrics,
    /// The current view; written by control.
    pub view: ArcSwap<View>,
    /// The load of the other gateways at each upstream; written by control,
    /// more often than the view.
    pub peer_loads: ArcSwap<Loads>,
    /// The paces of engines and models, estimated from the observations of all
    /// gateways; written by control.
    pub paces: ArcSwap<Paces>,
    loads: Mutex<BTreeMap<UpstreamStart, Load>>,
    pace_observations: Mutex<Vec<PaceObservation>>,
    work: Mutex<BTreeMap<BoundVariant, Work>>,
    running: Mutex<BTreeMap<BoundVariant, u32>>,
    usage: Mutex<UsageMeter>,
    cold: Mutex<ColdPermits>,
    backoffs: Mutex<UpstreamBackoffs>,
    upstream_limits: Mutex<UpstreamLimits>,
    brittle: Mutex<BrittleUpstreams>,
    crashes: Mutex<CrashTracker>,
    crash_changes: watch::Sender<u64>,
    origins: Mutex<StreamOrigins>,
    /// Notifies control that an origin is to be reported at once.
    origin_recorded: Notify,
    /// Whether this gateway has read the store's record of streams.
    stream_record_read: AtomicBool,
    /// Until when this gateway knows the software versions that others know,
    /// in ms of the clock.
    software_known_until: AtomicU64,
    load_requests: mpsc::Sender<BoundVariant>,
    permit_requests: mpsc::Sender<PermitRequest>,
    leaving: mpsc::Sender<UpstreamStart>,
    limit_answers: mpsc::Sender<AnswerEffect>,
    brittle_reports: mpsc::Sender<BrittleReport>,
    origin_lookups: mpsc::Sender<OriginLookup>,
    life: watch::Sender<Life>,
    /// Since when this gateway's own links reach no upstream.
    links_lost_since: Mutex<Option<Millis>>,
}

impl Shared {
    /// Creates the shared state and the receivers of control's queues.
    pub fn new(
        settings: Settings,
        metrics: Metrics,
        clock: Clock,
    ) -> (Arc<Self>, ControlReceivers) {
        let (load_requests, load_receiver) =
            mpsc::channel(LOAD_REQUEST_CAPACITY);
        let (permit_requests, permit_receiver) =
            mpsc::channel(PERMIT_REQUEST_CAPACITY);
        let (leaving, leaving_receiver) = mpsc::channel(LEAVING_CAPACITY);
        let (limit_answers, limit_receiver) =
            mpsc::channel(LIMIT_ANSWER_CAPACITY);
        let (brittle_reports, brittle_receiver) =
            mpsc::channel(BRITTLE_REPORT_CAPACITY);
        let (origin_lookups, lookup_receiver) =
            mpsc::channel(ORIGIN_LOOKUP_CAPACITY);
        let topology = Topology::new(
            settings.data_centre.clone(),
            settings.regions.clone(),
        );
        let shared = Self {
            topology,
            clock,
            metrics,
            view: ArcSwap::default(),
            peer_loads: ArcSwap::default(),
            paces: ArcSwap::default(),
            loads: Mutex::default(),
            pace_observations: Mutex::default(),
            work: Mutex::default(),
            running: Mutex::default(),
            usage: Mutex::new(UsageMeter::new(settings.limits)),
            cold: Mutex::new(ColdPermits::new(rand::random())),
            backoffs: Mutex::default(),
            upstream_limits: Mutex::default(),
            brittle: Mutex::default(),
            crashes: Mutex::new(CrashTracker::new(settings.crashes.keep_ms())),
            crash_changes: watch::Sender::new(0),
            origins: Mutex::default(),
            origin_recorded: Notify::new(),
            stream_record_read: AtomicBool::new(false),
            software_known_until: AtomicU64::new(0),
            load_requests,
            permit_requests,
            leaving,
            limit_answers,
            brittle_reports,
            origin_lookups,
            life: watch::Sender::new(Life::Starting),
            links_lost_since: Mutex::default(),
            settings,
        };
        (
            Arc::new(shared),
            ControlReceivers {
                load_requests: load_receiver,
                permit_requests: permit_receiver,
                leaving: leaving_receiver,
                limit_answers: limit_receiver,
                brittle_reports: brittle_receiver,
                origin_lookups: lookup_receiver,
            },
        )
    }

    /// Requests that control has a variant loaded that no engine inside the
    /// bound holds.
    ///
    /// The request is dropped if the queue is full; a waiting caller's request
    /// repeats it.
    pub fn request_load(&self, variant: &BoundVariant) {
        let _ = self.load_requests.try_send(variant.clone());
    }

    /// Requests from control a permit to send to an upstream that is cold or
    /// has stated a limit.
    ///
    /// The request is dropped if the queue is full; the caller's request then
    /// goes to another upstream after a short wait.
    pub fn request_permit(&self, request: PermitRequest) {
        let _ = self.permit_requests.try_send(request);
    }

    /// Reports to control that a start of an upstream announced that it is
    /// leaving.
    pub fn report_leaving(&self, start: UpstreamStart) {
        // If the queue is full, the upstream's next answer reports it again.
        let _ = self.leaving.try_send(start);
    }

    /// Reports to control that an answer changed or confirmed the limit of an
    /// upstream.
    ///
    /// The report is dropped if the queue is full.
    pub fn report_limit(&self, effect: AnswerEffect) {
        let _ = self.limit_answers.try_send(effect);
    }

    /// Returns the backoffs that upstreams requested from this gateway.
    pub fn backoffs(&self) -> MutexGuard<'_, UpstreamBackoffs> {
        // Entries are independent, so any state that a panic left is valid.
        self.backoffs.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the request rates to which upstreams limit their callers.
    pub fn upstream_limits(&self) -> MutexGuard<'_, UpstreamLimits> {
        // Entries are independent, so any state that a panic left is valid.
        self.upstream_limits.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the upstreams that fall over if they reject too many requests.
    pub fn brittle(&self) -> MutexGuard<'_, BrittleUpstreams> {
        // Entries are independent, so any state that a panic left is valid.
        self.brittle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Reports to control an answer of a brittle upstream that the other
    /// gateways have to know of.
    ///
    /// The report is dropped if the queue is full; other gateways then learn
    /// of it by an answer of their own.
    pub fn report_brittle(&self, report: BrittleReport) {
        let _ = self.brittle_reports.try_send(report);
    }

    /// Returns the known origins of streams.
    pub fn origins(&self) -> MutexGuard<'_, StreamOrigins> {
        // Entries are independent, so any state that a panic left is valid.
        self.origins.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the notification that an origin is to be reported at once:
    /// origins that are not reported yet are lost if this gateway dies.
    pub fn origin_recorded(&self) -> &Notify {
        &self.origin_recorded
    }

    /// Records that this gateway has read the store's record of streams.
    pub fn set_stream_record_read(&self) {
        self.stream_record_read.store(true, Ordering::Release);
    }

    /// Returns whether this gateway has read the store's record of streams.
    pub fn has_stream_record(&self) -> bool {
        self.stream_record_read.load(Ordering::Acquire)
    }

    /// Asks control to find where a stream began.
    ///
    /// The request is dropped, and with it the sender of the reply, if the
    /// queue is full.
    pub fn look_up_origin(&self, lookup: OriginLookup) {
        let _ = self.origin_lookups.try_send(lookup);
    }

    /// Sets until when this gateway knows the software versions that others
    /// know.
    pub fn set_software_known_until(&self, until: Millis) {
        self.software_known_until.store(until.get(), Ordering::Release);
    }

    /// Returns whether this gateway knows the software versions that others
    /// know.
    pub fn is_software_known(&self, now: Millis) -> bool {
        now.get() < self.software_known_until.load(Ordering::Acquire)
    }

    /// Returns the estimate of which upstreams are cold, and the permits to
    /// send to them.
    pub fn cold(&self) -> MutexGuard<'_, ColdPermits> {
        // Entries are independent, so any state that a panic left is valid.
        self.cold.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the records of crashes and of the requests that cause them.
    pub fn crashes(&self) -> MutexGuard<'_, CrashTracker> {
        // Entries are independent, so any state that a panic left is valid.
        self.crashes.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Changes the records of crashes, and notifies requests in flight if the
    /// set of refused requests changed.
    pub fn update_crashes(&self, change: impl FnOnce(&mut CrashTracker)) {
        let (revision, suspicions, part_changes) = {
            let mut tracker = self.crashes();
            let before = tracker.revision();
            change(&mut tracker);
            let revision = tracker.revision();
            match revision == before {
                true => (revision, Vec::new(), Vec::new()),
                false => (
                    revision,
                    tracker.take_suspicions(self.clock.now()),
                    tracker.take_part_changes(),
                ),
            }
        };
        self.log_suspicions(&suspicions, &part_changes);
        self.crash_changes.send_if_modified(|known| {
            let is_new = *known != revision;
            *known = revision;
            is_new
        });
    }

    /// Logs changed evidence against requests and parts of prompts, with the
    /// names of the upstreams that are still listed.
    fn log_suspicions(
        &self,
        suspicions: &[SuspicionReport],
        part_changes: &[PartChange],
    ) {
        if suspicions.is_empty() && part_changes.is_empty() {
            return;
        }
        let view = self.view.load();
        let listed = view.listing.upstreams.values();
        let names: BTreeMap<UpstreamTag, &UpstreamId> =
            listed.map(|one| (one.start().tag(), &one.id)).collect();
        let name = |upstream: UpstreamTag| {
            let name = names.get(&upstream).map(ToString::to_string);
            name.unwrap_or_else(|| upstream.to_string())
        };
        for suspicion in suspicions {
            Event::of_suspicion(suspicion, name).log();
        }
        for change in part_changes {
            Event::of_part_change(change, name).log();
        }
    }

    /// Returns a receiver that is notified when a record of crashes is added.
    pub fn watch_crashes(&self) -> watch::Receiver<u64> {
        self.crash_changes.subscribe()
    }

    /// Returns this gateway's load at each upstream.
    pub fn loads(&self) -> MutexGuard<'_, BTreeMap<UpstreamStart, Load>> {
        // Plain numbers, so any value that a panic left is valid.
        self.loads.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the demand that arrived since control last took it.
    pub fn work(&self) -> MutexGuard<'_, BTreeMap<BoundVariant, Work>> {
        self.work.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the number of requests in flight for each variant.
    pub fn running(&self) -> MutexGuard<'_, BTreeMap<BoundVariant, u32>> {
        self.running.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records an observation of the time to a first event. It is dropped if
    /// `MAX_PACE_OBSERVATIONS` wait already.
    pub fn record_pace(&self, observation: PaceObservation) {
        let mut all = self.lock_pace_observations();
        if all.len() < MAX_PACE_OBSERVATIONS {
            all.push(observation);
        }
    }

    /// Returns the pace observations since control last took them.
    pub fn pace_observations(&self) -> Vec<PaceObservation> {
        self.lock_pace_observations().clone()
    }

    /// Removes and returns the pace observations.
    pub fn take_pace_observations(&self) -> Vec<PaceObservation> {
        std::mem::take(&mut *self.lock_pace_observations())
    }

    fn lock_pace_observations(&self) -> MutexGuard<'_, Vec<PaceObservation>> {
        self.pace_observations.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the meter that admits requests within workspaces' limits.
    pub fn usage(&self) -> MutexGuard<'_, UsageMeter> {
        self.usage.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets since when this gateway's own links reach no upstream.
    pub fn set_links_lost(&self, since: Option<Millis>) {
        self.metrics.upstream_links_lost(since.is_some());
        *self.lock_links_lost() = since;
    }

    /// Returns for how long this gateway's own links have reached no upstream,
    /// in ms; `None` if they reach one.
    pub fn links_lost_ms(&self, now: Millis) -> Option<u64> {
        self.lock_links_lost().map(|since| now.since(since))
    }

    fn lock_links_lost(&self) -> MutexGuard<'_, Option<Millis>> {
        // A single value, so any that a panic left is valid.
        self.links_lost_since.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets this gateway's phase of life.
    pub fn set_life(&self, life: Life) {
        self.life.send_replace(life);
    }

    /// Returns a receiver that is notified when the phase of life changes.
    pub fn watch_life(&self) -> watch::Receiver<Life> {
        self.life.subscribe()
    }
}
