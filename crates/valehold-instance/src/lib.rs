//! The entry instance: the one role of valehold's processes.
//!
//! One thread runs [`control::Control`], which owns all control state and
//! publishes immutable [`snapshot::Snapshot`]s. Other threads serve callers:
//! they read the newest snapshot and report back through a bounded channel.
//! [`Instance`] puts the two together.

pub mod control;
mod instance;
pub mod logging;
pub mod metrics;
pub mod once;
pub mod operators;
pub mod peer;
pub mod revisions;
pub mod settings;
pub mod shared;
pub mod snapshot;
mod traffic;

pub use valehold_gateway::{Clock, Error, FileSettings};

pub use crate::{
    instance::{Addresses, Instance},
    settings::Settings,
};
