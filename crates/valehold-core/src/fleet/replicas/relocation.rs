//! Making room inside a bound where no model can be spared.
//!
//! Where a bound's engines are full of models that nobody else holds, one
//! that need not be inside the bound is loaded outside of it first. Once it is
//! there, it can be spared inside.

use super::{
    planner::Planner,
    room::{Taker, WORTH_A_MOVE},
};

/// How many models are tried, the least pressed first: each takes a search of
/// all engines.
const MOST_TRIED: usize = 4;

/// A model that could be held elsewhere.
struct Movable {
    engine: usize,
    model: usize,
    pressure: f64,
}

impl Planner<'_> {
    /// Brings a model that is held inside a bound to an engine outside of it,
    /// so that later it makes room for one that is missed inside.
    ///
    /// One move is begun for each model that is missed, not one with each
    /// plan: what is on its way out already is waited for.
    pub(super) fn move_one_out(
        &mut self,
        missed: usize,
        bound: usize,
        pressure: f64,
    ) {
        if let Some(model) = self.on_its_way_out(missed, bound) {
            self.moving.push(model);
            return;
        }
        let movable = self.movable(missed, bound).into_iter();
        let worth =
            movable.take_while(|one| pressure >= one.pressure * WORTH_A_MOVE);
        let worth: Vec<Movable> = worth.take(MOST_TRIED).collect();
        for one in worth {
            let Movable { engine, model, .. } = one;
            let allowed = self.elsewhere(engine, model, bound);
            let is_allowed = |engine: usize| allowed[engine];
            if let Some(found) = self.roomy_engine_where(model, is_allowed) {
                self.load(found, model);
                self.moving.push(model);
                return;
            }
            let taker = Taker::Anywhere;
            if self.make_room_where(model, pressure, taker, is_allowed) {
                self.moving.push(model);
                return;
            }
        }
    }

    /// Returns a model that will be spared inside a bound once it is loaded
    /// elsewhere.
    fn on_its_way_out(&self, missed: usize, bound: usize) -> Option<usize> {
        self.held_inside(missed, bound).map(|(_, model)| model).find(|model| {
            let everywhere = &self.claims[*model];
            everywhere.resident == 1 && everywhere.holders > 1
        })
    }

    /// Returns the models inside a bound that may be held outside of it as
    /// well, those first that press least.
    fn movable(&self, missed: usize, bound: usize) -> Vec<Movable> {
        let held = self.held_inside(missed, bound);
        let movable = held.filter(|(engine, model)| {
            let allowed = self.elsewhere(*engine, *model, bound);
            let is_spare = self.is_spare(*engine, *model, Taker::Missed);
            !is_spare && allowed.contains(&true)
        });
        let places = self.spec.adapter_places;
        let mut movable: Vec<Movable> = movable
            .map(|(engine, model)| {
                let claim = &self.claims[model];
                let pressure = claim.lately_pressure(claim.resident, places);
                Movable { engine, model, pressure }
            })
            .collect();
        movable.sort_by(|a, b| a.pressure.total_cmp(&b.pressure));
        movable
    }

    /// Returns what engines inside a bound hold that could make room for a
    /// model, but for what makes room for another one already.
    fn held_inside(
        &self,
        missed: usize,
        bound: usize,
    ) -> impl Iterator<Item = (usize, usize)> + '_ {
        let inside = self.inside[bound].iter().enumerate();
        let inside = inside.filter(|(_, is_in)| **is_in);
        let able = inside.filter(move |(engine, _)| {
            let engine = &self.engines[*engine];
            engine.may_order() && !engine.will_hold(missed)
        });
        let size = self.spec.models[missed].size_mb;
        able.flat_map(move |(index, _)| {
            let engine = &self.engines[index];
            let held = engine.models.iter().copied();
            let enough = held.filter(move |model| {
                let freed = self.held_mb(engine, *model);
                !self.moving.contains(model)
                    && engine.taken - freed + size <= self.spec.memory_mb
            });
            enough.map(move |model| (index, model))
        })
    }

    /// Returns which engines outside of a bound could hold a model in place
    /// of one inside, by all of its claims that this one meets alone.
    fn elsewhere(
        &self,
        engine: usize,
        model: usize,
        bound: usize,
    ) -> Vec<bool> {
        let claims = self.claims_at(engine, model).map(|c| &self.claims[c]);
        let blocked = claims.filter(|claim| claim.resident <= 1);
        let blocked: Vec<usize> = blocked.map(|claim| claim.bound).collect();
        let engines = 0..self.engines.len();
        let allowed = engines.map(|other| {
            !self.inside[bound][other]
                && blocked.iter().all(|one| self.inside[*one][other])
        });
        allowed.collect()
    }
}
