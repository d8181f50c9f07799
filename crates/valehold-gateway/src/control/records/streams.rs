//! Rows of where streams began and which versions of software were in use.

use base64::{Engine, prelude::BASE64_STANDARD};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use valehold_core::{
    fleet::{
        stream_origin::{
            OriginReport, ReportedStream, StreamId, StreamOrigin,
        },
        stream_record::{
            ServiceVersions, StreamBatch, StreamRecord, StreamRecordChange,
            VersionUse,
        },
    },
    id::ServiceName,
};
use valehold_ports::{
    PortError,
    port::fleet::{OwnRows, OwnRowsChange},
};

use super::{decode, encode};

/// What precedes the name of a batch in its row's key.
const BATCH_PREFIX: &str = "batch/";

/// What precedes the name of a service in the key of its versions.
const SERVICE_PREFIX: &str = "service/";

/// The length of a stream's identifier in a row, in bytes.
const STREAM_BYTES: usize = 8;

/// A batch of streams.
#[derive(Debug, Serialize, Deserialize)]
struct BatchValue {
    /// Until when they may be taken up, by the store's clock, in ms.
    until_ms: u64,
    origins: Vec<OriginValue>,
}

/// Streams that began at one version of one service.
#[derive(Debug, Serialize, Deserialize)]
struct OriginValue {
    service: String,
    software: String,
    /// The identifiers, one after the other, in base64.
    streams: String,
}

/// The versions of one service.
#[derive(Debug, Serialize, Deserialize)]
struct VersionsValue {
    versions: Vec<VersionValue>,
}

/// One version.
#[derive(Debug, Serialize, Deserialize)]
struct VersionValue {
    software: Option<String>,
    /// When its last upstream left, by the store's clock, in ms.
    left_ms: Option<u64>,
}

/// Reads the rows. Those that cannot be read say nothing.
pub(in crate::control) fn read(rows: &OwnRows) -> StreamRecord {
    let store_ms = rows.store_ms;
    let mut record = StreamRecord { store_ms, ..StreamRecord::default() };
    for (key, value) in &rows.rows {
        if let Err(error) = add(&mut record, key, value) {
            log::warn!("the row {key} is left out: {error}");
        }
    }
    record
}

fn add(
    record: &mut StreamRecord,
    key: &str,
    value: &Value,
) -> Result<(), PortError> {
    if let Some(name) = key.strip_prefix(BATCH_PREFIX) {
        let value: BatchValue = decode(value)?;
        let origins = value.origins.into_iter().map(origin);
        let origins = origins.collect::<Result<_, PortError>>()?;
        let batch = StreamBatch { until_ms: value.until_ms, origins };
        record.batches.insert(name.to_owned(), batch);
    }
    if let Some(service) = key.strip_prefix(SERVICE_PREFIX) {
        let value: VersionsValue = decode(value)?;
        if value.versions.is_empty() {
            return Err(PortError::malformed("it tells of no version"));
        }
        let versions = value.versions.into_iter().map(|one| VersionUse {
            software: one.software.map(|text| text.as_str().into()),
            left_ms: one.left_ms,
        });
        record.versions.push(ServiceVersions {
            service: ServiceName::new(service),
            versions: versions.collect(),
        });
    }
    Ok(())
}

fn origin(value: OriginValue) -> Result<OriginReport, PortError> {
    let malformed = |error| PortError::malformed(format!("streams: {error}"));
    let bytes = BASE64_STANDARD.decode(value.streams).map_err(malformed)?;
    let streams = bytes.as_chunks::<STREAM_BYTES>().0.iter().map(|bytes| {
        let stream = StreamId::new(u64::from_le_bytes(*bytes));
        ReportedStream { stream, keep_ms: 0 }
    });
    Ok(OriginReport {
        origin: StreamOrigin {
            service: ServiceName::new(value.service),
            software: value.software.as_str().into(),
        },
        streams: streams.collect(),
    })
}

/// Returns the rows that a change writes and removes.
pub(in crate::control) fn rows(
    change: &StreamRecordChange,
) -> Result<OwnRowsChange, PortError> {
    let batches = change.batches.iter().map(|(name, batch)| {
        Ok((format!("{BATCH_PREFIX}{name}"), batch_value(batch)?))
    });
    let services = change.versions.iter().map(|one| {
        let key = format!("{SERVICE_PREFIX}{}", one.service);
        Ok((key, versions_value(one)?))
    });
    let remove = change.remove.iter();
    let remove = remove.map(|name| format!("{BATCH_PREFIX}{name}"));
    Ok(OwnRowsChange {
        put: batches.chain(services).collect::<Result<_, PortError>>()?,
        remove: remove.collect(),
    })
}

fn batch_value(batch: &StreamBatch) -> Result<Value, PortError> {
    let origins = batch.origins.iter().map(origin_value).collect();
    encode(&BatchValue { until_ms: batch.until_ms, origins })
}

fn origin_value(report: &OriginReport) -> OriginValue {
    let streams = report.streams.iter();
    let bytes: Vec<u8> =
        streams.flat_map(|one| one.stream.get().to_le_bytes()).collect();
    OriginValue {
        service: report.origin.service.to_string(),
        software: report.origin.software.to_string(),
        streams: BASE64_STANDARD.encode(bytes),
    }
}

fn versions_value(one: &ServiceVersions) -> Result<Value, PortError> {
    let versions = one.versions.iter().map(|version| VersionValue {
        software: version.software.as_ref().map(ToString::to_string),
        left_ms: version.left_ms,
    });
    encode(&VersionsValue { versions: versions.collect() })
}
