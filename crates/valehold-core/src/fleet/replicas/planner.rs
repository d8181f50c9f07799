//! What is counted of engines, models and bounds while a plan is made.

use std::collections::BTreeMap;

use super::{
    EngineState, LoadSource, ReplicaStep,
    claim::Claim,
    need::{ModelNeed, Needs},
};
use crate::{
    fleet::{
        catalog::{EngineSpec, ModelSpec},
        topology::Topology,
    },
    id::ModelName,
};

/// The number of no bound: every engine is inside it.
pub(super) const EVERYWHERE: usize = 0;

/// An engine, with its models by their numbers.
pub(super) struct Engine<'a> {
    pub(super) state: &'a EngineState,
    /// What it holds, but for models that are not declared.
    pub(super) models: Vec<usize>,
    /// Models that it keeps copies of.
    pub(super) copies: Vec<usize>,
    pub(super) loading: Option<usize>,
    /// Whether it may not be given an order.
    pub(super) busy: bool,
    /// The memory that its models and adapters take, in MB.
    pub(super) taken: u64,
}

impl Engine<'_> {
    pub(super) fn will_hold(&self, model: usize) -> bool {
        self.models.contains(&model) || self.loading == Some(model)
    }

    pub(super) fn may_order(&self) -> bool {
        self.state.sound && !self.busy
    }
}

/// What is counted of engines is kept up to date with each step, and models,
/// bounds and engines go by numbers: counted anew for each model and engine,
/// a plan for 240 engines and 399 models took longer than the time between
/// two plans, and by names one for 1,500 engines and 560 models takes some
/// 150 ms.
pub(super) struct Planner<'a> {
    pub(super) spec: &'a EngineSpec,
    pub(super) engines: Vec<Engine<'a>>,
    /// For each bound, which engines are inside it.
    pub(super) inside: Vec<Vec<bool>>,
    /// First that of each model to engines anywhere, in the order of the
    /// declaration, then those to engines inside bounds.
    pub(super) claims: Vec<Claim>,
    /// Each model's claims inside bounds.
    pub(super) bound_claims: Vec<Vec<usize>>,
    /// For each bound, how many of its claims no sound engine meets.
    missed: Vec<usize>,
    /// Models that are already waited for to have another engine, so that
    /// they make room inside a bound.
    pub(super) moving: Vec<usize>,
    steps: Vec<ReplicaStep>,
    loads: usize,
}

impl<'a> Planner<'a> {
    pub(super) fn new(
        spec: &'a EngineSpec,
        needs: &Needs,
        engines: &'a [EngineState],
        topology: Option<&Topology>,
        loads: usize,
    ) -> Self {
        let models = spec.models.iter().map(|model| &model.name);
        let numbers = models.enumerate().map(|(number, name)| (name, number));
        let numbers: BTreeMap<&ModelName, usize> = numbers.collect();
        let engine = |state| numbered(state, spec, &numbers);
        let mut planner = Self {
            spec,
            engines: engines.iter().map(engine).collect(),
            inside: vec![vec![true; engines.len()]],
            claims: Vec::new(),
            bound_claims: vec![Vec::new(); spec.models.len()],
            missed: Vec::new(),
            moving: Vec::new(),
            steps: Vec::new(),
            loads,
        };
        planner.claim(needs, &numbers, topology);
        planner.share_out_scarce_places();
        planner.count();
        planner
    }

    pub(super) fn into_steps(self) -> Vec<ReplicaStep> {
        self.steps
    }

    /// Makes the claims of all models.
    fn claim(
        &mut self,
        needs: &Needs,
        numbers: &BTreeMap<&ModelName, usize>,
        topology: Option<&Topology>,
    ) {
        for (number, model) in self.spec.models.iter().enumerate() {
            let need = needs.everywhere.get(&model.name);
            let need: ModelNeed = need.copied().unwrap_or_default();
            self.claims.push(Claim::new(number, EVERYWHERE, need));
        }
        for (bound, models) in &needs.bounds {
            let region = |engine: &Engine<'_>| {
                topology?.region_of(&engine.state.data_centre)
            };
            let inside = |engine| bound.allows(region(engine));
            self.inside.push(self.engines.iter().map(inside).collect());
            let bound = self.inside.len() - 1;
            for (name, need) in models {
                let Some(number) = numbers.get(name) else { continue };
                self.bound_claims[*number].push(self.claims.len());
                self.claims.push(Claim::new(*number, bound, *need));
            }
        }
    }

    /// Where models are more than places, keeps places for those that requests
    /// ask for.
    fn share_out_scarce_places(&mut self) {
        let sound = self.engines.iter().filter(|one| one.state.sound).count();
        if self.spec.models.len() <= sound * self.places() {
            return;
        }
        let claims = self.claims.iter_mut();
        let everywhere = claims.filter(|claim| claim.bound == EVERYWHERE);
        for claim in everywhere.filter(|claim| !claim.is_asked()) {
            claim.give_up_place();
        }
    }

    /// Returns on how many places an engine has room for models, whichever
    /// they are.
    pub(super) fn places(&self) -> usize {
        let largest = self.spec.models.iter().map(|m| m.size_mb).max();
        let places = self.spec.memory_mb / largest.unwrap_or(1).max(1);
        usize::try_from(places).unwrap_or(usize::MAX).max(1)
    }

    /// Counts what engines hold.
    fn count(&mut self) {
        for index in 0..self.engines.len() {
            let engine = &self.engines[index];
            if !engine.state.sound {
                continue;
            }
            let held = engine.models.clone();
            let loading = engine.loading.filter(|model| !held.contains(model));
            for model in held {
                self.count_resident(index, model, 1);
                self.count_holder(index, model, 1);
            }
            if let Some(model) = loading {
                self.count_holder(index, model, 1);
            }
        }
        self.missed = vec![0; self.inside.len()];
        for claim in self.claims.iter().filter(|claim| claim.holders == 0) {
            self.missed[claim.bound] += 1;
        }
    }

    /// Returns a model's claims that an engine is inside of.
    pub(super) fn claims_at(
        &self,
        engine: usize,
        model: usize,
    ) -> impl Iterator<Item = usize> + '_ {
        let bounds = self.bound_claims[model].iter().copied();
        let inside = bounds.filter(move |claim| {
            self.inside[self.claims[*claim].bound][engine]
        });
        std::iter::once(model).chain(inside)
    }

    fn count_resident(&mut self, engine: usize, model: usize, change: isize) {
        let claims: Vec<usize> = self.claims_at(engine, model).collect();
        for claim in claims {
            let resident = &mut self.claims[claim].resident;
            *resident = resident.saturating_add_signed(change);
        }
    }

    fn count_holder(&mut self, engine: usize, model: usize, change: isize) {
        let claims: Vec<usize> = self.claims_at(engine, model).collect();
        for claim in claims {
            let holders = &mut self.claims[claim].holders;
            *holders = holders.saturating_add_signed(change);
        }
    }

    /// Tells whether an engine is inside a bound that lacks another model:
    /// its room is for that one.
    pub(super) fn is_missed_inside(
        &self,
        engine: usize,
        model: usize,
    ) -> bool {
        let bounds = 1..self.inside.len();
        let missed = bounds
            .filter(|bound| self.inside[*bound][engine])
            .map(|bound| self.missed[bound]);
        let claims = self.claims_at(engine, model).skip(1);
        let own = claims.filter(|claim| self.claims[*claim].holders == 0);
        missed.sum::<usize>() > own.count()
    }

    pub(super) fn pressure(&self, claim: usize, engines: usize) -> f64 {
        self.claims[claim].pressure(engines, self.spec.adapter_places)
    }

    pub(super) fn load(&mut self, index: usize, model: usize) {
        let engine = &mut self.engines[index];
        let source = match engine.copies.contains(&model) {
            true => LoadSource::Copy,
            false => LoadSource::WeightStore,
        };
        if source == LoadSource::WeightStore && !engine.state.is_counted {
            let Some(left) = self.loads.checked_sub(1) else { return };
            self.loads = left;
        }
        engine.loading = Some(model);
        engine.busy = true;
        let id = engine.state.id.clone();
        self.meet(index, model);
        self.count_holder(index, model, 1);
        self.steps.push(ReplicaStep::Load {
            engine: id,
            model: self.spec.models[model].name.clone(),
            source,
        });
    }

    /// Notes that a model is missed no more inside the bounds of an engine.
    fn meet(&mut self, engine: usize, model: usize) {
        let claims: Vec<usize> = self.claims_at(engine, model).collect();
        for claim in claims.into_iter().map(|claim| &self.claims[claim]) {
            if claim.holders == 0 {
                self.missed[claim.bound] -= 1;
            }
        }
    }

    pub(super) fn unload(&mut self, index: usize, model: usize) {
        let engine = &mut self.engines[index];
        engine.busy = true;
        engine.models.retain(|held| *held != model);
        let id = engine.state.id.clone();
        self.count_resident(index, model, -1);
        self.count_holder(index, model, -1);
        self.steps.push(ReplicaStep::Unload {
            engine: id,
            model: self.spec.models[model].name.clone(),
        });
    }

    /// Returns the memory that a model takes at an engine, with its adapters
    /// there, in MB.
    pub(super) fn held_mb(&self, engine: &Engine<'_>, model: usize) -> u64 {
        held_mb(engine.state, &self.spec.models[model])
    }
}

fn held_mb(state: &EngineState, model: &ModelSpec) -> u64 {
    let adapters = state.holding.models.get(&model.name);
    let adapters = adapters.map_or(0, |adapters| adapters.len() as u64);
    model.size_mb + model.adapter_size_mb * adapters
}

fn numbered<'a>(
    state: &'a EngineState,
    spec: &EngineSpec,
    numbers: &BTreeMap<&ModelName, usize>,
) -> Engine<'a> {
    let number = |name: &ModelName| numbers.get(name).copied();
    let models: Vec<usize> =
        state.holding.models.keys().filter_map(number).collect();
    let taken = models.iter().map(|m| held_mb(state, &spec.models[*m])).sum();
    Engine {
        copies: state.copies.iter().filter_map(number).collect(),
        loading: state.loading.as_ref().and_then(number),
        busy: state.busy,
        models,
        taken,
        state,
    }
}
