//! The roster in small, large and very large fleets: hubs, recipients,
//! members, loads and duties.

use std::net::SocketAddr;

use googletest::prelude::*;
use valehold_core::{
    Millis,
    fleet::{
        RegionBound, UpstreamStart, Variant, paces::PaceUpdate,
        topology::Topology,
    },
    id::{DataCentreId, InstanceId, RegionId, UpstreamId, UpstreamTag},
};
use valehold_gateway::{
    peers::{
        Heartbeat, Message, MessageNumber, Roster,
        message::{
            BoundDemand, Digest, Duty, GroupLoads, HubUpdate, LeaseClaim,
            LoadReport, LoadUpdate, Rank, StoreStatus, Summary, UpstreamLoad,
            VariantDemand,
        },
        roster::{
            LocalMember, LocalReport, ObserverRole,
            members::{AdvertisedMembers, max_changes},
            sums::{AdvertisedSums, Loads},
        },
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
        evacuations: None,
        crash_digest: 0,
        lease: None,
        store: StoreStatus::Reachable,
        known_addresses: Vec::new(),
        loads: Vec::new(),
        demand: Vec::new(),
        usage: Vec::new(),
        paces: Vec::new(),
        gateways_seen: 0,
        holdings: Vec::new(),
    }
}

fn roster(number: u16) -> Roster {
    roster_in("north", number)
}

fn roster_in(data_centre: &str, number: u16) -> Roster {
    let own = LocalMember {
        heartbeats: address(number),
        state: address(number),
        data_centre: DataCentreId::new(data_centre),
        rank: rank(number),
    };
    Roster::new(own, SILENT_MS, [address(1)])
}

fn local_report(number: u16) -> LocalReport {
    LocalReport {
        requests: requests(number),
        life: Life::Serving,
        store: StoreStatus::Reachable,
    }
}

/// Creates the roster of one gateway that received a heartbeat from every
/// other gateway.
fn connected_roster(number: u16, count: u16, now: Millis) -> Roster {
    let mut roster = roster(number);
    for other in (1..=count).filter(|other| *other != number) {
        roster.on_heartbeat(address(other), heartbeat(other, 1), now);
    }
    roster.recompute(local_report(number), now);
    roster
}

/// Returns the first summary of a hub.
fn summary_of(hub: &Roster, own: &Heartbeat, now: Millis) -> Summary {
    summary_after(&mut AdvertisedMembers::default(), hub, own, now)
}

/// Returns the next summary of a hub, given the members advertised before.
fn summary_after(
    advertised: &mut AdvertisedMembers,
    hub: &Roster,
    own: &Heartbeat,
    now: Millis,
) -> Summary {
    let members = advertised
        .next_update(&hub.members_to_advertise(own, now), usize::MAX);
    hub.summary(own, members, None, now)
}

fn tag(upstream: &str) -> UpstreamTag {
    let id = UpstreamId::new(upstream);
    UpstreamStart { id, started_at_ms: None }.tag()
}

#[gtest]
fn a_small_fleet_exchanges_heartbeats_directly() {
    let now = Millis::new(500);
    let mut roster = connected_roster(1, 8, now);
    expect_false!(roster.has_hubs());
    expect_that!(roster.heartbeat_targets(now).len(), eq(7));
    expect_that!(roster.ready().len(), eq(7));
    // Silent gateways are removed, and still receive heartbeats in case they
    // return.
    let later = now + SILENT_MS;
    expect_true!(roster.tick(local_report(1), later));
    expect_that!(roster.ready(), is_empty());
    expect_that!(roster.heartbeat_targets(later).len(), eq(7));
}

#[gtest]
fn an_older_heartbeat_changes_nothing() {
    let now = Millis::new(500);
    let mut roster = roster(1);
    expect_true!(roster.on_heartbeat(address(2), heartbeat(2, 5), now));
    let mut older = heartbeat(2, 4);
    older.life = Life::Leaving;
    expect_false!(roster.on_heartbeat(address(2), older, now));
    roster.recompute(local_report(1), now);
    expect_that!(roster.ready().len(), eq(1));
    let mut leaving = heartbeat(2, 6);
    leaving.life = Life::Leaving;
    roster.on_heartbeat(address(2), leaving, now);
    roster.recompute(local_report(1), now);
    expect_that!(roster.ready(), is_empty());
}

#[gtest]
fn three_gateways_and_rejected_ones_observe_the_store() {
    let now = Millis::new(500);
    let answers = StoreStatus::Reachable;
    let role =
        |number| connected_roster(number, 8, now).observer_role(answers);
    let observes = |number: &u16| {
        matches!(role(*number), ObserverRole::Primary | ObserverRole::Standby)
    };
    let observing: Vec<u16> = (1..=8).filter(observes).collect();
    expect_that!(observing, eq(&vec![6, 7, 8]));
    // The gateway of highest rank is the primary observer, the next two are on
    // standby. In a small fleet the others watch the configuration.
    expect_that!(role(8), eq(ObserverRole::Primary));
    expect_that!(role(7), eq(ObserverRole::Standby));
    expect_that!(role(6), eq(ObserverRole::Standby));
    expect_that!(role(1), eq(ObserverRole::ConfigurationOnly));
    // A gateway that the store rejects observes by itself.
    let rejected =
        connected_roster(1, 8, now).observer_role(StoreStatus::Unreachable);
    expect_that!(rejected, eq(ObserverRole::Primary));
    let mut alone = roster(1);
    alone.recompute(local_report(1), now);
    expect_that!(alone.observer_role(answers), eq(ObserverRole::Primary));
    // An observer that the store rejects is replaced.
    let mut other = connected_roster(5, 8, now);
    let mut failing = heartbeat(8, 2);
    failing.store = StoreStatus::Unreachable;
    other.on_heartbeat(address(8), failing, now);
    other.recompute(local_report(5), now);
    expect_that!(other.observer_role(answers), eq(ObserverRole::Standby));
}

#[gtest]
fn with_hubs_twelve_gateways_watch_the_configuration() {
    let now = Millis::new(500);
    let role = |number| {
        connected_roster(number, 60, now).observer_role(StoreStatus::Unknown)
    };
    let watching = (1..=60).filter(|n| role(*n) != ObserverRole::Inactive);
    expect_that!(watching.collect::<Vec<u16>>(), eq(&Vec::from_iter(49..=60)));
    expect_that!(role(49), eq(ObserverRole::ConfigurationOnly));
    expect_that!(role(57), eq(ObserverRole::ConfigurationOnly));
    expect_that!(role(58), eq(ObserverRole::Standby));
}

#[gtest]
fn in_a_large_fleet_hubs_send_summaries_to_all() {
    let now = Millis::new(500);
    let count = 40;
    let hub = connected_roster(40, count, now);
    expect_true!(hub.is_hub());
    let mut own = heartbeat(40, 1);
    let load = Load { running: 2, waiting_tokens: 10 };
    own.loads.push(UpstreamLoad { upstream: tag("u1"), load });
    own.lease = Some(LeaseClaim::Holds { epoch: 7, version: 90 });
    own.catalog = 9;
    let summary = summary_of(&hub, &own, now);
    let listed = summary.members.changed.members.len();
    expect_that!(listed, eq(usize::from(count)));
    let mut other = roster(5);
    other.on_summary(address(40), summary, now);
    other.recompute(local_report(5), now);
    expect_true!(other.has_hubs());
    expect_false!(other.is_hub());
    expect_that!(other.ready().len(), eq(usize::from(count) - 1));
    expect_that!(other.lease_holder(now), some(eq(address(40))));
    expect_that!(
        other.newer_catalog_address(3, None, now),
        some(eq(address(40)))
    );
    expect_that!(other.newer_catalog_address(9, None, now), none());
    let loads = other.loads_of_others(&Loads::new(), now);
    expect_that!(loads.get(&tag("u1")), some(eq(&load)));
    let role = other.observer_role(StoreStatus::Unknown);
    expect_that!(role, eq(ObserverRole::Inactive));
    // Heartbeats go to the three hubs, and to seeds every few rounds.
    let targets = other.heartbeat_targets(now);
    expect_that!(targets.len(), eq(3));
    expect_true!(targets.contains(&address(40)));
    // Messages to all gateways go to each of them directly.
    expect_that!(
        other.broadcast_targets().direct.len(),
        eq(usize::from(count) - 1)
    );
    expect_that!(other.broadcast_targets().hubs.len(), eq(0));
    // After a long silence of the hubs, the gateway observes the store itself
    // and sends heartbeats to some of the gateways that it knew.
    let later = now + 2 * SILENT_MS;
    other.recompute(local_report(5), later);
    expect_false!(other.has_hubs());
    let targets = other.heartbeat_targets(later);
    expect_that!(targets.len(), all![ge(24), le(25)]);
    expect_true!(targets.contains(&address(1)));
    let role = other.observer_role(StoreStatus::Unknown);
    expect_that!(role, eq(ObserverRole::Primary));
}

#[gtest]
fn a_summary_without_changes_keeps_the_known_members() {
    let now = Millis::new(500);
    let hub = connected_roster(40, 40, now);
    let own = heartbeat(40, 1);
    let mut advertised = AdvertisedMembers::default();
    let first = summary_after(&mut advertised, &hub, &own, now);
    let second = summary_after(&mut advertised, &hub, &own, now);
    expect_that!(second.members.changed.members, is_empty());
    let mut other = roster(5);
    // A gateway that received no earlier update reports missing changes.
    expect_true!(other.on_summary(address(40), second.clone(), now));
    other.recompute(local_report(5), now);
    expect_that!(other.ready(), is_empty());
    expect_false!(other.on_summary(address(40), first, now));
    let later = now + 2 * SILENT_MS - 1;
    expect_false!(other.on_summary(address(40), second, later));
    other.recompute(local_report(5), now + 3 * SILENT_MS);
    expect_that!(other.ready().len(), eq(39));
}

#[gtest]
fn a_silent_hub_is_replaced() {
    let start = Millis::new(500);
    let mut other = connected_roster(5, 40, start);
    let hub = connected_roster(38, 40, start);
    let summary = summary_of(&hub, &heartbeat(38, 1), start);
    // Hub 40 never sends a summary, the other two hubs do.
    for step in 0..=8 {
        let now = start + step * 200;
        other.on_summary(address(38), summary.clone(), now);
        other.on_summary(address(39), summary.clone(), now);
        other.recompute(local_report(5), now);
    }
    let now = start + 8 * 200;
    let targets = other.heartbeat_targets(now);
    expect_false!(targets.contains(&address(40)));
    expect_true!(targets.contains(&address(37)));
}

#[gtest]
fn own_load_is_subtracted_from_a_summary() {
    let now = Millis::new(500);
    let hub = connected_roster(40, 40, now);
    let load = |running| Load { running, waiting_tokens: 0 };
    let mut own = heartbeat(40, 1);
    own.loads.push(UpstreamLoad { upstream: tag("u1"), load: load(5) });
    let mut other = roster(5);
    other.on_summary(address(40), summary_of(&hub, &own, now), now);
    let own_reported = Loads::from([(tag("u1"), load(2))]);
    let others = other.loads_of_others(&own_reported, now);
    expect_that!(others.get(&tag("u1")), some(eq(&load(3))));
    let own_reported = Loads::from([(tag("u1"), load(9))]);
    let others = other.loads_of_others(&own_reported, now);
    expect_that!(others.get(&tag("u1")), some(eq(&load(0))));
}

fn report(number: u16, sequence: u64, running: u32) -> LoadReport {
    LoadReport {
        instance: InstanceId::new(format!("g{number}")),
        start: 1,
        sequence,
        loads: vec![load_of("u1", running)],
        usage: Vec::new(),
        paces: Vec::new(),
    }
}

fn load_of(upstream: &str, running: u32) -> UpstreamLoad {
    let load = Load { running, waiting_tokens: 0 };
    UpstreamLoad { upstream: tag(upstream), load }
}

#[gtest]
fn outdated_load_reports_are_ignored() {
    let now = Millis::new(500);
    let mut hub = connected_roster(40, 40, now);
    expect_true!(hub.is_primary_hub());
    hub.on_load_report(report(7, 2, 3), now);
    // An outdated report, and a report from before a restart.
    hub.on_load_report(report(7, 2, 9), now);
    hub.on_load_report(LoadReport { start: 0, ..report(7, 3, 9) }, now);
    // A heartbeat that the load report overtook.
    hub.on_heartbeat(address(7), heartbeat(7, 2), now);
    let sums = hub.sum_loads(&[load_of("u1", 1)], now);
    expect_that!(sums, elements_are![eq(&load_of("u1", 4))]);
}

#[gtest]
fn the_newest_sums_of_loads_are_used() {
    let now = Millis::new(500);
    let hub = connected_roster(40, 40, now);
    let mut own = heartbeat(40, 1);
    own.loads.push(load_of("u1", 5));
    let mut other = roster(5);
    other.on_summary(address(40), summary_of(&hub, &own, now), now);
    let running = |roster: &Roster, now| {
        let loads = roster.loads_of_others(&Loads::new(), now);
        loads.get(&tag("u1")).map(|load| load.running)
    };
    expect_that!(running(&other, now), some(eq(5)));
    let loads = vec![load_of("u1", 8)];
    other.on_load_update(LoadUpdate::full(loads), now + 100);
    expect_that!(running(&other, now + 100), some(eq(8)));
    other.on_summary(address(40), summary_of(&hub, &own, now), now + 200);
    expect_that!(running(&other, now + 200), some(eq(5)));
    // Without reports of hubs, only loads reported directly count.
    expect_that!(running(&other, now + 200 + SILENT_MS), none());
}

/// In a benchmark, each of 63 gateways called the store twice a second while
/// the store was unreachable.
#[gtest]
fn only_the_highest_ranked_gateways_probe_an_unreachable_store() {
    let now = Millis::new(500);
    let rosters = |store: StoreStatus| {
        let of = move |number: u16| {
            let mut roster = roster(number);
            for other in (1..=40).filter(|other| *other != number) {
                let mut beat = heartbeat(other, 1);
                beat.store = store;
                roster.on_heartbeat(address(other), beat, now);
            }
            roster.recompute(local_report(number), now);
            roster
        };
        (1..=40_u16).map(of).collect::<Vec<Roster>>()
    };
    let probing = |store| {
        let all = rosters(store).into_iter().zip(1_u16..);
        let probing = all.filter(|(roster, _)| !roster.others_probe_store());
        probing.map(|(_, number)| number).collect::<Vec<u16>>()
    };
    expect_that!(probing(StoreStatus::Unreachable), eq(&vec![38, 39, 40]));
    // While the store answers other gateways, their reports suffice.
    expect_that!(probing(StoreStatus::Reachable), is_empty());
    // A gateway that knows no other gateway probes the store itself.
    expect_false!(roster(1).others_probe_store());
    // Beyond a limit, gateways that the store rejects do not call it at all.
    let calling =
        rosters(StoreStatus::Unreachable).into_iter().filter(|roster| {
            roster.observer_role(StoreStatus::Unreachable)
                != ObserverRole::Inactive
        });
    expect_that!(calling.count(), eq(24));
}

const DATA_CENTRES: [&str; 3] = ["east", "north", "west"];

/// Returns the data centre of one of many gateways.
fn data_centre(number: u16) -> &'static str {
    DATA_CENTRES[usize::from(number) % DATA_CENTRES.len()]
}

fn multi_zone_heartbeat(number: u16) -> Heartbeat {
    let data_centre = DataCentreId::new(data_centre(number));
    Heartbeat { data_centre, ..heartbeat(number, 1) }
}

/// Creates the roster of one of 150 gateways in three data centres that
/// received a heartbeat from every other gateway.
fn multi_zone_roster(number: u16, now: Millis) -> Roster {
    let mut roster = roster_in(data_centre(number), number);
    for other in (1..=150).filter(|other| *other != number) {
        roster.on_heartbeat(address(other), multi_zone_heartbeat(other), now);
    }
    roster.recompute(local_report(number), now);
    roster
}

#[gtest]
fn very_many_gateways_have_hubs_in_each_data_centre() {
    let now = Millis::new(500);
    // Gateways 150 and 147 are in the east, 148 and 145 in the north.
    let member = multi_zone_roster(3, now);
    let hub = multi_zone_roster(150, now);
    let second_hub = multi_zone_roster(147, now);
    expect_true!(hub.is_primary_hub());
    expect_true!(second_hub.is_hub());
    expect_false!(second_hub.is_primary_hub());
    expect_false!(member.is_hub());
    // A gateway sends heartbeats to the two hubs of its own data centre, and
    // receives summaries from these two hubs alone.
    let mut member = member;
    let targets = member.heartbeat_targets(now);
    let hubs = [address(147), address(150)];
    expect_that!(targets.into_iter().collect::<Vec<_>>(), eq(&hubs));
    expect_that!(hub.summary_targets().len(), eq(49));
    expect_true!(hub.summary_targets().contains(&address(3)));
    expect_false!(hub.summary_targets().contains(&address(4)));
    // A message to all gateways crosses to another data centre once for each
    // hub there.
    let targets = member.broadcast_targets();
    expect_that!(targets.direct.len(), eq(0));
    expect_that!(targets.hubs.len(), eq(6));
    // A hub relays the message to the gateways of its data centre that are not
    // hubs.
    expect_that!(hub.broadcast_targets().hubs.len(), eq(5));
    expect_that!(hub.broadcast_targets().direct.len(), eq(48));
    expect_that!(hub.remote_hubs().len(), eq(4));
}

/// Returns demand that may be served anywhere, and half as much within a
/// region bound.
fn demand(requests: f32) -> Vec<BoundDemand> {
    let bound_demand = |bound: RegionBound, requests: f32| {
        let variant = Variant::plain("alpha");
        let demand = VariantDemand {
            variant,
            requests_per_second: requests,
            busy_engines: 0.5,
            running: 1,
        };
        BoundDemand { bound, variants: vec![demand] }
    };
    let inside = bound_demand(RegionBound::within(["north"]), requests / 2.0);
    vec![bound_demand(RegionBound::Anywhere, requests), inside]
}

fn digest_of(number: u16, now: Millis) -> Digest {
    let hub = multi_zone_roster(number, now);
    let mut own = multi_zone_heartbeat(number);
    own.catalog = 9;
    own.lease = Some(LeaseClaim::Holds { epoch: 7, version: 90 });
    let demand = hub.group_demand(&demand(2.0), now);
    hub.digest(&own, demand, now)
}

#[gtest]
fn digests_report_members_and_the_lease_holder_of_other_data_centres() {
    let now = Millis::new(500);
    let digest = digest_of(148, now);
    expect_that!(digest.members.members.len(), eq(50));
    // A hub that received heartbeats of its own data centre only, and this
    // digest.
    let mut hub = roster_in("east", 150);
    for other in (1..=150).filter(|n| data_centre(*n) == "east" && *n < 150) {
        hub.on_heartbeat(address(other), multi_zone_heartbeat(other), now);
    }
    hub.on_digest(address(148), digest, now);
    hub.recompute(local_report(150), now);
    expect_that!(hub.ready().len(), eq(99));
    let summary = summary_of(&hub, &multi_zone_heartbeat(150), now);
    let listed = summary.members.changed.members.len();
    expect_that!(listed, eq(100));
    expect_that!(summary.catalog.version, eq(9));
    expect_that!(hub.lease_holder(now), some(eq(address(148))));
}

#[gtest]
fn demand_is_counted_once() {
    let now = Millis::new(500);
    let sum_at = |roster: &Roster| {
        let sum = roster.sum_demand(&demand(1.0), now);
        let of =
            |bound| sum[&bound][&Variant::plain("alpha")].requests_per_second;
        let all = of(RegionBound::Anywhere);
        expect_that!(of(RegionBound::within(["north"])), eq(all / 2.0));
        all
    };
    // A hub sums the demand of its own data centre and the digests of the
    // others.
    let mut hub = multi_zone_roster(150, now);
    expect_that!(sum_at(&hub), eq(1.0));
    hub.on_digest(address(148), digest_of(148, now), now);
    hub.on_digest(address(150), digest_of(150, now), now);
    expect_that!(sum_at(&hub), eq(3.0));
    // Any other lease holder sums digests, which include its own demand.
    let mut member = multi_zone_roster(3, now);
    member.on_digest(address(148), digest_of(148, now), now);
    member.on_digest(address(150), digest_of(150, now), now);
    expect_that!(sum_at(&member), eq(4.0));
}

#[gtest]
fn loads_of_other_data_centres_come_as_sums() {
    let now = Millis::new(500);
    let mut hub = multi_zone_roster(150, now);
    let group = |name: &str, running| GroupLoads {
        instance: InstanceId::new(name),
        number: MessageNumber { start: 1, sequence: 1 },
        usage: Vec::new(),
        data_centre: DataCentreId::new(name),
        loads: LoadUpdate::full(vec![load_of("u1", running)]),
    };
    hub.on_load_report(report(3, 2, 1), now);
    // A direct report from a gateway of another data centre does not count,
    // because the sum of that data centre contains it.
    hub.on_load_report(report(4, 2, 1), now);
    hub.on_group_loads(group("north", 4), now);
    hub.on_group_loads(group("west", 2), now);
    hub.on_group_loads(group("west", 3), now);
    let own = [load_of("u1", 1)];
    let sums = hub.sum_loads(&own, now);
    expect_that!(sums, elements_are![eq(&load_of("u1", 9))]);
    let sums = hub.sum_group_loads(&own, now);
    expect_that!(sums, elements_are![eq(&load_of("u1", 2))]);
}

#[gtest]
fn no_gateway_is_first_for_every_duty() {
    let now = Millis::new(500);
    let hashed = |number: u16| Rank {
        strength: 25,
        tie: u32::from(number).wrapping_mul(2_654_435_761),
    };
    let first = |duty| (1..=40).max_by_key(|n| hashed(*n).for_duty(duty));
    let firsts = [Duty::Hub, Duty::Observe, Duty::Place].map(first);
    expect_that!(firsts[0], ne(firsts[1]));
    expect_that!(firsts[1], ne(firsts[2]));
    expect_that!(firsts[0], ne(firsts[2]));
    // Gateways of greater strength come first for every duty.
    let strong = Rank { strength: 50, tie: 0 };
    expect_true!(strong.for_duty(Duty::Place) > rank(9).for_duty(Duty::Place));
    expect_that!(
        connected_roster(8, 8, now).duty_position(Duty::Place),
        eq(0)
    );
}

/// Returns the loads of many upstreams, ordered by tag.
fn many_loads(count: u64, running: u32) -> Vec<UpstreamLoad> {
    let mut loads: Vec<UpstreamLoad> =
        (0..count).map(|n| load_of(&format!("e{n}"), running)).collect();
    loads.sort_by_key(|entry| entry.upstream);
    loads
}

#[gtest]
fn load_updates_contain_the_largest_changes_first() {
    let mut advertised = AdvertisedSums::default();
    let sums = many_loads(200, 1);
    // Nothing was advertised before: the first update contains repeated
    // upstreams, and all others as changes.
    let update = advertised.next_update(&sums, 200);
    expect_that!(update.loads.len(), eq(200));
    // The largest changes come first; a load that ended is a change too.
    let mut sums = sums;
    let (done, most_changed) = (sums[199].upstream, sums[198].upstream);
    sums.truncate(199);
    sums[198].load.running = 9;
    sums[197].load.running = 2;
    let update = advertised.next_update(&sums, 1);
    let running_of = |update: &LoadUpdate, tag| {
        let of = update.loads.iter().rev().find(|entry| entry.upstream == tag);
        of.map(|entry| entry.load.running)
    };
    expect_that!(running_of(&update, most_changed), some(eq(9)));
    expect_that!(running_of(&update, done), none());
    // Changes that did not fit are in the next update, and no change is sent
    // twice.
    let update = advertised.next_update(&sums, 2);
    expect_that!(running_of(&update, done), some(eq(0)));
    expect_that!(running_of(&update, sums[197].upstream), some(eq(2)));
    let repeated_count = advertised.next_update(&sums, 2).loads.len();
    expect_that!(repeated_count, le(32));
}

// Hubs sent all loads to every gateway every 2 s: 35 KB at 3,900 busy engines,
// and a datagram too large to send at 6,700.
#[gtest]
fn load_updates_do_not_grow_with_the_number_of_busy_engines() {
    let bytes_of = |count: u64| {
        let mut advertised = AdvertisedSums::default();
        let sums = many_loads(count, 1);
        let sizes = (0..100).map(|_| {
            let update = HubUpdate {
                number: MessageNumber { start: 1, sequence: 1 },
                loads: advertised.next_update(&sums, 96),
                throttles: None,
                paces: PaceUpdate::default(),
            };
            Message::HubUpdate(update).encode().unwrap().len()
        });
        sizes.max().unwrap()
    };
    let (few, many) = (bytes_of(1_000), bytes_of(8_000));
    // Tags and counts are encoded with variable length.
    expect_that!(many, le(few * 5 / 4));
}

#[gtest]
fn repeated_loads_correct_the_sums_after_lost_updates() {
    let now = Millis::new(500);
    let mut advertised = AdvertisedSums::default();
    let mut other = roster(5);
    let before = many_loads(300, 1);
    while advertised.next_update(&before, 96).loads.len() > 32 {}
    // All updates that contain these changes are lost.
    let mut after = before.clone();
    after.drain(100..150);
    after[0].load.running = 7;
    other.on_load_update(LoadUpdate::full(before), now);
    while advertised.next_update(&after, 96).loads.len() > 32 {}
    for _ in 0..=300 / 32 {
        other.on_load_update(advertised.next_update(&after, 96), now);
    }
    let after: Loads =
        after.iter().map(|entry| (entry.upstream, entry.load)).collect();
    expect_that!(other.loads_of_others(&Loads::new(), now), eq(&after));
}

/// In a benchmark, gateways that started at the same time formed groups
/// without contact to each other, and all gateways of one group contended for
/// the lease.
#[gtest]
fn addresses_that_a_peer_reports_are_contacted() {
    let now = Millis::new(500);
    let mut member = connected_roster(5, 40, now);
    // A seed of another group reports the hubs of that group.
    let mut seed = heartbeat(90, 1);
    seed.known_addresses = vec![address(91), address(92), address(39)];
    member.on_heartbeat(address(90), seed, now);
    let targets = member.heartbeat_targets(now);
    expect_true!(targets.contains(&address(91)));
    expect_true!(targets.contains(&address(92)));
    // Each address is contacted once; a gateway that answers becomes a member.
    let targets = member.heartbeat_targets(now);
    expect_false!(targets.contains(&address(91)));
}

#[gtest]
fn a_peer_that_could_not_be_read_is_tried_after_others() {
    let now = Millis::new(1_000);
    let mut roster = roster(1);
    for (number, catalog) in [(2, 9), (3, 9), (4, 8)] {
        let mut heartbeat = heartbeat(number, 1);
        heartbeat.catalog = catalog;
        roster.on_heartbeat(address(number), heartbeat, now);
    }
    let read_at = |roster: &Roster, version, avoided| {
        roster.newer_catalog_address(version, avoided, now)
    };
    expect_that!(read_at(&roster, 9, None), none());
    let newest = [Some(address(2)), Some(address(3))];
    expect_true!(newest.contains(&read_at(&roster, 3, None)));
    let other = read_at(&roster, 3, Some(address(2)));
    expect_that!(other, some(eq(address(3))));
    // If the avoided peer is the only one with a newer version, it is tried
    // again.
    let mut alone = self::roster(1);
    let mut heartbeat = heartbeat(2, 1);
    heartbeat.catalog = 9;
    alone.on_heartbeat(address(2), heartbeat, now);
    let again = read_at(&alone, 3, Some(address(2)));
    expect_that!(again, some(eq(address(2))));
}

/// Reading state from another region costs bytes and time that reading within
/// a region does not.
#[gtest]
fn state_is_read_in_the_own_data_centre_and_else_in_the_own_region() {
    let now = Millis::new(500);
    let regions = [("n1", "north"), ("n2", "north"), ("s1", "south")];
    let regions = regions.map(|(data_centre, region)| {
        (DataCentreId::new(data_centre), RegionId::new(region))
    });
    let topology = Topology::new(DataCentreId::new("n1"), regions.into());
    let read_at = |data_centres: &[&str], topology: &Topology| {
        let mut roster = roster_in("n1", 1);
        for (data_centre, other) in data_centres.iter().zip(2..) {
            let mut heartbeat = heartbeat(other, 1);
            heartbeat.data_centre = DataCentreId::new(*data_centre);
            roster.on_heartbeat(address(other), heartbeat, now);
        }
        roster.recompute(local_report(1), now);
        roster.nearby_state_address(topology)
    };
    for _ in 0..20 {
        let near = read_at(&["s1", "n2", "n1"], &topology);
        expect_that!(near, some(eq(address(4))));
        let near = read_at(&["s1", "n2"], &topology);
        expect_that!(near, some(eq(address(3))));
    }
    expect_that!(read_at(&["s1"], &topology), none());
    let undeclared =
        Topology::new(DataCentreId::new("n1"), Default::default());
    expect_that!(read_at(&["s1", "n2"], &undeclared), none());
    let near = read_at(&["s1", "n1"], &undeclared);
    expect_that!(near, some(eq(address(3))));
}

/// Handles a datagram as the control loop does.
fn receive(
    roster: &mut Roster,
    from: SocketAddr,
    message: Message,
    now: Millis,
) {
    let number = message.number().expect("the message has a number");
    if !roster.accept_number(from, number, now) {
        return;
    }
    match message {
        Message::HubUpdate(update) => roster.on_load_update(update.loads, now),
        Message::Summary(summary) => {
            roster.on_summary(from, *summary, now);
        }
        other => panic!("{}", other.label()),
    }
}

fn hub_update(start: u64, sequence: u64, running: u32) -> Message {
    let loads = vec![load_of("u1", running)];
    Message::HubUpdate(HubUpdate {
        number: MessageNumber { start, sequence },
        loads: LoadUpdate::full(loads),
        throttles: None,
        paces: PaceUpdate::default(),
    })
}

fn running_at(roster: &Roster, now: Millis) -> u32 {
    let loads = roster.loads_of_others(&Loads::new(), now);
    loads.get(&tag("u1")).map_or(0, |load| load.running)
}

#[gtest]
fn an_overtaken_message_does_not_restore_old_loads() {
    let now = Millis::new(10_000);
    let mut roster = connected_roster(1, 40, now);
    let hub = address(40);
    receive(&mut roster, hub, hub_update(1, 6, 3), now);
    receive(&mut roster, hub, hub_update(1, 5, 9), now);
    expect_that!(running_at(&roster, now), eq(3));
    // The same number again, as datagrams may be duplicated.
    receive(&mut roster, hub, hub_update(1, 6, 9), now);
    expect_that!(running_at(&roster, now), eq(3));
    // The hub restarts and numbers its messages from 1 again; messages of the
    // earlier start are discarded.
    receive(&mut roster, hub, hub_update(2, 1, 4), now);
    expect_that!(running_at(&roster, now), eq(4));
    receive(&mut roster, hub, hub_update(1, 7, 9), now);
    expect_that!(running_at(&roster, now), eq(4));
    // Each hub has numbers of its own.
    receive(&mut roster, address(39), hub_update(1, 1, 5), now);
    expect_that!(running_at(&roster, now), eq(5));
}

#[gtest]
fn summaries_and_load_updates_of_a_hub_share_one_order() {
    let now = Millis::new(10_000);
    let mut roster = connected_roster(1, 40, now);
    let sender = connected_roster(40, 40, now);
    let mut own = heartbeat(40, 8);
    own.loads = vec![load_of("u1", 9)];
    let summary = summary_of(&sender, &own, now);
    receive(&mut roster, address(40), hub_update(1, 9, 3), now);
    let message = Message::Summary(Box::new(summary));
    receive(&mut roster, address(40), message, now);
    expect_that!(running_at(&roster, now), eq(3));
    // A message of the same hub to other hubs may have the same number,
    // because each audience has an order of its own.
    let digest = sender.digest(&own, Vec::new(), now);
    let number = Message::Digest(Box::new(digest)).number().unwrap();
    expect_true!(roster.accept_number(address(40), number, now));
    expect_false!(roster.accept_number(address(40), number, now));
}

/// Creates the roster of a hub that received a heartbeat from every gateway of
/// its group. The first `failing` gateways report that the store does not
/// answer.
fn hub_roster(count: u16, failing: u16, now: Millis) -> Roster {
    let mut hub = roster(count);
    for number in 1..count {
        let mut heartbeat = heartbeat(number, 1);
        if number <= failing {
            heartbeat.store = StoreStatus::Unreachable;
        }
        hub.on_heartbeat(address(number), heartbeat, now);
    }
    hub.recompute(local_report(count), now);
    hub
}

fn bytes_of(summary: Summary) -> usize {
    Message::Summary(Box::new(summary)).encode().unwrap().len()
}

// After a change of one gateway, a hub sent the full member list to each
// gateway of its group, twice a second: 22 KB at 986 gateways, and 8 MB a
// second from one hub while the store answered some gateways and not others.
#[gtest]
fn a_member_change_costs_the_same_in_small_and_large_groups() {
    let now = Millis::new(500);
    let bytes_of_change = |count: u16| {
        let own = heartbeat(count, 1);
        let mut advertised = AdvertisedMembers::default();
        summary_after(&mut advertised, &hub_roster(count, 0, now), &own, now);
        let hub = hub_roster(count, 1, now);
        let change = summary_after(&mut advertised, &hub, &own, now);
        expect_that!(change.members.changed.members.len(), eq(1));
        bytes_of(change)
    };
    let (few, many) = (bytes_of_change(100), bytes_of_change(1_000));
    // The digest and numbers are encoded with variable length.
    expect_that!(many, le(few + 16));
}

#[gtest]
fn a_gateway_that_missed_a_change_receives_the_full_list_in_parts() {
    let now = Millis::new(500);
    let count = 2_500;
    let (before, after) =
        (hub_roster(count, 0, now), hub_roster(count, 3, now));
    let own = heartbeat(count, 1);
    let mut advertised = AdvertisedMembers::default();
    let hub = address(count);
    let mut other = roster(5);
    let first = summary_after(&mut advertised, &before, &own, now);
    expect_false!(other.on_summary(hub, first, now));
    // The summary with the change is lost; the next summary reveals the loss.
    summary_after(&mut advertised, &after, &own, now);
    let next = summary_after(&mut advertised, &after, &own, now);
    expect_true!(other.on_summary(hub, next.clone(), now));
    advertised.request_full_list(address(5));
    advertised.set_reply_budget(1);
    expect_that!(advertised.take_full_list_requests(), eq(&vec![address(5)]));
    expect_that!(advertised.take_full_list_requests(), is_empty());
    let parts = advertised.parts(own.start);
    expect_that!(parts.len(), ge(2));
    for part in parts {
        let message = Message::Members(part);
        expect_that!(message.encode(), ok(anything()));
        let Message::Members(part) = message else { unreachable!() };
        other.on_member_part(hub, &part, now);
    }
    expect_false!(other.on_summary(hub, next, now));
    other.recompute(local_report(5), now);
    expect_that!(other.ready().len(), eq(usize::from(count) - 1));
}

#[gtest]
fn members_of_a_small_group_are_used_only_when_complete() {
    let now = Millis::new(500);
    let (count, limit) = (200, 64);
    let hub = hub_roster(count, 0, now);
    let own = heartbeat(count, 1);
    let all = hub.members_to_advertise(&own, now);
    let mut advertised = AdvertisedMembers::default();
    let mut other = roster(5);
    let mut ready = Vec::new();
    for _ in 0..4 {
        let update = advertised.next_update(&all, limit);
        expect_that!(update.changed.members.len(), le(limit));
        let summary = hub.summary(&own, update, None, now);
        expect_false!(other.on_summary(address(count), summary, now));
        other.recompute(local_report(5), now);
        ready.push(other.ready().len());
    }
    // In a group of this size, a part of the members does not suffice to
    // choose hubs and observers.
    expect_that!(ready, eq(&vec![0, 0, 0, 199]));
}

// After all gateways were killed, a hub on a slow link needs seconds to send a
// thousand members to its group.
#[gtest]
fn in_a_large_group_the_highest_ranked_members_suffice_to_find_hubs() {
    let now = Millis::new(500);
    let (count, limit) = (1_000, 90);
    let hub = hub_roster(count, 0, now);
    let own = heartbeat(count, 1);
    let all = hub.members_to_advertise(&own, now);
    let mut advertised = AdvertisedMembers::default();
    let mut other = roster(5);
    for _ in 0..3 {
        let update = advertised.next_update(&all, limit);
        let summary = hub.summary(&own, update, None, now);
        expect_false!(other.on_summary(address(count), summary, now));
        other.recompute(local_report(5), now);
    }
    let targets = other.heartbeat_targets(now);
    let hubs = [address(count - 1), address(count)];
    expect_true!(hubs.iter().all(|hub| targets.contains(hub)));
    expect_that!(targets.len(), le(3));
}

#[gtest]
fn members_from_before_a_restart_of_the_hub_are_discarded() {
    let now = Millis::new(500);
    let count = 60;
    let mut other = roster(5);
    let own = heartbeat(count, 1);
    let hub = hub_roster(count, 0, now);
    other.on_summary(address(count), summary_of(&hub, &own, now), now);
    let started = Heartbeat { start: 2, ..own };
    let few = connected_roster(count, 3, now);
    let summary = summary_of(&few, &started, now);
    expect_false!(other.on_summary(address(count), summary, now));
    other.recompute(local_report(5), now);
    expect_that!(other.ready().len(), eq(4));
}

#[gtest]
fn member_changes_take_a_quarter_of_the_link_in_groups_of_any_size() {
    let bytes_per_second = |group: usize| {
        let limit = max_changes(20.0, 500, group);
        (limit * 25 * group * 2) as f64
    };
    // A quarter of 20 Mbit/s.
    for group in [30, 165, 330, 1_000] {
        expect_that!(bytes_per_second(group), le(625_000.0));
    }
    expect_that!(max_changes(1_000.0, 500, 10), eq(1_024));
    expect_that!(max_changes(0.1, 500, 1_000), eq(1));
}
