//! Who is let in, and when the others are told to come back.

use googletest::prelude::*;

use super::{AdmissionSettings, admit};

const SETTINGS: AdmissionSettings =
    AdmissionSettings { lowest: 0.5, highest: 1.0 };

#[gtest]
fn a_higher_priority_may_wait_longer() {
    let allowance = |priority| SETTINGS.allowance_ms(priority, 900);
    expect_that!(allowance(0), approx_eq(450.0));
    expect_that!(allowance(9), approx_eq(900.0));
    for priority in 1..=9 {
        expect_that!(allowance(priority), gt(allowance(priority - 1)));
    }
}

#[gtest]
fn what_would_be_late_is_told_when_it_would_not_be() {
    expect_that!(admit(450.0, 0, 900, &SETTINGS), ok(anything()));
    let wait = admit(700.0, 0, 900, &SETTINGS).unwrap_err();
    expect_that!(wait, eq(250));
    expect_that!(admit(700.0, 9, 900, &SETTINGS), ok(anything()));
}

#[gtest]
fn where_low_priorities_are_turned_away_high_ones_still_find_room() {
    // A queue grows until nobody is let in: the lowest priority is refused
    // first, the highest last.
    let refused_at = |priority| {
        (0_u32..2_000).find(|ms| {
            admit(f64::from(*ms), priority, 900, &SETTINGS).is_err()
        })
    };
    expect_that!(refused_at(0), some(eq(451)));
    expect_that!(refused_at(9), some(eq(901)));
}
