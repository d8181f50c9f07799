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

/// Everything that a gateway is told when it starts.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Its name.
    pub instance: InstanceId,
    /// The data centre that it stands in.
    pub data_centre: DataCentreId,
    /// The region of each data centre. Without any, all are taken to stand in
    /// the same one.
    #[serde(default)]
    pub regions: BTreeMap<DataCentreId, RegionId>,
    /// Its side towards callers.
    pub callers: CallerSettings,
    /// Its side towards other gateways.
    pub peers: PeerSettings,
    /// The platform.
    pub platform: PlatformSettings,
    /// The budget for second sends, over all gateways.
    pub retry: RetrySettings,
    /// How limits of workspaces are counted.
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
    /// Emptying data centres.
    #[serde(default)]
    pub evacuation: EvacuationSettings,
    /// What distances cost, until more is known.
    #[serde(default)]
    pub distance: DistanceSettings,
    /// How engines are chosen.
    #[serde(default)]
    pub routing: RoutingSettings,
    /// How requests are let in.
    #[serde(default)]
    pub admission: AdmissionSettings,
    /// Which mechanisms are used; measurements switch single ones off.
    #[serde(default)]
    pub mechanisms: MechanismSettings,
    /// The least level that is logged.
    #[serde(default = "default_level")]
    pub log_level: String,
}

/// The side towards callers.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallerSettings {
    /// Where requests are taken.
    pub requests: SocketAddr,
    /// Where the platform asks whether this gateway is ready.
    pub ready: SocketAddr,
    /// Where callers ask which addresses to use.
    pub addresses: SocketAddr,
    /// For how long callers keep an answer about addresses, in seconds.
    #[serde(default = "default_keep")]
    pub address_keep_s: u64,
    /// How long a stop may take, in seconds.
    pub stop_s: f64,
    /// Where metrics are given, if anywhere.
    pub metrics: Option<SocketAddr>,
}

/// The side towards other gateways.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PeerSettings {
    /// Where heartbeats are taken, by UDP.
    pub heartbeats: SocketAddr,
    /// Where peers read the configuration and the upstreams, by TCP.
    pub state: SocketAddr,
    /// Other gateways' state addresses; they may be stale.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// This machine's share of a processor. Stronger gateways work for the
    /// others.
    #[serde(default = "one")]
    pub strength: f64,
    /// The bandwidth of this machine's link, in Mbit a second: how many peers
    /// may read its state at once depends on it.
    #[serde(default = "default_link")]
    pub link_mbps: f64,
    /// How often heartbeats are sent, in ms.
    #[serde(default = "default_heartbeat")]
    pub every_ms: u64,
    /// After how long a silent gateway is taken for gone, in ms.
    #[serde(default = "default_silence")]
    pub silent_ms: u64,
}

/// The platform.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// The store's address.
    pub store: SocketAddr,
}

/// The budget for second sends, over all gateways.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RetrySettings {
    /// Second sends for each request.
    pub ratio: f64,
    /// Second sends beyond that, in a window.
    pub slack: f64,
    /// The window's length, in seconds.
    pub window_s: f64,
    /// How many gateways there may ever be at once.
    #[serde(default = "default_instances")]
    pub instances: u32,
}

impl RetrySettings {
    /// Returns the budget.
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
    /// How long after an old holder's last order a new one's first may come,
    /// in ms.
    pub quiet_ms: u64,
}

/// Loads from the weight store.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadSettings {
    /// The span over which loads are counted, in seconds.
    pub window_s: f64,
}

/// How many requests cold upstreams may get, over all gateways.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ColdSettings {
    /// How many times as many as they bear they survive in any one second.
    pub overshoot: f64,
    /// How many more than that, in any one second.
    pub slack: f64,
}

impl ColdSettings {
    /// Returns what cold upstreams survive.
    pub fn bound(&self) -> ColdBound {
        ColdBound { overshoot: self.overshoot, slack: self.slack }
    }
}

impl Default for ColdSettings {
    fn default() -> Self {
        Self { overshoot: 1.0, slack: 0.0 }
    }
}

/// What becomes of requests that crash the upstreams that run them.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct CrashSettings {
    /// For how long such a request is refused, in seconds, and a crash is
    /// remembered. Then it may run again, and crash three more.
    pub keep_s: u64,
}

impl CrashSettings {
    /// Returns for how long a crash is remembered, in ms.
    pub const fn keep_ms(&self) -> u64 {
        self.keep_s.saturating_mul(1_000)
    }
}

impl Default for CrashSettings {
    fn default() -> Self {
        Self { keep_s: 600 }
    }
}

/// How data centres are emptied.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct EvacuationSettings {
    /// How long after the store has taken the order the data centre may get
    /// new requests, in ms.
    pub within_ms: u64,
}

impl Default for EvacuationSettings {
    fn default() -> Self {
        Self { within_ms: 3_000 }
    }
}

/// The longest time for which a request may be refused, in seconds: a day,
/// after which whoever operates the upstreams has seen why they crashed.
const MOST_KEEP_S: u64 = 86_400;

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

    const HOW_TO_NAME: &'static str =
        "name the file in the variable VALEHOLD_CONFIG";

    fn fault(&self) -> Option<&'static str> {
        if self.peers.every_ms == 0 {
            return Some("peers.every_ms is above 0");
        }
        if self.peers.silent_ms <= self.peers.every_ms {
            return Some("peers.silent_ms is above peers.every_ms");
        }
        if self.peers.link_mbps <= 0.0 {
            return Some("peers.link_mbps is above 0");
        }
        if self.callers.stop_s <= 0.0 {
            return Some("callers.stop_s is above 0");
        }
        if self.retry.ratio < 0.0 || self.retry.slack < 0.0 {
            return Some("retry.ratio and retry.slack are 0 or above");
        }
        if !self.regions.is_empty()
            && !self.regions.contains_key(&self.data_centre)
        {
            return Some("regions names data_centre");
        }
        if self.routing.connection_ms < 0.0 {
            return Some("routing.connection_ms is 0 or above");
        }
        if !self.distance.are_valid() {
            return Some("distance has no time below 0");
        }
        if self.crashes.keep_s == 0 || self.crashes.keep_s > MOST_KEEP_S {
            return Some("crashes.keep_s is from 1 to 86400");
        }
        if self.cold.overshoot < 0.0 || self.cold.slack < 0.0 {
            return Some("cold.overshoot and cold.slack are 0 or above");
        }
        let limits = &self.limits;
        if limits.window_s <= 0.0 || limits.instances == 0 {
            return Some("limits.window_s and limits.instances are above 0");
        }
        if limits.overshoot < 0.0 || limits.slack < 0.0 {
            return Some("limits.overshoot and limits.slack are 0 or above");
        }
        if self.loads.window_s <= 0.0 || self.retry.window_s <= 0.0 {
            return Some("loads.window_s and retry.window_s are above 0");
        }
        None
    }
}
