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
            LimitMerge, LimitReport, RequestRate, StatedLimit, UpstreamLimits,
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
    let report = limits.on_answer(&one, at(50), stated(2.0), at(100)).unwrap();
    expect_that!(report.limit, some(eq(rate(2.0))));
    expect_that!(limits.rate(&one), some(eq(rate(2.0))));
    expect_that!(limits.rate(&start(2)), none());
    // The answer to an earlier request and an unreadable limit change nothing.
    let early = limits.on_answer(&one, at(90), StatedLimit::Absent, at(900));
    expect_that!(early, none());
    let unread = StatedLimit::Unreadable;
    expect_that!(limits.on_answer(&one, at(950), unread, at(960)), none());
    // The same limit again is no change, but confirms the limit.
    expect_that!(
        limits.on_answer(&one, at(970), stated(2.0), at(980)),
        none()
    );
    let early = limits.on_answer(&one, at(980), StatedLimit::Absent, at(990));
    expect_that!(early, none());
    expect_that!(limits.rate(&one), some(eq(rate(2.0))));
    let over = limits.on_answer(&one, at(981), StatedLimit::Absent, at(995));
    expect_that!(over.unwrap().limit, none());
    expect_that!(limits.rate(&one), none());
}

#[gtest]
fn a_report_of_the_end_is_contradicted_by_a_recent_answer() {
    let mut limits = UpstreamLimits::default();
    let one = start(1);
    let own = limits.on_answer(&one, at(50), stated(2.0), at(100)).unwrap();
    let over = LimitReport { number: own.number + 1, limit: None, ..own };
    let LimitMerge::Contradicted(again) = limits.merge(&over, at(1_099))
    else {
        panic!("the report is not contradicted");
    };
    expect_that!(again.number, gt(over.number));
    expect_that!(again.limit, some(eq(rate(2.0))));
    // A later report may be true.
    let over = LimitReport { number: again.number + 1, limit: None, ..again };
    expect_that!(limits.merge(&over, at(1_100)), eq(&LimitMerge::Applied));
    expect_that!(limits.merge(&over, at(1_200)), eq(&LimitMerge::Unchanged));
    expect_that!(limits.rate(&one), none());
}

/// A step of a history of some gateways and an upstream.
#[derive(Debug, Clone)]
enum Step {
    /// Time passes, in ms.
    Pass(u64),
    /// The upstream states another limit, or none, from now on.
    State(Option<u8>),
    /// A gateway has an answer to a request that was sent this many ms ago.
    Answer(usize, u64),
    /// A sent report arrives at a gateway.
    Arrive(usize, usize),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        2 => (1..700_u64).prop_map(Step::Pass),
        1 => prop::option::of(1..4_u8).prop_map(Step::State),
        4 => (0..4_usize, 0..900_u64).prop_map(|(g, ms)| Step::Answer(g, ms)),
        6 => (0..4_usize, 0..64_usize).prop_map(|(g, r)| Step::Arrive(g, r)),
    ]
}

proptest! {
    #![proptest_config(cases())]

    /// Reports are lost, delayed and duplicated. Once all reports have
    /// arrived, all gateways record the same limit; once each gateway has also
    /// received an answer, that limit is the stated one.
    #[test]
    fn all_gateways_converge_on_the_stated_limit(
        steps in prop::collection::vec(step(), 1..60),
    ) {
        let one = start(1);
        let mut gateways = vec![UpstreamLimits::default(); 4];
        let mut sent_reports: Vec<LimitReport> = Vec::new();
        let mut stated_rate: Option<RequestRate> = None;
        let mut now = at(10_000);
        for step in steps {
            match step {
                Step::Pass(ms) => now = now + ms,
                Step::State(limit) => {
                    stated_rate = limit.map(|limit| rate(f64::from(limit)));
                }
                Step::Answer(gateway, ago_ms) => {
                    let sent = at(now.get() - ago_ms);
                    let stated = stated_rate.map_or(StatedLimit::Absent, StatedLimit::Rate);
                    let limits = &mut gateways[gateway];
                    sent_reports.extend(limits.on_answer(&one, sent, stated, now));
                }
                Step::Arrive(gateway, index) => {
                    let Some(report) = sent_reports.get(index).cloned() else { continue };
                    let merged = gateways[gateway].merge(&report, now);
                    if let LimitMerge::Contradicted(own) = merged {
                        sent_reports.push(own);
                    }
                }
            }
        }
        // Later, each gateway gets an answer and receives all reports.
        for limits in &mut gateways {
            now = now + 2_000;
            let stated = stated_rate.map_or(StatedLimit::Absent, StatedLimit::Rate);
            sent_reports.extend(limits.on_answer(&one, now, stated, now + 1));
        }
        now = now + 2_000;
        for limits in &mut gateways {
            for report in &sent_reports {
                limits.merge(report, now);
            }
        }
        let recorded: Vec<Option<RequestRate>> =
            gateways.iter().map(|limits| limits.rate(&one)).collect();
        prop_assert!(recorded.iter().all(|rate| *rate == stated_rate), "{recorded:?}");
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
    limits.on_answer(&one, at(50), stated(2.0), at(100));
    let over =
        LimitReport { start: one.clone(), number: u64::MAX, limit: None };
    let merged = limits.merge(&over, at(200));
    expect_that!(merged, pat!(LimitMerge::Contradicted(_)));
    expect_that!(limits.rate(&one), some(eq(rate(2.0))));
    limits.merge(&over, at(2_000));
    limits.on_answer(&one, at(2_100), stated(3.0), at(2_200));
    expect_that!(limits.rate(&one), some(eq(rate(3.0))));
}
