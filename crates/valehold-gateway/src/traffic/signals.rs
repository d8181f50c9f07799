//! Records the signals about an upstream that its answers carry: leaving,
//! backoff and rate limit.

use std::time::Duration;

use valehold_core::{
    Millis,
    fleet::{
        Upstream, UpstreamStart,
        upstream_limit::{AnswerEffect, StatedLimit},
    },
};

use super::state::App;
use crate::events::{Event, ReportSource};

/// The signals about an upstream in one of its answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct UpstreamSignals {
    /// Whether the upstream is leaving.
    pub(super) leaving: bool,
    /// For how long the upstream requests that this gateway back off.
    pub(super) backoff: Option<Duration>,
    /// The number of requests a second that the upstream accepts.
    pub(super) limit: StatedLimit,
    /// The number of the upstream's limit when the answered request was sent.
    pub(super) limit_number_at_send: u64,
}

/// Returns whether an upstream is leaving or no longer listed.
///
/// This is checked again after the choice: connecting takes time, and the
/// machine may have been suspended since.
pub(super) fn has_left(app: &App, upstream: &Upstream) -> bool {
    let view = app.shared.view.load();
    let listed = view.listing.upstreams.get(&upstream.id);
    listed.is_none_or(|listed| listed.leaving)
}

/// Returns whether the backoff that an upstream requested permits a send now.
///
/// This is checked again after the choice: other requests may have been
/// rejected since, and after a backoff a single request goes first.
pub(super) fn may_send(app: &App, upstream: &Upstream) -> bool {
    let mut rests = app.shared.backoffs();
    rests.is_empty() || rests.try_acquire(&upstream.start(), app.now())
}

/// Records the signals in an answer.
///
/// The answer must be known to come from `upstream`: it carries the identifier
/// of the request, and is not a refusal by another upstream that was not the
/// intended one.
pub(super) fn record(
    app: &App,
    upstream: &Upstream,
    signals: UpstreamSignals,
) {
    let start = upstream.start();
    if signals.leaving {
        app.shared.report_leaving(start.clone());
    }
    record_limit(app, &start, signals);
    let Some(backoff) = signals.backoff else { return };
    let is_new = app.shared.backoffs().record(&start, backoff, app.now());
    if is_new {
        app.shared.metrics.upstream_backoff();
        let for_ms = Millis::from(backoff).get();
        Event::UpstreamRests { upstream: start.id, for_ms }.log();
    }
}

fn record_limit(app: &App, start: &UpstreamStart, signals: UpstreamSignals) {
    let effect = app.shared.upstream_limits().on_answer(
        start,
        signals.limit_number_at_send,
        signals.limit,
    );
    if let AnswerEffect::Changed(report) = &effect {
        let source = ReportSource::Answer;
        app.shared.metrics.upstream_limit(report.limit.is_none(), source);
        Event::of_limit(report, source).log();
    }
    if effect != AnswerEffect::Unchanged {
        app.shared.report_limit(effect);
    }
}
