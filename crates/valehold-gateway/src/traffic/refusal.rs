//! Answers that are the gateway's own.

use bytes::Bytes;
use http::{HeaderName, HeaderValue, Response, StatusCode, header};
use http_body_util::{BodyExt, Full};
use valehold_core::{Verdict, reason::RefusalReason};

use super::{Body, BrokenOff, send::is_promise, state::App};
use crate::events::{RequestEnd, RequestOutcome};

/// The header that names the reason.
const REASON: HeaderName = HeaderName::from_static("valehold-reason");

/// A request that gets no upstream's answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Refusal {
    pub(super) reason: RefusalReason,
    /// Whether the request may have run.
    pub(super) verdict: Verdict,
    /// In how many ms to come back.
    pub(super) come_back_ms: u64,
}

impl Refusal {
    /// Refuses a request that has not run and never will.
    pub(super) fn not_run(reason: RefusalReason, come_back_ms: u64) -> Self {
        Self { reason, verdict: Verdict::NotRun, come_back_ms }
    }

    /// Gives up a request that may have run.
    pub(super) fn may_have_run(reason: RefusalReason) -> Self {
        let verdict = Verdict::MayHaveRun;
        Self { reason, verdict, come_back_ms: 0 }
    }

    /// Returns the status: a promise only where the request has not run.
    fn status(self) -> StatusCode {
        let status = match self.reason {
            RefusalReason::UnknownModel => StatusCode::NOT_FOUND,
            RefusalReason::BadKey => StatusCode::UNAUTHORIZED,
            RefusalReason::RateLimited | RefusalReason::TokensLimited => {
                StatusCode::TOO_MANY_REQUESTS
            }
            RefusalReason::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            RefusalReason::BadRequest => StatusCode::BAD_REQUEST,
            _ if self.verdict == Verdict::NotRun => {
                StatusCode::SERVICE_UNAVAILABLE
            }
            RefusalReason::TimedOut => StatusCode::GATEWAY_TIMEOUT,
            _ => StatusCode::BAD_GATEWAY,
        };
        debug_assert!(self.verdict == Verdict::NotRun || !is_promise(status));
        status
    }

    /// Returns how the request ended, for the log.
    pub(super) fn end(&self) -> RequestEnd {
        let status = self.status();
        let is_promise = is_promise(status);
        RequestEnd {
            outcome: RequestOutcome::Refused,
            status: status.as_u16(),
            reason: Some(self.reason),
            verdict: self.verdict,
            come_back_ms: is_promise.then_some(self.come_back_ms),
        }
    }

    /// Makes the answer.
    pub(super) fn into_answer(
        self,
        app: &App,
        id: Option<&Bytes>,
    ) -> Response<Body> {
        app.shared.metrics.refused(self.reason);
        let mut answer = plain(self.status(), self.reason.code());
        let headers = answer.headers_mut();
        headers.insert(REASON, HeaderValue::from_static(self.reason.code()));
        if is_promise(answer.status()) {
            let seconds = seconds(self.come_back_ms);
            if let Ok(seconds) = HeaderValue::from_str(&seconds) {
                answer.headers_mut().insert(header::RETRY_AFTER, seconds);
            }
        }
        if let Some(id) = id {
            app.dialect.write_answer(answer.headers_mut(), id);
        }
        answer
    }
}

/// Writes a time in seconds, with fractions.
fn seconds(millis: u64) -> String {
    format!("{}.{:03}", millis / 1_000, millis % 1_000)
}

/// Makes an answer of a status and a text.
pub(super) fn plain(
    status: StatusCode,
    text: impl Into<Bytes>,
) -> Response<Body> {
    let body = Full::new(text.into()).map_err(BrokenOff::from);
    let mut answer = Response::new(Box::pin(body) as Body);
    *answer.status_mut() = status;
    answer
}
