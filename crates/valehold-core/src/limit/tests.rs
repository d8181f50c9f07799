//! Shares never sum to more than the limit.

use std::collections::BTreeMap;

use googletest::prelude::*;
use proptest::prelude::*;

use super::{EVEN_PART, Grant, Grantor, HeldGrant, TokenBucket};
use crate::{
    Millis,
    id::{InstanceId, WorkspaceId},
    testing::cases,
};

const TERM_MS: u64 = 500;
const INSTANCES: usize = 4;

#[derive(Debug, Clone)]
enum Step {
    Pass(u64),
    /// An instance asks with a demand; the answer is on its way.
    Ask {
        instance: usize,
        demand: u8,
    },
    /// An answer arrives, in any order.
    Receive(usize),
    /// Another instance becomes the grantor; the one before may be cut off.
    NewGrantor,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (1_u64..200).prop_map(Step::Pass),
        8 => (0..INSTANCES, 0_u8..10).prop_map(|(instance, demand)| {
            Step::Ask { instance, demand }
        }),
        8 => (0_usize..6).prop_map(Step::Receive),
        1 => Just(Step::NewGrantor),
    ]
}

struct World {
    now: Millis,
    grantor: Grantor,
    demand: BTreeMap<InstanceId, f64>,
    answers: Vec<(usize, Grant, Millis)>,
    held: Vec<HeldGrant>,
}

impl World {
    fn take(&mut self, step: &Step) {
        match step {
            Step::Pass(ms) => self.now = self.now + *ms,
            Step::NewGrantor => {
                self.grantor = Grantor::new(TERM_MS, self.now);
            }
            Step::Ask { instance, demand } => {
                let id = InstanceId::new(format!("i{instance}"));
                self.demand.insert(id.clone(), f64::from(*demand));
                let workspace = WorkspaceId::new("w");
                let grant = self.grantor.grant(
                    &workspace,
                    &id,
                    &self.demand,
                    self.now,
                );
                self.answers.push((*instance, grant, self.now));
            }
            Step::Receive(index) => {
                if *index < self.answers.len() {
                    let (instance, grant, asked) = self.answers.remove(*index);
                    self.held[instance].receive(grant, asked);
                }
            }
        }
    }

    fn total_share(&self, limit: f64) -> f64 {
        let most = u32::try_from(INSTANCES).unwrap();
        let shares = self.held.iter();
        shares.map(|held| held.share(limit, most, self.now)).sum()
    }
}

fn world() -> World {
    World {
        now: Millis::new(10_000),
        grantor: Grantor::new(TERM_MS, Millis::new(0)),
        demand: BTreeMap::new(),
        answers: Vec::new(),
        held: vec![HeldGrant::default(); INSTANCES],
    }
}

proptest! {
    #![proptest_config(cases())]

    #[test]
    fn shares_never_sum_to_more_than_the_limit(
        steps in prop::collection::vec(step(), 1..200),
    ) {
        let mut world = world();
        for step in &steps {
            world.take(step);
            let total = world.total_share(100.0);
            prop_assert!(total <= 100.0 + 1e-6, "{total} after {step:?}");
        }
    }

    #[test]
    fn a_bucket_lets_no_more_through_than_its_rate_and_burst(
        takes in prop::collection::vec((0_u64..300, 1_u32..5), 1..200),
    ) {
        let mut now = Millis::new(0);
        let mut bucket = TokenBucket::new(10.0, 2.0, now);
        let mut taken = 0.0;
        for (pass, tokens) in takes {
            now = now + pass;
            let tokens = f64::from(tokens);
            if bucket.try_take(tokens, now).is_ok() {
                taken += tokens;
            }
            let most = 20.0 + 10.0 * now.get() as f64 / 1_000.0;
            prop_assert!(taken <= most + 1e-6);
        }
    }
}

#[gtest]
fn the_granted_half_follows_demand() {
    let mut world = world();
    for _ in 0..2 {
        world.take(&Step::Ask { instance: 0, demand: 9 });
        world.take(&Step::Ask { instance: 1, demand: 0 });
        world.take(&Step::Receive(0));
        world.take(&Step::Receive(0));
        world.take(&Step::Pass(TERM_MS / 2));
    }
    let most = u32::try_from(INSTANCES).unwrap();
    let even = 100.0 * EVEN_PART / f64::from(most);
    let busy = world.held[0].share(100.0, most, world.now);
    expect_that!(busy, approx_eq(even + 50.0));
    let idle = world.held[1].share(100.0, most, world.now);
    expect_that!(idle, approx_eq(even));
}

#[gtest]
fn without_a_grantor_the_even_half_is_left() {
    let mut world = world();
    world.take(&Step::Ask { instance: 0, demand: 9 });
    world.take(&Step::Receive(0));
    world.take(&Step::Pass(TERM_MS));
    expect_that!(world.total_share(100.0), approx_eq(50.0));
}

#[gtest]
fn a_new_grantor_that_did_not_wait_would_grant_twice() {
    // Without the mechanism: a grantor whose book opens at once.
    let mut world = world();
    world.take(&Step::Ask { instance: 0, demand: 9 });
    world.take(&Step::Receive(0));
    let long_ago = Millis::new(0);
    world.grantor = Grantor::new(TERM_MS, long_ago);
    world.demand.clear();
    world.take(&Step::Ask { instance: 1, demand: 9 });
    world.take(&Step::Receive(0));
    expect_that!(world.total_share(100.0), gt(100.0));
}

#[gtest]
fn a_refused_taker_is_told_when_there_will_be_enough() {
    let mut bucket = TokenBucket::new(10.0, 1.0, Millis::new(0));
    expect_that!(bucket.try_take(10.0, Millis::new(0)), ok(anything()));
    let wait = bucket.try_take(5.0, Millis::new(0)).unwrap_err();
    expect_that!(wait, eq(500));
    expect_that!(bucket.try_take(5.0, Millis::new(wait)), ok(anything()));
}
