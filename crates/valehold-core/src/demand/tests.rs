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
            estimator.arrived(&artifact, 10);
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
    let demand = |requests_per_second, service_s, read_tokens| ModelDemand {
        requests_per_second,
        service_s,
        read_tokens,
    };
    let mut sum = [(artifact.clone(), demand(1.0, 1.0, 100.0))].into();
    let more = [(artifact.clone(), demand(3.0, 2.0, 20.0))].into();
    add(&mut sum, &more);
    expect_that!(sum[&artifact].requests_per_second, approx_eq(4.0));
    expect_that!(sum[&artifact].service_s, approx_eq(7.0 / 4.0));
    expect_that!(sum[&artifact].read_tokens, approx_eq(160.0 / 4.0));
}
