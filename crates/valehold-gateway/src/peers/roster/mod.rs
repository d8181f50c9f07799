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
pub mod members;
pub mod standing;
pub mod sums;
pub mod targets;
mod words;

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

pub use self::{duties::Observing, targets::Spread};
use self::{
    members::HeardMembers,
    standing::{Member, Standing, StandingInputs},
    sums::HeardLoads,
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
const HUBS_KEEP: u64 = 2;

#[derive(Debug, Clone)]
struct Peer {
    address: SocketAddr,
    heartbeat: Heartbeat,
    heard: Millis,
}

/// What a hub said, and when.
#[derive(Debug, Clone)]
struct Heard<T> {
    word: T,
    at: Millis,
}

/// What this gateway is among the others.
#[derive(Debug, Clone)]
pub struct Own {
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
    own: Own,
    silent_ms: u64,
    peers: BTreeMap<InstanceId, Peer>,
    /// Summaries, by their hubs' addresses.
    summaries: BTreeMap<SocketAddr, Heard<Summary>>,
    /// The gateways that hubs told of, by the hubs' addresses.
    told_by: BTreeMap<SocketAddr, HeardMembers>,
    /// What hubs of other data centres say, by their addresses.
    digests: BTreeMap<SocketAddr, Heard<Digest>>,
    /// The newest word of all loads, from a summary or between summaries.
    load_sums: HeardLoads,
    /// The newest word of the loads of other data centres.
    group_loads: BTreeMap<DataCentreId, HeardLoads>,
    /// Addresses that were named, and when last.
    named: BTreeMap<SocketAddr, Millis>,
    seeds: BTreeSet<SocketAddr>,
    /// Addresses that peers named and that are none of the gateways that this
    /// one hears of: it may stand in a group that lost the others.
    unmet: BTreeSet<SocketAddr>,
    standing: Standing,
    words: WordOrder,
    beats: u64,
}

impl Roster {
    /// Makes the roster of a gateway that has heard of nobody.
    pub fn new(
        own: Own,
        silent_ms: u64,
        seeds: impl IntoIterator<Item = SocketAddr>,
    ) -> Self {
        let mut roster = Self {
            standing: Standing::alone(&own),
            own,
            silent_ms,
            peers: BTreeMap::new(),
            summaries: BTreeMap::new(),
            told_by: BTreeMap::new(),
            digests: BTreeMap::new(),
            load_sums: HeardLoads::default(),
            group_loads: BTreeMap::new(),
            named: BTreeMap::new(),
            seeds: BTreeSet::new(),
            unmet: BTreeSet::new(),
            words: WordOrder::default(),
            beats: 0,
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
    pub fn heard(
        &mut self,
        from: SocketAddr,
        heartbeat: Heartbeat,
        now: Millis,
    ) -> bool {
        for address in &heartbeat.known {
            if *address != self.own.heartbeats {
                self.named.entry(*address).or_insert(now);
                if !self.standing.has(address) {
                    self.unmet.insert(*address);
                }
            }
        }
        self.named.insert(from, now);
        let id = heartbeat.instance.clone();
        let known = self.peers.get(&id);
        let is_older = known.is_some_and(|peer| {
            peer.heartbeat.start == heartbeat.start
                && peer.heartbeat.sequence >= heartbeat.sequence
        });
        if is_older {
            return false;
        }
        self.standing.heard(from, now);
        let silent_ms = self.silent_ms;
        let is_new = known.is_none_or(|peer| {
            peer.heartbeat.start != heartbeat.start
                || now.since(peer.heard) >= silent_ms
        });
        let peer = Peer { address: from, heartbeat, heard: now };
        self.peers.insert(id, peer);
        is_new
    }

    /// Takes in the number of a gateway's word; tells whether the word is to
    /// be taken in: none that is newer was heard of that gateway.
    pub fn takes(
        &mut self,
        from: SocketAddr,
        number: (Audience, WordNumber),
        now: Millis,
    ) -> bool {
        self.words.take(from, number, now)
    }

    /// Takes in what a hub says to its group; tells whether something of what
    /// the hub told of gateways was missed.
    pub fn summed_up(
        &mut self,
        from: SocketAddr,
        mut summary: Summary,
        now: Millis,
    ) -> bool {
        self.standing.heard(from, now);
        if !summary.loads.is_empty() {
            let loads = std::mem::take(&mut summary.loads);
            self.load_sums_heard(LoadNews::of_all(loads), now);
        }
        let members = std::mem::take(&mut summary.members);
        let told = self.told_by.entry(from).or_default();
        let is_missing = told.hear(summary.number.start, &members);
        self.named_by(&members.changed, now);
        self.summaries.insert(from, Heard { word: summary, at: now });
        is_missing
    }

    /// Takes in a part of the gateways that a hub told of.
    pub fn members_heard(
        &mut self,
        from: SocketAddr,
        part: &MemberPart,
        now: Millis,
    ) {
        if let Some(told) = self.told_by.get_mut(&from) {
            told.hear_part(part);
            self.named_by(&part.members, now);
        }
    }

    /// Notes the addresses of gateways that a hub names.
    fn named_by(&mut self, list: &MemberList, now: Millis) {
        for member in &list.members {
            if member.heartbeats != self.own.heartbeats {
                self.named.insert(member.heartbeats, now);
            }
        }
    }

    /// Takes in what a hub of another data centre says.
    pub fn digest_heard(
        &mut self,
        from: SocketAddr,
        digest: Digest,
        now: Millis,
    ) {
        self.standing.heard(from, now);
        self.named_by(&digest.members, now);
        self.digests.insert(from, Heard { word: digest, at: now });
    }

    /// Takes in what a gateway has under way, between its heartbeats.
    pub fn load_heard(&mut self, report: LoadReport, now: Millis) {
        let Some(peer) = self.peers.get_mut(&report.instance) else { return };
        let heartbeat = &mut peer.heartbeat;
        let is_next = heartbeat.start == report.start
            && heartbeat.sequence < report.sequence;
        if is_next {
            heartbeat.sequence = report.sequence;
            heartbeat.loads = report.loads;
            peer.heard = now;
        }
    }

    /// Takes in what all gateways have under way, as a hub says.
    pub fn load_sums_heard(&mut self, news: LoadNews, now: Millis) {
        self.load_sums.hear(news, now);
    }

    /// Takes in what the gateways of another data centre have under way.
    pub fn group_loads_heard(&mut self, group: GroupLoads, now: Millis) {
        let heard = self.group_loads.entry(group.data_centre).or_default();
        heard.hear(group.news, now);
    }

    /// Lets time pass: forgets the silent, and works out anew who does what.
    ///
    /// Returns whether the gateways that callers may be sent to are others
    /// than before.
    pub fn tick(&mut self, own_word: OwnWord, now: Millis) -> bool {
        if !self.standing.is_due(now) {
            return false;
        }
        self.forget_silent(now);
        self.work_out(own_word, now)
    }

    fn forget_silent(&mut self, now: Millis) {
        let young = |heard: Millis| now.since(heard) < FORGET_AFTER_MS;
        self.peers.retain(|_, peer| young(peer.heard));
        let standing = &self.standing;
        self.named.retain(|address, heard| {
            if standing.has(address) {
                *heard = now;
            }
            young(*heard)
        });
        self.summaries.retain(|_, one| young(one.at));
        let summaries = &self.summaries;
        self.told_by.retain(|hub, _| summaries.contains_key(hub));
        self.digests.retain(|_, one| young(one.at));
        self.words.forget_silent(FORGET_AFTER_MS, now);
    }

    /// Works out anew who does what; returns whether the gateways that
    /// callers may be sent to are others than before.
    pub fn work_out(&mut self, own_word: OwnWord, now: Millis) -> bool {
        let mut members = self.heard_members(now);
        let own = Member {
            rank: self.own.rank,
            requests: own_word.requests,
            data_centre: self.own.data_centre.clone(),
            life: own_word.life,
            store: own_word.store,
        };
        members.insert(self.own.heartbeats, own);
        let before = self.ready_addresses();
        self.standing.work_out(StandingInputs {
            members,
            own: &self.own,
            silent_ms: self.silent_ms,
            now,
        });
        before != self.ready_addresses()
    }

    /// Returns the others that are heard of: directly, or from hubs.
    fn heard_members(&self, now: Millis) -> BTreeMap<SocketAddr, Member> {
        let mut members = BTreeMap::new();
        if let Some(told) = self.told_members(now) {
            let told = told.iter();
            members.extend(told.map(|(address, one)| (address, one.clone())));
        }
        for digest in self.live_digests(now) {
            members.extend(standing::members_of(&digest.members));
        }
        for peer in self.live(now) {
            members.insert(peer.address, Member::of(&peer.heartbeat));
        }
        members
    }

    fn ready_addresses(&self) -> BTreeSet<SocketAddr> {
        self.standing.serving().map(|(_, member)| member.requests).collect()
    }

    /// Tells whether there are so many gateways that hubs sum up.
    pub fn has_hubs(&self) -> bool {
        !self.standing.own_hubs().is_empty()
    }

    /// Tells whether there are so many gateways that each data centre has
    /// hubs of its own.
    pub fn has_many_groups(&self) -> bool {
        self.standing.has_many_groups()
    }

    /// Returns where hubs of other data centres take digests.
    pub fn hubs_elsewhere(&self) -> &[SocketAddr] {
        self.standing.hubs_elsewhere()
    }

    /// Tells whether this gateway is the greatest hub of its group.
    pub fn is_foremost_hub(&self) -> bool {
        self.standing.own_hubs().first() == Some(&self.own.heartbeats)
    }

    /// Tells whether this gateway sums up for others.
    pub fn is_hub(&self) -> bool {
        self.standing.own_hubs().contains(&self.own.heartbeats)
    }

    /// Returns the gateways that callers may be sent to, but for this one.
    pub fn ready(&self) -> Vec<ReadyMember> {
        let others = self.standing.serving_others();
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
    pub fn near_state(&self, topology: &Topology) -> Option<SocketAddr> {
        let farthest = match topology.own_region() {
            Some(_) => Distance::SameRegion,
            None => Distance::SameDataCentre,
        };
        let distance_to =
            |member: &Member| topology.distance(&member.data_centre);
        let others = self.standing.serving_others();
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
    pub fn with_newer_catalog(
        &self,
        version: u64,
        avoided: Option<SocketAddr>,
        now: Millis,
    ) -> Option<SocketAddr> {
        let direct = self.versions(now, |peer| peer.heartbeat.catalog);
        newer_than(version, avoided, direct.chain(self.hub_catalogs(now)))
    }

    /// Returns where a newer list of upstreams can be read, likewise.
    pub fn with_newer_listing(
        &self,
        version: u64,
        avoided: Option<SocketAddr>,
        now: Millis,
    ) -> Option<SocketAddr> {
        let direct = self.versions(now, |peer| peer.heartbeat.listing);
        newer_than(version, avoided, direct.chain(self.hub_listings(now)))
    }

    /// Returns the versions of something that peers have, and where.
    fn versions(
        &self,
        now: Millis,
        version: impl Fn(&Peer) -> u64,
    ) -> impl Iterator<Item = Newest> {
        self.live(now).map(move |peer| Newest {
            version: version(peer),
            state: peer.heartbeat.state,
        })
    }

    fn live(&self, now: Millis) -> impl Iterator<Item = &Peer> {
        let silent_ms = self.silent_ms;
        self.peers
            .values()
            .filter(move |peer| now.since(peer.heard) < silent_ms)
    }

    /// Returns the peers of this gateway's group that it hears itself.
    fn live_in_group(&self, now: Millis) -> impl Iterator<Item = &Peer> {
        let many = self.standing.has_many_groups();
        let own = &self.own.data_centre;
        self.live(now)
            .filter(move |p| !many || p.heartbeat.data_centre == *own)
    }
}

/// What this gateway says of itself.
#[derive(Debug, Clone, Copy)]
pub struct OwnWord {
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
fn newer_than(
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
