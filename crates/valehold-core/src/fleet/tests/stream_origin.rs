//! Tests of the origins of streams and of who keeps them.

use std::net::SocketAddr;

use googletest::prelude::*;
use proptest::prelude::{Strategy, any, prop, proptest};

use crate::{
    fleet::stream_origin::{
        OriginReport, ReportedStream, StreamId, StreamOrigin, StreamOrigins,
        reports_of,
    },
    id::{ServiceName, SoftwareVersion},
    time::Millis,
};

fn origin(software: &str) -> StreamOrigin {
    StreamOrigin {
        service: ServiceName::new("engines"),
        software: SoftwareVersion::new(software),
    }
}

fn stream(number: u64) -> StreamId {
    StreamId::of_request(&number.to_be_bytes())
}

fn report(number: u64, software: &str, keep_ms: u32) -> OriginReport {
    let streams = vec![ReportedStream { stream: stream(number), keep_ms }];
    OriginReport { origin: origin(software), streams }
}

fn gateways(count: u16) -> Vec<SocketAddr> {
    (0..count)
        .map(|number| {
            let [high, low] = number.to_be_bytes();
            SocketAddr::from(([10, 0, high, low], 7104))
        })
        .collect()
}

#[gtest]
fn an_origin_is_known_until_it_expires() {
    let mut origins = StreamOrigins::default();
    let now = Millis::new(100);
    origins.record(stream(1), &origin("v1"), true, 1_000, now);
    expect_that!(origins.get(stream(1), now), some(eq(&origin("v1"))));
    expect_that!(origins.get(stream(1), now + 999), some(anything()));
    expect_that!(origins.get(stream(1), now + 1_000), none());
    expect_that!(origins.get(stream(2), now), none());
}

/// Whoever continues it at either would be wrong half of the time.
#[gtest]
fn reports_that_contradict_one_another_tell_no_origin() {
    let mut origins = StreamOrigins::default();
    let now = Millis::new(100);
    origins.record(stream(1), &origin("v1"), true, 1_000, now);
    origins.receive(&[report(1, "v2", 500)], now);
    expect_that!(origins.get(stream(1), now), none());
    origins.receive(&[report(1, "v1", 500)], now);
    expect_that!(origins.get(stream(1), now), none());
    expect_that!(origins.report(stream(1), now), none());
}

#[gtest]
fn streams_of_a_service_with_one_version_are_reported_once_it_has_another() {
    let mut origins = StreamOrigins::default();
    let now = Millis::new(100);
    origins.record(stream(1), &origin("v1"), true, 5_000, now);
    expect_that!(origins.take_unreported(|_| true, now), is_empty());
    let later = now + 2_000;
    let reported = origins.take_unreported(|_| false, later);
    let reports = reports_of(reported);
    expect_that!(reports, elements_are![eq(&report(1, "v1", 3_000))]);
    expect_that!(origins.take_unreported(|_| false, later), is_empty());
    // With several services, the version of one does not tell the origin.
    origins.record(stream(2), &origin("v1"), false, 5_000, later);
    expect_that!(origins.take_unreported(|_| true, later).len(), eq(1));
}

#[gtest]
fn the_number_of_origins_is_limited() {
    let mut origins = StreamOrigins::default();
    let now = Millis::new(100);
    for number in 0..70_000 {
        let keep_ms = 10_000 + number;
        origins.record(stream(number), &origin("v1"), true, keep_ms, now);
    }
    expect_that!(origins.get(stream(0), now), none());
    expect_that!(origins.get(stream(69_999), now), some(anything()));
    let left = origins.take_unreported(|_| false, now).len();
    expect_that!(left, eq(65_536));
}

#[gtest]
fn all_gateways_of_a_small_fleet_keep_origins() {
    let others = gateways(8);
    expect_that!(stream(1).keepers(&others), eq(&others));
    let members = gateways(9);
    expect_that!(stream(1).possible_keepers(&members), eq(&members));
    expect_that!(stream(1).keepers(&gateways(500)).len(), eq(3));
}

proptest! {
    /// Whichever gateway began a stream, those that are asked include all
    /// keepers, also where some that ended are still taken for members.
    #[test]
    fn the_gateways_that_are_asked_include_the_keepers(
        number in any::<u64>(),
        count in 2_u16..600,
        first in any::<prop::sample::Index>(),
    ) {
        let members = gateways(count);
        let began = members[first.index(members.len())];
        let mut others = members.clone();
        others.retain(|one| *one != began);
        let asked = stream(number).possible_keepers(&members);
        for keeper in stream(number).keepers(&others) {
            assert!(asked.contains(&keeper));
        }
    }

    /// In whatever order, and however often reports arrive: what is known is
    /// what all of them say.
    #[test]
    fn what_is_known_is_what_every_report_says(
        reports in prop::collection::vec(
            (0_u64..4, 0_u8..3, 1_000_u32..9_000, 0_u64..500),
            1..40,
        ).prop_map(|mut all| { all.sort_by_key(|one| one.3); all }),
    ) {
        let mut origins = StreamOrigins::default();
        let version = |number: u8| format!("v{number}");
        for (number, software, keep_ms, at) in &reports {
            let report = report(*number, &version(*software), *keep_ms);
            origins.receive(&[report], Millis::new(*at));
        }
        for number in 0..4 {
            let mut said: Vec<u8> = reports
                .iter()
                .filter(|one| one.0 == number)
                .map(|one| one.1)
                .collect();
            said.dedup();
            let expected = match said[..] {
                [only] => Some(origin(&version(only))),
                _ => None,
            };
            let known = origins.get(stream(number), Millis::new(500));
            assert_eq!(known, expected.as_ref());
        }
    }
}
