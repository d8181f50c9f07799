//! Holding the lease under which models are placed.
//!
//! Engines do not check fences, so a new holder keeps quiet until whatever
//! the old one sent has arrived and the bound between holders has passed.
//! From when on orders may be given stands in the row, on the store's clock,
//! so that a machine that held the lease before it restarted goes on at once.
//!
//! A holder that cannot reach the store while others can gives the lease up
//! by its own word, and another need not wait for its term to end.
//!
//! When the store comes back from an older copy, whoever holds the lease writes
//! its row anew. Where nobody does, nobody knows whether another took it by a
//! write that is gone: it is taken a whole term after that was heard.

#[cfg(test)]
mod tests;

use std::sync::Arc;

use tokio::sync::mpsc;
use valehold_core::{
    Millis,
    fleet::{
        StoreVersion,
        weight_loads::{InheritedLoads, LostLoads},
    },
    id::InstanceId,
    lease::{
        LeaseInEra, LeaseKeeper, LeaseRow, LeaseStep, LeaseTerms,
        VersionedLease,
    },
};
use valehold_ports::{
    PortError,
    port::fleet::{FleetStore, LeaseSight, LeaseWrite},
};

use super::input::{Input, SentLease};
use crate::{
    events::Event,
    peers::message::{LeaseRumour, LeaseWord},
};

/// The lease's terms: contenders wait for the whole term, a holder stops
/// well before.
const TERMS: LeaseTerms =
    LeaseTerms { term_ms: 3_600, margin_ms: 600, renew_after_ms: 700 };

/// How long an order may be on its way, in ms.
const ORDER_FLIGHT_MS: u64 = 800;

/// By how much two readings of the store's clock may differ, in ms.
const CLOCK_SLACK_MS: u64 = 500;

/// How long a gateway waits between two calls about the lease, in ms.
const CALL_EVERY_MS: u64 = 250;

/// Of how many places each adds such a wait between the calls of a gateway
/// that contends for the lease: those further down wait for those before.
const PLACES_EACH_WAIT: u64 = 2;

/// How long nobody may be heard to hold the lease before the first gateway
/// contends for it, in ms.
const VACANT_MS: u64 = 100;

/// How much longer each further gateway waits, in ms.
const VACANT_EACH_MS: u64 = 250;

/// After how long without a renewal a holder gives up what others could
/// hold, in ms.
const GIVE_UP_AFTER_MS: u64 = 1_500;

/// The epochs of an era of the store begin at so many times its number: those
/// that were given out in writes that are gone are not given out again.
const EPOCHS_IN_ERA: u64 = 1 << 20;

/// What other gateways say.
#[derive(Debug, Clone, Copy)]
pub(super) struct Around {
    /// Whether another one is heard to hold the lease.
    pub(super) holder_heard: bool,
    /// Whether another one hears the store.
    pub(super) store_heard: bool,
    /// This gateway's place among all, from 0.
    pub(super) place: usize,
}

/// A holder's word that it gave an epoch up.
#[derive(Debug, Clone, Copy)]
struct GivenUp {
    epoch: u64,
    /// From when on another's orders may come.
    quiet_until: Millis,
}

/// The store's clock, read at one moment.
#[derive(Debug, Clone, Copy)]
struct StoreClock {
    store_ms: u64,
    read: Millis,
}

impl StoreClock {
    /// Returns the store's time at a local one, or a little less.
    fn store_time(self, local: Millis) -> u64 {
        match local >= self.read {
            true => self.store_ms + local.since(self.read),
            false => self.store_ms.saturating_sub(self.read.since(local)),
        }
    }

    /// Returns when it is a time of the store here, or a little later.
    fn local_time(self, store_ms: u64) -> Millis {
        self.read + store_ms.saturating_sub(self.store_ms)
    }
}

/// Who held the lease before this gateway takes it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Before {
    /// Nobody.
    Nobody,
    /// This process: it knows what it ordered.
    This,
    /// This gateway, by a write of which it had no answer or before it was
    /// started: what was ordered then is not known.
    Own,
    /// Another gateway.
    Another,
}

/// This gateway's part in the lease.
pub(super) struct LeaseDuty {
    me: InstanceId,
    /// When this process started.
    started: Millis,
    keeper: LeaseKeeper,
    store: Arc<dyn FleetStore>,
    inputs: mpsc::UnboundedSender<Input>,
    quiet_ms: u64,
    under_way: bool,
    called: Millis,
    renewed: Millis,
    vacant_since: Option<Millis>,
    clock: Option<StoreClock>,
    /// From when on the epoch that is held, or is being taken, allows orders.
    orders_from: Millis,
    /// When an order was last sent, or may have been, since another gateway
    /// held the lease.
    ordered: Option<Millis>,
    /// The last epoch that this process held.
    held: Option<u64>,
    /// What is to be counted of loads that others ordered, once it is taken.
    inheritance: Option<InheritedLoads>,
    /// Loads that were ordered without an answer, which the row tells.
    lost_loads: LostLoads,
    /// The row's version when its holder was heard last.
    heard: Option<(u64, Millis)>,
    /// The store's era, as far as the lease's calls say.
    era: u64,
    /// The row, where it is from before the store came back from a copy, and
    /// since when it stands still.
    restored: Option<(Option<LeaseRow>, Millis)>,
    other_gave_up: Option<GivenUp>,
    gave_up: Option<GivenUp>,
    version: u64,
}

impl LeaseDuty {
    pub(super) fn new(
        me: InstanceId,
        quiet_ms: u64,
        store: Arc<dyn FleetStore>,
        inputs: mpsc::UnboundedSender<Input>,
        started: Millis,
    ) -> Self {
        Self {
            keeper: LeaseKeeper::new(me.clone(), TERMS).retaking_own(),
            me,
            started,
            store,
            inputs,
            quiet_ms,
            under_way: false,
            called: Millis::default(),
            renewed: Millis::default(),
            vacant_since: None,
            clock: None,
            orders_from: Millis::default(),
            ordered: None,
            held: None,
            inheritance: None,
            lost_loads: LostLoads::default(),
            heard: None,
            era: 0,
            restored: None,
            other_gave_up: None,
            gave_up: None,
            version: 0,
        }
    }

    /// Returns the epoch if the lease is held.
    pub(super) fn held_epoch(&self, now: Millis) -> Option<u64> {
        self.keeper.held_epoch(now)
    }

    /// Returns the epoch if orders may be given.
    pub(super) fn order_epoch(&self, now: Millis) -> Option<u64> {
        let epoch = self.keeper.held_epoch(now)?;
        (now >= self.orders_from).then_some(epoch)
    }

    /// Returns the epoch if an order may be given, and notes that one is.
    pub(super) fn take_order_epoch(&mut self, now: Millis) -> Option<u64> {
        let epoch = self.order_epoch(now)?;
        self.ordered = Some(now);
        Some(epoch)
    }

    /// Returns what peers are told.
    pub(super) fn word(&self, now: Millis) -> Option<LeaseWord> {
        if let Some(epoch) = self.held_epoch(now) {
            let version = self.version;
            return Some(LeaseWord::Holds { epoch, version });
        }
        self.gave_up.map(|given_up| LeaseWord::GaveUp {
            epoch: given_up.epoch,
            quiet_ms: given_up.quiet_until.since(now),
        })
    }

    /// Takes in what a peer says.
    pub(super) fn heard(&mut self, rumour: LeaseRumour, now: Millis) {
        match rumour.word {
            LeaseWord::Holds { version, .. } => {
                // Later than it was said, so that its term counts whole.
                let known = self.heard.filter(|(v, _)| *v >= version);
                self.heard = known.or(Some((version, now)));
            }
            LeaseWord::GaveUp { epoch, quiet_ms } => {
                let quiet_until = now + quiet_ms;
                self.other_gave_up = Some(GivenUp { epoch, quiet_until });
                self.keeper.given_up(epoch);
            }
        }
    }

    /// Does what is due.
    pub(super) fn tick(&mut self, now: Millis, around: Around) {
        if let Some(epoch) = self.held_epoch(now) {
            self.vacant_since = None;
            let is_late = now.since(self.renewed) >= GIVE_UP_AFTER_MS;
            if is_late && around.store_heard {
                self.give_up(epoch, now);
                return;
            }
        }
        let rested_ms = now.since(self.called);
        if self.under_way || rested_ms < CALL_EVERY_MS {
            return;
        }
        if self.held_epoch(now).is_some() {
            self.act(now);
            return;
        }
        if around.holder_heard {
            self.vacant_since = None;
            return;
        }
        let since = *self.vacant_since.get_or_insert(now);
        let place = around.place as u64;
        let wait = VACANT_MS + VACANT_EACH_MS * place;
        let rest = CALL_EVERY_MS * (1 + place / PLACES_EACH_WAIT);
        if now.since(since) >= wait && rested_ms >= rest {
            self.read(now);
        }
    }

    fn give_up(&mut self, epoch: u64, now: Millis) {
        Event::LeaseGivenUp { epoch }.log();
        let quiet_until = self.quiet_until(now);
        self.keeper.give_up(now);
        self.gave_up = Some(GivenUp { epoch, quiet_until });
        self.vacant_since = Some(now);
    }

    /// Returns from when on the next holder's orders may come, if this one
    /// gives no more.
    fn quiet_until(&self, now: Millis) -> Millis {
        let bound = self.quiet_ms + ORDER_FLIGHT_MS;
        let after = self.ordered.map_or(now, |ordered| ordered + bound);
        after.max(self.orders_from)
    }

    fn act(&mut self, now: Millis) {
        if let LeaseStep::Write { version, row, takes } = self.keeper.step(now)
        {
            self.write(SentLease { version, row, takes, sent: now });
        }
    }

    fn read(&mut self, now: Millis) {
        self.under_way = true;
        self.called = now;
        let (store, inputs) = (self.store.clone(), self.inputs.clone());
        tokio::task::spawn_local(async move {
            let read = store.read_lease().await;
            let _ = inputs.send(Input::LeaseRead(read));
        });
    }

    fn write(&mut self, mut write: SentLease) {
        self.under_way = true;
        self.called = write.sent;
        if let Some(clock) = self.clock {
            // Until it is won, a lease that is taken tells what it told before.
            if !write.takes {
                let LostLoads { count, until } = self.lost_loads;
                write.row.lost_loads =
                    u32::try_from(count).unwrap_or(u32::MAX);
                write.row.lost_until = clock.store_time(until);
            }
            let from = clock.store_time(self.orders_from);
            write.row.orders_from = from + CLOCK_SLACK_MS;
        }
        let (store, inputs) = (self.store.clone(), self.inputs.clone());
        tokio::task::spawn_local(async move {
            let written = store.write_lease(write.version, &write.row).await;
            let _ = inputs.send(Input::LeaseWritten(write, written));
        });
    }

    /// Takes in the row.
    pub(super) fn read_done(
        &mut self,
        read: Result<LeaseSight, PortError>,
        now: Millis,
    ) {
        self.under_way = false;
        let sight = match read {
            Ok(sight) => sight,
            Err(error) => {
                log::debug!("reading the lease: {error}");
                return;
            }
        };
        let LeaseInEra { lease, is_restored } = sight.lease;
        if !self.note_era(lease.version) {
            return;
        }
        self.clock = Some(StoreClock { store_ms: sight.store_ms, read: now });
        if is_restored {
            self.take_restored(lease, now);
            return;
        }
        let row = lease.row.clone();
        // A row that stands as its holder told stands since then.
        let since = match self.heard {
            Some((version, at)) if version == lease.version => at,
            _ => now,
        };
        self.keeper.row_read(lease, since);
        if let LeaseStep::Write { version, row: taken, takes } =
            self.keeper.step(now)
        {
            self.orders_from = self.first_order(row.as_ref(), now);
            let before = self.before(row.as_ref());
            // What was not taken up of a term that was missed stays.
            if before != Before::This {
                self.inheritance = self.inherited(before, row.as_ref());
            }
            self.ordered = match before {
                Before::This => self.ordered,
                // Its last order may have been sent when it ended.
                Before::Own => self.ordered.max(Some(self.started)),
                Before::Nobody | Before::Another => None,
            };
            self.write(SentLease { version, row: taken, takes, sent: now });
        }
    }

    /// Notes the era of a version; tells whether it is the latest that is known.
    ///
    /// What was said of the lease in an earlier one says nothing of the row
    /// that stands there now.
    fn note_era(&mut self, version: u64) -> bool {
        let era = StoreVersion::unpack(version).era;
        if era > self.era {
            self.era = era;
            self.restored = None;
            self.other_gave_up = None;
        }
        era == self.era
    }

    /// Takes the lease of which the row is from before the store came back from
    /// a copy, once whoever held it last, perhaps by a write that is gone,
    /// holds it no longer. A row that goes on changing has a holder that knows
    /// no eras: a gateway of an earlier version.
    fn take_restored(&mut self, lease: VersionedLease, now: Millis) {
        let before = lease.row.clone();
        let known = self.restored.take().filter(|(row, _)| *row == before);
        let since = known.map_or(now, |(_, since)| since);
        self.restored = Some((before.clone(), since));
        if now.since(since) < TERMS.term_ms {
            return;
        }
        let free = |row| LeaseRow { holder: None, ..row };
        let lease = VersionedLease { row: lease.row.map(free), ..lease };
        self.keeper.row_read(lease, now);
        if let LeaseStep::Write { version, mut row, takes } =
            self.keeper.step(now)
        {
            let least = self.era.saturating_mul(EPOCHS_IN_ERA);
            row.epoch = row.epoch.max(least);
            self.orders_from = after_another(now, self.quiet_ms);
            self.inheritance =
                self.inherited(Before::Another, before.as_ref());
            self.ordered = None;
            self.write(SentLease { version, row, takes, sent: now });
        }
    }

    /// Returns who held the lease before, by its row.
    fn before(&self, row: Option<&LeaseRow>) -> Before {
        let Some(row) = row else { return Before::Nobody };
        let is_own = row.holder.as_ref() == Some(&self.me);
        match is_own {
            true if self.held == Some(row.epoch) => Before::This,
            true => Before::Own,
            false => Before::Another,
        }
    }

    /// Returns what loads were ordered by others, if the lease is taken over
    /// what the row says: their last orders arrive the quiet time before the
    /// first ones of this holder.
    fn inherited(
        &self,
        before: Before,
        row: Option<&LeaseRow>,
    ) -> Option<InheritedLoads> {
        let quiet_from = self.orders_from - self.quiet_ms;
        let until = match before {
            Before::Nobody | Before::This => return None,
            Before::Own => quiet_from.max(self.started + ORDER_FLIGHT_MS),
            Before::Another => quiet_from,
        };
        let (row, clock) = (row?, self.clock?);
        let lost = LostLoads {
            count: row.lost_loads as usize,
            until: clock.local_time(row.lost_until),
        };
        Some(InheritedLoads { until, lost })
    }

    /// Returns what is to be counted of loads that others ordered, once.
    pub(super) fn take_inheritance(&mut self) -> Option<InheritedLoads> {
        self.inheritance.take()
    }

    /// Takes in which loads were ordered without an answer.
    pub(super) fn note_lost_loads(&mut self, lost: LostLoads) {
        self.lost_loads = lost;
    }

    /// Returns from when on orders may be given, if the lease is taken over
    /// what the row says.
    fn first_order(&self, row: Option<&LeaseRow>, now: Millis) -> Millis {
        let (Some(row), Some(clock)) = (row, self.clock) else { return now };
        let stated = clock.local_time(row.orders_from);
        let Some(holder) = &row.holder else { return stated };
        if *holder == self.me {
            return stated;
        }
        match self.other_gave_up {
            Some(given_up) if given_up.epoch == row.epoch => {
                given_up.quiet_until.max(now)
            }
            _ => after_another(now, self.quiet_ms),
        }
    }

    /// Takes in how a write ended.
    pub(super) fn write_done(
        &mut self,
        write: SentLease,
        written: Result<LeaseWrite, PortError>,
        now: Millis,
    ) {
        self.under_way = false;
        match written {
            Ok(LeaseWrite::Won { version, store_ms }) => {
                self.clock = Some(StoreClock { store_ms, read: now });
                self.won(write, version, now);
            }
            Ok(LeaseWrite::Lost) => self.keeper.write_lost(write.takes),
            Ok(LeaseWrite::OtherEra { version }) => {
                let is_latest = self.note_era(version);
                let holds = self.held_epoch(now).is_some() && !write.takes;
                match holds && is_latest {
                    // Nobody can have taken it while its term lasts.
                    true => self.keeper.row_moved(version),
                    false => self.keeper.write_lost(write.takes),
                }
            }
            Err(error) => {
                log::debug!("writing the lease: {error}");
                // It may have taken effect: the row tells.
                if write.takes {
                    self.keeper.write_lost(true);
                }
            }
        }
    }

    fn won(&mut self, write: SentLease, version: u64, now: Millis) {
        if write.row.holder.is_none() {
            return;
        }
        if write.takes {
            Event::LeaseTaken { epoch: write.row.epoch }.log();
            self.held = Some(write.row.epoch);
            self.gave_up = None;
        } else if self.held_epoch(now).is_none() {
            // Given up in the meantime.
            return;
        }
        self.renewed = write.sent;
        self.version = version;
        let row = Some(write.row);
        let lease = VersionedLease { version, row };
        self.keeper.write_won(lease, write.takes, write.sent, now);
    }

    /// Gives the lease up, since this gateway leaves.
    pub(super) fn step_down(&mut self, now: Millis) {
        let quiet_until = self.quiet_until(now);
        if let Some(epoch) = self.held_epoch(now) {
            self.gave_up = Some(GivenUp { epoch, quiet_until });
        }
        if let Some(LeaseStep::Write { version, row, takes }) =
            self.keeper.step_down(now)
        {
            self.orders_from = quiet_until;
            self.write(SentLease { version, row, takes, sent: now });
        }
    }
}

/// Returns from when on orders may be given after another holder's term is
/// over.
fn after_another(now: Millis, quiet_ms: u64) -> Millis {
    now + quiet_ms + ORDER_FLIGHT_MS - TERMS.margin_ms
}
