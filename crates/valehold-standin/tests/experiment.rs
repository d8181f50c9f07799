//! A short form of the experiments: what has to hold whatever the figures.

use googletest::prelude::*;
use valehold_core::config::Weighing;
use valehold_standin::experiment::{
    Figures, Policy, Scenario, User, example, run,
};

const SECONDS: u64 = 60;

fn figures(user: User, scenario: Scenario, policy: Policy) -> Figures {
    let config = example(user);
    run(user, scenario, &config, policy, 7, SECONDS)
}

#[gtest]
fn a_seed_gives_the_same_figures_each_time() {
    let run =
        || figures(User::Hledsluvit, Scenario::FrostNight, Policy::valehold());
    expect_that!(run(), eq(&run()));
}

#[gtest]
fn every_request_ends_once_under_every_policy() {
    let policies = [
        Policy::valehold(),
        Policy::RoundRobin,
        Policy::LeastInFlight,
        Policy::LoadOnDemand,
        Policy::Pooled,
    ];
    let requests: Vec<u64> = policies
        .into_iter()
        .map(|policy| figures(User::CalorAndino, Scenario::Steady, policy))
        .map(|figures| figures.requests())
        .collect();
    expect_that!(requests[0], gt(0));
    let all_alike = requests.iter().all(|count| *count == requests[0]);
    expect_that!(all_alike, eq(true));
}

#[gtest]
fn memory_is_never_overcommitted() {
    for scenario in Scenario::ALL {
        let figures = figures(User::Hledsluvit, scenario, Policy::valehold());
        expect_that!(figures.overcommitted, eq(false), "{}", scenario.name());
    }
}

#[gtest]
fn on_a_frost_night_the_decisions_beat_the_baselines_at_fewer_moves() {
    for user in User::ALL {
        let night = |policy| figures(user, Scenario::FrostNight, policy);
        let valehold = night(Policy::valehold());
        for baseline in
            [Policy::RoundRobin, Policy::LeastInFlight, Policy::LoadOnDemand]
        {
            expect_that!(valehold.in_time, ge(night(baseline).in_time));
        }
        let on_demand = night(Policy::LoadOnDemand);
        expect_that!(valehold.moves * 2, le(on_demand.moves));
    }
}

#[gtest]
fn dearer_moves_are_fewer() {
    let moves = [0.0, 20.0, 1_000.0].map(|moves| {
        let weighing = Some(Weighing { attainment: 1.0, moves });
        let Policy::Valehold { routing, admission, .. } = Policy::valehold()
        else {
            panic!("the product's own policy")
        };
        let policy = Policy::Valehold { weighing, routing, admission };
        figures(User::Hledsluvit, Scenario::FrostNight, policy).moves
    });
    expect_that!(moves[1], lt(moves[0]));
    expect_that!(moves[2], lt(moves[1]));
}
