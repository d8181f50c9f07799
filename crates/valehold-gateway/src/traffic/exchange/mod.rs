//! Leading a request from its route to its answer.
//!
//! `waiting` finds the upstream for each send, `beginning` sends the request
//! and takes the beginning of the answer, and `giving_up` says how a request
//! ends that gets none. `work` tells control what the request costs.

mod beginning;
mod giving_up;
mod waiting;
mod work;

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use http::{Response, StatusCode};
use tokio::time::Instant;
use valehold_core::{
    Millis, Verdict,
    fleet::{
        Repetition, Upstream, UpstreamStart, cold::SendPermit,
        event::EventOrder,
    },
    id::UpstreamId,
    reason::{RefusalReason, RetryReason},
};

use self::{beginning::begin, work::note_work};
use super::{
    Body,
    answer::{self, Relay},
    charge::{Charge, charge},
    choose::{Chosen, choose, choose_with_right},
    crashes,
    record::Record,
    refusal::Refusal,
    rights,
    route::Job,
    send::{SendFailure, guarantees_not_run},
    state::App,
};
use crate::events::SendEnd;

/// How many upstreams are tried, counting those that were not reached.
const MOST_TRIES: usize = 4;

/// The least time that another send is worth.
const LEAST_LEFT: Duration = Duration::from_millis(30);

/// How many times its objective a resumable stream may take to begin while
/// another engine could take it.
const BEGIN_OBJECTIVES: u32 = 2;

/// One request's way to an answer.
pub(super) struct Exchange {
    pub(super) app: Rc<App>,
    pub(super) job: Job,
    /// What the caller has of a stream.
    pub(super) order: EventOrder,
    tried: Vec<UpstreamId>,
    /// Sends that may have arrived.
    sends: u32,
    verdict: Verdict,
    /// What its workspace was charged for it.
    charge: Option<Charge>,
    pub(super) record: Record,
}

/// An answer that can be passed on.
pub(super) enum Passable {
    /// A whole one.
    Whole { head: http::response::Parts, body: Bytes },
    /// A stream, from its first event on.
    Stream { head: http::response::Parts, relay: Box<Relay> },
}

/// Leads a request to its answer.
pub(super) async fn lead(app: Rc<App>, job: Job) -> Response<Body> {
    app.shared.metrics.requested();
    let id = job.request.id.clone();
    let after = job.request.after_event;
    let mut exchange = Exchange {
        app: app.clone(),
        job,
        order: EventOrder::after(after),
        tried: Vec::new(),
        sends: 0,
        verdict: Verdict::NotRun,
        charge: None,
        record: Record::new(app.shared.clock),
    };
    match exchange.run().await {
        Ok(passable) => answer::into_response(passable, exchange),
        Err(refusal) => {
            exchange.log_refusal(&refusal);
            refusal.into_answer(&app, id.as_ref())
        }
    }
}

impl Exchange {
    /// Sends the request until there is an answer to pass on.
    async fn run(&mut self) -> Result<Passable, Refusal> {
        self.refuse_if_it_crashes()?;
        self.refuse_if_unservable()?;
        self.charge = charge(&self.app, &self.job)?;
        note_work(&self.app, &self.job);
        let mut reason = RefusalReason::UpstreamFailed;
        for _ in 0..MOST_TRIES {
            let (chosen, right) = self.choose_or_wait().await?;
            match self.attempt(&chosen, right).await {
                Ok(passable) => return Ok(passable),
                Err(failure) => {
                    self.failed(&chosen, failure)?;
                    reason = match failure.reason {
                        RetryReason::RightOver
                            if rights::is_limited(
                                &self.app,
                                &chosen.upstream,
                            ) =>
                        {
                            RefusalReason::UpstreamsLimited
                        }
                        RetryReason::RightOver => RefusalReason::UpstreamsCold,
                        RetryReason::UpstreamResting => {
                            RefusalReason::UpstreamsResting
                        }
                        _ => RefusalReason::UpstreamFailed,
                    };
                }
            }
            crashes::until_known(&self.app, &self.job, &chosen.upstream).await;
            self.refuse_if_it_crashes()?;
        }
        Err(self.give_up(reason, None))
    }

    /// Sends the request once, and takes as much of the answer as is needed
    /// to pass it on.
    async fn attempt(
        &mut self,
        chosen: &Chosen,
        right: Option<SendPermit>,
    ) -> Result<Passable, SendFailure> {
        let app = self.app.clone();
        if self.sends == 0 {
            app.first_send(&self.job.service_name);
        }
        let id = &chosen.upstream.id;
        self.keep_charge(true);
        self.record.sent(chosen);
        let mut order = self.order;
        let patience = self.patience();
        let sent = Instant::now();
        let beginning = begin(&app, &self.job, chosen, right, &mut order);
        let begun = tokio::select! {
            begun = self.patiently(id, patience, beginning) => begun,
            () = crashes::is_refused(&app, &self.job) => None,
        };
        let begun = begun.ok_or_else(SendFailure::broken)??;
        let took_ms = sent.elapsed().as_secs_f64() * 1_000.0;
        self.order = order;
        match begun {
            Passable::Whole { head, body } => {
                let end = match head.status.is_server_error() {
                    true => SendEnd::Failed,
                    false => SendEnd::Answered,
                };
                self.record.began(took_ms, end);
                // A crash may end an answer without a length and any bytes.
                if head.status.is_success() && !body.is_empty() {
                    crashes::answered(&app, &self.job);
                }
                if self.job.request.variant.is_none() {
                    app.note_taken(&chosen.upstream.start(), None);
                }
                self.judge_whole(&chosen.upstream, head, body)
            }
            Passable::Stream { head, relay } => {
                self.record.began(took_ms, SendEnd::Answered);
                if relay.has_output() {
                    crashes::answered(&app, &self.job);
                }
                let start = &chosen.upstream.start();
                app.judge(start, |health, now| health.record_success(now));
                if let Some(variant) = &self.job.request.variant {
                    app.note_taken(start, Some(variant));
                    app.note_pace(chosen, &variant.model, took_ms);
                }
                app.observe(start, |pace, now| {
                    pace.observe(took_ms, chosen.usual_ms, now);
                });
                app.hints().note(start, &chosen.blocks, app.now());
                Ok(Passable::Stream { head, relay })
            }
        }
    }

    /// Returns how long the caller still waits.
    fn left(&self) -> Duration {
        self.app.shared.clock.until(self.job.deadline)
    }

    /// Returns how long an answer may take to begin where another upstream
    /// could give it.
    fn patience(&self) -> Duration {
        let objective = Duration::from_millis(self.job.route.begin_within_ms);
        match self.job.route.repetition {
            Repetition::Resumable => objective * BEGIN_OBJECTIVES,
            Repetition::Idempotent | Repetition::AtMostOnce => objective,
        }
    }

    /// Waits for something of an upstream; `None` means to leave it.
    ///
    /// Its silence alone ends no answer: only where another one can go on is
    /// it left, and at the deadline.
    pub(super) async fn patiently<F: Future>(
        &self,
        upstream: &UpstreamId,
        patience: Duration,
        waiting: F,
    ) -> Option<F::Output> {
        let mut waiting = std::pin::pin!(waiting);
        let patience = patience.max(LEAST_LEFT);
        loop {
            let by = self.app.now() + Millis::from(patience).get();
            let by = by.min(self.job.deadline);
            let clock = &self.app.shared.clock;
            let came = clock.wait_until(by, waiting.as_mut()).await;
            if came.is_some() {
                return came;
            }
            if self.left().is_zero() || self.can_move_from(upstream) {
                return None;
            }
        }
    }

    /// Tells whether another upstream could take the request over now.
    fn can_move_from(&self, upstream: &UpstreamId) -> bool {
        let job = &self.job;
        let mut tried = self.tried.clone();
        tried.push(upstream.clone());
        job.route.repetition.allows_resend()
            && self.sends + 1 < job.route.attempts
            && self.left() > LEAST_LEFT
            && self.app.can_send_again(&job.service_name)
            && choose(&self.app, job, &tried).is_ok()
    }

    fn judge_whole(
        &self,
        upstream: &Upstream,
        mut head: http::response::Parts,
        body: Bytes,
    ) -> Result<Passable, SendFailure> {
        let failed = head.status.is_server_error();
        self.app.judge(&upstream.start(), |health, now| match failed {
            true => health.record_failure(now),
            false => health.record_success(now),
        });
        let repeatable = self.job.route.repetition.allows_resend();
        if failed && self.can_move_from(&upstream.id) {
            return Err(SendFailure {
                reason: RetryReason::RepeatableCall,
                ..SendFailure::broken()
            });
        }
        if guarantees_not_run(head.status) && !repeatable {
            // Only the upstream's word makes it a promise, and there is none.
            head.status = StatusCode::BAD_GATEWAY;
            self.app.dialect.unsign(&mut head.headers);
        }
        Ok(Passable::Whole { head, body })
    }

    /// Takes in a failed send; an error ends the request.
    fn failed(
        &mut self,
        chosen: &Chosen,
        failure: SendFailure,
    ) -> Result<(), Refusal> {
        let start = &chosen.upstream.start();
        self.record.failed(&failure);
        let is_given_up = crashes::refused_ms(&self.app, &self.job).is_some();
        if failure.verdict != Verdict::NotRun && !is_given_up {
            self.app.judge(start, |health, now| health.record_failure(now));
        }
        self.note_turned_away(start, failure);
        // A right that was over, or a rest, speaks against no upstream: it may
        // be had again. Left, the only one that is there would count as failed.
        let may_be_had_again = matches!(
            failure.reason,
            RetryReason::RightOver | RetryReason::UpstreamResting
        );
        if !may_be_had_again {
            self.leave(&start.id, failure.arrived);
        }
        self.verdict = self.verdict.worst(failure.verdict);
        self.keep_charge(self.verdict != Verdict::NotRun);
        if failure.cut_off {
            crashes::broke_off(&self.app, &self.job, &chosen.upstream);
        }
        self.refuse_if_it_crashes()?;
        let free = !failure.arrived && self.sends == 0;
        if free || self.take_second_send(failure.verdict) {
            self.app.shared.metrics.retried(failure.reason);
            return Ok(());
        }
        let asked_ms = failure.backoff.map(|rest| Millis::from(rest).get());
        Err(self.refuse_as_failed(asked_ms))
    }

    /// Keeps what was charged for the request while it may have run.
    fn keep_charge(&mut self, may_have_run: bool) {
        if let Some(charge) = &mut self.charge {
            charge.keep(may_have_run);
        }
    }

    fn note_turned_away(
        &self,
        upstream: &UpstreamStart,
        failure: SendFailure,
    ) {
        if let Some(why) = failure.rejection {
            let variant = self.job.request.variant.as_ref();
            self.app.note_turned_away(upstream, variant, why);
        }
    }

    /// Notes that an upstream is done with, and whether it was sent to.
    fn leave(&mut self, upstream: &UpstreamId, arrived: bool) {
        self.tried.push(upstream.clone());
        self.sends += u32::from(arrived);
    }

    /// Tells whether another send may follow, but for the budget.
    fn may_follow(&self, verdict: Verdict) -> bool {
        let job = &self.job;
        let allowed =
            verdict == Verdict::NotRun || job.route.repetition.allows_resend();
        let has_time = self.left() > LEAST_LEFT;
        allowed && self.sends < job.route.attempts && has_time
    }

    fn take_second_send(&self, verdict: Verdict) -> bool {
        self.may_follow(verdict)
            && self.app.may_send_again(&self.job.service_name)
    }

    /// Sends a broken stream's request to other upstreams, until one goes on
    /// after the last event that was passed on.
    pub(super) async fn resume(
        &mut self,
        broken: &UpstreamStart,
    ) -> Option<Relay> {
        self.app.judge(broken, |health, now| health.record_failure(now));
        self.record.broke_off();
        self.leave(&broken.id, true);
        for _ in 0..MOST_TRIES {
            if crashes::refused_ms(&self.app, &self.job).is_some()
                || !self.take_second_send(Verdict::MayHaveRun)
            {
                return None;
            }
            let choosing =
                choose_with_right(&self.app, &self.job, &self.tried);
            let (chosen, right) = choosing.await.ok()?;
            self.app.shared.metrics.retried(RetryReason::StreamResumed);
            match self.attempt(&chosen, right).await {
                Ok(Passable::Stream { relay, .. }) => return Some(*relay),
                Ok(Passable::Whole { .. }) => return None,
                Err(failure) => {
                    self.record.failed(&failure);
                    let start = chosen.upstream.start();
                    if failure.cut_off {
                        let upstream = &chosen.upstream;
                        crashes::broke_off(&self.app, &self.job, upstream);
                    }
                    self.note_turned_away(&start, failure);
                    self.leave(&start.id, failure.arrived);
                    let upstream = &chosen.upstream;
                    crashes::until_known(&self.app, &self.job, upstream).await;
                }
            }
        }
        None
    }
}
