//! The program by itself.

use std::process::{Command, Output};

use googletest::prelude::*;

fn instance(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_valehold-instance"))
        .args(arguments)
        .output()
        .unwrap()
}

#[gtest]
fn bad_settings_are_refused_with_place_and_help() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("settings.toml");
    std::fs::write(&path, "instance = \"a\"\ncolour = 3\n").unwrap();
    let output = instance(&["--settings", path.to_str().unwrap()]);
    expect_that!(output.status.code(), some(eq(2)));
    let errors = String::from_utf8(output.stderr).unwrap();
    expect_that!(errors, contains_substring("unknown field `colour`"));
    expect_that!(errors, contains_substring("settings.toml:2"));
    expect_that!(errors, contains_substring("docs/OPERATIONS.md"));
}

#[gtest]
fn arguments_that_are_missing_are_named() {
    let output = instance(&[]);
    expect_that!(output.status.code(), some(eq(2)));
    let errors = String::from_utf8(output.stderr).unwrap();
    expect_that!(errors, contains_substring("--settings"));
}

#[gtest]
fn a_gateway_names_its_settings_fault_and_place() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("gateway.toml");
    std::fs::write(&path, "instance = \"a\"\ncolour = 3\n").unwrap();
    let path = path.to_str().unwrap();
    let output = instance(&["gateway", "--settings", path]);
    expect_that!(output.status.code(), some(eq(2)));
    let errors = String::from_utf8(output.stderr).unwrap();
    expect_that!(errors, contains_substring("unknown field `colour`"));
    expect_that!(errors, contains_substring("gateway.toml:2"));
    expect_that!(errors, contains_substring("docs/OPERATIONS.md"));
}

#[gtest]
fn a_gateway_without_settings_says_how_to_name_them() {
    let output = Command::new(env!("CARGO_BIN_EXE_valehold-instance"))
        .arg("gateway")
        .env_remove("VALEHOLD_CONFIG")
        .output()
        .unwrap();
    expect_that!(output.status.code(), some(eq(2)));
    let errors = String::from_utf8(output.stderr).unwrap();
    expect_that!(errors, contains_substring("VALEHOLD_CONFIG is not set"));
    expect_that!(errors, contains_substring("--settings FILE"));
}

#[gtest]
fn an_unknown_command_is_named() {
    let output = instance(&["gatewya"]);
    expect_that!(output.status.code(), some(eq(2)));
    let errors = String::from_utf8(output.stderr).unwrap();
    expect_that!(errors, contains_substring("gatewya"));
}
