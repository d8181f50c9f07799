//! Tests of the choice of the route, service and bound of a request.

use googletest::prelude::*;
use proptest::prelude::*;

use crate::{
    fleet::{
        CallerLimits, Catalog, RegionBound, Repetition, Route,
        catalog::Target,
        workspace::{Workspace, Workspaces},
    },
    id::{ServiceName, WorkspaceId},
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
        repetition: Repetition::AtMostOnce,
        streaming: false,
        max_duration_ms: 1_000,
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
            header_limit_bytes: 1_000,
            body_limit_bytes: 1_000,
            header_read_timeout_ms: 1_000,
            keep_alive_timeout_ms: 1_000,
        },
        workspaces: None,
    }
}

#[gtest]
fn the_route_with_the_longest_matching_prefix_is_found() {
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

/// Returns the weights of one to four services, at least one of which has a
/// weight above 0.
fn weights() -> impl Strategy<Value = Vec<u32>> {
    let others = prop::collection::vec(0_u32..5, 0..4);
    (others, 1_u32..5, any::<prop::sample::Index>()).prop_map(
        |(mut weights, positive, index)| {
            let position = index.index(weights.len() + 1);
            weights.insert(position, positive);
            weights
        },
    )
}

proptest! {
    #![proptest_config(cases())]

    #[test]
    fn a_service_without_weight_is_not_picked(
        weights in weights(),
        draw in 0.0_f64..1.0,
    ) {
        let route = route("/", &weights);
        let chosen = route.service(draw).unwrap();
        let target =
            route.targets.iter().find(|t| t.service == *chosen).unwrap();
        prop_assert!(target.weight > 0);
    }
}

fn workspace(name: &str, bound: RegionBound) -> Workspace {
    Workspace { name: WorkspaceId::new(name), rank: 0, limit: None, bound }
}

/// Returns a catalog with two routes, one of them with a bound, and three
/// workspaces.
fn catalog_with_bounds() -> Catalog {
    let mut catalog = catalog(&["/", "/south/"]);
    catalog.routes[1].bound = RegionBound::within(["south", "east"]);
    let mut workspaces = Workspaces::default();
    workspaces.add(workspace("any", RegionBound::Anywhere), []);
    workspaces.add(workspace("south", RegionBound::within(["south"])), []);
    workspaces.add(workspace("north", RegionBound::within(["north"])), []);
    catalog.workspaces = Some(workspaces);
    catalog
}

#[gtest]
fn a_request_is_bound_by_its_route_and_its_workspace() {
    let catalog = catalog_with_bounds();
    let bound = |path: &str, workspace: Option<&str>| {
        let workspace = workspace.map(WorkspaceId::new);
        catalog.bound_of("a.example", path, workspace.as_ref())
    };
    expect_that!(bound("/1", None), eq(&RegionBound::Anywhere));
    expect_that!(bound("/1", Some("any")), eq(&RegionBound::Anywhere));
    let of_route = RegionBound::within(["south", "east"]);
    expect_that!(bound("/south/1", None), eq(&of_route));
    expect_that!(bound("/south/1", Some("any")), eq(&of_route));
    let of_both = RegionBound::within(["south"]);
    expect_that!(bound("/south/1", Some("south")), eq(&of_both));
    expect_that!(bound("/1", Some("south")), eq(&of_both));
    expect_true!(bound("/south/1", Some("north")).is_empty());
    // An undeclared workspace or route sets no bound.
    expect_that!(bound("/1", Some("gone")), eq(&RegionBound::Anywhere));
    let elsewhere = catalog.bound_of("b.example", "/south/1", None);
    expect_that!(elsewhere, eq(&RegionBound::Anywhere));
}

#[gtest]
fn pairs_of_route_and_workspace_without_a_common_region_are_found() {
    let catalog = catalog_with_bounds();
    let pairs: Vec<(&str, &str)> = catalog
        .empty_bounds()
        .map(|(route, workspace)| {
            (route.prefix.as_str(), workspace.name.as_str())
        })
        .collect();
    expect_that!(pairs, elements_are![eq(&("/south/", "north"))]);
}
