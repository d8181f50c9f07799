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

/// The row of a lease in the platform.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRow {
    /// The holder; `None` once it handed the lease back.
    pub holder: Option<InstanceId>,
    /// Counts the times that the lease was taken.
    pub epoch: u64,
    /// Counts the renewals, so that every write changes the row.
    pub renewals: u64,
}

/// A row with the version that the platform gives it; 0 stands for no row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VersionedLease {
    /// The version on which the next write is conditioned.
    pub version: u64,
    /// The row, if there is one.
    pub row: Option<LeaseRow>,
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
        }
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
        let row = LeaseRow {
            holder: Some(self.me.clone()),
            epoch: self.epoch,
            renewals,
        };
        LeaseStep::Write { version: lease.version, row, takes: false }
    }

    fn attempt(&mut self, now: Millis) -> LeaseStep {
        let Some((lease, since)) = &self.seen else {
            return LeaseStep::Read;
        };
        let held = lease.row.as_ref().is_some_and(|row| {
            // What this start of this instance let lapse, and nobody took
            // since, it may take back at once.
            let own = row.holder.as_ref() == Some(&self.me)
                && row.epoch == self.epoch;
            row.holder.is_some() && !own
        });
        if held && now.since(*since) < self.terms.term_ms {
            return LeaseStep::Read;
        }
        let version = lease.version;
        let (epoch, renewals) =
            lease.row.as_ref().map_or((0, 0), |r| (r.epoch, r.renewals));
        let row = LeaseRow {
            holder: Some(self.me.clone()),
            epoch: epoch + 1,
            renewals: renewals + 1,
        };
        self.follow(LeaseEvent::RowUnchangedForTerm);
        LeaseStep::Write { version, row, takes: true }
    }

    fn follow(&mut self, event: LeaseEvent) {
        self.state = library::lease().next(self.state, event);
    }
}
