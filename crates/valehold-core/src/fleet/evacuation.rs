//! Data centres that operators have ordered to be emptied.
//!
//! An order stands until it is taken back. While it stands, upstreams of the
//! data centre get nothing new; what they answer already ends whole. Like the
//! configuration, the orders have a version of the platform's store, and of
//! two sets the one with the greater version holds.
//!
//! A set of version V is what stood when the store was at V. A whole read
//! has the store's version at the read, a change that of its row: so a set
//! that another gateway read later replaces one that was put together from
//! changes, and the other way round.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use super::{Listing, StoreVersion, topology::Topology};
use crate::{
    Millis,
    id::{DataCentreId, RegionId, ServiceName},
};

/// For how long it is remembered when a data centre was taken back, in ms:
/// longer than any upstream is cold after a start.
const REMEMBERED_MS: u64 = 600_000;

/// For how long an order stands that the store does not have any more since it
/// came back from a copy, in ms: operators write within seconds again what was
/// lost.
const HELD_MS: u64 = 10_000;

/// The data centres that are to be empty, as of one version of the platform's
/// store.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evacuations {
    /// The version; a greater one is newer.
    pub version: u64,
    /// The data centres.
    pub data_centres: BTreeSet<DataCentreId>,
}

/// An order to empty a data centre, or its end.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuationChange {
    /// The data centre.
    pub data_centre: DataCentreId,
    /// The store's version of the change.
    pub version: u64,
    /// Whether it is to be empty; otherwise the order was taken back.
    pub is_ordered: bool,
}

/// What the platform's store says of orders.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EvacuationNews {
    /// All that stand.
    Whole(Evacuations),
    /// What changed since an earlier version, the newest change of each data
    /// centre.
    Changes(Vec<EvacuationChange>),
}

impl Evacuations {
    /// Tells whether a data centre is to be empty.
    pub fn is_ordered(&self, data_centre: &DataCentreId) -> bool {
        self.data_centres.contains(data_centre)
    }

    /// Returns the orders after some changes, of which those that are older
    /// than these orders are in them already.
    #[must_use]
    pub fn after(
        &self,
        changes: impl IntoIterator<Item = EvacuationChange>,
    ) -> Self {
        let mut after = self.clone();
        for change in changes {
            let EvacuationChange { data_centre, version, is_ordered } = change;
            if version <= self.version {
                continue;
            }
            after.version = after.version.max(version);
            match is_ordered {
                true => after.data_centres.insert(data_centre),
                false => after.data_centres.remove(&data_centre),
            };
        }
        after
    }
}

/// What newer orders changed.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EvacuationsChanged {
    /// Data centres that are to be empty now.
    pub ordered: BTreeSet<DataCentreId>,
    /// Data centres of which the order was taken back.
    pub taken_back: BTreeSet<DataCentreId>,
}

impl EvacuationsChanged {
    /// Tells whether anything changed.
    pub fn is_any(&self) -> bool {
        !self.ordered.is_empty() || !self.taken_back.is_empty()
    }
}

/// What one gateway knows of orders, and since when.
///
/// Times are those of its own clock. Until it has heard of any set, also of
/// one without an order, every data centre counts as empty: a gateway that
/// has just started sends nothing where nothing may be sent.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EvacuationView {
    orders: Option<Evacuations>,
    in_force_from: BTreeMap<DataCentreId, Millis>,
    taken_back: BTreeMap<DataCentreId, Millis>,
    /// Data centres that are to be empty although the store, since it came back
    /// from a copy, does not say so, and until when.
    held: BTreeMap<DataCentreId, Millis>,
}

impl EvacuationView {
    /// Returns the orders, if any set was heard of yet.
    pub fn orders(&self) -> Option<&Evacuations> {
        self.orders.as_ref()
    }

    /// Tells whether the orders are known.
    pub fn is_known(&self) -> bool {
        self.orders.is_some()
    }

    /// Tells whether a data centre is to be empty: its upstreams get a
    /// request only where no other one could take it.
    pub fn is_emptying(&self, data_centre: &DataCentreId) -> bool {
        let orders = self.orders.as_ref();
        orders.is_none_or(|orders| orders.is_ordered(data_centre))
            || self.held.contains_key(data_centre)
    }

    /// Tells whether a data centre's upstreams get nothing any more.
    pub fn is_empty(&self, data_centre: &DataCentreId, now: Millis) -> bool {
        let from = self.in_force_from.get(data_centre);
        self.is_emptying(data_centre) && from.is_none_or(|from| now >= *from)
    }

    /// Returns the data centres whose upstreams get nothing any more.
    pub fn in_force(&self, now: Millis) -> BTreeSet<DataCentreId> {
        let ordered = self.ordered();
        ordered.filter(|one| self.is_empty(one, now)).cloned().collect()
    }

    /// Tells whether any data centre is to be empty, or none is known.
    pub fn is_any(&self) -> bool {
        let orders = self.orders.as_ref();
        orders.is_none_or(|orders| !orders.data_centres.is_empty())
            || !self.held.is_empty()
    }

    /// Returns in how long the order of a data centre comes into force, in
    /// ms; 0 if it is, or if there is none.
    pub fn left_ms(&self, data_centre: &DataCentreId, now: Millis) -> u64 {
        let from = self.in_force_from.get(data_centre);
        from.map_or(0, |from| from.since(now))
    }

    /// Returns in how long all orders are in force, in ms.
    pub fn longest_left_ms(&self, now: Millis) -> u64 {
        let left = self.ordered().map(|one| self.left_ms(one, now));
        left.max().unwrap_or(0)
    }

    /// Returns the data centres of which an order is known.
    pub fn ordered(&self) -> impl Iterator<Item = &DataCentreId> {
        let orders = self.orders.iter();
        let ordered = orders.flat_map(|orders| &orders.data_centres);
        ordered.chain(self.held.keys())
    }

    /// Returns how long ago the order of a data centre was taken back, in ms,
    /// if it was: its upstreams may have turned cold shortly before.
    pub fn taken_back_ms_ago(
        &self,
        data_centre: &DataCentreId,
        now: Millis,
    ) -> Option<u64> {
        let at = self.taken_back.get(data_centre)?;
        Some(now.since(*at))
    }

    /// Takes in a set of orders; returns what it changed, `None` if it is no
    /// newer than what is known.
    ///
    /// Orders come into force after `within_ms`. Those in the first set that
    /// is heard of, however, do at once, as they may have stood for long. One
    /// that is missing since the store came back from a copy stands for a
    /// while yet.
    pub fn hear(
        &mut self,
        orders: Evacuations,
        within_ms: u64,
        now: Millis,
    ) -> Option<EvacuationsChanged> {
        let Some(known) = self.orders.take() else {
            let ordered = orders.data_centres.clone();
            self.orders = Some(orders);
            let taken_back = BTreeSet::new();
            return Some(EvacuationsChanged { ordered, taken_back });
        };
        if orders.version <= known.version {
            self.orders = Some(known);
            return None;
        }
        let beyond = |one: &Evacuations, other: &Evacuations| {
            one.data_centres.difference(&other.data_centres).cloned().collect()
        };
        let mut ordered: BTreeSet<DataCentreId> = beyond(&orders, &known);
        let mut taken_back: BTreeSet<DataCentreId> = beyond(&known, &orders);
        ordered.retain(|one| !self.held.contains_key(one));
        self.held.retain(|one, _| !orders.is_ordered(one));
        if StoreVersion::is_later_era(orders.version, known.version) {
            let until = now + HELD_MS;
            let held = std::mem::take(&mut taken_back);
            self.held.extend(held.into_iter().map(|one| (one, until)));
        }
        self.orders = Some(orders);
        self.taken_back.retain(|_, at| now.since(*at) < REMEMBERED_MS);
        for data_centre in &ordered {
            self.in_force_from.insert(data_centre.clone(), now + within_ms);
            self.taken_back.remove(data_centre);
        }
        for data_centre in &taken_back {
            self.in_force_from.remove(data_centre);
            self.taken_back.insert(data_centre.clone(), now);
        }
        Some(EvacuationsChanged { ordered, taken_back })
    }

    /// Takes in that operators took the order of a data centre back, whatever
    /// is held against a copy of the store; tells whether it was.
    pub fn let_go(&mut self, data_centre: &DataCentreId, now: Millis) -> bool {
        let was_held = self.held.remove(data_centre).is_some();
        if was_held {
            self.in_force_from.remove(data_centre);
            self.taken_back.insert(data_centre.clone(), now);
        }
        was_held
    }

    /// Returns the data centres of which orders are held against a copy of the
    /// store for no longer.
    pub fn held_out(&self, now: Millis) -> Vec<DataCentreId> {
        let over = self.held.iter().filter(|(_, until)| now >= **until);
        over.map(|(one, _)| one.clone()).collect()
    }
}

/// Returns the services that have upstreams only in empty data centres; where
/// regions are declared, in each region by itself, since requests may be bound
/// to it.
pub fn left_without(
    listing: &Listing,
    empty: &BTreeSet<DataCentreId>,
    topology: &Topology,
) -> BTreeSet<(ServiceName, Option<RegionId>)> {
    let mut is_left = BTreeMap::new();
    for upstream in listing.upstreams.values().filter(|one| !one.leaving) {
        let region = topology.region_of(&upstream.data_centre).cloned();
        let place = (upstream.service.clone(), region);
        let left = is_left.entry(place).or_insert(false);
        *left |= !empty.contains(&upstream.data_centre);
    }
    let without = is_left.into_iter().filter(|(_, left)| !left);
    without.map(|(place, _)| place).collect()
}
