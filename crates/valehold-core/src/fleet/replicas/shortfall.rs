//! Which claims lack engines, and what is done about each.

use std::{
    cmp::Ordering,
    collections::{BTreeMap, BTreeSet},
};

use super::{
    claim::Claim,
    planner::{EVERYWHERE, Planner},
};

/// A claim that lacks engines.
pub(super) struct Lacking {
    /// The claim, by its number.
    pub(super) claim: usize,
    /// How hard it presses.
    pub(super) pressure: f64,
    /// How many engines it is to have.
    least: usize,
}

/// A pressure, the hardest first.
#[derive(Debug, PartialEq)]
struct Hardest(f64);

impl Eq for Hardest {}

impl Ord for Hardest {
    fn cmp(&self, other: &Self) -> Ordering {
        other.0.total_cmp(&self.0)
    }
}

impl PartialOrd for Hardest {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Planner<'_> {
    /// Returns the claims that no sound engine meets, those first that are
    /// missed most.
    ///
    /// Of one model's, that to the fewest engines comes first: what is loaded
    /// there serves the wider ones as well.
    pub(super) fn lost(&self) -> Vec<Lacking> {
        let mut pressures: BTreeMap<usize, f64> = BTreeMap::new();
        for claim in self.claims_below(|_| 1) {
            let claim = &self.claims[claim];
            let pressure = pressures.entry(claim.model).or_default();
            *pressure = pressure.max(claim.lost_pressure());
        }
        let lacking = self.claims_below(|claim| claim.least);
        let lacking = lacking.map(|claim| Lacking {
            claim,
            pressure: pressures[&self.claims[claim].model],
            least: 1,
        });
        let mut lacking: Vec<Lacking> = lacking.collect();
        lacking.sort_by_cached_key(|one| {
            let Claim { model, bound, .. } = self.claims[one.claim];
            let inside = self.inside[bound].iter().filter(|is_in| **is_in);
            (Hardest(one.pressure), model, inside.count())
        });
        lacking
    }

    /// Returns the claims of idle models that no sound engine meets and that
    /// have no place of their own.
    pub(super) fn idle(&self) -> Vec<Lacking> {
        let lost = self.claims_below(|_| 1);
        let idle = lost.filter(|claim| self.claims[*claim].least == 0);
        let idle =
            idle.map(|claim| Lacking { claim, pressure: 0.0, least: 1 });
        idle.collect()
    }

    /// Returns the claims with fewer engines than they are to have, those
    /// first that press hardest.
    pub(super) fn short(&self) -> Vec<Lacking> {
        let short = self.claims_below(|claim| claim.wanted);
        let short = short.filter(|claim| self.claims[*claim].holders > 0);
        let lacking = short.map(|claim| Lacking {
            claim,
            pressure: self.pressure(claim, self.claims[claim].holders),
            least: self.claims[claim].wanted,
        });
        let mut lacking: Vec<Lacking> = lacking.collect();
        lacking.sort_by(|a, b| b.pressure.total_cmp(&a.pressure));
        lacking
    }

    fn claims_below(
        &self,
        least: impl Fn(&Claim) -> usize,
    ) -> impl Iterator<Item = usize> {
        let claims = self.claims.iter().enumerate();
        let below = claims.filter(move |(_, one)| one.holders < least(one));
        below.map(|(claim, _)| claim)
    }

    /// Loads models at engines that keep a copy of them and have room.
    ///
    /// That takes an engine a part of the time that a load from the weight
    /// store does, so no engine is kept from it by such a load: engines that
    /// come back after a crash have copies of several models that are missed.
    pub(super) fn load_copies(&mut self, lacking: &[Lacking]) {
        for one in lacking {
            if self.is_met(one) {
                continue;
            }
            let model = self.claims[one.claim].model;
            let found = self.roomy_engine(one.claim);
            let copy = found.filter(|engine| {
                self.engines[*engine].copies.contains(&model)
            });
            if let Some(engine) = copy {
                self.load(engine, model);
            }
        }
    }

    /// Loads models that still lack an engine, or makes room for them.
    pub(super) fn add_replicas(&mut self, lacking: &[Lacking]) {
        // A model for which one makes room inside a bound waits for that.
        let mut gets_room = BTreeSet::new();
        for one in lacking {
            if self.is_met(one) {
                continue;
            }
            let Claim { model, bound, holders, .. } = self.claims[one.claim];
            if let Some(engine) = self.roomy_engine(one.claim) {
                self.load(engine, model);
            } else if bound == EVERYWHERE && gets_room.contains(&model) {
                continue;
            } else if self.make_room(one.claim, one.pressure) {
                gets_room.insert(model);
            } else if holders == 0 && bound != EVERYWHERE {
                self.move_one_out(model, bound, one.pressure);
            }
        }
    }

    /// Loads models that still lack an engine into room that is free.
    pub(super) fn fill_room(&mut self, lacking: &[Lacking]) {
        for one in lacking {
            if self.is_met(one) {
                continue;
            }
            if let Some(engine) = self.roomy_engine(one.claim) {
                self.load(engine, self.claims[one.claim].model);
            }
        }
    }

    /// Tells whether a claim has as many engines as it is to have, by now.
    fn is_met(&self, lacking: &Lacking) -> bool {
        self.claims[lacking.claim].holders >= lacking.least
    }
}
