//! Keeping within this instance's share of the platform's reads and writes.
//!
//! The platform takes so many writes and reads a second from all instances
//! together; `docs/CAPACITY.md` has the rates of today's deployments. Each
//! instance has a fixed share of both. A call beyond it waits for its turn;
//! after an outage that is also what keeps the instances from all asking at
//! once.

use std::{
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use futures::FutureExt;
use tokio::time::Instant;
use valehold_core::{Millis, limit::TokenBucket};

use crate::port::{Answer, CommitOutcome, Row, Table, Transaction};

/// How many seconds of its share an instance can save up.
const BURST_S: f64 = 2.0;

/// A number of calls a second, waited for.
#[derive(Debug)]
struct Budget {
    bucket: Mutex<TokenBucket>,
    start: Instant,
}

impl Budget {
    fn new(per_second: f64) -> Self {
        let bucket = TokenBucket::new(per_second, BURST_S, Millis::default());
        Self { bucket: Mutex::new(bucket), start: Instant::now() }
    }

    /// Waits until one more call is within the budget.
    async fn wait(&self) {
        while let Err(wait_ms) = self.try_take() {
            tokio::time::sleep(Duration::from_millis(wait_ms)).await;
        }
    }

    fn try_take(&self) -> Result<(), u64> {
        let now = Millis::from(self.start.elapsed());
        // The bucket is two numbers; any value a panic left is a valid one.
        let bucket = self.bucket.lock();
        bucket.unwrap_or_else(PoisonError::into_inner).try_take(1.0, now)
    }
}

/// A table of which only a share is used.
pub struct BudgetedTable {
    table: Arc<dyn Table>,
    reads: Budget,
    writes: Budget,
}

impl BudgetedTable {
    /// Wraps a table; the shares are in calls a second.
    pub fn new(table: Arc<dyn Table>, reads: f64, writes: f64) -> Self {
        let (reads, writes) = (Budget::new(reads), Budget::new(writes));
        Self { table, reads, writes }
    }
}

impl Table for BudgetedTable {
    fn get<'a>(&'a self, key: &'a str) -> Answer<'a, Option<Row>> {
        async move {
            self.reads.wait().await;
            self.table.get(key).await
        }
        .boxed()
    }

    fn scan<'a>(&'a self, prefix: &'a str) -> Answer<'a, Vec<Row>> {
        async move {
            self.reads.wait().await;
            self.table.scan(prefix).await
        }
        .boxed()
    }

    fn commit<'a>(&'a self, tx: &'a Transaction) -> Answer<'a, CommitOutcome> {
        async move {
            self.writes.wait().await;
            self.table.commit(tx).await
        }
        .boxed()
    }
}
