//! Experiments: the real decisions against fake engines, on a clock of the
//! experiment's own.
//!
//! One run drives the placement, routing and admission of `valehold-core`
//! through a trace of requests, and does the same with simple baselines. The
//! fake engines model only what matters for attainment and moves: slots,
//! the reading of prompts, prefix caches, memory, load times, and reports
//! that lag. Given a seed, every figure is the same each time.
//!
//! What is left out: the network between processes, retries, limits, and
//! engines that honour priorities.

mod baselines;
mod driver;
mod example;
mod fleet;
mod policy;
mod table;
mod trace;
mod world;

pub use self::{
    driver::run,
    example::example,
    policy::Policy,
    table::{Figures, Summary, table},
    trace::{Scenario, User},
};
