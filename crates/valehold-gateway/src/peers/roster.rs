//! The gateways that this one has heard of.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use valehold_core::{
    Millis,
    fleet::Variant,
    id::{InstanceId, UpstreamId},
};

use super::message::{Heartbeat, LeaseWord};
use crate::view::{Life, Load, ReadyMember};

/// For how long a silent gateway is still sent heartbeats, in ms.
const FORGET_AFTER_MS: u64 = 60_000;

/// How many gateways' addresses a heartbeat carries at the most.
const MOST_KNOWN: usize = 64;

#[derive(Debug, Clone)]
struct Peer {
    address: SocketAddr,
    heartbeat: Heartbeat,
    heard: Millis,
}

/// The gateways that this one has heard of.
#[derive(Debug)]
pub struct Roster {
    own: SocketAddr,
    silent_ms: u64,
    peers: BTreeMap<InstanceId, Peer>,
    /// Addresses that were named, and when last.
    named: BTreeMap<SocketAddr, Millis>,
    seeds: BTreeSet<SocketAddr>,
}

impl Roster {
    /// Makes the roster of a gateway that has heard of nobody.
    pub fn new(
        own: SocketAddr,
        silent_ms: u64,
        seeds: impl IntoIterator<Item = SocketAddr>,
    ) -> Self {
        Self {
            own,
            silent_ms,
            peers: BTreeMap::new(),
            named: BTreeMap::new(),
            seeds: seeds.into_iter().filter(|seed| *seed != own).collect(),
        }
    }

    /// Takes other seeds.
    pub fn set_seeds(&mut self, seeds: impl IntoIterator<Item = SocketAddr>) {
        let own = self.own;
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
            if *address != self.own {
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

    /// Lets time pass.
    pub fn tick(&mut self, now: Millis) {
        let young = |heard: Millis| now.since(heard) < FORGET_AFTER_MS;
        self.peers.retain(|_, peer| young(peer.heard));
        self.named.retain(|_, heard| young(*heard));
    }

    /// Returns where heartbeats go.
    pub fn targets(&self) -> BTreeSet<SocketAddr> {
        let named = self.named.keys().copied();
        named.chain(self.seeds.iter().copied()).collect()
    }

    /// Returns the addresses that a heartbeat carries.
    pub fn known(&self, now: Millis) -> Vec<SocketAddr> {
        let live = self.live(now).map(|peer| peer.address);
        live.take(MOST_KNOWN).collect()
    }

    /// Returns the gateways that callers may be sent to, but for this one.
    pub fn ready(&self, now: Millis) -> Vec<ReadyMember> {
        self.live(now)
            .filter(|peer| peer.heartbeat.life == Life::Serving)
            .map(|peer| ReadyMember {
                requests: peer.heartbeat.requests,
                data_centre: peer.heartbeat.data_centre.clone(),
            })
            .collect()
    }

    /// Returns what the others have under way at each upstream.
    pub fn loads(&self, now: Millis) -> BTreeMap<UpstreamId, Load> {
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
        sum: &mut BTreeMap<Variant, super::message::VariantDemand>,
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
        let epoch = |peer: &&Peer| match peer.heartbeat.lease {
            Some(LeaseWord::Holds { epoch, .. }) => Some(epoch),
            _ => None,
        };
        let holders = self.live(now).filter(|peer| epoch(peer).is_some());
        holders.max_by_key(epoch).map(|peer| peer.address)
    }

    /// Tells whether some gateway that serves hears the store.
    pub fn hears_store(&self, now: Millis) -> bool {
        let serving = |peer: &&Peer| peer.heartbeat.life == Life::Serving;
        let mut serving = self.live(now).filter(serving);
        serving.any(|peer| !peer.heartbeat.store_fails)
    }

    /// Returns a live peer whose configuration is newer, the newest first.
    pub fn with_newer_catalog(
        &self,
        version: u64,
        now: Millis,
    ) -> Option<SocketAddr> {
        let newest =
            self.live(now).max_by_key(|peer| peer.heartbeat.catalog)?;
        let newer = newest.heartbeat.catalog > version;
        newer.then_some(newest.heartbeat.state)
    }

    /// Returns a live peer whose list of upstreams is newer.
    pub fn with_newer_listing(
        &self,
        version: u64,
        now: Millis,
    ) -> Option<SocketAddr> {
        let newest =
            self.live(now).max_by_key(|peer| peer.heartbeat.listing)?;
        let newer = newest.heartbeat.listing > version;
        newer.then_some(newest.heartbeat.state)
    }

    /// Returns this gateway's place among those that serve, from 0.
    pub fn place_of(&self, own: &InstanceId, now: Millis) -> usize {
        self.live(now)
            .filter(|peer| peer.heartbeat.life == Life::Serving)
            .filter(|peer| peer.heartbeat.instance < *own)
            .count()
    }

    fn live(&self, now: Millis) -> impl Iterator<Item = &Peer> {
        let silent_ms = self.silent_ms;
        self.peers
            .values()
            .filter(move |peer| now.since(peer.heard) < silent_ms)
    }
}
