//! Whom this gateway sends what.

use std::{collections::BTreeSet, net::SocketAddr};

use rand::seq::IteratorRandom;
use valehold_core::Millis;

use super::{Roster, standing::Member};

/// How many gateways' addresses a heartbeat carries at the most.
const MOST_KNOWN: usize = 16;

/// How many gateways are sent heartbeats at once at the most where no hubs
/// are known: what a gateway that has just started, or lost its hubs, needs
/// to find the others within a few beats.
const MOST_DIRECT: usize = 24;

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

/// Where a message for all gateways goes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Spread {
    /// Gateways that it is sent to.
    pub direct: BTreeSet<SocketAddr>,
    /// Hubs that pass it on to their groups.
    pub hubs: BTreeSet<SocketAddr>,
}

impl Roster {
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

    /// Returns every gateway that does not leave, this one among them.
    pub fn staying(&self) -> Vec<SocketAddr> {
        self.members(Member::stays)
    }

    /// Returns every gateway that leaves.
    pub fn leaving(&self) -> Vec<SocketAddr> {
        self.members(|member| !member.stays())
    }

    fn members(&self, which: impl Fn(&Member) -> bool) -> Vec<SocketAddr> {
        let all = self.standing.all();
        let found = all.filter(|(_, member)| which(member));
        found.map(|(address, _)| address).collect()
    }

    /// Returns where the other hubs of this one's group take heartbeats.
    pub fn other_own_hubs(&self) -> BTreeSet<SocketAddr> {
        let hubs = self.standing.own_hubs().iter().copied();
        hubs.filter(|hub| *hub != self.own.heartbeats).collect()
    }
}
