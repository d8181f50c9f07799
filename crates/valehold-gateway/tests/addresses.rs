//! Which gateways callers are told of.

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

/// Two regions of two data centres each, and a third of one.
fn three_regions() -> Topology {
    topology(&[
        ("n1", "north"),
        ("n2", "north"),
        ("s1", "south"),
        ("s2", "south"),
        ("w1", "west"),
    ])
}

/// Returns whom a caller in a data centre is told of.
fn told(
    ready: &[ReadyMember],
    data_centre: Option<&DataCentreId>,
    rng: &mut StdRng,
) -> BTreeSet<SocketAddr> {
    let caller = AddressRequest { data_centre, region: None, bounds: &[] };
    addresses_for(ready, &caller, &topology(&[]), rng)
}

/// Returns the last numbers of the addresses of which a caller in a data
/// centre of three regions is told.
fn told_in_regions(
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
    let told = addresses_for(ready, &caller, &three_regions(), &mut rng);
    told.into_iter().map(number).collect()
}

fn number(address: SocketAddr) -> u8 {
    match address {
        SocketAddr::V4(address) => address.ip().octets()[3],
        SocketAddr::V6(_) => panic!("an address of another family"),
    }
}

#[gtest]
fn near_gateways_are_told_of_if_there_are_two() {
    let mut rng = StdRng::seed_from_u64(1);
    let mut ready = members("north", 0..2);
    ready.extend(members("south", 2..3));
    let north = DataCentreId::new("north");
    let south = DataCentreId::new("south");
    expect_that!(told(&ready, Some(&north), &mut rng).len(), eq(2));
    expect_that!(told(&ready, Some(&south), &mut rng).len(), eq(3));
    expect_that!(told(&ready, None, &mut rng).len(), eq(3));
}

/// The first 64 of the list were told to everyone, and the others got no
/// requests.
#[gtest]
fn where_there_are_too_many_all_are_told_of_in_turn() {
    let mut rng = StdRng::seed_from_u64(1);
    let ready = members("north", 0..200);
    let north = DataCentreId::new("north");
    let mut told_of = BTreeSet::new();
    for _ in 0..40 {
        let told = told(&ready, Some(&north), &mut rng);
        expect_that!(told.len(), eq(MAX_ADDRESSES));
        told_of.extend(told);
    }
    expect_that!(told_of.len(), eq(200));
}

#[gtest]
fn a_region_is_told_of_where_its_data_centre_has_too_few() {
    let mut ready = members("n1", 0..1);
    ready.extend(members("n2", 1..3));
    ready.extend(members("s1", 3..5));
    expect_that!(told_in_regions(&ready, "n1", &[]), eq(&vec![0, 1, 2]));
    expect_that!(told_in_regions(&ready, "n2", &[]), eq(&vec![1, 2]));
    expect_that!(told_in_regions(&ready, "s2", &[]), eq(&vec![3, 4]));
    let all = vec![0, 1, 2, 3, 4];
    expect_that!(told_in_regions(&ready, "w1", &[]), eq(&all));
}

/// One gateway of a caller's region is no choice, but others may not see what
/// is bound.
#[gtest]
fn a_host_with_bound_routes_keeps_to_the_region_of_the_caller() {
    let mut ready = members("n1", 0..1);
    ready.extend(members("s1", 1..3));
    let bounds = [RegionBound::Anywhere, RegionBound::within(["west"])];
    expect_that!(told_in_regions(&ready, "n2", &bounds), eq(&vec![0]));
    expect_that!(told_in_regions(&ready, "n2", &[]), eq(&vec![0, 1, 2]));
}

#[gtest]
fn without_any_in_its_region_a_caller_is_told_of_those_inside_the_bounds() {
    let mut ready = members("n1", 0..2);
    ready.extend(members("s1", 2..4));
    let south = [RegionBound::Anywhere, RegionBound::within(["south"])];
    expect_that!(told_in_regions(&ready, "w1", &south), eq(&vec![2, 3]));
    let both = [
        RegionBound::within(["south", "north"]),
        RegionBound::within(["south"]),
    ];
    expect_that!(told_in_regions(&ready, "w1", &both), eq(&vec![2, 3]));
    let apart =
        [RegionBound::within(["south"]), RegionBound::within(["west"])];
    expect_that!(told_in_regions(&ready, "w1", &apart), eq(&vec![2, 3]));
    let nowhere = [RegionBound::within(["east"])];
    let all = vec![0, 1, 2, 3];
    expect_that!(told_in_regions(&ready, "w1", &nowhere), eq(&all));
}

#[gtest]
fn what_a_caller_says_of_its_region_goes_before_the_declared_one() {
    let mut rng = StdRng::seed_from_u64(1);
    let mut ready = members("n1", 0..2);
    ready.extend(members("s1", 2..4));
    let (south, unknown) = (RegionId::new("south"), DataCentreId::new("x9"));
    let caller = AddressRequest {
        data_centre: Some(&unknown),
        region: Some(&south),
        bounds: &[],
    };
    let told = addresses_for(&ready, &caller, &three_regions(), &mut rng);
    let told: Vec<u8> = told.into_iter().map(number).collect();
    expect_that!(told, eq(&vec![2, 3]));
}

proptest! {
    /// For a caller of any region and a host whose routes share a bound.
    #[test]
    fn bound_bodies_are_seen_elsewhere_only_where_nobody_else_is_left(
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
        let told = told_in_regions(&ready, DATA_CENTRES[from], &bounds);
        prop_assert!(!told.is_empty());
        if places.iter().any(|place| may_see(*place)) {
            for number in told {
                prop_assert!(may_see(places[usize::from(number)]));
            }
        }
    }
}
