//! Tests that knowledge which nobody confirms is noticed in time, wherever the
//! observers' watches are when they are lost.

use googletest::prelude::*;
use proptest::prelude::*;

use crate::{
    Millis,
    fleet::freshness::{
        Freshness, MAX_TURN_WAIT_MS, OBSERVERS, ObserverPlace, wait_for_turn,
    },
    testing::cases,
};

/// The users' bound for an upstream that leaves, in ms.
const DRAIN_MS: u64 = 2_000;

/// How long a gateway takes from noticing to the end of what it sends, in ms.
const REACTION_MS: u64 = 300;

proptest! {
    #![proptest_config(cases())]

    #[test]
    fn watches_end_in_turns_wherever_they_begin(
        store_ms in 0_u64..100_000,
        turn in 0..OBSERVERS,
    ) {
        let wait_ms = wait_for_turn(store_ms, turn);
        prop_assert!((100..=MAX_TURN_WAIT_MS).contains(&wait_ms));
        // From then on, each watch ends one period later.
        let ended = store_ms + wait_ms;
        prop_assert_eq!(wait_for_turn(ended, turn), 1_650);
        let next = wait_for_turn(ended, (turn + 1) % OBSERVERS);
        prop_assert_eq!(next, 550);
    }

    /// All watches are lost at one moment, and the next gateways in order too.
    #[test]
    fn a_few_lost_gateways_do_not_delay_the_first_sound_one_too_long(
        lost in OBSERVERS..9,
    ) {
        let place = ObserverPlace { position: lost, observers: OBSERVERS };
        prop_assert!(place.max_age_ms() + REACTION_MS < DRAIN_MS);
    }

    /// Sound watches are not taken for lost.
    #[test]
    fn sound_turns_confirm_in_time(
        observers in 1..=OBSERVERS,
        position in 0_usize..24,
        began in 0_u64..5_000,
    ) {
        let place = ObserverPlace { position, observers };
        let mut ends: Vec<u64> = Vec::new();
        for turn in 0..observers {
            let mut at = began;
            while at < began + 10_000 {
                at += wait_for_turn(at, turn);
                ends.push(at);
            }
        }
        ends.push(began);
        ends.sort_unstable();
        ends.retain(|at| *at < began + 10_000);
        let longest = ends.windows(2).map(|pair| pair[1] - pair[0]).max();
        prop_assert!(longest.unwrap() < place.max_age_ms());
    }
}

/// What confirms a version that a gateway does not have confirms nothing.
#[gtest]
fn only_versions_that_are_known_are_confirmed() {
    let at = Millis::new;
    let observer = Freshness::new(at(1_000));
    let told = observer.confirmation(7, 90, at(1_200));
    let mut behind = Freshness::new(at(0));
    behind.receive(&told, 7, 89, at(1_300));
    expect_that!(behind.age_ms(at(1_300)), eq(1_300));
    behind.receive(&told, 7, 90, at(1_300));
    expect_that!(behind.age_ms(at(1_300)), eq(200));
}
