use googletest::prelude::*;

use super::ChartFile;

const GOOD: &str = r#"
about = "A lamp."
initial = "off"
events = ["press", "cut"]
[state.off]
about = "Dark."
on = { press = "on" }
ignore = ["cut"]
[state.on]
about = "Lit."
on = { press = "off", cut = "off" }
"#;

#[gtest]
fn a_complete_chart_is_taken() {
    let chart = ChartFile::from_toml("lamp.toml", GOOD).unwrap();
    expect_that!(chart.target("off", "press"), some(eq("on")));
    expect_that!(chart.target("off", "cut"), none());
    expect_that!(chart.to_text(), contains_substring("press -> on"));
    expect_that!(chart.to_graphviz(), contains_substring("\"on\" -> \"off\""));
}

#[gtest]
fn faults_are_named_with_file_and_state() {
    let cases = [
        ("press = \"on\" }", "press = \"dim\" }", "unknown state \"dim\""),
        ("ignore = [\"cut\"]", "", "\"off\" handles event \"cut\" 0 times"),
        ("[\"cut\"]", "[\"cut\", \"kick\"]", "unknown event \"kick\""),
        ("press = \"on\" }", "press = \"off\" }", "\"on\" is unreachable"),
    ];
    for (from, to, wanted) in cases {
        let text = GOOD.replacen(from, to, 1);
        let error = ChartFile::from_toml("lamp.toml", &text).unwrap_err();
        expect_that!(error.to_string(), contains_substring("lamp.toml"));
        expect_that!(error.to_string(), contains_substring(wanted));
    }
}

#[gtest]
fn every_shipped_chart_fits_the_code() {
    expect_that!(super::library::check_all(), ok(anything()));
}
