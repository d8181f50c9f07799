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

use super::{Authority, FAILURE_BACKOFF_MS, Placer};
use crate::{
    control::{
        entry::EngineEntry,
        input::{Input, OrderResult, PendingOrder},
    },
    events::Event,
};

/// The part of a load's stated time before which it is not asked after.
const MIN_LOAD_FRACTION: f64 = 0.9;

/// How long an engine is left alone after an order met another one, in ms;
/// twice as long each further time.
const CONFLICT_BACKOFF_MS: u64 = 100;

/// How many times that is doubled at the most.
const MAX_BACKOFF_DOUBLINGS: u32 = 4;

/// How long requests get to turn away from a model before it is unloaded.
const UNLOAD_DELAY: Duration = Duration::from_millis(100);

impl Placer {
    /// Gives an order on what is known.
    pub(super) fn send_order(
        &mut self,
        engine: &UpstreamId,
        action: OrderWish,
        now: Millis,
    ) {
        let Some(order) = self.begin_order(engine, &action, now) else {
            return;
        };
        let (engines, inputs) = (self.engines.clone(), self.inputs.clone());
        let authority = self.authority.clone();
        tokio::task::spawn_local(async move {
            let result = send(&*engines, &authority, &order).await;
            let _ = inputs.send(Input::OrderFinished(order, result));
        });
    }

    /// Gives an order about a model, if a report confirms what is known.
    pub(super) fn verify_and_send_order(
        &mut self,
        engine: &UpstreamId,
        action: OrderWish,
        source: Option<LoadSource>,
        spec: &EngineSpec,
        now: Millis,
    ) {
        let Some(mut order) = self.begin_order(engine, &action, now) else {
            return;
        };
        order.source = source;
        if source == Some(LoadSource::WeightStore) {
            self.weight_loads.plan(order.position());
        }
        order.min_duration_ms = min_load_ms(spec, &action);
        let Some(entry) = self.entries.get_mut(engine) else { return };
        let known = entry.holding.clone();
        if let OrderWish::Unload(variant) = &action {
            // Peers turn away from it first. A later report tells them what
            // is there, whatever becomes of the order.
            entry.unloading = Some(variant.model.clone());
            entry.mark_changed(now, &mut self.stamp);
        }
        let (engines, inputs) = (self.engines.clone(), self.inputs.clone());
        let authority = self.authority.clone();
        let spec = spec.clone();
        tokio::task::spawn_local(async move {
            if matches!(order.action, OrderWish::Unload(_)) {
                tokio::time::sleep(UNLOAD_DELAY).await;
            }
            let report = engines.report(order.address).await;
            let is_unchanged = report.is_ok_and(|report| {
                !report.busy
                    && (report.birth.is_none()
                        || report.birth == order.engine.birth)
                    && report.holding == known
                    && has_required_copy(&report, &order)
                    && fits(&report.holding, &order.action, &spec)
            });
            let result = match is_unchanged {
                true => send(&*engines, &authority, &order).await,
                false => OrderResult::NotSent,
            };
            let _ = inputs.send(Input::OrderFinished(order, result));
        });
    }

    pub(super) fn begin_order(
        &mut self,
        engine: &UpstreamId,
        action: &OrderWish,
        now: Millis,
    ) -> Option<PendingOrder> {
        let epoch = self.stamp.epoch;
        let entry = self.entries.get_mut(engine)?;
        entry.call_in_flight = true;
        Some(PendingOrder {
            engine: entry.start.clone(),
            address: entry.address,
            action: action.clone(),
            expected_sequence: entry.holding.sequence,
            epoch,
            planned_at: now,
            source: None,
            min_duration_ms: 0,
        })
    }

    /// Takes in how an order ended.
    pub(in crate::control) fn on_order_finished(
        &mut self,
        order: PendingOrder,
        result: &OrderResult,
        now: Millis,
    ) {
        let variant = order.action.variant();
        Event::OrderEnded {
            engine: order.engine.id.clone(),
            wish: order.action.verb().to_owned(),
            variant: variant.to_string(),
            outcome: result.label().to_owned(),
            epoch: order.epoch,
            source: order.source,
            planned_ms: now.since(order.planned_at),
        }
        .log();
        self.pending_adapter_orders.remove(variant);
        self.record_load_outcome(&order, result, now);
        let is_model = variant.adapter.is_none();
        let entry = self.entries.get_mut(&order.engine.id);
        let of_this_start =
            |entry: &&mut EngineEntry| entry.start == order.engine;
        let Some(entry) = entry.filter(of_this_start) else { return };
        entry.call_in_flight = false;
        match result {
            OrderResult::Answered(OrderAnswer {
                outcome: OrderOutcome::Accepted | OrderOutcome::Holds,
                ..
            }) => {
                entry.failures = 0;
                entry.conflicts = 0;
                // An unload that is not done at once waits for requests.
                entry.needs_report =
                    matches!(order.action, OrderWish::Unload(_))
                        && (is_model
                            || result.outcome()
                                == Some(OrderOutcome::Accepted));
                entry.holding.sequence = order.expected_sequence + 1;
                entry.apply(&order.action, now);
                self.holders.record(&order.engine.id, entry);
                if let (true, OrderWish::Load(_)) = (is_model, &order.action) {
                    let has_copy = entry.copies.contains(&variant.model);
                    let min_duration_ms =
                        if has_copy { 0 } else { order.min_duration_ms };
                    entry.earliest_completion = now + min_duration_ms;
                }
                entry.mark_changed(now, &mut self.stamp);
            }
            OrderResult::Answered(OrderAnswer {
                outcome: OrderOutcome::Conflict | OrderOutcome::Refused,
                ..
            })
            | OrderResult::NotSent => {
                entry.needs_report = true;
                let shift = entry.conflicts.min(MAX_BACKOFF_DOUBLINGS);
                entry.conflicts += 1;
                entry.backoff_until = now + (CONFLICT_BACKOFF_MS << shift);
                entry.discard_assumed_effect(order.expected_sequence);
            }
            OrderResult::Unanswered(error) => {
                let id = &order.engine.id;
                log::debug!("an order to {id} was lost: {error}");
                entry.needs_report = true;
                entry.backoff_until = now + FAILURE_BACKOFF_MS;
                entry.discard_assumed_effect(order.expected_sequence);
            }
        }
    }
}

impl Placer {
    /// Takes in what the end of an order says of loads from the weight store.
    fn record_load_outcome(
        &mut self,
        order: &PendingOrder,
        result: &OrderResult,
        now: Millis,
    ) {
        let position = order.position();
        if order.source == Some(LoadSource::WeightStore) {
            self.weight_loads.end(&position, result.load_outcome(), now);
        } else if result.was_accepted() {
            self.weight_loads.void(&position);
        }
    }
}

fn min_load_ms(spec: &EngineSpec, action: &OrderWish) -> u64 {
    let OrderWish::Load(variant) = action else { return 0 };
    let load_ms = spec.model(&variant.model).map_or(0, |model| model.load_ms);
    (load_ms as f64 * MIN_LOAD_FRACTION) as u64
}

/// Tells whether the engine has the copy that it is to load. Without it the
/// model would come from the weight store, and not be counted.
fn has_required_copy(report: &EngineReport, order: &PendingOrder) -> bool {
    let variant = order.action.variant();
    order.source != Some(LoadSource::Copy)
        || report.copies.contains(&variant.model)
}

fn fits(holding: &Holding, action: &OrderWish, spec: &EngineSpec) -> bool {
    match action {
        OrderWish::Unload(_) => true,
        OrderWish::Load(variant) => {
            let size = spec.model(&variant.model).map(|model| model.size_mb);
            let used = taken_mb(holding, spec);
            size.is_some_and(|size| used + size <= spec.memory_mb)
        }
    }
}

/// Gives an order, if the lease allows it at this moment.
async fn send(
    engines: &dyn FleetEngines,
    authority: &Authority,
    pending: &PendingOrder,
) -> OrderResult {
    let Some(epoch) = (authority.epoch)() else { return OrderResult::NotSent };
    let order = EngineOrder {
        engine: pending.engine.id.clone(),
        address: pending.address,
        wish: pending.action.clone(),
        expected_sequence: pending.expected_sequence,
        holder: authority.holder.clone(),
        epoch,
    };
    match engines.order(&order).await {
        Ok(answer) => OrderResult::Answered(answer),
        Err(error) => OrderResult::Unanswered(error),
    }
}
