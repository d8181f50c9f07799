//! Who hears whom, where gateways are few and where they are many.

use std::net::SocketAddr;

use googletest::prelude::*;
use valehold_core::{
    Millis,
    fleet::{
        RegionBound, UpstreamStart, Variant, paces::PaceNews,
        topology::Topology,
    },
    id::{DataCentreId, InstanceId, RegionId, UpstreamId, UpstreamTag},
};
use valehold_gateway::{
    peers::{
        Heartbeat, Message, Roster, WordNumber,
        message::{
            BoundDemand, Digest, Duty, GroupLoads, HubNews, LeaseWord,
            LoadNews, LoadReport, Rank, StoreSight, Summary, UpstreamLoad,
            VariantDemand,
        },
        roster::{
            Observing, Own, OwnWord,
            members::{ToldMembers, most_changes},
            sums::{Loads, ToldSums},
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
        crashes: 0,
        lease: None,
        store: StoreSight::Answers,
        known: Vec::new(),
        loads: Vec::new(),
        demand: Vec::new(),
        usage: Vec::new(),
        paces: Vec::new(),
        seen: 0,
        holdings: Vec::new(),
    }
}

fn roster(number: u16) -> Roster {
    roster_in("north", number)
}

fn roster_in(data_centre: &str, number: u16) -> Roster {
    let own = Own {
        heartbeats: address(number),
        state: address(number),
        data_centre: DataCentreId::new(data_centre),
        rank: rank(number),
    };
    Roster::new(own, SILENT_MS, [address(1)])
}

fn own_word(number: u16) -> OwnWord {
    OwnWord {
        requests: requests(number),
        life: Life::Serving,
        store: StoreSight::Answers,
    }
}

/// Makes the roster of one gateway that heard all others directly.
fn hearing_all(number: u16, count: u16, now: Millis) -> Roster {
    let mut roster = roster(number);
    for other in (1..=count).filter(|other| *other != number) {
        roster.heard(address(other), heartbeat(other, 1), now);
    }
    roster.work_out(own_word(number), now);
    roster
}

/// Makes the first summary of a hub.
fn summary_of(hub: &Roster, own: &Heartbeat, now: Millis) -> Summary {
    summary_after(&mut ToldMembers::default(), hub, own, now)
}

/// Makes a hub's summary after what it told before.
fn summary_after(
    told: &mut ToldMembers,
    hub: &Roster,
    own: &Heartbeat,
    now: Millis,
) -> Summary {
    let members = told.news(&hub.hub_members(own, now), usize::MAX);
    hub.sum_up(own, members, None, now)
}

fn tag(upstream: &str) -> UpstreamTag {
    let id = UpstreamId::new(upstream);
    UpstreamStart { id, started_at_ms: None }.tag()
}

#[gtest]
fn few_gateways_hear_each_other() {
    let now = Millis::new(500);
    let mut roster = hearing_all(1, 8, now);
    expect_false!(roster.has_hubs());
    expect_that!(roster.heartbeat_targets(now).len(), eq(7));
    expect_that!(roster.ready().len(), eq(7));
    // The silent are gone, and still sent heartbeats in case they come back.
    let later = now + SILENT_MS;
    expect_true!(roster.tick(own_word(1), later));
    expect_that!(roster.ready(), is_empty());
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
    roster.work_out(own_word(1), now);
    expect_that!(roster.ready().len(), eq(1));
    let mut leaving = heartbeat(2, 6);
    leaving.life = Life::Leaving;
    roster.heard(address(2), leaving, now);
    roster.work_out(own_word(1), now);
    expect_that!(roster.ready(), is_empty());
}

#[gtest]
fn three_observe_and_those_that_hear_nothing_for_themselves() {
    let now = Millis::new(500);
    let answers = StoreSight::Answers;
    let part = |number| hearing_all(number, 8, now).observing(answers);
    let observes = |number: &u16| {
        matches!(part(*number), Observing::Foremost | Observing::Reserve)
    };
    let observing: Vec<u16> = (1..=8).filter(observes).collect();
    expect_that!(observing, eq(&vec![6, 7, 8]));
    // The greatest comes first, the others are its reserve. Where gateways
    // are few, the rest watches the configuration.
    expect_that!(part(8), eq(Observing::Foremost));
    expect_that!(part(7), eq(Observing::Reserve));
    expect_that!(part(6), eq(Observing::Reserve));
    expect_that!(part(1), eq(Observing::Configuration));
    // Whoever the store turns away looks for itself.
    let turned_away = hearing_all(1, 8, now).observing(StoreSight::Fails);
    expect_that!(turned_away, eq(Observing::Foremost));
    let mut alone = roster(1);
    alone.work_out(own_word(1), now);
    expect_that!(alone.observing(answers), eq(Observing::Foremost));
    // An observer whom the store turns away is replaced.
    let mut other = hearing_all(5, 8, now);
    let mut failing = heartbeat(8, 2);
    failing.store = StoreSight::Fails;
    other.heard(address(8), failing, now);
    other.work_out(own_word(5), now);
    expect_that!(other.observing(answers), eq(Observing::Reserve));
}

#[gtest]
fn where_hubs_tell_of_it_twelve_watch_the_configuration() {
    let now = Millis::new(500);
    let part =
        |number| hearing_all(number, 60, now).observing(StoreSight::Unknown);
    let watching = (1..=60).filter(|n| part(*n) != Observing::Nothing);
    expect_that!(watching.collect::<Vec<u16>>(), eq(&Vec::from_iter(49..=60)));
    expect_that!(part(49), eq(Observing::Configuration));
    expect_that!(part(57), eq(Observing::Configuration));
    expect_that!(part(58), eq(Observing::Reserve));
}

#[gtest]
fn many_gateways_tell_hubs_which_tell_all() {
    let now = Millis::new(500);
    let count = 40;
    let hub = hearing_all(40, count, now);
    expect_true!(hub.is_hub());
    let mut own = heartbeat(40, 1);
    let load = Load { running: 2, waiting_tokens: 10 };
    own.loads.push(UpstreamLoad { upstream: tag("u1"), load });
    own.lease = Some(LeaseWord::Holds { epoch: 7, version: 90 });
    own.catalog = 9;
    let summary = summary_of(&hub, &own, now);
    let listed = summary.members.changed.members.len();
    expect_that!(listed, eq(usize::from(count)));
    let mut other = roster(5);
    other.summed_up(address(40), summary, now);
    other.work_out(own_word(5), now);
    expect_true!(other.has_hubs());
    expect_false!(other.is_hub());
    expect_that!(other.ready().len(), eq(usize::from(count) - 1));
    expect_that!(other.holder(now), some(eq(address(40))));
    expect_that!(
        other.with_newer_catalog(3, None, now),
        some(eq(address(40)))
    );
    expect_that!(other.with_newer_catalog(9, None, now), none());
    let loads = other.loads(&Loads::new(), now);
    expect_that!(loads.get(&tag("u1")), some(eq(&load)));
    let observing = other.observing(StoreSight::Unknown);
    expect_that!(observing, eq(Observing::Nothing));
    // Heartbeats go to the three hubs, and seeds now and then.
    let targets = other.heartbeat_targets(now);
    expect_that!(targets.len(), eq(3));
    expect_true!(targets.contains(&address(40)));
    // Messages for all go to each of them.
    expect_that!(other.spread().direct.len(), eq(usize::from(count) - 1));
    expect_that!(other.spread().hubs.len(), eq(0));
    // When the hubs are silent for long, it stands alone, looks at the store
    // itself, and tries some of those that it knew.
    let later = now + 2 * SILENT_MS;
    other.work_out(own_word(5), later);
    expect_false!(other.has_hubs());
    let targets = other.heartbeat_targets(later);
    expect_that!(targets.len(), all![ge(24), le(25)]);
    expect_true!(targets.contains(&address(1)));
    let observing = other.observing(StoreSight::Unknown);
    expect_that!(observing, eq(Observing::Foremost));
}

#[gtest]
fn a_summary_without_changes_leaves_gateways_as_they_were() {
    let now = Millis::new(500);
    let hub = hearing_all(40, 40, now);
    let own = heartbeat(40, 1);
    let mut told = ToldMembers::default();
    let first = summary_after(&mut told, &hub, &own, now);
    let second = summary_after(&mut told, &hub, &own, now);
    expect_that!(second.members.changed.members, is_empty());
    let mut other = roster(5);
    // Whoever knows none of them yet misses them.
    expect_true!(other.summed_up(address(40), second.clone(), now));
    other.work_out(own_word(5), now);
    expect_that!(other.ready(), is_empty());
    expect_false!(other.summed_up(address(40), first, now));
    let later = now + 2 * SILENT_MS - 1;
    expect_false!(other.summed_up(address(40), second, later));
    other.work_out(own_word(5), now + 3 * SILENT_MS);
    expect_that!(other.ready().len(), eq(39));
}

#[gtest]
fn a_silent_hub_is_replaced() {
    let start = Millis::new(500);
    let mut other = hearing_all(5, 40, start);
    let hub = hearing_all(38, 40, start);
    let summary = summary_of(&hub, &heartbeat(38, 1), start);
    // Hub 40 never says anything, the other two do.
    for step in 0..=8 {
        let now = start + step * 200;
        other.summed_up(address(38), summary.clone(), now);
        other.summed_up(address(39), summary.clone(), now);
        other.work_out(own_word(5), now);
    }
    let now = start + 8 * 200;
    let targets = other.heartbeat_targets(now);
    expect_false!(targets.contains(&address(40)));
    expect_true!(targets.contains(&address(37)));
}

#[gtest]
fn own_load_is_taken_off_a_summary() {
    let now = Millis::new(500);
    let hub = hearing_all(40, 40, now);
    let load = |running| Load { running, waiting_tokens: 0 };
    let mut own = heartbeat(40, 1);
    own.loads.push(UpstreamLoad { upstream: tag("u1"), load: load(5) });
    let mut other = roster(5);
    other.summed_up(address(40), summary_of(&hub, &own, now), now);
    let mine = Loads::from([(tag("u1"), load(2))]);
    let others = other.loads(&mine, now);
    expect_that!(others.get(&tag("u1")), some(eq(&load(3))));
    let mine = Loads::from([(tag("u1"), load(9))]);
    let others = other.loads(&mine, now);
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
fn loads_are_told_between_heartbeats() {
    let now = Millis::new(500);
    let mut hub = hearing_all(40, 40, now);
    expect_true!(hub.is_foremost_hub());
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
    other.summed_up(address(40), summary_of(&hub, &own, now), now);
    let running = |roster: &Roster, now| {
        let loads = roster.loads(&Loads::new(), now);
        loads.get(&tag("u1")).map(|load| load.running)
    };
    expect_that!(running(&other, now), some(eq(5)));
    let loads = vec![load_of("u1", 8)];
    other.load_sums_heard(LoadNews::of_all(loads), now + 100);
    expect_that!(running(&other, now + 100), some(eq(8)));
    other.summed_up(address(40), summary_of(&hub, &own, now), now + 200);
    expect_that!(running(&other, now + 200), some(eq(5)));
    // Without a word of hubs, only what is heard directly counts.
    expect_that!(running(&other, now + 200 + SILENT_MS), none());
}

/// On the bench: while the store was away, each of 63 gateways asked it twice
/// a second.
#[gtest]
fn only_the_greatest_look_for_a_store_that_nobody_hears() {
    let now = Millis::new(500);
    let rosters = |store: StoreSight| {
        let of = move |number: u16| {
            let mut roster = roster(number);
            for other in (1..=40).filter(|other| *other != number) {
                let mut beat = heartbeat(other, 1);
                beat.store = store;
                roster.heard(address(other), beat, now);
            }
            roster.work_out(own_word(number), now);
            roster
        };
        (1..=40_u16).map(of).collect::<Vec<Roster>>()
    };
    let looking = |store| {
        let all = rosters(store).into_iter().zip(1_u16..);
        let looking = all.filter(|(roster, _)| !roster.others_look());
        looking.map(|(_, number)| number).collect::<Vec<u16>>()
    };
    expect_that!(looking(StoreSight::Fails), eq(&vec![38, 39, 40]));
    // Where others hear it, their word is enough for the time being.
    expect_that!(looking(StoreSight::Answers), is_empty());
    // Whoever hears nobody looks for itself.
    expect_false!(roster(1).others_look());
    // Beyond a number of them, those that it fails do not look at all.
    let asking = rosters(StoreSight::Fails).into_iter().filter(|roster| {
        roster.observing(StoreSight::Fails) != Observing::Nothing
    });
    expect_that!(asking.count(), eq(24));
}

const DATA_CENTRES: [&str; 3] = ["east", "north", "west"];

/// Returns the data centre of one of many gateways.
fn data_centre(number: u16) -> &'static str {
    DATA_CENTRES[usize::from(number) % DATA_CENTRES.len()]
}

fn spread_heartbeat(number: u16) -> Heartbeat {
    let data_centre = DataCentreId::new(data_centre(number));
    Heartbeat { data_centre, ..heartbeat(number, 1) }
}

/// Makes the roster of one of 150 gateways in three data centres that heard
/// all others directly.
fn one_of_150(number: u16, now: Millis) -> Roster {
    let mut roster = roster_in(data_centre(number), number);
    for other in (1..=150).filter(|other| *other != number) {
        roster.heard(address(other), spread_heartbeat(other), now);
    }
    roster.work_out(own_word(number), now);
    roster
}

#[gtest]
fn very_many_gateways_have_hubs_in_each_data_centre() {
    let now = Millis::new(500);
    // 150 and 147 are in the east, 148 and 145 in the north.
    let member = one_of_150(3, now);
    let hub = one_of_150(150, now);
    let reserve = one_of_150(147, now);
    expect_true!(hub.is_foremost_hub());
    expect_true!(reserve.is_hub());
    expect_false!(reserve.is_foremost_hub());
    expect_false!(member.is_hub());
    // A gateway tells the two hubs of its own data centre, and is told by
    // them alone.
    let mut member = member;
    let targets = member.heartbeat_targets(now);
    let hubs = [address(147), address(150)];
    expect_that!(targets.into_iter().collect::<Vec<_>>(), eq(&hubs));
    expect_that!(hub.summary_targets().len(), eq(49));
    expect_true!(hub.summary_targets().contains(&address(3)));
    expect_false!(hub.summary_targets().contains(&address(4)));
    // What is for all crosses to another data centre once for each hub.
    let spread = member.spread();
    expect_that!(spread.direct.len(), eq(0));
    expect_that!(spread.hubs.len(), eq(6));
    // A hub passes it on to those of its data centre that are no hubs.
    expect_that!(hub.spread().hubs.len(), eq(5));
    expect_that!(hub.spread().direct.len(), eq(48));
    expect_that!(hub.hubs_elsewhere().len(), eq(4));
}

/// Demand that may be served anywhere, and half as much inside a bound.
fn demand(requests: f32) -> Vec<BoundDemand> {
    let one = |bound: RegionBound, requests: f32| {
        let variant = Variant::plain("alpha");
        let demand =
            VariantDemand { variant, requests, busy: 0.5, running: 1 };
        BoundDemand { bound, variants: vec![demand] }
    };
    let inside = one(RegionBound::within(["north"]), requests / 2.0);
    vec![one(RegionBound::Anywhere, requests), inside]
}

fn digest_of(number: u16, now: Millis) -> Digest {
    let hub = one_of_150(number, now);
    let mut own = spread_heartbeat(number);
    own.catalog = 9;
    own.lease = Some(LeaseWord::Holds { epoch: 7, version: 90 });
    let demand = hub.group_demand(&demand(2.0), now);
    hub.digest(&own, demand, now)
}

#[gtest]
fn digests_tell_hubs_and_the_holder_of_other_data_centres() {
    let now = Millis::new(500);
    let digest = digest_of(148, now);
    expect_that!(digest.members.members.len(), eq(50));
    // A hub that heard only its own data centre, and this digest.
    let mut hub = roster_in("east", 150);
    for other in (1..=150).filter(|n| data_centre(*n) == "east" && *n < 150) {
        hub.heard(address(other), spread_heartbeat(other), now);
    }
    hub.digest_heard(address(148), digest, now);
    hub.work_out(own_word(150), now);
    expect_that!(hub.ready().len(), eq(99));
    let summary = summary_of(&hub, &spread_heartbeat(150), now);
    let listed = summary.members.changed.members.len();
    expect_that!(listed, eq(100));
    expect_that!(summary.catalog.version, eq(9));
    expect_that!(hub.holder(now), some(eq(address(148))));
}

#[gtest]
fn demand_is_counted_once() {
    let now = Millis::new(500);
    let sum_at = |roster: &Roster| {
        let sum = roster.sum_demand(&demand(1.0), now);
        let of = |bound| sum[&bound][&Variant::plain("alpha")].requests;
        let all = of(RegionBound::Anywhere);
        expect_that!(of(RegionBound::within(["north"])), eq(all / 2.0));
        all
    };
    // A hub adds up its own data centre, and what digests say of others.
    let mut hub = one_of_150(150, now);
    expect_that!(sum_at(&hub), eq(1.0));
    hub.digest_heard(address(148), digest_of(148, now), now);
    hub.digest_heard(address(150), digest_of(150, now), now);
    expect_that!(sum_at(&hub), eq(3.0));
    // Any other holder goes by digests, which have its own demand in them.
    let mut member = one_of_150(3, now);
    member.digest_heard(address(148), digest_of(148, now), now);
    member.digest_heard(address(150), digest_of(150, now), now);
    expect_that!(sum_at(&member), eq(4.0));
}

#[gtest]
fn loads_of_other_data_centres_come_as_sums() {
    let now = Millis::new(500);
    let mut hub = one_of_150(150, now);
    let group = |name: &str, running| GroupLoads {
        instance: InstanceId::new(name),
        number: WordNumber { start: 1, sequence: 1 },
        usage: Vec::new(),
        data_centre: DataCentreId::new(name),
        news: LoadNews::of_all(vec![load_of("u1", running)]),
    };
    hub.load_heard(report(3, 2, 1), now);
    // A gateway of another data centre whose word came directly, too.
    hub.load_heard(report(4, 2, 1), now);
    hub.group_loads_heard(group("north", 4), now);
    hub.group_loads_heard(group("west", 2), now);
    hub.group_loads_heard(group("west", 3), now);
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
    // The strong come before the weak for each.
    let strong = Rank { strength: 50, tie: 0 };
    expect_true!(strong.for_duty(Duty::Place) > rank(9).for_duty(Duty::Place));
    expect_that!(hearing_all(8, 8, now).place(Duty::Place), eq(0));
}

/// Makes the loads of many upstreams, which come first by their tags.
fn many_loads(count: u64, running: u32) -> Vec<UpstreamLoad> {
    let mut loads: Vec<UpstreamLoad> =
        (0..count).map(|n| load_of(&format!("e{n}"), running)).collect();
    loads.sort_by_key(|one| one.upstream);
    loads
}

#[gtest]
fn sums_tell_what_changed_the_most() {
    let mut told = ToldSums::default();
    let sums = many_loads(200, 1);
    // The first time nothing was told: some in turn, and as many changes.
    let news = told.news(&sums, 200);
    expect_that!(news.loads.len(), eq(200));
    // What changed the most comes first, and what is done.
    let mut sums = sums;
    let (done, greatest) = (sums[199].upstream, sums[198].upstream);
    sums.truncate(199);
    sums[198].load.running = 9;
    sums[197].load.running = 2;
    let news = told.news(&sums, 1);
    let told_of = |news: &LoadNews, tag| {
        let of = news.loads.iter().rev().find(|one| one.upstream == tag);
        of.map(|one| one.load.running)
    };
    expect_that!(told_of(&news, greatest), some(eq(9)));
    expect_that!(told_of(&news, done), none());
    // What did not fit is told next, and nothing twice.
    let news = told.news(&sums, 2);
    expect_that!(told_of(&news, done), some(eq(0)));
    expect_that!(told_of(&news, sums[197].upstream), some(eq(2)));
    let repeated = told.news(&sums, 2).loads.len();
    expect_that!(repeated, le(32));
}

// All loads were told to every gateway each 2 s: 35 KB at 3,900 busy engines,
// and a datagram too large to be sent at 6,700.
#[gtest]
fn news_of_loads_cost_no_more_where_more_engines_are_busy() {
    let bytes_of = |count: u64| {
        let mut told = ToldSums::default();
        let sums = many_loads(count, 1);
        let sizes = (0..100).map(|_| {
            let news = HubNews {
                number: WordNumber { start: 1, sequence: 1 },
                loads: told.news(&sums, 96),
                rulings: None,
                paces: PaceNews::default(),
            };
            Message::HubNews(news).encode().unwrap().len()
        });
        sizes.max().unwrap()
    };
    let (few, many) = (bytes_of(1_000), bytes_of(8_000));
    // Tags and counts are written with as many bytes as they need.
    expect_that!(many, le(few * 5 / 4));
}

#[gtest]
fn who_lost_news_of_loads_is_right_again_when_all_had_their_turn() {
    let now = Millis::new(500);
    let mut told = ToldSums::default();
    let mut other = roster(5);
    let before = many_loads(300, 1);
    while told.news(&before, 96).loads.len() > 32 {}
    // All that is told of what changed is lost.
    let mut after = before.clone();
    after.drain(100..150);
    after[0].load.running = 7;
    other.load_sums_heard(LoadNews::of_all(before), now);
    while told.news(&after, 96).loads.len() > 32 {}
    for _ in 0..=300 / 32 {
        other.load_sums_heard(told.news(&after, 96), now);
    }
    let after: Loads =
        after.iter().map(|one| (one.upstream, one.load)).collect();
    expect_that!(other.loads(&Loads::new(), now), eq(&after));
}

/// On the bench: gateways that started at the same time stood in groups that
/// did not hear of one another, and all of one contended for the lease.
#[gtest]
fn gateways_that_a_peer_names_are_met() {
    let now = Millis::new(500);
    let mut member = hearing_all(5, 40, now);
    // A seed of another group names its hubs.
    let mut seed = heartbeat(90, 1);
    seed.known = vec![address(91), address(92), address(39)];
    member.heard(address(90), seed, now);
    let targets = member.heartbeat_targets(now);
    expect_true!(targets.contains(&address(91)));
    expect_true!(targets.contains(&address(92)));
    // Once each; whoever answers is heard of from then on.
    let targets = member.heartbeat_targets(now);
    expect_false!(targets.contains(&address(91)));
}

#[gtest]
fn a_peer_that_could_not_be_read_comes_after_others_that_have_something_newer()
{
    let now = Millis::new(1_000);
    let mut roster = roster(1);
    for (number, catalog) in [(2, 9), (3, 9), (4, 8)] {
        let mut heartbeat = heartbeat(number, 1);
        heartbeat.catalog = catalog;
        roster.heard(address(number), heartbeat, now);
    }
    let read_at = |roster: &Roster, version, avoided| {
        roster.with_newer_catalog(version, avoided, now)
    };
    expect_that!(read_at(&roster, 9, None), none());
    let newest = [Some(address(2)), Some(address(3))];
    expect_true!(newest.contains(&read_at(&roster, 3, None)));
    let other = read_at(&roster, 3, Some(address(2)));
    expect_that!(other, some(eq(address(3))));
    // Where it is the only one, it is tried again.
    let mut alone = self::roster(1);
    let mut heartbeat = heartbeat(2, 1);
    heartbeat.catalog = 9;
    alone.heard(address(2), heartbeat, now);
    let again = read_at(&alone, 3, Some(address(2)));
    expect_that!(again, some(eq(address(2))));
}

/// Reads of state between regions cost bytes and time that those within one
/// do not.
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
            roster.heard(address(other), heartbeat, now);
        }
        roster.work_out(own_word(1), now);
        roster.near_state(topology)
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

/// Hears a datagram as control does.
fn hear(roster: &mut Roster, from: SocketAddr, message: Message, now: Millis) {
    let number = message.number().expect("it is numbered");
    if !roster.takes(from, number, now) {
        return;
    }
    match message {
        Message::HubNews(news) => roster.load_sums_heard(news.loads, now),
        Message::Summary(summary) => {
            roster.summed_up(from, *summary, now);
        }
        other => panic!("{}", other.label()),
    }
}

fn hub_news(start: u64, sequence: u64, running: u32) -> Message {
    let loads = vec![load_of("u1", running)];
    Message::HubNews(HubNews {
        number: WordNumber { start, sequence },
        loads: LoadNews::of_all(loads),
        rulings: None,
        paces: PaceNews::default(),
    })
}

fn running_at(roster: &Roster, now: Millis) -> u32 {
    let loads = roster.loads(&Loads::new(), now);
    loads.get(&tag("u1")).map_or(0, |load| load.running)
}

#[gtest]
fn a_word_that_was_overtaken_brings_no_old_figures_back() {
    let now = Millis::new(10_000);
    let mut roster = hearing_all(1, 40, now);
    let hub = address(40);
    hear(&mut roster, hub, hub_news(1, 6, 3), now);
    hear(&mut roster, hub, hub_news(1, 5, 9), now);
    expect_that!(running_at(&roster, now), eq(3));
    // Twice the same, as datagrams may come.
    hear(&mut roster, hub, hub_news(1, 6, 9), now);
    expect_that!(running_at(&roster, now), eq(3));
    // The hub starts again, and counts anew; its earlier start is over.
    hear(&mut roster, hub, hub_news(2, 1, 4), now);
    expect_that!(running_at(&roster, now), eq(4));
    hear(&mut roster, hub, hub_news(1, 7, 9), now);
    expect_that!(running_at(&roster, now), eq(4));
    // Another hub counts for itself.
    hear(&mut roster, address(39), hub_news(1, 1, 5), now);
    expect_that!(running_at(&roster, now), eq(5));
}

#[gtest]
fn a_summary_and_news_of_one_hub_have_one_order() {
    let now = Millis::new(10_000);
    let mut roster = hearing_all(1, 40, now);
    let sender = hearing_all(40, 40, now);
    let mut own = heartbeat(40, 8);
    own.loads = vec![load_of("u1", 9)];
    let summary = summary_of(&sender, &own, now);
    hear(&mut roster, address(40), hub_news(1, 9, 3), now);
    let message = Message::Summary(Box::new(summary));
    hear(&mut roster, address(40), message, now);
    expect_that!(running_at(&roster, now), eq(3));
    // What the same hub says to other hubs under that number counts for
    // itself.
    let digest = sender.digest(&own, Vec::new(), now);
    let number = Message::Digest(Box::new(digest)).number().unwrap();
    expect_true!(roster.takes(address(40), number, now));
    expect_false!(roster.takes(address(40), number, now));
}

/// Makes the heartbeats of a hub's whole group, each gateway's sight of the
/// store as given.
fn heard_by_hub(count: u16, failing: u16, now: Millis) -> Roster {
    let mut hub = roster(count);
    for number in 1..count {
        let mut heartbeat = heartbeat(number, 1);
        if number <= failing {
            heartbeat.store = StoreSight::Fails;
        }
        hub.heard(address(number), heartbeat, now);
    }
    hub.work_out(own_word(count), now);
    hub
}

fn bytes_of(summary: Summary) -> usize {
    Message::Summary(Box::new(summary)).encode().unwrap().len()
}

// As soon as one gateway changed, a hub told each of its group of every
// gateway, twice a second: 22 KB at 986 gateways, 8 MB a second out of one hub
// while the store answered some of them and not others.
#[gtest]
fn a_change_of_one_gateway_costs_as_much_among_many_as_among_few() {
    let now = Millis::new(500);
    let bytes_of_change = |count: u16| {
        let own = heartbeat(count, 1);
        let mut told = ToldMembers::default();
        summary_after(&mut told, &heard_by_hub(count, 0, now), &own, now);
        let hub = heard_by_hub(count, 1, now);
        let change = summary_after(&mut told, &hub, &own, now);
        expect_that!(change.members.changed.members.len(), eq(1));
        bytes_of(change)
    };
    let (few, many) = (bytes_of_change(100), bytes_of_change(1_000));
    // The digest and numbers are written with as many bytes as they need.
    expect_that!(many, le(few + 16));
}

#[gtest]
fn who_missed_a_change_asks_and_is_told_all_in_parts() {
    let now = Millis::new(500);
    let count = 2_500;
    let (before, after) =
        (heard_by_hub(count, 0, now), heard_by_hub(count, 3, now));
    let own = heartbeat(count, 1);
    let mut told = ToldMembers::default();
    let hub = address(count);
    let mut other = roster(5);
    let first = summary_after(&mut told, &before, &own, now);
    expect_false!(other.summed_up(hub, first, now));
    // The summary with the change is lost, the next one tells of it.
    summary_after(&mut told, &after, &own, now);
    let next = summary_after(&mut told, &after, &own, now);
    expect_true!(other.summed_up(hub, next.clone(), now));
    told.ask(address(5));
    told.allow(1);
    expect_that!(told.take_asked(), eq(&vec![address(5)]));
    expect_that!(told.take_asked(), is_empty());
    let parts = told.parts(own.start);
    expect_that!(parts.len(), ge(2));
    for part in parts {
        let message = Message::Members(part);
        expect_that!(message.encode(), ok(anything()));
        let Message::Members(part) = message else { unreachable!() };
        other.members_heard(hub, &part, now);
    }
    expect_false!(other.summed_up(hub, next, now));
    other.work_out(own_word(5), now);
    expect_that!(other.ready().len(), eq(usize::from(count) - 1));
}

#[gtest]
fn of_few_gateways_one_that_just_came_knows_all_or_none() {
    let now = Millis::new(500);
    let (count, most) = (200, 64);
    let hub = heard_by_hub(count, 0, now);
    let own = heartbeat(count, 1);
    let all = hub.hub_members(&own, now);
    let mut told = ToldMembers::default();
    let mut other = roster(5);
    let mut ready = Vec::new();
    for _ in 0..4 {
        let news = told.news(&all, most);
        expect_that!(news.changed.members.len(), le(most));
        let summary = hub.sum_up(&own, news, None, now);
        expect_false!(other.summed_up(address(count), summary, now));
        other.work_out(own_word(5), now);
        ready.push(other.ready().len());
    }
    // The greatest by rank cannot be told from a part of them.
    expect_that!(ready, eq(&vec![0, 0, 0, 199]));
}

// After all gateways were killed, a hub on a slow link takes seconds to tell its
// group of a thousand others.
#[gtest]
fn of_many_gateways_the_greatest_tell_who_stands_for_what() {
    let now = Millis::new(500);
    let (count, most) = (1_000, 90);
    let hub = heard_by_hub(count, 0, now);
    let own = heartbeat(count, 1);
    let all = hub.hub_members(&own, now);
    let mut told = ToldMembers::default();
    let mut other = roster(5);
    for _ in 0..3 {
        let news = told.news(&all, most);
        let summary = hub.sum_up(&own, news, None, now);
        expect_false!(other.summed_up(address(count), summary, now));
        other.work_out(own_word(5), now);
    }
    let targets = other.heartbeat_targets(now);
    let hubs = [address(count - 1), address(count)];
    expect_true!(hubs.iter().all(|one| targets.contains(one)));
    expect_that!(targets.len(), le(3));
}

#[gtest]
fn a_hub_that_starts_again_is_believed_from_its_start() {
    let now = Millis::new(500);
    let count = 60;
    let mut other = roster(5);
    let own = heartbeat(count, 1);
    let hub = heard_by_hub(count, 0, now);
    other.summed_up(address(count), summary_of(&hub, &own, now), now);
    let started = Heartbeat { start: 2, ..own };
    let few = hearing_all(count, 3, now);
    let summary = summary_of(&few, &started, now);
    expect_false!(other.summed_up(address(count), summary, now));
    other.work_out(own_word(5), now);
    expect_that!(other.ready().len(), eq(4));
}

#[gtest]
fn changes_take_a_part_of_the_link_however_large_the_group() {
    let bytes_per_second = |group: usize| {
        let most = most_changes(20.0, 500, group);
        (most * 25 * group * 2) as f64
    };
    // A quarter of 20 Mbit/s.
    for group in [30, 165, 330, 1_000] {
        expect_that!(bytes_per_second(group), le(625_000.0));
    }
    expect_that!(most_changes(1_000.0, 500, 10), eq(1_024));
    expect_that!(most_changes(0.1, 500, 1_000), eq(1));
}
