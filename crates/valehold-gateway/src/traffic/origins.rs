//! Binds streams to the software version that began them.
//!
//! A stream that has begun is resumed only at upstreams of the same service
//! and software version. For a request that continues a stream, the origin of
//! the stream is looked up first.

use tokio::sync::oneshot;
use valehold_core::{
    fleet::{
        Repetition, Upstream,
        stream_origin::{StreamId, StreamOrigin},
    },
    id::{ServiceName, SoftwareVersion},
};

use super::{route::Job, state::App};
use crate::shared::OriginLookup;

/// How long after the deadline of a request its stream may be taken up again,
/// in ms: callers that retry have less time left than before.
const KEEP_MARGIN_MS: u64 = 2_000;

/// The software versions at which a request may run.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(super) enum SoftwareBound {
    /// Any version: no event of a stream has reached the caller.
    #[default]
    Any,
    /// The version that began the stream.
    Only(SoftwareVersion),
    /// None: the version that began the stream is unknown.
    Nowhere,
}

impl SoftwareBound {
    /// Returns the bound of a stream that began at an upstream.
    pub(super) fn of(upstream: &Upstream) -> Self {
        let software = upstream.software.clone();
        software.map_or(Self::Nowhere, Self::Only)
    }

    /// Returns whether a request may run at an upstream.
    pub(super) fn allows(&self, upstream: &Upstream) -> bool {
        match self {
            Self::Any => true,
            Self::Only(software) => {
                upstream.software.as_ref() == Some(software)
            }
            Self::Nowhere => false,
        }
    }
}

/// Records the upstream at which a stream began, so that the stream can be
/// continued here and at other gateways.
pub(super) fn record(app: &App, job: &Job, upstream: &Upstream) {
    if job.route.repetition != Repetition::Resumable {
        return;
    }
    let Some(software) = upstream.software.clone() else { return };
    let service = job.service_name.clone();
    let origin = StreamOrigin { service, software };
    let now = app.now();
    let keep_ms = job.caller_deadline.since(now) + KEEP_MARGIN_MS;
    let is_only_service = job.route.targets.len() == 1;
    let only_version = only_version(app, &origin.service, true);
    let is_inferred = is_only_service && only_version.is_some();
    let ids = [job.request.id.as_ref(), job.request.resumes.as_ref()];
    let mut origins = app.shared.origins();
    for id in ids.into_iter().flatten() {
        let stream = StreamId::of_request(id);
        origins.record(stream, &origin, is_only_service, keep_ms, now);
    }
    if !is_inferred {
        app.shared.origin_recorded().notify_one();
    }
}

/// Finds where the stream began that a request continues: in the records of
/// this gateway or others, or as the only version of the service. Returns
/// `None` if neither tells.
pub(super) async fn find(app: &App, job: &Job) -> Option<StreamOrigin> {
    let service = &job.service_name;
    let stream = match &job.request.resumes {
        Some(id) => StreamId::of_request(id),
        None => StreamId::unnamed(service),
    };
    let known = app.shared.origins().get(stream, app.now()).cloned();
    if known.is_some() {
        return known;
    }
    let is_only_service = job.route.targets.len() == 1;
    let is_named = job.request.resumes.is_some();
    let only_version = only_version(app, service, is_named);
    let only_version = only_version.filter(|_| is_only_service);
    if let Some(software) = only_version {
        let service = service.clone();
        return Some(StreamOrigin { service, software });
    }
    let (reply, found) = oneshot::channel();
    let service = service.clone();
    let lookup = OriginLookup { stream, service, is_only_service, reply };
    app.shared.look_up_origin(lookup);
    found.await.ok().flatten()
}

/// Returns the version that all upstreams of a service run, if this is
/// certain.
///
/// An unnamed stream has no record anywhere, so that waiting for certainty
/// after a start of all gateways would refuse all of them. For these, it is
/// enough that no other version is known.
fn only_version(
    app: &App,
    service: &ServiceName,
    is_named: bool,
) -> Option<SoftwareVersion> {
    let now = app.now();
    let view = app.shared.view.load();
    if !is_named {
        return view.software.only_known_version(service, now);
    }
    if !app.shared.is_software_known(now) {
        return None;
    }
    view.software.only_version(service, now)
}
