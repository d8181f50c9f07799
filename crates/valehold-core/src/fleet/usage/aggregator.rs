//! The usage totals of all gateways, and the throttles computed from them.

use std::collections::BTreeMap;

use super::{Fraction, LimitSettings, SlidingSum, Throttle, UsageTotal};
use crate::{
    fleet::workspace::{UsageLimit, Workspaces},
    id::{InstanceId, WorkspaceTag},
    time::Millis,
};

/// How long after its last report a gateway counts as silent, in ms.
///
/// A silent gateway keeps to its own share of each limit, so the use that it
/// reports afterwards is not counted against the remaining allowance.
const SILENT_AFTER_MS: u64 = 1_300;

/// Time constant of the smoothed request rate, in ms.
const SMOOTHING_MS: f64 = 600.0;

/// Time constant of the request rate of a workspace that is near its limit, in
/// ms. A flood must show in that rate at once.
const SMOOTHING_NEAR_LIMIT_MS: f64 = 150.0;

/// The fraction of its budget from which a workspace is near its limit.
const NEAR_LIMIT: f64 = 0.8;

/// The maximum time from a request at one gateway until the throttles at all
/// gateways reflect it, in ms, if no datagram is lost: two reporting
/// intervals, and the delay of a busy hub.
const LAG_MS: f64 = 400.0;

/// The time within which throttles bring the remaining allowance back to its
/// target, in ms.
const RESTORE_MS: f64 = 1_000.0;

/// How long an aggregator must not have advanced for its process to count as
/// frozen, in ms.
const FROZEN_MS: u64 = 1_000;

/// How long after a freeze the reports that queued up meanwhile arrive, in ms.
const CATCH_UP_MS: u64 = 400;

/// The fraction of the peak allowance that throttles keep in reserve.
const RESERVED_FRACTION: f64 = 0.1;

/// The fraction of its budget from which a workspace has a throttle even if
/// all requests are admitted, so that gateways know its use if throttles stop.
const THROTTLED_FROM: f64 = 0.25;

/// A workspace of which less than this fraction is admitted has a throttle.
const NEARLY_ALL: f64 = 0.998;

/// The reports of one start of a gateway.
#[derive(Debug, Clone)]
struct Reporter {
    /// Differs for each start of the gateway.
    start: u64,
    /// The last reported total of each workspace.
    totals: BTreeMap<WorkspaceTag, UsageTotal>,
    /// When the last report was received.
    received: Millis,
}

/// The use of one workspace.
#[derive(Debug, Clone)]
struct Account {
    /// The remaining allowance; below 0 if too much was used.
    remaining: f64,
    /// The requested cost per second, smoothed over `SMOOTHING_MS`.
    requested_rate: f64,
    /// The requested cost per second, smoothed over `SMOOTHING_NEAR_LIMIT_MS`.
    recent_rate: f64,
    /// The requested cost since the account last advanced.
    newly_requested: f64,
    /// The admitted cost at all gateways.
    window: SlidingSum,
    /// The admitted cost at the gateways of this aggregator's group.
    group_window: SlidingSum,
    /// The group's total of admitted cost.
    used: f64,
    /// The group's total of requested cost.
    requested: f64,
    /// When the group's totals last changed.
    changed: Millis,
}

/// Adds up the usage totals of gateways and computes throttles from the sums.
#[derive(Debug, Clone)]
pub struct UsageAggregator {
    settings: LimitSettings,
    reporters: BTreeMap<InstanceId, Reporter>,
    accounts: BTreeMap<WorkspaceTag, Account>,
    /// The time to which the accounts have advanced.
    advanced: Millis,
    /// Until when reports are ignored after the process was frozen. They
    /// queued up meanwhile and would count seconds of use at once.
    catch_up_until: Millis,
}

/// The gateways whose use a report states.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReportScope {
    /// One gateway of this aggregator's group.
    Member,
    /// The sums over another group.
    OtherGroup,
}

impl UsageAggregator {
    /// Creates an empty aggregator.
    pub fn new(settings: LimitSettings, now: Millis) -> Self {
        Self {
            settings,
            reporters: BTreeMap::new(),
            accounts: BTreeMap::new(),
            advanced: now,
            catch_up_until: now,
        }
    }

    /// Receives a report of totals. `start` differs for each start of the
    /// reporter.
    ///
    /// Earlier use of a reporter that is new, or was silent, counts only as
    /// use in the last window: it kept to its own share of each limit.
    pub fn receive(
        &mut self,
        reporter: &InstanceId,
        start: u64,
        totals: &[UsageTotal],
        scope: ReportScope,
        now: Millis,
    ) {
        let is_frozen = now.since(self.advanced) >= FROZEN_MS;
        if is_frozen || now < self.catch_up_until {
            return;
        }
        let state = self.reporters.get_mut(reporter).filter(|state| {
            state.start == start && now.since(state.received) < SILENT_AFTER_MS
        });
        let Some(state) = state else {
            for total in totals {
                self.add_in_window(*total, scope, now);
            }
            let totals = totals.iter().map(|one| (one.workspace, *one));
            let state =
                Reporter { start, totals: totals.collect(), received: now };
            self.reporters.insert(reporter.clone(), state);
            return;
        };
        state.received = now;
        let mut updates = Vec::new();
        for total in totals {
            let before = state.totals.insert(total.workspace, *total);
            updates.push((*total, before));
        }
        for (total, before) in updates {
            self.receive_total(total, before, scope, now);
        }
    }

    /// Counts the growth of one total since the report before.
    fn receive_total(
        &mut self,
        total: UsageTotal,
        before: Option<UsageTotal>,
        scope: ReportScope,
        now: Millis,
    ) {
        // A workspace that is new in this reporter's totals may have been used
        // long before this aggregator received them, unless all of its use is
        // in the window.
        let is_first = before.is_none();
        if is_first && total.used != total.used_in_window {
            self.add_in_window(total, scope, now);
            return;
        }
        let (used, requested) =
            before.map_or((0, 0), |one| (one.used, one.requested));
        let used = difference(total.used, used);
        let requested = difference(total.requested, requested);
        self.add(total.workspace, used, requested, scope, now);
    }

    /// Counts use against the allowance, the windows and the group's totals.
    fn add(
        &mut self,
        workspace: WorkspaceTag,
        used: f64,
        requested: f64,
        scope: ReportScope,
        now: Millis,
    ) {
        let account = self.account(workspace, now);
        account.remaining -= used;
        account.newly_requested += requested;
        account.window.add(used, now);
        if scope == ReportScope::Member && (used != 0.0 || requested != 0.0) {
            account.group_window.add(used, now);
            account.used += used;
            account.requested += requested;
            account.changed = now;
        }
    }

    /// Counts the use in the last window only.
    #[allow(clippy::cast_precision_loss)]
    fn add_in_window(
        &mut self,
        total: UsageTotal,
        scope: ReportScope,
        now: Millis,
    ) {
        let used_in_window = total.used_in_window as f64;
        let account = self.account(total.workspace, now);
        account.window.add(used_in_window, now);
        if scope == ReportScope::Member {
            account.group_window.add(used_in_window, now);
        }
    }

    fn account(
        &mut self,
        workspace: WorkspaceTag,
        now: Millis,
    ) -> &mut Account {
        let window_ms = self.settings.window_ms();
        self.accounts.entry(workspace).or_insert_with(|| Account {
            remaining: 0.0,
            requested_rate: 0.0,
            recent_rate: 0.0,
            newly_requested: 0.0,
            window: SlidingSum::new(window_ms),
            group_window: SlidingSum::new(window_ms),
            used: 0.0,
            requested: 0.0,
            changed: now,
        })
    }

    /// Returns whether reports are being ignored after the process was frozen,
    /// so that the aggregator knows too little to compute throttles.
    pub fn is_catching_up(&self, now: Millis) -> bool {
        now < self.catch_up_until
    }

    /// Advances all accounts to `now`. `share` is the fraction of each limit
    /// that the gateways which report to this aggregator may use.
    pub fn advance(
        &mut self,
        workspaces: &Workspaces,
        share: f64,
        now: Millis,
    ) {
        let elapsed_ms = now.since(self.advanced);
        if elapsed_ms == 0 {
            return;
        }
        self.advanced = now;
        if elapsed_ms >= FROZEN_MS {
            self.catch_up_until = now + CATCH_UP_MS;
            self.reporters.clear();
        }
        let is_live =
            |one: &Reporter| now.since(one.received) < SILENT_AFTER_MS;
        self.reporters.retain(|_, reporter| is_live(reporter));
        let limits = limits_by_tag(workspaces);
        self.accounts.retain(|tag, _| limits.contains_key(tag));
        for (tag, account) in &mut self.accounts {
            let Some(limit) = limits.get(tag) else { continue };
            #[allow(clippy::cast_precision_loss)]
            account.advance(elapsed_ms as f64, limit, share, &self.settings);
        }
    }

    /// Returns the throttles of the workspaces that need one. `share` is the
    /// same fraction as for [`Self::advance`].
    pub fn throttles(
        &mut self,
        workspaces: &Workspaces,
        share: f64,
        now: Millis,
    ) -> Vec<Throttle> {
        let limits = limits_by_tag(workspaces);
        let mut throttles = Vec::new();
        for (tag, account) in &mut self.accounts {
            let Some(limit) = limits.get(tag) else { continue };
            let sum = account.window.sum(now);
            let admitted =
                account.admitted_fraction(sum, limit, share, &self.settings);
            let budget = self.settings.budget(limit) * share;
            let used = sum / budget.max(f64::EPSILON);
            if admitted < NEARLY_ALL || used >= THROTTLED_FROM {
                throttles.push(Throttle {
                    workspace: *tag,
                    admitted: Fraction::new(admitted),
                    used: Fraction::new(used),
                });
            }
        }
        throttles
    }

    /// Returns the totals of this aggregator's own group that changed within
    /// the last `within_ms`.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    pub fn changed_group_totals(
        &mut self,
        within_ms: u64,
        now: Millis,
    ) -> Vec<UsageTotal> {
        let changed = self.accounts.iter_mut().filter(|(_, account)| {
            now.since(account.changed) < within_ms && account.requested > 0.0
        });
        let totals = changed.map(|(workspace, account)| UsageTotal {
            workspace: *workspace,
            used: account.used.max(0.0) as u64,
            requested: account.requested as u64,
            used_in_window: account.group_window.sum(now) as u64,
        });
        totals.collect()
    }
}

impl Account {
    /// Adds the allowance of the elapsed time, and updates the request rates.
    fn advance(
        &mut self,
        elapsed_ms: f64,
        limit: &UsageLimit,
        share: f64,
        settings: &LimitSettings,
    ) {
        let elapsed_s = elapsed_ms / 1_000.0;
        let max = settings.peak_allowance(limit) * share;
        self.remaining += settings.even_rate(limit) * share * elapsed_s;
        self.remaining = self.remaining.min(max);
        let rate = self.newly_requested.max(0.0) / elapsed_s;
        let smooth = |before: f64, over_ms: f64| {
            let kept = (-elapsed_ms / over_ms).exp();
            before * kept + rate * (1.0 - kept)
        };
        self.requested_rate = smooth(self.requested_rate, SMOOTHING_MS);
        self.recent_rate = smooth(self.recent_rate, SMOOTHING_NEAR_LIMIT_MS);
        self.newly_requested = 0.0;
    }

    /// Returns the fraction of requests to admit. `sum` is the use in the last
    /// window.
    ///
    /// All requests are admitted while the remaining allowance covers the use
    /// that is not reported yet. Otherwise the admitted cost matches the even
    /// rate, corrected so that the remaining allowance returns to its target.
    fn admitted_fraction(
        &self,
        sum: f64,
        limit: &UsageLimit,
        share: f64,
        settings: &LimitSettings,
    ) -> f64 {
        if sum >= settings.stop_threshold(limit) * share {
            return 0.0;
        }
        let remaining_in_window = settings.max_with_peak(limit) * share - sum;
        let remaining = self.remaining.min(remaining_in_window);
        let target =
            settings.peak_allowance(limit) * share * RESERVED_FRACTION;
        let is_near_limit = sum >= settings.budget(limit) * share * NEAR_LIMIT;
        let requested_rate = match is_near_limit {
            true => self.requested_rate.max(self.recent_rate),
            false => self.requested_rate,
        };
        let unreported = requested_rate * LAG_MS / 1_000.0;
        if remaining >= unreported + target {
            return 1.0;
        }
        let even_rate = settings.even_rate(limit) * share;
        let spare = (remaining - target) / (RESTORE_MS / 1_000.0);
        let admitted = (even_rate + spare) / requested_rate.max(f64::EPSILON);
        admitted.clamp(0.0, 1.0)
    }
}

/// Returns the limit of each workspace that has one.
fn limits_by_tag(
    workspaces: &Workspaces,
) -> BTreeMap<WorkspaceTag, UsageLimit> {
    let limited = workspaces.iter().filter_map(|one| {
        let limit = one.limit?;
        Some((one.name.tag(), limit))
    });
    limited.collect()
}

/// Returns the growth of a total. It is below 0 if requests that were counted
/// did not run.
#[allow(clippy::cast_precision_loss)]
fn difference(after: u64, before: u64) -> f64 {
    match after >= before {
        true => (after - before) as f64,
        false => -((before - after) as f64),
    }
}
