//! Detects crashes of upstreams, and refuses requests that cause them.

use std::{
    cell::RefCell, collections::BTreeMap, io::ErrorKind, net::SocketAddr,
    rc::Rc, time::Duration,
};

use tokio::time;
use valehold_core::{
    Millis,
    fleet::{
        RegionBound, Upstream, UpstreamStart,
        crashes::{InFlight, RequestContent, Suspicion},
    },
    id::UpstreamId,
};

use super::{choose::current_bound, route::Job, state::App, tunnel};
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

/// The time for which a request that an upstream has outlived stays there
/// after it was refused. Other gateways report meanwhile which upstreams have
/// outlived the request as well, and two of them end the refusal.
const SURVIVAL_REPORT_TIME: Duration = Duration::from_millis(200);

/// Requests that one upstream broke off before any output.
#[derive(Debug, Clone)]
struct BreakOffs {
    /// When the first of them broke off.
    at: Millis,
    /// When each was sent. Of several attempts at one request, the first.
    sent: BTreeMap<RequestContent, Millis>,
}

impl BreakOffs {
    fn new(at: Millis) -> Self {
        Self { at, sent: BTreeMap::new() }
    }

    fn add(&mut self, content: RequestContent, sent: Millis) {
        let known = self.sent.entry(content).or_insert(sent);
        *known = sent.min(*known);
    }

    /// Returns the requests with the time for which they were in flight.
    fn in_flight(&self) -> impl Iterator<Item = InFlight> {
        self.sent.iter().map(|(content, sent)| InFlight {
            content: *content,
            for_ms: self.at.since(*sent),
        })
    }
}

/// Requests that broke off before any output, by upstream, until the probe has
/// shown whether the upstream crashed.
#[derive(Debug, Default)]
pub(super) struct PendingBreakOffs {
    by_upstream: RefCell<BTreeMap<UpstreamStart, BreakOffs>>,
}

impl PendingBreakOffs {
    /// Adds a request that was sent at `sent` and broke off at `at`, and
    /// returns whether it is the first of its upstream.
    fn add(
        &self,
        upstream: UpstreamStart,
        content: RequestContent,
        sent: Millis,
        at: Millis,
    ) -> bool {
        let mut by_upstream = self.by_upstream.borrow_mut();
        let is_first = !by_upstream.contains_key(&upstream);
        let break_offs =
            by_upstream.entry(upstream).or_insert_with(|| BreakOffs::new(at));
        break_offs.add(content, sent);
        is_first
    }

    /// Returns whether the result of the probe of an upstream is pending.
    fn is_pending(&self, upstream: &UpstreamStart) -> bool {
        self.by_upstream.borrow().contains_key(upstream)
    }

    /// Returns whether the results of the probes of several upstreams are
    /// pending.
    fn is_several(&self) -> bool {
        self.by_upstream.borrow().len() > 1
    }

    /// Removes and returns the requests of an upstream.
    fn take(&self, upstream: &UpstreamStart) -> Option<BreakOffs> {
        self.by_upstream.borrow_mut().remove(upstream)
    }
}

/// Handles a request that an upstream broke off before any output.
///
/// Connections break for many reasons. After a crash, the address of the
/// upstream refuses connections: within 1 ms of the crash, and seconds before
/// the entry of the upstream leaves the listing. A probe of the address
/// therefore distinguishes crashes from other failures.
pub(super) fn on_break_off(
    app: &Rc<App>,
    job: &Job,
    upstream: &Upstream,
    sent: Millis,
) {
    let (start, at) = (upstream.start(), app.now());
    if app.shared.crashes().has_crashed(start.tag()) {
        let mut break_offs = BreakOffs::new(at);
        break_offs.add(job.content(), sent);
        report_crash(app, &start, &break_offs);
        return;
    }
    let pending = &app.pending_break_offs;
    if pending.add(start.clone(), job.content(), sent, at) {
        let bound = current_bound(&app.shared.view.load(), job).into_owned();
        let (app, upstream) = (app.clone(), upstream.clone());
        tokio::task::spawn_local(async move {
            time::sleep(PROBE_DELAY).await;
            let has_crashed = has_crashed(&app, &bound, &upstream).await;
            let break_offs = app.pending_break_offs.take(&start);
            let is_crash =
                has_crashed && !is_planned_shutdown(&app, &start.id);
            if let (true, Some(break_offs)) = (is_crash, break_offs) {
                report_crash(&app, &start, &break_offs);
            }
        });
    }
}

/// Waits until the probe has shown whether an upstream crashed, if a crash
/// would lead to the refusal of the request, or other upstreams break off as
/// well. Without this wait, the request would be sent to another upstream and
/// could crash that one too, or to one that is crashing just now.
pub(super) async fn wait_for_probe(app: &App, job: &Job, upstream: &Upstream) {
    let start = upstream.start();
    // Most failures are not break-offs. Returning early avoids computing the
    // digest of the request for these.
    if !app.pending_break_offs.is_pending(&start) {
        return;
    }
    let is_near_refusal = app.shared.crashes().is_near_refusal(&job.content());
    let waits = is_near_refusal || app.pending_break_offs.is_several();
    while waits && app.pending_break_offs.is_pending(&start) {
        time::sleep(PROBE_DELAY).await;
    }
}

/// Returns whether an upstream accepts no connections.
///
/// The links of this gateway may refuse connections that the upstream would
/// accept, so the upstream counts as crashed only if other gateways are refused
/// as well. Without other gateways, this gateway's own links decide. Lost links
/// may also say nothing at all, so then only the other gateways are asked.
async fn has_crashed(
    app: &App,
    bound: &RegionBound,
    upstream: &Upstream,
) -> bool {
    let may_have_crashed = app.are_links_lost()
        || refuses_connections(app, upstream.address).await;
    if !may_have_crashed {
        return false;
    }
    let is_reached = tunnel::is_reached_by_peers(app, bound, upstream).await;
    if is_reached.is_none() && app.are_links_lost() {
        Event::CrashUnconfirmed { upstream: upstream.id.clone() }.log();
    }
    is_reached.map_or(!app.are_links_lost(), |is_reached| !is_reached)
}

/// Returns whether an address refuses connections.
async fn refuses_connections(app: &App, address: SocketAddr) -> bool {
    let connecting = app.connector.connect(address);
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
fn report_crash(app: &App, start: &UpstreamStart, break_offs: &BreakOffs) {
    let event = Event::UpstreamCrashed {
        upstream: start.id.clone(),
        under_way: break_offs.sent.keys().map(ToString::to_string).collect(),
    };
    event.log();
    app.shared.update_crashes(|crashes| {
        let in_flight = break_offs.in_flight();
        crashes.record_crash(start.tag(), in_flight, break_offs.at);
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

/// Waits until an in-flight request has to be cancelled because it crashes
/// upstreams. Records meanwhile whether the upstream outlives the request.
///
/// The request may be queued on an upstream and not have started to run.
/// Cancelling the send at this point keeps that upstream from crashing.
pub(super) async fn until_cancelled(
    app: &App,
    job: &Job,
    upstream: &Upstream,
    sent: Millis,
) {
    let mut changes = app.shared.watch_crashes();
    let mut is_outlived = false;
    loop {
        let suspicion = suspicion(app, job);
        let outlived_at = match suspicion {
            Suspicion::None => None,
            Suspicion::Suspect { outlived_after_ms }
            | Suspicion::Refused { outlived_after_ms } => {
                Some(sent + outlived_after_ms).filter(|_| !is_outlived)
            }
        };
        if outlived_at.is_some_and(|at| app.now() >= at) {
            is_outlived = true;
            record_survival(app, job, upstream, sent);
            continue;
        }
        if matches!(suspicion, Suspicion::Refused { .. }) {
            if is_outlived && !is_still_refused(app, job).await {
                continue;
            }
            return;
        }
        let changed = changes.changed();
        // The sender of changes lives as long as `app`, so there is no error.
        match outlived_at {
            None => {
                let _ = changed.await;
            }
            Some(at) => {
                let _ = app.shared.clock.wait_until(at, changed).await;
            }
        }
    }
}

/// Returns whether a request is refused even after other gateways have had the
/// time to report that upstreams outlive the request.
async fn is_still_refused(app: &App, job: &Job) -> bool {
    time::sleep(SURVIVAL_REPORT_TIME).await;
    remaining_refusal_ms(app, job).is_some()
}

/// Records that an upstream has outlived a suspected request.
fn record_survival(app: &App, job: &Job, upstream: &Upstream, sent: Millis) {
    let (content, tag) = (job.content(), upstream.start().tag());
    app.shared.update_crashes(|crashes| {
        crashes.record_survival(content, tag, sent, app.now());
    });
}

/// Returns whether a request may crash upstreams.
fn suspicion(app: &App, job: &Job) -> Suspicion {
    // Returning early avoids computing the digest of the request.
    if app.shared.crashes().is_empty() {
        return Suspicion::None;
    }
    let (content, now) = (job.content(), app.now());
    app.shared.crashes().suspicion(&content, now)
}
