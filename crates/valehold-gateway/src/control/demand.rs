//! Demand of this gateway, smoothed over time, and the sums over all gateways.

use std::collections::BTreeMap;

use valehold_core::{Millis, fleet::BoundVariant};

use crate::{
    peers::{
        message::{BoundDemand, VariantDemand},
        roster::sums::{DemandSum, Loads},
    },
    shared::Work,
};

/// How long a sum of the demand and loads of all gateways is reused, in ms.
const MAX_SUM_AGE_MS: u64 = 200;

/// The time constant of the exponential smoothing of demand, in ms.
const SMOOTHING_MS: f64 = 2_500.0;

/// Demand below this many requests per second is dropped.
const MIN_REQUESTS_PER_SECOND: f64 = 0.002;

/// The demand and the loads in flight of all gateways together.
#[derive(Debug, Default)]
pub(super) struct Sums {
    pub(super) demand: DemandSum,
    pub(super) loads: Loads,
    computed_at: Option<Millis>,
}

impl Sums {
    pub(super) fn new(demand: DemandSum, loads: Loads, now: Millis) -> Self {
        Self { demand, loads, computed_at: Some(now) }
    }

    pub(super) fn is_stale(&self, now: Millis) -> bool {
        self.computed_at
            .is_none_or(|computed_at| now.since(computed_at) >= MAX_SUM_AGE_MS)
    }
}

/// The smoothed demand that arrives at this gateway.
#[derive(Debug, Default)]
pub(super) struct Demand {
    rates: BTreeMap<BoundVariant, Work>,
    updated: Millis,
}

impl Demand {
    /// Adds the work that arrived since the last call and decays earlier work.
    pub(super) fn record(
        &mut self,
        work: BTreeMap<BoundVariant, Work>,
        now: Millis,
    ) {
        #[allow(clippy::cast_precision_loss)]
        let elapsed_ms = now.since(self.updated).max(1) as f64;
        self.updated = now;
        let decay = (-elapsed_ms / SMOOTHING_MS).exp();
        for rate in self.rates.values_mut() {
            rate.requests *= decay;
            rate.busy_ms *= decay;
        }
        let gain = (1.0 - decay) / elapsed_ms;
        for (bound_variant, work) in work {
            let rate = self.rates.entry(bound_variant).or_default();
            rate.requests += work.requests * 1_000.0 * gain;
            rate.busy_ms += work.busy_ms * gain;
        }
        self.rates.retain(|_, rate| rate.requests > MIN_REQUESTS_PER_SECOND);
    }

    /// Returns the demand for each variant, grouped by bound. `running` holds
    /// the number of requests in flight for each variant within each bound.
    #[allow(clippy::cast_possible_truncation)]
    pub(super) fn by_bound(
        &self,
        running: &BTreeMap<BoundVariant, u32>,
    ) -> Vec<BoundDemand> {
        let mut rates = self.rates.clone();
        for bound_variant in running.keys() {
            rates.entry(bound_variant.clone()).or_default();
        }
        let mut list: Vec<BoundDemand> = Vec::new();
        for (bound_variant, rate) in rates {
            let running = running.get(&bound_variant).copied().unwrap_or(0);
            let BoundVariant { bound, variant } = bound_variant;
            let one = VariantDemand {
                variant,
                requests_per_second: rate.requests as f32,
                busy_engines: rate.busy_ms as f32,
                running,
            };
            match list.last_mut().filter(|last| last.bound == bound) {
                Some(last) => last.variants.push(one),
                None => list.push(BoundDemand { bound, variants: vec![one] }),
            }
        }
        list
    }
}
