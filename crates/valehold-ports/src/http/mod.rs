//! The ports over HTTP, in the wire format of this project's stand-ins.

pub mod client;
mod engine;
mod platform;
mod service;
pub mod text;

pub use self::{
    client::{ClientSettings, NOT_RUN_HEADER},
    engine::HttpEngines,
    platform::HttpPlatform,
    service::HttpServices,
};
