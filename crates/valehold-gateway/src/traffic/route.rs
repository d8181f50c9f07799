//! Reads requests, and finds the route, service and workspace of each request
//! in the catalog.

use std::{
    borrow::Cow, cell::OnceCell, collections::BTreeSet, rc::Rc, sync::Arc,
    time::Duration,
};

use bytes::Bytes;
use http::{Request, Uri, header, request::Parts};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use valehold_core::{
    Millis,
    fleet::{
        BoundVariant, Catalog, RegionBound, Route,
        catalog::{ColdSpec, EngineSpec},
        crashes::{PartId, RequestContent},
        stream_origin::StreamOrigin,
        workspace::Workspace,
    },
    id::ServiceName,
    reason::RefusalReason,
};
use valehold_ports::port::fleet::CallerRequest;

use super::{
    connection::ConnectionState,
    discard::{BodyState, MAX_WAIT, discard},
    origins::SoftwareBound,
    refusal::Refusal,
    state::App,
};
use crate::view::Life;

/// The time after its start in which a gateway is expected to receive the
/// catalog.
const MAX_STARTUP_TIME: Duration = Duration::from_millis(800);

/// The time after which to retry when the gateway has no catalog yet, in ms.
const NOT_READY_RETRY_AFTER_MS: u64 = 500;

/// The assumed deadline of a request that states none, in ms.
const DEFAULT_DEADLINE_MS: u64 = 30_000;

/// The number of route ranks that are distinguished within each workspace
/// rank. Engines have ten levels of urgency for both kinds of rank together.
const ROUTE_RANKS: u8 = 3;

/// A request that is refused before it was assigned to a route.
pub(super) struct Refused {
    /// The identifier of the request.
    pub(super) id: Option<Bytes>,
    pub(super) refusal: Refusal,
    /// How much of the request's body was read.
    pub(super) body: BodyState,
}

/// A request that was read completely and assigned to a route.
#[derive(Clone)]
pub(super) struct Job {
    /// The head of the request, without the headers that only a gateway may
    /// set.
    pub(super) head: Parts,
    /// The body of the request.
    pub(super) body: Bytes,
    /// The properties that the request states in its headers.
    pub(super) request: CallerRequest,
    /// The route of the request.
    pub(super) route: Route,
    /// The service, chosen from the services of the route.
    pub(super) service_name: ServiceName,
    /// The workspace of the key that the request carries; `None` if there is
    /// no such workspace and none is required.
    pub(super) workspace: Option<Workspace>,
    /// The regions in which the request may be served: the intersection of the
    /// bounds of the route and the workspace.
    pub(super) bound: RegionBound,
    /// The catalog in which the route, service and workspace were found.
    pub(super) catalog: Arc<Catalog>,
    /// The software versions at which the request may run.
    pub(super) software: SoftwareBound,
    /// The time by which the request must be answered or refused.
    pub(super) deadline: Millis,
    /// The time until which the caller waits, also if the route allows less.
    pub(super) caller_deadline: Millis,
    content: OnceCell<RequestContent>,
    shared_parts: OnceCell<BTreeSet<PartId>>,
}

impl Job {
    /// Returns the identifier of the request, as written to the log.
    pub(super) fn id_text(&self) -> Cow<'_, str> {
        let id = self.request.id.as_deref();
        String::from_utf8_lossy(id.unwrap_or_default())
    }

    /// Returns the identifier of the request whose stream this one continues,
    /// as written to the log.
    pub(super) fn resumes_text(&self) -> Option<String> {
        let id = self.request.resumes.as_deref()?;
        Some(String::from_utf8_lossy(id).into_owned())
    }

    /// Returns the digest of the request's content. The digest is computed on
    /// first use, because most requests never need the digest.
    pub(super) fn content(&self) -> RequestContent {
        *self.content.get_or_init(|| {
            let path = self.head.uri.path_and_query();
            let path = path.map_or("", |path| path.as_str());
            let host = host(&self.head).unwrap_or_default();
            let caller = self.workspace.as_ref().map(|one| &one.name);
            RequestContent::of(host, path, caller, &self.body)
        })
    }

    /// Returns the parts of the prompt that other requests may share.
    pub(super) fn shared_parts(&self) -> &BTreeSet<PartId> {
        self.shared_parts.get_or_init(|| self.parts_in_order().collect())
    }

    /// Returns the parts of the prompt that other requests may share, in their
    /// order: all but the last.
    pub(super) fn parts_in_order(&self) -> impl Iterator<Item = PartId> {
        let parts = &self.request.parts;
        let shared = parts.len().saturating_sub(1);
        parts.iter().take(shared).map(|part| PartId::new(part.digest))
    }

    /// Returns whether the request continues a stream of which the caller has
    /// events.
    pub(super) fn continues_stream(&self) -> bool {
        self.route.streaming && self.request.after_event.is_some()
    }

    /// Binds the request to the origin of the stream that it continues.
    /// Returns whether its route still allows the service of the origin.
    pub(super) fn bind_to(&mut self, origin: StreamOrigin) -> bool {
        let StreamOrigin { service, software } = origin;
        if !self.route.has_target(&service) {
            return false;
        }
        self.service_name = service;
        self.software = SoftwareBound::Only(software);
        true
    }

    /// Returns the requested variant with the region bound of the request;
    /// `None` if the request names no model.
    pub(super) fn bound_variant(&self) -> Option<BoundVariant> {
        let variant = self.request.variant.clone()?;
        Some(BoundVariant { bound: self.bound.clone(), variant })
    }

    /// Returns the urgency of the request, where 0 is the most urgent. The
    /// urgency depends on the rank of the workspace first, and on the rank of
    /// the route second.
    pub(super) fn urgency(&self) -> u8 {
        let route_rank = self.route.rank.min(ROUTE_RANKS - 1);
        let workspace_rank = self.workspace.as_ref().map_or(0, |one| one.rank);
        workspace_rank.saturating_mul(ROUTE_RANKS).saturating_add(route_rank)
    }

    /// Returns the limits for cold upstreams of the service; `None` if
    /// upstreams of the service are never considered cold.
    pub(super) fn cold_spec(&self) -> Option<&ColdSpec> {
        self.catalog.services.get(&self.service_name)?.cold.as_ref()
    }

    /// Returns the specification of the service's engines; `None` if the
    /// service runs no models.
    pub(super) fn engine_spec(&self) -> Option<&EngineSpec> {
        self.catalog.engine_spec(&self.service_name)
    }
}

/// Finds the route of a request and reads the body of the request.
///
/// If the request is refused, its body is read as far as the caller needs to
/// read the refusal.
pub(super) async fn accept(
    app: &Rc<App>,
    request: Request<Incoming>,
    connection: &ConnectionState,
) -> Result<Job, Refused> {
    let arrived = app.now();
    let (mut head, body) = request.into_parts();
    let stated = app.dialect.read_request(&head.headers);
    let id = stated.id.clone();
    connection.record_request(id.clone());
    remove_reserved(app, &mut head);
    let Some(catalog) = wait_for_catalog(app).await else {
        let reason = RefusalReason::NotReady;
        let refusal = Refusal::not_run(reason, NOT_READY_RETRY_AFTER_MS);
        let body = discard(app, body, MAX_WAIT).await;
        return Err(Refused { id, refusal, body });
    };
    let found = find_route(&catalog, &head).and_then(|(route, service)| {
        let workspace = workspace_of(&catalog, route, &stated)?;
        Ok((route.clone(), service.clone(), workspace.cloned()))
    });
    let (route, service_name, workspace) = match found {
        Ok(found) => found,
        Err(refusal) => {
            let body = discard(app, body, MAX_WAIT).await;
            return Err(Refused { id, refusal, body });
        }
    };
    let deadline_ms = stated.deadline_ms.unwrap_or(DEFAULT_DEADLINE_MS);
    let allowed_ms = match route.max_duration_ms {
        0 => deadline_ms,
        max_duration_ms => deadline_ms.min(max_duration_ms),
    };
    let deadline = arrived + allowed_ms;
    let limit = catalog.limits.body_limit_bytes;
    let body = match read_body(app, body, limit, deadline).await {
        Ok(body) => body,
        Err((refusal, body)) => return Err(Refused { id, refusal, body }),
    };
    let bound = match &workspace {
        Some(workspace) => route.bound.intersection(&workspace.bound),
        None => route.bound.clone(),
    };
    Ok(Job {
        head,
        body,
        request: stated,
        route,
        service_name,
        workspace,
        bound,
        catalog,
        software: SoftwareBound::Any,
        deadline,
        caller_deadline: arrived + deadline_ms,
        content: OnceCell::new(),
        shared_parts: OnceCell::new(),
    })
}

/// Returns the catalog. A gateway that has just started waits for the catalog
/// until [`MAX_STARTUP_TIME`] after its start. The catalog arrives within a
/// few hundred ms, while the caller of a refused request would retry later
/// than that.
async fn wait_for_catalog(app: &App) -> Option<Arc<Catalog>> {
    let current = || app.shared.view.load().catalog.clone();
    if let Some(catalog) = current() {
        return Some(catalog);
    }
    // On a timeout, the caller of this function refuses the request.
    wait_until_started(app).await;
    current()
}

/// Waits until the gateway has all state required to route requests, until
/// [`MAX_STARTUP_TIME`] after its start.
pub(super) async fn wait_until_started(app: &App) {
    let age = Duration::from_millis(app.now().get());
    let wait = MAX_STARTUP_TIME.saturating_sub(age);
    let mut life = app.shared.watch_life();
    let serving = life.wait_for(|life| *life != Life::Starting);
    let _ = tokio::time::timeout(wait, serving).await;
}

/// Removes headers that only a gateway may set, so that no upstream mistakes a
/// header set by the caller for a header set by the gateway.
fn remove_reserved(app: &App, head: &mut Parts) {
    for name in app.dialect.remove_reserved(&mut head.headers) {
        app.shared.metrics.reserved_header_removed(name.as_str());
    }
}

/// Finds the route of a request, and chooses one of the services of the route.
fn find_route<'a>(
    catalog: &'a Catalog,
    head: &Parts,
) -> Result<(&'a Route, &'a ServiceName), Refusal> {
    let unknown = || Refusal::not_run(RefusalReason::UnknownModel, 0);
    let host = host(head).ok_or_else(unknown)?;
    let route = catalog.find(host, head.uri.path()).ok_or_else(unknown)?;
    let name = route.service(rand::random()).ok_or_else(unknown)?;
    if !catalog.services.contains_key(name) {
        return Err(unknown());
    }
    Ok((route, name))
}

/// Returns the workspace of the key that a request carries. Refuses the
/// request if no workspace matches, unless the route is public.
fn workspace_of<'a>(
    catalog: &'a Catalog,
    route: &Route,
    stated: &CallerRequest,
) -> Result<Option<&'a Workspace>, Refusal> {
    let Some(workspaces) = &catalog.workspaces else { return Ok(None) };
    let found = stated.key.as_ref().and_then(|key| workspaces.by_key(key));
    match found {
        None if !route.public => {
            Err(Refusal::not_run(RefusalReason::BadKey, 0))
        }
        found => Ok(found),
    }
}

/// Returns the host that a request names, without the port.
fn host(head: &Parts) -> Option<&str> {
    let named = head.headers.get(header::HOST);
    let named = named.and_then(|value| value.to_str().ok());
    let host = named.or_else(|| Uri::host(&head.uri))?;
    Some(host.rsplit_once(':').map_or(host, |(host, _)| host))
}

/// Reads the body of a request. Refuses the request if the body exceeds
/// `limit` or is not complete in time.
async fn read_body(
    app: &Rc<App>,
    mut body: Incoming,
    limit: usize,
    deadline: Millis,
) -> Result<Bytes, (Refusal, BodyState)> {
    let reading = Limited::new(&mut body, limit).collect();
    let read = app.wait_for_request(deadline, reading).await;
    let (reason, wait) = match read {
        Some(Ok(collected)) => return Ok(collected.to_bytes()),
        Some(Err(error)) if error.is::<LengthLimitError>() => {
            (RefusalReason::BodyTooLarge, MAX_WAIT)
        }
        Some(Err(_)) => (RefusalReason::BadRequest, Duration::ZERO),
        None => (RefusalReason::SlowCaller, Duration::ZERO),
    };
    let body = discard(app, body, wait).await;
    Err((Refusal::not_run(reason, 0), body))
}
