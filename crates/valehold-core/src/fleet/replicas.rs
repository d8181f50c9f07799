//! How many engines hold each model, and which.
//!
//! Every model stays on one engine at least. A model's demand is the part of
//! one engine's time that its requests take; a model whose engines would be
//! busier than a target gets another one. Models with more engines than
//! their demand needs give way. An unload is never given for the last engine
//! that holds a model.

use std::collections::{BTreeMap, BTreeSet};

use super::{adapters::taken_mb, catalog::EngineSpec, listing::Holding};
use crate::id::{DataCentreId, ModelName, UpstreamId};

/// What the planner knows of one engine.
#[derive(Debug, Clone)]
pub struct EngineState {
    /// The engine.
    pub id: UpstreamId,
    /// The data centre that it stands in.
    pub data_centre: DataCentreId,
    /// What it holds.
    pub holding: Holding,
    /// A model that it was told to load and does not hold yet.
    pub loading: Option<ModelName>,
    /// Whether an order is being carried out, or may be.
    pub busy: bool,
    /// Whether it takes work: it is there, answers, and does not leave.
    pub sound: bool,
    /// Models that it held before, which it loads sooner.
    pub held_before: BTreeSet<ModelName>,
    /// How busy it is, from 0.
    pub load: f64,
}

impl EngineState {
    fn will_hold(&self, model: &ModelName) -> bool {
        self.holding.models.contains_key(model)
            || self.loading.as_ref() == Some(model)
    }
}

/// A step of the plan.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReplicaStep {
    /// The engine loads the model.
    Load {
        /// The engine.
        engine: UpstreamId,
        /// The model.
        model: ModelName,
    },
    /// The engine gives the model up.
    Unload {
        /// The engine.
        engine: UpstreamId,
        /// The model.
        model: ModelName,
    },
}

/// The part of an engine's time that a model's requests may take on each of
/// its engines before it gets another one.
pub const TARGET_BUSY: f64 = 0.15;

/// The demand for one model.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ModelNeed {
    /// Engines that its requests keep wholly busy.
    pub busy: f64,
    /// How many of its adapters are asked for.
    pub adapters: usize,
}

/// Decides the next steps, at most one for each engine.
///
/// `loads` is how many loads the weight store allows now.
pub fn plan(
    spec: &EngineSpec,
    demand: &BTreeMap<ModelName, ModelNeed>,
    engines: &[EngineState],
    loads: usize,
) -> Vec<ReplicaStep> {
    let mut planner = Planner {
        spec,
        engines: engines.to_vec(),
        wanted: BTreeMap::new(),
        steps: Vec::new(),
        loads,
    };
    planner.want(demand);
    planner.restore();
    planner.follow_demand(demand);
    planner.steps
}

struct Planner<'a> {
    spec: &'a EngineSpec,
    engines: Vec<EngineState>,
    wanted: BTreeMap<ModelName, usize>,
    steps: Vec<ReplicaStep>,
    loads: usize,
}

impl Planner<'_> {
    fn want(&mut self, demand: &BTreeMap<ModelName, ModelNeed>) {
        let most = self.engines.iter().filter(|e| e.sound).count().max(1);
        for model in &self.spec.models {
            let need = demand.get(&model.name).copied().unwrap_or_default();
            #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
            let for_load = (need.busy / TARGET_BUSY).ceil() as usize;
            let slots = self.spec.adapter_slots.max(1);
            let for_adapters = need.adapters.div_ceil(slots);
            let needed = for_load.max(for_adapters);
            self.wanted.insert(model.name.clone(), needed.clamp(1, most));
        }
    }

    /// Gives each model that no sound engine holds an engine.
    fn restore(&mut self) {
        let lost: Vec<ModelName> = self.models_below(|_| 1);
        for model in lost {
            self.add_replica(&model);
        }
    }

    fn follow_demand(&mut self, demand: &BTreeMap<ModelName, ModelNeed>) {
        let wanted = self.wanted.clone();
        let mut short = self.models_below(|m| wanted[m]);
        let pressure = |model: &ModelName| {
            let busy = demand.get(model).map_or(0.0, |need| need.busy);
            #[allow(clippy::cast_precision_loss)]
            let held = self.holders(model).max(1) as f64;
            busy / held
        };
        short.sort_by(|a, b| pressure(b).total_cmp(&pressure(a)));
        for model in short {
            if self.holders(&model) > 0 {
                self.add_replica(&model);
            }
        }
    }

    fn models_below(
        &self,
        least: impl Fn(&ModelName) -> usize,
    ) -> Vec<ModelName> {
        let names = self.spec.models.iter().map(|model| &model.name);
        names.filter(|m| self.holders(m) < least(m)).cloned().collect()
    }

    fn holders(&self, model: &ModelName) -> usize {
        let holds = |e: &&EngineState| e.sound && e.will_hold(model);
        self.engines.iter().filter(holds).count()
    }

    fn add_replica(&mut self, model: &ModelName) {
        if self.loads == 0 {
            return;
        }
        match self.roomy_engine(model) {
            Some(index) => self.load(index, model),
            None => self.make_room(model),
        }
    }

    fn roomy_engine(&self, model: &ModelName) -> Option<usize> {
        let size = self.size(model);
        let zones = self.zones_of(model);
        let able = (0..self.engines.len()).filter(|index| {
            let engine = &self.engines[*index];
            self.may_order(engine)
                && !engine.will_hold(model)
                && taken_mb(&engine.holding, self.spec) + size
                    <= self.spec.weights_mb
        });
        able.min_by(|a, b| {
            let rank = |index: &usize| {
                let engine = &self.engines[*index];
                let new = !engine.held_before.contains(model);
                (new, zones.contains(&engine.data_centre))
            };
            let load = |index: &usize| self.engines[*index].load;
            rank(a).cmp(&rank(b)).then(load(a).total_cmp(&load(b)))
        })
    }

    fn zones_of(&self, model: &ModelName) -> BTreeSet<DataCentreId> {
        let holders = self.engines.iter().filter(|e| e.will_hold(model));
        holders.map(|e| e.data_centre.clone()).collect()
    }

    fn load(&mut self, index: usize, model: &ModelName) {
        let engine = &mut self.engines[index];
        engine.loading = Some(model.clone());
        engine.busy = true;
        self.loads -= 1;
        let engine = engine.id.clone();
        self.steps.push(ReplicaStep::Load { engine, model: model.clone() });
    }

    /// Takes away the model that can best be spared, where that makes room.
    fn make_room(&mut self, model: &ModelName) {
        let size = self.size(model);
        let mut best: Option<(usize, ModelName, (usize, bool))> = None;
        for (index, engine) in self.engines.iter().enumerate() {
            if !self.may_order(engine) || engine.will_hold(model) {
                continue;
            }
            let taken = taken_mb(&engine.holding, self.spec);
            for held in engine.holding.models.keys() {
                let surplus = self.surplus(held);
                let freed = self.held_mb(&engine.holding, held);
                if surplus == 0 || taken - freed + size > self.spec.weights_mb
                {
                    continue;
                }
                let known = engine.held_before.contains(model);
                let rank = (surplus, known);
                let better = best.as_ref().is_none_or(|(at, _, r)| {
                    rank > *r
                        || (rank == *r && engine.load < self.engines[*at].load)
                });
                if better {
                    best = Some((index, held.clone(), rank));
                }
            }
        }
        let Some((index, victim, _)) = best else { return };
        let engine = &mut self.engines[index];
        engine.busy = true;
        engine.holding.models.remove(&victim);
        let engine = engine.id.clone();
        self.steps.push(ReplicaStep::Unload { engine, model: victim });
    }

    /// Counts the engines that a model could lose: not its last one.
    fn surplus(&self, model: &ModelName) -> usize {
        let wanted = self.wanted.get(model).copied().unwrap_or(0);
        self.resident(model).saturating_sub(wanted.max(1))
    }

    /// Counts the sound engines that hold a model now.
    fn resident(&self, model: &ModelName) -> usize {
        let holds =
            |e: &&EngineState| e.sound && e.holding.models.contains_key(model);
        self.engines.iter().filter(holds).count()
    }

    fn may_order(&self, engine: &EngineState) -> bool {
        engine.sound && !engine.busy
    }

    fn size(&self, model: &ModelName) -> u64 {
        self.spec.model(model).map_or(u64::MAX / 4, |m| m.size_mb)
    }

    fn held_mb(&self, holding: &Holding, model: &ModelName) -> u64 {
        let adapters = holding.models.get(model).map_or(0, BTreeSet::len);
        self.spec
            .model(model)
            .map_or(0, |spec| spec.size_mb + spec.adapter_mb * adapters as u64)
    }
}
