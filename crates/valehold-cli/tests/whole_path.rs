//! The whole path, with separate processes: an example is applied with the
//! real command, and callers get whole answers.

mod support;

use std::time::Duration;

use googletest::prelude::*;
use http::StatusCode;
use rustix::process::Signal;
use serde_json::Value;

use crate::support::{
    Caller, Deployment, eventually, expected_answer, streamed_answer,
};

/// A model of a workspace of the example.
fn first_model(deployment: &Deployment, workspace: &str) -> String {
    let workspace = &deployment.config.workspaces()[workspace];
    workspace.models[0].to_string()
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn two_workspaces_are_served_through_addresses_that_were_given() {
    let deployment = Deployment::start("hledsluvit", 3, 5).await;
    deployment.apply();
    deployment.all_reachable(0).await;
    for workspace in ["vik-guesthouse", "north-charging"] {
        let caller = Caller::new(workspace);
        let asked = deployment.instances[0].callers;
        let addresses = eventually("three addresses", || async {
            let addresses = caller.addresses(asked).await;
            (addresses.len() == 3).then_some(addresses)
        })
        .await;
        let address = addresses[2];
        deployment.all_reachable(2).await;
        let model = first_model(&deployment, workspace);

        let plain = caller.chat(address, &model, false).await.unwrap();
        assert_that!(plain.status(), eq(StatusCode::OK));
        assert_that!(plain.headers()["valehold-ran"], eq("yes"));
        let body: Value = serde_json::from_slice(plain.body()).unwrap();
        let text = body["choices"][0]["message"]["content"].as_str().unwrap();
        assert_that!(text, eq(&expected_answer(&model)));

        let stream = caller.chat(address, &model, true).await.unwrap();
        let text = streamed_answer(stream.body());
        assert_that!(text, some(eq(&expected_answer(&model))));
    }
    assert_that!(deployment.overcommitted(), is_empty());
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_booking_runs_once_and_its_answer_is_given_again() {
    let deployment = Deployment::start("hledsluvit", 3, 5).await;
    deployment.apply();
    let caller = Caller::new("vik-guesthouse");
    let path = "/v1/services/booking/bays/4";
    let key = [("idempotency-key", "one-booking")];
    let book = async |instance: usize| {
        let address = deployment.instances[instance].callers;
        let body = "bay 4".to_owned();
        caller.send("POST", address, path, &key, body).await.unwrap()
    };
    let first = eventually("a booking is taken", || async {
        let answer = book(0).await;
        (answer.status() == StatusCode::OK).then_some(answer)
    })
    .await;
    let again = eventually("another instance has the revision", || async {
        let answer = book(1).await;
        (answer.status() == StatusCode::OK).then_some(answer)
    })
    .await;
    assert_that!(again.body(), eq(first.body()));
    assert_that!(again.headers()["valehold-ran"], eq("yes"));
    let runs: u32 = deployment
        .site
        .services
        .values()
        .map(|service| service.runs_of("bay 4"))
        .sum();
    assert_that!(runs, eq(1));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_request_is_explained_with_every_candidate() {
    let deployment = Deployment::start("calor-andino", 1, 5).await;
    deployment.apply();
    deployment.all_reachable(0).await;
    let caller = Caller::new("clinic-heating");
    let model = first_model(&deployment, "clinic-heating");
    let address = deployment.instances[0].callers;
    let answer = caller.chat(address, &model, false).await.unwrap();
    let id = answer.headers()["valehold-request"].to_str().unwrap().to_owned();
    let text = eventually("the record is there", || async {
        let output = deployment.valehold(0, &["explain", "request", &id]);
        let text = String::from_utf8(output.stdout).unwrap();
        output.status.success().then_some(text)
    })
    .await;
    expect_that!(text, contains_substring("chosen: engine-"));
    expect_that!(text, contains_substring("ms = way"));
    expect_that!(text, contains_substring("answered by engine-"));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_rolling_restart_of_all_instances_cuts_off_no_request() {
    let mut deployment = Deployment::start("hledsluvit", 3, 2).await;
    deployment.apply();
    for instance in 0..3 {
        deployment.all_reachable(instance).await;
    }
    let model = first_model(&deployment, "vik-guesthouse");
    let (stop, stopped) = tokio::sync::watch::channel(false);
    let callers: Vec<_> = (0..12)
        .map(|number| {
            let first = deployment.instances[number % 3].callers;
            let model = model.clone();
            let stopped = stopped.clone();
            tokio::spawn(call_until(stopped, first, model, number % 2 == 0))
        })
        .collect();
    tokio::time::sleep(Duration::from_millis(500)).await;
    for number in 0..3 {
        deployment.instances[0].signal(Signal::TERM);
        let code = deployment.instances[0].ended().await;
        assert_that!(code, some(eq(0)));
        let gone = deployment.instances.remove(0);
        deployment.site.platform.unlist(&gone.name);
        deployment.start_instance(&format!("new-{number}"));
        deployment.all_reachable(2).await;
    }
    stop.send(true).unwrap();
    let mut answered = 0;
    for caller in callers {
        answered += caller.await.unwrap();
    }
    assert_that!(answered, gt(0));
}

/// Asks again and again, keeping addresses as told; returns how often a
/// whole answer came. Anything but a whole answer, or a refusal to a
/// workspace that asks too much, is a failure.
async fn call_until(
    stopped: tokio::sync::watch::Receiver<bool>,
    first: std::net::SocketAddr,
    model: String,
    stream: bool,
) -> u32 {
    let caller = Caller::new("vik-guesthouse");
    let mut addresses = vec![first];
    let mut asked = tokio::time::Instant::now();
    let mut answered = 0;
    while !*stopped.borrow() {
        // Asked anew well within the time for which answers are kept.
        if asked.elapsed() > Duration::from_secs(1) {
            addresses = caller.addresses(addresses[0]).await;
            asked = tokio::time::Instant::now();
        }
        let answer = caller.chat(addresses[0], &model, stream).await;
        let answer = answer.expect("no connection is cut off");
        if answer.status() == StatusCode::TOO_MANY_REQUESTS {
            tokio::time::sleep(Duration::from_millis(100)).await;
            continue;
        }
        assert_eq!(answer.status(), StatusCode::OK, "{:?}", answer.body());
        if stream {
            let text = streamed_answer(answer.body());
            assert_eq!(text, Some(expected_answer(&model)));
        }
        answered += 1;
    }
    answered
}
