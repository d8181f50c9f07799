//! What one gateway lets through of workspaces' requests, and what it counts.

use std::collections::BTreeMap;

use super::{LimitSettings, Part, Ruling, Rulings, SlidingSum, UsageTotal};
use crate::{
    fleet::workspace::UsageLimit,
    id::{WorkspaceId, WorkspaceTag},
    time::Millis,
};

/// For how long rulings are kept to, in ms. The foremost hub rules each 150
/// ms. A gateway that is cut off lets through by old ones for so long whatever
/// is asked of it: with 700 ms, floods that began with a cut went over the
/// limit in one of some hundred cases of a property test.
const RULINGS_KEEP_MS: u64 = 400;

/// The part of the gateways for which it was ruled just now of which another
/// one has to hear to be kept to instead.
const LEAST_PRESENT_PART: f64 = 0.8;

/// After how long without rulings a gateway was alone, in ms.
const ALONE_AFTER_MS: u64 = 1_000;

/// Within how many ms after that those that rule have heard what it let
/// through meanwhile.
const HEARD_WITHIN_MS: u64 = 450;

/// For how long a total that changed is told again, in ms: the datagrams that
/// carry it may be lost.
const TELL_FOR_MS: u64 = 1_200;

/// The least time after which a caller is asked to come back, in ms.
const LEAST_WAIT_MS: u64 = 500;

/// In how many ms a caller comes back while one of all requests in so many is
/// let through: as many times this as requests are asked for each one.
const WAIT_FOR_ONE_MS: f64 = 1_000.0;

/// A workspace's limit is used up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LimitReached {
    /// In how many ms there will be room for a request, as far as it can be
    /// told.
    pub come_back_ms: u64,
}

/// What one gateway lets through of workspaces' requests.
#[derive(Debug, Clone)]
pub struct UsageMeter {
    settings: LimitSettings,
    own: BTreeMap<WorkspaceTag, OwnUsage>,
    rulings: BTreeMap<WorkspaceTag, Ruling>,
    ruled: Option<Millis>,
    /// For how many gateways it was ruled.
    ruled_for: u32,
    /// Since when rulings have come again after none had for a while, or for
    /// more gateways than before.
    ruled_again: Millis,
    /// The part of each limit that this gateway may use by itself.
    own_part: f64,
}

/// What this gateway let through of one workspace's requests.
#[derive(Debug, Clone)]
struct OwnUsage {
    used: f64,
    asked: f64,
    window: SlidingSum,
    changed: Millis,
    /// Which part of what the next request counts as has to be left for it
    /// while no rulings come. A request is let through whole or not at all; of
    /// many gateways with thresholds of their own, as many let one through as
    /// their parts together allow.
    threshold: f64,
}

impl UsageMeter {
    /// Makes the meter of a gateway that has let nothing through.
    pub fn new(settings: LimitSettings) -> Self {
        let own_part = 1.0 / f64::from(settings.instances.max(1));
        Self {
            settings,
            own: BTreeMap::new(),
            rulings: BTreeMap::new(),
            ruled: None,
            ruled_for: 0,
            ruled_again: Millis::default(),
            own_part,
        }
    }

    /// Takes in which part of each limit this gateway may use while no rulings
    /// come.
    pub fn set_own_part(&mut self, own_part: f64) {
        self.own_part = own_part;
    }

    /// Takes in rulings, but for those of one that hears far fewer gateways
    /// than another one that ruled just now: one that was paused or cut off
    /// for a while rules for the few that it hears again.
    pub fn rule(&mut self, rulings: &Rulings, now: Millis) {
        let is_lesser = f64::from(rulings.present)
            < f64::from(self.ruled_for) * LEAST_PRESENT_PART;
        let is_recent = |at| now.since(at) < ALONE_AFTER_MS;
        if is_lesser && self.ruled.is_some_and(is_recent) {
            return;
        }
        let by_workspace = rulings.workspaces.iter();
        self.rulings = by_workspace.map(|one| (one.workspace, *one)).collect();
        let is_late = |at| now.since(at) >= ALONE_AFTER_MS;
        let has_grown = f64::from(self.ruled_for)
            < f64::from(rulings.present) * LEAST_PRESENT_PART;
        if has_grown || self.ruled.is_none_or(is_late) {
            self.ruled_again = now;
        }
        self.ruled_for = rulings.present;
        self.ruled = Some(now);
    }

    /// Lets a request through, or not. `cost` is what it counts as, `draw` a
    /// number from 0 to 1 that the caller drew.
    ///
    /// # Errors
    ///
    /// If the workspace's limit is used up.
    pub fn let_through(
        &mut self,
        workspace: &WorkspaceId,
        limit: &UsageLimit,
        cost: f64,
        draw: f64,
        now: Millis,
    ) -> Result<(), LimitReached> {
        let tag = workspace.tag();
        let is_through = self.has_room(tag, limit, cost, draw, now);
        // Of draws that were let through by a part, each is as likely again
        // once divided by it.
        let part = match self.is_ruled(now) {
            true => self.ruled_part(tag),
            false => 1.0,
        };
        let own = self.usage(tag, draw);
        own.asked += cost;
        own.changed = now;
        if is_through {
            own.used += cost;
            own.window.add(cost, now);
            own.threshold = draw / part;
            return Ok(());
        }
        let window_ms = self.settings.window_ms();
        let wait_ms = match self.is_ruled(now) {
            true => ruled_wait_ms(self.ruled_part(tag), window_ms),
            false => self.own_wait_ms(tag, limit, cost, now),
        };
        let come_back_ms = wait_ms.max(LEAST_WAIT_MS);
        Err(LimitReached { come_back_ms })
    }

    /// Gives back what a request was counted as that did not run.
    pub fn give_back(
        &mut self,
        workspace: &WorkspaceId,
        cost: f64,
        now: Millis,
    ) {
        let Some(own) = self.own.get_mut(&workspace.tag()) else { return };
        own.used -= cost;
        own.asked -= cost;
        own.window.add(-cost, now);
        own.changed = now;
    }

    /// Returns the totals that changed lately.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    pub fn news(&mut self, now: Millis) -> Vec<UsageTotal> {
        let is_new = |own: &OwnUsage| now.since(own.changed) < TELL_FOR_MS;
        let changed = self.own.iter_mut().filter(|(_, own)| is_new(own));
        let totals = changed.map(|(workspace, own)| UsageTotal {
            workspace: *workspace,
            used: own.used.max(0.0) as u64,
            asked: own.asked.max(0.0) as u64,
            lately: own.window.sum(now) as u64,
        });
        totals.collect()
    }

    /// Returns what is kept of a workspace; `draw` is a number from 0 to 1
    /// for one of which nothing is kept yet.
    fn usage(&mut self, tag: WorkspaceTag, draw: f64) -> &mut OwnUsage {
        let window_ms = self.settings.window_ms();
        self.own.entry(tag).or_insert_with(|| OwnUsage {
            used: 0.0,
            asked: 0.0,
            window: SlidingSum::new(window_ms),
            changed: Millis::default(),
            threshold: draw,
        })
    }

    fn is_ruled(&self, now: Millis) -> bool {
        self.ruled.is_some_and(|at| now.since(at) < RULINGS_KEEP_MS)
    }

    /// Tells whether there is room for a request.
    ///
    /// Whoever rules has to hear first what gateways let through that were
    /// alone, or ruled apart: until then they keep to their own parts as well.
    fn has_room(
        &mut self,
        tag: WorkspaceTag,
        limit: &UsageLimit,
        cost: f64,
        draw: f64,
        now: Millis,
    ) -> bool {
        let is_new = now.since(self.ruled_again) < HEARD_WITHIN_MS;
        let is_ruled = self.is_ruled(now);
        let by_ruling = !is_ruled || draw < self.ruled_part(tag);
        let keeps_to_own = !is_ruled || is_new;
        let by_own = !keeps_to_own || {
            let threshold = self.usage(tag, draw).threshold;
            self.own_left(tag, limit, now) >= cost * threshold
        };
        by_ruling && by_own
    }

    fn ruled_part(&self, tag: WorkspaceTag) -> f64 {
        let ruling = self.rulings.get(&tag);
        ruling.map_or(Part::WHOLE, |one| one.let_through).get()
    }

    /// Returns what is left in this window of this gateway's part.
    fn own_left(
        &mut self,
        tag: WorkspaceTag,
        limit: &UsageLimit,
        now: Millis,
    ) -> f64 {
        let budget = self.settings.budget(limit) * self.own_part;
        let by_all = self.used_by_all(tag, now) * budget;
        let window = self.own.get_mut(&tag).map(|own| &mut own.window);
        let by_own = window.map_or(0.0, |window| window.sum(now));
        budget - by_own.max(by_all)
    }

    /// Returns the part of its budget that a workspace had used when rulings
    /// stopped. Nothing tells when in the window that was, so all of it counts
    /// for a whole window more.
    fn used_by_all(&self, tag: WorkspaceTag, now: Millis) -> f64 {
        let window_ms = self.settings.window_ms();
        let is_recent = |at| now.since(at) < window_ms;
        let ruling = self.rulings.get(&tag);
        let ruling = ruling.filter(|_| self.ruled.is_some_and(is_recent));
        ruling.map_or(0.0, |one| one.used.get())
    }

    fn own_wait_ms(
        &mut self,
        tag: WorkspaceTag,
        limit: &UsageLimit,
        cost: f64,
        now: Millis,
    ) -> u64 {
        let missing = cost - self.own_left(tag, limit, now);
        let window_ms = self.settings.window_ms();
        let own = self.own.get_mut(&tag);
        own.map_or(window_ms, |own| own.window.falls_by(missing, now))
    }
}

/// Returns in how many ms to come back while such a part is let through.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn ruled_wait_ms(part: f64, longest_ms: u64) -> u64 {
    let wait_ms = WAIT_FOR_ONE_MS / part.max(f64::EPSILON);
    (wait_ms as u64).min(longest_ms)
}
