//! What the traffic thread keeps.

use std::{
    cell::{RefCell, RefMut},
    collections::BTreeMap,
    sync::Arc,
    time::Duration,
};

use valehold_core::{
    Millis,
    fleet::{
        BoundVariant, UpstreamStart, Variant,
        health::Health,
        pace::Pace,
        paces::{LogRatio, PaceObservation},
        path_cost::{PathCost, PathLatencies},
        rejections::{RecentRejections, Rejection},
        retry_share::RetryShare,
        slot_time::SlotTimes,
    },
    id::{DataCentreId, ModelName, ServiceName, UpstreamId},
    prefix::PrefixHints,
};
use valehold_ports::port::fleet::Dialect;

use super::{choose::Chosen, crashes::BrokenOff, pool::Pool};
use crate::{mechanisms::MechanismSettings, shared::Shared, view::Load};

/// For how long a hint about an engine's cached prompts is kept, in ms.
const KEEP_HINTS_MS: u64 = 30_000;

/// How many hints are kept.
const MOST_HINTS: usize = 16_384;

/// Predictions of reading below this are not learned from, in ms: a step of
/// an engine and the way weigh as much.
const LEAST_READING_MS: f64 = 30.0;

/// What the traffic thread keeps.
pub struct App {
    /// What it shares with control.
    pub shared: Arc<Shared>,
    /// How requests and answers are written.
    pub dialect: Arc<dyn Dialect>,
    pub(super) pool: Pool,
    pub(super) broken_off: BrokenOff,
    health: RefCell<BTreeMap<UpstreamStart, Health>>,
    paces: RefCell<BTreeMap<UpstreamStart, Pace>>,
    shares: RefCell<BTreeMap<ServiceName, RetryShare>>,
    hints: RefCell<PrefixHints<UpstreamStart>>,
    turned_away: RefCell<RecentRejections>,
    slot_times: RefCell<SlotTimes>,
    ways: RefCell<PathLatencies>,
}

impl App {
    /// Makes the state of a gateway that has served nothing.
    pub fn new(shared: Arc<Shared>, dialect: Arc<dyn Dialect>) -> Self {
        Self {
            pool: Pool::new(shared.clock),
            shared,
            dialect,
            broken_off: BrokenOff::default(),
            health: RefCell::default(),
            paces: RefCell::default(),
            shares: RefCell::default(),
            hints: RefCell::new(PrefixHints::new(KEEP_HINTS_MS, MOST_HINTS)),
            turned_away: RefCell::default(),
            slot_times: RefCell::default(),
            ways: RefCell::default(),
        }
    }

    pub(super) fn now(&self) -> Millis {
        self.shared.clock.now()
    }

    /// Returns which mechanisms are used.
    pub(super) fn mechanisms(&self) -> MechanismSettings {
        self.shared.settings.mechanisms
    }

    /// Changes an upstream's health.
    pub(super) fn judge(
        &self,
        upstream: &UpstreamStart,
        change: impl FnOnce(&mut Health, Millis),
    ) {
        let now = self.now();
        let mut health = self.health.borrow_mut();
        change(health.entry(upstream.clone()).or_default(), now);
    }

    /// Changes what is known of an engine's pace.
    pub(super) fn observe(
        &self,
        upstream: &UpstreamStart,
        change: impl FnOnce(&mut Pace, Millis),
    ) {
        if !self.mechanisms().learned_pace {
            return;
        }
        let now = self.now();
        let mut paces = self.paces.borrow_mut();
        change(paces.entry(upstream.clone()).or_default(), now);
    }

    /// Returns how many times as long an engine takes to read as all.
    pub(super) fn slowness(&self, upstream: &UpstreamStart) -> f64 {
        if self.mechanisms().paces_told {
            return self.shared.paces.load().of_engine(upstream.tag());
        }
        let now = self.now();
        let paces = self.paces.borrow();
        paces.get(upstream).map_or(1.0, |pace| pace.slowness(now))
    }

    /// Returns how many times as long a model takes to read as all.
    pub(super) fn pace_of_model(&self, model: &ModelName) -> f64 {
        match self.mechanisms().paces_told {
            true => self.shared.paces.load().of_model(model.tag()),
            false => 1.0,
        }
    }

    /// Notes when a first event came, for all gateways to learn from.
    pub(super) fn note_pace(
        &self,
        chosen: &Chosen,
        model: &ModelName,
        took_ms: f64,
    ) {
        if chosen.reading_ms < LEAST_READING_MS {
            return;
        }
        let beside_ms = chosen.predicted_ms - chosen.reading_ms;
        let read_ms = (took_ms - beside_ms).max(1.0);
        let against_all = read_ms / chosen.reading_ms * chosen.pace;
        self.shared.note_pace(PaceObservation {
            engine: chosen.upstream.start().tag(),
            model: model.tag(),
            ratio: LogRatio::from_ln(against_all.ln()),
        });
    }

    /// Notes for how long a request of a model kept its slot, in ms.
    pub(super) fn note_slot_time(&self, model: &ModelName, took_ms: f64) {
        let now = self.now();
        if self.mechanisms().learned_slot_times {
            self.slot_times.borrow_mut().record(model, took_ms, now);
        }
    }

    /// Returns for how long a request of a model keeps its slot, in ms.
    pub(super) fn slot_ms(&self, model: &ModelName) -> f64 {
        self.slot_times.borrow().expected_ms(model, self.now())
    }

    /// Notes how long a connection to a data centre took to be made.
    pub(super) fn note_connected(&self, to: &DataCentreId, took: Duration) {
        let took_ms = took.as_secs_f64() * 1_000.0;
        self.ways.borrow_mut().record(to, took_ms);
    }

    /// Returns the way to a data centre, as far as connections showed it.
    pub(super) fn way_to(&self, data_centre: &DataCentreId) -> PathCost {
        let shared = &self.shared;
        let ways = self.ways.borrow();
        ways.cost_to(data_centre, &shared.topology, &shared.settings.distance)
    }

    /// Forgets starts of upstreams that are over.
    pub(super) fn sweep(&self) {
        let now = self.now();
        let view = self.shared.view.load();
        let listing = &view.listing;
        let known = |start: &UpstreamStart| listing.get_start(start).is_some();
        self.health.borrow_mut().retain(|id, _| known(id));
        self.paces.borrow_mut().retain(|id, _| known(id));
        self.turned_away.borrow_mut().prune(known, now);
        self.slot_times.borrow_mut().prune(now);
        let is_listed = |id: &UpstreamId| listing.upstreams.contains_key(id);
        self.shared.cold().prune(is_listed, now);
        self.shared.rests().prune(known, now);
        self.shared.upstream_limits().prune(known);
        // Who leaves can end sooner without connections that rest.
        self.pool.prune(|start| {
            listing.get_start(start).is_some_and(|one| !one.leaving)
        });
    }

    /// Tells whether an upstream failed lately, or crashed as some gateway
    /// saw: its entry stands for seconds, in which requests would use their
    /// tries up on it.
    pub(super) fn is_suspect(&self, upstream: &UpstreamStart) -> bool {
        if self.shared.crashes().has_crashed(upstream.tag()) {
            return true;
        }
        let now = self.now();
        let health = self.health.borrow();
        health.get(upstream).is_some_and(|health| health.is_suspect(now))
    }

    /// Notes that an upstream turned a request away.
    pub(super) fn note_turned_away(
        &self,
        upstream: &UpstreamStart,
        variant: Option<&Variant>,
        why: Rejection,
    ) {
        let now = self.now();
        self.turned_away.borrow_mut().record(upstream, variant, why, now);
    }

    /// Notes that an upstream took a request.
    pub(super) fn note_taken(
        &self,
        upstream: &UpstreamStart,
        variant: Option<&Variant>,
    ) {
        self.turned_away.borrow_mut().record_accepted(upstream, variant);
    }

    /// Tells whether an upstream turned such a request away lately.
    pub(super) fn turned_away(
        &self,
        upstream: &UpstreamStart,
        variant: Option<&Variant>,
    ) -> bool {
        self.turned_away.borrow().contains(upstream, variant, self.now())
    }

    /// Notes a request's first send to a service.
    pub(super) fn first_send(&self, service: &ServiceName) {
        let now = self.now();
        self.with_share(service, |share| share.record_request(now));
    }

    /// Takes a second send out of this gateway's share.
    pub(super) fn may_send_again(&self, service: &ServiceName) -> bool {
        let now = self.now();
        self.mechanisms().second_sends
            && self.with_share(service, |share| share.try_retry(now))
    }

    /// Tells whether a second send is left in this gateway's share.
    pub(super) fn can_send_again(&self, service: &ServiceName) -> bool {
        let now = self.now();
        self.mechanisms().second_sends
            && self.with_share(service, |share| share.can_retry(now))
    }

    fn with_share<T>(
        &self,
        service: &ServiceName,
        act: impl FnOnce(&mut RetryShare) -> T,
    ) -> T {
        let seen = self.shared.view.load().ready.len();
        let mut shares = self.shares.borrow_mut();
        let budget = self.shared.settings.retry.budget();
        let share = shares
            .entry(service.clone())
            .or_insert_with(|| RetryShare::new(budget));
        share.observe_instances(u32::try_from(seen).unwrap_or(u32::MAX));
        act(share)
    }

    pub(super) fn hints(&self) -> RefMut<'_, PrefixHints<UpstreamStart>> {
        self.hints.borrow_mut()
    }

    /// Notes that a request is under way at an upstream, until the guard
    /// goes.
    pub(super) fn under_way(
        &self,
        upstream: &UpstreamStart,
        asked: Option<BoundVariant>,
        tokens: u64,
    ) -> UnderWay {
        if let Some(asked) = &asked {
            let mut running = self.shared.running();
            *running.entry(asked.clone()).or_default() += 1;
        }
        let one = Load { running: 1, waiting_tokens: tokens };
        let mut loads = self.shared.loads();
        let load = loads.entry(upstream.clone()).or_default();
        *load = load.plus(one);
        UnderWay {
            shared: self.shared.clone(),
            upstream: upstream.clone(),
            asked,
            waiting: tokens,
        }
    }
}

/// A request that is under way at an upstream.
pub(super) struct UnderWay {
    shared: Arc<Shared>,
    upstream: UpstreamStart,
    asked: Option<BoundVariant>,
    waiting: u64,
}

impl UnderWay {
    /// Notes that the prompt was read: the first event came.
    pub(super) fn prompt_read(&mut self) {
        let waiting = std::mem::take(&mut self.waiting);
        let mut loads = self.shared.loads();
        if let Some(load) = loads.get_mut(&self.upstream) {
            load.waiting_tokens = load.waiting_tokens.saturating_sub(waiting);
        }
    }
}

impl Drop for UnderWay {
    fn drop(&mut self) {
        if let Some(asked) = &self.asked {
            let mut running = self.shared.running();
            let left = running.get(asked).map_or(0, |count| count - 1);
            match left {
                0 => running.remove(asked),
                left => running.insert(asked.clone(), left),
            };
        }
        let mut loads = self.shared.loads();
        let Some(load) = loads.get_mut(&self.upstream) else { return };
        load.waiting_tokens = load.waiting_tokens.saturating_sub(self.waiting);
        load.running = load.running.saturating_sub(1);
        if *load == Load::default() {
            loads.remove(&self.upstream);
        }
    }
}
