//! How many peers read a gateway's state at once.

use googletest::prelude::*;
use valehold_gateway::peers::state::max_readers;

/// Returns how long all that may read at once take, in ms.
fn all_read_ms(link_mbps: f64, state_bytes: usize) -> f64 {
    let readers = max_readers(link_mbps, state_bytes);
    (readers * state_bytes) as f64 / (link_mbps * 125.0)
}

// Readers were reckoned of a state of 64 KB, whatever there was to read: on a
// link of 20 Mbit/s seven at once of a state of 400 KB, who took longer than a
// second each while nobody else could read.
#[gtest]
fn readers_of_a_large_state_are_fewer() {
    expect_that!(max_readers(20.0, 64_000), eq(7));
    expect_that!(max_readers(20.0, 400_000), eq(4));
    expect_that!(max_readers(1_000.0, 64_000), eq(390));
    expect_that!(max_readers(1_000.0, 400_000), eq(62));
}

#[gtest]
fn a_fast_link_is_not_held_for_longer_by_a_larger_state() {
    for state_bytes in [64_000, 400_000, 800_000] {
        expect_that!(all_read_ms(1_000.0, state_bytes), le(200.0));
    }
}
