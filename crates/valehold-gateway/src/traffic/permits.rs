//! Permits for sending to upstreams that are cold or rate-limited.

use std::time::Duration;

use tokio::time::Instant;
use valehold_core::{
    fleet::{Upstream, cold::SendPermit},
    id::UpstreamId,
};

use super::{route::Job, state::App};

/// How long a request waits for a send permit before it tries another
/// upstream. The time covers a round trip to the grantor and the delay of two
/// busy machines, and is a tenth of the time in which callers expect an answer
/// to begin.
const PERMIT_TIMEOUT: Duration = Duration::from_millis(60);

/// The interval at which a waiting request checks for the permit.
const POLL_INTERVAL: Duration = Duration::from_millis(3);

/// Acquires a permit to send a request to an upstream, and requests one from
/// the grantor if this gateway holds none. Returns `None` if the grantor
/// denies the permit or does not reply in time.
pub(super) async fn acquire(
    app: &App,
    upstream: &UpstreamId,
) -> Option<SendPermit> {
    let deadline = Instant::now() + PERMIT_TIMEOUT;
    if let Some(permit) = take(app, upstream) {
        return Some(permit);
    }
    let request = app.shared.cold().permits.request(upstream, app.now());
    app.shared.request_permit(request);
    while Instant::now() < deadline {
        tokio::time::sleep(POLL_INTERVAL).await;
        if let Some(permit) = take(app, upstream) {
            return Some(permit);
        }
        if app.shared.cold().permits.denied_ms(upstream, app.now()) > 0 {
            return None;
        }
    }
    app.shared.cold().permits.on_timeout(upstream, app.now());
    None
}

/// Takes a valid permit that this gateway holds for an upstream, if any.
fn take(app: &App, upstream: &UpstreamId) -> Option<SendPermit> {
    app.shared.cold().permits.take(upstream, app.now())
}

/// Returns whether a request may be sent to an upstream now: `permit` is still
/// valid, or the upstream is neither cold nor rate-limited.
pub(super) fn may_send(
    app: &App,
    job: &Job,
    upstream: &Upstream,
    permit: Option<SendPermit>,
) -> bool {
    let now = app.now();
    if permit.is_some_and(|permit| permit.is_valid(now)) {
        return true;
    }
    let is_cold = job.cold_spec().is_some()
        && app.shared.cold().estimate.is_cold(&upstream.id, now);
    !is_cold && !is_limited(app, upstream)
}

/// Returns whether an upstream has stated a limit on its request rate.
pub(super) fn is_limited(app: &App, upstream: &Upstream) -> bool {
    app.shared.upstream_limits().rate(&upstream.start()).is_some()
}

/// Records that an upstream may have restarted and be cold, after the upstream
/// closed a connection or could not be reached.
///
/// This applies only to upstreams with a start time, because only these can
/// restart under the same name. Any other upstream gets a new name when it
/// restarts, and refuses requests that are addressed to the old name.
pub(super) fn on_possible_restart(app: &App, job: &Job, upstream: &Upstream) {
    let Some(spec) = job.cold_spec() else { return };
    if upstream.started_at_ms.is_some() {
        let now = app.now();
        let mut permits = app.shared.cold();
        permits.estimate.mark_possibly_cold(
            &upstream.id,
            spec.lasts_ms,
            0,
            now,
        );
    }
}
