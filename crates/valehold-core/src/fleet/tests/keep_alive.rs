//! Connections of callers rest as long as any configuration allows that the
//! caller may know.

use googletest::prelude::*;
use proptest::prelude::*;

use crate::{
    Millis,
    fleet::{CallerLimits, keep_alive::KeepAlive},
};

/// The time for a head in all limits here, in ms.
const HEAD_MS: u64 = 500;

fn limits(rest_ms: u64) -> CallerLimits {
    CallerLimits {
        header_limit_bytes: 1,
        body_limit_bytes: 1,
        header_read_timeout_ms: HEAD_MS,
        keep_alive_timeout_ms: rest_ms,
    }
}

#[gtest]
fn a_longer_limit_holds_for_connections_at_rest() {
    let mut keep_alive = KeepAlive::new(1_500);
    keep_alive.update(&limits(8_000), Millis::new(900));
    let until = keep_alive.rests_until(Millis::new(100));
    expect_that!(until, eq(Millis::new(8_600)));
}

#[gtest]
fn a_shorter_limit_does_not_hold_for_callers_that_may_not_know_it() {
    let mut keep_alive = KeepAlive::new(15_000);
    keep_alive.update(&limits(1_000), Millis::new(20_000));
    for since in [0, 20_000, 21_000] {
        let since = Millis::new(since);
        expect_that!(keep_alive.rests_until(since), eq(since + 15_000));
    }
    let later = Millis::new(60_000);
    expect_that!(keep_alive.rests_until(later), eq(later + 1_500));
}

proptest! {
    /// However often the limit changes, no connection is closed before the end
    /// of the longest limit in force while it rested or shortly before.
    #[test]
    fn no_connection_is_closed_before_the_longest_limit_that_was_in_force(
        changes in prop::collection::vec((1u64..5_000, 1u64..30_000), 0..40),
        since in 0u64..100_000,
        rested in 0u64..40_000,
    ) {
        let mut keep_alive = KeepAlive::new(15_000);
        let (mut now, since) = (0, Millis::new(since));
        let mut longest = 15_000;
        for (after, rest_ms) in changes {
            now += after;
            if Millis::new(now) > since + rested {
                break;
            }
            if Millis::new(now) <= since {
                // In force when the rest begins, at the latest.
                longest = 0;
            }
            longest = longest.max(rest_ms + HEAD_MS);
            keep_alive.update(&limits(rest_ms), Millis::new(now));
        }
        prop_assert!(keep_alive.rests_until(since) >= since + longest);
    }
}
