//! Admission of requests to the usage limits of workspaces at one gateway.

use std::collections::BTreeMap;

use super::{
    Fraction, LimitSettings, SlidingSum, Throttle, Throttles, UsageTotal,
};
use crate::{
    fleet::workspace::UsageLimit,
    id::{WorkspaceId, WorkspaceTag},
    time::Millis,
};

/// How long throttles are valid, in ms. The leading hub sends new ones every
/// 150 ms. A gateway that is cut off admits requests by old throttles for this
/// long, however many arrive: with 700 ms, floods that began with a network
/// partition exceeded the limit in one of some hundred cases of a property
/// test.
const THROTTLES_VALID_MS: u64 = 400;

/// Throttles replace recent ones only if they cover at least this fraction of
/// the gateways that the recent ones cover.
const MIN_PRESENT_FRACTION: f64 = 0.8;

/// How long after its last throttles a gateway counts as isolated, in ms.
const ISOLATED_AFTER_MS: u64 = 1_000;

/// The time after the end of an isolation within which the hubs receive the
/// use that the gateway counted meanwhile, in ms.
const REPORTED_WITHIN_MS: u64 = 450;

/// How long a changed total is repeated in reports, in ms, since the datagrams
/// that carry it may be lost.
const REPORT_FOR_MS: u64 = 1_200;

/// The minimum time after which a caller is told to retry, in ms.
const MIN_RETRY_MS: u64 = 500;

/// The time after which a caller is told to retry, in ms, for each request
/// that arrives per admitted one: if one of ten is admitted, ten times this.
const RETRY_PER_REQUEST_MS: f64 = 1_000.0;

/// The error of a request whose workspace has used up its limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LimitReached {
    /// The estimated time until a request can be admitted, in ms.
    pub retry_after_ms: u64,
}

/// Admits requests to the limits of workspaces, and counts their use, at one
/// gateway.
#[derive(Debug, Clone)]
pub struct UsageMeter {
    settings: LimitSettings,
    usage: BTreeMap<WorkspaceTag, WorkspaceUsage>,
    throttles: BTreeMap<WorkspaceTag, Throttle>,
    /// When the throttles were received.
    received: Option<Millis>,
    /// The number of gateways that the throttles cover.
    covered: u32,
    /// When throttles arrived again after isolation, or began to cover more
    /// gateways than before.
    resumed: Millis,
    /// The fraction of each limit that this gateway may use without throttles.
    own_share: f64,
}

/// The use of one workspace at this gateway.
#[derive(Debug, Clone)]
struct WorkspaceUsage {
    /// The cost of the admitted requests.
    used: f64,
    /// The cost of all requests, admitted or not.
    requested: f64,
    /// The cost of the requests admitted in the last window.
    window: SlidingSum,
    /// When the use last changed.
    changed: Millis,
    /// The fraction of the next request's cost that must remain for it to be
    /// admitted without throttles.
    ///
    /// A request is admitted as a whole or not at all, and a gateway's share
    /// of a limit may be less than its cost. With random thresholds, as many
    /// of all gateways admit a request as their shares together allow.
    threshold: f64,
}

impl UsageMeter {
    /// Creates the meter of a gateway that has not admitted any request.
    pub fn new(settings: LimitSettings) -> Self {
        let own_share = 1.0 / f64::from(settings.instances.max(1));
        Self {
            settings,
            usage: BTreeMap::new(),
            throttles: BTreeMap::new(),
            received: None,
            covered: 0,
            resumed: Millis::default(),
            own_share,
        }
    }

    /// Sets the fraction of each limit that this gateway may use without
    /// throttles.
    pub fn set_own_share(&mut self, own_share: f64) {
        self.own_share = own_share;
    }

    /// Applies throttles, unless recent throttles of another hub cover far
    /// more gateways.
    ///
    /// A hub that was paused or cut off for a while computes its first
    /// throttles from the reports of the few gateways that have reached it
    /// again.
    pub fn apply(&mut self, throttles: &Throttles, now: Millis) {
        let covers_fewer = f64::from(throttles.present)
            < f64::from(self.covered) * MIN_PRESENT_FRACTION;
        let is_recent = |at| now.since(at) < ISOLATED_AFTER_MS;
        if covers_fewer && self.received.is_some_and(is_recent) {
            return;
        }
        let by_workspace = throttles.workspaces.iter();
        self.throttles =
            by_workspace.map(|one| (one.workspace, *one)).collect();
        let is_late = |at| now.since(at) >= ISOLATED_AFTER_MS;
        let has_grown = f64::from(self.covered)
            < f64::from(throttles.present) * MIN_PRESENT_FRACTION;
        if has_grown || self.received.is_none_or(is_late) {
            self.resumed = now;
        }
        self.covered = throttles.present;
        self.received = Some(now);
    }

    /// Admits or rejects a request that costs `cost` of the limit's unit.
    /// `draw` is a random number from 0 to 1.
    ///
    /// # Errors
    ///
    /// Returns an error if the workspace's limit is used up.
    pub fn admit(
        &mut self,
        workspace: &WorkspaceId,
        limit: &UsageLimit,
        cost: f64,
        draw: f64,
        now: Millis,
    ) -> Result<(), LimitReached> {
        let tag = workspace.tag();
        let is_admitted = self.has_room(tag, limit, cost, draw, now);
        // An admitted draw is uniform between 0 and the admitted fraction.
        // Divided by that fraction, it is uniform between 0 and 1 again.
        let fraction = match self.has_throttles(now) {
            true => self.admitted_fraction(tag),
            false => 1.0,
        };
        let usage = self.usage_mut(tag, draw);
        usage.requested += cost;
        usage.changed = now;
        if is_admitted {
            usage.used += cost;
            usage.window.add(cost, now);
            usage.threshold = draw / fraction;
            return Ok(());
        }
        let window_ms = self.settings.window_ms();
        let wait_ms = match self.has_throttles(now) {
            true => throttled_wait_ms(self.admitted_fraction(tag), window_ms),
            false => self.own_wait_ms(tag, limit, cost, now),
        };
        let retry_after_ms = wait_ms.max(MIN_RETRY_MS);
        Err(LimitReached { retry_after_ms })
    }

    /// Subtracts the cost of an admitted request that did not run.
    pub fn refund(&mut self, workspace: &WorkspaceId, cost: f64, now: Millis) {
        let Some(usage) = self.usage.get_mut(&workspace.tag()) else { return };
        usage.used -= cost;
        usage.requested -= cost;
        usage.window.add(-cost, now);
        usage.changed = now;
    }

    /// Returns the totals that changed recently, to report them.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    pub fn changed_totals(&mut self, now: Millis) -> Vec<UsageTotal> {
        let is_recent =
            |usage: &WorkspaceUsage| now.since(usage.changed) < REPORT_FOR_MS;
        let changed =
            self.usage.iter_mut().filter(|(_, usage)| is_recent(usage));
        let totals = changed.map(|(workspace, usage)| UsageTotal {
            workspace: *workspace,
            used: usage.used.max(0.0) as u64,
            requested: usage.requested.max(0.0) as u64,
            used_in_window: usage.window.sum(now) as u64,
        });
        totals.collect()
    }

    /// Returns the use of a workspace. If there is none yet, `draw` becomes
    /// the first threshold.
    fn usage_mut(
        &mut self,
        tag: WorkspaceTag,
        draw: f64,
    ) -> &mut WorkspaceUsage {
        let window_ms = self.settings.window_ms();
        self.usage.entry(tag).or_insert_with(|| WorkspaceUsage {
            used: 0.0,
            requested: 0.0,
            window: SlidingSum::new(window_ms),
            changed: Millis::default(),
            threshold: draw,
        })
    }

    /// Returns whether there are valid throttles.
    fn has_throttles(&self, now: Millis) -> bool {
        self.received.is_some_and(|at| now.since(at) < THROTTLES_VALID_MS)
    }

    /// Returns whether the limit has room for a request.
    ///
    /// After isolation, or after throttles that covered fewer gateways, the
    /// hubs have not yet received all use of that time. Until they have, the
    /// gateway's own share of the limit applies in addition to throttles.
    fn has_room(
        &mut self,
        tag: WorkspaceTag,
        limit: &UsageLimit,
        cost: f64,
        draw: f64,
        now: Millis,
    ) -> bool {
        let is_recent = now.since(self.resumed) < REPORTED_WITHIN_MS;
        let has_throttles = self.has_throttles(now);
        let by_throttle = !has_throttles || draw < self.admitted_fraction(tag);
        let applies_own_share = !has_throttles || is_recent;
        let by_own_share = !applies_own_share || {
            let threshold = self.usage_mut(tag, draw).threshold;
            self.own_remaining(tag, limit, now) >= cost * threshold
        };
        by_throttle && by_own_share
    }

    /// Returns the fraction of a workspace's requests that throttles admit.
    fn admitted_fraction(&self, tag: WorkspaceTag) -> f64 {
        let throttle = self.throttles.get(&tag);
        throttle.map_or(Fraction::ONE, |one| one.admitted).get()
    }

    /// Returns the rest of this gateway's own share in the window.
    fn own_remaining(
        &mut self,
        tag: WorkspaceTag,
        limit: &UsageLimit,
        now: Millis,
    ) -> f64 {
        let budget = self.settings.budget(limit) * self.own_share;
        let used_by_all = self.fraction_used_by_all(tag, now) * budget;
        let window = self.usage.get_mut(&tag).map(|usage| &mut usage.window);
        let used_here = window.map_or(0.0, |window| window.sum(now));
        budget - used_here.max(used_by_all)
    }

    /// Returns the fraction of its budget that a workspace had used at all
    /// gateways when the last throttles were received.
    ///
    /// When in the window the use took place is unknown, so all of it counts
    /// for one more window.
    fn fraction_used_by_all(&self, tag: WorkspaceTag, now: Millis) -> f64 {
        let window_ms = self.settings.window_ms();
        let is_recent = |at| now.since(at) < window_ms;
        let throttle = self.throttles.get(&tag);
        let throttle =
            throttle.filter(|_| self.received.is_some_and(is_recent));
        throttle.map_or(0.0, |one| one.used.get())
    }

    /// Returns the time until the own share has room for a request, in ms.
    fn own_wait_ms(
        &mut self,
        tag: WorkspaceTag,
        limit: &UsageLimit,
        cost: f64,
        now: Millis,
    ) -> u64 {
        let missing = cost - self.own_remaining(tag, limit, now);
        let window_ms = self.settings.window_ms();
        let usage = self.usage.get_mut(&tag);
        usage.map_or(window_ms, |usage| {
            usage.window.ms_until_freed(missing, now)
        })
    }
}

/// Returns the time after which to retry while a fraction of requests is
/// admitted, in ms.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn throttled_wait_ms(fraction: f64, max_ms: u64) -> u64 {
    let wait_ms = RETRY_PER_REQUEST_MS / fraction.max(f64::EPSILON);
    (wait_ms as u64).min(max_ms)
}
