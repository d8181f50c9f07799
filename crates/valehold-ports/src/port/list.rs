//! The platform's list of instances. It lags.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use valehold_core::id::DataCentreId;

use super::Answer;

/// What a listed process is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ListedKind {
    /// An entry instance of valehold.
    Instance,
    /// A model engine.
    Engine,
    /// A process of a plain service.
    Service,
}

/// What the platform says of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ListedState {
    /// It is there.
    Live,
    /// It is about to go.
    Leaving,
}

/// One process in the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listed {
    /// Its name: an instance's, or an upstream's.
    pub name: String,
    /// What it is.
    pub kind: ListedKind,
    /// Its address for requests.
    pub address: SocketAddr,
    /// For instances, the address for other instances.
    pub peer_address: Option<SocketAddr>,
    /// The data centre that it stands in.
    pub data_centre: DataCentreId,
    /// What the platform says of it.
    pub state: ListedState,
}

/// The platform's list of instances.
pub trait InstanceList: Send + Sync {
    /// Reads the list.
    fn list(&self) -> Answer<'_, Vec<Listed>>;
}
