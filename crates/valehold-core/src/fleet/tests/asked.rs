//! Which models are held inside which bound.

use googletest::prelude::*;

use crate::{
    fleet::{RegionBound, asked::BoundUse},
    id::ModelName,
    time::Millis,
};

fn listed(used: &BoundUse) -> Vec<(RegionBound, Vec<ModelName>)> {
    let bounds = used.bounds();
    bounds.map(|(b, models)| (b.clone(), models.cloned().collect())).collect()
}

#[gtest]
fn a_model_is_held_inside_a_bound_for_a_while_after_its_last_use() {
    let mut used = BoundUse::default();
    let (north, south) =
        (RegionBound::within(["north"]), RegionBound::within(["south"]));
    let (a, b) = (ModelName::new("a"), ModelName::new("b"));
    used.note(&north, &a, Millis::new(0));
    used.note(&south, &a, Millis::new(50_000));
    used.note(&south, &b, Millis::new(0));
    used.note(&south, &b, Millis::new(100_000));
    used.pass(Millis::new(119_999));
    expect_that!(listed(&used).len(), eq(2));
    used.pass(Millis::new(120_000));
    let left = (south.clone(), vec![a, b.clone()]);
    expect_that!(listed(&used), elements_are![eq(&left)]);
    used.pass(Millis::new(170_000));
    expect_that!(listed(&used), elements_are![eq(&(south, vec![b]))]);
}

#[gtest]
fn what_may_be_served_anywhere_or_nowhere_binds_no_engine() {
    let mut used = BoundUse::default();
    let model = ModelName::new("a");
    used.note(&RegionBound::Anywhere, &model, Millis::new(0));
    let nowhere = RegionBound::Within([].into());
    used.note(&nowhere, &model, Millis::new(0));
    expect_that!(listed(&used), elements_are![]);
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
