//! Writes to the table whose outcome is certain.
//!
//! An answer from the table can be lost after the write took effect. Each
//! transaction therefore also writes a receipt, a row of its own key, on the
//! condition that there is none. When the outcome is open, a second
//! transaction puts a void receipt in that place:
//!
//! - If it goes in, the first can never take effect any more: it is certain
//!   that it was not run, even if it is still on its way.
//! - If it finds a receipt, the first took effect, whoever has written since.
//!
//! Nothing is ever written again blindly.

use std::{
    collections::VecDeque,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use rand::Rng;
use tokio::time::Instant;
use valehold_core::{Verdict, id::InstanceId};

use crate::{
    error::{PortError, PortErrorKind},
    port::{CommitOutcome, Row, Table, Transaction},
};

/// The receipt of a transaction that took effect.
const DONE: &str = "done";

/// The receipt that keeps a transaction from ever taking effect.
const VOID: &str = "void";

/// For how long receipts are kept. A transaction that is still on its way
/// after that could take effect although it was declared void.
const KEEP_RECEIPTS: Duration = Duration::from_secs(120);

/// How many old receipts one transaction clears away.
const RECEIPTS_CLEARED_AT_ONCE: usize = 8;

const FIRST_BACKOFF: Duration = Duration::from_millis(50);
const LONGEST_BACKOFF: Duration = Duration::from_secs(2);

/// The table, with writes whose outcome is certain.
#[derive(Clone)]
pub struct Store {
    table: Arc<dyn Table>,
    owner: InstanceId,
    old_receipts: Arc<Mutex<VecDeque<(String, Instant)>>>,
}

impl Store {
    /// Makes a store that writes its receipts under an owner's name.
    pub fn new(table: Arc<dyn Table>, owner: InstanceId) -> Self {
        Self { table, owner, old_receipts: Arc::default() }
    }

    /// Returns the table itself.
    pub fn table(&self) -> &Arc<dyn Table> {
        &self.table
    }

    /// Reads a row.
    ///
    /// # Errors
    ///
    /// If the table does not answer.
    pub async fn get(&self, key: &str) -> Result<Option<Row>, PortError> {
        self.table.get(key).await
    }

    /// Reads all rows whose keys begin with `prefix`.
    ///
    /// # Errors
    ///
    /// If the table does not answer.
    pub async fn scan(&self, prefix: &str) -> Result<Vec<Row>, PortError> {
        self.table.scan(prefix).await
    }

    /// Commits a transaction and finds out its outcome.
    ///
    /// # Errors
    ///
    /// With the verdict "not run", if it certainly did not and will not take
    /// effect. With "may have run", if `give_up` came before the table could
    /// tell.
    pub async fn commit(
        &self,
        tx: Transaction,
        give_up: Instant,
    ) -> Result<CommitOutcome, PortError> {
        let receipt = self.new_receipt();
        let (cleared, mut tx) = self.clear_old(tx);
        tx = tx.when(&receipt, 0).put(&receipt, DONE);
        let outcome = match self.table.commit(&tx).await {
            Ok(outcome) => Ok(outcome),
            Err(e) if e.verdict() == Verdict::NotRun => Err(e),
            Err(e) => self.find_out(&receipt, e, give_up).await,
        };
        if !matches!(outcome, Ok(CommitOutcome::Done { .. })) {
            self.keep_for_later(cleared);
        }
        self.keep_for_later(vec![(receipt, Instant::now())]);
        outcome
    }

    /// Finds out what became of a transaction whose answer was lost.
    async fn find_out(
        &self,
        receipt: &str,
        mut lost: PortError,
        give_up: Instant,
    ) -> Result<CommitOutcome, PortError> {
        let void = Transaction::new().when(receipt, 0).put(receipt, VOID);
        let mut backoff = FIRST_BACKOFF;
        while Instant::now() < give_up {
            match self.table.commit(&void).await {
                Ok(CommitOutcome::Done { .. }) => return Err(voided(&lost)),
                Ok(CommitOutcome::Conflict { .. }) => {
                    match self.table.get(receipt).await {
                        Ok(row) => return settled(row, &lost),
                        Err(e) => lost = e,
                    }
                }
                Err(e) => lost = e,
            }
            tokio::time::sleep(jittered(backoff)).await;
            backoff = (backoff * 2).min(LONGEST_BACKOFF);
        }
        Err(PortError::new(
            PortErrorKind::TimedOut,
            Verdict::MayHaveRun,
            format!("the table does not tell what became of a write: {lost}"),
        ))
    }

    fn new_receipt(&self) -> String {
        let id: u128 = rand::rng().random();
        format!("receipts/{}/{id:032x}", self.owner)
    }

    /// Adds to a transaction the deletion of some old receipts.
    fn clear_old(
        &self,
        mut tx: Transaction,
    ) -> (Vec<(String, Instant)>, Transaction) {
        let mut cleared = Vec::new();
        let mut old = self.lock_receipts();
        while cleared.len() < RECEIPTS_CLEARED_AT_ONCE {
            let Some((_, written)) = old.front() else { break };
            if written.elapsed() <= KEEP_RECEIPTS {
                break;
            }
            let Some(receipt) = old.pop_front() else { break };
            tx = tx.delete(&receipt.0);
            cleared.push(receipt);
        }
        (cleared, tx)
    }

    fn keep_for_later(&self, receipts: Vec<(String, Instant)>) {
        self.lock_receipts().extend(receipts);
    }

    fn lock_receipts(
        &self,
    ) -> std::sync::MutexGuard<'_, VecDeque<(String, Instant)>> {
        // The queue is whole after every step, so a panic elsewhere while it
        // was locked does no harm.
        self.old_receipts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn voided(lost: &PortError) -> PortError {
    let message = format!("the write was taken back: {lost}");
    PortError::new(lost.kind(), Verdict::NotRun, message)
}

fn settled(
    receipt: Option<Row>,
    lost: &PortError,
) -> Result<CommitOutcome, PortError> {
    match receipt {
        Some(row) if row.value == DONE => {
            Ok(CommitOutcome::Done { version: row.version })
        }
        // An earlier try to void it took effect and its answer was lost.
        _ => Err(voided(lost)),
    }
}

/// Returns a random time from half of `longest` to all of it.
fn jittered(longest: Duration) -> Duration {
    longest.mul_f64(rand::rng().random_range(0.5..=1.0))
}
