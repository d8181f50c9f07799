//! What control and traffic have in common.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use arc_swap::ArcSwap;
use tokio::sync::{mpsc, watch};
use valehold_core::fleet::{
    BoundVariant, UpstreamStart,
    backoff::UpstreamBackoffs,
    cold::{ColdPermits, PermitRequest},
    crashes::CrashTracker,
    paces::{PaceObservation, Paces},
    topology::Topology,
    upstream_limit::UpstreamLimits,
    usage::UsageMeter,
};

use crate::{
    clock::Clock,
    metrics::Metrics,
    peers::roster::sums::Loads,
    settings::Settings,
    view::{Life, Load, View},
};

/// How many wishes may wait for control.
const WISHES: usize = 256;

/// How many wishes for rights to send to cold upstreams may wait for control:
/// a burst of requests, which give up on it within some ten milliseconds.
const RIGHT_ASKS: usize = 256;

/// How many words of upstreams that leave may wait for control. One that finds
/// no room comes again with the upstream's next answer.
const LEAVING_WORDS: usize = 256;

/// How many words of upstreams' limits may wait for control. Others hear what
/// finds no room with the upstream's next answers to them.
const LIMIT_WORDS: usize = 256;

/// How many first events are noted between two times that control takes them:
/// some hundred milliseconds.
const MOST_SEEN_PACES: usize = 128;

/// The work that requests for a variant inside a bound made, since it was last taken.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Work {
    /// Requests that came.
    pub requests: f64,
    /// For how long they keep an engine busy, in ms.
    pub busy_ms: f64,
}

/// The ends at which control takes wishes of requests.
#[derive(Debug)]
pub struct Wishes {
    /// Variants that no engine holds.
    pub variants: mpsc::Receiver<BoundVariant>,
    /// Rights to send to cold upstreams.
    pub rights: mpsc::Receiver<PermitRequest>,
    /// Upstreams that said that they leave.
    pub leaving: mpsc::Receiver<UpstreamStart>,
    /// Upstreams whose limit changed.
    pub limits: mpsc::Receiver<UpstreamStart>,
}

/// What control and traffic have in common.
#[derive(Debug)]
pub struct Shared {
    /// The settings.
    pub settings: Settings,
    /// The data centres, seen from this gateway's.
    pub topology: Topology,
    /// The clock.
    pub clock: Clock,
    /// The instruments.
    pub metrics: Metrics,
    /// The newest view; written by control.
    pub view: ArcSwap<View>,
    /// What other gateways have under way at each upstream; written by
    /// control, more often than the view.
    pub peer_loads: ArcSwap<Loads>,
    /// How fast engines and models are, as all gateways learned together;
    /// written by control.
    pub paces: ArcSwap<Paces>,
    loads: Mutex<BTreeMap<UpstreamStart, Load>>,
    seen_paces: Mutex<Vec<PaceObservation>>,
    work: Mutex<BTreeMap<BoundVariant, Work>>,
    running: Mutex<BTreeMap<BoundVariant, u32>>,
    usage: Mutex<UsageMeter>,
    cold: Mutex<ColdPermits>,
    rests: Mutex<UpstreamBackoffs>,
    upstream_limits: Mutex<UpstreamLimits>,
    crashes: Mutex<CrashTracker>,
    crash_changes: watch::Sender<u64>,
    wishes: mpsc::Sender<BoundVariant>,
    right_asks: mpsc::Sender<PermitRequest>,
    leaving_words: mpsc::Sender<UpstreamStart>,
    limit_words: mpsc::Sender<UpstreamStart>,
    life: watch::Sender<Life>,
}

impl Shared {
    /// Makes the shared part, and the ends at which control takes wishes.
    pub fn new(
        settings: Settings,
        metrics: Metrics,
        clock: Clock,
    ) -> (Arc<Self>, Wishes) {
        let (wishes, variants) = mpsc::channel(WISHES);
        let (right_asks, rights) = mpsc::channel(RIGHT_ASKS);
        let (leaving_words, leaving) = mpsc::channel(LEAVING_WORDS);
        let (limit_words, limits) = mpsc::channel(LIMIT_WORDS);
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
            seen_paces: Mutex::default(),
            work: Mutex::default(),
            running: Mutex::default(),
            usage: Mutex::new(UsageMeter::new(settings.limits)),
            cold: Mutex::new(ColdPermits::new(rand::random())),
            rests: Mutex::default(),
            upstream_limits: Mutex::default(),
            crashes: Mutex::new(CrashTracker::new(settings.crashes.keep_ms())),
            crash_changes: watch::Sender::new(0),
            wishes,
            right_asks,
            leaving_words,
            limit_words,
            life: watch::Sender::new(Life::Starting),
            settings,
        };
        (Arc::new(shared), Wishes { variants, rights, leaving, limits })
    }

    /// Asks control for a variant that no engine inside its bound holds.
    ///
    /// A wish that finds no room is lost; who waits wishes again.
    pub fn wish(&self, asked: &BoundVariant) {
        let _ = self.wishes.try_send(asked.clone());
    }

    /// Asks control for the right to send to an upstream that is cold or in
    /// need.
    ///
    /// A wish that finds no room is lost; who waits goes elsewhere soon.
    pub fn ask_right(&self, ask: PermitRequest) {
        let _ = self.right_asks.try_send(ask);
    }

    /// Tells control that a start of an upstream said that it leaves.
    pub fn say_leaving(&self, start: UpstreamStart) {
        // One that finds no room comes again with the next answer.
        let _ = self.leaving_words.try_send(start);
    }

    /// Tells control that an answer said something new of an upstream's limit.
    pub fn say_limit(&self, start: UpstreamStart) {
        let _ = self.limit_words.try_send(start);
    }

    /// Which upstreams asked this gateway for rest.
    pub fn rests(&self) -> MutexGuard<'_, UpstreamBackoffs> {
        // Each entry stands for itself: any that a panic left is valid.
        self.rests.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// How many requests a second upstreams in need take.
    pub fn upstream_limits(&self) -> MutexGuard<'_, UpstreamLimits> {
        // Each entry stands for itself: any that a panic left is valid.
        self.upstream_limits.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// What this gateway believes of cold upstreams, and its rights.
    pub fn cold(&self) -> MutexGuard<'_, ColdPermits> {
        // Each entry stands for itself: any that a panic left is valid.
        self.cold.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// What this gateway knows of crashes, and of requests that cause them.
    pub fn crashes(&self) -> MutexGuard<'_, CrashTracker> {
        // Each entry stands for itself: any that a panic left is valid.
        self.crashes.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Changes what this gateway knows of crashes, and tells requests that
    /// are under way if others than before are refused.
    pub fn change_crashes(&self, change: impl FnOnce(&mut CrashTracker)) {
        let changes = {
            let mut book = self.crashes();
            change(&mut book);
            book.changes()
        };
        self.crash_changes.send_if_modified(|known| {
            let is_new = *known != changes;
            *known = changes;
            is_new
        });
    }

    /// Watches who is refused for crashes.
    pub fn watch_crashes(&self) -> watch::Receiver<u64> {
        self.crash_changes.subscribe()
    }

    /// What this gateway has under way at each upstream.
    pub fn loads(&self) -> MutexGuard<'_, BTreeMap<UpstreamStart, Load>> {
        // Plain numbers: any value that a panic left is a valid one.
        self.loads.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The work that came since control last took it.
    pub fn work(&self) -> MutexGuard<'_, BTreeMap<BoundVariant, Work>> {
        self.work.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// How many requests for each variant this gateway has under way.
    pub fn running(&self) -> MutexGuard<'_, BTreeMap<BoundVariant, u32>> {
        self.running.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes what was seen of a first event.
    pub fn note_pace(&self, seen: PaceObservation) {
        let mut all = self.lock_seen_paces();
        if all.len() < MOST_SEEN_PACES {
            all.push(seen);
        }
    }

    /// Returns what was seen of first events since it was last taken.
    pub fn seen_paces(&self) -> Vec<PaceObservation> {
        self.lock_seen_paces().clone()
    }

    /// Takes what was seen of first events since it was last taken.
    pub fn take_seen_paces(&self) -> Vec<PaceObservation> {
        std::mem::take(&mut *self.lock_seen_paces())
    }

    fn lock_seen_paces(&self) -> MutexGuard<'_, Vec<PaceObservation>> {
        self.seen_paces.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// What this gateway lets through of workspaces' requests.
    pub fn usage(&self) -> MutexGuard<'_, UsageMeter> {
        self.usage.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets how far this gateway's life has come.
    pub fn set_life(&self, life: Life) {
        self.life.send_replace(life);
    }

    /// Watches how far this gateway's life has come.
    pub fn watch_life(&self) -> watch::Receiver<Life> {
        self.life.subscribe()
    }
}
