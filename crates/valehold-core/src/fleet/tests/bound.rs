//! Tests of region bounds and their intersection.

use std::collections::BTreeSet;

use googletest::prelude::*;
use proptest::prelude::*;

use crate::{fleet::RegionBound, id::RegionId, testing::cases};

const REGIONS: [&str; 4] = ["east", "north", "south", "west"];

fn bound() -> impl Strategy<Value = RegionBound> {
    let within = prop::collection::btree_set(0..REGIONS.len(), 0..4);
    prop_oneof![
        1 => Just(RegionBound::Anywhere),
        3 => within.prop_map(|set| {
            RegionBound::within(set.into_iter().map(|index| REGIONS[index]))
        }),
    ]
}

fn allows(bound: &RegionBound, region: &str) -> bool {
    bound.allows(Some(&RegionId::new(region)))
}

#[gtest]
fn a_bound_allows_only_its_regions() {
    let bound = RegionBound::within(["north", "south"]);
    expect_true!(allows(&bound, "north"));
    expect_true!(allows(&bound, "south"));
    expect_false!(allows(&bound, "east"));
}

#[gtest]
fn only_the_unrestricted_bound_allows_an_unknown_region() {
    expect_false!(RegionBound::within(["north"]).allows(None));
    expect_true!(RegionBound::Anywhere.allows(None));
}

#[gtest]
fn the_intersection_of_disjoint_bounds_is_empty() {
    let both = RegionBound::within(["north"])
        .intersection(&RegionBound::within(["south"]));
    expect_true!(both.is_empty());
    expect_that!(both, eq(&RegionBound::Within(BTreeSet::new())));
    // An empty bound stays empty: the intersection with `Anywhere` does not
    // widen it.
    expect_true!(both.intersection(&RegionBound::Anywhere).is_empty());
    expect_false!(RegionBound::Anywhere.is_empty());
}

proptest! {
    #![proptest_config(cases())]

    #[test]
    fn an_intersection_allows_the_regions_that_both_bounds_allow(
        a in bound(), b in bound(), region in 0..REGIONS.len(),
    ) {
        let both = a.intersection(&b);
        let region = RegionId::new(REGIONS[region]);
        for region in [Some(&region), None] {
            let each = a.allows(region) && b.allows(region);
            prop_assert_eq!(both.allows(region), each);
        }
        let any = REGIONS.iter().any(|region| allows(&both, region));
        let is_anywhere = both == RegionBound::Anywhere;
        prop_assert_eq!(both.is_empty(), !any && !is_anywhere);
    }

    #[test]
    fn intersection_is_commutative_associative_and_idempotent(
        a in bound(), b in bound(), c in bound(),
    ) {
        prop_assert_eq!(a.intersection(&b), b.intersection(&a));
        prop_assert_eq!(
            a.intersection(&b).intersection(&c),
            a.intersection(&b.intersection(&c))
        );
        prop_assert_eq!(a.intersection(&a), a.clone());
        prop_assert_eq!(a.intersection(&RegionBound::Anywhere), a);
    }
}
