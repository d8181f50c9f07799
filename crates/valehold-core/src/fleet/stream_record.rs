//! What the platform's store keeps of streams, for when all gateways stop at
//! once.
//!
//! While a service has one software version, it is enough to know that: the
//! store keeps which versions were in use. While there are several, the store
//! also keeps where each stream began, in batches that one gateway writes for
//! all.

use std::collections::{BTreeMap, BTreeSet};

use super::stream_origin::{OriginReport, ReportedStream};
use crate::id::{ServiceName, SoftwareVersion};

/// The longest time for which a recorded version in use counts, in ms: a clock
/// of a store that started anew says less than before.
const MAX_KEEP_MS: u64 = 600_000;

/// When a version was in use.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct VersionUse {
    /// The version; `None` if an upstream told none.
    pub software: Option<SoftwareVersion>,
    /// When the last upstream of the version left, by the store's steady clock
    /// in ms; `None` if it was in use at the time of the record.
    pub left_ms: Option<u64>,
}

/// The versions that were in use by a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceVersions {
    /// The service.
    pub service: ServiceName,
    /// The versions.
    pub versions: Vec<VersionUse>,
}

impl ServiceVersions {
    /// Returns whether `earlier` tells of each version whether it is in use,
    /// and of the same ones.
    pub fn is_covered_by(&self, earlier: &Self) -> bool {
        let state =
            |one: &VersionUse| (one.software.clone(), one.left_ms.is_some());
        let known: BTreeSet<_> = earlier.versions.iter().map(state).collect();
        self.versions.iter().all(|one| known.contains(&state(one)))
    }
}

/// Streams that began in some span.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct StreamBatch {
    /// Until when the streams may be taken up, by the store's steady clock, in
    /// ms.
    pub until_ms: u64,
    /// The streams, by where they began. Their own times to be kept are not
    /// recorded.
    pub origins: Vec<OriginReport>,
}

impl StreamBatch {
    /// Creates the batch of some streams at a time of the store.
    pub fn new(origins: Vec<OriginReport>, store_ms: u64) -> Self {
        let streams = origins.iter().flat_map(|one| &one.streams);
        let keep_ms = streams.map(|one| one.keep_ms).max().unwrap_or(0);
        Self { until_ms: store_ms + u64::from(keep_ms), origins }
    }

    /// Creates batches of some streams, of `max` streams each at the most: a row
    /// has a limited size.
    pub fn several(
        origins: &[OriginReport],
        max: usize,
        store_ms: u64,
    ) -> Vec<Self> {
        let mut batches = Vec::new();
        let (mut reports, mut count) = (Vec::new(), 0);
        for report in origins {
            let mut streams = report.streams.as_slice();
            while !streams.is_empty() {
                let room = streams.len().min(max - count);
                let (part, rest) = streams.split_at(room);
                let origin = report.origin.clone();
                reports.push(OriginReport { origin, streams: part.to_vec() });
                (streams, count) = (rest, count + room);
                if count == max {
                    let full = std::mem::take(&mut reports);
                    batches.push(Self::new(full, store_ms));
                    count = 0;
                }
            }
        }
        if !reports.is_empty() {
            batches.push(Self::new(reports, store_ms));
        }
        batches
    }

    /// Returns the streams as reports at a time of the store; none if their
    /// time is over.
    pub fn reports(&self, store_ms: u64) -> Vec<OriginReport> {
        let left_ms = self.until_ms.saturating_sub(store_ms).min(MAX_KEEP_MS);
        let Ok(keep_ms @ 1..) = u32::try_from(left_ms) else {
            return Vec::new();
        };
        let kept = |one: &OriginReport| OriginReport {
            origin: one.origin.clone(),
            streams: one
                .streams
                .iter()
                .map(|stream| ReportedStream { keep_ms, ..*stream })
                .collect(),
        };
        self.origins.iter().map(kept).collect()
    }
}

/// The record when it was read.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct StreamRecord {
    /// The batches, by the names of their rows.
    pub batches: BTreeMap<String, StreamBatch>,
    /// The versions that were in use by each service.
    pub versions: Vec<ServiceVersions>,
    /// The time of the store's steady clock at the read, in ms.
    pub store_ms: u64,
}

/// A change of the record.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct StreamRecordChange {
    /// The batches to write, by the names of their rows.
    pub batches: BTreeMap<String, StreamBatch>,
    /// The versions to write.
    pub versions: Vec<ServiceVersions>,
    /// The rows of batches to remove.
    pub remove: Vec<String>,
}

impl StreamRecordChange {
    /// Returns whether there is nothing to write. Rows alone are not removed:
    /// each call has a price.
    pub fn is_empty(&self) -> bool {
        self.batches.is_empty() && self.versions.is_empty()
    }
}

/// The most rows that one change removes: a transaction of the store has at
/// most a hundred entries.
const MAX_REMOVED: usize = 50;

/// The names of the rows for batches, which are used again once the streams in
/// them cannot be taken up any more.
#[derive(Debug, Clone, Default)]
pub struct BatchRows {
    /// The name that precedes the number of each own row.
    owner: String,
    /// Until when each own row is needed, in ms of the store's clock.
    own: Vec<u64>,
    /// Rows of others that were not needed any more.
    obsolete: Vec<String>,
}

impl BatchRows {
    /// Creates the rows of a gateway that read the record.
    pub fn new(owner: &str, record: &StreamRecord) -> Self {
        let mut rows = Self { owner: owner.to_owned(), ..Self::default() };
        for (name, batch) in &record.batches {
            match rows.own_number(name) {
                Some(number) => {
                    let length = rows.own.len().max(number + 1);
                    rows.own.resize(length, 0);
                    rows.own[number] = batch.until_ms;
                }
                None if batch.until_ms <= record.store_ms => {
                    rows.obsolete.push(name.clone());
                }
                None => {}
            }
        }
        rows
    }

    /// Returns the number of an own row; `None` for rows of others.
    fn own_number(&self, name: &str) -> Option<usize> {
        let (owner, number) = name.rsplit_once('/')?;
        let number = number.parse().ok().filter(|one| *one < MAX_OWN_ROWS)?;
        (owner == self.owner).then_some(number)
    }

    /// Takes a row for a batch, and returns its name. Of too many rows that are
    /// needed, the one that is needed for the shortest time is used again.
    pub fn take(&mut self, until_ms: u64, store_ms: u64) -> String {
        let free = self.own.iter().position(|until| *until <= store_ms);
        let number = match free {
            Some(number) => number,
            None if self.own.len() < MAX_OWN_ROWS => {
                self.own.push(0);
                self.own.len() - 1
            }
            None => {
                let all = self.own.iter().enumerate();
                let first = all.min_by_key(|(_, until)| **until);
                first.map_or(0, |(number, _)| number)
            }
        };
        self.own[number] = until_ms;
        format!("{}/{number}", self.owner)
    }

    /// Removes and returns names of rows that are to be removed.
    pub fn take_obsolete(&mut self) -> Vec<String> {
        let count = self.obsolete.len().min(MAX_REMOVED);
        self.obsolete.drain(..count).collect()
    }
}

/// The most rows of one gateway.
const MAX_OWN_ROWS: usize = 256;
