//! Each port, spoken by its client to its stand-in, under faults.
//!
//! The verdict of every failure is what the promises rest on.

use std::time::Duration;

use googletest::prelude::*;
use valehold_core::{
    Verdict,
    id::{Artifact, RequestId, UpstreamId},
    order::{Order, Stamp, Wanted},
};
use valehold_ports::{
    PortError, PortErrorKind,
    http::{ClientSettings, HttpEngines, HttpPlatform, HttpServices},
    port::{
        CommitOutcome, Engines, GenerateRequest, InstanceList, Objects,
        PromptKind, ServiceCall, Services, Table, Transaction,
    },
};
use valehold_standin::{
    EngineSettings, EngineStandin, Faults, PlatformStandin, ServiceStandin,
};

/// A fault, and what a client has to make of it.
#[derive(Debug, Clone, Copy)]
enum Fault {
    None,
    Refused,
    Failed,
    Lost,
    Frozen,
}

const FAULTS: [(Fault, Option<(PortErrorKind, Verdict)>); 5] = [
    (Fault::None, None),
    (Fault::Refused, Some((PortErrorKind::Refused, Verdict::NotRun))),
    (Fault::Failed, Some((PortErrorKind::Failed, Verdict::MayHaveRun))),
    (Fault::Lost, Some((PortErrorKind::Broken, Verdict::MayHaveRun))),
    (Fault::Frozen, Some((PortErrorKind::TimedOut, Verdict::MayHaveRun))),
];

fn settings() -> ClientSettings {
    ClientSettings {
        answer_timeout: Duration::from_millis(300),
        ..ClientSettings::default()
    }
}

fn switch(faults: &Faults, fault: Fault) {
    faults.freeze(matches!(fault, Fault::Frozen));
    match fault {
        Fault::None | Fault::Frozen => {}
        Fault::Refused => faults.refuse_next(1),
        Fault::Failed => faults.fail_next(1),
        Fault::Lost => faults.lose_next(1),
    }
}

fn seen<T>(
    result: &std::result::Result<T, PortError>,
) -> Option<(PortErrorKind, Verdict)> {
    result.as_ref().err().map(|e| (e.kind(), e.verdict()))
}

/// Tries a call under each fault.
async fn under_faults<T, F>(faults: &Faults, call: impl Fn() -> F)
where
    F: Future<Output = std::result::Result<T, PortError>>,
{
    for (fault, wanted) in FAULTS {
        switch(faults, fault);
        expect_that!(seen(&call().await), eq(wanted), "{fault:?}");
    }
    faults.freeze(false);
}

#[gtest]
#[tokio::test]
async fn the_table_under_faults() {
    let platform = PlatformStandin::new();
    let server = platform.serve().await.unwrap();
    let client = HttpPlatform::new(server.address(), settings());
    let faults = &platform.store_faults;
    under_faults(faults, || client.get("a")).await;
    under_faults(faults, || client.scan("a")).await;
    let tx = Transaction::new().put("a", "1");
    under_faults(faults, || client.commit(&tx)).await;
    drop(server);
    let gone = seen(&client.commit(&tx).await);
    let verdict = gone.map(|(_, verdict)| verdict);
    expect_that!(verdict, some(anything()));
}

#[gtest]
#[tokio::test]
async fn a_table_that_was_never_there_proves_that_nothing_ran() {
    let platform = PlatformStandin::new();
    let server = platform.serve().await.unwrap();
    let address = server.address();
    drop(server);
    let client = HttpPlatform::new(address, settings());
    let gone = seen(&client.commit(&Transaction::new()).await);
    expect_that!(gone, some(eq((PortErrorKind::Connect, Verdict::NotRun))));
}

#[gtest]
#[tokio::test]
async fn transactions_happen_whole_or_not_at_all() {
    let platform = PlatformStandin::new();
    let server = platform.serve().await.unwrap();
    let client = HttpPlatform::new(server.address(), settings());
    let first = Transaction::new().when("a", 0).put("a", "1").put("b", "1");
    let done = client.commit(&first).await.unwrap();
    let CommitOutcome::Done { version } = done else { panic!("{done:?}") };
    let stale = Transaction::new().when("a", 0).put("a", "2").put("c", "2");
    let conflict = CommitOutcome::Conflict { key: "a".to_owned() };
    expect_that!(client.commit(&stale).await.unwrap(), eq(&conflict));
    expect_that!(client.get("c").await.unwrap(), none());
    let next = Transaction::new().when("a", version).delete("a");
    let done = client.commit(&next).await.unwrap();
    expect_that!(done, matches_pattern!(CommitOutcome::Done { .. }));
    let rows = client.scan("").await.unwrap();
    expect_that!(rows.len(), eq(1));
    expect_that!(rows[0].version, eq(version));
}

#[gtest]
#[tokio::test]
async fn the_object_store_and_the_list_under_faults() {
    let platform = PlatformStandin::new();
    let server = platform.serve().await.unwrap();
    let client = HttpPlatform::new(server.address(), settings());
    let body = bytes::Bytes::from_static(b"text");
    let faults = &platform.store_faults;
    under_faults(faults, || client.write("o", body.clone())).await;
    under_faults(faults, || client.read("o")).await;
    expect_that!(client.read("o").await.unwrap(), some(eq(&body)));
    expect_that!(client.read("none").await.unwrap(), none());
    under_faults(&platform.list_faults, || client.list()).await;
}

fn order(sequence: u64, wanted: Wanted) -> Order {
    Order {
        engine: UpstreamId::new("e"),
        artifact: Artifact::new("m", 1),
        size_mib: 10,
        wanted,
        stamp: Stamp { epoch: 1, sequence },
    }
}

fn request() -> GenerateRequest {
    GenerateRequest {
        request: RequestId::new("r"),
        artifact: Artifact::new("m", 1),
        base: None,
        kind: PromptKind::Chat,
        body: serde_json::json!({"messages": []}),
        priority: 1,
    }
}

async fn engine() -> (EngineStandin, valehold_standin::Running) {
    let engine = EngineStandin::new(EngineSettings {
        load_time: Duration::ZERO,
        token_time: Duration::from_millis(1),
        ..EngineSettings::default()
    });
    let server = engine.serve().await.unwrap();
    (engine, server)
}

#[gtest]
#[tokio::test]
async fn engines_under_faults() {
    let (engine, server) = engine().await;
    let client = HttpEngines::new(settings());
    let at = server.address();
    under_faults(&engine.faults, || client.status(at)).await;
    let load = order(1, Wanted::Resident);
    under_faults(&engine.order_faults, || client.order(at, &load)).await;
    // The answer of a generation is a stream, so a lost one begins.
    for (fault, wanted) in FAULTS {
        if !matches!(fault, Fault::Lost) {
            switch(&engine.faults, fault);
            let begun = client.generate(at, &request()).await;
            expect_that!(seen(&begun), eq(wanted), "{fault:?}");
        }
    }
}

#[gtest]
#[tokio::test]
async fn an_engine_says_that_it_did_not_run_what_it_does_not_hold() {
    let (engine, server) = engine().await;
    let client = HttpEngines::new(settings());
    let refused = client.generate(server.address(), &request()).await;
    let wanted = (PortErrorKind::Refused, Verdict::NotRun);
    expect_that!(seen(&refused), some(eq(wanted)));
    expect_that!(engine.requests(), eq(0));
}

#[gtest]
#[tokio::test]
async fn an_engine_that_checks_fences_refuses_an_older_order() {
    let (engine, server) = engine().await;
    let client = HttpEngines::new(settings());
    let at = server.address();
    client.order(at, &order(2, Wanted::Absent)).await.unwrap();
    let late = client.order(at, &order(1, Wanted::Resident)).await;
    expect_that!(late.is_err(), eq(true));
    expect_that!(engine.loads(), eq(0));
    let status = client.status(at).await.unwrap();
    let fence = Stamp { epoch: 1, sequence: 2 };
    let fences = vec![(Artifact::new("m", 1), fence)];
    expect_that!(status.residency.fences, eq(&fences));
}

#[gtest]
#[tokio::test]
async fn services_under_faults() {
    let service = ServiceStandin::new();
    let server = service.serve().await.unwrap();
    let client = HttpServices::new(settings());
    let call = ServiceCall {
        method: "POST".to_owned(),
        path: "/bays/4".to_owned(),
        content_type: None,
        body: bytes::Bytes::from_static(b"bay 4"),
    };
    let at = server.address();
    for (fault, wanted) in FAULTS {
        switch(&service.faults, fault);
        let called = client.call(at, &call).await;
        // A service's own error is an answer: the call ran, and says so.
        let wanted = match fault {
            Fault::Failed => None,
            _ => wanted,
        };
        expect_that!(seen(&called), eq(wanted), "{fault:?}");
    }
    service.faults.freeze(false);
    drop(server);
    let gone = seen(&client.call(at, &call).await);
    expect_that!(gone, some(eq((PortErrorKind::Connect, Verdict::NotRun))));
}

#[gtest]
#[tokio::test]
async fn a_lagging_list_shows_what_was() {
    let platform = PlatformStandin::new();
    let server = platform.serve().await.unwrap();
    let client = HttpPlatform::new(server.address(), settings());
    platform.lag_list(Duration::from_secs(3600));
    let listed = valehold_ports::port::Listed {
        name: "e".to_owned(),
        kind: valehold_ports::port::ListedKind::Engine,
        address: server.address(),
        peer_address: None,
        data_centre: "dc".into(),
        state: valehold_ports::port::ListedState::Live,
    };
    platform.set_listed(listed);
    expect_that!(client.list().await.unwrap().len(), eq(0));
    platform.lag_list(Duration::ZERO);
    expect_that!(client.list().await.unwrap().len(), eq(1));
}
