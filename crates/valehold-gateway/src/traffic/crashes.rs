//! Detects crashes of upstreams, and refuses requests that cause them.

use std::{
    cell::RefCell,
    collections::{BTreeMap, BTreeSet},
    io::ErrorKind,
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use tokio::{net::TcpStream, time};
use valehold_core::{
    fleet::{Upstream, UpstreamStart, crashes::RequestContent},
    id::UpstreamId,
};

use super::{route::Job, state::App};
use crate::events::Event;

/// The delay between a broken connection and the probe of the upstream's
/// address. A process that ends closes its connections and its listener one
/// after the other, so an immediate probe could still succeed. The delay is
/// also the interval at which requests wait for the result of the probe.
const PROBE_DELAY: Duration = Duration::from_millis(5);

/// The timeout of the probe, which allows for a round trip to another region.
/// An upstream that does not answer may be cut off from the network, and does
/// not count as crashed.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);

/// Requests that broke off before any output, by upstream, until the probe has
/// shown whether the upstream crashed.
#[derive(Debug, Default)]
pub(super) struct PendingBreakOffs {
    requests: RefCell<BTreeMap<UpstreamStart, BTreeSet<RequestContent>>>,
}

impl PendingBreakOffs {
    /// Adds a request, and returns whether it is the first of its upstream.
    fn add(&self, upstream: UpstreamStart, content: RequestContent) -> bool {
        let mut requests = self.requests.borrow_mut();
        let is_first = !requests.contains_key(&upstream);
        requests.entry(upstream).or_default().insert(content);
        is_first
    }

    /// Returns whether the result of the probe of an upstream is pending.
    fn is_pending(&self, upstream: &UpstreamStart) -> bool {
        self.requests.borrow().contains_key(upstream)
    }

    /// Removes and returns the requests of an upstream.
    fn take(&self, upstream: &UpstreamStart) -> BTreeSet<RequestContent> {
        self.requests.borrow_mut().remove(upstream).unwrap_or_default()
    }
}

/// Handles a request that an upstream broke off before any output.
///
/// Connections break for many reasons. After a crash, the address of the
/// upstream refuses connections: within 1 ms of the crash, and seconds before
/// the entry of the upstream leaves the listing. A probe of the address
/// therefore distinguishes crashes from other failures.
pub(super) fn on_break_off(app: &Rc<App>, job: &Job, upstream: &Upstream) {
    let start = upstream.start();
    if app.shared.crashes().has_crashed(start.tag()) {
        report_crash(app, &start, BTreeSet::from([job.content()]));
        return;
    }
    if app.pending_break_offs.add(start.clone(), job.content()) {
        let (app, address) = (app.clone(), upstream.address);
        tokio::task::spawn_local(async move {
            time::sleep(PROBE_DELAY).await;
            let has_crashed = refuses_connections(address).await;
            let in_flight = app.pending_break_offs.take(&start);
            if has_crashed && !is_planned_shutdown(&app, &start.id) {
                report_crash(&app, &start, in_flight);
            }
        });
    }
}

/// Waits until the probe has shown whether an upstream crashed, if a crash
/// would lead to the refusal of the request. Without this wait, the request
/// would be sent to another upstream and could crash that one too.
pub(super) async fn wait_for_probe(app: &App, job: &Job, upstream: &Upstream) {
    let start = upstream.start();
    // Most failures are not break-offs. Returning early avoids computing the
    // digest of the request for these.
    if !app.pending_break_offs.is_pending(&start) {
        return;
    }
    let is_near_refusal = app.shared.crashes().is_near_refusal(&job.content());
    while is_near_refusal && app.pending_break_offs.is_pending(&start) {
        time::sleep(PROBE_DELAY).await;
    }
}

/// Returns whether an address refuses connections.
async fn refuses_connections(address: SocketAddr) -> bool {
    let connecting = TcpStream::connect(address);
    match time::timeout(PROBE_TIMEOUT, connecting).await {
        Ok(Err(error)) => error.kind() == ErrorKind::ConnectionRefused,
        Ok(Ok(_)) | Err(_) => false,
    }
}

/// Returns whether an upstream has announced that it is leaving, or is no
/// longer listed. The end of such an upstream is not caused by a request.
fn is_planned_shutdown(app: &App, id: &UpstreamId) -> bool {
    let view = app.shared.view.load();
    let listed = view.listing.upstreams.get(id);
    let last_listed = listed.or_else(|| view.lapsed.get(id));
    last_listed.is_none_or(|upstream| upstream.leaving)
}

/// Logs the crash of an upstream, and records the requests that were in flight
/// on the upstream.
fn report_crash(
    app: &App,
    start: &UpstreamStart,
    in_flight: BTreeSet<RequestContent>,
) {
    let event = Event::UpstreamCrashed {
        upstream: start.id.clone(),
        under_way: in_flight.iter().map(ToString::to_string).collect(),
    };
    event.log();
    let now = app.now();
    app.shared.update_crashes(|crashes| {
        crashes.record_crash(start.tag(), in_flight, now);
    });
}

/// Records that an upstream answered a request with success, or began to do
/// so. The request then counts as not crashing upstreams.
pub(super) fn record_answer(app: &App, job: &Job) {
    if app.shared.crashes().is_empty() {
        return;
    }
    let (content, now) = (job.content(), app.now());
    app.shared.update_crashes(|crashes| crashes.record_answer(content, now));
}

/// Returns for how much longer a request is refused because it crashes
/// upstreams, in ms; `None` if the request is not refused.
pub(super) fn remaining_refusal_ms(app: &App, job: &Job) -> Option<u64> {
    if app.shared.crashes().is_empty() {
        return None;
    }
    let (content, now) = (job.content(), app.now());
    app.shared.crashes().refused_ms(&content, now)
}

/// Waits until an in-flight request is refused because it crashes upstreams.
///
/// The request may be queued on an upstream and not have started to run.
/// Cancelling the send at this point keeps that upstream from crashing.
pub(super) async fn until_refused(app: &App, job: &Job) {
    let mut changes = app.shared.watch_crashes();
    while remaining_refusal_ms(app, job).is_none() {
        if changes.changed().await.is_err() {
            std::future::pending().await
        }
    }
}
