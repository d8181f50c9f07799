//! The crash records of one instance, and the refusals derived from them.

pub use self::parts::PartChange;

mod eviction;
mod parts;
mod reporting;

use std::collections::{BTreeMap, BTreeSet};

use super::{
    Crash, CrashReports, Culprit, Evidence, ExposureReport, Exposures,
    PART_REFUSED_AFTER_CRASHES, PartGroup, PartId, PartRecords,
    REFUSED_AFTER_CRASHES, Refusal, RequestContent, SuspicionReport,
    find_culprits, independence::outlived_after_ms,
    part_culprits::suspected_parts, suspicions::ReportedSuspicions,
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

/// A request that was in flight at a crash.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct InFlight {
    /// The request.
    pub content: RequestContent,
    /// The time for which the request had been in flight, in ms.
    pub for_ms: u64,
}

impl From<RequestContent> for InFlight {
    /// Returns the request as one that was sent just before the crash.
    fn from(content: RequestContent) -> Self {
        Self { content, for_ms: 0 }
    }
}

/// Whether a request may crash upstreams.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Suspicion {
    /// The request was answered, or was in flight at fewer than two crashes.
    None,
    /// The request may crash upstreams. Whoever sends the request must not
    /// send it to several upstreams at once.
    Suspect {
        /// The time in flight from which an upstream has outlived the request,
        /// in ms.
        outlived_after_ms: u64,
    },
    /// The request is refused.
    Refused {
        /// The time in flight from which an upstream has outlived the request,
        /// in ms.
        outlived_after_ms: u64,
    },
}

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
    /// Since when requests in flight at the crashes were, and upstreams that
    /// outlived some of these requests.
    exposures: Exposures,
    /// Suspects that an upstream has answered, with the expiry of the answer.
    answered: BTreeMap<RequestContent, Millis>,
    /// What the store records as refused, with expiry.
    recorded: BTreeMap<Culprit, Millis>,
    /// Those of `recorded` that a restored store may have lost.
    unconfirmed: BTreeSet<Culprit>,
    /// What the prompts of the requests in flight at the crashes share.
    parts: PartRecords,
    /// Derived from the records above: what is refused, with expiry.
    refused: BTreeMap<Culprit, Millis>,
    /// Derived from the records above: the parts that two crashes or more
    /// speak against, with these crashes and their expiry.
    suspected_parts: BTreeMap<PartId, Vec<(UpstreamTag, Millis)>>,
    /// Records of this instance's own that are not sent to others yet.
    pending: BTreeSet<Update>,
    /// How often the set of refused requests has changed.
    changes: u64,
    /// When `refused` was derived last.
    judged: Millis,
    /// How often any record was added.
    revision: u64,
    reported_suspicions: ReportedSuspicions,
    /// The refused parts that were reported last.
    reported_parts: BTreeSet<PartGroup>,
}

/// A record to send to other instances.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Update {
    Crash(UpstreamTag),
    Answered(RequestContent),
    Exposure(RequestContent, UpstreamTag),
}

impl CrashTracker {
    /// Creates an empty tracker whose records expire after `retention_ms`.
    pub fn new(retention_ms: u64) -> Self {
        Self {
            retention_ms,
            crashes: BTreeMap::new(),
            exposures: Exposures::default(),
            answered: BTreeMap::new(),
            recorded: BTreeMap::new(),
            unconfirmed: BTreeSet::new(),
            parts: PartRecords::default(),
            refused: BTreeMap::new(),
            suspected_parts: BTreeMap::new(),
            pending: BTreeSet::new(),
            changes: 0,
            judged: Millis::default(),
            revision: 0,
            reported_suspicions: ReportedSuspicions::default(),
            reported_parts: BTreeSet::new(),
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

    /// Returns how often a record was added.
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns whether a request may crash upstreams.
    pub fn suspicion(
        &self,
        content: &RequestContent,
        now: Millis,
    ) -> Suspicion {
        let is_refused = self.refused_ms(content, now).is_some();
        let is_suspect = self.is_near_refusal(content)
            && !self.answered.contains_key(content);
        if !is_refused && !is_suspect {
            return Suspicion::None;
        }
        let outlived_after_ms = self.outlived_after_ms(content);
        match is_refused {
            true => Suspicion::Refused { outlived_after_ms },
            false => Suspicion::Suspect { outlived_after_ms },
        }
    }

    /// Returns the time in flight from which an upstream has outlived a
    /// request, in ms: longer than the request was in flight at a crash.
    fn outlived_after_ms(&self, content: &RequestContent) -> u64 {
        let in_flight_ms = self.crashes.iter().filter_map(|(tag, crash)| {
            let sent_expiry = self.exposures.get(content, *tag)?;
            Some(crash.until.since(sent_expiry))
        });
        outlived_after_ms(in_flight_ms)
    }

    /// Returns when the last known crash happened at which a request was in
    /// flight, or `None` if there is none.
    pub fn last_crash(&self, content: &RequestContent) -> Option<Millis> {
        let crashes = self.crashes.values();
        let involved = crashes.filter(|one| one.in_flight.contains(content));
        let last_expiry = involved.map(|one| one.until).max()?;
        let at_ms = last_expiry.get().saturating_sub(self.retention_ms);
        Some(Millis::new(at_ms))
    }

    /// Returns how long a request is still refused, in ms, or `None` if the
    /// request is not refused.
    pub fn refused_ms(
        &self,
        content: &RequestContent,
        now: Millis,
    ) -> Option<u64> {
        let until = self.refused.get(&(*content).into())?;
        Some(until.since(now)).filter(|left_ms| *left_ms > 0)
    }

    /// Returns whether one more crash may be enough for a request to be
    /// refused.
    pub fn is_near_refusal(&self, content: &RequestContent) -> bool {
        self.crash_count(content) + 1 >= REFUSED_AFTER_CRASHES
    }

    /// Counts the known crashes at which a request was in flight.
    fn crash_count(&self, content: &RequestContent) -> usize {
        let crashes = self.crashes.values();
        crashes.filter(|one| one.in_flight.contains(content)).count()
    }

    /// Returns whether this instance knows enough crashes to decide whether
    /// to refuse a culprit, whatever the store records.
    fn can_judge(&self, culprit: &Culprit) -> bool {
        match culprit {
            Culprit::Request(content) => {
                self.crash_count(content) >= REFUSED_AFTER_CRASHES
            }
            Culprit::Parts(group) => {
                let crashes = self.crashes_of_group(group);
                crashes.count() >= PART_REFUSED_AFTER_CRASHES
            }
        }
    }

    /// Returns whether an upstream has answered the request that is refused.
    fn is_answered(&self, culprit: &Culprit) -> bool {
        match culprit {
            Culprit::Request(content) => self.answered.contains_key(content),
            Culprit::Parts(_) => false,
        }
    }

    /// Returns what is refused and the store does not record yet, or may have
    /// lost.
    pub fn unrecorded(&self, now: Millis) -> Vec<Refusal> {
        let refused = self.refused.iter().filter(|(culprit, until)| {
            let is_recorded = self.recorded.contains_key(culprit)
                && !self.unconfirmed.contains(culprit);
            now < **until && !is_recorded
        });
        let refusals = refused.map(|(culprit, until)| Refusal {
            culprit: culprit.clone(),
            left_ms: until.since(now),
        });
        refusals.collect()
    }

    /// Returns what the store records as refused although an upstream has
    /// answered it, or the crashes that this instance knows of do not speak
    /// against it.
    pub fn recorded_but_cleared(&self) -> Vec<Culprit> {
        let recorded = self.recorded.keys().cloned();
        let is_cleared = |culprit: &Culprit| {
            let is_judged = self.can_judge(culprit);
            let is_refused = self.refused.contains_key(culprit);
            self.is_answered(culprit) || (is_judged && !is_refused)
        };
        recorded.filter(is_cleared).collect()
    }

    /// Returns whether a crash of this start of an upstream is recorded.
    pub fn has_crashed(&self, upstream: UpstreamTag) -> bool {
        self.crashes.contains_key(&upstream)
    }

    /// Records a crash at `at` that this instance detected, with the requests
    /// that were in flight there without output.
    pub fn record_crash(
        &mut self,
        upstream: UpstreamTag,
        in_flight: impl IntoIterator<Item = InFlight>,
        at: Millis,
    ) {
        let until = at + self.retention_ms;
        let in_flight: Vec<InFlight> = in_flight.into_iter().collect();
        let contents = in_flight.iter().map(|one| one.content);
        let is_new = self.add_crash(upstream, until, contents);
        for one in &in_flight {
            let sent_expiry =
                Millis::new(until.get().saturating_sub(one.for_ms));
            self.exposures.insert(one.content, upstream, sent_expiry);
        }
        if is_new {
            self.pending.insert(Update::Crash(upstream));
            self.update_refused(at);
        }
    }

    /// Records that an upstream has outlived a suspected request, which was
    /// sent to the upstream at `sent`.
    pub fn record_survival(
        &mut self,
        content: RequestContent,
        upstream: UpstreamTag,
        sent: Millis,
        now: Millis,
    ) {
        let sent_expiry = sent + self.retention_ms;
        if self.exposures.insert(content, upstream, sent_expiry) {
            self.pending.insert(Update::Exposure(content, upstream));
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
        self.unconfirmed = self.recorded.keys().cloned().collect();
    }

    /// Receives what the store records as refused.
    pub fn receive_recorded(
        &mut self,
        refused: impl IntoIterator<Item = impl Into<Refusal>>,
        now: Millis,
    ) {
        let mut is_changed = false;
        for refusal in refused {
            let refusal = refusal.into();
            self.unconfirmed.remove(&refusal.culprit);
            is_changed |= self.add_recorded(refusal, now);
        }
        if is_changed {
            self.update_refused(now);
        }
    }

    /// Adds a record of the store, and returns whether it was unknown.
    fn add_recorded(&mut self, refusal: Refusal, now: Millis) -> bool {
        let until = now + refusal.left_ms.min(self.retention_ms);
        let is_new =
            insert_earliest(&mut self.recorded, refusal.culprit, until);
        if is_new {
            self.evict_excess();
        }
        is_new
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
            is_changed |= self.add_recorded((*report).into(), now);
        }
        for report in reports.exposures.iter().take(MAX_REQUESTS) {
            let ExposureReport { content, upstream, sent_left_ms } = *report;
            let sent_expiry = now + sent_left_ms.min(self.retention_ms);
            is_changed |=
                self.exposures.insert(content, upstream, sent_expiry);
        }
        if is_changed {
            self.update_refused(now);
        }
    }

    /// Takes the evidence against suspected requests that has changed since
    /// the last call.
    pub fn take_suspicions(&mut self, now: Millis) -> Vec<SuspicionReport> {
        let crashes = self.unexpired_crashes(now);
        let mut reported = std::mem::take(&mut self.reported_suspicions);
        let changes = reported.take_changes(
            self.evidence(&crashes, now),
            &self.refused,
            self.retention_ms,
            now,
        );
        self.reported_suspicions = reported;
        changes
    }

    fn evidence<'a>(
        &'a self,
        crashes: &'a BTreeMap<UpstreamTag, Crash>,
        now: Millis,
    ) -> Evidence<'a> {
        Evidence {
            crashes,
            exposures: &self.exposures,
            answered: &self.answered,
            parts: &self.parts,
            retention_ms: self.retention_ms,
            now,
        }
    }

    fn unexpired_crashes(&self, now: Millis) -> BTreeMap<UpstreamTag, Crash> {
        let crashes = self.crashes.iter().filter(|(_, c)| now < c.until);
        crashes.map(|(tag, one)| (*tag, one.clone())).collect()
    }

    /// Deletes the records whose retention after expiry is over, and ends the
    /// refusals that have expired.
    pub fn prune(&mut self, now: Millis) {
        let is_kept =
            |until: Millis| now.since(until) < RETAINED_AFTER_EXPIRY_MS;
        let known_crashes = self.crashes.len();
        self.crashes.retain(|_, crash| is_kept(crash.until));
        if self.crashes.len() < known_crashes {
            self.forget_unsuspected();
        }
        self.answered.retain(|_, until| is_kept(*until));
        self.recorded.retain(|_, until| is_kept(*until));
        self.unconfirmed.retain(|one| self.recorded.contains_key(one));
        self.parts.retain_cleared(is_kept);
        let has_expired = self.refused.values().any(|until| now >= *until);
        if has_expired {
            self.update_refused(now);
        }
        self.review_parts(now);
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

    /// Recomputes what is refused.
    fn update_refused(&mut self, now: Millis) {
        self.revision += 1;
        self.judged = now;
        let crashes = self.unexpired_crashes(now);
        self.suspected_parts = suspected_parts(self.evidence(&crashes, now));
        if self.clear_sound_parts() {
            self.suspected_parts =
                suspected_parts(self.evidence(&crashes, now));
        }
        let recorded = self.recorded.iter();
        let recorded: BTreeMap<Culprit, Millis> = recorded
            .filter(|(_, until)| now < **until)
            .filter(|(culprit, _)| !self.is_answered(culprit))
            .filter(|(culprit, _)| !self.can_judge(culprit))
            .map(|(culprit, until)| (culprit.clone(), *until))
            .collect();
        let evidence = self.evidence(&crashes, now);
        let mut refused = find_culprits(evidence, recorded.keys());
        refused.extend(recorded);
        if !refused.keys().eq(self.refused.keys()) {
            self.changes += 1;
        }
        self.refused = refused;
    }
}

/// Inserts a record with its expiry, or keeps the earlier of two expiries, and
/// returns whether the record is new.
fn insert_earliest<K: Ord>(
    all: &mut BTreeMap<K, Millis>,
    key: K,
    until: Millis,
) -> bool {
    let is_new = !all.contains_key(&key);
    let known = all.entry(key).or_insert(until);
    *known = until.min(*known);
    is_new
}
