//! How many engines hold each model, and which.
//!
//! Every model stays on one engine at least; a model that requests use which
//! have to stay inside a bound of regions, on one engine inside the bound.
//! How hard a model presses on its engines is the part of their time that its
//! requests take, or the part of their places for adapters that it needs at
//! once, whichever is more. Places go to the models that press hardest; those
//! with more engines than that give way, first where they are missed least.
//! An unload is never given for the last engine that holds a model, nor for
//! the last one inside a bound.
//!
//! A model that no engine holds any more presses harder the longer it is
//! gone: engines that crash are often back with their copies before another
//! one has loaded it, and a busy model's engine is not worth that at once.
//!
//! Where more models are declared than engines have places for, those that no
//! request asks for give up theirs: an idle model's last engine may make way
//! for one that is asked for, and an idle one that no engine holds takes room
//! that is free, and has none made for it.
//!
//! - `need` says what models need, everywhere and inside bounds.
//! - `claim` counts who holds a model inside a bound, and how hard it presses.
//! - `planner` keeps the counts of engines, models and bounds.
//! - `targets` shares the engines' places out among claims.
//! - `shortfall` finds the claims that lack engines, and orders loads.
//! - `room` chooses the engine for a load, and what makes way for it.
//! - `relocation` makes room inside a bound where each model there is the last of
//!   its kind: one of them is loaded outside of the bound first.

mod claim;
mod need;
mod planner;
mod relocation;
mod room;
mod shortfall;
mod targets;

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

pub use self::need::{ModelNeed, ModelNeeds, Needs};
use self::planner::Planner;
use super::{catalog::EngineSpec, listing::Holding, topology::Topology};
use crate::id::{DataCentreId, ModelName, UpstreamId};

/// What the planner knows of one engine.
#[derive(Debug, Clone)]
pub struct EngineState {
    /// The engine.
    pub id: UpstreamId,
    /// The data centre that it stands in.
    pub data_centre: DataCentreId,
    /// What it holds.
    pub holding: Holding,
    /// A model that it was told to load and does not hold yet.
    pub loading: Option<ModelName>,
    /// Whether an order is being carried out, or may be.
    pub busy: bool,
    /// Whether it takes work: it is there, answers, and does not leave.
    pub sound: bool,
    /// Models of which it keeps copies: it loads them sooner, and without
    /// the weight store.
    pub copies: BTreeSet<ModelName>,
    /// Whether a load from the weight store that it may yet begin is counted,
    /// in the place of which another one may be ordered.
    pub is_counted: bool,
    /// How busy it is, from 0.
    pub load: f64,
}

/// Where a model comes from that an engine loads.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LoadSource {
    /// The engine's own copy.
    Copy,
    /// The weight store.
    WeightStore,
}

/// A step of the plan.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReplicaStep {
    /// The engine loads the model.
    Load {
        /// The engine.
        engine: UpstreamId,
        /// The model.
        model: ModelName,
        /// Where the model comes from.
        source: LoadSource,
    },
    /// The engine gives the model up.
    Unload {
        /// The engine.
        engine: UpstreamId,
        /// The model.
        model: ModelName,
    },
}

/// Below this part of an engine's time for each of its engines, a model needs
/// no further one.
pub const ENOUGH_BUSY: f64 = 0.06;

/// Decides the next steps, at most one for each engine, where no requests are
/// bound to regions.
///
/// `loads` is how many loads the weight store allows now.
pub fn plan(
    spec: &EngineSpec,
    demand: &ModelNeeds,
    engines: &[EngineState],
    loads: usize,
) -> Vec<ReplicaStep> {
    let needs = Needs::from(demand.clone());
    plan_by_place(spec, &needs, engines, None, loads)
}

/// Decides the next steps, at most one for each engine.
///
/// `topology` says which regions engines stand in; without one, no engine
/// stands inside any bound. `loads` is how many loads the weight store allows
/// now.
pub fn plan_by_place(
    spec: &EngineSpec,
    needs: &Needs,
    engines: &[EngineState],
    topology: Option<&Topology>,
    loads: usize,
) -> Vec<ReplicaStep> {
    let mut planner = Planner::new(spec, needs, engines, topology, loads);
    planner.want();
    let lost = planner.lost();
    let short = planner.short();
    planner.load_copies(&lost);
    planner.load_copies(&short);
    planner.add_replicas(&lost);
    planner.add_replicas(&short);
    let idle = planner.idle();
    planner.load_copies(&idle);
    planner.fill_room(&idle);
    planner.into_steps()
}
