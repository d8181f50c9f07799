//! Tests of upstreams that fall over if they reject too many requests.

use googletest::prelude::*;
use proptest::prelude::*;

use crate::{
    fleet::{
        UpstreamStart,
        brittle::{
            BrittleReport, BrittleUpstreams, Occupancy, RejectionCapacity,
            RoomState,
        },
    },
    id::{ServiceName, UpstreamId},
    time::Millis,
};

fn upstream(name: &str) -> UpstreamStart {
    UpstreamStart { id: UpstreamId::new(name), started_at_ms: None }
}

fn service() -> ServiceName {
    ServiceName::new("plain")
}

fn at(ms: u64) -> Millis {
    Millis::new(ms)
}

fn occupancy(own: u32, total: u32) -> Occupancy {
    Occupancy { slots: 6, own, total }
}

/// Returns whether a request may be sent by one of three instances.
fn room(
    upstreams: &BrittleUpstreams,
    name: &str,
    occupancy: Occupancy,
    ms: u64,
) -> RoomState {
    upstreams.room(&upstream(name), &service(), occupancy, 3, at(ms))
}

fn report(
    start: &UpstreamStart,
    capacity: RejectionCapacity,
) -> BrittleReport {
    BrittleReport {
        start: start.clone(),
        service: service(),
        capacity,
        is_rejection: true,
    }
}

const FEW: Option<RejectionCapacity> = Some(RejectionCapacity(3));

#[gtest]
fn sound_upstreams_take_what_comes() {
    let mut upstreams = BrittleUpstreams::default();
    upstreams.on_answer(&upstream("a"), &service(), None, at(0));
    expect_that!(
        room(&upstreams, "a", occupancy(90, 90), 1),
        eq(RoomState::Room)
    );
    expect_true!(upstreams.is_empty());
}

#[gtest]
fn each_instance_keeps_to_its_part_of_the_slots() {
    let mut upstreams = BrittleUpstreams::default();
    expect_true!(upstreams.on_answer(&upstream("a"), &service(), FEW, at(0)));
    expect_false!(upstreams.on_answer(&upstream("a"), &service(), FEW, at(1)));
    let full = RoomState::Full;
    expect_that!(
        room(&upstreams, "a", occupancy(1, 1), 2),
        eq(RoomState::Room)
    );
    expect_that!(room(&upstreams, "a", occupancy(2, 2), 2), eq(full));
    expect_that!(room(&upstreams, "a", occupancy(0, 6), 2), eq(full));
    // Others of the service are brittle as well.
    expect_that!(room(&upstreams, "b", occupancy(2, 2), 2), eq(full));
    // One that has answered otherwise is not.
    upstreams.on_answer(&upstream("b"), &service(), None, at(3));
    expect_that!(
        room(&upstreams, "b", occupancy(9, 9), 4),
        eq(RoomState::Room)
    );
}

#[gtest]
fn a_statement_ends_with_an_answer_without_it_and_in_time() {
    let mut upstreams = BrittleUpstreams::default();
    upstreams.on_answer(&upstream("a"), &service(), FEW, at(0));
    upstreams.on_answer(&upstream("a"), &service(), None, at(10));
    expect_that!(
        room(&upstreams, "a", occupancy(6, 6), 11),
        eq(RoomState::Room)
    );
    expect_that!(
        room(&upstreams, "b", occupancy(6, 6), 60_000),
        eq(RoomState::Room)
    );
    upstreams.prune(at(60_000));
    expect_true!(upstreams.is_empty());
}

#[gtest]
fn after_a_rejection_one_request_goes_first() {
    let mut upstreams = BrittleUpstreams::default();
    let start = upstream("a");
    let capacity = RejectionCapacity(3);
    let report = report(&start, capacity);
    upstreams.on_rejection(&report, 3, 0.0, at(100));
    let held = RoomState::HeldBack { remaining_ms: 900 };
    expect_that!(room(&upstreams, "a", occupancy(0, 0), 200), eq(held));
    // An answer to a request that was sent before does not end it.
    upstreams.on_accepted(&start, at(300));
    let held = RoomState::HeldBack { remaining_ms: 700 };
    expect_that!(room(&upstreams, "a", occupancy(0, 0), 400), eq(held));
    expect_that!(
        room(&upstreams, "a", occupancy(0, 0), 1_100),
        eq(RoomState::Room)
    );
    expect_that!(
        room(&upstreams, "a", occupancy(1, 1), 1_101),
        eq(RoomState::Full)
    );
    upstreams.on_accepted(&start, at(1_120));
    expect_that!(
        room(&upstreams, "a", occupancy(1, 1), 1_121),
        eq(RoomState::Room)
    );
}

proptest! {
    /// However many requests wait at several instances that hear of rejections
    /// at once, an upstream without any room rejects no more a second than it
    /// states.
    #[test]
    fn a_full_upstream_rejects_no_more_than_it_states(
        capacity in 1_u32..40,
        instances in 1_usize..12,
        spreads in prop::collection::vec(0.0_f64..1.0, 64),
    ) {
        let capacity = RejectionCapacity(capacity);
        let start = upstream("a");
        let mut known = vec![BrittleUpstreams::default(); instances];
        for one in &mut known {
            one.on_answer(&start, &service(), Some(capacity), at(0));
        }
        let mut rejected: Vec<u64> = Vec::new();
        let mut spreads = spreads.into_iter().cycle();
        for ms in 1..8_000_u64 {
            let free = occupancy(0, 0);
            let sender = (0..instances).find(|index| {
                let one = &known[*index];
                let state =
                    one.room(&start, &service(), free, instances, at(ms));
                state == RoomState::Room
            });
            if sender.is_none() {
                continue;
            }
            rejected.push(ms);
            let report = report(&start, capacity);
            for one in &mut known {
                let spread = spreads.next().unwrap_or(0.0);
                one.on_rejection(&report, instances, spread, at(ms));
            }
        }
        for (index, first) in rejected.iter().enumerate() {
            let within = rejected[index..].iter().take_while(|ms| **ms - first < 1_000);
            prop_assert!(within.count() <= capacity.0 as usize);
        }
        // It is tried again and again.
        prop_assert!(rejected.len() >= 3);
    }
}

#[gtest]
fn instances_without_requests_learn_it_from_reports() {
    let mut first = BrittleUpstreams::default();
    let mut second = BrittleUpstreams::default();
    let start = upstream("a");
    expect_true!(first.on_answer(&start, &service(), FEW, at(0)));
    let few = RejectionCapacity(3);
    let report = BrittleReport { is_rejection: false, ..report(&start, few) };
    second.on_report(&report, 3, 0.0, at(5));
    expect_true!(second.is_brittle(&service(), at(5)));
    let full = RoomState::Full;
    expect_that!(room(&second, "b", occupancy(2, 2), 6), eq(full));
    // One report a second is enough, whoever sends it.
    expect_false!(first.on_answer(&start, &service(), FEW, at(900)));
    expect_false!(second.on_answer(&start, &service(), FEW, at(900)));
    expect_true!(first.on_answer(&start, &service(), FEW, at(1_000)));
    expect_false!(second.is_brittle(&service(), at(20_000)));
}
