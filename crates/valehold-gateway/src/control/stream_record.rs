//! Keeps the store's record of where streams began up to date, and reads it
//! after a start, in case all gateways stopped at once.
//!
//! The gateway that is first in observing the store writes for all. While a
//! service has one software version, only this is written, once.

use std::collections::BTreeMap;

use valehold_core::{
    Millis,
    fleet::{
        stream_origin::OriginReport,
        stream_record::{
            BatchRows, ServiceVersions, StreamBatch, StreamRecord,
            StreamRecordChange,
        },
    },
    id::ServiceName,
};
use valehold_ports::{
    PortError,
    port::fleet::{FleetStore, OwnTable},
};

use super::{
    Control, holder_name, input::Input, records::streams as stream_rows,
};
use crate::peers::message::StoreStatus;

/// The minimum time between two calls, in ms. Streams that began within this
/// time before all gateways stopped are refused afterwards.
const MIN_INTERVAL_MS: u64 = 300;

/// The delay before the next call after a failed one, in ms.
const RETRY_MS: u64 = 1_000;

/// The most streams in one row, which has a limited size.
const MAX_STREAMS: usize = 2_500;

/// The most rows of streams that one call writes. All rows together are read at
/// once by gateways that start.
const MAX_ROWS: usize = 4;

/// How long a gateway that starts waits for the record before it serves, in
/// ms. The store may be down.
const MAX_WAIT_MS: u64 = 1_000;

/// The state of this gateway's synchronization with the record.
#[derive(Debug, Default)]
pub(super) struct StreamRecordSync {
    /// The rows for batches; `None` until the record was read.
    rows: Option<BatchRows>,
    call_in_flight: bool,
    /// The earliest time of the next call.
    next_call: Millis,
    /// What the record says of versions, as far as this gateway knows.
    versions: BTreeMap<ServiceName, ServiceVersions>,
}

/// The result of a call about the record.
#[derive(Debug)]
pub(super) enum StreamRecordResult {
    Read(Result<StreamRecord, PortError>),
    Written {
        versions: Vec<ServiceVersions>,
        origins: Vec<OriginReport>,
        result: Result<(), PortError>,
    },
}

impl Control {
    /// Reads the record once after the start if this gateway observes the
    /// store, and writes what is new if it is the first observer.
    pub(super) fn sync_stream_record(&mut self, now: Millis) {
        let sync = &self.stream_record;
        if sync.call_in_flight || now < sync.next_call {
            return;
        }
        if sync.rows.is_none() {
            if self.observes_store() {
                self.read_stream_record(now);
            }
            return;
        }
        let is_first = self.roster.observer_place().position == 0;
        if is_first && self.store == StoreStatus::Reachable {
            self.write_stream_record(now);
        }
    }

    fn read_stream_record(&mut self, now: Millis) {
        self.begin_stream_call(now);
        let (store, inputs) = (self.store_calls.clone(), self.inputs.clone());
        tokio::task::spawn_local(async move {
            let read = store.read_own(OwnTable::Streams).await;
            let record = read.map(|rows| stream_rows::read(&rows));
            let read = StreamRecordResult::Read(record);
            let _ = inputs.send(Input::StreamRecordCallFinished(read));
        });
    }

    fn begin_stream_call(&mut self, now: Millis) {
        self.stream_record.call_in_flight = true;
        self.stream_record.next_call = now + MIN_INTERVAL_MS;
    }

    /// Writes streams and versions that the record lacks.
    fn write_stream_record(&mut self, now: Millis) {
        let Some(store_ms) = self.watch_state.store_ms() else { return };
        let versions = self.unrecorded_versions(store_ms, now);
        let origins = self.shared.origins().unstored(
            |service| self.only_version(service, now).is_some(),
            MAX_STREAMS * MAX_ROWS,
            now,
        );
        let Some(rows) = &mut self.stream_record.rows else { return };
        let batches = StreamBatch::several(&origins, MAX_STREAMS, store_ms);
        let named = batches.into_iter().map(|batch| {
            let name = rows.take(batch.until_ms, store_ms);
            (name, batch)
        });
        let mut change = StreamRecordChange {
            batches: named.collect(),
            versions: versions.clone(),
            remove: Vec::new(),
        };
        if change.is_empty() {
            return;
        }
        change.remove = rows.take_obsolete();
        self.begin_stream_call(now);
        let (store, inputs) = (self.store_calls.clone(), self.inputs.clone());
        tokio::task::spawn_local(async move {
            let result = write(&*store, &change).await;
            let written =
                StreamRecordResult::Written { versions, origins, result };
            let _ = inputs.send(Input::StreamRecordCallFinished(written));
        });
    }

    /// Returns the versions of which the record does not tell that they are in
    /// use, or that they left.
    fn unrecorded_versions(
        &self,
        store_ms: u64,
        now: Millis,
    ) -> Vec<ServiceVersions> {
        let mut versions = self.upstreams.software().record(store_ms, now);
        let recorded = &self.stream_record.versions;
        versions.retain(|one| {
            let earlier = recorded.get(&one.service);
            !earlier.is_some_and(|earlier| one.is_covered_by(earlier))
        });
        versions
    }

    /// Handles the result of a call about the record.
    pub(super) fn on_stream_record(
        &mut self,
        result: StreamRecordResult,
        now: Millis,
    ) {
        self.stream_record.call_in_flight = false;
        let failed = match result {
            StreamRecordResult::Read(Ok(record)) => {
                self.on_stream_record_read(&record, now);
                return;
            }
            StreamRecordResult::Written { versions, origins, result } => {
                if result.is_ok() {
                    self.shared.origins().on_stored(&origins);
                    let versions = versions.into_iter();
                    let by_service =
                        versions.map(|one| (one.service.clone(), one));
                    self.stream_record.versions.extend(by_service);
                }
                result.err()
            }
            StreamRecordResult::Read(Err(error)) => Some(error),
        };
        if let Some(error) = failed {
            log::debug!("accessing the record of streams failed: {error}");
            self.stream_record.next_call = now + RETRY_MS;
        }
    }

    fn on_stream_record_read(&mut self, record: &StreamRecord, now: Millis) {
        let owner = holder_name(&self.shared.settings);
        self.stream_record.rows = Some(BatchRows::new(owner.as_str(), record));
        let versions = record.versions.iter();
        self.stream_record.versions =
            versions.map(|one| (one.service.clone(), one.clone())).collect();
        let store_ms = record.store_ms;
        self.upstreams.restore_software(&record.versions, store_ms, now);
        let batches = record.batches.values();
        let reports: Vec<OriginReport> =
            batches.flat_map(|batch| batch.reports(store_ms)).collect();
        self.shared.origins().receive_stored(&reports, now);
        // Traffic relies on the record once it is set, so its versions are
        // published before.
        self.publish();
        self.shared.set_stream_record_read();
        self.finish_known_lookups(now);
    }

    /// Returns whether this gateway reads the record and has not yet done so
    /// since its start.
    pub(super) fn waits_for_stream_record(&self, now: Millis) -> bool {
        let may_wait = now.since(self.started) < MAX_WAIT_MS;
        self.observes_store() && self.stream_record.rows.is_none() && may_wait
    }
}

async fn write(
    store: &dyn FleetStore,
    change: &StreamRecordChange,
) -> Result<(), PortError> {
    let rows = stream_rows::rows(change)?;
    store.write_own(OwnTable::Streams, &rows).await
}
