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
use crate::shared::{OriginFinding, OriginLookup};

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
    let has_only_service = job.route.has_only_target();
    let is_inferred =
        has_only_service && only_version(app, &origin.service).is_some();
    let ids = [job.request.id.as_ref(), job.request.resumes.as_ref()];
    let mut origins = app.shared.origins();
    for id in ids.into_iter().flatten() {
        let stream = StreamId::of_request(id);
        origins.record(stream, &origin, has_only_service, keep_ms, now);
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
    let infer = |software| {
        let service = service.clone();
        let origin = StreamOrigin { service, software };
        job.route.has_only_target().then_some(origin)
    };
    let now = app.now();
    if job.request.resumes.is_none()
        && app.shared.has_stream_record()
        && app.shared.is_software_known(now)
    {
        // An unnamed stream has no record anywhere. Waiting for certainty
        // after a start of all gateways would refuse all of them.
        let view = app.shared.view.load();
        let software = view.software.only_known_version(service, now);
        return infer(software?);
    }
    // Of an unnamed stream, others may still know the only version.
    let id = job.request.resumes.as_ref().or(job.request.id.as_ref())?;
    let stream = StreamId::of_request(id);
    let known = app.shared.origins().get(stream, app.now()).cloned();
    let inferred = || only_version(app, service).and_then(infer);
    if let Some(origin) = known.or_else(inferred) {
        return Some(origin);
    }
    let (reply, found) = oneshot::channel();
    let service = service.clone();
    app.shared.look_up_origin(OriginLookup { stream, service, reply });
    match found.await.ok()? {
        OriginFinding::Reported(origin) => Some(origin),
        OriginFinding::OnlyVersion(software) => infer(software),
        OriginFinding::Unknown => None,
    }
}

/// Returns the version that all upstreams of a service run, if this is
/// certain.
fn only_version(app: &App, service: &ServiceName) -> Option<SoftwareVersion> {
    let now = app.now();
    if !app.shared.is_software_known(now) {
        return None;
    }
    app.shared.view.load().software.only_version(service, now)
}
