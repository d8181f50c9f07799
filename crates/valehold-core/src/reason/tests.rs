//! The page on metrics names every reason, and no other.

use std::collections::BTreeSet;

use googletest::prelude::*;

use super::{RefusalReason, RetryReason};

const PAGE: &str = include_str!("../../../../docs/METRICS.md");

/// Returns the codes in the first column of the table below a heading.
fn listed(heading: &str) -> BTreeSet<&'static str> {
    let from = PAGE.find(heading).expect("the heading is there");
    let rows = PAGE[from + heading.len()..].lines();
    rows.take_while(|line| !line.starts_with('#'))
        .filter_map(|line| line.strip_prefix("| `")?.split('`').next())
        .collect()
}

#[gtest]
fn refusal_reasons_are_those_of_the_page() {
    let codes: BTreeSet<&str> =
        RefusalReason::ALL.iter().map(|reason| reason.code()).collect();
    expect_that!(listed("## Refusal reasons"), eq(&codes));
}

#[gtest]
fn retry_reasons_are_those_of_the_page() {
    let codes: BTreeSet<&str> =
        RetryReason::ALL.iter().map(|reason| reason.code()).collect();
    expect_that!(listed("## Retry reasons"), eq(&codes));
}
