//! Following one request through its chart, and recording its decisions.

use std::sync::Arc;

use valehold_core::{
    Millis,
    chart::library::{self, RequestEvent, RequestState},
    explain::{Attempt, Record},
    id::{ModelName, RequestId, UpstreamId, WorkspaceId},
    reason::RetryReason,
    routing::Choice,
};

use super::refusal::Refused;
use crate::shared::{Report, Shared};

/// A request's way through its chart. Its record goes to the control thread
/// when it is dropped; a request that has no end by then lost its caller.
pub(super) struct Trace {
    shared: Arc<Shared>,
    began: Millis,
    state: RequestState,
    record: Record,
}

impl Trace {
    /// Starts the trace of a request that just arrived.
    pub(super) fn new(shared: Arc<Shared>) -> Self {
        let id: u64 = rand::random();
        shared.request_began();
        let state = library::request().initial();
        let record = Record {
            request: RequestId::new(format!("r-{id:016x}")),
            workspace: None,
            target: None,
            attempts: Vec::new(),
            outcome: state,
            refusal: None,
            first_output_ms: None,
            total_ms: 0,
            revision: shared.snapshot.load().revision,
        };
        Self { began: shared.clock.now(), state, record, shared }
    }

    pub(super) fn request(&self) -> &RequestId {
        &self.record.request
    }

    pub(super) fn began(&self) -> Millis {
        self.began
    }

    pub(super) fn state(&self) -> RequestState {
        self.state
    }

    /// Notes whose request it is.
    pub(super) fn of_workspace(&mut self, workspace: &WorkspaceId) {
        self.record.workspace = Some(workspace.clone());
    }

    /// Notes what was asked for.
    pub(super) fn for_target(&mut self, target: &str) {
        self.record.target = Some(ModelName::new(target));
    }

    /// Notes that the first piece of an answer has come.
    pub(super) fn first_output(&mut self) {
        let first_ms = self.elapsed_ms();
        self.record.first_output_ms = Some(first_ms);
        #[allow(clippy::cast_precision_loss)]
        let seconds = first_ms as f64 / 1_000.0;
        self.shared.metrics.first_output(seconds);
    }

    /// Takes an event.
    pub(super) fn follow(&mut self, event: RequestEvent) {
        self.state = library::request().next(self.state, event);
    }

    /// Ends a request that needs no upstream.
    pub(super) fn end_without_attempt(&mut self) {
        self.follow(RequestEvent::Admit);
        self.follow(RequestEvent::EndMark);
    }

    /// Notes an attempt.
    pub(super) fn attempt(
        &mut self,
        upstream: &UpstreamId,
        choice: Option<Choice>,
        retry: Option<RetryReason>,
    ) {
        if let Some(reason) = retry {
            self.shared.metrics.retried(reason);
        }
        let upstream = upstream.clone();
        let attempt = Attempt { upstream, choice, retry, error: None };
        self.record.attempts.push(attempt);
        self.follow(RequestEvent::Send);
    }

    /// Notes what went wrong with the last attempt.
    pub(super) fn attempt_failed(&mut self, error: &impl ToString) {
        if let Some(attempt) = self.record.attempts.last_mut() {
            attempt.error = Some(error.to_string());
        }
    }

    /// Ends the request with a refusal.
    pub(super) fn refuse(&mut self, refused: &Refused) -> viz::Response {
        let event = match self.state {
            RequestState::Arrived => RequestEvent::Refuse,
            _ => RequestEvent::GiveUp,
        };
        self.follow(event);
        self.shared.metrics.refused(refused.reason());
        self.record.refusal = Some(refused.explained());
        refused.response(self.request())
    }

    fn elapsed_ms(&self) -> u64 {
        self.shared.clock.now().since(self.began)
    }

    fn is_over(&self) -> bool {
        matches!(
            self.state,
            RequestState::Answered
                | RequestState::Refused
                | RequestState::Broken
                | RequestState::Cancelled
        )
    }
}

impl Drop for Trace {
    fn drop(&mut self) {
        if !self.is_over() {
            self.follow(RequestEvent::CallerGone);
        }
        self.record.outcome = self.state;
        self.record.total_ms = self.elapsed_ms();
        self.shared.metrics.ended(self.state);
        self.shared.request_ended();
        let record = Box::new(self.record.clone());
        log::debug!(
            "{} of {} for {}: {:?} after {} ms",
            record.request,
            record.workspace.as_ref().map_or("nobody", WorkspaceId::as_str),
            record.target.as_ref().map_or("nothing", ModelName::as_str),
            record.outcome,
            record.total_ms
        );
        self.shared.report(Report::Decided(record));
    }
}
