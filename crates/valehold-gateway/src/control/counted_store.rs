//! Counts calls to the platform's store, because each call costs, and logs
//! failed calls with their duration.

use std::sync::Arc;

use futures::FutureExt;
use valehold_core::{fleet::Listing, lease::LeaseRow};
use valehold_ports::port::{
    Answer,
    fleet::{
        CatalogNews, FleetStore, LeaseSight, LeaseWrite, ListingNews, OwnRows,
        OwnRowsChange, OwnTable, WatchSpan,
    },
};

use crate::{clock::Clock, events::Event, metrics::Metrics};

/// Wraps a store and counts every call to the store.
pub(super) struct CountedStore {
    store: Arc<dyn FleetStore>,
    metrics: Metrics,
    clock: Clock,
}

impl CountedStore {
    /// Wraps a store.
    pub(super) fn new(
        store: Arc<dyn FleetStore>,
        metrics: Metrics,
        clock: Clock,
    ) -> Self {
        Self { store, metrics, clock }
    }

    /// Counts a call, and counts and logs its failure.
    fn count<'a, T: 'a>(
        &'a self,
        call: &'static str,
        answer: Answer<'a, T>,
    ) -> Answer<'a, T> {
        self.metrics.store_called(call);
        let began = self.clock.now();
        let counted = async move {
            let answer = answer.await;
            if let Err(error) = &answer {
                self.metrics.store_failed(call);
                let event = Event::StoreCallFailed {
                    call: call.to_owned(),
                    took_ms: self.clock.now().since(began),
                    error: error.to_string(),
                };
                event.log();
            }
            answer
        };
        counted.boxed()
    }
}

impl FleetStore for CountedStore {
    fn read_catalog(&self) -> Answer<'_, CatalogNews> {
        self.count("read_configuration", self.store.read_catalog())
    }

    fn await_catalog(
        &self,
        after: u64,
        span: WatchSpan,
    ) -> Answer<'_, CatalogNews> {
        let answer = self.store.await_catalog(after, span);
        self.count("watch_configuration", answer)
    }

    fn read_listing(&self) -> Answer<'_, Listing> {
        self.count("read_upstreams", self.store.read_listing())
    }

    fn await_listing(
        &self,
        after: u64,
        span: WatchSpan,
    ) -> Answer<'_, ListingNews> {
        let answer = self.store.await_listing(after, span);
        self.count("watch_upstreams", answer)
    }

    fn read_lease(&self) -> Answer<'_, LeaseSight> {
        self.count("read_lease", self.store.read_lease())
    }

    fn write_lease<'a>(
        &'a self,
        version: u64,
        row: &'a LeaseRow,
    ) -> Answer<'a, LeaseWrite> {
        let answer = self.store.write_lease(version, row);
        self.count("write_lease", answer)
    }

    fn read_own(&self, table: OwnTable) -> Answer<'_, OwnRows> {
        let label = match table {
            OwnTable::Refused => "read_refused",
            OwnTable::Streams => "read_streams",
        };
        self.count(label, self.store.read_own(table))
    }

    fn write_own<'a>(
        &'a self,
        table: OwnTable,
        change: &'a OwnRowsChange,
    ) -> Answer<'a, ()> {
        let label = match table {
            OwnTable::Refused => "write_refused",
            OwnTable::Streams => "write_streams",
        };
        self.count(label, self.store.write_own(table, change))
    }
}
