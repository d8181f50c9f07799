//! What the holder of the lease does: planning, recording and sending orders.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use tokio::time::Instant;
use valehold_core::{
    Millis,
    account::{EngineAccount, ResidencyReport},
    config::Config,
    id::{Artifact, UpstreamId},
    limit::{Grantor, TokenBucket},
    order::{Order, Stamp},
    placement::{Action, EngineView, ModelDemand, Planner, StepKind},
};
use valehold_ports::port::{Transaction, encode};

use super::keys::{epoch_key, order_key};
use crate::control::{Context, Input, upstreams::Upstreams};

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

/// Orders that are being recorded, and rows that are being cleared.
pub(crate) struct Recording {
    pub(super) epoch: u64,
    orders: Vec<Order>,
    cleared: Vec<(UpstreamId, Artifact)>,
}

/// What the holder of the lease knows.
pub(super) struct HeldCell {
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

impl HeldCell {
    /// Takes over the orders that the platform has.
    pub(super) fn new(
        epoch: u64,
        epoch_version: u64,
        orders: Vec<Order>,
        config: &Config,
        now: Millis,
    ) -> Self {
        let store = config.deployment().weight_store;
        let mut held = Self {
            epoch,
            epoch_version,
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
        held
    }

    /// Returns the epoch under which it holds the lease.
    pub(super) fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Returns the book of grants.
    pub(super) fn grantor(&mut self) -> &mut Grantor {
        &mut self.grantor
    }

    /// Takes in an engine's report.
    pub(super) fn observe(
        &mut self,
        engine: &UpstreamId,
        report: &ResidencyReport,
        asked: Millis,
    ) {
        if let Some(account) = self.accounts.get_mut(engine) {
            account.observe(report, asked);
            self.reported.insert(engine.clone());
        }
    }

    /// Notes that what was being recorded has an outcome.
    pub(super) fn recording_ended(&mut self) {
        self.recording = false;
    }

    /// Notes that the sweep of old claims has ended.
    pub(super) fn swept(&mut self) {
        self.sweeping = false;
    }

    /// Makes accounts for the engines of the configuration.
    pub(super) fn follow_config(&mut self, config: &Config, now: Millis) {
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
    pub(super) fn plan(
        &mut self,
        context: &Context,
        now: Millis,
        config: &Config,
        upstreams: &Upstreams,
        demand: impl FnOnce() -> BTreeMap<Artifact, ModelDemand>,
    ) {
        let due = self.planned.is_none_or(|at| now.since(at) >= PLAN_EVERY_MS);
        if self.recording || !due {
            return;
        }
        self.planned = Some(now);
        let deployment = config.deployment();
        let loads = self.loads_allowed(config, now);
        let demand = demand();
        let planner = Planner::new(
            config.served(),
            &demand,
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
            Some(EngineView::from_account(engine, account, takes_work))
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

    pub(super) fn take_recorded(
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

    pub(super) fn take_back(&mut self, recording: &Recording) {
        for order in &recording.orders {
            if let Some(account) = self.accounts.get_mut(&order.engine) {
                account.not_recorded(order);
            }
        }
    }

    /// Sends the orders that are due.
    pub(super) fn send(
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
    pub(super) fn sweep(
        &mut self,
        context: &Context,
        now: Millis,
        keep_s: u64,
    ) {
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

    pub(super) fn measure(&self, context: &Context) {
        for (engine, account) in &self.accounts {
            context.shared.metrics.engine_memory(
                engine.as_str(),
                account.claimed_mib(),
                account.free_mib(),
            );
        }
    }
}
