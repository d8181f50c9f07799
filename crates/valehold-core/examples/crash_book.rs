//! Measures the cost of crash detection: the digest of each request, which is
//! computed while any crash is recorded, and the operations of a
//! [`CrashTracker`] as it grows.
//!
//! `cargo run --release -p valehold-core --example crash_book`

use std::{collections::BTreeSet, hint::black_box, time::Instant};

use valehold_core::{
    Millis,
    fleet::crashes::{CrashTracker, InFlight, PartId, RequestContent},
    id::UpstreamTag,
};

/// How often each operation is repeated; the mean time is printed.
const ROUNDS: u32 = 200;

/// Number of requests in flight at each crash.
const IN_FLIGHT: u32 = 20;

/// The time after which a crash expires, in ms.
const RETENTION_MS: u64 = 600_000;

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
        let (tracker, now) = filled_tracker(crashes);
        let look_up = RequestContent::of("callers.example", "/a", None, b"");
        let look_up_us = mean_us(|| {
            black_box(tracker.refused_ms(&look_up, now));
        });
        let parts: BTreeSet<PartId> = [0, 1].map(PartId::new).into();
        let parts_us = mean_us(|| {
            black_box(tracker.parts_refused_ms(&parts, now));
        });
        let digest_us = mean_us(|| {
            black_box(tracker.digest(now));
        });
        let record_us = mean_us(|| {
            let mut tracker = tracker.clone();
            let in_flight = [InFlight::from(look_up)];
            tracker.record_crash(UpstreamTag::new(u32::MAX), in_flight, now);
            black_box(&tracker);
        });
        println!(
            "{crashes} crashes with {IN_FLIGHT} requests each: looked up in \
             {look_up_us:.2} µs, its parts in {parts_us:.2} µs, compared in {digest_us:.0} µs, another crash \
             recorded in {record_us:.0} µs",
        );
    }
}

/// Returns a tracker with crashes that all have one request in common, and the
/// time of the last one.
fn filled_tracker(crashes: u32) -> (CrashTracker, Millis) {
    let mut tracker = CrashTracker::new(RETENTION_MS);
    let mut now = Millis::new(0);
    let of =
        |path: &str| RequestContent::of("callers.example", path, None, b"");
    for crash in 0..crashes {
        now = now + 500;
        let beside = (1..IN_FLIGHT).map(|one| of(&format!("{crash} {one}")));
        let in_flight = beside.chain([of("causes it")]).map(InFlight::from);
        let in_flight: Vec<InFlight> = in_flight.collect();
        for (number, one) in in_flight.iter().enumerate() {
            // All prompts share the first part, and a few the second.
            let second = number as u64 % 7 + 1;
            let parts = [0, second].map(PartId::new);
            tracker.record_prompt(one.content, parts, now);
        }
        tracker.record_crash(UpstreamTag::new(crash), in_flight, now);
    }
    (tracker, now)
}

/// Runs an operation [`ROUNDS`] times and returns its mean duration, in µs.
fn mean_us(mut operation: impl FnMut()) -> f64 {
    let started = Instant::now();
    for _ in 0..ROUNDS {
        operation();
    }
    started.elapsed().as_secs_f64() * 1e6 / f64::from(ROUNDS)
}
