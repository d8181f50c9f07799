//! Tests that instances agree on the limits that upstreams state, and that
//! grantors keep to the limits, in whatever order messages arrive.

use std::net::SocketAddr;

use googletest::prelude::*;
use proptest::prelude::*;

use crate::{
    fleet::{
        UpstreamStart,
        cold::{PermitGrantor, PermitReply},
        upstream_limit::{
            AnswerEffect, LimitMerge, LimitReport, RequestRate, StatedLimit,
            UpstreamLimits,
        },
    },
    id::UpstreamId,
    testing::cases,
    time::Millis,
};

fn at(ms: u64) -> Millis {
    Millis::new(ms)
}

fn start(birth: u64) -> UpstreamStart {
    UpstreamStart { id: UpstreamId::new("e1"), started_at_ms: Some(birth) }
}

fn rate(per_second: f64) -> RequestRate {
    RequestRate::from_per_second(per_second).unwrap()
}

fn stated(per_second: f64) -> StatedLimit {
    StatedLimit::Rate(rate(per_second))
}

#[gtest]
fn a_negative_or_infinite_number_is_no_rate() {
    for number in [-1.0, f64::NAN, f64::INFINITY, f64::NEG_INFINITY] {
        expect_that!(RequestRate::from_per_second(number), none(), "{number}");
    }
    expect_that!(rate(1.5).per_second(), eq(1.5));
    // An upstream that accepts nothing still gets a request now and then.
    expect_that!(rate(0.0).per_second(), eq(0.05));
}

#[gtest]
fn a_limit_holds_until_a_later_request_is_answered_without_it() {
    let mut limits = UpstreamLimits::default();
    let one = start(1);
    let absent = StatedLimit::Absent;
    let report = changed(limits.on_answer(&one, 0, stated(2.0)));
    expect_that!(report.limit, some(eq(rate(2.0))));
    expect_that!(limits.rate(&one), some(eq(rate(2.0))));
    expect_that!(limits.rate(&start(2)), none());
    // The answer to an earlier request and an unreadable limit change nothing.
    let unchanged = AnswerEffect::Unchanged;
    expect_that!(limits.on_answer(&one, 0, absent), eq(&unchanged));
    let unread = StatedLimit::Unreadable;
    expect_that!(limits.on_answer(&one, 1, unread), eq(&unchanged));
    // The same limit again is no change, but confirms the limit.
    let again = limits.on_answer(&one, 1, stated(2.0));
    expect_that!(again, pat!(AnswerEffect::Confirmed(_)));
    expect_that!(limits.on_answer(&one, 1, absent), eq(&unchanged));
    expect_that!(limits.rate(&one), some(eq(rate(2.0))));
    let over = changed(limits.on_answer(&one, limits.number(&one), absent));
    expect_that!(over.limit, none());
    expect_that!(limits.rate(&one), none());
}

/// Returns the report of an answer that changed a limit.
fn changed(effect: AnswerEffect) -> LimitReport {
    match effect {
        AnswerEffect::Changed(report) => report,
        other => panic!("the limit did not change: {other:?}"),
    }
}

/// Returns the report of an answer that stated a limit again.
fn confirmed(effect: AnswerEffect) -> LimitReport {
    match effect {
        AnswerEffect::Confirmed(report) => report,
        other => panic!("the limit was not confirmed: {other:?}"),
    }
}

#[gtest]
fn a_report_of_the_end_is_contradicted_by_an_answer_unknown_to_its_sender() {
    let (mut here, mut there) =
        (UpstreamLimits::default(), UpstreamLimits::default());
    let one = start(1);
    let first = changed(here.on_answer(&one, 0, stated(2.0)));
    there.merge(&first);
    let number_at_send = there.number(&one);
    let again = confirmed(here.on_answer(&one, 1, stated(2.0)));
    let over =
        changed(there.on_answer(&one, number_at_send, StatedLimit::Absent));
    let contradicted = LimitMerge::Contradicted(again.clone());
    expect_that!(here.merge(&over), eq(&contradicted));
    expect_that!(here.rate(&one), some(eq(rate(2.0))));
    // However late it arrives.
    expect_that!(here.merge(&over), eq(&contradicted));
    expect_that!(there.merge(&again), eq(&LimitMerge::Applied));
    expect_that!(there.rate(&one), some(eq(rate(2.0))));
}

/// The end of a limit was taken for older than answers to other gateways less
/// than a second before, and the limit came back.
#[gtest]
fn a_report_of_the_end_is_believed_at_once_by_all_whose_answers_it_follows() {
    let (mut here, mut there) =
        (UpstreamLimits::default(), UpstreamLimits::default());
    let one = start(1);
    here.on_answer(&one, 0, stated(2.0));
    let again = confirmed(here.on_answer(&one, 1, stated(2.0)));
    // With the permit for its next request.
    there.merge(&again);
    let number = there.number(&one);
    let over = changed(there.on_answer(&one, number, StatedLimit::Absent));
    expect_that!(here.merge(&over), eq(&LimitMerge::Applied));
    expect_that!(here.merge(&over), eq(&LimitMerge::Unchanged));
    expect_that!(here.rate(&one), none());
}

/// A step of a history of some gateways and an upstream.
#[derive(Debug, Clone)]
enum Step {
    /// The upstream states another limit, or none, from now on.
    State(Option<u8>),
    /// A gateway sends a request.
    Send(usize),
    /// The upstream answers a request that was sent.
    Serve(usize),
    /// The answer to a request arrives.
    Answer(usize),
    /// A sent report arrives at a gateway.
    Arrive(usize, usize),
}

/// How many gateways there are. The first one grants permits.
const GATEWAYS: usize = 4;

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        1 => prop::option::of(1..4_u8).prop_map(Step::State),
        4 => (0..GATEWAYS).prop_map(Step::Send),
        4 => (0..16_usize).prop_map(Step::Serve),
        4 => (0..16_usize).prop_map(Step::Answer),
        6 => (0..GATEWAYS, 0..64_usize).prop_map(|(g, r)| Step::Arrive(g, r)),
    ]
}

/// A request on its way to the upstream and back.
#[derive(Debug, Clone, Copy)]
struct InFlight {
    gateway: usize,
    number_at_send: u64,
    /// What the answer states, once the upstream has answered.
    stated: Option<StatedLimit>,
}

/// Some gateways before one upstream.
#[derive(Debug)]
struct Fleet {
    start: UpstreamStart,
    gateways: Vec<UpstreamLimits>,
    stated: StatedLimit,
    requests: Vec<InFlight>,
    /// Every report that was sent; each may arrive anywhere, at any time, any
    /// number of times, or never.
    reports: Vec<LimitReport>,
}

impl Fleet {
    fn new() -> Self {
        Self {
            start: start(1),
            gateways: vec![UpstreamLimits::default(); GATEWAYS],
            stated: StatedLimit::Absent,
            requests: Vec::new(),
            reports: Vec::new(),
        }
    }

    /// Sends a request. A gateway that knows of a limit exchanges reports with
    /// the grantor first.
    fn send(&mut self, gateway: usize) {
        if self.gateways[gateway].rate(&self.start).is_some() {
            self.exchange(gateway, 0);
            self.exchange(0, gateway);
        }
        let number_at_send = self.gateways[gateway].number(&self.start);
        self.requests.push(InFlight { gateway, number_at_send, stated: None });
    }

    /// A gateway receives what another one knows.
    fn exchange(&mut self, from: usize, to: usize) {
        let report = self.gateways[from].report(&self.start).cloned();
        if let Some(report) = report {
            self.receive(to, &report);
        }
    }

    fn serve(&mut self, index: usize) {
        let stated = self.stated;
        if let Some(request) = self.requests.get_mut(index) {
            request.stated = request.stated.or(Some(stated));
        }
    }

    /// The answer to a request arrives. Returns the effect, unless the request
    /// has no answer yet.
    fn answer(&mut self, index: usize) -> Option<AnswerEffect> {
        let request = *self.requests.get(index)?;
        let stated = request.stated?;
        self.requests.remove(index);
        let gateway = &mut self.gateways[request.gateway];
        let effect =
            gateway.on_answer(&self.start, request.number_at_send, stated);
        if let AnswerEffect::Changed(report)
        | AnswerEffect::Confirmed(report) = &effect
        {
            self.reports.push(report.clone());
        }
        Some(effect)
    }

    fn receive(&mut self, gateway: usize, report: &LimitReport) -> LimitMerge {
        let merged = self.gateways[gateway].merge(report);
        if let LimitMerge::Contradicted(own) = &merged {
            self.reports.push(own.clone());
        }
        merged
    }

    fn play(&mut self, step: Step) {
        match step {
            Step::State(limit) => self.stated = stated_by(limit),
            Step::Send(gateway) => self.send(gateway),
            Step::Serve(index) => self.serve(index),
            Step::Answer(index) => {
                self.answer(index);
            }
            Step::Arrive(gateway, index) => {
                if let Some(report) = self.reports.get(index).cloned() {
                    self.receive(gateway, &report);
                }
            }
        }
    }

    /// A request goes to the upstream and back, and its report reaches the
    /// gateways to which it is sent.
    fn request_whole(&mut self, gateway: usize) -> Vec<LimitMerge> {
        self.send(gateway);
        let index = self.requests.len() - 1;
        self.serve(index);
        match self.answer(index).expect("an answer") {
            AnswerEffect::Unchanged => Vec::new(),
            AnswerEffect::Confirmed(report) => {
                vec![self.receive(0, &report)]
            }
            AnswerEffect::Changed(report) => (0..GATEWAYS)
                .filter(|other| *other != gateway)
                .map(|other| self.receive(other, &report))
                .collect(),
        }
    }

    fn rates(&self) -> Vec<Option<RequestRate>> {
        let gateways = self.gateways.iter();
        gateways.map(|limits| limits.rate(&self.start)).collect()
    }
}

fn stated_by(limit: Option<u8>) -> StatedLimit {
    limit.map_or(StatedLimit::Absent, |limit| stated(f64::from(limit)))
}

proptest! {
    #![proptest_config(cases())]

    /// Reports are lost, delayed and duplicated, and answers overtake one
    /// another. Once each gateway has received an answer and all reports have
    /// arrived, all gateways record the stated limit.
    #[test]
    fn all_gateways_converge_on_the_stated_limit(
        steps in prop::collection::vec(step(), 1..80),
    ) {
        let mut fleet = Fleet::new();
        for step in steps {
            fleet.play(step);
        }
        for gateway in 0..GATEWAYS {
            fleet.request_whole(gateway);
        }
        let mut arrived = 0;
        while arrived < fleet.reports.len() {
            let report = fleet.reports[arrived].clone();
            for gateway in 0..GATEWAYS {
                fleet.receive(gateway, &report);
            }
            arrived += 1;
            prop_assert!(arrived < 1_000, "reports are sent for ever");
        }
        let recorded = fleet.rates();
        let stated = match fleet.stated {
            StatedLimit::Rate(rate) => Some(rate),
            StatedLimit::Absent | StatedLimit::Unreadable => None,
        };
        prop_assert!(recorded.iter().all(|rate| *rate == stated), "{recorded:?}");
    }

    /// An upstream begins to state a limit and goes on. No gateway that knows
    /// of the limit takes it for over, whatever is answered and arrives when.
    #[test]
    fn a_limit_that_is_stated_without_a_break_is_never_over(
        before in prop::collection::vec(step(), 0..20),
        steps in prop::collection::vec(step(), 1..80),
    ) {
        let mut fleet = Fleet::new();
        let is_state = |step: &Step| matches!(step, Step::State(_));
        for step in before.into_iter().filter(|step| !is_state(step)) {
            fleet.play(step);
        }
        fleet.stated = stated(3.0);
        for step in steps.into_iter().filter(|step| !is_state(step)) {
            let limited_before = fleet.rates();
            fleet.play(step);
            let both = limited_before.iter().zip(fleet.rates());
            for (before, after) in both {
                prop_assert!(before.is_none() || after.is_some());
            }
        }
    }

    /// Gateways have answers that state a limit, one after the other, however
    /// soon. All believe the end of the limit at once, and nobody restores it.
    #[test]
    fn the_end_of_a_limit_is_believed_at_once_by_all(
        asking in prop::collection::vec(0..GATEWAYS, 1..30),
        last in 0..GATEWAYS,
    ) {
        let mut fleet = Fleet::new();
        fleet.stated = stated(3.0);
        for gateway in asking {
            fleet.request_whole(gateway);
        }
        fleet.stated = StatedLimit::Absent;
        let merged = fleet.request_whole(last);
        prop_assert!(
            merged.iter().all(|merge| *merge == LimitMerge::Applied),
            "{merged:?}"
        );
        prop_assert_eq!(fleet.rates(), vec![None; GATEWAYS]);
    }

    /// Several grantors follow one another. The permits issued in any 4 s are
    /// at most 1.5 times the stated rate, plus five.
    #[test]
    fn successive_grantors_keep_to_the_stated_rate(
        tenths in 1..400_u32,
        terms in prop::collection::vec(1_300..4_000_u64, 1..6),
    ) {
        let rate = rate(f64::from(tenths) / 10.0);
        let all: Vec<SocketAddr> = vec![SocketAddr::from(([10, 0, 0, 1], 7))];
        let id = UpstreamId::new("e1");
        let mut issued: Vec<u64> = Vec::new();
        let mut now = 0;
        for term_ms in terms {
            let mut grantor = PermitGrantor::new(all[0], at(now));
            let until = now + term_ms;
            while now < until {
                grantor.update_members(&all, true, at(now));
                let answer = grantor.answer_limited(&id, rate, at(now));
                if answer == PermitReply::Granted {
                    issued.push(now);
                }
                now += 7;
            }
        }
        let max = 1.5 * rate.per_second() * 4.0 + 5.0;
        for (index, first) in issued.iter().enumerate() {
            let rest = issued[index..].iter();
            let within = rest.take_while(|at| **at - first < 4_000).count();
            prop_assert!(within as f64 <= max, "{within} of {max}");
        }
    }
}

/// A datagram may come from any sender. A report with the greatest possible
/// number must not block later reports.
#[gtest]
fn a_report_with_the_greatest_number_does_no_harm() {
    let mut limits = UpstreamLimits::default();
    let one = start(1);
    limits.on_answer(&one, 0, stated(2.0));
    let over =
        LimitReport { start: one.clone(), number: u64::MAX, limit: None };
    let merged = limits.merge(&over);
    expect_that!(merged, pat!(LimitMerge::Contradicted(_)));
    expect_that!(limits.rate(&one), some(eq(rate(2.0))));
    limits.merge(&over);
    limits.on_answer(&one, limits.number(&one), stated(3.0));
    expect_that!(limits.rate(&one), some(eq(rate(3.0))));
}
