//! What a request costs engines, told to control.

use super::super::{route::Job, state::App};
use crate::shared::Work;

/// How busy a token of output keeps an engine, in ms.
const OUTPUT_TOKEN_MS: f64 = 0.1;

/// How busy a token of prompt keeps an engine, in ms.
const PROMPT_TOKEN_MS: f64 = 1.0 / 38.0;

/// The part of a prompt's shared tokens that an engine is expected to read:
/// most are cached where requests with the same beginning meet.
const SHARED_READ_PART: f64 = 0.25;

/// Tells control which work a request makes.
pub(super) fn note_work(app: &App, job: &Job) {
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
