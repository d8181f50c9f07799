//! Tests of whether an instance's own links reach upstreams.

use googletest::prelude::*;

use crate::{
    fleet::{
        UpstreamStart,
        reachability::{ConnectionPath, LinkChange, Reachability},
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

#[gtest]
fn failures_long_ago_do_not_count() {
    let mut links = Reachability::default();
    links.record_failure(&upstream("a"), 9, at(0));
    links.record_failure(&upstream("b"), 9, at(1));
    links.record_failure(&upstream("c"), 9, at(5_000));
    expect_false!(links.is_lost());
}

#[gtest]
fn an_upstream_that_failed_is_reached_through_a_peer_for_a_while() {
    let mut links = Reachability::default();
    let (a, b) = (upstream("a"), upstream("b"));
    links.record_failure(&a, 9, at(10));
    expect_that!(links.path_to(&a, at(11)), eq(ConnectionPath::ViaPeer));
    expect_that!(links.path_to(&b, at(11)), eq(ConnectionPath::Direct));
    expect_that!(links.path_to(&a, at(4_000)), eq(ConnectionPath::Direct));
    links.record_failure(&a, 9, at(4_000));
    links.record_success(&a, at(4_001));
    expect_that!(links.path_to(&a, at(4_002)), eq(ConnectionPath::Direct));
}

#[gtest]
fn all_upstreams_are_reached_through_peers_while_the_links_are_lost() {
    let mut links = Reachability::default();
    for (ms, name) in [(10, "a"), (11, "b"), (12, "c")] {
        links.record_failure(&upstream(name), 9, at(ms));
    }
    let other = upstream("other");
    let path = links.path_to(&other, at(60_000));
    expect_that!(path, eq(ConnectionPath::ViaPeer));
    links.record_success(&other, at(60_001));
    for name in ["a", "b", "c", "other"] {
        let path = links.path_to(&upstream(name), at(60_002));
        expect_that!(path, eq(ConnectionPath::Direct), "{name}");
    }
}

#[gtest]
fn only_silent_upstreams_are_probed() {
    let mut links = Reachability::default();
    let (a, b) = (upstream("a"), upstream("b"));
    links.record_answer(&a, at(1_000));
    links.request_probe(&a, at(1_100));
    links.request_probe(&b, at(1_100));
    expect_that!(links.take_probes(4), elements_are![eq(&b)]);
    expect_that!(links.take_probes(4), is_empty());
    links.request_probe(&a, at(1_500));
    links.request_probe(&b, at(1_500));
    expect_that!(links.take_probes(1), elements_are![eq(&a)]);
    expect_that!(links.take_probes(1), elements_are![eq(&b)]);
}

#[gtest]
fn lost_links_are_probed_in_turn_without_requests() {
    let mut links = Reachability::default();
    for (ms, name) in [(10, "a"), (11, "b"), (12, "c")] {
        links.record_failure(&upstream(name), 9, at(ms));
    }
    for (ms, name) in [(200, "a"), (400, "b"), (600, "c"), (800, "a")] {
        let due = links.take_probes(4);
        expect_that!(due, elements_are![eq(&upstream(name))]);
        links.record_failure(&due[0], 9, at(ms));
    }
    links.record_success(&upstream("b"), at(900));
    expect_that!(links.take_probes(4), is_empty());
}
