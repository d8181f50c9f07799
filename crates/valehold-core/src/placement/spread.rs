//! How demand spreads over the engines that hold each model.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{
    capacity::Capacity,
    id::{Artifact, UpstreamId},
};

/// The load above which an engine begins to answer late, of its capacity.
const COMFORTABLE_LOAD: f64 = 0.8;

/// How often shares are moved towards less loaded engines.
const ROUNDS: usize = 8;

/// What is asked of one model or adapter.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct ModelDemand {
    /// Requests a second.
    pub requests_per_second: f64,
    /// For how long a request keeps a slot, in seconds.
    pub service_s: f64,
    /// How many prompt tokens an engine reads for a request.
    pub read_tokens: f64,
}

impl ModelDemand {
    /// Returns how many slots the demand keeps busy.
    pub fn slots(&self) -> f64 {
        self.requests_per_second * self.service_s
    }

    /// Returns how many prompt tokens are read in a second.
    pub fn tokens_read(&self) -> f64 {
        self.requests_per_second * self.read_tokens
    }
}

/// Demand spread over engines, and what of it is answered in time.
#[derive(Debug, Clone, Default)]
pub struct Spread {
    load: BTreeMap<UpstreamId, f64>,
    in_time: f64,
    short: BTreeMap<Artifact, f64>,
}

impl Spread {
    /// Spreads demand as the instances' routing would: towards the engines
    /// with more room.
    ///
    /// `holders` are the engines that hold each artifact.
    pub fn new(
        capacities: &BTreeMap<UpstreamId, Capacity>,
        holders: &BTreeMap<&Artifact, Vec<&UpstreamId>>,
        demand: &BTreeMap<Artifact, ModelDemand>,
    ) -> Self {
        let mut shares = even_shares(holders, demand);
        let mut load = load_of(capacities, &shares, demand);
        for _ in 0..ROUNDS {
            shift(&mut shares, &load);
            load = load_of(capacities, &shares, demand);
        }
        let mut spread = Self { load, ..Self::default() };
        for (artifact, asked) in demand {
            let answered: f64 = shares
                .get(artifact)
                .into_iter()
                .flatten()
                .map(|(engine, share)| share * spread.in_time_share(engine))
                .sum();
            spread.in_time += asked.requests_per_second * answered;
            let missed = asked.requests_per_second * (1.0 - answered);
            spread.short.insert(artifact.clone(), missed.max(0.0));
        }
        spread
    }

    /// Returns the requests a second that are answered in time.
    pub fn in_time(&self) -> f64 {
        self.in_time
    }

    /// Returns an engine's load, of its capacity: of its slots or of its
    /// reading, whichever is shorter.
    pub fn load(&self, engine: &UpstreamId) -> f64 {
        self.load.get(engine).copied().unwrap_or(0.0)
    }

    /// Returns the requests a second of an artifact that are not in time.
    pub fn short(&self, artifact: &Artifact) -> f64 {
        self.short.get(artifact).copied().unwrap_or(0.0)
    }

    /// Returns the artifacts by what they are short of, the most first.
    pub fn shortest(&self) -> Vec<(&Artifact, f64)> {
        let mut short: Vec<(&Artifact, f64)> = self
            .short
            .iter()
            .filter(|(_, missed)| **missed > f64::EPSILON)
            .map(|(artifact, missed)| (artifact, *missed))
            .collect();
        short.sort_by(|a, b| b.1.total_cmp(&a.1));
        short
    }

    fn in_time_share(&self, engine: &UpstreamId) -> f64 {
        let load = self.load(engine);
        if load <= COMFORTABLE_LOAD { 1.0 } else { COMFORTABLE_LOAD / load }
    }
}

type Shares<'a> = BTreeMap<&'a Artifact, Vec<(&'a UpstreamId, f64)>>;

fn even_shares<'a>(
    holders: &BTreeMap<&'a Artifact, Vec<&'a UpstreamId>>,
    demand: &BTreeMap<Artifact, ModelDemand>,
) -> Shares<'a> {
    holders
        .iter()
        .filter(|(artifact, _)| demand.contains_key(**artifact))
        .map(|(artifact, engines)| {
            #[allow(clippy::cast_precision_loss)]
            let even = 1.0 / engines.len().max(1) as f64;
            let shares = engines.iter().map(|engine| (*engine, even));
            (*artifact, shares.collect())
        })
        .collect()
}

fn load_of(
    capacities: &BTreeMap<UpstreamId, Capacity>,
    shares: &Shares<'_>,
    demand: &BTreeMap<Artifact, ModelDemand>,
) -> BTreeMap<UpstreamId, f64> {
    let mut busy: BTreeMap<&UpstreamId, (f64, f64)> = BTreeMap::new();
    for (artifact, engines) in shares {
        let asked = demand.get(*artifact).copied().unwrap_or_default();
        for (engine, share) in engines {
            let (slots, read) = busy.entry(engine).or_default();
            *slots += asked.slots() * share;
            *read += asked.tokens_read() * share;
        }
    }
    let load = capacities.iter().map(|(engine, capacity)| {
        let (slots, read) = busy.get(engine).copied().unwrap_or_default();
        let load = (slots / capacity.slots).max(read / capacity.tokens_read);
        (engine.clone(), load)
    });
    load.collect()
}

fn shift(shares: &mut Shares<'_>, load: &BTreeMap<UpstreamId, f64>) {
    const LEAST_LOAD: f64 = 0.05;
    for engines in shares.values_mut() {
        for (engine, share) in engines.iter_mut() {
            let load = load.get(*engine).copied().unwrap_or(0.0);
            *share /= load.max(LEAST_LOAD).sqrt();
        }
        let total: f64 = engines.iter().map(|(_, share)| share).sum();
        for (_, share) in engines.iter_mut() {
            *share /= total;
        }
    }
}
