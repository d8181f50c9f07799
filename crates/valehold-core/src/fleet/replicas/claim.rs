//! Claims: the requirement of a model for replicas, on any engine or inside
//! one bound.
//!
//! The pressure of a claim measures the need for replicas. The pressure is the
//! share of each engine's time that requests for the model take, or the
//! weighted share of the adapter places that are needed at once, whichever is
//! greater.

use super::need::ModelNeed;

/// The pressure if the adapters in use need all adapter places of a model's
/// engines. Requests that keep the engines fully busy cause a pressure of 1.
const FULL_ADAPTER_PLACES_PRESSURE: f64 = 0.5;

/// The minimum pressure of a model that no available engine holds.
const MIN_MISSING_PRESSURE: f64 = 0.6;

/// The increase of that pressure with each second without a holder.
const MISSING_PRESSURE_PER_S: f64 = 0.4;

/// The factor for the busy engines that the requests of such a model need.
/// These requests count more, as none of them can run.
const MISSING_REQUESTS_FACTOR: f64 = 4.0;

/// A model's claim to replicas: on any engine, or on engines inside one bound.
#[derive(Debug, Clone)]
pub(super) struct Claim {
    /// The index of the model in the declaration.
    pub(super) model: usize,
    /// The index of the bound; 0 ([`EVERYWHERE`]) contains every engine.
    ///
    /// [`EVERYWHERE`]: super::planner::EVERYWHERE
    pub(super) bound: usize,
    /// The demand for the model inside the bound.
    pub(super) need: ModelNeed,
    /// The number of holders that no other claim may take away.
    pub(super) min_engines: usize,
    /// The number of engines that are to hold the model.
    pub(super) target: usize,
    /// The number of available engines that hold the model now.
    pub(super) resident: usize,
    /// The number of available engines that hold or load the model.
    pub(super) holders: usize,
}

impl Claim {
    pub(super) fn new(model: usize, bound: usize, need: ModelNeed) -> Self {
        let (min_engines, target) = (1, 1);
        Self {
            model,
            bound,
            need,
            min_engines,
            target,
            resident: 0,
            holders: 0,
        }
    }

    /// Returns whether there is any demand for the model.
    pub(super) fn has_demand(&self) -> bool {
        self.need.busy_engines > 0.0 || self.need.adapters_in_use > 0.0
    }

    /// Removes the guarantee of one replica that holds even without demand.
    pub(super) fn drop_guarantee(&mut self) {
        self.min_engines = 0;
        self.target = 0;
    }

    /// Returns the pressure on each of `engines` engines, with
    /// `adapter_places` places for adapters on each engine.
    #[allow(clippy::cast_precision_loss)]
    pub(super) fn pressure(
        &self,
        engines: usize,
        adapter_places: usize,
    ) -> f64 {
        let engines = engines.max(1) as f64;
        let total_places = engines * adapter_places.max(1) as f64;
        let adapter_pressure = self.need.adapters_in_use / total_places
            * FULL_ADAPTER_PLACES_PRESSURE;
        (self.need.busy_engines / engines).max(adapter_pressure)
    }

    /// Returns the greater of the current pressure and the pressure that the
    /// recent peak of demand would cause.
    #[allow(clippy::cast_precision_loss)]
    pub(super) fn recent_pressure(
        &self,
        engines: usize,
        adapter_places: usize,
    ) -> f64 {
        let recent = self.need.recent_busy_engines / engines.max(1) as f64;
        recent.max(self.pressure(engines, adapter_places))
    }

    /// Returns the pressure of a claim without holders; the pressure grows
    /// with time.
    #[allow(clippy::cast_precision_loss)]
    pub(super) fn missing_pressure(&self) -> f64 {
        let missing_s = self.need.missing_ms as f64 / 1_000.0;
        MIN_MISSING_PRESSURE
            + MISSING_PRESSURE_PER_S * missing_s
            + MISSING_REQUESTS_FACTOR * self.need.busy_engines
    }
}
