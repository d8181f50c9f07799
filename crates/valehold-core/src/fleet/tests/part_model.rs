//! A model of instances before upstreams that crash under a part of prompts,
//! and for other reasons.

mod kept;

use std::collections::{BTreeMap, BTreeSet};

use proptest::prelude::*;
use rand::{Rng, SeedableRng, rngs::StdRng};

use crate::{
    fleet::crashes::{
        CrashReports, CrashTracker, InFlight, PartId, PartReports,
        RequestContent,
    },
    id::UpstreamTag,
    testing::few_cases,
    time::Millis,
};

/// The time after which a record expires, in ms.
const RETENTION_MS: u64 = 600_000;

/// How many instances and upstreams there are.
const INSTANCES: usize = 4;
const UPSTREAMS: usize = 12;

/// How many of the upstreams crash in no wave.
const STABLE: usize = 4;

/// The step of the model, how often instances send what they recorded, and how
/// often they compare all, in ms.
const STEP_MS: u64 = 5;
const SEND_INTERVAL_MS: u64 = 50;
const COMPARE_INTERVAL_MS: u64 = 500;

/// How long the model runs, in ms.
const DURATION_MS: u64 = 16_000;

/// When requests with culprits begin to come, in ms.
const CULPRITS_FROM_MS: u64 = 2_000;

/// The time after the fifth crash from which almost no request with the culprit
/// may be sent, and from which sound ones must all be let in, in ms.
const CONTACT_MS: u64 = 3_000;

/// The number of requests with a culprit that may be sent after that.
const MOST_LATE: usize = 3;

/// How long an answer has to go on to clear its parts, in ms.
const OUTLIVED_MS: u64 = 1_000;

/// The part with which all prompts begin.
const FIRST: u64 = 1;

/// The first of the culprits, and of the second parts of sound prompts.
const CULPRITS: u64 = 100;
const SOUND: u64 = 10;

/// What happens in one run.
#[derive(Debug, Clone)]
struct Scenario {
    seed: u64,
    culprits: u64,
    culprits_per_s: f64,
    sound_per_s: f64,
    sound_parts: u64,
    /// How long requests wait at most before an upstream begins to answer.
    max_wait_ms: u64,
    /// When several upstreams crash for another reason, in ms.
    waves: Vec<u64>,
    /// Whether an upstream sends output before it crashes.
    has_output: bool,
}

/// A request on its way at an upstream.
#[derive(Debug, Clone)]
struct Flight {
    request: u64,
    second: u64,
    instance: usize,
    upstream: usize,
    sent: u64,
    begins: u64,
    ends: u64,
    is_cleared: bool,
    attempt: u32,
}

impl Flight {
    fn content(&self) -> RequestContent {
        let path = format!("/{}", self.request);
        RequestContent::of("callers.example", &path, None, b"")
    }

    fn parts(&self) -> BTreeSet<PartId> {
        [FIRST, self.second].map(PartId::new).into()
    }

    fn is_culprit(&self) -> bool {
        self.second >= CULPRITS
    }
}

struct Fleet {
    scenario: Scenario,
    random: StdRng,
    now: u64,
    trackers: Vec<CrashTracker>,
    /// The tag of each upstream's start, and from when on it serves.
    upstreams: Vec<(u32, u64)>,
    flights: Vec<Flight>,
    again: Vec<(u64, Flight)>,
    on_the_way: Vec<(u64, usize, CrashReports, PartReports)>,
    /// When upstreams crashed by each culprit.
    crashes: BTreeMap<u64, Vec<u64>>,
    /// When requests with each culprit were sent.
    sent: BTreeMap<u64, Vec<u64>>,
    /// When sound requests were refused for a part.
    refused_sound: Vec<u64>,
    next_tag: u32,
    next_request: u64,
}

/// Returns what the clock of an instance shows.
fn clock(instance: usize, now: u64) -> Millis {
    Millis::new(now + instance as u64 * 777_777)
}

impl Fleet {
    fn new(scenario: Scenario) -> Self {
        let upstreams = (0..UPSTREAMS as u32).map(|tag| (tag, 0)).collect();
        Self {
            random: StdRng::seed_from_u64(scenario.seed),
            scenario,
            now: 0,
            trackers: vec![CrashTracker::new(RETENTION_MS); INSTANCES],
            upstreams,
            flights: Vec::new(),
            again: Vec::new(),
            on_the_way: Vec::new(),
            crashes: BTreeMap::new(),
            sent: BTreeMap::new(),
            refused_sound: Vec::new(),
            next_tag: 1_000,
            next_request: 0,
        }
    }

    fn run(&mut self) {
        while self.now < DURATION_MS {
            self.step();
        }
    }

    fn step(&mut self) {
        self.now += STEP_MS;
        self.arrive();
        self.advance();
        self.crash_wave();
        if self.now.is_multiple_of(SEND_INTERVAL_MS) {
            self.send_reports();
        }
        if self.now.is_multiple_of(COMPARE_INTERVAL_MS) {
            self.compare();
        }
        self.deliver();
    }

    fn arrive(&mut self) {
        let steps_per_s = 1_000.0 / STEP_MS as f64;
        let (sound, bad) = (
            self.scenario.sound_per_s / steps_per_s,
            self.scenario.culprits_per_s / steps_per_s,
        );
        if self.random.random_bool(sound.min(1.0)) {
            let part = self.random.random_range(0..self.scenario.sound_parts);
            self.arrive_with(SOUND + part);
        }
        let has_culprits =
            self.scenario.culprits > 0 && self.now >= CULPRITS_FROM_MS;
        if has_culprits && self.random.random_bool(bad.min(1.0)) {
            let part = self.random.random_range(0..self.scenario.culprits);
            self.arrive_with(CULPRITS + part);
        }
        let now = self.now;
        let (due, left) = self.again.drain(..).partition(|(at, _)| *at <= now);
        self.again = left;
        let due: Vec<(u64, Flight)> = due;
        for (_, flight) in due {
            let instance = self.random.random_range(0..INSTANCES);
            self.send(Flight { instance, attempt: 0, ..flight });
        }
    }

    fn arrive_with(&mut self, second: u64) {
        self.next_request += 1;
        let instance = self.random.random_range(0..INSTANCES);
        self.send(Flight {
            request: self.next_request,
            second,
            instance,
            upstream: 0,
            sent: 0,
            begins: 0,
            ends: 0,
            is_cleared: false,
            attempt: 0,
        });
    }

    /// Sends a request unless it is refused or no upstream serves.
    fn send(&mut self, mut flight: Flight) {
        let at = clock(flight.instance, self.now);
        let tracker = &self.trackers[flight.instance];
        if tracker.parts_refused_ms(&flight.parts(), at).is_some() {
            if !flight.is_culprit() {
                self.refused_sound.push(self.now);
            }
            return;
        }
        if tracker.refused_ms(&flight.content(), at).is_some() {
            return;
        }
        let serving: Vec<usize> = (0..UPSTREAMS)
            .filter(|one| self.upstreams[*one].1 <= self.now)
            .collect();
        if serving.is_empty() {
            return;
        }
        if flight.is_culprit() {
            let sent = self.sent.entry(flight.second).or_default();
            sent.push(self.now);
        }
        let chosen = self.random.random_range(0..serving.len());
        flight.upstream = serving[chosen];
        flight.sent = self.now;
        let wait = self.random.random_range(10..=self.scenario.max_wait_ms);
        flight.begins = self.now + wait;
        let lasts = match flight.is_culprit() {
            true => self.random.random_range(20..100),
            false => self.random.random_range(50..2_500),
        };
        flight.ends = flight.begins + lasts;
        flight.is_cleared = false;
        self.flights.push(flight);
    }

    /// Ends requests, and clears those that go on.
    fn advance(&mut self) {
        let now = self.now;
        for index in 0..self.flights.len() {
            let flight = &mut self.flights[index];
            let outlives = now >= flight.begins + OUTLIVED_MS;
            let is_sound = !flight.is_culprit()
                && !flight.is_cleared
                && (now >= flight.ends || outlives);
            if is_sound {
                flight.is_cleared = true;
                let at = clock(flight.instance, now);
                let began = clock(flight.instance, flight.begins);
                let tracker = &mut self.trackers[flight.instance];
                tracker.record_answer(flight.content(), at);
                tracker.record_sound_parts(&flight.parts(), began, at);
            }
        }
        let crashing: BTreeSet<usize> = self
            .flights
            .iter()
            .filter(|one| one.is_culprit() && one.ends <= now)
            .map(|one| one.upstream)
            .collect();
        for upstream in crashing {
            let culprits: BTreeSet<u64> = self
                .flights
                .iter()
                .filter(|one| one.upstream == upstream && one.ends <= now)
                .map(|one| one.second)
                .filter(|second| *second >= CULPRITS)
                .collect();
            for culprit in culprits {
                self.crashes.entry(culprit).or_default().push(now);
            }
            self.crash(upstream);
        }
        self.flights.retain(|one| one.ends > now);
    }

    fn crash_wave(&mut self) {
        let now = self.now;
        let is_due = |at: &u64| *at <= now && now < *at + STEP_MS;
        if !self.scenario.waves.iter().any(is_due) {
            return;
        }
        for _ in 0..4 {
            let upstream = self.random.random_range(STABLE..UPSTREAMS);
            if self.upstreams[upstream].1 <= now {
                self.crash(upstream);
            }
        }
    }

    /// An upstream crashes. Instances record it and send requests again.
    fn crash(&mut self, upstream: usize) {
        let now = self.now;
        let tag = UpstreamTag::new(self.upstreams[upstream].0);
        self.next_tag += 1;
        let back_at = now + self.random.random_range(1_500..4_000);
        self.upstreams[upstream] = (self.next_tag, back_at);
        let (broken, left): (Vec<Flight>, Vec<Flight>) =
            self.flights.drain(..).partition(|one| one.upstream == upstream);
        self.flights = left;
        for instance in 0..INSTANCES {
            let own = broken.iter().filter(|one| {
                let has_output = match one.is_culprit() {
                    true => self.scenario.has_output,
                    false => one.begins <= now,
                };
                let is_young = now < one.begins + OUTLIVED_MS;
                one.instance == instance && (!has_output || is_young)
            });
            let own: Vec<&Flight> = own.collect();
            if own.is_empty() {
                continue;
            }
            let at = clock(instance, now);
            let tracker = &mut self.trackers[instance];
            for one in &own {
                tracker.record_prompt(one.content(), one.parts(), at);
            }
            let in_flight = own.iter().map(|one| InFlight {
                content: one.content(),
                for_ms: now - one.sent,
            });
            tracker.record_crash(tag, in_flight, at);
        }
        for one in broken {
            let has_begun = one.begins <= now && !one.is_culprit();
            match one.attempt {
                0 if !has_begun => self.send(Flight { attempt: 1, ..one }),
                _ if self.random.random_bool(0.3) => {
                    let at = now + self.random.random_range(20..300);
                    self.again.push((at, one));
                }
                _ => {}
            }
        }
    }

    fn send_reports(&mut self) {
        for from in 0..INSTANCES {
            let at = clock(from, self.now);
            let tracker = &mut self.trackers[from];
            tracker.prune(at);
            let parts = tracker.take_part_updates(at);
            let crashes = tracker.take_updates(at);
            if parts.is_empty() && crashes.is_empty() {
                continue;
            }
            for to in (0..INSTANCES).filter(|to| *to != from) {
                self.put_on_the_way(to, crashes.clone(), parts.clone());
            }
        }
    }

    /// Sends reports that take up to 80 ms; a tenth of the messages is lost.
    fn put_on_the_way(
        &mut self,
        to: usize,
        crashes: CrashReports,
        parts: PartReports,
    ) {
        for (crashes, parts) in [
            (CrashReports::default(), parts),
            (crashes, PartReports::default()),
        ] {
            if self.random.random_bool(0.9) {
                let at = self.now + self.random.random_range(1..80);
                self.on_the_way.push((at, to, crashes, parts));
            }
        }
    }

    /// Instances that know other than their neighbour tell it all.
    fn compare(&mut self) {
        for from in 0..INSTANCES {
            let to = (from + 1) % INSTANCES;
            let digest =
                |one: usize| self.trackers[one].digest(clock(one, self.now));
            if digest(from) != digest(to) {
                let at = clock(from, self.now);
                let tracker = &self.trackers[from];
                let (crashes, parts) =
                    (tracker.reports(at), tracker.part_reports(at));
                self.put_on_the_way(to, crashes, parts);
            }
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (due, left) =
            self.on_the_way.drain(..).partition(|(at, ..)| *at <= now);
        self.on_the_way = left;
        let due: Vec<(u64, usize, CrashReports, PartReports)> = due;
        for (_, to, crashes, parts) in due {
            let at = clock(to, now);
            self.trackers[to].receive_parts(&parts, at);
            self.trackers[to].receive(&crashes, at);
        }
    }
}

fn scenarios(
    culprits: std::ops::Range<u64>,
) -> impl Strategy<Value = Scenario> {
    (
        any::<u64>(),
        culprits,
        0.5..6.0,
        5.0..60.0,
        1..40_u64,
        20..600_u64,
        prop::collection::vec(0..DURATION_MS, 0..4),
        any::<bool>(),
    )
        .prop_map(|drawn| {
            let (seed, culprits, culprits_per_s, sound_per_s, ..) = drawn;
            let (.., sound_parts, max_wait_ms, waves, has_output) = drawn;
            Scenario {
                seed,
                culprits,
                culprits_per_s,
                sound_per_s,
                sound_parts,
                max_wait_ms,
                waves,
                has_output,
            }
        })
}

/// Asserts that requests with a culprit stop soon after the fifth crash, and
/// that sound requests are let in from then on.
fn assert_crashing_parts_stop(scenario: Scenario) {
    let mut fleet = Fleet::new(scenario);
    fleet.run();
    for (culprit, crashes) in &fleet.crashes {
        let Some(fifth) = crashes.get(4) else { continue };
        let sent = fleet.sent[culprit].iter();
        let late = sent.filter(|at| **at > fifth + CONTACT_MS).count();
        assert!(late <= MOST_LATE, "{late} sent late");
        let refused = fleet.refused_sound.iter();
        let refused = refused.filter(|at| **at > fifth + 2 * CONTACT_MS);
        assert_eq!(refused.count(), 0, "sound requests were refused");
    }
}

/// Asserts that no sound request is ever refused.
fn assert_no_part_is_refused(scenario: Scenario) {
    let mut fleet = Fleet::new(scenario);
    fleet.run();
    let refused = fleet.refused_sound.len();
    assert_eq!(refused, 0, "sound requests were refused");
}

proptest! {
    #![proptest_config(few_cases())]

    /// Requests with one part, or either of two, crash the upstreams that begin
    /// to answer them, beside sound ones and other crashes. They stop soon
    /// after the fifth crash of their part, and sound requests are let in.
    #[test]
    fn a_crashing_part_stops_and_sound_requests_go_on(
        scenario in scenarios(1..3),
    ) {
        assert_crashing_parts_stop(scenario);
    }

    /// Upstreams crash in waves, for another reason: no part is refused.
    #[test]
    fn waves_of_crashes_speak_against_no_part(
        scenario in scenarios(0..1),
        more in prop::collection::vec(0..DURATION_MS, 3..8),
    ) {
        let mut waves = scenario.waves.clone();
        waves.extend(more);
        assert_no_part_is_refused(Scenario { waves, ..scenario });
    }
}
