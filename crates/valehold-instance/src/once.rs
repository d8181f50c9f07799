//! Claims of calls that may not be repeated, in the platform's table.
//!
//! Claims that come in together share a transaction, so that a busy instance
//! stays within its writes. If one of them is taken already, the others go
//! on without it.

use std::{
    collections::BTreeSet,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use sha2::{Digest, Sha256};
use tokio::{
    sync::{mpsc, oneshot},
    time::Instant,
};
use valehold_core::{
    Verdict,
    digest::hexadecimal,
    id::{ServiceName, WorkspaceId},
    ledger::{ClaimRow, RecordedAnswer},
};
use valehold_ports::{
    PortError, PortErrorKind,
    port::{CommitOutcome, Transaction, decode, encode},
    store::Store,
};

/// The prefix of claims' keys.
const PREFIX: &str = "once/";

/// How many claims may wait.
const WAITING: usize = 1_024;

/// How many claims share a transaction at the most.
const AT_ONCE: usize = 32;

/// For how long others are waited for before a transaction is sent.
const GATHER: Duration = Duration::from_millis(2);

/// How long the store may take to record claims.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(2);

/// How long the store may take to record an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);

/// How many old claims one transaction clears away.
const SWEPT_AT_ONCE: usize = 64;

/// What became of a claim.
#[derive(Debug)]
pub enum Claimed {
    /// It is ours; its row has this version.
    Won(u64),
    /// The key was claimed before.
    Found(Box<ClaimRow>),
}

struct Ask {
    key: String,
    row: ClaimRow,
    answer: oneshot::Sender<Result<Claimed, PortError>>,
}

/// The way to claim calls.
#[derive(Clone)]
pub struct Claims {
    store: Store,
    asks: mpsc::Sender<Ask>,
}

/// Returns the key of a call's claim.
pub fn claim_key(
    workspace: &WorkspaceId,
    service: &ServiceName,
    idempotency_key: &str,
) -> String {
    let mut hasher = Sha256::new();
    hasher.update(service.as_str());
    hasher.update([0]);
    hasher.update(idempotency_key);
    format!("{PREFIX}{workspace}/{}", hexadecimal(&hasher.finalize()))
}

/// Returns the digest by which a repeat is told from another call.
pub fn call_digest(method: &str, path: &str, body: &[u8]) -> String {
    let mut hasher = Sha256::new();
    hasher.update(method);
    hasher.update([0]);
    hasher.update(path);
    hasher.update([0]);
    hasher.update(body);
    hexadecimal(&hasher.finalize())
}

/// Returns the seconds since the epoch, for the age of claims.
pub fn wall_seconds() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_secs())
}

impl Claims {
    /// Starts the task that gathers claims.
    pub fn start(store: Store) -> Self {
        let (asks, taken) = mpsc::channel(WAITING);
        tokio::spawn(gather(store.clone(), taken));
        Self { store, asks }
    }

    /// Claims a call.
    ///
    /// # Errors
    ///
    /// If the store does not say that the claim is recorded. Nothing may be
    /// sent then.
    pub async fn claim(
        &self,
        key: String,
        row: ClaimRow,
    ) -> Result<Claimed, PortError> {
        let (answer, answered) = oneshot::channel();
        let asked = self.asks.try_send(Ask { key, row, answer });
        let refused = |why: &str| {
            PortError::new(PortErrorKind::Refused, Verdict::NotRun, why)
        };
        asked.map_err(|_| refused("too many claims wait"))?;
        answered.await.map_err(|_| refused("this instance stops"))?
    }

    /// Records the answer of a claimed call.
    ///
    /// # Errors
    ///
    /// If the store does not say that it is recorded; a repeat will then be
    /// told that the call may have run.
    pub async fn record(
        &self,
        key: &str,
        version: u64,
        mut row: ClaimRow,
        answer: RecordedAnswer,
    ) -> Result<(), PortError> {
        row.answer = Some(answer);
        let tx = Transaction::new().when(key, version);
        self.finish(tx.put(key, encode(&row))).await
    }

    /// Gives up the claim of a call that certainly did not run.
    ///
    /// # Errors
    ///
    /// If the store does not say that it is given up; a repeat will then be
    /// told that the call may have run.
    pub async fn release(
        &self,
        key: &str,
        version: u64,
    ) -> Result<(), PortError> {
        self.finish(Transaction::new().when(key, version).delete(key)).await
    }

    async fn finish(&self, tx: Transaction) -> Result<(), PortError> {
        let give_up = Instant::now() + ANSWER_TIMEOUT;
        self.store.commit(tx, give_up).await.map(|_| ())
    }
}

/// Clears away claims that are older than `keep_s` seconds.
///
/// # Errors
///
/// If the store does not answer.
pub async fn sweep(store: &Store, keep_s: u64) -> Result<(), PortError> {
    let oldest = wall_seconds().saturating_sub(keep_s);
    let rows = store.scan(PREFIX).await?;
    let old: Vec<_> = rows
        .iter()
        .filter(|row| {
            decode::<ClaimRow>(row).is_ok_and(|c| c.claimed_at < oldest)
        })
        .collect();
    for rows in old.chunks(SWEPT_AT_ONCE) {
        let tx = rows.iter().fold(Transaction::new(), |tx, row| {
            tx.when(&row.key, row.version).delete(&row.key)
        });
        store.commit(tx, Instant::now() + ANSWER_TIMEOUT).await?;
    }
    Ok(())
}

async fn gather(store: Store, mut asks: mpsc::Receiver<Ask>) {
    let mut put_off: Vec<Ask> = Vec::new();
    loop {
        let mut batch = std::mem::take(&mut put_off);
        if batch.is_empty() {
            let Some(ask) = asks.recv().await else { return };
            batch.push(ask);
            tokio::time::sleep(GATHER).await;
        }
        while batch.len() < AT_ONCE {
            let Ok(ask) = asks.try_recv() else { break };
            batch.push(ask);
        }
        put_off = split_repeats(&mut batch);
        commit(&store, batch).await;
    }
}

/// Takes out of a batch what has the same key as another of it.
fn split_repeats(batch: &mut Vec<Ask>) -> Vec<Ask> {
    let mut keys = BTreeSet::new();
    let asks = std::mem::take(batch);
    let (first, repeats): (Vec<Ask>, Vec<Ask>) =
        asks.into_iter().partition(|ask| keys.insert(ask.key.clone()));
    *batch = first;
    repeats
}

async fn commit(store: &Store, mut batch: Vec<Ask>) {
    let give_up = Instant::now() + CLAIM_TIMEOUT;
    while !batch.is_empty() {
        let tx = batch.iter().fold(Transaction::new(), |tx, ask| {
            tx.when(&ask.key, 0).put(&ask.key, encode(&ask.row))
        });
        match store.commit(tx, give_up).await {
            Ok(CommitOutcome::Done { version }) => {
                for ask in batch {
                    // The caller may be gone; its claim then stays begun.
                    let _ = ask.answer.send(Ok(Claimed::Won(version)));
                }
                return;
            }
            Ok(CommitOutcome::Conflict { key }) => {
                answer_found(store, &mut batch, &key).await;
            }
            Err(error) => {
                for ask in batch {
                    let _ = ask.answer.send(Err(error.clone()));
                }
                return;
            }
        }
    }
}

/// Answers the claim whose key is taken.
async fn answer_found(store: &Store, batch: &mut Vec<Ask>, key: &str) {
    let found = match store.get(key).await {
        Ok(Some(row)) => decode::<ClaimRow>(&row),
        // It was given up in between: the next try may win it.
        Ok(None) => return,
        Err(error) => Err(error),
    };
    let taken = batch.iter().position(|ask| ask.key == key);
    let Some(index) = taken else { return };
    let ask = batch.swap_remove(index);
    let claimed = found.map(|row| Claimed::Found(Box::new(row)));
    let _ = ask.answer.send(claimed);
}
