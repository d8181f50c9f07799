//! The in-flight load and the demand of all gateways.

use std::{cmp::Reverse, collections::BTreeMap, ops::Bound};

use valehold_core::{
    Millis,
    fleet::{RegionBound, Variant},
    id::UpstreamTag,
};

use super::{HUB_REPORT_TTL_FACTOR, Roster};
use crate::{
    peers::message::{
        BoundDemand, LoadUpdate, TagRange, UpstreamLoad, VariantDemand,
    },
    view::Load,
};

/// The demand for each variant, by the region bound within which it may be
/// served.
pub type DemandSum = BTreeMap<RegionBound, BTreeMap<Variant, VariantDemand>>;

/// In-flight loads by the tags of their upstreams.
pub type Loads = BTreeMap<UpstreamTag, Load>;

/// The in-flight loads of several gateways, as received from a hub.
#[derive(Debug, Clone, Default)]
pub(super) struct ReceivedLoads {
    loads: Loads,
    received_at: Option<Millis>,
}

impl ReceivedLoads {
    pub(super) fn apply(&mut self, update: LoadUpdate, now: Millis) {
        if let Some(complete_range) = update.complete_range {
            self.loads.retain(|tag, _| !complete_range.contains(*tag));
        }
        for entry in update.loads {
            self.loads.insert(entry.upstream, entry.load);
        }
        self.received_at = Some(now);
    }

    fn is_live(&self, keep_ms: u64, now: Millis) -> bool {
        self.received_at.is_some_and(|at| now.since(at) < keep_ms)
    }
}

/// The number of consecutive upstreams that each update repeats although they
/// did not change. A gateway that lost a datagram has correct sums again after
/// all upstreams were repeated: with more busy upstreams this takes longer,
/// but costs no more.
const REPEATED_PER_UPDATE: usize = 32;

/// The last sums that this gateway, as a hub, has advertised, kept to find the
/// largest changes for the next update.
#[derive(Debug, Clone, Default)]
pub struct AdvertisedSums {
    advertised: Loads,
    /// The last upstream that was repeated; `None` if the next update begins
    /// with the first upstream.
    last_repeated: Option<UpstreamTag>,
}

impl AdvertisedSums {
    /// Returns the next update of the sums: up to `limit` changes, the largest
    /// first, and the upstreams whose turn it is to be repeated, changed or
    /// not.
    pub fn next_update(
        &mut self,
        sums: &[UpstreamLoad],
        limit: usize,
    ) -> LoadUpdate {
        let sums = loads_by_upstream(sums);
        let (whole, mut loads) = self.repeat_next(&sums);
        let mut changed = self.changed(&sums);
        changed.truncate(limit);
        for change in &changed {
            self.advertised.insert(change.upstream, change.load);
        }
        loads.extend(changed);
        LoadUpdate { complete_range: Some(whole), loads }
    }

    /// Takes the next upstreams to repeat, and the range of tags that they
    /// cover completely.
    fn repeat_next(&mut self, sums: &Loads) -> (TagRange, Vec<UpstreamLoad>) {
        let after = self.last_repeated;
        let from = after.map_or(Bound::Unbounded, Bound::Excluded);
        let mut next = sums.range((from, Bound::Unbounded));
        let repeated = next.by_ref().take(REPEATED_PER_UPDATE);
        let repeated: Vec<UpstreamLoad> =
            repeated.map(as_upstream_load).collect();
        let last = repeated.last().map(|entry| entry.upstream);
        let until = last.filter(|_| next.next().is_some());
        self.last_repeated = until;
        let range = TagRange { after, until };
        self.advertised.retain(|tag, _| !range.contains(*tag));
        self.advertised
            .extend(repeated.iter().map(|entry| (entry.upstream, entry.load)));
        (range, repeated)
    }

    /// Returns the loads that differ from the advertised ones, the largest
    /// differences first.
    fn changed(&self, sums: &Loads) -> Vec<UpstreamLoad> {
        let nothing = Load::default();
        let finished =
            self.advertised.keys().filter(|tag| !sums.contains_key(tag));
        let all = sums.iter().map(|(tag, load)| (*tag, *load));
        let all = all.chain(finished.map(|tag| (*tag, nothing)));
        let mut changed: Vec<(u64, UpstreamLoad)> = all
            .map(|(upstream, load)| {
                let advertised =
                    self.advertised.get(&upstream).unwrap_or(&nothing);
                let change = load.difference(*advertised);
                (change, UpstreamLoad { upstream, load })
            })
            .filter(|(change, _)| *change > 0)
            .collect();
        changed.sort_by_key(|(change, _)| Reverse(*change));
        changed.into_iter().map(|(_, entry)| entry).collect()
    }
}

/// Returns loads by the tags of their upstreams.
pub fn loads_by_upstream(loads: &[UpstreamLoad]) -> Loads {
    loads.iter().map(|entry| (entry.upstream, entry.load)).collect()
}

impl Roster {
    /// Returns the in-flight load of all other gateways at each upstream.
    ///
    /// `own_reported` is the load that this gateway reported last, which hubs
    /// include in their sums.
    pub fn loads_of_others(&self, own_reported: &Loads, now: Millis) -> Loads {
        let sums = &self.load_sums;
        if self.is_hub() || !sums.is_live(self.silent_ms, now) {
            return self.received_loads(now);
        }
        let others = sums.loads.iter().map(|(upstream, load)| {
            let own = own_reported.get(upstream).copied().unwrap_or_default();
            (*upstream, load.minus(own))
        });
        others.collect()
    }

    /// Returns the in-flight loads of all gateways. `own` is the load of this
    /// gateway.
    pub fn sum_loads(
        &self,
        own: &[UpstreamLoad],
        now: Millis,
    ) -> Vec<UpstreamLoad> {
        let mut loads = self.received_loads(now);
        add_loads(&mut loads, own);
        load_list(&loads)
    }

    /// Returns the in-flight loads of this gateway's group. `own` is the load
    /// of this gateway.
    pub fn sum_group_loads(
        &self,
        own: &[UpstreamLoad],
        now: Millis,
    ) -> Vec<UpstreamLoad> {
        let mut loads = self.received_group_loads(now);
        add_loads(&mut loads, own);
        load_list(&loads)
    }

    /// Returns the in-flight loads of the other gateways: those of this
    /// gateway's group from their own reports, and one sum for each other
    /// group.
    fn received_loads(&self, now: Millis) -> Loads {
        let mut sum = self.received_group_loads(now);
        if !self.hierarchy.has_many_groups() {
            return sum;
        }
        let keep_ms = self.silent_ms * HUB_REPORT_TTL_FACTOR;
        let others = self.group_loads.iter().filter(|(group, received)| {
            **group != self.own.data_centre && received.is_live(keep_ms, now)
        });
        for (_, received) in others {
            add_loads(&mut sum, &load_list(&received.loads));
        }
        sum
    }

    fn received_group_loads(&self, now: Millis) -> Loads {
        let mut sum = Loads::new();
        for peer in self.live_peers_in_group(now) {
            add_loads(&mut sum, &peer.heartbeat.loads);
        }
        sum
    }

    /// Returns the demand at all gateways. `own` is the demand at this
    /// gateway.
    pub fn sum_demand(&self, own: &[BoundDemand], now: Millis) -> DemandSum {
        let mut sum = DemandSum::new();
        // A gateway that is not a hub adds no demand of its own here: the
        // digest of its group already includes that demand.
        let uses_digests = self.hierarchy.has_many_groups() && !self.is_hub();
        if !uses_digests {
            add_demand(&mut sum, own);
            let peers = self.live_peers_in_group(now);
            for peer in peers {
                add_demand(&mut sum, &peer.heartbeat.demand);
            }
        }
        for digest in self.live_digests(now) {
            let is_own = digest.data_centre == self.own.data_centre;
            if uses_digests || !is_own {
                add_demand(&mut sum, &digest.demand);
            }
        }
        sum
    }

    /// Returns the demand at the gateways of this gateway's group. `own` is
    /// the demand at this gateway.
    pub fn group_demand(
        &self,
        own: &[BoundDemand],
        now: Millis,
    ) -> Vec<BoundDemand> {
        let mut sum = DemandSum::new();
        add_demand(&mut sum, own);
        for peer in self.live_peers_in_group(now) {
            add_demand(&mut sum, &peer.heartbeat.demand);
        }
        let to_demand = |(bound, variants): (_, BTreeMap<_, _>)| BoundDemand {
            bound,
            variants: variants.into_values().collect(),
        };
        sum.into_iter().map(to_demand).collect()
    }
}

fn add_loads(sum: &mut Loads, loads: &[UpstreamLoad]) {
    for entry in loads {
        let load = sum.entry(entry.upstream).or_default();
        *load = load.plus(entry.load);
    }
}

/// Returns loads as a list, ordered by tag.
pub fn load_list(loads: &Loads) -> Vec<UpstreamLoad> {
    loads.iter().map(as_upstream_load).collect()
}

fn as_upstream_load((upstream, load): (&UpstreamTag, &Load)) -> UpstreamLoad {
    UpstreamLoad { upstream: *upstream, load: *load }
}

fn add_demand(sum: &mut DemandSum, demand: &[BoundDemand]) {
    for BoundDemand { bound, variants } in demand {
        add_variants(sum.entry(bound.clone()).or_default(), variants);
    }
}

fn add_variants(
    sum: &mut BTreeMap<Variant, VariantDemand>,
    demand: &[VariantDemand],
) {
    for added in demand {
        sum.entry(added.variant.clone())
            .and_modify(|total| {
                total.requests_per_second += added.requests_per_second;
                total.busy_engines += added.busy_engines;
                total.running = total.running.saturating_add(added.running);
            })
            .or_insert_with(|| added.clone());
    }
}
