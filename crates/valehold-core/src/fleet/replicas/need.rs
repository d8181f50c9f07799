//! The demand for models that a plan is made for: overall, and inside the
//! region bounds of requests.

use std::collections::BTreeMap;

use crate::{fleet::RegionBound, id::ModelName};

/// The demand for one model.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ModelNeed {
    /// The number of engines that the requests for the model keep fully busy.
    pub busy_engines: f64,
    /// The recent peak of `busy_engines`. With this value, a short lull in
    /// demand does not cost the model its replicas.
    pub recent_busy_engines: f64,
    /// The expected number of the model's adapters that are in use at once.
    pub adapters_in_use: f64,
    /// How long no available engine has held the model, in ms.
    pub missing_ms: u64,
}

/// The demand for each model.
pub type ModelNeeds = BTreeMap<ModelName, ModelNeed>;

/// The demand for all models, overall and inside bounds.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Needs {
    /// The demand of all requests, whatever their bounds.
    pub everywhere: ModelNeeds,
    /// The demand of the requests that have to stay inside each bound, which
    /// includes the requests with narrower bounds. A model that is listed
    /// under a bound is to be held inside the bound even without current
    /// demand.
    pub bounds: BTreeMap<RegionBound, ModelNeeds>,
}

impl From<ModelNeeds> for Needs {
    fn from(everywhere: ModelNeeds) -> Self {
        Self { everywhere, bounds: BTreeMap::new() }
    }
}
