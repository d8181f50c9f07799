//! What an instance counts and measures. `docs/METRICS.md` lists it all.

use opentelemetry::{
    KeyValue,
    metrics::{Counter, Gauge, Histogram},
};
use valehold_core::{
    chart::{Label, library::RequestState},
    reason::{RefusalReason, RetryReason},
};
use valehold_gateway::metrics::Instruments;

use crate::Error;

/// Upper bounds of the buckets for times, in seconds.
const TIME_BUCKETS: [f64; 14] = [
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.45, 1.0, 2.5, 5.0,
    10.0, 30.0,
];

/// The instruments of one instance.
#[derive(Debug, Clone)]
pub struct Metrics {
    instruments: Instruments,
    refusals: Counter<u64>,
    retries: Counter<u64>,
    requests: Counter<u64>,
    dropped_reports: Counter<u64>,
    orders: Counter<u64>,
    first_output: Histogram<f64>,
    between_tokens: Histogram<f64>,
    control_busy: Counter<f64>,
    revision: Gauge<u64>,
    knowledge_age: Gauge<f64>,
    engine_claimed: Gauge<u64>,
    engine_free: Gauge<u64>,
    engine_resident: Gauge<u64>,
    holds_cell: Gauge<u64>,
}

impl Metrics {
    /// Makes the instruments.
    ///
    /// # Errors
    ///
    /// If the exporter cannot be set up.
    pub fn try_new() -> Result<Self, Error> {
        let instruments = Instruments::try_new()?;
        let meter = &instruments.meter;
        let counter = |name, about| instruments.counter(name, about);
        let gauge = |name, about| instruments.gauge(name, about);
        let times = |name, about| {
            meter
                .f64_histogram(name)
                .with_description(about)
                .with_unit("s")
                .with_boundaries(TIME_BUCKETS.to_vec())
                .build()
        };
        Ok(Self {
            refusals: counter("valehold_refusals", "Requests refused."),
            retries: counter("valehold_retries", "Attempts after another."),
            requests: counter("valehold_requests", "Requests ended."),
            dropped_reports: counter(
                "valehold_dropped_reports",
                "Reports to the control thread that found no room.",
            ),
            orders: counter("valehold_orders", "Orders recorded."),
            first_output: times(
                "valehold_first_output",
                "Time until the first part of an answer.",
            ),
            between_tokens: times(
                "valehold_between_tokens",
                "Time between two parts of an answer.",
            ),
            control_busy: meter
                .f64_counter("valehold_control_busy")
                .with_description("Time the control thread was at work.")
                .with_unit("s")
                .build(),
            revision: gauge("valehold_revision", "Revision in force."),
            knowledge_age: meter
                .f64_gauge("valehold_knowledge_age")
                .with_description("Time since the store was last read.")
                .with_unit("s")
                .build(),
            engine_claimed: gauge(
                "valehold_engine_claimed_mib",
                "Engine memory that claims are on.",
            ),
            engine_free: gauge(
                "valehold_engine_free_mib",
                "Engine memory that no claim is on.",
            ),
            engine_resident: gauge(
                "valehold_engine_resident",
                "Models and adapters that can be asked of an engine.",
            ),
            holds_cell: gauge("valehold_holds_cell", "1 at the holder."),
            instruments,
        })
    }

    /// Counts a refusal.
    pub fn refused(&self, reason: RefusalReason) {
        self.refusals.add(1, &[KeyValue::new("reason", reason.code())]);
    }

    /// Counts an attempt after another.
    pub fn retried(&self, reason: RetryReason) {
        self.retries.add(1, &[KeyValue::new("reason", reason.code())]);
    }

    /// Counts a request by how it ended.
    pub fn ended(&self, outcome: RequestState) {
        self.requests.add(1, &[KeyValue::new("outcome", outcome.name())]);
    }

    /// Counts a report that found no room in the control thread's channel.
    pub fn dropped_report(&self) {
        self.dropped_reports.add(1, &[]);
    }

    /// Counts an order by what it does.
    pub fn ordered(&self, kind: &'static str) {
        self.orders.add(1, &[KeyValue::new("kind", kind)]);
    }

    /// Takes in a time until the first part of an answer, in seconds.
    pub fn first_output(&self, seconds: f64) {
        self.first_output.record(seconds, &[]);
    }

    /// Takes in a time between two parts of an answer, in seconds.
    pub fn between_tokens(&self, seconds: f64) {
        self.between_tokens.record(seconds, &[]);
    }

    /// Adds to the time that the control thread was at work, in seconds.
    pub fn control_busy(&self, seconds: f64) {
        self.control_busy.add(seconds, &[]);
    }

    /// Sets the revision in force.
    pub fn revision(&self, number: u64) {
        self.revision.record(number, &[]);
    }

    /// Sets how old the knowledge from the store is, in seconds.
    pub fn knowledge_age(&self, seconds: f64) {
        self.knowledge_age.record(seconds, &[]);
    }

    /// Sets an engine's memory, in MiB.
    pub fn engine_memory(&self, engine: &str, claimed: u64, free: u64) {
        let labels = [KeyValue::new("engine", engine.to_owned())];
        self.engine_claimed.record(claimed, &labels);
        self.engine_free.record(free, &labels);
    }

    /// Sets how many models and adapters can be asked of an engine.
    pub fn engine_resident(&self, engine: &str, count: u64) {
        let labels = [KeyValue::new("engine", engine.to_owned())];
        self.engine_resident.record(count, &labels);
    }

    /// Sets whether this instance holds the placement cell.
    pub fn holds_cell(&self, holds: bool) {
        self.holds_cell.record(u64::from(holds), &[]);
    }

    /// Returns all metrics in the Prometheus text format.
    pub fn render(&self) -> String {
        self.instruments.render()
    }
}
