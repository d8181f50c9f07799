//! Tests of the failure score of an upstream.

use googletest::prelude::*;

use crate::{Millis, fleet::health::Health};

#[gtest]
fn two_failures_make_an_upstream_suspect_for_a_while() {
    let mut health = Health::default();
    let now = Millis::new(1_000);
    health.record_failure(now);
    expect_false!(health.is_suspect(now));
    health.record_failure(now);
    expect_true!(health.is_suspect(now));
    expect_false!(health.is_suspect(now + 10_000));
}

#[gtest]
fn an_unreachable_upstream_is_suspect_at_once() {
    let mut health = Health::default();
    let now = Millis::new(1_000);
    health.record_unreachable(now);
    expect_true!(health.is_suspect(now + 2_000));
    for _ in 0..3 {
        health.record_success(now + 2_000);
    }
    expect_false!(health.is_suspect(now + 2_000));
}

#[gtest]
fn alternating_failures_and_successes_are_mostly_suspect() {
    let mut health = Health::default();
    let mut suspect = 0;
    for round in 0..100_u64 {
        let now = Millis::new(round * 50);
        match round % 2 {
            0 => health.record_failure(now),
            _ => health.record_success(now),
        }
        suspect += u32::from(health.is_suspect(now));
    }
    expect_that!(suspect, ge(45));
}
