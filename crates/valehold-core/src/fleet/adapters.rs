//! On which engine an adapter is loaded, and what makes way for it.

use std::collections::{BTreeMap, BTreeSet};

use super::{
    catalog::EngineSpec,
    listing::{Holding, Variant},
};
use crate::{
    id::{AdapterName, ModelName, UpstreamId},
    rendezvous,
    time::Millis,
};

/// An engine that could hold an adapter.
#[derive(Debug, Clone)]
pub struct AdapterHost<'a> {
    /// The engine.
    pub engine: &'a UpstreamId,
    /// What it holds.
    pub holding: &'a Holding,
    /// Adapters that came only lately, and when; they do not make way yet.
    pub young: &'a BTreeMap<Variant, Millis>,
}

/// How an adapter is asked for.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct AdapterUse {
    /// Requests a second.
    pub requests: f64,
    /// Whether requests for it run: an unload would wait for them.
    pub runs: bool,
}

/// What to do so that an adapter gets to an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AdapterStep {
    /// Load it there.
    Load(UpstreamId),
    /// Take another one away first.
    MakeRoom {
        /// The engine.
        engine: UpstreamId,
        /// What makes way.
        victim: Variant,
    },
}

/// Decides the next step for an adapter that no engine holds.
///
/// `use_of` tells how a variant is asked for. The engines' order for an
/// adapter is fixed by rendezvous, so that it comes back to where it was
/// before; an engine with a free place goes first.
pub fn place_adapter(
    variant: &Variant,
    hosts: &[AdapterHost<'_>],
    spec: &EngineSpec,
    use_of: impl Fn(&Variant) -> AdapterUse,
) -> Option<AdapterStep> {
    let key = variant.to_string();
    let mut able: Vec<&AdapterHost<'_>> = hosts
        .iter()
        .filter(|host| host.holding.models.contains_key(&variant.model))
        .collect();
    able.sort_by_key(|host| {
        let weight = rendezvous::weight(&key, host.engine.as_str());
        std::cmp::Reverse(weight)
    });
    let free = able
        .iter()
        .filter(|host| has_room(host.holding, &variant.model, spec))
        .min_by_key(|host| host.holding.adapter_count());
    if let Some(host) = free {
        return Some(AdapterStep::Load(host.engine.clone()));
    }
    let victims = able.iter().filter_map(|host| {
        let (victim, used) = least_used(host, &use_of)?;
        Some((host, victim, used))
    });
    let (host, victim, _) =
        victims.min_by(|(_, _, a), (_, _, b)| a.total_cmp(b))?;
    Some(AdapterStep::MakeRoom { engine: host.engine.clone(), victim })
}

/// Finds the engine with the fewest adapters that holds a model and has room
/// for another of its adapters.
pub fn roomiest_host<'a>(
    hosts: &[AdapterHost<'a>],
    model: &ModelName,
    spec: &EngineSpec,
) -> Option<&'a UpstreamId> {
    let holding =
        hosts.iter().filter(|host| host.holding.models.contains_key(model));
    let roomy = holding.filter(|host| has_room(host.holding, model, spec));
    let best = roomy.min_by_key(|host| host.holding.adapter_count());
    best.map(|host| host.engine)
}

fn has_room(holding: &Holding, model: &ModelName, spec: &EngineSpec) -> bool {
    if holding.adapter_count() >= spec.adapter_places {
        return false;
    }
    let size = spec.model(model).map_or(0, |model| model.adapter_size_mb);
    taken_mb(holding, spec) + size <= spec.memory_mb
}

/// Returns the memory that an engine's models and adapters take, in MB.
pub fn taken_mb(holding: &Holding, spec: &EngineSpec) -> u64 {
    let one = |(name, adapters): (&ModelName, &BTreeSet<AdapterName>)| {
        spec.model(name).map_or(0, |model| {
            model.size_mb + model.adapter_size_mb * adapters.len() as u64
        })
    };
    holding.models.iter().map(one).sum()
}

fn least_used(
    host: &AdapterHost<'_>,
    use_of: impl Fn(&Variant) -> AdapterUse,
) -> Option<(Variant, f64)> {
    let all = host.holding.adapter_variants();
    let old = all.filter(|variant| !host.young.contains_key(variant));
    old.map(|variant| (use_of(&variant), variant))
        .filter(|(used, _)| !used.runs)
        .map(|(used, variant)| (variant, used.requests))
        .min_by(|(_, a), (_, b)| a.total_cmp(b))
}
