//! Who is refused because upstreams crash under it, and who is not.

use googletest::prelude::*;
use proptest::{collection::vec, prelude::*};

use crate::{
    fleet::crashes::{CrashBook, CrashWords, RefusedWord, RequestContent},
    id::UpstreamTag,
    testing::{cases, few_cases},
    time::Millis,
};

const KEEP_MS: u64 = 600_000;

fn content(name: &str) -> RequestContent {
    RequestContent::of("callers.example", name, None, b"")
}

fn tag(number: u32) -> UpstreamTag {
    UpstreamTag::new(number)
}

fn at(ms: u64) -> Millis {
    Millis::new(ms)
}

/// Returns the book of one that saw crashes: number, time, who was there.
fn seen(crashes: &[(u32, u64, &[&str])]) -> CrashBook {
    let mut book = CrashBook::new(KEEP_MS);
    for (number, ms, under_way) in crashes {
        let under_way = under_way.iter().map(|name| content(name));
        book.crashed(tag(*number), under_way, at(*ms));
    }
    book
}

fn is_refused(book: &CrashBook, name: &str, now: u64) -> bool {
    book.refused_ms(&content(name), at(now)).is_some()
}

#[gtest]
fn it_is_refused_after_the_third_crash() {
    let mut book = seen(&[(1, 1_000, &["p"]), (2, 2_000, &["p"])]);
    expect_false!(is_refused(&book, "p", 2_000));
    book.crashed(tag(3), [content("p")], at(3_000));
    expect_true!(is_refused(&book, "p", 3_000));
    expect_false!(is_refused(&book, "other", 3_000));
    expect_that!(book.changes(), eq(1));
}

#[gtest]
fn one_crash_that_several_saw_counts_once() {
    let mut book = seen(&[(1, 1_000, &["p"]), (2, 2_000, &["p"])]);
    book.crashed(tag(2), [content("p")], at(2_500));
    let words = book.words(at(2_600));
    book.hear(&words, at(9_000));
    expect_false!(is_refused(&book, "p", 9_000));
}

#[gtest]
fn who_was_beside_it_is_not_refused() {
    let book = seen(&[
        (1, 1_000, &["p", "a", "b"]),
        (2, 1_200, &["p", "a", "b"]),
        (3, 1_400, &["p", "a", "c"]),
        (4, 1_600, &["p", "b", "c"]),
    ]);
    expect_true!(is_refused(&book, "p", 1_600));
    for name in ["a", "b", "c"] {
        expect_false!(is_refused(&book, name, 1_600), "{name}");
    }
}

/// Two that were at the same three: an answer, or the next crash, tells.
#[gtest]
fn of_two_that_moved_on_together_none_is_refused_until_it_is_clear() {
    let crashes: [(u32, u64, &[&str]); 3] = [
        (1, 1_000, &["p", "a"]),
        (2, 1_200, &["p", "a"]),
        (3, 1_400, &["p", "a"]),
    ];
    let mut book = seen(&crashes);
    expect_false!(is_refused(&book, "p", 1_400));
    expect_false!(is_refused(&book, "a", 1_400));
    let mut answered = book.clone();
    answered.answered(content("a"), at(1_500));
    expect_true!(is_refused(&answered, "p", 1_500));
    expect_false!(is_refused(&answered, "a", 1_500));
    book.crashed(tag(4), [content("p")], at(1_600));
    expect_true!(is_refused(&book, "p", 1_600));
    expect_false!(is_refused(&book, "a", 1_600));
}

/// `a` was at three crashes, each of one of two others.
#[gtest]
fn who_was_beside_two_of_them_is_not_refused() {
    let book = seen(&[
        (1, 1_000, &["p", "a"]),
        (2, 1_300, &["q", "a"]),
        (3, 1_600, &["p", "a"]),
        (4, 1_900, &["q"]),
        (5, 2_200, &["p"]),
        (6, 2_500, &["q"]),
    ]);
    expect_true!(is_refused(&book, "p", 2_500));
    expect_true!(is_refused(&book, "q", 2_500));
    expect_false!(is_refused(&book, "a", 2_500));
}

/// A rack is lost, with requests of the same content at many upstreams.
#[gtest]
fn a_crash_of_many_upstreams_counts_once() {
    let mut book = seen(&[
        (1, 1_000, &["a"]),
        (2, 1_020, &["a"]),
        (3, 1_030, &["b"]),
        (4, 1_060, &["a", "b"]),
        (5, 1_090, &["c"]),
    ]);
    for name in ["a", "b", "c"] {
        expect_false!(is_refused(&book, name, 1_100), "{name}");
    }
    // It does crash upstreams, and happened to be there.
    book.crashed(tag(6), [content("a")], at(3_000));
    expect_false!(is_refused(&book, "a", 3_000));
    book.crashed(tag(7), [content("a")], at(4_000));
    expect_true!(is_refused(&book, "a", 4_000));
}

#[gtest]
fn who_was_answered_is_not_refused() {
    let mut book = seen(&[(1, 1_000, &["a"]), (2, 2_000, &["a"])]);
    book.answered(content("a"), at(2_500));
    for number in 3..9 {
        let ms = u64::from(number) * 1_000;
        book.crashed(tag(number), [content("a")], at(ms));
        expect_false!(is_refused(&book, "a", ms));
    }
}

/// It is known to others from its words, and after all of them are gone from
/// the store.
#[gtest]
fn what_others_tell_counts() {
    let book =
        seen(&[(1, 1_000, &["p"]), (2, 2_000, &["p"]), (3, 3_000, &["p"])]);
    // A clock that began much later.
    let mut other = CrashBook::new(KEEP_MS);
    other.hear(&book.words(at(200_000)), at(5));
    let left = other.refused_ms(&content("p"), at(5));
    // Until the first of the three is over: 600 s after 1 s.
    expect_that!(left, some(eq(401_000)));
    let mut later = CrashBook::new(KEEP_MS);
    let word = RefusedWord { content: content("p"), left_ms: 100_000 };
    later.recorded(vec![word], at(7));
    expect_that!(later.refused_ms(&content("p"), at(7)), some(eq(100_000)));
    expect_that!(later.unrecorded(at(7)), is_empty());
    expect_that!(other.unrecorded(at(7)).len(), eq(1));
    // A part of the gateways hears in the end that it was answered.
    later.crashed(tag(9), [content("p")], at(8));
    later.answered(content("p"), at(9));
    expect_that!(later.recorded_in_vain(), elements_are![eq(&content("p"))]);
    expect_that!(later.refused_ms(&content("p"), at(9)), none());
}

#[gtest]
fn it_may_run_again_after_its_time() {
    let mut book =
        seen(&[(1, 1_000, &["p"]), (2, 2_000, &["p"]), (3, 3_000, &["p"])]);
    expect_true!(is_refused(&book, "p", 600_999));
    expect_false!(is_refused(&book, "p", 601_000));
    book.sweep(at(601_000));
    expect_false!(is_refused(&book, "p", 601_001));
    // The two later ones count still.
    book.crashed(tag(4), [content("p")], at(601_500));
    expect_true!(is_refused(&book, "p", 601_500));
}

/// What is over would come back from those who heard of it later.
#[gtest]
fn words_do_not_live_for_ever() {
    let mut one =
        seen(&[(1, 1_000, &["p"]), (2, 1_500, &["p"]), (3, 2_000, &["p"])]);
    one.answered(content("q"), at(2_000));
    let mut other = CrashBook::new(KEEP_MS);
    let mut now = 2_000;
    while now < 3 * KEEP_MS {
        other.hear(&one.words(at(now)), at(now + 900));
        one.hear(&other.words(at(now + 900)), at(now + 1_800));
        now += 2_000;
        one.sweep(at(now));
        other.sweep(at(now));
    }
    expect_true!(one.is_empty());
    expect_true!(other.is_empty());
    expect_that!(one.digest(at(now)), eq(0));
}

#[gtest]
fn what_is_kept_is_bounded() {
    let mut book = CrashBook::new(KEEP_MS);
    for number in 0..3 {
        let ms = 1_000 + u64::from(number) * 200;
        book.crashed(tag(number), [content("p")], at(ms));
    }
    for number in 10..400 {
        let there = (0..40).map(|one| content(&format!("{number} {one}")));
        book.crashed(tag(number), there, at(u64::from(number) * 200));
    }
    let words = book.words(at(400_000));
    let under_way: usize =
        words.crashes.iter().map(|one| one.under_way.len()).sum();
    expect_that!(under_way, le(4_096));
    expect_that!(words.crashes.len(), le(512));
    // The newest are kept, and those that explain a refusal.
    expect_true!(is_refused(&book, "p", 400_000));
    expect_true!(book.has_crashed(tag(399)));
}

/// A crash as it was: who caused it, and who was beside it.
#[derive(Debug, Clone)]
struct Happened {
    beside: Vec<u8>,
    after_ms: u64,
    /// Which instances saw it, each a part of who was there.
    seen_by: Vec<(usize, Vec<u8>)>,
}

const INSTANCES: usize = 4;

fn happened() -> impl Strategy<Value = Happened> {
    let beside = vec(0_u8..12, 0..6);
    (beside, 0_u64..2_000).prop_flat_map(|(beside, after_ms)| {
        let parts = vec(0..INSTANCES, beside.len());
        (Just(beside), Just(after_ms), parts).prop_map(
            |(beside, after_ms, parts)| {
                let seen_by = (0..INSTANCES).map(|one| {
                    let own = beside.iter().zip(&parts);
                    let own = own.filter(|(_, part)| **part == one);
                    (one, own.map(|(name, _)| *name).collect())
                });
                Happened { seen_by: seen_by.collect(), beside, after_ms }
            },
        )
    })
}

/// A word that is sent: from whom, to whom, how late; or lost.
type Sent = (usize, usize, Option<u64>);

proptest! {
    #![proptest_config(few_cases())]

    /// Instances that see a part each, and hear the others' words late, twice
    /// or never, agree once they have heard of one another; and whoever was
    /// beside it and was answered is not refused.
    #[test]
    fn instances_agree_and_the_answered_are_not_refused(
        crashes in vec(happened(), 3..9),
        sent in vec(
            (0..INSTANCES, 0..INSTANCES, prop::option::of(0_u64..5_000)),
            0..30,
        ),
        who_saw in any::<prop::sample::Index>(),
    ) {
        let culprit = content("p");
        let name = |number: u8| content(&format!("beside {number}"));
        let mut books = vec![CrashBook::new(KEEP_MS); INSTANCES];
        let mut now = 10_000;
        let mut late: Vec<(u64, usize, CrashWords)> = Vec::new();
        let mut sent = sent.into_iter();
        for (number, crash) in crashes.iter().enumerate() {
            now += crash.after_ms;
            let number = u32::try_from(number).unwrap();
            for (one, own) in &crash.seen_by {
                let own: Vec<_> = own.iter().map(|n| name(*n)).collect();
                if !own.is_empty() {
                    books[*one].crashed(tag(number), own, at(now));
                }
            }
            let who = who_saw.index(INSTANCES);
            books[who].crashed(tag(number), [culprit], at(now));
            let next: Vec<Sent> = sent.by_ref().take(3).collect();
            for (from, to, delay) in next {
                let words = books[from].words(at(now));
                if let Some(delay) = delay {
                    late.push((now + delay, to, words));
                }
            }
        }
        for (when, to, words) in late.iter().chain(&late) {
            books[*to].hear(words, at(now.max(*when)));
        }
        now += 6_000;
        // Whoever was beside it is answered in the end, by some instance.
        for crash in &crashes {
            for number in &crash.beside {
                let by = usize::from(*number) % INSTANCES;
                books[by].answered(name(*number), at(now));
            }
        }
        for _ in 0..2 {
            for from in 0..INSTANCES {
                let words = books[from].words(at(now));
                for book in &mut books {
                    book.hear(&words, at(now + 50));
                }
            }
            // Those who saw somebody at a crash only now hear of it.
            for crash in &crashes {
                for number in &crash.beside {
                    let by = usize::from(*number) % INSTANCES;
                    books[by].answered(name(*number), at(now));
                }
            }
        }
        let digest = books[0].digest(at(now + 60));
        for book in &books {
            prop_assert_eq!(book.digest(at(now + 60)), digest);
            let left = book.refused_ms(&culprit, at(now + 60));
            prop_assert!(left.is_some());
            for crash in &crashes {
                for number in &crash.beside {
                    let left = book.refused_ms(&name(*number), at(now + 60));
                    prop_assert_eq!(left, None);
                }
            }
        }
    }
}

proptest! {
    #![proptest_config(cases())]

    /// Words of anything do no harm but what they say.
    #[test]
    fn any_words_are_borne(
        left_ms in any::<u64>(),
        number in any::<u32>(),
        now in 0..u64::MAX / 4,
    ) {
        let mut book = CrashBook::new(KEEP_MS);
        let word = RefusedWord { content: content("p"), left_ms };
        book.recorded(vec![word], at(now));
        book.crashed(tag(number), [], at(now));
        let left = book.refused_ms(&content("p"), at(now));
        prop_assert!(left.unwrap_or(0) <= KEEP_MS);
    }
}
