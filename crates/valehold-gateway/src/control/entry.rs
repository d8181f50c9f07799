//! What the holder of the lease knows of one engine.

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
    id::{DataCentreId, ModelName, ServiceName},
    order::Stamp,
};
use valehold_ports::port::fleet::OrderWish;

/// After how many failures in a row an engine is taken for gone.
const GONE_AFTER: u32 = 2;

/// How often an engine that is busy is asked, in ms.
pub(super) const ASK_EVERY_MS: u64 = 300;

/// How long what an engine holds is told to peers after a change, in ms.
const TELL_MS: u64 = 3_000;

/// For how long an adapter does not make way for another, in ms.
const YOUNG_MS: u64 = 2_500;

/// What is known of one engine.
#[derive(Debug, Clone)]
pub(super) struct Entry {
    /// Which start of the engine this is about.
    pub(super) start: UpstreamStart,
    pub(super) service: ServiceName,
    pub(super) address: SocketAddr,
    pub(super) data_centre: DataCentreId,
    pub(super) leaving: bool,
    /// Whether its data centre is to be empty: it is told and asked nothing.
    pub(super) emptied: bool,
    /// Whether it asked this gateway for rest, or takes a limited number of
    /// requests: it is told and asked nothing, and keeps what it holds.
    pub(super) resting: bool,
    pub(super) holding: Holding,
    pub(super) loading: Option<ModelName>,
    /// A model that it was told to give up; it takes no new requests for it,
    /// and holds it until those that run are over.
    pub(super) unloading: Option<ModelName>,
    /// Whether an order about a model is being carried out.
    pub(super) busy: bool,
    /// Whether a report has to come before the next order.
    pub(super) uncertain: bool,
    /// Whether a report or an order is under way.
    pub(super) under_way: bool,
    pub(super) asked: Millis,
    /// Before this, an order about a model that is being carried out cannot
    /// be done.
    pub(super) busy_until: Millis,
    pub(super) left_alone_until: Millis,
    pub(super) failures: u32,
    /// Reports in a row from before what is known.
    pub(super) old_reports: u32,
    /// Orders in a row that met another one.
    pub(super) conflicts: u32,
    /// Models of which it keeps copies.
    pub(super) copies: BTreeSet<ModelName>,
    /// When peers were first told of what it holds now.
    pub(super) changed: Option<Millis>,
    /// Orders what peers are told of it.
    pub(super) stamp: Stamp,
    /// Adapters that it was told to load lately, and when.
    pub(super) arrivals: BTreeMap<Variant, Millis>,
    /// What the list said last.
    pub(super) listed: Arc<Upstream>,
}

impl Entry {
    /// Makes the entry of an engine that has not reported yet.
    pub(super) fn new(upstream: &Arc<Upstream>) -> Self {
        Self {
            start: upstream.start(),
            service: upstream.service.clone(),
            address: upstream.address,
            data_centre: upstream.data_centre.clone(),
            leaving: upstream.leaving,
            emptied: false,
            resting: false,
            holding: upstream.holding.clone(),
            loading: None,
            unloading: None,
            busy: false,
            uncertain: true,
            under_way: false,
            asked: Millis::default(),
            busy_until: Millis::default(),
            left_alone_until: Millis::default(),
            failures: 0,
            old_reports: 0,
            conflicts: 0,
            copies: BTreeSet::new(),
            changed: None,
            stamp: Stamp::default(),
            arrivals: BTreeMap::new(),
            listed: upstream.clone(),
        }
    }

    /// Takes in what the list says. Nothing that was known, ordered or
    /// expected of an earlier start says anything of a later one.
    pub(super) fn list(&mut self, upstream: &Arc<Upstream>) {
        if self.start.started_at_ms < upstream.started_at_ms {
            *self = Self::new(upstream);
            return;
        }
        self.leaving = upstream.leaving;
        let is_news = self.listed.holding != upstream.holding;
        self.listed = upstream.clone();
        if is_news {
            // Another one's orders, or none: the engine itself tells.
            self.uncertain |= upstream.holding.models != self.holding.models;
        }
    }

    /// Tells whether a report that states a birth is of a later start.
    pub(super) fn is_later(&self, birth: Option<u64>) -> bool {
        self.start.started_at_ms < birth
    }

    /// Tells whether what states a birth, or none, is of this start.
    pub(super) fn is_of_this_start(&self, birth: Option<u64>) -> bool {
        birth.is_none() || birth == self.start.started_at_ms
    }

    /// Begins anew with a later start, which has not been listed yet.
    pub(super) fn begin_anew(&mut self, birth: Option<u64>) {
        let listed = Upstream::clone(&self.listed);
        let holding = Holding::default();
        let emptied = self.emptied;
        let started =
            Arc::new(Upstream { started_at_ms: birth, holding, ..listed });
        *self = Self { emptied, ..Self::new(&started) };
    }

    /// Takes in whether its data centre is to be empty. What it holds after
    /// that has to be asked: it may have started anew meanwhile.
    pub(super) fn empty(&mut self, emptied: bool) {
        self.uncertain |= self.emptied && !emptied;
        self.emptied = emptied;
    }

    /// Tells whether it answers, stays and may be used.
    pub(super) fn is_sound(&self) -> bool {
        !self.leaving && !self.emptied && self.failures < GONE_AFTER
    }

    /// Returns which of the orders that it takes the next one is.
    pub(super) fn next_place(&self) -> OrderPosition {
        let start = self.start.clone();
        OrderPosition { start, sequence: self.holding.sequence }
    }

    pub(super) fn may_order(&self, now: Millis) -> bool {
        self.is_sound()
            && !self.resting
            && !self.under_way
            && !self.uncertain
            && now >= self.left_alone_until
    }

    /// Tells whether its report is needed, and may be asked for now.
    pub(super) fn is_question_due(&self, now: Millis) -> bool {
        if self.leaving || self.emptied || self.resting || self.under_way {
            return false;
        }
        let may_be_done = self.busy
            && now >= self.busy_until
            && now.since(self.asked) >= ASK_EVERY_MS;
        now >= self.left_alone_until && (self.uncertain || may_be_done)
    }

    /// Tells whether it takes requests for a variant.
    pub(super) fn serves(&self, variant: &Variant) -> bool {
        self.holding.can_run(variant)
            && self.unloading.as_ref() != Some(&variant.model)
    }

    /// Returns the models that it takes requests for.
    pub(super) fn usable_models(&self) -> impl Iterator<Item = &ModelName> {
        let models = self.holding.models.keys();
        models.filter(|model| self.unloading.as_ref() != Some(model))
    }

    /// Returns what it takes requests for.
    pub(super) fn usable(&self) -> Holding {
        let mut usable = self.holding.clone();
        if let Some(model) = &self.unloading {
            usable.models.remove(model);
        }
        usable
    }

    /// Tells whether what it holds is still to be told to peers.
    pub(super) fn is_news(&self, now: Millis) -> bool {
        self.changed.is_some_and(|at| now.since(at) < TELL_MS)
            || self.unloading.is_some()
    }

    /// Notes that peers are to be told what it holds now.
    pub(super) fn change(&mut self, now: Millis, last: &mut Stamp) {
        last.sequence += 1;
        self.stamp = *last;
        self.changed = Some(now);
    }

    /// Forgets when adapters came that may make way again.
    pub(super) fn forget_arrivals(&mut self, now: Millis) {
        self.arrivals.retain(|_, at| now.since(*at) < YOUNG_MS);
    }

    /// Goes back to before an order of which the effect is not known, so that
    /// the next report counts, whatever it says.
    pub(super) fn forget_guess(&mut self, expected_sequence: u64) {
        self.holding.sequence = expected_sequence;
        self.unloading = None;
    }

    /// Notes an order that the engine took.
    pub(super) fn apply(&mut self, wish: &OrderWish, now: Millis) {
        match wish {
            OrderWish::Load(variant) => self.apply_load(variant, now),
            OrderWish::Unload(variant) => self.apply_unload(variant),
        }
    }

    fn apply_load(&mut self, variant: &Variant, now: Millis) {
        let Variant { model, adapter } = variant;
        let Some(adapter) = adapter else {
            self.loading = Some(model.clone());
            self.busy = true;
            return;
        };
        let adapters = self.holding.models.entry(model.clone()).or_default();
        adapters.insert(adapter.clone());
        self.arrivals.insert(variant.clone(), now);
    }

    fn apply_unload(&mut self, variant: &Variant) {
        let Variant { model, adapter } = variant;
        let Some(adapter) = adapter else {
            self.unloading = Some(model.clone());
            self.busy = true;
            return;
        };
        if let Some(adapters) = self.holding.models.get_mut(model) {
            adapters.remove(adapter);
        }
    }
}
