//! The gateway: it forwards callers' requests along declared routes and places
//! models on engines.
//!
//! A gateway accepts requests, selects a route and an upstream for each, and
//! returns complete answers. All gateways of a deployment are equal: each
//! watches the configuration and the upstreams in the platform's store, reports
//! its load to the others by heartbeats, and can hold the lease under which
//! models are placed.
//!
//! - [`traffic`] runs on one thread and handles requests in the steps `dispatch`,
//!   `choose`, `send` and `answer`.
//! - [`control`] runs on another thread and handles feeds, peers, the lease and
//!   placement.
//!
//! The ports in `valehold_ports::port::fleet` connect the gateway to the
//! platform.

mod clock;
pub mod control;
pub mod error;
pub mod events;
mod gateway;
pub mod mechanisms;
pub mod metrics;
pub mod peers;
pub mod settings;
pub mod settings_file;
pub mod shared;
mod silence;
pub mod traffic;
pub mod view;

pub use self::{
    clock::Clock,
    error::Error,
    gateway::{Gateway, Ports},
    settings::Settings,
    settings_file::FileSettings,
};
