//! The gateways that this one has heard of.
//!
//! Where there are few, each hears every other. Where there are many, each
//! tells a few hubs, the greatest by rank, and every hub sends a summary of
//! what it hears to all.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use valehold_core::{
    Millis,
    fleet::Variant,
    id::{InstanceId, UpstreamId},
};

use super::message::{
    Heartbeat, LeaseRumour, LeaseWord, LoadReport, MemberWord, Newest, Rank,
    Summary, UpstreamLoad, VariantDemand,
};
use crate::view::{Life, Load, ReadyMember};

/// For how long a silent gateway is still sent heartbeats, in ms.
const FORGET_AFTER_MS: u64 = 60_000;

/// How many gateways' addresses a heartbeat carries at the most.
const MOST_KNOWN: usize = 16;

/// Up to how many gateways each hears every other.
const MOST_WITHOUT_HUBS: usize = 14;

/// How many hubs there are, where there are any.
const HUBS: usize = 3;

/// How many gateways watch the platform's list for all.
const OBSERVERS: usize = 3;

/// How often seeds are sent heartbeats once others are known, in beats.
const SEEDS_EVERY: u64 = 8;

#[derive(Debug, Clone)]
struct Peer {
    address: SocketAddr,
    heartbeat: Heartbeat,
    heard: Millis,
}

#[derive(Debug, Clone)]
struct HeardSummary {
    summary: Summary,
    heard: Millis,
}

/// What all gateways have under way, as a hub said.
#[derive(Debug, Clone)]
struct HeardLoads {
    loads: Vec<UpstreamLoad>,
    heard: Millis,
}

/// A gateway's part in watching the platform's list for all.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Observing {
    /// It hears of the list from others.
    Nothing,
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
    summaries: BTreeMap<SocketAddr, HeardSummary>,
    /// The newest word of all loads, from a summary or between summaries.
    load_sums: Option<HeardLoads>,
    /// Addresses that were named, and when last.
    named: BTreeMap<SocketAddr, Millis>,
    seeds: BTreeSet<SocketAddr>,
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
            own,
            silent_ms,
            peers: BTreeMap::new(),
            summaries: BTreeMap::new(),
            load_sums: None,
            named: BTreeMap::new(),
            seeds: BTreeSet::new(),
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
        let silent_ms = self.silent_ms;
        let is_new = known.is_none_or(|peer| {
            peer.heartbeat.start != heartbeat.start
                || now.since(peer.heard) >= silent_ms
        });
        let peer = Peer { address: from, heartbeat, heard: now };
        self.peers.insert(id, peer);
        is_new
    }

    /// Takes in a hub's summary.
    pub fn summed_up(
        &mut self,
        from: SocketAddr,
        summary: Summary,
        now: Millis,
    ) {
        for member in &summary.members {
            if member.heartbeats != self.own.heartbeats {
                self.named.insert(member.heartbeats, now);
            }
        }
        self.load_sums_heard(summary.loads.clone(), now);
        self.summaries.insert(from, HeardSummary { summary, heard: now });
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
    pub fn load_sums_heard(&mut self, loads: Vec<UpstreamLoad>, now: Millis) {
        self.load_sums = Some(HeardLoads { loads, heard: now });
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: Millis) {
        let young = |heard: Millis| now.since(heard) < FORGET_AFTER_MS;
        self.peers.retain(|_, peer| young(peer.heard));
        self.named.retain(|_, heard| young(*heard));
        self.summaries.retain(|_, one| young(one.heard));
    }

    /// Returns where this beat's heartbeat goes.
    pub fn heartbeat_targets(&mut self, now: Millis) -> BTreeSet<SocketAddr> {
        self.beats += 1;
        let mut targets = self.hubs(now);
        if targets.is_empty() {
            return self.targets();
        }
        targets.extend(self.holder(now));
        if self.beats.is_multiple_of(SEEDS_EVERY) {
            targets.extend(&self.seeds);
        }
        targets.remove(&self.own.heartbeats);
        targets
    }

    /// Returns every address at which a gateway may be.
    pub fn targets(&self) -> BTreeSet<SocketAddr> {
        let named = self.named.keys().copied();
        named.chain(self.seeds.iter().copied()).collect()
    }

    /// Returns every gateway that is heard of as there now.
    pub fn live_targets(&self, now: Millis) -> BTreeSet<SocketAddr> {
        let mut targets: BTreeSet<SocketAddr> =
            self.live(now).map(|peer| peer.address).collect();
        targets.extend(self.words(now).map(|word| word.heartbeats));
        targets.remove(&self.own.heartbeats);
        targets
    }

    /// Returns the addresses that a heartbeat carries.
    pub fn known(&self, now: Millis) -> Vec<SocketAddr> {
        let live = self.live(now).map(|peer| peer.address);
        live.take(MOST_KNOWN).collect()
    }

    /// Tells whether there are so many gateways that hubs sum up.
    pub fn has_hubs(&self, now: Millis) -> bool {
        !self.hubs(now).is_empty()
    }

    /// Returns where the other hubs take heartbeats.
    pub fn other_hubs(&self, now: Millis) -> BTreeSet<SocketAddr> {
        let mut hubs = self.hubs(now);
        hubs.remove(&self.own.heartbeats);
        hubs
    }

    /// Tells whether this gateway is the greatest of the hubs.
    pub fn is_foremost_hub(&self, now: Millis) -> bool {
        self.is_hub(now) && self.place(now) == 0
    }

    /// Tells whether this gateway sums up for the others.
    pub fn is_hub(&self, now: Millis) -> bool {
        self.hubs(now).contains(&self.own.heartbeats)
    }

    /// Returns where hubs take heartbeats: nowhere, where gateways are few.
    fn hubs(&self, now: Millis) -> BTreeSet<SocketAddr> {
        let ranked = self.ranked(now);
        if ranked.len() <= MOST_WITHOUT_HUBS {
            return BTreeSet::new();
        }
        ranked.into_iter().rev().take(HUBS).map(|(_, at)| at).collect()
    }

    /// Returns all that are heard of, this one among them, the greatest last.
    fn ranked(&self, now: Millis) -> BTreeSet<(Rank, SocketAddr)> {
        let mut all: BTreeSet<(Rank, SocketAddr)> = self
            .live(now)
            .filter(|peer| peer.heartbeat.life != Life::Leaving)
            .map(|peer| (peer.heartbeat.rank, peer.address))
            .collect();
        let words = self.words(now);
        all.extend(words.map(|word| (word.rank, word.heartbeats)));
        all.insert((self.own.rank, self.own.heartbeats));
        all
    }

    /// Returns the members of the newest summary.
    fn words(&self, now: Millis) -> impl Iterator<Item = &MemberWord> {
        let newest = self.newest_summary(now);
        newest.into_iter().flat_map(|summary| &summary.members)
    }

    fn newest_summary(&self, now: Millis) -> Option<&Summary> {
        let live = self.live_summaries(now);
        let newest = live.max_by_key(|one| (one.heard, one.summary.hub));
        newest.map(|one| &one.summary)
    }

    fn live_summaries(
        &self,
        now: Millis,
    ) -> impl Iterator<Item = &HeardSummary> {
        let silent_ms = self.silent_ms;
        self.summaries
            .values()
            .filter(move |one| now.since(one.heard) < silent_ms)
    }

    /// Returns this gateway's part in watching the platform's list.
    ///
    /// Those watch it that hear the store themselves and are the greatest by
    /// rank, and whoever the store does not answer.
    pub fn observing(&self, own_store_fails: bool, now: Millis) -> Observing {
        if own_store_fails {
            return Observing::Foremost;
        }
        let hearing = self.hearing_store(now);
        let greater = hearing.filter(|rank| *rank > self.own.rank);
        match greater.collect::<BTreeSet<Rank>>().len() {
            0 => Observing::Foremost,
            place if place < OBSERVERS => Observing::Reserve,
            _ => Observing::Nothing,
        }
    }

    /// Tells whether enough others look after the store while it does not
    /// answer this one: some that hear it, or the greatest by rank.
    pub fn others_look(&self, now: Millis) -> bool {
        self.hears_store(now) || self.place(now) >= OBSERVERS
    }

    /// Returns the others that serve and hear the store, some of them twice.
    fn hearing_store(&self, now: Millis) -> impl Iterator<Item = Rank> {
        let direct = self.live(now).filter(|peer| {
            let heartbeat = &peer.heartbeat;
            heartbeat.life == Life::Serving && !heartbeat.store_fails
        });
        let summed =
            self.words(now).filter(|word| word.serves && word.hears_store);
        let direct = direct.map(|peer| peer.heartbeat.rank);
        let all = direct.chain(summed.map(|word| word.rank));
        all.filter(|rank| *rank != self.own.rank)
    }

    /// Returns the gateways that callers may be sent to, but for this one.
    pub fn ready(&self, now: Millis) -> Vec<ReadyMember> {
        let direct = self
            .live(now)
            .filter(|peer| peer.heartbeat.life == Life::Serving)
            .map(|peer| ReadyMember {
                requests: peer.heartbeat.requests,
                data_centre: peer.heartbeat.data_centre.clone(),
            });
        let mut ready: Vec<ReadyMember> = direct.collect();
        let heard: BTreeSet<SocketAddr> =
            self.live(now).map(|peer| peer.address).collect();
        let Some(summary) = self.newest_summary(now) else { return ready };
        let summed = summary.members.iter().filter(|word| {
            word.serves
                && word.heartbeats != self.own.heartbeats
                && !heard.contains(&word.heartbeats)
        });
        ready.extend(summed.filter_map(|word| {
            let place = usize::from(word.data_centre);
            let data_centre = summary.data_centres.get(place)?.clone();
            Some(ReadyMember { requests: word.requests, data_centre })
        }));
        ready
    }

    /// Returns what the others have under way at each upstream.
    ///
    /// `told` is what this gateway said last that it has, which hubs add to
    /// their sums.
    pub fn loads(
        &self,
        told: &BTreeMap<UpstreamId, Load>,
        now: Millis,
    ) -> BTreeMap<UpstreamId, Load> {
        let silent_ms = self.silent_ms;
        let sums = self.load_sums.as_ref().filter(|sums| {
            now.since(sums.heard) < silent_ms && !self.is_hub(now)
        });
        let Some(sums) = sums else { return self.direct_loads(now) };
        let others = sums.loads.iter().map(|one| {
            let told = told.get(&one.upstream).copied().unwrap_or_default();
            (one.upstream.clone(), one.load.minus(told))
        });
        others.collect()
    }

    /// Returns what all gateways have under way, `own` being what this one
    /// has.
    pub fn sum_loads(
        &self,
        own: &[UpstreamLoad],
        now: Millis,
    ) -> Vec<UpstreamLoad> {
        let mut loads = self.direct_loads(now);
        for one in own {
            let load = loads.entry(one.upstream.clone()).or_default();
            *load = load.plus(one.load);
        }
        let as_load = |(upstream, load)| UpstreamLoad { upstream, load };
        loads.into_iter().map(as_load).collect()
    }

    fn direct_loads(&self, now: Millis) -> BTreeMap<UpstreamId, Load> {
        let mut sum: BTreeMap<UpstreamId, Load> = BTreeMap::new();
        let live = self.live(now).flat_map(|peer| &peer.heartbeat.loads);
        for one in live {
            let load = sum.entry(one.upstream.clone()).or_default();
            *load = load.plus(one.load);
        }
        sum
    }

    /// Adds the demand that came to the others to this one's.
    pub fn add_demand(
        &self,
        sum: &mut BTreeMap<Variant, VariantDemand>,
        now: Millis,
    ) {
        let live = self.live(now).flat_map(|peer| &peer.heartbeat.demand);
        for one in live {
            sum.entry(one.variant.clone())
                .and_modify(|all| {
                    all.requests += one.requests;
                    all.busy += one.busy;
                    all.running += one.running;
                })
                .or_insert_with(|| one.clone());
        }
    }

    /// Returns where the holder of the lease takes wishes, if there is one.
    pub fn holder(&self, now: Millis) -> Option<SocketAddr> {
        let rumours = self.rumours(now);
        let held = rumours.into_iter().filter_map(|one| match one.word {
            LeaseWord::Holds { epoch, .. } => Some((epoch, one.from)),
            LeaseWord::GaveUp { .. } => None,
        });
        held.max().map(|(_, holder)| holder)
    }

    /// Returns what is said of the lease, directly or in a summary.
    pub fn rumours(&self, now: Millis) -> Vec<LeaseRumour> {
        let direct = self.live(now).filter_map(|peer| {
            Some(LeaseRumour {
                from: peer.address,
                word: peer.heartbeat.lease?,
                age_ms: now.since(peer.heard),
            })
        });
        let mut all: Vec<LeaseRumour> = direct.collect();
        let silent_ms = self.silent_ms;
        for one in self.live_summaries(now) {
            let since = now.since(one.heard);
            let later = one.summary.lease.iter().map(|rumour| LeaseRumour {
                age_ms: rumour.age_ms + since,
                ..*rumour
            });
            all.extend(later.filter(|rumour| {
                rumour.age_ms < silent_ms && rumour.from != self.own.heartbeats
            }));
        }
        all
    }

    /// Tells whether some gateway that serves hears the store.
    pub fn hears_store(&self, now: Millis) -> bool {
        self.hearing_store(now).next().is_some()
    }

    /// Returns where a newer configuration can be read.
    pub fn with_newer_catalog(
        &self,
        version: u64,
        now: Millis,
    ) -> Option<SocketAddr> {
        let newest = self.newest(now, |peer| peer.heartbeat.catalog);
        let summed = self.live_summaries(now).map(|one| one.summary.catalog);
        newer_than(version, newest.into_iter().chain(summed))
    }

    /// Returns where a newer list of upstreams can be read.
    pub fn with_newer_listing(
        &self,
        version: u64,
        now: Millis,
    ) -> Option<SocketAddr> {
        let newest = self.newest(now, |peer| peer.heartbeat.listing);
        let summed = self.live_summaries(now).map(|one| one.summary.listing);
        newer_than(version, newest.into_iter().chain(summed))
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

    /// Returns this gateway's place among all by rank, from 0.
    pub fn place(&self, now: Millis) -> usize {
        let ranked = self.ranked(now);
        ranked.iter().filter(|(rank, _)| *rank > self.own.rank).count()
    }

    /// Makes a hub's summary; `own` is this gateway's own heartbeat.
    pub fn sum_up(&self, own: &Heartbeat, now: Millis) -> Summary {
        let mut data_centres = Vec::new();
        let mut members = Vec::new();
        let all = self
            .live(now)
            .map(|peer| (peer.address, &peer.heartbeat))
            .chain([(self.own.heartbeats, own)]);
        for (heartbeats, heartbeat) in all {
            members.push(MemberWord {
                rank: heartbeat.rank,
                heartbeats,
                requests: heartbeat.requests,
                data_centre: place_in(
                    &mut data_centres,
                    &heartbeat.data_centre,
                ),
                serves: heartbeat.life == Life::Serving,
                hears_store: !heartbeat.store_fails,
            });
        }
        let newest = |own_version, version: fn(&Peer) -> u64| {
            let own = Newest { version: own_version, state: own.state };
            let other = self.newest(now, version);
            other.filter(|o| o.version > own_version).unwrap_or(own)
        };
        let own_word = own.lease.map(|word| LeaseRumour {
            from: self.own.heartbeats,
            word,
            age_ms: 0,
        });
        let lease = self.rumours(now).into_iter().chain(own_word).collect();
        Summary {
            hub: self.own.rank,
            data_centres,
            members,
            loads: self.sum_loads(&own.loads, now),
            lease,
            catalog: newest(own.catalog, |peer| peer.heartbeat.catalog),
            listing: newest(own.listing, |peer| peer.heartbeat.listing),
        }
    }

    fn live(&self, now: Millis) -> impl Iterator<Item = &Peer> {
        let silent_ms = self.silent_ms;
        self.peers
            .values()
            .filter(move |peer| now.since(peer.heard) < silent_ms)
    }
}

fn newer_than(
    version: u64,
    all: impl Iterator<Item = Newest>,
) -> Option<SocketAddr> {
    let newest = all.max_by_key(|one| one.version)?;
    (newest.version > version).then_some(newest.state)
}

/// Returns the place of a data centre in a list, adding it if it is new.
fn place_in(
    all: &mut Vec<valehold_core::id::DataCentreId>,
    one: &valehold_core::id::DataCentreId,
) -> u8 {
    let place = all.iter().position(|known| known == one);
    let place = place.unwrap_or_else(|| {
        all.push(one.clone());
        all.len() - 1
    });
    u8::try_from(place).unwrap_or(u8::MAX)
}
