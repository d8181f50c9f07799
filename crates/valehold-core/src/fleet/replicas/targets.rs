//! Decides the target of each claim: the number of engines that are to hold
//! the model.

use std::{cmp::Ordering, collections::BinaryHeap};

use super::{
    MIN_PRESSURE_FOR_REPLICA,
    claim::Claim,
    planner::{EVERYWHERE, Planner},
};
use crate::id::ModelName;

/// A claim that may get a higher target. The candidate with the greatest
/// pressure compares as the greatest.
#[derive(Debug, PartialEq)]
struct TargetCandidate<'a> {
    pressure: f64,
    model: &'a ModelName,
    claim: usize,
}

impl Eq for TargetCandidate<'_> {}

impl Ord for TargetCandidate<'_> {
    fn cmp(&self, other: &Self) -> Ordering {
        let by_pressure = self.pressure.total_cmp(&other.pressure);
        let by_model = by_pressure.then(self.model.cmp(other.model));
        by_model.then(self.claim.cmp(&other.claim))
    }
}

impl PartialOrd for TargetCandidate<'_> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<'a> Planner<'a> {
    /// Distributes the places on available engines among the claims.
    ///
    /// Each guaranteed claim starts with one place. Each further place goes to
    /// the claim with the highest pressure, until no place is left or all
    /// pressures are below [`MIN_PRESSURE_FOR_REPLICA`].
    pub(super) fn set_targets(&mut self) {
        let max_engines: Vec<usize> = self
            .inside
            .iter()
            .map(|inside| {
                let engines = self.engines.iter().zip(inside);
                let available = engines
                    .filter(|(e, is_in)| e.state.is_available && **is_in);
                available.count().max(1)
            })
            .collect();
        let models = 0..self.spec.models.len();
        let assigned: usize =
            models.map(|model| self.replicas_needed(model)).sum();
        let capacity = max_engines[EVERYWHERE] * self.models_per_engine();
        let mut free_places = capacity.saturating_sub(assigned);
        let claims = 0..self.claims.len();
        let mut queue: BinaryHeap<TargetCandidate<'a>> =
            claims.map(|claim| self.target_candidate(claim)).collect();
        while free_places > 0 {
            let Some(TargetCandidate { pressure, claim, .. }) = queue.pop()
            else {
                break;
            };
            if pressure < MIN_PRESSURE_FOR_REPLICA {
                break;
            }
            let Claim { target, bound, .. } = self.claims[claim];
            if target >= max_engines[bound] {
                continue;
            }
            free_places -= self.raise_target(claim);
            queue.push(self.target_candidate(claim));
        }
        self.raise_targets_for_adapters(free_places, max_engines[EVERYWHERE]);
    }

    /// Returns the number of replicas that the claims of a model need
    /// together.
    fn replicas_needed(&self, model: usize) -> usize {
        let bounds = self.bound_claims[model].iter();
        let inside: usize = bounds.map(|c| self.claims[*c].target).sum();
        self.claims[model].target.max(inside)
    }

    /// Raises the target of a claim by one. Returns the number of places that
    /// this takes; 0 if the replicas inside bounds already cover the claim.
    fn raise_target(&mut self, claim: usize) -> usize {
        let model = self.claims[claim].model;
        let before = self.replicas_needed(model);
        self.claims[claim].target += 1;
        self.replicas_needed(model) - before
    }

    /// Returns a claim with the pressure at its current target.
    fn target_candidate(&self, claim: usize) -> TargetCandidate<'a> {
        let Claim { model, target, .. } = self.claims[claim];
        TargetCandidate {
            pressure: self.pressure(claim, target),
            model: &self.spec.models[model].name,
            claim,
        }
    }

    /// Gives the places that are left to models with more adapters than
    /// adapter places, so that the adapters can be loaded before requests need
    /// them.
    fn raise_targets_for_adapters(
        &mut self,
        mut free_places: usize,
        max_engines: usize,
    ) {
        let adapter_places = self.spec.adapter_places.max(1);
        let unplaced_adapters = |planner: &Self, model: usize| {
            let adapters = planner.spec.models[model].adapters.len();
            let claim = &planner.claims[model];
            let unplaced = match claim.target {
                // The model itself has no place.
                0 => 0,
                target => adapters.saturating_sub(adapter_places * target),
            };
            (unplaced > 0).then_some((unplaced, model))
        };
        let models = 0..self.spec.models.len();
        let mut queue: BinaryHeap<(usize, usize)> = models
            .filter_map(|model| unplaced_adapters(self, model))
            .collect();
        while free_places > 0 {
            let Some((_, model)) = queue.pop() else { return };
            if self.claims[model].target >= max_engines {
                continue;
            }
            free_places -= self.raise_target(model);
            queue.extend(unplaced_adapters(self, model));
        }
    }
}
