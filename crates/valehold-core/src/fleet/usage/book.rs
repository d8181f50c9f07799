//! The sum of what gateways let through, and what is ruled by it.

use std::collections::BTreeMap;

use super::{LimitSettings, Part, Ruling, SlidingSum, UsageTotal};
use crate::{
    fleet::workspace::{UsageLimit, Workspaces},
    id::{InstanceId, WorkspaceTag},
    time::Millis,
};

/// After how long of silence what a gateway let through meanwhile counts for
/// nothing here, in ms: it kept to its own part.
const SILENT_MS: u64 = 1_300;

/// Over how many ms what is asked for is smoothed, and over how many for a
/// workspace that is near its limit: a flood must be seen at once there.
const SMOOTHED_MS: f64 = 600.0;
const SMOOTHED_NEAR_LIMIT_MS: f64 = 150.0;

/// From which part of its budget on a workspace is near its limit.
const NEAR_LIMIT: f64 = 0.8;

/// How long it takes from a request at one gateway until all are ruled by it,
/// at the most where no datagram is lost, in ms: two tellings, and a hub that
/// is busy.
const LAG_MS: f64 = 400.0;

/// Within how many ms what is left for peaks is brought to its aim.
const RESTORE_MS: f64 = 1_000.0;

/// After how long without passing of time a book's keeper was frozen, in ms,
/// and for how long it hears then what it was told meanwhile.
const FROZEN_MS: u64 = 1_000;
const CATCHES_UP_MS: u64 = 400;

/// The part of what may be used in a peak that is kept free.
const KEPT_FREE: f64 = 0.1;

/// The part of a budget from which on a workspace is ruled.
const RULED_FROM: f64 = 0.25;

/// Rulings that let less than this through say so.
const NEARLY_WHOLE: f64 = 0.998;

/// Who tells totals: one start of one gateway.
#[derive(Debug, Clone)]
struct Teller {
    start: u64,
    totals: BTreeMap<WorkspaceTag, UsageTotal>,
    heard: Millis,
}

/// What is known of one workspace.
#[derive(Debug, Clone)]
struct Account {
    /// What may still be used at once; below 0 where too much was.
    left: f64,
    /// What is asked for a second, smoothed, and hardly smoothed.
    asked_rate: f64,
    asked_lately: f64,
    /// What was asked for since time passed last.
    newly_asked: f64,
    /// What all let through.
    window: SlidingSum,
    /// What the gateways of this book's group let through, and its totals.
    group_window: SlidingSum,
    used: f64,
    asked: f64,
    changed: Millis,
}

/// The sum of what gateways let through.
#[derive(Debug, Clone)]
pub struct UsageBook {
    settings: LimitSettings,
    tellers: BTreeMap<InstanceId, Teller>,
    accounts: BTreeMap<WorkspaceTag, Account>,
    passed: Millis,
    /// Until when what is told is left out: it is what was told to a keeper
    /// that was frozen, seconds of use at once.
    catches_up_until: Millis,
}

/// Whose totals are told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Whose {
    /// Those of a gateway of this book's group.
    Member,
    /// The sums of another group.
    OtherGroup,
}

impl UsageBook {
    /// Opens a book.
    pub fn new(settings: LimitSettings, now: Millis) -> Self {
        Self {
            settings,
            tellers: BTreeMap::new(),
            accounts: BTreeMap::new(),
            passed: now,
            catches_up_until: now,
        }
    }

    /// Takes in totals; `start` tells the starts of their teller apart.
    ///
    /// Of a teller that is new, or was silent, what it let through before
    /// counts as use of the last window alone: it kept to its own part.
    pub fn hear(
        &mut self,
        teller: &InstanceId,
        start: u64,
        totals: &[UsageTotal],
        whose: Whose,
        now: Millis,
    ) {
        let is_frozen = now.since(self.passed) >= FROZEN_MS;
        if is_frozen || now < self.catches_up_until {
            return;
        }
        let known = self.tellers.get_mut(teller).filter(|known| {
            known.start == start && now.since(known.heard) < SILENT_MS
        });
        let Some(known) = known else {
            for total in totals {
                self.count_lately(*total, whose, now);
            }
            let totals = totals.iter().map(|one| (one.workspace, *one));
            let heard = Teller { start, totals: totals.collect(), heard: now };
            self.tellers.insert(teller.clone(), heard);
            return;
        };
        known.heard = now;
        let mut news = Vec::new();
        for total in totals {
            let before = known.totals.insert(total.workspace, *total);
            news.push((*total, before));
        }
        for (total, before) in news {
            self.hear_total(total, before, whose, now);
        }
    }

    fn hear_total(
        &mut self,
        total: UsageTotal,
        before: Option<UsageTotal>,
        whose: Whose,
        now: Millis,
    ) {
        // One that was not told of before may have been used long before this
        // book heard its teller, unless all of its use is in the window.
        let is_first = before.is_none();
        if is_first && total.used != total.lately {
            self.count_lately(total, whose, now);
            return;
        }
        let (used, asked) = before.map_or((0, 0), |one| (one.used, one.asked));
        let used = difference(total.used, used);
        let asked = difference(total.asked, asked);
        self.count(total.workspace, used, asked, whose, now);
    }

    fn count(
        &mut self,
        workspace: WorkspaceTag,
        used: f64,
        asked: f64,
        whose: Whose,
        now: Millis,
    ) {
        let account = self.account(workspace, now);
        account.left -= used;
        account.newly_asked += asked;
        account.window.add(used, now);
        if whose == Whose::Member && (used != 0.0 || asked != 0.0) {
            account.group_window.add(used, now);
            account.used += used;
            account.asked += asked;
            account.changed = now;
        }
    }

    #[allow(clippy::cast_precision_loss)]
    fn count_lately(&mut self, total: UsageTotal, whose: Whose, now: Millis) {
        let lately = total.lately as f64;
        let account = self.account(total.workspace, now);
        account.window.add(lately, now);
        if whose == Whose::Member {
            account.group_window.add(lately, now);
        }
    }

    fn account(
        &mut self,
        workspace: WorkspaceTag,
        now: Millis,
    ) -> &mut Account {
        let window_ms = self.settings.window_ms();
        self.accounts.entry(workspace).or_insert_with(|| Account {
            left: 0.0,
            asked_rate: 0.0,
            asked_lately: 0.0,
            newly_asked: 0.0,
            window: SlidingSum::new(window_ms),
            group_window: SlidingSum::new(window_ms),
            used: 0.0,
            asked: 0.0,
            changed: now,
        })
    }

    /// Tells whether it left out what it was told just now, and so knows too
    /// little to rule.
    pub fn catches_up(&self, now: Millis) -> bool {
        now < self.catches_up_until
    }

    /// Lets time pass. `part` is the part of each limit that the gateways
    /// whose totals are here may use.
    pub fn pass(&mut self, workspaces: &Workspaces, part: f64, now: Millis) {
        let passed_ms = now.since(self.passed);
        if passed_ms == 0 {
            return;
        }
        self.passed = now;
        if passed_ms >= FROZEN_MS {
            self.catches_up_until = now + CATCHES_UP_MS;
            self.tellers.clear();
        }
        let young = |one: &Teller| now.since(one.heard) < SILENT_MS;
        self.tellers.retain(|_, teller| young(teller));
        let limits = limits_by_tag(workspaces);
        self.accounts.retain(|tag, _| limits.contains_key(tag));
        for (tag, account) in &mut self.accounts {
            let Some(limit) = limits.get(tag) else { continue };
            #[allow(clippy::cast_precision_loss)]
            account.pass(passed_ms as f64, limit, part, &self.settings);
        }
    }

    /// Returns what is ruled.
    pub fn rule(
        &mut self,
        workspaces: &Workspaces,
        part: f64,
        now: Millis,
    ) -> Vec<Ruling> {
        let limits = limits_by_tag(workspaces);
        let mut rulings = Vec::new();
        for (tag, account) in &mut self.accounts {
            let Some(limit) = limits.get(tag) else { continue };
            let sum = account.window.sum(now);
            let through =
                account.let_through(sum, limit, part, &self.settings);
            let budget = self.settings.budget(limit) * part;
            let used = sum / budget.max(f64::EPSILON);
            if through < NEARLY_WHOLE || used >= RULED_FROM {
                rulings.push(Ruling {
                    workspace: *tag,
                    let_through: Part::new(through),
                    used: Part::new(used),
                });
            }
        }
        rulings
    }

    /// Returns the totals of this book's own group that changed within some
    /// ms.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    pub fn group_news(
        &mut self,
        within_ms: u64,
        now: Millis,
    ) -> Vec<UsageTotal> {
        let changed = self.accounts.iter_mut().filter(|(_, account)| {
            now.since(account.changed) < within_ms && account.asked > 0.0
        });
        let totals = changed.map(|(workspace, account)| UsageTotal {
            workspace: *workspace,
            used: account.used.max(0.0) as u64,
            asked: account.asked as u64,
            lately: account.group_window.sum(now) as u64,
        });
        totals.collect()
    }
}

impl Account {
    fn pass(
        &mut self,
        passed_ms: f64,
        limit: &UsageLimit,
        part: f64,
        settings: &LimitSettings,
    ) {
        let passed_s = passed_ms / 1_000.0;
        let most = settings.peak(limit) * part;
        self.left += settings.even_rate(limit) * part * passed_s;
        self.left = self.left.min(most);
        let rate = self.newly_asked.max(0.0) / passed_s;
        let smooth = |before: f64, over_ms: f64| {
            let kept = (-passed_ms / over_ms).exp();
            before * kept + rate * (1.0 - kept)
        };
        self.asked_rate = smooth(self.asked_rate, SMOOTHED_MS);
        self.asked_lately = smooth(self.asked_lately, SMOOTHED_NEAR_LIMIT_MS);
        self.newly_asked = 0.0;
    }

    /// Returns the part of requests to let through: all while what is left
    /// outlasts what is asked for and not known yet, else so that what is
    /// let through is what comes in, and what is left comes to its aim. `sum`
    /// is what was used in the last window.
    fn let_through(
        &self,
        sum: f64,
        limit: &UsageLimit,
        part: f64,
        settings: &LimitSettings,
    ) -> f64 {
        if sum >= settings.stop(limit) * part {
            return 0.0;
        }
        let in_window = settings.most_with_peak(limit) * part - sum;
        let left = self.left.min(in_window);
        let aim = settings.peak(limit) * part * KEPT_FREE;
        let is_near = sum >= settings.budget(limit) * part * NEAR_LIMIT;
        let asked_rate = match is_near {
            true => self.asked_rate.max(self.asked_lately),
            false => self.asked_rate,
        };
        let unknown = asked_rate * LAG_MS / 1_000.0;
        if left >= unknown + aim {
            return 1.0;
        }
        let comes_in = settings.even_rate(limit) * part;
        let spare = (left - aim) / (RESTORE_MS / 1_000.0);
        let through = (comes_in + spare) / asked_rate.max(f64::EPSILON);
        through.clamp(0.0, 1.0)
    }
}

fn limits_by_tag(
    workspaces: &Workspaces,
) -> BTreeMap<WorkspaceTag, UsageLimit> {
    let limited = workspaces.iter().filter_map(|one| {
        let limit = one.limit?;
        Some((one.name.tag(), limit))
    });
    limited.collect()
}

/// Returns by how much a total has grown; below 0 if it fell, where requests
/// that were counted did not run.
#[allow(clippy::cast_precision_loss)]
fn difference(after: u64, before: u64) -> f64 {
    match after >= before {
        true => (after - before) as f64,
        false => -((before - after) as f64),
    }
}
