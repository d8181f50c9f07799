//! Processes that die or pause, a store that is down, upstreams that leave,
//! operators that race.

mod support;

use googletest::prelude::*;
use http::StatusCode;
use rustix::process::Signal;
use serde_json::Value;
use valehold_core::id::UpstreamId;

use crate::support::{Caller, Deployment, SMALL, eventually};

/// Waits until an instance other than `not` holds the lease.
async fn another_holder(
    deployment: &Deployment,
    asked: usize,
    not: usize,
) -> usize {
    eventually("another instance holds the lease", || async {
        deployment.holder(asked).filter(|holder| *holder != not)
    })
    .await
}

/// Kills the engine that holds `single`, and waits until another has it.
async fn lose_and_regain(deployment: &mut Deployment, asked: usize) {
    let lost = deployment.holders(asked, "single");
    for engine in &lost {
        deployment.site.kill(engine);
    }
    let deployment = &*deployment;
    eventually("another engine has the model", || async {
        let now = deployment.holders(asked, "single");
        now.iter().any(|engine| !lost.contains(engine)).then_some(())
    })
    .await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn placement_goes_on_when_its_holder_is_killed() {
    let mut deployment = Deployment::small(3).await;
    let holder = deployment.holder(0).unwrap();
    deployment.instances[holder].signal(Signal::KILL);
    let asked = (holder + 1) % 3;
    another_holder(&deployment, asked, holder).await;
    lose_and_regain(&mut deployment, asked).await;
    expect_that!(deployment.overcommitted(), is_empty());
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_holder_that_was_frozen_does_no_harm_when_it_wakes() {
    let mut deployment = Deployment::small(3).await;
    let holder = deployment.holder(0).unwrap();
    deployment.instances[holder].signal(Signal::STOP);
    let asked = (holder + 1) % 3;
    let next = another_holder(&deployment, asked, holder).await;
    lose_and_regain(&mut deployment, asked).await;
    deployment.instances[holder].signal(Signal::CONT);
    let seen = eventually("the woken one sees who holds", || async {
        deployment.holder(holder).filter(|seen| *seen != holder)
    })
    .await;
    expect_that!(seen, eq(next));
    expect_that!(deployment.overcommitted(), is_empty());
    let caller = Caller::new("one");
    let address = deployment.instances[holder].callers;
    eventually("the woken one answers", || async {
        let answer = caller.chat(address, "single", false).await.ok()?;
        (answer.status() == StatusCode::OK).then_some(())
    })
    .await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn requests_are_answered_while_the_store_is_down() {
    let deployment = Deployment::small(2).await;
    deployment.site.platform.store_faults.freeze(true);
    deployment.site.platform.list_faults.freeze(true);
    // Past the lease's term, so that nobody holds it any more.
    tokio::time::sleep(std::time::Duration::from_secs(8)).await;
    let caller = Caller::new("one");
    for instance in &deployment.instances {
        let answer = caller.chat(instance.callers, "single", false).await;
        expect_that!(answer.unwrap().status(), eq(StatusCode::OK));
    }
    deployment.site.platform.store_faults.freeze(false);
    deployment.site.platform.list_faults.freeze(false);
    eventually("the lease is held again", || async { deployment.holder(0) })
        .await;
    expect_that!(deployment.overcommitted(), is_empty());
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn an_instance_that_starts_without_the_store_asks_its_peers() {
    let mut deployment = Deployment::small(1).await;
    deployment.site.platform.store_faults.fail_all(true);
    deployment.start_instance("late");
    let caller = Caller::new("one");
    let address = deployment.instances[1].callers;
    eventually("the new instance answers", || async {
        let answer = caller.chat(address, "single", false).await.unwrap();
        (answer.status() == StatusCode::OK).then_some(())
    })
    .await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn an_instance_without_store_and_peers_refuses_as_not_run() {
    let deployment = Deployment::start(SMALL, 1, 2).await;
    deployment.site.platform.store_faults.fail_all(true);
    let caller = Caller::new("one");
    let address = deployment.instances[0].callers;
    let answer = caller.chat(address, "single", false).await.unwrap();
    expect_that!(answer.status(), eq(StatusCode::SERVICE_UNAVAILABLE));
    expect_that!(answer.headers()["valehold-ran"], eq("no"));
    let path = "/readyz";
    let ready = caller.send("GET", address, path, &[], String::new()).await;
    let status = ready.unwrap().status();
    expect_that!(status, eq(StatusCode::SERVICE_UNAVAILABLE));
}

/// Lets an engine leave, and checks that callers are answered without it.
async fn leaves(tell: impl Fn(&Deployment, &UpstreamId)) {
    let deployment = Deployment::small(1).await;
    let holders = deployment.holders(0, "twin");
    tell(&deployment, &holders[0]);
    eventually("the instance knows", || async {
        let now = deployment.holders(0, "twin");
        (!now.contains(&holders[0])).then_some(())
    })
    .await;
    let leaving = &deployment.site.engines[&holders[0]];
    let before = leaving.requests();
    let caller = Caller::new("one");
    let address = deployment.instances[0].callers;
    for _ in 0..20 {
        let answer = caller.chat(address, "twin", false).await.unwrap();
        expect_that!(answer.status(), eq(StatusCode::OK));
    }
    expect_that!(leaving.requests(), eq(before));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn an_engine_that_says_it_leaves_gets_no_new_work() {
    leaves(|deployment, engine| deployment.site.engines[engine].leave()).await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn an_engine_that_the_list_calls_leaving_gets_no_new_work() {
    leaves(|deployment, engine| {
        deployment.site.platform.set_leaving(engine.as_str());
    })
    .await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn racing_operators_are_told_who_changed_what() {
    let deployment = Deployment::small(2).await;
    let ours = deployment.directory.clone();
    let theirs = tempfile::tempdir().unwrap();
    let theirs = theirs.path().to_str().unwrap();
    let fetched = deployment.valehold(1, &["fetch", theirs]);
    expect_that!(fetched.status.success(), eq(true));
    let change = |directory: &std::path::Path, file: &str, line: &str| {
        let path = directory.join(file);
        let text = std::fs::read_to_string(&path).unwrap();
        let text = text.replace("[parameters]", line);
        std::fs::write(path, text).unwrap();
    };
    let theirs_path = std::path::Path::new(theirs);
    let one = "workspaces/one.toml";
    let two = "workspaces/two.toml";
    change(theirs_path, two, "[parameters]\npriority = 3");
    let applied = deployment.valehold(1, &["apply", theirs, "--by", "ann"]);
    expect_that!(applied.status.code(), some(eq(0)));
    // A disjoint change goes in on top, and undoes nothing.
    change(&ours, one, "[parameters]\npriority = 4");
    deployment.apply();
    // The same file as ann's: refused, and it says so.
    let text = std::fs::read_to_string(theirs_path.join(one)).unwrap();
    std::fs::write(theirs_path.join(one), text + "# more\n").unwrap();
    let lost = deployment.valehold(1, &["apply", theirs, "--by", "ann"]);
    expect_that!(lost.status.code(), some(eq(4)));
    let errors = String::from_utf8(lost.stderr).unwrap();
    expect_that!(errors, contains_substring("workspaces/one.toml"));
    expect_that!(errors, contains_substring("by test"));
    eventually("revision 3 is in force on both", || async {
        let output = deployment.valehold(0, &["status", "--format", "json"]);
        let status: Value = serde_json::from_slice(&output.stdout).ok()?;
        let revisions = status["revisions"].as_array()?;
        let new = revisions.iter().filter(|pair| pair[1] == 3).count();
        (new == 2).then_some(())
    })
    .await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_new_version_takes_over_without_a_gap() {
    let deployment = Deployment::small(1).await;
    let caller = Caller::new("one");
    let address = deployment.instances[0].callers;
    let file = deployment.directory.join("deployment.toml");
    let text = std::fs::read_to_string(&file).unwrap();
    let text =
        text.replace("name = \"single\"", "name = \"single\"\nversion = 2");
    std::fs::write(&file, text).unwrap();
    deployment.apply();
    let models = ["single", "single-a", "twin"];
    eventually("version 2 answers", || async {
        for model in models {
            let answer = caller.chat(address, model, false).await.unwrap();
            assert_eq!(answer.status(), StatusCode::OK, "{model}");
        }
        let answer = caller.chat(address, "single", false).await.unwrap();
        let text = String::from_utf8_lossy(answer.body()).into_owned();
        text.contains("single@2 says").then_some(())
    })
    .await;
    eventually("version 1 is gone", || async {
        let rows = deployment.site.platform.rows("cells/0/orders/");
        let old = rows.iter().any(|row| row.key.ends_with("/single@1"));
        (!old).then_some(())
    })
    .await;
    expect_that!(deployment.overcommitted(), is_empty());
}
