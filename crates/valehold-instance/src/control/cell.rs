//! The placement cell: its lease, its orders, and their sending.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use tokio::time::Instant;
use valehold_core::{
    Millis, Verdict,
    account::{EngineAccount, ResidencyReport},
    config::Config,
    id::{Artifact, InstanceId, UpstreamId},
    lease::{LeaseKeeper, LeaseRow, LeaseStep, LeaseTerms, VersionedLease},
    limit::{Grantor, TokenBucket},
    order::{Order, Stamp},
    placement::{Action, EngineView, ModelDemand, Planner, StepKind},
};
use valehold_platform::{
    PortError,
    port::{CommitOutcome, Row, Transaction, decode, encode},
};

use super::{Context, Input, upstreams::Upstreams};
use crate::settings::Settings;

/// The one cell that there is today. Keys carry its number, so that engines
/// can be split over several without moving what is stored.
const CELL: u16 = 0;

/// How often the lease's row is read or renewed.
const LEASE_EVERY_MS: u64 = 500;

/// How often the next steps are planned.
const PLAN_EVERY_MS: u64 = 500;

/// After how long an order without a visible effect is sent again.
const RESEND_AFTER_MS: u64 = 1_000;

/// After how long a load that is not done is taken back.
const STUCK_AFTER_MS: u64 = 600_000;

/// How many rows one transaction writes at the most.
const ROWS_AT_ONCE: usize = 64;

/// How long a grant of limits lasts.
const GRANT_TERM_MS: u64 = 5_000;

/// How often claims of calls that may not be repeated are swept.
const SWEEP_EVERY_MS: u64 = 600_000;

/// How long recording orders may take before the lease is given up.
const RECORD_TIMEOUT: Duration = Duration::from_secs(3);

fn lease_key() -> String {
    format!("cells/{CELL}/lease")
}

fn epoch_key() -> String {
    format!("cells/{CELL}/epoch")
}

fn orders_prefix() -> String {
    format!("cells/{CELL}/orders/")
}

fn order_key(engine: &UpstreamId, artifact: &Artifact) -> String {
    format!("{}{engine}/{artifact}", orders_prefix())
}

/// A write of the lease's row, under way.
pub(crate) struct LeaseWrite {
    row: LeaseRow,
    takes: bool,
    sent: Millis,
}

/// Orders that are being recorded, and rows that are being cleared.
pub(crate) struct Recording {
    epoch: u64,
    orders: Vec<Order>,
    cleared: Vec<(UpstreamId, Artifact)>,
}

/// What the holder of the lease knows.
struct Held {
    epoch: u64,
    /// The version of the epoch's row; every write is conditioned on it.
    epoch_version: u64,
    sequence: u64,
    accounts: BTreeMap<UpstreamId, EngineAccount>,
    /// The rows that the platform has.
    rows: BTreeMap<UpstreamId, BTreeSet<Artifact>>,
    /// Rows of engines that the configuration does not have.
    unplaced: Vec<Order>,
    /// Engines that reported since the lease was taken.
    reported: BTreeSet<UpstreamId>,
    loads: TokenBucket,
    grantor: Grantor,
    recording: bool,
    planned: Option<Millis>,
    swept: Millis,
    sweeping: bool,
}

/// This instance's part in the placement cell.
pub(super) struct Cell {
    keeper: LeaseKeeper,
    instance: InstanceId,
    keep_claims_s: u64,
    lease_busy: bool,
    lease_at: Option<Millis>,
    taken_version: u64,
    held: Option<Held>,
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
        Some(&mut self.held.as_mut()?.grantor)
    }

    pub(super) fn tick(
        &mut self,
        context: &Context,
        now: Millis,
        config: Option<(&Arc<Config>, u64)>,
        upstreams: &Upstreams,
        demand: &BTreeMap<Artifact, ModelDemand>,
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
        if held.epoch != epoch {
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
        let Some(held) = &mut self.held else { return };
        if let Some(account) = held.accounts.get_mut(engine) {
            account.observe(report, asked);
            held.reported.insert(engine.clone());
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
        let store = config.deployment().weight_store;
        let mut held = Held {
            epoch,
            epoch_version: self.taken_version,
            sequence: 0,
            accounts: BTreeMap::new(),
            rows: BTreeMap::new(),
            unplaced: orders,
            reported: BTreeSet::new(),
            // The holder before may just have spent what the weight store
            // allows, so the budget starts empty.
            loads: TokenBucket::new_empty(store.loads_per_second, 1.0, now),
            grantor: Grantor::new(GRANT_TERM_MS, now),
            recording: false,
            planned: None,
            swept: now,
            sweeping: false,
        };
        held.follow_config(config, now);
        self.held = Some(held);
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
        if held.epoch != recording.epoch {
            return;
        }
        held.recording = false;
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
            held.sweeping = false;
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

impl Held {
    /// Makes accounts for the engines of the configuration.
    fn follow_config(&mut self, config: &Config, now: Millis) {
        let deployment = config.deployment();
        let bound = deployment.placement.late_order_bound_ms;
        for engine in &deployment.engine {
            let usable = engine.usable_mib();
            if let Some(account) = self.accounts.get_mut(&engine.name) {
                account.configure(usable, bound);
                continue;
            }
            let mut account = EngineAccount::new(
                engine.name.clone(),
                usable,
                engine.checks_fences,
                bound,
            );
            let unplaced = std::mem::take(&mut self.unplaced);
            for order in unplaced {
                if order.engine == engine.name {
                    let rows =
                        self.rows.entry(engine.name.clone()).or_default();
                    rows.insert(order.artifact.clone());
                    account.take_over(order, now);
                } else {
                    self.unplaced.push(order);
                }
            }
            self.accounts.insert(engine.name.clone(), account);
        }
    }

    /// Plans the next steps and starts recording their orders.
    fn plan(
        &mut self,
        context: &Context,
        now: Millis,
        config: &Config,
        upstreams: &Upstreams,
        demand: &BTreeMap<Artifact, ModelDemand>,
    ) {
        let due = self.planned.is_none_or(|at| now.since(at) >= PLAN_EVERY_MS);
        if self.recording || !due {
            return;
        }
        self.planned = Some(now);
        let deployment = config.deployment();
        let loads = self.loads_allowed(config, now);
        let planner = Planner::new(
            config.served(),
            demand,
            deployment.weighing,
            deployment.placement.horizon_s,
            self.views(config, upstreams),
            loads,
        );
        let mut orders = self.orders_of(planner.plan(), context, now);
        orders.extend(self.orders_against_stuck(now));
        orders.extend(self.renewed_orders(now));
        let cleared = self.rows_to_clear();
        if !orders.is_empty() || !cleared.is_empty() {
            self.record(context, orders, cleared);
        }
    }

    fn loads_allowed(&mut self, config: &Config, now: Millis) -> usize {
        let width = config.deployment().weight_store.loads_at_once as usize;
        let under_way: usize =
            self.accounts.values().map(EngineAccount::loads_under_way).sum();
        let left = width.saturating_sub(under_way);
        left.min(self.loads.available(now))
    }

    fn views(
        &self,
        config: &Config,
        upstreams: &Upstreams,
    ) -> Vec<EngineView> {
        let engines = config.deployment().engine.iter();
        let views = engines.filter_map(|engine| {
            let account = self.accounts.get(&engine.name)?;
            let takes_work = self.reported.contains(&engine.name)
                && upstreams.takes_artifacts(&engine.name);
            Some(view_of(engine, account, takes_work))
        });
        views.collect()
    }

    fn orders_of(
        &mut self,
        actions: Vec<Action>,
        context: &Context,
        now: Millis,
    ) -> Vec<Order> {
        let mut orders = Vec::new();
        for action in actions.into_iter().take(ROWS_AT_ONCE) {
            let stamp = self.next_stamp();
            let Some(account) = self.accounts.get_mut(&action.engine) else {
                continue;
            };
            let (artifact, size) = (&action.artifact, action.size_mib);
            let ordered = match action.kind {
                StepKind::Load => {
                    account.order_load(artifact, size, stamp, now)
                }
                StepKind::Unload => account.order_unload(artifact, stamp, now),
            };
            let kind = match action.kind {
                StepKind::Load => "load",
                StepKind::Unload => "unload",
            };
            match ordered {
                Ok(order) => {
                    if action.kind == StepKind::Load {
                        let _ = self.loads.try_take(1.0, now);
                    }
                    context.shared.metrics.ordered(kind);
                    log::info!(
                        "{kind} {artifact} on {}: {}",
                        action.engine,
                        action.reason
                    );
                    orders.push(order);
                }
                Err(fault) => log::debug!(
                    "no {kind} of {artifact} on {}: {fault}",
                    action.engine
                ),
            }
        }
        orders
    }

    /// Takes back loads that an engine does not get done.
    fn orders_against_stuck(&mut self, now: Millis) -> Vec<Order> {
        let stuck: Vec<(UpstreamId, Artifact)> = self
            .accounts
            .iter()
            .flat_map(|(engine, account)| {
                let stuck = account.stuck_loads(now, STUCK_AFTER_MS);
                stuck.into_iter().map(|artifact| (engine.clone(), artifact))
            })
            .collect();
        let mut orders = Vec::new();
        for (engine, artifact) in stuck {
            log::warn!("{engine} does not get {artifact} loaded");
            let stamp = self.next_stamp();
            let Some(account) = self.accounts.get_mut(&engine) else {
                continue;
            };
            orders.extend(account.order_unload(&artifact, stamp, now));
        }
        orders
    }

    /// Decides anew what earlier holders decided and is not seen to be done.
    fn renewed_orders(&mut self, now: Millis) -> Vec<Order> {
        let (epoch, sequence) = (self.epoch, &mut self.sequence);
        let mut next_stamp = || {
            *sequence += 1;
            Stamp { epoch, sequence: *sequence }
        };
        let accounts = self.accounts.values_mut();
        accounts
            .flat_map(|account| account.renew(epoch, &mut next_stamp, now))
            .collect()
    }

    fn next_stamp(&mut self) -> Stamp {
        self.sequence += 1;
        Stamp { epoch: self.epoch, sequence: self.sequence }
    }

    fn rows_to_clear(&self) -> Vec<(UpstreamId, Artifact)> {
        let settled = self.rows.iter().flat_map(|(engine, artifacts)| {
            let account = self.accounts.get(engine);
            let settled = account.map(|a| a.settled_rows(artifacts.iter()));
            let settled = settled.unwrap_or_default();
            settled.into_iter().map(|artifact| (engine.clone(), artifact))
        });
        settled.take(ROWS_AT_ONCE).collect()
    }

    fn record(
        &mut self,
        context: &Context,
        orders: Vec<Order>,
        mut cleared: Vec<(UpstreamId, Artifact)>,
    ) {
        // An artifact that was just ordered again keeps its row.
        cleared.retain(|(engine, artifact)| {
            let same =
                |o: &Order| o.engine == *engine && o.artifact == *artifact;
            !orders.iter().any(same)
        });
        let mut tx = Transaction::new().when(epoch_key(), self.epoch_version);
        for (engine, artifact) in &cleared {
            tx = tx.delete(order_key(engine, artifact));
        }
        for order in &orders {
            let key = order_key(&order.engine, &order.artifact);
            tx = tx.put(key, encode(order));
        }
        self.recording = true;
        let store = context.shared.store.clone();
        let recording = Recording { epoch: self.epoch, orders, cleared };
        context.start(async move {
            let give_up = Instant::now() + RECORD_TIMEOUT;
            let result = store.commit(tx, give_up).await;
            Input::Recorded(recording, result)
        });
    }

    fn take_recorded(
        &mut self,
        context: &Context,
        recording: &Recording,
        now: Millis,
    ) {
        for (engine, artifact) in &recording.cleared {
            if let Some(rows) = self.rows.get_mut(engine) {
                rows.remove(artifact);
            }
        }
        for order in &recording.orders {
            let rows = self.rows.entry(order.engine.clone()).or_default();
            rows.insert(order.artifact.clone());
            if let Some(account) = self.accounts.get_mut(&order.engine) {
                account.recorded(order, now);
            }
        }
        let count = recording.orders.len();
        log::debug!("{count} orders recorded at {:?}", context.now());
    }

    fn take_back(&mut self, recording: &Recording) {
        for order in &recording.orders {
            if let Some(account) = self.accounts.get_mut(&order.engine) {
                account.not_recorded(order);
            }
        }
    }

    /// Sends the orders that are due.
    fn send(
        &mut self,
        context: &Context,
        now: Millis,
        held_until: Millis,
        upstreams: &Upstreams,
    ) {
        for (engine, account) in &mut self.accounts {
            let Some(address) = upstreams.address(engine) else { continue };
            for order in account.take_due(self.epoch, now, RESEND_AFTER_MS) {
                let shared = context.shared.clone();
                let engine = engine.clone();
                context.start(async move {
                    // The process may have been paused since the decision.
                    let result = if shared.clock.now() < held_until {
                        shared.ports.engines.order(address, &order).await
                    } else {
                        Ok(())
                    };
                    Input::Sent(engine, result)
                });
            }
        }
    }

    /// Clears away claims of calls that are older than they are kept.
    fn sweep(&mut self, context: &Context, now: Millis, keep_s: u64) {
        if self.sweeping || now.since(self.swept) < SWEEP_EVERY_MS {
            return;
        }
        self.swept = now;
        self.sweeping = true;
        let store = context.shared.store.clone();
        context.start(async move {
            if let Err(error) = crate::once::sweep(&store, keep_s).await {
                log::warn!("old claims were not swept: {error}");
            }
            Input::Swept
        });
    }

    fn measure(&self, context: &Context) {
        for (engine, account) in &self.accounts {
            context.shared.metrics.engine_memory(
                engine.as_str(),
                account.claimed_mib(),
                account.free_mib(),
            );
        }
    }
}

fn view_of(
    engine: &valehold_core::config::Engine,
    account: &EngineAccount,
    takes_work: bool,
) -> EngineView {
    let artifacts = || account.claims().map(|(artifact, _)| artifact.clone());
    EngineView {
        engine: engine.name.clone(),
        data_centre: engine.data_centre.clone(),
        free_mib: account.free_mib(),
        capacity: engine.capacity(),
        takes_work,
        reachable: artifacts().filter(|a| account.is_reachable(a)).collect(),
        claimed: account
            .claims()
            .map(|(artifact, size)| (artifact.clone(), size))
            .collect(),
        leaving: artifacts().filter(|a| account.is_leaving(a)).collect(),
        unsettled: artifacts().filter(|a| account.is_unsettled(a)).collect(),
    }
}
