//! Tests that the retries of all instances stay within the budget in every
//! window.

use googletest::prelude::*;
use proptest::prelude::*;

use crate::{
    Millis,
    fleet::retry_share::{RetryBudget, RetryShare},
    testing::cases,
};

const BUDGET: RetryBudget =
    RetryBudget { ratio: 0.2, slack: 54.0, window_ms: 10_000, instances: 16 };

/// When instances started, and a window after that.
const START: Millis = Millis::new(0);
const NOW: Millis = Millis::new(10_000);

#[derive(Debug, Clone, Copy)]
enum Step {
    Pass(u64),
    Request(usize),
    Retry(usize),
    Restart(usize),
}

fn step(instances: usize) -> impl Strategy<Value = Step> {
    prop_oneof![
        2 => (1_u64..400).prop_map(Step::Pass),
        2 => (0..instances).prop_map(Step::Request),
        4 => (0..instances).prop_map(Step::Retry),
        1 => (0..instances).prop_map(Step::Restart),
    ]
}

proptest! {
    #![proptest_config(cases())]

    #[test]
    fn retries_stay_within_the_budget(
        steps in prop::collection::vec(step(16), 1..400),
    ) {
        let mut shares: Vec<RetryShare> =
            (0..16).map(|_| RetryShare::new(BUDGET, START)).collect();
        let mut now = NOW;
        let (mut requests, mut retries) = (Vec::new(), Vec::new());
        for step in steps {
            match step {
                Step::Pass(ms) => now = now + ms,
                Step::Request(instance) => {
                    shares[instance].record_request(now);
                    requests.push(now);
                }
                Step::Retry(instance) => {
                    if shares[instance].try_retry(now) {
                        retries.push(now);
                    }
                }
                Step::Restart(instance) => {
                    shares[instance] = RetryShare::new(BUDGET, now);
                }
            }
            let within = |times: &[Millis]| {
                let young = |at: &&Millis| now.since(**at) < 10_000;
                times.iter().filter(young).count()
            };
            #[allow(clippy::cast_precision_loss)]
            let allowed = within(&requests) as f64 * 0.2 + 54.0;
            #[allow(clippy::cast_precision_loss)]
            let used = within(&retries) as f64;
            prop_assert!(used <= allowed, "{used} of {allowed}");
        }
    }
}

/// The slack was divided among 16 instances although 63 gateways were sending:
/// together the gateways could use 2.4 times the slack.
#[gtest]
fn more_instances_than_configured_share_the_slack() {
    let now = NOW;
    let used: usize = (0..63)
        .map(|_| {
            let mut share = RetryShare::new(BUDGET, START);
            share.observe_instances(63);
            // An instance that is cut off sees fewer.
            share.observe_instances(2);
            share.record_request(now);
            (0..10).filter(|_| share.try_retry(now)).count()
        })
        .sum();
    #[allow(clippy::cast_precision_loss)]
    let used = used as f64;
    expect_that!(used, le(63.0 * 0.2 + 54.0));
}

/// Two lives of all gateways within a window used 1.2 of the slack.
#[gtest]
fn restarts_give_nobody_the_slack_anew() {
    let mut retries = 0;
    let mut now = NOW;
    let mut use_up = |share: &mut RetryShare, now: Millis| {
        while share.try_retry(now) {
            retries += 1;
        }
    };
    let budget = RetryBudget { instances: 1, ..BUDGET };
    use_up(&mut RetryShare::new(budget, START), now);
    for life_ms in [900, 4_000, 100, 2_000, 2_999] {
        let mut share = RetryShare::new(budget, now);
        now = now + life_ms;
        use_up(&mut share, now);
    }
    expect_that!(retries, le(54));
    // An instance that goes on has a part of it all the while.
    expect_that!(retries, ge(32 + 10));
}

#[gtest]
fn a_single_instance_can_retry() {
    let mut share = RetryShare::new(BUDGET, START);
    let now = NOW;
    expect_true!(share.try_retry(now));
    expect_true!(share.try_retry(now));
    expect_false!(share.try_retry(now));
    expect_true!(share.try_retry(now + 10_000));
}
