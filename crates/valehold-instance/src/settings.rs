//! An instance's settings, written in TOML.

use std::{collections::BTreeMap, net::SocketAddr};

use serde::Deserialize;
use valehold_core::{
    admission::AdmissionSettings,
    demand::DemandSettings,
    id::{DataCentreId, InstanceId},
    membership::{Ejection, Silence},
    retry::RetrySettings,
    routing::RoutingSettings,
};

use valehold_gateway::settings_file::FileSettings;

/// Everything that one instance is told when it starts.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Its name.
    pub instance: InstanceId,
    /// The data centre that it stands in.
    pub data_centre: DataCentreId,
    /// Its side towards callers.
    pub callers: CallerSettings,
    /// Its side towards operators.
    pub operators: OperatorSettings,
    /// The platform.
    pub platform: PlatformSettings,
    /// Its side towards other instances.
    pub peers: PeerSettings,
    /// Its log.
    #[serde(default)]
    pub log: LogSettings,
    /// How engines are chosen.
    #[serde(default)]
    pub routing: RoutingSettings,
    /// How requests are let in.
    #[serde(default)]
    pub admission: AdmissionSettings,
    /// How failed attempts are followed by others.
    #[serde(default)]
    pub retry: RetrySettings,
    /// How demand is estimated.
    #[serde(default)]
    pub demand: DemandSettings,
    /// When silent upstreams and instances are given up.
    #[serde(default)]
    pub silence: Silence,
    /// When failing upstreams are set aside.
    #[serde(default)]
    pub ejection: Ejection,
}

/// The side towards callers.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallerSettings {
    /// The address to listen on, IP number and port.
    pub listen: SocketAddr,
    /// Threads for traffic.
    #[serde(default = "two")]
    pub threads: usize,
    /// The largest body taken, in bytes.
    #[serde(default = "default_body")]
    pub max_body_bytes: u64,
    /// The most headers taken.
    #[serde(default = "default_headers")]
    pub max_headers: usize,
    /// For how long a caller may take to send its headers or body, in ms.
    #[serde(default = "default_read")]
    pub read_timeout_ms: u64,
    /// For how long callers keep an address, in seconds.
    #[serde(default = "default_keep")]
    pub address_keep_s: u64,
    /// How long an answer may take to begin, in ms.
    #[serde(default = "default_first")]
    pub first_output_timeout_ms: u64,
    /// How long an answer may pause, in ms.
    #[serde(default = "default_pause")]
    pub pause_timeout_ms: u64,
    /// How long finishing requests are waited for at the most, in seconds.
    #[serde(default = "default_finish")]
    pub finish_timeout_s: u64,
}

/// The side towards operators.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperatorSettings {
    /// The address to listen on, IP number and port.
    pub listen: SocketAddr,
    /// The digest of the operators' key, from `valehold keys new`.
    pub key_digest: String,
    /// How many decisions are kept for `valehold explain`.
    #[serde(default = "default_records")]
    pub records: usize,
}

/// The platform.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// Its address, IP number and port.
    pub address: SocketAddr,
    /// How many reads a second this instance may make.
    #[serde(default = "default_reads")]
    pub reads_per_second: f64,
    /// How many writes a second this instance may make.
    #[serde(default = "default_writes")]
    pub writes_per_second: f64,
    /// For how long claims of calls that may not be repeated are kept, in
    /// seconds.
    #[serde(default = "default_claims")]
    pub keep_claims_s: u64,
}

/// The side towards other instances.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PeerSettings {
    /// The address to listen on, IP number and port.
    pub listen: SocketAddr,
    /// The certificate of the authority that signs instances, as PEM.
    pub authority: String,
    /// This instance's certificate, as PEM.
    pub certificate: String,
    /// This instance's private key, as PEM.
    pub key: String,
}

/// The log.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    /// The least level that is written.
    pub level: String,
    /// Whether lines are JSON.
    pub json: bool,
    /// Levels by module.
    pub modules: BTreeMap<String, String>,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self { level: "info".into(), json: false, modules: BTreeMap::new() }
    }
}

const fn two() -> usize {
    2
}

const fn default_body() -> u64 {
    4 * 1024 * 1024
}

const fn default_headers() -> usize {
    64
}

const fn default_read() -> u64 {
    10_000
}

const fn default_keep() -> u64 {
    30
}

const fn default_first() -> u64 {
    30_000
}

const fn default_pause() -> u64 {
    10_000
}

const fn default_finish() -> u64 {
    600
}

const fn default_records() -> usize {
    2_000
}

const fn default_reads() -> f64 {
    100.0
}

const fn default_writes() -> f64 {
    25.0
}

const fn default_claims() -> u64 {
    24 * 60 * 60
}

impl FileSettings for Settings {
    const HELP: &'static str = "docs/OPERATIONS.md lists every setting";

    const FILE_PATH_HELP: &'static str = "give the file with --settings FILE";

    fn violation(&self) -> Option<&'static str> {
        if self.callers.threads == 0 {
            return Some("callers.threads is above 0");
        }
        let platform = &self.platform;
        if platform.reads_per_second <= 0.0
            || platform.writes_per_second <= 0.0
        {
            return Some("the platform's rates are above 0");
        }
        let silence = self.silence;
        if silence.suspect_ms >= silence.dead_ms {
            return Some("silence.suspect_ms is below silence.dead_ms");
        }
        None
    }
}
