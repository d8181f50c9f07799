//! Estimates rise fast and fall slowly.

use googletest::prelude::*;

use super::{DemandSettings, Estimator, add};
use crate::{Millis, id::Artifact, placement::ModelDemand};

fn rate(estimator: &Estimator, artifact: &Artifact) -> f64 {
    let demand = estimator.demand();
    demand.get(artifact).map_or(0.0, |d| d.requests_per_second)
}

#[gtest]
fn a_burst_is_followed_within_seconds_and_forgotten_within_minutes() {
    let artifact = Artifact::new("m", 1);
    let settings = DemandSettings::default();
    let mut estimator = Estimator::new(settings, Millis::new(0));
    let mut now = 0;
    for _ in 0..6 {
        for _ in 0..100 {
            estimator.arrived(&artifact);
        }
        now += 1_000;
        estimator.close_window(Millis::new(now));
    }
    expect_that!(rate(&estimator, &artifact), gt(80.0));
    for _ in 0..120 {
        now += 1_000;
        estimator.close_window(Millis::new(now));
    }
    let after = rate(&estimator, &artifact);
    expect_that!(after, all!(gt(40.0), lt(50.0)));
}

#[gtest]
fn demand_of_several_instances_adds_up() {
    let artifact = Artifact::new("m", 1);
    let one = ModelDemand { requests_per_second: 1.0, service_s: 1.0 };
    let three = ModelDemand { requests_per_second: 3.0, service_s: 2.0 };
    let mut sum = [(artifact.clone(), one)].into();
    add(&mut sum, &[(artifact.clone(), three)].into());
    expect_that!(sum[&artifact].requests_per_second, approx_eq(4.0));
    expect_that!(sum[&artifact].service_s, approx_eq(7.0 / 4.0));
}
