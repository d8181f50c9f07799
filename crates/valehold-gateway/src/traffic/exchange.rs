//! Leading a request from its route to its answer.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use http::{Response, StatusCode};
use http_body_util::{BodyExt, Limited};
use tokio::time::Instant;
use valehold_core::{
    Millis, Verdict,
    fleet::{
        Asked, Repetition, Upstream, UpstreamStart, Variant, cold::SendRight,
        event::EventOrder,
    },
    id::UpstreamId,
    reason::{RefusalReason, RetryReason},
};

use super::{
    Body,
    answer::{self, Relay},
    charge::{Charge, charge},
    choose::{
        Chosen, NoChoice, able_elsewhere, bound_now, choose,
        choose_with_right, holders, usable,
    },
    record::Record,
    refusal::Refusal,
    route::Job,
    send::{BegunAnswer, SendFailure, is_promise, send},
    state::App,
};
use crate::{events::SendEnd, shared::Work};

/// The most bytes of an answer that is passed on whole.
const MOST_ANSWER_BYTES: usize = 16 << 20;

/// How many upstreams are tried, counting those that were not reached.
const MOST_TRIES: usize = 4;

/// The least time that another send is worth.
const LEAST_LEFT: Duration = Duration::from_millis(30);

/// How often a request that waits for an adapter looks again.
const LOOK_AGAIN: Duration = Duration::from_millis(8);

/// After how many looks the wish is repeated.
const WISH_EVERY: u32 = 12;

/// How long an engine takes from an order about an adapter to having it.
const ADAPTER_SETTLES: Duration = Duration::from_millis(30);

/// The part of its objective that a request may wait for its model.
const WAIT_PART: f64 = 0.22;

/// In how many ms to come back when no upstream takes a request.
const NO_UPSTREAM_COME_BACK_MS: u64 = 400;

/// In how many ms to come back for an adapter that is not loaded.
const ADAPTER_COME_BACK_MS: u64 = 800;

/// In how many ms to come back for a model that is not loaded: a load from
/// the weight store takes about so long.
const MODEL_COME_BACK_MS: u64 = 3_500;

/// In how many ms to come back while nobody may give orders.
const NO_HOLDER_COME_BACK_MS: u64 = 3_500;

/// In how many ms to come back to a bound without upstreams: one has to start
/// there and to be listed.
const NONE_IN_BOUND_COME_BACK_MS: u64 = 3_500;

/// In how many ms to come back where no region is allowed: operators have to
/// change the configuration.
const EMPTY_BOUND_COME_BACK_MS: u64 = 30_000;

/// The part of its time that a caller is told to wait at the most.
const MOST_COME_BACK: f64 = 0.3;

/// How many times its objective a resumable stream may take to begin while
/// another engine could take it.
const BEGIN_OBJECTIVES: u32 = 2;

/// How busy a token of output keeps an engine, in ms.
const OUTPUT_TOKEN_MS: f64 = 0.1;

/// How busy a token of prompt keeps an engine, in ms.
const PROMPT_TOKEN_MS: f64 = 1.0 / 38.0;

/// The part of a prompt's shared tokens that an engine is expected to read:
/// most are cached where requests with the same beginning meet.
const SHARED_READ_PART: f64 = 0.25;

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
        record: Record::new(),
    };
    match exchange.run().await {
        Ok(passable) => answer::pass(passable, exchange),
        Err(refusal) => {
            exchange.log_refusal(&refusal);
            refusal.into_answer(&app, id.as_ref())
        }
    }
}

/// Tells control which work a request makes.
fn note_work(app: &App, job: &Job) {
    let Some(asked) = job.asked() else { return };
    #[allow(clippy::cast_precision_loss)]
    let tokens = |count: u64| count as f64;
    let parts = &job.request.parts;
    let shared: u64 = parts.iter().rev().skip(1).map(|part| part.tokens).sum();
    let own = tokens(job.request.prompt_tokens.saturating_sub(shared));
    let read = own + tokens(shared) * SHARED_READ_PART;
    let busy_ms = read * PROMPT_TOKEN_MS
        + tokens(job.request.output_tokens) * OUTPUT_TOKEN_MS;
    let mut work = app.shared.work();
    let work = work.entry(asked).or_default();
    *work = Work {
        requests: work.requests + 1.0,
        busy_ms: work.busy_ms + busy_ms,
    };
}

impl Exchange {
    /// Sends the request until there is an answer to pass on.
    async fn run(&mut self) -> Result<Passable, Refusal> {
        self.refuse_if_unservable()?;
        self.charge = charge(&self.app, &self.job)?;
        note_work(&self.app, &self.job);
        for _ in 0..MOST_TRIES {
            let (chosen, right) = self.choose_or_wait().await?;
            match self.attempt(&chosen, right).await {
                Ok(passable) => return Ok(passable),
                Err(failure) => self.failed(&chosen, failure)?,
            }
        }
        Err(self.give_up(RefusalReason::UpstreamFailed, None))
    }

    /// Refuses a request that no region may serve before its workspace is
    /// charged for it.
    fn refuse_if_unservable(&self) -> Result<(), Refusal> {
        let view = self.app.shared.view.load();
        match bound_now(&view, &self.job).is_empty() {
            true => Err(self.refuse_for_empty_bound()),
            false => Ok(()),
        }
    }

    fn refuse_for_empty_bound(&self) -> Refusal {
        let come_back = Some(EMPTY_BOUND_COME_BACK_MS);
        self.give_up(RefusalReason::EmptyBound, come_back)
    }

    /// Chooses an upstream; waits a little for a model that is not held.
    async fn choose_or_wait(
        &mut self,
    ) -> Result<(Chosen, Option<SendRight>), Refusal> {
        let objective = Duration::from_millis(self.job.route.begin_within_ms);
        let until = Instant::now() + objective.mul_f64(WAIT_PART);
        let until = until.min(self.job.deadline);
        let mut looks: u32 = 0;
        loop {
            let choosing =
                choose_with_right(&self.app, &self.job, &self.tried);
            let no_choice = match choosing.await {
                Ok(chosen) => {
                    if looks > 0 {
                        tokio::time::sleep(ADAPTER_SETTLES).await;
                    }
                    return Ok(chosen);
                }
                Err(no_choice) => no_choice,
            };
            match no_choice {
                NoChoice::WouldBeLate { predicted_ms, come_back_ms } => {
                    self.record.predicted(predicted_ms);
                    let reason = RefusalReason::WouldBeLate;
                    return Err(self.give_up(reason, Some(come_back_ms)));
                }
                NoChoice::EmptyBound => {
                    return Err(self.refuse_for_empty_bound());
                }
                NoChoice::NoneInBound => {
                    let reason = RefusalReason::NoUpstreamInBound;
                    let come_back = Some(NONE_IN_BOUND_COME_BACK_MS);
                    return Err(self.give_up(reason, come_back));
                }
                NoChoice::AllCold { next_ms }
                    if Instant::now() + Duration::from_millis(next_ms)
                        >= until =>
                {
                    let reason = RefusalReason::UpstreamsCold;
                    return Err(self.give_up(reason, Some(next_ms)));
                }
                NoChoice::AllCold { .. } => {}
                NoChoice::NoUpstream if self.tried.is_empty() => {}
                NoChoice::NoUpstream => {
                    // The holder of the lease looks after those that failed.
                    self.wish(0);
                    let reason = RefusalReason::UpstreamFailed;
                    return Err(self.give_up(reason, None));
                }
                NoChoice::NotHeld => self.wish(looks),
            }
            if Instant::now() >= until {
                let reason = self.lack();
                let come_back = self.come_back_ms(no_choice);
                return Err(self.give_up(reason, Some(come_back)));
            }
            looks += 1;
            tokio::time::sleep(LOOK_AGAIN).await;
        }
    }

    /// Returns what keeps a request waiting in vain: its bound where others
    /// outside could take it, so that operators can tell that from a lack of
    /// upstreams altogether.
    fn lack(&self) -> RefusalReason {
        let view = self.app.shared.view.load();
        let is_held = holders(&self.app, &view, &self.job).next().is_some();
        let elsewhere = able_elsewhere(&self.app, &view, &self.job);
        match !is_held && elsewhere > 0 {
            true => RefusalReason::NoUpstreamInBound,
            false => RefusalReason::NoUpstream,
        }
    }

    /// Returns in how many ms what is missing may be there.
    fn come_back_ms(&self, no_choice: NoChoice) -> u64 {
        if no_choice != NoChoice::NotHeld {
            return NO_UPSTREAM_COME_BACK_MS;
        }
        let view = self.app.shared.view.load();
        let variant = self.job.request.variant.as_ref();
        let holds_model = variant.is_some_and(|variant| {
            let model = Variant::plain(variant.model.as_str());
            let mut usable = usable(&self.app, &view, &self.job);
            usable.any(|upstream| upstream.holding.has(&model))
        });
        match (view.has_holder, holds_model) {
            (false, _) => NO_HOLDER_COME_BACK_MS,
            (true, true) => ADAPTER_COME_BACK_MS,
            (true, false) => MODEL_COME_BACK_MS,
        }
    }

    fn wish(&self, looks: u32) {
        if !looks.is_multiple_of(WISH_EVERY) {
            return;
        }
        let Some(asked) = self.job.asked() else { return };
        let view = self.app.shared.view.load();
        let bound = bound_now(&view, &self.job).into_owned();
        self.app.shared.wish(&Asked { bound, ..asked });
    }

    /// Sends the request once, and takes as much of the answer as is needed
    /// to pass it on.
    async fn attempt(
        &mut self,
        chosen: &Chosen,
        right: Option<SendRight>,
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
        let begun = self.patiently(id, patience, beginning).await;
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
                self.judge_whole(&chosen.upstream, head, body)
            }
            stream @ Passable::Stream { .. } => {
                self.record.began(took_ms, SendEnd::Answered);
                let start = &chosen.upstream.start();
                app.judge(start, |health, now| health.succeeded(now));
                if let Some(variant) = &self.job.request.variant {
                    app.note_taken(start, variant);
                    app.note_pace(chosen, &variant.model, took_ms);
                }
                app.observe(start, |pace, now| {
                    pace.began(took_ms, chosen.usual_ms, now);
                });
                app.hints().note(start, &chosen.blocks, app.now());
                Ok(stream)
            }
        }
    }

    /// Returns how long an answer may take to begin where another upstream
    /// could give it.
    fn patience(&self) -> Duration {
        let objective = Duration::from_millis(self.job.route.begin_within_ms);
        match self.job.route.repetition {
            Repetition::Resumable => objective * BEGIN_OBJECTIVES,
            Repetition::Safe | Repetition::Once => objective,
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
            let by = self.job.deadline.min(Instant::now() + patience);
            let came = tokio::time::timeout_at(by, waiting.as_mut()).await;
            match came {
                Ok(output) => return Some(output),
                Err(_) if Instant::now() >= self.job.deadline => return None,
                Err(_) if self.can_move_from(upstream) => return None,
                Err(_) => {}
            }
        }
    }

    /// Tells whether another upstream could take the request over now.
    fn can_move_from(&self, upstream: &UpstreamId) -> bool {
        let job = &self.job;
        let left = job.deadline.saturating_duration_since(Instant::now());
        let mut tried = self.tried.clone();
        tried.push(upstream.clone());
        job.route.repetition.is_allowed()
            && self.sends + 1 < job.route.attempts
            && left > LEAST_LEFT
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
            true => health.failed(now),
            false => health.succeeded(now),
        });
        let repeatable = self.job.route.repetition.is_allowed();
        if failed && self.can_move_from(&upstream.id) {
            return Err(SendFailure {
                reason: RetryReason::RepeatableCall,
                ..SendFailure::broken()
            });
        }
        if is_promise(head.status) && !repeatable {
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
        if failure.verdict != Verdict::NotRun {
            self.app.judge(start, |health, now| health.failed(now));
        }
        self.note_turned_away(start, failure);
        self.leave(&start.id, failure.arrived);
        self.verdict = self.verdict.worst(failure.verdict);
        self.keep_charge(self.verdict != Verdict::NotRun);
        let free = !failure.arrived && self.sends == 0;
        if free || self.take_second_send(failure.verdict) {
            self.app.shared.metrics.retried(failure.reason);
            return Ok(());
        }
        let come_back =
            failure.come_back.map(|after| Millis::from(after).get());
        Err(self.give_up(RefusalReason::UpstreamFailed, come_back))
    }

    /// Keeps what was charged for the request while it may have run.
    fn keep_charge(&mut self, may_have_run: bool) {
        if let Some(charge) = &mut self.charge {
            charge.keep(may_have_run);
        }
    }

    fn note_turned_away(&self, engine: &UpstreamStart, failure: SendFailure) {
        let variant = self.job.request.variant.as_ref();
        if let (Some(variant), Some(why)) = (variant, failure.turned_away) {
            self.app.note_turned_away(engine, variant, why);
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
            verdict == Verdict::NotRun || job.route.repetition.is_allowed();
        let left = job.deadline.saturating_duration_since(Instant::now());
        allowed && self.sends < job.route.attempts && left > LEAST_LEFT
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
        self.app.judge(broken, |health, now| health.failed(now));
        self.record.broke_off();
        self.leave(&broken.id, true);
        for _ in 0..MOST_TRIES {
            if !self.take_second_send(Verdict::MayHaveRun) {
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
                    self.note_turned_away(&start, failure);
                    self.leave(&start.id, failure.arrived);
                }
            }
        }
        None
    }

    /// Returns how long the caller can be told to wait.
    fn most_wait_ms(&self) -> u64 {
        let now = Instant::now();
        let left = self.job.deadline.saturating_duration_since(now);
        let most = left.mul_f64(MOST_COME_BACK);
        Millis::from(most).get().max(1)
    }

    fn give_up(
        &self,
        reason: RefusalReason,
        come_back_ms: Option<u64>,
    ) -> Refusal {
        let is_late = Instant::now() + LEAST_LEFT >= self.job.deadline;
        let reason = match reason {
            RefusalReason::UpstreamFailed if is_late => {
                RefusalReason::TimedOut
            }
            reason => reason,
        };
        match self.verdict {
            Verdict::NotRun => {
                let come_back =
                    come_back_ms.unwrap_or(NO_UPSTREAM_COME_BACK_MS);
                Refusal::not_run(reason, come_back.min(self.most_wait_ms()))
            }
            _ => Refusal::may_have_run(reason),
        }
    }
}

/// Sends a request, and takes its whole answer or a stream's first events.
async fn begin(
    app: &App,
    job: &Job,
    chosen: &Chosen,
    right: Option<SendRight>,
    order: &mut EventOrder,
) -> Result<Passable, SendFailure> {
    let upstream = &chosen.upstream;
    let asked = job.asked();
    let start = upstream.start();
    let under_way = app.under_way(&start, asked, chosen.read_tokens);
    let begun = send(app, job, upstream, right, order.last()).await?;
    let head = begun.head.clone();
    if !(job.route.streaming && head.status.is_success()) {
        let body = take_whole(app, upstream, begun).await?;
        return Ok(Passable::Whole { head, body });
    }
    let mut relay = Relay::new(upstream.clone(), job, begun, under_way);
    let first = relay.first_events(app, order).await?;
    relay.hold(first);
    Ok(Passable::Stream { head, relay: Box::new(relay) })
}

/// Takes the body of a whole answer.
async fn take_whole(
    app: &App,
    upstream: &Upstream,
    begun: BegunAnswer,
) -> Result<Bytes, SendFailure> {
    let taking = Limited::new(begun.body, MOST_ANSWER_BYTES).collect();
    let taken = taking.await.map_err(|_| SendFailure::broken())?;
    if let Some(rest) = begun.rest {
        app.pool.rest(&upstream.start(), begun.sender, rest.stated);
    }
    Ok(taken.to_bytes())
}
