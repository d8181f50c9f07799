//! What a gateway makes of any bytes from peers.

use std::{cell::RefCell, net::SocketAddr};

use googletest::prelude::*;
use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed, TestRunner},
};
use valehold_core::{
    Millis,
    fleet::{Listing, UpstreamStart, paces::PaceNews},
    id::{DataCentreId, InstanceId, UpstreamId},
};
use valehold_gateway::{
    peers::{
        Heartbeat, Message, Roster, WordNumber,
        message::{
            GroupLoads, HubNews, LeaseWord, LoadNews, LoadReport, MemberPart,
            Rank, StoreSight, Summary, UpstreamLoad,
        },
        roster::{Own, OwnWord, members::ToldMembers, sums::Loads},
        state::PeerState,
    },
    view::{Life, Load},
};

/// The seed of the cases that every run tries.
const SEED: u64 = 20_261_204;

/// How many cases a property is tried with.
const CASES: u32 = 8_000;

fn runner() -> TestRunner {
    TestRunner::new(Config {
        cases: CASES,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..Config::default()
    })
}

fn address(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 7_000))
}

fn rank(number: u8) -> Rank {
    Rank { strength: 25, tie: u32::from(number) }
}

fn loads() -> Vec<UpstreamLoad> {
    let id = UpstreamId::new("u1");
    let upstream = UpstreamStart { id, started_at_ms: Some(1) }.tag();
    let load = Load { running: 3, waiting_tokens: 700 };
    vec![UpstreamLoad { upstream, load }]
}

fn heartbeat(number: u8) -> Heartbeat {
    Heartbeat {
        instance: InstanceId::new(format!("g{number}")),
        start: 1,
        sequence: 1,
        data_centre: DataCentreId::new("north"),
        life: Life::Serving,
        rank: rank(number),
        requests: address(number),
        state: address(number),
        catalog: 3,
        listing: 3,
        lease: Some(LeaseWord::Holds { epoch: 2, version: 9 }),
        store: StoreSight::Answers,
        known: vec![address(9)],
        loads: loads(),
        demand: Vec::new(),
        usage: Vec::new(),
        paces: Vec::new(),
        seen: 3,
        holdings: Vec::new(),
        evacuations: None,
        crashes: 0,
    }
}

fn roster() -> Roster {
    let own = Own {
        heartbeats: address(1),
        state: address(1),
        data_centre: DataCentreId::new("north"),
        rank: rank(1),
    };
    let mut roster = Roster::new(own, 1_000, [address(2)]);
    for other in 2..40 {
        roster.heard(address(other), heartbeat(other), Millis::new(500));
    }
    roster.work_out(own_word(), Millis::new(500));
    roster
}

fn own_word() -> OwnWord {
    OwnWord {
        requests: address(1),
        life: Life::Serving,
        store: StoreSight::Answers,
    }
}

fn told(roster: &Roster, own: &Heartbeat, now: Millis) -> ToldMembers {
    let mut told = ToldMembers::default();
    told.news(&roster.hub_members(own, now), usize::MAX);
    told
}

fn summary(roster: &Roster, own: &Heartbeat, now: Millis) -> Summary {
    let members = roster.hub_members(own, now);
    let members = ToldMembers::default().news(&members, usize::MAX);
    roster.sum_up(own, members, None, now)
}

fn part(roster: &Roster, own: &Heartbeat, now: Millis) -> MemberPart {
    told(roster, own, now).parts(own.start).remove(0)
}

/// One datagram of each kind that the roster hears.
fn datagrams() -> Vec<Vec<u8>> {
    let (roster, now) = (roster(), Millis::new(500));
    let number = WordNumber { start: 1, sequence: 1 };
    let news = LoadNews::of_all(loads());
    let own = heartbeat(1);
    let messages = [
        Message::Heartbeat(Box::new(own.clone())),
        Message::Summary(Box::new(summary(&roster, &own, now))),
        Message::Members(part(&roster, &own, now)),
        Message::Digest(Box::new(roster.digest(&own, Vec::new(), now))),
        Message::Loads(LoadReport {
            instance: InstanceId::new("g2"),
            start: 1,
            sequence: 2,
            loads: loads(),
            usage: Vec::new(),
            paces: Vec::new(),
        }),
        Message::HubNews(HubNews {
            number,
            loads: news.clone(),
            rulings: None,
            paces: PaceNews::default(),
        }),
        Message::GroupLoads(GroupLoads {
            instance: InstanceId::new("g2"),
            number,
            data_centre: DataCentreId::new("south"),
            news,
            usage: Vec::new(),
        }),
    ];
    messages.iter().map(|message| message.encode().unwrap()).collect()
}

/// Any bytes, and those of a datagram cut off or with some bytes changed.
fn bytes_like(valid: Vec<Vec<u8>>) -> impl Strategy<Value = Vec<u8>> {
    let changes = prop::collection::vec((any::<usize>(), any::<u8>()), 1..5);
    let cut = valid.clone();
    prop_oneof![
        1 => prop::collection::vec(any::<u8>(), 0..200),
        1 => (prop::sample::select(cut), any::<usize>())
            .prop_map(|(bytes, kept)| bytes[..kept % bytes.len()].to_vec()),
        6 => (prop::sample::select(valid), changes).prop_map(
            |(mut bytes, changes)| {
                for (at, byte) in changes {
                    let at = 1 + at % (bytes.len() - 1);
                    bytes[at] = byte;
                }
                bytes
            }
        ),
    ]
}

fn hear(roster: &mut Roster, message: Message, now: Millis) {
    let from = address(40);
    if let Some(number) = message.number() {
        roster.takes(from, number, now);
    }
    match message {
        Message::Heartbeat(heartbeat) => {
            roster.heard(from, *heartbeat, now);
        }
        Message::Summary(summary) => {
            roster.summed_up(from, *summary, now);
        }
        Message::Members(part) => roster.members_heard(from, &part, now),
        Message::Digest(digest) => roster.digest_heard(from, *digest, now),
        Message::Loads(report) => roster.load_heard(report, now),
        Message::HubNews(news) => roster.load_sums_heard(news.loads, now),
        Message::GroupLoads(group) => roster.group_loads_heard(group, now),
        _ => {}
    }
}

/// Asks a roster all that control does.
fn ask(roster: &mut Roster, now: Millis) {
    roster.tick(own_word(), now);
    roster.work_out(own_word(), now);
    let own = heartbeat(1);
    roster.loads(&Loads::new(), now);
    roster.sum_loads(&own.loads, now);
    roster.sum_demand(&own.demand, now);
    roster.rumours(now);
    roster.holder(now);
    summary(roster, &own, now);
    roster.digest(&own, Vec::new(), now);
    roster.heartbeat_targets(now);
}

#[gtest]
fn a_datagram_of_anything_does_no_harm() {
    let read = RefCell::new(0);
    let bytes = bytes_like(datagrams());
    runner()
        .run(&bytes, |bytes| {
            let Ok(message) = Message::decode(&bytes) else { return Ok(()) };
            *read.borrow_mut() += 1;
            let (mut roster, now) = (roster(), Millis::new(600));
            hear(&mut roster, message, now);
            ask(&mut roster, now + 100);
            // Those that are heard of are there as before.
            let ready = roster.ready();
            prop_assert!(ready.iter().any(|one| one.requests == address(5)));
            Ok(())
        })
        .unwrap();
    // Many changes leave a datagram that can be read.
    expect_that!(read.into_inner(), ge(CASES / 10));
}

#[gtest]
fn figures_beyond_all_bounds_do_no_harm() {
    let (mut roster, now) = (roster(), Millis::new(600));
    for number in 2..5 {
        let mut heartbeat = heartbeat(number);
        heartbeat.sequence = 2;
        for one in &mut heartbeat.loads {
            one.load = Load { running: u32::MAX, waiting_tokens: u64::MAX };
        }
        roster.heard(address(number), heartbeat, now);
    }
    let mut summary = summary(&roster, &heartbeat(40), now);
    for rumour in &mut summary.lease {
        rumour.age_ms = u64::MAX;
    }
    roster.summed_up(address(40), summary, now);
    ask(&mut roster, now + 100);
    expect_that!(roster.ready(), not(is_empty()));
}

#[gtest]
fn a_state_of_anything_does_no_harm() {
    let state = PeerState {
        listing: Some(Listing { version: 3, ..Listing::default() }),
        ..PeerState::default()
    };
    let bytes = bytes_like(vec![state.encode().unwrap()]);
    runner()
        .run(&bytes, |bytes| {
            let _ = PeerState::decode(&bytes);
            Ok(())
        })
        .unwrap();
}
