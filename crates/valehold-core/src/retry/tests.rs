//! Retries stay a small share of first attempts.

use googletest::prelude::*;
use proptest::prelude::*;

use super::{FailedAttempt, NoRetry, RetryBudget, RetrySettings, try_retry};
use crate::{Millis, testing::cases, verdict::Verdict};

const SETTINGS: RetrySettings =
    RetrySettings { share: 0.1, burst: 10.0, attempts: 3 };

const FAILED: FailedAttempt = FailedAttempt {
    verdict: Verdict::MayHaveRun,
    repeatable: true,
    output_begun: false,
    attempts: 1,
};

fn full() -> RetryBudget {
    RetryBudget::new(SETTINGS)
}

fn decide(failed: FailedAttempt, now: u64) -> Result<(), NoRetry> {
    let (mut workspace, mut upstream) = (full(), full());
    try_retry(
        failed,
        SETTINGS,
        Millis::new(now),
        Millis::new(100),
        &mut workspace,
        &mut upstream,
    )
}

#[gtest]
fn what_forbids_a_retry() {
    let may_not = FailedAttempt { repeatable: false, ..FAILED };
    let not_run = FailedAttempt { verdict: Verdict::NotRun, ..may_not };
    let begun = FailedAttempt { output_begun: true, ..FAILED };
    let third = FailedAttempt { attempts: 3, ..FAILED };
    let cases = [
        (FAILED, 0, Ok(())),
        (may_not, 0, Err(NoRetry::MayHaveRun)),
        (not_run, 0, Ok(())),
        (begun, 0, Err(NoRetry::OutputBegun)),
        (FAILED, 100, Err(NoRetry::Late)),
        (third, 0, Err(NoRetry::Attempts)),
    ];
    for (failed, now, wanted) in cases {
        expect_that!(decide(failed, now), eq(wanted), "{failed:?}");
    }
}

#[gtest]
fn a_budget_that_cannot_pay_leaves_the_other_alone() {
    let mut workspace = full();
    let mut upstream = full();
    while upstream.try_pay() {}
    let decided = try_retry(
        FAILED,
        SETTINGS,
        Millis::new(0),
        Millis::new(100),
        &mut workspace,
        &mut upstream,
    );
    expect_that!(decided, err(eq(NoRetry::Budget)));
    let mut paid = 0;
    while workspace.try_pay() {
        paid += 1;
    }
    expect_that!(paid, eq(10));
}

/// Sends `requests` through budgets, of which each `fails`-th call fails,
/// and returns the calls made.
fn calls(requests: u32, fails: impl Fn(u32) -> bool) -> u32 {
    let (mut workspace, mut upstream) = (full(), full());
    let mut calls = 0;
    for _ in 0..requests {
        workspace.first_attempt();
        upstream.first_attempt();
        let mut attempts = 0;
        loop {
            attempts += 1;
            calls += 1;
            let failed = FailedAttempt { attempts, ..FAILED };
            if !fails(calls)
                || try_retry(
                    failed,
                    SETTINGS,
                    Millis::new(0),
                    Millis::new(100),
                    &mut workspace,
                    &mut upstream,
                )
                .is_err()
            {
                break;
            }
        }
    }
    calls
}

#[gtest]
fn an_upstream_that_fails_half_its_calls_gets_a_tenth_more() {
    let made = calls(10_000, |call| call % 2 == 0);
    expect_that!(made, le(10_000 + 1_000 + 10));
    expect_that!(made, ge(10_000 + 1_000 - 10));
}

proptest! {
    #![proptest_config(cases())]

    #[test]
    fn retries_are_bounded_by_share_and_burst(
        requests in 1_u32..500,
        failing in prop::collection::vec(any::<bool>(), 1..50),
    ) {
        let fails = |call: u32| failing[call as usize % failing.len()];
        let made = calls(requests, fails);
        let most = f64::from(requests) * 1.1 + 10.0;
        prop_assert!(f64::from(made) <= most + 1e-6);
    }
}
