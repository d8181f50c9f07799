//! Tests of the decaying peaks of demand.

use std::collections::BTreeMap;

use googletest::prelude::*;

use crate::{fleet::peak_demand::PeakDemand, id::ModelName, time::Millis};

fn for_model<T>(model: &str, value: T) -> BTreeMap<ModelName, T> {
    BTreeMap::from([(ModelName::new(model), value)])
}

#[gtest]
fn a_peak_decays_with_time_and_rises_at_once() {
    let model = ModelName::new("alpha");
    let mut peaks = PeakDemand::default();
    let none = BTreeMap::new();
    peaks.update(&for_model("alpha", 2.0), &none, Millis::new(0));
    let mut quiet = for_model("alpha", 0.0);
    quiet.insert(ModelName::new("beta"), 1.0);
    peaks.update(&quiet, &none, Millis::new(4_000));
    expect_that!(peaks.get(&model), near(1.0, 0.01));
    peaks.update(&for_model("alpha", 3.0), &none, Millis::new(4_250));
    expect_that!(peaks.get(&model), eq(3.0));
}

#[gtest]
fn a_model_with_several_replicas_is_presumed_busy_until_demand_is_reported() {
    let mut peaks = PeakDemand::default();
    let replicas = for_model("alpha", 4);
    let none = BTreeMap::new();
    peaks.update(&none, &replicas, Millis::new(0));
    peaks.update(&none, &replicas, Millis::new(60_000));
    let model = ModelName::new("alpha");
    expect_that!(peaks.get(&model), near(1.2, 0.01));
    let beta = for_model("beta", 1.0);
    peaks.update(&beta, &replicas, Millis::new(60_250));
    peaks.update(&beta, &replicas, Millis::new(64_250));
    expect_that!(peaks.get(&model), lt(0.7));
}
