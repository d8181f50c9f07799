//! Switches for the mechanisms by which a gateway decides.
//!
//! Each is on unless the settings say otherwise. They are there to measure
//! what a mechanism is worth: a deployment is played with one of them off,
//! and compared with the same deployment with all of them on. No switch
//! weakens a promise; only the quality of decisions depends on them.

use serde::Deserialize;

/// Which mechanisms a gateway uses.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct MechanismSettings {
    /// Models are loaded where an engine keeps a copy of their weights,
    /// before any is loaded from the weight store.
    pub copies_first: bool,
    /// Replicas are not taken from models that were busy lately.
    pub busy_models_kept: bool,
    /// What is under way is told to peers between heartbeats.
    pub loads_between_heartbeats: bool,
    /// Requests are sent to another upstream after a failure.
    pub second_sends: bool,
    /// Requests with the same beginning meet at one engine, and what engines
    /// have cached counts in their choice.
    pub prefix_affinity: bool,
    /// Long prompts go where few answers run that would pause too long.
    pub pauses_spared: bool,
    /// Requests whose answer is predicted to begin too late are refused.
    pub admission_by_prediction: bool,
    /// Free places are filled with adapters before they are asked for.
    pub adapters_ahead: bool,
    /// For how long requests keep their slots is learned by model.
    pub learned_slot_times: bool,
    /// How fast engines are is learned from their answers.
    pub learned_pace: bool,
    /// How fast engines and models are is learned by all gateways together;
    /// otherwise each learns alone, of engines only.
    pub paces_told: bool,
    /// Gateways that the store fails leave looking for it to others.
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
