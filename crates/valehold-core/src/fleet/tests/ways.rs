//! How long ways take is learned from connections.

use googletest::prelude::*;
use proptest::prelude::*;

use crate::{
    fleet::{
        topology::{Distance, Topology},
        ways::{DistanceSettings, Ways},
    },
    id::{DataCentreId, RegionId},
    testing::cases,
};

/// What both ends need for a connection, in ms.
const BOTH_ENDS_MS: f64 = 1.5;

fn at(name: &str) -> DataCentreId {
    DataCentreId::new(name)
}

fn topology() -> Topology {
    let regions = [("n1", "north"), ("n2", "north"), ("s1", "south")];
    let regions = regions
        .map(|(data_centre, region)| (at(data_centre), RegionId::new(region)));
    Topology::new(at("n1"), regions.into())
}

fn round_trip_ms(ways: &Ways, to: &str) -> f64 {
    let settings = DistanceSettings::default();
    ways.to(&at(to), &topology(), &settings).round_trip_ms
}

#[gtest]
fn at_first_the_settings_are_gone_by() {
    let ways = Ways::default();
    expect_that!(round_trip_ms(&ways, "n1"), eq(0.0));
    expect_that!(round_trip_ms(&ways, "n2"), eq(2.0));
    expect_that!(round_trip_ms(&ways, "s1"), eq(20.0));
}

/// Before, each way to another data centre counted as 4 ms, and one of 24 ms
/// there and back to another region too.
#[gtest]
fn the_way_to_another_region_is_counted_there_and_back() {
    let mut ways = Ways::default();
    for _ in 0..4 {
        ways.note(&at("n1"), BOTH_ENDS_MS);
        ways.note(&at("n2"), BOTH_ENDS_MS + 2.8);
        ways.note(&at("s1"), BOTH_ENDS_MS + 24.0);
    }
    expect_that!(round_trip_ms(&ways, "n1"), eq(0.0));
    expect_that!(round_trip_ms(&ways, "n2"), near(2.8, 0.01));
    expect_that!(round_trip_ms(&ways, "s1"), near(24.0, 0.01));
}

#[gtest]
fn one_slow_connection_changes_little() {
    let mut ways = Ways::default();
    for _ in 0..10 {
        ways.note(&at("n1"), BOTH_ENDS_MS);
        ways.note(&at("n2"), BOTH_ENDS_MS + 2.8);
    }
    ways.note(&at("n2"), 100.0);
    expect_that!(round_trip_ms(&ways, "n2"), lt(8.0));
    for _ in 0..4 {
        ways.note(&at("n2"), BOTH_ENDS_MS + 2.8);
    }
    expect_that!(round_trip_ms(&ways, "n2"), lt(3.2));
}

#[gtest]
fn a_slow_first_connection_is_soon_forgotten() {
    let mut ways = Ways::default();
    ways.note(&at("s1"), 300.0);
    for _ in 0..8 {
        ways.note(&at("s1"), 24.0);
    }
    expect_that!(round_trip_ms(&ways, "s1"), lt(26.0));
}

#[gtest]
fn bytes_cost_more_the_farther_they_go() {
    let settings = DistanceSettings::default();
    let bytes =
        [Distance::SameDataCentre, Distance::SameRegion, Distance::Elsewhere]
            .map(|distance| settings.bytes_ms(distance));
    expect_that!(bytes[0], eq(0.0));
    expect_that!(bytes[1], lt(bytes[2]));
    expect_true!(settings.are_valid());
    let settings = DistanceSettings { within_region_ms: -1.0, ..settings };
    expect_false!(settings.are_valid());
}

proptest! {
    #![proptest_config(cases())]

    #[test]
    fn what_is_learned_lies_between_what_was_seen(
        took in prop::collection::vec(0.0..300.0_f64, 1..60),
    ) {
        let mut ways = Ways::default();
        for one in &took {
            ways.note(&at("s1"), *one);
        }
        let known = round_trip_ms(&ways, "s1");
        let least = took.iter().copied().fold(f64::INFINITY, f64::min);
        let most = took.iter().copied().fold(0.0, f64::max);
        prop_assert!((least - 1e-9..=most + 1e-9).contains(&known));
    }
}
