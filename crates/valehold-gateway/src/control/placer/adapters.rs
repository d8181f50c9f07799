//! Bringing adapters to engines that hold their models.
//!
//! What is done for an adapter costs as much as engines hold its model,
//! whatever other engines there are.

use std::collections::BTreeMap;

use valehold_core::{
    Millis,
    fleet::{
        Asked, RegionBound, Variant,
        adapters::{
            AdapterHost, AdapterStep, AdapterUse, place_adapter, roomiest_host,
        },
        catalog::{EngineSpec, ModelSpec},
    },
    id::{ModelName, ServiceName, UpstreamId},
};
use valehold_ports::port::fleet::OrderWish;

use super::Placer;
use crate::{control::entry::Entry, peers::roster::sums::DemandSum};

/// How many orders about adapters are under way at once while places are
/// filled.
const MOST_BROUGHT_AT_ONCE: usize = 3;

/// How long a wish stays without being repeated, in ms.
const KEEP_WISH_MS: u64 = 1_000;

/// How often a way is looked for to do what a request wishes, in ms: until an
/// order has ended or demand has changed there is no other.
const TRY_WISH_EVERY_MS: u64 = 50;

/// How often adapters are looked for that no engine holds, in ms. What a
/// request asks for does not wait for that.
const LOOK_EVERY_MS: u64 = 1_000;

/// A request's wish for a variant.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Wish {
    /// When it was made last.
    pub(super) repeated: Millis,
    /// When a way was looked for last.
    tried: Option<Millis>,
}

impl Wish {
    /// Tells whether a way is to be looked for, and notes that one is.
    fn is_due(&mut self, now: Millis) -> bool {
        let is_due =
            self.tried.is_none_or(|at| now.since(at) >= TRY_WISH_EVERY_MS);
        if is_due {
            self.tried = Some(now);
        }
        is_due
    }
}

/// How far a look for adapters that no engine holds has come.
#[derive(Debug, Default)]
pub(super) struct Bringing {
    /// The models that are still to be looked at, those last that are asked
    /// for the most.
    left: Vec<ModelName>,
    /// When it began.
    begun: Option<Millis>,
}

impl Bringing {
    /// Begins anew, if all models were looked at and it is time again.
    fn begin_if_due(
        &mut self,
        spec: &EngineSpec,
        demand: &DemandSum,
        now: Millis,
    ) {
        let is_young =
            self.begun.is_some_and(|at| now.since(at) < LOOK_EVERY_MS);
        if is_young || !self.left.is_empty() {
            return;
        }
        self.begun = Some(now);
        let mut asked: BTreeMap<&ModelName, f64> = BTreeMap::new();
        for (variant, one) in demand.values().flatten() {
            let requests = asked.entry(&variant.model).or_default();
            *requests += f64::from(one.requests_per_second);
        }
        let requests =
            |model: &ModelName| asked.get(model).copied().unwrap_or(0.0);
        let models = spec.models.iter().filter(|m| !m.adapters.is_empty());
        self.left = models.map(|model| model.name.clone()).collect();
        self.left.sort_by(|a, b| requests(a).total_cmp(&requests(b)));
    }
}

impl Placer {
    pub(super) fn place_adapters(
        &mut self,
        now: Millis,
        service: &ServiceName,
        spec: &EngineSpec,
        demand: &DemandSum,
    ) {
        self.wishes.retain(|_, one| now.since(one.repeated) < KEEP_WISH_MS);
        let due = self.wishes.iter_mut().filter(|(asked, _)| {
            asked.variant.adapter.is_some()
                && spec.model(&asked.variant.model).is_some()
                && !self.ordered_now.contains(&asked.variant)
        });
        let due = due.filter_map(|(asked, wish)| {
            wish.is_due(now).then(|| asked.clone())
        });
        let due: Vec<Asked> = due.collect();
        for asked in due {
            self.place_adapter(now, service, spec, demand, &asked);
        }
    }

    fn place_adapter(
        &mut self,
        now: Millis,
        service: &ServiceName,
        spec: &EngineSpec,
        demand: &DemandSum,
        asked: &Asked,
    ) {
        let Asked { bound, variant } = asked;
        if self.is_there(service, bound, variant) {
            self.wishes.remove(asked);
            return;
        }
        let hosts = self.hosts(now, service, bound, &variant.model);
        let use_of = |variant: &Variant| use_of(demand, variant);
        match place_adapter(variant, &hosts, spec, use_of) {
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
        let mut bringing = self.bringing.remove(service).unwrap_or_default();
        bringing.begin_if_due(spec, demand, now);
        while self.ordered_now.len() < MOST_BROUGHT_AT_ONCE
            && let Some(model) = bringing.left.last()
        {
            let model = spec.model(model);
            let brought = model.is_some_and(|model| {
                self.bring_one_of(now, service, spec, model)
            });
            if !brought {
                bringing.left.pop();
            }
        }
        self.bringing.insert(service.clone(), bringing);
    }

    /// Brings one of a model's adapters that no engine holds; tells whether
    /// there was one, and an engine with room for it.
    fn bring_one_of(
        &mut self,
        now: Millis,
        service: &ServiceName,
        spec: &EngineSpec,
        model: &ModelSpec,
    ) -> bool {
        let anywhere = RegionBound::Anywhere;
        let variants = model.adapters.iter().map(|adapter| Variant {
            model: model.name.clone(),
            adapter: Some(adapter.clone()),
        });
        let mut missing = variants.filter(|variant| {
            !self.ordered_now.contains(variant)
                && !self.is_there(service, &anywhere, variant)
        });
        let Some(variant) = missing.next() else { return false };
        let hosts = self.hosts(now, service, &anywhere, &model.name);
        let Some(engine) = roomiest_host(&hosts, &model.name, spec) else {
            return false;
        };
        let engine = engine.clone();
        self.ordered_now.insert(variant.clone());
        self.order(&engine, OrderWish::Load(variant), now);
        true
    }

    /// Tells whether a sound engine inside a bound takes requests for a
    /// variant.
    fn is_there(
        &self,
        service: &ServiceName,
        bound: &RegionBound,
        variant: &Variant,
    ) -> bool {
        let mut holders = self.holders_of(service, bound, &variant.model);
        holders.any(|(_, entry)| entry.is_sound() && entry.serves(variant))
    }

    /// Returns the engines inside a bound that hold a model and take an order
    /// about an adapter now: one that carries an order about a model out does
    /// not.
    fn hosts(
        &self,
        now: Millis,
        service: &ServiceName,
        bound: &RegionBound,
        model: &ModelName,
    ) -> Vec<AdapterHost<'_>> {
        let holders = self.holders_of(service, bound, model);
        holders
            .filter(|(_, entry)| entry.may_order(now) && !entry.busy)
            .map(|(id, entry)| AdapterHost {
                engine: id,
                holding: &entry.holding,
                young: &entry.arrivals,
            })
            .collect()
    }

    /// Returns the engines of a service inside a bound that hold a model.
    fn holders_of(
        &self,
        service: &ServiceName,
        bound: &RegionBound,
        model: &ModelName,
    ) -> impl Iterator<Item = (&UpstreamId, &Entry)> {
        let found = self.holders.of(model);
        let found = found.filter_map(|id| self.entries.get_key_value(id));
        found.filter(move |(_, entry)| {
            entry.service == *service
                && entry.holding.models.contains_key(model)
                && self.is_inside(bound, entry)
        })
    }
}

fn use_of(demand: &DemandSum, variant: &Variant) -> AdapterUse {
    let mut used = AdapterUse::default();
    for one in demand.values().filter_map(|variants| variants.get(variant)) {
        used.requests += f64::from(one.requests_per_second);
        used.runs |= one.running > 0;
    }
    used
}
