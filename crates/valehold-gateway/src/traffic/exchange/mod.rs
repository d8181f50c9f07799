//! Processes a routed request until an answer or a refusal is available.
//!
//! `waiting` chooses the upstream for each send, `beginning` sends the request
//! and receives the beginning of the answer, `silent` keeps the sends whose
//! upstreams are silent while others are tried, `resuming` resumes streams at
//! other engines, and `refusals` creates the refusal if no upstream answers. `work` reports the estimated work of the
//! request to the control thread.

mod beginning;
mod refusals;
mod resuming;
mod silent;
mod waiting;
mod work;

use std::{rc::Rc, time::Duration};

use http::{Response, StatusCode};
use valehold_core::{
    Millis, Verdict,
    fleet::{
        Repetition, Upstream, UpstreamStart, cold::SendPermit,
        event::EventOrder,
    },
    id::UpstreamId,
    reason::{RefusalReason, RetryReason},
};

use self::{
    beginning::{Begun, PendingSend},
    silent::SilentSends,
    work::record_work,
};
use super::{
    Body,
    answer::{self, Relay},
    buffered::BufferedBody,
    charge::{Charge, charge},
    choose::{Chosen, choose},
    crashes,
    origins::{self, SoftwareBound},
    permits,
    record::Record,
    refusal::Refusal,
    route::Job,
    send::{SendFailure, guarantees_not_run},
    state::App,
};
use crate::events::SendEnd;

/// The maximum number of upstreams that are tried, including upstreams that
/// could not be reached.
const MAX_TRIES: usize = 4;

/// The minimum time before the deadline that makes another send worthwhile.
const MIN_TIME_LEFT: Duration = Duration::from_millis(30);

/// The time that a resumable stream may take to begin while another engine is
/// available, as a multiple of the objective.
const RESUMABLE_BEGIN_FACTOR: u32 = 2;

/// The state of one request on the way to its answer.
pub(super) struct Exchange {
    pub(super) app: Rc<App>,
    pub(super) job: Rc<Job>,
    /// The position in the event stream up to which the caller has received
    /// events.
    pub(super) order: EventOrder,
    /// The upstreams that are excluded from further sends.
    tried: Vec<UpstreamId>,
    /// The number of sends that may have reached an upstream.
    sends: u32,
    /// When the request was sent to the upstream that answers, or last.
    sent_at: Millis,
    /// Sends whose upstreams are silent.
    silent: SilentSends,
    /// The last answer that states a failure of its upstream, for want of a
    /// better one.
    failure: Option<ReceivedAnswer>,
    /// Whether the request may have run, according to all sends so far.
    verdict: Verdict,
    /// The usage charged to the workspace.
    charge: Option<Charge>,
    pub(super) record: Record,
}

/// An answer that can be relayed to the caller.
pub(super) enum ReceivedAnswer {
    /// An answer that is not streamed.
    Whole { head: http::response::Parts, body: BufferedBody },
    /// A stream, beginning with its first event.
    Stream { head: http::response::Parts, relay: Box<Relay> },
}

impl ReceivedAnswer {
    /// Returns the stream, if the answer is one.
    fn into_relay(self) -> Option<Relay> {
        match self {
            Self::Stream { relay, .. } => Some(*relay),
            Self::Whole { .. } => None,
        }
    }
}

/// Processes a request and returns the answer or refusal for the caller.
pub(super) async fn handle(app: Rc<App>, job: Job) -> Response<Body> {
    app.shared.metrics.requested();
    let id = job.request.id.clone();
    let after = job.request.after_event;
    let mut exchange = Exchange {
        app: app.clone(),
        job: Rc::new(job),
        order: EventOrder::after(after),
        tried: Vec::new(),
        sends: 0,
        sent_at: app.now(),
        silent: SilentSends::default(),
        failure: None,
        verdict: Verdict::NotRun,
        charge: None,
        record: Record::new(app.shared.clock),
    };
    match exchange.run().await {
        Ok(received) => answer::into_response(received, exchange),
        Err(refusal) => {
            exchange.log_refusal(&refusal);
            refusal.into_answer(&app, id.as_ref())
        }
    }
}

impl Exchange {
    /// Sends the request, to several upstreams if necessary, until an answer
    /// can be relayed or the request is refused.
    async fn run(&mut self) -> Result<ReceivedAnswer, Refusal> {
        self.refuse_if_it_crashes()?;
        self.refuse_if_unservable()?;
        self.refuse_if_stopping()?;
        self.bind_to_origin().await?;
        self.charge = charge(&self.app, &self.job)?;
        record_work(&self.app, &self.job);
        let refusal = match self.try_upstreams().await {
            Ok(received) => return Ok(received),
            Err(refusal) => refusal,
        };
        let received = self.wait_for_silent(refusal).await;
        received.or_else(|refusal| self.failure.take().ok_or(refusal))
    }

    /// Sends the request to one upstream after the other.
    async fn try_upstreams(&mut self) -> Result<ReceivedAnswer, Refusal> {
        let mut reason = RefusalReason::UpstreamFailed;
        for _ in 0..MAX_TRIES {
            let (chosen, permit) = self.choose_or_wait().await?;
            match self.attempt(&chosen, permit).await {
                Ok(received) => return Ok(received),
                Err(failure) => {
                    self.on_send_failure(&chosen, failure)?;
                    reason = match failure.reason {
                        RetryReason::RightOver
                            if permits::is_limited(
                                &self.app,
                                &chosen.upstream,
                            ) =>
                        {
                            RefusalReason::UpstreamsLimited
                        }
                        RetryReason::RightOver => RefusalReason::UpstreamsCold,
                        RetryReason::UpstreamBrittle => {
                            RefusalReason::UpstreamsBrittle
                        }
                        RetryReason::UpstreamResting => {
                            RefusalReason::UpstreamsResting
                        }
                        _ => RefusalReason::UpstreamFailed,
                    };
                }
            }
            crashes::wait_for_probe(&self.app, &self.job, &chosen.upstream)
                .await;
            self.refuse_if_it_crashes()?;
        }
        Err(self.give_up(reason, None))
    }

    /// Sends the request once, and receives the answer up to the point from
    /// which the answer can be relayed. An upstream that was silent before may
    /// answer first.
    async fn attempt(
        &mut self,
        chosen: &Chosen,
        permit: Option<SendPermit>,
    ) -> Result<ReceivedAnswer, SendFailure> {
        let app = self.app.clone();
        if self.sends == 0 {
            app.record_first_send(&self.job.service_name);
        }
        self.keep_charge(true);
        let position = self.record.record_send(chosen, self.order.last());
        let (job, order) = (&self.job, self.order);
        let mut send =
            PendingSend::new(&app, job, chosen, permit, order, position);
        self.sent_at = send.sent_at;
        let start = chosen.upstream.start();
        let timeout = self.begin_timeout();
        let mut silent = std::mem::take(&mut self.silent);
        loop {
            let beginning = send.beginning.as_mut();
            let waiting = self.wait_for_upstream(&start, timeout, beginning);
            let begun = tokio::select! {
                begun = waiting => begun,
                (other, begun) = silent.next() => {
                    if let Some(received) = self.on_silent(&other, begun) {
                        self.supersede(position);
                        return Ok(received);
                    }
                    self.record.set_position(position);
                    self.sent_at = send.sent_at;
                    continue;
                }
            };
            self.silent = silent;
            let Some(begun) = begun else {
                self.silent.push(send);
                return Err(SendFailure::broken());
            };
            let received = self.on_begun(&send, begun)?;
            self.silent.clear();
            return Ok(received);
        }
    }

    /// Handles the outcome of a send whose upstream was silent, and returns the
    /// answer if the answer can be relayed.
    fn on_silent(
        &mut self,
        send: &PendingSend,
        begun: Begun,
    ) -> Option<ReceivedAnswer> {
        match self.on_begun(send, begun) {
            Ok(received) => Some(received),
            Err(failure) => {
                self.on_cut_off(&send.chosen, failure, send.sent_at);
                None
            }
        }
    }

    /// Ends the send at a position in the record, since another one is answered
    /// first. It counts as one of the sends that the route allows.
    fn supersede(&mut self, position: usize) {
        if let Some(upstream) = self.record.record_superseded(position) {
            self.exclude(&upstream, true);
        }
    }

    /// Has the upstream probed if the connection of a send was cut off.
    fn on_cut_off(&self, chosen: &Chosen, failure: SendFailure, sent: Millis) {
        if failure.cut_off {
            let upstream = &chosen.upstream;
            crashes::on_break_off(&self.app, &self.job, upstream, sent);
        }
    }

    /// Handles the outcome of a send.
    fn on_begun(
        &mut self,
        send: &PendingSend,
        begun: Begun,
    ) -> Result<ReceivedAnswer, SendFailure> {
        let (app, chosen) = (self.app.clone(), &send.chosen);
        let received = begun.result?;
        let took_ms = send.took_ms();
        self.order = begun.order;
        self.sent_at = send.sent_at;
        self.record.set_position(send.position);
        match received {
            ReceivedAnswer::Whole { head, body } => {
                let end = match head.status.is_server_error() {
                    true => SendEnd::Failed,
                    false => SendEnd::Answered,
                };
                self.record.record_answer(took_ms, end);
                if self.job.request.variant.is_none() {
                    app.record_accepted(&chosen.upstream.start(), None);
                }
                self.check_whole_answer(&chosen.upstream, head, body)
            }
            ReceivedAnswer::Stream { head, relay } => {
                self.record.record_answer(took_ms, SendEnd::Answered);
                // From now on the caller may have events of this version.
                let software = SoftwareBound::of(&chosen.upstream);
                Rc::make_mut(&mut self.job).software = software;
                origins::record(&app, &self.job, &chosen.upstream);
                let start = &chosen.upstream.start();
                app.update_health(start, |h, now| h.record_success(now));
                if let Some(variant) = &self.job.request.variant {
                    app.record_accepted(start, Some(variant));
                    app.record_pace(chosen, &variant.model, took_ms);
                }
                app.update_pace(start, |pace, now| {
                    pace.observe(took_ms, chosen.typical_ms, now);
                });
                app.hints().note(start, &chosen.blocks, app.now());
                Ok(ReceivedAnswer::Stream { head, relay })
            }
        }
    }

    /// Returns when the request was sent to the upstream that answers.
    pub(super) const fn sent_at(&self) -> Millis {
        self.sent_at
    }

    /// Returns the time that the request has left: until its deadline, or until
    /// a stop of the gateway ends it.
    fn left(&self) -> Duration {
        let end = self.app.request_end(self.job.deadline);
        self.app.shared.clock.until(end)
    }

    /// Returns the time left until the deadline, after which the caller does
    /// not make the request again at any gateway.
    fn left_for_retries(&self) -> Duration {
        self.app.shared.clock.until(self.job.deadline)
    }

    /// Returns the time that an answer may take to begin while another
    /// upstream is available.
    fn begin_timeout(&self) -> Duration {
        let objective = Duration::from_millis(self.job.route.begin_within_ms);
        match self.job.route.repetition {
            Repetition::Resumable => objective * RESUMABLE_BEGIN_FACTOR,
            Repetition::Idempotent | Repetition::AtMostOnce => objective,
        }
    }

    /// Waits for a result from an upstream, or returns `None` if the upstream
    /// should be abandoned.
    ///
    /// A timeout alone does not end the wait. An upstream is abandoned only if
    /// another upstream can take over the request, or if its time is over.
    pub(super) async fn wait_for_upstream<F: Future>(
        &self,
        upstream: &UpstreamStart,
        timeout: Duration,
        waiting: F,
    ) -> Option<F::Output> {
        let mut waiting = std::pin::pin!(waiting);
        let timeout = timeout.max(MIN_TIME_LEFT);
        loop {
            let until = self.app.now() + Millis::from(timeout).get();
            let until = until.min(self.job.deadline);
            let waiting = waiting.as_mut();
            let result = self.app.wait_for_request(until, waiting).await;
            if result.is_some() {
                return result;
            }
            self.app.request_link_probe(upstream);
            if self.left().is_zero() || self.can_switch_from(&upstream.id) {
                return None;
            }
        }
    }

    /// Returns whether another upstream could take over the request now.
    fn can_switch_from(&self, upstream: &UpstreamId) -> bool {
        let job = &self.job;
        let mut tried = self.tried.clone();
        tried.push(upstream.clone());
        job.route.repetition.allows_resend()
            && self.sends + 1 < job.route.attempts
            && self.left() > MIN_TIME_LEFT
            && self.app.has_retry_left(&job.service_name)
            && choose(&self.app, job, &tried).is_ok()
    }

    /// Records the result of a whole answer, and returns an error if the
    /// request can be sent to another upstream instead.
    fn check_whole_answer(
        &mut self,
        upstream: &Upstream,
        mut head: http::response::Parts,
        body: BufferedBody,
    ) -> Result<ReceivedAnswer, SendFailure> {
        let failed = head.status.is_server_error();
        self.app.update_health(&upstream.start(), |h, now| match failed {
            true => h.record_failure(now),
            false => h.record_success(now),
        });
        let repeatable = self.job.route.repetition.allows_resend();
        if guarantees_not_run(head.status) && !repeatable {
            // The status would promise the caller that the request did not
            // run. Only a statement of the upstream makes this certain, and
            // the answer contains none.
            head.status = StatusCode::BAD_GATEWAY;
            self.app.dialect.unsign(&mut head.headers);
        }
        let answer = ReceivedAnswer::Whole { head, body };
        let may_improve =
            !self.silent.is_empty() || self.can_switch_from(&upstream.id);
        if failed && may_improve {
            self.failure = Some(answer);
            return Err(SendFailure {
                reason: RetryReason::RepeatableCall,
                ..SendFailure::broken()
            });
        }
        Ok(answer)
    }

    /// Records a failed send. Returns an error if the failure ends the
    /// request.
    fn on_send_failure(
        &mut self,
        chosen: &Chosen,
        failure: SendFailure,
    ) -> Result<(), Refusal> {
        let start = &chosen.upstream.start();
        self.record.record_failure(&failure);
        let is_refused = crashes::is_refused(&self.app, &self.job);
        if failure.verdict != Verdict::NotRun && !is_refused {
            self.app.update_health(start, |h, now| h.record_failure(now));
        }
        self.record_rejection(start, failure);
        // An expired permit or a backoff is no failure of the upstream, which
        // may become available again. Excluding the upstream here would refuse
        // the request as failed if no other upstream is available.
        // An upstream that only this gateway cannot reach is the last choice,
        // through another gateway.
        let may_try_again = failure.may_use_peer
            || matches!(
                failure.reason,
                RetryReason::RightOver
                    | RetryReason::UpstreamBrittle
                    | RetryReason::UpstreamResting
            );
        if !may_try_again {
            self.exclude(&start.id, failure.arrived);
        }
        self.verdict = self.verdict.worst(failure.verdict);
        self.keep_charge(self.verdict != Verdict::NotRun);
        self.on_cut_off(chosen, failure, self.sent_at);
        self.refuse_if_it_crashes()?;
        let is_free = !failure.arrived && self.sends == 0;
        if is_free || self.try_take_retry(failure.verdict) {
            self.app.shared.metrics.retried(failure.reason);
            return Ok(());
        }
        let backoff_ms = failure.backoff.map(|rest| Millis::from(rest).get());
        Err(self.refuse_as_failed(backoff_ms))
    }

    /// Sets whether the charge for the request is kept, because the request
    /// may have run.
    fn keep_charge(&mut self, may_have_run: bool) {
        if let Some(charge) = &mut self.charge {
            charge.keep(may_have_run);
        }
    }

    /// Records that an upstream rejected the request, if that is why the send
    /// failed.
    fn record_rejection(
        &self,
        upstream: &UpstreamStart,
        failure: SendFailure,
    ) {
        if let Some(rejection) = failure.rejection {
            let variant = self.job.request.variant.as_ref();
            self.app.record_rejection(upstream, variant, rejection);
        }
    }

    /// Excludes an upstream from further sends, and counts the send if the
    /// request may have arrived.
    fn exclude(&mut self, upstream: &UpstreamId, arrived: bool) {
        if self.tried.contains(upstream) {
            return;
        }
        self.tried.push(upstream.clone());
        self.sends += u32::from(arrived);
    }

    /// Returns whether the route, the verdict and the deadline allow another
    /// send. The retry budget is not checked.
    fn may_retry(&self, verdict: Verdict) -> bool {
        let job = &self.job;
        let allowed =
            verdict == Verdict::NotRun || job.route.repetition.allows_resend();
        let has_time = self.left() > MIN_TIME_LEFT;
        allowed && self.sends < job.route.attempts && has_time
    }

    /// Returns whether another send is allowed, and takes the send from the
    /// retry budget.
    fn try_take_retry(&self, verdict: Verdict) -> bool {
        self.may_retry(verdict)
            && self.app.try_take_retry(&self.job.service_name)
    }
}
