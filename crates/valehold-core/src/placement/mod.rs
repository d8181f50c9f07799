//! Which models and adapters sit on which engines.
//!
//! [`Planner`] decides from demand and from what the engines hold what to load
//! and what to unload next, and gives for each step the terms of its sum.
//! Whether everything can be resident at once is told before a configuration
//! is accepted, by [`crate::config::pack`].

mod action;
mod forecast;
mod planner;
mod spread;
#[cfg(test)]
mod tests;
mod view;

pub use self::{
    action::{Action, Reason, StepKind},
    forecast::forecast,
    planner::Planner,
    spread::{ModelDemand, Spread},
    view::EngineView,
};
