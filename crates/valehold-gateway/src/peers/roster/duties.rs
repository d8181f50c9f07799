//! What this gateway does for all: watching the store, holding the lease.

use std::net::SocketAddr;

use super::{Roster, hierarchy::Member};
use crate::peers::message::{Duty, StoreSight};

/// How many gateways watch the platform's list for all.
const STORE_OBSERVERS: usize = 3;

/// How many gateways watch the configuration where hubs pass it on. A store
/// may turn away a third of all gateways and serve the operator: that it is
/// all of these then has a chance below one in 300,000.
const CONFIGURATION_WATCHERS: usize = 12;

/// How many gateways look for a store that answers nobody, where hubs tell of
/// it: each call costs, refused ones too.
const MAX_PROBING_GATEWAYS: usize = 24;

/// A gateway's part in watching the platform's store for all.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ObserverRole {
    /// It hears of everything from others.
    Inactive,
    /// It watches the configuration, and hears of upstreams from others.
    ConfigurationOnly,
    /// It watches in case that the foremost observer misses something.
    Standby,
    /// Its word is the one that others hear first.
    Primary,
}

impl Roster {
    /// Returns this gateway's part in watching the platform's store.
    ///
    /// Those watch it that are the greatest by rank and that the store does
    /// not turn away. Whoever it turns away goes on looking, but where hubs
    /// tell of it only as many do as are needed.
    pub fn observer_role(&self, own: StoreSight) -> ObserverRole {
        let own_rank = self.own.rank.for_duty(Duty::Observe);
        let greater = |(_, member): &(SocketAddr, &Member)| {
            member.rank.for_duty(Duty::Observe) > own_rank
        };
        let others = self.hierarchy.serving_others().filter(greater);
        let place = others.clone().count();
        let fails = |(_, member): &(SocketAddr, &Member)| {
            member.store == StoreSight::Fails
        };
        let failing = others.filter(fails).count();
        let is_far_down = self.has_hubs() && place >= MAX_PROBING_GATEWAYS;
        match place - failing {
            _ if is_far_down => ObserverRole::Inactive,
            _ if own == StoreSight::Fails => ObserverRole::Primary,
            0 => ObserverRole::Primary,
            place if place < STORE_OBSERVERS => ObserverRole::Standby,
            place if place < CONFIGURATION_WATCHERS => {
                ObserverRole::ConfigurationOnly
            }
            _ if self.has_hubs() => ObserverRole::Inactive,
            _ => ObserverRole::ConfigurationOnly,
        }
    }

    /// Tells whether enough others look after the store while it does not
    /// answer this one: some that hear it, or the greatest by rank.
    pub fn others_probe_store(&self) -> bool {
        self.others_reach_store()
            || self.duty_position(Duty::Observe) >= STORE_OBSERVERS
    }

    /// Tells whether some other gateway that serves hears the store.
    pub fn others_reach_store(&self) -> bool {
        let mut others = self.hierarchy.serving_others();
        others.any(|(_, member)| member.store == StoreSight::Answers)
    }

    /// Returns this gateway's place among all for a duty, from 0.
    pub fn duty_position(&self, duty: Duty) -> usize {
        let own = self.own.rank.for_duty(duty);
        let all = self.hierarchy.staying();
        all.filter(|member| member.rank.for_duty(duty) > own).count()
    }
}
