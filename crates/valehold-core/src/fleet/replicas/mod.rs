//! Plans how many engines hold each model, and which engines these are.
//!
//! Every model keeps a replica on at least one engine. A model that is used by
//! requests which have to stay inside a region bound keeps a replica on at
//! least one engine inside the bound. An unload is never planned for the last
//! engine inside a bound that holds a model. For the last engine of all, an
//! unload is planned only if the model is idle and places are scarce (see
//! below).
//!
//! A place is room for one model on an engine. The holders of a model are the
//! available engines that hold or load the model. A model without a holder,
//! overall or inside a bound, is missing.
//!
//! Further replicas follow the pressure of each model. Pressure is the share
//! of the engines' time that the requests for the model take, or the weighted
//! share of adapter places that are needed at once, whichever is greater.
//! Places go to the models with the highest pressure. Models with more
//! replicas than their target lose replicas, first where the remaining
//! pressure is lowest.
//!
//! The pressure of a missing model grows with time. Engines that
//! crash often restart with their local copies before another engine could
//! load the model, so no replica of a busy model is unloaded for a missing
//! model at once.
//!
//! If more models are declared than the engines have places for, models
//! without demand lose the guarantee of one replica. The last replica of an
//! idle model may then be unloaded for a model with demand. A missing
//! idle model is loaded if memory is free, but no other declared model is
//! unloaded to make room.
//!
//! What an engine holds counts with the largest size known, whether or not the
//! configuration declares it. A model that is no longer declared is unloaded
//! when its place is wanted, and at once if its size is unknown, as nothing can
//! be loaded beside it.
//!
//! - `need` defines the demand for models, overall and inside bounds.
//! - `claim` counts the holders of a model inside a bound, and computes the
//!   pressure.
//! - `planner` keeps the counts for engines, models and bounds.
//! - `targets` distributes the places on engines among the claims.
//! - `shortfall` finds the claims with too few engines, and orders loads.
//! - `room` chooses the engine for a load and the model to unload.
//! - `dropped` unloads models that the configuration no longer declares.
//! - `relocation` makes room inside a bound in which no model can be unloaded,
//!   by first loading one of the models on an engine outside.

mod claim;
mod dropped;
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
use super::{
    catalog::EngineSpec, listing::Holding, model_sizes::ModelSizes,
    topology::Topology,
};
use crate::id::{DataCentreId, ModelName, SoftwareVersion, UpstreamId};

/// The state of one engine, as input for a plan.
#[derive(Debug, Clone)]
pub struct EngineState {
    /// The engine.
    pub id: UpstreamId,
    /// The data centre of the engine.
    pub data_centre: DataCentreId,
    /// The version of the engine's software, if it is known.
    pub software: Option<SoftwareVersion>,
    /// The models and adapters that the engine holds.
    pub holding: Holding,
    /// A model that the engine was ordered to load and does not hold yet.
    pub loading: Option<ModelName>,
    /// Whether the engine carries out an order, or may still do so.
    pub has_pending_order: bool,
    /// Whether the engine accepts work: it is live, answers and is not
    /// leaving.
    pub is_available: bool,
    /// The models of which the engine keeps a local copy. A load from a copy
    /// is faster and does not use the weight store.
    pub copies: BTreeSet<ModelName>,
    /// Whether the limit of the weight store already counts a load that this
    /// engine may still begin. Another load may be ordered in place of that
    /// load without counting again.
    pub has_counted_load: bool,
    /// The number of requests that run on the engine.
    pub running_requests: f64,
}

/// The source from which an engine loads a model.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LoadSource {
    /// The local copy of the engine.
    Copy,
    /// The weight store.
    WeightStore,
}

/// What is known of the models that engines may hold.
#[derive(Debug, Clone, Copy)]
pub struct KnownModels<'a> {
    /// The sizes of the models, whether or not they are declared.
    pub sizes: &'a ModelSizes,
    /// The models that are not declared and that may be unloaded by now.
    pub removable: &'a BTreeSet<ModelName>,
}

/// A step of a plan.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReplicaStep {
    /// The engine loads the model.
    Load {
        /// The engine.
        engine: UpstreamId,
        /// The model.
        model: ModelName,
        /// The source of the weights.
        source: LoadSource,
    },
    /// The engine unloads the model.
    Unload {
        /// The engine.
        engine: UpstreamId,
        /// The model.
        model: ModelName,
    },
}

/// The pressure below which a model gets no further replica: the share of the
/// time of each engine that holds the model.
pub const MIN_PRESSURE_FOR_REPLICA: f64 = 0.06;

/// Returns the next steps, at most one for each engine, if no request has a
/// region bound and all models have the size that `spec` declares.
///
/// `loads` is the number of loads that the weight store allows now.
pub fn plan(
    spec: &EngineSpec,
    demand: &ModelNeeds,
    engines: &[EngineState],
    loads: usize,
) -> Vec<ReplicaStep> {
    let needs = Needs::from(demand.clone());
    let sizes = ModelSizes::declared_by(spec);
    let removable = BTreeSet::new();
    let known = KnownModels { sizes: &sizes, removable: &removable };
    plan_with_bounds(spec, known, &needs, engines, None, loads)
}

/// Returns the next steps, at most one for each engine.
///
/// `topology` maps data centres to regions; without a topology, no engine is
/// inside any bound. `loads` is the number of loads that the weight store
/// allows now.
pub fn plan_with_bounds(
    spec: &EngineSpec,
    known: KnownModels<'_>,
    needs: &Needs,
    engines: &[EngineState],
    topology: Option<&Topology>,
    loads: usize,
) -> Vec<ReplicaStep> {
    let mut planner =
        Planner::new(spec, known, needs, engines, topology, loads);
    planner.set_targets();
    let missing = planner.missing_claims();
    let below_target = planner.claims_below_target();
    planner.load_copies(&missing);
    planner.load_copies(&below_target);
    planner.load_or_make_room(&missing);
    planner.load_or_make_room(&below_target);
    let idle = planner.idle_missing_claims();
    planner.load_copies(&idle);
    planner.load_into_free_memory(&idle);
    planner.unload_models_of_unknown_size();
    planner.into_steps()
}
