//! The platform: table, object store and instance list.

use std::{
    collections::BTreeMap,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use tokio::time::Instant;
use valehold_ports::port::{
    CommitOutcome, Listed, ListedState, Row, Transaction,
};
use viz::{Body, IntoResponse, Request, RequestExt, Response, Router};

use crate::{
    fault::{Faults, answer},
    server::{Running, json},
};

#[derive(Debug, Default)]
struct State {
    commits: u64,
    rows: BTreeMap<String, Row>,
    objects: BTreeMap<String, Bytes>,
    listed: Vec<Listed>,
    /// Older lists, each with when it was replaced.
    earlier: Vec<(Instant, Vec<Listed>)>,
    list_lag: Duration,
}

/// The platform's stand-in. Clones share its state.
#[derive(Debug, Clone, Default)]
pub struct PlatformStandin {
    state: Arc<Mutex<State>>,
    reads: Arc<AtomicU64>,
    writes: Arc<AtomicU64>,
    /// The faults of table and object store.
    pub store_faults: Faults,
    /// The faults of the instance list.
    pub list_faults: Faults,
}

impl PlatformStandin {
    /// Makes an empty platform.
    pub fn new() -> Self {
        Self::default()
    }

    /// Serves it on loopback.
    ///
    /// # Errors
    ///
    /// If no port can be had.
    pub async fn serve(&self) -> std::io::Result<Running> {
        Running::start(self.router()).await
    }

    /// Puts a process in the list, or changes what the list says of it.
    pub fn set_listed(&self, listed: Listed) {
        self.change_list(|list| {
            list.retain(|l| l.name != listed.name);
            list.push(listed);
        });
    }

    /// Says of a listed process that it leaves.
    pub fn set_leaving(&self, name: &str) {
        self.change_list(|list| {
            for listed in list.iter_mut().filter(|l| l.name == name) {
                listed.state = ListedState::Leaving;
            }
        });
    }

    /// Takes a process off the list.
    pub fn unlist(&self, name: &str) {
        self.change_list(|list| list.retain(|l| l.name != name));
    }

    /// Makes the list lag from now on.
    pub fn lag_list(&self, lag: Duration) {
        self.lock().list_lag = lag;
    }

    /// Returns how many reads and writes the store has taken.
    pub fn traffic(&self) -> (u64, u64) {
        let reads = self.reads.load(Ordering::Relaxed);
        (reads, self.writes.load(Ordering::Relaxed))
    }

    /// Returns the rows whose keys begin with `prefix`.
    pub fn rows(&self, prefix: &str) -> Vec<Row> {
        let state = self.lock();
        let matching = state.rows.values();
        matching.filter(|row| row.key.starts_with(prefix)).cloned().collect()
    }

    /// Commits a transaction without going over the wire.
    pub fn commit(&self, tx: &Transaction) -> CommitOutcome {
        self.writes.fetch_add(1, Ordering::Relaxed);
        let mut state = self.lock();
        for condition in &tx.conditions {
            let row = state.rows.get(&condition.key);
            if row.map_or(0, |row| row.version) != condition.version {
                let key = condition.key.clone();
                return CommitOutcome::Conflict { key };
            }
        }
        state.commits += 1;
        let version = state.commits;
        for write in &tx.writes {
            let key = write.key.clone();
            match &write.value {
                Some(value) => {
                    let value = value.clone();
                    let row = Row { key: key.clone(), version, value };
                    state.rows.insert(key, row);
                }
                None => {
                    state.rows.remove(&key);
                }
            }
        }
        CommitOutcome::Done { version }
    }

    fn change_list(&self, change: impl FnOnce(&mut Vec<Listed>)) {
        let mut state = self.lock();
        let before = state.listed.clone();
        state.earlier.push((Instant::now(), before));
        change(&mut state.listed);
    }

    fn lagging_list(&self) -> Vec<Listed> {
        let mut state = self.lock();
        let lag = state.list_lag;
        state.earlier.retain(|(replaced, _)| replaced.elapsed() < lag);
        let oldest = state.earlier.first().map(|(_, list)| list.clone());
        oldest.unwrap_or_else(|| state.listed.clone())
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn router(&self) -> Router {
        let this = || self.clone();
        let (row, rows, commit) = (this(), this(), this());
        let (read, write, list) = (this(), this(), this());
        Router::new()
            .get("/table/row", move |r| handle(row.clone(), r, read_row))
            .get("/table/rows", move |r| handle(rows.clone(), r, read_rows))
            .post("/table/commit", move |r| {
                handle(commit.clone(), r, try_commit)
            })
            .get("/objects/:name", move |r| {
                handle(read.clone(), r, read_object)
            })
            .put("/objects/:name", move |r| {
                handle(write.clone(), r, write_object)
            })
            .get("/instances", move |_: Request| {
                let this = list.clone();
                async move {
                    let faults = this.list_faults.clone();
                    let list = async { json(&this.lagging_list()) };
                    viz::Result::Ok(faults.around(list).await)
                }
            })
    }
}

async fn handle<F, Fut>(
    platform: PlatformStandin,
    request: Request,
    run: F,
) -> viz::Result<Response>
where
    F: FnOnce(PlatformStandin, Request) -> Fut,
    Fut: Future<Output = Response>,
{
    let faults = platform.store_faults.clone();
    Ok(faults.around(run(platform, request)).await)
}

fn key_of(request: &Request) -> String {
    let query = request.query_string().unwrap_or_default();
    query.strip_prefix("key=").unwrap_or_default().to_owned()
}

async fn read_row(platform: PlatformStandin, request: Request) -> Response {
    platform.reads.fetch_add(1, Ordering::Relaxed);
    let row = platform.lock().rows.get(&key_of(&request)).cloned();
    row.map_or_else(not_found, |row| json(&row))
}

async fn read_rows(platform: PlatformStandin, request: Request) -> Response {
    platform.reads.fetch_add(1, Ordering::Relaxed);
    json(&platform.rows(&key_of(&request)))
}

async fn try_commit(
    platform: PlatformStandin,
    mut request: Request,
) -> Response {
    match request.json::<Transaction>().await {
        Ok(tx) => json(&platform.commit(&tx)),
        Err(error) => error.into_response(),
    }
}

async fn read_object(platform: PlatformStandin, request: Request) -> Response {
    platform.reads.fetch_add(1, Ordering::Relaxed);
    let name = request.param::<String>("name").unwrap_or_default();
    let object = platform.lock().objects.get(&name).cloned();
    object.map_or_else(not_found, |body| {
        Response::new(Body::from(http_body_util::Full::from(body)))
    })
}

async fn write_object(
    platform: PlatformStandin,
    mut request: Request,
) -> Response {
    platform.writes.fetch_add(1, Ordering::Relaxed);
    let name = request.param::<String>("name").unwrap_or_default();
    match request.bytes().await {
        Ok(body) => {
            platform.lock().objects.insert(name, body);
            answer(viz::StatusCode::OK, "")
        }
        Err(error) => error.into_response(),
    }
}

fn not_found() -> Response {
    answer(viz::StatusCode::NOT_FOUND, "")
}
