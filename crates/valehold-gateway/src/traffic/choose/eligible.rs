//! Filters for the upstreams that are eligible to receive a request.
//!
//! An upstream outside the request's region bound is never eligible. An
//! upstream in an evacuating data centre receives only requests that no other
//! upstream can take; shortly after this gateway learns of the evacuation, the
//! data centre counts as evacuated and its upstreams receive no requests. An
//! upstream that requested a backoff from this gateway is not eligible until
//! the backoff ends. An upstream that is cold or rate-limited receives a
//! request only with a send permit. A stream that has begun is continued only
//! at upstreams of the software version that began it.

use std::{borrow::Cow, sync::Arc};

use valehold_core::{
    fleet::{
        RegionBound, Repetition, Upstream, Variant, backoff::BackoffState,
        brittle::RoomState, cold::PermitState, upstream_limit::RequestRate,
    },
    id::UpstreamId,
};

use super::{
    super::{
        brittle, origins::SoftwareBound, permits, route::Job, state::App,
    },
    NoChoice,
};
use crate::{
    events::{PassedOver, PassedOverFor},
    view::View,
};

/// Returns the region bound that applies to the next send of a request.
///
/// The result is the intersection of the bound in the catalog under which the
/// request arrived and the bound in the current catalog. A bound that is added
/// while a request is in flight therefore applies to the next send of the
/// request, and a bound that is removed affects only later requests.
pub(in super::super) fn current_bound<'a>(
    view: &View,
    job: &'a Job,
) -> Cow<'a, RegionBound> {
    let current = view.catalog.as_ref();
    let Some(current) =
        current.filter(|current| current.version != job.catalog.version)
    else {
        return Cow::Borrowed(&job.bound);
    };
    let workspace = job.workspace.as_ref().map(|one| &one.name);
    let path = job.head.uri.path();
    let bound = current.bound_of(&job.route.host, path, workspace);
    Cow::Owned(job.bound.intersection(&bound))
}

/// Returns the number of upstreams outside a request's region bound that hold
/// the requested model and are not leaving. For a plain service, counts all
/// such upstreams of the service.
pub(in super::super) fn holders_outside_bound(
    app: &App,
    view: &View,
    job: &Job,
) -> usize {
    let is_staying = |one: &&Arc<Upstream>| !one.leaving;
    let holding = all_holders(view, job).filter(is_staying).count();
    let inside = only_inside_bound(app, view, job, all_holders(view, job));
    holding.saturating_sub(inside.filter(is_staying).count())
}

/// Returns whether the service of a request has upstreams and all of them are
/// outside the request's region bound.
pub(super) fn all_outside_bound(app: &App, view: &View, job: &Job) -> bool {
    of_service(view, job).next().is_some()
        && only_inside_bound(app, view, job, of_service(view, job))
            .next()
            .is_none()
}

/// Returns whether a request is bound to a software version of which no
/// upstream can answer it: none runs the version, or none of those that do
/// holds the model. A model is not loaded for a version, as a load takes longer
/// than callers wait for a stream that has begun.
pub(super) fn none_of_version(view: &View, job: &Job) -> bool {
    if job.software == SoftwareBound::Any || view.listing.version == 0 {
        return false;
    }
    let model = job.request.variant.as_ref();
    let model = model.map(|variant| Variant::plain(variant.model.as_str()));
    !of_service(view, job).any(|upstream| {
        model.as_ref().is_none_or(|model| upstream.holding.can_run(model))
    })
}

/// Returns the upstreams of a request's service that are not leaving and run a
/// software version at which the request may run.
fn of_service<'a>(
    view: &'a View,
    job: &'a Job,
) -> impl Iterator<Item = &'a Arc<Upstream>> {
    let all = view.index.of_service(&job.service_name, &view.listing);
    all.filter(|upstream| !upstream.leaving && job.software.allows(upstream))
}

/// Returns the upstreams of a request's service that hold the requested model
/// and adapter, including upstreams that are leaving. For a plain service,
/// returns all upstreams of the service. Leaves out upstreams of software
/// versions at which the request may not run.
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
    let all = of_model.chain(of_service.into_iter().flatten());
    all.filter(|upstream| job.software.allows(upstream))
}

/// Removes the upstreams outside a request's region bound.
fn only_inside_bound<'a>(
    app: &'a App,
    view: &'a View,
    job: &'a Job,
    upstreams: impl Iterator<Item = &'a Arc<Upstream>>,
) -> impl Iterator<Item = &'a Arc<Upstream>> {
    let topology = &app.shared.topology;
    let bound = current_bound(view, job);
    upstreams.filter(move |upstream| {
        bound.allows(topology.region_of(&upstream.data_centre))
    })
}

/// Returns the upstreams of a request's service that are not leaving, are
/// inside the request's region bound and are not in an evacuated data centre,
/// regardless of the models that the upstreams hold.
pub(in super::super) fn usable<'a>(
    app: &'a App,
    view: &'a View,
    job: &'a Job,
) -> impl Iterator<Item = &'a Arc<Upstream>> {
    only_usable(app, view, job, of_service(view, job))
}

/// Removes the upstreams outside a request's region bound and the upstreams in
/// evacuated data centres.
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

/// Removes the upstreams in evacuating data centres, unless no other upstream
/// would remain.
pub(super) fn prefer_not_evacuating<T: AsRef<Upstream>>(
    view: &View,
    upstreams: Vec<T>,
) -> Vec<T> {
    if !view.evacuations.any_evacuating() {
        return upstreams;
    }
    let is_evacuating =
        |one: &T| view.evacuations.is_evacuating(&one.as_ref().data_centre);
    let (evacuating, remaining): (Vec<_>, Vec<_>) =
        upstreams.into_iter().partition(is_evacuating);
    if remaining.is_empty() { evacuating } else { remaining }
}

/// Returns the usable upstreams that hold the model and adapter that a request
/// asks for. For a plain service, returns all usable upstreams.
pub(in super::super) fn holders<'a>(
    app: &'a App,
    view: &'a View,
    job: &'a Job,
) -> impl Iterator<Item = &'a Arc<Upstream>> {
    let staying = all_holders(view, job).filter(|one| !one.leaving);
    only_usable(app, view, job, staying)
}

/// The maximum number of passed-over upstreams that the log line of a request
/// lists. This is enough for all holders of a typical model.
const MAX_PASSED_OVER: usize = 16;

/// Returns the upstreams inside a request's region bound that hold the
/// requested model but are not eligible, each with the reason.
pub(in super::super) fn passed_over(
    app: &App,
    view: &View,
    job: &Job,
) -> Vec<PassedOver> {
    let holders = only_inside_bound(app, view, job, all_holders(view, job));
    let passed_over = holders.filter_map(|one| {
        let reason = passed_over_for(app, one)?;
        Some(PassedOver { upstream: one.id.clone(), reason })
    });
    passed_over.take(MAX_PASSED_OVER).collect()
}

fn passed_over_for(app: &App, one: &Upstream) -> Option<PassedOverFor> {
    if one.leaving {
        return Some(PassedOverFor::Leaving);
    }
    let now = app.now();
    if !app.shared.backoffs().is_ready(&one.start(), now) {
        return Some(PassedOverFor::Resting);
    }
    if brittle::room(app, one, one.slots) != RoomState::Room {
        return Some(PassedOverFor::Brittle);
    }
    let is_limited = permits::is_limited(app, one);
    let permit = app.shared.cold().permit_state(&one.id, is_limited, now);
    let is_unavailable = matches!(permit, PermitState::Unavailable { .. });
    (is_limited && is_unavailable).then_some(PassedOverFor::Limited)
}

/// An upstream that is eligible to receive a request.
#[derive(Clone, Copy)]
pub(super) struct EligibleUpstream<'a> {
    pub(super) upstream: &'a Arc<Upstream>,
    /// The number of requests per second that the upstream accepts, if the
    /// upstream is cold or rate-limited. Sending then requires a permit.
    pub(super) per_second: Option<f64>,
}

impl AsRef<Upstream> for EligibleUpstream<'_> {
    fn as_ref(&self) -> &Upstream {
        self.upstream
    }
}

/// Removes the upstreams that are in a backoff requested from this gateway.
///
/// Returns [`NoChoice::AllBackingOff`] if no upstream remains.
pub(super) fn not_backing_off<'a>(
    app: &App,
    upstreams: Vec<&'a Arc<Upstream>>,
) -> Result<Vec<&'a Arc<Upstream>>, NoChoice> {
    let (rests, now) = (app.shared.backoffs(), app.now());
    if rests.is_empty() {
        return Ok(upstreams);
    }
    let mut ready = Vec::new();
    let mut soonest_ms: Option<u64> = None;
    for upstream in upstreams {
        match rests.state(&upstream.start(), now) {
            BackoffState::Ready => ready.push(upstream),
            BackoffState::BackingOff { remaining_ms: left_ms } => {
                let soonest = soonest_ms.map_or(left_ms, |s| s.min(left_ms));
                soonest_ms = Some(soonest);
            }
        }
    }
    match soonest_ms {
        Some(retry_after_ms) if ready.is_empty() => {
            Err(NoChoice::AllBackingOff { retry_after_ms })
        }
        _ => Ok(ready),
    }
}

/// Removes the brittle upstreams that may have no room. `slots` returns how
/// many requests an upstream runs at once.
///
/// Returns [`NoChoice::AllBrittle`] if no upstream remains.
pub(super) fn with_room<'a>(
    app: &App,
    upstreams: Vec<&'a Arc<Upstream>>,
    slots: impl Fn(&Upstream) -> u32,
) -> Result<Vec<&'a Arc<Upstream>>, NoChoice> {
    if app.shared.brittle().is_empty() || upstreams.is_empty() {
        return Ok(upstreams);
    }
    let mut retry_after_ms: Option<u64> = None;
    let mut is_any_full = false;
    let mut with_room = Vec::new();
    for upstream in upstreams {
        match brittle::room(app, upstream, slots(upstream)) {
            RoomState::Room => with_room.push(upstream),
            RoomState::Full => is_any_full = true,
            RoomState::HeldBack { remaining_ms } => {
                let soonest = retry_after_ms.unwrap_or(u64::MAX);
                retry_after_ms = Some(soonest.min(remaining_ms));
            }
        }
    }
    match with_room.is_empty() {
        // It is not known when a request ends and leaves room.
        true if is_any_full => {
            Err(NoChoice::AllBrittle { retry_after_ms: None })
        }
        true => Err(NoChoice::AllBrittle { retry_after_ms }),
        false => Ok(with_room),
    }
}

/// Returns the upstreams that were not tried, without the upstreams that
/// require a send permit while no permit is available.
///
/// If every untried upstream lacks a permit, returns the error of the upstream
/// whose permit becomes available first.
pub(super) fn eligible<'a>(
    app: &App,
    job: &Job,
    upstreams: impl Iterator<Item = &'a Arc<Upstream>>,
    tried: &[UpstreamId],
) -> Result<Vec<EligibleUpstream<'a>>, NoChoice> {
    let untried = upstreams.filter(|one| !tried.contains(&one.id));
    let limits = app.shared.upstream_limits();
    let cold = job.cold_spec();
    if cold.is_none() && limits.is_empty() {
        let unlimited =
            |upstream| EligibleUpstream { upstream, per_second: None };
        return Ok(untried.map(unlimited).collect());
    }
    let (permits, now) = (app.shared.cold(), app.now());
    let mut eligible = Vec::new();
    let mut soonest: Option<(u64, NoChoice)> = None;
    for upstream in untried {
        let limit = limits.rate(&upstream.start());
        let limit = limit.map(RequestRate::per_second);
        let cold =
            cold.filter(|_| permits.estimate.is_cold(&upstream.id, now));
        let cold_rate = cold.map(|cold| cold.requests_per_second);
        let per_second =
            [limit, cold_rate].into_iter().flatten().reduce(f64::min);
        let no_choice =
            match permits.permit_state(&upstream.id, limit.is_some(), now) {
                PermitState::NotNeeded | PermitState::Needed => {
                    eligible.push(EligibleUpstream { upstream, per_second });
                    continue;
                }
                PermitState::Unavailable { retry_after_ms }
                    if limit.is_some() =>
                {
                    (retry_after_ms, NoChoice::AllLimited { retry_after_ms })
                }
                PermitState::Unavailable { retry_after_ms } => {
                    (retry_after_ms, NoChoice::AllCold { retry_after_ms })
                }
            };
        if soonest
            .is_none_or(|(retry_after_ms, _)| no_choice.0 < retry_after_ms)
        {
            soonest = Some(no_choice);
        }
    }
    match soonest {
        Some((_, no_choice)) if eligible.is_empty() => Err(no_choice),
        _ => Ok(eligible),
    }
}

/// Removes the upstreams of a software version that other gateways may not
/// have learned of yet, unless no other upstream would remain. Applies to
/// requests whose stream another gateway may be asked to continue.
pub(super) fn prefer_known_software<'a>(
    app: &App,
    view: &View,
    job: &Job,
    eligible: Vec<EligibleUpstream<'a>>,
) -> Vec<EligibleUpstream<'a>> {
    let may_be_continued = job.route.repetition == Repetition::Resumable;
    if !may_be_continued || job.software != SoftwareBound::Any {
        return eligible;
    }
    let now = app.now();
    let (new, known): (Vec<_>, Vec<_>) = eligible
        .into_iter()
        .partition(|one| view.software.is_new(one.upstream, now));
    if known.is_empty() { new } else { known }
}

/// Removes the upstreams that recently rejected a request for this variant,
/// unless no other upstream would remain.
pub(super) fn prefer_not_rejecting<'a>(
    app: &App,
    eligible: Vec<EligibleUpstream<'a>>,
    variant: Option<&Variant>,
) -> Vec<EligibleUpstream<'a>> {
    let (rejecting, others): (Vec<_>, Vec<_>) =
        eligible.into_iter().partition(|one| {
            app.recently_rejected(&one.upstream.start(), variant)
        });
    if others.is_empty() { rejecting } else { others }
}
