//! Upstreams in need get no more than they name, whatever is heard when.

use std::net::SocketAddr;

use googletest::prelude::*;
use proptest::prelude::*;

use crate::{
    fleet::{
        UpstreamStart,
        cold::{Grantor, RightAnswer},
        upstream_limit::{
            HeardLimit, LimitWord, RequestRate, StatedLimit, UpstreamLimits,
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
    RequestRate::of(per_second).unwrap()
}

fn of(per_second: f64) -> StatedLimit {
    StatedLimit::Of(rate(per_second))
}

#[gtest]
fn what_is_no_rate_is_none() {
    for number in [-1.0, f64::NAN, f64::INFINITY, f64::NEG_INFINITY] {
        expect_that!(RequestRate::of(number), none(), "{number}");
    }
    expect_that!(rate(1.5).per_second(), eq(1.5));
    // One that takes nothing is asked again now and then.
    expect_that!(rate(0.0).per_second(), eq(0.05));
}

#[gtest]
fn a_limit_holds_until_a_later_request_is_answered_without_it() {
    let mut limits = UpstreamLimits::default();
    let one = start(1);
    let word = limits.answered(&one, at(50), of(2.0), at(100)).unwrap();
    expect_that!(word.limit, some(eq(rate(2.0))));
    expect_that!(limits.rate(&one), some(eq(rate(2.0))));
    expect_that!(limits.rate(&start(2)), none());
    // Answers to requests from before, and what cannot be read.
    let early = limits.answered(&one, at(90), StatedLimit::No, at(900));
    expect_that!(early, none());
    let unread = StatedLimit::Unreadable;
    expect_that!(limits.answered(&one, at(950), unread, at(960)), none());
    // The same again is no news, and confirms it.
    expect_that!(limits.answered(&one, at(970), of(2.0), at(980)), none());
    let early = limits.answered(&one, at(980), StatedLimit::No, at(990));
    expect_that!(early, none());
    expect_that!(limits.rate(&one), some(eq(rate(2.0))));
    let over = limits.answered(&one, at(981), StatedLimit::No, at(995));
    expect_that!(over.unwrap().limit, none());
    expect_that!(limits.rate(&one), none());
}

#[gtest]
fn a_word_that_it_is_over_is_contradicted_by_who_has_just_heard_it() {
    let mut limits = UpstreamLimits::default();
    let one = start(1);
    let own = limits.answered(&one, at(50), of(2.0), at(100)).unwrap();
    let over = LimitWord { number: own.number + 1, limit: None, ..own };
    let HeardLimit::Contradicted(again) = limits.hear(&over, at(1_099)) else {
        panic!("it is believed");
    };
    expect_that!(again.number, gt(over.number));
    expect_that!(again.limit, some(eq(rate(2.0))));
    // Later it may be true.
    let over = LimitWord { number: again.number + 1, limit: None, ..again };
    expect_that!(limits.hear(&over, at(1_100)), eq(&HeardLimit::Believed));
    expect_that!(limits.hear(&over, at(1_200)), eq(&HeardLimit::Known));
    expect_that!(limits.rate(&one), none());
}

/// A step of some gateways and an upstream.
#[derive(Debug, Clone)]
enum Step {
    /// Time passes, in ms.
    Pass(u64),
    /// The upstream names another limit, or none, from now on.
    Name(Option<u8>),
    /// A gateway has an answer to a request that was sent so many ms ago.
    Answer(usize, u64),
    /// A word that was told arrives at a gateway.
    Arrive(usize, usize),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        2 => (1..700_u64).prop_map(Step::Pass),
        1 => prop::option::of(1..4_u8).prop_map(Step::Name),
        4 => (0..4_usize, 0..900_u64).prop_map(|(g, ms)| Step::Answer(g, ms)),
        6 => (0..4_usize, 0..64_usize).prop_map(|(g, w)| Step::Arrive(g, w)),
    ]
}

proptest! {
    #![proptest_config(cases())]

    /// Whatever was lost, late or twice: once all words have arrived, all
    /// believe the same; and once each has had an answer, what is true.
    #[test]
    fn all_come_to_believe_what_the_upstream_says(
        steps in prop::collection::vec(step(), 1..60),
    ) {
        let one = start(1);
        let mut gateways = vec![UpstreamLimits::default(); 4];
        let mut told: Vec<LimitWord> = Vec::new();
        let mut names: Option<RequestRate> = None;
        let mut now = at(10_000);
        for step in steps {
            match step {
                Step::Pass(ms) => now = now + ms,
                Step::Name(limit) => {
                    names = limit.map(|limit| rate(f64::from(limit)));
                }
                Step::Answer(gateway, ago_ms) => {
                    let sent = at(now.get() - ago_ms);
                    let stated = names.map_or(StatedLimit::No, StatedLimit::Of);
                    let limits = &mut gateways[gateway];
                    told.extend(limits.answered(&one, sent, stated, now));
                }
                Step::Arrive(gateway, which) => {
                    let Some(word) = told.get(which).cloned() else { continue };
                    let heard = gateways[gateway].hear(&word, now);
                    if let HeardLimit::Contradicted(own) = heard {
                        told.push(own);
                    }
                }
            }
        }
        // Long after that each has an answer, and hears all that was told.
        for limits in &mut gateways {
            now = now + 2_000;
            let stated = names.map_or(StatedLimit::No, StatedLimit::Of);
            told.extend(limits.answered(&one, now, stated, now + 1));
        }
        now = now + 2_000;
        for limits in &mut gateways {
            for word in &told {
                limits.hear(word, now);
            }
        }
        let believed: Vec<Option<RequestRate>> =
            gateways.iter().map(|limits| limits.rate(&one)).collect();
        prop_assert!(believed.iter().all(|rate| *rate == names), "{believed:?}");
    }

    /// Over grantors that follow one another, no 4 s hold more rights than the
    /// upstream names, half as much again and five.
    #[test]
    fn grantors_in_turn_give_out_what_is_named(
        tenths in 1..400_u32,
        reigns in prop::collection::vec(1_300..4_000_u64, 1..6),
    ) {
        let rate = rate(f64::from(tenths) / 10.0);
        let all: Vec<SocketAddr> = vec![SocketAddr::from(([10, 0, 0, 1], 7))];
        let id = UpstreamId::new("e1");
        let mut given: Vec<u64> = Vec::new();
        let mut now = 0;
        for reign_ms in reigns {
            let mut grantor = Grantor::new(all[0], at(now));
            let until = now + reign_ms;
            while now < until {
                grantor.hear(&all, true, at(now));
                let answer = grantor.answer_limited(&id, rate, at(now));
                if answer == RightAnswer::Granted {
                    given.push(now);
                }
                now += 7;
            }
        }
        let most = 1.5 * rate.per_second() * 4.0 + 5.0;
        for (index, first) in given.iter().enumerate() {
            let rest = given[index..].iter();
            let within = rest.take_while(|at| **at - first < 4_000).count();
            prop_assert!(within as f64 <= most, "{within} of {most}");
        }
    }
}

/// Datagrams may be anybody's.
#[gtest]
fn a_word_with_the_greatest_number_does_no_harm() {
    let mut limits = UpstreamLimits::default();
    let one = start(1);
    limits.answered(&one, at(50), of(2.0), at(100));
    let over = LimitWord { start: one.clone(), number: u64::MAX, limit: None };
    let heard = limits.hear(&over, at(200));
    expect_that!(heard, pat!(HeardLimit::Contradicted(_)));
    expect_that!(limits.rate(&one), some(eq(rate(2.0))));
    limits.hear(&over, at(2_000));
    limits.answered(&one, at(2_100), of(3.0), at(2_200));
    expect_that!(limits.rate(&one), some(eq(rate(3.0))));
}
