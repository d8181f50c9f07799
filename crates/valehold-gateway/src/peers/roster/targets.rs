//! The recipients of each kind of message that this gateway sends.

use std::{collections::BTreeSet, net::SocketAddr};

use rand::seq::IteratorRandom;
use valehold_core::Millis;

use super::{Roster, hierarchy::Member};

/// The largest number of addresses in one heartbeat.
const MAX_ADVERTISED_ADDRESSES: usize = 16;

/// The largest number of known gateways that receive a heartbeat in one round
/// while no hubs are known. This suffices for a gateway that has just started,
/// or lost its hubs, to find the others within a few rounds.
const MAX_DIRECT_TARGETS: usize = 24;

/// The interval at which seeds receive heartbeats once hubs are known, in
/// heartbeat rounds.
const SEED_INTERVAL: u64 = 8;

/// The interval at which a gateway that has just started sends heartbeats to
/// seeds, in heartbeat rounds. Gateways that start at the same time form
/// separate groups, which find each other at the seeds.
const STARTUP_SEED_INTERVAL: u64 = 2;

/// The round at which a gateway no longer counts as just started.
const STARTUP_ROUNDS: u64 = 24;

/// The number of uncontacted addresses that receive a heartbeat in each round.
const CONTACTED_PER_ROUND: usize = 4;

/// The recipients of a message to all gateways.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BroadcastTargets {
    /// Gateways that receive the message directly.
    pub direct: BTreeSet<SocketAddr>,
    /// Hubs that relay the message to their groups.
    pub hubs: BTreeSet<SocketAddr>,
}

impl Roster {
    /// Starts a heartbeat round and returns the recipients of its heartbeat.
    pub fn heartbeat_targets(&mut self, now: Millis) -> BTreeSet<SocketAddr> {
        self.heartbeat_rounds += 1;
        let hubs = self.hierarchy.local_hubs();
        if hubs.is_empty() {
            return self.direct_targets();
        }
        let mut targets: BTreeSet<SocketAddr> = hubs.iter().copied().collect();
        if !self.hierarchy.has_many_groups() {
            targets.extend(self.lease_holder(now));
        }
        let seed_interval = match self.heartbeat_rounds {
            ..STARTUP_ROUNDS => STARTUP_SEED_INTERVAL,
            _ => SEED_INTERVAL,
        };
        if self.heartbeat_rounds.is_multiple_of(seed_interval) {
            targets.extend(&self.seeds);
        }
        self.uncontacted.retain(|address| !self.hierarchy.contains(address));
        for _ in 0..CONTACTED_PER_ROUND {
            targets.extend(self.uncontacted.pop_first());
        }
        targets.remove(&self.own.heartbeats);
        targets
    }

    /// Returns the recipients of heartbeats while no hubs are known: the
    /// seeds, and the known addresses or a random choice of these where there
    /// are many.
    pub fn direct_targets(&self) -> BTreeSet<SocketAddr> {
        let known_addresses = self.known_addresses.keys().copied();
        let chosen = known_addresses
            .choose_multiple(&mut rand::rng(), MAX_DIRECT_TARGETS);
        chosen.into_iter().chain(self.seeds.iter().copied()).collect()
    }

    /// Returns the recipients of a message to all gateways.
    pub fn broadcast_targets(&self) -> BroadcastTargets {
        let own = self.own.heartbeats;
        let mut targets = match self.hierarchy.has_many_groups() {
            false => BroadcastTargets {
                direct: self.hierarchy.addresses().collect(),
                hubs: BTreeSet::new(),
            },
            true => BroadcastTargets {
                direct: self.relay_targets(),
                hubs: self.hierarchy.all_hubs().collect(),
            },
        };
        targets.direct.remove(&own);
        targets.hubs.remove(&own);
        targets
    }

    /// Returns the gateways to which this gateway, as a hub, relays messages
    /// to all gateways. Returns none if this gateway is not a hub.
    pub fn relay_targets(&self) -> BTreeSet<SocketAddr> {
        match self.is_hub() {
            true => self.hierarchy.group_without_hubs().collect(),
            false => BTreeSet::new(),
        }
    }

    /// Returns the other gateways of this gateway's group, the recipients of
    /// its summaries if it is a hub.
    pub fn summary_targets(&self) -> BTreeSet<SocketAddr> {
        let mut targets: BTreeSet<SocketAddr> =
            self.hierarchy.group().collect();
        targets.remove(&self.own.heartbeats);
        targets
    }

    /// Returns the addresses to advertise in heartbeats: hubs first, so that a
    /// gateway that has just started finds its hubs.
    pub fn advertised_addresses(&self, now: Millis) -> Vec<SocketAddr> {
        let hubs = self.hierarchy.all_hubs();
        let live = self.live_peers(now).map(|peer| peer.address);
        hubs.chain(live).take(MAX_ADVERTISED_ADDRESSES).collect()
    }

    /// Returns every gateway that is not leaving, including this one.
    pub fn staying(&self) -> Vec<SocketAddr> {
        self.members(Member::stays)
    }

    /// Returns every other gateway that this one has known lately, also those
    /// that have been silent since.
    pub fn known_others(&self) -> Vec<SocketAddr> {
        let own = self.own.heartbeats;
        let known = self.known_addresses.keys().copied();
        known.filter(|address| *address != own).collect()
    }

    /// Returns whether another gateway that is not leaving is known.
    pub fn has_others(&self) -> bool {
        let own = self.own.heartbeats;
        let mut all = self.hierarchy.all();
        all.any(|(address, member)| address != own && member.stays())
    }

    /// Returns every gateway that is leaving.
    pub fn leaving(&self) -> Vec<SocketAddr> {
        self.members(|member| !member.stays())
    }

    fn members(&self, predicate: impl Fn(&Member) -> bool) -> Vec<SocketAddr> {
        let all = self.hierarchy.all();
        let found = all.filter(|(_, member)| predicate(member));
        found.map(|(address, _)| address).collect()
    }

    /// Returns the heartbeat addresses of the other hubs of this gateway's
    /// group.
    pub fn other_local_hubs(&self) -> BTreeSet<SocketAddr> {
        let hubs = self.hierarchy.local_hubs().iter().copied();
        hubs.filter(|hub| *hub != self.own.heartbeats).collect()
    }
}
