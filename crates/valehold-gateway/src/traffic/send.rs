//! Sends a request to an upstream, and evaluates the head of the answer.

use std::{io::ErrorKind, net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{
    HeaderMap, HeaderName, Request, Response, StatusCode, header,
    response::Parts,
};
use http_body_util::Full;
use hyper::{body::Incoming, client::conn::http1::SendRequest};
use valehold_core::{
    Verdict,
    fleet::{
        Upstream, brittle::RejectionCapacity, cold::SendPermit,
        rejections::Rejection,
    },
    reason::RetryReason,
};
use valehold_ports::port::fleet::Sending;

use super::{
    brittle::{self, BrittleAnswer},
    connect::{ConnectError, connect},
    permits,
    pool::Reuse,
    retry_after,
    route::Job,
    signals::{self, UpstreamSignals},
    state::App,
};
use crate::events::Event;

/// The maximum number of attempts that fail in a row because the connection
/// was closed before the request was written.
const MAX_CLOSED: usize = 3;

/// The least urgent grade that engines support.
const LEAST_URGENT: u8 = 9;

/// Hop-by-hop headers, which apply to one connection only.
const CONNECTION_HEADERS: [HeaderName; 7] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    header::TRANSFER_ENCODING,
    header::TE,
    header::TRAILER,
    header::UPGRADE,
];

/// A send without an answer that can be passed on to the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct SendFailure {
    /// Whether the request may have run.
    pub(super) verdict: Verdict,
    /// Whether the upstream may have received the request.
    pub(super) arrived: bool,
    /// The reason that is counted if a retry follows.
    pub(super) reason: RetryReason,
    /// For how long the upstream requests that this gateway back off.
    pub(super) backoff: Option<Duration>,
    /// The reason that the upstream gave for not running the request.
    pub(super) rejection: Option<Rejection>,
    /// Whether the connection ended before any output arrived.
    pub(super) cut_off: bool,
    /// Why no connection could be made.
    pub(super) connect_error: Option<ErrorKind>,
    /// Whether another gateway may reach the upstream and was not asked.
    pub(super) may_use_peer: bool,
}

impl SendFailure {
    /// Nothing was sent.
    fn not_sent() -> Self {
        Self {
            verdict: Verdict::NotRun,
            arrived: false,
            reason: RetryReason::ConnectFailed,
            backoff: None,
            rejection: None,
            cut_off: false,
            connect_error: None,
            may_use_peer: false,
        }
    }

    /// Nothing was sent, since no connection could be made.
    fn unconnected(failure: &ConnectError) -> Self {
        Self {
            connect_error: Some(failure.error.kind()),
            may_use_peer: failure.may_use_peer,
            ..Self::not_sent()
        }
    }

    /// Nothing was sent, since the upstream may no longer be sent to.
    fn withheld(reason: RetryReason) -> Self {
        Self { reason, ..Self::not_sent() }
    }

    /// Returns whether the upstream could no longer be sent to.
    pub(super) fn is_withheld(&self) -> bool {
        matches!(
            self.reason,
            RetryReason::RightOver
                | RetryReason::UpstreamLeaving
                | RetryReason::UpstreamBrittle
                | RetryReason::UpstreamResting
        )
    }

    /// The upstream states that it did not run the request.
    fn refused(why: Rejection, backoff: Option<Duration>) -> Self {
        Self {
            verdict: Verdict::NotRun,
            arrived: true,
            reason: RetryReason::RefusedByUpstream,
            backoff,
            rejection: Some(why),
            ..Self::not_sent()
        }
    }

    /// The request was sent, and nothing proves that it did not run.
    pub(super) fn broken() -> Self {
        Self {
            verdict: Verdict::MayHaveRun,
            arrived: true,
            reason: RetryReason::FailedBeforeOutput,
            ..Self::not_sent()
        }
    }

    /// The request was sent, and the connection ended before any output.
    pub(super) fn cut_off() -> Self {
        Self { cut_off: true, ..Self::broken() }
    }
}

/// An answer whose head arrived.
pub(super) struct BegunAnswer {
    pub(super) head: Parts,
    pub(super) body: Incoming,
    pub(super) sender: SendRequest<Full<Bytes>>,
    /// How the connection may be reused; `None` if it is closed.
    pub(super) reuse: Option<Reuse>,
    /// Whether only the end of the connection ends the body.
    pub(super) ends_with_connection: bool,
}

/// Sends a request, and waits for the head of the answer.
pub(super) async fn send(
    app: &App,
    job: &Job,
    upstream: &Upstream,
    right: Option<SendPermit>,
    after_event: Option<u64>,
) -> Result<BegunAnswer, SendFailure> {
    let clock = &app.shared.clock;
    let mut sending = Sending {
        upstream: upstream.id.clone(),
        left: clock.until(app.request_end(job.deadline)),
        workspace: job.workspace.as_ref().map(|one| one.name.clone()),
        urgency: job.engine_spec().map(|_| job.urgency().min(LEAST_URGENT)),
        after_event,
    };
    let mut request = write_request(job);
    // The permission to send the first request after a backoff also holds for
    // another attempt on a second connection.
    let mut is_cleared = false;
    for _ in 0..MAX_CLOSED {
        let mut connection = connect(app, job, upstream)
            .await
            .map_err(|error| on_unconnected(app, job, upstream, &error))?;
        if let Some(connect_time) = connection.connect_time {
            app.record_connect_time(&upstream.data_centre, connect_time);
        }
        // Connecting takes time, and the machine may have been suspended
        // meanwhile, so the remaining time is computed again.
        sending.left = clock.until(app.request_end(job.deadline));
        if sending.left.is_zero() {
            return Err(SendFailure::not_sent());
        }
        app.dialect.write_request(request.headers_mut(), &sending);
        if !permits::may_send(app, job, upstream, right) {
            return Err(SendFailure::withheld(RetryReason::RightOver));
        }
        if signals::has_left(app, upstream) {
            let reason = RetryReason::UpstreamLeaving;
            return Err(SendFailure::withheld(reason));
        }
        if brittle::is_held_back(app, upstream) {
            let reason = RetryReason::UpstreamBrittle;
            return Err(SendFailure::withheld(reason));
        }
        if !is_cleared && !signals::may_send(app, upstream) {
            let reason = RetryReason::UpstreamResting;
            return Err(SendFailure::withheld(reason));
        }
        is_cleared = true;
        let limit_number =
            app.shared.upstream_limits().number(&upstream.start());
        let answering = connection.sender.try_send_request(request);
        match answering.await {
            Ok(answer) => {
                let via = connection.via;
                let answer = NumberedAnswer { answer, limit_number, via };
                return evaluate_head(
                    app,
                    job,
                    upstream,
                    answer,
                    connection.sender,
                );
            }
            Err(mut error) => match error.take_message() {
                // The request was never written: the reused connection was
                // already closed.
                Some(unsent) if connection.is_reused => request = unsent,
                Some(_) => return Err(SendFailure::not_sent()),
                None => {
                    log::debug!(
                        "{} ended the connection early: {}",
                        upstream.id,
                        error.error()
                    );
                    permits::on_possible_restart(app, job, upstream);
                    return Err(SendFailure::cut_off());
                }
            },
        }
    }
    Err(SendFailure::not_sent())
}

/// Records that there is no connection to an upstream.
fn on_unconnected(
    app: &App,
    job: &Job,
    upstream: &Upstream,
    failure: &ConnectError,
) -> SendFailure {
    let (id, error) = (upstream.id.clone(), failure.error.to_string());
    Event::UpstreamUnreachable { upstream: id, error }.log();
    if failure.may_be_upstream {
        let start = upstream.start();
        app.update_health(&start, |h, now| h.record_unreachable(now));
        permits::on_possible_restart(app, job, upstream);
    }
    SendFailure::unconnected(failure)
}

fn write_request(job: &Job) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(job.body.clone()));
    *request.method_mut() = job.head.method.clone();
    *request.uri_mut() = path_only(&job.head.uri);
    let headers = request.headers_mut();
    *headers = job.head.headers.clone();
    strip(headers);
    headers.remove(header::EXPECT);
    headers.remove(header::CONTENT_LENGTH);
    let had_body = job.head.headers.contains_key(header::CONTENT_LENGTH)
        || job.head.headers.contains_key(header::TRANSFER_ENCODING);
    if had_body {
        headers.insert(header::CONTENT_LENGTH, job.body.len().into());
    }
    request
}

fn path_only(uri: &http::Uri) -> http::Uri {
    let path = uri.path_and_query().cloned();
    path.map_or_else(|| uri.clone(), http::Uri::from)
}

/// Removes hop-by-hop headers, including those named by `Connection`.
pub(super) fn strip(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in CONNECTION_HEADERS.iter().chain(&named) {
        headers.remove(name);
    }
}

/// An answer and what was known of the upstream when its request was sent.
struct NumberedAnswer {
    answer: Response<Incoming>,
    /// The number of the upstream's limit.
    limit_number: u64,
    /// The gateway whose tunnel the answer came through, if any.
    via: Option<SocketAddr>,
}

/// Decides by the head of an answer whether the answer can be passed on.
fn evaluate_head(
    app: &App,
    job: &Job,
    upstream: &Upstream,
    answered: NumberedAnswer,
    sender: SendRequest<Full<Bytes>>,
) -> Result<BegunAnswer, SendFailure> {
    let (mut head, body) = answered.answer.into_parts();
    let ends_with_connection = ends_with_connection(&head.headers);
    let stated = app.dialect.read_answer(head.status, &head.headers);
    let capacity = stated.rejections.map(RejectionCapacity);
    let signals = |backoff| UpstreamSignals {
        leaving: stated.leaving,
        backoff,
        limit: stated.limit,
        limit_number_at_send: answered.limit_number,
    };
    if stated.id != job.request.id || !is_final(head.status) {
        // It is no answer to this request, so the connection is closed.
        return Err(SendFailure::broken());
    }
    if stated.not_run {
        let why = match head.status {
            StatusCode::MISDIRECTED_REQUEST => Rejection::NotHeld,
            _ => Rejection::Busy,
        };
        let backoff = retry_after::read(&head.headers);
        if why == Rejection::Busy {
            signals::record(app, upstream, signals(backoff));
            let is_rejection = true;
            let answer = BrittleAnswer { capacity, is_rejection };
            brittle::record(app, upstream, answer);
        }
        return Err(SendFailure::refused(why, backoff));
    }
    if answered.via.is_none() {
        app.record_heard(&upstream.start());
    }
    // A gateway that ends closes its tunnels, which must not look like the end
    // of an answer.
    let is_invalid = head.headers.contains_key(header::CONTENT_ENCODING)
        || (head.status.is_success() && !stated.signed)
        || (answered.via.is_some() && ends_with_connection);
    if is_invalid {
        return Err(SendFailure::broken());
    }
    let answer = BrittleAnswer { capacity, is_rejection: false };
    brittle::record(app, upstream, answer);
    let backoff = match may_request_backoff(head.status) {
        true => retry_after::read(&head.headers),
        false => None,
    };
    signals::record(app, upstream, signals(backoff));
    if !may_request_backoff(head.status) {
        app.shared.backoffs().record_accepted(&upstream.start(), app.now());
    }
    let reuse = reuse_after(&head.headers, stated.rest, answered.via);
    strip(&mut head.headers);
    head.headers.remove(header::CONTENT_LENGTH);
    Ok(BegunAnswer { head, body, sender, reuse, ends_with_connection })
}

/// Returns whether a status is one of a final answer. Statuses below 100 are
/// errors of the HTTP library.
fn is_final(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

/// Returns whether only the end of the connection ends the body of an answer.
fn ends_with_connection(headers: &HeaderMap) -> bool {
    !headers.contains_key(header::CONTENT_LENGTH)
        && !headers.contains_key(header::TRANSFER_ENCODING)
}

/// Returns how a connection may be reused after an answer with some headers;
/// `None` if the connection is closed.
pub(super) fn reuse_after(
    headers: &HeaderMap,
    stated: Option<Duration>,
    via: Option<SocketAddr>,
) -> Option<Reuse> {
    let closes = headers
        .get_all(header::CONNECTION)
        .iter()
        .any(|v| v.as_bytes().eq_ignore_ascii_case(b"close"));
    let stays_open = !closes && !ends_with_connection(headers);
    stays_open.then_some(Reuse { stated, via })
}

/// Returns whether an answer with a status may request a backoff.
fn may_request_backoff(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE
    )
}

/// Returns whether a status guarantees that the request has not run.
pub(super) fn guarantees_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
            | StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
    )
}
