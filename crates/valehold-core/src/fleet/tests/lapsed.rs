//! Tests of upstreams whose entries lapsed during an outage of the store.

use std::sync::Arc;

use googletest::prelude::*;

use crate::{
    fleet::{
        Holding, Listing, Upstream,
        lapsed::{LapsedUpstreams, StoreAvailability},
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
        software: None,
        holding: Holding::default(),
    })
}

#[gtest]
fn a_lapsed_upstream_is_kept_until_listed_again_or_the_grace_period_ends() {
    let mut lapsed = LapsedUpstreams::default();
    let (first, second) = (upstream("u1", false), upstream("u2", false));
    lapsed.keep(&first, at(1_000));
    lapsed.keep(&second, at(1_000));
    expect_that!(lapsed.get(&first.id), some(eq(&first)));
    expect_that!(lapsed.get(&second.id), some(eq(&second)));
    // The first upstream is listed again.
    let relisted = Listing {
        version: 2,
        upstreams: [(first.id.clone(), first.clone())].into_iter().collect(),
    };
    let over = lapsed.prune(&relisted, at(1_200));
    expect_that!(over, elements_are![eq(&first.id)]);
    expect_false!(lapsed.contains(&first.id));
    expect_true!(lapsed.contains(&second.id));
    // Keeping the second one again does not extend its grace period.
    lapsed.keep(&second, at(1_900));
    let over = lapsed.prune(&relisted, at(2_000));
    expect_that!(over, elements_are![eq(&second.id)]);
    expect_false!(lapsed.contains(&second.id));
}

#[gtest]
fn a_leaving_upstream_is_not_kept() {
    let mut lapsed = LapsedUpstreams::default();
    let leaving = upstream("u1", true);
    lapsed.keep(&leaving, at(1_000));
    expect_false!(lapsed.contains(&leaving.id));
}

#[gtest]
fn failures_for_one_second_are_an_outage() {
    let mut store = StoreAvailability::default();
    store.record_answer(at(1_000));
    store.record_failure(50, at(1_100));
    store.record_answer(at(1_900));
    expect_false!(store.has_just_recovered(at(1_900)));
    store.record_failure(50, at(2_000));
    store.record_failure(50, at(2_800));
    store.record_answer(at(3_000));
    expect_true!(store.has_just_recovered(at(3_000)));
    expect_true!(store.has_just_recovered(at(3_999)));
    expect_false!(store.has_just_recovered(at(4_000)));
}

/// Guards against taking the end of a long watch for the end of an outage. On
/// the bench, a gateway with such a watch used upstreams that had left for
/// 2.2 s more.
#[gtest]
fn a_long_watch_is_no_outage() {
    let mut store = StoreAvailability::default();
    store.record_answer(at(1_000));
    store.record_answer(at(29_000));
    expect_false!(store.has_just_recovered(at(29_000)));
    // A watch that fails once at its end is no outage either.
    store.record_failure(28_000, at(57_000));
    store.record_answer(at(57_200));
    expect_false!(store.has_just_recovered(at(57_200)));
}

/// Guards against taking the store for lost because of an outdated failure. On
/// the bench, a watch of the configuration failed two seconds after the store
/// had answered a call about upstreams, but the watch had begun before that
/// answer.
#[gtest]
fn a_failed_call_that_began_before_the_last_answer_is_ignored() {
    let mut store = StoreAvailability::default();
    store.record_answer(at(11_800));
    expect_false!(store.record_failure(3_200, at(14_000)));
    expect_true!(store.record_failure(1_000, at(14_000)));
    // The failure of a call that began at the time of the answer counts.
    let mut store = StoreAvailability::default();
    store.record_answer(at(11_800));
    expect_true!(store.record_failure(2_200, at(14_000)));
}
