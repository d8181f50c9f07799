//! Reports of loads and usage between heartbeats.
//!
//! In a small fleet, each gateway receives the loads (requests in flight at
//! upstreams) and the usage (admitted requests) of every other gateway with
//! its heartbeats. In a fleet with hubs, a gateway reports its loads and usage
//! to the hubs as soon as they change. The primary hub sends the sums, and
//! the throttles that follow from the sums, to the gateways of its group.

use std::sync::Arc;

use valehold_core::{Millis, fleet::UpstreamStart};

use super::Control;
use crate::{
    peers::{
        MessageNumber,
        message::{
            GroupLoads, HubUpdate, LoadReport, LoadUpdate, Message,
            UpstreamLoad,
        },
        roster::sums::{load_list, loads_by_upstream},
    },
    view::Load,
};

/// The interval at which a gateway reports its loads to hubs and the primary
/// hub sends the sums, in ms.
///
/// A gateway chooses engines by the loads that it knows. With reports of other
/// gateways that were 0.75 s old on average, the known load differed by 5 or
/// more from the real one for a quarter of the requests on the users' bench.
const LOAD_REPORT_INTERVAL_MS: u64 = 150;

/// The maximum number of upstreams whose sums one update contains; those that
/// changed the most come first.
///
/// The users limit all control traffic to 8,000 bytes a second up to the
/// largest fleet that they plan. Each sum has 9 bytes or fewer.
const MAX_SUMS_PER_UPDATE: usize = 96;

impl Control {
    /// Sends this gateway's loads, or the sums of all, between heartbeats if
    /// the fleet has hubs.
    pub(super) fn send_loads(&mut self, now: Millis) {
        self.next_loads_at = now + LOAD_REPORT_INTERVAL_MS;
        if !self.roster.has_hubs() {
            return;
        }
        if self.roster.is_primary_hub() {
            // On a saturated link, sums are sent as often as it permits.
            if self.outbox.borrow().is_empty() {
                self.send_sums(now);
            }
        } else {
            self.send_load_report(now);
        }
        if self.roster.is_hub() {
            self.publish_loads(now);
        }
    }

    /// Sends the sums and throttles to this gateway's group, and the loads and
    /// usage of the group to the hubs of other groups.
    fn send_sums(&mut self, now: Millis) {
        let rulings = self.compute_throttles(now);
        let own = self.loads_to_report();
        self.sequence += 1;
        let number =
            MessageNumber { start: self.start, sequence: self.sequence };
        if !self.roster.remote_hubs().is_empty() {
            let sums = self.roster.sum_group_loads(&own, now);
            let usage = self.changed_group_usage(now);
            let advertised = &mut self.advertised_group_sums;
            let message = Message::GroupLoads(GroupLoads {
                instance: self.shared.settings.instance.clone(),
                number,
                usage,
                data_centre: self.shared.settings.data_centre.clone(),
                loads: advertised.next_update(&sums, MAX_SUMS_PER_UPDATE),
            });
            let hubs = self.roster.remote_hubs().iter().copied();
            self.send(hubs, &message);
        }
        let sums = self.roster.sum_loads(&own, now);
        let loads = match self.reports_between_heartbeats() {
            true => {
                self.advertised_sums.next_update(&sums, MAX_SUMS_PER_UPDATE)
            }
            false => LoadUpdate::default(),
        };
        let group = self.roster.summary_targets();
        let paces = self.update_paces(now);
        let update = HubUpdate { number, loads, throttles: rulings, paces };
        self.send(group, &Message::HubUpdate(update));
    }

    /// Reports the loads and usage of this gateway to hubs if they changed.
    fn send_load_report(&mut self, now: Millis) {
        let loads = self.loads_to_report();
        let usage = self.changed_usage(now);
        let paces = self.shared.take_pace_observations();
        let reported = loads_by_upstream(&loads);
        let is_unchanged = reported == self.advertised_loads;
        if is_unchanged && usage.is_empty() && paces.is_empty() {
            return;
        }
        self.advertised_loads = reported;
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

    /// Returns whether the settings enable load reports between heartbeats.
    fn reports_between_heartbeats(&self) -> bool {
        self.shared.settings.mechanisms.loads_between_heartbeats
    }

    /// Returns the current loads of this gateway, or the loads of its last
    /// heartbeat if reports between heartbeats are disabled.
    fn loads_to_report(&self) -> Vec<UpstreamLoad> {
        match self.reports_between_heartbeats() {
            true => self.own_loads(),
            false => load_list(&self.advertised_loads),
        }
    }

    /// Returns the loads of this gateway at upstreams where they are not zero.
    pub(super) fn own_loads(&self) -> Vec<UpstreamLoad> {
        let loads = self.shared.loads();
        let busy = loads.iter().filter(|(_, load)| **load != Load::default());
        let to_report = |(start, load): (&UpstreamStart, &Load)| {
            UpstreamLoad { upstream: start.tag(), load: *load }
        };
        busy.map(to_report).collect()
    }

    /// Publishes the loads of all other gateways to traffic.
    pub(super) fn publish_loads(&self, now: Millis) {
        let others = self.roster.loads_of_others(&self.advertised_loads, now);
        self.shared.peer_loads.store(Arc::new(others));
    }
}
