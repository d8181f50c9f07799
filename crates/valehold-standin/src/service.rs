//! A plain service that counts how often each call ran.

use std::{
    collections::BTreeMap,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
};

use viz::{Request, RequestExt, Response, Router, StatusCode};

use crate::{
    fault::{Faults, answer},
    server::{Running, json},
};

/// A plain service's stand-in: each body is a booking, and it counts them.
#[derive(Debug, Clone, Default)]
pub struct ServiceStandin {
    runs: Arc<Mutex<BTreeMap<String, u32>>>,
    leaving: Arc<AtomicBool>,
    /// Its faults.
    pub faults: Faults,
}

impl ServiceStandin {
    /// Makes a service that has run nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Serves it on loopback.
    ///
    /// # Errors
    ///
    /// If no port can be had.
    pub async fn serve(&self) -> std::io::Result<Running> {
        let (call, health) = (self.clone(), self.clone());
        let router = Router::new()
            .get("/health", move |_: Request| {
                let leaving = health.leaving.load(Ordering::Relaxed);
                let word = if leaving { "leaving" } else { "serving" };
                async move { viz::Result::Ok(answer(StatusCode::OK, word)) }
            })
            .any("/*", move |request: Request| {
                let this = call.clone();
                async move {
                    let faults = this.faults.clone();
                    viz::Result::Ok(faults.around(this.run(request)).await)
                }
            });
        Running::start(router).await
    }

    /// Says from now on that it leaves.
    pub fn leave(&self) {
        self.leaving.store(true, Ordering::Relaxed);
    }

    /// Returns how often a call with this body ran.
    pub fn runs_of(&self, body: &str) -> u32 {
        let runs = self.runs.lock().unwrap_or_else(PoisonError::into_inner);
        runs.get(body).copied().unwrap_or(0)
    }

    async fn run(self, mut request: Request) -> Response {
        let path = request.path().to_owned();
        let body = request.text().await.unwrap_or_default();
        let count = {
            let mut runs =
                self.runs.lock().unwrap_or_else(PoisonError::into_inner);
            let count = runs.entry(body.clone()).or_default();
            *count += 1;
            *count
        };
        json(&serde_json::json!({
            "path": path, "booked": body, "run": count,
        }))
    }
}
