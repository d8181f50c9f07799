//! Relocates models out of a bound to make room inside the bound.
//!
//! If the engines inside a bound are full of models that no other engine
//! holds, none of these models can be unloaded. A model that need not be
//! inside the bound is then first loaded on an engine outside. Once this load
//! is done, the replica inside the bound can be unloaded.

use super::{
    planner::Planner,
    room::{MIN_PRESSURE_RATIO, Requester},
};

/// The number of candidates that are tried, in ascending order of pressure.
/// Each attempt searches all engines.
const MAX_CANDIDATES_TRIED: usize = 4;

/// A model on an engine inside a bound that an engine outside could hold
/// instead.
struct RelocationCandidate {
    engine: usize,
    model: usize,
    pressure: f64,
}

impl Planner<'_> {
    /// Loads a model that is held inside a bound on an engine outside, so that
    /// a later plan can unload the model inside to make room for a missing
    /// one.
    ///
    /// If no engine outside has room, room is made there first. Each missing
    /// model causes one relocation at a time: while a relocation is under way,
    /// later plans begin no further one.
    pub(super) fn relocate_one(
        &mut self,
        missing_model: usize,
        bound: usize,
        pressure: f64,
    ) {
        if let Some(model) = self.relocating_model(missing_model, bound) {
            self.relocating.push(model);
            return;
        }
        let candidates =
            self.relocation_candidates(missing_model, bound).into_iter();
        let worthwhile = candidates.take_while(|candidate| {
            pressure >= candidate.pressure * MIN_PRESSURE_RATIO
        });
        let worthwhile: Vec<RelocationCandidate> =
            worthwhile.take(MAX_CANDIDATES_TRIED).collect();
        for candidate in worthwhile {
            let RelocationCandidate { engine, model, .. } = candidate;
            let allowed = self.allowed_outside(engine, model, bound);
            let is_allowed = |engine: usize| allowed[engine];
            if let Some(found) = self.engine_with_room_where(model, is_allowed)
            {
                self.add_load_step(found, model);
                self.relocating.push(model);
                return;
            }
            let requester = Requester::Anywhere;
            if self.make_room_where(model, pressure, requester, is_allowed) {
                self.relocating.push(model);
                return;
            }
        }
    }

    /// Returns a model inside a bound that is already being loaded on another
    /// engine, or `None` if no relocation is under way.
    fn relocating_model(
        &self,
        missing_model: usize,
        bound: usize,
    ) -> Option<usize> {
        self.removable_inside(missing_model, bound)
            .map(|(_, model)| model)
            .find(|model| {
                let claim = &self.claims[*model];
                claim.resident == 1 && claim.holders > 1
            })
    }

    /// Returns the models inside a bound that an engine outside could hold
    /// instead, by ascending pressure.
    fn relocation_candidates(
        &self,
        missing_model: usize,
        bound: usize,
    ) -> Vec<RelocationCandidate> {
        let held = self.removable_inside(missing_model, bound);
        let candidates = held.filter(|(engine, model)| {
            let allowed = self.allowed_outside(*engine, *model, bound);
            let can_leave =
                self.can_leave(*engine, *model, Requester::MissingInsideBound);
            !can_leave && allowed.contains(&true)
        });
        let places = self.spec.adapter_places;
        let mut candidates: Vec<RelocationCandidate> = candidates
            .map(|(engine, model)| {
                let claim = &self.claims[model];
                let pressure = claim.recent_pressure(claim.resident, places);
                RelocationCandidate { engine, model, pressure }
            })
            .collect();
        candidates.sort_by(|a, b| a.pressure.total_cmp(&b.pressure));
        candidates
    }

    /// Returns the engines and models inside a bound whose removal would make
    /// enough room for a missing model, without the models that are already
    /// being relocated.
    fn removable_inside(
        &self,
        missing_model: usize,
        bound: usize,
    ) -> impl Iterator<Item = (usize, usize)> + '_ {
        let inside = self.inside[bound].iter().enumerate();
        let inside = inside.filter(|(_, is_in)| **is_in);
        let candidates = inside.filter(move |(engine, _)| {
            let engine = &self.engines[*engine];
            engine.accepts_order() && !engine.will_hold(missing_model)
        });
        let size_mb = self.sizes[missing_model].size_mb;
        candidates.flat_map(move |(index, _)| {
            let engine = &self.engines[index];
            let held = engine.models.iter().copied();
            let enough = held.filter(move |model| {
                let freed_mb = self.held_mb(engine, *model);
                !self.relocating.contains(model)
                    && engine.fits(size_mb, freed_mb, self.spec.memory_mb)
            });
            enough.map(move |model| (index, model))
        })
    }

    /// Returns for each engine whether the engine is outside a bound and could
    /// hold a model in place of an engine inside.
    ///
    /// Each claim of which the engine inside is the only holder has to be
    /// satisfied by the engine outside.
    fn allowed_outside(
        &self,
        engine: usize,
        model: usize,
        bound: usize,
    ) -> Vec<bool> {
        let claims = self.claims_at(engine, model).map(|c| &self.claims[c]);
        let sole = claims.filter(|claim| claim.resident <= 1);
        let required_bounds: Vec<usize> =
            sole.map(|claim| claim.bound).collect();
        let engines = 0..self.engines.len();
        let allowed = engines.map(|other| {
            !self.inside[bound][other]
                && required_bounds
                    .iter()
                    .all(|bound| self.inside[*bound][other])
        });
        allowed.collect()
    }
}
