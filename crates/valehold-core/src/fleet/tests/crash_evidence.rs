//! Tests that requests are told apart from the loss of many upstreams, in
//! whatever order and however late instances learn of crashes.

use std::collections::BTreeMap;

use proptest::{collection::vec, prelude::*};

use crate::{
    fleet::crashes::{
        CrashReports, CrashTracker, InFlight, RequestContent, Suspicion,
    },
    id::UpstreamTag,
    testing::few_cases,
    time::Millis,
};

/// The time after which a record expires, in ms.
const RETENTION_MS: u64 = 600_000;

/// How many instances there are. Their clocks show other times.
const INSTANCES: usize = 3;

/// How many upstreams there are, and how many of these never crash.
const UPSTREAMS: usize = 10;
const STABLE: usize = 3;

/// The interval at which instances send what they have recorded, in ms.
const SEND_INTERVAL_MS: u64 = 50;

/// The time from which a crash ends what is in flight, in ms.
const CRASHES_FROM: u64 = 10_000;

/// A copy of a request, on its way at one upstream.
#[derive(Debug, Clone, Copy)]
struct Copy {
    request: usize,
    instance: usize,
    upstream: usize,
    sent: u64,
    /// Whether the instance sends the request once more after a crash.
    is_sent_again: bool,
}

/// Some instances, and the requests that they have in flight at upstreams,
/// none of which is ever answered.
struct Fleet {
    now: u64,
    trackers: Vec<CrashTracker>,
    in_flight: Vec<Copy>,
    crashed: Vec<usize>,
    /// Reports on their way: when each arrives, and where.
    on_the_way: Vec<(u64, usize, CrashReports)>,
    /// The delays of reports, in ms, or `None` for lost ones, used in turn.
    delays: Vec<Option<u64>>,
    sent: usize,
}

fn content(request: usize) -> RequestContent {
    let path = format!("/{request}");
    RequestContent::of("callers.example", &path, None, b"")
}

fn tag(upstream: usize) -> UpstreamTag {
    UpstreamTag::new(u32::try_from(upstream).unwrap())
}

/// Returns what the clock of an instance shows.
fn clock(instance: usize, now: u64) -> Millis {
    Millis::new(now + instance as u64 * 777_777)
}

impl Fleet {
    fn new(delays: Vec<Option<u64>>) -> Self {
        Self {
            now: 0,
            trackers: vec![CrashTracker::new(RETENTION_MS); INSTANCES],
            in_flight: Vec::new(),
            crashed: Vec::new(),
            on_the_way: Vec::new(),
            delays,
            sent: 0,
        }
    }

    fn send(&mut self, copy: Copy) {
        self.in_flight.push(Copy { sent: self.now, ..copy });
    }

    /// An upstream crashes. Instances notice it at once, and send again what
    /// they may.
    fn crash(&mut self, upstream: usize) {
        self.crashed.push(upstream);
        let (broken, left): (Vec<Copy>, Vec<Copy>) =
            self.in_flight.iter().partition(|one| one.upstream == upstream);
        self.in_flight = left;
        for instance in 0..INSTANCES {
            let mut sent: BTreeMap<usize, u64> = BTreeMap::new();
            for one in broken.iter().filter(|one| one.instance == instance) {
                let known = sent.entry(one.request).or_insert(one.sent);
                *known = one.sent.min(*known);
            }
            if sent.is_empty() {
                continue;
            }
            let now = self.now;
            let in_flight = sent.iter().map(|(request, sent)| InFlight {
                content: content(*request),
                for_ms: now - sent,
            });
            let at = clock(instance, now);
            self.trackers[instance].record_crash(tag(upstream), in_flight, at);
        }
        for one in broken.iter().filter(|one| one.is_sent_again) {
            let next = (one.upstream + 1..one.upstream + UPSTREAMS)
                .map(|next| next % UPSTREAMS)
                .find(|next| !self.crashed.contains(next));
            let next = next.expect("an upstream that did not crash");
            let is_sent_again = false;
            self.send(Copy { upstream: next, is_sent_again, ..*one });
        }
    }

    /// Lets time pass: reports are sent and arrive, and instances record which
    /// upstreams outlive a request.
    fn pass(&mut self, ms: u64) {
        let until = self.now + ms;
        if self.trackers.iter().all(CrashTracker::is_empty) {
            self.now = until;
        }
        while self.now < until {
            self.now += 1;
            self.record_survivals();
            if self.now.is_multiple_of(SEND_INTERVAL_MS) {
                self.send_reports();
            }
            self.deliver();
        }
    }

    fn record_survivals(&mut self) {
        for one in &self.in_flight {
            let now = clock(one.instance, self.now);
            let tracker = &mut self.trackers[one.instance];
            let content = content(one.request);
            let (Suspicion::Suspect { outlived_after_ms }
            | Suspicion::Refused { outlived_after_ms }) =
                tracker.suspicion(&content, now)
            else {
                continue;
            };
            if self.now - one.sent >= outlived_after_ms {
                let sent = clock(one.instance, one.sent);
                let upstream = tag(one.upstream);
                tracker.record_survival(content, upstream, sent, now);
            }
        }
    }

    fn send_reports(&mut self) {
        for from in 0..INSTANCES {
            let now = clock(from, self.now);
            let reports = self.trackers[from].take_updates(now);
            if reports.is_empty() {
                continue;
            }
            for to in (0..INSTANCES).filter(|to| *to != from) {
                let delay = self.delays[self.sent % self.delays.len()];
                self.sent += 1;
                if let Some(delay_ms) = delay {
                    let at = self.now + delay_ms;
                    self.on_the_way.push((at, to, reports.clone()));
                }
            }
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (due, left) =
            self.on_the_way.drain(..).partition(|(at, ..)| *at <= now);
        self.on_the_way = left;
        let due: Vec<(u64, usize, CrashReports)> = due;
        for (_, to, reports) in due {
            self.trackers[to].receive(&reports, clock(to, now));
        }
    }

    /// Lets all instances learn what the others know, and what they record
    /// after that.
    fn settle(&mut self) {
        self.exchange_all();
        self.pass(2 * SEND_INTERVAL_MS);
        self.exchange_all();
    }

    /// All instances learn what the others know, as after a comparison of
    /// digests.
    fn exchange_all(&mut self) {
        for _ in 0..2 {
            for from in 0..INSTANCES {
                let now = clock(from, self.now);
                let reports = self.trackers[from].reports(now);
                for to in (0..INSTANCES).filter(|to| *to != from) {
                    let now = clock(to, self.now);
                    self.trackers[to].receive(&reports, now);
                }
            }
        }
    }

    /// Counts the instances that refuse a request.
    fn refusing(&self, request: usize) -> usize {
        let trackers = self.trackers.iter().enumerate();
        let refusing = trackers.filter(|(instance, tracker)| {
            let now = clock(*instance, self.now);
            tracker.refused_ms(&content(request), now).is_some()
        });
        refusing.count()
    }
}

/// Delays of reports, a tenth of which are lost.
fn delays() -> impl Strategy<Value = Vec<Option<u64>>> {
    vec(prop_oneof![9 => (0..80_u64).prop_map(Some), 1 => Just(None)], 1..20)
}

/// Requests that many callers repeat: copies of a few contents at random
/// upstreams, two of each at upstreams that never crash.
fn popular(requests: usize) -> impl Strategy<Value = Vec<(u64, Copy)>> {
    let copy = (0..INSTANCES, 0..UPSTREAMS, any::<bool>(), 0..600_u64);
    let of_each = vec(vec(copy, 4..12), requests);
    of_each.prop_map(|of_each| {
        let mut all = Vec::new();
        for (request, copies) in of_each.into_iter().enumerate() {
            for (number, copy) in copies.into_iter().enumerate() {
                let (instance, upstream, is_sent_again, sent) = copy;
                let upstream = match number {
                    0 | 1 => number,
                    _ => upstream,
                };
                let copy = Copy {
                    request,
                    instance,
                    upstream,
                    sent: 0,
                    is_sent_again,
                };
                all.push((sent, copy));
            }
        }
        all.sort_by_key(|(sent, _)| *sent);
        all
    })
}

/// Sends copies in their order, and lets the rest of the time pass before the
/// first crash.
fn send_all(fleet: &mut Fleet, copies: Vec<(u64, Copy)>) {
    for (sent, copy) in copies {
        fleet.pass(sent - fleet.now);
        fleet.send(copy);
    }
    fleet.pass(CRASHES_FROM - fleet.now);
}

proptest! {
    #![proptest_config(few_cases())]

    /// Upstreams end together or one after the other, at any pace, under
    /// requests that many callers repeat and that nobody has answered yet.
    /// Once all instances know all, none of the requests is refused.
    #[test]
    fn a_loss_of_many_upstreams_speaks_against_no_request(
        copies in popular(4),
        pauses in vec(0..400_u64, 3..=UPSTREAMS - STABLE),
        pace in 0..=100_u64,
        delays in delays(),
    ) {
        let mut fleet = Fleet::new(delays);
        send_all(&mut fleet, copies);
        for (number, pause) in pauses.into_iter().enumerate() {
            fleet.pass(pause * pace / 100);
            fleet.crash(STABLE + number);
        }
        fleet.pass(1_000);
        fleet.settle();
        for request in 0..4 {
            prop_assert_eq!(fleet.refusing(request), 0, "request {}", request);
        }
    }

    /// A caller sends a request that crashes upstreams again after each
    /// crash, to instances in any order, while other upstreams are lost for
    /// another reason. After the third crash all instances refuse it.
    #[test]
    fn a_request_that_crashes_upstreams_stops_after_the_third(
        copies in popular(3),
        attempts in vec((0..INSTANCES, 101..700_u64, 1..90_u64), 3),
        lost in vec(0..1_500_u64, 0..4),
        delays in delays(),
    ) {
        let culprit = 100;
        let mut fleet = Fleet::new(delays);
        send_all(&mut fleet, copies);
        let first = fleet.now;
        // The culprit takes upstreams from the end, others are lost before.
        let mut lost: Vec<u64> = lost.into_iter().map(|at| first + at).collect();
        lost.sort_unstable();
        let mut lost = lost.into_iter().zip(STABLE..);
        let mut next_lost = lost.next();
        for (number, (instance, pause, runs)) in attempts.iter().enumerate() {
            let upstream = UPSTREAMS - 1 - number;
            for (ms, crashes) in [(pause, false), (runs, true)] {
                let until = fleet.now + ms;
                while let Some((at, which)) = next_lost.filter(|(at, _)| *at < until) {
                    fleet.pass(at.saturating_sub(fleet.now));
                    fleet.crash(which);
                    next_lost = lost.next();
                }
                fleet.pass(until - fleet.now);
                match crashes {
                    true => fleet.crash(upstream),
                    false => fleet.send(Copy {
                        request: culprit,
                        instance: *instance,
                        upstream,
                        sent: 0,
                        is_sent_again: false,
                    }),
                }
            }
        }
        fleet.pass(400);
        fleet.settle();
        prop_assert_eq!(fleet.refusing(culprit), INSTANCES);
    }
}
