//! Tests that the latencies of network paths are learned from connections.

use googletest::prelude::*;
use proptest::prelude::*;

use crate::{
    fleet::{
        path_cost::{DistanceSettings, PathLatencies},
        topology::{Distance, Topology},
    },
    id::{DataCentreId, RegionId},
    testing::cases,
};

/// The processing time of both ends for a connection, in ms.
const PROCESSING_MS: f64 = 1.5;

fn dc(name: &str) -> DataCentreId {
    DataCentreId::new(name)
}

fn topology() -> Topology {
    let regions = [("n1", "north"), ("n2", "north"), ("s1", "south")];
    let regions = regions
        .map(|(data_centre, region)| (dc(data_centre), RegionId::new(region)));
    Topology::new(dc("n1"), regions.into())
}

fn round_trip_ms(latencies: &PathLatencies, to: &str) -> f64 {
    let settings = DistanceSettings::default();
    latencies.cost_to(&dc(to), &topology(), &settings).round_trip_ms
}

#[gtest]
fn the_settings_apply_before_any_connection() {
    let latencies = PathLatencies::default();
    expect_that!(round_trip_ms(&latencies, "n1"), eq(0.0));
    expect_that!(round_trip_ms(&latencies, "n2"), eq(2.0));
    expect_that!(round_trip_ms(&latencies, "s1"), eq(20.0));
}

/// Each path to another data centre once counted as 4 ms, even a path to
/// another region with a round-trip time of 24 ms.
#[gtest]
fn the_cost_of_another_region_includes_the_full_round_trip() {
    let mut latencies = PathLatencies::default();
    for _ in 0..4 {
        latencies.record(&dc("n1"), PROCESSING_MS);
        latencies.record(&dc("n2"), PROCESSING_MS + 2.8);
        latencies.record(&dc("s1"), PROCESSING_MS + 24.0);
    }
    expect_that!(round_trip_ms(&latencies, "n1"), eq(0.0));
    expect_that!(round_trip_ms(&latencies, "n2"), near(2.8, 0.01));
    expect_that!(round_trip_ms(&latencies, "s1"), near(24.0, 0.01));
}

#[gtest]
fn one_slow_connection_changes_little() {
    let mut latencies = PathLatencies::default();
    for _ in 0..10 {
        latencies.record(&dc("n1"), PROCESSING_MS);
        latencies.record(&dc("n2"), PROCESSING_MS + 2.8);
    }
    latencies.record(&dc("n2"), 100.0);
    expect_that!(round_trip_ms(&latencies, "n2"), lt(8.0));
    for _ in 0..4 {
        latencies.record(&dc("n2"), PROCESSING_MS + 2.8);
    }
    expect_that!(round_trip_ms(&latencies, "n2"), lt(3.2));
}

#[gtest]
fn the_estimate_recovers_soon_from_a_slow_first_connection() {
    let mut latencies = PathLatencies::default();
    latencies.record(&dc("s1"), 300.0);
    for _ in 0..8 {
        latencies.record(&dc("s1"), 24.0);
    }
    expect_that!(round_trip_ms(&latencies, "s1"), lt(26.0));
}

#[gtest]
fn bytes_cost_more_over_a_greater_distance() {
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
    fn the_estimate_lies_between_the_measured_times(
        took in prop::collection::vec(0.0..300.0_f64, 1..60),
    ) {
        let mut latencies = PathLatencies::default();
        for one in &took {
            latencies.record(&dc("s1"), *one);
        }
        let known = round_trip_ms(&latencies, "s1");
        let least = took.iter().copied().fold(f64::INFINITY, f64::min);
        let most = took.iter().copied().fold(0.0, f64::max);
        prop_assert!((least - 1e-9..=most + 1e-9).contains(&known));
    }
}
