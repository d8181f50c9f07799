//! Choosing an engine for a request, and choosing again when it fails.

use std::{sync::Arc, time::Duration};

use futures::StreamExt;
use valehold_core::{
    Millis, Verdict, admission,
    chart::library::RequestEvent,
    config::{Served, Workspace},
    id::{RequestId, UpstreamId},
    prefix::{BLOCK_BYTES, estimated_tokens},
    reason::{RefusalReason, RetryReason},
    retry::{FailedAttempt, NoRetry},
    routing::{self, Candidate, Choice, WhyChosen},
    stream::{Passage, Payload, StreamGate},
};
use valehold_ports::{
    PortError, PortErrorKind,
    port::{FrameStream, GenerateRequest, PromptKind},
};

use super::{
    App,
    answer::{Answer, BegunAnswer},
    refusal::Refused,
    trace::Trace,
};
use crate::{
    shared::Report,
    snapshot::{EngineRoute, Snapshot, Target},
};

/// In how many ms to come back when no engine holds the model.
const NO_UPSTREAM_COME_BACK_MS: u64 = 2_000;

/// In how many ms to come back when attempts failed.
const FAILED_COME_BACK_MS: u64 = 1_000;

/// What a caller wants generated.
pub(super) struct Job {
    pub(super) workspace: Arc<Workspace>,
    pub(super) served: Served,
    pub(super) kind: PromptKind,
    pub(super) body: serde_json::Value,
    pub(super) prompt_tokens: u64,
    /// The hashes of the prompt's leading blocks.
    pub(super) blocks: Vec<u64>,
}

/// The attempts of one request.
pub(super) struct Attempts {
    app: Arc<App>,
    job: Job,
    deadline: Millis,
    made: u32,
    tried: Vec<UpstreamId>,
    verdict: Verdict,
    retry: Option<RetryReason>,
}

impl Attempts {
    pub(super) fn new(app: Arc<App>, job: Job, began: Millis) -> Self {
        let timeout = app.shared.settings.callers.first_output_timeout_ms;
        Self {
            app,
            job,
            deadline: began + timeout,
            made: 0,
            tried: Vec::new(),
            verdict: Verdict::NotRun,
            retry: None,
        }
    }

    /// Makes attempts until an answer has begun, or none may follow.
    pub(super) async fn begin(
        &mut self,
        trace: &mut Trace,
    ) -> Result<Answer, Refused> {
        loop {
            let snapshot = self.app.shared.snapshot.load_full();
            let (choice, route, target) = self.choose(&snapshot)?;
            let engine = route.id.clone();
            if self.made == 0 {
                let workspace = &self.job.workspace.name;
                self.app.retries.first_attempt(workspace, &engine);
            }
            self.made += 1;
            let read_tokens = self.uncached_tokens(&choice);
            trace.attempt(&engine, Some(choice), self.retry.take());
            let attempt =
                self.attempt(trace.request(), route, target, read_tokens);
            match attempt.await {
                Ok(answer) => return Ok(answer),
                Err(error) => self.failed(trace, &engine, &error)?,
            }
        }
    }

    /// Takes in that an attempt failed before the caller received anything.
    ///
    /// Returns without error if another attempt may follow.
    pub(super) fn failed(
        &mut self,
        trace: &mut Trace,
        engine: &UpstreamId,
        error: &PortError,
    ) -> Result<(), Refused> {
        trace.attempt_failed(error);
        // An engine that said it did not run the request works; it only has
        // not got the model, or leaves.
        if error.kind() != PortErrorKind::Refused {
            self.app.shared.report(Report::Failed(engine.clone()));
        }
        self.tried.push(engine.clone());
        self.verdict = self.verdict.worst(error.verdict());
        let failed = FailedAttempt {
            verdict: error.verdict(),
            repeatable: true,
            output_begun: false,
            attempts: self.made,
        };
        let decided = self.app.retries.try_retry(
            failed,
            &self.job.workspace.name,
            engine,
            self.app.shared.clock.now(),
            self.deadline,
        );
        match decided {
            Ok(()) => {
                self.retry = Some(retry_reason(error.kind()));
                trace.follow(RequestEvent::Retry);
                Ok(())
            }
            Err(why) => Err(self.give_up(why, error)),
        }
    }

    fn give_up(&self, why: NoRetry, error: &PortError) -> Refused {
        let reason = match why {
            NoRetry::Late => RefusalReason::TimedOut,
            _ => RefusalReason::UpstreamFailed,
        };
        let after = error.retry_after().map_or(FAILED_COME_BACK_MS, |after| {
            u64::try_from(after.as_millis()).unwrap_or(u64::MAX)
        });
        let message =
            format!("no answer after {} attempt(s): {error}", self.made);
        Refused::new(reason, self.verdict, message).come_back_ms(after)
    }

    fn choose(
        &self,
        snapshot: &Snapshot,
    ) -> Result<(Choice, EngineRoute, Target), Refused> {
        let holders = snapshot.holders(&self.job.served);
        let untried = |(engine, _): &&(&EngineRoute, Target)| {
            !self.tried.contains(&engine.id)
        };
        let left: Vec<_> = holders.iter().filter(untried).collect();
        let candidates: Vec<Candidate> = left
            .iter()
            .map(|(engine, _)| self.candidate(engine, snapshot))
            .collect();
        let settings = &self.app.shared.settings.routing;
        let tokens = self.job.prompt_tokens;
        let draw = rand::random();
        let choice = routing::choose(&candidates, tokens, draw, settings)
            .ok_or_else(|| self.no_upstream())?;
        let choice = self.admit(choice)?;
        let chosen = left.iter().find(|(e, _)| e.id == choice.engine);
        let (engine, target) = chosen.ok_or_else(|| self.no_upstream())?;
        Ok((choice, (*engine).clone(), target.clone()))
    }

    /// Lets the request in if its answer can begin in time.
    ///
    /// The engine that was drawn may be a little worse than the best one;
    /// where only that difference would make it late, the best one is taken.
    fn admit(&self, choice: Choice) -> Result<Choice, Refused> {
        let workspace = &self.job.workspace;
        let admit = |predicted_ms| {
            admission::admit(
                predicted_ms,
                workspace.priority,
                workspace.first_token_ms,
                &self.app.shared.settings.admission,
            )
        };
        if admit(choice.predicted_ms).is_ok() {
            return Ok(choice);
        }
        let least = choice.predictions.first();
        let least_ms = least.map_or(choice.predicted_ms, |p| p.total_ms);
        match (admit(least_ms), least) {
            (Ok(()), Some(least)) => Ok(Choice {
                engine: least.engine.clone(),
                why: WhyChosen::Least,
                predicted_ms: least_ms,
                predictions: choice.predictions,
            }),
            (Err(wait_ms), _) => Err(Refused::new(
                RefusalReason::WouldBeLate,
                self.verdict,
                format!("the answer would begin only after {least_ms:.0} ms"),
            )
            .come_back_ms(wait_ms)),
            (Ok(()), None) => Ok(choice),
        }
    }

    fn no_upstream(&self) -> Refused {
        let (reason, message) = match self.made {
            0 => (
                RefusalReason::NoUpstream,
                format!("no engine holds {} now", self.job.served.artifact),
            ),
            _ => (
                RefusalReason::UpstreamFailed,
                format!("all {} engine(s) failed", self.made),
            ),
        };
        Refused::new(reason, self.verdict, message)
            .come_back_ms(NO_UPSTREAM_COME_BACK_MS)
    }

    fn candidate(
        &self,
        engine: &EngineRoute,
        snapshot: &Snapshot,
    ) -> Candidate {
        let app = &self.app;
        let now = app.shared.clock.now();
        let own = &app.shared.settings.data_centre;
        let distance_ms = snapshot
            .config
            .as_ref()
            .map_or(0.0, |c| c.distance_ms(own, &engine.data_centre));
        let unreported = app.outstanding.since(&engine.id, engine.reported);
        let blocks = app.shared.hints().cached_blocks(
            &engine.id,
            &self.job.blocks,
            now,
        );
        Candidate {
            engine: engine.id.clone(),
            distance_ms,
            connection_ms: 0.0,
            suspect: engine.suspect,
            slots: engine.slots,
            prefill_tokens_per_second: engine.prefill_tokens_per_second,
            running: engine.running + unreported.running,
            waiting_tokens: engine.waiting_tokens + unreported.waiting_tokens,
            service_ms: app.outstanding.service_ms(&engine.id),
            report_age_ms: now.since(engine.reported),
            cached_tokens: estimated_tokens(blocks * BLOCK_BYTES),
            bytes_ms: 0.0,
            pause_within_ms: None,
        }
    }

    /// Returns how many tokens of the prompt the chosen engine has to read.
    fn uncached_tokens(&self, choice: &Choice) -> u64 {
        let mut predictions = choice.predictions.iter();
        let chosen = predictions.find(|p| p.engine == choice.engine);
        let cached = chosen.map_or(0, |prediction| prediction.cached_tokens);
        self.job.prompt_tokens.saturating_sub(cached)
    }

    /// Makes one attempt: sends, and waits for the first piece.
    async fn attempt(
        &self,
        request: &RequestId,
        engine: EngineRoute,
        target: Target,
        read_tokens: u64,
    ) -> Result<Answer, PortError> {
        let app = &self.app;
        let now = app.shared.clock.now();
        // Each attempt has an id of its own at the engines, so that frames
        // of two generations are never taken for one answer.
        let id = RequestId::new(format!("{request}.{}", self.made));
        let ask = GenerateRequest {
            request: id.clone(),
            artifact: target.artifact.clone(),
            base: target.base,
            kind: self.job.kind,
            body: self.job.body.clone(),
            priority: self.job.workspace.priority,
        };
        let under_way =
            app.outstanding.send(&engine.id, self.job.prompt_tokens, now);
        let left = Duration::from_millis(self.deadline.since(now));
        let mut gate = StreamGate::new(id);
        let beginning = async {
            let engines = &app.shared.ports.engines;
            let mut frames = engines.generate(engine.address, &ask).await?;
            let first = first_piece(&mut frames, &mut gate).await?;
            Ok((frames, first))
        };
        let (frames, first) =
            tokio::time::timeout(left, beginning).await.map_err(|_| {
                PortError::timed_out("the answer did not begin")
            })??;
        under_way.prompt_read();
        app.shared.hints().note(&engine.id, &self.job.blocks, now);
        app.shared.report(Report::Succeeded(engine.id.clone()));
        let begun = BegunAnswer {
            engine,
            artifact: target.artifact,
            gate,
            frames,
            first,
            under_way,
            read_tokens,
        };
        let workspace = self.job.workspace.name.clone();
        Ok(Answer::new(app.clone(), workspace, begun))
    }
}

/// Waits for the first frame that is let through.
async fn first_piece(
    frames: &mut FrameStream,
    gate: &mut StreamGate,
) -> Result<Payload, PortError> {
    while let Some(frame) = frames.next().await {
        match gate.accept(frame?) {
            Passage::Pass(payload) => return Ok(payload),
            Passage::Leave => {}
            Passage::Missing => {
                return Err(PortError::broken("the first frame is missing"));
            }
        }
    }
    Err(PortError::broken("the answer ended before it began"))
}

fn retry_reason(kind: PortErrorKind) -> RetryReason {
    match kind {
        PortErrorKind::Connect => RetryReason::ConnectFailed,
        PortErrorKind::Refused => RetryReason::RefusedByUpstream,
        _ => RetryReason::FailedBeforeOutput,
    }
}
