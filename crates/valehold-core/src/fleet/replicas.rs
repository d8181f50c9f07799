//! How many engines hold each model, and which.
//!
//! Every model stays on one engine at least. How hard a model presses on its
//! engines is the part of their time that its requests take, or the part of
//! their places for adapters that it needs at once, whichever is more. Places
//! go to the models that press hardest; those with more engines than that
//! give way, first where they are missed least. An unload is never given for
//! the last engine that holds a model.
//!
//! A model that no engine holds any more presses harder the longer it is
//! gone: engines that crash are often back with their copies before another
//! one has loaded it, and a busy model's engine is not worth that at once.

use std::{
    cmp::Ordering,
    collections::{BTreeMap, BTreeSet, BinaryHeap},
};

use super::{catalog::EngineSpec, listing::Holding};
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
    /// Models of which it keeps copies: it loads them sooner, and without
    /// the weight store.
    pub copies: BTreeSet<ModelName>,
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
        /// Whether it comes from the weight store.
        from_store: bool,
    },
    /// The engine gives the model up.
    Unload {
        /// The engine.
        engine: UpstreamId,
        /// The model.
        model: ModelName,
    },
}

/// Below this part of an engine's time for each of its engines, a model needs
/// no further one.
pub const ENOUGH_BUSY: f64 = 0.06;

/// By how much harder pressed than the giver a model must be for a replica to
/// move from one to the other.
const WORTH_A_MOVE: f64 = 1.5;

/// How hard adapters that take all places of a model's engines press, against
/// requests that keep the engines wholly busy.
const FULL_PLACES_PRESS: f64 = 0.5;

/// How hard a model presses at the least that no engine holds.
const LOST_PRESSES: f64 = 0.6;

/// By how much harder it presses with each second.
const LOST_PRESSES_EACH_S: f64 = 0.4;

/// How many times as hard its requests press, as none of them can run.
const LOST_REQUESTS_PRESS: f64 = 4.0;

/// What a busy engine weighs when a model is to leave it: the unload waits
/// for its requests, in the pressure that would be as bad.
const BUSY_ENGINE_WEIGHS: f64 = 0.3;

/// What it is worth to load a model from a copy, likewise.
const COPY_IS_WORTH: f64 = 0.3;

/// The demand for one model.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ModelNeed {
    /// Engines that its requests keep wholly busy.
    pub busy: f64,
    /// Engines that its requests kept wholly busy lately: what it has is not
    /// taken from it for a short lull.
    pub lately: f64,
    /// How many of its adapters are expected to be in use at once.
    pub adapters: f64,
    /// For how long no engine has held it, in ms.
    pub lost_ms: u64,
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
    let mut planner = Planner::new(spec, demand, engines, loads);
    planner.want();
    let lost = planner.lost();
    let short = planner.short();
    planner.load_copies(&lost);
    planner.load_copies(&short);
    planner.add_replicas(&lost);
    planner.add_replicas(&short);
    planner.steps
}

/// A model that lacks engines.
struct Lacking {
    model: ModelName,
    /// How hard it presses.
    pressure: f64,
    /// How many engines it is to have.
    least: usize,
}

fn hardest_first(lacking: impl Iterator<Item = Lacking>) -> Vec<Lacking> {
    let mut lacking: Vec<Lacking> = lacking.collect();
    lacking.sort_by(|a, b| b.pressure.total_cmp(&a.pressure));
    lacking
}

/// A model that may get a further place, by how hard it presses.
#[derive(Debug, PartialEq)]
struct Pressing<'a> {
    pressure: f64,
    model: &'a ModelName,
}

impl Eq for Pressing<'_> {}

impl Ord for Pressing<'_> {
    fn cmp(&self, other: &Self) -> Ordering {
        let by_pressure = self.pressure.total_cmp(&other.pressure);
        by_pressure.then(self.model.cmp(other.model))
    }
}

impl PartialOrd for Pressing<'_> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

/// What a model takes of an engine's memory, in MB.
#[derive(Debug, Clone, Copy)]
struct Size {
    weights: u64,
    adapter: u64,
}

/// How many sound engines have a model.
#[derive(Debug, Clone, Copy, Default)]
struct Held {
    /// Those that hold it now.
    resident: usize,
    /// Those, and the ones that are loading it.
    holders: usize,
}

/// What is counted of engines is kept up to date with each step: counted anew
/// for each model and engine, a plan for 240 engines and 399 models took
/// longer than the time between two plans.
struct Planner<'a> {
    spec: &'a EngineSpec,
    demand: &'a BTreeMap<ModelName, ModelNeed>,
    engines: Vec<EngineState>,
    sizes: BTreeMap<&'a ModelName, Size>,
    /// The memory that each engine's models and adapters take, in MB.
    taken: Vec<u64>,
    held: BTreeMap<ModelName, Held>,
    wanted: BTreeMap<ModelName, usize>,
    steps: Vec<ReplicaStep>,
    loads: usize,
}

impl<'a> Planner<'a> {
    fn new(
        spec: &'a EngineSpec,
        demand: &'a BTreeMap<ModelName, ModelNeed>,
        engines: &[EngineState],
        loads: usize,
    ) -> Self {
        let size = |model: &'a super::ModelSpec| Size {
            weights: model.size_mb,
            adapter: model.adapter_size_mb,
        };
        let sizes = spec.models.iter().map(|model| (&model.name, size(model)));
        let mut planner = Self {
            spec,
            demand,
            engines: engines.to_vec(),
            sizes: sizes.collect(),
            taken: Vec::new(),
            held: BTreeMap::new(),
            wanted: BTreeMap::new(),
            steps: Vec::new(),
            loads,
        };
        planner.count();
        planner
    }

    /// Counts what engines hold.
    fn count(&mut self) {
        let taken = |engine: &EngineState| {
            let models = engine.holding.models.keys();
            models.map(|held| self.held_mb(&engine.holding, held)).sum()
        };
        self.taken = self.engines.iter().map(taken).collect();
        for engine in self.engines.iter().filter(|engine| engine.sound) {
            for model in engine.holding.models.keys() {
                let held = self.held.entry(model.clone()).or_default();
                held.resident += 1;
                held.holders += 1;
            }
            let loading = engine.loading.as_ref();
            let new =
                loading.filter(|m| !engine.holding.models.contains_key(*m));
            if let Some(model) = new {
                self.held.entry(model.clone()).or_default().holders += 1;
            }
        }
    }

    fn held(&self, model: &ModelName) -> Held {
        self.held.get(model).copied().unwrap_or_default()
    }

    /// Shares the engines' places out: one for each model, then always one
    /// for the model that presses hardest.
    fn want(&mut self) {
        let most = self.engines.iter().filter(|e| e.sound).count().max(1);
        let mut left =
            (most * self.places()).saturating_sub(self.spec.models.len());
        for model in &self.spec.models {
            self.wanted.insert(model.name.clone(), 1);
        }
        let models = self.spec.models.iter().map(|model| &model.name);
        let first = models.map(|model| self.pressing(model, 1));
        let mut pressed: BinaryHeap<Pressing<'a>> = first.collect();
        while left > 0 {
            let Some(Pressing { pressure, model }) = pressed.pop() else {
                break;
            };
            if pressure < ENOUGH_BUSY {
                break;
            }
            let count = self.wanted.get(model).copied().unwrap_or(1);
            if count >= most {
                continue;
            }
            self.wanted.insert(model.clone(), count + 1);
            pressed.push(self.pressing(model, count + 1));
            left -= 1;
        }
        self.want_room_for_adapters(left, most);
    }

    fn pressing(&self, model: &'a ModelName, engines: usize) -> Pressing<'a> {
        Pressing { pressure: self.pressure(model, engines), model }
    }

    /// Gives what is left to models whose adapters have no place, so that
    /// they are there before they are asked for.
    fn want_room_for_adapters(&mut self, mut left: usize, most: usize) {
        let slots = self.spec.adapter_places.max(1);
        let without = |adapters: usize, count: usize| {
            adapters.checked_sub(slots * count).filter(|without| *without > 0)
        };
        let mut homeless: BinaryHeap<(usize, usize)> = BinaryHeap::new();
        for (index, model) in self.spec.models.iter().enumerate() {
            let count = self.wanted.get(&model.name).copied().unwrap_or(1);
            let without = without(model.adapters.len(), count);
            homeless.extend(without.map(|without| (without, index)));
        }
        while left > 0 {
            let Some((_, index)) = homeless.pop() else { return };
            let model = &self.spec.models[index];
            let count = self.wanted.get(&model.name).copied().unwrap_or(1);
            if count >= most {
                continue;
            }
            self.wanted.insert(model.name.clone(), count + 1);
            let without = without(model.adapters.len(), count + 1);
            homeless.extend(without.map(|without| (without, index)));
            left -= 1;
        }
    }

    /// Returns how many models an engine holds at the least.
    fn places(&self) -> usize {
        let largest = self.spec.models.iter().map(|m| m.size_mb).max();
        let places = self.spec.memory_mb / largest.unwrap_or(1).max(1);
        usize::try_from(places).unwrap_or(usize::MAX).max(1)
    }

    fn need(&self, model: &ModelName) -> ModelNeed {
        self.demand.get(model).copied().unwrap_or_default()
    }

    /// Returns how hard a model presses on each of so many engines.
    #[allow(clippy::cast_precision_loss)]
    fn pressure(&self, model: &ModelName, engines: usize) -> f64 {
        let need = self.need(model);
        let engines = engines.max(1) as f64;
        let places = engines * self.spec.adapter_places.max(1) as f64;
        let by_adapters = need.adapters / places * FULL_PLACES_PRESS;
        (need.busy / engines).max(by_adapters)
    }

    /// Returns how hard a model would press on each of so many engines if it
    /// were as busy as lately.
    #[allow(clippy::cast_precision_loss)]
    fn lately_pressure(&self, model: &ModelName, engines: usize) -> f64 {
        let lately = self.need(model).lately / engines.max(1) as f64;
        lately.max(self.pressure(model, engines))
    }

    /// Returns how hard a model presses that no engine holds.
    #[allow(clippy::cast_precision_loss)]
    fn lost_pressure(&self, model: &ModelName) -> f64 {
        let need = self.need(model);
        let lost_s = need.lost_ms as f64 / 1_000.0;
        LOST_PRESSES
            + LOST_PRESSES_EACH_S * lost_s
            + LOST_REQUESTS_PRESS * need.busy
    }

    /// Returns the models that no sound engine holds, those first that are
    /// missed most.
    fn lost(&self) -> Vec<Lacking> {
        let lost = self.models_below(|_| 1).into_iter();
        hardest_first(lost.map(|model| Lacking {
            pressure: self.lost_pressure(&model),
            model,
            least: 1,
        }))
    }

    /// Returns the models with fewer engines than they are to have, those
    /// first that press hardest.
    fn short(&self) -> Vec<Lacking> {
        let short = self.models_below(|model| self.wanted[model]).into_iter();
        let short = short.filter(|model| self.holders(model) > 0);
        hardest_first(short.map(|model| Lacking {
            pressure: self.pressure(&model, self.holders(&model)),
            least: self.wanted[&model],
            model,
        }))
    }

    /// Loads models at engines that keep a copy of them and have room.
    ///
    /// That takes an engine a part of the time that a load from the weight
    /// store does, so no engine is kept from it by such a load: engines that
    /// come back after a crash have copies of several models that are missed.
    fn load_copies(&mut self, lacking: &[Lacking]) {
        for one in lacking {
            let found = self.roomy_engine(&one.model);
            let copy = found.filter(|index| {
                self.engines[*index].copies.contains(&one.model)
            });
            if let Some(index) = copy {
                self.load(index, &one.model);
            }
        }
    }

    /// Loads models that still lack an engine, or makes room for them.
    fn add_replicas(&mut self, lacking: &[Lacking]) {
        for one in lacking {
            if self.holders(&one.model) >= one.least {
                continue;
            }
            match self.roomy_engine(&one.model) {
                Some(index) => self.load(index, &one.model),
                None => self.make_room(&one.model, one.pressure),
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
        self.held(model).holders
    }

    fn roomy_engine(&self, model: &ModelName) -> Option<usize> {
        let size = self.size(model);
        let near = self.data_centres_of(model);
        let able = (0..self.engines.len()).filter(|index| {
            let engine = &self.engines[*index];
            self.may_order(engine)
                && !engine.will_hold(model)
                && self.taken[*index] + size <= self.spec.memory_mb
        });
        able.min_by(|a, b| {
            let rank = |index: &usize| {
                let engine = &self.engines[*index];
                let is_new = !engine.copies.contains(model);
                (is_new, near.contains(&engine.data_centre))
            };
            let load = |index: &usize| self.engines[*index].load;
            rank(a).cmp(&rank(b)).then(load(a).total_cmp(&load(b)))
        })
    }

    fn data_centres_of(&self, model: &ModelName) -> BTreeSet<DataCentreId> {
        let holders = self.engines.iter().filter(|e| e.will_hold(model));
        holders.map(|e| e.data_centre.clone()).collect()
    }

    fn load(&mut self, index: usize, model: &ModelName) {
        let engine = &mut self.engines[index];
        let from_store = !engine.copies.contains(model);
        if from_store && self.loads == 0 {
            return;
        }
        if from_store {
            self.loads -= 1;
        }
        engine.loading = Some(model.clone());
        engine.busy = true;
        self.held.entry(model.clone()).or_default().holders += 1;
        self.steps.push(ReplicaStep::Load {
            engine: engine.id.clone(),
            model: model.clone(),
            from_store,
        });
    }

    /// Takes away the model that is missed least, where that makes room.
    fn make_room(&mut self, model: &ModelName, pressure: f64) {
        let size = self.size(model);
        let mut best: Option<(f64, usize, ModelName)> = None;
        for (index, engine) in self.engines.iter().enumerate() {
            if !self.may_order(engine) || engine.will_hold(model) {
                continue;
            }
            let taken = self.taken[index];
            for held in engine.holding.models.keys() {
                let freed = self.held_mb(&engine.holding, held);
                let left = self.resident(held).saturating_sub(1);
                let then = self.lately_pressure(held, left);
                if self.surplus(held) == 0
                    || pressure < then * WORTH_A_MOVE
                    || taken - freed + size > self.spec.memory_mb
                {
                    continue;
                }
                let cost = then + self.moving_cost(engine, model);
                if best.as_ref().is_none_or(|(least, ..)| cost < *least) {
                    best = Some((cost, index, held.clone()));
                }
            }
        }
        let Some((_, index, victim)) = best else { return };
        let engine = &mut self.engines[index];
        engine.busy = true;
        engine.holding.models.remove(&victim);
        let held = self.held.entry(victim.clone()).or_default();
        held.resident = held.resident.saturating_sub(1);
        held.holders = held.holders.saturating_sub(1);
        let engine = engine.id.clone();
        self.steps.push(ReplicaStep::Unload { engine, model: victim });
    }

    /// Returns what speaks against bringing a model to an engine where
    /// another one has to leave.
    fn moving_cost(&self, engine: &EngineState, model: &ModelName) -> f64 {
        let slots = f64::from(self.spec.slots.max(1));
        let busy = engine.load / slots * BUSY_ENGINE_WEIGHS;
        let copy = engine.copies.contains(model);
        busy - if copy { COPY_IS_WORTH } else { 0.0 }
    }

    /// Counts the engines that a model could lose: not its last one.
    fn surplus(&self, model: &ModelName) -> usize {
        let wanted = self.wanted.get(model).copied().unwrap_or(0);
        self.resident(model).saturating_sub(wanted.max(1))
    }

    /// Counts the sound engines that hold a model now.
    fn resident(&self, model: &ModelName) -> usize {
        self.held(model).resident
    }

    fn may_order(&self, engine: &EngineState) -> bool {
        engine.sound && !engine.busy
    }

    fn size(&self, model: &ModelName) -> u64 {
        self.sizes.get(model).map_or(u64::MAX / 4, |size| size.weights)
    }

    fn held_mb(&self, holding: &Holding, model: &ModelName) -> u64 {
        let adapters = holding.models.get(model).map_or(0, BTreeSet::len);
        self.sizes
            .get(model)
            .map_or(0, |size| size.weights + size.adapter * adapters as u64)
    }
}
