//! Which gateways a caller is told of.

use std::{collections::BTreeSet, net::SocketAddr};

use rand::{Rng, seq::IteratorRandom};
use valehold_core::{
    fleet::{RegionBound, topology::Topology},
    id::{DataCentreId, RegionId},
};

use crate::view::ReadyMember;

/// How many addresses are given at the most: callers take no more.
pub const MOST_ADDRESSES: usize = 64;

/// How many gateways nearby are enough for a caller: with one alone it would
/// have nowhere to go when that one fails.
const ENOUGH_NEAR: usize = 2;

/// Who asks for addresses.
#[derive(Debug, Clone, Copy)]
pub struct AskingCaller<'a> {
    /// The data centre that it stands in, if it says so.
    pub data_centre: Option<&'a DataCentreId>,
    /// Its region, if it says so.
    pub region: Option<&'a RegionId>,
    /// The bounds of the routes that it may use.
    pub bounds: &'a [&'a RegionBound],
}

impl<'a> AskingCaller<'a> {
    /// Returns its region: what it says goes before what is declared of its
    /// data centre.
    fn region(&self, topology: &'a Topology) -> Option<&'a RegionId> {
        let declared =
            self.data_centre.and_then(|one| topology.region_of(one));
        self.region.or(declared)
    }

    /// Returns the bounds that name regions.
    fn set_bounds(&self) -> impl Iterator<Item = &'a RegionBound> {
        let bounds = self.bounds.iter().copied();
        bounds.filter(|bound| bound.regions().is_some())
    }

    fn is_bound(&self) -> bool {
        self.set_bounds().next().is_some()
    }
}

/// Returns the addresses for a caller: those in its own data centre if they
/// are enough, else those in its own region.
///
/// Bodies that are bound to regions may be seen in the caller's own region
/// and inside the bound alone. For a host with bound routes one gateway in the
/// caller's region is therefore enough; without any, those are given that
/// stand inside all of the bounds, then inside one of them. Only where there
/// are none either are all given.
///
/// Where there are more than are given, they are drawn anew for each answer,
/// so that callers together use all gateways alike.
pub fn addresses_for(
    ready: &[ReadyMember],
    caller: &AskingCaller<'_>,
    topology: &Topology,
    rng: &mut impl Rng,
) -> BTreeSet<SocketAddr> {
    let given = nearest(ready, caller, topology);
    let addresses = given.into_iter().map(|member| member.requests);
    addresses.choose_multiple(rng, MOST_ADDRESSES).into_iter().collect()
}

/// Returns the gateways that a caller may be told of.
fn nearest<'a>(
    ready: &'a [ReadyMember],
    caller: &AskingCaller<'_>,
    topology: &Topology,
) -> Vec<&'a ReadyMember> {
    let select = |which: &dyn Fn(&ReadyMember) -> bool| {
        ready.iter().filter(|member| which(member)).collect::<Vec<_>>()
    };
    let region_of =
        |member: &ReadyMember| topology.region_of(&member.data_centre);
    let near =
        select(&|member| Some(&member.data_centre) == caller.data_centre);
    if near.len() >= ENOUGH_NEAR {
        return near;
    }
    let region = caller.region(topology);
    let in_region =
        select(&|member| region.is_some() && region_of(member) == region);
    let enough = if caller.is_bound() { 1 } else { ENOUGH_NEAR };
    if in_region.len() >= enough {
        return in_region;
    }
    let in_all = select(&|member| {
        let region = region_of(member);
        caller.set_bounds().all(|bound| bound.allows(region))
    });
    let in_one = select(&|member| {
        let region = region_of(member);
        caller.set_bounds().any(|bound| bound.allows(region))
    });
    let steps = [in_all, in_one];
    let found = steps.into_iter().find(|step| !step.is_empty());
    found.unwrap_or_else(|| ready.iter().collect())
}
