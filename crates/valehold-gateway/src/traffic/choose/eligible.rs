//! Which upstreams may get a request at all.
//!
//! Those outside the regions that bind it never do, and those in a data centre
//! that is to be empty none from a moment after this gateway heard so. Until
//! then they get what no other upstream can take. One that asked this gateway
//! for rest gets nothing until that is over, and one that is cold or in need a
//! request only with a right to send to it.

use std::{borrow::Cow, sync::Arc};

use valehold_core::{
    fleet::{
        RegionBound, Upstream, Variant, backoff::BackoffState,
        cold::PermitState, upstream_limit::RequestRate,
    },
    id::UpstreamId,
};

use super::{
    super::{rights, route::Job, state::App},
    NoChoice,
};
use crate::{
    events::{PassedOver, PassedOverFor},
    view::View,
};

/// Returns the regions that bind a request now.
///
/// Of the configuration under which it came and the one in force the stricter
/// holds: a bound that is set while a request is under way holds for its next
/// send, and one that is lifted frees only requests that come later.
pub(in super::super) fn bound_now<'a>(
    view: &View,
    job: &'a Job,
) -> Cow<'a, RegionBound> {
    let newest = view.catalog.as_ref();
    let Some(newest) =
        newest.filter(|newest| newest.version != job.catalog.version)
    else {
        return Cow::Borrowed(&job.bound);
    };
    let workspace = job.workspace.as_ref().map(|one| &one.name);
    let path = job.head.uri.path();
    let bound = newest.bound_of(&job.route.host, path, workspace);
    Cow::Owned(job.bound.intersection(&bound))
}

/// Returns how many upstreams outside the regions that bind a request hold
/// what it asks for.
pub(in super::super) fn able_elsewhere(
    app: &App,
    view: &View,
    job: &Job,
) -> usize {
    let staying = |one: &&Arc<Upstream>| !one.leaving;
    let holding = all_holders(view, job).filter(staying).count();
    let inside = only_inside_bound(app, view, job, all_holders(view, job));
    holding.saturating_sub(inside.filter(staying).count())
}

/// Tells whether all upstreams of a request's service are outside the regions
/// that bind it.
pub(super) fn all_are_elsewhere(app: &App, view: &View, job: &Job) -> bool {
    of_service(view, job).next().is_some()
        && only_inside_bound(app, view, job, of_service(view, job))
            .next()
            .is_none()
}

/// Returns the upstreams of a request's service that take new work.
fn of_service<'a>(
    view: &'a View,
    job: &'a Job,
) -> impl Iterator<Item = &'a Arc<Upstream>> {
    let all = view.index.of_service(&job.service_name, &view.listing);
    all.filter(|upstream| !upstream.leaving)
}

/// Returns the upstreams of a request's service that hold what it asks for,
/// those that leave among them.
fn all_holders<'a>(
    view: &'a View,
    job: &'a Job,
) -> impl Iterator<Item = &'a Arc<Upstream>> {
    let variant = job.request.variant.as_ref();
    let of_model = variant.into_iter().flat_map(|variant| {
        let all = view.index.holding(&variant.model, &view.listing);
        all.filter(|one| {
            one.service == job.service_name && one.holding.can_run(variant)
        })
    });
    let of_service = match variant {
        Some(_) => None,
        None => Some(view.index.of_service(&job.service_name, &view.listing)),
    };
    of_model.chain(of_service.into_iter().flatten())
}

/// Leaves out upstreams outside the regions that bind a request.
fn only_inside_bound<'a>(
    app: &'a App,
    view: &'a View,
    job: &'a Job,
    upstreams: impl Iterator<Item = &'a Arc<Upstream>>,
) -> impl Iterator<Item = &'a Arc<Upstream>> {
    let topology = &app.shared.topology;
    let bound = bound_now(view, job);
    upstreams.filter(move |upstream| {
        bound.allows(topology.region_of(&upstream.data_centre))
    })
}

/// Returns the upstreams of a request's service that may get it, whatever they
/// hold: inside the regions that bind it, and not in data centres that are
/// empty.
pub(in super::super) fn usable<'a>(
    app: &'a App,
    view: &'a View,
    job: &'a Job,
) -> impl Iterator<Item = &'a Arc<Upstream>> {
    only_usable(app, view, job, of_service(view, job))
}

/// Leaves out upstreams outside the regions that bind a request, and those in
/// data centres that are empty.
fn only_usable<'a>(
    app: &'a App,
    view: &'a View,
    job: &'a Job,
    upstreams: impl Iterator<Item = &'a Arc<Upstream>>,
) -> impl Iterator<Item = &'a Arc<Upstream>> {
    let now = app.now();
    only_inside_bound(app, view, job, upstreams).filter(move |upstream| {
        !view.evacuations.is_evacuated(&upstream.data_centre, now)
    })
}

/// Leaves out upstreams in data centres that are to be empty, where there are
/// others.
pub(super) fn staying<T: AsRef<Upstream>>(
    view: &View,
    upstreams: Vec<T>,
) -> Vec<T> {
    if !view.evacuations.any_evacuating() {
        return upstreams;
    }
    let is_emptying =
        |one: &T| view.evacuations.is_evacuating(&one.as_ref().data_centre);
    let (emptying, staying): (Vec<_>, Vec<_>) =
        upstreams.into_iter().partition(is_emptying);
    if staying.is_empty() { emptying } else { staying }
}

/// Returns those that hold what a request asks for.
pub(in super::super) fn holders<'a>(
    app: &'a App,
    view: &'a View,
    job: &'a Job,
) -> impl Iterator<Item = &'a Arc<Upstream>> {
    let staying = all_holders(view, job).filter(|one| !one.leaving);
    only_usable(app, view, job, staying)
}

/// How many upstreams that were passed over a request's line names: a line has
/// room for all that hold a usual model.
const MOST_PASSED_OVER: usize = 16;

/// Returns which upstreams inside the regions that bind a request hold what it
/// asks for and cannot get it, and why.
pub(in super::super) fn passed_over(
    app: &App,
    view: &View,
    job: &Job,
) -> Vec<PassedOver> {
    let able = only_inside_bound(app, view, job, all_holders(view, job));
    let passed_over = able.filter_map(|one| {
        let reason = passed_over_for(app, one)?;
        Some(PassedOver { upstream: one.id.clone(), reason })
    });
    passed_over.take(MOST_PASSED_OVER).collect()
}

fn passed_over_for(app: &App, one: &Upstream) -> Option<PassedOverFor> {
    if one.leaving {
        return Some(PassedOverFor::Leaving);
    }
    let now = app.now();
    if !app.shared.rests().is_ready(&one.start(), now) {
        return Some(PassedOverFor::Resting);
    }
    let is_limited = rights::is_limited(app, one);
    let sight = app.shared.cold().permit_state(&one.id, is_limited, now);
    let has_none = matches!(sight, PermitState::Unavailable { .. });
    (is_limited && has_none).then_some(PassedOverFor::Limited)
}

/// An upstream that may get a request.
#[derive(Clone, Copy)]
pub(super) struct Able<'a> {
    pub(super) upstream: &'a Arc<Upstream>,
    /// How many requests a second it takes, if it is cold or in need: a right
    /// to send to it is needed.
    pub(super) per_second: Option<f64>,
}

impl AsRef<Upstream> for Able<'_> {
    fn as_ref(&self) -> &Upstream {
        self.upstream
    }
}

/// Leaves out upstreams that asked this gateway for rest.
pub(super) fn awake<'a>(
    app: &App,
    upstreams: Vec<&'a Arc<Upstream>>,
) -> Result<Vec<&'a Arc<Upstream>>, NoChoice> {
    let (rests, now) = (app.shared.rests(), app.now());
    if rests.is_empty() {
        return Ok(upstreams);
    }
    let mut awake = Vec::new();
    let mut soonest_ms: Option<u64> = None;
    for upstream in upstreams {
        match rests.state(&upstream.start(), now) {
            BackoffState::Ready => awake.push(upstream),
            BackoffState::BackingOff { remaining_ms: left_ms } => {
                let soonest = soonest_ms.map_or(left_ms, |s| s.min(left_ms));
                soonest_ms = Some(soonest);
            }
        }
    }
    match soonest_ms {
        Some(next_ms) if awake.is_empty() => {
            Err(NoChoice::AllResting { next_ms })
        }
        _ => Ok(awake),
    }
}

/// Returns the upstreams that were not tried, less those to which a right to
/// send is needed and none to be had now.
pub(super) fn able<'a>(
    app: &App,
    job: &Job,
    upstreams: impl Iterator<Item = &'a Arc<Upstream>>,
    tried: &[UpstreamId],
) -> Result<Vec<Able<'a>>, NoChoice> {
    let untried = upstreams.filter(|one| !tried.contains(&one.id));
    let limits = app.shared.upstream_limits();
    let cold = job.cold_spec();
    if cold.is_none() && limits.is_empty() {
        let free = |upstream| Able { upstream, per_second: None };
        return Ok(untried.map(free).collect());
    }
    let (book, now) = (app.shared.cold(), app.now());
    let mut able = Vec::new();
    let mut soonest: Option<(u64, NoChoice)> = None;
    for upstream in untried {
        let limit = limits.rate(&upstream.start());
        let limit = limit.map(RequestRate::per_second);
        let cold = cold.filter(|_| book.estimate.is_cold(&upstream.id, now));
        let bears = cold.map(|cold| cold.requests_per_second);
        let per_second = [limit, bears].into_iter().flatten().reduce(f64::min);
        let no_choice =
            match book.permit_state(&upstream.id, limit.is_some(), now) {
                PermitState::NotNeeded | PermitState::Needed => {
                    able.push(Able { upstream, per_second });
                    continue;
                }
                PermitState::Unavailable { retry_after_ms: next_ms }
                    if limit.is_some() =>
                {
                    (next_ms, NoChoice::AllLimited { next_ms })
                }
                PermitState::Unavailable { retry_after_ms: next_ms } => {
                    (next_ms, NoChoice::AllCold { next_ms })
                }
            };
        if soonest.is_none_or(|(next_ms, _)| no_choice.0 < next_ms) {
            soonest = Some(no_choice);
        }
    }
    match soonest {
        Some((_, no_choice)) if able.is_empty() => Err(no_choice),
        _ => Ok(able),
    }
}

/// Leaves those that turned such a request away lately only where no other
/// one is left.
pub(super) fn unless_turned_away<'a>(
    app: &App,
    able: Vec<Able<'a>>,
    variant: Option<&Variant>,
) -> Vec<Able<'a>> {
    let (noted, able): (Vec<_>, Vec<_>) = able
        .into_iter()
        .partition(|one| app.turned_away(&one.upstream.start(), variant));
    if able.is_empty() { noted } else { able }
}
