//! Tests of the models that are to be held inside bounds.

use googletest::prelude::*;

use crate::{
    fleet::{RegionBound, bound_usage::BoundUsage},
    id::ModelName,
    time::Millis,
};

fn usage_by_bound(usage: &BoundUsage) -> Vec<(RegionBound, Vec<ModelName>)> {
    let bounds = usage.bounds();
    bounds
        .map(|(bound, models)| (bound.clone(), models.cloned().collect()))
        .collect()
}

#[gtest]
fn a_model_stays_listed_for_120_s_after_its_last_use() {
    let mut usage = BoundUsage::default();
    let (north, south) =
        (RegionBound::within(["north"]), RegionBound::within(["south"]));
    let (a, b) = (ModelName::new("a"), ModelName::new("b"));
    usage.record(&north, &a, Millis::new(0));
    usage.record(&south, &a, Millis::new(50_000));
    usage.record(&south, &b, Millis::new(0));
    usage.record(&south, &b, Millis::new(100_000));
    usage.prune(Millis::new(119_999));
    expect_that!(usage_by_bound(&usage).len(), eq(2));
    usage.prune(Millis::new(120_000));
    let left = (south.clone(), vec![a, b.clone()]);
    expect_that!(usage_by_bound(&usage), elements_are![eq(&left)]);
    usage.prune(Millis::new(170_000));
    expect_that!(usage_by_bound(&usage), elements_are![eq(&(south, vec![b]))]);
}

#[gtest]
fn requests_that_may_be_served_anywhere_or_nowhere_are_not_recorded() {
    let mut usage = BoundUsage::default();
    let model = ModelName::new("a");
    usage.record(&RegionBound::Anywhere, &model, Millis::new(0));
    let nowhere = RegionBound::Within([].into());
    usage.record(&nowhere, &model, Millis::new(0));
    expect_that!(usage_by_bound(&usage), elements_are![]);
}

#[gtest]
fn a_bound_lies_within_a_wider_one() {
    let north = RegionBound::within(["north"]);
    let both = RegionBound::within(["north", "south"]);
    expect_true!(north.is_within(&both));
    expect_false!(both.is_within(&north));
    expect_true!(both.is_within(&RegionBound::Anywhere));
    expect_false!(RegionBound::Anywhere.is_within(&both));
}
