//! What the configuration says of a request.

use std::{borrow::Cow, cell::OnceCell, sync::Arc, time::Duration};

use bytes::Bytes;
use http::{Request, Uri, header, request::Parts};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use valehold_core::{
    Millis,
    fleet::{
        BoundVariant, Catalog, RegionBound, Route,
        catalog::{ColdSpec, EngineSpec},
        crashes::RequestContent,
        workspace::Workspace,
    },
    id::ServiceName,
    reason::RefusalReason,
};
use valehold_ports::port::fleet::CallerRequest;

use super::{refusal::Refusal, state::App};
use crate::view::Life;

/// How long after its start a gateway is expected to know the configuration.
const STARTS_WITHIN: Duration = Duration::from_millis(800);

/// In how many ms to come back to a gateway that knows no configuration.
const NOT_READY_COME_BACK_MS: u64 = 500;

/// How long a caller may be thought to wait if it does not say, in ms.
const DEFAULT_DEADLINE_MS: u64 = 30_000;

/// The most bytes that are read of the body of a request that is refused by
/// its head.
const MOST_UNWANTED_BYTES: usize = 1 << 20;

/// For how long they are read at the most.
const UNWANTED_FOR: Duration = Duration::from_millis(200);

/// How many ranks of routes are told apart within each rank of workspaces:
/// engines know ten grades of urgency for both.
const RANKS_OF_ROUTES: u8 = 3;

/// A request that a route takes, read whole.
pub(super) struct Job {
    /// Its head, as the caller sent it.
    pub(super) head: Parts,
    /// Its body.
    pub(super) body: Bytes,
    /// What it says of itself.
    pub(super) request: CallerRequest,
    /// The route that takes it.
    pub(super) route: Route,
    /// The service that answers it.
    pub(super) service_name: ServiceName,
    /// The workspace whose key came with it; `None` where none is needed.
    pub(super) workspace: Option<Workspace>,
    /// The regions in which it may be served, by route and workspace.
    pub(super) bound: RegionBound,
    /// The configuration that says so.
    pub(super) catalog: Arc<Catalog>,
    /// By when it gets its final answer.
    pub(super) deadline: Millis,
    content: OnceCell<RequestContent>,
}

impl Job {
    /// Returns the request's identifier, as the logs name it.
    pub(super) fn id_text(&self) -> Cow<'_, str> {
        let id = self.request.id.as_deref();
        String::from_utf8_lossy(id.unwrap_or_default())
    }

    /// Returns the digest of what it asks for. It is worked out when it is
    /// first wanted, which is never for most requests.
    pub(super) fn content(&self) -> RequestContent {
        *self.content.get_or_init(|| {
            let path = self.head.uri.path_and_query();
            let path = path.map_or("", |path| path.as_str());
            let host = host(&self.head).unwrap_or_default();
            let caller = self.workspace.as_ref().map(|one| &one.name);
            RequestContent::of(host, path, caller, &self.body)
        })
    }

    /// Returns which variant it asks for, inside its bound.
    pub(super) fn asked(&self) -> Option<BoundVariant> {
        let variant = self.request.variant.clone()?;
        Some(BoundVariant { bound: self.bound.clone(), variant })
    }

    /// Returns how urgent it is, 0 being the most: by the rank of its
    /// workspace, and within that by that of its route.
    pub(super) fn urgency(&self) -> u8 {
        let within = self.route.rank.min(RANKS_OF_ROUTES - 1);
        let before = self.workspace.as_ref().map_or(0, |one| one.rank);
        before.saturating_mul(RANKS_OF_ROUTES).saturating_add(within)
    }

    /// Returns what the service's upstreams bear while they are cold, if they
    /// ever are.
    pub(super) fn cold_spec(&self) -> Option<&ColdSpec> {
        self.catalog.services.get(&self.service_name)?.cold.as_ref()
    }

    /// Returns what the service's engines can do, if it runs models.
    pub(super) fn engine_spec(&self) -> Option<&EngineSpec> {
        self.catalog.engine_spec(&self.service_name)
    }
}

/// Finds a request's route, and reads the request whole.
pub(super) async fn find(
    app: &App,
    request: Request<Incoming>,
) -> Result<Job, (Option<Bytes>, Refusal)> {
    let began = app.now();
    let (mut head, body) = request.into_parts();
    let said = app.dialect.read_request(&head.headers);
    let id = said.id.clone();
    remove_reserved(app, &mut head);
    let Some(catalog) = catalog(app).await else {
        let reason = RefusalReason::NotReady;
        return Err((id, Refusal::not_run(reason, NOT_READY_COME_BACK_MS)));
    };
    let taken = take_route(&catalog, &head).and_then(|(route, service)| {
        let workspace = workspace_of(&catalog, route, &said)?;
        Ok((route.clone(), service.clone(), workspace.cloned()))
    });
    let (route, service_name, workspace) = match taken {
        Ok(taken) => taken,
        Err(refusal) => {
            leave_unread(body).await;
            return Err((id, refusal));
        }
    };
    let deadline_ms = said.deadline_ms.unwrap_or(DEFAULT_DEADLINE_MS);
    let held_ms = match route.max_duration_ms {
        0 => deadline_ms,
        max_duration_ms => deadline_ms.min(max_duration_ms),
    };
    let deadline = began + held_ms;
    let limit = catalog.limits.body_limit_bytes;
    let body = read_body(app, body, limit, deadline)
        .await
        .map_err(|refusal| (id, refusal))?;
    let bound = match &workspace {
        Some(workspace) => route.bound.intersection(&workspace.bound),
        None => route.bound.clone(),
    };
    Ok(Job {
        head,
        body,
        request: said,
        route,
        service_name,
        workspace,
        bound,
        catalog,
        deadline,
        content: OnceCell::new(),
    })
}

/// Returns the configuration. A gateway that has just started waits for it a
/// little: it comes within some hundred ms, and a request that is refused
/// until then would come back later than that.
async fn catalog(app: &App) -> Option<Arc<Catalog>> {
    let known = || app.shared.view.load().catalog.clone();
    if let Some(catalog) = known() {
        return Some(catalog);
    }
    let age = Duration::from_millis(app.now().get());
    let wait = STARTS_WITHIN.saturating_sub(age);
    let mut life = app.shared.watch_life();
    let serving = life.wait_for(|life| *life != Life::Starting);
    // If it does not come in time the request is refused.
    let _ = tokio::time::timeout(wait, serving).await;
    known()
}

/// Removes headers that only a gateway may set, so that no upstream takes a
/// caller's copy for the gateway's word.
fn remove_reserved(app: &App, head: &mut Parts) {
    for name in app.dialect.remove_reserved(&mut head.headers) {
        app.shared.metrics.reserved_header_removed(name.as_str());
    }
}

fn take_route<'a>(
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

/// Returns the workspace whose key a request carries.
fn workspace_of<'a>(
    catalog: &'a Catalog,
    route: &Route,
    said: &CallerRequest,
) -> Result<Option<&'a Workspace>, Refusal> {
    let Some(workspaces) = &catalog.workspaces else { return Ok(None) };
    let found = said.key.as_ref().and_then(|key| workspaces.by_key(key));
    match found {
        None if !route.public => {
            Err(Refusal::not_run(RefusalReason::BadKey, 0))
        }
        found => Ok(found),
    }
}

/// Takes the rest of a body that is not wanted: a connection that is closed
/// before it is read is reset, and the answer may be lost with it.
async fn leave_unread(body: Incoming) {
    let reading = Limited::new(body, MOST_UNWANTED_BYTES).collect();
    // Whatever comes of it, the request is answered.
    let _ = tokio::time::timeout(UNWANTED_FOR, reading).await;
}

/// Returns the host that a request names, without its port.
fn host(head: &Parts) -> Option<&str> {
    let named = head.headers.get(header::HOST);
    let named = named.and_then(|value| value.to_str().ok());
    let host = named.or_else(|| Uri::host(&head.uri))?;
    Some(host.rsplit_once(':').map_or(host, |(host, _)| host))
}

async fn read_body(
    app: &App,
    body: Incoming,
    limit: usize,
    deadline: Millis,
) -> Result<Bytes, Refusal> {
    let reading = Limited::new(body, limit).collect();
    let read = app.shared.clock.wait_until(deadline, reading).await;
    let Some(read) = read else {
        return Err(Refusal::not_run(RefusalReason::SlowCaller, 0));
    };
    match read {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => {
            Err(Refusal::not_run(RefusalReason::BodyTooLarge, 0))
        }
        Err(_) => Err(Refusal::not_run(RefusalReason::BadRequest, 0)),
    }
}
