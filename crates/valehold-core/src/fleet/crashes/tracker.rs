//! The crash records of one instance, and the refusals derived from them.

use std::{
    collections::{BTreeMap, BTreeSet},
    hash::{Hash, Hasher},
};

use xxhash_rust::xxh3::Xxh3;

use super::{
    AnsweredReport, Crash, CrashReport, CrashReports, REFUSED_AFTER_CRASHES,
    RefusedReport, RequestContent, find_culprits,
};
use crate::{id::UpstreamTag, time::Millis};

/// Maximum number of requests in flight, summed over all crashes. They take
/// 32 KB, so that all records fit into one datagram. At most as many answered
/// requests are accepted from one message.
const MAX_REQUESTS: usize = 4_096;

/// Maximum number of crashes; they take 6 KB of a datagram.
const MAX_CRASHES: usize = 512;

/// Maximum number of requests that the store records as refused; they take
/// 6 KB of a datagram.
const MAX_RECORDED: usize = 512;

/// How long a record is retained after it expires, in ms.
///
/// Instances that received a record later expire it a little later. If this
/// instance deleted the record at once, one of them would send it back as a
/// new record, and instances would pass it back and forth for ever.
const RETAINED_AFTER_EXPIRY_MS: u64 = 60_000;

/// The crashes that one instance knows of, the requests that were in flight at
/// each, and the requests that are refused for them.
///
/// Every record expires. If several reports state different expiry times for
/// one record, the earliest applies: a report states the remaining time, so
/// each transit delays the expiry that the receiver computes.
#[derive(Debug, Clone)]
pub struct CrashTracker {
    retention_ms: u64,
    crashes: BTreeMap<UpstreamTag, Crash>,
    /// Suspects that an upstream has answered, with the expiry of the answer.
    answered: BTreeMap<RequestContent, Millis>,
    /// Requests that the store records as refused, with their expiry.
    recorded: BTreeMap<RequestContent, Millis>,
    /// Those of `recorded` that a restored store may have lost.
    unconfirmed: BTreeSet<RequestContent>,
    /// Derived from the records above: the refused requests, with expiry.
    refused: BTreeMap<RequestContent, Millis>,
    /// Records of this instance's own that are not sent to others yet.
    pending: BTreeSet<Update>,
    /// How often the set of refused requests has changed.
    changes: u64,
}

/// A record to send to other instances.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Update {
    Crash(UpstreamTag),
    Answered(RequestContent),
}

impl CrashTracker {
    /// Creates an empty tracker whose records expire after `retention_ms`.
    pub fn new(retention_ms: u64) -> Self {
        Self {
            retention_ms,
            crashes: BTreeMap::new(),
            answered: BTreeMap::new(),
            recorded: BTreeMap::new(),
            unconfirmed: BTreeSet::new(),
            refused: BTreeMap::new(),
            pending: BTreeSet::new(),
            changes: 0,
        }
    }

    /// Returns whether no request can be refused, so that callers need not
    /// compute the digest of a request.
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.recorded.is_empty()
    }

    /// Returns how often the set of refused requests has changed.
    pub const fn changes(&self) -> u64 {
        self.changes
    }

    /// Returns how long a request is still refused, in ms, or `None` if the
    /// request is not refused.
    pub fn refused_ms(
        &self,
        content: &RequestContent,
        now: Millis,
    ) -> Option<u64> {
        let until = self.refused.get(content)?;
        Some(until.since(now)).filter(|left_ms| *left_ms > 0)
    }

    /// Returns whether one more crash may be enough for a request to be
    /// refused.
    pub fn is_near_refusal(&self, content: &RequestContent) -> bool {
        let crashes = self.crashes.values();
        let involved = crashes.filter(|one| one.in_flight.contains(content));
        involved.count() + 1 >= REFUSED_AFTER_CRASHES
    }

    /// Returns the refused requests that the store does not record yet, or may
    /// have lost.
    pub fn unrecorded(&self, now: Millis) -> Vec<RefusedReport> {
        let refused = self.refused.iter().filter(|(content, until)| {
            let is_recorded = self.recorded.contains_key(content)
                && !self.unconfirmed.contains(content);
            now < **until && !is_recorded
        });
        let reports = refused.map(|(content, until)| RefusedReport {
            content: *content,
            left_ms: until.since(now),
        });
        reports.collect()
    }

    /// Returns the requests that the store records as refused although an
    /// upstream has answered them.
    pub fn recorded_but_answered(&self) -> Vec<RequestContent> {
        let recorded = self.recorded.keys().copied();
        recorded
            .filter(|content| self.answered.contains_key(content))
            .collect()
    }

    /// Returns whether a crash of this start of an upstream is recorded.
    pub fn has_crashed(&self, upstream: UpstreamTag) -> bool {
        self.crashes.contains_key(&upstream)
    }

    /// Records a crash that this instance detected, with the requests that
    /// were in flight there without output.
    pub fn record_crash(
        &mut self,
        upstream: UpstreamTag,
        in_flight: impl IntoIterator<Item = RequestContent>,
        now: Millis,
    ) {
        if self.add_crash(upstream, now + self.retention_ms, in_flight) {
            self.pending.insert(Update::Crash(upstream));
            self.update_refused(now);
        }
    }

    /// Records that an upstream answered a request or began to answer it.
    ///
    /// Does nothing for a request that was in flight at no recorded crash.
    pub fn record_answer(&mut self, content: RequestContent, now: Millis) {
        let mut crashes = self.crashes.values();
        let is_suspect = crashes.any(|one| one.in_flight.contains(&content));
        let until = now + self.retention_ms;
        if is_suspect && insert_earliest(&mut self.answered, content, until) {
            self.pending.insert(Update::Answered(content));
            self.update_refused(now);
        }
    }

    /// Marks all records of the store as unconfirmed: the store was restored
    /// from a copy and may have lost some of them.
    pub fn on_store_restored(&mut self) {
        self.unconfirmed = self.recorded.keys().copied().collect();
    }

    /// Receives the requests that the store records as refused.
    pub fn receive_recorded(
        &mut self,
        refused: Vec<RefusedReport>,
        now: Millis,
    ) {
        for report in &refused {
            self.unconfirmed.remove(&report.content);
        }
        let reports = CrashReports { refused, ..CrashReports::default() };
        self.receive(&reports, now);
    }

    /// Merges the reports of another instance.
    ///
    /// Lists longer than this tracker may hold are truncated.
    pub fn receive(&mut self, reports: &CrashReports, now: Millis) {
        let mut is_changed = false;
        for report in reports.crashes.iter().take(MAX_CRASHES) {
            let until = now + report.left_ms.min(self.retention_ms);
            let in_flight = report.in_flight.iter().take(MAX_REQUESTS);
            let in_flight = in_flight.copied();
            is_changed |= self.add_crash(report.upstream, until, in_flight);
        }
        for report in reports.answered.iter().take(MAX_REQUESTS) {
            let until = now + report.left_ms.min(self.retention_ms);
            is_changed |=
                insert_earliest(&mut self.answered, report.content, until);
        }
        for report in reports.refused.iter().take(MAX_RECORDED) {
            let until = now + report.left_ms.min(self.retention_ms);
            is_changed |=
                insert_earliest(&mut self.recorded, report.content, until);
        }
        if is_changed {
            self.update_refused(now);
        }
    }

    /// Returns reports of all records that have not expired.
    pub fn reports(&self, now: Millis) -> CrashReports {
        let crashes = self.crashes.keys();
        let answered = self.answered.keys();
        CrashReports {
            crashes: crashes
                .filter_map(|one| self.crash_report(*one, now))
                .collect(),
            answered: answered
                .filter_map(|one| self.answered_report(*one, now))
                .collect(),
            refused: self
                .recorded
                .iter()
                .filter(|(_, until)| now < **until)
                .map(|(content, until)| RefusedReport {
                    content: *content,
                    left_ms: until.since(now),
                })
                .collect(),
        }
    }

    /// Takes the records of this instance's own that have not been sent yet.
    pub fn take_updates(&mut self, now: Millis) -> CrashReports {
        let mut reports = CrashReports::default();
        for one in std::mem::take(&mut self.pending) {
            match one {
                Update::Crash(upstream) => {
                    reports.crashes.extend(self.crash_report(upstream, now));
                }
                Update::Answered(content) => {
                    reports
                        .answered
                        .extend(self.answered_report(content, now));
                }
            }
        }
        reports
    }

    fn crash_report(
        &self,
        upstream: UpstreamTag,
        now: Millis,
    ) -> Option<CrashReport> {
        let crash = self.crashes.get(&upstream)?;
        (now < crash.until).then(|| CrashReport {
            upstream,
            left_ms: crash.until.since(now),
            in_flight: crash.in_flight.iter().copied().collect(),
        })
    }

    fn answered_report(
        &self,
        content: RequestContent,
        now: Millis,
    ) -> Option<AnsweredReport> {
        let until = *self.answered.get(&content)?;
        (now < until)
            .then(|| AnsweredReport { content, left_ms: until.since(now) })
    }

    /// Returns a hash of all records that have not expired, or 0 if there are
    /// none.
    ///
    /// Instances with the same records have the same digest. Expiry times are
    /// left out, since they differ by the transit times of reports.
    pub fn digest(&self, now: Millis) -> u64 {
        let reports = self.reports(now);
        if reports.is_empty() {
            return 0;
        }
        let mut hasher = Xxh3::new();
        for report in &reports.crashes {
            (report.upstream, &report.in_flight).hash(&mut hasher);
        }
        for report in &reports.answered {
            report.content.hash(&mut hasher);
        }
        for report in &reports.refused {
            report.content.hash(&mut hasher);
        }
        hasher.finish().max(1)
    }

    /// Deletes the records whose retention after expiry is over, and ends the
    /// refusals that have expired.
    pub fn prune(&mut self, now: Millis) {
        let is_kept =
            |until: Millis| now.since(until) < RETAINED_AFTER_EXPIRY_MS;
        self.crashes.retain(|_, crash| is_kept(crash.until));
        self.answered.retain(|_, until| is_kept(*until));
        self.recorded.retain(|_, until| is_kept(*until));
        self.unconfirmed.retain(|one| self.recorded.contains_key(one));
        if self.refused.values().any(|until| now >= *until) {
            self.update_refused(now);
        }
    }

    /// Adds a crash, or more requests to a known crash, and returns whether
    /// anything was added.
    fn add_crash(
        &mut self,
        upstream: UpstreamTag,
        until: Millis,
        in_flight: impl IntoIterator<Item = RequestContent>,
    ) -> bool {
        let is_new = !self.crashes.contains_key(&upstream);
        let crash = self
            .crashes
            .entry(upstream)
            .or_insert_with(|| Crash { until, in_flight: BTreeSet::new() });
        crash.until = crash.until.min(until);
        let before = crash.in_flight.len();
        crash.in_flight.extend(in_flight);
        let is_changed = is_new || crash.in_flight.len() > before;
        if is_changed {
            self.evict_excess();
        }
        is_changed
    }

    /// Evicts the oldest crashes and records beyond the limits.
    ///
    /// Crashes at which a refused request was in flight are evicted last:
    /// without them the refusal would end.
    fn evict_excess(&mut self) {
        loop {
            let in_flight = self.crashes.values().map(|c| c.in_flight.len());
            let is_full = in_flight.sum::<usize>() > MAX_REQUESTS
                || self.crashes.len() > MAX_CRASHES;
            if !is_full {
                break;
            }
            let is_explained = |crash: &Crash| {
                crash.in_flight.iter().any(|c| self.refused.contains_key(c))
            };
            let oldest = self
                .crashes
                .iter()
                .min_by_key(|(_, crash)| (is_explained(crash), crash.until));
            let Some(oldest) = oldest.map(|(tag, _)| *tag) else { break };
            self.crashes.remove(&oldest);
        }
        while self.recorded.len() > MAX_RECORDED {
            let oldest = self.recorded.iter().min_by_key(|(_, until)| **until);
            let Some(oldest) = oldest.map(|(content, _)| *content) else {
                break;
            };
            self.recorded.remove(&oldest);
        }
    }

    /// Recomputes the set of refused requests.
    fn update_refused(&mut self, now: Millis) {
        let is_answered =
            |content: &RequestContent| self.answered.contains_key(content);
        let crashes = self.crashes.iter().filter(|(_, c)| now < c.until);
        let crashes = crashes.map(|(tag, one)| (*tag, one.clone())).collect();
        let recorded = self.recorded.iter();
        let recorded: BTreeMap<RequestContent, Millis> = recorded
            .filter(|(content, until)| now < **until && !is_answered(content))
            .map(|(content, until)| (*content, *until))
            .collect();
        let mut refused =
            find_culprits(&crashes, recorded.keys().copied(), is_answered);
        refused.extend(recorded);
        if !refused.keys().eq(self.refused.keys()) {
            self.changes += 1;
        }
        self.refused = refused;
    }
}

/// Inserts a record with its expiry, or keeps the earlier of two expiries, and
/// returns whether the record is new.
fn insert_earliest(
    all: &mut BTreeMap<RequestContent, Millis>,
    content: RequestContent,
    until: Millis,
) -> bool {
    let is_new = !all.contains_key(&content);
    let known = all.entry(content).or_insert(until);
    *known = until.min(*known);
    is_new
}
