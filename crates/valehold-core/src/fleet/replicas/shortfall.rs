//! Finds the claims with too few engines, and orders loads for these claims.

use std::{
    cmp::Ordering,
    collections::{BTreeMap, BTreeSet},
};

use super::{
    claim::Claim,
    planner::{EVERYWHERE, Planner},
};

/// A claim with fewer engines than required.
pub(super) struct Shortfall {
    /// The index of the claim.
    pub(super) claim: usize,
    /// The pressure, which decides the order of loads.
    pub(super) pressure: f64,
    /// The number of engines that are required.
    required: usize,
}

/// A pressure that sorts in descending order.
#[derive(Debug, PartialEq)]
struct HighestFirst(f64);

impl Eq for HighestFirst {}

impl Ord for HighestFirst {
    fn cmp(&self, other: &Self) -> Ordering {
        other.0.total_cmp(&self.0)
    }
}

impl PartialOrd for HighestFirst {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Planner<'_> {
    /// Returns the guaranteed claims without a holder, by descending pressure.
    ///
    /// Of the claims of one model, the claim with the fewest engines inside
    /// its bound comes first, as a load there also satisfies the wider claims.
    pub(super) fn missing_claims(&self) -> Vec<Shortfall> {
        let mut pressures: BTreeMap<usize, f64> = BTreeMap::new();
        for claim in self.claims_below(|_| 1) {
            let claim = &self.claims[claim];
            let pressure = pressures.entry(claim.model).or_default();
            *pressure = pressure.max(claim.missing_pressure());
        }
        let shortfalls = self.claims_below(|claim| claim.min_engines);
        let shortfalls = shortfalls.map(|claim| Shortfall {
            claim,
            pressure: pressures[&self.claims[claim].model],
            required: 1,
        });
        let mut shortfalls: Vec<Shortfall> = shortfalls.collect();
        shortfalls.sort_by_cached_key(|shortfall| {
            let Claim { model, bound, .. } = self.claims[shortfall.claim];
            let inside = self.inside[bound].iter().filter(|is_in| **is_in);
            (HighestFirst(shortfall.pressure), model, inside.count())
        });
        shortfalls
    }

    /// Returns the claims without a holder that have no guaranteed replica:
    /// these are the claims of idle models while places are scarce.
    pub(super) fn idle_missing_claims(&self) -> Vec<Shortfall> {
        let missing = self.claims_below(|_| 1);
        let idle =
            missing.filter(|claim| self.claims[*claim].min_engines == 0);
        let idle =
            idle.map(|claim| Shortfall { claim, pressure: 0.0, required: 1 });
        idle.collect()
    }

    /// Returns the claims with some holders but fewer than the target, by
    /// descending pressure.
    pub(super) fn claims_below_target(&self) -> Vec<Shortfall> {
        let below = self.claims_below(|claim| claim.target);
        let below = below.filter(|claim| self.claims[*claim].holders > 0);
        let shortfalls = below.map(|claim| Shortfall {
            claim,
            pressure: self.pressure(claim, self.claims[claim].holders),
            required: self.claims[claim].target,
        });
        let mut shortfalls: Vec<Shortfall> = shortfalls.collect();
        shortfalls.sort_by(|a, b| b.pressure.total_cmp(&a.pressure));
        shortfalls
    }

    /// Returns the indexes of the claims with fewer holders than `required`
    /// returns.
    fn claims_below(
        &self,
        required: impl Fn(&Claim) -> usize,
    ) -> impl Iterator<Item = usize> {
        let claims = self.claims.iter().enumerate();
        let below =
            claims.filter(move |(_, claim)| claim.holders < required(claim));
        below.map(|(index, _)| index)
    }

    /// Loads models on engines that have room and a local copy of the model.
    ///
    /// A load from a copy takes a fraction of the time of a load from the
    /// weight store. These loads are therefore ordered first: an engine that
    /// restarts after a crash has copies of several missing models, and a load
    /// from the weight store would keep the engine from loading those copies.
    pub(super) fn load_copies(&mut self, shortfalls: &[Shortfall]) {
        for shortfall in shortfalls {
            if self.is_met(shortfall) {
                continue;
            }
            let model = self.claims[shortfall.claim].model;
            let found = self.engine_with_room(shortfall.claim);
            let copy = found.filter(|engine| {
                self.engines[*engine].copies.contains(&model)
            });
            if let Some(engine) = copy {
                self.add_load_step(engine, model);
            }
        }
    }

    /// Loads models that still have too few engines, or makes room for the
    /// models.
    pub(super) fn load_or_make_room(&mut self, shortfalls: &[Shortfall]) {
        // While room is made for a model inside a bound, no room is made for
        // the same model elsewhere: the replica inside the bound will satisfy
        // the claim to any engine, too.
        let mut making_room = BTreeSet::new();
        for shortfall in shortfalls {
            if self.is_met(shortfall) {
                continue;
            }
            let Claim { model, bound, holders, .. } =
                self.claims[shortfall.claim];
            if let Some(engine) = self.engine_with_room(shortfall.claim) {
                self.add_load_step(engine, model);
            } else if self.remove_dropped_model(shortfall.claim) {
                making_room.insert(model);
            } else if bound == EVERYWHERE && making_room.contains(&model) {
                continue;
            } else if self.make_room(shortfall.claim, shortfall.pressure) {
                making_room.insert(model);
            } else if holders == 0 && bound != EVERYWHERE {
                self.relocate_one(model, bound, shortfall.pressure);
            }
        }
    }

    /// Loads models that still have too few engines where memory is free, or
    /// takes the place of models that are no longer declared.
    pub(super) fn load_into_free_memory(&mut self, shortfalls: &[Shortfall]) {
        for shortfall in shortfalls {
            if self.is_met(shortfall) {
                continue;
            }
            if let Some(engine) = self.engine_with_room(shortfall.claim) {
                self.add_load_step(engine, self.claims[shortfall.claim].model);
            } else {
                self.remove_dropped_model(shortfall.claim);
            }
        }
    }

    /// Returns whether a claim has enough holders by now, after the steps that
    /// were ordered since the shortfall was found.
    fn is_met(&self, shortfall: &Shortfall) -> bool {
        self.claims[shortfall.claim].holders >= shortfall.required
    }
}
