//! Upstreams in need: telling other gateways how many requests they take.

use std::collections::BTreeMap;

use valehold_core::{
    Millis,
    fleet::{
        UpstreamStart,
        upstream_limit::{LimitMerge, LimitReport},
    },
};

use super::Control;
use crate::{
    events::{Event, ReportSource},
    peers::Message,
};

/// How long after the first time others are told a limit again, in ms: a
/// datagram may be lost, on a link that fails for a moment also several in a
/// row.
const TELL_AGAIN_AFTER_MS: u64 = 500;

/// How often others are told of one upstream at the most, in ms: it may name
/// another number in each of its answers.
const TELL_EVERY_MS: u64 = 200;

/// When others are told next of one upstream.
#[derive(Debug, Clone, Copy)]
struct Telling {
    at: Millis,
    /// Whether they are told once more after that.
    again: bool,
    told: Option<Millis>,
}

/// Limits of which others are to be told.
#[derive(Debug, Default)]
pub(super) struct ToldLimits {
    due: BTreeMap<UpstreamStart, Telling>,
}

impl ToldLimits {
    /// Notes that what is known of an upstream's limit is news to others.
    fn note(&mut self, start: &UpstreamStart, now: Millis) {
        let told = self.due.get(start).and_then(|known| known.told);
        let at = told.map_or(now, |told| now.max(told + TELL_EVERY_MS));
        self.due.insert(start.clone(), Telling { at, again: true, told });
    }

    /// Takes those of which others are to be told now.
    fn take_due(&mut self, now: Millis) -> Vec<UpstreamStart> {
        let mut due = Vec::new();
        self.due.retain(|start, telling| {
            if now < telling.at {
                return true;
            }
            due.push(start.clone());
            let is_left = telling.again;
            let at = now + TELL_AGAIN_AFTER_MS;
            *telling = Telling { at, again: false, told: Some(now) };
            is_left
        });
        due
    }
}

impl Control {
    /// Notes that an answer to a request of this gateway said something new of
    /// an upstream's limit.
    pub(super) fn limit_stated(&mut self, start: &UpstreamStart) {
        let now = self.now();
        self.told_limits.note(start, now);
        self.tell_limits(now);
    }

    /// Takes in what other gateways know of the limits of upstreams.
    pub(super) fn hear_limits(&mut self, words: &[LimitReport], now: Millis) {
        for word in words {
            let heard = self.shared.upstream_limits().merge(word, now);
            match heard {
                LimitMerge::Unchanged => {}
                LimitMerge::Applied => {
                    let source = ReportSource::Peer;
                    let is_over = word.limit.is_none();
                    self.shared.metrics.upstream_limit(is_over, source);
                    Event::of_limit(word, source).log();
                }
                LimitMerge::Contradicted(own) => {
                    self.told_limits.note(&own.start, now);
                }
            }
        }
    }

    /// Tells others of limits, where that is due.
    pub(super) fn tell_limits(&mut self, now: Millis) {
        let due = self.told_limits.take_due(now);
        if due.is_empty() {
            return;
        }
        let words: Vec<LimitReport> = {
            let limits = self.shared.upstream_limits();
            due.iter().filter_map(|one| limits.report(one).cloned()).collect()
        };
        self.send_all(&Message::UpstreamLimits(words));
    }
}
