//! Callers' requests: from the connection to the whole answer.

mod answer;
mod body;
mod generate;
mod handlers;
mod outstanding;
mod pages;
mod refusal;
mod retries;
mod server;
mod services;
mod shape;
mod trace;
mod usage;

use std::sync::{Arc, Mutex, PoisonError};

use valehold_core::{
    config::{Config, Workspace},
    prefix::PrefixHints,
    reason::RefusalReason,
};

use self::{
    outstanding::Outstanding, refusal::Refused, retries::Retries, usage::Usage,
};
pub(crate) use self::{refusal::json_response, server::serve};
use crate::{once::Claims, shared::Shared, snapshot::Snapshot};

/// For how long a hint about an engine's prefix cache is kept.
const KEEP_HINTS_MS: u64 = 300_000;

/// How many hints are kept.
const MAX_HINTS: usize = 65_536;

/// What the traffic threads work with.
pub(crate) struct App {
    pub(crate) shared: Arc<Shared>,
    pub(crate) claims: Claims,
    usage: Usage,
    retries: Retries,
    outstanding: Outstanding,
    hints: Mutex<PrefixHints>,
}

impl App {
    /// Makes the traffic side of an instance.
    pub(crate) fn new(shared: Arc<Shared>, claims: Claims) -> Self {
        let retries = Retries::new(shared.settings.retry);
        let hints = PrefixHints::new(KEEP_HINTS_MS, MAX_HINTS);
        Self {
            shared,
            claims,
            usage: Usage::default(),
            retries,
            outstanding: Outstanding::default(),
            hints: Mutex::new(hints),
        }
    }

    fn hints(&self) -> std::sync::MutexGuard<'_, PrefixHints> {
        // A panic between two changes leaves hints that are still only hints.
        self.hints.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Finds the configuration in force and the workspace of a caller's key.
    fn authorize(
        &self,
        request: &viz::Request,
        snapshot: &Snapshot,
    ) -> Result<(Arc<Config>, Arc<Workspace>), Refused> {
        let Some(config) = &snapshot.config else {
            return Err(Refused::not_run(
                RefusalReason::NotReady,
                "this instance has no configuration yet",
            )
            .come_back_ms(1_000));
        };
        let key = request
            .headers()
            .get(http::header::AUTHORIZATION)
            .and_then(|value| value.to_str().ok()?.strip_prefix("Bearer "));
        let workspace = key.and_then(|key| config.workspace_of_key(key));
        match workspace {
            Some(workspace) => Ok((config.clone(), workspace.clone())),
            None => Err(Refused::not_run(
                RefusalReason::BadKey,
                "send `Authorization: Bearer KEY` with a workspace's key",
            )),
        }
    }
}
