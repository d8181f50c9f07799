//! How many engines each claim is to have.

use std::{cmp::Ordering, collections::BinaryHeap};

use super::{
    ENOUGH_BUSY,
    claim::Claim,
    planner::{EVERYWHERE, Planner},
};
use crate::id::ModelName;

/// A claim that may get a further place, by how hard it presses.
#[derive(Debug, PartialEq)]
struct Pressing<'a> {
    pressure: f64,
    model: &'a ModelName,
    claim: usize,
}

impl Eq for Pressing<'_> {}

impl Ord for Pressing<'_> {
    fn cmp(&self, other: &Self) -> Ordering {
        let by_pressure = self.pressure.total_cmp(&other.pressure);
        let by_model = by_pressure.then(self.model.cmp(other.model));
        by_model.then(self.claim.cmp(&other.claim))
    }
}

impl PartialOrd for Pressing<'_> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<'a> Planner<'a> {
    /// Shares the engines' places out: one for each model, and inside each
    /// bound one for each model that is used there, then always one for the
    /// claim that presses hardest.
    pub(super) fn want(&mut self) {
        let most: Vec<usize> = self
            .inside
            .iter()
            .map(|inside| {
                let engines = self.engines.iter().zip(inside);
                let sound =
                    engines.filter(|(e, is_in)| e.state.sound && **is_in);
                sound.count().max(1)
            })
            .collect();
        let models = 0..self.spec.models.len();
        let taken: usize = models.map(|model| self.places_of(model)).sum();
        let all = most[EVERYWHERE] * self.places();
        let mut left = all.saturating_sub(taken);
        let claims = 0..self.claims.len();
        let mut pressed: BinaryHeap<Pressing<'a>> =
            claims.map(|claim| self.pressing(claim)).collect();
        while left > 0 {
            let Some(Pressing { pressure, claim, .. }) = pressed.pop() else {
                break;
            };
            if pressure < ENOUGH_BUSY {
                break;
            }
            let Claim { wanted, bound, .. } = self.claims[claim];
            if wanted >= most[bound] {
                continue;
            }
            left -= self.want_one_more(claim);
            pressed.push(self.pressing(claim));
        }
        self.want_room_for_adapters(left, most[EVERYWHERE]);
    }

    /// Returns how many places a model's claims take together.
    fn places_of(&self, model: usize) -> usize {
        let bounds = self.bound_claims[model].iter();
        let inside: usize = bounds.map(|c| self.claims[*c].wanted).sum();
        self.claims[model].wanted.max(inside)
    }

    /// Gives a claim a further place; returns how many that takes.
    fn want_one_more(&mut self, claim: usize) -> usize {
        let model = self.claims[claim].model;
        let before = self.places_of(model);
        self.claims[claim].wanted += 1;
        self.places_of(model) - before
    }

    fn pressing(&self, claim: usize) -> Pressing<'a> {
        let Claim { model, wanted, .. } = self.claims[claim];
        Pressing {
            pressure: self.pressure(claim, wanted),
            model: &self.spec.models[model].name,
            claim,
        }
    }

    /// Gives what is left to models whose adapters have no place, so that
    /// they are there before they are asked for.
    fn want_room_for_adapters(&mut self, mut left: usize, most: usize) {
        let slots = self.spec.adapter_places.max(1);
        let without = |planner: &Self, model: usize| {
            let adapters = planner.spec.models[model].adapters.len();
            let claim = &planner.claims[model];
            let without = match claim.wanted {
                // It has no place itself.
                0 => 0,
                wanted => adapters.saturating_sub(slots * wanted),
            };
            (without > 0).then_some((without, model))
        };
        let models = 0..self.spec.models.len();
        let mut homeless: BinaryHeap<(usize, usize)> =
            models.filter_map(|model| without(self, model)).collect();
        while left > 0 {
            let Some((_, model)) = homeless.pop() else { return };
            if self.claims[model].wanted >= most {
                continue;
            }
            left -= self.want_one_more(model);
            homeless.extend(without(self, model));
        }
    }
}
