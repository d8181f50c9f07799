//! The nearest first, and callers spread.

use std::collections::BTreeSet;

use googletest::prelude::*;

use super::{Entry, order_for};
use crate::id::{DataCentreId, InstanceId};

fn entries() -> Vec<Entry> {
    let entry = |index: u16| Entry {
        instance: InstanceId::new(format!("i{index}")),
        address: ([127, 0, 0, 1], 8_000 + index).into(),
        data_centre: DataCentreId::new(if index < 4 { "near" } else { "far" }),
    };
    (0..8).map(entry).collect()
}

fn distance_ms(place: &DataCentreId) -> f64 {
    if place.as_str() == "near" { 0.1 } else { 1.0 }
}

#[gtest]
fn the_nearest_come_first() {
    let ordered = order_for(&entries(), "caller", distance_ms);
    let near =
        ordered.iter().take(4).all(|e| e.data_centre.as_str() == "near");
    expect_that!(near, eq(true));
    expect_that!(ordered, len(eq(8)));
}

#[gtest]
fn one_caller_is_told_the_same_and_many_are_spread() {
    let first = |caller: &str| {
        let ordered = order_for(&entries(), caller, distance_ms);
        ordered[0].instance.clone()
    };
    expect_that!(first("one"), eq(&first("one")));
    let told: BTreeSet<_> = (0..40).map(|n| first(&n.to_string())).collect();
    expect_that!(told, len(eq(4)));
}
