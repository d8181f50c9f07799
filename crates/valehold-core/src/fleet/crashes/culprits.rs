//! The search for what crashes upstreams: requests, and parts of prompts.

use std::collections::{BTreeMap, BTreeSet};

use super::{
    Culprit, Exposures, PartRecords, RequestContent,
    independence::{Count, Involvement, count},
    part_culprits::next_part_culprits,
};
use crate::{id::UpstreamTag, time::Millis};

/// Number of crashes after which a request is refused; users accept three.
pub const REFUSED_AFTER_CRASHES: usize = 3;

/// Maximum number of independent crashes after which a request is refused,
/// however many upstreams have outlived the request.
const MAX_NEEDED_CRASHES: usize = 8;

/// Returns the number of independent crashes after which a request is refused
/// that a number of upstreams have outlived.
///
/// One of them may be an upstream at which the request waits in a queue.
/// Several speak for the request, but no number of them allows it to crash
/// upstreams for ever.
fn needed_crashes(survivors: usize) -> usize {
    match survivors {
        0 | 1 => REFUSED_AFTER_CRASHES,
        _ => (survivors + 2).min(MAX_NEEDED_CRASHES),
    }
}

/// A crash of one start of an upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Crash {
    /// When the crash expires. Every crash is kept for the same time, so the
    /// expiries of two crashes are as far apart as the crashes.
    pub until: Millis,
    /// The requests that were in flight there without output.
    pub in_flight: BTreeSet<RequestContent>,
}

/// Crashes whose cause has not been found.
pub(super) type Unexplained<'a> = BTreeMap<UpstreamTag, &'a Crash>;

/// The records from which culprits are found.
#[derive(Debug, Clone, Copy)]
pub struct Evidence<'a> {
    /// The unexpired crashes.
    pub crashes: &'a BTreeMap<UpstreamTag, Crash>,
    /// Since when requests were in flight at upstreams.
    pub exposures: &'a Exposures,
    /// The requests that an upstream has answered.
    pub answered: &'a BTreeMap<RequestContent, Millis>,
    /// The prompts of these requests, and which parts were cleared.
    pub parts: &'a PartRecords,
    /// The time after which a crash expires, in ms.
    pub retention_ms: u64,
    /// The time of the decision.
    pub now: Millis,
}

impl Evidence<'_> {
    /// Counts the upstreams that have outlived a request.
    pub fn survivors(&self, content: &RequestContent) -> usize {
        self.exposures.survivors(content, |upstream| {
            self.crashes.contains_key(&upstream)
        })
    }

    /// Returns all crashes, as long as none is explained.
    pub(super) fn unexplained(&self) -> Unexplained<'_> {
        self.crashes.iter().map(|(tag, crash)| (*tag, crash)).collect()
    }

    /// Returns whether a culprit was in flight at a crash.
    pub(super) fn is_at(&self, culprit: &Culprit, crash: &Crash) -> bool {
        match culprit {
            Culprit::Request(content) => crash.in_flight.contains(content),
            Culprit::Parts(group) => self.parts.is_group_at(group, crash),
        }
    }

    /// Returns the time since a crash, in ms.
    pub(super) fn age_ms(&self, crash: &Crash) -> u64 {
        (self.now + self.retention_ms).since(crash.until)
    }
}

/// Returns the requests and the parts of prompts that crash upstreams, each
/// with the time from which too few of its crashes for a refusal are unexpired.
///
/// A request that crashes upstreams is in flight at each of the crashes and is
/// never answered. Harmless requests are in flight beside it, some of them at
/// several crashes, since requests that fail together are retried together.
/// Where many upstreams crash for another reason, requests that many callers
/// repeat are in flight at all of them. So a request is a culprit only if
///
/// - no upstream has answered the request,
/// - the request was in flight at [`REFUSED_AFTER_CRASHES`] crashes that no
///   other culprit explains,
/// - these crashes are independent of one another, and more of them the more
///   upstreams have outlived the request, and
/// - no other request of which all this is true was in flight at all of these
///   crashes.
///
/// Two requests that were in flight at the same crashes are both allowed until
/// one of them is answered or is in flight at another crash without the other.
///
/// Parts of prompts come first: the requests that hold a part are no two alike
/// and crash few upstreams each, while harmless requests beside them are sent
/// again after each crash.
///
/// Crashes at which a culprit of `found_before` was in flight are explained by
/// that culprit and are left out.
pub fn find_culprits<'a>(
    evidence: Evidence<'_>,
    found_before: impl IntoIterator<Item = &'a Culprit>,
) -> BTreeMap<Culprit, Millis> {
    let mut unexplained = evidence.unexplained();
    for culprit in found_before {
        explain(&mut unexplained, evidence, culprit);
    }
    let mut found = find_part_culprits(unexplained.clone(), evidence);
    for culprit in found.keys() {
        explain(&mut unexplained, evidence, culprit);
    }
    while let Some((content, until)) = next_culprit(&unexplained, evidence) {
        let culprit = Culprit::Request(content);
        explain(&mut unexplained, evidence, &culprit);
        found.insert(culprit, until);
    }
    found
}

/// Returns the parts of prompts that crash upstreams, with their expiry.
fn find_part_culprits(
    mut unexplained: Unexplained<'_>,
    evidence: Evidence<'_>,
) -> BTreeMap<Culprit, Millis> {
    let all = unexplained.clone();
    let mut found = BTreeMap::new();
    loop {
        let groups = next_part_culprits(&unexplained, evidence);
        if groups.is_empty() {
            break;
        }
        for one in groups {
            let culprit = Culprit::Parts(one.group);
            explain(&mut unexplained, evidence, &culprit);
            found.insert(culprit, one.until);
        }
    }
    while let Some(redundant) = redundant_culprit(&all, evidence, &found) {
        found.remove(&redundant);
    }
    found
}

/// Returns a culprit at whose crashes others were in flight, too. A harmless
/// part may have been found first, by crashes that the culprits found after it
/// caused.
fn redundant_culprit(
    crashes: &Unexplained<'_>,
    evidence: Evidence<'_>,
    found: &BTreeMap<Culprit, Millis>,
) -> Option<Culprit> {
    let is_needed = |culprit: &Culprit| {
        crashes.values().any(|crash| {
            let mut others = found.keys().filter(|other| *other != culprit);
            evidence.is_at(culprit, crash)
                && !others.any(|other| evidence.is_at(other, crash))
        })
    };
    let number = |culprit: &Culprit| {
        let crashes = crashes.values();
        crashes.filter(|crash| evidence.is_at(culprit, crash)).count()
    };
    let redundant = found.keys().filter(|culprit| !is_needed(culprit));
    redundant.min_by_key(|culprit| number(culprit)).cloned()
}

/// Removes the crashes that a culprit explains.
fn explain(
    unexplained: &mut Unexplained<'_>,
    evidence: Evidence<'_>,
    culprit: &Culprit,
) {
    unexplained.retain(|_, crash| !evidence.is_at(culprit, crash));
}

/// Returns the culprit that explains the most crashes, with its expiry.
fn next_culprit(
    unexplained: &Unexplained<'_>,
    evidence: Evidence<'_>,
) -> Option<(RequestContent, Millis)> {
    let mut by_request: BTreeMap<RequestContent, Vec<Involvement<'_>>> =
        BTreeMap::new();
    for (tag, crash) in unexplained {
        for content in &crash.in_flight {
            let sent_expiry = evidence.exposures.get(content, *tag);
            by_request.entry(*content).or_default().push(Involvement {
                crash,
                sent_expiry: sent_expiry.unwrap_or(crash.until),
            });
        }
    }
    by_request.retain(|content, crashes| {
        crashes.len() >= REFUSED_AFTER_CRASHES
            && !evidence.answered.contains_key(content)
    });
    let suspects: BTreeMap<RequestContent, Suspect<'_>> = by_request
        .into_iter()
        .filter_map(|(content, crashes)| {
            let suspect =
                Suspect::find(unexplained, evidence, content, crashes)?;
            Some((content, suspect))
        })
        .collect();
    let culprits = suspects.iter().filter(|(content, suspect)| {
        let mut others = suspects.keys().filter(|other| other != content);
        !others.any(|other| suspect.is_beside(*other))
    });
    let (content, culprit) = culprits
        .max_by_key(|(content, suspect)| (suspect.independent, **content))?;
    Some((*content, culprit.until))
}

/// A request that was in flight at as many independent crashes as a refusal
/// takes.
#[derive(Debug, Clone)]
struct Suspect<'a> {
    crashes: Vec<Involvement<'a>>,
    /// The number of independent crashes.
    independent: usize,
    /// The time from which fewer crashes than a refusal takes are unexpired.
    until: Millis,
}

impl<'a> Suspect<'a> {
    /// Returns the suspect, or `None` if the crashes at which the request was
    /// in flight do not suffice.
    fn find(
        unexplained: &Unexplained<'_>,
        evidence: Evidence<'_>,
        content: RequestContent,
        mut crashes: Vec<Involvement<'a>>,
    ) -> Option<Self> {
        crashes.sort_by_key(|one| one.crash.until);
        let is_involved = |crash: &Crash| crash.in_flight.contains(&content);
        let Count { independent, outlived, .. } =
            count(unexplained, &is_involved, &crashes);
        let survivors = evidence.survivors(&content) + outlived;
        if independent < needed_crashes(survivors) {
            return None;
        }
        let first_needed = crashes.len().checked_sub(REFUSED_AFTER_CRASHES)?;
        let until = crashes[first_needed].crash.until;
        Some(Self { crashes, independent, until })
    }

    /// Returns whether another request was in flight at all of the crashes.
    fn is_beside(&self, other: RequestContent) -> bool {
        let mut crashes = self.crashes.iter();
        crashes.all(|one| one.crash.in_flight.contains(&other))
    }
}
