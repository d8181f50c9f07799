//! Chooses the process for a request to a plain service.

use valehold_core::{
    fleet::choice::{PlainCandidate, choose_plain},
    id::UpstreamId,
};

use super::{
    super::{route::Job, state::App},
    Chosen, NoChoice,
    eligible::{
        eligible, not_backing_off, prefer_not_evacuating,
        prefer_not_rejecting, usable, with_room,
    },
    load_of,
};
use crate::view::View;

/// Chooses a process that was not tried. A process that recently failed or
/// rejected a request is chosen only if no other process is available.
pub(super) fn choose(
    app: &App,
    view: &View,
    job: &Job,
    tried: &[UpstreamId],
) -> Result<Chosen, NoChoice> {
    let ready = not_backing_off(app, usable(app, view, job).collect())?;
    let ready = with_room(app, ready, |upstream| upstream.slots)?;
    let eligible = eligible(app, job, ready.into_iter(), tried)?;
    let eligible =
        prefer_not_evacuating(view, prefer_not_rejecting(app, eligible, None));
    let mut candidates: Vec<(bool, PlainCandidate)> = eligible
        .iter()
        .map(|one| {
            let upstream = one.upstream;
            let candidate = PlainCandidate {
                upstream: upstream.id.clone(),
                slots: upstream.slots,
                running: load_of(app, &upstream.start()).running,
                path_cost_ms: app.path_cost(&upstream.data_centre).cost_ms(),
            };
            (app.is_suspect(&upstream.start()), candidate)
        })
        .collect();
    if candidates.iter().any(|(suspect, _)| !suspect) {
        candidates.retain(|(suspect, _)| !suspect);
    }
    let candidates: Vec<PlainCandidate> =
        candidates.into_iter().map(|(_, candidate)| candidate).collect();
    let chosen = choose_plain(&candidates, rand::random())
        .ok_or(NoChoice::NoUpstream)?;
    let upstream = view.listing.upstreams.get(&chosen.upstream);
    let upstream = upstream.cloned().ok_or(NoChoice::NoUpstream)?;
    Ok(Chosen {
        predicted_ms: 0.0,
        load: load_of(app, &upstream.start()),
        upstream,
        read_tokens: 0,
        typical_ms: 0.0,
        reading_ms: 0.0,
        pace: 1.0,
        blocks: Vec::new(),
        needs_permit: eligible.iter().any(|one| {
            one.per_second.is_some() && one.upstream.id == chosen.upstream
        }),
    })
}
