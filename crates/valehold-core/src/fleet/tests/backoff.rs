//! Tests that an instance backs off from upstreams that ask for it, and that
//! one request probes an upstream after a backoff.

use std::{collections::BTreeMap, time::Duration};

use googletest::prelude::*;
use proptest::prelude::*;

use crate::{
    fleet::{
        UpstreamStart,
        backoff::{BackoffState, UpstreamBackoffs},
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

const READY: BackoffState = BackoffState::Ready;

fn backing_off(remaining_ms: u64) -> BackoffState {
    BackoffState::BackingOff { remaining_ms }
}

#[gtest]
fn a_backoff_applies_to_one_start_for_the_requested_time() {
    let mut backoffs = UpstreamBackoffs::default();
    expect_true!(backoffs.is_empty());
    expect_true!(backoffs.record(&start(1), ms(3_000), at(1_000)));
    expect_that!(backoffs.state(&start(1), at(1_000)), eq(backing_off(3_000)));
    expect_that!(backoffs.state(&start(1), at(3_999)), eq(backing_off(1)));
    expect_that!(backoffs.state(&start(1), at(4_000)), eq(READY));
    expect_that!(backoffs.state(&start(2), at(1_000)), eq(READY));
    let later = UpstreamStart { started_at_ms: Some(9), ..start(1) };
    expect_that!(backoffs.state(&later, at(1_000)), eq(READY));
}

#[gtest]
fn the_latest_end_of_several_backoffs_applies() {
    let mut backoffs = UpstreamBackoffs::default();
    expect_true!(backoffs.record(&start(1), ms(3_000), at(1_000)));
    // A shorter backoff does not replace the longer one.
    expect_false!(backoffs.record(&start(1), ms(500), at(1_100)));
    expect_that!(backoffs.state(&start(1), at(2_000)), eq(backing_off(2_000)));
    expect_false!(backoffs.record(&start(1), ms(4_000), at(2_000)));
    expect_that!(backoffs.state(&start(1), at(2_000)), eq(backing_off(4_000)));
    expect_true!(backoffs.record(&start(1), ms(100), at(6_000)));
}

#[gtest]
fn a_backoff_of_zero_is_ignored_and_a_huge_one_is_capped() {
    let mut backoffs = UpstreamBackoffs::default();
    expect_false!(backoffs.record(&start(1), ms(0), at(0)));
    expect_true!(backoffs.is_empty());
    backoffs.record(&start(1), Duration::MAX, at(0));
    expect_that!(backoffs.state(&start(1), at(0)), eq(backing_off(600_000)));
    expect_that!(backoffs.state(&start(1), at(600_000)), eq(READY));
}

#[gtest]
fn one_request_probes_the_upstream_after_a_backoff() {
    let mut backoffs = UpstreamBackoffs::default();
    expect_true!(backoffs.try_acquire(&start(1), at(0)));
    backoffs.record(&start(1), ms(1_000), at(0));
    expect_false!(backoffs.try_acquire(&start(1), at(999)));
    expect_true!(backoffs.try_acquire(&start(1), at(1_000)));
    expect_false!(backoffs.try_acquire(&start(1), at(1_050)));
    expect_that!(backoffs.state(&start(1), at(1_050)), eq(backing_off(150)));
    // The upstream accepts the probe.
    backoffs.record_accepted(&start(1), at(1_060));
    expect_true!(backoffs.is_empty());
    expect_true!(backoffs.try_acquire(&start(1), at(1_060)));
}

#[gtest]
fn other_requests_follow_a_probe_that_is_not_rejected() {
    let mut backoffs = UpstreamBackoffs::default();
    backoffs.record(&start(1), ms(1_000), at(0));
    expect_true!(backoffs.try_acquire(&start(1), at(1_000)));
    expect_false!(backoffs.try_acquire(&start(1), at(1_199)));
    expect_true!(backoffs.try_acquire(&start(1), at(1_200)));
    expect_true!(backoffs.try_acquire(&start(1), at(1_201)));
}

#[gtest]
fn a_rejected_probe_starts_the_next_backoff() {
    let mut backoffs = UpstreamBackoffs::default();
    backoffs.record(&start(1), ms(1_000), at(0));
    expect_true!(backoffs.try_acquire(&start(1), at(1_000)));
    expect_true!(backoffs.record(&start(1), ms(2_000), at(1_010)));
    expect_that!(backoffs.state(&start(1), at(1_200)), eq(backing_off(1_810)));
    expect_true!(backoffs.try_acquire(&start(1), at(3_010)));
    expect_false!(backoffs.try_acquire(&start(1), at(3_011)));
}

#[gtest]
fn a_request_accepted_before_the_end_does_not_end_a_backoff() {
    let mut backoffs = UpstreamBackoffs::default();
    backoffs.record(&start(1), ms(1_000), at(0));
    backoffs.record_accepted(&start(1), at(500));
    expect_that!(backoffs.state(&start(1), at(500)), eq(backing_off(500)));
}

#[gtest]
fn finished_backoffs_and_removed_starts_are_pruned() {
    let mut backoffs = UpstreamBackoffs::default();
    backoffs.record(&start(1), ms(1_000), at(0));
    backoffs.record(&start(2), ms(60_000), at(0));
    backoffs.prune(|_| true, at(10_999));
    expect_that!(backoffs.state(&start(2), at(10_999)), not(eq(READY)));
    backoffs.prune(|one| *one == start(1), at(10_999));
    expect_that!(backoffs.state(&start(2), at(10_999)), eq(READY));
    expect_false!(backoffs.is_empty());
    backoffs.prune(|_| true, at(11_000));
    expect_true!(backoffs.is_empty());
}

/// An event at one instance.
#[derive(Debug, Clone)]
enum Step {
    /// Time passes, in ms.
    Pass(u64),
    /// An upstream asks for a backoff, in ms.
    Ask(u8, u64),
    /// A request for an upstream arrives.
    Request(u8),
    /// An upstream accepts a request.
    Accept(u8),
    /// Finished backoffs are pruned.
    Prune,
}

fn step() -> impl Strategy<Value = Step> {
    let id = 0_u8..3;
    prop_oneof![
        3 => (0_u64..900).prop_map(Step::Pass),
        2 => (id.clone(), 0_u64..4_000)
            .prop_map(|(id, ms)| Step::Ask(id, ms)),
        6 => id.clone().prop_map(Step::Request),
        1 => id.prop_map(Step::Accept),
        1 => Just(Step::Prune),
    ]
}

proptest! {
    /// No request is sent to an upstream before the end of every backoff that
    /// the upstream asked for. After the end a request is permitted, unless
    /// another was sent less than 200 ms before.
    #[test]
    fn nothing_is_sent_during_a_backoff(steps in prop::collection::vec(step(), 1..80)) {
        let mut backoffs = UpstreamBackoffs::default();
        let mut until: BTreeMap<u8, Millis> = BTreeMap::new();
        let mut sent: BTreeMap<u8, Millis> = BTreeMap::new();
        let mut now = at(0);
        for step in steps {
            match step {
                Step::Pass(ms) => now = now + ms,
                Step::Ask(id, for_ms) => {
                    backoffs.record(&start(id), ms(for_ms), now);
                    let latest = until.entry(id).or_default();
                    *latest = (*latest).max(now + for_ms);
                }
                Step::Request(id) => {
                    let end = until.get(&id).copied().unwrap_or_default();
                    let is_permitted = backoffs.try_acquire(&start(id), now);
                    prop_assert!(!is_permitted || now >= end);
                    let sent_just_before = sent.get(&id).is_some_and(|at| {
                        now.since(*at) < 200
                    });
                    prop_assert!(is_permitted || now < end || sent_just_before);
                    if is_permitted {
                        sent.insert(id, now);
                    }
                }
                Step::Accept(id) => backoffs.record_accepted(&start(id), now),
                Step::Prune => backoffs.prune(|_| true, now),
            }
        }
    }
}
