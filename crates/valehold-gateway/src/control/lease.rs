//! The lease under which one gateway at a time places models.
//!
//! Engines do not check fences (the epochs of orders). A new holder therefore
//! sends no orders until all orders of the previous holder have arrived and
//! the configured quiet time between two holders has passed. The row of the
//! lease states the earliest time of the next orders, on the store's clock, so
//! that a gateway that held the lease before a restart continues at once.
//!
//! A holder that cannot reach the store while other gateways can releases the
//! lease by a message to its peers. The next holder then does not wait for the
//! end of the term.
//!
//! When the store is restored from an older copy, the current holder writes
//! its row again. Without a current holder, a gateway may have taken the lease
//! by a write that the copy does not contain. The lease is then taken only
//! after the restored row has been unchanged for a whole term. The same holds
//! for a row that another program wrote or removed: who holds the lease is
//! unknown then, and so is the epoch.

#[cfg(test)]
mod tests;

use std::sync::Arc;

use tokio::sync::mpsc;
use valehold_core::{
    Millis,
    fleet::{
        StoreVersion,
        weight_loads::{InheritedLoads, LostLoads, MAX_ORDER_DELAY_MS},
    },
    id::InstanceId,
    lease::{
        LeaseInEra, LeaseKeeper, LeaseRow, LeaseStep, LeaseTerms, MAX_COUNT,
        VersionedLease,
    },
};
use valehold_ports::{
    PortError,
    port::fleet::{FleetStore, LeaseSight, LeaseWrite},
};

use super::input::{Input, SentLeaseWrite};
use crate::{
    events::Event,
    peers::message::{LeaseClaim, LeaseReport},
};

/// The times of the lease: contenders wait for the whole term, and the holder
/// stops a margin before its end.
const TERMS: LeaseTerms =
    LeaseTerms { term_ms: 3_600, margin_ms: 600, renew_after_ms: 700 };

/// The maximum time that an order takes to arrive, in ms.
const ORDER_TRANSIT_MS: u64 = 800;

/// The maximum difference between two readings of the store's clock, in ms.
const CLOCK_TOLERANCE_MS: u64 = 500;

/// The minimum interval between two calls to the store about the lease, in ms.
const CALL_INTERVAL_MS: u64 = 250;

/// The number of positions after which [`CALL_INTERVAL_MS`] is added once more
/// to the interval between the calls of a contender. Contenders at higher
/// positions leave the lease to those at lower ones.
const POSITIONS_PER_INTERVAL: u64 = 2;

/// How long the lease has to be without a known holder before the gateway at
/// position 0 contends for it, in ms.
const VACANT_MS: u64 = 100;

/// How much longer the gateway at each further position waits, in ms.
const VACANT_STEP_MS: u64 = 250;

/// The time without a renewal after which a holder releases the lease if other
/// gateways reach the store, in ms.
const RELEASE_AFTER_MS: u64 = 1_500;

/// The number of epochs in each era of the store: the epochs of an era start
/// at its number times this value. Epochs from writes that a restored store
/// has lost are therefore not reused.
const EPOCHS_PER_ERA: u64 = 1 << 20;

/// The state of the lease as other gateways report it.
#[derive(Debug, Clone, Copy)]
pub(super) struct PeerLeaseState {
    /// Whether another gateway is reported to hold the lease.
    pub(super) has_holder: bool,
    /// Whether another gateway reaches the store.
    pub(super) others_reach_store: bool,
    /// The position of this gateway among all contenders, from 0.
    pub(super) position: usize,
}

/// A report by a holder that it has released an epoch.
#[derive(Debug, Clone, Copy)]
struct ReleasedEpoch {
    epoch: u64,
    /// The earliest time of the next holder's orders.
    next_orders_from: Millis,
}

/// A reading of the store's clock.
#[derive(Debug, Clone, Copy)]
struct StoreClock {
    store_ms: u64,
    read_at: Millis,
}

impl StoreClock {
    /// Returns the store's time at a local time, or slightly less: the store's
    /// clock was read before the local one.
    fn store_time(self, local: Millis) -> u64 {
        match local >= self.read_at {
            true => self.store_ms + local.since(self.read_at),
            false => self.store_ms.saturating_sub(self.read_at.since(local)),
        }
    }

    /// Returns the local time at a time of the store, or slightly more.
    fn local_time(self, store_ms: u64) -> Millis {
        self.read_at + store_ms.saturating_sub(self.store_ms)
    }
}

/// A row that does not tell who holds the lease.
#[derive(Debug, Clone, PartialEq, Eq)]
enum UnclearRow {
    /// The row of a restored store that was written in an earlier era, if
    /// there is one.
    Restored(Option<LeaseRow>),
    /// Another program wrote the row at this version, or removed it.
    Foreign { version: u64 },
}

/// The holder of the lease before this gateway takes it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum PreviousHolder {
    /// No gateway has held the lease.
    NoHolder,
    /// This process, which knows its own orders.
    ThisProcess,
    /// This gateway, before its start or by a write without an answer. The
    /// orders under that epoch are not known.
    EarlierProcess,
    /// Another gateway.
    OtherGateway,
}

/// Contends for the lease, holds it and releases it, for one gateway.
pub(super) struct LeaseManager {
    instance: InstanceId,
    /// The start of this process.
    started: Millis,
    keeper: LeaseKeeper,
    store: Arc<dyn FleetStore>,
    inputs: mpsc::UnboundedSender<Input>,
    /// The minimum time between the orders of two holders, in ms.
    quiet_ms: u64,
    /// Whether a call to the store about the lease is in flight.
    call_in_flight: bool,
    /// The time of the last such call.
    called_at: Millis,
    /// When the last successful renewal was sent.
    renewed_at: Millis,
    /// The time since which no gateway is known to hold the lease.
    vacant_since: Option<Millis>,
    /// The last reading of the store's clock.
    clock: Option<StoreClock>,
    /// The earliest time of orders in the epoch that is held or being taken.
    orders_from: Millis,
    /// The time of the last order, certain or possible, since another gateway
    /// held the lease.
    last_order: Option<Millis>,
    /// The last epoch that this process held.
    last_epoch: Option<u64>,
    /// The loads ordered by earlier holders that this gateway has to count
    /// once it has the lease.
    inherited_loads: Option<InheritedLoads>,
    /// Loads whose orders were not answered. The row tells the next holder.
    lost_loads: LostLoads,
    /// The highest version of the row that a holder has reported, and when
    /// this gateway first received it.
    reported_version: Option<(u64, Millis)>,
    /// The latest era of the store that calls about the lease have shown.
    era: u64,
    /// The row if it does not tell who holds the lease, and the time since
    /// which it is unchanged.
    unclear_row: Option<(UnclearRow, Millis)>,
    /// The highest epoch that any gateway is known to have had.
    highest_epoch: u64,
    /// The last epoch that a peer has released.
    peer_release: Option<ReleasedEpoch>,
    /// The last epoch that this gateway has released.
    own_release: Option<ReleasedEpoch>,
    /// The version of the row after the last successful write.
    version: u64,
}

impl LeaseManager {
    pub(super) fn new(
        me: InstanceId,
        quiet_ms: u64,
        store: Arc<dyn FleetStore>,
        inputs: mpsc::UnboundedSender<Input>,
        started: Millis,
    ) -> Self {
        Self {
            keeper: LeaseKeeper::new(me.clone(), TERMS).retaking_own(),
            instance: me,
            started,
            store,
            inputs,
            quiet_ms,
            call_in_flight: false,
            called_at: Millis::default(),
            renewed_at: Millis::default(),
            vacant_since: None,
            clock: None,
            orders_from: Millis::default(),
            last_order: None,
            last_epoch: None,
            inherited_loads: None,
            lost_loads: LostLoads::default(),
            reported_version: None,
            era: 0,
            unclear_row: None,
            highest_epoch: 0,
            peer_release: None,
            own_release: None,
            version: 0,
        }
    }

    /// Returns the epoch if this gateway holds the lease.
    pub(super) fn held_epoch(&self, now: Millis) -> Option<u64> {
        self.keeper.held_epoch(now)
    }

    /// Returns the epoch if orders may be given.
    pub(super) fn order_epoch(&self, now: Millis) -> Option<u64> {
        let epoch = self.keeper.held_epoch(now)?;
        (now >= self.orders_from).then_some(epoch)
    }

    /// Returns the epoch if an order may be given, and records that one is
    /// sent now.
    pub(super) fn take_order_epoch(&mut self, now: Millis) -> Option<u64> {
        let epoch = self.order_epoch(now)?;
        self.last_order = Some(now);
        Some(epoch)
    }

    /// Returns what this gateway reports to peers: that it holds the lease or
    /// has released it, or `None` if it has done neither.
    pub(super) fn claim(&self, now: Millis) -> Option<LeaseClaim> {
        if let Some(epoch) = self.held_epoch(now) {
            let version = self.version;
            return Some(LeaseClaim::Holds { epoch, version });
        }
        self.own_release.map(|released| LeaseClaim::Released {
            epoch: released.epoch,
            quiet_ms: released.next_orders_from.since(now),
        })
    }

    /// Handles a peer's report about the lease.
    pub(super) fn on_lease_report(
        &mut self,
        report: LeaseReport,
        now: Millis,
    ) {
        match report.claim {
            LeaseClaim::Holds { epoch, version } => {
                self.note_epoch(epoch);
                // The time of receipt is later than that of the report, so
                // the holder's whole term is waited for.
                let previous =
                    self.reported_version.filter(|(v, _)| *v >= version);
                self.reported_version = previous.or(Some((version, now)));
            }
            LeaseClaim::Released { epoch, quiet_ms } => {
                self.note_epoch(epoch);
                let stated = now + quiet_ms;
                let next_orders_from = stated.min(self.latest_orders(now));
                self.peer_release =
                    Some(ReleasedEpoch { epoch, next_orders_from });
                self.keeper.given_up(epoch);
            }
        }
    }

    /// Performs the due step: releases, renews or tries to take the lease.
    pub(super) fn tick(&mut self, now: Millis, peers: PeerLeaseState) {
        if let Some(epoch) = self.held_epoch(now) {
            self.vacant_since = None;
            let is_overdue = now.since(self.renewed_at) >= RELEASE_AFTER_MS;
            if is_overdue && peers.others_reach_store {
                self.release(epoch, now);
                return;
            }
        }
        let idle_ms = now.since(self.called_at);
        if self.call_in_flight || idle_ms < CALL_INTERVAL_MS {
            return;
        }
        if self.held_epoch(now).is_some() {
            self.renew_if_due(now);
            return;
        }
        if peers.has_holder {
            self.vacant_since = None;
            return;
        }
        let since = *self.vacant_since.get_or_insert(now);
        let position = peers.position as u64;
        let wait = VACANT_MS + VACANT_STEP_MS * position;
        let interval =
            CALL_INTERVAL_MS * (1 + position / POSITIONS_PER_INTERVAL);
        if now.since(since) >= wait && idle_ms >= interval {
            self.read(now);
        }
    }

    /// Releases the lease by a report to peers, without a write to the store.
    fn release(&mut self, epoch: u64, now: Millis) {
        Event::LeaseGivenUp { epoch }.log();
        let next_orders_from = self.next_orders_from(now);
        self.keeper.give_up(now);
        self.own_release = Some(ReleasedEpoch { epoch, next_orders_from });
        self.vacant_since = Some(now);
    }

    /// Returns the earliest time of the next holder's orders if this gateway
    /// sends no more.
    fn next_orders_from(&self, now: Millis) -> Millis {
        let delay = self.quiet_ms + ORDER_TRANSIT_MS;
        let earliest =
            self.last_order.map_or(now, |ordered_at| ordered_at + delay);
        earliest.max(self.orders_from)
    }

    fn renew_if_due(&mut self, now: Millis) {
        if let LeaseStep::Write { version, row, takes } = self.keeper.step(now)
        {
            self.write(SentLeaseWrite { version, row, takes, sent: now });
        }
    }

    fn read(&mut self, now: Millis) {
        self.call_in_flight = true;
        self.called_at = now;
        let (store, inputs) = (self.store.clone(), self.inputs.clone());
        tokio::task::spawn_local(async move {
            let read = store.read_lease().await;
            let _ = inputs.send(Input::LeaseRead(read));
        });
    }

    fn write(&mut self, mut write: SentLeaseWrite) {
        self.call_in_flight = true;
        self.called_at = write.sent;
        if let Some(clock) = self.clock {
            // A write that takes the lease repeats the lost loads of the row
            // before. Later renewals state the lost loads of this gateway.
            if !write.takes {
                let LostLoads { count, until } = self.lost_loads;
                write.row.lost_loads =
                    u32::try_from(count).unwrap_or(u32::MAX);
                write.row.lost_until = clock.store_time(until);
            }
            let orders_from = clock.store_time(self.orders_from);
            write.row.orders_from = orders_from + CLOCK_TOLERANCE_MS;
        }
        let (store, inputs) = (self.store.clone(), self.inputs.clone());
        tokio::task::spawn_local(async move {
            let written = store.write_lease(write.version, &write.row).await;
            let _ = inputs.send(Input::LeaseWritten(write, written));
        });
    }

    /// Handles the result of a read of the row, and takes the lease if the row
    /// permits.
    pub(super) fn on_read(
        &mut self,
        read: Result<LeaseSight, PortError>,
        now: Millis,
    ) {
        self.call_in_flight = false;
        let sight = match read {
            Ok(sight) => sight,
            Err(error) => {
                log::debug!("cannot read the lease: {error}");
                return;
            }
        };
        let LeaseInEra { lease, is_restored, is_foreign } = sight.lease;
        if !self.update_era(lease.version) {
            return;
        }
        self.clock =
            Some(StoreClock { store_ms: sight.store_ms, read_at: now });
        let is_removed = lease.row.is_none() && self.highest_epoch > 0;
        if is_restored {
            let row = UnclearRow::Restored(lease.row.clone());
            self.take_unclear_lease(lease, row, now);
            return;
        }
        if is_foreign || is_removed {
            let row = UnclearRow::Foreign { version: lease.version };
            self.take_unclear_lease(lease, row, now);
            return;
        }
        self.unclear_row = None;
        let row = lease.row.clone();
        self.note_epoch(row.as_ref().map_or(0, |row| row.epoch));
        // A row at the version that its holder reported is unchanged since
        // the receipt of that report.
        let since = match self.reported_version {
            Some((version, at)) if version == lease.version => at,
            _ => now,
        };
        self.keeper.row_read(lease, since);
        if let LeaseStep::Write { version, row: new_row, takes } =
            self.keeper.step(now)
        {
            self.orders_from = self.orders_allowed_from(row.as_ref(), now);
            let previous_holder = self.previous_holder(row.as_ref());
            // Loads inherited for a term that was missed are kept until a
            // term in which they are counted.
            if previous_holder != PreviousHolder::ThisProcess {
                self.inherited_loads =
                    self.inherited_loads(previous_holder, row.as_ref());
            }
            self.last_order = match previous_holder {
                PreviousHolder::ThisProcess => self.last_order,
                // The earlier process may have sent an order until its end.
                PreviousHolder::EarlierProcess => {
                    self.last_order.max(Some(self.started))
                }
                PreviousHolder::NoHolder | PreviousHolder::OtherGateway => {
                    None
                }
            };
            self.write(SentLeaseWrite {
                version,
                row: new_row,
                takes,
                sent: now,
            });
        }
    }

    /// Records the era of a version. Returns whether the version belongs to
    /// the latest known era.
    ///
    /// A new era discards reports about the lease in an earlier era, because
    /// they do not apply to the current row.
    fn update_era(&mut self, version: u64) -> bool {
        let era = StoreVersion::unpack(version).era;
        if era > self.era {
            self.era = era;
            self.unclear_row = None;
            self.peer_release = None;
        }
        era == self.era
    }

    /// Takes the lease if its row does not tell who holds it.
    ///
    /// The last holder may have taken the lease by a write that the restored
    /// store has lost, or that another program has replaced, so the lease is
    /// taken only after the row has been unchanged for a whole term. A restored
    /// row that keeps changing has a holder that does not know eras: a gateway
    /// of an earlier version.
    fn take_unclear_lease(
        &mut self,
        lease: VersionedLease,
        unclear: UnclearRow,
        now: Millis,
    ) {
        let min_epoch = self.first_unused_epoch(&unclear);
        let previous =
            self.unclear_row.take().filter(|(row, _)| *row == unclear);
        let since = previous.map_or(now, |(_, since)| since);
        self.unclear_row = Some((unclear, since));
        if now.since(since) < TERMS.term_ms {
            return;
        }
        let old_row = lease.row.clone();
        let without_holder = |row| LeaseRow { holder: None, ..row };
        let lease =
            VersionedLease { row: lease.row.map(without_holder), ..lease };
        self.keeper.row_read(lease, now);
        if let LeaseStep::Write { version, mut row, takes } =
            self.keeper.step(now)
        {
            row.epoch = row.epoch.max(min_epoch);
            self.orders_from = first_orders_after(now, self.quiet_ms);
            self.inherited_loads = self.inherited_loads(
                PreviousHolder::OtherGateway,
                old_row.as_ref(),
            );
            self.last_order = None;
            self.write(SentLeaseWrite { version, row, takes, sent: now });
        }
    }

    /// Returns an epoch that no gateway has had before a row that does not tell
    /// the last one.
    ///
    /// Each epoch of an era but its first is the one before plus one, with a
    /// write that raised the store's version, so that none exceeds the start of
    /// the era plus the version.
    fn first_unused_epoch(&self, unclear: &UnclearRow) -> u64 {
        let start = self.era.saturating_mul(EPOCHS_PER_ERA);
        let in_era = match unclear {
            UnclearRow::Restored(_) => start,
            UnclearRow::Foreign { version } => {
                start + StoreVersion::unpack(*version).version + 1
            }
        };
        in_era.max(self.highest_epoch + 1)
    }

    /// Records an epoch that a gateway has or had.
    fn note_epoch(&mut self, epoch: u64) {
        if epoch < MAX_COUNT {
            self.highest_epoch = self.highest_epoch.max(epoch);
        }
    }

    /// Returns the latest time from which any holder makes the next one wait.
    fn latest_orders(&self, now: Millis) -> Millis {
        now + self.quiet_ms + ORDER_TRANSIT_MS + 2 * CLOCK_TOLERANCE_MS
    }

    /// Returns the previous holder of the lease according to its row.
    fn previous_holder(&self, row: Option<&LeaseRow>) -> PreviousHolder {
        let Some(row) = row else { return PreviousHolder::NoHolder };
        let is_own = row.holder.as_ref() == Some(&self.instance);
        match is_own {
            true if self.last_epoch == Some(row.epoch) => {
                PreviousHolder::ThisProcess
            }
            true => PreviousHolder::EarlierProcess,
            false => PreviousHolder::OtherGateway,
        }
    }

    /// Returns the loads that earlier holders ordered, where `row` is the row
    /// of the lease before this gateway takes it. The last orders of earlier
    /// holders arrive at least the quiet time before the first orders of this
    /// gateway.
    fn inherited_loads(
        &self,
        previous_holder: PreviousHolder,
        row: Option<&LeaseRow>,
    ) -> Option<InheritedLoads> {
        let quiet_since = self.orders_from - self.quiet_ms;
        let until = match previous_holder {
            PreviousHolder::NoHolder | PreviousHolder::ThisProcess => {
                return None;
            }
            PreviousHolder::EarlierProcess => {
                quiet_since.max(self.started + ORDER_TRANSIT_MS)
            }
            PreviousHolder::OtherGateway => quiet_since,
        };
        let clock = self.clock?;
        let latest = clock.read_at + MAX_ORDER_DELAY_MS + CLOCK_TOLERANCE_MS;
        // A restored store may have lost the row, which names no loads then.
        let lost = row.map_or_else(LostLoads::default, |row| LostLoads {
            count: row.lost_loads as usize,
            until: clock.local_time(row.lost_until).min(latest),
        });
        Some(InheritedLoads { until, lost })
    }

    /// Returns the loads of earlier holders that have to be counted, at the
    /// first call after the lease was taken.
    pub(super) fn take_inherited_loads(&mut self) -> Option<InheritedLoads> {
        self.inherited_loads.take()
    }

    /// Sets the loads whose orders were not answered.
    pub(super) fn set_lost_loads(&mut self, lost: LostLoads) {
        self.lost_loads = lost;
    }

    /// Returns the earliest time of this gateway's orders, where `row` is the
    /// row of the lease before this gateway takes it.
    fn orders_allowed_from(
        &self,
        row: Option<&LeaseRow>,
        now: Millis,
    ) -> Millis {
        let (Some(row), Some(clock)) = (row, self.clock) else { return now };
        let stated = clock.local_time(row.orders_from);
        let stated = stated.min(self.latest_orders(now));
        let Some(holder) = &row.holder else { return stated };
        if *holder == self.instance {
            return stated;
        }
        match self.peer_release {
            Some(released) if released.epoch == row.epoch => {
                released.next_orders_from.max(now)
            }
            _ => first_orders_after(now, self.quiet_ms),
        }
    }

    /// Handles the result of a write.
    pub(super) fn on_write(
        &mut self,
        write: SentLeaseWrite,
        written: Result<LeaseWrite, PortError>,
        now: Millis,
    ) {
        self.call_in_flight = false;
        match written {
            Ok(LeaseWrite::Won { version, store_ms }) => {
                self.clock = Some(StoreClock { store_ms, read_at: now });
                self.on_write_won(write, version, now);
            }
            Ok(LeaseWrite::Lost) => self.keeper.write_lost(write.takes),
            Ok(LeaseWrite::OtherEra { version }) => {
                let is_latest = self.update_era(version);
                let holds = self.held_epoch(now).is_some() && !write.takes;
                match holds && is_latest {
                    // No other gateway can have taken the lease during the
                    // term of this one.
                    true => self.keeper.row_moved(version),
                    false => self.keeper.write_lost(write.takes),
                }
            }
            Err(error) => {
                log::debug!("cannot write the lease: {error}");
                // The write may have taken effect. The next read of the row
                // shows whether it has.
                if write.takes {
                    self.keeper.write_lost(true);
                }
            }
        }
    }

    fn on_write_won(
        &mut self,
        write: SentLeaseWrite,
        version: u64,
        now: Millis,
    ) {
        if write.row.holder.is_none() {
            return;
        }
        if write.takes {
            Event::LeaseTaken { epoch: write.row.epoch }.log();
            self.note_epoch(write.row.epoch);
            self.last_epoch = Some(write.row.epoch);
            self.own_release = None;
        } else if self.held_epoch(now).is_none() {
            // The lease was released while the write was in flight.
            return;
        }
        self.renewed_at = write.sent;
        self.version = version;
        let row = Some(write.row);
        let lease = VersionedLease { version, row };
        self.keeper.write_won(lease, write.takes, write.sent, now);
    }

    /// Hands the lease back with a write to the store, because this gateway is
    /// leaving.
    pub(super) fn step_down(&mut self, now: Millis) {
        let next_orders_from = self.next_orders_from(now);
        if let Some(epoch) = self.held_epoch(now) {
            self.own_release = Some(ReleasedEpoch { epoch, next_orders_from });
        }
        if let Some(LeaseStep::Write { version, row, takes }) =
            self.keeper.step_down(now)
        {
            self.orders_from = next_orders_from;
            self.write(SentLeaseWrite { version, row, takes, sent: now });
        }
    }
}

/// Returns the earliest time of orders after the whole term of another holder
/// has passed. That holder stopped a margin before the end of its term.
fn first_orders_after(now: Millis, quiet_ms: u64) -> Millis {
    now + quiet_ms + ORDER_TRANSIT_MS - TERMS.margin_ms
}
