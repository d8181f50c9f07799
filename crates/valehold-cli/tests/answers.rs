//! Whole answers, true refusals, and retries, under failing upstreams.

mod support;

use std::time::Duration;

use bytes::Bytes;
use googletest::prelude::*;
use http::{Response, StatusCode};
use serde_json::Value;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use valehold_standin::EngineStandin;

use crate::support::{
    Caller, Deployment, eventually, expected_answer, in_time, streamed_answer,
};

/// Turns on a fault of an engine.
type Switch = fn(&EngineStandin);

/// Returns the text of an answer that is not streamed.
fn plain_text(answer: &Response<Bytes>) -> Option<String> {
    let body: Value = serde_json::from_slice(answer.body()).ok()?;
    let content = &body["choices"][0]["message"]["content"];
    content.as_str().map(str::to_owned)
}

/// Returns the code of a refusal.
fn code(answer: &Response<Bytes>) -> String {
    let body: Value = serde_json::from_slice(answer.body()).unwrap();
    body["error"]["code"].as_str().unwrap_or_default().to_owned()
}

fn ran(answer: &Response<Bytes>) -> &str {
    answer.headers()["valehold-ran"].to_str().unwrap()
}

/// Returns the one engine that holds the model `single`.
fn only_engine(deployment: &Deployment) -> EngineStandin {
    let holders = deployment.holders(0, "single");
    deployment.site.engines[&holders[0]].clone()
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn frames_that_are_crossed_repeated_missing_or_cut_do_no_harm() {
    let deployment = Deployment::small(1).await;
    let engine = only_engine(&deployment);
    let address = deployment.instances[0].callers;
    let caller = Caller::new("one");
    let faults: [(&str, Switch); 5] = [
        ("none", |_| {}),
        ("crossed", |engine| engine.cross_next(1)),
        ("repeated", |engine| engine.repeat_next(1)),
        ("missing", |engine| engine.skip_next(1)),
        ("cut", |engine| engine.cut_next(1)),
    ];
    let whole = expected_answer("single");
    for (name, switch) in faults {
        switch(&engine);
        let answer = caller.chat(address, "single", true).await.unwrap();
        let text = streamed_answer(answer.body());
        expect_that!(text, some(eq(&whole)), "{name}, streamed");
        switch(&engine);
        let answer = caller.chat(address, "single", false).await.unwrap();
        expect_that!(plain_text(&answer), some(eq(&whole)), "{name}, plain");
    }
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_cannot_be_resumed_is_broken_off_visibly() {
    let deployment = Deployment::small(1).await;
    let engine = only_engine(&deployment);
    let address = deployment.instances[0].callers;
    let caller = Caller::new("one");
    engine.cut_next(100);
    let streamed = caller.chat(address, "single", true).await;
    let clean = streamed.map(|answer| streamed_answer(answer.body()));
    // Either the connection breaks, or there is no end mark; never an end.
    expect_that!(clean.ok().flatten(), none());
    engine.cut_next(100);
    let plain = caller.chat(address, "single", false).await.unwrap();
    expect_that!(plain.status(), eq(StatusCode::BAD_GATEWAY));
    expect_that!(code(&plain), eq("upstream_failed"));
    expect_that!(ran(&plain), eq("maybe"));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_plain_answer_is_started_again_at_another_engine() {
    let deployment = Deployment::small(1).await;
    let address = deployment.instances[0].callers;
    let caller = Caller::new("one");
    let holders = deployment.holders(0, "twin");
    expect_that!(holders.len(), eq(2));
    deployment.site.engines[&holders[0]].faults.fail_all(true);
    for _ in 0..10 {
        let answer = caller.chat(address, "twin", false).await.unwrap();
        let whole = expected_answer("twin");
        expect_that!(plain_text(&answer), some(eq(&whole)));
    }
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_goes_away_cancels_its_stream() {
    let deployment = Deployment::small(1).await;
    let engine = only_engine(&deployment);
    let address = deployment.instances[0].callers;
    let caller = Caller::new("one");
    let body = r#"{"model": "single", "stream": true, "max_tokens": 100000,
        "messages": []}"#;
    let path = "/v1/chat/completions";
    let call = caller.send("POST", address, path, &[], body.to_owned());
    let gone = tokio::time::timeout(Duration::from_millis(500), call).await;
    expect_that!(gone.is_err(), eq(true));
    eventually("the engine is idle", || async {
        (engine.running() == 0).then_some(())
    })
    .await;
    expect_that!(engine.requests(), ge(1));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn bad_requests_are_refused_each_for_its_reason() {
    let deployment = Deployment::small(1).await;
    let address = deployment.instances[0].callers;
    let caller = Caller::new("one");
    let stranger = Caller::new("nobody");
    let path = "/v1/chat/completions";
    let send = async |caller: &Caller, body: &str| {
        let call = caller.send("POST", address, path, &[], body.to_owned());
        call.await.unwrap()
    };
    let large = format!("\"{}\"", "a".repeat(5 * 1024 * 1024));
    let cases = [
        (&stranger, r#"{"model": "single", "messages": []}"#, "bad_key"),
        (&caller, "no JSON", "bad_request"),
        (&caller, r#"{"messages": []}"#, "bad_request"),
        (&caller, r#"{"model": "single"}"#, "bad_request"),
        (&caller, r#"{"model": "x", "messages": []}"#, "unknown_model"),
        (&caller, large.as_str(), "body_too_large"),
    ];
    for (caller, body, wanted) in cases {
        let answer = send(caller, body).await;
        expect_that!(code(&answer), eq(wanted));
        expect_that!(ran(&answer), eq("no"), "{wanted}");
    }
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn too_many_headers_are_refused() {
    let deployment = Deployment::small(1).await;
    let address = deployment.instances[0].callers;
    let names: Vec<String> = (0..80).map(|n| format!("x-{n}")).collect();
    let headers: Vec<(&str, &str)> =
        names.iter().map(|name| (name.as_str(), "1")).collect();
    let caller = Caller::new("one");
    let path = "/v1/chat/completions";
    let body = r#"{"model": "single", "messages": []}"#.to_owned();
    let answer = caller.send("POST", address, path, &headers, body).await;
    let answer = answer.unwrap();
    expect_that!(answer.status().as_u16(), eq(431), "{answer:?}");
    expect_that!(code(&answer), eq("too_many_headers"));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_sends_its_body_slowly_is_refused() {
    let deployment = Deployment::small(1).await;
    let address = deployment.instances[0].callers;
    let mut stream = tokio::net::TcpStream::connect(address).await.unwrap();
    let head = "POST /v1/completions HTTP/1.1\r\nhost: a\r\nauthorization: \
                Bearer example-key-one\r\ncontent-length: 100\r\n\r\n{";
    stream.write_all(head.as_bytes()).await.unwrap();
    let mut answer = vec![0; 4_096];
    let reading = stream.read(&mut answer);
    let length = in_time("a refusal", reading).await.unwrap();
    let answer = String::from_utf8_lossy(&answer[..length]);
    expect_that!(answer, starts_with("HTTP/1.1 408"));
    expect_that!(answer, contains_substring("slow_caller"));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_service_that_fails_half_its_calls_gets_little_more_load() {
    const CALLS: u32 = 120;
    let deployment = Deployment::small(1).await;
    let address = deployment.instances[0].callers;
    let caller = Caller::new("one");
    let holders = deployment.holders(0, "twin");
    let engines: Vec<&EngineStandin> =
        holders.iter().map(|id| &deployment.site.engines[id]).collect();
    let before: usize = engines.iter().map(|e| e.requests()).sum();
    let mut failed = 0;
    for call in 0..CALLS {
        // Every second request fails at whichever engine gets it.
        for engine in &engines {
            engine.cut_next(if call % 2 == 0 { 100 } else { 0 });
        }
        let answer = caller.chat(address, "twin", false).await.unwrap();
        failed += u32::from(answer.status() != StatusCode::OK);
    }
    let after: usize = engines.iter().map(|e| e.requests()).sum();
    let made = u32::try_from(after - before).unwrap();
    println!("{CALLS} requests, {failed} failed, {made} generations begun");
    expect_that!(failed, ge(1));
    // A tenth of the requests, and the two budgets' bursts.
    expect_that!(made, le(CALLS + CALLS / 10 + 20));
}
