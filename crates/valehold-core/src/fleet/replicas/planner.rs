//! The state of a plan in the making: the engines, the models, the bounds, the
//! counts of replicas, and the steps so far.

use std::collections::{BTreeMap, BTreeSet};

use super::{
    EngineState, KnownModels, LoadSource, ReplicaStep,
    claim::Claim,
    need::{ModelNeed, Needs},
};
use crate::{
    fleet::{
        catalog::{EngineSpec, ModelSpec},
        model_sizes::ModelSize,
        topology::Topology,
    },
    id::ModelName,
};

/// The index of the bound that contains every engine.
pub(super) const EVERYWHERE: usize = 0;

/// An engine, with its models as indexes into the declaration.
pub(super) struct Engine<'a> {
    pub(super) state: &'a EngineState,
    /// The models that the engine holds, without undeclared models.
    pub(super) models: Vec<usize>,
    /// The models of which the engine keeps a local copy.
    pub(super) copies: Vec<usize>,
    pub(super) loading: Option<usize>,
    /// Whether an order is or may be pending, or this plan already has a step
    /// for the engine. No further order may be given then.
    pub(super) has_pending_order: bool,
    /// The memory that all models and adapters use, undeclared ones among
    /// them, in MB; `None` if the size of one is unknown.
    pub(super) used_mb: Option<u64>,
    /// The undeclared models that may be unloaded, the largest first, each
    /// with the memory that its unload frees, in MB.
    pub(super) removable: Vec<(&'a ModelName, u64)>,
}

impl Engine<'_> {
    /// Returns whether the engine holds or loads a model.
    pub(super) fn will_hold(&self, model: usize) -> bool {
        self.models.contains(&model) || self.loading == Some(model)
    }

    /// Returns whether the engine may be given an order.
    pub(super) fn accepts_order(&self) -> bool {
        self.state.is_available && !self.has_pending_order
    }

    /// Returns whether a model fits into the memory that is free after
    /// `freed_mb` are unloaded.
    pub(super) fn fits(
        &self,
        size_mb: u64,
        freed_mb: u64,
        memory_mb: u64,
    ) -> bool {
        self.used_mb.is_some_and(|used_mb| {
            used_mb.saturating_sub(freed_mb).saturating_add(size_mb)
                <= memory_mb
        })
    }
}

/// A plan in the making.
///
/// Each step updates the counts of replicas. Counting again for each model and
/// engine made a plan for 240 engines and 399 models take longer than the time
/// between two plans. Models, bounds and engines are identified by index: with
/// names, a plan for 1,500 engines and 560 models takes about 150 ms.
pub(super) struct Planner<'a> {
    pub(super) spec: &'a EngineSpec,
    pub(super) known: KnownModels<'a>,
    /// The size of each declared model.
    pub(super) sizes: Vec<ModelSize>,
    pub(super) engines: Vec<Engine<'a>>,
    /// For each bound and each engine, whether the engine is inside the bound.
    pub(super) inside: Vec<Vec<bool>>,
    /// First, in the order of the declaration, the claim of each model to any
    /// engine; then the claims inside bounds.
    pub(super) claims: Vec<Claim>,
    /// For each model, the indexes of its claims inside bounds.
    pub(super) bound_claims: Vec<Vec<usize>>,
    /// For each bound, the number of its claims without a holder.
    missing_per_bound: Vec<usize>,
    /// The models that are being relocated out of a bound to make room for a
    /// missing model. A relocation counts for one missing model only.
    pub(super) relocating: Vec<usize>,
    steps: Vec<ReplicaStep>,
    /// The number of loads that the weight store still allows.
    loads_left: usize,
}

impl<'a> Planner<'a> {
    pub(super) fn new(
        spec: &'a EngineSpec,
        known: KnownModels<'a>,
        needs: &Needs,
        engines: &'a [EngineState],
        topology: Option<&Topology>,
        loads_left: usize,
    ) -> Self {
        let models = spec.models.iter().map(|model| &model.name);
        let indexes = models.enumerate().map(|(index, name)| (name, index));
        let indexes: BTreeMap<&ModelName, usize> = indexes.collect();
        let engine = |state| index_engine(state, known, &indexes);
        let size = |model| largest_size(model, known);
        let mut planner = Self {
            spec,
            known,
            sizes: spec.models.iter().map(size).collect(),
            engines: engines.iter().map(engine).collect(),
            inside: vec![vec![true; engines.len()]],
            claims: Vec::new(),
            bound_claims: vec![Vec::new(); spec.models.len()],
            missing_per_bound: Vec::new(),
            relocating: Vec::new(),
            steps: Vec::new(),
            loads_left,
        };
        planner.add_claims(needs, &indexes, topology);
        planner.drop_idle_guarantees();
        planner.count_replicas();
        planner
    }

    pub(super) fn into_steps(self) -> Vec<ReplicaStep> {
        self.steps
    }

    /// Adds the claims of all models.
    fn add_claims(
        &mut self,
        needs: &Needs,
        indexes: &BTreeMap<&ModelName, usize>,
        topology: Option<&Topology>,
    ) {
        for (index, model) in self.spec.models.iter().enumerate() {
            let need = needs.everywhere.get(&model.name);
            let need: ModelNeed = need.copied().unwrap_or_default();
            self.claims.push(Claim::new(index, EVERYWHERE, need));
        }
        for (bound, models) in &needs.bounds {
            let region = |engine: &Engine<'_>| {
                topology?.region_of(&engine.state.data_centre)
            };
            let inside = |engine| bound.allows(region(engine));
            self.inside.push(self.engines.iter().map(inside).collect());
            let bound = self.inside.len() - 1;
            for (name, need) in models {
                let Some(index) = indexes.get(name) else { continue };
                self.bound_claims[*index].push(self.claims.len());
                self.claims.push(Claim::new(*index, bound, *need));
            }
        }
    }

    /// If the models outnumber the places on available engines, removes the
    /// guarantee of a replica from models without demand.
    fn drop_idle_guarantees(&mut self) {
        let available =
            self.engines.iter().filter(|one| one.state.is_available).count();
        if self.spec.models.len() <= available * self.models_per_engine() {
            return;
        }
        let claims = self.claims.iter_mut();
        let everywhere = claims.filter(|claim| claim.bound == EVERYWHERE);
        for claim in everywhere.filter(|claim| !claim.has_demand()) {
            claim.drop_guarantee();
        }
    }

    /// Returns the number of models that fit an engine, whichever models these
    /// are; at least 1.
    pub(super) fn models_per_engine(&self) -> usize {
        let largest = self.sizes.iter().map(|size| size.size_mb).max();
        let models = self.spec.memory_mb / largest.unwrap_or(1).max(1);
        usize::try_from(models).unwrap_or(usize::MAX).max(1)
    }

    /// Counts the replicas on available engines for all claims.
    fn count_replicas(&mut self) {
        for index in 0..self.engines.len() {
            let engine = &self.engines[index];
            if !engine.state.is_available {
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
        self.missing_per_bound = vec![0; self.inside.len()];
        for claim in self.claims.iter().filter(|claim| claim.holders == 0) {
            self.missing_per_bound[claim.bound] += 1;
        }
    }

    /// Returns the indexes of the claims that a replica of a model on an
    /// engine counts for.
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

    /// Adds `change` to the number of engines that hold a model, for each
    /// claim that the engine counts for.
    fn count_resident(&mut self, engine: usize, model: usize, change: isize) {
        let claims: Vec<usize> = self.claims_at(engine, model).collect();
        for claim in claims {
            let resident = &mut self.claims[claim].resident;
            *resident = resident.saturating_add_signed(change);
        }
    }

    /// Adds `change` to the number of holders of a model, for each claim that
    /// the engine counts for.
    fn count_holder(&mut self, engine: usize, model: usize, change: isize) {
        let claims: Vec<usize> = self.claims_at(engine, model).collect();
        for claim in claims {
            let holders = &mut self.claims[claim].holders;
            *holders = holders.saturating_add_signed(change);
        }
    }

    /// Returns whether an engine is inside a bound in which another model has
    /// no holder. The engine's free memory is kept for that model if possible.
    pub(super) fn is_reserved_for_another(
        &self,
        engine: usize,
        model: usize,
    ) -> bool {
        let bounds = 1..self.inside.len();
        let missing = bounds
            .filter(|bound| self.inside[*bound][engine])
            .map(|bound| self.missing_per_bound[bound]);
        let claims = self.claims_at(engine, model).skip(1);
        let own = claims.filter(|claim| self.claims[*claim].holders == 0);
        missing.sum::<usize>() > own.count()
    }

    /// Returns the pressure of a claim on each of `engines` engines.
    pub(super) fn pressure(&self, claim: usize, engines: usize) -> f64 {
        self.claims[claim].pressure(engines, self.spec.adapter_places)
    }

    /// Adds a load to the plan, unless the weight store allows no further
    /// load.
    pub(super) fn add_load_step(&mut self, index: usize, model: usize) {
        let engine = &mut self.engines[index];
        let source = match engine.copies.contains(&model) {
            true => LoadSource::Copy,
            false => LoadSource::WeightStore,
        };
        if source == LoadSource::WeightStore && !engine.state.has_counted_load
        {
            let Some(left) = self.loads_left.checked_sub(1) else { return };
            self.loads_left = left;
        }
        engine.loading = Some(model);
        engine.has_pending_order = true;
        let id = engine.state.id.clone();
        self.update_missing(index, model);
        self.count_holder(index, model, 1);
        self.steps.push(ReplicaStep::Load {
            engine: id,
            model: self.spec.models[model].name.clone(),
            source,
        });
    }

    /// Updates the number of claims without a holder before a load of a model
    /// on an engine is counted.
    fn update_missing(&mut self, engine: usize, model: usize) {
        let claims: Vec<usize> = self.claims_at(engine, model).collect();
        for claim in claims.into_iter().map(|claim| &self.claims[claim]) {
            if claim.holders == 0 {
                self.missing_per_bound[claim.bound] -= 1;
            }
        }
    }

    /// Adds an unload to the plan.
    pub(super) fn add_unload_step(&mut self, index: usize, model: usize) {
        let engine = &mut self.engines[index];
        engine.has_pending_order = true;
        engine.models.retain(|held| *held != model);
        let id = engine.state.id.clone();
        self.count_resident(index, model, -1);
        self.count_holder(index, model, -1);
        self.steps.push(ReplicaStep::Unload {
            engine: id,
            model: self.spec.models[model].name.clone(),
        });
    }

    /// Adds an unload of an undeclared model to the plan.
    pub(super) fn add_removal_step(&mut self, index: usize, name: &ModelName) {
        let engine = &mut self.engines[index];
        engine.has_pending_order = true;
        engine.removable.retain(|(held, _)| *held != name);
        self.steps.push(ReplicaStep::Unload {
            engine: engine.state.id.clone(),
            model: name.clone(),
        });
    }

    /// Returns the memory that a model and its adapters use on an engine, in
    /// MB.
    pub(super) fn held_mb(&self, engine: &Engine<'_>, model: usize) -> u64 {
        let name = &self.spec.models[model].name;
        let adapters = engine.state.holding.models.get(name);
        let adapters = adapters.map_or(0, BTreeSet::len);
        self.sizes[model].with_adapters(adapters)
    }
}

/// Returns the largest size known of a declared model.
fn largest_size(model: &ModelSpec, known: KnownModels<'_>) -> ModelSize {
    let declared = ModelSize::from(model);
    known.sizes.get(&model.name).map_or(declared, |size| size.max(declared))
}

/// Translates the state of an engine from model names to indexes.
fn index_engine<'a>(
    state: &'a EngineState,
    known: KnownModels<'_>,
    indexes: &BTreeMap<&ModelName, usize>,
) -> Engine<'a> {
    let index = |name: &ModelName| indexes.get(name).copied();
    let names = state.holding.models.keys();
    let removable = names.clone().filter(|name| {
        !indexes.contains_key(name) && known.removable.contains(*name)
    });
    let freed_by =
        |name| known.sizes.held_mb(&state.holding, name).unwrap_or(0);
    let mut removable: Vec<(&ModelName, u64)> =
        removable.map(|name| (name, freed_by(name))).collect();
    removable.sort_by_key(|(_, freed_mb)| std::cmp::Reverse(*freed_mb));
    Engine {
        copies: state.copies.iter().filter_map(index).collect(),
        loading: state.loading.as_ref().and_then(index),
        has_pending_order: state.has_pending_order,
        models: names.clone().filter_map(index).collect(),
        used_mb: known.sizes.used_mb(&state.holding),
        removable,
        state,
    }
}
