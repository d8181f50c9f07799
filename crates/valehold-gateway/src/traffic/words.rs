//! What upstreams say of themselves in their answers, beside what they answer.

use std::time::Duration;

use valehold_core::{
    Millis,
    fleet::{Upstream, UpstreamStart, upstream_limit::StatedLimit},
};

use super::state::App;
use crate::events::{Event, ReportSource};

/// What an answer says of the upstream that gave it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Words {
    /// Whether it leaves.
    pub(super) leaving: bool,
    /// For how long it wants nothing from this gateway.
    pub(super) rest: Option<Duration>,
    /// How many requests a second it takes.
    pub(super) limit: StatedLimit,
    /// When the request that it answers was sent.
    pub(super) sent: Millis,
}

/// Tells whether an upstream that was chosen a moment ago leaves or has gone: a
/// connection takes time to be made, and the machine may have been suspended.
pub(super) fn has_left(app: &App, upstream: &Upstream) -> bool {
    let view = app.shared.view.load();
    let listed = view.listing.upstreams.get(&upstream.id);
    listed.is_none_or(|listed| listed.leaving)
}

/// Tells whether an upstream may be sent to at this moment, as far as it asked
/// this gateway for rest: others may have been turned away since it was
/// chosen, and after its rest one request goes first.
pub(super) fn may_send(app: &App, upstream: &Upstream) -> bool {
    let mut rests = app.shared.rests();
    rests.is_empty() || rests.try_acquire(&upstream.start(), app.now())
}

/// Notes what an answer says of the upstream that it is surely of: it has the
/// identifier of the request, and no other upstream refused it for not being
/// the one that was meant.
pub(super) fn note(app: &App, upstream: &Upstream, words: Words) {
    let start = upstream.start();
    if words.leaving {
        app.shared.say_leaving(start.clone());
    }
    note_limit(app, &start, words);
    let Some(rest) = words.rest else { return };
    let is_new = app.shared.rests().record(&start, rest, app.now());
    if is_new {
        app.shared.metrics.upstream_rests();
        let for_ms = Millis::from(rest).get();
        Event::UpstreamRests { upstream: start.id, for_ms }.log();
    }
}

fn note_limit(app: &App, start: &UpstreamStart, words: Words) {
    let word = app.shared.upstream_limits().on_answer(
        start,
        words.sent,
        words.limit,
        app.now(),
    );
    let Some(word) = word else { return };
    app.shared.say_limit(start.clone());
    let source = ReportSource::Answer;
    app.shared.metrics.upstream_limit(word.limit.is_none(), source);
    Event::of_limit(&word, source).log();
}
