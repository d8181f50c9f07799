//! Who holds a placement cell.
//!
//! The platform keeps a row with the holder and an epoch, and counts the
//! row's version up at each write. No wall clock is compared with another:
//!
//! - The holder counts its term from before it sent the renewal that took
//!   effect, and stops a margin before the term's end.
//! - A contender that has seen the row's version stand still for a whole
//!   term on its own monotonic clock may take the lease.
//!
//! A holder that was paused past its term may still believe for an instant
//! that it holds. Its writes are conditioned on the epoch's row and fail,
//! and what it still sends is covered by `crate::account`.

#[cfg(test)]
mod tests;

use serde::{Deserialize, Serialize};

use crate::{
    chart::library::{self, LeaseEvent, LeaseState},
    id::InstanceId,
    time::Millis,
};

/// The limit of the counts in a row: every reader of JSON holds them, and
/// nothing is counted as often.
pub const MAX_COUNT: u64 = 1 << 53;

/// The row of a lease in the platform.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRow {
    /// The holder; `None` once it handed the lease back.
    pub holder: Option<InstanceId>,
    /// Counts the times that the lease was taken.
    pub epoch: u64,
    /// Counts the renewals, so that every write changes the row.
    pub renewals: u64,
    /// From when on its holder, or the next one after a row that nobody
    /// holds, may give orders: in ms on the store's clock.
    #[serde(default)]
    pub orders_from: u64,
    /// Orders of its holder and those before to load models from the weight
    /// store that drew no answer, and may be carried out yet.
    #[serde(default)]
    pub lost_loads: u32,
    /// Until when, in ms on the store's clock.
    #[serde(default)]
    pub lost_until: u64,
}

impl LeaseRow {
    /// Returns whether the counts of the row can be those of a holder.
    fn is_plausible(&self) -> bool {
        self.epoch < MAX_COUNT && self.renewals < MAX_COUNT
    }
}

/// A row with the version that the platform gives it; 0 stands for no row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VersionedLease {
    /// The version on which the next write is conditioned.
    pub version: u64,
    /// The row, if there is one.
    pub row: Option<LeaseRow>,
}

/// The row of a lease in a store that may come back from an older copy.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeaseInEra {
    /// The row, and on what a write of it is conditioned in the store's era.
    pub lease: VersionedLease,
    /// Whether the store came back and the row was not written since: it is
    /// from before, or missing, and what was written later is gone.
    pub is_restored: bool,
    /// Whether the row that counts is none that a holder writes: another
    /// program replaced it, so that the holder and its epoch are unknown.
    pub is_foreign: bool,
}

impl LeaseInEra {
    /// Finds the row that counts in an era among those of all eras, each with
    /// its era and version; `first` is the version before any in this one. A
    /// row that cannot be read is `None`.
    pub fn newest(
        era: u64,
        first: u64,
        rows: impl Iterator<Item = (u64, u64, Option<LeaseRow>)>,
    ) -> Self {
        let newest = rows.filter(|one| one.0 <= era).max_by_key(|one| one.0);
        let is_restored = newest.as_ref().map_or(era > 0, |one| one.0 < era);
        let version = match &newest {
            Some((_, version, _)) if !is_restored => *version,
            _ => first,
        };
        let exists = newest.is_some();
        let row = newest.and_then(|(_, _, row)| row);
        let row = row.filter(LeaseRow::is_plausible);
        let is_foreign = exists && row.is_none();
        let lease = VersionedLease { version, row };
        Self { lease, is_restored, is_foreign }
    }
}

/// What an instance should do about the lease now.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeaseStep {
    /// Read the row.
    Read,
    /// Write `row` if the version is still `version`.
    Write {
        /// The version to condition on.
        version: u64,
        /// The row to write.
        row: LeaseRow,
        /// Whether it takes the lease, rather than renews it.
        takes: bool,
    },
}

/// How long a lease lasts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseTerms {
    /// The term, in ms.
    pub term_ms: u64,
    /// How long before the term's end the holder stops, in ms.
    pub margin_ms: u64,
    /// How long after a renewal the holder renews again, in ms.
    pub renew_after_ms: u64,
}

impl Default for LeaseTerms {
    fn default() -> Self {
        Self { term_ms: 6_000, margin_ms: 1_500, renew_after_ms: 1_500 }
    }
}

/// One instance's part in the lease of one cell.
#[derive(Debug, Clone)]
pub struct LeaseKeeper {
    me: InstanceId,
    terms: LeaseTerms,
    state: LeaseState,
    seen: Option<(VersionedLease, Millis)>,
    /// From when the current term counts.
    held_from: Millis,
    epoch: u64,
    /// Whether a row with this instance's name is free to it.
    retakes_own: bool,
    /// An epoch that its holder gave up by its own word.
    given_up: Option<u64>,
}

impl LeaseKeeper {
    /// Makes the part of an instance that has not read the row yet.
    pub fn new(me: InstanceId, terms: LeaseTerms) -> Self {
        Self {
            me,
            terms,
            state: library::lease().initial(),
            seen: None,
            held_from: Millis::default(),
            epoch: 0,
            retakes_own: false,
            given_up: None,
        }
    }

    /// Lets a restarted instance take back at once what it held before.
    ///
    /// That is right where no two processes ever bear one name at a time.
    #[must_use]
    pub fn retaking_own(mut self) -> Self {
        self.retakes_own = true;
        self
    }

    /// Takes in a holder's own word that it gave an epoch up.
    pub fn given_up(&mut self, epoch: u64) {
        self.given_up = Some(epoch);
    }

    /// Gives up what is held, without a word to the platform.
    ///
    /// Returns the epoch, which this instance will not use again.
    pub fn give_up(&mut self, now: Millis) -> Option<u64> {
        let epoch = self.held_epoch(now)?;
        self.follow(LeaseEvent::StepDown);
        self.seen = None;
        Some(epoch)
    }

    /// Returns the epoch if the lease is held at `now`.
    ///
    /// Ask right before each act under the lease, with the time read after
    /// whatever could have paused the process.
    pub fn held_epoch(&self, now: Millis) -> Option<u64> {
        let holds = self.state == LeaseState::Holding;
        (holds && now.since(self.held_from) < self.usable_ms())
            .then_some(self.epoch)
    }

    /// Returns until when the lease may be used, if its renewals stop now.
    pub fn held_until(&self) -> Millis {
        self.held_from + self.usable_ms()
    }

    /// Returns the holder that was read last.
    pub fn seen_holder(&self) -> Option<&InstanceId> {
        let (seen, _) = self.seen.as_ref()?;
        seen.row.as_ref()?.holder.as_ref()
    }

    /// Decides what to do at `now`.
    pub fn step(&mut self, now: Millis) -> LeaseStep {
        if self.state == LeaseState::Holding && self.held_epoch(now).is_none()
        {
            self.follow(LeaseEvent::MarginReached);
            self.seen = None;
        }
        match self.state {
            LeaseState::Holding => self.renewal(now),
            LeaseState::Watching => self.attempt(now),
            LeaseState::Taking => LeaseStep::Read,
        }
    }

    /// Takes in the row as it was read at `now`.
    pub fn row_read(&mut self, lease: VersionedLease, now: Millis) {
        let unchanged = self
            .seen
            .as_ref()
            .is_some_and(|(seen, _)| seen.version == lease.version);
        if unchanged {
            return;
        }
        self.follow(LeaseEvent::RowChanged);
        self.seen = Some((lease, now));
    }

    /// Takes in that a write sent at `sent` took effect.
    pub fn write_won(
        &mut self,
        written: VersionedLease,
        takes: bool,
        sent: Millis,
        now: Millis,
    ) {
        self.follow(match takes {
            true => LeaseEvent::TakeWon,
            false => LeaseEvent::RenewWon,
        });
        self.held_from = sent;
        self.epoch = written.row.as_ref().map_or(0, |row| row.epoch);
        self.seen = Some((written, now));
    }

    /// Takes in that a write found another's row.
    pub fn write_lost(&mut self, takes: bool) {
        self.follow(match takes {
            true => LeaseEvent::TakeLost,
            false => LeaseEvent::RenewLost,
        });
        self.seen = None;
    }

    /// Takes in that the row that is held has to be written anew, as the first
    /// one under another version.
    pub fn row_moved(&mut self, version: u64) {
        if let Some((lease, _)) = &mut self.seen {
            lease.version = version;
        }
    }

    /// Gives the lease up; returns the write that hands it back, if held.
    pub fn step_down(&mut self, now: Millis) -> Option<LeaseStep> {
        let held = self.held_epoch(now).is_some();
        let seen = self.seen.take();
        self.follow(LeaseEvent::StepDown);
        let (lease, _) = seen.filter(|_| held)?;
        let mut row = lease.row?;
        row.holder = None;
        row.renewals += 1;
        Some(LeaseStep::Write { version: lease.version, row, takes: false })
    }

    fn usable_ms(&self) -> u64 {
        self.terms.term_ms.saturating_sub(self.terms.margin_ms)
    }

    fn renewal(&self, now: Millis) -> LeaseStep {
        let due = now.since(self.held_from) >= self.terms.renew_after_ms;
        let Some((lease, _)) = self.seen.as_ref().filter(|_| due) else {
            return LeaseStep::Read;
        };
        let renewals = lease.row.as_ref().map_or(0, |row| row.renewals) + 1;
        let orders_from = lease.row.as_ref().map_or(0, |r| r.orders_from);
        let row = lease.row.as_ref();
        let row = LeaseRow {
            holder: Some(self.me.clone()),
            epoch: self.epoch,
            renewals,
            orders_from,
            lost_loads: row.map_or(0, |row| row.lost_loads),
            lost_until: row.map_or(0, |row| row.lost_until),
        };
        LeaseStep::Write { version: lease.version, row, takes: false }
    }

    fn attempt(&mut self, now: Millis) -> LeaseStep {
        let Some((lease, since)) = &self.seen else {
            return LeaseStep::Read;
        };
        let held = lease.row.as_ref().is_some_and(|row| {
            let own = row.holder.as_ref() == Some(&self.me);
            let is_free =
                (own && self.retakes_own) || self.given_up == Some(row.epoch);
            row.holder.is_some() && !is_free
        });
        if held && now.since(*since) < self.terms.term_ms {
            return LeaseStep::Read;
        }
        let version = lease.version;
        let row = lease.row.as_ref();
        let row = LeaseRow {
            holder: Some(self.me.clone()),
            epoch: row.map_or(0, |row| row.epoch) + 1,
            renewals: row.map_or(0, |row| row.renewals) + 1,
            orders_from: row.map_or(0, |row| row.orders_from),
            lost_loads: row.map_or(0, |row| row.lost_loads),
            lost_until: row.map_or(0, |row| row.lost_until),
        };
        self.follow(LeaseEvent::RowUnchangedForTerm);
        LeaseStep::Write { version, row, takes: true }
    }

    fn follow(&mut self, event: LeaseEvent) {
        self.state = library::lease().next(self.state, event);
    }
}
