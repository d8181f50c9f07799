//! Declarations are taken whole, or refused with place and mend.

use googletest::prelude::*;
use proptest::prelude::*;

use super::{Config, DEPLOYMENT_FILE, Files, Head, key_digest, merge};
use crate::testing::cases;

const DEPLOYMENT: &str = r#"
name = "d"
max_instances = 2
[[data_centre]]
name = "dc"
region = "r"
[[engine]]
name = "e1"
data_centre = "dc"
address = "127.0.0.1:1"
memory_mib = 100
kv_floor_mib = 10
checks_fences = true
[[engine]]
name = "e2"
data_centre = "dc"
address = "127.0.0.1:2"
memory_mib = 100
kv_floor_mib = 10
checks_fences = true
[[service]]
name = "booking"
repeatable = [{ method = "GET", path = "/bays*" }]
[[model]]
name = "m"
size_mib = 40
[[adapter]]
name = "m-a"
base = "m"
size_mib = 5
"#;

const TEMPLATE: &str = r#"
about = "A template."
[parameter.models]
about = "models"
type = "list"
[parameter.priority]
about = "priority"
type = "integer"
default = 5
min = 0
max = 9
[parameter.key_digests]
about = "keys"
type = "list"
[workspace]
models = "$models"
services = ["booking"]
priority = "$priority"
first_token_ms = 500
key_digests = "$key_digests"
[workspace.limits]
requests_per_second = 10
concurrency = 4
tokens_per_second = 1000
"#;

fn workspace() -> String {
    format!(
        "template = \"t\"\n[parameters]\nmodels = [\"m\", \"m-a\"]\n\
         key_digests = [\"{}\"]\n",
        key_digest("k")
    )
}

fn files() -> Files {
    let mut files = Files::new();
    files.insert(DEPLOYMENT_FILE, DEPLOYMENT);
    files.insert("templates/t.toml", TEMPLATE);
    files.insert("workspaces/w.toml", workspace());
    files
}

#[gtest]
fn a_template_is_filled_with_parameters_and_defaults() {
    let config = Config::try_from_files(&files()).unwrap();
    let workspace = config.workspace_of_key("k").unwrap();
    expect_that!(workspace.name.as_str(), eq("w"));
    expect_that!(workspace.priority, eq(5));
    expect_that!(workspace.models, len(eq(2)));
    expect_that!(config.workspace_of_key("other"), none());
    expect_that!(config.served(), len(eq(2)));
}

#[gtest]
fn calls_are_repeatable_only_where_declared() {
    let config = Config::try_from_files(&files()).unwrap();
    let service = config.service(&"booking".into()).unwrap();
    expect_that!(service.may_repeat("GET", "/bays/4"), eq(true));
    expect_that!(service.may_repeat("POST", "/bays/4"), eq(false));
    expect_that!(service.may_repeat("GET", "/other"), eq(false));
}

#[gtest]
fn faults_are_refused_at_their_file_and_line() {
    let deployment = DEPLOYMENT_FILE;
    let template = "templates/t.toml";
    let of_workspace = "workspaces/w.toml";
    let cases = [
        (deployment, "region = \"r\"", "regoin = \"r\"", 6, "regoin"),
        (
            deployment,
            "data_centre = \"dc\"\naddress = \"127.0.0.1:2\"",
            "data_centre = \"no\"\naddress = \"127.0.0.1:2\"",
            15,
            "unknown data centre no",
        ),
        (deployment, "base = \"m\"", "base = \"x\"", 28, "unknown base x"),
        (deployment, "size_mib = 40", "size_mib = 91", 25, "no engine"),
        (deployment, "name = \"e2\"", "name = \"e1\"", 8, "declared twice"),
        (
            deployment,
            "kv_floor_mib = 10",
            "kv_floor_mib = 100",
            8,
            "leaves nothing",
        ),
        (
            template,
            "priority = \"$priority\"",
            "priority = \"$rank\"",
            15,
            "unknown parameter \"rank\"",
        ),
        (template, "default = 5", "default = 50", 1, "above its greatest"),
        (
            of_workspace,
            "template = \"t\"",
            "template = \"x\"",
            1,
            "no template \"x\"",
        ),
        (of_workspace, "\"m-a\"", "\"m-b\"", 3, "no model or adapter m-b"),
        (
            of_workspace,
            "models =",
            "priority = 10\nmodels =",
            3,
            "above its greatest value 9",
        ),
        (
            of_workspace,
            "models =",
            "priority = \"x\"\nmodels =",
            3,
            "it takes a whole number",
        ),
        (
            of_workspace,
            "models =",
            "colour = 1\nmodels =",
            3,
            "unknown parameter \"colour\"",
        ),
        (
            of_workspace,
            "models = [\"m\", \"m-a\"]\n",
            "",
            1,
            "parameter \"models\" is missing",
        ),
        (of_workspace, "sha256:", "md5:", 4, "no digest of a key"),
    ];
    for (path, from, to, line, wanted) in cases {
        let mut files = files();
        let text = files.get(path).unwrap().to_owned();
        assert!(text.contains(from), "{from}");
        files.insert(path, text.replacen(from, to, 1));
        let problems = Config::try_from_files(&files).unwrap_err();
        let problem = problems
            .iter()
            .find(|p| p.message().contains(wanted))
            .unwrap_or_else(|| panic!("{wanted}: {problems:?}"));
        expect_that!(problem.file(), eq(path));
        expect_that!(problem.line(), eq(line), "{wanted}");
        expect_that!(problem.help_text(), not(eq("")));
    }
}

#[gtest]
fn limits_leave_each_instance_room_for_a_request() {
    let mut files = files();
    let text = TEMPLATE.replace("concurrency = 4", "concurrency = 3");
    files.insert("templates/t.toml", text);
    let problems = Config::try_from_files(&files).unwrap_err();
    let help = problems.iter().next().unwrap().help_text().to_owned();
    expect_that!(help, contains_substring("twice"));
}

#[gtest]
fn racing_operators_with_disjoint_changes_both_go_in() {
    let base = files();
    let (revision, head) = merge(
        &Files::new(),
        0,
        &Files::new(),
        &Head::default(),
        &base,
        "",
        "a",
    )
    .unwrap();
    let mut left = base.clone();
    left.insert("workspaces/l.toml", "left");
    let mut right = base.clone();
    right.insert("workspaces/r.toml", "right");
    let newest = revision.files;
    let (one, head) =
        merge(&base, 1, &newest, &head, &left, "c1", "ann").unwrap();
    let (two, head) =
        merge(&base, 1, &one.files, &head, &right, "c2", "ben").unwrap();
    expect_that!(two.number, eq(3));
    expect_that!(two.files.get("workspaces/l.toml"), some(eq("left")));
    expect_that!(two.files.get("workspaces/r.toml"), some(eq("right")));

    let mut late = base.clone();
    late.insert("workspaces/l.toml", "other");
    let conflict =
        merge(&base, 1, &two.files, &head, &late, "c3", "cas").unwrap_err();
    expect_that!(conflict.to_string(), contains_substring("by ann (c1)"));
    expect_that!(conflict.files, len(eq(1)));
}

/// An operator's edit: of a file, to a text, or its removal.
fn edit() -> impl Strategy<Value = (usize, Option<u8>)> {
    (0_usize..4, prop::option::of(0_u8..3))
}

proptest! {
    #![proptest_config(cases())]

    /// Operators who each start from a revision they saw, and apply in any
    /// order: no accepted change is ever undone by one who did not see it.
    #[test]
    fn no_accepted_change_is_undone_unseen(
        edits in prop::collection::vec(
            (0_usize..6, prop::collection::vec(edit(), 1..3)),
            1..20,
        ),
    ) {
        let mut history = vec![Files::new()];
        let mut head = Head::default();
        for (back, edits) in edits {
            let base_number = history.len() - 1 - back.min(history.len() - 1);
            let base = history[base_number].clone();
            let newest = history.last().unwrap().clone();
            let mut directory = base.clone();
            for (file, text) in edits {
                let path = format!("workspaces/{file}.toml");
                match text {
                    Some(text) => directory.insert(path, text.to_string()),
                    None => directory.remove(&path),
                }
            }
            let merged = merge(
                &base, base_number as u64, &newest, &head, &directory,
                "label", "by",
            );
            let Ok((revision, next)) = merged else { continue };
            for (path, text) in newest.iter() {
                let kept = revision.files.get(path) == Some(text);
                let seen = base.get(path) == Some(text);
                prop_assert!(kept || seen, "{path} was undone");
            }
            history.push(revision.files);
            head = next;
        }
    }
}
