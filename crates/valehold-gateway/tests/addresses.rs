//! Which gateways callers are told of.

use std::{collections::BTreeSet, net::SocketAddr};

use googletest::prelude::*;
use rand::{SeedableRng, rngs::StdRng};
use valehold_core::id::DataCentreId;
use valehold_gateway::{
    traffic::addresses::{MOST_ADDRESSES, addresses_for},
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

#[gtest]
fn near_gateways_are_told_of_if_there_are_two() {
    let mut rng = StdRng::seed_from_u64(1);
    let mut ready = members("north", 0..2);
    ready.extend(members("south", 2..3));
    let north = DataCentreId::new("north");
    let south = DataCentreId::new("south");
    let told = addresses_for(&ready, Some(&north), &mut rng);
    expect_that!(told.len(), eq(2));
    let told = addresses_for(&ready, Some(&south), &mut rng);
    expect_that!(told.len(), eq(3));
    let told = addresses_for(&ready, None, &mut rng);
    expect_that!(told.len(), eq(3));
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
        let told = addresses_for(&ready, Some(&north), &mut rng);
        expect_that!(told.len(), eq(MOST_ADDRESSES));
        told_of.extend(told);
    }
    expect_that!(told_of.len(), eq(200));
}
