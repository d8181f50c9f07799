//! Unloads models that the configuration no longer declares.
//!
//! Such a model stays on its engine for as long as nothing else needs the
//! memory: a later configuration may declare it again.

use super::{claim::Claim, planner::Planner};
use crate::id::ModelName;

/// An undeclared model that could be unloaded from an engine.
struct DroppedModel<'a> {
    engine: usize,
    name: &'a ModelName,
    /// Whether further models have to be unloaded before there is room.
    needs_more: bool,
    /// The cost of an unload from this engine.
    cost: f64,
}

impl<'a> Planner<'a> {
    /// Unloads an undeclared model whose place the model of a claim can take.
    /// Returns whether there was one.
    pub(super) fn remove_dropped_model(&mut self, claim: usize) -> bool {
        let Some(dropped) = self.find_dropped_model(claim) else {
            return false;
        };
        self.add_removal_step(dropped.engine, dropped.name);
        true
    }

    /// Returns the undeclared model to unload for a claim: first one whose
    /// memory is enough, then the one with the lowest cost.
    fn find_dropped_model(&self, claim: usize) -> Option<DroppedModel<'a>> {
        let Claim { model, bound, .. } = self.claims[claim];
        let candidates = (0..self.engines.len()).filter(|index| {
            let engine = &self.engines[*index];
            !engine.removable.is_empty()
                && self.inside[bound][*index]
                && engine.accepts_order()
                && !engine.will_hold(model)
        });
        let dropped = candidates
            .filter_map(|engine| self.dropped_model_on(engine, model));
        dropped.min_by(|a, b| {
            let by_need = a.needs_more.cmp(&b.needs_more);
            by_need.then(a.cost.total_cmp(&b.cost))
        })
    }

    /// Returns the first undeclared model to unload from an engine to make
    /// room for `model`, or `None` if unloading all of them would not do.
    fn dropped_model_on(
        &self,
        index: usize,
        model: usize,
    ) -> Option<DroppedModel<'a>> {
        let engine = &self.engines[index];
        let size_mb = self.sizes[model].size_mb;
        let memory_mb = self.spec.memory_mb;
        let freed = engine.removable.iter().map(|(_, freed_mb)| *freed_mb);
        if !engine.fits(size_mb, freed.sum(), memory_mb) {
            return None;
        }
        let (name, freed_mb) = *engine.removable.first()?;
        Some(DroppedModel {
            engine: index,
            name,
            needs_more: !engine.fits(size_mb, freed_mb, memory_mb),
            cost: self.eviction_cost(engine, model),
        })
    }

    /// Unloads undeclared models of unknown size, one from each engine that
    /// accepts an order. No load can be ordered beside such a model.
    pub(super) fn unload_models_of_unknown_size(&mut self) {
        for index in 0..self.engines.len() {
            let engine = &self.engines[index];
            if engine.used_mb.is_some() || !engine.accepts_order() {
                continue;
            }
            let mut removable = engine.removable.iter();
            let sizes = self.known.sizes;
            let unknown =
                removable.find(|(name, _)| sizes.get(name).is_none());
            if let Some((name, _)) = unknown.copied() {
                self.add_removal_step(index, name);
            }
        }
    }
}
