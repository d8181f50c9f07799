//! Whom this gateway sends what.

use std::{collections::BTreeSet, net::SocketAddr};

use rand::seq::IteratorRandom;
use valehold_core::Millis;

use super::{Roster, hierarchy::Member};

/// How many gateways' addresses a heartbeat carries at the most.
const MAX_ADVERTISED_ADDRESSES: usize = 16;

/// How many gateways are sent heartbeats at once at the most where no hubs
/// are known: what a gateway that has just started, or lost its hubs, needs
/// to find the others within a few beats.
const MAX_DIRECT_TARGETS: usize = 24;

/// How often seeds are sent heartbeats once others are known, in beats.
const SEED_INTERVAL: u64 = 8;

/// The same for a gateway that has just started. Gateways that start at the
/// same time find one another in groups, which meet at the seeds.
const STARTUP_SEED_INTERVAL: u64 = 2;

/// For how many beats a gateway has just started.
const STARTUP_ROUNDS: u64 = 24;

/// How many gateways that were named and are not met are sent a heartbeat
/// with each beat.
const CONTACTED_PER_ROUND: usize = 4;

/// Where a message for all gateways goes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BroadcastTargets {
    /// Gateways that it is sent to.
    pub direct: BTreeSet<SocketAddr>,
    /// Hubs that pass it on to their groups.
    pub hubs: BTreeSet<SocketAddr>,
}

impl Roster {
    /// Returns where this beat's heartbeat goes.
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

    /// Returns seeds and all that were named, or some where those are many:
    /// where a heartbeat goes while no hubs are known.
    pub fn direct_targets(&self) -> BTreeSet<SocketAddr> {
        let known_addresses = self.known_addresses.keys().copied();
        let some = known_addresses
            .choose_multiple(&mut rand::rng(), MAX_DIRECT_TARGETS);
        some.into_iter().chain(self.seeds.iter().copied()).collect()
    }

    /// Returns where a message for all gateways goes.
    pub fn broadcast_targets(&self) -> BroadcastTargets {
        let own = self.own.heartbeats;
        let mut spread = match self.hierarchy.has_many_groups() {
            false => BroadcastTargets {
                direct: self.hierarchy.addresses().collect(),
                hubs: BTreeSet::new(),
            },
            true => BroadcastTargets {
                direct: self.relay_targets(),
                hubs: self.hierarchy.all_hubs().collect(),
            },
        };
        spread.direct.remove(&own);
        spread.hubs.remove(&own);
        spread
    }

    /// Returns the gateways of this one's group to which it passes on, as a
    /// hub, what is for all; none if it is no hub.
    pub fn relay_targets(&self) -> BTreeSet<SocketAddr> {
        match self.is_hub() {
            true => self.hierarchy.group_without_hubs().collect(),
            false => BTreeSet::new(),
        }
    }

    /// Returns the gateways to which this one's summaries go, if it is a hub.
    pub fn summary_targets(&self) -> BTreeSet<SocketAddr> {
        let mut targets: BTreeSet<SocketAddr> =
            self.hierarchy.group().collect();
        targets.remove(&self.own.heartbeats);
        targets
    }

    /// Returns the addresses that a heartbeat carries: hubs before others,
    /// so that who has just come finds its own.
    pub fn advertised_addresses(&self, now: Millis) -> Vec<SocketAddr> {
        let hubs = self.hierarchy.all_hubs();
        let live = self.live_peers(now).map(|peer| peer.address);
        hubs.chain(live).take(MAX_ADVERTISED_ADDRESSES).collect()
    }

    /// Returns every gateway that does not leave, this one among them.
    pub fn staying(&self) -> Vec<SocketAddr> {
        self.members(Member::stays)
    }

    /// Returns every gateway that leaves.
    pub fn leaving(&self) -> Vec<SocketAddr> {
        self.members(|member| !member.stays())
    }

    fn members(&self, which: impl Fn(&Member) -> bool) -> Vec<SocketAddr> {
        let all = self.hierarchy.all();
        let found = all.filter(|(_, member)| which(member));
        found.map(|(address, _)| address).collect()
    }

    /// Returns where the other hubs of this one's group take heartbeats.
    pub fn other_local_hubs(&self) -> BTreeSet<SocketAddr> {
        let hubs = self.hierarchy.local_hubs().iter().copied();
        hubs.filter(|hub| *hub != self.own.heartbeats).collect()
    }
}
