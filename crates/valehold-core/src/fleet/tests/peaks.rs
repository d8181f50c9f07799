//! What models need falls slowly.

use std::collections::BTreeMap;

use googletest::prelude::*;

use crate::{fleet::peaks::Peaks, id::ModelName, time::Millis};

fn of<T>(model: &str, value: T) -> BTreeMap<ModelName, T> {
    BTreeMap::from([(ModelName::new(model), value)])
}

#[gtest]
fn a_peak_falls_with_time_and_rises_at_once() {
    let model = ModelName::new("alpha");
    let mut peaks = Peaks::default();
    let none = BTreeMap::new();
    peaks.follow(&of("alpha", 2.0), &none, Millis::new(0));
    let mut quiet = of("alpha", 0.0);
    quiet.insert(ModelName::new("beta"), 1.0);
    peaks.follow(&quiet, &none, Millis::new(4_000));
    expect_that!(peaks.of(&model), near(1.0, 0.01));
    peaks.follow(&of("alpha", 3.0), &none, Millis::new(4_250));
    expect_that!(peaks.of(&model), eq(3.0));
}

#[gtest]
fn several_replicas_speak_for_a_model_until_demand_is_heard() {
    let mut peaks = Peaks::default();
    let replicas = of("alpha", 4);
    let none = BTreeMap::new();
    peaks.follow(&none, &replicas, Millis::new(0));
    peaks.follow(&none, &replicas, Millis::new(60_000));
    let model = ModelName::new("alpha");
    expect_that!(peaks.of(&model), near(1.2, 0.01));
    let beta = of("beta", 1.0);
    peaks.follow(&beta, &replicas, Millis::new(60_250));
    peaks.follow(&beta, &replicas, Millis::new(64_250));
    expect_that!(peaks.of(&model), lt(0.7));
}
