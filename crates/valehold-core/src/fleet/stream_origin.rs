//! The software versions at which streams began.
//!
//! A caller may take a broken stream up again at any gateway, and names the
//! request that brought the first event of the stream. The gateway that began
//! the stream reports the origin to a few others, the keepers, before it may
//! be gone. A gateway that is asked to continue a stream looks the origin up
//! in its own [`StreamOrigins`] and else asks the keepers.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::{IpAddr, SocketAddr},
};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::{
    id::{ServiceName, SoftwareVersion},
    time::Millis,
};

/// The largest number of origins that a gateway holds.
const MAX_ORIGINS: usize = 65_536;

/// The longest time for which an origin is kept, in ms. A peer may report any
/// time.
const MAX_KEEP_MS: u32 = 600_000;

/// The largest number of other gateways for which all of them are keepers.
const MAX_ALL_KEEPERS: usize = 8;

/// The number of keepers of a stream in a larger fleet.
const KEEPERS: usize = 3;

/// Identifies a stream by the request that brought its first event.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
pub struct StreamId(u64);

impl StreamId {
    /// Returns the identifier of the stream that a request began.
    pub fn of_request(id: &[u8]) -> Self {
        Self(xxh3_64(id))
    }

    /// Creates an identifier from its number.
    pub const fn new(number: u64) -> Self {
        Self(number)
    }

    /// Returns the number of the identifier.
    pub const fn get(self) -> u64 {
        self.0
    }

    /// Returns the gateways to which the origin of the stream is reported.
    /// `others` are the gateways except the one that began the stream.
    pub fn keepers(self, others: &[SocketAddr]) -> Vec<SocketAddr> {
        self.first_ranked(others, MAX_ALL_KEEPERS, KEEPERS)
    }

    /// Returns the gateways to ask for the origin of the stream. `members` are
    /// all gateways. The gateway that began the stream, which is no keeper,
    /// may rank among them.
    pub fn possible_keepers(self, members: &[SocketAddr]) -> Vec<SocketAddr> {
        self.first_ranked(members, MAX_ALL_KEEPERS + 1, KEEPERS + 1)
    }

    /// Returns all members if there are at most `max_all`, and else the `count`
    /// members that rank first.
    fn first_ranked(
        self,
        members: &[SocketAddr],
        max_all: usize,
        count: usize,
    ) -> Vec<SocketAddr> {
        let mut ranked = members.to_vec();
        if ranked.len() > max_all {
            ranked.sort_by_cached_key(|member| {
                std::cmp::Reverse(self.weight(*member))
            });
            ranked.truncate(count);
        }
        ranked
    }

    /// Returns the weight of a gateway in the ranking of the stream's keepers
    /// by rendezvous hashing.
    fn weight(self, member: SocketAddr) -> u64 {
        let ip = match member.ip() {
            IpAddr::V4(ip) => ip.to_ipv6_mapped(),
            IpAddr::V6(ip) => ip,
        };
        let address = u128::from(ip).wrapping_add(member.port().into());
        xxh3_64_with_seed(&address.to_be_bytes(), self.0)
    }
}

/// Where a stream began.
#[derive(
    Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct StreamOrigin {
    /// The service that answered.
    pub service: ServiceName,
    /// The version of the engine's software.
    pub software: SoftwareVersion,
}

/// One stream of an [`OriginReport`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportedStream {
    /// The stream.
    pub stream: StreamId,
    /// For how long the origin is to be kept, in ms.
    pub keep_ms: u32,
}

/// Streams that began at the same service and version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginReport {
    /// The origin of the streams.
    pub origin: StreamOrigin,
    /// The streams.
    pub streams: Vec<ReportedStream>,
}

/// Returns the reports of several streams.
pub fn reports_of(
    streams: impl IntoIterator<Item = (ReportedStream, StreamOrigin)>,
) -> Vec<OriginReport> {
    let mut by_origin: BTreeMap<StreamOrigin, Vec<ReportedStream>> =
        BTreeMap::new();
    for (stream, origin) in streams {
        by_origin.entry(origin).or_default().push(stream);
    }
    let reports = by_origin.into_iter();
    reports.map(|(origin, streams)| OriginReport { origin, streams }).collect()
}

#[derive(Debug, Clone)]
struct Known {
    /// The origin; `None` if reports contradict one another.
    origin: Option<StreamOrigin>,
    expires: Millis,
}

/// The origins of streams that a gateway knows.
#[derive(Debug, Clone, Default)]
pub struct StreamOrigins {
    known: BTreeMap<StreamId, Known>,
    expiries: BTreeSet<(Millis, StreamId)>,
    /// Streams that began at this gateway and were not reported yet, by the
    /// service from which their origin can be inferred, if any.
    unreported: BTreeMap<Option<ServiceName>, BTreeSet<StreamId>>,
    /// Streams whose origin is not known to be in the store.
    unstored: BTreeSet<StreamId>,
}

impl StreamOrigins {
    /// Records a stream that began at this gateway and may be taken up again
    /// for `keep_ms`.
    ///
    /// `is_only_service` states whether no other service could have answered,
    /// so that the origin can be inferred where the service has one version.
    pub fn record(
        &mut self,
        stream: StreamId,
        origin: &StreamOrigin,
        is_only_service: bool,
        keep_ms: u64,
        now: Millis,
    ) {
        let keep_ms = u32::try_from(keep_ms).unwrap_or(MAX_KEEP_MS);
        self.insert(ReportedStream { stream, keep_ms }, origin, now);
        self.unstored.insert(stream);
        let inferred_from = is_only_service.then(|| origin.service.clone());
        self.unreported.entry(inferred_from).or_default().insert(stream);
    }

    /// Records the origins that another gateway reported.
    pub fn receive(&mut self, reports: &[OriginReport], now: Millis) {
        for report in reports {
            for stream in &report.streams {
                let is_new = !self.known.contains_key(&stream.stream);
                self.insert(*stream, &report.origin, now);
                if is_new {
                    self.unstored.insert(stream.stream);
                }
            }
        }
    }

    /// Records the origins that the store has.
    pub fn receive_stored(&mut self, reports: &[OriginReport], now: Millis) {
        for report in reports {
            for stream in &report.streams {
                self.insert(*stream, &report.origin, now);
                self.unstored.remove(&stream.stream);
            }
        }
    }

    /// Returns the streams that are to be stored, `max` at most, except those
    /// of services whose only version is certain.
    pub fn unstored(
        &self,
        has_only_version: impl Fn(&ServiceName) -> bool,
        max: usize,
        now: Millis,
    ) -> Vec<OriginReport> {
        let wanted = self.unstored.iter().filter_map(|stream| {
            let origin = self.get(*stream, now)?;
            let is_inferred = has_only_version(&origin.service);
            let reported = self.reported(*stream, now)?;
            (!is_inferred).then(|| (reported, origin.clone()))
        });
        reports_of(wanted.take(max))
    }

    /// Records that the store has the origins of some streams.
    pub fn on_stored(&mut self, reports: &[OriginReport]) {
        let streams = reports.iter().flat_map(|report| &report.streams);
        streams.for_each(|one| {
            self.unstored.remove(&one.stream);
        });
    }

    /// Returns the origin of a stream, or `None` if it is not known or reports
    /// contradict one another.
    pub fn get(&self, stream: StreamId, now: Millis) -> Option<&StreamOrigin> {
        let known = self.known.get(&stream)?;
        known.origin.as_ref().filter(|_| now < known.expires)
    }

    /// Returns the report of one stream, or `None` if its origin is not known.
    pub fn report(
        &self,
        stream: StreamId,
        now: Millis,
    ) -> Option<OriginReport> {
        let origin = self.get(stream, now)?.clone();
        let streams = vec![self.reported(stream, now)?];
        Some(OriginReport { origin, streams })
    }

    /// Removes and returns the streams that began at this gateway and were not
    /// reported yet, except those of services whose only version is certain.
    pub fn take_unreported(
        &mut self,
        mut has_only_version: impl FnMut(&ServiceName) -> bool,
        now: Millis,
    ) -> Vec<(ReportedStream, StreamOrigin)> {
        let wanted = |service: &Option<ServiceName>, _: &mut _| {
            !service.as_ref().is_some_and(&mut has_only_version)
        };
        let taken: Vec<StreamId> = self
            .unreported
            .extract_if(.., wanted)
            .flat_map(|(_, streams)| streams)
            .collect();
        let report = |stream| {
            let origin = self.get(stream, now)?.clone();
            Some((self.reported(stream, now)?, origin))
        };
        taken.into_iter().filter_map(report).collect()
    }

    fn reported(
        &self,
        stream: StreamId,
        now: Millis,
    ) -> Option<ReportedStream> {
        let left_ms = self.known.get(&stream)?.expires.since(now);
        let keep_ms = u32::try_from(left_ms).unwrap_or(MAX_KEEP_MS);
        Some(ReportedStream { stream, keep_ms })
    }

    fn insert(
        &mut self,
        reported: ReportedStream,
        origin: &StreamOrigin,
        now: Millis,
    ) {
        self.prune(now);
        let ReportedStream { stream, keep_ms } = reported;
        let expires = now + u64::from(keep_ms.min(MAX_KEEP_MS));
        let new = Known { origin: Some(origin.clone()), expires };
        let known = self.known.entry(stream).or_insert_with(|| new.clone());
        if known.origin != new.origin {
            known.origin = None;
        }
        self.expiries.remove(&(known.expires, stream));
        known.expires = known.expires.max(expires);
        self.expiries.insert((known.expires, stream));
    }

    /// Removes expired origins, and those that expire first if there are too
    /// many.
    fn prune(&mut self, now: Millis) {
        while let Some((expires, stream)) = self.expiries.first().copied() {
            if now < expires && self.known.len() < MAX_ORIGINS {
                return;
            }
            self.expiries.pop_first();
            self.known.remove(&stream);
            self.unstored.remove(&stream);
            for unreported in self.unreported.values_mut() {
                unreported.remove(&stream);
            }
        }
    }
}
