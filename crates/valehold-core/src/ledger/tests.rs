//! What a claim that is found means.

use googletest::prelude::*;

use super::{ClaimRow, Found, OnceAttempt, RecordedAnswer, judge};
use crate::{
    Millis,
    chart::library::{OnceEvent, OnceState},
    id::{InstanceId, RequestId},
};

fn row(answer: Option<RecordedAnswer>) -> ClaimRow {
    ClaimRow {
        request: RequestId::new("r"),
        instance: InstanceId::new("i"),
        call_digest: "d".to_owned(),
        claimed_at: 0,
        answer,
    }
}

#[gtest]
fn a_claim_is_judged_by_its_call_and_its_answer() {
    let answer = RecordedAnswer {
        status: 200,
        content_type: None,
        body: b"booked".to_vec(),
    };
    let answered = row(Some(answer.clone()));
    let begun = row(None);
    expect_that!(judge(None, "d"), eq(&Found::Nothing));
    expect_that!(judge(Some(&begun), "d"), eq(&Found::Begun));
    expect_that!(judge(Some(&begun), "x"), eq(&Found::OtherCall));
    expect_that!(judge(Some(&answered), "d"), eq(&Found::Answer(answer)));
    expect_that!(judge(Some(&answered), "x"), eq(&Found::OtherCall));
}

#[gtest]
fn only_a_fresh_claim_may_send() {
    let events = [
        (OnceEvent::ClaimLost, OnceState::Taken),
        (OnceEvent::StoreDown, OnceState::Refused),
    ];
    for (event, state) in events {
        let mut attempt = OnceAttempt::new();
        attempt.follow(event);
        expect_that!(attempt.state(), eq(state));
        attempt.claim_won(Millis::new(0), 100);
        expect_that!(attempt.may_send(Millis::new(1)), eq(false));
    }
    let mut attempt = OnceAttempt::new();
    attempt.claim_won(Millis::new(0), 100);
    expect_that!(attempt.may_send(Millis::new(99)), eq(true));
    expect_that!(attempt.may_send(Millis::new(100)), eq(false));
    attempt.follow(OnceEvent::AnswerLost);
    expect_that!(attempt.may_send(Millis::new(1)), eq(false));
}
