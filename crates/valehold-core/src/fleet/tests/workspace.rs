//! Tests of workspaces and their keys.

use googletest::prelude::*;

use crate::{
    fleet::workspace::{
        KeyDigest, UsageLimit, UsageUnit, Workspace, Workspaces,
    },
    id::WorkspaceId,
};

fn workspace(name: &str) -> Workspace {
    Workspace {
        name: WorkspaceId::new(name),
        rank: 1,
        limit: Some(UsageLimit {
            unit: UsageUnit::Requests,
            rate: 10.0,
            burst: 5.0,
        }),
        bound: Default::default(),
    }
}

fn name_of(workspaces: &Workspaces, key: &str) -> Option<String> {
    let found = workspaces.by_key(&KeyDigest::of(key.as_bytes()));
    found.map(|one| one.name.to_string())
}

#[gtest]
fn a_key_belongs_only_to_its_workspace() {
    let mut all = Workspaces::default();
    all.add(workspace("north"), [KeyDigest::of(b"n1"), KeyDigest::of(b"n2")]);
    all.add(workspace("south"), [KeyDigest::of(b"s1")]);
    expect_that!(name_of(&all, "n1"), some(eq("north")));
    expect_that!(name_of(&all, "n2"), some(eq("north")));
    expect_that!(name_of(&all, "s1"), some(eq("south")));
    expect_that!(name_of(&all, "S1"), none());
    expect_that!(name_of(&all, ""), none());
}

#[gtest]
fn a_key_listed_twice_belongs_to_the_later_workspace() {
    let mut all = Workspaces::default();
    all.add(workspace("north"), [KeyDigest::of(b"k")]);
    all.add(workspace("south"), [KeyDigest::of(b"k")]);
    expect_that!(name_of(&all, "k"), some(eq("south")));
}

#[gtest]
fn the_debug_output_of_a_digest_reveals_two_bytes_only() {
    let digest = KeyDigest::of(b"a secret");
    let printed = format!("{digest:?}");
    expect_that!(printed.len(), eq("KeyDigest(0000)".len()));
    expect_that!(printed, not(contains_substring("secret")));
}

#[gtest]
fn a_request_costs_its_tokens_or_one() {
    expect_that!(UsageUnit::Requests.cost(Some(900)), eq(1.0));
    let tokens = UsageUnit::Tokens { default_tokens: 200 };
    expect_that!(tokens.cost(Some(900)), eq(900.0));
    expect_that!(tokens.cost(None), eq(200.0));
}
