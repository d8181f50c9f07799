//! The demand that comes to this gateway, smoothed.

use std::collections::BTreeMap;

use valehold_core::{
    Millis,
    fleet::{Variant, work::RECENT_MS},
};

use crate::{
    peers::message::{VariantDemand, WorkSums},
    shared::Work,
};

/// Over how many ms demand is smoothed.
const SMOOTHED_MS: f64 = 2_500.0;

/// Over how many ms requests that ended fade: models change their ways less
/// often than callers theirs, and few requests end at one gateway.
const ENDED_FADE_MS: f64 = 12_000.0;

/// Demand below this many requests a second is forgotten.
const LEAST: f64 = 0.002;

/// Fewer requests that ended than this are forgotten.
const LEAST_ENDED: f64 = 0.05;

/// What this gateway saw of one variant.
#[derive(Debug, Clone, Copy, Default)]
struct Seen {
    requests: f64,
    recent: f64,
    read_tokens: f64,
    ended: f64,
    slot_ms: f64,
    events: f64,
}

/// How much of what was seen is kept over some time.
struct Kept {
    passed_ms: f64,
    smoothed: f64,
    recent: f64,
    ended: f64,
}

impl Kept {
    fn after(passed_ms: f64) -> Self {
        let over = |span_ms: f64| (-passed_ms / span_ms).exp();
        Self {
            passed_ms,
            smoothed: over(SMOOTHED_MS),
            recent: over(RECENT_MS),
            ended: over(ENDED_FADE_MS),
        }
    }

    /// Returns the rate a second to add for what came, given how much of the
    /// rate before was kept.
    fn rate(&self, came: f64, kept: f64) -> f64 {
        came * 1_000.0 / self.passed_ms * (1.0 - kept)
    }
}

impl Seen {
    fn fade(&mut self, kept: &Kept) {
        self.requests *= kept.smoothed;
        self.read_tokens *= kept.smoothed;
        self.recent *= kept.recent;
        self.ended *= kept.ended;
        self.slot_ms *= kept.ended;
        self.events *= kept.ended;
    }

    fn add(&mut self, work: Work, kept: &Kept) {
        self.requests += kept.rate(work.requests, kept.smoothed);
        self.read_tokens += kept.rate(work.read_tokens, kept.smoothed);
        self.recent += kept.rate(work.requests, kept.recent);
        self.ended += work.ended;
        self.slot_ms += work.slot_ms;
        self.events += work.events;
    }

    fn counts(&self) -> bool {
        self.requests > LEAST || self.ended > LEAST_ENDED
    }

    #[allow(clippy::cast_possible_truncation)]
    fn sums(&self) -> WorkSums {
        WorkSums {
            requests: self.requests as f32,
            recent: self.recent as f32,
            read_tokens: self.read_tokens as f32,
            ended: self.ended as f32,
            slot_ms: self.slot_ms as f32,
            events: self.events as f32,
        }
    }
}

/// The demand that comes to this gateway.
#[derive(Debug, Default)]
pub(super) struct Demand {
    seen: BTreeMap<Variant, Seen>,
    updated: Millis,
}

impl Demand {
    /// Takes in the work that came since the last call.
    pub(super) fn take(&mut self, work: BTreeMap<Variant, Work>, now: Millis) {
        #[allow(clippy::cast_precision_loss)]
        let passed_ms = now.since(self.updated).max(1) as f64;
        self.updated = now;
        let kept = Kept::after(passed_ms);
        for seen in self.seen.values_mut() {
            seen.fade(&kept);
        }
        for (variant, work) in work {
            self.seen.entry(variant).or_default().add(work, &kept);
        }
        self.seen.retain(|_, seen| seen.counts());
    }

    /// Returns the demand for each variant; `running` tells how many of its
    /// requests are under way.
    pub(super) fn list(
        &self,
        running: &BTreeMap<Variant, u32>,
    ) -> Vec<VariantDemand> {
        let mut all = self.seen.clone();
        for variant in running.keys() {
            all.entry(variant.clone()).or_default();
        }
        let one = |(variant, seen): (Variant, Seen)| VariantDemand {
            work: seen.sums(),
            running: running.get(&variant).copied().unwrap_or(0),
            variant,
        };
        all.into_iter().map(one).collect()
    }
}
