//! The metrics of a gateway, all of which `docs/METRICS.md` lists.

use std::{
    collections::BTreeSet,
    sync::{Arc, Mutex, PoisonError},
};

use opentelemetry::{
    KeyValue,
    metrics::{Counter, Gauge, Meter, MeterProvider},
};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};
use valehold_core::{
    id::WorkspaceId,
    reason::{RefusalReason, RetryReason},
};

use crate::{
    error::Error,
    events::{ConnectionEnd, ReportSource},
};

/// A registry that creates instruments and exports their values as text.
#[derive(Debug, Clone)]
pub struct Instruments {
    registry: Registry,
    _provider: SdkMeterProvider,
    /// The meter that creates instruments of other kinds.
    pub meter: Meter,
}

impl Instruments {
    /// Creates a registry with a Prometheus exporter.
    ///
    /// # Errors
    ///
    /// If the exporter cannot be set up.
    pub fn try_new() -> Result<Self, Error> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()
            .map_err(|e| Error::new("setting up metrics", e))?;
        let provider =
            SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("valehold");
        Ok(Self { registry, _provider: provider, meter })
    }

    /// Creates a counter.
    pub fn counter(
        &self,
        name: &'static str,
        description: &'static str,
    ) -> Counter<u64> {
        self.meter.u64_counter(name).with_description(description).build()
    }

    /// Creates a gauge.
    pub fn gauge(
        &self,
        name: &'static str,
        description: &'static str,
    ) -> Gauge<u64> {
        self.meter.u64_gauge(name).with_description(description).build()
    }

    /// Returns all metrics in the Prometheus text format.
    pub fn render(&self) -> String {
        let mut out = Vec::new();
        let families = self.registry.gather();
        if TextEncoder::new().encode(&families, &mut out).is_err() {
            return String::new();
        }
        String::from_utf8(out).unwrap_or_default()
    }
}

/// The most workspaces that get a label of their own when their limits are
/// exceeded. Each label is a time series of its own in the metrics' store.
const MAX_LABELLED_WORKSPACES: usize = 64;

/// The label of all further workspaces.
const OTHER_WORKSPACES: &str = "other";

/// The instruments of one gateway.
#[derive(Debug, Clone)]
pub struct Metrics {
    instruments: Instruments,
    refusals: Counter<u64>,
    retries: Counter<u64>,
    requests: Counter<u64>,
    orders: Counter<u64>,
    reserved_headers: Counter<u64>,
    limited: Counter<u64>,
    labelled_workspaces: Arc<Mutex<BTreeSet<WorkspaceId>>>,
    store_calls: Counter<u64>,
    store_failures: Counter<u64>,
    leaving: Counter<u64>,
    backoffs: Counter<u64>,
    connections_ended: Counter<u64>,
    upstream_limits: Counter<u64>,
    upstream_links_lost: Gauge<u64>,
    tunnels: Counter<u64>,
    brittle_rejections: Counter<u64>,
    peer_bytes: Counter<u64>,
    peer_drops: Counter<u64>,
    catalog: Gauge<u64>,
    store_era: Gauge<u64>,
    evacuated: Gauge<u64>,
    holds_lease: Gauge<u64>,
    weight_loads: Gauge<u64>,
    weight_loads_allowed: Gauge<u64>,
}

impl Metrics {
    /// Creates the instruments.
    ///
    /// # Errors
    ///
    /// If the exporter cannot be set up.
    pub fn try_new() -> Result<Self, Error> {
        let instruments = Instruments::try_new()?;
        let counter =
            |name, description| instruments.counter(name, description);
        let gauge = |name, description| instruments.gauge(name, description);
        Ok(Self {
            refusals: counter("valehold_refusals", "Requests refused."),
            retries: counter("valehold_retries", "Sends after another."),
            requests: counter("valehold_requests", "Requests taken."),
            orders: counter("valehold_orders", "Orders given to engines."),
            reserved_headers: counter(
                "valehold_reserved_headers_removed",
                "Callers' headers that only a gateway may set, removed.",
            ),
            limited: counter(
                "valehold_limited",
                "Requests refused since their workspace's limit is used up.",
            ),
            labelled_workspaces: Arc::default(),
            store_calls: counter(
                "valehold_store_calls",
                "Calls to the platform's store.",
            ),
            store_failures: counter(
                "valehold_store_failures",
                "Calls to the platform's store that failed.",
            ),
            leaving: counter(
                "valehold_upstreams_leaving",
                "Upstreams that said in an answer that they leave.",
            ),
            backoffs: counter(
                "valehold_upstream_rests",
                "Rests that upstreams asked this gateway for.",
            ),
            connections_ended: counter(
                "valehold_connections_ended",
                "Connections of callers that ended.",
            ),
            upstream_limits: counter(
                "valehold_upstream_limits",
                "Limits of requests that upstreams named, and their ends.",
            ),
            brittle_rejections: counter(
                "valehold_brittle_rejections",
                "Requests that brittle upstreams rejected.",
            ),
            tunnels: counter(
                "valehold_tunnels",
                "Tunnels to upstreams asked of other gateways.",
            ),
            upstream_links_lost: gauge(
                "valehold_upstream_links_lost",
                "1 while the gateway's own links reach no upstream.",
            ),
            peer_bytes: counter(
                "valehold_peer_bytes",
                "Bytes of datagrams sent to other gateways.",
            ),
            peer_drops: counter(
                "valehold_peer_datagrams_dropped",
                "Datagrams to other gateways that could not be sent.",
            ),
            catalog: gauge("valehold_revision", "Configuration in force."),
            store_era: gauge(
                "valehold_store_era",
                "How often the platform's store came back from a copy.",
            ),
            evacuated: gauge(
                "valehold_evacuated_data_centres",
                "Data centres whose upstreams get nothing.",
            ),
            holds_lease: gauge("valehold_holds_lease", "1 at the holder."),
            weight_loads: gauge(
                "valehold_weight_loads",
                "Loads from the weight store that count, at the holder.",
            ),
            weight_loads_allowed: gauge(
                "valehold_weight_loads_allowed",
                "Loads from the weight store that may count, at the holder.",
            ),
            instruments,
        })
    }

    /// Counts a refusal.
    pub fn refused(&self, reason: RefusalReason) {
        self.refusals.add(1, &[KeyValue::new("reason", reason.code())]);
    }

    /// Counts a retry.
    pub fn retried(&self, reason: RetryReason) {
        self.retries.add(1, &[KeyValue::new("reason", reason.code())]);
    }

    /// Counts a request.
    pub fn requested(&self) {
        self.requests.add(1, &[]);
    }

    /// Counts a removed header that only a gateway may set.
    pub fn reserved_header_removed(&self, name: &str) {
        let name = KeyValue::new("header", name.to_owned());
        self.reserved_headers.add(1, &[name]);
    }

    /// Counts a request that was refused because of its workspace's limit.
    ///
    /// The first `MAX_LABELLED_WORKSPACES` workspaces are counted by name, the
    /// others together.
    pub fn limited(&self, workspace: &WorkspaceId) {
        // Any set that a panic left is valid.
        let mut labelled = self
            .labelled_workspaces
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if labelled.len() < MAX_LABELLED_WORKSPACES {
            labelled.insert(workspace.clone());
        }
        let label = match labelled.contains(workspace) {
            true => workspace.to_string(),
            false => OTHER_WORKSPACES.to_owned(),
        };
        self.limited.add(1, &[KeyValue::new("workspace", label)]);
    }

    /// Counts a call to the platform's store.
    pub fn store_called(&self, call: &'static str) {
        self.store_calls.add(1, &[KeyValue::new("call", call)]);
    }

    /// Counts a call to the platform's store that failed.
    pub fn store_failed(&self, call: &'static str) {
        self.store_failures.add(1, &[KeyValue::new("call", call)]);
    }

    /// Counts an upstream that announced that it is leaving.
    pub fn upstream_leaving(&self, source: ReportSource) {
        self.leaving.add(1, &[KeyValue::new("source", source.label())]);
    }

    /// Counts a backoff that an upstream requested.
    pub fn upstream_backoff(&self) {
        self.backoffs.add(1, &[]);
    }

    /// Counts a connection of a caller that ended, and whether a request on it
    /// got no complete answer.
    pub fn connection_ended(&self, end: ConnectionEnd, is_unanswered: bool) {
        let state = if is_unanswered { "unanswered" } else { "at_rest" };
        let state = KeyValue::new("state", state);
        self.connections_ended
            .add(1, &[KeyValue::new("end", end.label()), state]);
    }

    /// Counts a limit that an upstream stated or lifted.
    pub fn upstream_limit(&self, is_over: bool, source: ReportSource) {
        let change = if is_over { "over" } else { "named" };
        let change = KeyValue::new("change", change);
        self.upstream_limits
            .add(1, &[change, KeyValue::new("source", source.label())]);
    }

    /// Counts a request that a brittle upstream rejected.
    pub fn brittle_rejection(&self, source: ReportSource) {
        let source = KeyValue::new("source", source.label());
        self.brittle_rejections.add(1, &[source]);
    }

    /// Counts a tunnel that another gateway was asked for, by its outcome.
    pub fn tunnel_opened(&self, outcome: &'static str) {
        self.tunnels.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Records whether the gateway's own links reach no upstream.
    pub fn upstream_links_lost(&self, are_lost: bool) {
        self.upstream_links_lost.record(u64::from(are_lost), &[]);
    }

    /// Counts the bytes of a message that was sent to another gateway.
    pub fn sent_to_peer(&self, message: &'static str, bytes: u64) {
        let message = KeyValue::new("message", message);
        self.peer_bytes.add(bytes, &[message]);
    }

    /// Counts datagrams of a message that were dropped before they were sent.
    pub fn dropped_datagrams(&self, message: &'static str, count: u64) {
        let message = KeyValue::new("message", message);
        self.peer_drops.add(count, &[message]);
    }

    /// Counts an order to an engine by its outcome.
    pub fn ordered(&self, outcome: &'static str) {
        self.orders.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Records the version of the configuration in force.
    pub fn catalog(&self, version: u64) {
        self.catalog.record(version, &[]);
    }

    /// Records how often the store was restored from a backup.
    pub fn store_era(&self, era: u64) {
        self.store_era.record(era, &[]);
    }

    /// Records the number of evacuated data centres.
    pub fn evacuated(&self, data_centres: usize) {
        let count = u64::try_from(data_centres).unwrap_or(u64::MAX);
        self.evacuated.record(count, &[]);
    }

    /// Records whether this gateway holds the placement lease.
    pub fn holds_lease(&self, holds: bool) {
        self.holds_lease.record(u64::from(holds), &[]);
    }

    /// Records the number of counted loads from the weight store and its limit.
    pub fn weight_loads(&self, counted: usize, allowed: usize) {
        let number = |count| u64::try_from(count).unwrap_or(u64::MAX);
        self.weight_loads.record(number(counted), &[]);
        self.weight_loads_allowed.record(number(allowed), &[]);
    }

    /// Returns all metrics in the Prometheus text format.
    pub fn render(&self) -> String {
        self.instruments.render()
    }
}
