//! The search for requests that crash the upstreams that run them.

use std::collections::{BTreeMap, BTreeSet};

use super::{Exposures, RequestContent};
use crate::{id::UpstreamTag, time::Millis};

/// Number of crashes after which a request is refused; users accept three.
pub const REFUSED_AFTER_CRASHES: usize = 3;

/// Crashes within this time, in ms, may have one common cause, such as the
/// loss of a rack.
const SIMULTANEOUS_MS: u64 = 100;

/// Maximum number of independent crashes after which a request is refused,
/// however many upstreams have outlived the request.
const MAX_NEEDED_CRASHES: usize = 8;

/// How many times as long as at the shortest of its crashes a request has to
/// be in flight at an upstream for the upstream to outlive the request.
const OUTLIVED_FACTOR: u64 = 2;

/// The time by which a request has to be in flight longer beyond that, in ms:
/// what a busy machine takes to notice a crash.
const OUTLIVED_MARGIN_MS: u64 = 50;

/// Returns the time in flight from which an upstream has outlived a request,
/// in ms, if the request was in flight at its crashes for `in_flight_ms`.
pub(super) fn outlived_after_ms(
    in_flight_ms: impl IntoIterator<Item = u64>,
) -> u64 {
    let shortest_ms = in_flight_ms.into_iter().min().unwrap_or(u64::MAX);
    shortest_ms
        .saturating_mul(OUTLIVED_FACTOR)
        .saturating_add(OUTLIVED_MARGIN_MS)
}

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
type Unexplained<'a> = BTreeMap<UpstreamTag, &'a Crash>;

/// The records from which culprits are found.
#[derive(Debug, Clone, Copy)]
pub struct Evidence<'a> {
    /// The unexpired crashes.
    pub crashes: &'a BTreeMap<UpstreamTag, Crash>,
    /// Since when requests were in flight at upstreams.
    pub exposures: &'a Exposures,
    /// The requests that an upstream has answered.
    pub answered: &'a BTreeMap<RequestContent, Millis>,
}

impl Evidence<'_> {
    /// Counts the upstreams that have outlived a request.
    pub fn survivors(&self, content: &RequestContent) -> usize {
        self.exposures.survivors(content, |upstream| {
            self.crashes.contains_key(&upstream)
        })
    }
}

/// Returns the requests that crash upstreams, each with the time from which
/// fewer than [`REFUSED_AFTER_CRASHES`] of its crashes are unexpired.
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
/// Crashes at which a request of `found_before` was in flight are explained by
/// that request and are left out.
pub fn find_culprits(
    evidence: Evidence<'_>,
    found_before: impl IntoIterator<Item = RequestContent>,
) -> BTreeMap<RequestContent, Millis> {
    let mut unexplained: Unexplained<'_> =
        evidence.crashes.iter().map(|(tag, crash)| (*tag, crash)).collect();
    for content in found_before {
        explain(&mut unexplained, content);
    }
    let mut found = BTreeMap::new();
    while let Some((content, until)) = next_culprit(&unexplained, evidence) {
        explain(&mut unexplained, content);
        found.insert(content, until);
    }
    found
}

/// Removes the crashes that a culprit explains.
fn explain(unexplained: &mut Unexplained<'_>, content: RequestContent) {
    unexplained.retain(|_, crash| !crash.in_flight.contains(&content));
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
        let Count { independent, outlived } =
            count(unexplained, content, &crashes);
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

/// A crash at which one request was in flight.
#[derive(Debug, Clone, Copy)]
struct Involvement<'a> {
    crash: &'a Crash,
    /// When the request was sent to the upstream, as the expiry of a crash at
    /// that moment.
    sent_expiry: Millis,
}

impl Involvement<'_> {
    /// Returns the time for which the request was in flight at the crash, in
    /// ms.
    fn in_flight_ms(&self) -> u64 {
        self.crash.until.since(self.sent_expiry)
    }
}

/// What the crashes at which a request was in flight say of the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Count {
    /// The number of independent crashes.
    independent: usize,
    /// The number of other crashes of upstreams that had outlived the request.
    outlived: usize,
}

/// Counts the crashes at which a request was in flight.
///
/// `crashes` is sorted by time. A crash is independent of the one before if
/// the request was sent to the upstream only after that crash: whatever
/// crashes several upstreams within a time, requests that were in flight at
/// all of them before are involved in each crash. A caller that repeats a
/// request which crashes upstreams sends it again after each crash.
fn count(
    unexplained: &Unexplained<'_>,
    content: RequestContent,
    crashes: &[Involvement<'_>],
) -> Count {
    let mut waves: Vec<Wave<'_>> = Vec::new();
    for one in crashes {
        let has_common_cause = waves.last().is_some_and(|wave| {
            is_simultaneous(one.crash, wave.first.crash)
                && crashes_without(unexplained, content, wave.first.crash)
        });
        match waves.last_mut() {
            Some(wave) if has_common_cause => {
                wave.has_common_cause = true;
                wave.others.push(*one);
            }
            Some(wave) if one.sent_expiry < wave.first.crash.until => {
                wave.others.push(*one);
            }
            _ => waves.push(Wave::new(*one)),
        }
    }
    let outlived_after_ms =
        outlived_after_ms(crashes.iter().map(Involvement::in_flight_ms));
    let others = waves.iter().flat_map(|wave| &wave.others);
    let outlived = others.filter(|one| one.in_flight_ms() > outlived_after_ms);
    Count {
        outlived: outlived.count(),
        independent: waves.iter().map(Wave::independent).sum(),
    }
}

/// Crashes that are not independent of one another.
#[derive(Debug, Clone)]
struct Wave<'a> {
    /// The first crash.
    first: Involvement<'a>,
    /// The crashes of upstreams that the request was sent to before the first.
    others: Vec<Involvement<'a>>,
    /// Whether an upstream without the request crashed at the same time.
    has_common_cause: bool,
}

impl<'a> Wave<'a> {
    fn new(first: Involvement<'a>) -> Self {
        Self { first, others: Vec::new(), has_common_cause: false }
    }

    /// Returns how many independent crashes the wave counts for.
    ///
    /// The crashes count for two if all upstreams crashed as long after the
    /// send, since several callers may send a request at the same time.
    fn independent(&self) -> usize {
        let first_ms = self.first.in_flight_ms();
        let is_alike = |one: &Involvement<'_>| {
            one.in_flight_ms().abs_diff(first_ms) <= OUTLIVED_MARGIN_MS
        };
        let is_sent_together = !self.others.is_empty()
            && !self.has_common_cause
            && self.others.iter().all(is_alike);
        match is_sent_together {
            true => 2,
            false => 1,
        }
    }
}

/// Returns whether two crashes happened at about the same time.
fn is_simultaneous(one: &Crash, other: &Crash) -> bool {
    one.until.since(other.until) <= SIMULTANEOUS_MS
        && other.until.since(one.until) <= SIMULTANEOUS_MS
}

/// Returns whether an upstream without the request crashed at about the time
/// of a crash.
fn crashes_without(
    unexplained: &Unexplained<'_>,
    content: RequestContent,
    at: &Crash,
) -> bool {
    unexplained.values().any(|crash| {
        is_simultaneous(crash, at) && !crash.in_flight.contains(&content)
    })
}
