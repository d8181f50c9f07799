//! Members come, doubt falls on them, they leave, they are set aside.

use googletest::prelude::*;
use proptest::prelude::*;

use super::{Ejection, Membership, Silence};
use crate::{
    Millis, chart::library::UpstreamState, id::UpstreamId, testing::cases,
};

const SILENCE: Silence = Silence { suspect_ms: 100, dead_ms: 300 };

const EJECTION: Ejection =
    Ejection { after_failures: 3, for_ms: 1_000, most: 0.5 };

fn id(index: usize) -> UpstreamId {
    UpstreamId::new(format!("u{index}"))
}

fn members(count: usize) -> Membership {
    let mut members = Membership::new(SILENCE, EJECTION);
    members.set_members((0..count).map(id), Millis::new(0));
    for index in 0..count {
        members.heard(&id(index), Millis::new(0));
    }
    members
}

#[gtest]
fn silence_is_doubted_before_it_is_death() {
    let mut members = members(1);
    let cases = [
        (50, UpstreamState::Live, true),
        (100, UpstreamState::Suspect, true),
        (300, UpstreamState::Dead, false),
    ];
    for (at, state, works) in cases {
        let now = Millis::new(at);
        members.tick(now);
        expect_that!(members.state(&id(0)), eq(state), "{at}");
        expect_that!(members.takes_work(&id(0), now), eq(works), "{at}");
    }
    members.heard(&id(0), Millis::new(400));
    expect_that!(members.state(&id(0)), eq(UpstreamState::Live));
}

#[gtest]
fn its_own_word_that_it_leaves_is_not_taken_back_by_reports() {
    let mut members = members(1);
    members.said_leaving(&id(0));
    members.heard(&id(0), Millis::new(10));
    expect_that!(members.state(&id(0)), eq(UpstreamState::Leaving));
    expect_that!(members.takes_work(&id(0), Millis::new(10)), eq(false));
    members.restarted(&id(0), Millis::new(20));
    expect_that!(members.state(&id(0)), eq(UpstreamState::Live));
}

#[gtest]
fn a_member_that_the_list_lacks_is_kept_while_it_answers() {
    let mut members = members(1);
    members.listed_gone(&id(0));
    expect_that!(members.takes_work(&id(0), Millis::new(1)), eq(true));
    members.heard(&id(0), Millis::new(2));
    expect_that!(members.state(&id(0)), eq(UpstreamState::Live));
}

#[gtest]
fn a_failing_member_is_set_aside_for_a_while() {
    let mut members = members(4);
    let now = Millis::new(10);
    for _ in 0..EJECTION.after_failures {
        members.failed(&id(0), now);
    }
    expect_that!(members.takes_work(&id(0), now), eq(false));
    let later = now + EJECTION.for_ms;
    expect_that!(members.takes_work(&id(0), later), eq(true));
    members.failed(&id(0), later);
    expect_that!(members.takes_work(&id(0), later), eq(false));
    members.succeeded(&id(0));
    expect_that!(members.takes_work(&id(0), later), eq(true));
}

proptest! {
    #![proptest_config(cases())]

    #[test]
    fn failures_never_set_all_aside(
        count in 1_usize..8,
        failures in prop::collection::vec((0_usize..8, 0_u64..50), 0..200),
    ) {
        let mut members = members(count);
        let mut now = Millis::new(0);
        for (index, pass) in failures {
            now = now + pass;
            members.failed(&id(index % count), now);
            let working =
                (0..count).filter(|i| members.takes_work(&id(*i), now));
            prop_assert!(working.count() * 2 >= count);
        }
    }
}
