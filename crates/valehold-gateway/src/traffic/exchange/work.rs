//! Estimates the work that a request causes on engines, and reports the
//! estimate to the control thread.

use super::super::{route::Job, state::App};
use crate::shared::Work;

/// The time that an engine is busy with one output token, in ms.
const OUTPUT_TOKEN_MS: f64 = 0.1;

/// The time that an engine is busy with one prompt token, in ms.
const PROMPT_TOKEN_MS: f64 = 1.0 / 38.0;

/// The fraction of a prompt's shared tokens that an engine is expected to
/// prefill. The engine that receives the requests with the same beginning has
/// cached most of these tokens.
const SHARED_PREFILL_FRACTION: f64 = 0.25;

/// Adds the estimated work of a request to the work that the control thread
/// collects. Requests that name no model are not counted.
pub(super) fn record_work(app: &App, job: &Job) {
    let Some(variant) = job.bound_variant() else { return };
    #[allow(clippy::cast_precision_loss)]
    let tokens = |count: u64| count as f64;
    let parts = &job.request.parts;
    let shared: u64 = parts.iter().rev().skip(1).map(|part| part.tokens).sum();
    let unshared = tokens(job.request.prompt_tokens.saturating_sub(shared));
    let prefilled = unshared + tokens(shared) * SHARED_PREFILL_FRACTION;
    let busy_ms = prefilled * PROMPT_TOKEN_MS
        + tokens(job.request.output_tokens) * OUTPUT_TOKEN_MS;
    let mut work = app.shared.work();
    let work = work.entry(variant).or_default();
    *work = Work {
        requests: work.requests + 1.0,
        busy_ms: work.busy_ms + busy_ms,
    };
}
