//! What all gateways have under way and are asked for.

use std::{cmp::Reverse, collections::BTreeMap, ops::Bound};

use valehold_core::{
    Millis,
    fleet::{RegionBound, Variant},
    id::UpstreamTag,
};

use super::{HUB_REPORT_TTL_FACTOR, Roster};
use crate::{
    peers::message::{
        BoundDemand, LoadNews, TagRange, UpstreamLoad, VariantDemand,
    },
    view::Load,
};

/// The demand for what may be served inside each bound.
pub type DemandSum = BTreeMap<RegionBound, BTreeMap<Variant, VariantDemand>>;

/// What is under way at upstreams, by their tags.
pub type Loads = BTreeMap<UpstreamTag, Load>;

/// What several gateways have under way, as a hub said.
#[derive(Debug, Clone, Default)]
pub(super) struct ReceivedLoads {
    loads: Loads,
    heard: Option<Millis>,
}

impl ReceivedLoads {
    pub(super) fn apply(&mut self, news: LoadNews, now: Millis) {
        if let Some(whole) = news.whole {
            self.loads.retain(|tag, _| !whole.has(*tag));
        }
        for one in news.loads {
            self.loads.insert(one.upstream, one.load);
        }
        self.heard = Some(now);
    }

    fn is_live(&self, keep_ms: u64, now: Millis) -> bool {
        self.heard.is_some_and(|heard| now.since(heard) < keep_ms)
    }
}

/// How many upstreams in a row are told with each news although they did not
/// change. Who lost a datagram is right again when all had their turn: where
/// more are busy that takes longer, and costs no more.
const REPEATED_PER_UPDATE: usize = 32;

/// What a hub said last, so that it says next what has changed the most.
#[derive(Debug, Clone, Default)]
pub struct AdvertisedSums {
    advertised: Loads,
    /// The last upstream that was repeated; `None` to begin with the first.
    last_repeated: Option<UpstreamTag>,
}

impl AdvertisedSums {
    /// Returns what to tell of the sums: up to `most` that differ the most
    /// from what was told, and some in turn whether they changed or not.
    pub fn next_update(
        &mut self,
        sums: &[UpstreamLoad],
        most: usize,
    ) -> LoadNews {
        let sums = loads_by_upstream(sums);
        let (whole, mut loads) = self.repeat_next(&sums);
        let mut changed = self.changed(&sums);
        changed.truncate(most);
        for one in &changed {
            self.advertised.insert(one.upstream, one.load);
        }
        loads.extend(changed);
        LoadNews { whole: Some(whole), loads }
    }

    /// Takes the upstreams whose turn it is to be told again.
    fn repeat_next(&mut self, sums: &Loads) -> (TagRange, Vec<UpstreamLoad>) {
        let after = self.last_repeated;
        let from = after.map_or(Bound::Unbounded, Bound::Excluded);
        let mut next = sums.range((from, Bound::Unbounded));
        let some = next.by_ref().take(REPEATED_PER_UPDATE);
        let some: Vec<UpstreamLoad> = some.map(as_upstream_load).collect();
        let last = some.last().map(|one| one.upstream);
        let until = last.filter(|_| next.next().is_some());
        self.last_repeated = until;
        let range = TagRange { after, until };
        self.advertised.retain(|tag, _| !range.has(*tag));
        self.advertised
            .extend(some.iter().map(|one| (one.upstream, one.load)));
        (range, some)
    }

    /// Returns the loads that are not as told, the greatest changes first.
    fn changed(&self, sums: &Loads) -> Vec<UpstreamLoad> {
        let nothing = Load::default();
        let done =
            self.advertised.keys().filter(|tag| !sums.contains_key(tag));
        let all = sums.iter().map(|(tag, load)| (*tag, *load));
        let all = all.chain(done.map(|tag| (*tag, nothing)));
        let mut changed: Vec<(u64, UpstreamLoad)> = all
            .map(|(upstream, load)| {
                let told = self.advertised.get(&upstream).unwrap_or(&nothing);
                let change = load.difference(*told);
                (change, UpstreamLoad { upstream, load })
            })
            .filter(|(change, _)| *change > 0)
            .collect();
        changed.sort_by_key(|(change, _)| Reverse(*change));
        changed.into_iter().map(|(_, one)| one).collect()
    }
}

/// Returns loads as a map.
pub fn loads_by_upstream(loads: &[UpstreamLoad]) -> Loads {
    loads.iter().map(|one| (one.upstream, one.load)).collect()
}

impl Roster {
    /// Returns what the others have under way at each upstream.
    ///
    /// `told` is what this gateway said last that it has, which hubs add to
    /// their sums.
    pub fn loads_of_others(&self, told: &Loads, now: Millis) -> Loads {
        let sums = &self.load_sums;
        if self.is_hub() || !sums.is_live(self.silent_ms, now) {
            return self.received_loads(now);
        }
        let others = sums.loads.iter().map(|(upstream, load)| {
            let told = told.get(upstream).copied().unwrap_or_default();
            (*upstream, load.minus(told))
        });
        others.collect()
    }

    /// Returns what all gateways have under way, `own` being what this one
    /// has.
    pub fn sum_loads(
        &self,
        own: &[UpstreamLoad],
        now: Millis,
    ) -> Vec<UpstreamLoad> {
        let mut loads = self.received_loads(now);
        add(&mut loads, own);
        load_list(&loads)
    }

    /// Returns what the gateways of this one's group have under way, `own`
    /// being what this one has.
    pub fn sum_group_loads(
        &self,
        own: &[UpstreamLoad],
        now: Millis,
    ) -> Vec<UpstreamLoad> {
        let mut loads = self.received_group_loads(now);
        add(&mut loads, own);
        load_list(&loads)
    }

    /// Returns what is heard of others: of each in this gateway's group, and
    /// of the other groups as wholes.
    fn received_loads(&self, now: Millis) -> Loads {
        let mut sum = self.received_group_loads(now);
        if !self.hierarchy.has_many_groups() {
            return sum;
        }
        let keep_ms = self.silent_ms * HUB_REPORT_TTL_FACTOR;
        let others = self.group_loads.iter().filter(|(group, heard)| {
            **group != self.own.data_centre && heard.is_live(keep_ms, now)
        });
        for (_, heard) in others {
            add(&mut sum, &load_list(&heard.loads));
        }
        sum
    }

    fn received_group_loads(&self, now: Millis) -> Loads {
        let mut sum = Loads::new();
        for peer in self.live_peers_in_group(now) {
            add(&mut sum, &peer.heartbeat.loads);
        }
        sum
    }

    /// Returns the demand that comes to all gateways, `own` being what comes
    /// to this one.
    pub fn sum_demand(&self, own: &[BoundDemand], now: Millis) -> DemandSum {
        let mut sum = DemandSum::new();
        // Digests of its own group have this gateway's demand in them.
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

    /// Returns the demand that comes to this gateway's group.
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
        let one = |(bound, variants): (_, BTreeMap<_, _>)| BoundDemand {
            bound,
            variants: variants.into_values().collect(),
        };
        sum.into_iter().map(one).collect()
    }
}

fn add(sum: &mut Loads, loads: &[UpstreamLoad]) {
    for one in loads {
        let load = sum.entry(one.upstream).or_default();
        *load = load.plus(one.load);
    }
}

/// Returns loads as a list.
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
    for one in demand {
        sum.entry(one.variant.clone())
            .and_modify(|all| {
                all.requests += one.requests;
                all.busy += one.busy;
                all.running = all.running.saturating_add(one.running);
            })
            .or_insert_with(|| one.clone());
    }
}
