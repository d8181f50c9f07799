//! Tests of whether an instance's own links reach upstreams.

use googletest::prelude::*;

use crate::{
    fleet::{
        UpstreamStart,
        reachability::{LinkChange, Reachability},
    },
    id::UpstreamId,
    time::Millis,
};

fn upstream(name: &str) -> UpstreamStart {
    UpstreamStart { id: UpstreamId::new(name), started_at_ms: None }
}

fn at(ms: u64) -> Millis {
    Millis::new(ms)
}

#[gtest]
fn failures_of_several_upstreams_in_a_row_are_of_the_links() {
    let mut links = Reachability::default();
    expect_that!(links.record_failure(&upstream("a"), 9, at(10)), none());
    expect_that!(links.record_failure(&upstream("a"), 9, at(11)), none());
    expect_that!(links.record_failure(&upstream("b"), 9, at(12)), none());
    expect_false!(links.is_lost());
    let lost = links.record_failure(&upstream("c"), 9, at(13));
    expect_that!(lost, some(eq(LinkChange::Lost { unreachable: 3 })));
    expect_true!(links.is_lost());
    // The change is reported once.
    expect_that!(links.record_failure(&upstream("d"), 9, at(14)), none());
}

#[gtest]
fn a_connection_in_between_shows_that_the_upstreams_failed() {
    let mut links = Reachability::default();
    links.record_failure(&upstream("a"), 9, at(10));
    links.record_failure(&upstream("b"), 9, at(11));
    expect_that!(links.record_success(&upstream("c"), at(12)), none());
    links.record_failure(&upstream("d"), 9, at(13));
    links.record_failure(&upstream("e"), 9, at(14));
    expect_false!(links.is_lost());
}

#[gtest]
fn a_connection_ends_the_loss_of_the_links() {
    let mut links = Reachability::default();
    for (ms, name) in [(10, "a"), (11, "b"), (12, "c")] {
        links.record_failure(&upstream(name), 9, at(ms));
    }
    let regained = links.record_success(&upstream("a"), at(500));
    let expected = LinkChange::Regained { after_ms: 488 };
    expect_that!(regained, some(eq(expected)));
    expect_false!(links.is_lost());
    links.record_failure(&upstream("b"), 9, at(501));
    expect_false!(links.is_lost());
}

#[gtest]
fn fewer_upstreams_are_enough_where_fewer_are_listed() {
    let mut links = Reachability::default();
    links.record_failure(&upstream("a"), 2, at(10));
    expect_false!(links.is_lost());
    links.record_failure(&upstream("b"), 2, at(11));
    expect_true!(links.is_lost());
}
