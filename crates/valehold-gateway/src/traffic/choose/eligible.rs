//! Which upstreams may get a request at all.

use std::sync::Arc;

use valehold_core::{
    fleet::{Upstream, Variant},
    id::UpstreamId,
};

use super::super::{route::Job, state::App};
use crate::view::View;

/// Returns the upstreams of a request's service inside the regions that bind
/// it.
pub(in super::super) fn inside_bound<'a>(
    app: &'a App,
    view: &'a View,
    job: &'a Job,
) -> impl Iterator<Item = &'a Arc<Upstream>> {
    let topology = &app.shared.topology;
    view.listing.of(&job.service_name).filter(move |upstream| {
        job.bound.allows(topology.region_of(&upstream.data_centre))
    })
}

/// Returns those that hold what a request asks for.
pub(in super::super) fn holders<'a>(
    app: &'a App,
    view: &'a View,
    job: &'a Job,
) -> impl Iterator<Item = &'a Arc<Upstream>> {
    let variant = job.request.variant.as_ref();
    inside_bound(app, view, job).filter(move |upstream| {
        variant.is_none_or(|variant| upstream.holding.has(variant))
    })
}

/// Returns the holders that were not tried; those that turned the variant
/// away lately only where no other one is left.
pub(super) fn able<'a>(
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
