//! What the store says of a write is so, whatever the table does to it.

use std::{
    collections::VecDeque,
    sync::{Arc, Mutex},
    time::Duration,
};

use futures::FutureExt;
use googletest::prelude::*;
use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed},
};
use tokio::time::Instant;
use valehold_core::{Verdict, id::InstanceId};
use valehold_ports::{
    PortError,
    budget::BudgetedTable,
    port::{Answer, CommitOutcome, Row, Table, Transaction},
    store::Store,
};
use valehold_standin::PlatformStandin;

/// What the table does to one call.
#[derive(Debug, Clone, Copy)]
enum Does {
    Answer,
    /// Takes effect; the answer is lost.
    LoseAnswer,
    /// Never arrives.
    LoseCall,
    /// Arrives, and takes effect, only after so many further calls.
    Late(u8),
    /// Refuses the connection.
    Refuse,
}

/// A table that does to each call what it was told; after that it answers.
#[derive(Default)]
struct Adversary {
    platform: PlatformStandin,
    todo: Mutex<VecDeque<Does>>,
    late: Mutex<Vec<(u8, Transaction)>>,
}

impl Adversary {
    /// Lets late transactions come nearer, and those that are due arrive.
    fn step(&self) {
        let mut late = self.late.lock().unwrap();
        for (left, _) in late.iter_mut() {
            *left = left.saturating_sub(1);
        }
        late.retain(|(left, tx)| {
            if *left == 0 {
                self.platform.commit(tx);
            }
            *left > 0
        });
    }

    fn next(&self) -> Does {
        self.step();
        self.todo.lock().unwrap().pop_front().unwrap_or(Does::Answer)
    }
}

fn lost() -> PortError {
    PortError::timed_out("no answer")
}

impl Table for Adversary {
    fn get<'a>(&'a self, key: &'a str) -> Answer<'a, Option<Row>> {
        let answer = match self.next() {
            Does::Answer => {
                Ok(self.platform.rows(key).into_iter().find(|r| r.key == key))
            }
            Does::Refuse => Err(PortError::not_connected("refused")),
            _ => Err(lost()),
        };
        async move { answer }.boxed()
    }

    fn scan<'a>(&'a self, prefix: &'a str) -> Answer<'a, Vec<Row>> {
        let rows = self.platform.rows(prefix);
        async move { Ok(rows) }.boxed()
    }

    fn commit<'a>(&'a self, tx: &'a Transaction) -> Answer<'a, CommitOutcome> {
        let answer = match self.next() {
            Does::Answer => Ok(self.platform.commit(tx)),
            Does::LoseAnswer => {
                self.platform.commit(tx);
                Err(lost())
            }
            Does::LoseCall => Err(lost()),
            Does::Late(after) => {
                self.late.lock().unwrap().push((after.max(1), tx.clone()));
                Err(lost())
            }
            Does::Refuse => Err(PortError::not_connected("refused")),
        };
        async move { answer }.boxed()
    }
}

fn does() -> impl Strategy<Value = Does> {
    prop_oneof![
        3 => Just(Does::Answer),
        2 => Just(Does::LoseAnswer),
        2 => Just(Does::LoseCall),
        3 => (1_u8..12).prop_map(Does::Late),
        1 => Just(Does::Refuse),
    ]
}

/// Commits a number of writes, each to a key of its own, and checks what was
/// said of each once everything late has arrived.
async fn commit_all(todo: Vec<Does>, writes: usize) -> Vec<String> {
    let table = Arc::new(Adversary::default());
    table.todo.lock().unwrap().extend(todo);
    let store = Store::new(table.clone(), InstanceId::new("i"));
    let mut said = Vec::new();
    for number in 0..writes {
        // Not conditioned on its own key, so that only the receipt can keep
        // a late copy out.
        let tx = Transaction::new().put(format!("k{number}"), "written");
        let give_up = Instant::now() + Duration::from_secs(30);
        said.push(store.commit(tx, give_up).await);
    }
    for _ in 0..20 {
        table.step();
    }
    let mut faults = Vec::new();
    for (number, said) in said.iter().enumerate() {
        let key = format!("k{number}");
        let written = !table.platform.rows(&key).is_empty();
        let wrong = match said {
            Ok(CommitOutcome::Done { .. }) => !written,
            Ok(CommitOutcome::Conflict { .. }) => true,
            Err(e) if e.verdict() == Verdict::NotRun => written,
            Err(_) => false,
        };
        if wrong {
            faults.push(format!("{key} written: {written}, said: {said:?}"));
        }
    }
    faults
}

proptest! {
    #![proptest_config(Config {
        cases: 256,
        rng_seed: RngSeed::Fixed(20_261_202),
        failure_persistence: None,
        ..Config::default()
    })]

    #[test]
    fn what_is_said_of_a_write_is_so(
        todo in prop::collection::vec(does(), 0..30),
    ) {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_time()
            .start_paused(true)
            .build()
            .unwrap();
        let faults = runtime.block_on(commit_all(todo, 4));
        prop_assert!(faults.is_empty(), "{faults:?}");
    }
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn a_lost_answer_is_found_out_also_after_other_writes() {
    let table = Arc::new(Adversary::default());
    table.todo.lock().unwrap().extend([Does::LoseAnswer]);
    let store = Store::new(table.clone(), InstanceId::new("i"));
    let other = Transaction::new().put("k", "another's");
    let writer = {
        let (store, table) = (store.clone(), table.clone());
        async move {
            let tx = Transaction::new().put("k", "ours");
            let give_up = Instant::now() + Duration::from_secs(5);
            let outcome = store.commit(tx, give_up).await;
            table.platform.commit(&other);
            outcome
        }
    };
    let outcome = writer.await.unwrap();
    expect_that!(outcome, matches_pattern!(CommitOutcome::Done { .. }));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn a_write_that_comes_after_it_was_voided_has_no_effect() {
    let table = Arc::new(Adversary::default());
    table.todo.lock().unwrap().extend([Does::Late(10)]);
    let store = Store::new(table.clone(), InstanceId::new("i"));
    let tx = Transaction::new().put("k", "late");
    let give_up = Instant::now() + Duration::from_secs(5);
    let error = store.commit(tx, give_up).await.unwrap_err();
    expect_that!(error.verdict(), eq(Verdict::NotRun));
    for _ in 0..10 {
        table.step();
    }
    expect_that!(table.platform.rows("k").len(), eq(0));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn a_table_that_never_tells_leaves_the_outcome_open() {
    let table = Arc::new(Adversary::default());
    table.todo.lock().unwrap().extend([Does::LoseCall; 500]);
    let store = Store::new(table, InstanceId::new("i"));
    let give_up = Instant::now() + Duration::from_secs(5);
    let error = store
        .commit(Transaction::new().put("k", "v"), give_up)
        .await
        .unwrap_err();
    expect_that!(error.verdict(), eq(Verdict::MayHaveRun));
    expect_that!(Instant::now() >= give_up, eq(true));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn calls_beyond_the_budget_wait() {
    let table = Arc::new(Adversary::default());
    let budgeted = BudgetedTable::new(table, 10.0, 5.0);
    let began = Instant::now();
    for _ in 0..40 {
        budgeted.get("k").await.unwrap();
    }
    // 20 at once from what was saved up, and 20 more at 10 a second.
    expect_that!(began.elapsed(), eq(Duration::from_secs(2)));
    let began = Instant::now();
    for _ in 0..20 {
        budgeted.commit(&Transaction::new()).await.unwrap();
    }
    expect_that!(began.elapsed(), eq(Duration::from_secs(2)));
}
