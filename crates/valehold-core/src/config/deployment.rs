//! `deployment.toml`: what there is to serve with, and what to serve.

use serde::{Deserialize, Serialize};

use crate::{
    capacity::Capacity,
    id::{Artifact, DataCentreId, ModelName, ServiceName, UpstreamId},
};

/// Everything that `deployment.toml` declares.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Deployment {
    /// The deployment's name.
    pub name: String,
    /// The most entry instances that there may ever be. Workspaces' limits
    /// are shared out among so many.
    #[serde(default = "default_instances")]
    pub max_instances: u32,
    /// How requests in time and moves are weighed against each other.
    #[serde(default)]
    pub weighing: Weighing,
    /// The rate and width of the weight store.
    #[serde(default)]
    pub weight_store: WeightStore,
    /// How placement is run.
    #[serde(default)]
    pub placement: PlacementSettings,
    /// How far data centres are apart.
    #[serde(default)]
    pub distance: Distance,
    /// The data centres.
    #[serde(default)]
    pub data_centre: Vec<DataCentre>,
    /// The model engines.
    #[serde(default)]
    pub engine: Vec<Engine>,
    /// The plain services.
    #[serde(default)]
    pub service: Vec<Service>,
    /// The models.
    #[serde(default)]
    pub model: Vec<Model>,
    /// The adapters.
    #[serde(default)]
    pub adapter: Vec<Adapter>,
}

/// How requests in time and moves are weighed.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Weighing {
    /// What one more request answered in time is worth.
    pub attainment: f64,
    /// What one load or unload costs, in the same unit.
    pub moves: f64,
}

impl Default for Weighing {
    fn default() -> Self {
        Self { attainment: 1.0, moves: 10.0 }
    }
}

/// The rate and width of the weight store.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct WeightStore {
    /// How many loads may begin in a second.
    pub loads_per_second: f64,
    /// How many loads may run at once at full speed.
    pub loads_at_once: u32,
}

impl Default for WeightStore {
    fn default() -> Self {
        Self { loads_per_second: 2.0, loads_at_once: 8 }
    }
}

/// How placement is run.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PlacementSettings {
    /// Into how many cells the engines are split, one lease each.
    pub cells: u16,
    /// For how long after its sending an order to an engine without fences
    /// can still arrive, in ms. See `docs/design/01-orders.md`.
    pub late_order_bound_ms: u64,
    /// Over how long a placement's gain is reckoned, in seconds.
    pub horizon_s: f64,
}

impl Default for PlacementSettings {
    fn default() -> Self {
        Self { cells: 1, late_order_bound_ms: 10_000, horizon_s: 300.0 }
    }
}

/// How far data centres are apart, one way, in ms.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Distance {
    /// Between two machines of one data centre.
    pub within_data_centre_ms: f64,
    /// Between two data centres of one region.
    pub within_region_ms: f64,
    /// Between two regions.
    pub between_regions_ms: f64,
}

impl Default for Distance {
    fn default() -> Self {
        Self {
            within_data_centre_ms: 0.1,
            within_region_ms: 1.0,
            between_regions_ms: 40.0,
        }
    }
}

/// A data centre.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DataCentre {
    /// Its name.
    pub name: DataCentreId,
    /// The region that it lies in.
    pub region: String,
}

/// A model engine.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Engine {
    /// Its name.
    pub name: UpstreamId,
    /// The data centre that it stands in.
    pub data_centre: DataCentreId,
    /// Its address, IP number and port; the platform's list goes before it.
    pub address: String,
    /// Its memory, in MiB.
    pub memory_mib: u64,
    /// The memory that always stays free for the KV cache, in MiB.
    pub kv_floor_mib: u64,
    /// How many accelerators it has.
    #[serde(default = "one")]
    pub accelerators: u32,
    /// How many requests it decodes at once.
    #[serde(default = "default_slots")]
    pub slots: u32,
    /// How many prompt tokens it reads in a second.
    #[serde(default = "default_prefill")]
    pub prefill_tokens_per_second: f64,
    /// Whether it refuses orders older than those it has seen.
    pub checks_fences: bool,
}

impl Engine {
    /// Returns the memory that weights may take, in MiB.
    pub fn usable_mib(&self) -> u64 {
        self.memory_mib.saturating_sub(self.kv_floor_mib)
    }

    /// Returns what it can do at once.
    pub fn capacity(&self) -> Capacity {
        Capacity {
            slots: f64::from(self.slots),
            tokens_read: self.prefill_tokens_per_second,
        }
    }
}

const fn default_instances() -> u32 {
    8
}

const fn one() -> u32 {
    1
}

const fn default_slots() -> u32 {
    16
}

const fn default_prefill() -> f64 {
    8_000.0
}

/// A plain service.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Its name.
    pub name: ServiceName,
    /// The calls that may be repeated; no other call may.
    #[serde(default)]
    pub repeatable: Vec<CallPattern>,
    /// Its processes.
    #[serde(default)]
    pub upstream: Vec<ServiceUpstream>,
}

impl Service {
    /// Tells whether a call may be repeated.
    pub fn may_repeat(&self, method: &str, path: &str) -> bool {
        self.repeatable.iter().any(|p| p.matches(method, path))
    }
}

/// A set of calls: a method, and a path or the beginning of one.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallPattern {
    /// The HTTP method.
    pub method: String,
    /// The path; a `*` at its end stands for any ending.
    pub path: String,
}

impl CallPattern {
    /// Tells whether a call is one of the set.
    pub fn matches(&self, method: &str, path: &str) -> bool {
        if !self.method.eq_ignore_ascii_case(method) {
            return false;
        }
        match self.path.strip_suffix('*') {
            Some(beginning) => path.starts_with(beginning),
            None => self.path == path,
        }
    }
}

/// One process of a plain service.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceUpstream {
    /// Its name.
    pub name: UpstreamId,
    /// The data centre that it stands in.
    pub data_centre: DataCentreId,
    /// Its address, IP number and port; the platform's list goes before it.
    pub address: String,
}

/// A model.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// Its name.
    pub name: ModelName,
    /// The version to serve.
    #[serde(default = "one")]
    pub version: u32,
    /// The memory of its weights, in MiB.
    pub size_mib: u64,
    /// How many engines hold it at the least.
    #[serde(default = "one")]
    pub min_replicas: u32,
}

impl Model {
    /// Returns the version to serve as an artifact.
    pub fn artifact(&self) -> Artifact {
        Artifact { name: self.name.clone(), version: self.version }
    }
}

/// An adapter.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Adapter {
    /// Its name; callers use it as they would a model's.
    pub name: ModelName,
    /// The model that it adapts.
    pub base: ModelName,
    /// The version to serve.
    #[serde(default = "one")]
    pub version: u32,
    /// The memory of its weights, in MiB.
    pub size_mib: u64,
}

impl Adapter {
    /// Returns the version to serve as an artifact.
    pub fn artifact(&self) -> Artifact {
        Artifact { name: self.name.clone(), version: self.version }
    }
}
