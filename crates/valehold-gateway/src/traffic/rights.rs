//! Sending to upstreams that are cold or in need.

use std::time::Duration;

use tokio::time::Instant;
use valehold_core::{
    fleet::{Upstream, cold::SendPermit},
    id::UpstreamId,
};

use super::{route::Job, state::App};

/// How long a request waits for the right to send to an upstream, before it
/// goes elsewhere: the way to the grantor and back, and two machines that
/// are busy. It is a tenth of what callers expect an answer to begin in.
const PATIENCE: Duration = Duration::from_millis(60);

/// How often it looks whether the right has come.
const LOOK_AGAIN: Duration = Duration::from_millis(3);

/// Gets the right to send a request to an upstream; `None` if there is none to
/// be had now.
pub(super) async fn right_for(
    app: &App,
    upstream: &UpstreamId,
) -> Option<SendPermit> {
    let until = Instant::now() + PATIENCE;
    if let Some(right) = take(app, upstream) {
        return Some(right);
    }
    let ask = app.shared.cold().permits.request(upstream, app.now());
    app.shared.request_permit(ask);
    while Instant::now() < until {
        tokio::time::sleep(LOOK_AGAIN).await;
        if let Some(right) = take(app, upstream) {
            return Some(right);
        }
        if app.shared.cold().permits.denied_ms(upstream, app.now()) > 0 {
            return None;
        }
    }
    app.shared.cold().permits.on_timeout(upstream, app.now());
    None
}

fn take(app: &App, upstream: &UpstreamId) -> Option<SendPermit> {
    app.shared.cold().permits.take(upstream, app.now())
}

/// Tells whether a request may be sent to an upstream at this moment: it is
/// neither cold nor in need, or the right to send to it still holds.
pub(super) fn may_send(
    app: &App,
    job: &Job,
    upstream: &Upstream,
    right: Option<SendPermit>,
) -> bool {
    let now = app.now();
    if right.is_some_and(|right| right.is_valid(now)) {
        return true;
    }
    let is_cold = job.cold_spec().is_some()
        && app.shared.cold().estimate.is_cold(&upstream.id, now);
    !is_cold && !is_limited(app, upstream)
}

/// Tells whether an upstream takes a limited number of requests.
pub(super) fn is_limited(app: &App, upstream: &Upstream) -> bool {
    app.shared.upstream_limits().rate(&upstream.start()).is_some()
}

/// Notes that an upstream closed a connection or cannot be reached: where
/// starts are told apart by their birth, another one may have come under the
/// same name. Elsewhere that one has another name, and refuses what is meant
/// for this.
pub(super) fn may_have_restarted(app: &App, job: &Job, upstream: &Upstream) {
    let Some(spec) = job.cold_spec() else { return };
    if upstream.started_at_ms.is_some() {
        let now = app.now();
        let mut book = app.shared.cold();
        book.estimate.mark_possibly_cold(&upstream.id, spec.lasts_ms, 0, now);
    }
}
