//! Tests of the detection of requests that crash upstreams.

use googletest::prelude::*;
use proptest::{collection::vec, prelude::*};

use crate::{
    fleet::crashes::{
        CrashReports, CrashTracker, Culprit, InFlight, RefusedReport,
        RequestContent,
    },
    id::UpstreamTag,
    testing::{cases, few_cases},
    time::Millis,
};

/// The time after which a record expires, in ms.
const RETENTION_MS: u64 = 600_000;

fn content(name: &str) -> RequestContent {
    RequestContent::of("callers.example", name, None, b"")
}

/// Returns a request in flight at a crash that was sent just before.
fn just_sent(name: &str) -> InFlight {
    InFlight::from(content(name))
}

fn tag(number: u32) -> UpstreamTag {
    UpstreamTag::new(number)
}

fn at(ms: u64) -> Millis {
    Millis::new(ms)
}

/// Returns the tracker of an instance that detected crashes, each given by the
/// number of the upstream, the time and the requests in flight.
fn tracker_of(crashes: &[(u32, u64, &[&str])]) -> CrashTracker {
    let mut tracker = CrashTracker::new(RETENTION_MS);
    for (number, ms, in_flight) in crashes {
        let in_flight = in_flight.iter().map(|name| just_sent(name));
        tracker.record_crash(tag(*number), in_flight, at(*ms));
    }
    tracker
}

fn is_refused(tracker: &CrashTracker, name: &str, now: u64) -> bool {
    tracker.refused_ms(&content(name), at(now)).is_some()
}

#[gtest]
fn a_request_is_refused_after_the_third_crash() {
    let mut tracker = tracker_of(&[(1, 1_000, &["p"]), (2, 2_000, &["p"])]);
    expect_false!(is_refused(&tracker, "p", 2_000));
    tracker.record_crash(tag(3), [just_sent("p")], at(3_000));
    expect_true!(is_refused(&tracker, "p", 3_000));
    expect_false!(is_refused(&tracker, "other", 3_000));
    expect_that!(tracker.changes(), eq(1));
}

#[gtest]
fn a_crash_detected_by_several_instances_counts_once() {
    let mut tracker = tracker_of(&[(1, 1_000, &["p"]), (2, 2_000, &["p"])]);
    tracker.record_crash(tag(2), [just_sent("p")], at(2_500));
    let reports = tracker.reports(at(2_600));
    tracker.receive(&reports, at(9_000));
    expect_false!(is_refused(&tracker, "p", 9_000));
}

#[gtest]
fn requests_in_flight_beside_the_culprit_are_not_refused() {
    let tracker = tracker_of(&[
        (1, 1_000, &["p", "a", "b"]),
        (2, 1_200, &["p", "a", "b"]),
        (3, 1_400, &["p", "a", "c"]),
        (4, 1_600, &["p", "b", "c"]),
    ]);
    expect_true!(is_refused(&tracker, "p", 1_600));
    for name in ["a", "b", "c"] {
        expect_false!(is_refused(&tracker, name, 1_600), "{name}");
    }
}

/// Two requests were in flight at the same three crashes. An answer to one of
/// them, or the next crash, shows which of them is the culprit.
#[gtest]
fn of_two_suspects_at_the_same_crashes_none_is_refused_until_one_is_cleared() {
    let crashes: [(u32, u64, &[&str]); 3] = [
        (1, 1_000, &["p", "a"]),
        (2, 1_200, &["p", "a"]),
        (3, 1_400, &["p", "a"]),
    ];
    let mut tracker = tracker_of(&crashes);
    expect_false!(is_refused(&tracker, "p", 1_400));
    expect_false!(is_refused(&tracker, "a", 1_400));
    let mut answered = tracker.clone();
    answered.record_answer(content("a"), at(1_500));
    expect_true!(is_refused(&answered, "p", 1_500));
    expect_false!(is_refused(&answered, "a", 1_500));
    tracker.record_crash(tag(4), [just_sent("p")], at(1_600));
    expect_true!(is_refused(&tracker, "p", 1_600));
    expect_false!(is_refused(&tracker, "a", 1_600));
}

/// `a` was in flight at three crashes, each caused by one of two culprits.
#[gtest]
fn a_request_beside_two_culprits_is_not_refused() {
    let tracker = tracker_of(&[
        (1, 1_000, &["p", "a"]),
        (2, 1_300, &["q", "a"]),
        (3, 1_600, &["p", "a"]),
        (4, 1_900, &["q"]),
        (5, 2_200, &["p"]),
        (6, 2_500, &["q"]),
    ]);
    expect_true!(is_refused(&tracker, "p", 2_500));
    expect_true!(is_refused(&tracker, "q", 2_500));
    expect_false!(is_refused(&tracker, "a", 2_500));
}

/// The loss of a rack crashes many upstreams at once, with requests of the
/// same content in flight at several of them.
#[gtest]
fn simultaneous_crashes_of_many_upstreams_count_once() {
    let mut tracker = tracker_of(&[
        (1, 1_000, &["a"]),
        (2, 1_020, &["a"]),
        (3, 1_030, &["b"]),
        (4, 1_060, &["a", "b"]),
        (5, 1_090, &["c"]),
    ]);
    for name in ["a", "b", "c"] {
        expect_false!(is_refused(&tracker, name, 1_100), "{name}");
    }
    // `a` does crash upstreams: two later crashes complete the three.
    tracker.record_crash(tag(6), [just_sent("a")], at(3_000));
    expect_false!(is_refused(&tracker, "a", 3_000));
    tracker.record_crash(tag(7), [just_sent("a")], at(4_000));
    expect_true!(is_refused(&tracker, "a", 4_000));
}

#[gtest]
fn an_answered_request_is_not_refused() {
    let mut tracker = tracker_of(&[(1, 1_000, &["a"]), (2, 2_000, &["a"])]);
    tracker.record_answer(content("a"), at(2_500));
    for number in 3..9 {
        let ms = u64::from(number) * 1_000;
        tracker.record_crash(tag(number), [just_sent("a")], at(ms));
        expect_false!(is_refused(&tracker, "a", ms));
    }
}

/// Another instance learns of a refusal from reports, and an instance that
/// starts after all others stopped learns of it from the store.
#[gtest]
fn reports_of_others_and_store_records_count() {
    let tracker = tracker_of(&[
        (1, 1_000, &["p"]),
        (2, 2_000, &["p"]),
        (3, 3_000, &["p"]),
    ]);
    // The clock of this instance started much later.
    let mut other = CrashTracker::new(RETENTION_MS);
    other.receive(&tracker.reports(at(200_000)), at(5));
    let left = other.refused_ms(&content("p"), at(5));
    // The first of the three crashes, at 1 s, expires after 600 s.
    expect_that!(left, some(eq(401_000)));
    let mut later = CrashTracker::new(RETENTION_MS);
    let report = RefusedReport { content: content("p"), left_ms: 100_000 };
    later.receive_recorded(vec![report], at(7));
    expect_that!(later.refused_ms(&content("p"), at(7)), some(eq(100_000)));
    expect_that!(later.unrecorded(at(7)), is_empty());
    expect_that!(other.unrecorded(at(7)).len(), eq(1));
    // An answer clears the request although the store records it.
    later.record_crash(tag(9), [just_sent("p")], at(8));
    later.record_answer(content("p"), at(9));
    expect_that!(
        later.recorded_but_cleared(),
        elements_are![eq(&Culprit::from(content("p")))]
    );
    expect_that!(later.refused_ms(&content("p"), at(9)), none());
}

/// Some instances learn late what shows that a request is harmless, after the
/// store has recorded the request as refused.
#[gtest]
fn a_record_of_the_store_does_not_outweigh_known_crashes() {
    let mut tracker = CrashTracker::new(RETENTION_MS);
    let report = RefusedReport { content: content("a"), left_ms: 500_000 };
    tracker.receive_recorded(vec![report], at(1_000));
    expect_true!(is_refused(&tracker, "a", 1_000));
    for number in 1..=3 {
        let in_flight = InFlight { content: content("a"), for_ms: 900 };
        let crashed_at = 1_000 + u64::from(number) * 200;
        tracker.record_crash(tag(number), [in_flight], at(crashed_at));
    }
    expect_false!(is_refused(&tracker, "a", 2_000));
    let cleared = tracker.recorded_but_cleared();
    expect_that!(cleared, elements_are![eq(&Culprit::from(content("a")))]);
}

#[gtest]
fn a_refusal_ends_when_its_crashes_expire() {
    let mut tracker = tracker_of(&[
        (1, 1_000, &["p"]),
        (2, 2_000, &["p"]),
        (3, 3_000, &["p"]),
    ]);
    expect_true!(is_refused(&tracker, "p", 600_999));
    expect_false!(is_refused(&tracker, "p", 601_000));
    tracker.prune(at(601_000));
    expect_false!(is_refused(&tracker, "p", 601_001));
    // The two later crashes have not expired.
    tracker.record_crash(tag(4), [just_sent("p")], at(601_500));
    expect_true!(is_refused(&tracker, "p", 601_500));
}

/// Guards against expired records that come back for ever from instances that
/// received them later.
#[gtest]
fn exchanged_reports_expire_everywhere() {
    let mut one = tracker_of(&[
        (1, 1_000, &["p"]),
        (2, 1_500, &["p"]),
        (3, 2_000, &["p"]),
    ]);
    one.record_answer(content("q"), at(2_000));
    let mut other = CrashTracker::new(RETENTION_MS);
    let mut now = 2_000;
    while now < 3 * RETENTION_MS {
        other.receive(&one.reports(at(now)), at(now + 900));
        one.receive(&other.reports(at(now + 900)), at(now + 1_800));
        now += 2_000;
        one.prune(at(now));
        other.prune(at(now));
    }
    expect_true!(one.is_empty());
    expect_true!(other.is_empty());
    expect_that!(one.digest(at(now)), eq(0));
}

#[gtest]
fn the_size_of_a_tracker_is_bounded() {
    let mut tracker = CrashTracker::new(RETENTION_MS);
    for number in 0..3 {
        let ms = 1_000 + u64::from(number) * 200;
        tracker.record_crash(tag(number), [just_sent("p")], at(ms));
    }
    for number in 10..400 {
        let in_flight =
            (0..40).map(|one| just_sent(&format!("{number} {one}")));
        tracker.record_crash(
            tag(number),
            in_flight,
            at(u64::from(number) * 200),
        );
    }
    let reports = tracker.reports(at(400_000));
    let in_flight: usize =
        reports.crashes.iter().map(|one| one.in_flight.len()).sum();
    expect_that!(in_flight, le(4_096));
    expect_that!(reports.crashes.len(), le(512));
    // The newest crashes are kept, and those that explain a refusal.
    expect_true!(is_refused(&tracker, "p", 400_000));
    expect_true!(tracker.has_crashed(tag(399)));
}

/// A crash as it happened, caused by `culprit` in the test.
#[derive(Debug, Clone)]
struct TrueCrash {
    /// The harmless requests in flight beside the culprit.
    beside: Vec<u8>,
    /// The time since the crash before, in ms.
    after_ms: u64,
    /// The instances that detect the crash, each with the harmless requests
    /// that it had in flight there.
    detected_by: Vec<(usize, Vec<u8>)>,
}

const INSTANCES: usize = 4;

fn true_crash() -> impl Strategy<Value = TrueCrash> {
    let beside = vec(0_u8..12, 0..6);
    (beside, 0_u64..2_000).prop_flat_map(|(beside, after_ms)| {
        let parts = vec(0..INSTANCES, beside.len());
        (Just(beside), Just(after_ms), parts).prop_map(
            |(beside, after_ms, parts)| {
                let detected_by = (0..INSTANCES).map(|one| {
                    let own = beside.iter().zip(&parts);
                    let own = own.filter(|(_, part)| **part == one);
                    (one, own.map(|(name, _)| *name).collect())
                });
                TrueCrash {
                    detected_by: detected_by.collect(),
                    beside,
                    after_ms,
                }
            },
        )
    })
}

/// A report that is sent: sender, receiver and delay in ms, or `None` if the
/// report is lost.
type Sent = (usize, usize, Option<u64>);

proptest! {
    #![proptest_config(few_cases())]

    /// Each instance detects a part of each crash, and reports are delayed,
    /// duplicated or lost. Once all instances have exchanged their reports,
    /// their digests agree, the culprit is refused and the harmless requests,
    /// which were answered, are not.
    #[test]
    fn instances_agree_and_the_answered_are_not_refused(
        crashes in vec(true_crash(), 3..9),
        sent in vec(
            (0..INSTANCES, 0..INSTANCES, prop::option::of(0_u64..5_000)),
            0..30,
        ),
        detector in any::<prop::sample::Index>(),
    ) {
        let culprit = content("p");
        let name = |number: u8| content(&format!("beside {number}"));
        let mut trackers = vec![CrashTracker::new(RETENTION_MS); INSTANCES];
        let mut now = 10_000;
        let mut delayed: Vec<(u64, usize, CrashReports)> = Vec::new();
        let mut sent = sent.into_iter();
        for (number, crash) in crashes.iter().enumerate() {
            now += crash.after_ms;
            let number = u32::try_from(number).unwrap();
            for (one, own) in &crash.detected_by {
                let own: Vec<_> = own.iter().map(|n| name(*n)).collect();
                if !own.is_empty() {
                    let own = own.into_iter().map(InFlight::from);
                    trackers[*one].record_crash(tag(number), own, at(now));
                }
            }
            let detector = detector.index(INSTANCES);
            let in_flight = [InFlight::from(culprit)];
            trackers[detector].record_crash(tag(number), in_flight, at(now));
            let next: Vec<Sent> = sent.by_ref().take(3).collect();
            for (from, to, delay) in next {
                let reports = trackers[from].reports(at(now));
                if let Some(delay) = delay {
                    delayed.push((now + delay, to, reports));
                }
            }
        }
        for (when, to, reports) in delayed.iter().chain(&delayed) {
            trackers[*to].receive(reports, at(now.max(*when)));
        }
        now += 6_000;
        // Some instance answers each harmless request in the end.
        for crash in &crashes {
            for number in &crash.beside {
                let by = usize::from(*number) % INSTANCES;
                trackers[by].record_answer(name(*number), at(now));
            }
        }
        for _ in 0..2 {
            for from in 0..INSTANCES {
                let reports = trackers[from].reports(at(now));
                for tracker in &mut trackers {
                    tracker.receive(&reports, at(now + 50));
                }
            }
            // An answer is recorded only by an instance that knows the
            // request to be a suspect, which some learn from these reports.
            for crash in &crashes {
                for number in &crash.beside {
                    let by = usize::from(*number) % INSTANCES;
                    trackers[by].record_answer(name(*number), at(now));
                }
            }
        }
        let digest = trackers[0].digest(at(now + 60));
        for tracker in &trackers {
            prop_assert_eq!(tracker.digest(at(now + 60)), digest);
            let left = tracker.refused_ms(&culprit, at(now + 60));
            prop_assert!(left.is_some());
            for crash in &crashes {
                for number in &crash.beside {
                    let left =
                        tracker.refused_ms(&name(*number), at(now + 60));
                    prop_assert_eq!(left, None);
                }
            }
        }
    }
}

proptest! {
    #![proptest_config(cases())]

    /// A report of any remaining time, at any clock, refuses a request for no
    /// longer than the retention time.
    #[test]
    fn no_report_extends_a_refusal_beyond_the_retention(
        left_ms in any::<u64>(),
        number in any::<u32>(),
        now in 0..u64::MAX / 4,
    ) {
        let mut tracker = CrashTracker::new(RETENTION_MS);
        let report = RefusedReport { content: content("p"), left_ms };
        tracker.receive_recorded(vec![report], at(now));
        tracker.record_crash(tag(number), [], at(now));
        let left = tracker.refused_ms(&content("p"), at(now));
        prop_assert!(left.unwrap_or(0) <= RETENTION_MS);
    }
}
