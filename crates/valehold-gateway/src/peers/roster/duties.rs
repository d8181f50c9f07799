//! What this gateway does for all: watching the store, holding the lease.

use std::net::SocketAddr;

use super::{Roster, standing::Member};
use crate::peers::message::{Duty, StoreSight};

/// How many gateways watch the platform's list for all.
const OBSERVERS: usize = 3;

/// How many gateways watch the configuration where hubs pass it on. A store
/// may turn away a third of all gateways and serve the operator: that it is
/// all of these then has a chance below one in 300,000.
const CONFIGURATION_WATCHERS: usize = 12;

/// How many gateways look for a store that answers nobody, where hubs tell of
/// it: each call costs, refused ones too.
const MOST_LOOKING: usize = 24;

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

impl Roster {
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

    /// Returns this gateway's place among all for a duty, from 0.
    pub fn place(&self, duty: Duty) -> usize {
        let own = self.own.rank.for_duty(duty);
        let all = self.standing.staying();
        all.filter(|member| member.rank.for_duty(duty) > own).count()
    }
}
