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

#[derive(Debug, Clone, Copy)]
enum Step {
    Pass(u64),
    Request(usize),
    Retry(usize),
}

fn step(instances: usize) -> impl Strategy<Value = Step> {
    prop_oneof![
        2 => (1_u64..400).prop_map(Step::Pass),
        2 => (0..instances).prop_map(Step::Request),
        4 => (0..instances).prop_map(Step::Retry),
    ]
}

proptest! {
    #![proptest_config(cases())]

    #[test]
    fn retries_stay_within_the_budget(
        steps in prop::collection::vec(step(16), 1..400),
    ) {
        let mut shares: Vec<RetryShare> =
            (0..16).map(|_| RetryShare::new(BUDGET)).collect();
        let mut now = Millis::new(0);
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
    let now = Millis::new(0);
    let used: usize = (0..63)
        .map(|_| {
            let mut share = RetryShare::new(BUDGET);
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

#[gtest]
fn a_single_instance_can_retry() {
    let mut share = RetryShare::new(BUDGET);
    let now = Millis::new(0);
    expect_true!(share.try_retry(now));
    expect_true!(share.try_retry(now));
    expect_false!(share.try_retry(now));
    expect_true!(share.try_retry(now + 10_000));
}
