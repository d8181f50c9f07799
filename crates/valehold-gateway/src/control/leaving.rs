//! Upstreams that say in their answers that they leave: telling traffic,
//! placement and other gateways.

use valehold_core::{Millis, fleet::UpstreamStart};

use super::Control;
use crate::{
    events::{Event, ReportSource},
    peers::Message,
};

/// How long after the first time others are told again that an upstream
/// leaves, in ms: a datagram may be lost, on a link that fails for a moment
/// also several in a row.
const TELL_AGAIN_AFTER_MS: u64 = 500;

/// Upstreams of which this gateway told others that they leave, and when it
/// does so once more.
#[derive(Debug, Default)]
pub(super) struct ToldLeaving {
    again: Vec<(Millis, UpstreamStart)>,
}

impl ToldLeaving {
    /// Takes those of which others are to be told again now.
    fn take_due(&mut self, now: Millis) -> Vec<UpstreamStart> {
        let due = self.again.extract_if(.., |(at, _)| now >= *at);
        due.map(|(_, start)| start).collect()
    }
}

impl Control {
    /// Takes in that upstreams said that they leave. What an answer said is
    /// passed on: others would each send there once to hear it, and the holder
    /// of the lease may send nothing there at all.
    pub(super) fn hear_leaving(
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
        // Each view that changes upstreams is a copy of the list: where many
        // leave together, one has all that came meanwhile.
        self.publish_if_due();
        if source == ReportSource::Answer {
            let at = now + TELL_AGAIN_AFTER_MS;
            let again = new.iter().map(|start| (at, start.clone()));
            self.told_leaving.again.extend(again);
            self.send_all(&Message::Leaving(new));
        }
    }

    /// Tells others again of upstreams that leave, where that is due.
    pub(super) fn tell_leaving_again(&mut self, now: Millis) {
        let due = self.told_leaving.take_due(now);
        if !due.is_empty() {
            self.send_all(&Message::Leaving(due));
        }
    }
}
