//! The number of peers that may read a gateway's state at once.

use googletest::prelude::*;
use valehold_gateway::peers::state::max_readers;

/// Returns the time to send a full state to all concurrent readers, in ms.
fn all_served_ms(link_mbps: f64, state_bytes: usize) -> f64 {
    let readers = max_readers(link_mbps, state_bytes);
    (readers * state_bytes) as f64 / (link_mbps * 125.0)
}

// The number of readers was computed for a state of 64 KB regardless of the
// actual size: on a link of 20 Mbit/s seven readers of 400 KB were served at
// once, which took more than a second while all others were rejected.
#[gtest]
fn a_large_state_has_fewer_concurrent_readers() {
    expect_that!(max_readers(20.0, 64_000), eq(7));
    expect_that!(max_readers(20.0, 400_000), eq(4));
    expect_that!(max_readers(1_000.0, 64_000), eq(390));
    expect_that!(max_readers(1_000.0, 400_000), eq(62));
}

#[gtest]
fn a_large_state_does_not_occupy_a_fast_link_for_longer() {
    for state_bytes in [64_000, 400_000, 800_000] {
        expect_that!(all_served_ms(1_000.0, state_bytes), le(200.0));
    }
}
