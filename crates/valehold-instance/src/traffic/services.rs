//! Calls to plain services.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http::{HeaderValue, StatusCode, header};
use http_body_util::Full;
use valehold_core::{
    Millis, Verdict,
    chart::library::{OnceEvent, RequestEvent},
    id::{ServiceName, UpstreamId, WorkspaceId},
    ledger::{ClaimRow, Found, OnceAttempt, RecordedAnswer, judge},
    reason::{RefusalReason, RetryReason},
    retry::FailedAttempt,
};
use valehold_ports::{
    PortError,
    port::{ServiceAnswer, ServiceCall},
};
use viz::{Body, Request, RequestExt, Response};

use super::{
    App, body, handlers::marked, refusal::Refused, trace::Trace,
    usage::InFlight,
};
use crate::{
    once::{self, Claimed},
    shared::Report,
    snapshot::{ServiceRoute, Snapshot},
};

/// The beginning of the paths of calls to plain services.
pub(super) const SERVICES_PATH: &str = "/v1/services/";

/// The header that marks a call that may not be repeated.
const KEY_HEADER: &str = "idempotency-key";

/// The longest key taken, in bytes.
const MAX_KEY_BYTES: usize = 256;

/// The largest answer that is recorded for repeats, in bytes.
const MAX_RECORDED_BYTES: usize = 64 * 1024;

/// For how long after its claim a call may be sent. Far shorter than claims
/// are kept, see `docs/design/05-at-most-once.md`.
const SEND_WINDOW_MS: u64 = 5_000;

/// For how long an answer waits to be recorded before its caller gets it.
const RECORD_WAIT: Duration = Duration::from_millis(250);

/// In how many ms to come back when the store is down.
const STORE_COME_BACK_MS: u64 = 3_000;

/// In how many ms to come back when a service's processes failed.
const FAILED_COME_BACK_MS: u64 = 1_000;

/// Answers a call to a plain service.
pub(super) async fn call(app: Arc<App>, mut request: Request) -> Response {
    let mut trace = Trace::new(app.shared.clone());
    let asked = match asked(&app, &mut request, &mut trace).await {
        Ok(asked) => asked,
        Err(refused) => return trace.refuse(&refused),
    };
    let answered = match (&asked.key, asked.repeatable) {
        (Some(key), false) => once_only(&app, &asked, key, &mut trace).await,
        _ => plain(&app, &asked, &mut trace).await,
    };
    match answered {
        Ok(answer) => {
            trace.follow(RequestEvent::EndMark);
            marked(response(answer), &trace)
        }
        Err(refused) => trace.refuse(&refused),
    }
}

/// A call that was let in.
struct AdmittedCall {
    workspace: WorkspaceId,
    service: ServiceName,
    call: ServiceCall,
    repeatable: bool,
    key: Option<String>,
    deadline: Millis,
    _in_flight: InFlight,
}

async fn asked(
    app: &Arc<App>,
    request: &mut Request,
    trace: &mut Trace,
) -> Result<AdmittedCall, Refused> {
    let snapshot = app.shared.snapshot.load_full();
    let (config, workspace) = app.authorize(request, &snapshot)?;
    trace.of_workspace(&workspace.name);
    let path = request.path().to_owned();
    let rest = path.strip_prefix(SERVICES_PATH).unwrap_or_default();
    let (name, rest) = rest.split_once('/').unwrap_or((rest, ""));
    let name = ServiceName::new(name);
    trace.for_target(name.as_str());
    let service =
        config.service(&name).filter(|_| workspace.services.contains(&name));
    let Some(service) = service else {
        return Err(Refused::not_run(
            RefusalReason::UnknownModel,
            format!("the workspace uses no service {name}"),
        ));
    };
    let method = request.method().as_str().to_owned();
    let path = format!("/{rest}");
    let repeatable = service.may_repeat(&method, &path);
    let key = idempotency_key(request)?;
    let body = body::read(request, &app.shared.settings.callers).await?;
    let in_flight = app.enter(&snapshot, &config, &workspace, 0)?;
    trace.follow(RequestEvent::Admit);
    let query = request.query_string();
    let path = match query {
        Some(query) => format!("{path}?{query}"),
        None => path,
    };
    let content_type = request
        .headers()
        .get(header::CONTENT_TYPE)
        .and_then(|value| value.to_str().ok())
        .map(str::to_owned);
    let timeout = app.shared.settings.callers.first_output_timeout_ms;
    Ok(AdmittedCall {
        workspace: workspace.name.clone(),
        service: name,
        call: ServiceCall { method, path, content_type, body },
        repeatable,
        key,
        deadline: trace.began() + timeout,
        _in_flight: in_flight,
    })
}

fn idempotency_key(request: &Request) -> Result<Option<String>, Refused> {
    let Some(key) = request.headers().get(KEY_HEADER) else {
        return Ok(None);
    };
    match key.to_str() {
        Ok(key) if !key.is_empty() && key.len() <= MAX_KEY_BYTES => {
            Ok(Some(key.to_owned()))
        }
        _ => Err(Refused::not_run(
            RefusalReason::BadRequest,
            format!("Idempotency-Key is of 1 to {MAX_KEY_BYTES} characters"),
        )),
    }
}

/// What is known after the last attempt at a call failed.
struct Failed {
    verdict: Verdict,
    refused: Refused,
}

/// Makes a call that needs no claim.
async fn plain(
    app: &Arc<App>,
    asked: &AdmittedCall,
    trace: &mut Trace,
) -> Result<ServiceAnswer, Refused> {
    attempts(app, asked, trace, || true).await.map_err(|f| f.refused)
}

/// Makes attempts at a call for as long as another may follow.
///
/// `may_send` is asked right before each attempt is sent.
async fn attempts(
    app: &Arc<App>,
    asked: &AdmittedCall,
    trace: &mut Trace,
    may_send: impl Fn() -> bool,
) -> Result<ServiceAnswer, Failed> {
    let mut verdict = Verdict::NotRun;
    let mut tried = Vec::new();
    let mut retry = None;
    loop {
        let snapshot = app.shared.snapshot.load_full();
        let Some(process) = choose(app, &snapshot, &asked.service, &tried)
        else {
            let message = format!("no process of {} answers", asked.service);
            return Err(failed(
                RefusalReason::NoUpstream,
                verdict,
                message,
                FAILED_COME_BACK_MS,
            ));
        };
        if tried.is_empty() {
            app.retries.first_attempt(&asked.workspace, &process.id);
        }
        trace.attempt(&process.id, None, retry.take());
        if !may_send() {
            let message = "the call's claim has grown too old to send";
            return Err(failed(
                RefusalReason::TimedOut,
                verdict,
                message,
                FAILED_COME_BACK_MS,
            ));
        }
        let services = &app.shared.ports.services;
        let error = match services.call(process.address, &asked.call).await {
            Ok(answer) => {
                app.shared.report(Report::Succeeded(process.id));
                return Ok(answer);
            }
            Err(error) => error,
        };
        verdict = verdict.worst(error.verdict());
        trace.attempt_failed(&error);
        app.shared.report(Report::Failed(process.id.clone()));
        tried.push(process.id.clone());
        let (last, made) = (&process.id, tried.len());
        retry = Some(another(app, asked, &error, last, made, verdict)?);
        trace.follow(RequestEvent::Retry);
    }
}

/// Decides whether another attempt follows, and why.
fn another(
    app: &Arc<App>,
    asked: &AdmittedCall,
    error: &PortError,
    upstream: &UpstreamId,
    attempts: usize,
    verdict: Verdict,
) -> Result<RetryReason, Failed> {
    let attempt = FailedAttempt {
        verdict: error.verdict(),
        repeatable: asked.repeatable,
        output_begun: false,
        attempts: u32::try_from(attempts).unwrap_or(u32::MAX),
    };
    let decided = app.retries.try_retry(
        attempt,
        &asked.workspace,
        upstream,
        app.shared.clock.now(),
        asked.deadline,
    );
    if decided.is_ok() {
        return Ok(match error.verdict() {
            Verdict::NotRun => RetryReason::ConnectFailed,
            _ => RetryReason::RepeatableCall,
        });
    }
    let message = format!("no answer after {} attempt(s): {error}", attempts);
    Err(failed(
        RefusalReason::UpstreamFailed,
        verdict,
        message,
        FAILED_COME_BACK_MS,
    ))
}

fn failed(
    reason: RefusalReason,
    verdict: Verdict,
    message: impl Into<String>,
    come_back_ms: u64,
) -> Failed {
    let refused =
        Refused::new(reason, verdict, message).come_back_ms(come_back_ms);
    Failed { verdict, refused }
}

/// Picks a process: one of the nearest, at random, that was not tried.
fn choose(
    app: &App,
    snapshot: &Snapshot,
    service: &ServiceName,
    tried: &[UpstreamId],
) -> Option<ServiceRoute> {
    let own = &app.shared.settings.data_centre;
    let distance = |route: &ServiceRoute| {
        let config = snapshot.config.as_ref();
        config.map_or(0.0, |c| c.distance_ms(own, &route.data_centre))
    };
    let routes = snapshot.services.get(service)?;
    let left: Vec<&ServiceRoute> =
        routes.iter().filter(|r| !tried.contains(&r.id)).collect();
    let nearest =
        left.iter().map(|r| distance(r)).fold(f64::INFINITY, f64::min);
    let near: Vec<&ServiceRoute> =
        left.into_iter().filter(|r| distance(r) <= nearest).collect();
    if near.is_empty() {
        return None;
    }
    let index = rand::random_range(0..near.len());
    Some(near[index].clone())
}

/// Makes a call that may run at most once.
async fn once_only(
    app: &Arc<App>,
    asked: &AdmittedCall,
    key: &str,
    trace: &mut Trace,
) -> Result<ServiceAnswer, Refused> {
    let claim_key = once::claim_key(&asked.workspace, &asked.service, key);
    let call = &asked.call;
    let digest = once::call_digest(&call.method, &call.path, &call.body);
    let row = ClaimRow {
        request: trace.request().clone(),
        instance: app.shared.settings.instance.clone(),
        call_digest: digest.clone(),
        claimed_at: once::wall_seconds(),
        answer: None,
    };
    let mut attempt = OnceAttempt::new();
    let asked_at = app.shared.clock.now();
    let claimed = app.claims.claim(claim_key.clone(), row.clone()).await;
    let version = match claimed {
        Ok(Claimed::Won(version)) => version,
        Ok(Claimed::Found(found)) => {
            attempt.follow(OnceEvent::ClaimLost);
            return repeat(&found, &digest);
        }
        Err(error) => {
            attempt.follow(OnceEvent::StoreDown);
            return Err(store_down(&error));
        }
    };
    attempt.claim_won(asked_at, SEND_WINDOW_MS);
    let clock = app.shared.clock;
    let may_send = || attempt.may_send(clock.now());
    let answered = attempts(app, asked, trace, may_send).await;
    match answered {
        Ok(answer) => {
            attempt.follow(OnceEvent::Answered);
            let recording =
                record(app.clone(), claim_key, version, row, answer.clone());
            let recorded = tokio::spawn(recording);
            // The recording goes on if it takes longer; until it is done a
            // repeat is told that the call may have run.
            let _ = tokio::time::timeout(RECORD_WAIT, recorded).await;
            Ok(answer)
        }
        Err(failed) if failed.verdict == Verdict::NotRun => {
            attempt.follow(OnceEvent::NotSent);
            let released = app.claims.release(&claim_key, version).await;
            if let Err(error) = released {
                log::warn!("a claim was not given up: {error}");
            }
            Err(failed.refused)
        }
        Err(failed) => {
            attempt.follow(OnceEvent::AnswerLost);
            Err(failed.refused)
        }
    }
}

/// Answers a call whose key was claimed before.
fn repeat(found: &ClaimRow, digest: &str) -> Result<ServiceAnswer, Refused> {
    match judge(Some(found), digest) {
        Found::Answer(answer) => Ok(ServiceAnswer {
            status: answer.status,
            content_type: answer.content_type,
            body: Bytes::from(answer.body),
        }),
        Found::OtherCall => Err(Refused::not_run(
            RefusalReason::KeyReused,
            "this Idempotency-Key was used for a different call",
        )),
        // A claim that was found cannot be judged to be nothing.
        Found::Begun | Found::Nothing => Err(Refused::new(
            RefusalReason::AlreadyClaimed,
            Verdict::MayHaveRun,
            "a call under this Idempotency-Key was begun and may have run",
        )
        .come_back_ms(FAILED_COME_BACK_MS)),
    }
}

async fn record(
    app: Arc<App>,
    key: String,
    version: u64,
    row: ClaimRow,
    answer: ServiceAnswer,
) {
    if answer.body.len() > MAX_RECORDED_BYTES {
        log::warn!("an answer is too large to be recorded for repeats");
        return;
    }
    let recorded = RecordedAnswer {
        status: answer.status,
        content_type: answer.content_type.clone(),
        body: answer.body.to_vec(),
    };
    // The call ran and its caller gets the answer, recorded or not.
    if let Err(error) = app.claims.record(&key, version, row, recorded).await {
        log::warn!("an answer was not recorded: {error}");
    }
}

fn store_down(error: &PortError) -> Refused {
    let message = format!("the call cannot be recorded, so not sent: {error}");
    Refused::not_run(RefusalReason::StoreDown, message)
        .come_back_ms(STORE_COME_BACK_MS)
}

fn response(answer: ServiceAnswer) -> Response {
    let mut response = Response::new(Body::from(Full::from(answer.body)));
    *response.status_mut() =
        StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let kind = answer.content_type.as_deref().map(HeaderValue::from_str);
    if let Some(Ok(kind)) = kind {
        response.headers_mut().insert(header::CONTENT_TYPE, kind);
    }
    response
}
