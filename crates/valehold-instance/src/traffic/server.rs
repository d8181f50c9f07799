//! Accepting callers' connections, and stopping without cutting any off.

use std::{future::Future, sync::Arc, time::Duration};

use hyper::server::conn::http1;
use hyper_util::{
    rt::{TokioIo, TokioTimer},
    server::graceful::GracefulShutdown,
};
use tokio::{net::TcpListener, sync::watch};
use valehold_core::chart::library::InstanceState;
use valehold_ports::port::PromptKind;
use viz::{Request, Responder, Response, Router, Tree};

use super::{App, handlers, pages, services};

/// How many times the headers that are taken are read, so that a caller that
/// sends too many is told so in the shape that it knows.
const HEADERS_READ: usize = 4;

/// Serves callers until this instance finishes, then waits until all
/// connections are closed; says so on `finished`.
pub(crate) async fn serve(
    app: Arc<App>,
    listener: TcpListener,
    finished: watch::Sender<bool>,
) {
    let tree = Arc::new(Tree::from(router(&app)));
    let mut life = app.shared.life();
    let graceful = GracefulShutdown::new();
    loop {
        let stream = tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok(accepted) => accepted,
                Err(error) => {
                    log::warn!("a connection was not accepted: {error}");
                    tokio::time::sleep(Duration::from_millis(50)).await;
                    continue;
                }
            },
            () = finishing(&mut life) => break,
        };
        let (stream, from) = stream;
        let _ = stream.set_nodelay(true);
        let responder = Responder::new(tree.clone(), Some(Arc::new(from)));
        let settings = &app.shared.settings.callers;
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(Duration::from_millis(
                settings.read_timeout_ms,
            ))
            .max_headers(settings.max_headers.saturating_mul(HEADERS_READ))
            .serve_connection(TokioIo::new(stream), responder);
        let watched = graceful.watch(connection);
        tokio::spawn(async move {
            if let Err(error) = watched.await {
                log::debug!("a caller's connection ended: {error}");
            }
        });
    }
    drop(listener);
    let most = app.shared.settings.callers.finish_timeout_s;
    let waiting = graceful.shutdown();
    if tokio::time::timeout(Duration::from_secs(most), waiting).await.is_err()
    {
        log::error!("requests were still running after {most} s");
    }
    finished.send_replace(true);
}

async fn finishing(life: &mut watch::Receiver<InstanceState>) {
    let is_over = |life: &InstanceState| {
        matches!(life, InstanceState::Finishing | InstanceState::Stopped)
    };
    // An error means that control has ended, which is a reason to finish.
    let _ = life.wait_for(is_over).await;
}

fn router(app: &Arc<App>) -> Router {
    let services = format!("{}*", services::SERVICES_PATH);
    Router::new()
        .post(
            "/v1/chat/completions",
            on(app, |app, request| {
                handlers::generate(app, PromptKind::Chat, request)
            }),
        )
        .post(
            "/v1/completions",
            on(app, |app, request| {
                handlers::generate(app, PromptKind::Completion, request)
            }),
        )
        .get(
            "/v1/models",
            on(
                app,
                |app, request| async move { pages::models(&app, &request) },
            ),
        )
        .get(
            "/v1/addresses",
            on(
                app,
                |app, request| async move { pages::addresses(&app, &request) },
            ),
        )
        .any(&services, on(app, services::call))
        .get("/healthz", on(app, |_, _| async { pages::healthz() }))
        .get("/readyz", on(app, |app, _| async move { pages::readyz(&app) }))
        .get("/metrics", on(app, |app, _| async move { pages::metrics(&app) }))
}

/// Makes a handler that is given the application.
fn on<F, Fut>(
    app: &Arc<App>,
    handle: F,
) -> impl Fn(
    Request,
) -> std::pin::Pin<
    Box<dyn Future<Output = viz::Result<Response>> + Send>,
> + Clone
+ use<F, Fut>
where
    F: Fn(Arc<App>, Request) -> Fut + Clone,
    Fut: Future<Output = Response> + Send + 'static,
{
    let app = app.clone();
    move |request| {
        let answer = handle(app.clone(), request);
        Box::pin(async move { Ok(answer.await) })
    }
}
