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
        roster::sums::Loads,
    },
    view::Load,
};

/// How often a gateway tells hubs what it has under way, and the foremost hub
/// tells all, in ms. A gateway sends to engines on what it believes to run
/// there: on the users' bench what ran differed by 5 and more in a quarter of
/// sends while the word of others was 0.75 s old on average.
const LOADS_EVERY_MS: u64 = 150;

/// How many bytes a second of such sums a gateway takes. The users bound all
/// of control by 8,000 on the way to their largest size. Larger sums come
/// rarer.
const LOADS_BYTES_PER_S: u64 = 6_000;

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
            let bytes = self.tell_load_sums(now).saturating_mul(1_000);
            let every_ms = bytes / LOADS_BYTES_PER_S;
            self.loads_due = now + every_ms.max(LOADS_EVERY_MS);
        } else {
            self.report_loads();
        }
        if self.roster.is_hub() {
            self.publish_loads(now);
        }
    }

    /// Tells this gateway's group the sums, and the hubs of other groups what
    /// its own has under way; returns how many bytes the sums have.
    fn tell_load_sums(&self, now: Millis) -> u64 {
        let own = self.own_loads();
        let elsewhere = self.roster.hubs_elsewhere();
        if !elsewhere.is_empty() {
            let message = Message::GroupLoads(GroupLoads {
                data_centre: self.shared.settings.data_centre.clone(),
                loads: self.roster.sum_group_loads(&own, now),
            });
            self.send(elsewhere.iter().copied(), &message);
        }
        let sums = self.roster.sum_loads(&own, now);
        let group = self.roster.summary_targets();
        self.send(group, &Message::LoadSums(sums))
    }

    /// Tells hubs what this gateway has under way, if that changed.
    fn report_loads(&mut self) {
        let loads = self.own_loads();
        let told = as_told(&loads);
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

/// Returns loads as a map, to be taken off sums that have them in them.
pub(super) fn as_told(loads: &[UpstreamLoad]) -> Loads {
    loads.iter().map(|one| (one.upstream, one.load)).collect()
}
