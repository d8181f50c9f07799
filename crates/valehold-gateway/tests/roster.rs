//! Who hears whom, where gateways are few and where they are many.

use std::{collections::BTreeMap, net::SocketAddr};

use googletest::prelude::*;
use valehold_core::{
    Millis,
    id::{DataCentreId, InstanceId, UpstreamId},
};
use valehold_gateway::{
    peers::{
        Heartbeat, Roster,
        message::{LeaseWord, LoadReport, Rank, UpstreamLoad},
        roster::{Observing, Own},
    },
    view::{Life, Load},
};

const SILENT_MS: u64 = 1_000;

fn address(number: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, (number >> 8) as u8, number as u8], 7_000))
}

fn requests(number: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, (number >> 8) as u8, number as u8], 8_000))
}

fn rank(number: u16) -> Rank {
    Rank { strength: 25, tie: u32::from(number) }
}

fn heartbeat(number: u16, sequence: u64) -> Heartbeat {
    Heartbeat {
        instance: InstanceId::new(format!("g{number}")),
        start: 1,
        sequence,
        data_centre: DataCentreId::new("north"),
        life: Life::Serving,
        rank: rank(number),
        requests: requests(number),
        state: address(number),
        catalog: 3,
        listing: 3,
        lease: None,
        store_fails: false,
        known: Vec::new(),
        loads: Vec::new(),
        demand: Vec::new(),
        holdings: Vec::new(),
    }
}

fn roster(number: u16) -> Roster {
    let own = Own { heartbeats: address(number), rank: rank(number) };
    Roster::new(own, SILENT_MS, [address(1)])
}

/// Makes the roster of one gateway that heard all others directly.
fn hearing_all(number: u16, count: u16, now: Millis) -> Roster {
    let mut roster = roster(number);
    for other in (1..=count).filter(|other| *other != number) {
        roster.heard(address(other), heartbeat(other, 1), now);
    }
    roster
}

#[gtest]
fn few_gateways_hear_each_other() {
    let now = Millis::new(500);
    let mut roster = hearing_all(1, 8, now);
    expect_false!(roster.has_hubs(now));
    expect_that!(roster.heartbeat_targets(now).len(), eq(7));
    expect_that!(roster.ready(now).len(), eq(7));
    // The silent are gone, and still sent heartbeats in case they come back.
    let later = now + SILENT_MS;
    expect_that!(roster.ready(later), is_empty());
    expect_that!(roster.heartbeat_targets(later).len(), eq(7));
}

#[gtest]
fn an_older_heartbeat_changes_nothing() {
    let now = Millis::new(500);
    let mut roster = roster(1);
    expect_true!(roster.heard(address(2), heartbeat(2, 5), now));
    let mut older = heartbeat(2, 4);
    older.life = Life::Leaving;
    expect_false!(roster.heard(address(2), older, now));
    expect_that!(roster.ready(now).len(), eq(1));
    let mut leaving = heartbeat(2, 6);
    leaving.life = Life::Leaving;
    roster.heard(address(2), leaving, now);
    expect_that!(roster.ready(now), is_empty());
}

#[gtest]
fn three_observe_and_those_that_hear_nothing_for_themselves() {
    let now = Millis::new(500);
    let observing = (1..=8).filter(|number| {
        let roster = hearing_all(*number, 8, now);
        roster.observing(false, now) != Observing::Nothing
    });
    expect_that!(observing.collect::<Vec<_>>(), eq(&vec![6, 7, 8]));
    // Whoever the store turns away looks for itself.
    // The greatest comes first, the others are its reserve.
    let part = |number| hearing_all(number, 8, now).observing(false, now);
    expect_that!(part(8), eq(Observing::Foremost));
    expect_that!(part(7), eq(Observing::Reserve));
    expect_that!(part(6), eq(Observing::Reserve));
    let turned_away = hearing_all(1, 8, now).observing(true, now);
    expect_that!(turned_away, eq(Observing::Foremost));
    expect_that!(roster(1).observing(false, now), eq(Observing::Foremost));
    // An observer whom the store turns away is replaced.
    let mut other = hearing_all(5, 8, now);
    let mut failing = heartbeat(8, 2);
    failing.store_fails = true;
    other.heard(address(8), failing, now);
    expect_that!(other.observing(false, now), ne(Observing::Nothing));
}

#[gtest]
fn many_gateways_tell_hubs_which_tell_all() {
    let now = Millis::new(500);
    let count = 40;
    let hub = hearing_all(40, count, now);
    expect_true!(hub.is_hub(now));
    let mut own = heartbeat(40, 1);
    let upstream = UpstreamId::new("u1");
    let load = Load { running: 2, waiting_tokens: 10 };
    own.loads.push(UpstreamLoad { upstream: upstream.clone(), load });
    own.lease = Some(LeaseWord::Holds { epoch: 7, version: 90 });
    own.catalog = 9;
    let summary = hub.sum_up(&own, now);
    expect_that!(summary.members.len(), eq(usize::from(count)));
    let mut other = roster(5);
    other.summed_up(address(40), summary, now);
    expect_true!(other.has_hubs(now));
    expect_false!(other.is_hub(now));
    expect_that!(other.ready(now).len(), eq(usize::from(count) - 1));
    expect_that!(other.holder(now), some(eq(address(40))));
    expect_that!(other.with_newer_catalog(3, now), some(eq(address(40))));
    expect_that!(other.with_newer_catalog(9, now), none());
    let loads = other.loads(&BTreeMap::new(), now);
    expect_that!(loads.get(&upstream), some(eq(&load)));
    expect_that!(other.observing(false, now), eq(Observing::Nothing));
    // Heartbeats go to the three hubs, and seeds now and then.
    let targets = other.heartbeat_targets(now);
    expect_that!(targets.len(), eq(3));
    expect_true!(targets.contains(&address(40)));
    // When the hubs fall silent, it stands alone and tries all it knew.
    let later = now + SILENT_MS;
    expect_false!(other.has_hubs(later));
    let targets = other.heartbeat_targets(later);
    expect_that!(targets.len(), eq(usize::from(count) - 1));
    expect_that!(other.observing(false, later), ne(Observing::Nothing));
}

#[gtest]
fn own_load_is_taken_off_a_summary() {
    let now = Millis::new(500);
    let hub = hearing_all(40, 40, now);
    let upstream = UpstreamId::new("u1");
    let load = |running| Load { running, waiting_tokens: 0 };
    let mut own = heartbeat(40, 1);
    own.loads.push(UpstreamLoad { upstream: upstream.clone(), load: load(5) });
    let mut other = roster(5);
    other.summed_up(address(40), hub.sum_up(&own, now), now);
    let mine = BTreeMap::from([(upstream.clone(), load(2))]);
    let others = other.loads(&mine, now);
    expect_that!(others.get(&upstream), some(eq(&load(3))));
    let mine = BTreeMap::from([(upstream.clone(), load(9))]);
    let others = other.loads(&mine, now);
    expect_that!(others.get(&upstream), some(eq(&load(0))));
}

fn report(number: u16, sequence: u64, running: u32) -> LoadReport {
    LoadReport {
        instance: InstanceId::new(format!("g{number}")),
        start: 1,
        sequence,
        loads: vec![load_of("u1", running)],
    }
}

fn load_of(upstream: &str, running: u32) -> UpstreamLoad {
    let load = Load { running, waiting_tokens: 0 };
    UpstreamLoad { upstream: UpstreamId::new(upstream), load }
}

#[gtest]
fn loads_are_told_between_heartbeats() {
    let now = Millis::new(500);
    let mut hub = hearing_all(40, 40, now);
    expect_true!(hub.is_foremost_hub(now));
    hub.load_heard(report(7, 2, 3), now);
    // A report that was overtaken, and one from before a restart.
    hub.load_heard(report(7, 2, 9), now);
    hub.load_heard(LoadReport { start: 0, ..report(7, 3, 9) }, now);
    // A heartbeat that was overtaken by the report.
    hub.heard(address(7), heartbeat(7, 2), now);
    let sums = hub.sum_loads(&[load_of("u1", 1)], now);
    expect_that!(sums, elements_are![eq(&load_of("u1", 4))]);
}

#[gtest]
fn the_newest_word_of_all_loads_counts() {
    let now = Millis::new(500);
    let hub = hearing_all(40, 40, now);
    let mut own = heartbeat(40, 1);
    own.loads.push(load_of("u1", 5));
    let mut other = roster(5);
    other.summed_up(address(40), hub.sum_up(&own, now), now);
    let upstream = UpstreamId::new("u1");
    let running = |roster: &Roster, now| {
        let loads = roster.loads(&BTreeMap::new(), now);
        loads.get(&upstream).map(|load| load.running)
    };
    expect_that!(running(&other, now), some(eq(5)));
    other.load_sums_heard(vec![load_of("u1", 8)], now + 100);
    expect_that!(running(&other, now + 100), some(eq(8)));
    other.summed_up(address(40), hub.sum_up(&own, now), now + 200);
    expect_that!(running(&other, now + 200), some(eq(5)));
    // Without a word of hubs, only what is heard directly counts.
    expect_that!(running(&other, now + 200 + SILENT_MS), none());
}

/// On the bench: while the store was away, each of 63 gateways asked it twice
/// a second.
#[gtest]
fn only_the_greatest_look_for_a_store_that_nobody_hears() {
    let now = Millis::new(500);
    let looking = |failing: bool| {
        let looks = (1..=40_u16).filter(|number| {
            let mut roster = roster(*number);
            for other in (1..=40).filter(|other| other != number) {
                let mut beat = heartbeat(other, 1);
                beat.store_fails = failing;
                roster.heard(address(other), beat, now);
            }
            !roster.others_look(now)
        });
        looks.collect::<Vec<u16>>()
    };
    expect_that!(looking(true), eq(&vec![38, 39, 40]));
    // Where others hear it, their word is enough for the time being.
    expect_that!(looking(false), is_empty());
    // Whoever hears nobody looks for itself.
    expect_false!(roster(1).others_look(now));
}
