//! Giving orders, and taking in how they ended.

use std::time::Duration;

use valehold_core::{
    Millis,
    fleet::{
        Holding, adapters::taken_mb, catalog::EngineSpec, replicas::LoadSource,
    },
    id::UpstreamId,
};
use valehold_ports::port::fleet::{
    EngineOrder, EngineReport, FleetEngines, OrderAnswer, OrderOutcome,
    OrderWish,
};

use super::{AFTER_FAILURE_MS, Authority, Placer};
use crate::{
    control::{
        entry::Entry,
        input::{GivenOrder, Input, OrderEnd},
    },
    events::Event,
};

/// The part of a load's stated time before which it is not asked after.
const LEAST_LOAD_PART: f64 = 0.9;

/// How long an engine is left alone after an order met another one, in ms;
/// twice as long each further time.
const AFTER_CONFLICT_MS: u64 = 100;

/// How many times that is doubled at the most.
const MOST_DOUBLINGS: u32 = 4;

/// How long requests get to turn away from a model before it is unloaded.
const TURN_AWAY: Duration = Duration::from_millis(100);

impl Placer {
    /// Gives an order on what is known.
    pub(super) fn order(
        &mut self,
        engine: &UpstreamId,
        wish: OrderWish,
        now: Millis,
    ) {
        let Some(order) = self.begin(engine, &wish, now) else { return };
        let (engines, inputs) = (self.engines.clone(), self.inputs.clone());
        let authority = self.authority.clone();
        tokio::task::spawn_local(async move {
            let end = give(&*engines, &authority, &order).await;
            let _ = inputs.send(Input::Ordered(order, end));
        });
    }

    /// Gives an order about a model, if a report confirms what is known.
    pub(super) fn order_checked(
        &mut self,
        engine: &UpstreamId,
        wish: OrderWish,
        source: Option<LoadSource>,
        spec: &EngineSpec,
        now: Millis,
    ) {
        let Some(mut order) = self.begin(engine, &wish, now) else { return };
        order.source = source;
        if source == Some(LoadSource::WeightStore) {
            self.weight_loads.plan(order.place());
        }
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
                    && (report.birth.is_none()
                        || report.birth == order.engine.started_at_ms)
                    && report.holding == known
                    && has_source(&report, &order)
                    && fits(&report.holding, &order.wish, &spec)
            });
            let end = match as_known {
                true => give(&*engines, &authority, &order).await,
                false => OrderEnd::NotSent,
            };
            let _ = inputs.send(Input::Ordered(order, end));
        });
    }

    pub(super) fn begin(
        &mut self,
        engine: &UpstreamId,
        wish: &OrderWish,
        now: Millis,
    ) -> Option<GivenOrder> {
        let epoch = self.stamp.epoch;
        let entry = self.entries.get_mut(engine)?;
        entry.under_way = true;
        Some(GivenOrder {
            engine: entry.start.clone(),
            address: entry.address,
            wish: wish.clone(),
            expected_sequence: entry.holding.sequence,
            epoch,
            planned: now,
            source: None,
            least_ms: 0,
        })
    }

    /// Takes in how an order ended.
    pub(in crate::control) fn ordered(
        &mut self,
        order: GivenOrder,
        end: &OrderEnd,
        now: Millis,
    ) {
        let variant = order.wish.variant();
        Event::OrderEnded {
            engine: order.engine.id.clone(),
            wish: order.wish.verb().to_owned(),
            variant: variant.to_string(),
            outcome: end.label().to_owned(),
            epoch: order.epoch,
            source: order.source,
            planned_ms: now.since(order.planned),
        }
        .log();
        self.ordered_now.remove(variant);
        self.count_load(&order, end, now);
        let is_model = variant.adapter.is_none();
        let entry = self.entries.get_mut(&order.engine.id);
        let of_this_start = |entry: &&mut Entry| entry.start == order.engine;
        let Some(entry) = entry.filter(of_this_start) else { return };
        entry.under_way = false;
        match end {
            OrderEnd::Answered(OrderAnswer {
                outcome: OrderOutcome::Accepted | OrderOutcome::Holds,
                ..
            }) => {
                entry.failures = 0;
                entry.conflicts = 0;
                // An unload that is not done at once waits for requests.
                entry.uncertain = matches!(order.wish, OrderWish::Unload(_))
                    && (is_model
                        || end.outcome() == Some(OrderOutcome::Accepted));
                entry.holding.sequence = order.expected_sequence + 1;
                entry.apply(&order.wish, now);
                self.holders.note(&order.engine.id, entry);
                if let (true, OrderWish::Load(_)) = (is_model, &order.wish) {
                    let copied = entry.copies.contains(&variant.model);
                    let least_ms = if copied { 0 } else { order.least_ms };
                    entry.busy_until = now + least_ms;
                }
                entry.change(now, &mut self.stamp);
            }
            OrderEnd::Answered(OrderAnswer {
                outcome: OrderOutcome::Conflict | OrderOutcome::Refused,
                ..
            })
            | OrderEnd::NotSent => {
                entry.uncertain = true;
                let shift = entry.conflicts.min(MOST_DOUBLINGS);
                entry.conflicts += 1;
                entry.left_alone_until = now + (AFTER_CONFLICT_MS << shift);
                entry.forget_guess(order.expected_sequence);
            }
            OrderEnd::Unanswered(error) => {
                let id = &order.engine.id;
                log::debug!("an order to {id} was lost: {error}");
                entry.uncertain = true;
                entry.left_alone_until = now + AFTER_FAILURE_MS;
                entry.forget_guess(order.expected_sequence);
            }
        }
    }
}

impl Placer {
    /// Takes in what the end of an order says of loads from the weight store.
    fn count_load(&mut self, order: &GivenOrder, end: &OrderEnd, now: Millis) {
        let place = order.place();
        if order.source == Some(LoadSource::WeightStore) {
            self.weight_loads.record_outcome(&place, end.of_load(), now);
        } else if end.was_taken() {
            self.weight_loads.discard(&place);
        }
    }
}

fn least_load_ms(spec: &EngineSpec, wish: &OrderWish) -> u64 {
    let OrderWish::Load(variant) = wish else { return 0 };
    let load_ms = spec.model(&variant.model).map_or(0, |model| model.load_ms);
    (load_ms as f64 * LEAST_LOAD_PART) as u64
}

/// Tells whether the engine has the copy that it is to load. Without it the
/// model would come from the weight store, and not be counted.
fn has_source(report: &EngineReport, order: &GivenOrder) -> bool {
    let variant = order.wish.variant();
    order.source != Some(LoadSource::Copy)
        || report.copies.contains(&variant.model)
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

/// Gives an order, if the lease allows it at this moment.
async fn give(
    engines: &dyn FleetEngines,
    authority: &Authority,
    given: &GivenOrder,
) -> OrderEnd {
    let Some(epoch) = (authority.epoch)() else { return OrderEnd::NotSent };
    let order = EngineOrder {
        engine: given.engine.id.clone(),
        address: given.address,
        wish: given.wish.clone(),
        expected_sequence: given.expected_sequence,
        holder: authority.holder.clone(),
        epoch,
    };
    match engines.order(&order).await {
        Ok(answer) => OrderEnd::Answered(answer),
        Err(error) => OrderEnd::Unanswered(error),
    }
}
