//! Charges requests against the usage limits of their workspaces.

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

/// The usage charged for a request. Dropping the charge refunds the usage,
/// unless the request may have run.
pub(super) struct Charge {
    shared: Arc<Shared>,
    workspace: WorkspaceId,
    cost: f64,
    /// Whether the usage stays charged when this value is dropped.
    is_kept: bool,
}

impl Charge {
    /// Sets whether the request may have run. If it may, the usage is not
    /// refunded.
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

/// Charges a request against the limit of its workspace.
///
/// Returns `None` if the request has no workspace or the workspace has no
/// limit, and the refusal for the caller if the limit is reached.
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

/// Counts a rejected request in the metrics and returns the refusal for the
/// caller.
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
