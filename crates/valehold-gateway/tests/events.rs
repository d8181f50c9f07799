//! Tests of the events: the documented list, their JSON form, levels and
//! descriptions.

use googletest::prelude::*;
use valehold_core::{
    Verdict,
    fleet::replicas::LoadSource,
    id::{
        DataCentreId, InstanceId, RegionId, ServiceName, SoftwareVersion,
        UpstreamId, WorkspaceId,
    },
    reason::RefusalReason,
};
use valehold_gateway::events::{
    BoundRecord, CatalogSource, ConnectionEnd, ConnectionEnded, CrashEvidence,
    EmptyBoundPair, Event, EventKind, PassedOver, PassedOverFor, ReportSource,
    RequestEnd, RequestEnded, RequestOutcome, SendEnd, SendRecord,
};

const OPERATIONS_PAGE: &str = include_str!("../../../docs/OPERATIONS.md");

/// One event of each kind.
fn every_event() -> Vec<Event> {
    let error = || "a reason".to_owned();
    vec![
        Event::Started {
            instance: InstanceId::new("g1"),
            data_centre: DataCentreId::new("north"),
            version: "1".to_owned(),
        },
        Event::Suspended { for_ms: 5_000 },
        Event::Stopping,
        Event::Stopped,
        Event::SettingsRead,
        Event::SettingsKept { error: error() },
        Event::StoreLost { error: error() },
        Event::StoreBack,
        Event::StoreCallFailed {
            call: "watch_configuration".to_owned(),
            took_ms: 3_200,
            error: error(),
        },
        Event::PeerFound { address: "127.0.0.1:1".parse().unwrap() },
        Event::ConfigurationInForce {
            version: 7,
            before: 3,
            source: CatalogSource::Push,
            keep_alive_ms: 15_000,
        },
        Event::EmptyBounds {
            version: 7,
            count: 1,
            pairs: vec![EmptyBoundPair {
                host: "callers.example".to_owned(),
                prefix: "/south/".to_owned(),
                workspace: WorkspaceId::new("north"),
            }],
        },
        Event::EvacuationOrdered {
            data_centre: DataCentreId::new("north"),
            version: 8,
            left_ms: 750,
            is_declared: true,
            source: CatalogSource::Store,
        },
        Event::EvacuationInForce { data_centre: DataCentreId::new("north") },
        Event::EvacuationLeavesNone {
            service: ServiceName::new("engines"),
            region: Some(RegionId::new("coast")),
        },
        Event::EvacuationTakenBack {
            data_centre: DataCentreId::new("north"),
            version: 9,
            source: CatalogSource::Peer,
        },
        Event::LeaseTaken { epoch: 3 },
        Event::LeaseGivenUp { epoch: 3 },
        Event::OrderEnded {
            engine: UpstreamId::new("e1"),
            wish: "load".to_owned(),
            variant: "alpha".to_owned(),
            outcome: "accepted".to_owned(),
            epoch: 3,
            source: Some(LoadSource::WeightStore),
            planned_ms: 40,
        },
        Event::LoadsHeldBack { epoch: 3, counted: 170, allowed: 170 },
        Event::UpstreamUnreachable {
            upstream: UpstreamId::new("e1"),
            error: error(),
        },
        Event::UpstreamLinksLost { unreachable: 3, error: error() },
        Event::UpstreamLinksRegained { after_ms: 12_000 },
        Event::ServiceBrittle {
            service: ServiceName::new("plain"),
            rejections_per_second: 3,
        },
        Event::StoreRestored { era: 2, before: 1 },
        Event::HistoryGone { call: "watch_upstreams".to_owned(), after: 120 },
        Event::StateOutdated { age_ms: 1_290, position: 3 },
        Event::ListLeftOut { version: 95, known: 120 },
        Event::UpstreamCrashed {
            upstream: UpstreamId::new("e1"),
            under_way: vec!["0123456789abcdef".to_owned()],
        },
        Event::CrashUnconfirmed { upstream: UpstreamId::new("e1") },
        Event::RequestSuspected {
            content: "0123456789abcdef".to_owned(),
            refused: false,
            survivors: 1,
            crashes: vec![CrashEvidence {
                upstream: "e1".to_owned(),
                ago_ms: 120,
                in_flight_ms: Some(45),
            }],
        },
        Event::PartsRefused {
            parts: vec!["00000000000000aa".to_owned()],
            refused: true,
            crashes: vec!["e1".to_owned()],
        },
        Event::UpstreamLeaving {
            upstream: UpstreamId::new("e1"),
            source: ReportSource::Answer,
        },
        Event::UpstreamRests {
            upstream: UpstreamId::new("e1"),
            for_ms: 3_000,
        },
        Event::UpstreamLimited {
            upstream: UpstreamId::new("e1"),
            per_second: 2.5,
            source: ReportSource::Peer,
        },
        Event::UpstreamUnlimited {
            upstream: UpstreamId::new("e1"),
            source: ReportSource::Answer,
        },
        Event::ConnectionEnded(ConnectionEnded {
            end: ConnectionEnd::Rested,
            is_unanswered: true,
            last_request: Some("c7d9".to_owned()),
            open_ms: 9_000,
            resting_ms: 2_000,
            configuration: 7,
        }),
        Event::RequestEnded(Box::new(refused_request())),
    ]
}

fn refused_request() -> RequestEnded {
    RequestEnded {
        request: "a1".to_owned(),
        workspace: Some(WorkspaceId::new("north")),
        resumes: Some("a0".to_owned()),
        service: Some(ServiceName::new("engines")),
        variant: Some("alpha/a1".to_owned()),
        content: Some("0123456789abcdef".to_owned()),
        parts: vec!["00000000000000aa".to_owned()],
        rank: 1,
        end: RequestEnd {
            outcome: RequestOutcome::Refused,
            status: 503,
            reason: Some(RefusalReason::UpstreamFailed),
            verdict: Verdict::NotRun,
            come_back_ms: Some(400),
        },
        took_ms: 12,
        first_ms: None,
        longest_pause_ms: None,
        begin_within_ms: 400,
        pause_within_ms: 300,
        deadline_ms: 12_000,
        able: 1,
        passed_over: vec![PassedOver {
            upstream: UpstreamId::new("e2"),
            reason: PassedOverFor::Leaving,
        }],
        bound: Some(BoundRecord {
            regions: [RegionId::new("south")].into(),
            of_route: None,
            of_workspace: Some([RegionId::new("south")].into()),
            able_elsewhere: 2,
        }),
        predicted_ms: Some(90),
        configuration: 7,
        listing: 20,
        sends: vec![SendRecord {
            upstream: UpstreamId::new("e1"),
            software: Some(SoftwareVersion::new("v1.1")),
            after_event: Some(4),
            at_ms: 1,
            predicted_ms: 90,
            running: 3,
            waiting_tokens: 100,
            read_tokens: 50,
            first_ms: None,
            end: SendEnd::Busy,
            connect_error: None,
            rest_ms: Some(3_000),
        }],
    }
}

#[gtest]
fn the_page_lists_every_event_and_no_other() {
    let listed: Vec<&str> = OPERATIONS_PAGE
        .lines()
        .filter_map(|line| line.strip_prefix("| event `"))
        .filter_map(|rest| rest.split('`').next())
        .collect();
    let codes: Vec<&str> = EventKind::ALL.iter().map(|k| k.code()).collect();
    expect_that!(listed, eq(&codes));
}

#[gtest]
fn lines_name_their_kind_and_are_read_back() {
    let events = every_event();
    expect_that!(events.len(), eq(EventKind::ALL.len()));
    for (event, kind) in events.iter().zip(EventKind::ALL) {
        expect_that!(event.kind(), eq(*kind));
        let line = event.to_string();
        let named = format!(r#"{{"event":"{}""#, kind.code());
        expect_that!(line, starts_with(named));
        let read: Event = serde_json::from_str(&line).expect("an event");
        expect_that!(read, eq(event));
        expect_that!(event.describe(), ends_with("\n"));
    }
}

/// Gateways of the previous version write no `bound` field.
#[gtest]
fn a_line_without_a_bound_is_read() {
    let mut line: serde_json::Value =
        serde_json::to_value(Event::RequestEnded(Box::new(refused_request())))
            .expect("an event");
    line.as_object_mut().expect("an object").remove("bound");
    let read: Event = serde_json::from_value(line).expect("an event");
    let expected = RequestEnded { bound: None, ..refused_request() };
    expect_that!(read, eq(&Event::RequestEnded(Box::new(expected))));
}

#[gtest]
fn failed_and_late_requests_are_logged_as_warnings() {
    let failed = Event::RequestEnded(Box::new(refused_request()));
    expect_that!(failed.level(), eq(log::Level::Warn));
    let mut in_time = refused_request();
    in_time.end.outcome = RequestOutcome::Answered;
    in_time.end.status = 200;
    in_time.first_ms = Some(100);
    let answered = Event::RequestEnded(Box::new(in_time.clone()));
    expect_that!(answered.level(), eq(log::Level::Debug));
    let late = RequestEnded { first_ms: Some(401), ..in_time.clone() };
    let paused = RequestEnded { longest_pause_ms: Some(301), ..in_time };
    for late in [late, paused] {
        let late = Event::RequestEnded(Box::new(late));
        expect_that!(late.level(), eq(log::Level::Warn));
    }
}

#[gtest]
fn a_description_contains_the_sends_and_the_outcome() {
    let text = refused_request().describe();
    let bound = "bound to south (its route allowed any, its workspace south); \
                 2 upstreams elsewhere held";
    expect_that!(text, contains_substring(bound));
    let passed_over = "passed over: e2, which leaves";
    expect_that!(text, contains_substring(passed_over));
    expect_that!(text, contains_substring("send 1 to e1 at 1 ms"));
    expect_that!(text, contains_substring("full or busy with an order"));
    expect_that!(text, contains_substring("asked for 3000 ms of rest"));
    expect_that!(text, contains_substring("refused with 503"));
    expect_that!(text, contains_substring("it has not run"));
    expect_that!(text, contains_substring("come back in 400 ms"));
    expect_that!(text, contains_substring("continues the stream that a0"));
    expect_that!(text, contains_substring("its software is v1.1"));
    expect_that!(text, contains_substring("continue after event 4"));
}
