//! The request limits that upstreams state in their answers.
//!
//! An upstream that is short of a resource states in its answers how many
//! requests per second it accepts from all instances together. The limit
//! applies until an answer omits it. Each instance records the limits by
//! upstream and sends each change to the other instances.
//!
//! The reports about one upstream are numbered, so that all instances converge
//! on the same limit in whatever order the reports arrive. An answer that
//! states the limit again raises the number as well: the end of a limit then
//! replaces exactly those statements that its sender knew of when it sent the
//! request.

use std::{cmp::Reverse, collections::BTreeMap};

use serde::{Deserialize, Serialize};

use super::identity::UpstreamStart;

/// The greatest number of a report. No upstream gives this many answers, so a
/// report with a greater number is forged and ignored.
const MAX_NUMBER: u64 = 1 << 48;

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

/// The effect of an answer on the limit of the upstream that sent it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AnswerEffect {
    /// The answer says nothing new.
    Unchanged,
    /// The answer states the recorded limit again. The contained report has to
    /// be sent to the grantor of the upstream's permits, from which instances
    /// learn the number before their next request.
    Confirmed(LimitReport),
    /// The limit changed. The contained report has to be sent to the other
    /// instances.
    Changed(LimitReport),
}

/// The result of merging another instance's report.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LimitMerge {
    /// The report is not newer than the recorded one.
    Unchanged,
    /// The report confirms the recorded limit.
    Confirmed,
    /// The report replaces the recorded limit.
    Applied,
    /// An answer to this instance has stated a limit that the sender of the
    /// report did not know of. The contained report has to be sent to the
    /// other instances.
    Contradicted(LimitReport),
}

#[derive(Debug, Clone)]
struct Entry {
    report: LimitReport,
    /// Whether the report results from an answer to this instance.
    is_own: bool,
}

/// The limits of upstreams, as recorded by one instance.
#[derive(Debug, Clone, Default)]
pub struct UpstreamLimits {
    known: BTreeMap<UpstreamStart, Entry>,
}

impl UpstreamLimits {
    /// Records the limit stated in the answer to a request.
    ///
    /// `number_at_send` is the [`number`](Self::number) when the request was
    /// sent. The absence of a limit counts only if no later statement has
    /// become known since: an earlier request may have been answered before
    /// the upstream stated the limit.
    pub fn on_answer(
        &mut self,
        start: &UpstreamStart,
        number_at_send: u64,
        stated: StatedLimit,
    ) -> AnswerEffect {
        let known = self.report(start);
        let recorded = known.and_then(|known| known.limit);
        let number = known.map_or(0, |known| known.number);
        let limit = match stated {
            StatedLimit::Rate(rate) => Some(rate),
            StatedLimit::Absent
                if recorded.is_some() && number == number_at_send =>
            {
                None
            }
            StatedLimit::Absent | StatedLimit::Unreadable => {
                return AnswerEffect::Unchanged;
            }
        };
        let number = (number + 1).min(MAX_NUMBER);
        let report = LimitReport { start: start.clone(), number, limit };
        let entry = Entry { report: report.clone(), is_own: true };
        self.known.insert(start.clone(), entry);
        match limit == recorded {
            true => AnswerEffect::Confirmed(report),
            false => AnswerEffect::Changed(report),
        }
    }

    /// Merges another instance's report.
    pub fn merge(&mut self, report: &LimitReport) -> LimitMerge {
        let known = self.known.get(&report.start);
        let recorded = known.and_then(|known| known.report.limit);
        let is_other = report.limit != recorded;
        let is_later = known
            .is_none_or(|known| report.rank() > known.report.rank())
            && report.number <= MAX_NUMBER;
        if !is_later {
            let contradicts = |known: &&Entry| {
                is_other && known.is_own && known.report.limit.is_some()
            };
            return match known.filter(contradicts) {
                Some(known) => LimitMerge::Contradicted(known.report.clone()),
                None => LimitMerge::Unchanged,
            };
        }
        let entry = Entry { report: report.clone(), is_own: false };
        self.known.insert(report.start.clone(), entry);
        match is_other {
            true => LimitMerge::Applied,
            false => LimitMerge::Confirmed,
        }
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

    /// Returns the number of the recorded report about a start, or 0 if there
    /// is none.
    pub fn number(&self, start: &UpstreamStart) -> u64 {
        self.report(start).map_or(0, |report| report.number)
    }
}
