//! An index of the engines that hold each model, which saves scans of all
//! engines.

use std::collections::{BTreeMap, BTreeSet};

use valehold_core::{
    Millis,
    id::{ModelName, UpstreamId},
};

use crate::control::entry::EngineEntry;

/// The interval at which the index is rebuilt without engines that have
/// unloaded a model, in ms.
const REBUILD_INTERVAL_MS: u64 = 5_000;

/// An index from models to engines.
///
/// Besides the engines that hold a model, the index may contain engines that
/// have unloaded the model since the last rebuild. Callers check the entry of
/// each engine.
#[derive(Debug, Default)]
pub(super) struct ModelHolders {
    engines: BTreeMap<ModelName, BTreeSet<UpstreamId>>,
    rebuilt_at: Millis,
}

impl ModelHolders {
    /// Records the models on an engine.
    pub(super) fn record(&mut self, id: &UpstreamId, entry: &EngineEntry) {
        for model in entry.holding.models.keys() {
            let engines = self.engines.entry(model.clone()).or_default();
            if !engines.contains(id) {
                engines.insert(id.clone());
            }
        }
    }

    /// Returns the engines that hold a model or held the model recently.
    pub(super) fn engines_with(
        &self,
        model: &ModelName,
    ) -> impl Iterator<Item = &UpstreamId> + use<'_> {
        self.engines.get(model).into_iter().flatten()
    }

    /// Rebuilds the index if the interval has passed, which removes engines
    /// that have unloaded a model.
    pub(super) fn rebuild_if_due(
        &mut self,
        entries: &BTreeMap<UpstreamId, EngineEntry>,
        now: Millis,
    ) {
        if now.since(self.rebuilt_at) < REBUILD_INTERVAL_MS {
            return;
        }
        self.rebuilt_at = now;
        self.engines.clear();
        for (id, entry) in entries {
            self.record(id, entry);
        }
    }
}
