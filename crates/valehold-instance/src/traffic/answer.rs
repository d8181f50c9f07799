//! An answer that has begun: passing it on whole, or breaking it off.

use std::{sync::Arc, time::Duration};

use futures::StreamExt;
use valehold_core::{
    Millis, Verdict,
    id::{Artifact, UpstreamId, WorkspaceId},
    reason::RetryReason,
    retry::FailedAttempt,
    stream::{Passage, Payload, StreamGate},
};
use valehold_ports::{PortError, port::FrameStream};

use super::{App, outstanding::UnderWay};
use crate::{shared::Report, snapshot::EngineRoute};

/// What an attempt that succeeded leaves.
pub(super) struct BegunAnswer {
    pub(super) engine: EngineRoute,
    pub(super) artifact: Artifact,
    pub(super) gate: StreamGate,
    pub(super) frames: FrameStream,
    pub(super) first: Payload,
    pub(super) under_way: UnderWay,
    /// How many tokens of the prompt were taken for not cached.
    pub(super) read_tokens: u64,
}

/// An answer of which the first piece has come.
pub(super) struct Answer {
    app: Arc<App>,
    workspace: WorkspaceId,
    engine: EngineRoute,
    artifact: Artifact,
    gate: StreamGate,
    frames: FrameStream,
    first: Option<Payload>,
    under_way: UnderWay,
    read_tokens: u64,
    resumed: u32,
    began: Millis,
    last: Millis,
}

impl Answer {
    pub(super) fn new(
        app: Arc<App>,
        workspace: WorkspaceId,
        begun: BegunAnswer,
    ) -> Self {
        let now = app.shared.clock.now();
        Self {
            app,
            workspace,
            engine: begun.engine,
            artifact: begun.artifact,
            gate: begun.gate,
            frames: begun.frames,
            first: Some(begun.first),
            under_way: begun.under_way,
            read_tokens: begun.read_tokens,
            resumed: 0,
            began: now,
            last: now,
        }
    }

    /// Returns the engine that answers.
    pub(super) fn engine(&self) -> &UpstreamId {
        &self.engine.id
    }

    /// Returns the next piece, or `None` after the end mark.
    ///
    /// # Errors
    ///
    /// If the stream broke and could not be resumed. What came so far is
    /// not the whole answer.
    pub(super) async fn next(&mut self) -> Result<Option<Payload>, PortError> {
        if let Some(first) = self.first.take() {
            return Ok(Some(self.passed(first)));
        }
        if self.gate.ended() {
            return Ok(None);
        }
        loop {
            match self.next_passage().await {
                Ok(Passage::Pass(payload)) => {
                    return Ok(Some(self.passed(payload)));
                }
                Ok(Passage::Leave) => {}
                Ok(Passage::Missing) => {
                    let missing = PortError::broken("a frame is missing");
                    self.resume(missing).await?;
                }
                Err(error) => self.resume(error).await?,
            }
        }
    }

    async fn next_passage(&mut self) -> Result<Passage, PortError> {
        let pause = self.app.shared.settings.callers.pause_timeout_ms;
        let pause = Duration::from_millis(pause);
        let frame = tokio::time::timeout(pause, self.frames.next())
            .await
            .map_err(|_| PortError::timed_out("the answer paused"))?
            .ok_or_else(|| PortError::broken("the end mark is missing"))??;
        Ok(self.gate.accept(frame))
    }

    /// Goes on with the stream at the same engine, after `broken`.
    async fn resume(&mut self, broken: PortError) -> Result<(), PortError> {
        self.app.shared.report(Report::Failed(self.engine.id.clone()));
        let failed = FailedAttempt {
            verdict: Verdict::MayHaveRun,
            repeatable: true,
            // Resuming repeats nothing that the caller has received.
            output_begun: false,
            attempts: 1 + self.resumed,
        };
        let now = self.app.shared.clock.now();
        let paid = self.app.retries.try_retry(
            failed,
            &self.workspace,
            &self.engine.id,
            now,
            now + 1,
        );
        if paid.is_err() {
            return Err(broken);
        }
        self.resumed += 1;
        self.app.shared.metrics.retried(RetryReason::StreamResumed);
        let engines = &self.app.shared.ports.engines;
        let from = self.gate.next_sequence();
        let request = self.gate.request().clone();
        self.frames = engines
            .resume(self.engine.address, &request, from)
            .await
            .map_err(|_| broken)?;
        Ok(())
    }

    fn passed(&mut self, payload: Payload) -> Payload {
        let now = self.app.shared.clock.now();
        #[allow(clippy::cast_precision_loss)]
        let pause_s = now.since(self.last) as f64 / 1_000.0;
        self.last = now;
        self.app.shared.metrics.between_tokens(pause_s);
        if matches!(payload, Payload::End(_)) {
            self.ended(now);
        }
        payload
    }

    fn ended(&self, now: Millis) {
        #[allow(clippy::cast_precision_loss)]
        let service_ms = now.since(self.began) as f64;
        self.under_way.served(service_ms);
        self.app.shared.report(Report::Served {
            artifact: self.artifact.clone(),
            service_s: service_ms / 1_000.0,
            read_tokens: self.read_tokens,
        });
    }
}
