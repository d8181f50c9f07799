//! A call that may not be repeated runs at most once, and what a refusal
//! says of it is true.

mod support;

use std::time::Duration;

use bytes::Bytes;
use googletest::prelude::*;
use http::Response;
use rustix::process::Signal;
use serde_json::Value;

use crate::support::{Caller, Deployment, eventually};

const PATH: &str = "/v1/services/booking/bays";

async fn book(
    deployment: &Deployment,
    instance: usize,
    key: &str,
) -> Response<Bytes> {
    let caller = Caller::new("one");
    let address = deployment.instances[instance].callers;
    let headers = [("idempotency-key", key)];
    let body = key.to_owned();
    caller.send("POST", address, PATH, &headers, body).await.unwrap()
}

fn runs(deployment: &Deployment, key: &str) -> u32 {
    let services = deployment.site.services.values();
    services.map(|service| service.runs_of(key)).sum()
}

fn seen(answer: &Response<Bytes>) -> (u16, String) {
    let ran = answer.headers()["valehold-ran"].to_str().unwrap();
    (answer.status().as_u16(), ran.to_owned())
}

fn seen_as(status: u16, ran: &str) -> (u16, String) {
    (status, ran.to_owned())
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_that_was_lost_is_never_run_again() {
    let deployment = Deployment::small(2).await;
    for service in deployment.site.services.values() {
        service.faults.lose_next(1);
    }
    let first = book(&deployment, 0, "lost").await;
    expect_that!(seen(&first), eq(&seen_as(502, "maybe")));
    for instance in [0, 1] {
        let again = book(&deployment, instance, "lost").await;
        expect_that!(seen(&again), eq(&seen_as(409, "maybe")));
    }
    expect_that!(runs(&deployment, "lost"), eq(1));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_call_that_did_not_run_may_be_tried_again() {
    let deployment = Deployment::small(2).await;
    let services = &deployment.site.services;
    services.values().for_each(|s| s.faults.refuse_next(10));
    let first = book(&deployment, 0, "refused").await;
    let (_, ran) = seen(&first);
    expect_that!(ran, eq("no"));
    expect_that!(runs(&deployment, "refused"), eq(0));
    services.values().for_each(|s| s.faults.refuse_next(0));
    let again = eventually("the call runs", || async {
        let answer = book(&deployment, 1, "refused").await;
        answer.status().is_success().then_some(answer)
    })
    .await;
    expect_that!(seen(&again), eq(&seen_as(200, "yes")));
    expect_that!(runs(&deployment, "refused"), eq(1));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn with_the_store_down_nothing_is_sent() {
    let deployment = Deployment::small(1).await;
    let faults = &deployment.site.platform.store_faults;
    faults.freeze(true);
    let refused = book(&deployment, 0, "frozen").await;
    expect_that!(seen(&refused), eq(&seen_as(503, "no")));
    let body: Value = serde_json::from_slice(refused.body()).unwrap();
    expect_that!(body["error"]["code"].as_str(), some(eq("store_down")));
    expect_that!(refused.headers().contains_key("retry-after"), eq(true));
    faults.freeze(false);
    expect_that!(runs(&deployment, "frozen"), eq(0));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_claim_whose_answer_was_lost_is_found_out_and_sent_once() {
    let deployment = Deployment::small(1).await;
    // Other writes come between, so more than one answer is lost.
    deployment.site.platform.store_faults.lose_next(3);
    let answer = book(&deployment, 0, "claim").await;
    let again = book(&deployment, 0, "claim").await;
    expect_that!(runs(&deployment, "claim"), le(1));
    if answer.status().is_success() {
        expect_that!(again.body(), eq(answer.body()));
    }
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn an_instance_that_dies_while_its_call_runs_leaves_one_run() {
    let deployment = Deployment::small(2).await;
    let services = &deployment.site.services;
    services.values().for_each(|s| s.faults.freeze(true));
    let caller = Caller::new("one");
    let address = deployment.instances[0].callers;
    let lost = tokio::spawn(async move {
        let headers = [("idempotency-key", "dies")];
        let body = "dies".to_owned();
        caller.send("POST", address, PATH, &headers, body).await
    });
    eventually("the claim is in the table", || async {
        let claims = deployment.site.platform.rows("once/");
        (!claims.is_empty()).then_some(())
    })
    .await;
    deployment.instances[0].signal(Signal::KILL);
    expect_that!(lost.await.unwrap().is_err(), eq(true));
    services.values().for_each(|s| s.faults.freeze(false));
    for _ in 0..3 {
        let again = book(&deployment, 1, "dies").await;
        expect_that!(seen(&again), eq(&seen_as(409, "maybe")));
    }
    expect_that!(runs(&deployment, "dies"), le(1));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_is_given_while_the_store_is_down_and_recorded_after() {
    let deployment = Deployment::small(1).await;
    let services = &deployment.site.services;
    let slow = Duration::from_millis(500);
    services.values().for_each(|s| s.faults.delay(slow));
    let caller = Caller::new("one");
    let address = deployment.instances[0].callers;
    let call = tokio::spawn(async move {
        let headers = [("idempotency-key", "down")];
        let body = "down".to_owned();
        caller.send("POST", address, PATH, &headers, body).await.unwrap()
    });
    let store = &deployment.site.platform.store_faults;
    eventually("the claim is in the table", || async {
        let claims = deployment.site.platform.rows("once/");
        (!claims.is_empty()).then_some(())
    })
    .await;
    store.freeze(true);
    let answer = call.await.unwrap();
    expect_that!(seen(&answer), eq(&seen_as(200, "yes")));
    store.freeze(false);
    let again = eventually("the answer is recorded", || async {
        let again = book(&deployment, 0, "down").await;
        again.status().is_success().then_some(again)
    })
    .await;
    expect_that!(again.body(), eq(answer.body()));
    expect_that!(runs(&deployment, "down"), eq(1));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn the_same_key_for_another_call_is_refused() {
    let deployment = Deployment::small(1).await;
    let first = book(&deployment, 0, "key").await;
    expect_that!(seen(&first), eq(&seen_as(200, "yes")));
    let caller = Caller::new("one");
    let address = deployment.instances[0].callers;
    let headers = [("idempotency-key", "key")];
    let other = "another bay".to_owned();
    let refused =
        caller.send("POST", address, PATH, &headers, other).await.unwrap();
    expect_that!(seen(&refused), eq(&seen_as(422, "no")));
    let other_workspace = Caller::new("two");
    let body = "two".to_owned();
    let own = other_workspace
        .send("POST", address, PATH, &headers, body)
        .await
        .unwrap();
    expect_that!(seen(&own), eq(&seen_as(200, "yes")));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn many_at_once_under_one_key_run_once() {
    let deployment = Deployment::small(3).await;
    let calls = (0..30).map(|n| book(&deployment, n % 3, "race"));
    let answers = futures::future::join_all(calls).await;
    expect_that!(runs(&deployment, "race"), eq(1));
    let done = answers.iter().filter(|a| a.status().is_success()).count();
    expect_that!(done, ge(1));
    for answer in answers {
        let (status, ran) = seen(&answer);
        let told = [seen_as(200, "yes"), seen_as(409, "maybe")];
        expect_that!(told.contains(&(status, ran)), eq(true));
    }
}
