//! Tests that upstreams that rejected a request are avoided for a short time.

use googletest::prelude::*;

use crate::{
    fleet::{
        UpstreamStart, Variant,
        rejections::{RecentRejections, Rejection},
    },
    id::UpstreamId,
    time::Millis,
};

fn start(id: &str, started_at_ms: Option<u64>) -> UpstreamStart {
    UpstreamStart { id: UpstreamId::new(id), started_at_ms }
}

fn at(ms: u64) -> Millis {
    Millis::new(ms)
}

#[gtest]
fn a_rejection_of_a_model_applies_to_its_adapters() {
    let engine = start("e1", None);
    let (plain, adapted) =
        (Variant::plain("m1"), Variant::adapted("m1", "a1"));
    let mut rejections = RecentRejections::default();
    rejections.record(&engine, Some(&plain), Rejection::Busy, at(1_000));
    expect_true!(rejections.contains(&engine, Some(&plain), at(1_399)));
    expect_true!(rejections.contains(&engine, Some(&adapted), at(1_399)));
    expect_false!(rejections.contains(&engine, Some(&plain), at(1_400)));
    expect_false!(rejections.contains(
        &engine,
        Some(&Variant::plain("m2")),
        at(1_001)
    ));
    let other = start("e2", None);
    expect_false!(rejections.contains(&other, Some(&plain), at(1_001)));
}

#[gtest]
fn a_rejection_of_an_adapter_applies_to_no_other_variant() {
    let engine = start("e1", None);
    let (plain, adapted) =
        (Variant::plain("m1"), Variant::adapted("m1", "a1"));
    let mut rejections = RecentRejections::default();
    rejections.record(&engine, Some(&adapted), Rejection::NotHeld, at(1_000));
    expect_true!(rejections.contains(&engine, Some(&adapted), at(2_499)));
    expect_false!(rejections.contains(&engine, Some(&plain), at(1_001)));
    rejections.record_accepted(&engine, Some(&adapted));
    expect_false!(rejections.contains(&engine, Some(&adapted), at(1_001)));
}

#[gtest]
fn rejections_of_removed_engines_are_pruned() {
    let engine = start("e1", None);
    let variant = Variant::plain("m1");
    let mut rejections = RecentRejections::default();
    rejections.record(&engine, Some(&variant), Rejection::NotHeld, at(1_000));
    rejections.prune(|_| true, at(1_001));
    expect_true!(rejections.contains(&engine, Some(&variant), at(1_002)));
    rejections.prune(|_| false, at(1_003));
    expect_false!(rejections.contains(&engine, Some(&variant), at(1_004)));
}

#[gtest]
fn a_rejection_does_not_apply_to_another_start_of_an_engine() {
    let (first, second) = (start("e1", Some(1)), start("e1", Some(2)));
    let variant = Variant::plain("m1");
    let mut rejections = RecentRejections::default();
    rejections.record(&first, Some(&variant), Rejection::NotHeld, at(1_000));
    expect_false!(rejections.contains(&second, Some(&variant), at(1_001)));
}

/// Requests for plain services have no variants.
#[gtest]
fn a_process_of_a_plain_service_is_avoided_for_all_requests() {
    let process = start("p1", None);
    let mut rejections = RecentRejections::default();
    rejections.record(&process, None, Rejection::NotHeld, at(1_000));
    expect_true!(rejections.contains(&process, None, at(2_499)));
    expect_false!(rejections.contains(&process, None, at(2_500)));
    rejections.record(&process, None, Rejection::Busy, at(3_000));
    rejections.record_accepted(&process, None);
    expect_false!(rejections.contains(&process, None, at(3_001)));
}
