//! The evidence against requests that may crash upstreams, for the log.

use std::collections::BTreeMap;

use super::{Culprit, Evidence, REFUSED_AFTER_CRASHES, RequestContent};
use crate::{id::UpstreamTag, time::Millis};

/// A crash at which a suspected request was in flight.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SuspectedCrash {
    /// The start of the upstream.
    pub upstream: UpstreamTag,
    /// The time since the crash, in ms.
    pub ago_ms: u64,
    /// The time for which the request was in flight at the crash, in ms, or
    /// `None` if the instance that reported the crash did not state the time.
    pub in_flight_ms: Option<u64>,
}

/// The evidence against one request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SuspicionReport {
    /// The request.
    pub content: RequestContent,
    /// Whether the request is refused.
    pub refused: bool,
    /// The number of upstreams that have outlived the request.
    pub survivors: usize,
    /// The crashes, the earliest first.
    pub crashes: Vec<SuspectedCrash>,
}

/// The number of crashes from which further ones are not reported: after the
/// loss of many upstreams, thousands of requests may be suspected.
const MAX_REPORTED: usize = REFUSED_AFTER_CRASHES + 1;

/// The evidence that was last reported about a request: the number of crashes
/// and of survivors, and whether the request is refused.
type Reported = (usize, usize, bool);

/// The evidence that was last reported about each suspected request.
#[derive(Debug, Clone, Default)]
pub(super) struct ReportedSuspicions {
    by_request: BTreeMap<RequestContent, Reported>,
}

impl ReportedSuspicions {
    /// Returns the evidence against each request that was in flight at one
    /// crash less than a refusal takes, or more, and that no upstream
    /// answered, if the evidence has changed since the last call. Crashes
    /// beyond the first four are no change.
    ///
    /// A crash `retention_ms` ago expires now.
    pub(super) fn take_changes(
        &mut self,
        evidence: Evidence<'_>,
        refused: &BTreeMap<Culprit, Millis>,
        retention_ms: u64,
        now: Millis,
    ) -> Vec<SuspicionReport> {
        let mut suspected = suspected_requests(evidence);
        self.by_request.retain(|one, _| suspected.contains_key(one));
        let mut reports = Vec::new();
        for (content, tags) in &mut suspected {
            let survivors = evidence.survivors(content);
            let is_refused = refused.contains_key(&(*content).into());
            let crashes = tags.len().min(MAX_REPORTED);
            let reported = (crashes, survivors, is_refused);
            if self.by_request.insert(*content, reported) == Some(reported) {
                continue;
            }
            tags.sort_by_key(|tag| evidence.crashes[tag].until);
            let crashes = tags.iter().map(|tag| {
                let until = evidence.crashes[tag].until;
                let sent_expiry = evidence.exposures.get(content, *tag);
                SuspectedCrash {
                    upstream: *tag,
                    ago_ms: retention_ms.saturating_sub(until.since(now)),
                    in_flight_ms: sent_expiry.map(|sent| until.since(sent)),
                }
            });
            reports.push(SuspicionReport {
                content: *content,
                refused: is_refused,
                survivors,
                crashes: crashes.collect(),
            });
        }
        reports
    }
}

/// Returns the unanswered requests that were in flight at one crash less than
/// a refusal takes, or more, with these crashes.
fn suspected_requests(
    evidence: Evidence<'_>,
) -> BTreeMap<RequestContent, Vec<UpstreamTag>> {
    let mut by_request: BTreeMap<RequestContent, Vec<UpstreamTag>> =
        BTreeMap::new();
    for (tag, crash) in evidence.crashes {
        for content in &crash.in_flight {
            by_request.entry(*content).or_default().push(*tag);
        }
    }
    by_request.retain(|content, tags| {
        tags.len() + 1 >= REFUSED_AFTER_CRASHES
            && !evidence.answered.contains_key(content)
    });
    by_request
}
