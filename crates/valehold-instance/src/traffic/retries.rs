//! The budgets for retries, by workspace and by upstream.

use std::{
    collections::HashMap,
    sync::{Mutex, MutexGuard, PoisonError},
};

use valehold_core::{
    Millis,
    id::{UpstreamId, WorkspaceId},
    retry::{FailedAttempt, NoRetry, RetryBudget, RetrySettings, try_retry},
};

#[derive(Debug, Default)]
struct Budgets {
    workspaces: HashMap<WorkspaceId, RetryBudget>,
    upstreams: HashMap<UpstreamId, RetryBudget>,
}

/// The budgets of one instance.
#[derive(Debug)]
pub(super) struct Retries {
    settings: RetrySettings,
    budgets: Mutex<Budgets>,
}

impl Retries {
    pub(super) fn new(settings: RetrySettings) -> Self {
        Self { settings, budgets: Mutex::default() }
    }

    /// Pays in for a first attempt.
    pub(super) fn first_attempt(
        &self,
        workspace: &WorkspaceId,
        upstream: &UpstreamId,
    ) {
        let full = || RetryBudget::new(self.settings);
        let mut budgets = self.lock();
        let budget = budgets.workspaces.entry(workspace.clone());
        budget.or_insert_with(full).first_attempt();
        let budget = budgets.upstreams.entry(upstream.clone());
        budget.or_insert_with(full).first_attempt();
    }

    /// Decides whether a failed attempt is followed by another.
    pub(super) fn try_retry(
        &self,
        failed: FailedAttempt,
        workspace: &WorkspaceId,
        upstream: &UpstreamId,
        now: Millis,
        deadline: Millis,
    ) -> Result<(), NoRetry> {
        let full = || RetryBudget::new(self.settings);
        let budgets = &mut *self.lock();
        let by_workspace = budgets.workspaces.entry(workspace.clone());
        let by_upstream = budgets.upstreams.entry(upstream.clone());
        try_retry(
            failed,
            self.settings,
            now,
            deadline,
            by_workspace.or_insert_with(full),
            by_upstream.or_insert_with(full),
        )
    }

    fn lock(&self) -> MutexGuard<'_, Budgets> {
        // Budgets are numbers; any value a panic left is a valid one.
        self.budgets.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
