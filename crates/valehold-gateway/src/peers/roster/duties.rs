//! The duties of this gateway for the fleet: observing the store and holding
//! the lease.

use std::{cmp::Reverse, net::SocketAddr};

use valehold_core::fleet::freshness::{OBSERVERS, ObserverPlace};

use super::{Roster, hierarchy::Member};
use crate::peers::message::{Duty, Rank, StoreStatus};

/// The number of gateways that watch the configuration where hubs distribute
/// it. A store may reject a third of all gateways and still answer the
/// operator; the chance that it rejects all of these is below one in 300,000.
const CONFIGURATION_WATCHERS: usize = 12;

/// The largest number of gateways that keep probing a store that answers no
/// gateway, where there are hubs. Every call costs something, rejected calls
/// too.
const MAX_PROBING_GATEWAYS: usize = 24;

/// The role of a gateway in observing the platform's store for the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ObserverRole {
    /// The gateway does not observe; it receives all changes from peers.
    Inactive,
    /// The gateway watches the configuration, and receives changes of
    /// upstreams from peers.
    ConfigurationOnly,
    /// The gateway also observes, in case the primary observer misses
    /// something.
    Standby,
    /// The gateway is the observer whose reports reach the others first.
    Primary,
}

impl Roster {
    /// Returns the role of this gateway in observing the platform's store,
    /// given the status of the store at this gateway.
    ///
    /// The gateways of highest rank observe the store, except those that the
    /// store rejects. A rejected gateway keeps probing the store; where there
    /// are hubs, only the first `MAX_PROBING_GATEWAYS` gateways do so.
    pub fn observer_role(&self, own_status: StoreStatus) -> ObserverRole {
        match self.observer_place().position {
            _ if !self.may_observe() => ObserverRole::Inactive,
            _ if own_status == StoreStatus::Unreachable => {
                ObserverRole::Primary
            }
            0 => ObserverRole::Primary,
            position if position < OBSERVERS => ObserverRole::Standby,
            position if position < CONFIGURATION_WATCHERS => {
                ObserverRole::ConfigurationOnly
            }
            _ if self.has_hubs() => ObserverRole::Inactive,
            _ => ObserverRole::ConfigurationOnly,
        }
    }

    /// Returns the place of this gateway among those that can observe the
    /// store. Gateways that the store rejects have no place.
    pub fn observer_place(&self) -> ObserverPlace {
        let others = self.hierarchy.serving_others();
        let sound =
            others.filter(|(_, one)| one.store != StoreStatus::Unreachable);
        let position = sound.clone().filter(|one| self.is_before(one));
        ObserverPlace {
            position: position.count(),
            observers: OBSERVERS.min(1 + sound.count()),
        }
    }

    /// Returns the other gateways that observe the store, in the order of their
    /// ranks.
    pub fn observers(&self) -> Vec<SocketAddr> {
        let others = self.hierarchy.serving_others();
        let sound =
            others.filter(|(_, one)| one.store != StoreStatus::Unreachable);
        let ranked = sound
            .map(|(address, one)| (one.rank.for_duty(Duty::Observe), address));
        let mut ranked: Vec<(Rank, SocketAddr)> = ranked.collect();
        ranked.sort_unstable_by_key(|(rank, _)| Reverse(*rank));
        let first = ranked.into_iter().take(OBSERVERS);
        first.map(|(_, address)| address).collect()
    }

    /// Returns whether this gateway may call the store while others do not.
    pub fn may_observe(&self) -> bool {
        let others = self.hierarchy.serving_others();
        let before = others.filter(|one| self.is_before(one)).count();
        !self.has_hubs() || before < MAX_PROBING_GATEWAYS
    }

    /// Returns whether another gateway is to observe the store rather than
    /// this one.
    fn is_before(&self, (_, member): &(SocketAddr, &Member)) -> bool {
        let own_rank = self.own.rank.for_duty(Duty::Observe);
        member.rank.for_duty(Duty::Observe) > own_rank
    }

    /// Returns whether enough other gateways watch the store while it does not
    /// answer this one: another gateway reaches the store, or enough gateways
    /// of higher rank probe the store.
    pub fn others_probe_store(&self) -> bool {
        self.others_reach_store()
            || self.duty_position(Duty::Observe) >= OBSERVERS
    }

    /// Returns whether the store answers another serving gateway.
    pub fn others_reach_store(&self) -> bool {
        let mut others = self.hierarchy.serving_others();
        others.any(|(_, member)| member.store == StoreStatus::Reachable)
    }

    /// Returns the number of gateways with a higher rank than this one for a
    /// duty, so that 0 means the first position.
    pub fn duty_position(&self, duty: Duty) -> usize {
        let own = self.own.rank.for_duty(duty);
        let all = self.hierarchy.staying();
        all.filter(|member| member.rank.for_duty(duty) > own).count()
    }
}
