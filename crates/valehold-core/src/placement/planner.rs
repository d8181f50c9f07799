//! What to load and unload next, and why.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
};

use super::spread::{Capacity, ModelDemand, Spread};
use crate::{
    config::{Served, Weighing},
    id::{Artifact, DataCentreId, ModelName, UpstreamId},
};

/// What the planner knows of one engine.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineView {
    /// The engine.
    pub engine: UpstreamId,
    /// The data centre that it stands in.
    pub data_centre: DataCentreId,
    /// Memory that weights may take and no claim is on, in MiB.
    pub free_mib: u64,
    /// What it can do at once.
    pub capacity: Capacity,
    /// Whether it may be given new artifacts.
    pub takes_work: bool,
    /// The artifacts that requests can be sent to.
    pub reachable: BTreeSet<Artifact>,
    /// Everything with a claim on its memory, and the size of each.
    pub claimed: BTreeMap<Artifact, u64>,
    /// Claimed artifacts that were told to go.
    pub leaving: BTreeSet<Artifact>,
    /// Artifacts for which an order is unsettled; no other may be given.
    pub unsettled: BTreeSet<Artifact>,
}

impl EngineView {
    fn may_take(&self, size_mib: u64) -> bool {
        self.takes_work && self.free_mib >= size_mib
    }

    /// Tells whether it holds an artifact, or will when its load is done.
    fn holds(&self, artifact: &Artifact) -> bool {
        self.claimed.contains_key(artifact) && !self.leaving.contains(artifact)
    }

    /// Tells whether requests for an artifact can be sent to it.
    ///
    /// An adapter needs its base, in the version in use, beside it.
    fn serves(&self, served: &Served) -> bool {
        self.reachable.contains(&served.artifact)
            && served.base.as_ref().is_none_or(|b| self.reachable.contains(b))
    }

    /// Tells whether some version of a model or adapter can be asked here.
    fn answers(&self, served: &Served) -> bool {
        let has = |name: &ModelName| {
            self.reachable.iter().any(|artifact| artifact.name == *name)
        };
        has(&served.artifact.name)
            && served.base.as_ref().is_none_or(|base| has(&base.name))
    }

    /// Tells whether it serves an artifact, or will when its loads are done.
    fn will_serve(&self, served: &Served) -> bool {
        self.takes_work
            && self.holds(&served.artifact)
            && served.base.as_ref().is_none_or(|base| self.holds(base))
    }

    /// Tells whether an artifact will be reachable when its load is done.
    fn expects(&self, artifact: &Artifact) -> bool {
        self.holds(artifact) && !self.reachable.contains(artifact)
    }
}

/// What a step does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StepKind {
    /// The engine loads the artifact.
    Load,
    /// The engine unloads the artifact.
    Unload,
}

/// Why a step is taken.
#[derive(Debug, Clone, PartialEq)]
pub enum Reason {
    /// Nothing holds it, or fewer engines than declared.
    Unreachable {
        /// The engines that hold it or were told to.
        holders: usize,
        /// How many should.
        wanted: usize,
    },
    /// An adapter needs its base on the same engine.
    BaseFor(Artifact),
    /// It brings more requests in time than it costs.
    Gain {
        /// Requests in time gained over the horizon.
        requests: f64,
        /// What they are worth.
        worth: f64,
        /// What the moves cost.
        price: f64,
    },
    /// It makes room for another artifact.
    RoomFor(Artifact),
    /// No workspace uses it, or another version took its place.
    Unused,
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreachable { holders, wanted } => {
                write!(f, "{holders} of {wanted} wanted engines hold it")
            }
            Self::BaseFor(adapter) => write!(f, "adapter {adapter} needs it"),
            Self::Gain { requests, worth, price } => write!(
                f,
                "{requests:.1} more requests in time are worth {worth:.1}, \
                 the moves cost {price:.1}"
            ),
            Self::RoomFor(artifact) => write!(f, "makes room for {artifact}"),
            Self::Unused => f.write_str("nothing uses it"),
        }
    }
}

/// One load or unload.
#[derive(Debug, Clone, PartialEq)]
pub struct Action {
    /// What it does.
    pub kind: StepKind,
    /// The engine.
    pub engine: UpstreamId,
    /// The artifact.
    pub artifact: Artifact,
    /// The artifact's memory, in MiB.
    pub size_mib: u64,
    /// Why.
    pub reason: Reason,
}

/// Decides what to load and unload next.
///
/// Steps are made before breaks: an unload is never given for the last
/// engine that an artifact in use is reachable on, and a load is given only
/// into memory that no claim is on. A step that has to wait for another one
/// (an unload that makes room) is given in a later round, when the first has
/// settled.
#[derive(Debug, Clone)]
pub struct Planner<'a> {
    served: &'a BTreeMap<ModelName, Served>,
    demand: &'a BTreeMap<Artifact, ModelDemand>,
    weighing: Weighing,
    horizon_s: f64,
    engines: Vec<EngineView>,
    actions: Vec<Action>,
    loads_left: usize,
}

impl<'a> Planner<'a> {
    /// Starts a round.
    ///
    /// `loads` is how many loads the weight store allows in this round.
    pub fn new(
        served: &'a BTreeMap<ModelName, Served>,
        demand: &'a BTreeMap<Artifact, ModelDemand>,
        weighing: Weighing,
        horizon_s: f64,
        engines: Vec<EngineView>,
        loads: usize,
    ) -> Self {
        Self {
            served,
            demand,
            weighing,
            horizon_s,
            engines,
            actions: Vec::new(),
            loads_left: loads,
        }
    }

    /// Decides the round's steps.
    pub fn plan(mut self) -> Vec<Action> {
        self.restore_reachability();
        self.unload_unused();
        self.follow_demand();
        self.actions
    }

    /// Loads what too few engines hold, models before adapters.
    fn restore_reachability(&mut self) {
        let mut wanting: Vec<&Served> = self
            .served
            .values()
            .filter(|s| self.holders(s) < wanted(s))
            .collect();
        // What nothing holds goes first, then models before adapters, then
        // the larger before the smaller, which find room less easily.
        wanting.sort_by_key(|s| {
            let held = self.holders(s) > 0;
            (held, s.base.is_some(), std::cmp::Reverse(s.size_mib))
        });
        for served in wanting {
            while self.holders(served) < wanted(served) {
                if !self.load_one_more(served) {
                    break;
                }
            }
        }
    }

    fn load_one_more(&mut self, served: &Served) -> bool {
        let reason = Reason::Unreachable {
            holders: self.holders(served),
            wanted: wanted(served),
        };
        let found = match &served.base {
            None => self.roomiest(served, served.size_mib),
            Some(base) => self.beside(base, served),
        };
        if let Some(index) = found {
            return self.load(index, served, reason);
        }
        if let Some(base) = &served.base
            && self.load_base(base, served)
        {
            return true;
        }
        self.make_room(served);
        false
    }

    /// Picks the engine with the most room, away from other holders.
    fn roomiest(&self, served: &Served, size_mib: u64) -> Option<usize> {
        let places = self.data_centres_of(&served.artifact);
        self.candidates(&served.artifact, size_mib).max_by_key(|index| {
            let engine = &self.engines[*index];
            (!places.contains(&engine.data_centre), engine.free_mib)
        })
    }

    /// Picks the roomiest engine that has the base.
    fn beside(&self, base: &Artifact, served: &Served) -> Option<usize> {
        self.candidates(&served.artifact, served.size_mib)
            .filter(|index| self.engines[*index].reachable.contains(base))
            .max_by_key(|index| self.engines[*index].free_mib)
    }

    /// Loads an adapter's base where the adapter will fit as well.
    fn load_base(&mut self, base: &Artifact, adapter: &Served) -> bool {
        let Some(base) = self.served.get(&base.name) else { return false };
        // Where the base is on its way, the adapter waits for it.
        let on_its_way = self.engines.iter().any(|engine| {
            engine.expects(&base.artifact) && engine.may_take(adapter.size_mib)
        });
        if on_its_way {
            return false;
        }
        let needed = base.size_mib + adapter.size_mib;
        let Some(index) = self.roomiest(base, needed) else { return false };
        let reason = Reason::BaseFor(adapter.artifact.clone());
        self.load(index, base, reason);
        false
    }

    /// Unloads what can be spared on the engine that comes closest.
    fn make_room(&mut self, served: &Served) {
        let already = self
            .actions
            .iter()
            .any(|a| a.reason == Reason::RoomFor(served.artifact.clone()));
        if already || self.room_is_coming(served.size_mib) {
            return;
        }
        let best = (0..self.engines.len())
            .filter(|index| self.engines[*index].takes_work)
            .filter(|index| {
                let engine = &self.engines[*index];
                !engine.claimed.contains_key(&served.artifact)
            })
            .filter_map(|index| {
                let spared = self.spared_for(index, served)?;
                Some((spared.len(), index, spared))
            })
            .min_by_key(|(moves, index, _)| (*moves, *index));
        let Some((_, index, spared)) = best else { return };
        for artifact in spared {
            let reason = Reason::RoomFor(served.artifact.clone());
            self.unload(index, &artifact, reason);
        }
    }

    /// Tells whether unloads under way will free enough on some engine.
    fn room_is_coming(&self, size_mib: u64) -> bool {
        self.engines.iter().any(|engine| {
            let leaving: u64 = engine
                .leaving
                .iter()
                .filter_map(|artifact| engine.claimed.get(artifact))
                .sum();
            leaving > 0 && engine.free_mib + leaving >= size_mib
        })
    }

    /// Lists artifacts whose unloading frees enough for another on an engine.
    ///
    /// The base that the other stands on is never among them.
    fn spared_for(
        &self,
        index: usize,
        other: &Served,
    ) -> Option<Vec<Artifact>> {
        let size_mib = other.size_mib;
        let engine = &self.engines[index];
        let mut free = engine.free_mib;
        let mut spared = Vec::new();
        let mut surplus: Vec<(&Artifact, u64)> = engine
            .claimed
            .iter()
            .filter(|(artifact, _)| Some(*artifact) != other.base.as_ref())
            .filter(|(artifact, _)| self.may_unload(index, artifact))
            .map(|(artifact, size)| (artifact, *size))
            .collect();
        surplus.sort_by(|a, b| {
            let demand = |artifact| {
                self.demand.get(artifact).map_or(0.0, ModelDemand::slots)
            };
            demand(a.0).total_cmp(&demand(b.0))
        });
        for (artifact, size) in surplus {
            if free >= size_mib {
                break;
            }
            free += size;
            spared.push(artifact.clone());
        }
        (free >= size_mib && !spared.is_empty()).then_some(spared)
    }

    /// Tells whether unloading keeps every promise.
    fn may_unload(&self, index: usize, artifact: &Artifact) -> bool {
        let engine = &self.engines[index];
        if engine.unsettled.contains(artifact) {
            return false;
        }
        if self.is_needed_by_adapter(engine, artifact) {
            return false;
        }
        match self.current(artifact) {
            None => self.is_answered_without(index, artifact),
            Some(served) => {
                let others = self
                    .engines
                    .iter()
                    .enumerate()
                    .filter(|(other, _)| *other != index)
                    .filter(|(_, e)| e.takes_work && e.serves(served))
                    .count();
                others >= wanted(served)
            }
        }
    }

    /// Tells whether callers of a replaced version would still be answered
    /// if an engine did not have it.
    fn is_answered_without(&self, index: usize, artifact: &Artifact) -> bool {
        let Some(served) = self.served.get(&artifact.name) else {
            return true;
        };
        self.successor_is_there(artifact)
            || self.engines.iter().enumerate().any(|(other, engine)| {
                other != index && engine.takes_work && engine.answers(served)
            })
    }

    /// Tells whether an adapter on the engine stands on a base.
    ///
    /// An older version of the base counts for as long as the version in use
    /// is not there to take its place.
    fn is_needed_by_adapter(
        &self,
        engine: &EngineView,
        base: &Artifact,
    ) -> bool {
        self.served.values().any(|served| {
            let Some(wanted) = &served.base else { return false };
            let stands_on_it = wanted == base
                || (wanted.name == base.name
                    && !engine.reachable.contains(wanted));
            stands_on_it && engine.claimed.contains_key(&served.artifact)
        })
    }

    /// Returns the declaration of an artifact, if its version is in use.
    fn current(&self, artifact: &Artifact) -> Option<&'a Served> {
        let served = self.served.get(&artifact.name)?;
        (served.artifact == *artifact).then_some(served)
    }

    /// Unloads what no workspace uses, versions that were replaced, and
    /// adapters that were left beside a replaced version of their base.
    fn unload_unused(&mut self) {
        for index in 0..self.engines.len() {
            let unused: Vec<Artifact> = self.engines[index]
                .claimed
                .keys()
                .filter(|artifact| self.is_unused(index, artifact))
                .filter(|artifact| self.may_unload(index, artifact))
                .cloned()
                .collect();
            for artifact in unused {
                self.unload(index, &artifact, Reason::Unused);
            }
        }
    }

    fn is_unused(&self, index: usize, artifact: &Artifact) -> bool {
        match self.current(artifact) {
            None => self.successor_is_there(artifact),
            Some(served) => {
                let engine = &self.engines[index];
                served.base.as_ref().is_some_and(|base| !engine.holds(base))
            }
        }
    }

    /// Tells whether the version in use is reachable somewhere.
    ///
    /// Until then the old version stays: it still answers callers.
    fn successor_is_there(&self, artifact: &Artifact) -> bool {
        match self.served.get(&artifact.name) {
            None => true,
            Some(served) => self.engines.iter().any(|e| e.serves(served)),
        }
    }

    /// Adds replicas for as long as one is worth its moves.
    fn follow_demand(&mut self) {
        while self.loads_left > 0 {
            let Some(step) = self.best_replica() else { return };
            let (index, served, reason, makes_room) = step;
            if makes_room.is_empty() {
                if !self.load(index, served, reason) {
                    return;
                }
                continue;
            }
            for artifact in makes_room {
                let room = Reason::RoomFor(served.artifact.clone());
                self.unload(index, &artifact, room);
            }
            return;
        }
    }

    #[allow(clippy::type_complexity)]
    fn best_replica(
        &self,
    ) -> Option<(usize, &'a Served, Reason, Vec<Artifact>)> {
        /// How many models are weighed in one round, the shortest first.
        const WEIGHED: usize = 8;
        let now = self.spread(None);
        let mut best = None;
        let mut best_net = 0.0;
        for (artifact, _) in now.shortest().into_iter().take(WEIGHED) {
            let Some(served) = self.current(artifact) else { continue };
            // A replica on its way will change the sum; wait for it.
            if self.is_on_its_way(artifact) {
                continue;
            }
            for (index, makes_room) in self.places_for(served, &now) {
                let step = Some((index, served, &makes_room[..]));
                let then = self.spread(step);
                let gain = (then.in_time() - now.in_time()) * self.horizon_s;
                #[allow(clippy::cast_precision_loss)]
                let moves = (1 + makes_room.len()) as f64;
                let worth = gain * self.weighing.attainment;
                let price = moves * self.weighing.moves;
                if worth - price > best_net {
                    best_net = worth - price;
                    let reason = Reason::Gain { requests: gain, worth, price };
                    best = Some((index, served, reason, makes_room));
                }
            }
        }
        best
    }

    fn is_on_its_way(&self, artifact: &Artifact) -> bool {
        self.engines.iter().any(|e| e.expects(artifact))
    }

    /// Lists the engines that are worth weighing for one more replica, each
    /// with what has to go first: those with the fewest moves, and among
    /// them the least loaded.
    fn places_for(
        &self,
        served: &Served,
        now: &Spread,
    ) -> Vec<(usize, Vec<Artifact>)> {
        /// How many engines are weighed for one model.
        const WEIGHED: usize = 4;
        let mut places: Vec<(usize, Vec<Artifact>)> = (0..self.engines.len())
            .filter_map(|i| Some((i, self.room_for(i, served)?)))
            .collect();
        let load = |index: usize| now.load(&self.engines[index].engine);
        places.sort_by(|(a, room_a), (b, room_b)| {
            let by_load = load(*a).total_cmp(&load(*b));
            room_a.len().cmp(&room_b.len()).then(by_load)
        });
        places.truncate(WEIGHED);
        places
    }

    /// Returns what has to go before an engine can take one more replica.
    fn room_for(
        &self,
        index: usize,
        served: &Served,
    ) -> Option<Vec<Artifact>> {
        let engine = &self.engines[index];
        if !engine.takes_work || engine.claimed.contains_key(&served.artifact)
        {
            return None;
        }
        if let Some(base) = &served.base
            && !engine.reachable.contains(base)
        {
            return None;
        }
        if engine.may_take(served.size_mib) {
            return Some(Vec::new());
        }
        self.spared_for(index, served)
    }

    fn spread(&self, step: Option<(usize, &Served, &[Artifact])>) -> Spread {
        let capacities = self
            .engines
            .iter()
            .filter(|e| e.takes_work)
            .map(|e| (e.engine.clone(), e.capacity))
            .collect();
        let mut holders: BTreeMap<&Artifact, Vec<&UpstreamId>> =
            BTreeMap::new();
        for (index, engine) in self.engines.iter().enumerate() {
            if !engine.takes_work {
                continue;
            }
            let gone = match step {
                Some((at, _, gone)) if at == index => gone,
                _ => &[],
            };
            for artifact in &engine.reachable {
                if !gone.contains(artifact) {
                    holders.entry(artifact).or_default().push(&engine.engine);
                }
            }
            if let Some((at, served, _)) = step
                && at == index
            {
                let entry = holders.entry(&served.artifact).or_default();
                entry.push(&engine.engine);
            }
        }
        Spread::new(&capacities, &holders, self.demand)
    }

    fn load(&mut self, index: usize, served: &Served, reason: Reason) -> bool {
        if self.loads_left == 0 {
            return false;
        }
        self.loads_left -= 1;
        let engine = &mut self.engines[index];
        engine.free_mib -= served.size_mib;
        engine.claimed.insert(served.artifact.clone(), served.size_mib);
        engine.unsettled.insert(served.artifact.clone());
        self.actions.push(Action {
            kind: StepKind::Load,
            engine: engine.engine.clone(),
            artifact: served.artifact.clone(),
            size_mib: served.size_mib,
            reason,
        });
        true
    }

    fn unload(&mut self, index: usize, artifact: &Artifact, reason: Reason) {
        let engine = &mut self.engines[index];
        engine.reachable.remove(artifact);
        engine.leaving.insert(artifact.clone());
        engine.unsettled.insert(artifact.clone());
        self.actions.push(Action {
            kind: StepKind::Unload,
            engine: engine.engine.clone(),
            artifact: artifact.clone(),
            size_mib: engine.claimed.get(artifact).copied().unwrap_or(0),
            reason,
        });
    }

    /// Counts the engines that serve an artifact or will.
    fn holders(&self, served: &Served) -> usize {
        self.engines.iter().filter(|e| e.will_serve(served)).count()
    }

    fn data_centres_of(&self, artifact: &Artifact) -> BTreeSet<DataCentreId> {
        self.engines
            .iter()
            .filter(|e| e.claimed.contains_key(artifact))
            .map(|e| e.data_centre.clone())
            .collect()
    }

    /// Lists the engines that could take an artifact now.
    fn candidates(
        &self,
        artifact: &Artifact,
        size_mib: u64,
    ) -> impl Iterator<Item = usize> {
        let free = move |e: &EngineView| {
            e.may_take(size_mib) && !e.claimed.contains_key(artifact)
        };
        (0..self.engines.len()).filter(move |i| free(&self.engines[*i]))
    }
}

fn wanted(served: &Served) -> usize {
    served.min_replicas.max(1) as usize
}
