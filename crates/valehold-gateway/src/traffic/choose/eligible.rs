//! Which upstreams may get a request at all.
//!
//! Those outside the regions that bind it never do, and those in a data centre
//! that is to be empty none from a moment after this gateway heard so. Until
//! then they get what no other upstream can take.

use std::{borrow::Cow, sync::Arc};

use valehold_core::{
    fleet::{RegionBound, Upstream, Variant},
    id::UpstreamId,
};

use super::super::{route::Job, state::App};
use crate::view::View;

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
    Cow::Owned(job.bound.and(&bound))
}

/// Returns how many upstreams outside the regions that bind a request hold
/// what it asks for.
pub(in super::super) fn able_elsewhere(
    app: &App,
    view: &View,
    job: &Job,
) -> usize {
    let everywhere = view.listing.of(&job.service_name);
    let holding = everywhere.filter(|upstream| holds(job, upstream)).count();
    let inside = inside_bound(app, view, job);
    let allowed = inside.filter(|upstream| holds(job, upstream)).count();
    holding.saturating_sub(allowed)
}

/// Tells whether all upstreams of a request's service are outside the regions
/// that bind it.
pub(super) fn all_are_elsewhere(app: &App, view: &View, job: &Job) -> bool {
    view.listing.of(&job.service_name).next().is_some()
        && inside_bound(app, view, job).next().is_none()
}

/// Returns the upstreams of a request's service inside the regions that bind
/// it.
fn inside_bound<'a>(
    app: &'a App,
    view: &'a View,
    job: &'a Job,
) -> impl Iterator<Item = &'a Arc<Upstream>> {
    let topology = &app.shared.topology;
    let bound = bound_now(view, job);
    view.listing.of(&job.service_name).filter(move |upstream| {
        bound.allows(topology.region_of(&upstream.data_centre))
    })
}

/// Returns those of them that stand outside data centres that are empty.
pub(in super::super) fn usable<'a>(
    app: &'a App,
    view: &'a View,
    job: &'a Job,
) -> impl Iterator<Item = &'a Arc<Upstream>> {
    let now = app.now();
    inside_bound(app, view, job).filter(move |upstream| {
        !view.evacuations.is_empty(&upstream.data_centre, now)
    })
}

/// Leaves out upstreams in data centres that are to be empty, where there are
/// others.
pub(super) fn staying<'a>(
    view: &View,
    upstreams: Vec<&'a Arc<Upstream>>,
) -> Vec<&'a Arc<Upstream>> {
    if !view.evacuations.is_any() {
        return upstreams;
    }
    let (emptying, staying): (Vec<_>, Vec<_>) = upstreams
        .into_iter()
        .partition(|one| view.evacuations.is_emptying(&one.data_centre));
    if staying.is_empty() { emptying } else { staying }
}

/// Returns those that hold what a request asks for.
pub(in super::super) fn holders<'a>(
    app: &'a App,
    view: &'a View,
    job: &'a Job,
) -> impl Iterator<Item = &'a Arc<Upstream>> {
    usable(app, view, job).filter(move |upstream| holds(job, upstream))
}

/// Tells whether an upstream holds what a request asks for.
fn holds(job: &Job, upstream: &Upstream) -> bool {
    let variant = job.request.variant.as_ref();
    variant.is_none_or(|variant| upstream.holding.has(variant))
}

/// Returns the holders that were not tried; those that turned the variant
/// away lately only where no other one is left, and of these such in data
/// centres that are to be empty likewise.
pub(super) fn able<'a>(
    app: &App,
    view: &View,
    holders: &[&'a Arc<Upstream>],
    variant: &Variant,
    tried: &[UpstreamId],
) -> Vec<&'a Arc<Upstream>> {
    let untried = holders.iter().filter(|h| !tried.contains(&h.id)).copied();
    let (noted, able): (Vec<_>, Vec<_>) =
        untried.partition(|holder| app.turned_away(&holder.start(), variant));
    staying(view, if able.is_empty() { noted } else { able })
}
