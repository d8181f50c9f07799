//! Failures speak against an upstream for a while.

use googletest::prelude::*;

use crate::{Millis, fleet::health::Health};

#[gtest]
fn one_failure_is_forgiven_and_several_are_not() {
    let mut health = Health::default();
    let now = Millis::new(1_000);
    health.failed(now);
    expect_false!(health.is_suspect(now));
    health.failed(now);
    expect_true!(health.is_suspect(now));
    expect_false!(health.is_suspect(now + 10_000));
}

#[gtest]
fn who_cannot_be_reached_is_suspect_at_once() {
    let mut health = Health::default();
    let now = Millis::new(1_000);
    health.unreachable(now);
    expect_true!(health.is_suspect(now + 2_000));
    for _ in 0..3 {
        health.succeeded(now + 2_000);
    }
    expect_false!(health.is_suspect(now + 2_000));
}

#[gtest]
fn failing_nearly_half_the_time_is_suspect_most_of_the_time() {
    let mut health = Health::default();
    let mut suspect = 0;
    for round in 0..100_u64 {
        let now = Millis::new(round * 50);
        match round % 2 {
            0 => health.failed(now),
            _ => health.succeeded(now),
        }
        suspect += u32::from(health.is_suspect(now));
    }
    expect_that!(suspect, ge(45));
}
