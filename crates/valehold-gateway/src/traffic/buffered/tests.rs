//! Tests that answers without end leave room for usual ones.

use googletest::prelude::*;

use super::{
    BufferedTotal, FREE_BYTES, MAX_ANSWER_BYTES, MAX_TOTAL_BYTES, NoRoom,
};

#[gtest]
fn one_answer_has_no_room_beyond_the_largest() {
    let total = BufferedTotal::default();
    let mut answer = total.begin();
    expect_that!(answer.set(MAX_ANSWER_BYTES), ok(()));
    expect_that!(answer.set(MAX_ANSWER_BYTES + 1), err(eq(NoRoom)));
}

#[gtest]
fn usual_answers_have_room_beside_all_that_has_no_end() {
    let total = BufferedTotal::default();
    let mut endless: Vec<_> = (0..100).map(|_| total.begin()).collect();
    let grown = endless.iter_mut().map(|one| one.set(1 << 20));
    let with_room = grown.filter(Result::is_ok).count();
    expect_that!(with_room, le(MAX_TOTAL_BYTES / (1 << 20) + 1));
    let mut usual = total.begin();
    expect_that!(usual.set(FREE_BYTES), ok(()));
    expect_that!(usual.set(2 << 20), err(eq(NoRoom)));
    drop(endless);
    expect_that!(usual.set(2 << 20), ok(()));
}
