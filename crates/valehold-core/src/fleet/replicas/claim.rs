//! What a model claims: engines anywhere, or inside one bound.

use super::need::ModelNeed;

/// How hard adapters that take all places of a model's engines press, against
/// requests that keep the engines wholly busy.
const FULL_PLACES_PRESS: f64 = 0.5;

/// How hard a model presses at the least that no engine holds.
const LOST_PRESSES: f64 = 0.6;

/// By how much harder it presses with each second.
const LOST_PRESSES_EACH_S: f64 = 0.4;

/// How many times as hard its requests press, as none of them can run.
const LOST_REQUESTS_PRESS: f64 = 4.0;

/// A model's claim to engines: to any, or to those inside one bound.
#[derive(Debug, Clone)]
pub(super) struct Claim {
    /// The model, by its number in the declaration.
    pub(super) model: usize,
    /// The bound, by its number; 0 is no bound.
    pub(super) bound: usize,
    /// What its requests need there.
    pub(super) need: ModelNeed,
    /// On how many engines it stays whatever presses.
    pub(super) least: usize,
    /// How many engines it is to have.
    pub(super) wanted: usize,
    /// Sound engines that hold it now.
    pub(super) resident: usize,
    /// Those, and the ones that are loading it.
    pub(super) holders: usize,
}

impl Claim {
    pub(super) fn new(model: usize, bound: usize, need: ModelNeed) -> Self {
        let (least, wanted) = (1, 1);
        Self { model, bound, need, least, wanted, resident: 0, holders: 0 }
    }

    /// Tells whether requests ask for it.
    pub(super) fn is_asked(&self) -> bool {
        self.need.busy > 0.0 || self.need.adapters > 0.0
    }

    /// Gives up the place that it has whether requests ask for it or not.
    pub(super) fn give_up_place(&mut self) {
        self.least = 0;
        self.wanted = 0;
    }

    /// Returns how hard it presses on each of so many engines, which have so
    /// many places for adapters each.
    #[allow(clippy::cast_precision_loss)]
    pub(super) fn pressure(&self, engines: usize, places: usize) -> f64 {
        let engines = engines.max(1) as f64;
        let places = engines * places.max(1) as f64;
        let by_adapters = self.need.adapters / places * FULL_PLACES_PRESS;
        (self.need.busy / engines).max(by_adapters)
    }

    /// Returns how hard it would press on each of so many engines if it were
    /// as busy as lately.
    #[allow(clippy::cast_precision_loss)]
    pub(super) fn lately_pressure(
        &self,
        engines: usize,
        places: usize,
    ) -> f64 {
        let lately = self.need.lately / engines.max(1) as f64;
        lately.max(self.pressure(engines, places))
    }

    /// Returns how hard it presses where no engine holds it.
    #[allow(clippy::cast_precision_loss)]
    pub(super) fn lost_pressure(&self) -> f64 {
        let lost_s = self.need.lost_ms as f64 / 1_000.0;
        LOST_PRESSES
            + LOST_PRESSES_EACH_S * lost_s
            + LOST_REQUESTS_PRESS * self.need.busy
    }
}
