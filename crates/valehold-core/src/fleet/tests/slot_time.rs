//! Tests that slot times are learned from few requests.

use googletest::prelude::*;

use crate::{fleet::slot_time::SlotTimes, id::ModelName, time::Millis};

fn learned(model: &ModelName, each_ms: f64, count: u64) -> SlotTimes {
    let mut times = SlotTimes::default();
    for number in 0..count {
        times.record(model, each_ms, Millis::new(number * 100));
    }
    times
}

#[gtest]
fn observations_replace_the_initial_slot_time() {
    let large = ModelName::new("large");
    let now = Millis::new(5_000);
    let none = SlotTimes::default().expected_ms(&large, now);
    expect_that!(none, near(800.0, 1.0));
    let some = learned(&large, 2_000.0, 50).expected_ms(&large, now);
    expect_that!(some, near(2_000.0, 60.0));
}

#[gtest]
fn a_model_without_observations_gets_the_overall_mean() {
    let times = learned(&ModelName::new("large"), 2_000.0, 50);
    let other = ModelName::new("other");
    let expected = times.expected_ms(&other, Millis::new(5_000));
    expect_that!(expected, near(2_000.0, 60.0));
}

#[gtest]
fn a_fast_model_is_distinguished_from_the_others() {
    let (large, small) = (ModelName::new("large"), ModelName::new("small"));
    let mut times = learned(&large, 2_000.0, 50);
    for number in 50..80 {
        times.record(&small, 250.0, Millis::new(number * 100));
    }
    let now = Millis::new(8_000);
    expect_that!(times.expected_ms(&small, now), lt(500.0));
    expect_that!(times.expected_ms(&large, now), gt(1_700.0));
}

#[gtest]
fn old_observations_count_for_little() {
    let large = ModelName::new("large");
    let times = learned(&large, 2_000.0, 5);
    let late = times.expected_ms(&large, Millis::new(200_000));
    expect_that!(late, near(800.0, 10.0));
}
