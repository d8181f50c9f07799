//! Which gateways a caller is told of.

use std::{collections::BTreeSet, net::SocketAddr};

use rand::{Rng, seq::IteratorRandom};
use valehold_core::id::DataCentreId;

use crate::view::ReadyMember;

/// How many addresses are given at the most: callers take no more.
pub const MOST_ADDRESSES: usize = 64;

/// How many gateways in a caller's own data centre are enough for it.
const ENOUGH_NEAR: usize = 2;

/// Returns the addresses for a caller: near ones if there are enough.
///
/// Where there are more than are given, they are drawn anew for each answer,
/// so that callers together use all gateways alike.
pub fn addresses_for(
    ready: &[ReadyMember],
    near: Option<&DataCentreId>,
    rng: &mut impl Rng,
) -> BTreeSet<SocketAddr> {
    let is_near = |member: &&ReadyMember| Some(&member.data_centre) == near;
    let enough = ready.iter().filter(is_near).count() >= ENOUGH_NEAR;
    let given = ready.iter().filter(|member| !enough || is_near(member));
    let addresses = given.map(|member| member.requests);
    addresses.choose_multiple(rng, MOST_ADDRESSES).into_iter().collect()
}
