//! Which engine a request goes to.

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
    eligible::{Able, able, awake, holders, staying, unless_turned_away},
    load_of,
    prompt::Prompt,
};
use crate::view::View;

/// How many prompt tokens of a usual model a usual engine reads in a second,
/// where it is not busy with other requests' outputs. What engines and models
/// differ from that is learned.
const READ_TOKENS_PER_SECOND: f64 = 30_000.0;

/// How old peers' word of their load is taken to be, in ms.
const LOAD_AGE_MS: u64 = 200;

/// By how much an engine's running requests delay a new one, in ms each.
const RUNNING_MS: f64 = 1.0;

/// What reading a prompt costs each request that runs beside it, since its
/// outputs come more slowly meanwhile: a part of the time of reading.
const DELAYED_PART: f64 = 0.03;

/// Chooses an engine that holds the model and was not tried.
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
    let holders = awake(app, holders)?;
    let prompt = Prompt::of(app, job, variant);
    let home = match app.mechanisms().prefix_affinity {
        true => prompt.home(&staying(view, holders.clone())),
        false => None,
    };
    let able = able(app, job, holders.iter().copied(), tried)?;
    let able = staying(view, unless_turned_away(app, able, Some(variant)));
    let candidates: Vec<Candidate> = able
        .iter()
        .map(|one| {
            let is_home = home.as_ref() == Some(&one.upstream.id);
            Candidate {
                pause_within_ms: pause_within_ms(app, job),
                slots: slots(spec, one),
                ..candidate(app, spec, one.upstream, &prompt, is_home)
            }
        })
        .collect();
    let choice = routing::choose(
        &candidates,
        prompt.usual_tokens(prompt.tokens),
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
        usual_ms: prediction.total_ms - reading_ms + reading_ms / slowness,
        reading_ms,
        pace: slowness * prompt.pace,
        upstream,
        read_tokens: prompt.usual_tokens(prompt.tokens).saturating_sub(cached),
        blocks: prompt.blocks,
        needs_right: able.iter().any(|one| {
            one.per_second.is_some() && one.upstream.id == choice.engine
        }),
    })
}

/// Returns how many requests an engine works on at once: one that is cold or in
/// need as many as it gets in a second, since it is slow and takes no more for
/// now.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn slots(spec: &EngineSpec, able: &Able<'_>) -> u32 {
    match able.per_second {
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
    .map_err(|come_back_ms| NoChoice::WouldBeLate {
        predicted_ms,
        come_back_ms,
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
    let hinted = match app.mechanisms().prefix_affinity {
        true => app.hints().cached_blocks(&start, &prompt.blocks, now),
        false => 0,
    };
    let known = if is_home { prompt.shared.max(hinted) } else { hinted };
    let way = app.way_to(&upstream.data_centre);
    let connection_ms = match app.pool.has_idle(&start) {
        true => 0.0,
        false => app.shared.settings.routing.connection_ms,
    };
    let cached_tokens = prompt.usual_tokens(prompt.tokens_of(known));
    let tokens = prompt.usual_tokens(prompt.tokens);
    let read_tokens = tokens.saturating_sub(cached_tokens);
    let each_ms = RUNNING_MS + read_ms(read_tokens) * DELAYED_PART;
    Candidate {
        engine: upstream.id.clone(),
        distance_ms: (way.round_trip_ms + f64::from(load.running) * each_ms)
            / 2.0,
        bytes_ms: way.bytes_ms,
        connection_ms,
        suspect: app.is_suspect(&start),
        slots: spec.slots,
        prefill_tokens_per_second: READ_TOKENS_PER_SECOND
            / app.slowness(&start),
        running: load.running,
        waiting_tokens: load.waiting_tokens,
        service_ms: app.slot_ms(&prompt.model),
        report_age_ms: LOAD_AGE_MS,
        cached_tokens,
        pause_within_ms: None,
    }
}

/// Returns how long a usual engine reads tokens of a usual model, in ms.
#[allow(clippy::cast_precision_loss)]
fn read_ms(tokens: u64) -> f64 {
    tokens as f64 / READ_TOKENS_PER_SECOND * 1_000.0
}

/// Returns the longest pause that is in time for answers of a route's service:
/// routes of one service state about the same.
#[allow(clippy::cast_precision_loss)]
fn pause_within_ms(app: &App, job: &Job) -> Option<f64> {
    let pause_ms = job.route.pause_within_ms;
    let counts = app.mechanisms().pauses_spared && pause_ms > 0;
    counts.then_some(pause_ms as f64)
}
