//! The request limits that upstreams state in their answers.
//!
//! An upstream that is short of a resource states in its answers how many
//! requests per second it accepts from all instances together. The limit
//! applies until an answer omits it. Each instance records the limits by
//! upstream and sends each change to the other instances. The reports about
//! one upstream are numbered, so that all instances converge on the same
//! limit in whatever order the reports arrive.

use std::{cmp::Reverse, collections::BTreeMap};

use serde::{Deserialize, Serialize};

use super::identity::UpstreamStart;
use crate::time::Millis;

/// The time after an answer to this instance stated a limit for which another
/// instance's report that the limit has ended is contradicted, in ms. Such a
/// report may have been sent before the answer; no report is in transit for
/// longer than this.
const CONTRADICTION_MS: u64 = 1_000;

/// The least rate that is applied, in requests per second: an upstream that
/// gets no request at all could never state that its limit has ended.
const MIN_RATE: f64 = 0.05;

/// The number of requests per second that an upstream accepts from all
/// instances together.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct RequestRate {
    thousandths: u32,
}

impl RequestRate {
    /// Creates a rate from requests per second, or returns `None` if the
    /// number is negative or not finite.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    pub fn from_per_second(requests_per_second: f64) -> Option<Self> {
        let is_rate =
            requests_per_second.is_finite() && requests_per_second >= 0.0;
        let thousandths = (requests_per_second * 1_000.0) as u32;
        is_rate.then_some(Self { thousandths })
    }

    /// Returns the rate to apply, in requests per second.
    pub fn per_second(self) -> f64 {
        (f64::from(self.thousandths) / 1_000.0).max(MIN_RATE)
    }
}

/// The limit that an answer states for the upstream that sent the answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StatedLimit {
    /// The answer states no limit.
    Absent,
    /// The limit cannot be parsed, and the recorded limit stays.
    Unreadable,
    /// The answer states this limit.
    Rate(RequestRate),
}

impl StatedLimit {
    /// Combines the limits in several headers of an answer: the least limit
    /// applies. `None` stands for a header that cannot be parsed.
    pub fn least(stated: impl Iterator<Item = Option<RequestRate>>) -> Self {
        stated.fold(Self::Absent, |least, rate| match (rate, least) {
            (Some(rate), Self::Rate(known)) => Self::Rate(known.min(rate)),
            (Some(rate), _) => Self::Rate(rate),
            (None, Self::Absent) => Self::Unreadable,
            (None, known) => known,
        })
    }
}

/// The report of an instance about the limit of one start of an upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitReport {
    /// The start of the upstream.
    pub start: UpstreamStart,
    /// The number of the report; a greater number is later.
    pub number: u64,
    /// The limit, or `None` if the limit has ended.
    pub limit: Option<RequestRate>,
}

impl LimitReport {
    /// Returns the key that orders the reports about one start. Of two reports
    /// with the same number, the report with the lower limit wins.
    fn rank(&self) -> (u64, Option<Reverse<RequestRate>>) {
        (self.number, self.limit.map(Reverse))
    }
}

/// The result of merging another instance's report.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LimitMerge {
    /// The report is not newer than the recorded one.
    Unchanged,
    /// The report replaces the recorded one.
    Applied,
    /// An answer has just stated otherwise to this instance. The contained
    /// report has to be sent to the other instances.
    Contradicted(LimitReport),
}

#[derive(Debug, Clone)]
struct Entry {
    report: LimitReport,
    /// When an answer or a report last confirmed the recorded report.
    confirmed_at: Millis,
    /// When an answer to this instance last stated the limit.
    stated_at: Option<Millis>,
}

/// The limits of upstreams, as recorded by one instance.
#[derive(Debug, Clone, Default)]
pub struct UpstreamLimits {
    known: BTreeMap<UpstreamStart, Entry>,
}

impl UpstreamLimits {
    /// Records the limit stated in the answer to a request that was sent at
    /// `sent`. Returns the report to send if the limit changed.
    ///
    /// The absence of a limit counts only if the request was sent after the
    /// limit was last confirmed; an earlier request may have been answered
    /// before the upstream stated the limit.
    pub fn on_answer(
        &mut self,
        start: &UpstreamStart,
        sent: Millis,
        stated: StatedLimit,
        now: Millis,
    ) -> Option<LimitReport> {
        let known = self.known.get_mut(start);
        let limit = match (stated, known.as_ref()) {
            (StatedLimit::Rate(rate), _) => Some(rate),
            (StatedLimit::Absent, Some(known))
                if sent > known.confirmed_at =>
            {
                None
            }
            (StatedLimit::Absent | StatedLimit::Unreadable, _) => return None,
        };
        let stated_at = limit.map(|_| now);
        if let Some(known) = known
            && known.report.limit == limit
        {
            known.confirmed_at = now;
            known.stated_at = stated_at.or(known.stated_at);
            return None;
        }
        let number = self.number(start).saturating_add(1);
        let report = LimitReport { start: start.clone(), number, limit };
        let entry =
            Entry { report: report.clone(), confirmed_at: now, stated_at };
        self.known.insert(start.clone(), entry);
        Some(report)
    }

    /// Merges another instance's report.
    pub fn merge(&mut self, report: &LimitReport, now: Millis) -> LimitMerge {
        if let Some(known) = self.known.get_mut(&report.start) {
            if report.rank() <= known.report.rank() {
                return LimitMerge::Unchanged;
            }
            let was_just_stated = known
                .stated_at
                .is_some_and(|at| now.since(at) < CONTRADICTION_MS);
            if report.limit.is_none() && was_just_stated {
                known.report.number = report.number.saturating_add(1);
                return LimitMerge::Contradicted(known.report.clone());
            }
        }
        let report = report.clone();
        let start = report.start.clone();
        let entry = Entry { report, confirmed_at: now, stated_at: None };
        self.known.insert(start, entry);
        LimitMerge::Applied
    }

    /// Returns the limit of a start, or `None` if the start has no limit.
    pub fn rate(&self, start: &UpstreamStart) -> Option<RequestRate> {
        self.known.get(start)?.report.limit
    }

    /// Returns the recorded report about a start, or `None` if there is none.
    pub fn report(&self, start: &UpstreamStart) -> Option<&LimitReport> {
        self.known.get(start).map(|known| &known.report)
    }

    /// Returns all recorded reports.
    pub fn reports(&self) -> impl Iterator<Item = &LimitReport> {
        self.known.values().map(|known| &known.report)
    }

    /// Reports whether no report is recorded.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// Removes the reports about starts for which `known` returns `false`.
    pub fn prune(&mut self, known: impl Fn(&UpstreamStart) -> bool) {
        self.known.retain(|start, _| known(start));
    }

    fn number(&self, start: &UpstreamStart) -> u64 {
        self.report(start).map_or(0, |report| report.number)
    }
}
