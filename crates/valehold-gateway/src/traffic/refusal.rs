//! Answers that the gateway gives in place of an upstream.

use bytes::Bytes;
use http::{HeaderName, HeaderValue, Response, StatusCode, header};
use http_body_util::{BodyExt, Full};
use valehold_core::{Verdict, reason::RefusalReason};

use super::{Body, BrokenOff, send::guarantees_not_run, state::App};
use crate::{
    events::{RequestEnd, RequestOutcome},
    view::Life,
};

/// The header that states the reason for a refusal.
const REASON: HeaderName = HeaderName::from_static("valehold-reason");

/// The refusal of a request that gets no answer of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Refusal {
    pub(super) reason: RefusalReason,
    /// Whether the request may have run.
    pub(super) verdict: Verdict,
    /// After how many milliseconds the caller may retry.
    pub(super) retry_after_ms: u64,
}

impl Refusal {
    /// Refuses a request that has not run and never will.
    pub(super) fn not_run(reason: RefusalReason, retry_after_ms: u64) -> Self {
        Self { reason, verdict: Verdict::NotRun, retry_after_ms }
    }

    /// Ends a request that may have run.
    pub(super) fn may_have_run(reason: RefusalReason) -> Self {
        let verdict = Verdict::MayHaveRun;
        Self { reason, verdict, retry_after_ms: 0 }
    }

    /// Returns the status. A status that guarantees that the request has not
    /// run is used only if the request has not run.
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
        debug_assert!(
            self.verdict == Verdict::NotRun || !guarantees_not_run(status)
        );
        status
    }

    /// Returns how the request ended, for the log.
    pub(super) fn end(&self) -> RequestEnd {
        let status = self.status();
        let guarantees_not_run = guarantees_not_run(status);
        RequestEnd {
            outcome: RequestOutcome::Refused,
            status: status.as_u16(),
            reason: Some(self.reason),
            verdict: self.verdict,
            come_back_ms: guarantees_not_run.then_some(self.retry_after_ms),
        }
    }

    /// Builds the answer to the caller.
    pub(super) fn into_answer(
        self,
        app: &App,
        id: Option<&Bytes>,
    ) -> Response<Body> {
        app.shared.metrics.refused(self.reason);
        let mut answer = plain(self.status(), self.reason.code());
        let headers = answer.headers_mut();
        headers.insert(REASON, HeaderValue::from_static(self.reason.code()));
        if guarantees_not_run(answer.status()) {
            let seconds = seconds(self.retry_after_ms);
            if let Ok(seconds) = HeaderValue::from_str(&seconds) {
                answer.headers_mut().insert(header::RETRY_AFTER, seconds);
            }
        }
        let life = app.shared.view.load().life;
        if matches!(life, Life::Leaving | Life::Finishing) {
            // The caller comes back to a gateway that stays.
            let close = HeaderValue::from_static("close");
            answer.headers_mut().insert(header::CONNECTION, close);
        }
        if let Some(id) = id {
            app.dialect.write_answer(answer.headers_mut(), id);
        }
        answer
    }
}

/// Formats milliseconds as seconds with three decimal places.
fn seconds(millis: u64) -> String {
    format!("{}.{:03}", millis / 1_000, millis % 1_000)
}

/// Builds an answer with a status and a text body.
pub(super) fn plain(
    status: StatusCode,
    text: impl Into<Bytes>,
) -> Response<Body> {
    let body = Full::new(text.into()).map_err(BrokenOff::from);
    let mut answer = Response::new(Box::pin(body) as Body);
    *answer.status_mut() = status;
    answer
}
