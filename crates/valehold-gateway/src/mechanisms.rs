//! Switches for the mechanisms of a gateway's decisions.
//!
//! The switches serve to measure the benefit of a mechanism: a simulation of a
//! deployment runs with the mechanism off and is compared with a run with all
//! mechanisms on. The switches affect the quality of decisions only; every
//! guarantee holds with each of them off.

use serde::Deserialize;

/// The mechanisms that a gateway uses.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct MechanismSettings {
    /// Loads models on engines with a local copy of the weights first, before
    /// any model is loaded from the weight store.
    pub copies_first: bool,
    /// Keeps the replicas of models that were recently busy.
    pub busy_models_kept: bool,
    /// Reports loads to peers between heartbeats.
    pub loads_between_heartbeats: bool,
    /// Retries failed requests at another upstream.
    pub second_sends: bool,
    /// Routes requests with the same prefix to the same engine, and considers
    /// the cached prefixes of engines in the choice.
    pub prefix_affinity: bool,
    /// Routes long prompts to engines on which they delay few running answers
    /// beyond the allowed pause.
    pub pauses_spared: bool,
    /// Refuses requests whose answers are predicted to begin too late.
    pub admission_by_prediction: bool,
    /// Loads adapters into free places before requests need them.
    pub adapters_ahead: bool,
    /// Learns for each model how long requests occupy a slot.
    pub learned_slot_times: bool,
    /// Learns the pace of engines from their answers.
    pub learned_pace: bool,
    /// Shares the learned paces of engines and models between all gateways;
    /// otherwise each gateway learns the paces of engines on its own.
    pub paces_told: bool,
    /// Lets a gateway that does not reach the store leave the probing to other
    /// gateways.
    pub store_looked_after: bool,
}

impl Default for MechanismSettings {
    fn default() -> Self {
        Self {
            copies_first: true,
            busy_models_kept: true,
            loads_between_heartbeats: true,
            second_sends: true,
            prefix_affinity: true,
            pauses_spared: true,
            admission_by_prediction: true,
            adapters_ahead: true,
            learned_slot_times: true,
            learned_pace: true,
            paces_told: false,
            store_looked_after: true,
        }
    }
}
