//! The operators' interface: what the `valehold` command asks.

use std::sync::Arc;

use http::{StatusCode, header};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use serde_json::json;
use valehold_core::{
    chart::library::InstanceState,
    config::{Config, Files, Number, key_digest},
    explain::Record,
    id::{InstanceId, ModelName, UpstreamId},
    placement::{Action, EngineView, StepKind, forecast},
};
use viz::{Request, RequestExt, Response, Router};

use crate::{
    revisions::{self, ApplyRequest},
    shared::Shared,
    snapshot::{EngineRoute, Snapshot},
    traffic::json_response,
};

/// How many refusals are listed at the most.
const REFUSALS_LISTED: usize = 100;

/// How an instance does, for `valehold status`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Status {
    /// The instance that was asked.
    pub instance: InstanceId,
    /// Its life.
    pub life: InstanceState,
    /// The newest revision in the store, if the store answered.
    pub newest: Option<Number>,
    /// The revision in force on each instance.
    pub revisions: Vec<(InstanceId, Number)>,
    /// The holder of the placement lease, as far as it is known.
    pub holder: Option<InstanceId>,
    /// How long ago the store was last read, in ms.
    pub store_age_ms: Option<u64>,
    /// Requests that the instance is working on.
    pub in_flight: u32,
    /// The engines that take requests.
    pub engines: Vec<EngineStatus>,
    /// The models and adapters in use that no engine can answer for.
    pub unreachable: Vec<ModelName>,
}

/// How an engine does.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct EngineStatus {
    /// The engine.
    pub engine: UpstreamId,
    /// Whether it missed its last reports.
    pub suspect: bool,
    /// Requests running.
    pub running: u32,
    /// Its slots.
    pub slots: u32,
    /// Prompt tokens waiting.
    pub waiting_tokens: u64,
    /// What can be asked of it.
    pub resident: Vec<String>,
    /// The memory that it takes, in MiB.
    pub resident_mib: u64,
}

/// A step that `valehold plan` shows.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct PlanStep {
    /// `load` or `unload`.
    pub kind: String,
    /// The engine.
    pub engine: UpstreamId,
    /// The model's or adapter's version.
    pub artifact: String,
    /// Its memory, in MiB.
    pub size_mib: u64,
    /// Why.
    pub reason: String,
}

/// Decisions after some point, for `valehold watch`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Watched {
    /// Where to go on.
    pub next: u64,
    /// The decisions.
    pub records: Vec<Record>,
}

/// Makes the router of the operators' interface.
pub fn router(shared: &Arc<Shared>) -> Router {
    let on = |handle: Handle| {
        let shared = shared.clone();
        move |request: Request| {
            let shared = shared.clone();
            async move {
                viz::Result::Ok(match authorized(&shared, &request) {
                    true => handle(shared, request).await,
                    false => refuse(
                        StatusCode::UNAUTHORIZED,
                        "send the operators' key",
                    ),
                })
            }
        }
    };
    Router::new()
        .get("/status", on(|shared, _| Box::pin(status(shared))))
        .post("/apply", on(|shared, r| Box::pin(apply(shared, r))))
        .post("/plan", on(|shared, r| Box::pin(plan(shared, r))))
        .get("/files", on(|shared, _| Box::pin(files(shared))))
        .get("/watch", on(|shared, r| Box::pin(watch(shared, r))))
        .get("/explain/refusals", on(|shared, _| Box::pin(refusals(shared))))
        .get(
            "/explain/:kind/:name",
            on(|shared, r| Box::pin(explain(shared, r))),
        )
}

type Handle = fn(
    Arc<Shared>,
    Request,
) -> std::pin::Pin<
    Box<dyn std::future::Future<Output = Response> + Send>,
>;

fn authorized(shared: &Shared, request: &Request) -> bool {
    let key = request
        .headers()
        .get(header::AUTHORIZATION)
        .and_then(|value| value.to_str().ok()?.strip_prefix("Bearer "));
    let digest = &shared.settings.operators.key_digest;
    key.is_some_and(|key| key_digest(key) == *digest)
}

fn refuse(status: StatusCode, message: &str) -> Response {
    json_response(status, &json!({"error": message}))
}

fn ok<T: Serialize>(value: &T) -> Response {
    match serde_json::to_value(value) {
        Ok(value) => json_response(StatusCode::OK, &value),
        Err(error) => {
            refuse(StatusCode::INTERNAL_SERVER_ERROR, &error.to_string())
        }
    }
}

async fn read<T: DeserializeOwned>(
    mut request: Request,
) -> Result<T, Response> {
    let bad = |e: String| refuse(StatusCode::BAD_REQUEST, &e);
    let body = request.bytes().await.map_err(|e| bad(e.to_string()))?;
    serde_json::from_slice(&body).map_err(|e| bad(e.to_string()))
}

async fn status(shared: Arc<Shared>) -> Response {
    let newest = revisions::newest(&shared.store).await.ok();
    let snapshot = shared.snapshot.load_full();
    let now = shared.clock.now();
    let unreachable = snapshot.config.iter().flat_map(|config| {
        let served = config.served().iter();
        let gone = served.filter(|(_, s)| snapshot.holders(s).is_empty());
        gone.map(|(name, _)| name.clone())
    });
    ok(&Status {
        instance: shared.settings.instance.clone(),
        life: snapshot.life,
        newest,
        revisions: snapshot.revisions.clone().into_iter().collect(),
        holder: snapshot.holder.clone(),
        store_age_ms: snapshot.store_read.map(|read| now.since(read)),
        in_flight: shared.in_flight(),
        engines: snapshot
            .engines
            .iter()
            .map(|engine| engine_status(engine, &snapshot))
            .collect(),
        unreachable: unreachable.collect(),
    })
}

fn engine_status(engine: &EngineRoute, snapshot: &Snapshot) -> EngineStatus {
    let size = |artifact: &valehold_core::id::Artifact| {
        let config = snapshot.config.as_ref()?;
        Some(config.served().get(&artifact.name)?.size_mib)
    };
    EngineStatus {
        engine: engine.id.clone(),
        suspect: engine.suspect,
        running: engine.running,
        slots: engine.slots,
        waiting_tokens: engine.waiting_tokens,
        resident: engine.resident.iter().map(ToString::to_string).collect(),
        resident_mib: engine.resident.iter().filter_map(size).sum(),
    }
}

async fn apply(shared: Arc<Shared>, request: Request) -> Response {
    let ask: ApplyRequest = match read(request).await {
        Ok(ask) => ask,
        Err(refused) => return refused,
    };
    let objects = shared.ports.objects.clone();
    match revisions::apply(&shared.store, &*objects, &ask).await {
        Ok(applied) => {
            log::info!("{} applied {:?}: {applied:?}", ask.by, ask.label);
            ok(&applied)
        }
        Err(error) => {
            let ran = error.verdict();
            let message = format!("the store does not answer: {error}");
            let body = json!({"error": message, "ran": ran.as_str()});
            json_response(StatusCode::SERVICE_UNAVAILABLE, &body)
        }
    }
}

async fn files(shared: Arc<Shared>) -> Response {
    let objects = shared.ports.objects.clone();
    match revisions::newest_files(&shared.store, &*objects).await {
        Ok((revision, files)) => {
            ok(&json!({"revision": revision, "files": files}))
        }
        Err(error) => {
            refuse(StatusCode::SERVICE_UNAVAILABLE, &error.to_string())
        }
    }
}

async fn plan(shared: Arc<Shared>, request: Request) -> Response {
    let files: Files = match read(request).await {
        Ok(files) => files,
        Err(refused) => return refused,
    };
    let config = match Config::try_from_files(&files) {
        Ok(config) => config,
        Err(problems) => {
            let faults = revisions::faults(&problems);
            let body = json!({"faults": faults});
            return json_response(StatusCode::UNPROCESSABLE_ENTITY, &body);
        }
    };
    let snapshot = shared.snapshot.load_full();
    let deployment = config.deployment();
    let steps = forecast(
        config.served(),
        &std::collections::BTreeMap::new(),
        deployment.weighing,
        deployment.placement.horizon_s,
        views(&config, &snapshot),
    );
    ok(&steps.iter().map(plan_step).collect::<Vec<_>>())
}

fn plan_step(action: &Action) -> PlanStep {
    PlanStep {
        kind: match action.kind {
            StepKind::Load => "load".to_owned(),
            StepKind::Unload => "unload".to_owned(),
        },
        engine: action.engine.clone(),
        artifact: action.artifact.to_string(),
        size_mib: action.size_mib,
        reason: action.reason.to_string(),
    }
}

/// Makes the planner's view of engines from what they reported here.
///
/// An engine that did not report is taken to be there and empty, so that a
/// plan can be made before anything runs.
fn views(config: &Config, snapshot: &Snapshot) -> Vec<EngineView> {
    let known = snapshot.config.as_deref().unwrap_or(config);
    let size = |artifact: &valehold_core::id::Artifact| {
        let served = known.served().get(&artifact.name);
        let served = served.or_else(|| config.served().get(&artifact.name));
        served.map_or(0, |served| served.size_mib)
    };
    let engines = config.deployment().engine.iter();
    let views = engines.map(|engine| {
        let route = snapshot.engine(&engine.name);
        let resident = route.into_iter().flat_map(|r| r.resident.iter());
        let held = resident.map(|a| (a.clone(), size(a))).collect();
        EngineView::at_rest(engine, held)
    });
    views.collect()
}

async fn watch(shared: Arc<Shared>, request: Request) -> Response {
    let query = request.query_string().unwrap_or_default();
    let since = query.strip_prefix("since=").and_then(|n| n.parse().ok());
    let records = shared.records();
    let (records, next) = records.since(since.unwrap_or(0));
    let records = records.into_iter().cloned().collect();
    ok(&Watched { next, records })
}

async fn refusals(shared: Arc<Shared>) -> Response {
    let records = shared.records();
    let refused = records.newest().filter(|r| r.refusal.is_some());
    ok(&refused.take(REFUSALS_LISTED).collect::<Vec<_>>())
}

async fn explain(shared: Arc<Shared>, request: Request) -> Response {
    let kind = request.param::<String>("kind").unwrap_or_default();
    let name = request.param::<String>("name").unwrap_or_default();
    let found = match kind.as_str() {
        "request" => explain_request(&shared, &name),
        "model" => explain_model(&shared, &name),
        "engine" => explain_engine(&shared, &name),
        _ => None,
    };
    found.unwrap_or_else(|| {
        let message = format!("this instance knows no {kind} {name}");
        refuse(StatusCode::NOT_FOUND, &message)
    })
}

fn explain_request(shared: &Shared, id: &str) -> Option<Response> {
    shared.records().find(id).map(ok)
}

fn explain_model(shared: &Shared, name: &str) -> Option<Response> {
    let snapshot = shared.snapshot.load_full();
    let config = snapshot.config.as_ref()?;
    let served = config.served().get(&ModelName::new(name))?;
    let users = config.workspaces().values();
    let users = users
        .filter(|w| w.models.contains(&served.artifact.name))
        .map(|w| w.name.clone());
    let holders = snapshot.holders(served);
    Some(ok(&json!({
        "declared": served.artifact.to_string(),
        "size_mib": served.size_mib,
        "base": served.base.as_ref().map(ToString::to_string),
        "min_replicas": served.min_replicas,
        "workspaces": users.collect::<Vec<_>>(),
        "answered_by": holders.iter().map(|(engine, target)| json!({
            "engine": engine.id,
            "data_centre": engine.data_centre,
            "version": target.artifact.to_string(),
            "base": target.base.as_ref().map(ToString::to_string),
        })).collect::<Vec<_>>(),
        "placed_by": snapshot.holder,
    })))
}

fn explain_engine(shared: &Shared, name: &str) -> Option<Response> {
    let snapshot = shared.snapshot.load_full();
    let engine = snapshot.engine(&UpstreamId::new(name))?;
    Some(ok(&engine_status(engine, &snapshot)))
}
