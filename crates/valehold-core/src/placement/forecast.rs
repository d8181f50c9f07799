//! What a planner would do, round after round, if every order took effect.

use std::collections::BTreeMap;

use super::{Action, EngineView, ModelDemand, Planner, StepKind};
use crate::{
    config::{Served, Weighing},
    id::{Artifact, ModelName},
};

/// After how many rounds a forecast stops.
const MOST_ROUNDS: usize = 200;

/// Returns the steps that lead from the engines' state to rest.
pub fn forecast(
    served: &BTreeMap<ModelName, Served>,
    demand: &BTreeMap<Artifact, ModelDemand>,
    weighing: Weighing,
    horizon_s: f64,
    mut engines: Vec<EngineView>,
) -> Vec<Action> {
    let mut steps = Vec::new();
    for _ in 0..MOST_ROUNDS {
        let planner = Planner::new(
            served,
            demand,
            weighing,
            horizon_s,
            engines.clone(),
            usize::MAX,
        );
        let round = planner.plan();
        if round.is_empty() {
            break;
        }
        for action in &round {
            take_effect(&mut engines, action);
        }
        steps.extend(round);
    }
    steps
}

fn take_effect(engines: &mut [EngineView], action: &Action) {
    let found = engines.iter_mut().find(|e| e.engine == action.engine);
    let Some(engine) = found else { return };
    let artifact = &action.artifact;
    match action.kind {
        StepKind::Load => {
            engine.free_mib = engine.free_mib.saturating_sub(action.size_mib);
            engine.claimed.insert(artifact.clone(), action.size_mib);
            engine.reachable.insert(artifact.clone());
        }
        StepKind::Unload => {
            engine.free_mib += action.size_mib;
            engine.claimed.remove(artifact);
            engine.reachable.remove(artifact);
        }
    }
}
