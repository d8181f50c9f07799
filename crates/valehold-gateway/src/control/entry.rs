//! What the holder of the lease knows of one engine.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
};

use valehold_core::{
    Millis,
    fleet::{
        Holding, Upstream, UpstreamStart, Variant, weight_loads::OrderPlace,
    },
    id::{DataCentreId, ModelName, ServiceName},
    order::Stamp,
};
use valehold_ports::port::fleet::OrderWish;

/// After how many failures in a row an engine is taken for gone.
const UNAVAILABLE_AFTER_FAILURES: u32 = 2;

/// How often an engine that is busy is asked, in ms.
pub(super) const POLL_INTERVAL_MS: u64 = 300;

/// How long what an engine holds is told to peers after a change, in ms.
const ADVERTISE_FOR_MS: u64 = 3_000;

/// For how long an adapter does not make way for another, in ms.
const RECENT_LOAD_MS: u64 = 2_500;

/// What is known of one engine.
#[derive(Debug, Clone)]
pub(super) struct EngineEntry {
    /// Which start of the engine this is about.
    pub(super) start: UpstreamStart,
    pub(super) service: ServiceName,
    pub(super) address: SocketAddr,
    pub(super) data_centre: DataCentreId,
    pub(super) leaving: bool,
    /// Whether its data centre is to be empty: it is told and asked nothing.
    pub(super) evacuated: bool,
    /// Whether it asked this gateway for rest, or takes a limited number of
    /// requests: it is told and asked nothing, and keeps what it holds.
    pub(super) restricted: bool,
    pub(super) holding: Holding,
    pub(super) loading: Option<ModelName>,
    /// A model that it was told to give up; it takes no new requests for it,
    /// and holds it until those that run are over.
    pub(super) unloading: Option<ModelName>,
    /// Whether an order about a model is being carried out.
    pub(super) executing_model_order: bool,
    /// Whether a report has to come before the next order.
    pub(super) needs_report: bool,
    /// Whether a report or an order is under way.
    pub(super) call_in_flight: bool,
    pub(super) polled_at: Millis,
    /// Before this, an order about a model that is being carried out cannot
    /// be done.
    pub(super) earliest_completion: Millis,
    pub(super) backoff_until: Millis,
    pub(super) failures: u32,
    /// Reports in a row from before what is known.
    pub(super) stale_reports: u32,
    /// Orders in a row that met another one.
    pub(super) conflicts: u32,
    /// Models of which it keeps copies.
    pub(super) copies: BTreeSet<ModelName>,
    /// When peers were first told of what it holds now.
    pub(super) advertised_since: Option<Millis>,
    /// Orders what peers are told of it.
    pub(super) stamp: Stamp,
    /// Adapters that it was told to load lately, and when.
    pub(super) recent_adapters: BTreeMap<Variant, Millis>,
    /// What the list said last.
    pub(super) last_listed: Arc<Upstream>,
}

impl EngineEntry {
    /// Makes the entry of an engine that has not reported yet.
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

    /// Takes in what the list says. Nothing that was known, ordered or
    /// expected of an earlier start says anything of a later one.
    pub(super) fn update_listing(&mut self, upstream: &Arc<Upstream>) {
        if self.start.birth < upstream.birth {
            *self = Self::new(upstream);
            return;
        }
        self.leaving = upstream.leaving;
        let holding_changed = self.last_listed.holding != upstream.holding;
        self.last_listed = upstream.clone();
        if holding_changed {
            // Another one's orders, or none: the engine itself tells.
            self.needs_report |=
                upstream.holding.models != self.holding.models;
        }
    }

    /// Tells whether a report that states a birth is of a later start.
    pub(super) fn is_later_start(&self, started_at_ms: Option<u64>) -> bool {
        self.start.birth < started_at_ms
    }

    /// Tells whether what states a birth, or none, is of this start.
    pub(super) fn is_current_start(&self, started_at_ms: Option<u64>) -> bool {
        started_at_ms.is_none() || started_at_ms == self.start.birth
    }

    /// Begins anew with a later start, which has not been listed yet.
    pub(super) fn restart(&mut self, started_at_ms: Option<u64>) {
        let listed = Upstream::clone(&self.last_listed);
        let holding = Holding::default();
        let evacuated = self.evacuated;
        let upstream =
            Arc::new(Upstream { birth: started_at_ms, holding, ..listed });
        *self = Self { evacuated, ..Self::new(&upstream) };
    }

    /// Takes in whether its data centre is to be empty. What it holds after
    /// that has to be asked: it may have started anew meanwhile.
    pub(super) fn set_evacuated(&mut self, evacuated: bool) {
        self.needs_report |= self.evacuated && !evacuated;
        self.evacuated = evacuated;
    }

    /// Tells whether it answers, stays and may be used.
    pub(super) fn is_available(&self) -> bool {
        !self.leaving
            && !self.evacuated
            && self.failures < UNAVAILABLE_AFTER_FAILURES
    }

    /// Returns which of the orders that it takes the next one is.
    pub(super) fn next_position(&self) -> OrderPlace {
        let start = self.start.clone();
        OrderPlace { start, sequence: self.holding.sequence }
    }

    pub(super) fn may_order(&self, now: Millis) -> bool {
        self.is_available()
            && !self.restricted
            && !self.call_in_flight
            && !self.needs_report
            && now >= self.backoff_until
    }

    /// Tells whether its report is needed, and may be asked for now.
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

    /// Tells whether it takes requests for a variant.
    pub(super) fn serves(&self, variant: &Variant) -> bool {
        self.holding.has(variant)
            && self.unloading.as_ref() != Some(&variant.model)
    }

    /// Returns the models that it takes requests for.
    pub(super) fn usable_models(&self) -> impl Iterator<Item = &ModelName> {
        let models = self.holding.models.keys();
        models.filter(|model| self.unloading.as_ref() != Some(model))
    }

    /// Returns what it takes requests for.
    pub(super) fn usable_holding(&self) -> Holding {
        let mut usable = self.holding.clone();
        if let Some(model) = &self.unloading {
            usable.models.remove(model);
        }
        usable
    }

    /// Tells whether what it holds is still to be told to peers.
    pub(super) fn needs_advertising(&self, now: Millis) -> bool {
        self.advertised_since
            .is_some_and(|at| now.since(at) < ADVERTISE_FOR_MS)
            || self.unloading.is_some()
    }

    /// Notes that peers are to be told what it holds now.
    pub(super) fn mark_changed(&mut self, now: Millis, last: &mut Stamp) {
        last.sequence += 1;
        self.stamp = *last;
        self.advertised_since = Some(now);
    }

    /// Forgets when adapters came that may make way again.
    pub(super) fn prune_recent_adapters(&mut self, now: Millis) {
        self.recent_adapters.retain(|_, at| now.since(*at) < RECENT_LOAD_MS);
    }

    /// Goes back to before an order of which the effect is not known, so that
    /// the next report counts, whatever it says.
    pub(super) fn discard_assumed_effect(&mut self, expected_sequence: u64) {
        self.holding.sequence = expected_sequence;
        self.unloading = None;
    }

    /// Notes an order that the engine took.
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
