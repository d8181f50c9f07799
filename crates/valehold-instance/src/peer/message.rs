//! What instances ask of each other.
//!
//! A message is a version and a postcard body. Instances of neighbouring
//! versions talk during a rollout: a body may grow at its end only, readers
//! leave out what they do not know, and fields that an older writer lacks
//! are read from an extension that may be absent.

use serde::{Deserialize, Serialize, de::DeserializeOwned};
use valehold_core::{
    chart::library::InstanceState,
    config::Revision,
    directory::Entry,
    id::{Artifact, InstanceId, WorkspaceId},
    limit::Grant,
    placement::ModelDemand,
};

use crate::Error;

/// The version that this build writes.
const VERSION: u16 = 1;

/// The oldest version that this build reads.
const OLDEST_VERSION: u16 = 1;

/// The largest message taken, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 8 * 1024 * 1024;

/// A question.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Ask {
    /// How the asking instance does.
    Heartbeat(Heartbeat),
    /// The newest revision, if it is newer than the number.
    RevisionAfter(u64),
}

/// An answer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Reply {
    /// How the answering instance does.
    Heartbeat(HeartbeatReply),
    /// The revision in force here, if it is newer than asked.
    Revision(Option<Revision>),
}

/// How an instance does.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The instance, and where callers reach it.
    pub entry: Entry,
    /// Its life.
    pub life: InstanceState,
    /// The revision in force there.
    pub revision: u64,
    /// Requests it is working on.
    pub in_flight: u32,
    /// What is asked of each artifact there. Only the holder of the placement
    /// lease is told, and not in every heartbeat.
    pub demand: Option<Vec<(Artifact, ModelDemand)>>,
    /// Requests of each workspace there lately. Only the holder is told.
    pub asked: Vec<(WorkspaceId, f64)>,
}

/// The answer to a heartbeat.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HeartbeatReply {
    /// The answering instance.
    pub instance: InstanceId,
    /// Its life.
    pub life: InstanceState,
    /// The revision in force there.
    pub revision: u64,
    /// What it grants the asking instance, if it holds the lease.
    pub grants: Vec<(WorkspaceId, Grant)>,
}

/// Writes a message.
///
/// # Errors
///
/// If it is larger than [`MAX_MESSAGE_BYTES`].
pub fn encode<T: Serialize>(message: &T) -> Result<Vec<u8>, Error> {
    let bytes = postcard::to_stdvec(&(VERSION, message))
        .map_err(|e| Error::new("writing a message", e))?;
    if bytes.len() > MAX_MESSAGE_BYTES {
        let size = bytes.len();
        return Err(Error::new("writing a message", format!("{size} bytes")));
    }
    Ok(bytes)
}

/// Reads a message; bytes after what is known are left out.
///
/// # Errors
///
/// If the version is too old, or the bytes are no such message.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, Error> {
    let fail =
        |cause: &dyn std::fmt::Display| Error::new("reading a message", cause);
    let (version, rest): (u16, &[u8]) =
        postcard::take_from_bytes(bytes).map_err(|e| fail(&e))?;
    if version < OLDEST_VERSION {
        return Err(fail(&format!("version {version} is too old")));
    }
    let (message, _) =
        postcard::take_from_bytes(rest).map_err(|e| fail(&e))?;
    Ok(message)
}
