//! Which upstreams may get a request at all.
//!
//! Those outside the regions that bind it never do, and those in a data centre
//! that is to be empty none from a moment after this gateway heard so. Until
//! then they get what no other upstream can take.

use std::sync::Arc;

use valehold_core::{
    fleet::{Upstream, Variant},
    id::UpstreamId,
};

use super::super::{route::Job, state::App};
use crate::view::View;

/// Returns the upstreams of a request's service inside the regions that bind
/// it and outside data centres that are empty.
pub(in super::super) fn usable<'a>(
    app: &'a App,
    view: &'a View,
    job: &'a Job,
) -> impl Iterator<Item = &'a Arc<Upstream>> {
    let topology = &app.shared.topology;
    let now = app.now();
    view.listing.of(&job.service_name).filter(move |upstream| {
        let data_centre = &upstream.data_centre;
        job.bound.allows(topology.region_of(data_centre))
            && !view.evacuations.is_empty(data_centre, now)
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
    let variant = job.request.variant.as_ref();
    usable(app, view, job).filter(move |upstream| {
        variant.is_none_or(|variant| upstream.holding.has(variant))
    })
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
        untried.partition(|holder| app.turned_away(&holder.id, variant));
    staying(view, if able.is_empty() { noted } else { able })
}
