//! Tracks which models requests use inside which region bounds.
//!
//! The planner keeps a replica of each of these models inside the bound.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::{bound::RegionBound, listing::Variant};
use crate::{id::ModelName, time::Millis};

/// How long after its last request a model is to be held inside a bound, in
/// ms.
///
/// This is several times the duration of a weight load, so that callers that
/// return within minutes find the model. A longer time would keep the engines
/// inside the bound full of models that no caller requests any more.
const RETENTION_MS: u64 = 120_000;

/// The variant that a request names, and the regions in which the request may
/// be served.
#[derive(
    Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct BoundVariant {
    /// The regions in which the request may be served.
    pub bound: RegionBound,
    /// The model, and the adapter if the request names one.
    pub variant: Variant,
}

/// The models that recent requests used inside each bound.
///
/// Routes and workspaces declare bounds, but only requests show which models
/// are used inside a bound. Holding each model inside each configured bound
/// would take more memory than the engines have: 74 models in two bounds need
/// 148 places, and 60 engines have 120.
#[derive(Debug, Clone, Default)]
pub struct BoundUsage {
    last_used: BTreeMap<RegionBound, BTreeMap<ModelName, Millis>>,
}

impl BoundUsage {
    /// Records a request for a model inside a bound.
    ///
    /// A request that may be served anywhere, or nowhere, is not recorded.
    pub fn record(
        &mut self,
        bound: &RegionBound,
        model: &ModelName,
        now: Millis,
    ) {
        if *bound == RegionBound::Anywhere || bound.is_empty() {
            return;
        }
        if let Some(at) = self
            .last_used
            .get_mut(bound)
            .and_then(|models| models.get_mut(model))
        {
            *at = now;
            return;
        }
        let models = self.last_used.entry(bound.clone()).or_default();
        models.insert(model.clone(), now);
    }

    /// Removes the models that were last used 120 s ago or earlier.
    pub fn prune(&mut self, now: Millis) {
        self.last_used.retain(|_, models| {
            models.retain(|_, at| now.since(*at) < RETENTION_MS);
            !models.is_empty()
        });
    }

    /// Returns the bounds in use, each with the models that are to be held
    /// inside the bound.
    pub fn bounds(
        &self,
    ) -> impl Iterator<Item = (&RegionBound, impl Iterator<Item = &ModelName>)>
    {
        self.last_used.iter().map(|(bound, models)| (bound, models.keys()))
    }
}
