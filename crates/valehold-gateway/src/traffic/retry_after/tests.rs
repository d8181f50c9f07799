//! Tests which values of `Retry-After` are accepted and which are ignored.

use std::time::Duration;

use googletest::prelude::*;
use http::{HeaderMap, HeaderValue, header};

use super::read;

fn parse(text: &'static str) -> Option<Duration> {
    let mut headers = HeaderMap::new();
    headers.insert(header::RETRY_AFTER, HeaderValue::from_static(text));
    read(&headers)
}

#[gtest]
fn seconds_may_have_a_fraction() {
    expect_that!(parse("3"), some(eq(Duration::from_secs(3))));
    expect_that!(parse(" 0.25 "), some(eq(Duration::from_millis(250))));
    expect_that!(parse("0"), some(eq(Duration::ZERO)));
}

#[gtest]
fn invalid_values_are_ignored() {
    for text in ["", "soon", "-1", "-0.5", "NaN", "inf", "1e300", "3 s"] {
        expect_that!(parse(text), none(), "{text}");
    }
    expect_that!(read(&HeaderMap::new()), none());
}

#[gtest]
fn a_date_is_relative_to_the_date_of_the_answer() {
    let mut headers = HeaderMap::new();
    let until = HeaderValue::from_static("Thu, 01 Jan 2026 00:00:09 GMT");
    let date = HeaderValue::from_static("Thu, 01 Jan 2026 00:00:04 GMT");
    headers.insert(header::RETRY_AFTER, until);
    // By this machine's clock the date is long past.
    expect_that!(read(&headers), none());
    headers.insert(header::DATE, date);
    expect_that!(read(&headers), some(eq(Duration::from_secs(5))));
}
