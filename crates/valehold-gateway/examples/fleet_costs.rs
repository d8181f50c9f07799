//! What a fleet of gateways costs its members, by role: the bytes that they
//! say to each other, and the time that it takes to work out what they say.
//!
//! The real rosters, sums, lists and messages are driven without a network:
//! bytes are counted and exact, times are the mean of some rounds.
//!
//! `cargo run --release -p valehold-gateway --example fleet_costs -- \
//!    [--gateways N --upstreams N] [--csv]`

use std::{
    collections::BTreeMap, hint::black_box, net::SocketAddr, sync::Arc,
    time::Instant,
};

use valehold_core::{
    Millis,
    fleet::{
        Holding, Listing, ListingDelta, Upstream, UpstreamRegistry,
        UpstreamStart, paces::PaceUpdate,
    },
    id::{DataCentreId, InstanceId, ModelName, ServiceName, UpstreamId},
};
use valehold_gateway::{
    peers::{
        Heartbeat, Message, MessageNumber, Roster,
        message::{
            GroupLoads, HubUpdate, Rank, StoreStatus, Summary, UpstreamLoad,
        },
        roster::{
            LocalMember, LocalReport,
            hierarchy::Member,
            members::{AdvertisedMembers, max_changes},
            sums::AdvertisedSums,
        },
        state::PeerState,
    },
    view::{Life, Load},
};

/// The fleets that are reckoned if none is named: gateways and upstreams.
const FLEETS: [(usize, usize); 4] =
    [(100, 400), (300, 1_200), (986, 3_996), (1_972, 7_992)];

/// In how many data centres a fleet stands.
const DATA_CENTRES: usize = 6;

/// How many models an engine holds.
const MODELS_EACH: usize = 3;

/// How often hubs tell of gateways, in ms.
const BEAT_MS: u64 = 500;

/// How often hubs tell what is under way, a second.
const LOADS_PER_SECOND: usize = 1_000 / 150;

/// How many upstreams' sums are told at once.
const MOST_SUMS: usize = 96;

/// Of how many gateways one changes with each beat while the store answers
/// some and not others.
const CHANGES_ONE_IN: usize = 100;

/// The link of a small machine, in Mbit/s.
const SMALL_LINK_MBPS: f64 = 20.0;

/// How many upstreams crash at once.
const CRASHED: usize = 20;

/// How often each piece of work is done; the mean is printed.
const ROUNDS: u32 = 20;

fn main() -> Result<(), pico_args::Error> {
    let mut arguments = pico_args::Arguments::from_env();
    let as_csv = arguments.contains("--csv");
    let gateways = arguments.opt_value_from_str("--gateways")?;
    let upstreams = arguments.opt_value_from_str("--upstreams")?;
    let fleets = match (gateways, upstreams) {
        (Some(gateways), Some(upstreams)) => vec![(gateways, upstreams)],
        _ => FLEETS.to_vec(),
    };
    let all: Vec<Vec<(&str, f64)>> =
        fleets.iter().map(|(g, u)| Fleet::new(*g, *u).costs()).collect();
    let (head, rule, between) = match as_csv {
        true => ("", "", ","),
        false => ("| ", "| --- ", " | "),
    };
    let sizes = fleets.iter().map(|(g, u)| format!("{g} before {u}"));
    let sizes: Vec<String> = sizes.collect();
    println!("{head}what{between}{}", sizes.join(between));
    if !as_csv {
        println!("{}|", rule.repeat(fleets.len() + 1));
    }
    for (row, (name, _)) in all[0].iter().enumerate() {
        let figures = all.iter().map(|one| format!("{:.1}", one[row].1));
        let figures: Vec<String> = figures.collect();
        println!("{head}{name}{between}{}", figures.join(between));
    }
    Ok(())
}

/// A fleet as its foremost hub in one data centre knows it.
struct Fleet {
    gateways: usize,
    upstreams: usize,
    now: Millis,
    hub: Roster,
    own: Heartbeat,
    group: usize,
}

impl Fleet {
    fn new(gateways: usize, upstreams: usize) -> Self {
        let now = Millis::new(1_000);
        let last = gateways - 1;
        let mut hub = hub_of_group(last, gateways, now);
        for other in last + 1 - DATA_CENTRES..last {
            let elsewhere = hub_of_group(other, gateways, now);
            let digest = elsewhere.digest(&heartbeat(other), vec![], now);
            hub.on_digest(address(other), digest, now);
        }
        hub.recompute(own_word(last), now);
        let own = heartbeat(last);
        let group = hub.summary_targets().len();
        Self { gateways, upstreams, now, hub, own, group }
    }

    /// Returns what is told and done, by name.
    fn costs(&self) -> Vec<(&'static str, f64)> {
        let mut told = AdvertisedMembers::default();
        let members = self.hub.members_to_advertise(&self.own, self.now);
        let first = told.next_update(&members, usize::MAX);
        let whole = Summary {
            members: first,
            ..self.summary(&mut AdvertisedMembers::default())
        };
        let calm = bytes_of_summary(self.summary(&mut told));
        let changing = self.changing(&mut told, &members);
        let asked: usize = told
            .parts(1)
            .into_iter()
            .map(|part| bytes_of(&Message::Members(part)))
            .sum();
        let news = self.loads_bytes();
        let group_loads = self.group_loads_bytes();
        let digest = self.hub.digest(&self.own, Vec::new(), self.now);
        let digest = bytes_of(&Message::Digest(Box::new(digest)));
        let beat = bytes_of(&Message::Heartbeat(Box::new(self.own.clone())));
        let beats = 1_000.0 / BEAT_MS as f64;
        let loads = LOADS_PER_SECOND as f64;
        let in_calm = 2.0 * beats * calm + loads * news;
        let in_changing = 2.0 * beats * changing + loads * news;
        let group = self.group as f64;
        let hubs = 2.0 * (DATA_CENTRES as f64 - 1.0);
        let elsewhere = hubs * (beats * digest as f64 + loads * group_loads);
        let out = |summary: f64| {
            group * (beats * summary + loads * news) + elsewhere
        };
        vec![
            ("gateways of a group", group),
            ("whole list of gateways, KB", bytes_of_summary(whole) / 1e3),
            ("the same in parts, for one that asks, KB", asked as f64 / 1e3),
            ("summary while nobody changes, bytes", calm),
            ("summary while one in 100 changes, bytes", changing),
            ("loads told at once, all busy, bytes", news),
            ("heartbeat, bytes", beat as f64),
            ("a gateway hears, calm, KB/s", in_calm / 1e3),
            ("a gateway hears, changing, KB/s", in_changing / 1e3),
            ("a foremost hub tells, calm, KB/s", out(calm) / 1e3),
            ("a foremost hub tells, changing, KB/s", out(changing) / 1e3),
            ("256 told by a new hub on 20 Mbit/s, s", self.anew_s(256)),
            (
                "all told by a new hub on 20 Mbit/s, s",
                self.anew_s(self.gateways),
            ),
            ("whole state, KB", self.state_bytes() / 1e3),
            ("20 crashed upstreams told, bytes", self.crash_bytes()),
            ("hub: what it tells of gateways, µs", self.news_us(&members)),
            ("gateway: who does what, µs", self.standing_us()),
            ("foremost hub: sums of loads, µs", self.sums_us()),
            ("a change of 10 upstreams, view out, µs", self.change_us()),
        ]
    }

    fn summary(&self, told: &mut AdvertisedMembers) -> Summary {
        let members = self.hub.members_to_advertise(&self.own, self.now);
        let news = told.next_update(&members, usize::MAX);
        self.hub.summary(&self.own, news, None, self.now)
    }

    /// Returns the bytes of a summary while some gateways change each beat.
    fn changing(
        &self,
        told: &mut AdvertisedMembers,
        members: &BTreeMap<SocketAddr, Member>,
    ) -> f64 {
        let mut changed = members.clone();
        for member in changed.values_mut().step_by(CHANGES_ONE_IN) {
            member.store = StoreStatus::Unreachable;
        }
        let most = max_changes(SMALL_LINK_MBPS, BEAT_MS, self.group);
        let members = told.next_update(&changed, most);
        bytes_of_summary(Summary { members, ..self.summary(told) })
    }

    /// Returns how long a new hub on a small link takes to tell of so many.
    fn anew_s(&self, gateways: usize) -> f64 {
        let most = max_changes(SMALL_LINK_MBPS, BEAT_MS, self.group);
        let beats = gateways.min(self.gateways).div_ceil(most);
        beats as f64 * BEAT_MS as f64 / 1e3
    }

    /// Returns the loads of all upstreams.
    fn loads(&self) -> Vec<UpstreamLoad> {
        let load = Load { running: 3, waiting_tokens: 900 };
        let loads = (0..self.upstreams).map(|number| UpstreamLoad {
            upstream: start(number).tag(),
            load,
        });
        loads.collect()
    }

    fn loads_bytes(&self) -> f64 {
        let mut told = AdvertisedSums::default();
        let loads = told.next_update(&self.loads(), MOST_SUMS);
        let number = MessageNumber { start: 1, sequence: 1_000 };
        let paces = PaceUpdate::default();
        let news = HubUpdate { number, loads, throttles: None, paces };
        bytes_of(&Message::HubUpdate(news)) as f64
    }

    fn group_loads_bytes(&self) -> f64 {
        let mut told = AdvertisedSums::default();
        let news = told.next_update(&self.loads(), MOST_SUMS);
        let loads = GroupLoads {
            instance: InstanceId::new("edge-north-1"),
            number: MessageNumber { start: 1, sequence: 1_000 },
            data_centre: data_centre(0),
            loads: news,
            usage: Vec::new(),
        };
        bytes_of(&Message::GroupLoads(loads)) as f64
    }

    fn listing(&self) -> Listing {
        let all = (0..self.upstreams).map(|number| {
            let upstream = upstream(number);
            (upstream.id.clone(), Arc::new(upstream))
        });
        Listing { version: 1, upstreams: all.collect() }
    }

    fn state_bytes(&self) -> f64 {
        let listing = Some(self.listing());
        let state = PeerState { listing, ..PeerState::default() };
        state.encode().map_or(0.0, |bytes| bytes.len() as f64)
    }

    fn crash_bytes(&self) -> f64 {
        let delta = ListingDelta {
            base_version: 1,
            version: 21,
            changed: Vec::new(),
            removed: (0..CRASHED).map(|number| start(number).id).collect(),
            after_outage: false,
        };
        bytes_of(&Message::ListingChanged(delta)) as f64
    }

    fn news_us(&self, members: &BTreeMap<SocketAddr, Member>) -> f64 {
        let mut told = AdvertisedMembers::default();
        told.next_update(members, usize::MAX);
        mean_us(|| {
            let members = self.hub.members_to_advertise(&self.own, self.now);
            black_box(told.next_update(&members, usize::MAX));
        })
    }

    /// Returns how long a gateway takes that hears of all from a hub.
    fn standing_us(&self) -> f64 {
        let mut gateway = roster(0);
        let summary = self.summary(&mut AdvertisedMembers::default());
        gateway.on_summary(address(self.gateways - 1), summary, self.now);
        mean_us(|| {
            black_box(gateway.recompute(own_word(0), self.now));
        })
    }

    fn sums_us(&self) -> f64 {
        let mut told = AdvertisedSums::default();
        let loads = self.loads();
        told.next_update(&loads, usize::MAX);
        mean_us(|| {
            black_box(told.next_update(&loads, MOST_SUMS));
        })
    }

    fn change_us(&self) -> f64 {
        let mut known = UpstreamRegistry::default();
        known.replace(self.listing(), false, self.now);
        let mut version = 1;
        mean_us(|| {
            let view = known.listing().clone();
            let changed = (0..10).map(|number| {
                let mut upstream = upstream(number);
                upstream.slots += version as u32;
                Arc::new(upstream)
            });
            let delta = ListingDelta {
                base_version: version,
                version: version + 1,
                changed: changed.collect(),
                removed: Vec::new(),
                after_outage: false,
            };
            version += 1;
            black_box(known.apply(&delta, self.now));
            black_box(view);
        })
    }
}

/// Makes the roster of a gateway that heard all others of its data centre.
fn hub_of_group(number: usize, gateways: usize, now: Millis) -> Roster {
    let mut hub = roster(number);
    let of_group = (0..gateways).filter(|other| {
        *other != number && other % DATA_CENTRES == number % DATA_CENTRES
    });
    for other in of_group {
        hub.on_heartbeat(address(other), heartbeat(other), now);
    }
    hub.recompute(own_word(number), now);
    hub
}

fn bytes_of_summary(summary: Summary) -> f64 {
    bytes_of(&Message::Summary(Box::new(summary))) as f64
}

/// Returns how many bytes the datagrams of a message have.
fn bytes_of(message: &Message) -> usize {
    let written = message.encode_in_fragments(1).unwrap_or_default();
    written.iter().map(Vec::len).sum()
}

fn mean_us(mut work: impl FnMut()) -> f64 {
    let begun = Instant::now();
    for _ in 0..ROUNDS {
        work();
    }
    begun.elapsed().as_secs_f64() * 1e6 / f64::from(ROUNDS)
}

fn address(number: usize) -> SocketAddr {
    let [.., high, low] = number.to_be_bytes();
    SocketAddr::from(([10, 1, high, low], 7_380))
}

fn requests(number: usize) -> SocketAddr {
    SocketAddr::new(address(number).ip(), 8_149)
}

fn data_centre(number: usize) -> DataCentreId {
    DataCentreId::new(format!("zone-{}", number % DATA_CENTRES))
}

fn rank(number: usize) -> Rank {
    let tie = u32::try_from(number).unwrap_or(u32::MAX);
    Rank { strength: 12, tie: tie.wrapping_mul(0x9E37_79B1) }
}

fn roster(number: usize) -> Roster {
    let own = LocalMember {
        heartbeats: address(number),
        state: address(number),
        data_centre: data_centre(number),
        rank: rank(number),
    };
    Roster::new(own, 1_500, [])
}

fn own_word(number: usize) -> LocalReport {
    LocalReport {
        requests: requests(number),
        life: Life::Serving,
        store: StoreStatus::Reachable,
    }
}

fn heartbeat(number: usize) -> Heartbeat {
    Heartbeat {
        instance: InstanceId::new(format!("edge-{number}")),
        start: 1,
        sequence: 1,
        data_centre: data_centre(number),
        life: Life::Serving,
        rank: rank(number),
        requests: requests(number),
        state: address(number),
        catalog: 3,
        listing: 100_000,
        evacuations: None,
        crash_digest: 0,
        lease: None,
        store: StoreStatus::Reachable,
        known_addresses: (0..16).map(address).collect(),
        loads: Vec::new(),
        demand: Vec::new(),
        usage: Vec::new(),
        paces: Vec::new(),
        gateways_seen: 0,
        holdings: Vec::new(),
    }
}

fn start(number: usize) -> UpstreamStart {
    let id = UpstreamId::new(format!("i-{number:010x}"));
    UpstreamStart { id, started_at_ms: Some(1_700_000_000_000) }
}

fn upstream(number: usize) -> Upstream {
    let UpstreamStart { id, started_at_ms } = start(number);
    let models = (0..MODELS_EACH)
        .map(|place| ModelName::new(format!("model-{}", number + place)));
    let models = models.map(|model| (model, Default::default())).collect();
    Upstream {
        id,
        service: ServiceName::new("engines"),
        address: SocketAddr::new(address(number).ip(), 9_000),
        data_centre: data_centre(number),
        slots: 64,
        leaving: false,
        cold_for_ms: 0,
        started_at_ms,
        holding: Holding { sequence: 0, models },
    }
}
