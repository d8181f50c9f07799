//! How decisions are made in a run.

use valehold_core::{
    admission::AdmissionSettings, config::Weighing, routing::RoutingSettings,
};

/// How many entry instances there are.
pub(super) const INSTANCES: usize = 8;

/// How decisions are made.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Policy {
    /// The decisions of `valehold-core`.
    Valehold {
        /// The weighing; the deployment's own where there is none.
        weighing: Option<Weighing>,
        /// How engines are chosen.
        routing: RoutingSettings,
        /// How requests are let in.
        admission: AdmissionSettings,
    },
    /// Round-robin over a placement that never changes.
    RoundRobin,
    /// Least requests in flight over a placement that never changes.
    LeastInFlight,
    /// Loading on demand in place of what was least recently used.
    LoadOnDemand,
    /// All accelerators as one, with every model there at once.
    Pooled,
}

impl Policy {
    /// Makes the policy of the product, as it ships.
    pub fn valehold() -> Self {
        let routing = RoutingSettings::default();
        let admission = AdmissionSettings::default();
        Self::Valehold { weighing: None, routing, admission }
    }

    /// Returns its name in tables.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Valehold { .. } => "valehold",
            Self::RoundRobin => "round-robin, static",
            Self::LeastInFlight => "least in flight, static",
            Self::LoadOnDemand => "load on demand, LRU",
            Self::Pooled => "pooled (bound)",
        }
    }
}
