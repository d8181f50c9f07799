//! Tests when a gateway without state observes the store.

use googletest::prelude::*;
use valehold_core::Millis;

use super::CatchUp;

const STARTED: Millis = Millis::new(1_000);

/// Returns whether the gateway observes the store `after_ms` after its start.
fn reads_store(
    catch_up: &CatchUp,
    peers_are_complete: bool,
    after_ms: u64,
) -> bool {
    let reads =
        catch_up.reads_store(false, peers_are_complete, STARTED + after_ms);
    reads == Some(true)
}

// After all gateways were killed, each waited for at most two seconds and then
// read the whole list from the store: 926 reads of 1 MB, with 25 calls each.
#[gtest]
fn a_gateway_with_complete_peers_reads_from_them_first() {
    let catch_up = CatchUp::new(false, STARTED);
    expect_false!(reads_store(&catch_up, false, 499));
    expect_true!(reads_store(&catch_up, false, 2_000));
    expect_false!(reads_store(&catch_up, true, 2_000));
    expect_false!(reads_store(&catch_up, true, 3_499));
    // Peers may be unreachable.
    expect_true!(reads_store(&catch_up, true, 5_000));
}

#[gtest]
fn a_seed_reads_the_store_at_once() {
    let seed = CatchUp::new(true, STARTED);
    expect_true!(reads_store(&seed, false, 0));
    expect_true!(reads_store(&seed, true, 0));
}
