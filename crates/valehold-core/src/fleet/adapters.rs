//! Chooses the engine that loads an adapter, and the adapter that is unloaded
//! to make room for it.

use std::collections::BTreeMap;

use super::{
    catalog::EngineSpec,
    listing::{Holding, Variant},
    model_sizes::ModelSizes,
};
use crate::{
    id::{ModelName, UpstreamId},
    rendezvous,
    time::Millis,
};

/// A candidate engine for loading an adapter.
#[derive(Debug, Clone)]
pub struct AdapterHost<'a> {
    /// The engine.
    pub engine: &'a UpstreamId,
    /// The models and adapters that the engine holds.
    pub holding: &'a Holding,
    /// The time at which each recently loaded adapter arrived. Adapters in
    /// this map are not unloaded yet.
    pub recent: &'a BTreeMap<Variant, Millis>,
}

/// The current demand for an adapter.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct AdapterUsage {
    /// Requests per second for the adapter.
    pub requests_per_second: f64,
    /// Whether requests for the adapter are running. An unload would have to
    /// wait until those requests end.
    pub is_running: bool,
}

/// The next step that brings an adapter to an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AdapterStep {
    /// Load the adapter on this engine.
    Load(UpstreamId),
    /// First unload another adapter.
    MakeRoom {
        /// The engine.
        engine: UpstreamId,
        /// The adapter to unload.
        victim: Variant,
    },
}

/// Returns the next step for an adapter that no engine holds, or `None` if no
/// engine can take the adapter now.
///
/// `usage_of` returns the current demand for a variant. Of the engines with
/// room, the one with the fewest adapters loads the adapter. If no engine has
/// room, the adapter with the fewest requests is unloaded first. Ties are
/// broken by rendezvous hashing, so that an adapter returns to the engine that
/// held it before.
///
/// No adapter is unloaded from an engine that holds a model of unknown size:
/// the engine would get no load afterwards.
pub fn place_adapter(
    variant: &Variant,
    hosts: &[AdapterHost<'_>],
    spec: &EngineSpec,
    sizes: &ModelSizes,
    usage_of: impl Fn(&Variant) -> AdapterUsage,
) -> Option<AdapterStep> {
    let key = variant.to_string();
    let mut candidates: Vec<&AdapterHost<'_>> = hosts
        .iter()
        .filter(|host| host.holding.models.contains_key(&variant.model))
        .collect();
    candidates.sort_by_key(|host| {
        let weight = rendezvous::weight(&key, host.engine.as_str());
        std::cmp::Reverse(weight)
    });
    let free = candidates
        .iter()
        .filter(|host| has_room(host.holding, &variant.model, spec, sizes))
        .min_by_key(|host| host.holding.adapter_count());
    if let Some(host) = free {
        return Some(AdapterStep::Load(host.engine.clone()));
    }
    let known =
        candidates.iter().filter(|host| sizes.used_mb(host.holding).is_some());
    let victims = known.filter_map(|host| {
        let (victim, requests) = least_used(host, &usage_of)?;
        Some((host, victim, requests))
    });
    let (host, victim, _) =
        victims.min_by(|(_, _, a), (_, _, b)| a.total_cmp(b))?;
    Some(AdapterStep::MakeRoom { engine: host.engine.clone(), victim })
}

/// Returns the engine with the fewest adapters among those that hold a model
/// and have room for another adapter of the model, or `None` if there is none.
pub fn host_with_fewest_adapters<'a>(
    hosts: &[AdapterHost<'a>],
    model: &ModelName,
    spec: &EngineSpec,
    sizes: &ModelSizes,
) -> Option<&'a UpstreamId> {
    let holders =
        hosts.iter().filter(|host| host.holding.models.contains_key(model));
    let with_room =
        holders.filter(|host| has_room(host.holding, model, spec, sizes));
    let best = with_room.min_by_key(|host| host.holding.adapter_count());
    best.map(|host| host.engine)
}

/// Returns whether an engine has a free adapter place, and enough memory for
/// an adapter of a model.
fn has_room(
    holding: &Holding,
    model: &ModelName,
    spec: &EngineSpec,
    sizes: &ModelSizes,
) -> bool {
    holding.adapter_count() < spec.adapter_places
        && sizes.fits_adapter(holding, model, spec.memory_mb)
}

/// Returns the adapter with the fewest requests among the adapters that may be
/// unloaded from an engine, with its requests per second, or `None` if no
/// adapter may be unloaded.
fn least_used(
    host: &AdapterHost<'_>,
    usage_of: impl Fn(&Variant) -> AdapterUsage,
) -> Option<(Variant, f64)> {
    let all = host.holding.adapter_variants();
    let settled = all.filter(|variant| !host.recent.contains_key(variant));
    settled
        .map(|variant| (usage_of(&variant), variant))
        .filter(|(usage, _)| !usage.is_running)
        .map(|(usage, variant)| (variant, usage.requests_per_second))
        .min_by(|(_, a), (_, b)| a.total_cmp(b))
}
