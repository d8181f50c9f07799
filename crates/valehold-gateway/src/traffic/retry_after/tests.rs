//! What `Retry-After` may say, and what says nothing.

use std::time::Duration;

use googletest::prelude::*;
use http::{HeaderMap, HeaderValue, header};

use super::read;

fn said(text: &'static str) -> Option<Duration> {
    let mut headers = HeaderMap::new();
    headers.insert(header::RETRY_AFTER, HeaderValue::from_static(text));
    read(&headers)
}

#[gtest]
fn seconds_may_have_a_fraction() {
    expect_that!(said("3"), some(eq(Duration::from_secs(3))));
    expect_that!(said(" 0.25 "), some(eq(Duration::from_millis(250))));
    expect_that!(said("0"), some(eq(Duration::ZERO)));
}

#[gtest]
fn what_is_no_time_says_nothing() {
    for text in ["", "soon", "-1", "-0.5", "NaN", "inf", "1e300", "3 s"] {
        expect_that!(said(text), none(), "{text}");
    }
    expect_that!(read(&HeaderMap::new()), none());
}

#[gtest]
fn a_date_is_counted_from_the_answers_own() {
    let mut headers = HeaderMap::new();
    let until = HeaderValue::from_static("Thu, 01 Jan 2026 00:00:09 GMT");
    let date = HeaderValue::from_static("Thu, 01 Jan 2026 00:00:04 GMT");
    headers.insert(header::RETRY_AFTER, until);
    // It is long past by this machine's clock.
    expect_that!(read(&headers), none());
    headers.insert(header::DATE, date);
    expect_that!(read(&headers), some(eq(Duration::from_secs(5))));
}
