//! What to load and unload next, and why.

mod gain;
mod room;

use std::collections::{BTreeMap, BTreeSet};

use super::{Action, EngineView, ModelDemand, Reason, StepKind};
use crate::{
    config::{Served, Weighing},
    id::{Artifact, DataCentreId, ModelName},
};

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
