//! What a request is charged to its workspace's limit.

use std::{rc::Rc, sync::Arc};

use valehold_core::{
    fleet::{
        usage::{LimitReached, UsageMeter},
        workspace::{UsageUnit, Workspace},
    },
    id::WorkspaceId,
    reason::RefusalReason,
};

use super::{refusal::Refusal, route::Job, state::App};
use crate::shared::Shared;

/// What a request was charged. It is given back unless the request was sent.
pub(super) struct Charge {
    shared: Arc<Shared>,
    workspace: WorkspaceId,
    cost: f64,
    is_kept: bool,
}

impl Charge {
    /// Notes whether the request may have run: then it stays charged.
    pub(super) fn keep(&mut self, may_have_run: bool) {
        self.is_kept = may_have_run;
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        if !self.is_kept {
            let now = self.shared.clock.now();
            let mut usage = self.shared.usage();
            usage.refund(&self.workspace, self.cost, now);
        }
    }
}

/// Charges a request to its workspace, if that has a limit.
pub(super) fn charge(
    app: &Rc<App>,
    job: &Job,
) -> Result<Option<Charge>, Refusal> {
    let Some(workspace) = &job.workspace else { return Ok(None) };
    let Some(limit) = workspace.limit else { return Ok(None) };
    let cost = limit.unit.cost(job.request.stated_tokens());
    let now = app.now();
    let mut usage = app.shared.usage();
    let meter: &mut UsageMeter = &mut usage;
    let name = &workspace.name;
    meter
        .admit(name, &limit, cost, rand::random(), now)
        .map_err(|reached| refuse(app, workspace, limit.unit, reached))?;
    Ok(Some(Charge {
        shared: app.shared.clone(),
        workspace: name.clone(),
        cost,
        is_kept: false,
    }))
}

fn refuse(
    app: &App,
    workspace: &Workspace,
    unit: UsageUnit,
    reached: LimitReached,
) -> Refusal {
    app.shared.metrics.limited(&workspace.name);
    let reason = match unit {
        UsageUnit::Requests => RefusalReason::RateLimited,
        UsageUnit::Tokens { .. } => RefusalReason::TokensLimited,
    };
    Refusal::not_run(reason, reached.retry_after_ms)
}
