//! When a gateway that knows nothing yet looks at the store.

use googletest::prelude::*;
use valehold_core::Millis;

use super::Behind;

const STARTED: Millis = Millis::new(1_000);

/// Returns whether it looks at the store itself so many ms after its start.
fn looks(behind: &Behind, peers_know: bool, after_ms: u64) -> bool {
    let looks = behind.looks_itself(false, peers_know, STARTED + after_ms);
    looks == Some(true)
}

// After all gateways were killed each waited for two seconds at the most, and
// then read the whole list from the store: 926 times 1 MB, and 25 calls each.
#[gtest]
fn who_hears_of_peers_that_know_all_reads_from_them_first() {
    let behind = Behind::new(false, STARTED);
    expect_false!(looks(&behind, false, 499));
    expect_true!(looks(&behind, false, 2_000));
    expect_false!(looks(&behind, true, 2_000));
    expect_false!(looks(&behind, true, 3_499));
    // Peers may be out of reach.
    expect_true!(looks(&behind, true, 5_000));
}

#[gtest]
fn a_seed_looks_at_once() {
    let seed = Behind::new(true, STARTED);
    expect_true!(looks(&seed, false, 0));
    expect_true!(looks(&seed, true, 0));
}
