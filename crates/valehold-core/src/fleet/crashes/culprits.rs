//! The search for requests that crash the upstreams that run them.

use std::collections::{BTreeMap, BTreeSet};

use super::RequestContent;
use crate::{id::UpstreamTag, time::Millis};

/// Number of crashes after which a request is refused; users accept three.
pub const REFUSED_AFTER_CRASHES: usize = 3;

/// Crashes within this time, in ms, may have one common cause, such as the
/// loss of a rack.
const SIMULTANEOUS_MS: u64 = 100;

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

/// Returns the requests that crash upstreams, each with the time from which
/// fewer than [`REFUSED_AFTER_CRASHES`] of its crashes are unexpired.
///
/// A request that crashes upstreams is in flight at each of the crashes and is
/// never answered. Harmless requests are in flight beside it, some of them at
/// several crashes, since requests that fail together are retried together. So
/// a request is a culprit only if
///
/// - `is_answered` returns `false` for the request,
/// - the request was in flight at [`REFUSED_AFTER_CRASHES`] crashes that no
///   other culprit explains,
/// - no other unanswered request was in flight at all of these crashes, and
/// - these crashes are independent: crashes within 100 ms count as one if an
///   upstream without the request crashed at the same time, since all of them
///   may have a common cause.
///
/// Two requests that were in flight at the same crashes are both allowed until
/// one of them is answered or is in flight at another crash without the other.
///
/// Crashes at which a request of `found_before` was in flight are explained by
/// that request and are left out.
pub fn find_culprits(
    crashes: &BTreeMap<UpstreamTag, Crash>,
    found_before: impl IntoIterator<Item = RequestContent>,
    is_answered: impl Fn(&RequestContent) -> bool,
) -> BTreeMap<RequestContent, Millis> {
    let mut unexplained: Unexplained<'_> =
        crashes.iter().map(|(tag, crash)| (*tag, crash)).collect();
    for content in found_before {
        explain(&mut unexplained, content);
    }
    let mut found = BTreeMap::new();
    while let Some((content, until)) = next_culprit(&unexplained, &is_answered)
    {
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
    is_answered: &impl Fn(&RequestContent) -> bool,
) -> Option<(RequestContent, Millis)> {
    let mut by_request: BTreeMap<RequestContent, Vec<&Crash>> =
        BTreeMap::new();
    for crash in unexplained.values() {
        for content in &crash.in_flight {
            by_request.entry(*content).or_default().push(crash);
        }
    }
    by_request.retain(|content, crashes| {
        crashes.len() >= REFUSED_AFTER_CRASHES && !is_answered(content)
    });
    let eligible =
        by_request.into_iter().filter_map(|(content, mut crashes)| {
            crashes.sort_by_key(|crash| crash.until);
            let independent =
                count_independent(unexplained, content, &crashes);
            let is_alone = is_only_candidate(content, &crashes, is_answered);
            let first_needed =
                crashes.len().checked_sub(REFUSED_AFTER_CRASHES)?;
            (independent >= REFUSED_AFTER_CRASHES && is_alone).then_some((
                independent,
                content,
                crashes[first_needed].until,
            ))
        });
    let best = eligible
        .max_by_key(|(independent, content, _)| (*independent, *content))?;
    Some((best.1, best.2))
}

/// Counts the independent crashes at which a request was in flight.
///
/// `crashes` is sorted by time. Simultaneous crashes count as one if an
/// upstream without the request crashed at the same time.
fn count_independent(
    unexplained: &Unexplained<'_>,
    content: RequestContent,
    crashes: &[&Crash],
) -> usize {
    let mut remaining = crashes;
    let mut independent = 0;
    while let Some(first) = remaining.first() {
        let is_simultaneous = |crash: &&Crash| {
            crash.until.since(first.until) <= SIMULTANEOUS_MS
                && first.until.since(crash.until) <= SIMULTANEOUS_MS
        };
        let simultaneous =
            remaining.iter().take_while(|one| is_simultaneous(one)).count();
        let mut others = unexplained.values();
        let has_common_cause = others.any(|crash| {
            is_simultaneous(crash) && !crash.in_flight.contains(&content)
        });
        independent += match has_common_cause {
            true => 1,
            false => simultaneous,
        };
        remaining = &remaining[simultaneous..];
    }
    independent
}

/// Returns whether no other unanswered request was in flight at all of the
/// crashes.
fn is_only_candidate(
    content: RequestContent,
    crashes: &[&Crash],
    is_answered: &impl Fn(&RequestContent) -> bool,
) -> bool {
    let Some((first, remaining)) = crashes.split_first() else { return false };
    let mut others = first
        .in_flight
        .iter()
        .filter(|other| **other != content && !is_answered(other));
    !others
        .any(|other| remaining.iter().all(|one| one.in_flight.contains(other)))
}
