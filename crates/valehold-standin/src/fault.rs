//! Switches that make a stand-in fail.

use std::{
    future::Future,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use tokio::sync::watch;
use valehold_ports::http::NOT_RUN_HEADER;
use viz::{Body, Response, StatusCode};

#[derive(Debug, Default)]
struct Switches {
    delay: Duration,
    refuse_next: u32,
    lose_next: u32,
    fail_next: u32,
    fail_all: bool,
}

/// The fault switches of one stand-in. Clones share them.
#[derive(Debug, Clone)]
pub struct Faults {
    switches: Arc<Mutex<Switches>>,
    frozen: Arc<watch::Sender<bool>>,
}

impl Default for Faults {
    fn default() -> Self {
        let frozen = Arc::new(watch::Sender::new(false));
        Self { switches: Arc::default(), frozen }
    }
}

impl Faults {
    /// Delays every answer.
    pub fn delay(&self, delay: Duration) {
        self.lock().delay = delay;
    }

    /// Refuses the next requests as not run.
    pub fn refuse_next(&self, count: u32) {
        self.lock().refuse_next = count;
    }

    /// Loses the answers of the next requests, after they took effect.
    pub fn lose_next(&self, count: u32) {
        self.lock().lose_next = count;
    }

    /// Fails the next requests without running them, without saying so.
    pub fn fail_next(&self, count: u32) {
        self.lock().fail_next = count;
    }

    /// Fails all requests from now on, or no longer.
    pub fn fail_all(&self, on: bool) {
        self.lock().fail_all = on;
    }

    /// Holds all requests back before they take effect, or lets them go.
    pub fn freeze(&self, on: bool) {
        self.frozen.send_replace(on);
    }

    /// Runs a request under the switches.
    pub(crate) async fn around(
        &self,
        request: impl Future<Output = Response>,
    ) -> Response {
        self.thawed().await;
        let (delay, refused, failed) = {
            let mut switches = self.lock();
            let refused = count_down(&mut switches.refuse_next);
            let failed =
                switches.fail_all || count_down(&mut switches.fail_next);
            (switches.delay, refused, failed)
        };
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
        if refused {
            return not_run(StatusCode::SERVICE_UNAVAILABLE, "switched off");
        }
        if failed {
            return answer(StatusCode::INTERNAL_SERVER_ERROR, "switched off");
        }
        let response = request.await;
        if count_down(&mut self.lock().lose_next) {
            return broken();
        }
        response
    }

    async fn thawed(&self) {
        let mut frozen = self.frozen.subscribe();
        // The sender lives as long as `self`, so this cannot fail.
        let _ = frozen.wait_for(|frozen| !frozen).await;
    }

    fn lock(&self) -> MutexGuard<'_, Switches> {
        self.switches.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn count_down(count: &mut u32) -> bool {
    let some = *count > 0;
    *count = count.saturating_sub(1);
    some
}

/// Makes a plain answer.
pub(crate) fn answer(status: StatusCode, text: &str) -> Response {
    let mut response = Response::new(Body::from(http_body_util::Full::from(
        Bytes::copy_from_slice(text.as_bytes()),
    )));
    *response.status_mut() = status;
    response
}

/// Makes a refusal that says that the request was not run.
pub(crate) fn not_run(status: StatusCode, why: &'static str) -> Response {
    let mut response = answer(status, why);
    let why = http::HeaderValue::from_static(why);
    response.headers_mut().insert(NOT_RUN_HEADER, why);
    response
}

/// Makes an answer that breaks off before its end.
pub(crate) fn broken() -> Response {
    let lost: Result<Bytes, std::io::Error> =
        Err(std::io::Error::other("the answer is lost"));
    let stream = futures::stream::iter([lost]);
    Response::new(Body::from_stream(stream))
}
