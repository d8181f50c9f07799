//! What a gateway counts. `docs/METRICS.md` lists it all.

use opentelemetry::{
    KeyValue,
    metrics::{Counter, Gauge, MeterProvider},
};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};
use valehold_core::reason::{RefusalReason, RetryReason};

use crate::error::Error;

/// The instruments of one gateway.
#[derive(Debug, Clone)]
pub struct Metrics {
    registry: Registry,
    _provider: SdkMeterProvider,
    refusals: Counter<u64>,
    retries: Counter<u64>,
    requests: Counter<u64>,
    orders: Counter<u64>,
    catalog: Gauge<u64>,
    holds_lease: Gauge<u64>,
}

impl Metrics {
    /// Makes the instruments.
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
        let counter = |name, about| {
            meter.u64_counter(name).with_description(about).build()
        };
        let gauge = |name, about| {
            meter.u64_gauge(name).with_description(about).build()
        };
        Ok(Self {
            refusals: counter("valehold_refusals", "Requests refused."),
            retries: counter("valehold_retries", "Sends after another."),
            requests: counter("valehold_requests", "Requests taken."),
            orders: counter("valehold_orders", "Orders given to engines."),
            catalog: gauge("valehold_revision", "Configuration in force."),
            holds_lease: gauge("valehold_holds_lease", "1 at the holder."),
            registry,
            _provider: provider,
        })
    }

    /// Counts a refusal.
    pub fn refused(&self, reason: RefusalReason) {
        self.refusals.add(1, &[KeyValue::new("reason", reason.code())]);
    }

    /// Counts a send after another.
    pub fn retried(&self, reason: RetryReason) {
        self.retries.add(1, &[KeyValue::new("reason", reason.code())]);
    }

    /// Counts a request.
    pub fn requested(&self) {
        self.requests.add(1, &[]);
    }

    /// Counts an order.
    pub fn ordered(&self, outcome: &'static str) {
        self.orders.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Notes which configuration is in force.
    pub fn catalog(&self, version: u64) {
        self.catalog.record(version, &[]);
    }

    /// Notes whether this gateway holds the lease.
    pub fn holds_lease(&self, holds: bool) {
        self.holds_lease.record(u64::from(holds), &[]);
    }

    /// Writes everything as text.
    pub fn text(&self) -> String {
        let mut text = Vec::new();
        let families = self.registry.gather();
        if let Err(error) = TextEncoder::new().encode(&families, &mut text) {
            log::warn!("metrics cannot be written: {error}");
        }
        String::from_utf8_lossy(&text).into_owned()
    }
}
