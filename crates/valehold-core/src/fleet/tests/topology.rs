//! Tests the distances between data centres.

use googletest::prelude::*;
use proptest::prelude::*;

use crate::{
    fleet::topology::{Distance, Topology},
    id::{DataCentreId, RegionId},
    testing::cases,
};

/// Makes a topology from pairs of a data centre and its region.
fn topology(own: &str, regions: &[(&str, &str)]) -> Topology {
    let regions = regions.iter().map(|(data_centre, region)| {
        (DataCentreId::new(*data_centre), RegionId::new(*region))
    });
    Topology::new(DataCentreId::new(own), regions.collect())
}

fn distance(topology: &Topology, to: &str) -> Distance {
    topology.distance(&DataCentreId::new(to))
}

#[gtest]
fn the_distance_follows_from_the_regions() {
    let declared =
        [("n1", "north"), ("n2", "north"), ("s1", "south"), ("s2", "south")];
    let local = topology("n1", &declared);
    expect_that!(distance(&local, "n1"), eq(Distance::SameDataCentre));
    expect_that!(distance(&local, "n2"), eq(Distance::SameRegion));
    expect_that!(distance(&local, "s1"), eq(Distance::Elsewhere));
    expect_that!(local.own_region(), some(eq(&RegionId::new("north"))));
}

#[gtest]
fn a_data_centre_without_a_declared_region_is_elsewhere() {
    let local = topology("n1", &[("n1", "north")]);
    expect_that!(distance(&local, "x1"), eq(Distance::Elsewhere));
    expect_that!(local.region_of(&DataCentreId::new("x1")), none());
    // Two data centres of unknown regions do not share a region.
    let undeclared = topology("x1", &[("n1", "north")]);
    expect_that!(distance(&undeclared, "x2"), eq(Distance::Elsewhere));
    expect_that!(distance(&undeclared, "x1"), eq(Distance::SameDataCentre));
}

#[gtest]
fn without_regions_all_data_centres_share_one() {
    let local = topology("n1", &[]);
    expect_that!(distance(&local, "n1"), eq(Distance::SameDataCentre));
    expect_that!(distance(&local, "x1"), eq(Distance::SameRegion));
    expect_that!(local.own_region(), none());
}

#[gtest]
fn a_nearer_distance_is_less() {
    expect_that!(Distance::SameDataCentre, lt(Distance::SameRegion));
    expect_that!(Distance::SameRegion, lt(Distance::Elsewhere));
}

proptest! {
    #![proptest_config(cases())]

    /// Six data centres each belong to one of three regions or to no declared
    /// region.
    #[test]
    fn both_ends_agree_on_their_distance(
        places in prop::collection::vec(prop::option::of(0..3_u8), 6),
        from in 0..6_usize,
        to in 0..6_usize,
    ) {
        let name = |number: usize| DataCentreId::new(format!("d{number}"));
        let regions = places.iter().enumerate().filter_map(|(number, place)| {
            Some((name(number), RegionId::new(format!("r{}", (*place)?))))
        });
        let regions: std::collections::BTreeMap<_, _> = regions.collect();
        let forward = Topology::new(name(from), regions.clone());
        let backward = Topology::new(name(to), regions.clone());
        let distance = forward.distance(&name(to));
        prop_assert_eq!(distance, backward.distance(&name(from)));
        let shares_region =
            places[from].is_some() && places[from] == places[to];
        let expected = match (from == to, regions.is_empty()) {
            (true, _) => Distance::SameDataCentre,
            (false, true) => Distance::SameRegion,
            _ if shares_region => Distance::SameRegion,
            _ => Distance::Elsewhere,
        };
        prop_assert_eq!(distance, expected);
    }
}
