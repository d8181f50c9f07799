//! Which route and which service take a request.

use googletest::prelude::*;
use proptest::prelude::*;

use crate::{
    fleet::{CallerLimits, Catalog, Repetition, Route, catalog::Target},
    id::ServiceName,
    testing::cases,
};

fn route(prefix: &str, weights: &[u32]) -> Route {
    let target = |(index, weight): (usize, &u32)| Target {
        service: ServiceName::new(format!("s{index}")),
        weight: *weight,
    };
    Route {
        host: "a.example".into(),
        prefix: prefix.into(),
        targets: weights.iter().enumerate().map(target).collect(),
        repetition: Repetition::Once,
        streaming: false,
        longest_ms: 1_000,
        begin_within_ms: 100,
        pause_within_ms: 0,
        rank: 0,
        attempts: 1,
        public: false,
        bound: Default::default(),
    }
}

fn catalog(prefixes: &[&str]) -> Catalog {
    Catalog {
        version: 1,
        routes: prefixes.iter().map(|prefix| route(prefix, &[1])).collect(),
        services: Default::default(),
        limits: CallerLimits {
            header_bytes: 1_000,
            body_bytes: 1_000,
            head_within_ms: 1_000,
            rest_ms: 1_000,
        },
        workspaces: None,
    }
}

#[gtest]
fn the_longest_prefix_takes_a_request() {
    let catalog = catalog(&["/a/", "/a/b/", "/c/"]);
    let found = |path: &str| {
        let route = catalog.find("A.EXAMPLE", path);
        route.map(|route| route.prefix.clone())
    };
    expect_that!(found("/a/b/c"), some(eq("/a/b/")));
    expect_that!(found("/a/bc"), some(eq("/a/")));
    expect_that!(found("/ab"), none());
    expect_that!(catalog.find("b.example", "/a/"), none());
}

proptest! {
    #![proptest_config(cases())]

    #[test]
    fn a_service_without_weight_takes_nothing(
        weights in prop::collection::vec(0_u32..5, 1..5),
        draw in 0.0_f64..1.0,
    ) {
        prop_assume!(weights.iter().any(|weight| *weight > 0));
        let route = route("/", &weights);
        let chosen = route.service(draw).unwrap();
        let target =
            route.targets.iter().find(|t| t.service == *chosen).unwrap();
        prop_assert!(target.weight > 0);
    }
}
