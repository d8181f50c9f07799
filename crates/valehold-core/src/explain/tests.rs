//! Records are bounded, found, and handed out in order.

use googletest::prelude::*;

use super::{Record, Records};
use crate::{chart::library::RequestState, id::RequestId};

fn record(number: u64) -> Record {
    Record {
        request: RequestId::new(number.to_string()),
        workspace: None,
        target: None,
        attempts: Vec::new(),
        outcome: RequestState::Answered,
        refusal: None,
        first_output_ms: None,
        total_ms: 0,
        revision: 1,
    }
}

fn records(pushed: u64) -> Records {
    let mut records = Records::new(3);
    (0..pushed).for_each(|number| records.push(record(number)));
    records
}

#[gtest]
fn the_oldest_make_room() {
    let records = records(5);
    expect_that!(records.find("1"), none());
    expect_that!(records.find("2").is_some(), eq(true));
    let newest: Vec<&str> =
        records.newest().map(|r| r.request.as_str()).collect();
    expect_that!(newest, eq(&vec!["4", "3", "2"]));
}

#[gtest]
fn a_watcher_goes_on_where_it_was() {
    let cases = [(0, 3), (2, 3), (3, 2), (5, 0), (9, 0)];
    for (since, wanted) in cases {
        let records = records(5);
        let (found, next) = records.since(since);
        expect_that!(found.len(), eq(wanted), "{since}");
        expect_that!(next, eq(5));
    }
}
