//! Answers: a text that depends on the prompt alone, token by token.

use std::{
    collections::BTreeMap,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use futures::{Stream, StreamExt, stream};
use tokio::sync::OwnedSemaphorePermit;
use valehold_core::{
    id::{Artifact, RequestId},
    prefix::estimated_tokens,
    stream::{EndMark, FinishReason, Frame, Payload},
};
use valehold_ports::port::GenerateRequest;
use viz::{Body, Response};

use super::{EngineStandin, lock};

/// How many tokens an answer has if its request sets no bound.
const DEFAULT_ANSWER_TOKENS: u64 = 16;

/// The frame at which a fault takes effect.
const FAULTY_FRAME: u64 = 3;

/// The faults of one stream.
#[derive(Debug, Clone, Copy, Default)]
struct StreamFaults {
    cross: bool,
    repeat: bool,
    skip: bool,
    cut: bool,
}

/// Counts a request as running until it is dropped.
struct Busy {
    running: Arc<Mutex<BTreeMap<Artifact, u32>>>,
    artifact: Artifact,
}

impl Drop for Busy {
    fn drop(&mut self) {
        if let Some(count) = lock(&self.running).get_mut(&self.artifact) {
            *count = count.saturating_sub(1);
        }
    }
}

/// Counts prompt tokens as waiting until it is dropped.
struct Waiting {
    counter: Arc<AtomicU64>,
    tokens: u64,
}

impl Drop for Waiting {
    fn drop(&mut self) {
        self.counter.fetch_sub(self.tokens, Ordering::Relaxed);
    }
}

impl EngineStandin {
    /// Streams a request's answer from a frame on.
    pub(super) fn stream(
        &self,
        request: &GenerateRequest,
        from: u64,
    ) -> Response {
        let busy = self.busy(&request.artifact);
        let faults = self.take_stream_faults();
        let frames = answer(request);
        let this = self.clone();
        let prompt_tokens = estimated_tokens(request.body.to_string().len());
        let body = stream::once(async move {
            let slot = this.read_prompt(prompt_tokens).await;
            let token_time = this.shared.settings.token_time;
            paced(frames, from, token_time, faults, (busy, slot))
        })
        .flatten();
        let mut response = Response::new(Body::from_stream(body));
        response.headers_mut().insert(
            http::header::CONTENT_TYPE,
            http::HeaderValue::from_static("text/event-stream"),
        );
        response
    }

    /// Waits for a slot, then for the prompt to be read.
    async fn read_prompt(&self, tokens: u64) -> Option<OwnedSemaphorePermit> {
        self.shared.waiting_tokens.fetch_add(tokens, Ordering::Relaxed);
        let counter = self.shared.waiting_tokens.clone();
        let _waiting = Waiting { counter, tokens };
        let slot = self.shared.slots.clone().acquire_owned().await.ok();
        #[allow(clippy::cast_precision_loss)]
        let seconds =
            tokens as f64 / self.shared.settings.prefill_tokens_per_second;
        tokio::time::sleep(Duration::from_secs_f64(seconds)).await;
        slot
    }

    fn busy(&self, artifact: &Artifact) -> Busy {
        let running = self.shared.running.clone();
        *lock(&running).entry(artifact.clone()).or_default() += 1;
        Busy { running, artifact: artifact.clone() }
    }

    fn take_stream_faults(&self) -> StreamFaults {
        let mut faults = lock(&self.shared.frame_faults);
        StreamFaults {
            cross: take_fault(&mut faults.cross),
            repeat: take_fault(&mut faults.repeat),
            skip: take_fault(&mut faults.skip),
            cut: take_fault(&mut faults.cut),
        }
    }
}

fn take_fault(count: &mut u32) -> bool {
    let is_due = *count > 0;
    *count = count.saturating_sub(1);
    is_due
}

/// Returns all frames of a request's answer.
fn answer(request: &GenerateRequest) -> Vec<Frame> {
    let prompt = request.body.to_string();
    let bound = request.body.get("max_tokens").and_then(|n| n.as_u64());
    let tokens = bound.unwrap_or(DEFAULT_ANSWER_TOKENS);
    let beginning = format!("{} says:", request.artifact);
    let words = (1..tokens).map(|n| format!(" {n}"));
    let texts = std::iter::once(beginning).chain(words).map(Payload::Text);
    let end = Payload::End(EndMark {
        finish: match bound {
            Some(_) => FinishReason::Length,
            None => FinishReason::Stop,
        },
        prompt_tokens: estimated_tokens(prompt.len()),
        completion_tokens: tokens,
    });
    let payloads = texts.chain(std::iter::once(end));
    (0..)
        .zip(payloads)
        .map(|(sequence, payload)| Frame {
            request: request.request.clone(),
            sequence,
            payload,
        })
        .collect()
}

/// Sends frames at the pace of generation, with faults.
fn paced(
    frames: Vec<Frame>,
    from: u64,
    token_time: Duration,
    faults: StreamFaults,
    held: (Busy, Option<OwnedSemaphorePermit>),
) -> impl Stream<Item = Result<Bytes, std::io::Error>> {
    let left = frames.into_iter().filter(move |f| f.sequence >= from);
    let events: Vec<_> = left.flat_map(|f| with_faults(f, faults)).collect();
    stream::unfold(
        (events.into_iter(), held),
        move |(mut events, held)| async move {
            let event = events.next()?;
            tokio::time::sleep(token_time).await;
            Some((event, (events, held)))
        },
    )
}

/// Makes the events of one frame, as the faults have it.
fn with_faults(
    frame: Frame,
    faults: StreamFaults,
) -> Vec<Result<Bytes, std::io::Error>> {
    if frame.sequence != FAULTY_FRAME {
        return vec![Ok(event(&frame))];
    }
    if faults.cut {
        return vec![Err(std::io::Error::other("cut off"))];
    }
    if faults.skip {
        return Vec::new();
    }
    let mut events = Vec::new();
    if faults.cross {
        let payload = Payload::Text("not yours".to_owned());
        let request = RequestId::new("another");
        let crossed = Frame { request, sequence: frame.sequence, payload };
        events.push(Ok(event(&crossed)));
    }
    if faults.repeat {
        events.push(Ok(event(&frame)));
    }
    events.push(Ok(event(&frame)));
    events
}

fn event(frame: &Frame) -> Bytes {
    let json = serde_json::to_string(frame).unwrap_or_default();
    Bytes::from(format!("data: {json}\n\n"))
}
