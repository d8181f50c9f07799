//! Small stand-ins for the platform, engines and plain services.
//!
//! Tests and `valehold try` run them in the place of the real ones. Each
//! keeps only what the decisions depend on, speaks the wire format of
//! `valehold_ports::http`, and has fault switches, see [`Faults`].

mod engine;
pub mod experiment;
mod fault;
mod platform;
mod server;
mod service;
mod site;

pub use crate::{
    engine::{EngineSettings, EngineStandin},
    fault::Faults,
    platform::PlatformStandin,
    server::Running,
    service::ServiceStandin,
    site::{Pace, Site},
};
