//! Requests and answers in the shapes of the conventional interface.

use bytes::Bytes;
use serde_json::{Value, json};
use valehold_core::{
    id::RequestId,
    prefix::{block_hashes, estimated_tokens, prompt_text},
    reason::RefusalReason,
    stream::{EndMark, FinishReason, Payload},
};
use valehold_ports::port::PromptKind;

use super::refusal::Refused;
use crate::once::wall_seconds;

/// The last event of a streamed answer.
pub(super) const DONE_EVENT: &str = "data: [DONE]\n\n";

/// How many tokens an answer is taken to have if its request sets no bound.
const ASSUMED_ANSWER_TOKENS: u64 = 256;

/// A caller's request, as far as it matters here.
#[derive(Debug)]
pub(super) struct Prompt {
    pub(super) model: String,
    pub(super) stream: bool,
    pub(super) body: Value,
    pub(super) prompt_tokens: u64,
    pub(super) answer_tokens: u64,
    pub(super) blocks: Vec<u64>,
}

impl Prompt {
    /// Reads a caller's body.
    pub(super) fn try_from_body(
        kind: PromptKind,
        body: &Bytes,
    ) -> Result<Self, Refused> {
        let bad = |message: String| {
            Refused::not_run(RefusalReason::BadRequest, message)
        };
        let body: Value = serde_json::from_slice(body)
            .map_err(|e| bad(format!("the body is not JSON: {e}")))?;
        let model = body.get("model").and_then(Value::as_str);
        let model = model
            .ok_or_else(|| bad("`model` is missing".to_owned()))?
            .to_owned();
        let (field, prompt) = match kind {
            PromptKind::Chat => ("messages", body.get("messages")),
            PromptKind::Completion => ("prompt", body.get("prompt")),
        };
        prompt
            .filter(|p| p.is_array() || p.is_string())
            .ok_or_else(|| bad(format!("`{field}` is missing")))?;
        let prompt = prompt_text(&body);
        let stream = match body.get("stream") {
            None | Some(Value::Null) => false,
            Some(Value::Bool(stream)) => *stream,
            Some(_) => return Err(bad("`stream` is true or false".into())),
        };
        let answer_tokens = answer_bound(&body).map_err(bad)?;
        Ok(Self {
            model,
            stream,
            prompt_tokens: estimated_tokens(prompt.len()),
            answer_tokens: answer_tokens.unwrap_or(ASSUMED_ANSWER_TOKENS),
            blocks: block_hashes(prompt.as_bytes()),
            body,
        })
    }
}

fn answer_bound(body: &Value) -> Result<Option<u64>, String> {
    let names = ["max_completion_tokens", "max_tokens"];
    let given = names.iter().find_map(|name| Some((name, body.get(name)?)));
    match given {
        None | Some((_, Value::Null)) => Ok(None),
        Some((name, value)) => match value.as_u64() {
            Some(bound) if bound > 0 => Ok(Some(bound)),
            _ => Err(format!("`{name}` is a whole number above 0")),
        },
    }
}

/// What stays the same in all parts of one answer.
#[derive(Debug, Clone)]
pub(super) struct Shape {
    kind: PromptKind,
    id: String,
    model: String,
    created: u64,
}

impl Shape {
    pub(super) fn new(
        kind: PromptKind,
        request: &RequestId,
        model: &str,
    ) -> Self {
        let prefix = match kind {
            PromptKind::Chat => "chatcmpl",
            PromptKind::Completion => "cmpl",
        };
        Self {
            kind,
            id: format!("{prefix}-{request}"),
            model: model.to_owned(),
            created: wall_seconds(),
        }
    }

    /// Makes the event of one piece of a streamed answer.
    pub(super) fn event(&self, payload: &Payload, first: bool) -> Bytes {
        let (text, end) = match payload {
            Payload::Text(text) => (Some(text.as_str()), None),
            Payload::End(end) => (None, Some(end)),
        };
        let finish = end.map(|end| finish_word(end.finish));
        let choice = match self.kind {
            PromptKind::Chat => {
                let mut delta = serde_json::Map::new();
                if first {
                    delta.insert("role".into(), json!("assistant"));
                }
                if let Some(text) = text {
                    delta.insert("content".into(), json!(text));
                }
                json!({"index": 0, "delta": delta, "finish_reason": finish})
            }
            PromptKind::Completion => json!({
                "index": 0,
                "text": text.unwrap_or_default(),
                "finish_reason": finish,
                "logprobs": null,
            }),
        };
        let object = match self.kind {
            PromptKind::Chat => "chat.completion.chunk",
            PromptKind::Completion => "text_completion",
        };
        let mut chunk = self.envelope(object, choice);
        if let Some(end) = end {
            chunk["usage"] = usage(end);
        }
        Bytes::from(format!("data: {chunk}\n\n"))
    }

    /// Makes a whole answer.
    pub(super) fn whole(&self, text: &str, end: &EndMark) -> Value {
        let finish = finish_word(end.finish);
        let choice = match self.kind {
            PromptKind::Chat => json!({
                "index": 0,
                "message": {"role": "assistant", "content": text},
                "finish_reason": finish,
            }),
            PromptKind::Completion => json!({
                "index": 0,
                "text": text,
                "finish_reason": finish,
                "logprobs": null,
            }),
        };
        let object = match self.kind {
            PromptKind::Chat => "chat.completion",
            PromptKind::Completion => "text_completion",
        };
        let mut answer = self.envelope(object, choice);
        answer["usage"] = usage(end);
        answer
    }

    fn envelope(&self, object: &str, choice: Value) -> Value {
        json!({
            "id": self.id,
            "object": object,
            "created": self.created,
            "model": self.model,
            "choices": [choice],
        })
    }
}

fn finish_word(finish: FinishReason) -> &'static str {
    match finish {
        FinishReason::Stop => "stop",
        FinishReason::Length => "length",
    }
}

fn usage(end: &EndMark) -> Value {
    json!({
        "prompt_tokens": end.prompt_tokens,
        "completion_tokens": end.completion_tokens,
        "total_tokens": end.prompt_tokens + end.completion_tokens,
    })
}
