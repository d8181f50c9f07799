//! Selects the gateway addresses that a caller is given.

use std::{collections::BTreeSet, net::SocketAddr};

use rand::{Rng, seq::IteratorRandom};
use valehold_core::{
    fleet::{RegionBound, topology::Topology},
    id::{DataCentreId, RegionId},
};

use crate::view::ReadyMember;

/// The maximum number of addresses in an answer: callers accept no more.
pub const MAX_ADDRESSES: usize = 64;

/// The number of nearby gateways that suffice for a caller. With a single one
/// the caller would have no alternative when that gateway fails.
const MIN_NEARBY: usize = 2;

/// A caller's request for gateway addresses.
#[derive(Debug, Clone, Copy)]
pub struct AddressRequest<'a> {
    /// The caller's data centre, if stated.
    pub data_centre: Option<&'a DataCentreId>,
    /// The caller's region, if stated.
    pub region: Option<&'a RegionId>,
    /// The region bounds of the routes that the caller may use.
    pub bounds: &'a [&'a RegionBound],
}

impl<'a> AddressRequest<'a> {
    /// Returns the caller's region. A stated region takes precedence over the
    /// region declared for the caller's data centre.
    fn region(&self, topology: &'a Topology) -> Option<&'a RegionId> {
        let declared =
            self.data_centre.and_then(|one| topology.region_of(one));
        self.region.or(declared)
    }

    /// Returns the bounds that name regions.
    fn restricting_bounds(&self) -> impl Iterator<Item = &'a RegionBound> {
        let bounds = self.bounds.iter().copied();
        bounds.filter(|bound| bound.regions().is_some())
    }

    fn is_bound(&self) -> bool {
        self.restricting_bounds().next().is_some()
    }
}

/// Returns the addresses for a caller: the gateways in the caller's data
/// centre if there are enough, else the gateways in the caller's region.
///
/// Bodies that are bound to regions may be read only in the caller's own
/// region and inside the bound. For a host with bound routes one gateway in
/// the caller's region is therefore enough. Without any, the answer lists the
/// gateways inside all of the bounds, or else those inside one of the bounds.
/// If no gateway is inside a bound either, or if a host without bound routes
/// has too few gateways in the region, all gateways are candidates.
///
/// If there are more than [`MAX_ADDRESSES`] candidates, each answer gets a new
/// random sample, so that callers together use all gateways equally.
pub fn addresses_for(
    ready: &[ReadyMember],
    request: &AddressRequest<'_>,
    topology: &Topology,
    rng: &mut impl Rng,
) -> BTreeSet<SocketAddr> {
    let members = candidates(ready, request, topology);
    let addresses = members.into_iter().map(|member| member.requests);
    addresses.choose_multiple(rng, MAX_ADDRESSES).into_iter().collect()
}

/// Returns the gateways that may be listed for a caller.
fn candidates<'a>(
    ready: &'a [ReadyMember],
    request: &AddressRequest<'_>,
    topology: &Topology,
) -> Vec<&'a ReadyMember> {
    let select = |which: &dyn Fn(&ReadyMember) -> bool| {
        ready.iter().filter(|member| which(member)).collect::<Vec<_>>()
    };
    let region_of =
        |member: &ReadyMember| topology.region_of(&member.data_centre);
    let near =
        select(&|member| Some(&member.data_centre) == request.data_centre);
    if near.len() >= MIN_NEARBY {
        return near;
    }
    let region = request.region(topology);
    let in_region =
        select(&|member| region.is_some() && region_of(member) == region);
    let enough = if request.is_bound() { 1 } else { MIN_NEARBY };
    if in_region.len() >= enough {
        return in_region;
    }
    let in_all = select(&|member| {
        let region = region_of(member);
        request.restricting_bounds().all(|bound| bound.allows(region))
    });
    let in_one = select(&|member| {
        let region = region_of(member);
        request.restricting_bounds().any(|bound| bound.allows(region))
    });
    let steps = [in_all, in_one];
    let found = steps.into_iter().find(|step| !step.is_empty());
    found.unwrap_or_else(|| ready.iter().collect())
}
