//! Orders to empty data centres: taking them in, passing them on, and telling
//! placement and operators.

use std::collections::BTreeSet;

use valehold_core::{
    Millis,
    fleet::{
        EvacuationChange, EvacuationUpdate, Evacuations,
        evacuation::services_without_upstreams, topology::Topology,
    },
    id::DataCentreId,
};

use super::Control;
use crate::{
    events::{CatalogSource, Event},
    peers::{Message, message::EvacuationReport},
};

/// The part of the time that operators give in which an emptied data centre
/// still gets requests that nobody else could take: models come up elsewhere
/// meanwhile. A gateway may hear of an order as much as two seconds after the
/// store took it, and a request takes time to arrive.
const STILL_USED_PART: f64 = 0.25;

/// How many orders are kept at the most, those of data centres that the
/// settings name before others. Every heartbeat carries all: rows that others
/// wrote by mistake are not to make them too large to be sent.
const MOST_ORDERS: usize = 64;

impl Control {
    /// Returns what this gateway says to others of orders.
    pub(super) fn evacuation_word(
        &self,
        now: Millis,
    ) -> Option<EvacuationReport> {
        let orders = self.evacuations.orders()?.clone();
        let left_ms = self.evacuations.max_left_ms(now);
        Some(EvacuationReport { orders, left_ms })
    }

    /// Takes in what the store says of orders, and passes on what is new.
    ///
    /// `was_lost` tells whether the store did not answer before: it may have
    /// taken an order any time ago.
    pub(super) fn evacuate_by_store(
        &mut self,
        news: EvacuationUpdate,
        was_lost: bool,
        now: Millis,
    ) {
        let is_first = !self.evacuations.is_known();
        let (orders, left_ms) = match news {
            // They may have stood for any time.
            EvacuationUpdate::Full(orders) => (orders, 0),
            EvacuationUpdate::Changes(changes) => {
                let Some(known) = self.evacuations.orders() else {
                    log::warn!(
                        "changes of orders to empty data centres \
                                came before the orders"
                    );
                    return;
                };
                let left_ms = if was_lost { 0 } else { self.still_used_ms() };
                let orders = known.with_changes(changes.iter().cloned());
                self.let_go_of_held(&changes, now);
                (orders, left_ms)
            }
        };
        let source = CatalogSource::Store;
        if self.evacuate(orders, left_ms, source, now)
            && !is_first
            && let Some(word) = self.evacuation_word(now)
        {
            self.send_all(&Message::Evacuations(word));
        }
    }

    /// Takes in which orders that are held against a copy of the store were
    /// taken back, or are held no longer.
    pub(super) fn let_go_of_held(
        &mut self,
        changes: &[EvacuationChange],
        now: Millis,
    ) {
        let taken_back = changes.iter().filter(|one| !one.is_ordered);
        let taken_back = taken_back.map(|one| one.data_centre.clone());
        let mut over: Vec<DataCentreId> = taken_back.collect();
        over.extend(self.evacuations.expired_holds(now));
        over.retain(|one| self.evacuations.release_held(one, now));
        if over.is_empty() {
            return;
        }
        let orders = self.evacuations.orders();
        let version = orders.map_or(0, |orders| orders.version);
        for data_centre in over {
            self.may_have_cooled(&data_centre, now);
            let source = CatalogSource::Store;
            Event::EvacuationTakenBack { data_centre, version, source }.log();
        }
        self.placer.evacuate(&self.evacuations);
        self.tell_evacuations(now);
        self.publish();
    }

    /// Takes in what a peer says of orders.
    pub(super) fn hear_evacuations(
        &mut self,
        word: Option<EvacuationReport>,
        source: CatalogSource,
        now: Millis,
    ) {
        let Some(EvacuationReport { orders, left_ms }) = word else { return };
        let left_ms = left_ms.min(self.still_used_ms());
        self.evacuate(orders, left_ms, source, now);
    }

    /// Takes orders, if they are newer; tells whether they are others.
    pub(super) fn evacuate(
        &mut self,
        orders: Evacuations,
        left_ms: u64,
        source: CatalogSource,
        now: Millis,
    ) -> bool {
        let version = orders.version;
        let topology = &self.shared.topology;
        let orders = without_surplus(orders, topology);
        let was_known = self.evacuations.is_known();
        let Some(changed) = self.evacuations.update(orders, left_ms, now)
        else {
            return false;
        };
        let is_any = changed.has_any();
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
            self.may_have_cooled(&data_centre, now);
            Event::EvacuationTakenBack { data_centre, version, source }.log();
        }
        if !was_known {
            self.live();
        }
        let is_other = is_any || !was_known;
        if is_other {
            self.placer.evacuate(&self.evacuations);
            self.tell_evacuations(now);
            self.publish();
        }
        is_other
    }

    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_precision_loss,
        clippy::cast_sign_loss
    )]
    fn still_used_ms(&self) -> u64 {
        let within_ms = self.shared.settings.evacuation.within_ms;
        (within_ms as f64 * STILL_USED_PART) as u64
    }

    /// Tells operators which orders have come into force, and which services
    /// they leave without an upstream.
    pub(super) fn tell_evacuations(&mut self, now: Millis) {
        let in_force = self.evacuations.in_force(now);
        if in_force == self.told_evacuations {
            return;
        }
        self.shared.metrics.evacuated(in_force.len());
        for one in in_force.difference(&self.told_evacuations) {
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
        self.told_evacuations = in_force;
    }
}

/// Leaves out orders beyond those that are kept.
fn without_surplus(
    mut orders: Evacuations,
    topology: &Topology,
) -> Evacuations {
    let count = orders.data_centres.len();
    if count <= MOST_ORDERS {
        return orders;
    }
    log::warn!("{count} data centres are to be empty: {MOST_ORDERS} are kept");
    let (declared, others): (BTreeSet<_>, BTreeSet<_>) = orders
        .data_centres
        .into_iter()
        .partition(|one| topology.region_of(one).is_some());
    let kept = declared.into_iter().chain(others).take(MOST_ORDERS);
    orders.data_centres = kept.collect();
    orders
}
