//! The decisions of valehold, free of I/O, clocks and threads.
//!
//! Everything here is a function of its arguments. Time comes in as
//! [`Millis`] on a monotonic clock that the caller owns, and randomness as a
//! number that the caller drew. That is what lets property tests drive every
//! decision through lost, late and repeated events without a network.

pub mod account;
pub mod admission;
pub mod capacity;
pub mod chart;
pub mod config;
pub mod demand;
pub mod digest;
pub mod directory;
pub mod error;
pub mod explain;
pub mod fleet;
pub mod id;
pub mod lease;
pub mod ledger;
pub mod limit;
pub mod membership;
pub mod order;
pub mod placement;
pub mod prefix;
pub mod reason;
pub mod rendezvous;
pub mod retry;
pub mod routing;
pub mod stream;
#[cfg(test)]
mod testing;
pub mod time;
pub mod verdict;

pub use crate::{error::Error, time::Millis, verdict::Verdict};
