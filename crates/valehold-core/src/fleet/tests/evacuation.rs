//! Orders to empty data centres, by version and in time.

use std::{collections::BTreeSet, sync::Arc};

use googletest::prelude::*;
use proptest::prelude::*;

use crate::{
    fleet::{
        EvacuationChange, EvacuationView, Evacuations, Holding, Listing,
        StoreVersion, Upstream, evacuation::left_without, topology::Topology,
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

/// Who knows no orders yet sends nowhere, and who hears that there are none
/// sends everywhere.
#[gtest]
fn until_orders_are_known_every_data_centre_counts_as_empty() {
    let mut view = EvacuationView::default();
    expect_that!(view.is_known(), eq(false));
    expect_that!(view.is_empty(&dc("north"), at(5)), eq(true));
    view.hear(orders(0, &[]), 1_000, at(10));
    expect_that!(view.is_known(), eq(true));
    expect_that!(view.is_emptying(&dc("north")), eq(false));
    expect_that!(view.is_empty(&dc("north"), at(10)), eq(false));
}

#[gtest]
fn an_order_comes_into_force_after_a_while() {
    let mut view = EvacuationView::default();
    view.hear(orders(4, &[]), 1_000, at(10));
    let changed = view.hear(orders(7, &["north"]), 1_000, at(100));
    let changed = changed.expect("newer orders");
    expect_that!(changed.ordered, eq(&BTreeSet::from([dc("north")])));
    expect_that!(view.is_emptying(&dc("north")), eq(true));
    expect_that!(view.is_empty(&dc("north"), at(1_099)), eq(false));
    expect_that!(view.is_empty(&dc("north"), at(1_100)), eq(true));
    expect_that!(view.is_emptying(&dc("south")), eq(false));
    // The same order again begins no other while.
    expect_that!(view.hear(orders(7, &["north"]), 1_000, at(900)), none());
    view.hear(orders(9, &["north", "south"]), 1_000, at(1_050));
    expect_that!(view.is_empty(&dc("north"), at(1_100)), eq(true));
    expect_that!(view.is_empty(&dc("south"), at(1_100)), eq(false));
}

/// An order in the first set may have stood for any time.
#[gtest]
fn the_first_orders_that_are_heard_of_are_in_force_at_once() {
    let mut view = EvacuationView::default();
    view.hear(orders(7, &["north"]), 1_000, at(100));
    expect_that!(view.is_empty(&dc("north"), at(100)), eq(true));
}

#[gtest]
fn it_is_known_for_how_long_an_order_has_been_taken_back() {
    let mut view = EvacuationView::default();
    view.hear(orders(4, &["north"]), 1_000, at(10));
    expect_that!(view.taken_back_ms_ago(&dc("north"), at(50)), none());
    view.hear(orders(5, &[]), 1_000, at(100));
    expect_that!(view.is_emptying(&dc("north")), eq(false));
    expect_that!(view.taken_back_ms_ago(&dc("north"), at(350)), some(eq(250)));
    // Ordered anew, it is no longer one that was taken back.
    view.hear(orders(6, &["north"]), 1_000, at(400));
    expect_that!(view.taken_back_ms_ago(&dc("north"), at(450)), none());
    expect_that!(view.is_empty(&dc("north"), at(1_399)), eq(false));
    expect_that!(view.is_empty(&dc("north"), at(1_400)), eq(true));
}

/// A whole read has the store's version at the read, a change that of its
/// row.
#[gtest]
fn changes_that_a_set_has_in_it_already_change_nothing() {
    let known = orders(20, &["north"]);
    let old = [change(18, "north", false), change(20, "south", true)];
    expect_that!(known.after(old), eq(&known));
    let mixed = [change(18, "north", false), change(21, "south", true)];
    expect_that!(known.after(mixed), eq(&orders(21, &["north", "south"])));
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
            holding: Holding::default(),
        };
        (upstream.id.clone(), Arc::new(upstream))
    });
    Listing { version: 1, upstreams: upstreams.collect() }
}

/// Requests may be bound to a region, so each is looked at by itself.
#[gtest]
fn services_without_an_upstream_left_are_named() {
    let listing =
        listing(&[("s", "a1"), ("s", "a2"), ("s", "b1"), ("t", "a1")]);
    let empty = BTreeSet::from([dc("a1"), dc("a2")]);
    let without = |topology| left_without(&listing, &empty, &topology);
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
    /// Gateways read the store whole or follow its changes, and tell one
    /// another what they know, late and in any order: all end with what the
    /// newest of them knows, and what one knows never gets older.
    #[test]
    fn late_words_never_bring_orders_back(
        history in prop::collection::vec((0..3_usize, any::<bool>()), 1..24),
        steps in prop::collection::vec(
            (0..4_usize, 0..4_usize, any::<bool>(), 0..30_u64), 1..80,
        ),
    ) {
        let names = ["north", "south", "west"];
        let as_of = |version: u64| {
            let mut set = orders(version, &[]);
            for (index, (which, is_ordered)) in history.iter().enumerate() {
                if (index as u64) < version {
                    let name = dc(names[*which]);
                    match is_ordered {
                        true => set.data_centres.insert(name),
                        false => set.data_centres.remove(&name),
                    };
                }
            }
            set
        };
        let newest = history.len() as u64;
        let mut views = vec![EvacuationView::default(); 4];
        let mut said: Vec<Evacuations> = Vec::new();
        for (who, other, reads, moment) in steps {
            let known = views[who].orders().cloned();
            let before = known.as_ref().map_or(0, |known| known.version);
            let heard = match (reads, known) {
                (true, None) => as_of(moment.min(newest)),
                (true, Some(known)) => {
                    // A watch from an older version gives known ones again.
                    let from = known.version.saturating_sub(moment % 5);
                    let changes = history.iter().enumerate();
                    let changes = changes
                        .map(|(index, (which, is_ordered))| {
                            change(index as u64 + 1, names[*which], *is_ordered)
                        })
                        .filter(|c| c.version > from && c.version <= moment);
                    known.after(changes)
                }
                (false, _) => match said.get(other * 7 % said.len().max(1)) {
                    Some(word) => word.clone(),
                    None => continue,
                },
            };
            views[who].hear(heard, 1_000, at(moment));
            let now = views[who].orders().cloned().expect("orders");
            prop_assert!(now.version >= before);
            prop_assert_eq!(&now.data_centres, &as_of(now.version).data_centres);
            said.push(now);
        }
    }
}

/// An order that the store lost with a copy stands until it is written again,
/// taken back, or has stood for ten seconds.
#[gtest]
fn an_order_stands_though_the_store_came_back_without_it() {
    let later = |version| StoreVersion { era: 1, version }.pack();
    let emptied = || {
        let mut view = EvacuationView::default();
        view.hear(orders(4, &[]), 1_000, at(0));
        view.hear(orders(7, &["north"]), 1_000, at(100));
        let changed = view.hear(orders(later(4), &[]), 1_000, at(5_000));
        expect_false!(changed.unwrap().is_any());
        expect_true!(view.is_empty(&dc("north"), at(5_000)));
        expect_true!(view.is_any());
        view
    };
    let mut again = emptied();
    let orders_again = orders(later(5), &["north"]);
    let changed = again.hear(orders_again, 1_000, at(6_000)).unwrap();
    expect_false!(changed.is_any());
    expect_true!(again.is_empty(&dc("north"), at(6_000)));
    expect_that!(again.held_out(at(99_000)), is_empty());
    let changed = again.hear(orders(later(6), &[]), 1_000, at(7_000));
    expect_that!(changed.unwrap().taken_back.len(), eq(1));
    expect_false!(again.is_empty(&dc("north"), at(7_000)));
    let mut held = emptied();
    expect_that!(held.held_out(at(14_999)), is_empty());
    expect_that!(held.held_out(at(15_000)), eq(&vec![dc("north")]));
    expect_true!(held.let_go(&dc("north"), at(15_000)));
    expect_false!(held.is_empty(&dc("north"), at(15_000)));
    expect_that!(
        held.taken_back_ms_ago(&dc("north"), at(15_200)),
        some(eq(200))
    );
    expect_false!(held.let_go(&dc("north"), at(15_300)));
}
