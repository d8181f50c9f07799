//! What knowing of crashes costs: a digest for each request while any crash is
//! known, and the book as it grows.
//!
//! `cargo run --release -p valehold-core --example crash_book`

use std::{hint::black_box, time::Instant};

use valehold_core::{
    Millis,
    fleet::crashes::{CrashBook, RequestContent},
    id::UpstreamTag,
};

/// How often each is done; the mean is printed.
const ROUNDS: u32 = 200;

/// How many requests wait at an upstream that crashes.
const WAITING: u32 = 20;

/// For how long a crash is remembered, in ms.
const KEEP_MS: u64 = 600_000;

fn main() {
    for bytes in [0, 2_000, 18_000] {
        let body = vec![7; bytes];
        let took_us = mean_us(|| {
            black_box(RequestContent::of(
                "callers.example",
                "/a",
                None,
                &body,
            ));
        });
        println!("a digest of a body of {bytes} bytes: {took_us:.1} µs");
    }
    for crashes in [3, 50, 200] {
        let (book, now) = filled(crashes);
        let look_up = RequestContent::of("callers.example", "/a", None, b"");
        let looked_us = mean_us(|| {
            black_box(book.refused_ms(&look_up, now));
        });
        let digest_us = mean_us(|| {
            black_box(book.digest(now));
        });
        let judged_us = mean_us(|| {
            let mut book = book.clone();
            book.crashed(UpstreamTag::new(u32::MAX), [look_up], now);
            black_box(&book);
        });
        println!(
            "{crashes} crashes with {WAITING} requests each: looked up in \
             {looked_us:.2} µs, compared in {digest_us:.0} µs, another crash \
             taken in in {judged_us:.0} µs",
        );
    }
}

/// Returns a book of so many crashes, all under one request, and its time.
fn filled(crashes: u32) -> (CrashBook, Millis) {
    let mut book = CrashBook::new(KEEP_MS);
    let mut now = Millis::new(0);
    let of =
        |path: &str| RequestContent::of("callers.example", path, None, b"");
    for crash in 0..crashes {
        now = now + 500;
        let beside = (1..WAITING).map(|one| of(&format!("{crash} {one}")));
        let there = beside.chain([of("causes it")]);
        book.crashed(UpstreamTag::new(crash), there, now);
    }
    (book, now)
}

fn mean_us(mut done: impl FnMut()) -> f64 {
    let began = Instant::now();
    for _ in 0..ROUNDS {
        done();
    }
    began.elapsed().as_secs_f64() * 1e6 / f64::from(ROUNDS)
}
