//! Which process of a plain service a request goes to.

use valehold_core::{
    fleet::choice::{PlainCandidate, choose_plain},
    id::UpstreamId,
};

use super::{
    super::{route::Job, state::App},
    Chosen, NoChoice,
    eligible::{able, awake, staying, unless_turned_away, usable},
    load_of,
};
use crate::view::View;

/// Chooses a process that was not tried; one that failed or turned a request
/// away lately only where there is no other.
pub(super) fn choose(
    app: &App,
    view: &View,
    job: &Job,
    tried: &[UpstreamId],
) -> Result<Chosen, NoChoice> {
    let awake = awake(app, usable(app, view, job).collect())?;
    let all = able(app, job, awake.into_iter(), tried)?;
    let all = staying(view, unless_turned_away(app, all, None));
    let mut able: Vec<(bool, PlainCandidate)> = all
        .iter()
        .map(|one| {
            let upstream = one.upstream;
            let candidate = PlainCandidate {
                upstream: upstream.id.clone(),
                slots: upstream.slots,
                running: load_of(app, &upstream.start()).running,
                path_cost_ms: app.way_to(&upstream.data_centre).cost_ms(),
            };
            (app.is_suspect(&upstream.start()), candidate)
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
        load: load_of(app, &upstream.start()),
        upstream,
        read_tokens: 0,
        usual_ms: 0.0,
        reading_ms: 0.0,
        pace: 1.0,
        blocks: Vec::new(),
        needs_right: all.iter().any(|one| {
            one.per_second.is_some() && one.upstream.id == chosen.upstream
        }),
    })
}
