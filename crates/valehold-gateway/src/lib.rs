//! One traffic engine behind declared routes, and the control beside it.
//!
//! A gateway takes callers' requests, finds the route and the upstream for
//! each, and passes whole answers back. All gateways of a deployment are
//! alike: each watches the configuration and the upstreams in the platform's
//! store, tells the others by heartbeats what it sends where, and can hold
//! the lease under which models are placed.
//!
//! - [`traffic`] runs on a thread of its own: `dispatch`, `choose`, `send` and
//!   `answer` are the steps of a request.
//! - [`control`] runs on another: feeds, peers, lease and placement.
//!
//! The platform is met through the ports in `valehold_ports::port::fleet`.

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
pub mod traffic;
pub mod view;

pub use self::{
    clock::Clock,
    error::Error,
    gateway::{Gateway, Ports},
    settings::Settings,
    settings_file::FileSettings,
};
