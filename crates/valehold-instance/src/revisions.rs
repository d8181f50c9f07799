//! Revisions in the platform: reading them, and adding one.
//!
//! A revision is an object that never changes. The head is a row that names
//! the newest revision and its digest; writing the head is what makes a
//! revision accepted.

use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;
use valehold_core::{
    Verdict,
    config::{Config, Files, Head, Number, Revision, merge},
};
use valehold_ports::{
    PortError, PortErrorKind,
    port::{CommitOutcome, Objects, Transaction, decode, encode},
    store::Store,
};

/// The key of the head's row.
pub const HEAD_KEY: &str = "config/head";

/// How long an operator waits for the store at the most.
const APPLY_TIMEOUT: Duration = Duration::from_secs(10);

/// How often an apply is tried again after another one went first.
const APPLY_TRIES: usize = 8;

/// What an operator applies.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ApplyRequest {
    /// The revision that the directory started from; 0 for none.
    pub base: Number,
    /// The directory's files.
    pub files: Files,
    /// The operators' label.
    pub label: String,
    /// Who applies.
    pub by: String,
}

/// What became of an apply.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Applied {
    /// The newest revision has the directory's files already.
    Unchanged {
        /// The newest revision's number.
        revision: Number,
    },
    /// It is accepted and durable.
    Accepted {
        /// The new revision's number.
        revision: Number,
    },
    /// Others changed the same files.
    Conflict {
        /// Who changed what.
        message: String,
    },
    /// The files, joined with the others' changes, do not hold.
    Invalid {
        /// Each fault.
        faults: Vec<Fault>,
    },
    /// The base is not a revision that there is.
    UnknownBase {
        /// The newest revision's number.
        newest: Number,
    },
}

/// A fault in a file.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fault {
    /// The file.
    pub file: String,
    /// The line, counted from 1.
    pub line: usize,
    /// What is wrong.
    pub message: String,
    /// How to mend it.
    pub help: String,
}

/// Reads the revision that a head names.
///
/// # Errors
///
/// If the object store does not answer, or has not what the head names.
pub async fn read(
    objects: &dyn Objects,
    head: &Head,
) -> Result<Revision, PortError> {
    let name = object_name(head.number, &head.digest);
    let missing = || PortError::malformed(format!("no object {name}"));
    let body = objects.read(&name).await?.ok_or_else(missing)?;
    let revision: Revision = serde_json::from_slice(&body)
        .map_err(|e| PortError::malformed(e.to_string()))?;
    if revision.files.digest() != head.digest {
        return Err(PortError::malformed(format!("{name} is not whole")));
    }
    Ok(revision)
}

/// Reads the head's row: its version, 0 for none, and the head.
async fn read_head(store: &Store) -> Result<(u64, Head), PortError> {
    match store.get(HEAD_KEY).await? {
        Some(row) => Ok((row.version, decode(&row)?)),
        None => Ok((0, Head::default())),
    }
}

/// Reads the newest revision's number.
///
/// # Errors
///
/// If the store does not answer.
pub async fn newest(store: &Store) -> Result<Number, PortError> {
    Ok(read_head(store).await?.1.number)
}

/// Reads the newest revision's number and files.
///
/// # Errors
///
/// If the store does not answer.
pub async fn newest_files(
    store: &Store,
    objects: &dyn Objects,
) -> Result<(Number, Files), PortError> {
    let (_, head) = read_head(store).await?;
    Ok((head.number, files_of(objects, &head).await?))
}

/// Adds a revision: an operator's changes on top of the newest one.
///
/// # Errors
///
/// If the store does not answer. The verdict tells whether the revision may
/// have been accepted all the same.
pub async fn apply(
    store: &Store,
    objects: &dyn Objects,
    request: &ApplyRequest,
) -> Result<Applied, PortError> {
    let give_up = Instant::now() + APPLY_TIMEOUT;
    for _ in 0..APPLY_TRIES {
        let (version, head) = read_head(store).await?;
        let newest = files_of(objects, &head).await?;
        let Some(base) =
            base_files(store, objects, request, &head, &newest).await?
        else {
            return Ok(Applied::UnknownBase { newest: head.number });
        };
        let merged = merge(
            &base,
            request.base,
            &newest,
            &head,
            &request.files,
            &request.label,
            &request.by,
        );
        let (revision, next) = match merged {
            Ok(merged) => merged,
            Err(conflict) => {
                let message = conflict.to_string();
                return Ok(Applied::Conflict { message });
            }
        };
        if next.digest == head.digest {
            return Ok(Applied::Unchanged { revision: head.number });
        }
        if let Err(problems) = Config::try_from_files(&revision.files) {
            return Ok(Applied::Invalid { faults: faults(&problems) });
        }
        let tx = record(objects, version, &revision, &next).await?;
        match store.commit(tx, give_up).await? {
            CommitOutcome::Done { .. } => {
                let revision = revision.number;
                return Ok(Applied::Accepted { revision });
            }
            // Another operator went first: join with that change and retry.
            CommitOutcome::Conflict { .. } => {}
        }
    }
    let message = "other operators went first each time";
    let kind = PortErrorKind::Refused;
    Err(PortError::new(kind, Verdict::NotRun, message))
}

/// Lists the faults of declarations.
pub fn faults(problems: &valehold_core::config::Problems) -> Vec<Fault> {
    let fault = |problem: &valehold_core::config::Problem| Fault {
        file: problem.file().to_owned(),
        line: problem.line(),
        message: problem.message().to_owned(),
        help: problem.help_text().to_owned(),
    };
    problems.iter().map(fault).collect()
}

/// Writes a revision's object; returns the transaction that accepts it.
async fn record(
    objects: &dyn Objects,
    head_version: u64,
    revision: &Revision,
    head: &Head,
) -> Result<Transaction, PortError> {
    let name = object_name(head.number, &head.digest);
    let body = Bytes::from(encode(revision));
    objects.write(&name, body).await?;
    let base_key = number_key(head.number);
    Ok(Transaction::new()
        .when(HEAD_KEY, head_version)
        .put(HEAD_KEY, encode(head))
        .put(base_key, head.digest.clone()))
}

async fn files_of(
    objects: &dyn Objects,
    head: &Head,
) -> Result<Files, PortError> {
    match head.number {
        0 => Ok(Files::new()),
        _ => Ok(read(objects, head).await?.files),
    }
}

/// Reads the files of an operator's base, or `None` if there is no such
/// revision.
async fn base_files(
    store: &Store,
    objects: &dyn Objects,
    request: &ApplyRequest,
    head: &Head,
    newest: &Files,
) -> Result<Option<Files>, PortError> {
    if request.base == head.number {
        return Ok(Some(newest.clone()));
    }
    if request.base == 0 {
        return Ok(Some(Files::new()));
    }
    let key = number_key(request.base);
    let Some(row) = store.get(&key).await? else { return Ok(None) };
    let base =
        Head { number: request.base, digest: row.value, ..Head::default() };
    Ok(Some(read(objects, &base).await?.files))
}

fn number_key(number: Number) -> String {
    format!("config/revisions/{number}")
}

fn object_name(number: Number, digest: &str) -> String {
    format!("revision-{number}-{digest}")
}
