//! Measures the cost of communication in a fleet of gateways, by role: the
//! bytes of messages and the time to compute them.
//!
//! The program runs the real rosters, load sums, lists and messages without a
//! network. Byte counts are exact; times are the mean of several rounds.
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
    id::{
        DataCentreId, InstanceId, ModelName, ServiceName, SoftwareVersion,
        UpstreamId,
    },
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

/// The default fleets, as numbers of gateways and of upstreams.
const FLEETS: [(usize, usize); 4] =
    [(100, 400), (300, 1_200), (986, 3_996), (1_972, 7_992)];

/// The number of data centres of a fleet.
const DATA_CENTRES: usize = 6;

/// The number of models that each engine holds.
const MODELS_PER_ENGINE: usize = 3;

/// The interval between summaries, in ms.
const SUMMARY_INTERVAL_MS: u64 = 500;

/// The number of load updates that a hub sends each second.
const LOAD_UPDATES_PER_SECOND: usize = 1_000 / 150;

/// The most upstreams whose loads one update contains.
const MAX_SUMS: usize = 96;

/// One in this many gateways changes between two summaries while only some
/// gateways reach the store.
const GATEWAYS_PER_CHANGE: usize = 100;

/// The bandwidth of a small machine's link, in Mbit/s.
const SMALL_LINK_MBPS: f64 = 20.0;

/// The number of upstreams that crash at once.
const CRASHED_UPSTREAMS: usize = 20;

/// The number of rounds of each measurement, of which the mean is printed.
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
    let (prefix, rule, separator) = match as_csv {
        true => ("", "", ","),
        false => ("| ", "| --- ", " | "),
    };
    let sizes = fleets.iter().map(|(g, u)| format!("{g} before {u}"));
    let sizes: Vec<String> = sizes.collect();
    println!("{prefix}what{separator}{}", sizes.join(separator));
    if !as_csv {
        println!("{}|", rule.repeat(fleets.len() + 1));
    }
    for (row, (name, _)) in all[0].iter().enumerate() {
        let figures = all.iter().map(|one| format!("{:.1}", one[row].1));
        let figures: Vec<String> = figures.collect();
        println!("{prefix}{name}{separator}{}", figures.join(separator));
    }
    Ok(())
}

/// A fleet in the state of the primary hub of one data centre.
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
            let remote_hub = hub_of_group(other, gateways, now);
            let digest = remote_hub.digest(&heartbeat(other), vec![], now);
            hub.on_digest(address(other), digest, now);
        }
        hub.recompute(local_report(last), now);
        let own = heartbeat(last);
        let group = hub.summary_targets().len();
        Self { gateways, upstreams, now, hub, own, group }
    }

    /// Returns the measured costs, by name.
    fn costs(&self) -> Vec<(&'static str, f64)> {
        let mut advertised = AdvertisedMembers::default();
        let members = self.hub.members_to_advertise(&self.own, self.now);
        let full_list = advertised.next_update(&members, usize::MAX);
        let full_summary = Summary {
            members: full_list,
            ..self.summary(&mut AdvertisedMembers::default())
        };
        let calm = bytes_of_summary(self.summary(&mut advertised));
        let changing = self.changing_summary_bytes(&mut advertised, &members);
        let parts: usize = advertised
            .parts(1)
            .into_iter()
            .map(|part| bytes_of(&Message::Members(part)))
            .sum();
        let load_update = self.loads_bytes();
        let group_loads = self.group_loads_bytes();
        let digest = self.hub.digest(&self.own, Vec::new(), self.now);
        let digest = bytes_of(&Message::Digest(Box::new(digest)));
        let heartbeat =
            bytes_of(&Message::Heartbeat(Box::new(self.own.clone())));
        let summaries_per_second = 1_000.0 / SUMMARY_INTERVAL_MS as f64;
        let loads = LOAD_UPDATES_PER_SECOND as f64;
        let received_calm =
            2.0 * summaries_per_second * calm + loads * load_update;
        let received_changing =
            2.0 * summaries_per_second * changing + loads * load_update;
        let group = self.group as f64;
        let hubs = 2.0 * (DATA_CENTRES as f64 - 1.0);
        let to_remote_hubs = hubs
            * (summaries_per_second * digest as f64 + loads * group_loads);
        let sent = |summary: f64| {
            group * (summaries_per_second * summary + loads * load_update)
                + to_remote_hubs
        };
        vec![
            ("gateways of a group", group),
            (
                "whole list of gateways, KB",
                bytes_of_summary(full_summary) / 1e3,
            ),
            ("the same in parts, for one that asks, KB", parts as f64 / 1e3),
            ("summary while nobody changes, bytes", calm),
            ("summary while one in 100 changes, bytes", changing),
            ("loads told at once, all busy, bytes", load_update),
            ("heartbeat, bytes", heartbeat as f64),
            ("a gateway hears, calm, KB/s", received_calm / 1e3),
            ("a gateway hears, changing, KB/s", received_changing / 1e3),
            ("a foremost hub tells, calm, KB/s", sent(calm) / 1e3),
            ("a foremost hub tells, changing, KB/s", sent(changing) / 1e3),
            (
                "256 told by a new hub on 20 Mbit/s, s",
                self.full_advertisement_s(256),
            ),
            (
                "all told by a new hub on 20 Mbit/s, s",
                self.full_advertisement_s(self.gateways),
            ),
            ("whole state, KB", self.state_bytes() / 1e3),
            ("20 crashed upstreams told, bytes", self.crash_bytes()),
            ("hub: what it tells of gateways, µs", self.members_us(&members)),
            ("gateway: who does what, µs", self.hierarchy_us()),
            ("foremost hub: sums of loads, µs", self.sums_us()),
            ("a change of 10 upstreams, view out, µs", self.change_us()),
        ]
    }

    fn summary(&self, advertised: &mut AdvertisedMembers) -> Summary {
        let members = self.hub.members_to_advertise(&self.own, self.now);
        let changes = advertised.next_update(&members, usize::MAX);
        self.hub.summary(&self.own, changes, None, self.now)
    }

    /// Returns the size of a summary while some gateways change between two
    /// summaries.
    fn changing_summary_bytes(
        &self,
        advertised: &mut AdvertisedMembers,
        members: &BTreeMap<SocketAddr, Member>,
    ) -> f64 {
        let mut changed = members.clone();
        for member in changed.values_mut().step_by(GATEWAYS_PER_CHANGE) {
            member.store = StoreStatus::Unreachable;
        }
        let max_changes =
            max_changes(SMALL_LINK_MBPS, SUMMARY_INTERVAL_MS, self.group);
        let members = advertised.next_update(&changed, max_changes);
        bytes_of_summary(Summary { members, ..self.summary(advertised) })
    }

    /// Returns the time in which a new hub on a small link advertises a number
    /// of gateways, in seconds.
    fn full_advertisement_s(&self, gateways: usize) -> f64 {
        let max_changes =
            max_changes(SMALL_LINK_MBPS, SUMMARY_INTERVAL_MS, self.group);
        let summaries = gateways.min(self.gateways).div_ceil(max_changes);
        summaries as f64 * SUMMARY_INTERVAL_MS as f64 / 1e3
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
        let mut advertised = AdvertisedSums::default();
        let loads = advertised.next_update(&self.loads(), MAX_SUMS);
        let number = MessageNumber { start: 1, sequence: 1_000 };
        let paces = PaceUpdate::default();
        let update = HubUpdate { number, loads, throttles: None, paces };
        bytes_of(&Message::HubUpdate(update)) as f64
    }

    fn group_loads_bytes(&self) -> f64 {
        let mut advertised = AdvertisedSums::default();
        let loads = advertised.next_update(&self.loads(), MAX_SUMS);
        let group_loads = GroupLoads {
            instance: InstanceId::new("edge-north-1"),
            number: MessageNumber { start: 1, sequence: 1_000 },
            data_centre: data_centre(0),
            loads,
            usage: Vec::new(),
        };
        bytes_of(&Message::GroupLoads(group_loads)) as f64
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
            removed: (0..CRASHED_UPSTREAMS)
                .map(|number| start(number).id)
                .collect(),
            after_outage: false,
        };
        bytes_of(&Message::ListingChanged(delta)) as f64
    }

    fn members_us(&self, members: &BTreeMap<SocketAddr, Member>) -> f64 {
        let mut advertised = AdvertisedMembers::default();
        advertised.next_update(members, usize::MAX);
        mean_us(|| {
            let members = self.hub.members_to_advertise(&self.own, self.now);
            black_box(advertised.next_update(&members, usize::MAX));
        })
    }

    /// Returns the time in which a gateway that knows all others from a hub
    /// recomputes the assignment of duties.
    fn hierarchy_us(&self) -> f64 {
        let mut gateway = roster(0);
        let summary = self.summary(&mut AdvertisedMembers::default());
        gateway.on_summary(address(self.gateways - 1), summary, self.now);
        mean_us(|| {
            black_box(gateway.recompute(local_report(0), self.now));
        })
    }

    fn sums_us(&self) -> f64 {
        let mut advertised = AdvertisedSums::default();
        let loads = self.loads();
        advertised.next_update(&loads, usize::MAX);
        mean_us(|| {
            black_box(advertised.next_update(&loads, MAX_SUMS));
        })
    }

    fn change_us(&self) -> f64 {
        let mut registry = UpstreamRegistry::default();
        registry.replace(self.listing(), false, self.now);
        let mut version = 1;
        mean_us(|| {
            let view = registry.listing().clone();
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
            black_box(registry.apply(&delta, self.now));
            black_box(view);
        })
    }
}

/// Creates the roster of a gateway that has received heartbeats of all others
/// in its data centre.
fn hub_of_group(number: usize, gateways: usize, now: Millis) -> Roster {
    let mut hub = roster(number);
    let of_group = (0..gateways).filter(|other| {
        *other != number && other % DATA_CENTRES == number % DATA_CENTRES
    });
    for other in of_group {
        hub.on_heartbeat(address(other), heartbeat(other), now);
    }
    hub.recompute(local_report(number), now);
    hub
}

fn bytes_of_summary(summary: Summary) -> f64 {
    bytes_of(&Message::Summary(Box::new(summary))) as f64
}

/// Returns the total size of the datagrams of a message.
fn bytes_of(message: &Message) -> usize {
    let datagrams = message.encode_in_fragments(1).unwrap_or_default();
    datagrams.iter().map(Vec::len).sum()
}

fn mean_us(mut work: impl FnMut()) -> f64 {
    let start = Instant::now();
    for _ in 0..ROUNDS {
        work();
    }
    start.elapsed().as_secs_f64() * 1e6 / f64::from(ROUNDS)
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

fn local_report(number: usize) -> LocalReport {
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
    let models = (0..MODELS_PER_ENGINE)
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
        software: Some(SoftwareVersion::new("v1")),
        holding: Holding { sequence: 0, models },
    }
}
