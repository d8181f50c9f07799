//! Which requests crash the upstreams that run them.

use std::collections::{BTreeMap, BTreeSet};

use super::RequestContent;
use crate::{id::UpstreamTag, time::Millis};

/// After how many crashes a request is refused: users accept three.
pub const REFUSED_AFTER: usize = 3;

/// Crashes within so many ms may have one cause, such as the loss of a rack.
const TOGETHER_MS: u64 = 100;

/// A start of an upstream that crashed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Crash {
    /// Until when it counts: as long after each crash.
    pub until: Millis,
    /// The requests that were there and had no output yet.
    pub under_way: BTreeSet<RequestContent>,
}

/// Crashes for which no cause is known yet.
type Unexplained<'a> = BTreeMap<UpstreamTag, &'a Crash>;

/// Returns the requests that crash upstreams, each with the moment from which
/// on fewer than [`REFUSED_AFTER`] crashes speak against it.
///
/// A request that crashes upstreams is under way at each of their crashes, and
/// is never answered. Others were beside it, some of them more than once,
/// since requests move on together. So a request is found only if
///
/// - `is_answered` does not hold for it,
/// - it was under way at [`REFUSED_AFTER`] crashes which no other request that
///   was found explains,
/// - no other request was under way at all of these, and
/// - these were not part of the same larger crash: where upstreams at which it
///   was not under way crashed within 100 ms, they count as one.
///
/// Two that were at the same crashes are both let through until one of them
/// is answered, or crashes another upstream alone.
pub fn judge(
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
    while let Some((content, until)) = next(&unexplained, &is_answered) {
        explain(&mut unexplained, content);
        found.insert(content, until);
    }
    found
}

fn explain(unexplained: &mut Unexplained<'_>, content: RequestContent) {
    unexplained.retain(|_, crash| !crash.under_way.contains(&content));
}

/// Finds the request that explains the most crashes.
fn next(
    unexplained: &Unexplained<'_>,
    is_answered: &impl Fn(&RequestContent) -> bool,
) -> Option<(RequestContent, Millis)> {
    let mut at: BTreeMap<RequestContent, Vec<&Crash>> = BTreeMap::new();
    for crash in unexplained.values() {
        for content in &crash.under_way {
            at.entry(*content).or_default().push(crash);
        }
    }
    at.retain(|content, crashes| {
        crashes.len() >= REFUSED_AFTER && !is_answered(content)
    });
    let able = at.into_iter().filter_map(|(content, mut crashes)| {
        crashes.sort_by_key(|crash| crash.until);
        let counted = count(unexplained, content, &crashes);
        let is_alone = is_alone(content, &crashes, is_answered);
        let third_last = crashes.len().checked_sub(REFUSED_AFTER)?;
        (counted >= REFUSED_AFTER && is_alone).then_some((
            counted,
            content,
            crashes[third_last].until,
        ))
    });
    let most =
        able.max_by_key(|(counted, content, _)| (*counted, *content))?;
    Some((most.1, most.2))
}

/// Counts the crashes at which a request was under way, sorted by time; those
/// that are part of a larger one are one.
fn count(
    unexplained: &Unexplained<'_>,
    content: RequestContent,
    crashes: &[&Crash],
) -> usize {
    let mut rest = crashes;
    let mut counted = 0;
    while let Some(first) = rest.first() {
        let is_together = |crash: &&Crash| {
            crash.until.since(first.until) <= TOGETHER_MS
                && first.until.since(crash.until) <= TOGETHER_MS
        };
        let together = rest.iter().take_while(|one| is_together(one)).count();
        let mut others = unexplained.values();
        let is_larger = others.any(|crash| {
            is_together(crash) && !crash.under_way.contains(&content)
        });
        counted += match is_larger {
            true => 1,
            false => together,
        };
        rest = &rest[together..];
    }
    counted
}

/// Tells whether no other request that was not answered was at all of the
/// crashes.
fn is_alone(
    content: RequestContent,
    crashes: &[&Crash],
    is_answered: &impl Fn(&RequestContent) -> bool,
) -> bool {
    let Some((first, rest)) = crashes.split_first() else { return false };
    let mut others = first
        .under_way
        .iter()
        .filter(|other| **other != content && !is_answered(other));
    !others.any(|other| rest.iter().all(|one| one.under_way.contains(other)))
}
