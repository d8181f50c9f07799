//! Counts the independent ones of the crashes at which a request, or a part of
//! prompts, was in flight.
//!
//! What tells a request that crashes upstreams from one that was in flight at
//! crashes with another cause is when the request was sent: to the next
//! upstream after the crash of the last, or to all of them before.

use super::{Crash, culprits::Unexplained};
use crate::time::Millis;

/// Crashes within this time, in ms, may have one common cause, such as the
/// loss of a rack.
const SIMULTANEOUS_MS: u64 = 100;

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

/// A crash at which one request was in flight.
#[derive(Debug, Clone, Copy)]
pub(super) struct Involvement<'a> {
    /// The crash.
    pub(super) crash: &'a Crash,
    /// When the request was sent to the upstream, as the expiry of a crash at
    /// that moment.
    pub(super) sent_expiry: Millis,
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
pub(super) struct Count {
    /// The number of independent crashes.
    pub(super) independent: usize,
    /// The number of these at whose time an upstream crashed that the request
    /// was not in flight at.
    pub(super) with_others: usize,
    /// The number of other crashes of upstreams that had outlived the request.
    pub(super) outlived: usize,
}

/// Counts the crashes at which a request was in flight, which `is_involved`
/// tells for any crash.
///
/// `crashes` is sorted by time. A crash is independent of the one before if
/// the request was sent to the upstream only after that crash: whatever
/// crashes several upstreams within a time, requests that were in flight at
/// all of them before are involved in each crash. A caller that repeats a
/// request which crashes upstreams sends it again after each crash.
pub(super) fn count(
    unexplained: &Unexplained<'_>,
    is_involved: &dyn Fn(&Crash) -> bool,
    crashes: &[Involvement<'_>],
) -> Count {
    let mut waves: Vec<Wave<'_>> = Vec::new();
    for one in crashes {
        let has_common_cause = waves.last().is_some_and(|wave| {
            is_simultaneous(one.crash, wave.first.crash)
                && wave.has_common_cause
        });
        match waves.last_mut() {
            Some(wave) if has_common_cause => wave.others.push(*one),
            Some(wave) if one.sent_expiry < wave.first.crash.until => {
                wave.others.push(*one);
            }
            _ => {
                let has_common_cause =
                    crashes_without(unexplained, is_involved, one.crash);
                waves.push(Wave::new(*one, has_common_cause));
            }
        }
    }
    let outlived_after_ms =
        outlived_after_ms(crashes.iter().map(Involvement::in_flight_ms));
    let others = waves.iter().flat_map(|wave| &wave.others);
    let outlived = others.filter(|one| one.in_flight_ms() > outlived_after_ms);
    Count {
        outlived: outlived.count(),
        with_others: waves.iter().filter(|w| w.has_common_cause).count(),
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
    fn new(first: Involvement<'a>, has_common_cause: bool) -> Self {
        Self { first, others: Vec::new(), has_common_cause }
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
    is_involved: &dyn Fn(&Crash) -> bool,
    at: &Crash,
) -> bool {
    unexplained
        .values()
        .any(|crash| is_simultaneous(crash, at) && !is_involved(crash))
}
