//! Tests which evacuation orders apply, by their versions and over time.

use std::{collections::BTreeSet, sync::Arc};

use googletest::prelude::*;
use proptest::prelude::*;

use crate::{
    fleet::{
        EvacuationChange, EvacuationState, Evacuations, Holding, Listing,
        StoreVersion, Upstream,
        evacuation::{HeldEvacuation, services_without_upstreams},
        topology::Topology,
    },
    id::{DataCentreId, RegionId, ServiceName, UpstreamId},
    time::Millis,
};

fn at(ms: u64) -> Millis {
    Millis::new(ms)
}

fn dc(name: &str) -> DataCentreId {
    DataCentreId::new(name)
}

fn orders(version: u64, names: &[&str]) -> Evacuations {
    let data_centres = names.iter().map(|name| dc(name)).collect();
    Evacuations { version, data_centres }
}

fn change(version: u64, name: &str, is_ordered: bool) -> EvacuationChange {
    EvacuationChange { data_centre: dc(name), version, is_ordered }
}

/// A gateway without a set of orders sends to no data centre. Once it receives
/// an empty set, it may send to all.
#[gtest]
fn until_orders_are_known_every_data_centre_counts_as_evacuated() {
    let mut state = EvacuationState::default();
    expect_that!(state.is_known(), eq(false));
    expect_that!(state.is_evacuated(&dc("north"), at(5)), eq(true));
    state.update(orders(0, &[]), 1_000, at(10));
    expect_that!(state.is_known(), eq(true));
    expect_that!(state.is_evacuating(&dc("north")), eq(false));
    expect_that!(state.is_evacuated(&dc("north"), at(10)), eq(false));
}

#[gtest]
fn an_order_comes_into_force_after_its_delay() {
    let mut state = EvacuationState::default();
    state.update(orders(4, &[]), 1_000, at(10));
    let changed = state.update(orders(7, &["north"]), 1_000, at(100));
    let changed = changed.expect("newer orders");
    expect_that!(changed.ordered, eq(&BTreeSet::from([dc("north")])));
    expect_that!(state.is_evacuating(&dc("north")), eq(true));
    expect_that!(state.is_evacuated(&dc("north"), at(1_099)), eq(false));
    expect_that!(state.is_evacuated(&dc("north"), at(1_100)), eq(true));
    expect_that!(state.is_evacuating(&dc("south")), eq(false));
    // A repeated order does not restart the delay.
    expect_that!(state.update(orders(7, &["north"]), 1_000, at(900)), none());
    state.update(orders(9, &["north", "south"]), 1_000, at(1_050));
    expect_that!(state.is_evacuated(&dc("north"), at(1_100)), eq(true));
    expect_that!(state.is_evacuated(&dc("south"), at(1_100)), eq(false));
}

/// An order in the first set may have applied for any time.
#[gtest]
fn the_first_orders_received_are_in_force_at_once() {
    let mut state = EvacuationState::default();
    state.update(orders(7, &["north"]), 1_000, at(100));
    expect_that!(state.is_evacuated(&dc("north"), at(100)), eq(true));
}

#[gtest]
fn the_time_since_a_cancellation_is_known() {
    let mut state = EvacuationState::default();
    state.update(orders(4, &["north"]), 1_000, at(10));
    expect_that!(state.cancelled_ms_ago(&dc("north"), at(50)), none());
    state.update(orders(5, &[]), 1_000, at(100));
    expect_that!(state.is_evacuating(&dc("north")), eq(false));
    expect_that!(state.cancelled_ms_ago(&dc("north"), at(350)), some(eq(250)));
    // A new order ends the record of the cancellation.
    state.update(orders(6, &["north"]), 1_000, at(400));
    expect_that!(state.cancelled_ms_ago(&dc("north"), at(450)), none());
    expect_that!(state.is_evacuated(&dc("north"), at(1_399)), eq(false));
    expect_that!(state.is_evacuated(&dc("north"), at(1_400)), eq(true));
}

/// A full read has the store's version at the time of the read, a change has
/// the version of its row.
#[gtest]
fn changes_that_are_part_of_a_set_change_nothing() {
    let known = orders(20, &["north"]);
    let old = [change(18, "north", false), change(20, "south", true)];
    expect_that!(known.with_changes(old), eq(&known));
    let mixed = [change(18, "north", false), change(21, "south", true)];
    expect_that!(
        known.with_changes(mixed),
        eq(&orders(21, &["north", "south"]))
    );
}

fn listing(upstreams: &[(&str, &str)]) -> Listing {
    let upstreams = upstreams.iter().enumerate().map(|(index, one)| {
        let (service, data_centre) = *one;
        let upstream = Upstream {
            id: UpstreamId::new(format!("u{index}")),
            service: ServiceName::new(service),
            address: ([10, 0, 0, 1], 80).into(),
            data_centre: dc(data_centre),
            slots: 4,
            leaving: false,
            cold_for_ms: 0,
            started_at_ms: None,
            software: None,
            holding: Holding::default(),
        };
        (upstream.id.clone(), Arc::new(upstream))
    });
    Listing { version: 1, upstreams: upstreams.collect() }
}

/// Requests may be bound to a region, so each region is checked by itself.
#[gtest]
fn services_without_an_available_upstream_are_returned() {
    let listing =
        listing(&[("s", "a1"), ("s", "a2"), ("s", "b1"), ("t", "a1")]);
    let evacuated = BTreeSet::from([dc("a1"), dc("a2")]);
    let without =
        |topology| services_without_upstreams(&listing, &evacuated, &topology);
    let unknown = Topology::new(dc("a1"), [].into());
    let place = |service: &str, region: Option<&str>| {
        (ServiceName::new(service), region.map(RegionId::new))
    };
    expect_that!(without(unknown), elements_are![eq(&place("t", None))]);
    let regions = [("a1", "a"), ("a2", "a"), ("b1", "b")];
    let regions = regions.map(|(name, of)| (dc(name), RegionId::new(of)));
    let declared = Topology::new(dc("a1"), regions.into());
    expect_that!(
        without(declared),
        elements_are![eq(&place("s", Some("a"))), eq(&place("t", Some("a")))]
    );
}

proptest! {
    /// Gateways read all orders from the store or follow its changes, and send
    /// their sets to one another, delayed and in any order. The set of a
    /// gateway always equals the store's set at the same version, and its
    /// version never decreases.
    #[test]
    fn late_reports_never_restore_older_orders(
        history in prop::collection::vec((0..3_usize, any::<bool>()), 1..24),
        steps in prop::collection::vec(
            (0..4_usize, 0..4_usize, any::<bool>(), 0..30_u64), 1..80,
        ),
    ) {
        let names = ["north", "south", "west"];
        let as_of = |version: u64| {
            let mut set = orders(version, &[]);
            for (index, (name_index, is_ordered)) in history.iter().enumerate() {
                if (index as u64) < version {
                    let name = dc(names[*name_index]);
                    match is_ordered {
                        true => set.data_centres.insert(name),
                        false => set.data_centres.remove(&name),
                    };
                }
            }
            set
        };
        let newest = history.len() as u64;
        let mut states = vec![EvacuationState::default(); 4];
        let mut sent: Vec<Evacuations> = Vec::new();
        for (gateway, other, reads, moment) in steps {
            let known = states[gateway].orders().cloned();
            let before = known.as_ref().map_or(0, |known| known.version);
            let received = match (reads, known) {
                (true, None) => as_of(moment.min(newest)),
                (true, Some(known)) => {
                    // A watch from an older version repeats known changes.
                    let from = known.version.saturating_sub(moment % 5);
                    let changes = history.iter().enumerate();
                    let changes = changes
                        .map(|(index, (name_index, is_ordered))| {
                            change(index as u64 + 1, names[*name_index], *is_ordered)
                        })
                        .filter(|c| c.version > from && c.version <= moment);
                    known.with_changes(changes)
                }
                (false, _) => match sent.get(other * 7 % sent.len().max(1)) {
                    Some(report) => report.clone(),
                    None => continue,
                },
            };
            states[gateway].update(received, 1_000, at(moment));
            let now = states[gateway].orders().cloned().expect("orders");
            prop_assert!(now.version >= before);
            prop_assert_eq!(&now.data_centres, &as_of(now.version).data_centres);
            sent.push(now);
        }
    }
}

/// A gateway that started after the store was restored knew nothing of the
/// orders that the others held.
#[gtest]
fn a_held_order_is_reported_to_gateways_that_started_later() {
    let later_era = |version| StoreVersion { era: 1, version }.pack();
    let mut one = EvacuationState::default();
    one.update(orders(50, &["north"]), 0, at(1_000));
    one.update(orders(later_era(20), &[]), 0, at(5_000));
    let held = one.held(at(6_000));
    let expected = HeldEvacuation { data_centre: dc("north"), left_ms: 9_000 };
    expect_that!(held, eq(&vec![expected]));
    let mut other = EvacuationState::default();
    other.update(orders(later_era(20), &[]), 0, at(300));
    expect_true!(other.hold(&held[0], at(400)));
    expect_false!(other.hold(&held[0], at(500)));
    expect_true!(other.is_evacuated(&dc("north"), at(500)));
    expect_that!(other.expired_holds(at(9_399)), is_empty());
    expect_that!(other.expired_holds(at(9_400)), eq(&vec![dc("north")]));
    // Once operators have cancelled it, no late report brings it back.
    expect_true!(other.release_held(&dc("north"), at(600)));
    expect_false!(other.hold(&held[0], at(700)));
    expect_false!(other.is_evacuated(&dc("north"), at(700)));
    expect_that!(one.held(at(15_000)), is_empty());
}

/// An order that is missing after the store was restored from a copy is held
/// until it is written again, is cancelled, or ten seconds have passed.
#[gtest]
fn an_order_missing_after_a_restore_of_the_store_is_held() {
    let later = |version| StoreVersion { era: 1, version }.pack();
    let after_restore = || {
        let mut state = EvacuationState::default();
        state.update(orders(4, &[]), 1_000, at(0));
        state.update(orders(7, &["north"]), 1_000, at(100));
        let changed = state.update(orders(later(4), &[]), 1_000, at(5_000));
        expect_false!(changed.unwrap().has_any());
        expect_true!(state.is_evacuated(&dc("north"), at(5_000)));
        expect_true!(state.any_evacuating());
        state
    };
    let mut again = after_restore();
    let orders_again = orders(later(5), &["north"]);
    let changed = again.update(orders_again, 1_000, at(6_000)).unwrap();
    expect_false!(changed.has_any());
    expect_true!(again.is_evacuated(&dc("north"), at(6_000)));
    expect_that!(again.expired_holds(at(99_000)), is_empty());
    let changed = again.update(orders(later(6), &[]), 1_000, at(7_000));
    expect_that!(changed.unwrap().cancelled.len(), eq(1));
    expect_false!(again.is_evacuated(&dc("north"), at(7_000)));
    let mut held = after_restore();
    expect_that!(held.expired_holds(at(14_999)), is_empty());
    expect_that!(held.expired_holds(at(15_000)), eq(&vec![dc("north")]));
    expect_true!(held.release_held(&dc("north"), at(15_000)));
    expect_false!(held.is_evacuated(&dc("north"), at(15_000)));
    expect_that!(
        held.cancelled_ms_ago(&dc("north"), at(15_200)),
        some(eq(200))
    );
    expect_false!(held.release_held(&dc("north"), at(15_300)));
}
