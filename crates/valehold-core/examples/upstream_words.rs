//! What it costs each request that upstreams may rest, and each change of the
//! list that upstreams may have said that they leave.
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

/// How often each is done; the mean is printed.
const ROUNDS: u32 = 2_000;

/// How many upstreams a request is weighed between: those that hold a model
/// that is asked for much.
const HOLDERS: u32 = 40;

/// How many upstreams there are.
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

fn mean_ns(mut act: impl FnMut()) -> f64 {
    let began = Instant::now();
    for _ in 0..ROUNDS {
        act();
    }
    began.elapsed().as_secs_f64() * 1e9 / f64::from(ROUNDS)
}
