//! The state of the traffic thread.

use std::{
    cell::{Cell, RefCell, RefMut},
    collections::BTreeMap,
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use valehold_core::{
    Millis,
    fleet::{
        BoundVariant, UpstreamStart, Variant,
        health::Health,
        keep_alive::KeepAlive,
        pace::Pace,
        paces::{LogRatio, PaceObservation},
        path_cost::{PathCost, PathLatencies},
        reachability::Reachability,
        rejections::{RecentRejections, Rejection},
        retry_share::RetryShare,
        slot_time::SlotTimes,
    },
    id::{DataCentreId, ModelName, ServiceName, UpstreamId},
    prefix::PrefixHints,
};
use valehold_ports::port::fleet::{Dialect, UpstreamConnector};

use super::{
    buffered::BufferedTotal, choose::Chosen, crashes::PendingBreakOffs,
    pool::Pool, tunnel::TunnelPeers,
};
use crate::{mechanisms::MechanismSettings, shared::Shared, view::Load};

/// How long a hint about an engine's cached prompts is kept, in ms.
const HINT_RETENTION_MS: u64 = 30_000;

/// How long a connection of a caller may rest before the gateway has a
/// configuration, in ms.
const DEFAULT_REST_MS: u64 = 15_000;

/// The maximum number of hints that are kept.
const MAX_HINTS: usize = 16_384;

/// The minimum predicted prefill time for which the pace is recorded, in ms.
/// Below this time, a step of the engine and the network path take as long as
/// the prefill.
const MIN_PREFILL_MS: f64 = 30.0;

/// The state of the traffic thread: the connection pool, and what this gateway
/// has learned about upstreams, models and network paths.
pub struct App {
    /// The state shared with the control thread.
    pub shared: Arc<Shared>,
    /// The wire format of requests and answers.
    pub dialect: Arc<dyn Dialect>,
    /// Opens connections to upstreams.
    pub(super) connector: Arc<dyn UpstreamConnector>,
    /// When this gateway started.
    started: Millis,
    pub(super) pool: Pool,
    /// The bytes of answers that are held.
    pub(super) buffered: BufferedTotal,
    pub(super) tunnel_peers: TunnelPeers,
    /// One reference for each tunnel that is open, besides this one.
    pub(super) open_tunnels: Rc<()>,
    pub(super) pending_break_offs: PendingBreakOffs,
    health: RefCell<BTreeMap<UpstreamStart, Health>>,
    paces: RefCell<BTreeMap<UpstreamStart, Pace>>,
    retry_shares: RefCell<BTreeMap<ServiceName, RetryShare>>,
    hints: RefCell<PrefixHints<UpstreamStart>>,
    rejections: RefCell<RecentRejections>,
    slot_times: RefCell<SlotTimes>,
    path_latencies: RefCell<PathLatencies>,
    pub(super) reachability: RefCell<Reachability>,
    keep_alive: RefCell<KeepAlive>,
    /// When requests have to end because the gateway stops.
    requests_end: Cell<Option<Millis>>,
}

impl App {
    /// Creates the state of a gateway that has served no requests.
    pub fn new(
        shared: Arc<Shared>,
        dialect: Arc<dyn Dialect>,
        connector: Arc<dyn UpstreamConnector>,
    ) -> Self {
        Self {
            started: shared.clock.now(),
            pool: Pool::new(shared.clock),
            buffered: BufferedTotal::default(),
            shared,
            dialect,
            connector,
            tunnel_peers: TunnelPeers::default(),
            open_tunnels: Rc::default(),
            pending_break_offs: PendingBreakOffs::default(),
            health: RefCell::default(),
            paces: RefCell::default(),
            retry_shares: RefCell::default(),
            hints: RefCell::new(PrefixHints::new(
                HINT_RETENTION_MS,
                MAX_HINTS,
            )),
            rejections: RefCell::default(),
            slot_times: RefCell::default(),
            path_latencies: RefCell::default(),
            reachability: RefCell::default(),
            keep_alive: RefCell::new(KeepAlive::new(DEFAULT_REST_MS)),
            requests_end: Cell::new(None),
        }
    }

    pub(super) fn now(&self) -> Millis {
        self.shared.clock.now()
    }

    /// Returns until when a connection of a caller may rest that has rested
    /// since a moment.
    pub(super) fn rests_until(&self, since: Millis) -> Millis {
        self.update_keep_alive();
        self.keep_alive.borrow().rests_until(since)
    }

    /// Applies the limits of the configuration in force to connections of
    /// callers. Called periodically as well, so that no limit is missed that
    /// is in force for a while.
    fn update_keep_alive(&self) {
        if let Some(catalog) = &self.shared.view.load().catalog {
            let now = self.now();
            self.keep_alive.borrow_mut().update(&catalog.limits, now);
        }
    }

    /// Sets when requests have to end because the gateway stops.
    pub(super) fn end_requests_at(&self, end: Millis) {
        self.requests_end.set(Some(end));
    }

    /// Returns when a request with a deadline has to be answered or refused: by
    /// the deadline and, while the gateway stops, before the gateway ends.
    pub(super) fn request_end(&self, deadline: Millis) -> Millis {
        let end = self.requests_end.get();
        end.map_or(deadline, |end| end.min(deadline))
    }

    /// Waits for a future as long as a request with a deadline has time, also
    /// if the gateway begins to stop meanwhile. Returns `None` if the time is
    /// over. At the end of a stop, no time is left to look at what arrived
    /// while the gateway stood still.
    pub(super) async fn wait_for_request<F: Future>(
        &self,
        deadline: Millis,
        future: F,
    ) -> Option<F::Output> {
        let end = || self.request_end(deadline);
        let may_look = || self.requests_end.get().is_none();
        self.shared.clock.wait_for_arrival(end, may_look, future).await
    }

    /// Returns the settings that switch single mechanisms on and off.
    pub(super) fn mechanisms(&self) -> MechanismSettings {
        self.shared.settings.mechanisms
    }

    /// Updates the health record of an upstream.
    pub(super) fn update_health(
        &self,
        upstream: &UpstreamStart,
        change: impl FnOnce(&mut Health, Millis),
    ) {
        let now = self.now();
        let mut health = self.health.borrow_mut();
        change(health.entry(upstream.clone()).or_default(), now);
    }

    /// Updates this gateway's own estimate of an engine's pace, if the
    /// mechanism `learned_pace` is on.
    pub(super) fn update_pace(
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

    /// Returns the estimated prefill time of an engine, relative to an engine
    /// of the standard pace.
    pub(super) fn slowness(&self, upstream: &UpstreamStart) -> f64 {
        if self.mechanisms().paces_told {
            return self.shared.paces.load().of_engine(upstream.tag());
        }
        let now = self.now();
        let paces = self.paces.borrow();
        paces.get(upstream).map_or(1.0, |pace| pace.slowness(now))
    }

    /// Returns the estimated prefill time of a model, relative to a model of
    /// the standard pace.
    pub(super) fn model_pace(&self, model: &ModelName) -> f64 {
        match self.mechanisms().paces_told {
            true => self.shared.paces.load().of_model(model.tag()),
            false => 1.0,
        }
    }

    /// Records how long the first event of an answer took. The observation is
    /// advertised, so that all gateways learn the pace of engine and model.
    pub(super) fn record_pace(
        &self,
        chosen: &Chosen,
        model: &ModelName,
        took_ms: f64,
    ) {
        if chosen.reading_ms < MIN_PREFILL_MS {
            return;
        }
        let overhead_ms = chosen.predicted_ms - chosen.reading_ms;
        let read_ms = (took_ms - overhead_ms).max(1.0);
        let relative_pace = read_ms / chosen.reading_ms * chosen.pace;
        self.shared.record_pace(PaceObservation {
            engine: chosen.upstream.start().tag(),
            model: model.tag(),
            ratio: LogRatio::from_ln(relative_pace.ln()),
        });
    }

    /// Records how long a request for a model occupied a slot of an engine, in
    /// ms.
    pub(super) fn record_slot_time(&self, model: &ModelName, took_ms: f64) {
        let now = self.now();
        if self.mechanisms().learned_slot_times {
            self.slot_times.borrow_mut().record(model, took_ms, now);
        }
    }

    /// Returns the expected time for which a request for a model occupies a
    /// slot of an engine, in ms.
    pub(super) fn expected_slot_ms(&self, model: &ModelName) -> f64 {
        self.slot_times.borrow().expected_ms(model, self.now())
    }

    /// Records how long it took to establish a connection to a data centre.
    pub(super) fn record_connect_time(
        &self,
        to: &DataCentreId,
        took: Duration,
    ) {
        let took_ms = took.as_secs_f64() * 1_000.0;
        self.path_latencies.borrow_mut().record(to, took_ms);
    }

    /// Returns the cost of the network path to a data centre, based on the
    /// recorded connect times.
    pub(super) fn path_cost(&self, data_centre: &DataCentreId) -> PathCost {
        let shared = &self.shared;
        let path_latencies = self.path_latencies.borrow();
        path_latencies.cost_to(
            data_centre,
            &shared.topology,
            &shared.settings.distance,
        )
    }

    /// Removes the state of upstream starts that are no longer listed, and the
    /// state that has expired.
    pub(super) fn prune(&self) {
        self.update_keep_alive();
        let now = self.now();
        let view = self.shared.view.load();
        let listing = &view.listing;
        let is_current =
            |start: &UpstreamStart| listing.get_start(start).is_some();
        self.health.borrow_mut().retain(|id, _| is_current(id));
        self.paces.borrow_mut().retain(|id, _| is_current(id));
        self.rejections.borrow_mut().prune(is_current, now);
        self.reachability.borrow_mut().prune(is_current);
        self.slot_times.borrow_mut().prune(now);
        let is_listed = |id: &UpstreamId| listing.upstreams.contains_key(id);
        self.shared.cold().prune(is_listed, now);
        self.shared.backoffs().prune(is_current, now);
        self.shared.upstream_limits().prune(is_current);
        self.shared.brittle().prune(now);
        // An upstream that is leaving can end sooner if no idle connections to
        // the upstream remain.
        let is_staying = |start: &UpstreamStart| {
            listing.get_start(start).is_some_and(|one| !one.leaving)
        };
        let is_ready = |peer: SocketAddr| {
            view.ready.iter().any(|member| member.requests == peer)
        };
        self.pool.prune(is_staying, is_ready);
    }

    /// Returns whether an upstream recently failed for this gateway, or
    /// crashed according to any gateway. A crashed upstream stays listed for
    /// seconds; without this check, requests would use up their tries on the
    /// upstream during that time.
    pub(super) fn is_suspect(&self, upstream: &UpstreamStart) -> bool {
        if self.shared.crashes().has_crashed(upstream.tag()) {
            return true;
        }
        let now = self.now();
        let health = self.health.borrow();
        health.get(upstream).is_some_and(|health| health.is_suspect(now))
    }

    /// Records that an upstream rejected a request.
    pub(super) fn record_rejection(
        &self,
        upstream: &UpstreamStart,
        variant: Option<&Variant>,
        rejection: Rejection,
    ) {
        let now = self.now();
        self.rejections.borrow_mut().record(upstream, variant, rejection, now);
    }

    /// Records that an upstream accepted a request, which removes the recorded
    /// rejections of the variant and of its model without an adapter.
    pub(super) fn record_accepted(
        &self,
        upstream: &UpstreamStart,
        variant: Option<&Variant>,
    ) {
        self.rejections.borrow_mut().record_accepted(upstream, variant);
    }

    /// Returns whether an upstream recently rejected a request for the same
    /// variant.
    pub(super) fn recently_rejected(
        &self,
        upstream: &UpstreamStart,
        variant: Option<&Variant>,
    ) -> bool {
        self.rejections.borrow().contains(upstream, variant, self.now())
    }

    /// Records the first send of a request to a service.
    pub(super) fn record_first_send(&self, service: &ServiceName) {
        let now = self.now();
        self.with_retry_share(service, |share| share.record_request(now));
    }

    /// Takes a retry from this gateway's share of the retry budget; returns
    /// `false` if no retry is available.
    pub(super) fn try_take_retry(&self, service: &ServiceName) -> bool {
        let now = self.now();
        self.mechanisms().second_sends
            && self.with_retry_share(service, |share| share.try_retry(now))
    }

    /// Returns whether this gateway's share of the retry budget has a retry
    /// left, without taking the retry.
    pub(super) fn has_retry_left(&self, service: &ServiceName) -> bool {
        let now = self.now();
        self.mechanisms().second_sends
            && self.with_retry_share(service, |share| share.can_retry(now))
    }

    fn with_retry_share<T>(
        &self,
        service: &ServiceName,
        act: impl FnOnce(&mut RetryShare) -> T,
    ) -> T {
        let instances = self.shared.view.load().ready.len();
        let mut retry_shares = self.retry_shares.borrow_mut();
        let budget = self.shared.settings.retry.budget();
        let share = retry_shares
            .entry(service.clone())
            .or_insert_with(|| RetryShare::new(budget, self.started));
        share.observe_instances(u32::try_from(instances).unwrap_or(u32::MAX));
        act(share)
    }

    pub(super) fn hints(&self) -> RefMut<'_, PrefixHints<UpstreamStart>> {
        self.hints.borrow_mut()
    }

    /// Counts a request as in flight on an upstream until the returned guard
    /// is dropped.
    pub(super) fn track_in_flight(
        &self,
        upstream: &UpstreamStart,
        variant: Option<BoundVariant>,
        prompt_tokens: u64,
    ) -> InFlightGuard {
        if let Some(variant) = &variant {
            let mut running = self.shared.running();
            *running.entry(variant.clone()).or_default() += 1;
        }
        let one = Load { running: 1, waiting_tokens: prompt_tokens };
        let mut loads = self.shared.loads();
        let load = loads.entry(upstream.clone()).or_default();
        *load = load.plus(one);
        InFlightGuard {
            shared: self.shared.clone(),
            upstream: upstream.clone(),
            variant,
            waiting_tokens: prompt_tokens,
        }
    }
}

/// A guard that counts a request as in flight on an upstream.
pub(super) struct InFlightGuard {
    shared: Arc<Shared>,
    upstream: UpstreamStart,
    variant: Option<BoundVariant>,
    /// The prompt tokens that the upstream has yet to prefill.
    waiting_tokens: u64,
}

impl InFlightGuard {
    /// Records that the upstream has prefilled the prompt: the first event has
    /// arrived.
    pub(super) fn prompt_prefilled(&mut self) {
        let prefilled = std::mem::take(&mut self.waiting_tokens);
        let mut loads = self.shared.loads();
        if let Some(load) = loads.get_mut(&self.upstream) {
            load.waiting_tokens =
                load.waiting_tokens.saturating_sub(prefilled);
        }
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        if let Some(variant) = &self.variant {
            let mut running = self.shared.running();
            let left = running.get(variant).map_or(0, |count| count - 1);
            match left {
                0 => running.remove(variant),
                left => running.insert(variant.clone(), left),
            };
        }
        let mut loads = self.shared.loads();
        let Some(load) = loads.get_mut(&self.upstream) else { return };
        load.waiting_tokens =
            load.waiting_tokens.saturating_sub(self.waiting_tokens);
        load.running = load.running.saturating_sub(1);
        if *load == Load::default() {
            loads.remove(&self.upstream);
        }
    }
}
