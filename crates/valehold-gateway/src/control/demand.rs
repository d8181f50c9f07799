//! The demand that comes to this gateway, smoothed, and to all.

use std::collections::BTreeMap;

use valehold_core::{Millis, fleet::BoundVariant};

use crate::{
    peers::{
        message::{BoundDemand, VariantDemand},
        roster::sums::{DemandSum, Loads},
    },
    shared::Work,
};

/// For how long a sum of all gateways' demand and loads is used, in ms.
const SUM_KEEPS_MS: u64 = 200;

/// Over how many ms demand is smoothed.
const SMOOTHED_MS: f64 = 2_500.0;

/// Demand below this many requests a second is forgotten.
const LEAST: f64 = 0.002;

/// What all gateways together are asked for and have under way.
#[derive(Debug, Default)]
pub(super) struct Sums {
    pub(super) demand: DemandSum,
    pub(super) loads: Loads,
    made: Option<Millis>,
}

impl Sums {
    pub(super) fn new(demand: DemandSum, loads: Loads, now: Millis) -> Self {
        Self { demand, loads, made: Some(now) }
    }

    pub(super) fn is_old(&self, now: Millis) -> bool {
        self.made.is_none_or(|made| now.since(made) >= SUM_KEEPS_MS)
    }
}

/// The demand that comes to this gateway.
#[derive(Debug, Default)]
pub(super) struct Demand {
    rates: BTreeMap<BoundVariant, Work>,
    updated: Millis,
}

impl Demand {
    /// Takes in the work that came since the last call.
    pub(super) fn take(
        &mut self,
        work: BTreeMap<BoundVariant, Work>,
        now: Millis,
    ) {
        #[allow(clippy::cast_precision_loss)]
        let passed_ms = now.since(self.updated).max(1) as f64;
        self.updated = now;
        let kept = (-passed_ms / SMOOTHED_MS).exp();
        for rate in self.rates.values_mut() {
            rate.requests *= kept;
            rate.busy_ms *= kept;
        }
        let gain = (1.0 - kept) / passed_ms;
        for (asked, work) in work {
            let rate = self.rates.entry(asked).or_default();
            rate.requests += work.requests * 1_000.0 * gain;
            rate.busy_ms += work.busy_ms * gain;
        }
        self.rates.retain(|_, rate| rate.requests > LEAST);
    }

    /// Returns the demand for each variant inside each bound; `running` tells
    /// how many of its requests are under way.
    #[allow(clippy::cast_possible_truncation)]
    pub(super) fn list(
        &self,
        running: &BTreeMap<BoundVariant, u32>,
    ) -> Vec<BoundDemand> {
        let mut rates = self.rates.clone();
        for asked in running.keys() {
            rates.entry(asked.clone()).or_default();
        }
        let mut list: Vec<BoundDemand> = Vec::new();
        for (asked, rate) in rates {
            let running = running.get(&asked).copied().unwrap_or(0);
            let BoundVariant { bound, variant } = asked;
            let one = VariantDemand {
                variant,
                requests: rate.requests as f32,
                busy: rate.busy_ms as f32,
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
