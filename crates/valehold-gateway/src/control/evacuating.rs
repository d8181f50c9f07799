//! Applies and propagates evacuation orders for data centres, and reports them
//! to placement and operators.

use std::{collections::BTreeSet, net::SocketAddr};

use valehold_core::{
    Millis,
    fleet::{
        EvacuationChange, EvacuationUpdate, Evacuations,
        evacuation::{HeldEvacuation, services_without_upstreams},
        topology::Topology,
    },
    id::DataCentreId,
};

use super::Control;
use crate::{
    events::{CatalogSource, Event},
    peers::{Message, message::EvacuationReport},
};

/// The fraction of the operators' evacuation time during which an evacuated
/// data centre still gets requests that no other data centre can serve, while
/// models load elsewhere. The rest of the time covers delays: an order may
/// reach a gateway two seconds after the store accepted the order, and a
/// request takes time to arrive.
const LAST_RESORT_FRACTION: f64 = 0.25;

/// The maximum number of orders kept; data centres named in the settings take
/// precedence. Every heartbeat carries all orders, so rows written to the
/// store by mistake must not make heartbeats too large to send.
const MAX_ORDERS: usize = 64;

/// The time after the start in which another gateway reports the orders that
/// it holds, in ms: two heartbeat intervals and a busy machine.
const HELD_REPORT_MS: u64 = 600;

impl Control {
    /// Reports the orders that this gateway holds to other gateways, which may
    /// have started after the store was restored from a copy without them.
    pub(super) fn send_held_evacuations(
        &self,
        targets: impl IntoIterator<Item = SocketAddr>,
        now: Millis,
    ) {
        let held = self.evacuations.held(now);
        if !held.is_empty() {
            self.send(targets, &Message::HeldEvacuations(held));
        }
    }

    /// Holds orders that another gateway holds.
    pub(super) fn receive_held_evacuations(
        &mut self,
        held: &[HeldEvacuation],
        now: Millis,
    ) {
        let orders = self.evacuations.orders();
        let version = orders.map_or(0, |orders| orders.version);
        let topology = &self.shared.topology;
        let mut is_new = false;
        for one in held.iter().take(MAX_ORDERS) {
            if !self.evacuations.hold(one, now) {
                continue;
            }
            is_new = true;
            let data_centre = one.data_centre.clone();
            let is_declared = topology.region_of(&data_centre).is_some();
            Event::EvacuationOrdered {
                data_centre,
                version,
                left_ms: 0,
                is_declared,
                source: CatalogSource::Push,
            }
            .log();
        }
        if is_new {
            self.placer.evacuate(&self.evacuations);
            self.report_evacuations_in_force(now);
            self.publish();
        }
    }

    /// Returns whether other gateways may hold orders of which this gateway,
    /// which has just started, knows nothing yet.
    pub(super) fn may_lack_held_evacuations(&self, now: Millis) -> bool {
        let was_restored = self.store_era.is_some_and(|era| era > 0);
        was_restored && now.since(self.started) < HELD_REPORT_MS
    }

    /// Returns the evacuation report for peers, or `None` if this gateway does
    /// not know the orders yet.
    pub(super) fn evacuation_report(
        &self,
        now: Millis,
    ) -> Option<EvacuationReport> {
        let orders = self.evacuations.orders()?.clone();
        let left_ms = self.evacuations.max_left_ms(now);
        Some(EvacuationReport { orders, left_ms })
    }

    /// Applies an update of the orders from the store, and broadcasts the
    /// orders if the update changed them and is not the first one.
    ///
    /// `store_was_unreachable` says that the store did not answer before. The
    /// store may then have accepted an order at any earlier time.
    pub(super) fn apply_stored_evacuations(
        &mut self,
        update: EvacuationUpdate,
        store_was_unreachable: bool,
        now: Millis,
    ) {
        let is_first = !self.evacuations.is_known();
        let (orders, left_ms) = match update {
            // The age of the orders is unknown, so no time is left.
            EvacuationUpdate::Full(orders) => (orders, 0),
            EvacuationUpdate::Changes(changes) => {
                let Some(known) = self.evacuations.orders() else {
                    log::warn!(
                        "received changes of evacuation orders \
                                before the orders"
                    );
                    return;
                };
                let left_ms = if store_was_unreachable {
                    0
                } else {
                    self.last_resort_ms()
                };
                let orders = known.with_changes(changes.iter().cloned());
                self.release_held_evacuations(&changes, now);
                (orders, left_ms)
            }
        };
        let source = CatalogSource::Store;
        if self.apply_evacuations(orders, left_ms, source, now)
            && !is_first
            && let Some(report) = self.evacuation_report(now)
        {
            self.send_all(&Message::Evacuations(report));
        }
    }

    /// Releases held orders that were cancelled or have expired. Orders are
    /// held when a store restored from a backup lacks them.
    pub(super) fn release_held_evacuations(
        &mut self,
        changes: &[EvacuationChange],
        now: Millis,
    ) {
        let taken_back = changes.iter().filter(|one| !one.is_ordered);
        let taken_back = taken_back.map(|one| one.data_centre.clone());
        let mut released: Vec<DataCentreId> = taken_back.collect();
        released.extend(self.evacuations.expired_holds(now));
        released.retain(|one| self.evacuations.release_held(one, now));
        if released.is_empty() {
            return;
        }
        let orders = self.evacuations.orders();
        let version = orders.map_or(0, |orders| orders.version);
        for data_centre in released {
            self.mark_data_centre_possibly_cold(&data_centre, now);
            let source = CatalogSource::Store;
            Event::EvacuationTakenBack { data_centre, version, source }.log();
        }
        self.placer.evacuate(&self.evacuations);
        self.report_evacuations_in_force(now);
        self.publish();
    }

    /// Applies the orders in a peer's report.
    pub(super) fn receive_evacuations(
        &mut self,
        report: Option<EvacuationReport>,
        source: CatalogSource,
        now: Millis,
    ) {
        let Some(EvacuationReport { orders, left_ms }) = report else {
            return;
        };
        let left_ms = left_ms.min(self.last_resort_ms());
        self.apply_evacuations(orders, left_ms, source, now);
    }

    /// Applies orders if they are newer than the known ones, and returns
    /// whether anything changed.
    pub(super) fn apply_evacuations(
        &mut self,
        orders: Evacuations,
        left_ms: u64,
        source: CatalogSource,
        now: Millis,
    ) -> bool {
        let version = orders.version;
        let topology = &self.shared.topology;
        let orders = limit_orders(orders, topology);
        let was_known = self.evacuations.is_known();
        let Some(changed) = self.evacuations.update(orders, left_ms, now)
        else {
            return false;
        };
        let changes_orders = changed.has_any();
        for data_centre in &changed.ordered {
            let is_declared = topology.region_of(data_centre).is_some();
            Event::EvacuationOrdered {
                data_centre: data_centre.clone(),
                version,
                left_ms: self.evacuations.left_ms(data_centre, now),
                is_declared,
                source,
            }
            .log();
        }
        for data_centre in changed.cancelled {
            self.mark_data_centre_possibly_cold(&data_centre, now);
            Event::EvacuationTakenBack { data_centre, version, source }.log();
        }
        if !was_known {
            self.serve_if_ready();
        }
        let has_changed = changes_orders || !was_known;
        if has_changed {
            self.placer.evacuate(&self.evacuations);
            self.report_evacuations_in_force(now);
            self.publish();
        }
        has_changed
    }

    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_precision_loss,
        clippy::cast_sign_loss
    )]
    fn last_resort_ms(&self) -> u64 {
        let within_ms = self.shared.settings.evacuation.within_ms;
        (within_ms as f64 * LAST_RESORT_FRACTION) as u64
    }

    /// Logs orders that came into force and the services left without an
    /// upstream by them, and updates the metric.
    pub(super) fn report_evacuations_in_force(&mut self, now: Millis) {
        let in_force = self.evacuations.in_force(now);
        if in_force == self.reported_evacuations {
            return;
        }
        self.shared.metrics.evacuated(in_force.len());
        for one in in_force.difference(&self.reported_evacuations) {
            let data_centre = one.clone();
            Event::EvacuationInForce { data_centre }.log();
        }
        let listing = self.upstreams.listing();
        let topology = &self.shared.topology;
        for (service, region) in
            services_without_upstreams(listing, &in_force, topology)
        {
            Event::EvacuationLeavesNone { service, region }.log();
        }
        self.reported_evacuations = in_force;
    }
}

/// Drops orders beyond `MAX_ORDERS`.
fn limit_orders(mut orders: Evacuations, topology: &Topology) -> Evacuations {
    let count = orders.data_centres.len();
    if count <= MAX_ORDERS {
        return orders;
    }
    log::warn!(
        "{count} data centres have evacuation orders: {MAX_ORDERS} are kept"
    );
    let (declared, others): (BTreeSet<_>, BTreeSet<_>) = orders
        .data_centres
        .into_iter()
        .partition(|one| topology.region_of(one).is_some());
    let kept = declared.into_iter().chain(others).take(MAX_ORDERS);
    orders.data_centres = kept.collect();
    orders
}
