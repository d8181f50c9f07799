//! The state of one engine as the lease holder knows it.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
};

use valehold_core::{
    Millis,
    fleet::{
        Holding, Upstream, UpstreamStart, Variant, weight_loads::OrderPosition,
    },
    id::{DataCentreId, ModelName, ServiceName, SoftwareVersion},
    order::Stamp,
};
use valehold_ports::port::fleet::OrderWish;

/// The number of consecutive failed polls after which an engine counts as
/// unavailable.
const UNAVAILABLE_AFTER_FAILURES: u32 = 2;

/// The interval at which an engine that executes a model order is polled, in
/// ms.
pub(super) const POLL_INTERVAL_MS: u64 = 300;

/// How long the holding of an engine is advertised to peers after a change,
/// in ms.
const ADVERTISE_FOR_MS: u64 = 3_000;

/// How long after its load an adapter is not unloaded in favour of another,
/// in ms.
const RECENT_LOAD_MS: u64 = 2_500;

/// The state of one engine: the facts from the list of upstreams, its last
/// report, and the effects of orders since then.
#[derive(Debug, Clone)]
pub(super) struct EngineEntry {
    /// The start (process) of the engine that the entry describes.
    pub(super) start: UpstreamStart,
    pub(super) service: ServiceName,
    pub(super) address: SocketAddr,
    pub(super) data_centre: DataCentreId,
    pub(super) leaving: bool,
    /// Whether operators evacuate the engine's data centre: the engine gets no
    /// orders and is not polled.
    pub(super) evacuated: bool,
    /// Whether the engine asked this gateway to back off, or accepts a limited
    /// number of requests: the engine gets no orders, is not polled and keeps
    /// its models.
    pub(super) restricted: bool,
    /// The models and adapters on the engine, as of its last report and the
    /// orders that the engine accepted since then.
    pub(super) holding: Holding,
    /// The model that the engine was ordered to load.
    pub(super) loading: Option<ModelName>,
    /// The model that the engine was ordered to unload. The engine accepts no
    /// new requests for the model and holds it until running requests finish.
    pub(super) unloading: Option<ModelName>,
    /// Whether the engine is executing an order to load or unload a model.
    pub(super) executing_model_order: bool,
    /// Whether the next order has to wait for a report of the engine.
    pub(super) needs_report: bool,
    /// Whether a poll of the engine or an order to it is in flight.
    pub(super) call_in_flight: bool,
    /// The time of the last poll.
    pub(super) polled_at: Millis,
    /// The earliest time at which the model order that the engine executes can
    /// be complete.
    pub(super) earliest_completion: Millis,
    /// The time before which the engine gets no calls.
    pub(super) backoff_until: Millis,
    /// Consecutive polls without an answer.
    pub(super) failures: u32,
    /// Consecutive reports that are older than the entry.
    pub(super) stale_reports: u32,
    /// Consecutive orders that the engine rejected or that were not sent.
    pub(super) conflicts: u32,
    /// Models of which the engine keeps local copies.
    pub(super) copies: BTreeSet<ModelName>,
    /// When the current holding was first due to be advertised to peers.
    pub(super) advertised_since: Option<Millis>,
    /// Puts the advertisements of the engine's holding in order.
    pub(super) stamp: Stamp,
    /// Adapters that the engine was recently ordered to load, with the time of
    /// each order.
    pub(super) recent_adapters: BTreeMap<Variant, Millis>,
    /// The latest record of the engine in the list of upstreams.
    pub(super) last_listed: Arc<Upstream>,
}

impl EngineEntry {
    /// Creates the entry of an engine that has not reported yet.
    pub(super) fn new(upstream: &Arc<Upstream>) -> Self {
        Self {
            start: upstream.start(),
            service: upstream.service.clone(),
            address: upstream.address,
            data_centre: upstream.data_centre.clone(),
            leaving: upstream.leaving,
            evacuated: false,
            restricted: false,
            holding: upstream.holding.clone(),
            loading: None,
            unloading: None,
            executing_model_order: false,
            needs_report: true,
            call_in_flight: false,
            polled_at: Millis::default(),
            earliest_completion: Millis::default(),
            backoff_until: Millis::default(),
            failures: 0,
            stale_reports: 0,
            conflicts: 0,
            copies: BTreeSet::new(),
            advertised_since: None,
            stamp: Stamp::default(),
            recent_adapters: BTreeMap::new(),
            last_listed: upstream.clone(),
        }
    }

    /// Applies the engine's record in the list of upstreams.
    ///
    /// A record of a later start replaces the whole entry: reports of an
    /// earlier start and orders to it do not apply to a later one.
    pub(super) fn update_listing(&mut self, upstream: &Arc<Upstream>) {
        if self.start.started_at_ms < upstream.started_at_ms {
            *self = Self::new(upstream);
            return;
        }
        self.leaving = upstream.leaving;
        let holding_changed = self.last_listed.holding != upstream.holding;
        self.last_listed = upstream.clone();
        if holding_changed {
            // Orders of another holder may have caused the change. Only a
            // report of the engine is conclusive.
            self.needs_report |=
                upstream.holding.models != self.holding.models;
        }
    }

    /// Returns whether a report with a start time comes from a later start of
    /// the engine than the entry describes.
    pub(super) fn is_later_start(&self, started_at_ms: Option<u64>) -> bool {
        self.start.started_at_ms < started_at_ms
    }

    /// Returns whether a report comes from the start that the entry describes.
    /// A report without a start time is attributed to that start.
    pub(super) fn is_current_start(&self, started_at_ms: Option<u64>) -> bool {
        started_at_ms.is_none() || started_at_ms == self.start.started_at_ms
    }

    /// Resets the entry for another start of the engine that is not in the
    /// list of upstreams yet.
    pub(super) fn restart(&mut self, started_at_ms: Option<u64>) {
        let listed = Upstream::clone(&self.last_listed);
        let holding = Holding::default();
        let evacuated = self.evacuated;
        let software = None;
        let upstream =
            Arc::new(Upstream { started_at_ms, software, holding, ..listed });
        *self = Self { evacuated, ..Self::new(&upstream) };
    }

    /// Returns the version of the engine's software, if it is known.
    pub(super) fn software(&self) -> Option<&SoftwareVersion> {
        self.last_listed.software.as_ref()
    }

    /// Records whether the engine's data centre is evacuated. When an
    /// evacuation ends, the engine has to be polled, since it may have been
    /// restarted in the meantime.
    pub(super) fn set_evacuated(&mut self, evacuated: bool) {
        self.needs_report |= self.evacuated && !evacuated;
        self.evacuated = evacuated;
    }

    /// Returns whether the engine responds, is not leaving and is not
    /// evacuated.
    pub(super) fn is_available(&self) -> bool {
        !self.leaving
            && !self.evacuated
            && self.failures < UNAVAILABLE_AFTER_FAILURES
    }

    /// Returns the position of the next order in the engine's sequence of
    /// orders.
    pub(super) fn next_position(&self) -> OrderPosition {
        let start = self.start.clone();
        OrderPosition { start, sequence: self.holding.sequence }
    }

    /// Returns whether an order can be sent to the engine now.
    pub(super) fn may_order(&self, now: Millis) -> bool {
        self.is_available()
            && !self.restricted
            && !self.call_in_flight
            && !self.needs_report
            && now >= self.backoff_until
    }

    /// Returns whether a report of the engine is needed and a poll is allowed
    /// now.
    pub(super) fn is_poll_due(&self, now: Millis) -> bool {
        if self.leaving
            || self.evacuated
            || self.restricted
            || self.call_in_flight
        {
            return false;
        }
        let may_be_complete = self.executing_model_order
            && now >= self.earliest_completion
            && now.since(self.polled_at) >= POLL_INTERVAL_MS;
        now >= self.backoff_until && (self.needs_report || may_be_complete)
    }

    /// Returns whether the engine accepts requests for a variant.
    pub(super) fn serves(&self, variant: &Variant) -> bool {
        self.holding.can_run(variant)
            && self.unloading.as_ref() != Some(&variant.model)
    }

    /// Returns the models for which the engine accepts requests.
    pub(super) fn usable_models(&self) -> impl Iterator<Item = &ModelName> {
        let models = self.holding.models.keys();
        models.filter(|model| self.unloading.as_ref() != Some(model))
    }

    /// Returns the models and adapters for which the engine accepts requests:
    /// its holding without the model that is being unloaded.
    pub(super) fn usable_holding(&self) -> Holding {
        let mut usable = self.holding.clone();
        if let Some(model) = &self.unloading {
            usable.models.remove(model);
        }
        usable
    }

    /// Returns whether the engine's holding still has to be advertised to
    /// peers.
    pub(super) fn needs_advertising(&self, now: Millis) -> bool {
        self.advertised_since
            .is_some_and(|at| now.since(at) < ADVERTISE_FOR_MS)
            || self.unloading.is_some()
    }

    /// Schedules advertisements of the engine's current holding, with a new
    /// stamp that follows `last`.
    pub(super) fn mark_changed(&mut self, now: Millis, last: &mut Stamp) {
        last.sequence += 1;
        self.stamp = *last;
        self.advertised_since = Some(now);
    }

    /// Prunes adapters that may be unloaded in favour of others again.
    pub(super) fn prune_recent_adapters(&mut self, now: Millis) {
        self.recent_adapters.retain(|_, at| now.since(*at) < RECENT_LOAD_MS);
    }

    /// Reverts the entry to its state before an order whose effect is unknown,
    /// so that the next report is applied whatever its contents.
    pub(super) fn discard_assumed_effect(&mut self, expected_sequence: u64) {
        self.holding.sequence = expected_sequence;
        self.unloading = None;
    }

    /// Applies an order that the engine accepted.
    pub(super) fn apply(&mut self, action: &OrderWish, now: Millis) {
        match action {
            OrderWish::Load(variant) => self.apply_load(variant, now),
            OrderWish::Unload(variant) => self.apply_unload(variant),
        }
    }

    fn apply_load(&mut self, variant: &Variant, now: Millis) {
        let Variant { model, adapter } = variant;
        let Some(adapter) = adapter else {
            self.loading = Some(model.clone());
            self.executing_model_order = true;
            return;
        };
        let adapters = self.holding.models.entry(model.clone()).or_default();
        adapters.insert(adapter.clone());
        self.recent_adapters.insert(variant.clone(), now);
    }

    fn apply_unload(&mut self, variant: &Variant) {
        let Variant { model, adapter } = variant;
        let Some(adapter) = adapter else {
            self.unloading = Some(model.clone());
            self.executing_model_order = true;
            return;
        };
        if let Some(adapters) = self.holding.models.get_mut(model) {
            adapters.remove(adapter);
        }
    }
}
