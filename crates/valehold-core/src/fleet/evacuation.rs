//! Evacuation orders: the data centres that operators have ordered to be
//! evacuated.
//!
//! An order applies until operators cancel it. While the order applies, the
//! upstreams of the data centre get no new requests; answers in progress are
//! completed. Like the configuration, the set of orders carries a version of
//! the platform's store, and of two sets the one with the greater version
//! applies.
//!
//! A set with version V contains the orders that applied when the store was at
//! V. A full read has the store's version at the time of the read, a change
//! has the version of its row. A set that another gateway read later therefore
//! replaces a set that was built from changes, and the other way round.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use super::{Listing, StoreVersion, topology::Topology};
use crate::{
    Millis,
    id::{DataCentreId, RegionId, ServiceName},
};

/// The time for which the cancellation of an order is remembered, in ms:
/// longer than any upstream is cold after a start.
const CANCELLED_RETENTION_MS: u64 = 600_000;

/// The time for which an order is held that is missing after the store was
/// restored from a copy, in ms: operators write lost orders again within
/// seconds.
const HOLD_MS: u64 = 10_000;

/// The data centres that are ordered to be evacuated, as of one version of the
/// platform's store.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evacuations {
    /// The store's version; a greater version is newer.
    pub version: u64,
    /// The data centres to evacuate.
    pub data_centres: BTreeSet<DataCentreId>,
}

/// The start or the cancellation of an order to evacuate a data centre.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuationChange {
    /// The data centre.
    pub data_centre: DataCentreId,
    /// The store's version of the change.
    pub version: u64,
    /// Whether the data centre is to be evacuated; if not, the order was
    /// cancelled.
    pub is_ordered: bool,
}

/// An update of the orders from the platform's store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EvacuationUpdate {
    /// All orders that apply.
    Full(Evacuations),
    /// The newest change of each data centre since an earlier version.
    Changes(Vec<EvacuationChange>),
}

impl Evacuations {
    /// Reports whether a data centre is ordered to be evacuated.
    pub fn is_ordered(&self, data_centre: &DataCentreId) -> bool {
        self.data_centres.contains(data_centre)
    }

    /// Returns the orders after some changes.
    ///
    /// A change that is not newer than these orders is already part of them,
    /// and is ignored.
    #[must_use]
    pub fn with_changes(
        &self,
        changes: impl IntoIterator<Item = EvacuationChange>,
    ) -> Self {
        let mut updated = self.clone();
        for change in changes {
            let EvacuationChange { data_centre, version, is_ordered } = change;
            if version <= self.version {
                continue;
            }
            updated.version = updated.version.max(version);
            match is_ordered {
                true => updated.data_centres.insert(data_centre),
                false => updated.data_centres.remove(&data_centre),
            };
        }
        updated
    }
}

/// An order that is held although the platform's store, which was restored
/// from a copy, lacks the order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldEvacuation {
    /// The data centre.
    pub data_centre: DataCentreId,
    /// The time for which the order is still held, in ms.
    pub left_ms: u64,
}

/// The difference that newer orders make.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EvacuationChanges {
    /// Data centres that are newly ordered to be evacuated.
    pub ordered: BTreeSet<DataCentreId>,
    /// Data centres whose order was cancelled.
    pub cancelled: BTreeSet<DataCentreId>,
}

impl EvacuationChanges {
    /// Reports whether any order started or was cancelled.
    pub fn has_any(&self) -> bool {
        !self.ordered.is_empty() || !self.cancelled.is_empty()
    }
}

/// The orders known to one gateway, with the times at which they take effect
/// by the gateway's own clock.
///
/// Until the gateway receives a first set of orders, which may be an empty
/// set, every data centre counts as evacuated. Otherwise a gateway that has
/// just started could send requests to an evacuated data centre.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EvacuationState {
    orders: Option<Evacuations>,
    in_force_from: BTreeMap<DataCentreId, Millis>,
    cancelled: BTreeMap<DataCentreId, Millis>,
    /// Data centres whose order is missing since the store was restored from a
    /// copy, each with the time until which the order is held.
    held: BTreeMap<DataCentreId, Millis>,
}

impl EvacuationState {
    /// Returns the orders, or `None` if no set was received yet.
    pub fn orders(&self) -> Option<&Evacuations> {
        self.orders.as_ref()
    }

    /// Reports whether a set of orders was received.
    pub fn is_known(&self) -> bool {
        self.orders.is_some()
    }

    /// Reports whether a data centre is being evacuated or is evacuated: while
    /// it is being evacuated, its upstreams get only requests that no other
    /// upstream can serve.
    pub fn is_evacuating(&self, data_centre: &DataCentreId) -> bool {
        let orders = self.orders.as_ref();
        orders.is_none_or(|orders| orders.is_ordered(data_centre))
            || self.held.contains_key(data_centre)
    }

    /// Reports whether the order of a data centre is in force, so that the
    /// upstreams of the data centre get no requests.
    pub fn is_evacuated(
        &self,
        data_centre: &DataCentreId,
        now: Millis,
    ) -> bool {
        let from = self.in_force_from.get(data_centre);
        self.is_evacuating(data_centre) && from.is_none_or(|from| now >= *from)
    }

    /// Returns the data centres whose order is in force.
    pub fn in_force(&self, now: Millis) -> BTreeSet<DataCentreId> {
        let ordered = self.ordered();
        ordered.filter(|one| self.is_evacuated(one, now)).cloned().collect()
    }

    /// Reports whether any data centre is ordered to be evacuated, or no set
    /// of orders was received yet.
    pub fn any_evacuating(&self) -> bool {
        let orders = self.orders.as_ref();
        orders.is_none_or(|orders| !orders.data_centres.is_empty())
            || !self.held.is_empty()
    }

    /// Returns the time until the order of a data centre comes into force, in
    /// ms, or 0 if the order is in force or there is none.
    pub fn left_ms(&self, data_centre: &DataCentreId, now: Millis) -> u64 {
        let from = self.in_force_from.get(data_centre);
        from.map_or(0, |from| from.since(now))
    }

    /// Returns the time until all orders are in force, in ms.
    pub fn max_left_ms(&self, now: Millis) -> u64 {
        let left = self.ordered().map(|one| self.left_ms(one, now));
        left.max().unwrap_or(0)
    }

    /// Returns the data centres that have an order, including a held one.
    pub fn ordered(&self) -> impl Iterator<Item = &DataCentreId> {
        let orders = self.orders.iter();
        let ordered = orders.flat_map(|orders| &orders.data_centres);
        ordered.chain(self.held.keys())
    }

    /// Returns the time since the order of a data centre was cancelled, in ms,
    /// or `None` if no recent cancellation is known. The upstreams of the data
    /// centre may have become cold shortly before the cancellation.
    pub fn cancelled_ms_ago(
        &self,
        data_centre: &DataCentreId,
        now: Millis,
    ) -> Option<u64> {
        let at = self.cancelled.get(data_centre)?;
        Some(now.since(*at))
    }

    /// Replaces the orders by a newer set. Returns the difference, or `None`
    /// if the set is not newer than the known one.
    ///
    /// Orders come into force after `within_ms`. The orders of the first
    /// received set are in force at once, as they may have applied for any
    /// time. An order that is missing after the store was restored from a copy
    /// is held for 10 seconds.
    pub fn update(
        &mut self,
        orders: Evacuations,
        within_ms: u64,
        now: Millis,
    ) -> Option<EvacuationChanges> {
        let Some(known) = self.orders.take() else {
            let ordered = orders.data_centres.clone();
            self.orders = Some(orders);
            let cancelled = BTreeSet::new();
            return Some(EvacuationChanges { ordered, cancelled });
        };
        if orders.version <= known.version {
            self.orders = Some(known);
            return None;
        }
        let only_in = |one: &Evacuations, other: &Evacuations| {
            one.data_centres.difference(&other.data_centres).cloned().collect()
        };
        let mut ordered: BTreeSet<DataCentreId> = only_in(&orders, &known);
        let mut cancelled: BTreeSet<DataCentreId> = only_in(&known, &orders);
        ordered.retain(|one| !self.held.contains_key(one));
        self.held.retain(|one, _| !orders.is_ordered(one));
        if StoreVersion::is_later_era(orders.version, known.version) {
            let until = now + HOLD_MS;
            let held = std::mem::take(&mut cancelled);
            self.held.extend(held.into_iter().map(|one| (one, until)));
        }
        self.orders = Some(orders);
        self.cancelled.retain(|_, at| now.since(*at) < CANCELLED_RETENTION_MS);
        for data_centre in &ordered {
            self.in_force_from.insert(data_centre.clone(), now + within_ms);
            self.cancelled.remove(data_centre);
        }
        for data_centre in &cancelled {
            self.in_force_from.remove(data_centre);
            self.cancelled.insert(data_centre.clone(), now);
        }
        Some(EvacuationChanges { ordered, cancelled })
    }

    /// Returns the held orders, for gateways that started after the store was
    /// restored.
    pub fn held(&self, now: Millis) -> Vec<HeldEvacuation> {
        let held = self.held.iter().map(|(data_centre, until)| {
            let data_centre = data_centre.clone();
            HeldEvacuation { data_centre, left_ms: until.since(now) }
        });
        held.filter(|one| one.left_ms > 0).collect()
    }

    /// Holds an order that another gateway holds, and returns whether the
    /// order was unknown.
    ///
    /// Does nothing if the order applies or was cancelled: the other gateway
    /// may not know of that yet.
    pub fn hold(&mut self, held: &HeldEvacuation, now: Millis) -> bool {
        let HeldEvacuation { data_centre, left_ms } = held;
        let orders = self.orders.as_ref();
        let applies = orders.is_some_and(|one| one.is_ordered(data_centre));
        let is_known = applies
            || self.held.contains_key(data_centre)
            || self.cancelled.contains_key(data_centre);
        if !is_known {
            let until = now + (*left_ms).min(HOLD_MS);
            self.held.insert(data_centre.clone(), until);
        }
        !is_known
    }

    /// Releases the held order of a data centre, because operators cancelled
    /// the order or the hold expired. Returns whether an order was held.
    pub fn release_held(
        &mut self,
        data_centre: &DataCentreId,
        now: Millis,
    ) -> bool {
        let was_held = self.held.remove(data_centre).is_some();
        if was_held {
            self.in_force_from.remove(data_centre);
            self.cancelled.insert(data_centre.clone(), now);
        }
        was_held
    }

    /// Returns the data centres whose hold has expired.
    pub fn expired_holds(&self, now: Millis) -> Vec<DataCentreId> {
        let expired = self.held.iter().filter(|(_, until)| now >= **until);
        expired.map(|(one, _)| one.clone()).collect()
    }
}

/// Returns the services whose upstreams are all in the data centres
/// `evacuated`.
///
/// Where regions are declared, each region is checked by itself, since
/// requests may be bound to a region. Upstreams that are leaving do not count.
pub fn services_without_upstreams(
    listing: &Listing,
    evacuated: &BTreeSet<DataCentreId>,
    topology: &Topology,
) -> BTreeSet<(ServiceName, Option<RegionId>)> {
    let mut has_upstream = BTreeMap::new();
    for upstream in listing.upstreams.values().filter(|one| !one.leaving) {
        let region = topology.region_of(&upstream.data_centre).cloned();
        let key = (upstream.service.clone(), region);
        let available = has_upstream.entry(key).or_insert(false);
        *available |= !evacuated.contains(&upstream.data_centre);
    }
    let without = has_upstream.into_iter().filter(|(_, available)| !available);
    without.map(|(key, _)| key).collect()
}
