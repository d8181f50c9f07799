//! Tests of the choice among the processes of a plain service.

use googletest::prelude::*;

use crate::{
    fleet::choice::{PlainCandidate, choose_plain},
    id::UpstreamId,
};

/// Returns a candidate with six slots.
fn candidate(name: &str, running: u32, path_cost_ms: f64) -> PlainCandidate {
    PlainCandidate {
        upstream: UpstreamId::new(name),
        slots: 6,
        running,
        path_cost_ms,
    }
}

fn chosen(candidates: &[PlainCandidate]) -> &str {
    let chosen = choose_plain(candidates, 0.5).expect("a process");
    chosen.upstream.as_str()
}

#[gtest]
fn the_nearest_of_equally_loaded_candidates_is_chosen() {
    let all = [
        candidate("far", 2, 32.0),
        candidate("region", 2, 4.8),
        candidate("near", 2, 0.0),
    ];
    expect_that!(chosen(&all), eq("near"));
    expect_that!(chosen(&all[..2]), eq("region"));
    expect_true!(choose_plain(&[], 0.5).is_none());
}

/// A process with a free slot answers at once, and the path to another region
/// takes longer than the wait at a nearby process.
#[gtest]
fn another_region_is_not_chosen_while_slots_are_free_nearby() {
    for running in 0..4 {
        let all = [candidate("near", running, 0.0), candidate("far", 0, 32.0)];
        expect_that!(chosen(&all), eq("near"));
    }
}

#[gtest]
fn a_distant_free_slot_is_preferred_to_a_wait_nearby() {
    let all = [candidate("near", 8, 0.0), candidate("far", 0, 300.0)];
    expect_that!(chosen(&all), eq("far"));
}
