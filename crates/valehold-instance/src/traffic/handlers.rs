//! Chat and completion requests.

use std::sync::Arc;

use bytes::Bytes;
use futures::stream;
use http::{HeaderValue, StatusCode, header};
use valehold_core::{
    Verdict,
    chart::library::{RequestEvent, RequestState},
    id::ModelName,
    reason::RefusalReason,
    stream::{EndMark, Payload},
};
use valehold_ports::{PortError, port::PromptKind};
use viz::{Body, Request, Response};

use super::{
    App,
    answer::Answer,
    body,
    generate::{Attempts, Job},
    refusal::{RAN_HEADER, REQUEST_HEADER, Refused, json_response},
    shape::{DONE_EVENT, Prompt, Shape},
    trace::Trace,
    usage::InFlight,
};
use crate::shared::Report;

/// Answers a request for generated text.
pub(super) async fn generate(
    app: Arc<App>,
    kind: PromptKind,
    mut request: Request,
) -> Response {
    let mut trace = Trace::new(app.shared.clone());
    match admitted(&app, kind, &mut request, &mut trace).await {
        Ok(admitted) => admitted.answer(trace).await,
        Err(refused) => trace.refuse(&refused),
    }
}

/// A request that was let in.
struct Admitted {
    attempts: Attempts,
    shape: Shape,
    stream: bool,
    in_flight: InFlight,
}

async fn admitted(
    app: &Arc<App>,
    kind: PromptKind,
    request: &mut Request,
    trace: &mut Trace,
) -> Result<Admitted, Refused> {
    let snapshot = app.shared.snapshot.load_full();
    let (config, workspace) = app.authorize(request, &snapshot)?;
    trace.of_workspace(&workspace.name);
    let body = body::read(request, &app.shared.settings.callers).await?;
    let prompt = Prompt::try_from_body(kind, &body)?;
    trace.for_target(&prompt.model);
    let model = ModelName::new(&prompt.model);
    let served = config
        .served()
        .get(&model)
        .filter(|_| workspace.models.contains(&model));
    let Some(served) = served.cloned() else {
        return Err(Refused::not_run(
            RefusalReason::UnknownModel,
            format!("the workspace uses no model {model}"),
        ));
    };
    // Before the limits: what is refused for them is demand all the same.
    app.shared.report(Report::Arrived {
        artifact: served.artifact.clone(),
        prompt_tokens: prompt.prompt_tokens,
    });
    let tokens = prompt.prompt_tokens + prompt.answer_tokens;
    let in_flight = app.enter(&snapshot, &config, &workspace, tokens)?;
    trace.follow(RequestEvent::Admit);
    let shape = Shape::new(kind, trace.request(), &prompt.model);
    let job = Job {
        workspace,
        served,
        kind,
        body: prompt.body,
        prompt_tokens: prompt.prompt_tokens,
        blocks: prompt.blocks,
    };
    let attempts = Attempts::new(app.clone(), job, trace.began());
    Ok(Admitted { attempts, shape, stream: prompt.stream, in_flight })
}

impl Admitted {
    async fn answer(mut self, mut trace: Trace) -> Response {
        if !self.stream {
            return self.whole(trace).await;
        }
        match self.attempts.begin(&mut trace).await {
            Ok(answer) => streamed(trace, answer, self.shape, self.in_flight),
            Err(refused) => trace.refuse(&refused),
        }
    }

    /// Answers whole: the caller receives nothing before the end mark, so
    /// that a broken answer can be started again elsewhere.
    async fn whole(mut self, mut trace: Trace) -> Response {
        loop {
            let mut answer = match self.attempts.begin(&mut trace).await {
                Ok(answer) => answer,
                Err(refused) => return trace.refuse(&refused),
            };
            trace.first_output();
            let error = match collect(&mut answer).await {
                Ok((text, end)) => {
                    trace.follow(RequestEvent::EndMark);
                    let body = self.shape.whole(&text, &end);
                    let response = json_response(StatusCode::OK, &body);
                    return marked(response, &trace);
                }
                Err(error) => error,
            };
            let engine = answer.engine().clone();
            let decided = self.attempts.failed(&mut trace, &engine, &error);
            if let Err(refused) = decided {
                return trace.refuse(&refused);
            }
        }
    }
}

async fn collect(answer: &mut Answer) -> Result<(String, EndMark), PortError> {
    let mut whole = String::new();
    while let Some(payload) = answer.next().await? {
        match payload {
            Payload::Text(text) => whole.push_str(&text),
            Payload::End(end) => return Ok((whole, end)),
        }
    }
    Err(PortError::broken("the end mark is missing"))
}

/// What a streamed answer goes through as the caller reads it.
struct Streaming {
    trace: Trace,
    answer: Answer,
    shape: Shape,
    first: bool,
    _in_flight: InFlight,
}

fn streamed(
    mut trace: Trace,
    answer: Answer,
    shape: Shape,
    in_flight: InFlight,
) -> Response {
    trace.first_output();
    trace.follow(RequestEvent::FirstOutput);
    let streaming =
        Streaming { trace, answer, shape, first: true, _in_flight: in_flight };
    let request = streaming.trace.request().clone();
    // The stream is read only as fast as the caller takes it, so a slow
    // caller is bounded by the connections' buffers.
    let events = stream::unfold(Some(streaming), next_event);
    let mut response = Response::new(Body::from_stream(events));
    let headers = response.headers_mut();
    let kind = HeaderValue::from_static("text/event-stream");
    headers.insert(header::CONTENT_TYPE, kind);
    let no_cache = HeaderValue::from_static("no-cache");
    headers.insert(header::CACHE_CONTROL, no_cache);
    if let Ok(request) = HeaderValue::from_str(request.as_str()) {
        headers.insert(REQUEST_HEADER, request);
    }
    response
}

/// Makes the next event; an error breaks the connection off, so that the
/// caller sees that the answer is not whole.
async fn next_event(
    streaming: Option<Streaming>,
) -> Option<(Result<Bytes, std::io::Error>, Option<Streaming>)> {
    let mut streaming = streaming?;
    match streaming.answer.next().await {
        Ok(Some(payload)) => {
            let mut event = streaming.shape.event(&payload, streaming.first);
            streaming.first = false;
            if matches!(payload, Payload::End(_)) {
                event =
                    Bytes::from([&event[..], DONE_EVENT.as_bytes()].concat());
                streaming.trace.follow(RequestEvent::EndMark);
                return Some((Ok(event), None));
            }
            Some((Ok(event), Some(streaming)))
        }
        Ok(None) => None,
        Err(error) => {
            streaming.trace.attempt_failed(&error);
            streaming.trace.follow(RequestEvent::BreakOff);
            Some((Err(std::io::Error::other(error)), None))
        }
    }
}

/// Adds the headers that every answer has.
pub(super) fn marked(mut response: Response, trace: &Trace) -> Response {
    let headers = response.headers_mut();
    debug_assert_eq!(trace.state(), RequestState::Answered);
    let ran = HeaderValue::from_static(Verdict::Ran.as_str());
    headers.insert(RAN_HEADER, ran);
    if let Ok(request) = HeaderValue::from_str(trace.request().as_str()) {
        headers.insert(REQUEST_HEADER, request);
    }
    response
}
