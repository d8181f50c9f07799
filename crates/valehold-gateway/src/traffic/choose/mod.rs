//! Which upstream a request goes to.
//!
//! `eligible` says which upstreams may get the request at all: by the regions
//! that bind it, by data centres that are to be empty, by which asked for rest,
//! by what was tried, and by which are cold or in need. Of these, `process` chooses a
//! process of a plain service, and `engine` an engine that holds the model;
//! `prompt` says what of a prompt an engine may have read already.

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
    able_elsewhere, bound_now, holders, passed_over, usable,
};
use super::{rights, route::Job, state::App};
use crate::view::Load;

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
    /// Whether it is cold or in need, so that a right is needed to send to it.
    pub(super) needs_right: bool,
}

/// Why none was chosen.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum NoChoice {
    /// There is none that could take it.
    NoUpstream,
    /// All are outside the regions that bind it.
    NoneInBound,
    /// No region is left in which it may be served.
    EmptyBound,
    /// No engine holds the model or the adapter.
    NotHeld,
    /// All that could take it are cold, and get no more for now.
    AllCold {
        /// In how many ms one may get a request.
        next_ms: u64,
    },
    /// All that could take it are in need, and get no more for now.
    AllLimited {
        /// In how many ms one may get a request.
        next_ms: u64,
    },
    /// All that could take it asked this gateway for rest.
    AllResting {
        /// In how many ms one may get a request.
        next_ms: u64,
    },
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
    if bound_now(&view, job).is_empty() {
        return Err(NoChoice::EmptyBound);
    }
    if eligible::all_are_elsewhere(app, &view, job) {
        return Err(NoChoice::NoneInBound);
    }
    match (job.engine_spec(), &job.request.variant) {
        (Some(spec), Some(variant)) => {
            engine::choose(app, &view, job, spec, variant, tried)
        }
        _ => process::choose(app, &view, job, tried),
    }
}

/// Chooses an upstream that was not `tried`; gets the right to send to it if
/// one is needed.
pub(super) async fn choose_with_right(
    app: &App,
    job: &Job,
    tried: &[UpstreamId],
) -> Result<(Chosen, Option<SendPermit>), NoChoice> {
    loop {
        let chosen = choose(app, job, tried)?;
        if !chosen.needs_right {
            return Ok((chosen, None));
        }
        // Who gets none passes the upstream over from now on.
        if let Some(right) = rights::right_for(app, &chosen.upstream.id).await
        {
            return Ok((chosen, Some(right)));
        }
    }
}

/// Returns what all gateways have under way at one start of an upstream.
fn load_of(app: &App, upstream: &UpstreamStart) -> Load {
    let own = app.shared.loads().get(upstream).copied();
    let others = app.shared.peer_loads.load().get(&upstream.tag()).copied();
    own.unwrap_or_default().plus(others.unwrap_or_default())
}
