//! Chooses the engine for a request that names a model.

use std::sync::Arc;

use valehold_core::{
    admission,
    config::MAX_PRIORITY,
    fleet::{Upstream, Variant, catalog::EngineSpec},
    id::UpstreamId,
    routing::{self, Candidate},
};

use super::{
    super::{route::Job, state::App},
    Chosen, NoChoice,
    eligible::{
        EligibleUpstream, eligible, holders, not_backing_off,
        prefer_known_software, prefer_not_evacuating, prefer_not_rejecting,
        with_room,
    },
    load_of,
    prompt::Prompt,
};
use crate::view::View;

/// The number of prompt tokens per second that a typical engine prefills for a
/// typical model while the engine generates no output for other requests. The
/// deviations of individual engines and models from this rate are learned.
const READ_TOKENS_PER_SECOND: f64 = 30_000.0;

/// The assumed age of the load reports of peers, in ms.
const LOAD_AGE_MS: u64 = 200;

/// The delay that each running request of an engine adds to a new request, in
/// ms.
const RUNNING_MS: f64 = 1.0;

/// The cost of prefilling a prompt for each request that runs on the same
/// engine, as a fraction of the prefill time: the engine generates the output
/// of these requests more slowly during the prefill.
const PREFILL_DELAY_FRACTION: f64 = 0.03;

/// Chooses an engine that holds the requested model and was not tried.
pub(super) fn choose(
    app: &App,
    view: &View,
    job: &Job,
    spec: &EngineSpec,
    variant: &Variant,
    tried: &[UpstreamId],
) -> Result<Chosen, NoChoice> {
    let holders: Vec<&Arc<Upstream>> = holders(app, view, job).collect();
    if holders.is_empty() {
        return Err(NoChoice::NotHeld);
    }
    let holders = not_backing_off(app, holders)?;
    let holders = with_room(app, holders, |_| spec.slots)?;
    let prompt = Prompt::of(app, job, variant);
    let home = match app.mechanisms().prefix_affinity {
        true => prompt.home(&prefer_not_evacuating(view, holders.clone())),
        false => None,
    };
    let eligible = eligible(app, job, holders.iter().copied(), tried)?;
    let eligible = prefer_known_software(app, view, job, eligible);
    let eligible = prefer_not_evacuating(
        view,
        prefer_not_rejecting(app, eligible, Some(variant)),
    );
    let candidates: Vec<Candidate> = eligible
        .iter()
        .map(|one| {
            let is_home = home.as_ref() == Some(&one.upstream.id);
            Candidate {
                pause_within_ms: max_pause_ms(app, job),
                slots: slots(spec, one),
                ..candidate(app, spec, one.upstream, &prompt, is_home)
            }
        })
        .collect();
    let choice = routing::choose(
        &candidates,
        prompt.typical_model_tokens(prompt.tokens),
        rand::random(),
        &app.shared.settings.routing,
    )
    .ok_or(NoChoice::NoUpstream)?;
    let is_first = tried.is_empty();
    let least_ms = choice.least_ms();
    if is_first && app.mechanisms().admission_by_prediction {
        admit(app, job, least_ms)?;
    }
    let upstream = view.listing.upstreams.get(&choice.engine);
    let upstream = upstream.cloned().ok_or(NoChoice::NoUpstream)?;
    let prediction = choice
        .predictions
        .iter()
        .find(|prediction| prediction.engine == choice.engine)
        .ok_or(NoChoice::NoUpstream)?;
    let cached = prediction.cached_tokens;
    let slowness = app.slowness(&upstream.start());
    let reading_ms = prediction.queue_ms + prediction.prompt_ms;
    Ok(Chosen {
        predicted_ms: prediction.total_ms,
        load: load_of(app, &upstream.start()),
        typical_ms: prediction.total_ms - reading_ms + reading_ms / slowness,
        reading_ms,
        pace: slowness * prompt.pace,
        upstream,
        read_tokens: prompt
            .typical_model_tokens(prompt.tokens)
            .saturating_sub(cached),
        blocks: prompt.blocks,
        needs_permit: eligible.iter().any(|one| {
            one.per_second.is_some() && one.upstream.id == choice.engine
        }),
    })
}

/// Returns the number of requests that an engine can run at once.
///
/// An engine that is cold or rate-limited is slow and accepts no more than its
/// rate, so the result is at most the number of requests that the engine
/// accepts per second.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn slots(spec: &EngineSpec, engine: &EligibleUpstream<'_>) -> u32 {
    match engine.per_second {
        Some(per_second) => spec.slots.min(per_second.max(1.0) as u32),
        None => spec.slots,
    }
}

fn admit(app: &App, job: &Job, predicted_ms: f64) -> Result<(), NoChoice> {
    let priority = MAX_PRIORITY.saturating_sub(job.urgency());
    admission::admit(
        predicted_ms,
        priority,
        job.route.begin_within_ms,
        &app.shared.settings.admission,
    )
    .map_err(|retry_after_ms| NoChoice::WouldBeLate {
        predicted_ms,
        retry_after_ms,
    })
}

fn candidate(
    app: &App,
    spec: &EngineSpec,
    upstream: &Upstream,
    prompt: &Prompt,
    is_home: bool,
) -> Candidate {
    let start = upstream.start();
    let load = load_of(app, &start);
    let now = app.now();
    let hinted_blocks = match app.mechanisms().prefix_affinity {
        true => app.hints().cached_blocks(&start, &prompt.blocks, now),
        false => 0,
    };
    let cached =
        if is_home { prompt.shared.max(hinted_blocks) } else { hinted_blocks };
    let path = app.path_cost(&upstream.data_centre);
    let connection_ms = match app.pool.has_idle(&start) {
        true => 0.0,
        false => app.shared.settings.routing.connection_ms,
    };
    let cached_tokens = prompt.typical_model_tokens(prompt.tokens_of(cached));
    let tokens = prompt.typical_model_tokens(prompt.tokens);
    let read_tokens = tokens.saturating_sub(cached_tokens);
    let delay_per_request_ms =
        RUNNING_MS + prefill_ms(read_tokens) * PREFILL_DELAY_FRACTION;
    Candidate {
        engine: upstream.id.clone(),
        distance_ms: (path.round_trip_ms
            + f64::from(load.running) * delay_per_request_ms)
            / 2.0,
        bytes_ms: path.bytes_ms,
        connection_ms,
        suspect: app.is_suspect(&start),
        slots: spec.slots,
        prefill_tokens_per_second: READ_TOKENS_PER_SECOND
            / app.slowness(&start),
        running: load.running,
        waiting_tokens: load.waiting_tokens,
        service_ms: app.expected_slot_ms(&prompt.model),
        report_age_ms: LOAD_AGE_MS,
        cached_tokens,
        pause_within_ms: None,
    }
}

/// Returns how long a typical engine takes to prefill a number of tokens of a
/// typical model, in ms.
#[allow(clippy::cast_precision_loss)]
fn prefill_ms(tokens: u64) -> f64 {
    tokens as f64 / READ_TOKENS_PER_SECOND * 1_000.0
}

/// Returns the maximum pause between two events of an answer that meets the
/// objective of the request's route, in ms; `None` if pauses do not count.
///
/// The objective of the route stands for all requests on the engine, because
/// the routes of one service state similar objectives.
#[allow(clippy::cast_precision_loss)]
fn max_pause_ms(app: &App, job: &Job) -> Option<f64> {
    let pause_ms = job.route.pause_within_ms;
    let do_pauses_count = app.mechanisms().pauses_spared && pause_ms > 0;
    do_pauses_count.then_some(pause_ms as f64)
}
