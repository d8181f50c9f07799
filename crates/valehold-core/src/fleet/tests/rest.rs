//! Upstreams that ask for rest get it, and one request goes first after it.

use std::{collections::BTreeMap, time::Duration};

use googletest::prelude::*;
use proptest::prelude::*;

use crate::{
    fleet::{
        UpstreamStart,
        rest::{RestSight, Rests},
    },
    id::UpstreamId,
    time::Millis,
};

fn start(id: u8) -> UpstreamStart {
    UpstreamStart {
        id: UpstreamId::new(format!("e{id}")),
        started_at_ms: None,
    }
}

fn at(ms: u64) -> Millis {
    Millis::new(ms)
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

const AWAKE: RestSight = RestSight::Awake;

fn resting(left_ms: u64) -> RestSight {
    RestSight::Resting { left_ms }
}

#[gtest]
fn a_rest_is_of_one_upstream_and_lasts_as_it_said() {
    let mut rests = Rests::default();
    expect_true!(rests.is_empty());
    expect_true!(rests.ask(&start(1), ms(3_000), at(1_000)));
    expect_that!(rests.sight(&start(1), at(1_000)), eq(resting(3_000)));
    expect_that!(rests.sight(&start(1), at(3_999)), eq(resting(1)));
    expect_that!(rests.sight(&start(1), at(4_000)), eq(AWAKE));
    expect_that!(rests.sight(&start(2), at(1_000)), eq(AWAKE));
    let later = UpstreamStart { started_at_ms: Some(9), ..start(1) };
    expect_that!(rests.sight(&later, at(1_000)), eq(AWAKE));
}

#[gtest]
fn of_several_rests_the_latest_end_counts() {
    let mut rests = Rests::default();
    expect_true!(rests.ask(&start(1), ms(3_000), at(1_000)));
    // A shorter one, and one that was said before.
    expect_false!(rests.ask(&start(1), ms(500), at(1_100)));
    expect_that!(rests.sight(&start(1), at(2_000)), eq(resting(2_000)));
    expect_false!(rests.ask(&start(1), ms(4_000), at(2_000)));
    expect_that!(rests.sight(&start(1), at(2_000)), eq(resting(4_000)));
    expect_true!(rests.ask(&start(1), ms(100), at(6_000)));
}

#[gtest]
fn no_time_is_no_rest_and_a_slip_ends() {
    let mut rests = Rests::default();
    expect_false!(rests.ask(&start(1), ms(0), at(0)));
    expect_true!(rests.is_empty());
    rests.ask(&start(1), Duration::MAX, at(0));
    expect_that!(rests.sight(&start(1), at(0)), eq(resting(600_000)));
    expect_that!(rests.sight(&start(1), at(600_000)), eq(AWAKE));
}

#[gtest]
fn one_request_goes_first_after_a_rest() {
    let mut rests = Rests::default();
    expect_true!(rests.may_send(&start(1), at(0)));
    rests.ask(&start(1), ms(1_000), at(0));
    expect_false!(rests.may_send(&start(1), at(999)));
    expect_true!(rests.may_send(&start(1), at(1_000)));
    expect_false!(rests.may_send(&start(1), at(1_050)));
    expect_that!(rests.sight(&start(1), at(1_050)), eq(resting(150)));
    // It was taken.
    rests.took(&start(1), at(1_060));
    expect_true!(rests.is_empty());
    expect_true!(rests.may_send(&start(1), at(1_060)));
}

#[gtest]
fn the_others_follow_one_that_is_not_turned_away() {
    let mut rests = Rests::default();
    rests.ask(&start(1), ms(1_000), at(0));
    expect_true!(rests.may_send(&start(1), at(1_000)));
    expect_false!(rests.may_send(&start(1), at(1_199)));
    expect_true!(rests.may_send(&start(1), at(1_200)));
    expect_true!(rests.may_send(&start(1), at(1_201)));
}

#[gtest]
fn one_that_is_turned_away_begins_the_next_rest() {
    let mut rests = Rests::default();
    rests.ask(&start(1), ms(1_000), at(0));
    expect_true!(rests.may_send(&start(1), at(1_000)));
    expect_true!(rests.ask(&start(1), ms(2_000), at(1_010)));
    expect_that!(rests.sight(&start(1), at(1_200)), eq(resting(1_810)));
    expect_true!(rests.may_send(&start(1), at(3_010)));
    expect_false!(rests.may_send(&start(1), at(3_011)));
}

#[gtest]
fn an_answer_from_before_its_rest_does_not_end_it() {
    let mut rests = Rests::default();
    rests.ask(&start(1), ms(1_000), at(0));
    rests.took(&start(1), at(500));
    expect_that!(rests.sight(&start(1), at(500)), eq(resting(500)));
}

#[gtest]
fn what_is_long_over_and_who_is_gone_is_forgotten() {
    let mut rests = Rests::default();
    rests.ask(&start(1), ms(1_000), at(0));
    rests.ask(&start(2), ms(60_000), at(0));
    rests.sweep(|_| true, at(10_999));
    expect_that!(rests.sight(&start(2), at(10_999)), not(eq(AWAKE)));
    rests.sweep(|one| *one == start(1), at(10_999));
    expect_that!(rests.sight(&start(2), at(10_999)), eq(AWAKE));
    expect_false!(rests.is_empty());
    rests.sweep(|_| true, at(11_000));
    expect_true!(rests.is_empty());
}

/// What happens at one instance.
#[derive(Debug, Clone)]
enum Step {
    /// Time passes, in ms.
    Pass(u64),
    /// An upstream asks for rest, for so many ms.
    Ask(u8, u64),
    /// A request for an upstream comes.
    Request(u8),
    /// An upstream begins to answer.
    Took(u8),
    /// What is old is forgotten.
    Sweep,
}

fn step() -> impl Strategy<Value = Step> {
    let id = 0_u8..3;
    prop_oneof![
        3 => (0_u64..900).prop_map(Step::Pass),
        2 => (id.clone(), 0_u64..4_000)
            .prop_map(|(id, ms)| Step::Ask(id, ms)),
        6 => id.clone().prop_map(Step::Request),
        1 => id.prop_map(Step::Took),
        1 => Just(Step::Sweep),
    ]
}

proptest! {
    /// No request goes to an upstream before every rest that it asked for is
    /// over; after that one can, unless another went just before.
    #[test]
    fn nothing_is_sent_in_any_rest(steps in prop::collection::vec(step(), 1..80)) {
        let mut rests = Rests::default();
        let mut until: BTreeMap<u8, Millis> = BTreeMap::new();
        let mut sent: BTreeMap<u8, Millis> = BTreeMap::new();
        let mut now = at(0);
        for step in steps {
            match step {
                Step::Pass(ms) => now = now + ms,
                Step::Ask(id, for_ms) => {
                    rests.ask(&start(id), ms(for_ms), now);
                    let known = until.entry(id).or_default();
                    *known = (*known).max(now + for_ms);
                }
                Step::Request(id) => {
                    let end = until.get(&id).copied().unwrap_or_default();
                    let may = rests.may_send(&start(id), now);
                    prop_assert!(!may || now >= end);
                    let went_just_before = sent.get(&id).is_some_and(|at| {
                        now.since(*at) < 200
                    });
                    prop_assert!(may || now < end || went_just_before);
                    if may {
                        sent.insert(id, now);
                    }
                }
                Step::Took(id) => rests.took(&start(id), now),
                Step::Sweep => rests.sweep(|_| true, now),
            }
        }
    }
}
