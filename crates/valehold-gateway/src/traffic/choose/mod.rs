//! Chooses the upstream for a request.
//!
//! `eligible` filters the upstreams by the request's region bound, by
//! evacuations of data centres, by backoffs, by earlier sends of the request
//! and by the permits of cold or rate-limited upstreams. `process` chooses
//! among the eligible processes of a plain service, and `engine` among the
//! eligible engines that hold the model. `prompt` identifies the leading parts
//! of a prompt that an engine may have cached.

mod eligible;
mod engine;
mod process;
mod prompt;

use std::sync::Arc;

use valehold_core::{
    fleet::{Upstream, UpstreamStart, cold::SendPermit},
    id::UpstreamId,
};

pub(super) use self::eligible::{
    current_bound, holders, holders_outside_bound, passed_over, usable,
};
use super::{permits, route::Job, state::App};
use crate::view::Load;

/// The upstream chosen for a send, with the prediction for the send.
#[derive(Debug, Clone)]
pub(super) struct Chosen {
    pub(super) upstream: Arc<Upstream>,
    /// The number of prompt tokens that the upstream has to prefill, converted
    /// to tokens of a typical model that take the same time.
    pub(super) read_tokens: u64,
    /// The predicted time from the send to the first event, in ms.
    pub(super) predicted_ms: f64,
    /// The load of the upstream, as known from all gateways.
    pub(super) load: Load,
    /// The predicted time to the first event if the upstream reads prompts at
    /// the typical speed, in ms.
    pub(super) typical_ms: f64,
    /// The part of the predicted time that is spent on prefilling prompts, in
    /// ms.
    pub(super) reading_ms: f64,
    /// The estimated prefill time of this engine and model, relative to an
    /// engine and a model of the standard pace.
    pub(super) pace: f64,
    /// The chained hashes of the prompt's leading parts.
    pub(super) blocks: Vec<u64>,
    /// Whether the upstream is cold or rate-limited, so that sending to the
    /// upstream requires a permit.
    pub(super) needs_permit: bool,
}

/// The reason why no upstream was chosen.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum NoChoice {
    /// No untried upstream is available.
    NoUpstream,
    /// No upstream that runs the software version that began the stream can
    /// continue it.
    NoneOfVersion,
    /// All upstreams of the service are outside the request's region bound.
    NoneInBound,
    /// The region bound of the request allows no region.
    EmptyBound,
    /// No engine holds the requested model or adapter.
    NotHeld,
    /// No permit is available, and the first one is expected for a cold
    /// upstream.
    AllCold {
        /// The time until an upstream may accept a request, in ms.
        retry_after_ms: u64,
    },
    /// No permit is available, and the first one is expected for an upstream
    /// that limits its request rate.
    AllLimited {
        /// The time until an upstream may accept a request, in ms.
        retry_after_ms: u64,
    },
    /// All available upstreams are in a backoff requested from this gateway.
    AllBackingOff {
        /// The time until an upstream may accept a request, in ms.
        retry_after_ms: u64,
    },
    /// All available upstreams are brittle and may have no room.
    AllBrittle {
        /// The time until an upstream may have room, in ms, if it is known.
        retry_after_ms: Option<u64>,
    },
    /// The answer is predicted to begin too late.
    WouldBeLate {
        /// The predicted time to the first event, in ms.
        predicted_ms: f64,
        /// The time after which the caller may retry, in ms.
        retry_after_ms: u64,
    },
}

/// Chooses an upstream that is not in `tried`.
pub(super) fn choose(
    app: &App,
    job: &Job,
    tried: &[UpstreamId],
) -> Result<Chosen, NoChoice> {
    let view = app.shared.view.load_full();
    if current_bound(&view, job).is_empty() {
        return Err(NoChoice::EmptyBound);
    }
    if eligible::none_of_version(&view, job) {
        return Err(NoChoice::NoneOfVersion);
    }
    if eligible::all_outside_bound(app, &view, job) {
        return Err(NoChoice::NoneInBound);
    }
    match (job.engine_spec(), &job.request.variant) {
        (Some(spec), Some(variant)) => {
            engine::choose(app, &view, job, spec, variant, tried)
        }
        _ => process::choose(app, &view, job, tried),
    }
}

/// Chooses an upstream that is not in `tried`, and acquires a send permit if
/// the upstream requires one.
pub(super) async fn choose_with_permit(
    app: &App,
    job: &Job,
    tried: &[UpstreamId],
) -> Result<(Chosen, Option<SendPermit>), NoChoice> {
    loop {
        let chosen = choose(app, job, tried)?;
        if !chosen.needs_permit {
            return Ok((chosen, None));
        }
        // If no permit was granted, `choose` skips this upstream from now on.
        if let Some(permit) = permits::acquire(app, &chosen.upstream.id).await
        {
            return Ok((chosen, Some(permit)));
        }
    }
}

/// Returns the load of one start of an upstream: the requests that all
/// gateways have in flight on the upstream.
pub(super) fn load_of(app: &App, upstream: &UpstreamStart) -> Load {
    let own = app.shared.loads().get(upstream).copied();
    let others = app.shared.peer_loads.load().get(&upstream.tag()).copied();
    own.unwrap_or_default().plus(others.unwrap_or_default())
}
