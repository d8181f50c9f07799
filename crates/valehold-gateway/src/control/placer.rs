//! Giving engines the orders that placement decides.
//!
//! Every order states how many orders its engine must have taken before. A
//! decision is made on what an engine holds after so many orders, and is
//! carried out only if that still is so: an order that arrives late, or that
//! another holder's has overtaken, does nothing.

use std::{
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use tokio::sync::mpsc;
use valehold_core::{
    Millis,
    fleet::{
        EngineHolding, Holding, KnownUpstreams, Listing, Variant,
        adapters::{
            AdapterHost, AdapterStep, AdapterUse, next_to_bring,
            place_adapter, taken_mb,
        },
        catalog::EngineSpec,
        peaks::Peaks,
        replicas::{self, EngineState, ModelNeed, ReplicaStep},
        window::Window,
    },
    id::{InstanceId, ModelName, ServiceName, UpstreamId},
    order::Stamp,
};
use valehold_ports::{
    PortError,
    port::fleet::{
        EngineOrder, EngineReport, FleetEngines, OrderOutcome, OrderWish,
    },
};

use super::{
    entry::Entry,
    input::{GivenOrder, Input, OrderEnd},
    needs::{needs, note_peaks},
};
use crate::{
    events::Event,
    mechanisms::MechanismSettings,
    peers::{message::VariantDemand, roster::sums::Loads},
};

/// How often the plan is made, in ms.
const PLAN_EVERY_MS: u64 = 250;

/// How often an engine that is busy is asked, in ms.
const ASK_EVERY_MS: u64 = 300;

/// The part of a load's stated time before which it is not asked after.
const LEAST_LOAD_PART: f64 = 0.9;

/// How long an engine is left alone after an order failed, in ms.
const AFTER_FAILURE_MS: u64 = 200;

/// How long an engine is left alone after an order met another one, in ms;
/// twice as long each further time.
const AFTER_CONFLICT_MS: u64 = 100;

/// How many times that is doubled at the most.
const MOST_DOUBLINGS: u32 = 4;

/// After how many reports in a row from before an order its effect is taken
/// for what they say. Reports lag by less than so many questions take.
const MOST_OLD_REPORTS: u32 = 6;

/// How many orders about adapters are under way at once while places are
/// filled.
const MOST_BROUGHT_AT_ONCE: usize = 3;

/// How long a wish stays without being repeated, in ms.
const KEEP_WISH_MS: u64 = 1_000;

/// The part of a window in which only as much of its loads begins. The next
/// holder counts anew, and what the last one began still counts.
const BURST_PART: f64 = 0.4;

/// How long requests get to turn away from a model before it is unloaded.
const TURN_AWAY: Duration = Duration::from_millis(100);

/// What the lease allows an order to carry.
#[derive(Clone)]
pub(super) struct Authority {
    /// The holder.
    pub(super) holder: InstanceId,
    /// Returns the epoch, if an order may be given at this moment, and notes
    /// that one is.
    pub(super) epoch: Rc<dyn Fn() -> Option<u64>>,
}

/// When one service was planned, and the loads that began lately.
#[derive(Debug)]
struct Pacing {
    planned: Millis,
    long: Window,
    short: Window,
}

impl Pacing {
    fn note(&mut self, now: Millis) {
        self.long.note(now);
        self.short.note(now);
    }

    fn take_back(&mut self, count: usize) {
        self.long.take_back(count);
        self.short.take_back(count);
    }
}

/// Gives orders to engines.
pub(super) struct Placer {
    engines: Arc<dyn FleetEngines>,
    inputs: mpsc::UnboundedSender<Input>,
    authority: Authority,
    entries: BTreeMap<UpstreamId, Entry>,
    wishes: BTreeMap<Variant, Millis>,
    /// Models of each service that no sound engine holds, and since when.
    lost: BTreeMap<ServiceName, BTreeMap<ModelName, Millis>>,
    /// Adapters about which orders are under way.
    ordered_now: BTreeSet<Variant>,
    pacing: BTreeMap<ServiceName, Pacing>,
    peaks: BTreeMap<ServiceName, Peaks>,
    load_window_s: f64,
    mechanisms: MechanismSettings,
    /// The last stamp that was given.
    stamp: Stamp,
}

impl Placer {
    pub(super) fn new(
        engines: Arc<dyn FleetEngines>,
        inputs: mpsc::UnboundedSender<Input>,
        authority: Authority,
        load_window_s: f64,
        mechanisms: MechanismSettings,
    ) -> Self {
        Self {
            engines,
            inputs,
            authority,
            entries: BTreeMap::new(),
            wishes: BTreeMap::new(),
            lost: BTreeMap::new(),
            ordered_now: BTreeSet::new(),
            pacing: BTreeMap::new(),
            peaks: BTreeMap::new(),
            load_window_s,
            mechanisms,
            stamp: Stamp::default(),
        }
    }

    /// Takes in the upstreams.
    pub(super) fn listed(&mut self, listing: &Listing) {
        let entries = &mut self.entries;
        entries.retain(|id, _| listing.upstreams.contains_key(id));
        for (id, upstream) in &listing.upstreams {
            let entry = entries.entry(id.clone());
            entry.or_insert_with(|| Entry::new(upstream)).list(upstream);
        }
    }

    /// Takes in what changed of some upstreams.
    pub(super) fn list_changes(
        &mut self,
        changed: &BTreeSet<UpstreamId>,
        listing: &Listing,
    ) {
        for id in changed {
            let Some(upstream) = listing.upstreams.get(id) else {
                self.entries.remove(id);
                continue;
            };
            let entry = self.entries.entry(id.clone());
            entry.or_insert_with(|| Entry::new(upstream)).list(upstream);
        }
    }

    /// Takes in that a request waits for a variant.
    pub(super) fn wished(&mut self, variant: Variant, now: Millis) {
        // Who wishes for what is there has not been told.
        for entry in self.entries.values_mut() {
            if entry.serves(&variant) && !entry.uncertain {
                entry.changed = Some(now);
                // It may be gone, too: whoever wishes did not reach it.
                entry.uncertain = now.since(entry.asked) >= ASK_EVERY_MS;
            }
        }
        self.wishes.insert(variant, now);
    }

    /// Begins an epoch: another one may have given orders before.
    pub(super) fn begin_epoch(&mut self, epoch: u64) {
        self.stamp = Stamp { epoch, sequence: 0 };
        self.lost.clear();
        self.peaks.clear();
        for entry in self.entries.values_mut() {
            entry.uncertain = true;
            entry.holding.sequence = 0;
        }
    }

    /// Returns what engines hold since the last orders.
    pub(super) fn news(&self, now: Millis) -> Vec<EngineHolding> {
        self.told(|_, entry| entry.is_news(now))
    }

    /// Returns those of the news that were not told yet.
    pub(super) fn news_beyond(
        &self,
        known: &KnownUpstreams,
        now: Millis,
    ) -> Vec<EngineHolding> {
        let is_news = |id: &UpstreamId, entry: &Entry| {
            entry.is_news(now) && !known.was_told(id, entry.stamp)
        };
        self.told(is_news)
    }

    /// Returns what engines take requests for that give a model up: their
    /// own word in the list says otherwise until they have.
    pub(super) fn unloading(&self) -> Vec<EngineHolding> {
        self.told(|_, entry| entry.unloading.is_some())
    }

    fn told(
        &self,
        which: impl Fn(&UpstreamId, &Entry) -> bool,
    ) -> Vec<EngineHolding> {
        let entries = self.entries.iter().filter(|(id, one)| which(id, one));
        let told = entries.map(|(id, entry)| EngineHolding {
            engine: id.clone(),
            holding: entry.usable(),
            stamp: entry.stamp,
        });
        told.collect()
    }

    /// Does what is due for one service while orders may be given.
    pub(super) fn tick(
        &mut self,
        now: Millis,
        service: &ServiceName,
        spec: &EngineSpec,
        demand: &BTreeMap<Variant, VariantDemand>,
        loads: &Loads,
    ) {
        for entry in self.entries.values_mut() {
            entry.forget_arrivals(now);
        }
        self.ask_where_due(service, now);
        self.place_adapters(now, service, spec, demand);
        if self.mechanisms.adapters_ahead {
            self.bring_adapters(now, service, spec, demand);
        }
        let pacing = self.pacing_of(service);
        if now.since(pacing.planned) >= PLAN_EVERY_MS {
            pacing.planned = now;
            self.note_lost(now, service, spec);
            self.place_models(now, service, spec, demand, loads);
        }
    }

    /// Notes which models of a service no sound engine holds.
    fn note_lost(
        &mut self,
        now: Millis,
        service: &ServiceName,
        spec: &EngineSpec,
    ) {
        let of_service =
            self.entries.values().filter(|e| e.service == *service);
        let held: BTreeSet<&ModelName> = of_service
            .filter(|entry| entry.is_sound())
            .flat_map(Entry::usable_models)
            .collect();
        let lost = self.lost.entry(service.clone()).or_default();
        lost.retain(|model, _| !held.contains(model));
        for model in &spec.models {
            if !held.contains(&model.name) {
                lost.entry(model.name.clone()).or_insert(now);
            }
        }
    }

    /// Asks engines of which a report is needed.
    fn ask_where_due(&mut self, service: &ServiceName, now: Millis) {
        let due: Vec<UpstreamId> = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.service == *service && !entry.leaving)
            .filter(|(_, e)| !e.under_way && now >= e.left_alone_until)
            .filter(|(_, entry)| {
                entry.uncertain
                    || (entry.busy
                        && now >= entry.busy_until
                        && now.since(entry.asked) >= ASK_EVERY_MS)
            })
            .map(|(id, _)| id.clone())
            .collect();
        for id in due {
            self.ask(&id, now);
        }
    }

    fn ask(&mut self, id: &UpstreamId, now: Millis) {
        let Some(entry) = self.entries.get_mut(id) else { return };
        entry.under_way = true;
        entry.asked = now;
        let (engines, inputs) = (self.engines.clone(), self.inputs.clone());
        let (engine, address) = (id.clone(), entry.address);
        tokio::task::spawn_local(async move {
            let report = engines.report(address).await;
            let input = Input::Reported { engine, report };
            let _ = inputs.send(input);
        });
    }

    /// Takes in an engine's report.
    pub(super) fn reported(
        &mut self,
        engine: &UpstreamId,
        report: Result<EngineReport, PortError>,
        now: Millis,
    ) {
        let Some(entry) = self.entries.get_mut(engine) else { return };
        entry.under_way = false;
        let report = match report {
            Ok(report) => report,
            Err(error) => {
                log::debug!("{engine} did not report: {error}");
                entry.failures += 1;
                entry.left_alone_until = now + AFTER_FAILURE_MS;
                return;
            }
        };
        entry.failures = 0;
        let is_old = report.holding.sequence < entry.holding.sequence;
        if is_old && entry.old_reports < MOST_OLD_REPORTS {
            // It is from before the last order.
            entry.old_reports += 1;
            entry.left_alone_until = now + ASK_EVERY_MS / 4;
            return;
        }
        entry.old_reports = 0;
        entry.uncertain = false;
        entry.busy = report.busy;
        let told = entry.usable();
        if !report.busy {
            entry.loading = None;
            entry.unloading = None;
        }
        if report.holding.sequence != entry.holding.sequence {
            // One of the lost ones was taken, or another holder's.
            entry.lost_loads = 0;
        }
        entry.holding = report.holding;
        if entry.usable() != told {
            entry.change(now, &mut self.stamp);
        }
        entry.copies = report.copies;
    }

    fn place_adapters(
        &mut self,
        now: Millis,
        service: &ServiceName,
        spec: &EngineSpec,
        demand: &BTreeMap<Variant, VariantDemand>,
    ) {
        self.wishes.retain(|_, at| now.since(*at) < KEEP_WISH_MS);
        let wishes: Vec<Variant> = self.wishes.keys().cloned().collect();
        for variant in wishes {
            if variant.adapter.is_none()
                || spec.model(&variant.model).is_none()
            {
                continue;
            }
            if self.ordered_now.contains(&variant) {
                continue;
            }
            let held = self.entries.values().any(|entry| {
                entry.service == *service
                    && entry.is_sound()
                    && entry.serves(&variant)
            });
            if held {
                self.wishes.remove(&variant);
                continue;
            }
            let hosts = self.hosts(now, service);
            let use_of = |variant: &Variant| use_of(demand, variant);
            let step = place_adapter(&variant, &hosts, spec, use_of);
            match step {
                Some(AdapterStep::Load(engine)) => {
                    self.ordered_now.insert(variant.clone());
                    self.order(&engine, OrderWish::Load(variant));
                }
                Some(AdapterStep::MakeRoom { engine, victim }) => {
                    self.order(&engine, OrderWish::Unload(victim));
                }
                None => {}
            }
        }
    }

    /// Fills free places with adapters that no engine holds, so that they
    /// are there when they are asked for.
    fn bring_adapters(
        &mut self,
        now: Millis,
        service: &ServiceName,
        spec: &EngineSpec,
        demand: &BTreeMap<Variant, VariantDemand>,
    ) {
        if self.ordered_now.len() >= MOST_BROUGHT_AT_ONCE {
            return;
        }
        let mut asked: BTreeMap<&ModelName, f64> = BTreeMap::new();
        for (variant, one) in demand {
            let requests = asked.entry(&variant.model).or_default();
            *requests += f64::from(one.requests);
        }
        let mut there = self.adapters_there();
        while self.ordered_now.len() < MOST_BROUGHT_AT_ONCE {
            let hosts = self.hosts(now, service);
            let is_held = |variant: &Variant| there.contains(variant);
            let found = next_to_bring(&hosts, spec, is_held, |model| {
                asked.get(model).copied().unwrap_or(0.0)
            });
            let Some((engine, variant)) = found else { return };
            there.insert(variant.clone());
            self.ordered_now.insert(variant.clone());
            self.order(&engine, OrderWish::Load(variant));
        }
    }

    /// Returns every adapter that a sound engine holds, or about which an
    /// order is under way.
    fn adapters_there(&self) -> BTreeSet<Variant> {
        let sound = self.entries.values().filter(|entry| entry.is_sound());
        let held = sound.flat_map(|entry| {
            entry.holding.adapted().filter(|variant| entry.serves(variant))
        });
        held.chain(self.ordered_now.iter().cloned()).collect()
    }

    /// Returns the engines that take an order about an adapter now: one that
    /// carries an order about a model out does not.
    fn hosts(
        &self,
        now: Millis,
        service: &ServiceName,
    ) -> Vec<AdapterHost<'_>> {
        self.entries
            .iter()
            .filter(|(_, e)| e.service == *service && e.may_order(now))
            .filter(|(_, entry)| !entry.busy)
            .map(|(id, entry)| AdapterHost {
                engine: id,
                holding: &entry.holding,
                young: &entry.arrivals,
            })
            .collect()
    }

    fn place_models(
        &mut self,
        now: Millis,
        service: &ServiceName,
        spec: &EngineSpec,
        demand: &BTreeMap<Variant, VariantDemand>,
        loads: &Loads,
    ) {
        let lost = self.lost.get(service).into_iter().flatten();
        let mut needs = needs(demand, lost, now);
        let states: Vec<EngineState> = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.service == *service)
            .map(|(id, entry)| EngineState {
                id: id.clone(),
                data_centre: entry.data_centre.clone(),
                holding: entry.usable(),
                loading: entry.loading.clone(),
                busy: entry.busy || !entry.may_order(now),
                sound: entry.is_sound(),
                copies: match self.mechanisms.copies_first {
                    true => entry.copies.clone(),
                    false => BTreeSet::new(),
                },
                load: load_of(loads, id),
            })
            .collect();
        if self.mechanisms.busy_models_kept {
            let peaks = self.peaks.entry(service.clone()).or_default();
            note_peaks(peaks, &mut needs, &states, now);
        }
        if log::log_enabled!(log::Level::Debug) {
            log_needs(&needs, &states);
        }
        let allowed = self.loads_left(now, service, spec);
        for step in replicas::plan(spec, &needs, &states, allowed) {
            match step {
                ReplicaStep::Load { engine, model, from_store } => {
                    if from_store {
                        self.pacing_of(service).note(now);
                    }
                    let variant = Variant { model, adapter: None };
                    let wish = OrderWish::Load(variant);
                    self.order_checked(&engine, wish, spec, now);
                }
                ReplicaStep::Unload { engine, model } => {
                    let variant = Variant { model, adapter: None };
                    let wish = OrderWish::Unload(variant);
                    self.order_checked(&engine, wish, spec, now);
                }
            }
        }
    }

    /// Returns how many loads may begin now.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    fn loads_left(
        &mut self,
        now: Millis,
        service: &ServiceName,
        spec: &EngineSpec,
    ) -> usize {
        let in_window = spec.loads_per_second * self.load_window_s;
        let allowed = |part: f64| ((in_window * part) as usize).max(1);
        let began = self.pacing_of(service);
        let left = allowed(1.0).saturating_sub(began.long.count(now));
        let burst = allowed(BURST_PART).saturating_sub(began.short.count(now));
        left.min(burst)
    }

    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    fn pacing_of(&mut self, service: &ServiceName) -> &mut Pacing {
        let span_ms = self.load_window_s * 1_000.0;
        self.pacing.entry(service.clone()).or_insert_with(|| Pacing {
            planned: Millis::default(),
            long: Window::new(span_ms as u64),
            short: Window::new((span_ms * BURST_PART) as u64),
        })
    }

    /// Gives an order on what is known.
    fn order(&mut self, engine: &UpstreamId, wish: OrderWish) {
        let Some(order) = self.begin(engine, &wish) else { return };
        let (engines, inputs) = (self.engines.clone(), self.inputs.clone());
        let authority = self.authority.clone();
        tokio::task::spawn_local(async move {
            let end = give(&*engines, &authority, &order).await;
            let _ = inputs.send(Input::Ordered(order, end));
        });
    }

    /// Gives an order about a model, if a report confirms what is known.
    fn order_checked(
        &mut self,
        engine: &UpstreamId,
        wish: OrderWish,
        spec: &EngineSpec,
        now: Millis,
    ) {
        let Some(mut order) = self.begin(engine, &wish) else { return };
        order.least_ms = least_load_ms(spec, &wish);
        let Some(entry) = self.entries.get_mut(engine) else { return };
        let known = entry.holding.clone();
        if let OrderWish::Unload(variant) = &wish {
            // Peers turn away from it first. A later report tells them what
            // is there, whatever becomes of the order.
            entry.unloading = Some(variant.model.clone());
            entry.change(now, &mut self.stamp);
        }
        let (engines, inputs) = (self.engines.clone(), self.inputs.clone());
        let authority = self.authority.clone();
        let spec = spec.clone();
        tokio::task::spawn_local(async move {
            if matches!(order.wish, OrderWish::Unload(_)) {
                tokio::time::sleep(TURN_AWAY).await;
            }
            let report = engines.report(order.address).await;
            let as_known = report.is_ok_and(|report| {
                !report.busy
                    && report.holding == known
                    && fits(&report.holding, &order.wish, &spec)
            });
            let end = match as_known {
                true => give(&*engines, &authority, &order).await,
                false => OrderEnd::NotSent,
            };
            let _ = inputs.send(Input::Ordered(order, end));
        });
    }

    fn begin(
        &mut self,
        engine: &UpstreamId,
        wish: &OrderWish,
    ) -> Option<GivenOrder> {
        let entry = self.entries.get_mut(engine)?;
        entry.under_way = true;
        Some(GivenOrder {
            engine: engine.clone(),
            address: entry.address,
            wish: wish.clone(),
            expected_sequence: entry.holding.sequence,
            least_ms: 0,
        })
    }

    /// Takes in how an order ended.
    pub(super) fn ordered(
        &mut self,
        order: GivenOrder,
        end: &OrderEnd,
        now: Millis,
    ) {
        let (OrderWish::Load(variant) | OrderWish::Unload(variant)) =
            &order.wish;
        Event::OrderEnded {
            engine: order.engine.clone(),
            wish: order.wish.verb().to_owned(),
            variant: variant.to_string(),
            outcome: end.label().to_owned(),
        }
        .log();
        self.ordered_now.remove(variant);
        let is_model = variant.adapter.is_none();
        let Some(entry) = self.entries.get_mut(&order.engine) else { return };
        entry.under_way = false;
        match end {
            OrderEnd::Answered(
                OrderOutcome::Accepted | OrderOutcome::Holds,
            ) => {
                entry.failures = 0;
                entry.conflicts = 0;
                let void = std::mem::take(&mut entry.lost_loads);
                if let Some(began) = self.pacing.get_mut(&entry.service) {
                    began.take_back(void);
                }
                // An unload that is not done at once waits for requests.
                entry.uncertain = matches!(order.wish, OrderWish::Unload(_))
                    && (is_model
                        || matches!(
                            end,
                            OrderEnd::Answered(OrderOutcome::Accepted)
                        ));
                entry.holding.sequence = order.expected_sequence + 1;
                entry.apply(&order.wish, now);
                if let (true, OrderWish::Load(_)) = (is_model, &order.wish) {
                    let copied = entry.copies.contains(&variant.model);
                    let least_ms = if copied { 0 } else { order.least_ms };
                    entry.busy_until = now + least_ms;
                }
                entry.change(now, &mut self.stamp);
            }
            OrderEnd::Answered(
                OrderOutcome::Conflict | OrderOutcome::Refused,
            )
            | OrderEnd::NotSent => {
                entry.uncertain = true;
                let shift = entry.conflicts.min(MOST_DOUBLINGS);
                entry.conflicts += 1;
                entry.left_alone_until = now + (AFTER_CONFLICT_MS << shift);
                entry.forget_guess(order.expected_sequence);
            }
            OrderEnd::Unanswered(error) => {
                log::debug!("an order to {} was lost: {error}", order.engine);
                entry.uncertain = true;
                entry.left_alone_until = now + AFTER_FAILURE_MS;
                if is_model && matches!(order.wish, OrderWish::Load(_)) {
                    entry.lost_loads += 1;
                }
                entry.forget_guess(order.expected_sequence);
            }
        }
    }
}

fn use_of(
    demand: &BTreeMap<Variant, VariantDemand>,
    variant: &Variant,
) -> AdapterUse {
    demand.get(variant).map_or_else(AdapterUse::default, |one| AdapterUse {
        requests: one.requests.into(),
        runs: one.running > 0,
    })
}

/// Logs what each model needs and has.
fn log_needs(needs: &BTreeMap<ModelName, ModelNeed>, engines: &[EngineState]) {
    for (model, need) in needs {
        let holds = |e: &&EngineState| e.holding.models.contains_key(model);
        let held = engines.iter().filter(holds).count();
        let ModelNeed { busy, adapters, .. } = need;
        log::debug!("{model}: busy {busy:.2}, {adapters:.1} adapters, {held}");
    }
}

/// Returns the least time that a load from the weight store takes, in ms.
#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss
)]
fn least_load_ms(spec: &EngineSpec, wish: &OrderWish) -> u64 {
    let OrderWish::Load(variant) = wish else { return 0 };
    let load_ms = spec.model(&variant.model).map_or(0, |model| model.load_ms);
    (load_ms as f64 * LEAST_LOAD_PART) as u64
}

fn fits(holding: &Holding, wish: &OrderWish, spec: &EngineSpec) -> bool {
    match wish {
        OrderWish::Unload(_) => true,
        OrderWish::Load(variant) => {
            let size = spec.model(&variant.model).map(|model| model.size_mb);
            let taken = taken_mb(holding, spec);
            size.is_some_and(|size| taken + size <= spec.memory_mb)
        }
    }
}

fn load_of(loads: &Loads, id: &UpstreamId) -> f64 {
    loads.get(&id.tag()).map_or(0.0, |load| f64::from(load.running))
}

/// Gives an order, if the lease allows it at this moment.
async fn give(
    engines: &dyn FleetEngines,
    authority: &Authority,
    given: &GivenOrder,
) -> OrderEnd {
    let Some(epoch) = (authority.epoch)() else { return OrderEnd::NotSent };
    let order = EngineOrder {
        engine: given.engine.clone(),
        address: given.address,
        wish: given.wish.clone(),
        expected_sequence: given.expected_sequence,
        holder: authority.holder.clone(),
        epoch,
    };
    match engines.order(&order).await {
        Ok(outcome) => OrderEnd::Answered(outcome),
        Err(error) => OrderEnd::Unanswered(error),
    }
}
