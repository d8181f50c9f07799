//! Bringing a request to an upstream, and what its answer's head says.

use std::time::Duration;

use bytes::Bytes;
use http::{
    HeaderMap, HeaderName, Request, Response, StatusCode, header,
    response::Parts,
};
use http_body_util::Full;
use hyper::{body::Incoming, client::conn::http1::SendRequest};
use valehold_core::{
    Millis, Verdict,
    fleet::{Upstream, cold::SendPermit, rejections::Rejection},
    reason::RetryReason,
};
use valehold_ports::port::fleet::Sending;

use super::{
    permits, retry_after,
    route::Job,
    state::App,
    words::{self, Words},
};
use crate::events::Event;

/// How many connections in a row may turn out closed before the request was
/// written.
const MOST_CLOSED: usize = 3;

/// The least urgent grade that engines know.
const LEAST_URGENT: u8 = 9;

/// Headers that pertain to one connection only.
const CONNECTION_HEADERS: [HeaderName; 7] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    header::TRANSFER_ENCODING,
    header::TE,
    header::TRAILER,
    header::UPGRADE,
];

/// A send that brought no answer to pass on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct SendFailure {
    /// Whether the request may have run.
    pub(super) verdict: Verdict,
    /// Whether the upstream may have received it.
    pub(super) arrived: bool,
    /// What is counted if another send follows.
    pub(super) reason: RetryReason,
    /// For how long the upstream asks for rest.
    pub(super) rest: Option<Duration>,
    /// Why the upstream says that it did not run the request.
    pub(super) turned_away: Option<Rejection>,
    /// Whether the connection ended before there was any output.
    pub(super) cut_off: bool,
}

impl SendFailure {
    /// Nothing left this gateway.
    fn not_sent() -> Self {
        Self {
            verdict: Verdict::NotRun,
            arrived: false,
            reason: RetryReason::ConnectFailed,
            rest: None,
            turned_away: None,
            cut_off: false,
        }
    }

    /// Nothing left this gateway: the upstream is not to be sent to any more.
    fn withheld(reason: RetryReason) -> Self {
        Self { reason, ..Self::not_sent() }
    }

    /// Tells whether the upstream was not to be sent to any more.
    pub(super) fn is_withheld(&self) -> bool {
        matches!(
            self.reason,
            RetryReason::RightOver
                | RetryReason::UpstreamLeaving
                | RetryReason::UpstreamResting
        )
    }

    /// The upstream says that it did not run the request.
    fn refused(why: Rejection, rest: Option<Duration>) -> Self {
        Self {
            verdict: Verdict::NotRun,
            arrived: true,
            reason: RetryReason::RefusedByUpstream,
            rest,
            turned_away: Some(why),
            cut_off: false,
        }
    }

    /// It was sent, and nothing tells that it did not run.
    pub(super) fn broken() -> Self {
        Self {
            verdict: Verdict::MayHaveRun,
            arrived: true,
            reason: RetryReason::FailedBeforeOutput,
            rest: None,
            turned_away: None,
            cut_off: false,
        }
    }

    /// It was sent, and the connection ended before there was any output.
    pub(super) fn cut_off() -> Self {
        Self { cut_off: true, ..Self::broken() }
    }
}

/// An answer that began.
pub(super) struct BegunAnswer {
    pub(super) head: Parts,
    pub(super) body: Incoming,
    pub(super) sender: SendRequest<Full<Bytes>>,
    /// For how long the connection may rest; `None` if it is not kept.
    pub(super) rest: Option<Rest>,
}

/// How long a connection may rest after its answer.
#[derive(Debug, Clone, Copy)]
pub(super) struct Rest {
    /// What the upstream stated, if anything.
    pub(super) stated: Option<Duration>,
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
        left: clock.until(job.deadline),
        workspace: job.workspace.as_ref().map(|one| one.name.clone()),
        urgency: job.engine_spec().map(|_| job.urgency().min(LEAST_URGENT)),
        after_event,
    };
    let mut request = write_request(job);
    // The first request after a rest is this one also on a second connection.
    let mut is_cleared = false;
    for _ in 0..MOST_CLOSED {
        let taken = app.pool.take(&upstream.start(), upstream.address).await;
        let mut connection = taken.map_err(|error| {
            let upstream_id = upstream.id.clone();
            let error = error.to_string();
            Event::UpstreamUnreachable { upstream: upstream_id, error }.log();
            let start = upstream.start();
            app.update_health(&start, |h, now| h.record_unreachable(now));
            permits::on_possible_restart(app, job, upstream);
            SendFailure::not_sent()
        })?;
        if let Some(made_in) = connection.made_in {
            app.record_connect_time(&upstream.data_centre, made_in);
        }
        // A connection takes time to be made, and the machine may have been
        // suspended meanwhile: what is left is said as of now.
        sending.left = clock.until(job.deadline);
        if sending.left.is_zero() {
            return Err(SendFailure::not_sent());
        }
        app.dialect.write_request(request.headers_mut(), &sending);
        if !permits::may_send(app, job, upstream, right) {
            return Err(SendFailure::withheld(RetryReason::RightOver));
        }
        if words::has_left(app, upstream) {
            let reason = RetryReason::UpstreamLeaving;
            return Err(SendFailure::withheld(reason));
        }
        if !is_cleared && !words::may_send(app, upstream) {
            let reason = RetryReason::UpstreamResting;
            return Err(SendFailure::withheld(reason));
        }
        is_cleared = true;
        let sent = app.now();
        let answering = connection.sender.try_send_request(request);
        match answering.await {
            Ok(answer) => {
                let answer = Answered { answer, sent };
                return begun(app, job, upstream, answer, connection.sender);
            }
            Err(mut error) => match error.take_message() {
                // It was never written: the connection was closed already.
                Some(unsent) if connection.made_in.is_none() => {
                    request = unsent
                }
                Some(_) => return Err(SendFailure::not_sent()),
                None => {
                    log::debug!(
                        "{} broke off: {}",
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

/// Takes off what pertains to one connection only.
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

/// An answer of which the head arrived.
struct Answered {
    answer: Response<Incoming>,
    /// When its request was sent.
    sent: Millis,
}

/// Judges the head of an answer.
fn begun(
    app: &App,
    job: &Job,
    upstream: &Upstream,
    answered: Answered,
    sender: SendRequest<Full<Bytes>>,
) -> Result<BegunAnswer, SendFailure> {
    let (mut head, body) = answered.answer.into_parts();
    let said = app.dialect.read_answer(head.status, &head.headers);
    let words = |rest| Words {
        leaving: said.leaving,
        rest,
        limit: said.limit,
        sent: answered.sent,
    };
    if said.id != job.request.id {
        // Another request's answer: the connection goes with it.
        return Err(SendFailure::broken());
    }
    if said.not_run {
        let why = match head.status {
            StatusCode::MISDIRECTED_REQUEST => Rejection::NotHeld,
            _ => Rejection::Busy,
        };
        let rest = retry_after::read(&head.headers);
        if why == Rejection::Busy {
            words::note(app, upstream, words(rest));
        }
        return Err(SendFailure::refused(why, rest));
    }
    let is_foreign = head.headers.contains_key(header::CONTENT_ENCODING)
        || (head.status.is_success() && !said.signed);
    if is_foreign {
        return Err(SendFailure::broken());
    }
    let rest = match asks_for_rest(head.status) {
        true => retry_after::read(&head.headers),
        false => None,
    };
    words::note(app, upstream, words(rest));
    if !asks_for_rest(head.status) {
        app.shared.backoffs().record_accepted(&upstream.start(), app.now());
    }
    let closes = head
        .headers
        .get_all(header::CONNECTION)
        .iter()
        .any(|v| v.as_bytes().eq_ignore_ascii_case(b"close"));
    strip(&mut head.headers);
    head.headers.remove(header::CONTENT_LENGTH);
    let rest = (!closes).then_some(Rest { stated: said.rest });
    Ok(BegunAnswer { head, body, sender, rest })
}

/// Tells whether an upstream that answers with a status may ask for rest.
fn asks_for_rest(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE
    )
}

/// Tells whether a status promises that the request has not run.
pub(super) fn is_promise(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
            | StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
    )
}
