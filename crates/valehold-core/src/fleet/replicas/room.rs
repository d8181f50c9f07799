//! Chooses the engine that loads a model, and the model that is unloaded to
//! make room.

use std::collections::{BTreeMap, BTreeSet};

use super::{
    claim::Claim,
    planner::{EVERYWHERE, Engine, Planner},
};
use crate::id::{DataCentreId, SoftwareVersion};

/// The minimum ratio of the pressure of the model that needs room to the
/// pressure of the model that is unloaded.
pub(super) const MIN_PRESSURE_RATIO: f64 = 1.5;

/// The cost of an unload from a fully busy engine, in units of pressure. The
/// unload has to wait until the running requests end.
const BUSY_ENGINE_COST: f64 = 0.3;

/// The reduction of the cost if the new model can be loaded from a local copy,
/// in units of pressure.
const COPY_DISCOUNT: f64 = 0.3;

/// The kind of claim that needs room, which decides how many replicas other
/// models keep.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Requester {
    /// A claim to any engine: other models keep their targets.
    Anywhere,
    /// A claim inside a bound that already has a holder: other models keep
    /// their targets inside bounds. Overall, their targets may be undercut, as
    /// the replicas are loaded again elsewhere.
    InsideBound,
    /// A claim inside a bound without a holder: other models keep only their
    /// guaranteed replicas.
    MissingInsideBound,
}

/// A model that could be unloaded from an engine.
struct Victim {
    engine: usize,
    model: usize,
    /// The pressure of the model after the unload, plus the cost of an unload
    /// from this engine.
    cost: f64,
}

impl Planner<'_> {
    /// Returns the engine that is to load the model of a claim, or `None` if
    /// no engine inside the bound has room.
    pub(super) fn engine_with_room(&self, claim: usize) -> Option<usize> {
        let claim = &self.claims[claim];
        let (model, inside) = (claim.model, &self.inside[claim.bound]);
        self.engine_with_room_where(model, |engine| inside[engine])
    }

    /// Returns the engine that is to load a model, among the allowed engines
    /// with room.
    ///
    /// In this order, an engine is preferred if its room is not kept for
    /// another model, if it has a local copy, if exactly one holder runs its
    /// software version, if no holder is in its data centre, and if it has the
    /// fewest running requests.
    pub(super) fn engine_with_room_where(
        &self,
        model: usize,
        is_allowed: impl Fn(usize) -> bool,
    ) -> Option<usize> {
        let size_mb = self.sizes[model].size_mb;
        let candidates = (0..self.engines.len()).filter(|index| {
            let engine = &self.engines[*index];
            is_allowed(*index)
                && engine.accepts_order()
                && !engine.will_hold(model)
                && engine.fits(size_mb, 0, self.spec.memory_mb)
        });
        let data_centres = self.data_centres_holding(model);
        let lone = self.versions_with_one_holder(model);
        let rank = |index: usize| {
            let engine = &self.engines[index];
            let has_no_copy = !engine.copies.contains(&model);
            let leaves_holders_alone =
                !lone.contains(&engine.state.software.as_ref());
            let has_holder_nearby =
                data_centres.contains(&engine.state.data_centre);
            (
                self.is_reserved_for_another(index, model),
                has_no_copy,
                leaves_holders_alone,
                has_holder_nearby,
            )
        };
        let ranked = candidates.map(|index| (rank(index), index));
        let running =
            |index: usize| self.engines[index].state.running_requests;
        let best = ranked.min_by(|(a, engine_a), (b, engine_b)| {
            a.cmp(b).then(running(*engine_a).total_cmp(&running(*engine_b)))
        });
        best.map(|(_, index)| index)
    }

    /// Returns the data centres with an engine that holds or loads a model.
    fn data_centres_holding(&self, model: usize) -> BTreeSet<&DataCentreId> {
        let holders = self.engines.iter().filter(|e| e.will_hold(model));
        holders.map(|engine| &engine.state.data_centre).collect()
    }

    /// Returns the software versions of which exactly one engine holds or loads
    /// a model. The streams of this engine could not go on at another one.
    fn versions_with_one_holder(
        &self,
        model: usize,
    ) -> BTreeSet<Option<&SoftwareVersion>> {
        let mut counts: BTreeMap<Option<&SoftwareVersion>, usize> =
            BTreeMap::new();
        for engine in self.engines.iter().filter(|e| e.will_hold(model)) {
            *counts.entry(engine.state.software.as_ref()).or_default() += 1;
        }
        let lone = counts.into_iter().filter(|(_, count)| *count == 1);
        lone.map(|(version, _)| version).collect()
    }

    /// Unloads the model with the lowest cost whose removal makes room for the
    /// model of a claim. Returns whether such a model was found.
    pub(super) fn make_room(&mut self, claim: usize, pressure: f64) -> bool {
        let Claim { model, bound, holders, .. } = self.claims[claim];
        let requester = match (bound, holders) {
            (EVERYWHERE, _) => Requester::Anywhere,
            (_, 0) => Requester::MissingInsideBound,
            _ => Requester::InsideBound,
        };
        let inside = self.inside[bound].clone();
        self.make_room_where(model, pressure, requester, |engine| {
            inside[engine]
        })
    }

    /// Does the same as [`Self::make_room`], on one of the allowed engines.
    pub(super) fn make_room_where(
        &mut self,
        model: usize,
        pressure: f64,
        requester: Requester,
        is_allowed: impl Fn(usize) -> bool,
    ) -> bool {
        let victim = self.find_victim(model, pressure, requester, is_allowed);
        let Some(victim) = victim else { return false };
        self.add_unload_step(victim.engine, victim.model);
        true
    }

    /// Returns the model with the lowest cost that can be unloaded from an
    /// allowed engine to make room for `model`.
    fn find_victim(
        &self,
        model: usize,
        pressure: f64,
        requester: Requester,
        is_allowed: impl Fn(usize) -> bool,
    ) -> Option<Victim> {
        let size_mb = self.sizes[model].size_mb;
        let mut best: Option<Victim> = None;
        for (index, engine) in self.engines.iter().enumerate() {
            if !is_allowed(index)
                || !engine.accepts_order()
                || engine.will_hold(model)
            {
                continue;
            }
            for held in &engine.models {
                if !self.can_leave(index, *held, requester) {
                    continue;
                }
                let pressure_after = self.pressure_without(index, *held);
                let freed_mb = self.held_mb(engine, *held);
                if pressure < pressure_after * MIN_PRESSURE_RATIO
                    || !engine.fits(size_mb, freed_mb, self.spec.memory_mb)
                {
                    continue;
                }
                let cost = pressure_after + self.eviction_cost(engine, model);
                if best.as_ref().is_none_or(|lowest| cost < lowest.cost) {
                    best = Some(Victim { engine: index, model: *held, cost });
                }
            }
        }
        best
    }

    /// Returns whether a model can be unloaded from an engine: without this
    /// replica, enough other engines hold the model overall and inside each
    /// bound.
    pub(super) fn can_leave(
        &self,
        engine: usize,
        model: usize,
        requester: Requester,
    ) -> bool {
        let mut claims = self.claims_at(engine, model);
        claims.all(|claim| {
            let claim = &self.claims[claim];
            let min_kept = match requester {
                Requester::Anywhere => claim.target,
                Requester::InsideBound if claim.bound == EVERYWHERE => 0,
                Requester::InsideBound => claim.target,
                Requester::MissingInsideBound => 0,
            };
            claim.resident > min_kept.max(claim.min_engines)
        })
    }

    /// Returns the recent pressure of a model if it were unloaded from an
    /// engine.
    fn pressure_without(&self, engine: usize, model: usize) -> f64 {
        let adapter_places = self.spec.adapter_places;
        let claims = self.claims_at(engine, model);
        let pressures = claims.map(|claim| {
            let claim = &self.claims[claim];
            claim.recent_pressure(
                claim.resident.saturating_sub(1),
                adapter_places,
            )
        });
        pressures.fold(0.0, f64::max)
    }

    /// Returns the cost of loading `model` on an engine that first has to
    /// unload another model; negative if the engine has a local copy and is
    /// not busy.
    pub(super) fn eviction_cost(
        &self,
        engine: &Engine<'_>,
        model: usize,
    ) -> f64 {
        let slots = f64::from(self.spec.slots.max(1));
        let busy = engine.state.running_requests / slots * BUSY_ENGINE_COST;
        let has_copy = engine.copies.contains(&model);
        busy - if has_copy { COPY_DISCOUNT } else { 0.0 }
    }
}
