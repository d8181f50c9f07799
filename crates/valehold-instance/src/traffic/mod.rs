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

use std::sync::Arc;

use valehold_core::{
    config::{Config, Workspace},
    reason::RefusalReason,
};

use self::{
    outstanding::Outstanding,
    refusal::Refused,
    retries::Retries,
    usage::{InFlight, Usage},
};
pub(crate) use self::{refusal::json_response, server::serve};
use crate::{once::Claims, shared::Shared, snapshot::Snapshot};

/// What the traffic threads work with.
pub(crate) struct App {
    pub(crate) shared: Arc<Shared>,
    pub(crate) claims: Claims,
    usage: Usage,
    retries: Retries,
    outstanding: Outstanding,
}

impl App {
    /// Makes the traffic side of an instance.
    pub(crate) fn new(shared: Arc<Shared>, claims: Claims) -> Self {
        let retries = Retries::new(shared.settings.retry);
        Self {
            shared,
            claims,
            usage: Usage::default(),
            retries,
            outstanding: Outstanding::default(),
        }
    }

    /// Finds the configuration in force and the workspace of a caller's key.
    fn authorize(
        &self,
        request: &viz::Request,
        snapshot: &Snapshot,
    ) -> Result<(Arc<Config>, Arc<Workspace>), Refused> {
        let max_headers = self.shared.settings.callers.max_headers;
        if request.headers().len() > max_headers {
            return Err(Refused::not_run(
                RefusalReason::TooManyHeaders,
                format!("the request has more than {max_headers} headers"),
            ));
        }
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

    /// Counts a request in, if the workspace's share allows it here.
    fn enter(
        &self,
        snapshot: &Snapshot,
        config: &Config,
        workspace: &Workspace,
        tokens: u64,
    ) -> Result<InFlight, Refused> {
        let grant = snapshot.grants.get(&workspace.name).copied();
        self.usage.enter(
            workspace,
            grant.unwrap_or_default(),
            config.deployment().max_instances,
            tokens,
            self.shared.clock.now(),
        )
    }
}
