//! Propagates the request limits of overloaded upstreams to other gateways.

use std::collections::BTreeMap;

use valehold_core::{
    Millis,
    fleet::{
        UpstreamStart,
        upstream_limit::{AnswerEffect, LimitMerge, LimitReport},
    },
};

use super::Control;
use crate::{
    events::{Event, ReportSource},
    peers::Message,
};

/// The delay before a limit is broadcast again, in ms. A datagram may be lost,
/// and on a link that fails briefly several in a row.
const REPEAT_AFTER_MS: u64 = 500;

/// The minimum time between two broadcasts about one upstream, in ms: an
/// upstream may state another limit in each of its answers.
const MIN_BROADCAST_INTERVAL_MS: u64 = 200;

/// The next broadcast about one upstream.
#[derive(Debug, Clone, Copy)]
struct Advertisement {
    at: Millis,
    /// Whether the broadcast is to be repeated once.
    repeats: bool,
    last_sent: Option<Millis>,
}

/// Upstreams whose limits are to be broadcast.
#[derive(Debug, Default)]
pub(super) struct AdvertisedLimits {
    due: BTreeMap<UpstreamStart, Advertisement>,
}

impl AdvertisedLimits {
    /// Schedules a broadcast of an upstream's limit.
    fn schedule(&mut self, start: &UpstreamStart, now: Millis) {
        let last_sent = self.due.get(start).and_then(|known| known.last_sent);
        let at = last_sent
            .map_or(now, |sent| now.max(sent + MIN_BROADCAST_INTERVAL_MS));
        self.due.insert(
            start.clone(),
            Advertisement { at, repeats: true, last_sent },
        );
    }

    /// Returns the upstreams whose broadcast is due, and schedules the
    /// repetitions.
    fn take_due(&mut self, now: Millis) -> Vec<UpstreamStart> {
        let mut due = Vec::new();
        self.due.retain(|start, advertisement| {
            if now < advertisement.at {
                return true;
            }
            due.push(start.clone());
            let is_kept = advertisement.repeats;
            let at = now + REPEAT_AFTER_MS;
            *advertisement =
                Advertisement { at, repeats: false, last_sent: Some(now) };
            is_kept
        });
        due
    }
}

impl Control {
    /// Broadcasts a limit that an answer to a request of this gateway changed,
    /// and sends the grantor of the upstream's permits one that an answer
    /// confirmed.
    pub(super) fn on_limit_answered(&mut self, effect: &AnswerEffect) {
        let now = self.now();
        match effect {
            AnswerEffect::Unchanged => {}
            AnswerEffect::Confirmed(report) => {
                self.send_limit_to_grantor(report);
            }
            AnswerEffect::Changed(report) => {
                self.advertised_limits.schedule(&report.start, now);
                self.send_due_limits(now);
            }
        }
    }

    /// Sends a limit to the grantor of the upstream's permits.
    fn send_limit_to_grantor(&self, report: &LimitReport) {
        let own = self.shared.settings.peers.heartbeats;
        let grantor = self.grantor.grantor_of(&report.start.id);
        if let Some(grantor) = grantor.filter(|grantor| *grantor != own) {
            let reports = vec![report.clone()];
            self.send([grantor], &Message::UpstreamLimits(reports));
        }
    }

    /// Merges limit reports of other gateways.
    pub(super) fn receive_limits(
        &mut self,
        reports: &[LimitReport],
        now: Millis,
    ) {
        for report in reports {
            let merged = self.shared.upstream_limits().merge(report);
            match merged {
                LimitMerge::Unchanged | LimitMerge::Confirmed => {}
                LimitMerge::Applied => {
                    let source = ReportSource::Peer;
                    let is_lifted = report.limit.is_none();
                    self.shared.metrics.upstream_limit(is_lifted, source);
                    Event::of_limit(report, source).log();
                }
                LimitMerge::Contradicted(own) => {
                    self.advertised_limits.schedule(&own.start, now);
                }
            }
        }
    }

    /// Broadcasts the limits that are due.
    pub(super) fn send_due_limits(&mut self, now: Millis) {
        let due = self.advertised_limits.take_due(now);
        if due.is_empty() {
            return;
        }
        let reports: Vec<LimitReport> = {
            let limits = self.shared.upstream_limits();
            due.iter().filter_map(|one| limits.report(one).cloned()).collect()
        };
        self.send_all(&Message::UpstreamLimits(reports));
    }
}
