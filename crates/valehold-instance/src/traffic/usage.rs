//! What each workspace uses at this instance, against its share.

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU32, Ordering},
    },
};

use valehold_core::{
    Millis,
    config::{Limits, Workspace},
    id::WorkspaceId,
    limit::{HeldGrant, TokenBucket},
    reason::RefusalReason,
};

use super::refusal::Refused;

/// How many seconds of its rate a workspace can save up.
const BURST_S: f64 = 2.0;

#[derive(Debug)]
struct Used {
    requests: TokenBucket,
    tokens: TokenBucket,
    in_flight: Arc<AtomicU32>,
}

/// A request that counts as in flight until it is dropped.
#[derive(Debug)]
pub(super) struct InFlight(Arc<AtomicU32>);

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

/// What each workspace uses.
#[derive(Debug, Default)]
pub(super) struct Usage(Mutex<HashMap<WorkspaceId, Used>>);

impl Usage {
    /// Counts a request in, if the workspace's share allows it.
    pub(super) fn enter(
        &self,
        workspace: &Workspace,
        grant: HeldGrant,
        max_instances: u32,
        tokens: u64,
        now: Millis,
    ) -> Result<InFlight, Refused> {
        let share = share_of(workspace.limits, grant, max_instances, now);
        // Every change below leaves the map whole, so a panic elsewhere
        // while it was locked does no harm.
        let mut map = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let used = map.entry(workspace.name.clone()).or_insert_with(|| Used {
            requests: TokenBucket::new(
                share.requests_per_second,
                BURST_S,
                now,
            ),
            tokens: TokenBucket::new(share.tokens_per_second, BURST_S, now),
            in_flight: Arc::default(),
        });
        used.requests.set_rate(share.requests_per_second, BURST_S, now);
        used.tokens.set_rate(share.tokens_per_second, BURST_S, now);
        if used.in_flight.load(Ordering::Acquire) >= share.concurrency {
            return Err(refuse(RefusalReason::ConcurrencyLimited, 1_000));
        }
        used.requests
            .try_take(1.0, now)
            .map_err(|wait| refuse(RefusalReason::RateLimited, wait))?;
        #[allow(clippy::cast_precision_loss)]
        let tokens = tokens as f64;
        if let Err(wait) = used.tokens.try_take(tokens, now) {
            used.requests.give_back(1.0);
            return Err(refuse(RefusalReason::TokensLimited, wait));
        }
        used.in_flight.fetch_add(1, Ordering::AcqRel);
        Ok(InFlight(used.in_flight.clone()))
    }
}

/// Returns this instance's share of a workspace's limits.
fn share_of(
    limits: Limits,
    grant: HeldGrant,
    max_instances: u32,
    now: Millis,
) -> Limits {
    let part = |limit| grant.share(limit, max_instances, now);
    // Rounded down, so that the shares never sum to more than the limit.
    // Checked configurations leave at least one for each instance.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let concurrency = part(f64::from(limits.concurrency)) as u32;
    Limits {
        requests_per_second: part(limits.requests_per_second),
        concurrency,
        tokens_per_second: part(limits.tokens_per_second),
    }
}

fn refuse(reason: RefusalReason, wait_ms: u64) -> Refused {
    let message = match reason {
        RefusalReason::RateLimited => "the workspace's requests a second",
        RefusalReason::TokensLimited => "the workspace's tokens a second",
        _ => "the workspace's requests in flight",
    };
    Refused::not_run(reason, format!("{message} are used up here"))
        .come_back_ms(wait_ms)
}
