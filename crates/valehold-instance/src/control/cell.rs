//! The placement cell: this instance's part in its lease.

mod held;
mod keys;

use std::{collections::BTreeMap, sync::Arc};

use valehold_core::{
    Millis, Verdict,
    account::ResidencyReport,
    config::Config,
    id::{Artifact, InstanceId, UpstreamId},
    lease::{LeaseKeeper, LeaseRow, LeaseStep, LeaseTerms, VersionedLease},
    limit::Grantor,
    order::Order,
    placement::ModelDemand,
};
use valehold_ports::{
    PortError,
    port::{CommitOutcome, Row, Transaction, decode, encode},
};

pub(crate) use self::held::Recording;
use self::{
    held::HeldCell,
    keys::{epoch_key, lease_key, orders_prefix},
};
use super::{Context, Input, upstreams::Upstreams};
use crate::settings::Settings;

/// How often the lease's row is read or renewed.
const LEASE_EVERY_MS: u64 = 500;

/// A write of the lease's row, under way.
pub(crate) struct LeaseWrite {
    row: LeaseRow,
    takes: bool,
    sent: Millis,
}

/// This instance's part in the placement cell.
pub(super) struct Cell {
    keeper: LeaseKeeper,
    instance: InstanceId,
    keep_claims_s: u64,
    lease_busy: bool,
    lease_at: Option<Millis>,
    taken_version: u64,
    held: Option<HeldCell>,
}

impl Cell {
    pub(super) fn new(settings: &Settings) -> Self {
        let instance = settings.instance.clone();
        Self {
            keeper: LeaseKeeper::new(instance.clone(), LeaseTerms::default()),
            instance,
            keep_claims_s: settings.platform.keep_claims_s,
            lease_busy: false,
            lease_at: None,
            taken_version: 0,
            held: None,
        }
    }

    /// Tells whether this instance holds the lease.
    pub(super) fn is_held(&self, now: Millis) -> bool {
        self.keeper.held_epoch(now).is_some()
    }

    /// Returns the holder, as far as it is known.
    pub(super) fn holder(&self, now: Millis) -> Option<InstanceId> {
        match self.is_held(now) {
            true => Some(self.instance.clone()),
            false => self.keeper.seen_holder().cloned(),
        }
    }

    /// Returns the book of grants, if this instance holds the lease.
    pub(super) fn grantor(&mut self, now: Millis) -> Option<&mut Grantor> {
        self.keeper.held_epoch(now)?;
        Some(self.held.as_mut()?.grantor())
    }

    pub(super) fn tick(
        &mut self,
        context: &Context,
        now: Millis,
        config: Option<(&Arc<Config>, u64)>,
        upstreams: &Upstreams,
        demand: impl FnOnce() -> BTreeMap<Artifact, ModelDemand>,
    ) {
        let Some((config, _)) = config else { return };
        self.tick_lease(context, now);
        let Some(epoch) = self.keeper.held_epoch(now) else {
            self.held = None;
            return;
        };
        let held_until = self.keeper.held_until();
        let keep_claims_s = self.keep_claims_s;
        let Some(held) = &mut self.held else { return };
        if held.epoch() != epoch {
            return;
        }
        held.follow_config(config, now);
        held.plan(context, now, config, upstreams, demand);
        held.send(context, now, held_until, upstreams);
        held.sweep(context, now, keep_claims_s);
        held.measure(context);
    }

    /// Takes in an engine's report.
    pub(super) fn observe(
        &mut self,
        engine: &UpstreamId,
        report: &ResidencyReport,
        asked: Millis,
    ) {
        if let Some(held) = &mut self.held {
            held.observe(engine, report, asked);
        }
    }

    pub(super) fn lease_read(
        &mut self,
        row: Result<Option<Row>, PortError>,
        now: Millis,
    ) {
        self.lease_busy = false;
        let row = match row {
            Ok(row) => row,
            Err(error) => {
                log::debug!("the lease was not read: {error}");
                return;
            }
        };
        let lease = match row {
            None => VersionedLease { version: 0, row: None },
            Some(row) => {
                VersionedLease { version: row.version, row: decode(&row).ok() }
            }
        };
        self.keeper.row_read(lease, now);
    }

    pub(super) fn lease_written(
        &mut self,
        context: &Context,
        write: LeaseWrite,
        result: Result<CommitOutcome, PortError>,
        now: Millis,
    ) {
        self.lease_busy = false;
        let LeaseWrite { row, takes, sent } = write;
        match result {
            Ok(CommitOutcome::Done { version }) => {
                let epoch = row.epoch;
                let lease = VersionedLease { version, row: Some(row) };
                self.keeper.write_won(lease, takes, sent, now);
                if takes && self.keeper.held_epoch(now).is_some() {
                    log::info!("took the placement lease, epoch {epoch}");
                    self.taken_version = version;
                    self.read_orders(context, epoch);
                }
            }
            // Another was first, or it is not known what became of the
            // write. Either way the row is read anew, and stands for
            // another's until it has stood still for a term.
            Ok(CommitOutcome::Conflict { .. }) => {
                self.keeper.write_lost(takes);
            }
            Err(error) if takes => {
                log::warn!("the lease was not taken: {error}");
                self.keeper.write_lost(takes);
            }
            Err(error) if error.verdict() == Verdict::NotRun => {
                log::warn!("the lease was not renewed: {error}");
            }
            Err(error) => {
                log::warn!("a renewal's outcome is open: {error}");
                self.keeper.write_lost(takes);
                self.held = None;
            }
        }
    }

    /// Takes in the cell's orders, read after the lease was taken.
    pub(super) fn orders_read(
        &mut self,
        epoch: u64,
        rows: Result<Vec<Row>, PortError>,
        config: Option<(&Arc<Config>, u64)>,
        now: Millis,
    ) {
        if self.keeper.held_epoch(now) != Some(epoch) {
            return;
        }
        let orders = rows.and_then(|rows| {
            let orders = rows.iter().map(decode::<Order>);
            orders.collect::<Result<Vec<_>, _>>()
        });
        let (orders, config) = match (orders, config) {
            (Ok(orders), Some((config, _))) => (orders, config),
            (Err(error), _) => {
                log::warn!("the cell's orders were not read: {error}");
                let _ = self.keeper.step_down(now);
                return;
            }
            (_, None) => return,
        };
        let version = self.taken_version;
        self.held = Some(HeldCell::new(epoch, version, orders, config, now));
    }

    /// Takes in what became of orders that were being recorded.
    pub(super) fn recorded(
        &mut self,
        context: &Context,
        recording: Recording,
        result: &Result<CommitOutcome, PortError>,
        now: Millis,
    ) {
        let Some(held) = &mut self.held else { return };
        if held.epoch() != recording.epoch {
            return;
        }
        held.recording_ended();
        match result {
            Ok(CommitOutcome::Done { .. }) => {
                held.take_recorded(context, &recording, now);
            }
            Ok(CommitOutcome::Conflict { key }) => {
                log::warn!("another holds the cell: {key} has changed");
                self.give_up(now);
            }
            Err(error) if error.verdict() == Verdict::NotRun => {
                log::warn!("orders were not recorded: {error}");
                held.take_back(&recording);
            }
            // Whether the rows are there is open. What they claim must stay
            // claimed, so all is read anew under the next epoch.
            Err(error) => {
                log::warn!("whether orders were recorded is open: {error}");
                self.give_up(now);
            }
        }
    }

    pub(super) fn swept(&mut self) {
        if let Some(held) = &mut self.held {
            held.swept();
        }
    }

    /// Hands the lease back, if it is held.
    pub(super) fn step_down(&mut self, context: &Context, now: Millis) {
        self.held = None;
        let step = self.keeper.step_down(now);
        if let Some(LeaseStep::Write { version, row, takes }) = step {
            self.write_lease(context, now, version, row, takes);
        }
    }

    fn give_up(&mut self, now: Millis) {
        self.held = None;
        let _ = self.keeper.step_down(now);
    }

    fn tick_lease(&mut self, context: &Context, now: Millis) {
        let due =
            self.lease_at.is_none_or(|at| now.since(at) >= LEASE_EVERY_MS);
        if self.lease_busy || !due {
            return;
        }
        self.lease_at = Some(now);
        match self.keeper.step(now) {
            LeaseStep::Write { version, row, takes } => {
                self.write_lease(context, now, version, row, takes);
            }
            LeaseStep::Read if self.is_held(now) => {}
            LeaseStep::Read => {
                self.lease_busy = true;
                let table = context.shared.ports.table.clone();
                context.start(async move {
                    Input::LeaseRead(table.get(&lease_key()).await)
                });
            }
        }
    }

    fn write_lease(
        &mut self,
        context: &Context,
        now: Millis,
        version: u64,
        row: LeaseRow,
        takes: bool,
    ) {
        self.lease_busy = true;
        let mut tx = Transaction::new()
            .when(lease_key(), version)
            .put(lease_key(), encode(&row));
        if takes {
            tx = tx.put(epoch_key(), row.epoch.to_string());
        }
        // Not through the store with receipts: the row itself tells whose
        // write was last, and a late one only makes others wait.
        let table = context.shared.ports.table.clone();
        let write = LeaseWrite { row, takes, sent: now };
        context.start(async move {
            let result = table.commit(&tx).await;
            Input::LeaseWritten(write, result)
        });
    }

    fn read_orders(&self, context: &Context, epoch: u64) {
        let table = context.shared.ports.table.clone();
        context.start(async move {
            Input::OrdersRead(epoch, table.scan(&orders_prefix()).await)
        });
    }
}
