//! Tests of the detection of parts of prompts that crash upstreams.

use std::collections::BTreeSet;

use googletest::prelude::*;

use crate::{
    fleet::crashes::{
        CrashTracker, Culprit, InFlight, PartId, PartReports, RequestContent,
    },
    id::UpstreamTag,
    time::Millis,
};

/// The time after which a record expires, in ms.
const RETENTION_MS: u64 = 600_000;

/// The part with which all prompts begin, and the one that crashes upstreams.
const FIRST: u64 = 1;
const CULPRIT: u64 = 100;

fn parts(ids: &[u64]) -> BTreeSet<PartId> {
    ids.iter().copied().map(PartId::new).collect()
}

fn content(number: u64) -> RequestContent {
    let path = format!("/{number}");
    RequestContent::of("callers.example", &path, None, b"")
}

fn at(ms: u64) -> Millis {
    Millis::new(ms)
}

/// Records a crash of an upstream, a second after the one before, under new
/// requests with some prompts.
fn crash(tracker: &mut CrashTracker, number: u32, prompts: &[&[u64]]) {
    let now = at(u64::from(number) * 1_000);
    let first = u64::from(number) * 100;
    let contents = (first..).map(content).zip(prompts);
    let contents: Vec<(RequestContent, &&[u64])> = contents.collect();
    for (content, prompt) in &contents {
        tracker.record_prompt(*content, parts(prompt), now);
    }
    let in_flight = contents.iter().map(|(one, _)| InFlight::from(*one));
    tracker.record_crash(UpstreamTag::new(number), in_flight, now);
}

fn is_refused(tracker: &CrashTracker, prompt: &[u64], ms: u64) -> bool {
    tracker.parts_refused_ms(&parts(prompt), at(ms)).is_some()
}

#[gtest]
fn a_part_is_refused_after_the_fourth_crash_once_others_are_cleared() {
    let mut tracker = CrashTracker::new(RETENTION_MS);
    for number in 1..=3 {
        crash(&mut tracker, number, &[&[FIRST, CULPRIT]]);
        let now = at(u64::from(number) * 1_000 + 500);
        tracker.record_sound_parts(&parts(&[FIRST]), now, now);
    }
    expect_false!(is_refused(&tracker, &[FIRST, CULPRIT], 3_600));
    crash(&mut tracker, 4, &[&[FIRST, CULPRIT]]);
    expect_true!(is_refused(&tracker, &[FIRST, CULPRIT], 4_000));
    // Behind another first part, too.
    expect_true!(is_refused(&tracker, &[7, CULPRIT], 4_000));
    expect_false!(is_refused(&tracker, &[FIRST, 10], 4_000));
}

/// The part and the first one were at the same crashes.
#[gtest]
fn a_first_part_is_refused_only_together_with_the_culprit() {
    let mut tracker = CrashTracker::new(RETENTION_MS);
    for number in 1..=4 {
        let sound = [FIRST, 10 + u64::from(number)];
        crash(&mut tracker, number, &[&[FIRST, CULPRIT], &sound]);
    }
    expect_false!(is_refused(&tracker, &[FIRST, 11], 5_600));
    expect_true!(is_refused(&tracker, &[FIRST, CULPRIT], 5_600));
}

/// Two requests with the culprit hold other parts, and no request holds all
/// that stand beside it: a group of these would stop nobody and explain nothing.
#[gtest]
fn parts_of_different_prompts_beside_a_culprit_form_no_group() {
    let mut tracker = CrashTracker::new(RETENTION_MS);
    for number in 1..=8 {
        let (one, other) =
            ([20, 30 + u64::from(number)], [21, 60 + u64::from(number)]);
        let prompts: [&[u64]; 4] =
            [&one, &other, &[CULPRIT, 20], &[CULPRIT, 21]];
        match number {
            1 | 2 => crash(&mut tracker, number, &prompts[..2]),
            _ => crash(&mut tracker, number, &prompts),
        }
        if number == 2 {
            let sound = parts(&[20, 21]);
            tracker.record_sound_parts(&sound, at(2_100), at(2_500));
        }
    }
    expect_true!(
        is_refused(&tracker, &[CULPRIT, 20], 8_000)
            || is_refused(&tracker, &[CULPRIT, 21], 8_000)
    );
}

#[gtest]
fn one_request_that_comes_again_speaks_against_no_part() {
    let mut tracker = CrashTracker::new(RETENTION_MS);
    let now = |number: u32| at(u64::from(number) * 1_000);
    tracker.record_prompt(content(1), parts(&[FIRST, 10]), at(0));
    for number in 1..=6 {
        let in_flight = [InFlight::from(content(1))];
        let tag = UpstreamTag::new(number);
        tracker.record_crash(tag, in_flight, now(number));
    }
    expect_false!(is_refused(&tracker, &[FIRST, 10], 6_000));
    expect_that!(tracker.refused_ms(&content(1), at(6_000)), some(gt(0)));
}

#[gtest]
fn an_answer_after_the_crashes_clears_a_part_everywhere() {
    let mut tracker = CrashTracker::new(RETENTION_MS);
    for number in 1..=4 {
        crash(&mut tracker, number, &[&[FIRST, 10]]);
    }
    let mut other = CrashTracker::new(RETENTION_MS);
    other.receive_parts(&tracker.part_reports(at(4_000)), at(10));
    other.receive(&tracker.reports(at(4_000)), at(10));
    expect_that!(other.digest(at(10)), eq(tracker.digest(at(4_000))));
    expect_true!(is_refused(&other, &[FIRST, 10], 10));
    tracker.record_sound_parts(&parts(&[FIRST, 10]), at(4_100), at(4_900));
    expect_false!(is_refused(&tracker, &[FIRST, 10], 4_900));
    other.receive_parts(&tracker.take_part_updates(at(4_900)), at(900));
    expect_false!(is_refused(&other, &[FIRST, 10], 900));
}

/// The store names a part to an instance that knows no crash.
#[gtest]
fn a_recorded_part_is_refused_and_written_and_read_as_text() {
    let mut tracker = CrashTracker::new(RETENTION_MS);
    for number in 1..=4 {
        crash(&mut tracker, number, &[&[FIRST, CULPRIT]]);
    }
    let unrecorded = tracker.unrecorded(at(4_000));
    expect_that!(unrecorded.len(), eq(1));
    let text = unrecorded[0].culprit.to_string();
    expect_that!(text.parse::<Culprit>(), ok(eq(&unrecorded[0].culprit)));
    let mut later = CrashTracker::new(RETENTION_MS);
    later.receive_recorded(unrecorded, at(7));
    expect_true!(is_refused(&later, &[FIRST, CULPRIT], 7));
    expect_false!(is_refused(&later, &[FIRST, 10], 7));
}

/// Reports of anything do no harm.
#[gtest]
fn broken_reports_about_parts_refuse_nothing() {
    let mut tracker = CrashTracker::new(RETENTION_MS);
    let mut reports = PartReports::default();
    reports.prompts.prompts.push((content(1), vec![0, u32::MAX]));
    tracker.receive_parts(&reports, at(1));
    crash(&mut tracker, 1, &[&[]]);
    expect_false!(is_refused(&tracker, &[], 1_000));
    for text in ["parts", "parts-", "parts-xyz", "parts0123456789abcdef"] {
        expect_that!(text.parse::<Culprit>(), err(anything()), "{text}");
    }
}
