//! Where two bounds hold, both hold.

use std::collections::BTreeSet;

use googletest::prelude::*;
use proptest::prelude::*;

use crate::{fleet::RegionBound, id::RegionId, testing::cases};

const REGIONS: [&str; 4] = ["east", "north", "south", "west"];

fn bound() -> impl Strategy<Value = RegionBound> {
    let within = prop::collection::btree_set(0..REGIONS.len(), 0..4);
    prop_oneof![
        1 => Just(RegionBound::Anywhere),
        3 => within.prop_map(|of| {
            RegionBound::within(of.into_iter().map(|index| REGIONS[index]))
        }),
    ]
}

fn allows(bound: &RegionBound, region: &str) -> bool {
    bound.allows(Some(&RegionId::new(region)))
}

#[gtest]
fn a_bound_allows_its_regions_alone() {
    let bound = RegionBound::within(["north", "south"]);
    expect_true!(allows(&bound, "north"));
    expect_true!(allows(&bound, "south"));
    expect_false!(allows(&bound, "east"));
}

#[gtest]
fn a_place_whose_region_is_not_known_lies_outside_of_every_bound() {
    expect_false!(RegionBound::within(["north"]).allows(None));
    expect_true!(RegionBound::Anywhere.allows(None));
}

#[gtest]
fn bounds_without_a_common_region_leave_none() {
    let both =
        RegionBound::within(["north"]).and(&RegionBound::within(["south"]));
    expect_true!(both.is_empty());
    expect_that!(both, eq(&RegionBound::Within(BTreeSet::new())));
    // An empty one never becomes a permission again.
    expect_true!(both.and(&RegionBound::Anywhere).is_empty());
    expect_false!(RegionBound::Anywhere.is_empty());
}

proptest! {
    #![proptest_config(cases())]

    #[test]
    fn both_allow_what_each_allows(
        a in bound(), b in bound(), region in 0..REGIONS.len(),
    ) {
        let both = a.and(&b);
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
    fn the_order_in_which_bounds_are_joined_does_not_count(
        a in bound(), b in bound(), c in bound(),
    ) {
        prop_assert_eq!(a.and(&b), b.and(&a));
        prop_assert_eq!(a.and(&b).and(&c), a.and(&b.and(&c)));
        prop_assert_eq!(a.and(&a), a.clone());
        prop_assert_eq!(a.and(&RegionBound::Anywhere), a);
    }
}
