//! Telling what is under way at upstreams, and what is let through, more often
//! than heartbeats do.
//!
//! Where gateways are few, each hears these of every other in its heartbeats.
//! Where hubs sum up, a gateway tells the hubs as soon as they changed, and
//! the foremost hub tells all the sums, and what is ruled by them.

use std::sync::Arc;

use valehold_core::{Millis, fleet::UpstreamStart};

use super::Control;
use crate::{
    peers::{
        WordNumber,
        message::{
            GroupLoads, HubNews, LoadNews, LoadReport, Message, UpstreamLoad,
        },
        roster::sums::{load_list, loads_by_upstream},
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
        self.next_loads_at = now + LOADS_EVERY_MS;
        if !self.roster.has_hubs() {
            return;
        }
        if self.roster.is_primary_hub() {
            // Where the link is full, sums are told as often as it bears.
            if self.outbox.borrow().is_empty() {
                self.tell_sums(now);
            }
        } else {
            self.report(now);
        }
        if self.roster.is_hub() {
            self.publish_loads(now);
        }
    }

    /// Tells this gateway's group the sums and rulings, and the hubs of other
    /// groups what its own has under way and let through.
    fn tell_sums(&mut self, now: Millis) {
        let rulings = self.compute_throttles(now);
        let own = self.loads_to_tell();
        self.sequence += 1;
        let number = WordNumber { start: self.start, sequence: self.sequence };
        if !self.roster.remote_hubs().is_empty() {
            let sums = self.roster.sum_group_loads(&own, now);
            let usage = self.changed_group_usage(now);
            let told = &mut self.advertised_group_sums;
            let message = Message::GroupLoads(GroupLoads {
                instance: self.shared.settings.instance.clone(),
                number,
                usage,
                data_centre: self.shared.settings.data_centre.clone(),
                news: told.next_update(&sums, MOST_SUMS_AT_ONCE),
            });
            let elsewhere = self.roster.remote_hubs().iter().copied();
            self.send(elsewhere, &message);
        }
        let sums = self.roster.sum_loads(&own, now);
        let loads = match self.tells_loads() {
            true => self.advertised_sums.next_update(&sums, MOST_SUMS_AT_ONCE),
            false => LoadNews::default(),
        };
        let group = self.roster.summary_targets();
        let paces = self.update_paces(now);
        let news = HubNews { number, loads, rulings, paces };
        self.send(group, &Message::HubNews(news));
    }

    /// Tells hubs what this gateway has under way and let through, if that
    /// changed.
    fn report(&mut self, now: Millis) {
        let loads = self.loads_to_tell();
        let usage = self.changed_usage(now);
        let paces = self.shared.take_seen_paces();
        let told = loads_by_upstream(&loads);
        let is_same = told == self.advertised_loads;
        if is_same && usage.is_empty() && paces.is_empty() {
            return;
        }
        self.advertised_loads = told;
        self.sequence += 1;
        let report = LoadReport {
            instance: self.shared.settings.instance.clone(),
            start: self.start,
            sequence: self.sequence,
            loads,
            usage,
            paces,
        };
        self.send(self.roster.other_local_hubs(), &Message::Loads(report));
    }

    fn tells_loads(&self) -> bool {
        self.shared.settings.mechanisms.loads_between_heartbeats
    }

    /// Returns what this gateway has under way, or what it said with its last
    /// heartbeat that it has, if loads are not told in between.
    fn loads_to_tell(&self) -> Vec<UpstreamLoad> {
        match self.tells_loads() {
            true => self.own_loads(),
            false => load_list(&self.advertised_loads),
        }
    }

    /// Returns what this gateway has under way.
    pub(super) fn own_loads(&self) -> Vec<UpstreamLoad> {
        let loads = self.shared.loads();
        let busy = loads.iter().filter(|(_, load)| **load != Load::default());
        let as_told = |(start, load): (&UpstreamStart, &Load)| UpstreamLoad {
            upstream: start.tag(),
            load: *load,
        };
        busy.map(as_told).collect()
    }

    /// Publishes what the others have under way.
    pub(super) fn publish_loads(&self, now: Millis) {
        let others = self.roster.loads_of_others(&self.advertised_loads, now);
        self.shared.peer_loads.store(Arc::new(others));
    }
}
