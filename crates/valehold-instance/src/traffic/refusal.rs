//! Refusals, in the shape that client libraries of the interface parse.

use bytes::Bytes;
use http::{HeaderValue, StatusCode, header};
use http_body_util::Full;
use serde_json::json;
use valehold_core::{
    Verdict, explain::Refusal, id::RequestId, reason::RefusalReason,
};
use viz::{Body, Response};

/// The header that tells whether a request may have run.
pub const RAN_HEADER: &str = "valehold-ran";

/// The header that names the request.
pub const REQUEST_HEADER: &str = "valehold-request";

/// A refusal on its way to the caller.
#[derive(Debug, Clone)]
pub(super) struct Refused {
    reason: RefusalReason,
    verdict: Verdict,
    message: String,
    come_back_ms: Option<u64>,
}

impl Refused {
    /// Makes a refusal; the verdict has to be given.
    pub(super) fn new(
        reason: RefusalReason,
        verdict: Verdict,
        message: impl Into<String>,
    ) -> Self {
        Self { reason, verdict, message: message.into(), come_back_ms: None }
    }

    /// Makes a refusal before anything was sent.
    pub(super) fn not_run(
        reason: RefusalReason,
        message: impl Into<String>,
    ) -> Self {
        Self::new(reason, Verdict::NotRun, message)
    }

    /// Adds in how many ms to come back.
    #[must_use]
    pub(super) fn come_back_ms(mut self, after: u64) -> Self {
        self.come_back_ms = Some(after);
        self
    }

    pub(super) fn reason(&self) -> RefusalReason {
        self.reason
    }

    /// Returns what operators see of it.
    pub(super) fn explained(&self) -> Refusal {
        Refusal {
            reason: self.reason,
            message: self.message.clone(),
            verdict: self.verdict,
            retry_after_ms: self.come_back_ms,
        }
    }

    /// Makes the answer.
    pub(super) fn response(&self, request: &RequestId) -> Response {
        let body = json!({ "error": {
            "message": self.message,
            "type": self.reason.kind(),
            "code": self.reason.code(),
            "param": null,
        }});
        let status = StatusCode::from_u16(self.reason.status())
            .unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        let mut response = json_response(status, &body);
        let headers = response.headers_mut();
        let verdict = HeaderValue::from_static(self.verdict.as_str());
        headers.insert(RAN_HEADER, verdict);
        if let Ok(request) = HeaderValue::from_str(request.as_str()) {
            headers.insert(REQUEST_HEADER, request);
        }
        if let Some(after) = self.come_back_ms {
            // The header counts in whole seconds; sooner would be too soon.
            let seconds = after.div_ceil(1_000).max(1);
            headers.insert(header::RETRY_AFTER, HeaderValue::from(seconds));
        }
        response
    }
}

/// Makes an answer whose body is JSON.
pub(crate) fn json_response(
    status: StatusCode,
    value: &serde_json::Value,
) -> Response {
    let body = Full::from(Bytes::from(value.to_string()));
    let mut response = Response::new(Body::from(body));
    *response.status_mut() = status;
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    response
}
