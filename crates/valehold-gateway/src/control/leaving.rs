//! Handles upstreams that announce in their answers that they are leaving:
//! informs traffic, placement and other gateways.

use std::net::SocketAddr;

use valehold_core::{Millis, fleet::UpstreamStart};

use super::Control;
use crate::{
    events::{Event, ReportSource},
    peers::Message,
};

/// The delay before a leaving message is broadcast again, in ms. A datagram
/// may be lost, and on a link that fails briefly several in a row.
const REPEAT_AFTER_MS: u64 = 500;

/// Leaving upstreams that were broadcast once, with the time of the
/// repetition.
#[derive(Debug, Default)]
pub(super) struct AdvertisedLeaving {
    repeats: Vec<(Millis, UpstreamStart)>,
}

impl AdvertisedLeaving {
    /// Removes and returns the upstreams whose repetition is due.
    fn take_due(&mut self, now: Millis) -> Vec<UpstreamStart> {
        let due = self.repeats.extract_if(.., |(at, _)| now >= *at);
        due.map(|(_, start)| start).collect()
    }
}

impl Control {
    /// Records that upstreams are leaving. Upstreams reported in answers are
    /// broadcast: otherwise every other gateway would send one request to
    /// learn of the departure, and the lease holder may send no requests there
    /// at all.
    pub(super) fn on_leaving(
        &mut self,
        starts: &[UpstreamStart],
        source: ReportSource,
        now: Millis,
    ) {
        let mut new = Vec::new();
        for start in starts {
            if self.upstreams.record_leaving(start, now) {
                self.shared.metrics.upstream_leaving(source);
                let upstream = start.id.clone();
                Event::UpstreamLeaving { upstream, source }.log();
                new.push(start.clone());
            }
        }
        if new.is_empty() {
            return;
        }
        // Each view that changes upstreams copies the list. If many upstreams
        // leave together, one view covers all that arrived since the last.
        self.publish_if_due();
        if source == ReportSource::Answer {
            let at = now + REPEAT_AFTER_MS;
            let repeats = new.iter().map(|start| (at, start.clone()));
            self.advertised_leaving.repeats.extend(repeats);
            self.send_all(&Message::Leaving(new));
        }
    }

    /// Sends all known leaving upstreams to a gateway that has just started or
    /// come back. It knows them at most from the list, in which an entry that
    /// is written again says that the upstream accepts requests.
    pub(super) fn send_leaving_to(&self, peer: SocketAddr) {
        let leaving: Vec<UpstreamStart> =
            self.upstreams.announced_leaving().cloned().collect();
        if !leaving.is_empty() {
            self.send([peer], &Message::Leaving(leaving));
        }
    }

    /// Broadcasts leaving upstreams again where the repetition is due.
    pub(super) fn repeat_leaving(&mut self, now: Millis) {
        let due = self.advertised_leaving.take_due(now);
        if !due.is_empty() {
            self.send_all(&Message::Leaving(due));
        }
    }
}
