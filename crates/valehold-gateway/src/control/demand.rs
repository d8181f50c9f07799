//! The demand that comes to this gateway, smoothed.

use std::collections::BTreeMap;

use valehold_core::{
    Millis,
    fleet::{
        Variant,
        work::{ModelWork, RECENT_MS},
    },
};

use crate::{peers::message::VariantDemand, shared::Work};

/// Over how many ms demand is smoothed.
const SMOOTHED_MS: f32 = 2_500.0;

/// Over how many ms requests that ended fade: models change their ways less
/// often than callers theirs, and few requests end at one gateway.
const ENDED_FADE_MS: f32 = 12_000.0;

/// Demand below this many requests a second is forgotten.
const LEAST: f32 = 0.002;

/// Fewer requests that ended than this are forgotten.
const LEAST_ENDED: f32 = 0.05;

/// How much of what was seen is kept over some time.
struct Kept {
    passed_ms: f32,
    smoothed: f32,
    recent: f32,
    ended: f32,
}

impl Kept {
    fn after(passed_ms: f32) -> Self {
        let over = |span_ms: f32| (-passed_ms / span_ms).exp();
        Self {
            passed_ms,
            smoothed: over(SMOOTHED_MS),
            recent: over(RECENT_MS),
            ended: over(ENDED_FADE_MS),
        }
    }

    /// Returns the rate a second to add for what came, given how much of the
    /// rate before was kept.
    fn rate(&self, came: f32, kept: f32) -> f32 {
        came * 1_000.0 / self.passed_ms * (1.0 - kept)
    }
}

fn fade(seen: &mut ModelWork, kept: &Kept) {
    seen.requests *= kept.smoothed;
    seen.read_tokens *= kept.smoothed;
    seen.recent *= kept.recent;
    seen.ended *= kept.ended;
    seen.slot_ms *= kept.ended;
    seen.events *= kept.ended;
}

fn add(seen: &mut ModelWork, work: Work, kept: &Kept) {
    seen.requests += kept.rate(work.requests, kept.smoothed);
    seen.read_tokens += kept.rate(work.read_tokens, kept.smoothed);
    seen.recent += kept.rate(work.requests, kept.recent);
    seen.ended += work.ended;
    seen.slot_ms += work.slot_ms;
    seen.events += work.events;
}

fn counts(seen: &ModelWork) -> bool {
    seen.requests > LEAST || seen.ended > LEAST_ENDED
}

/// The demand that comes to this gateway.
#[derive(Debug, Default)]
pub(super) struct Demand {
    seen: BTreeMap<Variant, ModelWork>,
    updated: Millis,
}

impl Demand {
    /// Takes in the work that came since the last call.
    pub(super) fn take(&mut self, work: BTreeMap<Variant, Work>, now: Millis) {
        #[allow(clippy::cast_precision_loss)]
        let passed_ms = now.since(self.updated).max(1) as f32;
        self.updated = now;
        let kept = Kept::after(passed_ms);
        for seen in self.seen.values_mut() {
            fade(seen, &kept);
        }
        for (variant, work) in work {
            add(self.seen.entry(variant).or_default(), work, &kept);
        }
        self.seen.retain(|_, seen| counts(seen));
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
        let one = |(variant, work): (Variant, ModelWork)| VariantDemand {
            work,
            running: running.get(&variant).copied().unwrap_or(0),
            variant,
        };
        all.into_iter().map(one).collect()
    }
}
