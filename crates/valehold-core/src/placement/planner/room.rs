//! Making room: what can be spared, and what never.

use super::{Planner, wanted};
use crate::{
    config::Served,
    id::Artifact,
    placement::{EngineView, ModelDemand, Reason},
};

impl Planner<'_> {
    /// Unloads what can be spared on the engine that comes closest.
    pub(super) fn make_room(&mut self, served: &Served) {
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
    pub(super) fn spared_for(
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
    pub(super) fn may_unload(
        &self,
        index: usize,
        artifact: &Artifact,
    ) -> bool {
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
}
