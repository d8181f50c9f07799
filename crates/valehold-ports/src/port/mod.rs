//! The interfaces to the outside, and the types that cross them.

mod engine;
pub mod fleet;
mod list;
mod object;
mod service;
mod table;

use std::net::SocketAddr;

use futures::future::BoxFuture;

pub use self::{
    engine::{
        CacheEvent, CacheEvents, EngineStatus, Engines, FrameStream,
        GenerateRequest, PromptKind,
    },
    list::{InstanceList, Listed, ListedKind, ListedState},
    object::Objects,
    service::{ServiceAnswer, ServiceCall, Services},
    table::{
        CommitOutcome, Condition, Row, Table, Transaction, Write, decode,
        encode,
    },
};
use crate::error::PortError;

/// What a port's call gives in the end.
pub type Answer<'a, T> = BoxFuture<'a, Result<T, PortError>>;

/// Where an upstream is reached.
pub type Address = SocketAddr;
