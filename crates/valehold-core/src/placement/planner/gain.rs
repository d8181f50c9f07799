//! Following demand: replicas that are worth their moves.

use std::collections::BTreeMap;

use super::Planner;
use crate::{
    config::Served,
    id::{Artifact, UpstreamId},
    placement::{Reason, Spread},
};

impl<'a> Planner<'a> {
    /// Adds replicas for as long as one is worth its moves.
    pub(super) fn follow_demand(&mut self) {
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
}
