//! The gateways that this one has heard of.
//!
//! Where there are few, each hears every other. Where there are more, each
//! tells a few hubs, the greatest by rank, and the hubs tell all. Where there
//! are very many, each data centre has hubs of its own: a gateway tells those
//! of its data centre, which tell one another what they hear, so that what
//! one gateway sends and takes does not grow with the fleet.
//!
//! - [`standing`]: who does what, worked out anew as time passes.
//! - `sums`: what all gateways have under way and are asked for.
//! - `words`: what hubs say, and what is said of the lease.

pub mod standing;
pub mod sums;
mod words;

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use rand::seq::IteratorRandom;
use valehold_core::{
    Millis,
    id::{DataCentreId, InstanceId},
};

use self::{
    standing::{Member, Standing, StandingInputs},
    sums::HeardLoads,
};
use super::message::{
    Digest, Duty, GroupLoads, Heartbeat, LoadNews, LoadReport, Newest, Rank,
    StoreSight, Summary,
};
use crate::view::{Life, ReadyMember};

/// For how long a silent gateway is still sent heartbeats, in ms.
const FORGET_AFTER_MS: u64 = 60_000;

/// How many gateways' addresses a heartbeat carries at the most.
const MOST_KNOWN: usize = 16;

/// How many gateways are sent heartbeats at once at the most where no hubs
/// are known: what a gateway that has just started, or lost its hubs, needs
/// to find the others within a few beats.
const MOST_DIRECT: usize = 24;

/// How many gateways watch the platform's list for all.
const OBSERVERS: usize = 3;

/// How many gateways watch the configuration where hubs pass it on. A store
/// may turn away a third of all gateways and serve the operator: that it is
/// all of these then has a chance below one in 300,000.
const CONFIGURATION_WATCHERS: usize = 12;

/// How many gateways look for a store that answers nobody, where hubs tell of
/// it: each call costs, refused ones too.
const MOST_LOOKING: usize = 24;

/// How often seeds are sent heartbeats once others are known, in beats.
const SEEDS_EVERY: u64 = 8;

/// The same for a gateway that has just started. Gateways that start at the
/// same time find one another in groups, which meet at the seeds.
const SEEDS_EVERY_AT_FIRST: u64 = 2;

/// For how many beats a gateway has just started.
const FIRST_BEATS: u64 = 24;

/// How many gateways that were named and are not met are sent a heartbeat
/// with each beat.
const MET_EACH_BEAT: usize = 4;

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

/// A gateway's part in watching the platform's store for all.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Observing {
    /// It hears of everything from others.
    Nothing,
    /// It watches the configuration, and hears of upstreams from others.
    Configuration,
    /// It watches in case that the foremost observer misses something.
    Reserve,
    /// Its word is the one that others hear first.
    Foremost,
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

/// Where a message for all gateways goes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Spread {
    /// Gateways that it is sent to.
    pub direct: BTreeSet<SocketAddr>,
    /// Hubs that pass it on to their groups.
    pub hubs: BTreeSet<SocketAddr>,
}

/// The gateways that this one has heard of.
#[derive(Debug)]
pub struct Roster {
    own: Own,
    silent_ms: u64,
    peers: BTreeMap<InstanceId, Peer>,
    /// Summaries, by their hubs' addresses.
    summaries: BTreeMap<SocketAddr, Heard<Summary>>,
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
            digests: BTreeMap::new(),
            load_sums: HeardLoads::default(),
            group_loads: BTreeMap::new(),
            named: BTreeMap::new(),
            seeds: BTreeSet::new(),
            unmet: BTreeSet::new(),
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

    /// Takes in what a hub says to its group.
    pub fn summed_up(
        &mut self,
        from: SocketAddr,
        mut summary: Summary,
        now: Millis,
    ) {
        self.standing.heard(from, now);
        let told = summary.members.iter().flat_map(|list| &list.members);
        for member in told {
            if member.heartbeats != self.own.heartbeats {
                self.named.insert(member.heartbeats, now);
            }
        }
        if !summary.loads.is_empty() {
            let loads = std::mem::take(&mut summary.loads);
            self.load_sums_heard(LoadNews { is_whole: true, loads }, now);
        }
        if summary.members.is_none() {
            // They are as that hub said before.
            let before = self.summaries.remove(&from);
            summary.members = before.and_then(|one| one.word.members);
        }
        self.summaries.insert(from, Heard { word: summary, at: now });
    }

    /// Takes in what a hub of another data centre says.
    pub fn digest_heard(
        &mut self,
        from: SocketAddr,
        digest: Digest,
        now: Millis,
    ) {
        self.standing.heard(from, now);
        for member in &digest.members.members {
            if member.heartbeats != self.own.heartbeats {
                self.named.insert(member.heartbeats, now);
            }
        }
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
        self.named.retain(|_, heard| young(*heard));
        self.summaries.retain(|_, one| young(one.at));
        self.digests.retain(|_, one| young(one.at));
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
        for list in self.member_lists(now) {
            members.extend(standing::members_of(list));
        }
        for peer in self.live(now) {
            members.insert(peer.address, Member::of(&peer.heartbeat));
        }
        members
    }

    fn ready_addresses(&self) -> BTreeSet<SocketAddr> {
        self.standing.serving().map(|(_, member)| member.requests).collect()
    }

    /// Returns where this beat's heartbeat goes.
    pub fn heartbeat_targets(&mut self, now: Millis) -> BTreeSet<SocketAddr> {
        self.beats += 1;
        let hubs = self.standing.own_hubs();
        if hubs.is_empty() {
            return self.direct_targets();
        }
        let mut targets: BTreeSet<SocketAddr> = hubs.iter().copied().collect();
        if !self.standing.has_many_groups() {
            targets.extend(self.holder(now));
        }
        let seeds_every = match self.beats {
            ..FIRST_BEATS => SEEDS_EVERY_AT_FIRST,
            _ => SEEDS_EVERY,
        };
        if self.beats.is_multiple_of(seeds_every) {
            targets.extend(&self.seeds);
        }
        self.unmet.retain(|address| !self.standing.has(address));
        for _ in 0..MET_EACH_BEAT {
            targets.extend(self.unmet.pop_first());
        }
        targets.remove(&self.own.heartbeats);
        targets
    }

    /// Returns seeds and all that were named, or some where those are many:
    /// where a heartbeat goes while no hubs are known.
    pub fn direct_targets(&self) -> BTreeSet<SocketAddr> {
        let named = self.named.keys().copied();
        let some = named.choose_multiple(&mut rand::rng(), MOST_DIRECT);
        some.into_iter().chain(self.seeds.iter().copied()).collect()
    }

    /// Returns where a message for all gateways goes.
    pub fn spread(&self) -> Spread {
        let own = self.own.heartbeats;
        let mut spread = match self.standing.has_many_groups() {
            false => Spread {
                direct: self.standing.addresses().collect(),
                hubs: BTreeSet::new(),
            },
            true => Spread {
                direct: self.group_targets(),
                hubs: self.standing.all_hubs().collect(),
            },
        };
        spread.direct.remove(&own);
        spread.hubs.remove(&own);
        spread
    }

    /// Returns the gateways of this one's group to which it passes on, as a
    /// hub, what is for all; none if it is no hub.
    pub fn group_targets(&self) -> BTreeSet<SocketAddr> {
        match self.is_hub() {
            true => self.standing.group_without_hubs().collect(),
            false => BTreeSet::new(),
        }
    }

    /// Returns the gateways to which this one's summaries go, if it is a hub.
    pub fn summary_targets(&self) -> BTreeSet<SocketAddr> {
        let mut targets: BTreeSet<SocketAddr> =
            self.standing.group().collect();
        targets.remove(&self.own.heartbeats);
        targets
    }

    /// Returns the addresses that a heartbeat carries: hubs before others,
    /// so that who has just come finds its own.
    pub fn known(&self, now: Millis) -> Vec<SocketAddr> {
        let hubs = self.standing.all_hubs();
        let live = self.live(now).map(|peer| peer.address);
        hubs.chain(live).take(MOST_KNOWN).collect()
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

    /// Returns where the other hubs of this one's group take heartbeats.
    pub fn other_own_hubs(&self) -> BTreeSet<SocketAddr> {
        let hubs = self.standing.own_hubs().iter().copied();
        hubs.filter(|hub| *hub != self.own.heartbeats).collect()
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

    /// Returns this gateway's part in watching the platform's store.
    ///
    /// Those watch it that are the greatest by rank and that the store does
    /// not turn away. Whoever it turns away goes on looking, but where hubs
    /// tell of it only as many do as are needed.
    pub fn observing(&self, own: StoreSight) -> Observing {
        let own_rank = self.own.rank.for_duty(Duty::Observe);
        let greater = |(_, member): &(SocketAddr, &Member)| {
            member.rank.for_duty(Duty::Observe) > own_rank
        };
        let others = self.standing.serving_others().filter(greater);
        let place = others.clone().count();
        let fails = |(_, member): &(SocketAddr, &Member)| {
            member.store == StoreSight::Fails
        };
        let failing = others.filter(fails).count();
        let is_far_down = self.has_hubs() && place >= MOST_LOOKING;
        match place - failing {
            _ if is_far_down => Observing::Nothing,
            _ if own == StoreSight::Fails => Observing::Foremost,
            0 => Observing::Foremost,
            place if place < OBSERVERS => Observing::Reserve,
            place if place < CONFIGURATION_WATCHERS => {
                Observing::Configuration
            }
            _ if self.has_hubs() => Observing::Nothing,
            _ => Observing::Configuration,
        }
    }

    /// Tells whether enough others look after the store while it does not
    /// answer this one: some that hear it, or the greatest by rank.
    pub fn others_look(&self) -> bool {
        self.hears_store() || self.place(Duty::Observe) >= OBSERVERS
    }

    /// Tells whether some other gateway that serves hears the store.
    pub fn hears_store(&self) -> bool {
        let mut others = self.standing.serving_others();
        others.any(|(_, member)| member.store == StoreSight::Answers)
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

    /// Returns where some other gateway of this data centre that serves can
    /// be read, if hubs tell of one.
    pub fn near_state(&self) -> Option<SocketAddr> {
        let own = &self.own.data_centre;
        let others = self.standing.serving_others();
        let near = others.filter(|(_, member)| member.data_centre == *own);
        let (address, _) = near.choose(&mut rand::rng())?;
        Some(SocketAddr::new(address.ip(), self.own.state.port()))
    }

    /// Returns where a newer configuration can be read.
    pub fn with_newer_catalog(
        &self,
        version: u64,
        now: Millis,
    ) -> Option<SocketAddr> {
        let direct = self.newest(now, |peer| peer.heartbeat.catalog);
        newer_than(version, direct.into_iter().chain(self.hub_catalogs(now)))
    }

    /// Returns where a newer list of upstreams can be read.
    pub fn with_newer_listing(
        &self,
        version: u64,
        now: Millis,
    ) -> Option<SocketAddr> {
        let direct = self.newest(now, |peer| peer.heartbeat.listing);
        newer_than(version, direct.into_iter().chain(self.hub_listings(now)))
    }

    fn newest(
        &self,
        now: Millis,
        version: impl Fn(&Peer) -> u64,
    ) -> Option<Newest> {
        let peer = self.live(now).max_by_key(|peer| version(peer))?;
        let state = peer.heartbeat.state;
        Some(Newest { version: version(peer), state })
    }

    /// Returns this gateway's place among all for a duty, from 0.
    pub fn place(&self, duty: Duty) -> usize {
        let own = self.own.rank.for_duty(duty);
        let all = self.standing.staying();
        all.filter(|member| member.rank.for_duty(duty) > own).count()
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

fn newer_than(
    version: u64,
    all: impl Iterator<Item = Newest>,
) -> Option<SocketAddr> {
    let newest = all.max_by_key(|one| one.version)?;
    (newest.version > version).then_some(newest.state)
}
