//! A gateway's settings, written in TOML.

use std::{collections::BTreeMap, net::SocketAddr};

use serde::Deserialize;
use valehold_core::{
    admission::AdmissionSettings,
    fleet::{
        cold::ColdBound, path_cost::DistanceSettings,
        retry_share::RetryBudget, usage::LimitSettings,
    },
    id::{DataCentreId, InstanceId, RegionId},
    routing::RoutingSettings,
};

use crate::{mechanisms::MechanismSettings, settings_file::FileSettings};

/// The settings of a gateway, which it reads at its start.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The gateway's name.
    pub instance: InstanceId,
    /// The gateway's data centre.
    pub data_centre: DataCentreId,
    /// The region of each data centre. If empty, all data centres are assumed
    /// to be in the same region.
    #[serde(default)]
    pub regions: BTreeMap<DataCentreId, RegionId>,
    /// The interface to callers.
    pub callers: CallerSettings,
    /// The interface to other gateways.
    pub peers: PeerSettings,
    /// The interface to the platform.
    pub platform: PlatformSettings,
    /// The retry budget of all gateways together.
    pub retry: RetrySettings,
    /// The accounting of workspaces' limits.
    #[serde(default)]
    pub limits: LimitSettings,
    /// The lease under which models are placed.
    pub lease: LeaseSettings,
    /// Loads from the weight store.
    pub loads: LoadSettings,
    /// Requests to cold upstreams.
    #[serde(default)]
    pub cold: ColdSettings,
    /// Requests that crash upstreams.
    #[serde(default)]
    pub crashes: CrashSettings,
    /// The evacuation of data centres.
    #[serde(default)]
    pub evacuation: EvacuationSettings,
    /// The assumed latencies between regions, until they have been measured.
    #[serde(default)]
    pub distance: DistanceSettings,
    /// The choice of engines.
    #[serde(default)]
    pub routing: RoutingSettings,
    /// The admission of requests.
    #[serde(default)]
    pub admission: AdmissionSettings,
    /// The mechanisms in use; measurements switch single ones off.
    #[serde(default)]
    pub mechanisms: MechanismSettings,
    /// The lowest level that is logged.
    #[serde(default = "default_level")]
    pub log_level: String,
}

/// The interface to callers.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallerSettings {
    /// The address at which requests are accepted.
    pub requests: SocketAddr,
    /// The address of the platform's readiness probe.
    pub ready: SocketAddr,
    /// The address at which callers look up the addresses of gateways.
    pub addresses: SocketAddr,
    /// How long callers may cache looked-up addresses, in seconds.
    #[serde(default = "default_keep")]
    pub address_keep_s: u64,
    /// How long an orderly shutdown may take, in seconds.
    pub stop_s: f64,
    /// The address at which metrics are served; none if it is absent.
    pub metrics: Option<SocketAddr>,
}

/// The interface to other gateways.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PeerSettings {
    /// The UDP address at which heartbeats are received.
    pub heartbeats: SocketAddr,
    /// The TCP address at which peers read the configuration and the list of
    /// upstreams.
    pub state: SocketAddr,
    /// The TCP address at which the gateway accepts tunnels: other gateways
    /// that have lost their links to upstreams reach them through this one.
    /// All gateways use the same port. If it is absent, the gateway opens and
    /// accepts no tunnels.
    #[serde(default)]
    pub tunnels: Option<SocketAddr>,
    /// State addresses of other gateways; some may be stale.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// The gateway's share of a processor. Gateways with larger shares take on
    /// duties for all.
    #[serde(default = "one")]
    pub strength: f64,
    /// The bandwidth of this machine's link, in Mbit/s. The number of peers that
    /// may read the gateway's state at once depends on it.
    #[serde(default = "default_link")]
    pub link_mbps: f64,
    /// The interval between heartbeats, in ms.
    #[serde(default = "default_heartbeat")]
    pub every_ms: u64,
    /// The time without a heartbeat after which a gateway counts as dead, in ms.
    #[serde(default = "default_silence")]
    pub silent_ms: u64,
}

/// The interface to the platform.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// The address of the store.
    pub store: SocketAddr,
}

/// The retry budget of all gateways together.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RetrySettings {
    /// The number of retries that each request adds to the budget.
    pub ratio: f64,
    /// The number of further retries in each window.
    pub slack: f64,
    /// The length of the window, in seconds.
    pub window_s: f64,
    /// The largest number of gateways that may run at once.
    #[serde(default = "default_instances")]
    pub instances: u32,
}

impl RetrySettings {
    /// Returns the budget with its window in ms.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    pub fn budget(&self) -> RetryBudget {
        RetryBudget {
            ratio: self.ratio,
            slack: self.slack,
            window_ms: (self.window_s * 1_000.0) as u64,
            instances: self.instances,
        }
    }
}

/// The lease under which models are placed.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LeaseSettings {
    /// The time between the last order of a lease's holder and the first order
    /// of the next one, in ms.
    pub quiet_ms: u64,
}

/// Loads from the weight store.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadSettings {
    /// The length of the window in which loads are counted, in seconds.
    pub window_s: f64,
}

/// How many requests cold upstreams may receive from all gateways together.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ColdSettings {
    /// The factor on the rate that a cold upstream is declared to bear: the
    /// upstream survives the product in any one second.
    pub overshoot: f64,
    /// The number of further requests that it survives in any one second.
    pub slack: f64,
}

impl ColdSettings {
    /// Returns the bound on requests to cold upstreams.
    pub fn bound(&self) -> ColdBound {
        ColdBound { overshoot: self.overshoot, slack: self.slack }
    }
}

impl Default for ColdSettings {
    fn default() -> Self {
        Self { overshoot: 1.0, slack: 0.0 }
    }
}

/// How requests that crash upstreams are refused.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct CrashSettings {
    /// How long a crash is remembered and such a request is refused, in
    /// seconds. Afterwards the request may run again and crash three more
    /// upstreams.
    pub keep_s: u64,
}

impl CrashSettings {
    /// Returns how long a crash is remembered, in ms.
    pub const fn keep_ms(&self) -> u64 {
        self.keep_s.saturating_mul(1_000)
    }
}

impl Default for CrashSettings {
    fn default() -> Self {
        Self { keep_s: 600 }
    }
}

/// How data centres are evacuated.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct EvacuationSettings {
    /// How long a data centre may receive new requests after the store has
    /// recorded the evacuation order, in ms.
    pub within_ms: u64,
}

impl Default for EvacuationSettings {
    fn default() -> Self {
        Self { within_ms: 3_000 }
    }
}

/// The longest time for which a request may be refused, in seconds. One day
/// gives the upstreams' operators time to find the cause of the crashes.
const MAX_KEEP_S: u64 = 86_400;

const fn one() -> f64 {
    1.0
}

const fn default_keep() -> u64 {
    1
}

const fn default_link() -> f64 {
    100.0
}

const fn default_heartbeat() -> u64 {
    250
}

const fn default_silence() -> u64 {
    1_300
}

const fn default_instances() -> u32 {
    16
}

fn default_level() -> String {
    "info".to_owned()
}

impl FileSettings for Settings {
    const HELP: &'static str =
        "docs/OPERATIONS.md lists every setting of a gateway";

    const FILE_PATH_HELP: &'static str =
        "set the environment variable VALEHOLD_CONFIG to the file's path";

    fn violation(&self) -> Option<&'static str> {
        if self.peers.every_ms == 0 {
            return Some("peers.every_ms must be above 0");
        }
        if self.peers.silent_ms <= self.peers.every_ms {
            return Some("peers.silent_ms must be above peers.every_ms");
        }
        if self.peers.link_mbps <= 0.0 {
            return Some("peers.link_mbps must be above 0");
        }
        if self.callers.stop_s <= 0.0 {
            return Some("callers.stop_s must be above 0");
        }
        if self.retry.ratio < 0.0 || self.retry.slack < 0.0 {
            return Some("retry.ratio and retry.slack must not be negative");
        }
        if !self.regions.is_empty()
            && !self.regions.contains_key(&self.data_centre)
        {
            return Some("regions must contain data_centre");
        }
        if self.routing.connection_ms < 0.0 {
            return Some("routing.connection_ms must not be negative");
        }
        if !self.distance.are_valid() {
            return Some("distance must not contain negative times");
        }
        if self.crashes.keep_s == 0 || self.crashes.keep_s > MAX_KEEP_S {
            return Some("crashes.keep_s must be from 1 to 86400");
        }
        if self.cold.overshoot < 0.0 || self.cold.slack < 0.0 {
            return Some("cold.overshoot and cold.slack must not be negative");
        }
        let limits = &self.limits;
        if limits.window_s <= 0.0 || limits.instances == 0 {
            return Some(
                "limits.window_s and limits.instances must be above 0",
            );
        }
        if limits.overshoot < 0.0 || limits.slack < 0.0 {
            return Some(
                "limits.overshoot and limits.slack must not be negative",
            );
        }
        if self.loads.window_s <= 0.0 || self.retry.window_s <= 0.0 {
            return Some("loads.window_s and retry.window_s must be above 0");
        }
        None
    }
}
