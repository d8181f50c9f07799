//! The search for parts of prompts that crash upstreams.
//!
//! A part that crashes upstreams is in flight at each of the crashes, in
//! requests of which no two are alike, and no upstream that begins to answer
//! one of them goes on. Sound requests share its other parts: these were in
//! flight at the crashes too, and are cleared by the answers to such requests.

use std::{cmp::Ordering, collections::BTreeMap};

use super::{
    Crash, Evidence, PartGroup, PartId, RequestContent,
    culprits::Unexplained,
    independence::{Involvement, count},
};
use crate::{id::UpstreamTag, time::Millis};

/// Number of crashes after which a part is refused; users accept five.
pub const PART_REFUSED_AFTER_CRASHES: usize = 4;

/// Number of independent crashes after which a part is refused. One at whose
/// time other upstreams crashed without the part counts half.
const MIN_INDEPENDENT: usize = 3;

/// Number of crashes at which a request with the part was in flight, other
/// than those of the one request that was in flight at most of them. Fewer are
/// explained by that request.
const MIN_BESIDE_ONE_REQUEST: usize = 2;

/// Number of crashes from which parts of different requests that were in
/// flight at the same crashes are all refused: waiting for a crash or an
/// answer that tells them apart would cost further upstreams.
const UNDECIDED_UNTIL_CRASHES: usize = 6;

/// Mean number of requests with a part that were in flight at its crashes,
/// times two, up to which the part is refused as soon as other parts at the
/// crashes are cleared. Where more requests hold a part, answers to some of
/// them get time to clear it.
const RARE_HOLDERS_TWICE: usize = 3;

/// The time that upstreams get to begin an answer with a part that many
/// requests hold, and to go on with the answer, before the part is refused, in
/// ms.
pub(super) const CLEARING_MS: u64 = 1_500;

/// Number of crashes from which a part may explain those of another part that
/// always stands beside it.
const MIN_REFINING_CRASHES: usize = 3;

/// Number of parts that may explain the crashes of another one together. More
/// than two parts that crash upstreams at the same time are not expected, and
/// many parts explain anything.
const MAX_REFINING_PARTS: usize = 2;

/// The time over which upstreams have to crash for a part to be refused
/// although no other part at the crashes is cleared, in ms: the upstreams may
/// all have been lost for another reason.
const PERSISTENT_MS: u64 = 2_500;

/// How long after the last crash such a part is refused, in ms. Once requests
/// with the part are let in again, an answer clears the part, or one crash
/// refuses it.
const UNCONFIRMED_REFUSAL_MS: u64 = 30_000;

/// A crash that speaks against a part.
#[derive(Debug, Clone)]
struct PartCrash<'a> {
    crash: &'a Crash,
    /// When the first request with the part was sent to the upstream, as the
    /// expiry of a crash at that moment.
    sent_expiry: Millis,
    /// The requests with the part that were in flight.
    holders: Vec<RequestContent>,
}

/// The crashes that speak against a part.
type PartCrashes<'a> = BTreeMap<UpstreamTag, PartCrash<'a>>;

/// A part against which enough crashes speak.
#[derive(Debug, Clone)]
struct PartSuspect<'a> {
    part: PartId,
    /// The crashes that no part explains which stands only beside this one.
    crashes: PartCrashes<'a>,
    /// The number of requests with the part, summed over the crashes.
    holders: usize,
    /// Whether the part was cleared of earlier crashes.
    was_cleared: bool,
    /// The time from which the part is no longer refused.
    until: Millis,
}

/// Parts that are refused together.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct FoundGroup {
    pub(super) group: PartGroup,
    /// The time from which too few crashes for a refusal are unexpired.
    pub(super) until: Millis,
}

/// Returns the parts that explain the most crashes; none if no part explains
/// enough of them, or answers may still clear those that do.
pub(super) fn next_part_culprits(
    unexplained: &Unexplained<'_>,
    evidence: Evidence<'_>,
) -> Vec<FoundGroup> {
    let by_part = crashes_by_part(unexplained, evidence);
    let suspects = by_part.iter().filter_map(|(part, crashes)| {
        let alone = crashes_alone(&by_part, *part, crashes);
        PartSuspect::find(unexplained, evidence, *part, alone)
    });
    let mut suspects: Vec<PartSuspect<'_>> = suspects.collect();
    suspects.sort_by(|one, other| other.compare(one));
    let mut decided = suspects.iter().map(|suspect| {
        let equals = suspects.iter().filter(|one| suspect.is_equal(one));
        let mut groups: Vec<FoundGroup> = Vec::new();
        for equal in equals {
            let found = equal.found(&by_part, evidence);
            if !groups.contains(&found) {
                groups.push(found);
            }
        }
        (suspect, groups)
    });
    let decided = decided.find(|(suspect, groups)| {
        groups.len() == 1 || suspect.crashes.len() >= UNDECIDED_UNTIL_CRASHES
    });
    decided.map_or_else(Vec::new, |(_, groups)| groups)
}

/// Returns the parts that at least two crashes speak against, with when these
/// happened, as the expiry of the crashes.
pub(super) fn suspected_parts(
    evidence: Evidence<'_>,
) -> BTreeMap<PartId, Vec<(UpstreamTag, Millis)>> {
    let by_part = crashes_by_part(&evidence.unexplained(), evidence);
    let suspected =
        by_part.into_iter().filter(|(_, crashes)| crashes.len() > 1);
    suspected
        .map(|(part, crashes)| {
            let crashes = crashes.into_iter();
            let crashes = crashes.map(|(tag, one)| (tag, one.crash.until));
            (part, crashes.collect())
        })
        .collect()
}

fn crashes_by_part<'a>(
    unexplained: &Unexplained<'a>,
    evidence: Evidence<'_>,
) -> BTreeMap<PartId, PartCrashes<'a>> {
    let mut by_part: BTreeMap<PartId, PartCrashes<'a>> = BTreeMap::new();
    for (tag, crash) in unexplained {
        for content in &crash.in_flight {
            let sent_expiry = evidence.exposures.get(content, *tag);
            let sent_expiry = sent_expiry.unwrap_or(crash.until);
            for part in evidence.parts.parts_of(content) {
                if !evidence.parts.speaks_against(*tag, part) {
                    continue;
                }
                let crashes = by_part.entry(part).or_default();
                let one = crashes.entry(*tag).or_insert_with(|| PartCrash {
                    crash,
                    sent_expiry,
                    holders: Vec::new(),
                });
                one.sent_expiry = one.sent_expiry.min(sent_expiry);
                one.holders.push(*content);
            }
        }
    }
    by_part
}

/// Returns the crashes that speak against a part, without those that other
/// parts explain which stand in prompts only together with the part. Where two
/// parts crash upstreams, the first part of all prompts was in flight at the
/// crashes of both.
fn crashes_alone<'a>(
    by_part: &BTreeMap<PartId, PartCrashes<'a>>,
    part: PartId,
    crashes: &PartCrashes<'a>,
) -> PartCrashes<'a> {
    let mut alone = crashes.clone();
    if crashes.len() < PART_REFUSED_AFTER_CRASHES {
        return alone;
    }
    let refines = |other: &PartId, others: &PartCrashes<'_>| {
        *other != part
            && others.len() >= MIN_REFINING_CRASHES
            && holders(others) < holders(crashes)
            && are_always_beside(others, crashes)
    };
    let mut refining: Vec<&PartCrashes<'_>> = by_part
        .iter()
        .filter(|(other, others)| refines(other, others))
        .map(|(_, others)| others)
        .collect();
    for _ in 0..MAX_REFINING_PARTS {
        let covered = |others: &PartCrashes<'_>| {
            alone.keys().filter(|tag| others.contains_key(*tag)).count()
        };
        let most = refining.iter().enumerate();
        let Some((index, _)) = most.max_by_key(|(_, one)| covered(one)) else {
            break;
        };
        let others = refining.swap_remove(index);
        alone.retain(|tag, _| !others.contains_key(tag));
    }
    alone
}

/// Counts the requests with a part, summed over its crashes.
fn holders(crashes: &PartCrashes<'_>) -> usize {
    crashes.values().map(|one| one.holders.len()).sum()
}

/// Returns whether, at each crash of one part, a request held both parts.
fn are_always_beside(one: &PartCrashes<'_>, other: &PartCrashes<'_>) -> bool {
    one.iter().all(|(tag, own)| {
        other.get(tag).is_some_and(|other| {
            own.holders.iter().any(|one| other.holders.contains(one))
        })
    })
}

impl<'a> PartSuspect<'a> {
    /// Returns the suspect, or `None` if the crashes do not suffice.
    fn find(
        unexplained: &Unexplained<'_>,
        evidence: Evidence<'_>,
        part: PartId,
        crashes: PartCrashes<'a>,
    ) -> Option<Self> {
        if crashes.len() < PART_REFUSED_AFTER_CRASHES
            || is_explained_by_one_request(&crashes)
        {
            return None;
        }
        let mut involved: Vec<Involvement<'_>> = crashes
            .values()
            .map(|one| Involvement {
                crash: one.crash,
                sent_expiry: one.sent_expiry,
            })
            .collect();
        involved.sort_by_key(|one| one.crash.until);
        let holds_part = |crash: &Crash| {
            let mut in_flight = crash.in_flight.iter();
            in_flight.any(|content| {
                evidence.parts.parts_of(content).any(|one| one == part)
            })
        };
        let counted = count(unexplained, &holds_part, &involved);
        let halves = 2 * counted.independent - counted.with_others;
        let holders = holders(&crashes);
        if halves < 2 * MIN_INDEPENDENT {
            return None;
        }
        let crash = |index: usize| involved[index].crash;
        let (first, last) = (crash(0), crash(involved.len() - 1));
        let is_rare = 2 * holders <= RARE_HOLDERS_TWICE * crashes.len();
        let decisive = crash(PART_REFUSED_AFTER_CRASHES - 1);
        let had_time = evidence.age_ms(decisive) >= CLEARING_MS;
        let are_others_cleared =
            evidence.parts.is_any_cleared(|one| crashes.contains_key(one));
        let was_cleared = evidence.parts.was_cleared(part);
        let is_confirmed =
            are_others_cleared && !was_cleared && (is_rare || had_time);
        let until = if is_confirmed {
            crash(involved.len() - PART_REFUSED_AFTER_CRASHES).until
        } else if last.until.since(first.until) >= PERSISTENT_MS {
            let age_ms = evidence.age_ms(last);
            evidence.now + UNCONFIRMED_REFUSAL_MS.saturating_sub(age_ms)
        } else {
            return None;
        };
        (evidence.now < until).then_some(Self {
            part,
            crashes,
            holders,
            was_cleared,
            until,
        })
    }

    /// Compares how well two parts explain crashes. A part that upstreams have
    /// answered between the crashes hardly does. Otherwise the more crashes the
    /// better, and of as many crashes, the fewer requests in flight there held
    /// the part.
    fn compare(&self, other: &Self) -> Ordering {
        let by_cleared = other.was_cleared.cmp(&self.was_cleared);
        let by_crashes = self.crashes.len().cmp(&other.crashes.len());
        let by_holders = other.holders.cmp(&self.holders);
        by_cleared
            .then(by_crashes)
            .then(by_holders)
            .then(self.part.cmp(&other.part))
    }

    /// Returns whether another part explains the same crashes as well.
    fn is_equal(&self, other: &Self) -> bool {
        self.crashes.keys().eq(other.crashes.keys())
            && other.holders <= self.holders
    }

    /// Returns the part, with those that always stand beside it in a prompt:
    /// at each of its crashes, one request held the whole group.
    fn found(
        &self,
        by_part: &BTreeMap<PartId, PartCrashes<'_>>,
        evidence: Evidence<'_>,
    ) -> FoundGroup {
        let all = &by_part[&self.part];
        let is_held = |group: &PartGroup| {
            let mut crashes = all.values();
            crashes.all(|one| evidence.parts.is_group_at(group, one.crash))
        };
        let mut group = PartGroup::new([self.part]);
        for (part, crashes) in by_part {
            let larger = PartGroup::new(group.iter().chain([*part]));
            if are_always_beside(all, crashes) && is_held(&larger) {
                group = larger;
            }
        }
        FoundGroup { group, until: self.until }
    }
}

/// Returns whether all crashes but a few have one request in common.
fn is_explained_by_one_request(crashes: &PartCrashes<'_>) -> bool {
    let mut by_holder: BTreeMap<RequestContent, usize> = BTreeMap::new();
    for one in crashes.values() {
        for holder in &one.holders {
            *by_holder.entry(*holder).or_default() += 1;
        }
    }
    let most = by_holder.values().max().copied().unwrap_or(0);
    crashes.len() - most < MIN_BESIDE_ONE_REQUEST
}
