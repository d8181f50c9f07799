//! Counting calls to the platform's store: each one costs.

use std::sync::Arc;

use valehold_core::{fleet::Listing, lease::LeaseRow};
use valehold_ports::port::{
    Answer,
    fleet::{
        CatalogNews, FleetStore, LeaseSight, LeaseWrite, ListingNews,
        WatchSpan,
    },
};

use crate::metrics::Metrics;

/// A store of which every call is counted.
pub(super) struct CountedStore {
    store: Arc<dyn FleetStore>,
    metrics: Metrics,
}

impl CountedStore {
    /// Counts the calls of a store.
    pub(super) fn new(store: Arc<dyn FleetStore>, metrics: Metrics) -> Self {
        Self { store, metrics }
    }
}

impl FleetStore for CountedStore {
    fn read_catalog(&self) -> Answer<'_, CatalogNews> {
        self.metrics.store_called("read_configuration");
        self.store.read_catalog()
    }

    fn await_catalog(
        &self,
        after: u64,
        span: WatchSpan,
    ) -> Answer<'_, CatalogNews> {
        self.metrics.store_called("watch_configuration");
        self.store.await_catalog(after, span)
    }

    fn read_listing(&self) -> Answer<'_, Listing> {
        self.metrics.store_called("read_upstreams");
        self.store.read_listing()
    }

    fn await_listing(
        &self,
        after: u64,
        span: WatchSpan,
    ) -> Answer<'_, ListingNews> {
        self.metrics.store_called("watch_upstreams");
        self.store.await_listing(after, span)
    }

    fn read_lease(&self) -> Answer<'_, LeaseSight> {
        self.metrics.store_called("read_lease");
        self.store.read_lease()
    }

    fn write_lease<'a>(
        &'a self,
        version: u64,
        row: &'a LeaseRow,
    ) -> Answer<'a, LeaseWrite> {
        self.metrics.store_called("write_lease");
        self.store.write_lease(version, row)
    }
}
