//! Telling what is under way at upstreams, more often than heartbeats do.
//!
//! Where gateways are few, each hears the loads of every other in its
//! heartbeats. Where hubs sum up, a gateway tells the hubs what it has under
//! way as soon as that changed, and the foremost hub tells all the sums.

use std::sync::Arc;

use valehold_core::Millis;

use super::Control;
use crate::{
    peers::{
        message::{GroupLoads, LoadReport, Message, UpstreamLoad},
        roster::sums::as_loads,
    },
    view::Load,
};

/// How often a gateway tells hubs what it has under way, and the foremost hub
/// tells all, in ms. A gateway sends to engines on what it believes to run
/// there: on the users' bench what ran differed by 5 and more in a quarter of
/// sends while the word of others was 0.75 s old on average.
const LOADS_EVERY_MS: u64 = 150;

/// How many upstreams' sums are told at once: those that changed the most.
/// The users bound all of control by 8,000 bytes a second on the way to their
/// largest size; each of these has 9 bytes or fewer.
const MOST_SUMS_AT_ONCE: usize = 96;

impl Control {
    /// Tells what is under way between heartbeats, where hubs sum it up.
    pub(super) fn tell_loads(&mut self, now: Millis) {
        self.loads_due = now + LOADS_EVERY_MS;
        let mechanisms = self.shared.settings.mechanisms;
        let is_on = mechanisms.loads_between_heartbeats;
        if !is_on || !self.roster.has_hubs() {
            return;
        }
        if self.roster.is_foremost_hub() {
            self.tell_load_sums(now);
        } else {
            self.report_loads();
        }
        if self.roster.is_hub() {
            self.publish_loads(now);
        }
    }

    /// Tells this gateway's group the sums, and the hubs of other groups what
    /// its own has under way.
    fn tell_load_sums(&mut self, now: Millis) {
        let own = self.own_loads();
        if !self.roster.hubs_elsewhere().is_empty() {
            let sums = self.roster.sum_group_loads(&own, now);
            let told = &mut self.told_group_sums;
            let message = Message::GroupLoads(GroupLoads {
                data_centre: self.shared.settings.data_centre.clone(),
                news: told.news(&sums, MOST_SUMS_AT_ONCE, now),
            });
            let elsewhere = self.roster.hubs_elsewhere().iter().copied();
            self.send(elsewhere, &message);
        }
        let sums = self.roster.sum_loads(&own, now);
        let news = self.told_sums.news(&sums, MOST_SUMS_AT_ONCE, now);
        let group = self.roster.summary_targets();
        self.send(group, &Message::LoadSums(news));
    }

    /// Tells hubs what this gateway has under way, if that changed.
    fn report_loads(&mut self) {
        let loads = self.own_loads();
        let told = as_loads(&loads);
        if told == self.told_loads {
            return;
        }
        self.told_loads = told;
        self.sequence += 1;
        let report = LoadReport {
            instance: self.shared.settings.instance.clone(),
            start: self.start,
            sequence: self.sequence,
            loads,
        };
        self.send(self.roster.other_own_hubs(), &Message::Loads(report));
    }

    /// Returns what this gateway has under way.
    pub(super) fn own_loads(&self) -> Vec<UpstreamLoad> {
        let loads = self.shared.loads();
        let busy = loads.iter().filter(|(_, load)| **load != Load::default());
        busy.map(|(id, load)| UpstreamLoad { upstream: id.tag(), load: *load })
            .collect()
    }

    /// Publishes what the others have under way.
    pub(super) fn publish_loads(&self, now: Millis) {
        let others = self.roster.loads(&self.told_loads, now);
        self.shared.peer_loads.store(Arc::new(others));
    }
}
