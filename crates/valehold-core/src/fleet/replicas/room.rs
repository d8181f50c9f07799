//! Which engine loads a model, and what makes way for it.

use std::collections::BTreeSet;

use super::{
    claim::Claim,
    planner::{EVERYWHERE, Engine, Planner},
};
use crate::id::DataCentreId;

/// By how much harder pressed than the giver a model must be for a replica to
/// move from one to the other.
pub(super) const WORTH_A_MOVE: f64 = 1.5;

/// What a busy engine weighs when a model is to leave it: the unload waits
/// for its requests, in the pressure that would be as bad.
const BUSY_ENGINE_WEIGHS: f64 = 0.3;

/// What it is worth to load a model from a copy, likewise.
const COPY_IS_WORTH: f64 = 0.3;

/// For whom a model is to make way, which decides how many engines it keeps.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Taker {
    /// A claim to any engine: other models keep what they are to have.
    Anywhere,
    /// A claim inside a bound that some engine meets: they keep what they are
    /// to have inside bounds, and get what they lose elsewhere again.
    Inside,
    /// A claim inside a bound that none meets: they keep one.
    Missed,
}

/// What could make way.
struct Victim {
    engine: usize,
    model: usize,
    /// How hard it would be missed, and what speaks against this engine.
    cost: f64,
}

impl Planner<'_> {
    /// Returns the engine that is to load a claim's model, if one has room.
    pub(super) fn roomy_engine(&self, claim: usize) -> Option<usize> {
        let claim = &self.claims[claim];
        let (model, inside) = (claim.model, &self.inside[claim.bound]);
        self.roomy_engine_where(model, |engine| inside[engine])
    }

    /// Returns the one that is to load a model, of those that are allowed and
    /// have room.
    pub(super) fn roomy_engine_where(
        &self,
        model: usize,
        is_allowed: impl Fn(usize) -> bool,
    ) -> Option<usize> {
        let size = self.spec.models[model].size_mb;
        let able = (0..self.engines.len()).filter(|index| {
            let engine = &self.engines[*index];
            is_allowed(*index)
                && engine.may_order()
                && !engine.will_hold(model)
                && engine.taken + size <= self.spec.memory_mb
        });
        let near = self.data_centres_of(model);
        let rank = |index: usize| {
            let engine = &self.engines[index];
            let is_new = !engine.copies.contains(&model);
            let is_near = near.contains(&engine.state.data_centre);
            (self.is_missed_inside(index, model), is_new, is_near)
        };
        let ranked = able.map(|index| (rank(index), index));
        let load = |index: usize| self.engines[index].state.load;
        let best = ranked.min_by(|(a, engine_a), (b, engine_b)| {
            a.cmp(b).then(load(*engine_a).total_cmp(&load(*engine_b)))
        });
        best.map(|(_, index)| index)
    }

    fn data_centres_of(&self, model: usize) -> BTreeSet<&DataCentreId> {
        let holders = self.engines.iter().filter(|e| e.will_hold(model));
        holders.map(|engine| &engine.state.data_centre).collect()
    }

    /// Takes away the model that is missed least, where that makes room for
    /// a claim's model; tells whether one was found.
    pub(super) fn make_room(&mut self, claim: usize, pressure: f64) -> bool {
        let Claim { model, bound, holders, .. } = self.claims[claim];
        let taker = match (bound, holders) {
            (EVERYWHERE, _) => Taker::Anywhere,
            (_, 0) => Taker::Missed,
            _ => Taker::Inside,
        };
        let inside = self.inside[bound].clone();
        self.make_room_where(model, pressure, taker, |engine| inside[engine])
    }

    /// Likewise at one of the engines that are allowed.
    pub(super) fn make_room_where(
        &mut self,
        model: usize,
        pressure: f64,
        taker: Taker,
        is_allowed: impl Fn(usize) -> bool,
    ) -> bool {
        let victim = self.victim(model, pressure, taker, is_allowed);
        let Some(victim) = victim else { return false };
        self.unload(victim.engine, victim.model);
        true
    }

    fn victim(
        &self,
        model: usize,
        pressure: f64,
        taker: Taker,
        is_allowed: impl Fn(usize) -> bool,
    ) -> Option<Victim> {
        let size = self.spec.models[model].size_mb;
        let mut best: Option<Victim> = None;
        for (index, engine) in self.engines.iter().enumerate() {
            if !is_allowed(index)
                || !engine.may_order()
                || engine.will_hold(model)
            {
                continue;
            }
            for held in &engine.models {
                if !self.is_spare(index, *held, taker) {
                    continue;
                }
                let then = self.pressure_without(index, *held);
                let freed = self.held_mb(engine, *held);
                if pressure < then * WORTH_A_MOVE
                    || engine.taken - freed + size > self.spec.memory_mb
                {
                    continue;
                }
                let cost = then + self.moving_cost(engine, model);
                if best.as_ref().is_none_or(|least| cost < least.cost) {
                    best = Some(Victim { engine: index, model: *held, cost });
                }
            }
        }
        best
    }

    /// Tells whether a model could leave an engine: everywhere, and inside
    /// each bound, enough others hold it.
    pub(super) fn is_spare(
        &self,
        engine: usize,
        model: usize,
        taker: Taker,
    ) -> bool {
        let mut claims = self.claims_at(engine, model);
        claims.all(|claim| {
            let claim = &self.claims[claim];
            let keeps = match taker {
                Taker::Anywhere => claim.wanted,
                Taker::Inside if claim.bound == EVERYWHERE => 0,
                Taker::Inside => claim.wanted,
                Taker::Missed => 0,
            };
            claim.resident > keeps.max(claim.least)
        })
    }

    /// Returns how hard a model would press that leaves an engine.
    fn pressure_without(&self, engine: usize, model: usize) -> f64 {
        let places = self.spec.adapter_places;
        let claims = self.claims_at(engine, model);
        let pressures = claims.map(|claim| {
            let claim = &self.claims[claim];
            claim.lately_pressure(claim.resident.saturating_sub(1), places)
        });
        pressures.fold(0.0, f64::max)
    }

    /// Returns what speaks against bringing a model to an engine where
    /// another one has to leave.
    fn moving_cost(&self, engine: &Engine<'_>, model: usize) -> f64 {
        let slots = f64::from(self.spec.slots.max(1));
        let busy = engine.state.load / slots * BUSY_ENGINE_WEIGHS;
        let copy = engine.copies.contains(&model);
        busy - if copy { COPY_IS_WORTH } else { 0.0 }
    }
}
