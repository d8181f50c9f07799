//! Holding the lease under which models are placed.
//!
//! Engines do not check fences, so a new holder keeps quiet until whatever
//! the old one sent has arrived and the bound between holders has passed.

use std::sync::Arc;

use tokio::sync::mpsc;
use valehold_core::{
    Millis,
    id::InstanceId,
    lease::{LeaseKeeper, LeaseStep, LeaseTerms, VersionedLease},
};
use valehold_ports::{
    PortError,
    port::fleet::{FleetStore, LeaseWrite},
};

use super::input::{Input, SentLease};

/// The lease's terms: contenders wait for the whole term, a holder stops
/// well before, so that its last order has arrived by then.
const TERMS: LeaseTerms =
    LeaseTerms { term_ms: 2_600, margin_ms: 600, renew_after_ms: 700 };

/// How long an order may be on its way, in ms.
const ORDER_FLIGHT_MS: u64 = 800;

/// How long a contender waits between two looks at the row, in ms.
const LOOK_EVERY_MS: u64 = 400;

/// How long nobody may be heard to hold the lease before the first gateway
/// contends for it, in ms.
const VACANT_MS: u64 = 400;

/// How much longer each further gateway waits, in ms.
const VACANT_EACH_MS: u64 = 900;

/// This gateway's part in the lease.
pub(super) struct LeaseDuty {
    keeper: LeaseKeeper,
    store: Arc<dyn FleetStore>,
    inputs: mpsc::UnboundedSender<Input>,
    quiet_ms: u64,
    under_way: bool,
    looked: Millis,
    vacant_since: Option<Millis>,
    /// The epoch that was held last, and from when its orders may go.
    held: Option<(u64, Millis)>,
}

impl LeaseDuty {
    pub(super) fn new(
        me: InstanceId,
        quiet_ms: u64,
        store: Arc<dyn FleetStore>,
        inputs: mpsc::UnboundedSender<Input>,
    ) -> Self {
        Self {
            keeper: LeaseKeeper::new(me, TERMS),
            store,
            inputs,
            quiet_ms,
            under_way: false,
            looked: Millis::default(),
            vacant_since: None,
            held: None,
        }
    }

    /// Returns the epoch if the lease is held.
    pub(super) fn held_epoch(&self, now: Millis) -> Option<u64> {
        self.keeper.held_epoch(now)
    }

    /// Returns the epoch if orders may be given.
    pub(super) fn order_epoch(&self, now: Millis) -> Option<u64> {
        let epoch = self.keeper.held_epoch(now)?;
        let (held, from) = self.held?;
        (held == epoch && now >= from).then_some(epoch)
    }

    /// Does what is due. `holder_heard` tells whether another one is heard
    /// to hold the lease, `place` is this gateway's place among all.
    pub(super) fn tick(
        &mut self,
        now: Millis,
        holder_heard: bool,
        place: usize,
    ) {
        if self.under_way {
            return;
        }
        if self.held_epoch(now).is_some() {
            self.vacant_since = None;
            self.act(now);
            return;
        }
        if holder_heard {
            self.vacant_since = None;
            return;
        }
        let since = *self.vacant_since.get_or_insert(now);
        // Who held it last is asked first: its orders need no quiet time.
        let wait = match self.held {
            Some(_) => 0,
            None => VACANT_MS + VACANT_EACH_MS * place as u64,
        };
        let due = now.since(self.looked) >= LOOK_EVERY_MS;
        if due && now.since(since) >= wait {
            self.looked = now;
            self.act(now);
        }
    }

    fn act(&mut self, now: Millis) {
        match self.keeper.step(now) {
            LeaseStep::Read if self.held_epoch(now).is_some() => {}
            LeaseStep::Read => self.read(),
            LeaseStep::Write { version, row, takes } => {
                self.write(SentLease { version, row, takes, sent: now });
            }
        }
    }

    fn read(&mut self) {
        self.under_way = true;
        let (store, inputs) = (self.store.clone(), self.inputs.clone());
        tokio::task::spawn_local(async move {
            let read = store.read_lease().await;
            let _ = inputs.send(Input::LeaseRead(read));
        });
    }

    fn write(&mut self, write: SentLease) {
        self.under_way = true;
        let (store, inputs) = (self.store.clone(), self.inputs.clone());
        tokio::task::spawn_local(async move {
            let written = store.write_lease(write.version, &write.row).await;
            let _ = inputs.send(Input::LeaseWritten(write, written));
        });
    }

    /// Takes in the row.
    pub(super) fn read_done(
        &mut self,
        read: Result<VersionedLease, PortError>,
        now: Millis,
    ) {
        self.under_way = false;
        match read {
            Ok(lease) => {
                self.keeper.row_read(lease, now);
                // A row that nobody holds is taken without another look.
                if let LeaseStep::Write { version, row, takes } =
                    self.keeper.step(now)
                {
                    self.write(SentLease { version, row, takes, sent: now });
                }
            }
            Err(error) => log::debug!("reading the lease: {error}"),
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
            Ok(LeaseWrite::Won(version)) => self.won(write, version, now),
            Ok(LeaseWrite::Lost) => self.keeper.write_lost(write.takes),
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
        let epoch = write.row.epoch;
        if write.takes {
            let from = self.orders_from(epoch, now);
            log::info!("holds the lease in epoch {epoch}");
            self.held = Some((epoch, from));
        }
        let row = Some(write.row);
        let lease = VersionedLease { version, row };
        self.keeper.write_won(lease, write.takes, write.sent, now);
    }

    /// Tells from when on orders may be given in an epoch just taken.
    fn orders_from(&self, epoch: u64, now: Millis) -> Millis {
        match self.held {
            // Nobody held it in between.
            Some((held, from)) if held + 1 == epoch => from,
            // Nobody ever held it.
            None if epoch == 1 => now,
            _ => now + self.quiet_ms + ORDER_FLIGHT_MS,
        }
    }

    /// Gives the lease up, since this gateway leaves.
    pub(super) fn step_down(&mut self, now: Millis) {
        if let Some(LeaseStep::Write { version, row, takes }) =
            self.keeper.step_down(now)
        {
            self.write(SentLease { version, row, takes, sent: now });
        }
    }
}
