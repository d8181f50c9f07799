//! Which models and adapters sit on which engines.
//!
//! [`pack`] tells before a configuration is accepted whether everything can
//! be resident at once. [`Planner`] decides from demand and from what the
//! engines hold what to load and what to unload next, and gives for each
//! step the terms of its sum.

mod action;
mod forecast;
mod pack;
mod planner;
mod spread;
#[cfg(test)]
mod tests;
mod view;

pub use self::{
    action::{Action, Reason, StepKind},
    forecast::forecast,
    pack::{EngineRoom, PackFault, Packing, pack},
    planner::Planner,
    spread::{Capacity, ModelDemand, Spread},
    view::EngineView,
};
