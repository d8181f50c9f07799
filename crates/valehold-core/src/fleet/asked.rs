//! What requests ask for, and which models have to be held inside which bound.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::{bound::RegionBound, listing::Variant};
use crate::{id::ModelName, time::Millis};

/// For how long after its last request a model is to be held inside a bound,
/// in ms: some loads of weights long, so that callers that come back within
/// minutes find it, and short enough that a bound's engines are not kept full
/// of what nobody asks for any more.
const USED_FOR_MS: u64 = 120_000;

/// What a request asks for, and where it may be served.
#[derive(
    Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct Asked {
    /// The regions in which it may be served.
    pub bound: RegionBound,
    /// The model, and the adapter if it names one.
    pub variant: Variant,
}

/// The models that requests used inside bounds lately.
///
/// Routes and workspaces state bounds, but only requests tell for which
/// models. To hold each model inside each bound that is configured would take
/// more memory than there is: 74 models in two bounds need 148 places of the
/// 120 that 60 engines have.
#[derive(Debug, Clone, Default)]
pub struct BoundUse {
    used: BTreeMap<RegionBound, BTreeMap<ModelName, Millis>>,
}

impl BoundUse {
    /// Notes that a model was asked for; one that may be served anywhere is
    /// not noted.
    pub fn note(
        &mut self,
        bound: &RegionBound,
        model: &ModelName,
        now: Millis,
    ) {
        if *bound == RegionBound::Anywhere || bound.is_empty() {
            return;
        }
        if let Some(at) =
            self.used.get_mut(bound).and_then(|models| models.get_mut(model))
        {
            *at = now;
            return;
        }
        let models = self.used.entry(bound.clone()).or_default();
        models.insert(model.clone(), now);
    }

    /// Forgets what was not asked for lately.
    pub fn pass(&mut self, now: Millis) {
        self.used.retain(|_, models| {
            models.retain(|_, at| now.since(*at) < USED_FOR_MS);
            !models.is_empty()
        });
    }

    /// Returns the bounds, with the models that are to be held inside each.
    pub fn bounds(
        &self,
    ) -> impl Iterator<Item = (&RegionBound, impl Iterator<Item = &ModelName>)>
    {
        self.used.iter().map(|(bound, models)| (bound, models.keys()))
    }
}
