//! What models need: how busy they keep engines, everywhere and inside the
//! bounds of regions that their requests are to stay in.

use std::collections::BTreeMap;

use crate::{fleet::RegionBound, id::ModelName};

/// The demand for one model.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ModelNeed {
    /// Engines that its requests keep wholly busy.
    pub busy: f64,
    /// Engines that its requests kept wholly busy lately: what it has is not
    /// taken from it for a short lull.
    pub lately: f64,
    /// How many of its adapters are expected to be in use at once.
    pub adapters: f64,
    /// For how long no engine has held it, in ms.
    pub lost_ms: u64,
}

/// The demand for each model.
pub type ModelNeeds = BTreeMap<ModelName, ModelNeed>;

/// The demand for all models, by where it has to be served.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Needs {
    /// What all requests need, wherever they may be served.
    pub everywhere: ModelNeeds,
    /// What those need that have to stay inside a bound, those of narrower
    /// bounds among them. A model that is listed under a bound is to be held
    /// inside it, also if its demand is over.
    pub bounds: BTreeMap<RegionBound, ModelNeeds>,
}

impl From<ModelNeeds> for Needs {
    fn from(everywhere: ModelNeeds) -> Self {
        Self { everywhere, bounds: BTreeMap::new() }
    }
}
