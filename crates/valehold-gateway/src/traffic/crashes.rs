//! Requests that crash their upstreams: who was there, and who is refused.

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

/// How long after connections broke off the upstream is asked whether it is
/// there: a process that ends closes what it has one after the other.
const ASK_AFTER: Duration = Duration::from_millis(5);

/// How long it may take to answer that: a way to another region and back. One
/// that says nothing may be cut off, and did not crash for all that is known.
const ANSWERS_WITHIN: Duration = Duration::from_millis(300);

/// Requests that broke off without any output, by upstream, until it is known
/// whether that crashed.
#[derive(Debug, Default)]
pub(super) struct BrokenOff {
    requests: RefCell<BTreeMap<UpstreamStart, BTreeSet<RequestContent>>>,
}

impl BrokenOff {
    /// Adds a request; tells whether it is the first at its upstream.
    fn add(&self, upstream: UpstreamStart, content: RequestContent) -> bool {
        let mut requests = self.requests.borrow_mut();
        let is_first = !requests.contains_key(&upstream);
        requests.entry(upstream).or_default().insert(content);
        is_first
    }

    /// Tells whether it is not known yet what an upstream broke off for.
    fn has(&self, upstream: &UpstreamStart) -> bool {
        self.requests.borrow().contains_key(upstream)
    }

    fn take(&self, upstream: &UpstreamStart) -> BTreeSet<RequestContent> {
        self.requests.borrow_mut().remove(upstream).unwrap_or_default()
    }
}

/// Notes that an upstream broke off a request without any output of it.
///
/// Connections break for many reasons. A crash is told from these by the
/// upstream's address, which then refuses connections: within a ms, seconds
/// before its entry goes.
pub(super) fn broke_off(app: &Rc<App>, job: &Job, upstream: &Upstream) {
    let start = upstream.start();
    if app.shared.crashes().has_crashed(start.tag()) {
        note_crash(app, &start, BTreeSet::from([job.content()]));
        return;
    }
    if app.broken_off.add(start.clone(), job.content()) {
        let (app, address) = (app.clone(), upstream.address);
        tokio::task::spawn_local(async move {
            time::sleep(ASK_AFTER).await;
            let has_crashed = refuses(address).await;
            let under_way = app.broken_off.take(&start);
            if has_crashed && !is_planned(&app, &start.id) {
                note_crash(&app, &start, under_way);
            }
        });
    }
}

/// Waits until it is known whether an upstream crashed, for a request that
/// would then be refused: it is not to go to another one meanwhile.
pub(super) async fn until_known(app: &App, job: &Job, upstream: &Upstream) {
    let start = upstream.start();
    // Most failures are no break-offs, and need no digest of the request.
    if !app.broken_off.has(&start) {
        return;
    }
    let is_close = app.shared.crashes().is_near_refusal(&job.content());
    while is_close && app.broken_off.has(&start) {
        time::sleep(ASK_AFTER).await;
    }
}

/// Tells whether nobody takes connections at an address.
async fn refuses(address: SocketAddr) -> bool {
    let connecting = TcpStream::connect(address);
    match time::timeout(ANSWERS_WITHIN, connecting).await {
        Ok(Err(error)) => error.kind() == ErrorKind::ConnectionRefused,
        Ok(Ok(_)) | Err(_) => false,
    }
}

/// Tells whether an upstream said that it would end, or is not listed any
/// more: what it breaks off then is not a request's doing.
fn is_planned(app: &App, id: &UpstreamId) -> bool {
    let view = app.shared.view.load();
    let listed = view.listing.upstreams.get(id);
    let known = listed.or_else(|| view.lapsed.get(id));
    known.is_none_or(|upstream| upstream.leaving)
}

fn note_crash(
    app: &App,
    start: &UpstreamStart,
    under_way: BTreeSet<RequestContent>,
) {
    let event = Event::UpstreamCrashed {
        upstream: start.id.clone(),
        under_way: under_way.iter().map(ToString::to_string).collect(),
    };
    event.log();
    let now = app.now();
    app.shared.change_crashes(|book| {
        book.record_crash(start.tag(), under_way, now);
    });
}

/// Notes that an upstream answered a request with success, or began to: then
/// it does not crash those that run it.
pub(super) fn answered(app: &App, job: &Job) {
    if app.shared.crashes().is_empty() {
        return;
    }
    let (content, now) = (job.content(), app.now());
    app.shared.change_crashes(|book| book.record_answer(content, now));
}

/// Returns for how much longer a request is refused because it crashes its
/// upstreams, in ms; `None` if it is not.
pub(super) fn refused_ms(app: &App, job: &Job) -> Option<u64> {
    if app.shared.crashes().is_empty() {
        return None;
    }
    let (content, now) = (job.content(), app.now());
    app.shared.crashes().refused_ms(&content, now)
}

/// Waits until a request that is under way is to be refused.
///
/// It may wait at an upstream and not have begun to run: an upstream that it
/// leaves now does not crash.
pub(super) async fn is_refused(app: &App, job: &Job) {
    let mut changes = app.shared.watch_crashes();
    while refused_ms(app, job).is_none() {
        if changes.changed().await.is_err() {
            std::future::pending().await
        }
    }
}
