//! Sending of orders and processing of their results.

use std::time::Duration;

use valehold_core::{
    Millis,
    fleet::{
        Holding, catalog::EngineSpec, model_sizes::ModelSizes,
        replicas::LoadSource,
    },
    id::{ServiceName, UpstreamId},
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

/// The fraction of a model's stated load time that passes before the engine is
/// polled for the completion of the load.
const MIN_LOAD_FRACTION: f64 = 0.9;

/// How long an engine gets no further calls after an order that was rejected
/// or not sent, in ms. The time doubles with each consecutive such order.
const CONFLICT_BACKOFF_MS: u64 = 100;

/// The maximum number of times that [`CONFLICT_BACKOFF_MS`] is doubled.
const MAX_BACKOFF_DOUBLINGS: u32 = 4;

/// The delay before a model is unloaded, in which peers learn of the unload
/// and stop sending requests for the model to the engine.
const UNLOAD_DELAY: Duration = Duration::from_millis(100);

impl Placer {
    /// Sends an order that rests on the known state of the engine.
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
            let result =
                send_if_permitted(&*engines, &authority, &order).await;
            let _ = inputs.send(Input::OrderFinished(order, result));
        });
    }

    /// Sends an order for a model if a report of the engine confirms the known
    /// state.
    pub(super) fn verify_and_send_order(
        &mut self,
        engine: &UpstreamId,
        action: OrderWish,
        source: Option<LoadSource>,
        service: &ServiceName,
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
        let known_holding = entry.holding.clone();
        if let OrderWish::Unload(variant) = &action {
            // Peers first stop sending requests for the model to the engine.
            // Whatever the result of the order, peers learn the real holding
            // from a later report.
            entry.unloading = Some(variant.model.clone());
            entry.mark_changed(now, &mut self.stamp);
        }
        let (engines, inputs) = (self.engines.clone(), self.inputs.clone());
        let authority = self.authority.clone();
        let sizes = self.models.sizes_of(service).clone();
        let memory_mb = spec.memory_mb;
        tokio::task::spawn_local(async move {
            if matches!(order.action, OrderWish::Unload(_)) {
                tokio::time::sleep(UNLOAD_DELAY).await;
            }
            let report = engines.report(order.address).await;
            let is_unchanged = report.is_ok_and(|report| {
                !report.busy
                    && (report.birth.is_none()
                        || report.birth == order.engine.started_at_ms)
                    && report.holding == known_holding
                    && has_required_copy(&report, &order)
                    && fits(&report.holding, &order.action, &sizes, memory_mb)
            });
            let result = match is_unchanged {
                true => send_if_permitted(&*engines, &authority, &order).await,
                false => OrderResult::NotSent,
            };
            let _ = inputs.send(Input::OrderFinished(order, result));
        });
    }

    /// Creates an order to an engine and marks a call to the engine as in
    /// flight. Returns `None` if the engine is not known.
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

    /// Handles the result of an order.
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
        let is_model_order = variant.adapter.is_none();
        let entry = self.entries.get_mut(&order.engine.id);
        let is_ordered_start =
            |entry: &&mut EngineEntry| entry.start == order.engine;
        let Some(entry) = entry.filter(is_ordered_start) else { return };
        entry.call_in_flight = false;
        match result {
            OrderResult::Answered(OrderAnswer {
                outcome: OrderOutcome::Accepted | OrderOutcome::Holds,
                ..
            }) => {
                entry.failures = 0;
                entry.conflicts = 0;
                // An unload that is not complete at once waits for running
                // requests, so a report has to follow.
                entry.needs_report =
                    matches!(order.action, OrderWish::Unload(_))
                        && (is_model_order
                            || result.outcome()
                                == Some(OrderOutcome::Accepted));
                entry.holding.sequence = order.expected_sequence + 1;
                entry.apply(&order.action, now);
                self.holders.record(&order.engine.id, entry);
                if let (true, OrderWish::Load(_)) =
                    (is_model_order, &order.action)
                {
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
                log::debug!("no answer to an order to engine {id}: {error}");
                entry.needs_report = true;
                entry.backoff_until = now + FAILURE_BACKOFF_MS;
                entry.discard_assumed_effect(order.expected_sequence);
            }
        }
    }
}

impl Placer {
    /// Updates the count of loads from the weight store by the result of an
    /// order.
    fn record_load_outcome(
        &mut self,
        order: &PendingOrder,
        result: &OrderResult,
        now: Millis,
    ) {
        let position = order.position();
        if order.source == Some(LoadSource::WeightStore) {
            self.weight_loads.record_outcome(
                &position,
                result.load_outcome(),
                now,
            );
        } else if result.was_accepted() {
            self.weight_loads.discard(&position);
        }
    }
}

/// Returns the time before which a load order cannot be complete, in ms; 0 for
/// other orders.
fn min_load_ms(spec: &EngineSpec, action: &OrderWish) -> u64 {
    let OrderWish::Load(variant) = action else { return 0 };
    let load_ms = spec.model(&variant.model).map_or(0, |model| model.load_ms);
    (load_ms as f64 * MIN_LOAD_FRACTION) as u64
}

/// Returns whether the engine has the local copy from which it is ordered to
/// load a model; `true` for other orders. Without the copy, the engine would
/// load the model from the weight store, and that load would not be counted.
fn has_required_copy(report: &EngineReport, order: &PendingOrder) -> bool {
    let variant = order.action.variant();
    order.source != Some(LoadSource::Copy)
        || report.copies.contains(&variant.model)
}

/// Returns whether the engine has enough free memory for the ordered model.
fn fits(
    holding: &Holding,
    action: &OrderWish,
    sizes: &ModelSizes,
    memory_mb: u64,
) -> bool {
    match action {
        OrderWish::Unload(_) => true,
        OrderWish::Load(variant) => {
            sizes.fits_model(holding, &variant.model, memory_mb)
        }
    }
}

/// Sends an order if the lease permits orders at this moment.
async fn send_if_permitted(
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
