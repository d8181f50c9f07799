//! The choice of gateway addresses that a caller is given.

use std::{collections::BTreeSet, net::SocketAddr};

use googletest::prelude::*;
use proptest::prelude::*;
use rand::{SeedableRng, rngs::StdRng};
use valehold_core::{
    fleet::{RegionBound, topology::Topology},
    id::{DataCentreId, RegionId},
};
use valehold_gateway::{
    traffic::addresses::{AddressRequest, MAX_ADDRESSES, addresses_for},
    view::ReadyMember,
};

fn members(
    data_centre: &str,
    numbers: std::ops::Range<u8>,
) -> Vec<ReadyMember> {
    let one = |number| ReadyMember {
        requests: SocketAddr::from(([10, 0, 0, number], 80)),
        data_centre: DataCentreId::new(data_centre),
    };
    numbers.map(one).collect()
}

/// Makes a topology from pairs of a data centre and its region.
fn topology(regions: &[(&str, &str)]) -> Topology {
    let regions = regions.iter().map(|(data_centre, region)| {
        (DataCentreId::new(*data_centre), RegionId::new(*region))
    });
    Topology::new(DataCentreId::new("north"), regions.collect())
}

/// Returns two regions of two data centres each, and a third of one.
fn three_regions() -> Topology {
    topology(&[
        ("n1", "north"),
        ("n2", "north"),
        ("s1", "south"),
        ("s2", "south"),
        ("w1", "west"),
    ])
}

/// Returns the addresses that a caller in a data centre is given.
fn given(
    ready: &[ReadyMember],
    data_centre: Option<&DataCentreId>,
    rng: &mut StdRng,
) -> BTreeSet<SocketAddr> {
    let caller = AddressRequest { data_centre, region: None, bounds: &[] };
    addresses_for(ready, &caller, &topology(&[]), rng)
}

/// Returns the last octets of the addresses that a caller in one of the three
/// regions is given.
fn given_in_regions(
    ready: &[ReadyMember],
    data_centre: &str,
    bounds: &[RegionBound],
) -> Vec<u8> {
    let mut rng = StdRng::seed_from_u64(1);
    let bounds: Vec<&RegionBound> = bounds.iter().collect();
    let caller = AddressRequest {
        data_centre: Some(&DataCentreId::new(data_centre)),
        region: None,
        bounds: &bounds,
    };
    let given = addresses_for(ready, &caller, &three_regions(), &mut rng);
    given.into_iter().map(number).collect()
}

fn number(address: SocketAddr) -> u8 {
    match address {
        SocketAddr::V4(address) => address.ip().octets()[3],
        SocketAddr::V6(_) => panic!("not an IPv4 address"),
    }
}

#[gtest]
fn a_caller_is_given_its_own_data_centre_if_two_gateways_are_there() {
    let mut rng = StdRng::seed_from_u64(1);
    let mut ready = members("north", 0..2);
    ready.extend(members("south", 2..3));
    let north = DataCentreId::new("north");
    let south = DataCentreId::new("south");
    expect_that!(given(&ready, Some(&north), &mut rng).len(), eq(2));
    expect_that!(given(&ready, Some(&south), &mut rng).len(), eq(3));
    expect_that!(given(&ready, None, &mut rng).len(), eq(3));
}

/// Every caller was given the first 64 gateways of the list, so the others
/// received no requests.
#[gtest]
fn with_too_many_gateways_each_caller_is_given_a_random_sample() {
    let mut rng = StdRng::seed_from_u64(1);
    let ready = members("north", 0..200);
    let north = DataCentreId::new("north");
    let mut all_given = BTreeSet::new();
    for _ in 0..40 {
        let given = given(&ready, Some(&north), &mut rng);
        expect_that!(given.len(), eq(MAX_ADDRESSES));
        all_given.extend(given);
    }
    expect_that!(all_given.len(), eq(200));
}

#[gtest]
fn a_caller_is_given_its_region_if_its_data_centre_has_too_few() {
    let mut ready = members("n1", 0..1);
    ready.extend(members("n2", 1..3));
    ready.extend(members("s1", 3..5));
    expect_that!(given_in_regions(&ready, "n1", &[]), eq(&vec![0, 1, 2]));
    expect_that!(given_in_regions(&ready, "n2", &[]), eq(&vec![1, 2]));
    expect_that!(given_in_regions(&ready, "s2", &[]), eq(&vec![3, 4]));
    let all = vec![0, 1, 2, 3, 4];
    expect_that!(given_in_regions(&ready, "w1", &[]), eq(&all));
}

/// A single gateway leaves a caller no alternative, but gateways of other
/// regions may not see requests that are bound to regions.
#[gtest]
fn a_host_with_bound_routes_gives_only_the_region_of_the_caller() {
    let mut ready = members("n1", 0..1);
    ready.extend(members("s1", 1..3));
    let bounds = [RegionBound::Anywhere, RegionBound::within(["west"])];
    expect_that!(given_in_regions(&ready, "n2", &bounds), eq(&vec![0]));
    expect_that!(given_in_regions(&ready, "n2", &[]), eq(&vec![0, 1, 2]));
}

#[gtest]
fn a_caller_without_gateways_in_its_region_is_given_those_inside_the_bounds() {
    let mut ready = members("n1", 0..2);
    ready.extend(members("s1", 2..4));
    let south = [RegionBound::Anywhere, RegionBound::within(["south"])];
    expect_that!(given_in_regions(&ready, "w1", &south), eq(&vec![2, 3]));
    let both = [
        RegionBound::within(["south", "north"]),
        RegionBound::within(["south"]),
    ];
    expect_that!(given_in_regions(&ready, "w1", &both), eq(&vec![2, 3]));
    let apart =
        [RegionBound::within(["south"]), RegionBound::within(["west"])];
    expect_that!(given_in_regions(&ready, "w1", &apart), eq(&vec![2, 3]));
    let nowhere = [RegionBound::within(["east"])];
    let all = vec![0, 1, 2, 3];
    expect_that!(given_in_regions(&ready, "w1", &nowhere), eq(&all));
}

#[gtest]
fn the_region_that_a_caller_states_overrides_the_declared_one() {
    let mut rng = StdRng::seed_from_u64(1);
    let mut ready = members("n1", 0..2);
    ready.extend(members("s1", 2..4));
    let (south, unknown) = (RegionId::new("south"), DataCentreId::new("x9"));
    let caller = AddressRequest {
        data_centre: Some(&unknown),
        region: Some(&south),
        bounds: &[],
    };
    let given = addresses_for(&ready, &caller, &three_regions(), &mut rng);
    let given: Vec<u8> = given.into_iter().map(number).collect();
    expect_that!(given, eq(&vec![2, 3]));
}

proptest! {
    /// Covers callers of all regions and a host whose routes share a bound.
    #[test]
    fn bound_bodies_leave_the_bound_only_if_no_gateway_inside_is_ready(
        places in prop::collection::vec(0..5_usize, 1..12),
        from in 0..5_usize,
        allowed in prop::collection::btree_set(0..3_usize, 1..3),
    ) {
        const DATA_CENTRES: [&str; 5] = ["n1", "n2", "s1", "s2", "w1"];
        const REGIONS: [&str; 3] = ["north", "south", "west"];
        let ready: Vec<ReadyMember> = places
            .iter()
            .zip(0..)
            .flat_map(|(place, number)| {
                members(DATA_CENTRES[*place], number..number + 1)
            })
            .collect();
        let topology = three_regions();
        let region_of =
            |name: &str| topology.region_of(&DataCentreId::new(name));
        let allowed: Vec<&str> =
            allowed.into_iter().map(|index| REGIONS[index]).collect();
        let bound = RegionBound::within(&allowed);
        let own = region_of(DATA_CENTRES[from]);
        let may_see = |place: usize| {
            let region = region_of(DATA_CENTRES[place]);
            region == own || bound.allows(region)
        };
        let bounds = [bound.clone()];
        let given = given_in_regions(&ready, DATA_CENTRES[from], &bounds);
        prop_assert!(!given.is_empty());
        if places.iter().any(|place| may_see(*place)) {
            for number in given {
                prop_assert!(may_see(places[usize::from(number)]));
            }
        }
    }
}
