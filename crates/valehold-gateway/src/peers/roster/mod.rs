//! The gateways that this one has heard of.
//!
//! Where there are few, each hears every other. Where there are more, each
//! tells a few hubs, the greatest by rank, and the hubs tell all. Where there
//! are very many, each data centre has hubs of its own: a gateway tells those
//! of its data centre, which tell one another what they hear, so that what
//! one gateway sends and takes does not grow with the fleet.
//!
//! - [`standing`]: who does what, worked out anew as time passes.
//! - [`members`]: what a hub tells of who is there.
//! - [`duties`]: this gateway's own part in it.
//! - [`targets`]: whom it sends what.
//! - [`sums`]: what all gateways have under way and are asked for.
//! - `words`: what hubs say, and what is said of the lease.

pub mod duties;
pub mod hierarchy;
mod hub_reports;
pub mod members;
pub mod sums;
pub mod targets;

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use rand::seq::IteratorRandom;
use valehold_core::{
    Millis,
    fleet::topology::{Distance, Topology},
    id::{DataCentreId, InstanceId},
};

pub use self::{duties::ObserverRole, targets::BroadcastTargets};
use self::{
    hierarchy::{Hierarchy, HierarchyInputs, Member},
    members::ReceivedMembers,
    sums::ReceivedLoads,
};
use super::message::{
    Digest, GroupLoads, Heartbeat, LoadNews, LoadReport, MemberList,
    MemberPart, Newest, Rank, StoreSight, Summary,
};
use super::number::{Audience, WordNumber, WordOrder};
use crate::view::{Life, ReadyMember};

/// For how long a silent gateway is still sent heartbeats, in ms.
const FORGET_AFTER_MS: u64 = 60_000;

/// How many times longer than a gateway's own word that of a hub is kept: it
/// takes up to three beats from a gateway over hubs to all, and a hub that
/// falls silent is replaced after one span.
const HUB_REPORT_TTL_FACTOR: u64 = 2;

#[derive(Debug, Clone)]
struct Peer {
    address: SocketAddr,
    heartbeat: Heartbeat,
    received_at: Millis,
}

/// What a hub said, and when.
#[derive(Debug, Clone)]
struct HubReport<T> {
    report: T,
    received_at: Millis,
}

/// What this gateway is among the others.
#[derive(Debug, Clone)]
pub struct LocalMember {
    /// Where it takes heartbeats.
    pub heartbeats: SocketAddr,
    /// Where peers read its state.
    pub state: SocketAddr,
    /// The data centre that it stands in.
    pub data_centre: DataCentreId,
    /// How suited it is to work for the others.
    pub rank: Rank,
}

/// The gateways that this one has heard of.
#[derive(Debug)]
pub struct Roster {
    own: LocalMember,
    silent_ms: u64,
    peers: BTreeMap<InstanceId, Peer>,
    /// Summaries, by their hubs' addresses.
    summaries: BTreeMap<SocketAddr, HubReport<Summary>>,
    /// The gateways that hubs told of, by the hubs' addresses.
    members_by_hub: BTreeMap<SocketAddr, ReceivedMembers>,
    /// What hubs of other data centres say, by their addresses.
    digests: BTreeMap<SocketAddr, HubReport<Digest>>,
    /// The newest word of all loads, from a summary or between summaries.
    load_sums: ReceivedLoads,
    /// The newest word of the loads of other data centres.
    group_loads: BTreeMap<DataCentreId, ReceivedLoads>,
    /// Addresses that were named, and when last.
    known_addresses: BTreeMap<SocketAddr, Millis>,
    seeds: BTreeSet<SocketAddr>,
    /// Addresses that peers named and that are none of the gateways that this
    /// one hears of: it may stand in a group that lost the others.
    uncontacted: BTreeSet<SocketAddr>,
    hierarchy: Hierarchy,
    message_order: WordOrder,
    heartbeat_rounds: u64,
}

impl Roster {
    /// Makes the roster of a gateway that has heard of nobody.
    pub fn new(
        own: LocalMember,
        silent_ms: u64,
        seeds: impl IntoIterator<Item = SocketAddr>,
    ) -> Self {
        let mut roster = Self {
            hierarchy: Hierarchy::new(&own),
            own,
            silent_ms,
            peers: BTreeMap::new(),
            summaries: BTreeMap::new(),
            members_by_hub: BTreeMap::new(),
            digests: BTreeMap::new(),
            load_sums: ReceivedLoads::default(),
            group_loads: BTreeMap::new(),
            known_addresses: BTreeMap::new(),
            seeds: BTreeSet::new(),
            uncontacted: BTreeSet::new(),
            message_order: WordOrder::default(),
            heartbeat_rounds: 0,
        };
        roster.set_seeds(seeds);
        roster
    }

    /// Takes other seeds.
    pub fn set_seeds(&mut self, seeds: impl IntoIterator<Item = SocketAddr>) {
        let own = self.own.heartbeats;
        self.seeds = seeds.into_iter().filter(|seed| *seed != own).collect();
    }

    /// Takes in a heartbeat; tells whether the gateway was not there before.
    pub fn on_heartbeat(
        &mut self,
        from: SocketAddr,
        heartbeat: Heartbeat,
        now: Millis,
    ) -> bool {
        for address in &heartbeat.known {
            if *address != self.own.heartbeats {
                self.known_addresses.entry(*address).or_insert(now);
                if !self.hierarchy.contains(address) {
                    self.uncontacted.insert(*address);
                }
            }
        }
        self.known_addresses.insert(from, now);
        let id = heartbeat.instance.clone();
        let known = self.peers.get(&id);
        let is_older = known.is_some_and(|peer| {
            peer.heartbeat.start == heartbeat.start
                && peer.heartbeat.sequence >= heartbeat.sequence
        });
        if is_older {
            return false;
        }
        self.hierarchy.record_receipt(from, now);
        let silent_ms = self.silent_ms;
        let is_new = known.is_none_or(|peer| {
            peer.heartbeat.start != heartbeat.start
                || now.since(peer.received_at) >= silent_ms
        });
        let peer = Peer { address: from, heartbeat, received_at: now };
        self.peers.insert(id, peer);
        is_new
    }

    /// Takes in the number of a gateway's word; tells whether the word is to
    /// be taken in: none that is newer was heard of that gateway.
    pub fn accept_number(
        &mut self,
        from: SocketAddr,
        number: (Audience, WordNumber),
        now: Millis,
    ) -> bool {
        self.message_order.take(from, number, now)
    }

    /// Takes in what a hub says to its group; tells whether something of what
    /// the hub told of gateways was missed.
    pub fn on_summary(
        &mut self,
        from: SocketAddr,
        mut summary: Summary,
        now: Millis,
    ) -> bool {
        self.hierarchy.record_receipt(from, now);
        if !summary.loads.is_empty() {
            let loads = std::mem::take(&mut summary.loads);
            self.on_load_update(LoadNews::of_all(loads), now);
        }
        let members = std::mem::take(&mut summary.members);
        let told = self.members_by_hub.entry(from).or_default();
        let is_missing = told.apply_changes(summary.number.start, &members);
        self.note_addresses(&members.changed, now);
        self.summaries
            .insert(from, HubReport { report: summary, received_at: now });
        is_missing
    }

    /// Takes in a part of the gateways that a hub told of.
    pub fn on_member_part(
        &mut self,
        from: SocketAddr,
        part: &MemberPart,
        now: Millis,
    ) {
        if let Some(told) = self.members_by_hub.get_mut(&from) {
            told.apply_part(part);
            self.note_addresses(&part.members, now);
        }
    }

    /// Notes the addresses of gateways that a hub names.
    fn note_addresses(&mut self, list: &MemberList, now: Millis) {
        for member in &list.members {
            if member.heartbeats != self.own.heartbeats {
                self.known_addresses.insert(member.heartbeats, now);
            }
        }
    }

    /// Takes in what a hub of another data centre says.
    pub fn on_digest(
        &mut self,
        from: SocketAddr,
        digest: Digest,
        now: Millis,
    ) {
        self.hierarchy.record_receipt(from, now);
        self.note_addresses(&digest.members, now);
        self.digests
            .insert(from, HubReport { report: digest, received_at: now });
    }

    /// Takes in what a gateway has under way, between its heartbeats.
    pub fn on_load_report(&mut self, report: LoadReport, now: Millis) {
        let Some(peer) = self.peers.get_mut(&report.instance) else { return };
        let heartbeat = &mut peer.heartbeat;
        let is_next = heartbeat.start == report.start
            && heartbeat.sequence < report.sequence;
        if is_next {
            heartbeat.sequence = report.sequence;
            heartbeat.loads = report.loads;
            peer.received_at = now;
        }
    }

    /// Takes in what all gateways have under way, as a hub says.
    pub fn on_load_update(&mut self, news: LoadNews, now: Millis) {
        self.load_sums.apply(news, now);
    }

    /// Takes in what the gateways of another data centre have under way.
    pub fn on_group_loads(&mut self, group: GroupLoads, now: Millis) {
        let heard = self.group_loads.entry(group.data_centre).or_default();
        heard.apply(group.news, now);
    }

    /// Lets time pass: forgets the silent, and works out anew who does what.
    ///
    /// Returns whether the gateways that callers may be sent to are others
    /// than before.
    pub fn tick(&mut self, local_report: LocalReport, now: Millis) -> bool {
        if !self.hierarchy.is_due(now) {
            return false;
        }
        self.prune_silent(now);
        self.recompute(local_report, now)
    }

    fn prune_silent(&mut self, now: Millis) {
        let is_recent = |heard: Millis| now.since(heard) < FORGET_AFTER_MS;
        self.peers.retain(|_, peer| is_recent(peer.received_at));
        let hierarchy = &self.hierarchy;
        self.known_addresses.retain(|address, heard| {
            if hierarchy.contains(address) {
                *heard = now;
            }
            is_recent(*heard)
        });
        self.summaries.retain(|_, one| is_recent(one.received_at));
        let summaries = &self.summaries;
        self.members_by_hub.retain(|hub, _| summaries.contains_key(hub));
        self.digests.retain(|_, one| is_recent(one.received_at));
        self.message_order.forget_silent(FORGET_AFTER_MS, now);
    }

    /// Works out anew who does what; returns whether the gateways that
    /// callers may be sent to are others than before.
    pub fn recompute(
        &mut self,
        local_report: LocalReport,
        now: Millis,
    ) -> bool {
        let mut members = self.known_members(now);
        let own = Member {
            rank: self.own.rank,
            requests: local_report.requests,
            data_centre: self.own.data_centre.clone(),
            life: local_report.life,
            store: local_report.store,
        };
        members.insert(self.own.heartbeats, own);
        let before = self.ready_addresses();
        self.hierarchy.recompute(HierarchyInputs {
            members,
            own: &self.own,
            silent_ms: self.silent_ms,
            now,
        });
        before != self.ready_addresses()
    }

    /// Returns the others that are heard of: directly, or from hubs.
    fn known_members(&self, now: Millis) -> BTreeMap<SocketAddr, Member> {
        let mut members = BTreeMap::new();
        if let Some(told) = self.longest_hub_table(now) {
            let told = told.iter();
            members.extend(told.map(|(address, one)| (address, one.clone())));
        }
        for digest in self.live_digests(now) {
            members.extend(hierarchy::members_of(&digest.members));
        }
        for peer in self.live_peers(now) {
            members.insert(peer.address, Member::of(&peer.heartbeat));
        }
        members
    }

    fn ready_addresses(&self) -> BTreeSet<SocketAddr> {
        self.hierarchy.serving().map(|(_, member)| member.requests).collect()
    }

    /// Tells whether there are so many gateways that hubs sum up.
    pub fn has_hubs(&self) -> bool {
        !self.hierarchy.local_hubs().is_empty()
    }

    /// Tells whether there are so many gateways that each data centre has
    /// hubs of its own.
    pub fn has_many_groups(&self) -> bool {
        self.hierarchy.has_many_groups()
    }

    /// Returns where hubs of other data centres take digests.
    pub fn remote_hubs(&self) -> &[SocketAddr] {
        self.hierarchy.remote_hubs()
    }

    /// Tells whether this gateway is the greatest hub of its group.
    pub fn is_primary_hub(&self) -> bool {
        self.hierarchy.local_hubs().first() == Some(&self.own.heartbeats)
    }

    /// Tells whether this gateway sums up for others.
    pub fn is_hub(&self) -> bool {
        self.hierarchy.local_hubs().contains(&self.own.heartbeats)
    }

    /// Returns the gateways that callers may be sent to, but for this one.
    pub fn ready(&self) -> Vec<ReadyMember> {
        let others = self.hierarchy.serving_others();
        let ready = others.map(|(_, member)| ReadyMember {
            requests: member.requests,
            data_centre: member.data_centre.clone(),
        });
        ready.collect()
    }

    /// Returns where some other gateway nearby that serves can be read, if
    /// hubs tell of one: of this data centre, else of its region.
    ///
    /// Where no regions are declared, gateways of other data centres are not
    /// taken for near.
    pub fn nearby_state_address(
        &self,
        topology: &Topology,
    ) -> Option<SocketAddr> {
        let farthest = match topology.own_region() {
            Some(_) => Distance::SameRegion,
            None => Distance::SameDataCentre,
        };
        let distance_to =
            |member: &Member| topology.distance(&member.data_centre);
        let others = self.hierarchy.serving_others();
        let near =
            others.filter(|(_, member)| distance_to(member) <= farthest);
        let least =
            near.clone().map(|(_, member)| distance_to(member)).min()?;
        let nearest = near.filter(|(_, member)| distance_to(member) == least);
        let (address, _) = nearest.choose(&mut rand::rng())?;
        Some(SocketAddr::new(address.ip(), self.own.state.port()))
    }

    /// Returns where a newer configuration can be read: at one of those that
    /// have the newest, elsewhere than at a peer to avoid if there is one.
    pub fn newer_catalog_address(
        &self,
        version: u64,
        avoided: Option<SocketAddr>,
        now: Millis,
    ) -> Option<SocketAddr> {
        let direct = self.peer_versions(now, |peer| peer.heartbeat.catalog);
        address_of_newer(
            version,
            avoided,
            direct.chain(self.hub_catalogs(now)),
        )
    }

    /// Returns where a newer list of upstreams can be read, likewise.
    pub fn newer_listing_address(
        &self,
        version: u64,
        avoided: Option<SocketAddr>,
        now: Millis,
    ) -> Option<SocketAddr> {
        let direct = self.peer_versions(now, |peer| peer.heartbeat.listing);
        address_of_newer(
            version,
            avoided,
            direct.chain(self.hub_listings(now)),
        )
    }

    /// Returns the versions of something that peers have, and where.
    fn peer_versions(
        &self,
        now: Millis,
        version: impl Fn(&Peer) -> u64,
    ) -> impl Iterator<Item = Newest> {
        self.live_peers(now).map(move |peer| Newest {
            version: version(peer),
            state: peer.heartbeat.state,
        })
    }

    fn live_peers(&self, now: Millis) -> impl Iterator<Item = &Peer> {
        let silent_ms = self.silent_ms;
        self.peers
            .values()
            .filter(move |peer| now.since(peer.received_at) < silent_ms)
    }

    /// Returns the peers of this gateway's group that it hears itself.
    fn live_peers_in_group(&self, now: Millis) -> impl Iterator<Item = &Peer> {
        let many = self.hierarchy.has_many_groups();
        let own = &self.own.data_centre;
        self.live_peers(now)
            .filter(move |p| !many || p.heartbeat.data_centre == *own)
    }
}

/// What this gateway says of itself.
#[derive(Debug, Clone, Copy)]
pub struct LocalReport {
    /// Where it takes requests.
    pub requests: SocketAddr,
    /// How far its life has come.
    pub life: Life,
    /// Whether the platform's store answers it.
    pub store: StoreSight,
}

/// Returns where the newest can be read of what is newer than a version.
///
/// Of several that have it any one is taken: who finds it silent finds another
/// the next time. One to avoid comes last, whatever it has.
fn address_of_newer(
    version: u64,
    avoided: Option<SocketAddr>,
    all: impl Iterator<Item = Newest>,
) -> Option<SocketAddr> {
    let newer = all.filter(|one| one.version > version);
    let best = newer.max_by_key(|one| {
        let is_avoided = avoided == Some(one.state);
        (!is_avoided, one.version, rand::random::<u32>())
    });
    best.map(|one| one.state)
}
