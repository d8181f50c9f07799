//! Detects crashes of upstreams, and refuses requests that cause them.

use std::{
    cell::RefCell,
    collections::{BTreeMap, BTreeSet},
    io::ErrorKind,
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use futures::{StreamExt, stream::FuturesUnordered};
use rand::seq::IteratorRandom;
use tokio::time;
use valehold_core::{
    Millis,
    fleet::{
        RegionBound, Upstream, UpstreamStart,
        crashes::{InFlight, PartId, RequestContent, Suspicion},
    },
    id::UpstreamId,
    reason::RefusalReason,
};

use super::{
    after_close::is_replaced, choose::current_bound, route::Job, state::App,
    tunnel,
};
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

/// The number of other upstreams that are connected to, to find out whether
/// this gateway's own links work: several may have crashed as well.
const MAX_OTHERS: usize = 4;

/// The time for which a request that an upstream has outlived stays there
/// after it was refused. Other gateways report meanwhile which upstreams have
/// outlived the request as well, and two of them end the refusal.
const SURVIVAL_REPORT_TIME: Duration = Duration::from_millis(200);

/// The time for which an answer has to go on after its first output until the
/// upstream counts as having outlived the request. Upstreams may crash after
/// they have sent a status or some output.
pub(super) const OUTLIVED_AFTER_OUTPUT: Duration = Duration::from_secs(1);

/// A request that was broken off.
#[derive(Debug, Clone)]
struct BrokenRequest {
    /// When the request was sent. Of several attempts at it, the first.
    sent: Millis,
    /// The parts of its prompt that other requests may share.
    shared_parts: BTreeSet<PartId>,
}

/// Requests that one upstream broke off before any output, or soon after.
#[derive(Debug, Clone)]
struct BreakOffs {
    /// When the first of them broke off.
    at: Millis,
    requests: BTreeMap<RequestContent, BrokenRequest>,
}

impl BreakOffs {
    fn new(at: Millis) -> Self {
        Self { at, requests: BTreeMap::new() }
    }

    fn add(&mut self, job: &Job, sent: Millis) {
        let known = self.requests.entry(job.content()).or_insert_with(|| {
            let shared_parts = job.shared_parts().clone();
            BrokenRequest { sent, shared_parts }
        });
        known.sent = sent.min(known.sent);
    }

    /// Returns the requests with the time for which they were in flight.
    fn in_flight(&self) -> impl Iterator<Item = InFlight> {
        self.requests.iter().map(|(content, request)| InFlight {
            content: *content,
            for_ms: self.at.since(request.sent),
        })
    }
}

/// Requests that broke off before any output or soon after, by upstream, until
/// the probe has shown whether the upstream crashed.
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
        job: &Job,
        sent: Millis,
        at: Millis,
    ) -> bool {
        let mut by_upstream = self.by_upstream.borrow_mut();
        let is_first = !by_upstream.contains_key(&upstream);
        let break_offs =
            by_upstream.entry(upstream).or_insert_with(|| BreakOffs::new(at));
        break_offs.add(job, sent);
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

/// Handles a request that an upstream broke off before any output, or soon
/// after.
///
/// Connections break for many reasons. After a crash, the address of the
/// upstream refuses connections: within 1 ms of the crash, and seconds before
/// the entry of the upstream leaves the listing. A probe of the address
/// therefore distinguishes crashes from other failures. A gateway that was
/// suspended probes late, when another start may have the address: so that
/// start is asked which one it is.
pub(super) fn on_break_off(
    app: &Rc<App>,
    job: &Job,
    upstream: &Upstream,
    sent: Millis,
) {
    let (start, at) = (upstream.start(), app.now());
    if app.shared.crashes().has_crashed(start.tag()) {
        let mut break_offs = BreakOffs::new(at);
        break_offs.add(job, sent);
        report_crash(app, &start, &break_offs);
        return;
    }
    let pending = &app.pending_break_offs;
    if pending.add(start.clone(), job, sent, at) {
        let bound = current_bound(&app.shared.view.load(), job).into_owned();
        let (app, upstream) = (app.clone(), upstream.clone());
        let job = job.clone();
        tokio::task::spawn_local(async move {
            time::sleep(PROBE_DELAY).await;
            let has_crashed = has_crashed(&app, &bound, &upstream).await
                || is_replaced(&app, &job, &upstream, PROBE_TIMEOUT).await;
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
    let waits =
        is_near_refusal(app, job) || app.pending_break_offs.is_several();
    while waits && app.pending_break_offs.is_pending(&start) {
        time::sleep(PROBE_DELAY).await;
    }
}

/// Returns whether one more crash may be enough for a request to be refused.
fn is_near_refusal(app: &App, job: &Job) -> bool {
    let content = job.content();
    let crashes = app.shared.crashes();
    crashes.is_near_refusal(&content)
        || crashes.are_parts_near_refusal(job.shared_parts())
}

/// Returns whether an upstream accepts no connections.
///
/// The links of this gateway may refuse connections that the upstream would
/// accept, so the upstream counts as crashed only if other gateways are refused
/// as well. Lost links may also say nothing at all, so then only the other
/// gateways are asked.
///
/// While many upstreams refuse connections, all gateways may take their own
/// links for lost and tell nothing. If no other gateway tells, this gateway's
/// own links decide, once another upstream has shown that they work.
async fn has_crashed(
    app: &App,
    bound: &RegionBound,
    upstream: &Upstream,
) -> bool {
    let refuses = refuses_connections(app, upstream.address).await;
    if !refuses && !app.are_links_lost() {
        return false;
    }
    let is_reached = tunnel::is_reached_by_peers(app, bound, upstream).await;
    if let Some(is_reached) = is_reached {
        return !is_reached;
    }
    let have_links_failed =
        app.are_links_lost() && !reaches_another(app, upstream).await;
    if have_links_failed {
        Event::CrashUnconfirmed { upstream: upstream.id.clone() }.log();
    }
    refuses && !have_links_failed
}

/// Returns whether any of a few other upstreams accepts a connection over this
/// gateway's own links.
async fn reaches_another(app: &App, upstream: &Upstream) -> bool {
    let others = {
        let view = app.shared.view.load();
        let crashes = app.shared.crashes();
        let others = view.listing.upstreams.values().filter(|other| {
            other.id != upstream.id
                && !crashes.has_crashed(other.start().tag())
        });
        others.cloned().choose_multiple(&mut rand::rng(), MAX_OTHERS)
    };
    let mut connecting: FuturesUnordered<_> = others
        .iter()
        .map(|other| {
            let start = other.start();
            async move { app.connect_directly(&start, other.address).await }
        })
        .collect();
    while let Some(connected) = connecting.next().await {
        if connected.is_ok() {
            return true;
        }
    }
    false
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
        under_way: break_offs
            .requests
            .keys()
            .map(ToString::to_string)
            .collect(),
    };
    event.log();
    app.shared.update_crashes(|crashes| {
        for (content, request) in &break_offs.requests {
            let parts = request.shared_parts.iter().copied();
            crashes.record_prompt(*content, parts, break_offs.at);
        }
        let in_flight = break_offs.in_flight();
        crashes.record_crash(start.tag(), in_flight, break_offs.at);
    });
}

/// Records that an upstream began to answer a request with success at `began`,
/// and went on for [`OUTLIVED_AFTER_OUTPUT`] or to the end. The request and the
/// parts of its prompt then count as not crashing upstreams.
pub(super) fn record_answer(app: &App, job: &Job, began: Millis) {
    if app.shared.crashes().is_empty() {
        return;
    }
    let (content, now) = (job.content(), app.now());
    app.shared.update_crashes(|crashes| {
        crashes.record_answer(content, now);
        crashes.record_sound_parts(job.shared_parts(), began, now);
    });
}

/// The refusal of a request that crashes upstreams.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct CrashRefusal {
    pub(super) reason: RefusalReason,
    /// The time for which the request is still refused, in ms.
    pub(super) left_ms: u64,
}

/// Returns the refusal of a request that crashes upstreams, or whose prompt
/// has a part that does; `None` if the request is not refused.
pub(super) fn current_refusal(app: &App, job: &Job) -> Option<CrashRefusal> {
    // Returning early avoids computing the digest of the request.
    if app.shared.crashes().is_empty() {
        return None;
    }
    let (content, now) = (job.content(), app.now());
    let crashes = app.shared.crashes();
    let own = crashes.refused_ms(&content, now).map(|left_ms| CrashRefusal {
        reason: RefusalReason::CrashesUpstreams,
        left_ms,
    });
    let part = crashes.parts_refused_ms(job.shared_parts(), now);
    let part = part.map(|left_ms| CrashRefusal {
        reason: RefusalReason::PartCrashesUpstreams,
        left_ms,
    });
    own.into_iter().chain(part).max_by_key(|refusal| refusal.left_ms)
}

/// Returns whether a request is refused because it crashes upstreams.
pub(super) fn is_refused(app: &App, job: &Job) -> bool {
    current_refusal(app, job).is_some()
}

/// Returns whether a request is refused because of a part of its prompt.
fn is_refused_for_part(app: &App, job: &Job) -> bool {
    let crashes = app.shared.crashes();
    !crashes.is_empty()
        && crashes.parts_refused_ms(job.shared_parts(), app.now()).is_some()
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
        if is_refused_for_part(app, job) {
            return;
        }
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
    is_refused(app, job)
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
