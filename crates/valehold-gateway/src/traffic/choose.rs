//! Which upstream a request goes to.

use std::sync::Arc;

use valehold_core::{
    admission,
    config::MAX_PRIORITY,
    fleet::{
        Upstream, Variant,
        catalog::EngineSpec,
        choice::{PlainCandidate, choose_plain},
    },
    id::{ModelName, UpstreamId},
    prefix::chained_hashes,
    rendezvous,
    routing::{self, Candidate},
};
use xxhash_rust::xxh3::xxh3_64;

use super::{route::Job, state::App};
use crate::view::{Load, View};

/// How many prompt tokens of a usual model a usual engine reads in a second,
/// where it is not busy with other requests' outputs. What engines and models
/// differ from that is learned.
const READ_TOKENS_PER_SECOND: f64 = 30_000.0;

/// How old peers' word of their load is taken to be, in ms.
const LOAD_AGE_MS: u64 = 200;

/// What the way to another data centre is taken to cost, in ms: its delay,
/// and the price of the bytes.
const FAR_MS: f64 = 4.0;

/// By how much an engine's running requests delay a new one, in ms each.
const RUNNING_MS: f64 = 1.0;

/// What reading a prompt costs each request that runs beside it, since its
/// outputs come more slowly meanwhile: a part of the time of reading.
const DELAYED_PART: f64 = 0.03;

/// An upstream that was chosen.
#[derive(Debug, Clone)]
pub(super) struct Chosen {
    pub(super) upstream: Arc<Upstream>,
    /// Prompt tokens that it has to read, as many of a usual model as take as
    /// long.
    pub(super) read_tokens: u64,
    /// When its first event is predicted, in ms.
    pub(super) predicted_ms: f64,
    /// What is thought to be under way at it.
    pub(super) load: Load,
    /// When its first event is predicted if it is no slower than usual, in ms.
    pub(super) usual_ms: f64,
    /// How long of the predicted time prompts are read, in ms.
    pub(super) reading_ms: f64,
    /// How many times as long engine and model are taken to need for that as
    /// all.
    pub(super) pace: f64,
    /// The hashes of the prompt's leading parts.
    pub(super) blocks: Vec<u64>,
}

/// Why none was chosen.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum NoChoice {
    /// There is none that could take it.
    NoUpstream,
    /// No engine holds the model or the adapter.
    NotHeld,
    /// Its answer would begin too late.
    WouldBeLate {
        /// When its first event was predicted, in ms.
        predicted_ms: f64,
        /// In how many ms to come back.
        come_back_ms: u64,
    },
}

/// Chooses an upstream that was not `tried`.
pub(super) fn choose(
    app: &App,
    job: &Job,
    tried: &[UpstreamId],
) -> Result<Chosen, NoChoice> {
    let view = app.shared.view.load_full();
    match (job.engine_spec(), &job.request.variant) {
        (Some(spec), Some(variant)) => {
            choose_engine(app, &view, job, spec, variant, tried)
        }
        _ => choose_process(app, &view, job, tried),
    }
}

fn choose_process(
    app: &App,
    view: &View,
    job: &Job,
    tried: &[UpstreamId],
) -> Result<Chosen, NoChoice> {
    let own = &app.shared.settings.data_centre;
    let mut able: Vec<(bool, PlainCandidate)> = view
        .listing
        .of(&job.service_name)
        .filter(|upstream| !tried.contains(&upstream.id))
        .map(|upstream| {
            let candidate = PlainCandidate {
                upstream: upstream.id.clone(),
                slots: upstream.slots,
                running: load_of(app, &upstream.id).running,
                near: upstream.data_centre == *own,
            };
            (app.is_suspect(&upstream.id), candidate)
        })
        .collect();
    if able.iter().any(|(suspect, _)| !suspect) {
        able.retain(|(suspect, _)| !suspect);
    }
    let able: Vec<PlainCandidate> =
        able.into_iter().map(|(_, candidate)| candidate).collect();
    let chosen =
        choose_plain(&able, rand::random()).ok_or(NoChoice::NoUpstream)?;
    let upstream = view.listing.upstreams.get(&chosen.upstream);
    let upstream = upstream.cloned().ok_or(NoChoice::NoUpstream)?;
    Ok(Chosen {
        predicted_ms: 0.0,
        load: load_of(app, &upstream.id),
        upstream,
        read_tokens: 0,
        usual_ms: 0.0,
        reading_ms: 0.0,
        pace: 1.0,
        blocks: Vec::new(),
    })
}

fn choose_engine(
    app: &App,
    view: &View,
    job: &Job,
    spec: &EngineSpec,
    variant: &Variant,
    tried: &[UpstreamId],
) -> Result<Chosen, NoChoice> {
    let holders: Vec<&Arc<Upstream>> = holders(view, job).collect();
    if holders.is_empty() {
        return Err(NoChoice::NotHeld);
    }
    let prompt = Prompt::of(app, job, variant);
    let home = match app.mechanisms().prefix_affinity {
        true => prompt.home(&holders),
        false => None,
    };
    let candidates: Vec<Candidate> = able(app, &holders, variant, tried)
        .into_iter()
        .map(|upstream| {
            let is_home = home.as_ref() == Some(&upstream.id);
            Candidate {
                pause_within_ms: pause_within_ms(app, job),
                ..candidate(app, spec, upstream, &prompt, is_home)
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
    let slowness = app.slowness(&upstream.id);
    let reading_ms = prediction.queue_ms + prediction.prompt_ms;
    Ok(Chosen {
        predicted_ms: prediction.total_ms,
        load: load_of(app, &upstream.id),
        usual_ms: prediction.total_ms - reading_ms + reading_ms / slowness,
        reading_ms,
        pace: slowness * prompt.pace,
        upstream,
        read_tokens: prompt.usual_tokens(prompt.tokens).saturating_sub(cached),
        blocks: prompt.blocks,
    })
}

/// Returns the upstreams that hold what a request asks for.
pub(super) fn holders<'a>(
    view: &'a View,
    job: &'a Job,
) -> impl Iterator<Item = &'a Arc<Upstream>> {
    let variant = job.request.variant.as_ref();
    view.listing.of(&job.service_name).filter(move |upstream| {
        variant.is_none_or(|variant| upstream.holding.has(variant))
    })
}

/// Returns the holders that were not tried; those that turned the variant
/// away lately only where no other one is left.
fn able<'a>(
    app: &App,
    holders: &[&'a Arc<Upstream>],
    variant: &Variant,
    tried: &[UpstreamId],
) -> Vec<&'a Arc<Upstream>> {
    let untried = holders.iter().filter(|h| !tried.contains(&h.id)).copied();
    let (noted, able): (Vec<_>, Vec<_>) =
        untried.partition(|holder| app.turned_away(&holder.id, variant));
    if able.is_empty() { noted } else { able }
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

/// Returns what all gateways have under way at an upstream.
fn load_of(app: &App, upstream: &UpstreamId) -> Load {
    let own = app.shared.loads().get(upstream).copied();
    let others = app.shared.peer_loads.load().get(&upstream.tag()).copied();
    own.unwrap_or_default().plus(others.unwrap_or_default())
}

fn candidate(
    app: &App,
    spec: &EngineSpec,
    upstream: &Upstream,
    prompt: &Prompt,
    is_home: bool,
) -> Candidate {
    let load = load_of(app, &upstream.id);
    let now = app.now();
    let hinted = match app.mechanisms().prefix_affinity {
        true => app.hints().cached_blocks(&upstream.id, &prompt.blocks, now),
        false => 0,
    };
    let known = if is_home { prompt.shared.max(hinted) } else { hinted };
    let far = upstream.data_centre != app.shared.settings.data_centre;
    let way_ms = if far { FAR_MS } else { 0.0 };
    let cached_tokens = prompt.usual_tokens(prompt.tokens_of(known));
    let tokens = prompt.usual_tokens(prompt.tokens);
    let read_tokens = tokens.saturating_sub(cached_tokens);
    let each_ms = RUNNING_MS + read_ms(read_tokens) * DELAYED_PART;
    Candidate {
        engine: upstream.id.clone(),
        distance_ms: (way_ms + f64::from(load.running) * each_ms) / 2.0,
        suspect: app.is_suspect(&upstream.id),
        slots: spec.slots,
        prefill_tokens_per_second: READ_TOKENS_PER_SECOND
            / app.slowness(&upstream.id),
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

/// A prompt, as far as the choice of an engine needs it.
struct Prompt {
    model: ModelName,
    tokens: u64,
    /// The hash of each part with all before it, for this variant.
    blocks: Vec<u64>,
    part_tokens: Vec<u64>,
    /// How many leading parts other requests may share.
    shared: usize,
    /// How many times as long its model takes to read as all.
    pace: f64,
}

impl Prompt {
    fn of(app: &App, job: &Job, variant: &Variant) -> Self {
        let request = &job.request;
        let seed = xxh3_64(variant.to_string().as_bytes());
        let digests = request.parts.iter().map(|p| p.digest.to_le_bytes());
        Self {
            model: variant.model.clone(),
            tokens: request.prompt_tokens,
            blocks: chained_hashes(seed, digests),
            part_tokens: request.parts.iter().map(|p| p.tokens).collect(),
            shared: request.parts.len().saturating_sub(1),
            pace: app.pace_of_model(&variant.model),
        }
    }

    /// Returns how many tokens of a usual model take as long to read as some
    /// of this one's.
    #[allow(
        clippy::cast_precision_loss,
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss
    )]
    fn usual_tokens(&self, tokens: u64) -> u64 {
        (tokens as f64 * self.pace) as u64
    }

    fn tokens_of(&self, parts: usize) -> u64 {
        self.part_tokens.iter().take(parts).sum()
    }

    /// Returns the engine at which requests with the same beginning meet.
    fn home(&self, holders: &[&Arc<Upstream>]) -> Option<UpstreamId> {
        let last = self.shared.checked_sub(1)?;
        let key = self.blocks.get(last)?.to_string();
        let names: Vec<&str> =
            holders.iter().map(|upstream| upstream.id.as_str()).collect();
        rendezvous::owner(&key, &names).map(UpstreamId::new)
    }
}
