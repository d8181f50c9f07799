//! All instances' second sends stay within the budget, in every window.

use googletest::prelude::*;
use proptest::prelude::*;

use crate::{
    Millis,
    fleet::share::{RetryBudget, RetryShare},
    testing::cases,
};

const BUDGET: RetryBudget =
    RetryBudget { ratio: 0.2, slack: 54.0, window_ms: 10_000, instances: 16 };

#[derive(Debug, Clone, Copy)]
enum Step {
    Pass(u64),
    First(usize),
    Again(usize),
}

fn step(instances: usize) -> impl Strategy<Value = Step> {
    prop_oneof![
        2 => (1_u64..400).prop_map(Step::Pass),
        2 => (0..instances).prop_map(Step::First),
        4 => (0..instances).prop_map(Step::Again),
    ]
}

proptest! {
    #![proptest_config(cases())]

    #[test]
    fn second_sends_stay_within_the_budget(
        steps in prop::collection::vec(step(16), 1..400),
    ) {
        let mut shares: Vec<RetryShare> =
            (0..16).map(|_| RetryShare::new(BUDGET)).collect();
        let mut now = Millis::new(0);
        let (mut firsts, mut agains) = (Vec::new(), Vec::new());
        for step in steps {
            match step {
                Step::Pass(ms) => now = now + ms,
                Step::First(instance) => {
                    shares[instance].first_send(now);
                    firsts.push(now);
                }
                Step::Again(instance) => {
                    if shares[instance].try_again(now) {
                        agains.push(now);
                    }
                }
            }
            let within = |times: &[Millis]| {
                let young = |at: &&Millis| now.since(**at) < 10_000;
                times.iter().filter(young).count()
            };
            #[allow(clippy::cast_precision_loss)]
            let allowed = within(&firsts) as f64 * 0.2 + 54.0;
            #[allow(clippy::cast_precision_loss)]
            let used = within(&agains) as f64;
            prop_assert!(used <= allowed, "{used} of {allowed}");
        }
    }
}

/// The slack was divided among 16 while 63 gateways sent: together they could
/// use 2.4 times of it.
#[gtest]
fn more_instances_than_were_expected_share_the_slack_too() {
    let now = Millis::new(0);
    let used: usize = (0..63)
        .map(|_| {
            let mut share = RetryShare::new(BUDGET);
            share.seen_instances(63);
            // One that is cut off sees fewer.
            share.seen_instances(2);
            share.first_send(now);
            (0..10).filter(|_| share.try_again(now)).count()
        })
        .sum();
    #[allow(clippy::cast_precision_loss)]
    let used = used as f64;
    expect_that!(used, le(63.0 * 0.2 + 54.0));
}

#[gtest]
fn an_instance_alone_can_send_again() {
    let mut share = RetryShare::new(BUDGET);
    let now = Millis::new(0);
    expect_true!(share.try_again(now));
    expect_true!(share.try_again(now));
    expect_false!(share.try_again(now));
    expect_true!(share.try_again(now + 10_000));
}
