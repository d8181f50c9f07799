//! Measures two lookups in what upstreams have announced: the check for each
//! request of which upstreams are in backoff, and the check for each change of
//! the list of which upstreams are leaving.
//!
//! `cargo run --release -p valehold-core --example upstream_words`

use std::{hint::black_box, time::Duration, time::Instant};

use valehold_core::{
    Millis,
    fleet::{
        UpstreamStart, backoff::BackoffState, backoff::UpstreamBackoffs,
        leaving::LeavingUpstreams,
    },
    id::UpstreamId,
};

/// The number of runs of each operation; the mean is printed.
const ROUNDS: u32 = 2_000;

/// The number of candidates of a request: the upstreams that hold a model in
/// high demand.
const HOLDERS: u32 = 40;

/// The number of upstreams.
const UPSTREAMS: usize = 1_500;

fn main() {
    let now = Millis::new(1_000);
    let holders: Vec<UpstreamStart> = (0..HOLDERS).map(start).collect();
    for resting in [0, 300, 1_500] {
        let mut rests = UpstreamBackoffs::default();
        for number in 0..resting {
            rests.record(&start(number), Duration::from_secs(3), now);
        }
        let took_ns = mean_ns(|| {
            let awake = holders
                .iter()
                .filter(|one| rests.state(one, now) == BackoffState::Ready);
            black_box(awake.count());
        });
        println!("{resting} rest: {took_ns:.0} ns for {HOLDERS} holders");
    }
    let mut leaving = LeavingUpstreams::default();
    for number in 0..4_096 {
        leaving.record(&start(number), UPSTREAMS, now);
    }
    let took_ns = mean_ns(|| {
        black_box(leaving.contains(&start(7)));
    });
    println!("4096 leave: {took_ns:.0} ns to look one up");
    let took_ns = mean_ns(|| {
        let mut leaving = leaving.clone();
        black_box(leaving.record(&start(5_000), UPSTREAMS, now));
    });
    println!("4096 leave: {took_ns:.0} ns to copy them and add another");
}

fn start(number: u32) -> UpstreamStart {
    let id = UpstreamId::new(format!("i-{number:010x}"));
    UpstreamStart { id, started_at_ms: None }
}

fn mean_ns(mut operation: impl FnMut()) -> f64 {
    let started = Instant::now();
    for _ in 0..ROUNDS {
        operation();
    }
    started.elapsed().as_secs_f64() * 1e9 / f64::from(ROUNDS)
}
