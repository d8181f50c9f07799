//! Decides whether an answer is whole that ended with its connection.
//!
//! An answer without a length and without chunks ends where its connection
//! ends, and so does one that the end of its upstream cuts off. The answer is
//! whole only if the start of the upstream that gave it is alive afterwards, and
//! stays so for a while if it is leaving. A
//! connection that the address accepts does not show that: another engine, or
//! a later start of the same one, may have the address by the time at which
//! the end is read. So the upstream is asked which one it is.

use std::{io, time::Duration};

use bytes::Bytes;
use http::{Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use tokio::time;
use valehold_core::{
    Millis,
    fleet::{Upstream, UpstreamStart, brittle::RejectionCapacity},
};
use valehold_ports::port::fleet::Sending;

use super::{
    brittle::{self, BrittleAnswer},
    connect::connect,
    route::Job,
    send::reuse_after,
    state::App,
};

/// The delay between the end of a connection and the question. A process that
/// ends closes its connections one after the other, so an immediate question
/// could still be answered.
const CLOSE_DELAY: Duration = Duration::from_millis(5);

/// The delay before an upstream that leaves is asked once more. A process that
/// ends is gone by then.
const LEAVING_DELAY: Duration = Duration::from_millis(300);

/// How long the upstream may take each time to show that it is alive, in ms. A
/// sound one may be silent for a second or more.
const MAX_SILENCE_MS: u64 = 2_500;

/// The delay before a question that failed is repeated: an upstream resets
/// connections beyond those that it accepts.
const REPEAT_DELAY: Duration = Duration::from_millis(100);

/// The maximum size in bytes of what an upstream says about itself.
const MAX_REPORT_BYTES: usize = 1 << 20;

/// Which start of which upstream answers at an address, compared with the one
/// that is meant.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Identity {
    Same,
    /// The same start, which says that it is leaving.
    Leaving,
    Another,
    /// The answer does not tell.
    Untold,
}

/// Why a question to an upstream got no answer.
#[derive(Debug, thiserror::Error)]
enum QuestionError {
    #[error("no connection: {0}")]
    Unconnected(io::Error),
    #[error("the question cannot be written: {0}")]
    NotWritable(#[from] http::Error),
    #[error("no answer: {0}")]
    Unanswered(#[from] hyper::Error),
    #[error("the answer broke off: {0}")]
    BrokenOff(Box<dyn std::error::Error + Send + Sync>),
}

impl QuestionError {
    /// Returns whether nothing has the upstream's address any more.
    fn is_final(&self) -> bool {
        matches!(self, Self::Unconnected(error)
            if error.kind() == io::ErrorKind::ConnectionRefused)
    }
}

/// Returns whether an answer is whole whose connection ended at `ended`.
///
/// The answer is whole if the start of the upstream that gave it shows after
/// the end that it is alive, and has not crashed. One that leaves has to show
/// itself once more after a while: an upstream that ends closes its connections
/// one after the other, and may answer until the last. Whether a request made
/// the upstream crash is another matter: an answer that a planned shutdown cuts
/// off is not whole either.
pub(super) async fn is_whole(
    app: &App,
    job: &Job,
    upstream: &Upstream,
    ended: Millis,
) -> bool {
    stays_alive(app, job, upstream, ended).await
        && !has_crashed(app, &upstream.start())
}

/// Returns whether the start of an upstream is alive after the end of an answer
/// at `ended`.
async fn stays_alive(
    app: &App,
    job: &Job,
    upstream: &Upstream,
    ended: Millis,
) -> bool {
    time::sleep(CLOSE_DELAY).await;
    let until = ended + MAX_SILENCE_MS;
    let Some(identity) = shows_itself_until(app, job, upstream, until).await
    else {
        return false;
    };
    let is_staying = is_staying(app, &upstream.start());
    if is_staying && identity != Identity::Leaving {
        return true;
    }
    time::sleep(LEAVING_DELAY).await;
    let until = until + Millis::from(LEAVING_DELAY).get() + MAX_SILENCE_MS;
    shows_itself_until(app, job, upstream, until).await.is_some()
}

/// Asks an upstream which start of which upstream it is, until a moment or the
/// end of the request's time. Returns `None` if it is not shown to be the one
/// that is meant.
async fn shows_itself_until(
    app: &App,
    job: &Job,
    upstream: &Upstream,
    until: Millis,
) -> Option<Identity> {
    let until = until.min(job.deadline);
    let showing = shows_itself(app, job, upstream);
    let shown = app.shared.clock.wait_until(until, showing).await;
    if shown.is_none() {
        log_not_shown(upstream, "it does not say which one it is");
    }
    shown.flatten()
}

/// Returns whether a start of an upstream is listed and is not leaving.
fn is_staying(app: &App, start: &UpstreamStart) -> bool {
    let view = app.shared.view.load();
    let listed = view.listing.get_start(start);
    listed.is_some_and(|listed| !listed.leaving)
}

fn has_crashed(app: &App, start: &UpstreamStart) -> bool {
    app.shared.crashes().has_crashed(start.tag())
}

/// Asks an upstream which start of which upstream it is, until it answers or
/// nothing has its address any more. Returns `None` if it is not the one that
/// is meant.
async fn shows_itself(
    app: &App,
    job: &Job,
    upstream: &Upstream,
) -> Option<Identity> {
    while !has_crashed(app, &upstream.start()) {
        // A brittle upstream falls over if it has to reject too much.
        while brittle::is_held_back(app, upstream) {
            time::sleep(REPEAT_DELAY).await;
        }
        match identify(app, job, upstream).await {
            Ok(identity @ (Identity::Same | Identity::Leaving)) => {
                return Some(identity);
            }
            Ok(identity) => {
                let why = format!("the start at its address: {identity:?}");
                log_not_shown(upstream, &why);
                return None;
            }
            Err(error) if error.is_final() => {
                log_not_shown(upstream, &error.to_string());
                return None;
            }
            Err(error) => {
                log::debug!("{} did not say who it is: {error}", upstream.id);
            }
        }
        time::sleep(REPEAT_DELAY).await;
    }
    log_not_shown(upstream, "it has crashed");
    None
}

/// Returns whether another start of any upstream has the address of an upstream
/// within a time: the upstream has ended then, although its address accepts
/// connections.
pub(super) async fn is_replaced(
    app: &App,
    job: &Job,
    upstream: &Upstream,
    within: Duration,
) -> bool {
    if brittle::is_held_back(app, upstream) {
        return false;
    }
    let identifying = time::timeout(within, identify(app, job, upstream));
    match identifying.await {
        Ok(Ok(identity)) => identity == Identity::Another,
        Ok(Err(error)) => {
            log::debug!("{} did not say who it is: {error}", upstream.id);
            false
        }
        Err(_) => false,
    }
}

/// Asks the process at an upstream's address which start of which upstream it
/// is.
async fn identify(
    app: &App,
    job: &Job,
    upstream: &Upstream,
) -> Result<Identity, QuestionError> {
    let path = app.dialect.health_path();
    let answer = ask(app, job, upstream, path).await?;
    let identity = identity_in(app, upstream, &answer);
    let Some(started_at_ms) = upstream.started_at_ms else {
        return Ok(identity);
    };
    if !matches!(identity, Identity::Same | Identity::Leaving) {
        return Ok(identity);
    }
    let path = app.dialect.report_path();
    let report = ask(app, job, upstream, path).await?;
    Ok(match app.dialect.read_birth(report.body()) {
        Some(stated) if stated == started_at_ms => identity,
        Some(_) => Identity::Another,
        None => Identity::Untold,
    })
}

/// Returns which upstream gave the answer to a question that was meant for an
/// upstream. An upstream that has no room rejects the question without its
/// name, but any other one would say that it is not the one meant.
fn identity_in(
    app: &App,
    upstream: &Upstream,
    answer: &Response<Bytes>,
) -> Identity {
    let stated = app.dialect.read_answer(answer.status(), answer.headers());
    let is_other = answer.status() == StatusCode::MISDIRECTED_REQUEST;
    let is_rejection = stated.not_run && !is_other;
    let identity = match stated.instance {
        Some(id) if id == upstream.id => Identity::Same,
        Some(_) => Identity::Another,
        None if is_other => Identity::Another,
        None if is_rejection => Identity::Same,
        None => Identity::Untold,
    };
    if identity == Identity::Same && is_rejection {
        let capacity = stated.rejections.map(RejectionCapacity);
        let answer = BrittleAnswer { capacity, is_rejection };
        brittle::record(app, upstream, answer);
    }
    if identity == Identity::Same && stated.leaving {
        app.shared.report_leaving(upstream.start());
        return Identity::Leaving;
    }
    identity
}

/// Sends a question that only one upstream answers, over an idle connection
/// if there is one.
async fn ask(
    app: &App,
    job: &Job,
    upstream: &Upstream,
    path: &str,
) -> Result<Response<Bytes>, QuestionError> {
    let request = question(app, job, upstream, path)?;
    let mut connection = connect(app, job, upstream)
        .await
        .map_err(|failure| QuestionError::Unconnected(failure.error))?;
    let answer = connection.sender.send_request(request).await?;
    let (head, body) = answer.into_parts();
    let reading = Limited::new(body, MAX_REPORT_BYTES).collect();
    let body = reading.await.map_err(QuestionError::BrokenOff)?.to_bytes();
    let stated = app.dialect.read_answer(head.status, &head.headers);
    let reuse = reuse_after(&head.headers, stated.rest, connection.via);
    if let Some(reuse) = reuse {
        app.pool.put_back(&upstream.start(), connection.sender, reuse);
    }
    Ok(Response::from_parts(head, body))
}

/// Writes a question that only one upstream answers.
fn question(
    app: &App,
    job: &Job,
    upstream: &Upstream,
    path: &str,
) -> Result<Request<Full<Bytes>>, http::Error> {
    let mut request = Request::get(path)
        .header(header::HOST, upstream.address.to_string())
        .body(Full::default())?;
    let sending = Sending {
        upstream: upstream.id.clone(),
        left: app.shared.clock.until(job.deadline),
        workspace: None,
        urgency: None,
        after_event: None,
    };
    app.dialect.write_request(request.headers_mut(), &sending);
    Ok(request)
}

fn log_not_shown(upstream: &Upstream, why: &str) {
    let id = &upstream.id;
    log::info!("an answer of {id} is not shown to be whole: {why}");
}
