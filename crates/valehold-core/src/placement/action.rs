//! The steps that the planner decides, with their reasons.

use std::fmt;

use crate::id::{Artifact, UpstreamId};

/// What a step does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StepKind {
    /// The engine loads the artifact.
    Load,
    /// The engine unloads the artifact.
    Unload,
}

/// Why a step is taken.
#[derive(Debug, Clone, PartialEq)]
pub enum Reason {
    /// Nothing holds it, or fewer engines than declared.
    Unreachable {
        /// The engines that hold it or were told to.
        holders: usize,
        /// How many should.
        wanted: usize,
    },
    /// An adapter needs its base on the same engine.
    BaseFor(Artifact),
    /// It brings more requests in time than it costs.
    Gain {
        /// Requests in time gained over the horizon.
        requests: f64,
        /// What they are worth.
        worth: f64,
        /// What the moves cost.
        price: f64,
    },
    /// It makes room for another artifact.
    RoomFor(Artifact),
    /// No workspace uses it, or another version took its place.
    Unused,
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreachable { holders, wanted } => {
                write!(f, "{holders} of {wanted} wanted engines hold it")
            }
            Self::BaseFor(adapter) => write!(f, "adapter {adapter} needs it"),
            Self::Gain { requests, worth, price } => write!(
                f,
                "{requests:.1} more requests in time are worth {worth:.1}, \
                 the moves cost {price:.1}"
            ),
            Self::RoomFor(artifact) => write!(f, "makes room for {artifact}"),
            Self::Unused => f.write_str("nothing uses it"),
        }
    }
}

/// One load or unload.
#[derive(Debug, Clone, PartialEq)]
pub struct Action {
    /// What it does.
    pub kind: StepKind,
    /// The engine.
    pub engine: UpstreamId,
    /// The artifact.
    pub artifact: Artifact,
    /// The artifact's memory, in MiB.
    pub size_mib: u64,
    /// Why.
    pub reason: Reason,
}
