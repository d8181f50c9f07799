//! How much is asked of each model, estimated from arrivals.
//!
//! An estimate rises with the first busy second and falls slowly, so that a
//! burst is met at once and a pause in it does not take its models away.

#[cfg(test)]
mod tests;

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{id::Artifact, placement::ModelDemand, time::Millis};

/// How estimates follow arrivals.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct DemandSettings {
    /// In what time a rise is followed half of the way, in ms.
    pub rise_half_ms: f64,
    /// In what time a fall is followed half of the way, in ms.
    pub fall_half_ms: f64,
    /// For how long a request is taken to keep a slot before any ended.
    pub first_service_s: f64,
}

impl Default for DemandSettings {
    fn default() -> Self {
        Self {
            rise_half_ms: 2_000.0,
            fall_half_ms: 120_000.0,
            first_service_s: 2.0,
        }
    }
}

#[derive(Debug, Clone, Copy)]
struct Estimate {
    arrivals: u32,
    rate: f64,
    service_s: f64,
    read_tokens: f64,
}

/// The estimates of one instance.
#[derive(Debug, Clone)]
pub struct Estimator {
    settings: DemandSettings,
    window_from: Millis,
    estimates: BTreeMap<Artifact, Estimate>,
}

/// For how long arrivals are counted together.
const WINDOW_MS: u64 = 1_000;

/// How much a new service time moves the estimate of it.
const SERVICE_WEIGHT: f64 = 0.1;

/// A rate below this is taken for none.
const LEAST_RATE: f64 = 0.001;

impl Estimator {
    /// Makes an estimator that saw nothing.
    pub fn new(settings: DemandSettings, now: Millis) -> Self {
        Self { settings, window_from: now, estimates: BTreeMap::new() }
    }

    /// Notes that a request arrived, also one that was refused for want of
    /// capacity.
    pub fn arrived(&mut self, artifact: &Artifact, prompt_tokens: u64) {
        self.entry(artifact, prompt_tokens).arrivals += 1;
    }

    /// Notes that a request ended after keeping a slot for so long, and
    /// having so many tokens of its prompt read.
    pub fn finished(
        &mut self,
        artifact: &Artifact,
        service_s: f64,
        read_tokens: u64,
    ) {
        let entry = self.entry(artifact, read_tokens);
        entry.service_s += SERVICE_WEIGHT * (service_s - entry.service_s);
        #[allow(clippy::cast_precision_loss)]
        let read = read_tokens as f64;
        entry.read_tokens += SERVICE_WEIGHT * (read - entry.read_tokens);
    }

    /// Closes the window if it has been open for long enough.
    pub fn close_window_if_due(&mut self, now: Millis) {
        if now.since(self.window_from) >= WINDOW_MS {
            self.close_window(now);
        }
    }

    /// Closes the window since the last call and updates the estimates.
    pub fn close_window(&mut self, now: Millis) {
        let elapsed_ms = now.since(self.window_from);
        if elapsed_ms == 0 {
            return;
        }
        self.window_from = now;
        #[allow(clippy::cast_precision_loss)]
        let elapsed_ms = elapsed_ms as f64;
        for estimate in self.estimates.values_mut() {
            let seen = f64::from(estimate.arrivals) * 1_000.0 / elapsed_ms;
            let half_ms = match seen > estimate.rate {
                true => self.settings.rise_half_ms,
                false => self.settings.fall_half_ms,
            };
            let kept = 0.5_f64.powf(elapsed_ms / half_ms);
            estimate.rate = seen + (estimate.rate - seen) * kept;
            estimate.arrivals = 0;
        }
        self.estimates.retain(|_, e| e.rate >= LEAST_RATE);
    }

    /// Returns the estimates.
    pub fn demand(&self) -> BTreeMap<Artifact, ModelDemand> {
        let demand = self.estimates.iter().map(|(artifact, estimate)| {
            let demand = ModelDemand {
                requests_per_second: estimate.rate,
                service_s: estimate.service_s,
                read_tokens: estimate.read_tokens,
            };
            (artifact.clone(), demand)
        });
        demand.collect()
    }

    fn entry(
        &mut self,
        artifact: &Artifact,
        first_tokens: u64,
    ) -> &mut Estimate {
        #[allow(clippy::cast_precision_loss)]
        let read_tokens = first_tokens as f64;
        let first = Estimate {
            arrivals: 0,
            rate: 0.0,
            service_s: self.settings.first_service_s,
            read_tokens,
        };
        self.estimates.entry(artifact.clone()).or_insert(first)
    }
}

/// Adds one instance's demand to the sum of several.
pub fn add(
    sum: &mut BTreeMap<Artifact, ModelDemand>,
    demand: &BTreeMap<Artifact, ModelDemand>,
) {
    for (artifact, more) in demand {
        let entry = sum.entry(artifact.clone()).or_default();
        let rate = entry.requests_per_second + more.requests_per_second;
        if rate > 0.0 {
            // The means, by how often each came.
            let service_s = (entry.slots() + more.slots()) / rate;
            let read = (entry.tokens_read() + more.tokens_read()) / rate;
            entry.service_s = service_s;
            entry.read_tokens = read;
        }
        entry.requests_per_second = rate;
    }
}
