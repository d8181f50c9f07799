//! Which engines hold which model, found without a walk over all engines.

use std::collections::{BTreeMap, BTreeSet};

use valehold_core::{
    Millis,
    id::{ModelName, UpstreamId},
};

use crate::control::entry::EngineEntry;

/// How often engines are forgotten that gave a model up, in ms.
const REBUILD_EVERY_MS: u64 = 5_000;

/// The engines that hold each model, and some that did lately: whoever looks
/// asks each engine's entry.
#[derive(Debug, Default)]
pub(super) struct ModelHolders {
    engines: BTreeMap<ModelName, BTreeSet<UpstreamId>>,
    rebuilt: Millis,
}

impl ModelHolders {
    /// Notes what an engine holds.
    pub(super) fn record(&mut self, id: &UpstreamId, entry: &EngineEntry) {
        for model in entry.holding.models.keys() {
            let engines = self.engines.entry(model.clone()).or_default();
            if !engines.contains(id) {
                engines.insert(id.clone());
            }
        }
    }

    /// Returns the engines that hold a model.
    pub(super) fn engines_with(
        &self,
        model: &ModelName,
    ) -> impl Iterator<Item = &UpstreamId> + use<'_> {
        self.engines.get(model).into_iter().flatten()
    }

    /// Forgets, now and then, engines that do not hold a model any more.
    pub(super) fn rebuild_if_due(
        &mut self,
        entries: &BTreeMap<UpstreamId, EngineEntry>,
        now: Millis,
    ) {
        if now.since(self.rebuilt) < REBUILD_EVERY_MS {
            return;
        }
        self.rebuilt = now;
        self.engines.clear();
        for (id, entry) in entries {
            self.record(id, entry);
        }
    }
}
