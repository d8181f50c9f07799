//! Upstreams that lapsed with the store are kept for a while.

use std::sync::Arc;

use googletest::prelude::*;

use crate::{
    fleet::{
        Holding, Listing, Upstream,
        lapsed::{LapsedUpstreams, StorePresence},
    },
    id::{DataCentreId, ServiceName, UpstreamId},
    time::Millis,
};

fn at(ms: u64) -> Millis {
    Millis::new(ms)
}

fn upstream(id: &str, leaving: bool) -> Arc<Upstream> {
    Arc::new(Upstream {
        id: UpstreamId::new(id),
        service: ServiceName::new("s"),
        address: ([10, 0, 0, 1], 80).into(),
        data_centre: DataCentreId::new("north"),
        slots: 4,
        leaving,
        cold_for_ms: 0,
        started_at_ms: None,
        holding: Holding::default(),
    })
}

#[gtest]
fn who_lapsed_is_kept_until_it_is_back_or_gone() {
    let mut lapsed = LapsedUpstreams::default();
    let (first, second) = (upstream("u1", false), upstream("u2", false));
    lapsed.keep(&first, at(1_000));
    lapsed.keep(&second, at(1_000));
    expect_that!(lapsed.get(&first.id), some(eq(&first)));
    expect_that!(lapsed.get(&second.id), some(eq(&second)));
    // One is back.
    let back = Listing {
        version: 2,
        upstreams: [(first.id.clone(), first.clone())].into_iter().collect(),
    };
    let over = lapsed.pass(&back, at(1_200));
    expect_that!(over, elements_are![eq(&first.id)]);
    expect_false!(lapsed.contains(&first.id));
    expect_true!(lapsed.contains(&second.id));
    // Missing it again does not make the time longer.
    lapsed.keep(&second, at(1_900));
    let over = lapsed.pass(&back, at(2_000));
    expect_that!(over, elements_are![eq(&second.id)]);
    expect_false!(lapsed.contains(&second.id));
}

#[gtest]
fn who_said_that_it_leaves_is_not_kept() {
    let mut lapsed = LapsedUpstreams::default();
    let leaving = upstream("u1", true);
    lapsed.keep(&leaving, at(1_000));
    expect_false!(lapsed.contains(&leaving.id));
}

#[gtest]
fn a_store_that_failed_for_a_second_was_away() {
    let mut store = StorePresence::default();
    store.heard(at(1_000));
    store.failed(50, at(1_100));
    store.heard(at(1_900));
    expect_false!(store.has_just_returned(at(1_900)));
    store.failed(50, at(2_000));
    store.failed(50, at(2_800));
    store.heard(at(3_000));
    expect_true!(store.has_just_returned(at(3_000)));
    expect_true!(store.has_just_returned(at(3_999)));
    expect_false!(store.has_just_returned(at(4_000)));
}

/// On the bench: a gateway whose watch had lasted long took the store for
/// just returned, and upstreams that had left were used for 2.2 s more.
#[gtest]
fn a_watch_that_lasts_long_is_no_outage() {
    let mut store = StorePresence::default();
    store.heard(at(1_000));
    store.heard(at(29_000));
    expect_false!(store.has_just_returned(at(29_000)));
    // Nor is one that fails once at its end.
    store.failed(28_000, at(57_000));
    store.heard(at(57_200));
    expect_false!(store.has_just_returned(at(57_200)));
}

/// On the bench: two seconds after the store had answered for upstreams, a
/// watch of the configuration that had begun before failed, and the store was
/// taken for lost.
#[gtest]
fn a_call_that_began_before_the_last_answer_tells_nothing_new() {
    let mut store = StorePresence::default();
    store.heard(at(11_800));
    expect_false!(store.failed(3_200, at(14_000)));
    expect_true!(store.failed(1_000, at(14_000)));
    // One that began with the answer is news.
    let mut store = StorePresence::default();
    store.heard(at(11_800));
    expect_true!(store.failed(2_200, at(14_000)));
}
