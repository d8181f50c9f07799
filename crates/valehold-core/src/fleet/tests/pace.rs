//! Tests that the pace of an engine is learned and decays.

use googletest::prelude::*;

use crate::{Millis, fleet::pace::Pace};

#[gtest]
fn the_slowness_of_an_engine_decays() {
    let mut pace = Pace::default();
    let now = Millis::new(1_000);
    for _ in 0..10 {
        pace.observe(800.0, 200.0, now);
    }
    expect_that!(pace.slowness(now), gt(3.0));
    expect_that!(pace.slowness(now + 4_000), lt(pace.slowness(now)));
    expect_that!(pace.slowness(now + 60_000), near(1.0, 0.01));
}

#[gtest]
fn one_outlier_changes_little() {
    let mut pace = Pace::default();
    let now = Millis::new(1_000);
    pace.observe(60_000.0, 50.0, now);
    expect_that!(pace.slowness(now), le(2.01));
}
