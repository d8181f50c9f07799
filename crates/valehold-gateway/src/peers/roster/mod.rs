//! The roster: the gateways that this gateway knows, and the reports received
//! from them.
//!
//! The size of the fleet decides how reports travel. In a small fleet, all
//! gateways send heartbeats to each other. In a larger fleet, each gateway
//! reports to a few hubs, the gateways of highest rank, and the hubs send
//! summaries to all gateways. In a very large fleet, each data centre forms a
//! group with hubs of its own: a gateway reports to the hubs of its data
//! centre, and the hubs exchange digests of their groups, so that the traffic
//! of one gateway does not grow with the fleet.
//!
//! - [`hierarchy`]: which gateways exist and which of them are hubs.
//! - [`members`]: the member lists that hubs advertise, sent as changes.
//! - [`duties`]: the duties of this gateway for the fleet.
//! - [`targets`]: the recipients of each kind of message.
//! - [`sums`]: the in-flight load and the demand of all gateways.
//! - `hub_reports`: summaries and digests of hubs, and reports on the lease.

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
    Digest, GroupLoads, Heartbeat, LoadReport, LoadUpdate, MemberList,
    MemberPart, Newest, Rank, StoreStatus, Summary,
};
use super::number::{Audience, MessageNumber, MessageOrder};
use crate::view::{Life, ReadyMember};

/// How long a silent gateway still receives heartbeats, in ms.
const FORGET_AFTER_MS: u64 = 60_000;

/// Factor by which reports of hubs outlive reports of single gateways, which
/// expire after `silent_ms`. A report takes up to three heartbeat intervals
/// from a gateway through hubs to all others, and a silent hub is replaced
/// after one `silent_ms`.
const HUB_REPORT_TTL_FACTOR: u64 = 2;

#[derive(Debug, Clone)]
struct Peer {
    address: SocketAddr,
    heartbeat: Heartbeat,
    received_at: Millis,
}

/// A message from a hub, with the time of its receipt.
#[derive(Debug, Clone)]
struct HubReport<T> {
    report: T,
    received_at: Millis,
}

/// The addresses, the data centre and the rank of this gateway.
#[derive(Debug, Clone)]
pub struct LocalMember {
    /// The address at which this gateway receives heartbeats.
    pub heartbeats: SocketAddr,
    /// The address at which peers read the state of this gateway.
    pub state: SocketAddr,
    /// The data centre of this gateway.
    pub data_centre: DataCentreId,
    /// The rank that decides which duties this gateway has for the fleet.
    pub rank: Rank,
}

/// The gateways that this gateway knows, and the reports received from them.
#[derive(Debug)]
pub struct Roster {
    own: LocalMember,
    silent_ms: u64,
    peers: BTreeMap<InstanceId, Peer>,
    /// The newest summary of each hub, by the hub's address.
    summaries: BTreeMap<SocketAddr, HubReport<Summary>>,
    /// The members that each hub advertised, by the hub's address.
    members_by_hub: BTreeMap<SocketAddr, ReceivedMembers>,
    /// The newest digest of each primary hub, by the hub's address.
    digests: BTreeMap<SocketAddr, HubReport<Digest>>,
    /// The newest in-flight loads of all gateways, from a summary or from an
    /// update between summaries.
    load_sums: ReceivedLoads,
    /// The newest in-flight loads of each other data centre.
    group_loads: BTreeMap<DataCentreId, ReceivedLoads>,
    /// Known heartbeat addresses, and when each was last refreshed.
    known_addresses: BTreeMap<SocketAddr, Millis>,
    seeds: BTreeSet<SocketAddr>,
    /// Addresses that peers reported and that belong to no member of the
    /// hierarchy. This gateway contacts these addresses, because its own group
    /// may have lost contact with the others.
    uncontacted: BTreeSet<SocketAddr>,
    hierarchy: Hierarchy,
    message_order: MessageOrder,
    heartbeat_rounds: u64,
}

impl Roster {
    /// Creates the roster of a gateway that knows no other gateway yet.
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
            message_order: MessageOrder::default(),
            heartbeat_rounds: 0,
        };
        roster.set_seeds(seeds);
        roster
    }

    /// Replaces the seeds. The address of this gateway itself is left out.
    pub fn set_seeds(&mut self, seeds: impl IntoIterator<Item = SocketAddr>) {
        let own = self.own.heartbeats;
        self.seeds = seeds.into_iter().filter(|seed| *seed != own).collect();
    }

    /// Records a heartbeat. Returns whether its sender is new: unknown,
    /// restarted, or silent for `silent_ms` before.
    ///
    /// A heartbeat that is no newer than the last one of the same start is
    /// discarded; only the addresses in it are recorded.
    pub fn on_heartbeat(
        &mut self,
        from: SocketAddr,
        heartbeat: Heartbeat,
        now: Millis,
    ) -> bool {
        for address in &heartbeat.known_addresses {
            if *address != self.own.heartbeats {
                self.known_addresses.entry(*address).or_insert(now);
                if !self.hierarchy.contains(address) {
                    self.uncontacted.insert(*address);
                }
            }
        }
        self.known_addresses.insert(from, now);
        let id = heartbeat.instance.clone();
        let previous = self.peers.get(&id);
        let is_outdated = previous.is_some_and(|peer| {
            peer.heartbeat.start == heartbeat.start
                && peer.heartbeat.sequence >= heartbeat.sequence
        });
        if is_outdated {
            return false;
        }
        self.hierarchy.record_receipt(from, now);
        let silent_ms = self.silent_ms;
        let is_new = previous.is_none_or(|peer| {
            peer.heartbeat.start != heartbeat.start
                || now.since(peer.received_at) >= silent_ms
        });
        let peer = Peer { address: from, heartbeat, received_at: now };
        self.peers.insert(id, peer);
        is_new
    }

    /// Checks and records the number of a message. Returns `false` if the
    /// message must be discarded, because the same gateway sent this message
    /// or a newer one before.
    pub fn accept_number(
        &mut self,
        from: SocketAddr,
        number: (Audience, MessageNumber),
        now: Millis,
    ) -> bool {
        self.message_order.accept(from, number, now)
    }

    /// Records the summary of a hub of this gateway's group. Returns whether
    /// member changes that the hub sent earlier are missing.
    pub fn on_summary(
        &mut self,
        from: SocketAddr,
        mut summary: Summary,
        now: Millis,
    ) -> bool {
        self.hierarchy.record_receipt(from, now);
        if !summary.loads.is_empty() {
            let loads = std::mem::take(&mut summary.loads);
            self.on_load_update(LoadUpdate::full(loads), now);
        }
        let members = std::mem::take(&mut summary.members);
        let received = self.members_by_hub.entry(from).or_default();
        let is_missing =
            received.apply_changes(summary.number.start, &members);
        self.note_addresses(&members.changed, now);
        self.summaries
            .insert(from, HubReport { report: summary, received_at: now });
        is_missing
    }

    /// Records one part of a hub's full member list. Ignores the part if no
    /// summary of the hub was received before.
    pub fn on_member_part(
        &mut self,
        from: SocketAddr,
        part: &MemberPart,
        now: Millis,
    ) {
        if let Some(received) = self.members_by_hub.get_mut(&from) {
            received.apply_part(part);
            self.note_addresses(&part.members, now);
        }
    }

    /// Records the heartbeat addresses of listed members as known.
    fn note_addresses(&mut self, list: &MemberList, now: Millis) {
        for member in &list.members {
            if member.heartbeats != self.own.heartbeats {
                self.known_addresses.insert(member.heartbeats, now);
            }
        }
    }

    /// Records the digest that a primary hub sent of its group.
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

    /// Records the in-flight load that a gateway reports between its
    /// heartbeats. Ignores outdated reports, and reports of a gateway or a
    /// start from which no heartbeat was received.
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

    /// Records a hub's update of the in-flight loads of all gateways.
    pub fn on_load_update(&mut self, update: LoadUpdate, now: Millis) {
        self.load_sums.apply(update, now);
    }

    /// Records the in-flight loads of another data centre's gateways.
    pub fn on_group_loads(&mut self, group: GroupLoads, now: Millis) {
        let received = self.group_loads.entry(group.data_centre).or_default();
        received.apply(group.loads, now);
    }

    /// Prunes silent gateways and recomputes the hierarchy, if a recomputation
    /// is due.
    ///
    /// Returns whether the set of gateways that callers may be sent to
    /// changed.
    pub fn tick(&mut self, local_report: LocalReport, now: Millis) -> bool {
        if !self.hierarchy.is_due(now) {
            return false;
        }
        self.prune_silent(now);
        self.recompute(local_report, now)
    }

    fn prune_silent(&mut self, now: Millis) {
        let is_recent = |at: Millis| now.since(at) < FORGET_AFTER_MS;
        self.peers.retain(|_, peer| is_recent(peer.received_at));
        let hierarchy = &self.hierarchy;
        self.known_addresses.retain(|address, refreshed_at| {
            if hierarchy.contains(address) {
                *refreshed_at = now;
            }
            is_recent(*refreshed_at)
        });
        self.summaries.retain(|_, summary| is_recent(summary.received_at));
        let summaries = &self.summaries;
        self.members_by_hub.retain(|hub, _| summaries.contains_key(hub));
        self.digests.retain(|_, digest| is_recent(digest.received_at));
        self.message_order.prune_silent(FORGET_AFTER_MS, now);
    }

    /// Recomputes the hierarchy. Returns whether the set of gateways that
    /// callers may be sent to changed.
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

    /// Returns the other gateways, known from their own heartbeats or from
    /// hubs. A gateway's own heartbeat takes precedence.
    fn known_members(&self, now: Millis) -> BTreeMap<SocketAddr, Member> {
        let mut members = BTreeMap::new();
        if let Some(table) = self.longest_hub_table(now) {
            let advertised = table.iter();
            members.extend(
                advertised.map(|(address, member)| (address, member.clone())),
            );
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

    /// Returns whether the fleet is large enough for hubs.
    pub fn has_hubs(&self) -> bool {
        !self.hierarchy.local_hubs().is_empty()
    }

    /// Returns whether the fleet is large enough that each data centre is a
    /// group with hubs of its own.
    pub fn has_many_groups(&self) -> bool {
        self.hierarchy.has_many_groups()
    }

    /// Returns the heartbeat addresses of the hubs of other data centres, to
    /// which digests are sent.
    pub fn remote_hubs(&self) -> &[SocketAddr] {
        self.hierarchy.remote_hubs()
    }

    /// Returns whether this gateway is the primary hub of its group, the hub
    /// of highest rank.
    pub fn is_primary_hub(&self) -> bool {
        self.hierarchy.local_hubs().first() == Some(&self.own.heartbeats)
    }

    /// Returns whether this gateway is a hub of its group.
    pub fn is_hub(&self) -> bool {
        self.hierarchy.local_hubs().contains(&self.own.heartbeats)
    }

    /// Returns the other gateways that callers may be sent to.
    pub fn ready(&self) -> Vec<ReadyMember> {
        let others = self.hierarchy.serving_others();
        let ready = others.map(|(_, member)| ReadyMember {
            requests: member.requests,
            data_centre: member.data_centre.clone(),
        });
        ready.collect()
    }

    /// Returns the state address of a random gateway among the nearest other
    /// serving gateways: in this data centre, or else in this region. Returns
    /// `None` if there is none.
    ///
    /// If no regions are declared, only gateways of this data centre count as
    /// nearby. The address combines the IP address at which the chosen gateway
    /// receives heartbeats with this gateway's own state port.
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
        let nearby =
            others.filter(|(_, member)| distance_to(member) <= farthest);
        let shortest =
            nearby.clone().map(|(_, member)| distance_to(member)).min()?;
        let nearest =
            nearby.filter(|(_, member)| distance_to(member) == shortest);
        let (address, _) = nearest.choose(&mut rand::rng())?;
        Some(SocketAddr::new(address.ip(), self.own.state.port()))
    }

    /// Returns the state address of a gateway that has the newest
    /// configuration, or `None` if no gateway has one newer than `version`.
    /// Returns `avoided` only if no other gateway has a newer one.
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

    /// Returns the state address of a gateway that has the newest list of
    /// upstreams, by the same rules as
    /// [`newer_catalog_address`](Self::newer_catalog_address).
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

    /// Returns a version that each live peer reports, with the state address
    /// of the peer.
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

    /// Returns the peers of this gateway's group that send heartbeats to this
    /// gateway.
    fn live_peers_in_group(&self, now: Millis) -> impl Iterator<Item = &Peer> {
        let has_many_groups = self.hierarchy.has_many_groups();
        let own = &self.own.data_centre;
        self.live_peers(now).filter(move |peer| {
            !has_many_groups || peer.heartbeat.data_centre == *own
        })
    }
}

/// The part of this gateway's report on itself that changes while it runs.
#[derive(Debug, Clone, Copy)]
pub struct LocalReport {
    /// The address at which this gateway takes requests.
    pub requests: SocketAddr,
    /// The stage of this gateway's life.
    pub life: Life,
    /// Whether the platform's store answers this gateway.
    pub store: StoreStatus,
}

/// Returns the state address of a gateway with the newest version above
/// `version`, or `None` if there is no such gateway.
///
/// Of several gateways with the newest version a random one is chosen, so that
/// a retry after a silent gateway reaches another one. `avoided` is chosen
/// only if no other gateway has a version above `version`.
fn address_of_newer(
    version: u64,
    avoided: Option<SocketAddr>,
    all: impl Iterator<Item = Newest>,
) -> Option<SocketAddr> {
    let newer = all.filter(|newest| newest.version > version);
    let best = newer.max_by_key(|newest| {
        let is_avoided = avoided == Some(newest.state);
        (!is_avoided, newest.version, rand::random::<u32>())
    });
    best.map(|newest| newest.state)
}
