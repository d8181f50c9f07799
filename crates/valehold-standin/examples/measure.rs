//! Prints attainment and moves of the decisions and of simple baselines.
//!
//! ```sh
//! cargo run --release -p valehold-standin --example measure
//! ```
//!
//! `--seconds N` sets the length of a run (600), `--seeds N` how many seeds
//! are tried (3), `--only TEXT` runs the scenarios whose names contain it.
//! `--compare prefix` compares ways of counting on prefix caches, `--compare
//! doubt` ways of drawing among engines, `--compare weighing` prices of moves,
//! `--compare admission` how much of its time a request may wait.

use valehold_core::{
    admission::AdmissionSettings, config::Weighing, routing::RoutingSettings,
};
use valehold_standin::experiment::{
    Policy, Scenario, Summary, User, example, run, table,
};

/// A policy with the name it has in the table.
type Named = (String, Policy);

/// Returns the policies that are compared.
fn policies(compared: &str) -> Vec<Named> {
    let admission = AdmissionSettings::default();
    let named = |name: String, weighing, routing| {
        (name, Policy::Valehold { weighing, routing, admission })
    };
    let shipped = RoutingSettings::default();
    match compared {
        "prefix" => [0.0, 0.5, 0.9, 1.0]
            .map(|prefix_trust| {
                let name = format!("prefixes trusted by {prefix_trust}");
                let routing = RoutingSettings { prefix_trust, ..shipped };
                named(name, None, routing)
            })
            .into(),
        "doubt" => [(3.0, 0.01), (3.0, 0.0), (0.001, 0.0), (30.0, 0.1)]
            .map(|(least_doubt_ms, doubt_per_ms)| {
                let name = format!("{least_doubt_ms} + {doubt_per_ms} age");
                let routing = RoutingSettings {
                    least_doubt_ms,
                    doubt_per_ms,
                    ..shipped
                };
                named(name, None, routing)
            })
            .into(),
        "admission" => [(0.5, 1.0), (0.8, 1.0), (1.0, 1.0), (1.2, 1.2)]
            .map(|(lowest, highest)| {
                let name = format!("waits {lowest} to {highest}");
                let admission = AdmissionSettings { lowest, highest };
                let (weighing, routing) = (None, shipped);
                (name, Policy::Valehold { weighing, routing, admission })
            })
            .into(),
        "weighing" => [0.0, 1.0, 5.0, 20.0, 60.0, 200.0, 1_000.0]
            .map(|moves| {
                let weighing = Weighing { attainment: 1.0, moves };
                named(format!("a move costs {moves}"), Some(weighing), shipped)
            })
            .into(),
        _ => [
            Policy::valehold(),
            Policy::RoundRobin,
            Policy::LeastInFlight,
            Policy::LoadOnDemand,
            Policy::Pooled,
        ]
        .map(|policy| (policy.name().to_owned(), policy))
        .into(),
    }
}

fn main() {
    let seconds = number("--seconds", 600);
    let seeds = number("--seeds", 3);
    let only = text("--only").unwrap_or_default();
    let compared = text("--compare").unwrap_or_default();
    for user in User::ALL {
        println!("\n## {}\n", user.example());
        let config = example(user);
        let scenarios = Scenario::ALL.into_iter();
        let scenarios = scenarios.filter(|s| s.name().contains(&only));
        let mut summaries = Vec::new();
        for scenario in scenarios {
            for (name, policy) in policies(&compared) {
                let runs = (1..=seeds).map(|seed| {
                    run(user, scenario, &config, policy, seed, seconds)
                });
                summaries.push(Summary {
                    scenario: scenario.name(),
                    policy: name,
                    runs: runs.collect(),
                });
            }
        }
        println!("{}", table(&summaries));
    }
}

fn text(name: &str) -> Option<String> {
    let mut arguments = std::env::args();
    arguments.find(|argument| argument == name)?;
    arguments.next()
}

fn number(name: &str, otherwise: u64) -> u64 {
    text(name).and_then(|n| n.parse().ok()).unwrap_or(otherwise)
}
