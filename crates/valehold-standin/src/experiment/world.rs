//! What a run happens in: the fleet, the scenario, and the figures.

use rand::rngs::StdRng;
use valehold_core::{
    Millis,
    config::{Config, Served, Workspace},
    id::ModelName,
};

use super::{
    fleet::{Fleet, Timing},
    table::Figures,
    trace::{Request, Scenario},
};

/// What a run happens in.
pub(super) struct World<'a> {
    pub(super) scenario: Scenario,
    pub(super) length_ms: u64,
    pub(super) config: &'a Config,
    pub(super) fleet: Fleet,
    pub(super) figures: Figures,
    pub(super) random: StdRng,
}

impl World<'_> {
    /// Returns which part of the run has passed, from 0 to 1.
    #[allow(clippy::cast_precision_loss)]
    pub(super) fn part(&self, now: Millis) -> f64 {
        now.get() as f64 / self.length_ms as f64
    }

    /// Lets what the scenario brings happen.
    pub(super) fn apply_scenario(&mut self, now: Millis) {
        let part = self.part(now);
        let lost = |index: usize, place: &str| match self.scenario {
            Scenario::EngineLost => part >= 0.3 && index == 0,
            Scenario::DataCentreLost => {
                (0.3..0.7).contains(&part) && place == "dc-1"
            }
            _ => false,
        };
        for (index, engine) in self.fleet.engines.iter_mut().enumerate() {
            let is_lost = lost(index, engine.data_centre.as_str());
            if is_lost && engine.alive {
                engine.lose();
            } else if !is_lost {
                engine.alive = true;
            }
            engine.forget(now);
        }
    }

    pub(super) fn served(&self, model: &ModelName) -> &Served {
        &self.config.served()[model]
    }

    /// Returns the workspace that a model's requests come from.
    pub(super) fn workspace(&self, model: &ModelName) -> &Workspace {
        let mut workspaces = self.config.workspaces().values();
        let uses = |w: &&std::sync::Arc<Workspace>| w.models.contains(model);
        workspaces.find(uses).expect("every served model is used")
    }

    /// Sends a request to an engine, and notes when it was answered.
    pub(super) fn send(
        &mut self,
        index: usize,
        request: &Request,
        at: Millis,
    ) -> Timing {
        let target_ms = self.workspace(&request.model).first_token_ms;
        let engine = &mut self.fleet.engines[index];
        let timing = engine.take(request.work, at);
        let first_ms = timing.first_token.since(request.at);
        self.figures.answered(first_ms, first_ms <= target_ms);
        timing
    }

    /// Ends the run and returns its figures.
    pub(super) fn finish(mut self) -> Figures {
        self.figures.moves = self.fleet.moves;
        let over = self.fleet.engines.iter().any(|e| e.overcommitted);
        self.figures.overcommitted = over;
        #[allow(clippy::cast_precision_loss)]
        let length_s = self.length_ms as f64 / 1_000.0;
        self.figures.length_s = length_s;
        let accelerators = self.config.deployment().engine.iter();
        let accelerators: u32 = accelerators.map(|e| e.accelerators).sum();
        self.figures.accelerators = accelerators;
        self.figures
    }
}
