//! Bringing adapters to engines that hold their models.

use std::collections::{BTreeMap, BTreeSet};

use valehold_core::{
    Millis,
    fleet::{
        Asked, RegionBound, Variant,
        adapters::{
            AdapterHost, AdapterStep, AdapterUse, next_to_bring, place_adapter,
        },
        catalog::EngineSpec,
    },
    id::{ModelName, ServiceName},
};
use valehold_ports::port::fleet::OrderWish;

use super::Placer;
use crate::peers::roster::sums::DemandSum;

/// How many orders about adapters are under way at once while places are
/// filled.
const MOST_BROUGHT_AT_ONCE: usize = 3;

/// How long a wish stays without being repeated, in ms.
const KEEP_WISH_MS: u64 = 1_000;

impl Placer {
    pub(super) fn place_adapters(
        &mut self,
        now: Millis,
        service: &ServiceName,
        spec: &EngineSpec,
        demand: &DemandSum,
    ) {
        self.wishes.retain(|_, at| now.since(*at) < KEEP_WISH_MS);
        let wishes: Vec<Asked> = self.wishes.keys().cloned().collect();
        for asked in wishes {
            let Asked { bound, variant } = &asked;
            if variant.adapter.is_none()
                || spec.model(&variant.model).is_none()
            {
                continue;
            }
            if self.ordered_now.contains(variant) {
                continue;
            }
            let held = self.entries.values().any(|entry| {
                entry.service == *service
                    && entry.is_sound()
                    && entry.serves(variant)
                    && self.is_inside(bound, entry)
            });
            if held {
                self.wishes.remove(&asked);
                continue;
            }
            let hosts = self.hosts(now, service, bound);
            let use_of = |variant: &Variant| use_of(demand, variant);
            let step = place_adapter(variant, &hosts, spec, use_of);
            match step {
                Some(AdapterStep::Load(engine)) => {
                    self.ordered_now.insert(variant.clone());
                    let wish = OrderWish::Load(variant.clone());
                    self.order(&engine, wish, now);
                }
                Some(AdapterStep::MakeRoom { engine, victim }) => {
                    self.order(&engine, OrderWish::Unload(victim), now);
                }
                None => {}
            }
        }
    }

    /// Fills free places with adapters that no engine holds, so that they
    /// are there when they are asked for.
    pub(super) fn bring_adapters(
        &mut self,
        now: Millis,
        service: &ServiceName,
        spec: &EngineSpec,
        demand: &DemandSum,
    ) {
        if self.ordered_now.len() >= MOST_BROUGHT_AT_ONCE {
            return;
        }
        let mut asked: BTreeMap<&ModelName, f64> = BTreeMap::new();
        for (variant, one) in demand.values().flatten() {
            let requests = asked.entry(&variant.model).or_default();
            *requests += f64::from(one.requests);
        }
        let mut there = self.adapters_there();
        while self.ordered_now.len() < MOST_BROUGHT_AT_ONCE {
            let hosts = self.hosts(now, service, &RegionBound::Anywhere);
            let is_held = |variant: &Variant| there.contains(variant);
            let found = next_to_bring(&hosts, spec, is_held, |model| {
                asked.get(model).copied().unwrap_or(0.0)
            });
            let Some((engine, variant)) = found else { return };
            there.insert(variant.clone());
            self.ordered_now.insert(variant.clone());
            self.order(&engine, OrderWish::Load(variant), now);
        }
    }

    /// Returns every adapter that a sound engine holds, or about which an
    /// order is under way.
    pub(super) fn adapters_there(&self) -> BTreeSet<Variant> {
        let sound = self.entries.values().filter(|entry| entry.is_sound());
        let held = sound.flat_map(|entry| {
            entry.holding.adapted().filter(|variant| entry.serves(variant))
        });
        held.chain(self.ordered_now.iter().cloned()).collect()
    }

    /// Returns the engines inside a bound that take an order about an adapter
    /// now: one that carries an order about a model out does not.
    pub(super) fn hosts(
        &self,
        now: Millis,
        service: &ServiceName,
        bound: &RegionBound,
    ) -> Vec<AdapterHost<'_>> {
        self.entries
            .iter()
            .filter(|(_, e)| e.service == *service && e.may_order(now))
            .filter(|(_, entry)| !entry.busy && self.is_inside(bound, entry))
            .map(|(id, entry)| AdapterHost {
                engine: id,
                holding: &entry.holding,
                young: &entry.arrivals,
            })
            .collect()
    }
}

fn use_of(demand: &DemandSum, variant: &Variant) -> AdapterUse {
    let mut used = AdapterUse::default();
    for one in demand.values().filter_map(|variants| variants.get(variant)) {
        used.requests += f64::from(one.requests);
        used.runs |= one.running > 0;
    }
    used
}
