//! The roster and the state decoder with arbitrary bytes and extreme values
//! from peers.

use std::{cell::RefCell, net::SocketAddr};

use googletest::prelude::*;
use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed, TestRunner},
};
use valehold_core::{
    Millis,
    fleet::{Listing, UpstreamStart, paces::PaceUpdate},
    id::{DataCentreId, InstanceId, UpstreamId},
};
use valehold_gateway::{
    peers::{
        Heartbeat, Message, MessageNumber, Roster,
        message::{
            GroupLoads, HubUpdate, LeaseClaim, LoadReport, LoadUpdate,
            MemberPart, Rank, StoreStatus, Summary, UpstreamLoad,
        },
        roster::{
            LocalMember, LocalReport, members::AdvertisedMembers, sums::Loads,
        },
        state::PeerState,
    },
    view::{Life, Load},
};

/// The seed of the generated cases, the same in every run.
const SEED: u64 = 20_261_204;

/// The number of cases for each property.
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
        lease: Some(LeaseClaim::Holds { epoch: 2, version: 9 }),
        store: StoreStatus::Reachable,
        known_addresses: vec![address(9)],
        loads: loads(),
        demand: Vec::new(),
        usage: Vec::new(),
        paces: Vec::new(),
        gateways_seen: 3,
        holdings: Vec::new(),
        evacuations: None,
        crash_digest: 0,
    }
}

fn roster() -> Roster {
    let own = LocalMember {
        heartbeats: address(1),
        state: address(1),
        data_centre: DataCentreId::new("north"),
        rank: rank(1),
    };
    let mut roster = Roster::new(own, 1_000, [address(2)]);
    for other in 2..40 {
        roster.on_heartbeat(
            address(other),
            heartbeat(other),
            Millis::new(500),
        );
    }
    roster.recompute(local_report(), Millis::new(500));
    roster
}

fn local_report() -> LocalReport {
    LocalReport {
        requests: address(1),
        life: Life::Serving,
        store: StoreStatus::Reachable,
    }
}

fn advertised_members(
    roster: &Roster,
    own: &Heartbeat,
    now: Millis,
) -> AdvertisedMembers {
    let mut advertised = AdvertisedMembers::default();
    advertised.next_update(&roster.members_to_advertise(own, now), usize::MAX);
    advertised
}

fn summary(roster: &Roster, own: &Heartbeat, now: Millis) -> Summary {
    let members = roster.members_to_advertise(own, now);
    let members =
        AdvertisedMembers::default().next_update(&members, usize::MAX);
    roster.summary(own, members, None, now)
}

fn part(roster: &Roster, own: &Heartbeat, now: Millis) -> MemberPart {
    advertised_members(roster, own, now).parts(own.start).remove(0)
}

/// Returns one encoded datagram of each kind that the roster handles.
fn datagrams() -> Vec<Vec<u8>> {
    let (roster, now) = (roster(), Millis::new(500));
    let number = MessageNumber { start: 1, sequence: 1 };
    let news = LoadUpdate::full(loads());
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
        Message::HubUpdate(HubUpdate {
            number,
            loads: news.clone(),
            throttles: None,
            paces: PaceUpdate::default(),
        }),
        Message::GroupLoads(GroupLoads {
            instance: InstanceId::new("g2"),
            number,
            data_centre: DataCentreId::new("south"),
            loads: news,
            usage: Vec::new(),
        }),
    ];
    messages.iter().map(|message| message.encode().unwrap()).collect()
}

/// Generates arbitrary bytes, and valid datagrams that are truncated or have
/// some bytes changed.
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

fn receive(roster: &mut Roster, message: Message, now: Millis) {
    let from = address(40);
    if let Some(number) = message.number() {
        roster.accept_number(from, number, now);
    }
    match message {
        Message::Heartbeat(heartbeat) => {
            roster.on_heartbeat(from, *heartbeat, now);
        }
        Message::Summary(summary) => {
            roster.on_summary(from, *summary, now);
        }
        Message::Members(part) => roster.on_member_part(from, &part, now),
        Message::Digest(digest) => roster.on_digest(from, *digest, now),
        Message::Loads(report) => roster.on_load_report(report, now),
        Message::HubUpdate(update) => roster.on_load_update(update.loads, now),
        Message::GroupLoads(group) => roster.on_group_loads(group, now),
        _ => {}
    }
}

/// Calls the roster methods that the control loop calls.
fn query_all(roster: &mut Roster, now: Millis) {
    roster.tick(local_report(), now);
    roster.recompute(local_report(), now);
    let own = heartbeat(1);
    roster.loads_of_others(&Loads::new(), now);
    roster.sum_loads(&own.loads, now);
    roster.sum_demand(&own.demand, now);
    roster.lease_reports(now);
    roster.lease_holder(now);
    summary(roster, &own, now);
    roster.digest(&own, Vec::new(), now);
    roster.heartbeat_targets(now);
}

#[gtest]
fn malformed_datagrams_neither_panic_nor_remove_members() {
    let read = RefCell::new(0);
    let bytes = bytes_like(datagrams());
    runner()
        .run(&bytes, |bytes| {
            let Ok(message) = Message::decode(&bytes) else { return Ok(()) };
            *read.borrow_mut() += 1;
            let (mut roster, now) = (roster(), Millis::new(600));
            receive(&mut roster, message, now);
            query_all(&mut roster, now + 100);
            // Members that the roster knew before are still present.
            let ready = roster.ready();
            prop_assert!(
                ready.iter().any(|member| member.requests == address(5))
            );
            Ok(())
        })
        .unwrap();
    // Many changed datagrams can still be decoded.
    expect_that!(read.into_inner(), ge(CASES / 10));
}

#[gtest]
fn loads_and_ages_of_maximum_value_do_not_panic() {
    let (mut roster, now) = (roster(), Millis::new(600));
    for number in 2..5 {
        let mut heartbeat = heartbeat(number);
        heartbeat.sequence = 2;
        for entry in &mut heartbeat.loads {
            entry.load = Load { running: u32::MAX, waiting_tokens: u64::MAX };
        }
        roster.on_heartbeat(address(number), heartbeat, now);
    }
    let mut summary = summary(&roster, &heartbeat(40), now);
    for report in &mut summary.lease {
        report.age_ms = u64::MAX;
    }
    roster.on_summary(address(40), summary, now);
    query_all(&mut roster, now + 100);
    expect_that!(roster.ready(), not(is_empty()));
}

#[gtest]
fn malformed_peer_states_do_not_panic() {
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
