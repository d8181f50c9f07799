//! Which of several plain upstreams takes a request.

use googletest::prelude::*;

use crate::{
    fleet::choice::{PlainCandidate, choose_plain},
    id::UpstreamId,
};

/// Makes a process with six slots.
fn process(name: &str, running: u32, way_ms: f64) -> PlainCandidate {
    PlainCandidate {
        upstream: UpstreamId::new(name),
        slots: 6,
        running,
        way_ms,
    }
}

fn chosen(candidates: &[PlainCandidate]) -> &str {
    let chosen = choose_plain(candidates, 0.5).expect("a process");
    chosen.upstream.as_str()
}

#[gtest]
fn among_equals_the_nearer_one_is_taken() {
    let all = [
        process("far", 2, 32.0),
        process("region", 2, 4.8),
        process("near", 2, 0.0),
    ];
    expect_that!(chosen(&all), eq("near"));
    expect_that!(chosen(&all[..2]), eq("region"));
    expect_true!(choose_plain(&[], 0.5).is_none());
}

/// A process with a free slot answers at once: the way to another region is
/// longer than any wait there.
#[gtest]
fn another_region_is_not_gone_to_while_slots_are_free_nearby() {
    for running in 0..4 {
        let all = [process("near", running, 0.0), process("far", 0, 32.0)];
        expect_that!(chosen(&all), eq("near"));
    }
}

#[gtest]
fn a_free_slot_anywhere_goes_before_a_wait_nearby() {
    let all = [process("near", 8, 0.0), process("far", 0, 300.0)];
    expect_that!(chosen(&all), eq("far"));
}
