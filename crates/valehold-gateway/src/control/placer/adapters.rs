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
use crate::{control::entry::EngineEntry, peers::roster::sums::DemandSum};

/// How many orders about adapters are under way at once while places are
/// filled.
const MAX_PENDING_ADAPTER_LOADS: usize = 3;

/// How long a wish stays without being repeated, in ms.
const REQUEST_LIFETIME_MS: u64 = 1_000;

/// How often a way is looked for to do what a request wishes, in ms: until an
/// order has ended or demand has changed there is no other.
const REQUEST_RETRY_INTERVAL_MS: u64 = 50;

/// How often adapters are looked for that no engine holds, in ms. What a
/// request asks for does not wait for that.
const PRELOAD_SCAN_INTERVAL_MS: u64 = 1_000;

/// A request's wish for a variant.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct LoadRequest {
    /// When it was made last.
    pub(super) last_made: Millis,
    /// When a way was looked for last.
    last_tried: Option<Millis>,
}

impl LoadRequest {
    /// Tells whether a way is to be looked for, and notes that one is.
    fn is_due(&mut self, now: Millis) -> bool {
        let is_due = self
            .last_tried
            .is_none_or(|at| now.since(at) >= REQUEST_RETRY_INTERVAL_MS);
        if is_due {
            self.last_tried = Some(now);
        }
        is_due
    }
}

/// How far a look for adapters that no engine holds has come.
#[derive(Debug, Default)]
pub(super) struct PreloadScan {
    /// The models that are still to be looked at, those last that are asked
    /// for the most.
    remaining: Vec<ModelName>,
    /// When it began.
    started_at: Option<Millis>,
}

impl PreloadScan {
    /// Begins anew, if all models were looked at and it is time again.
    fn start_if_due(
        &mut self,
        spec: &EngineSpec,
        demand: &DemandSum,
        now: Millis,
    ) {
        let is_recent = self
            .started_at
            .is_some_and(|at| now.since(at) < PRELOAD_SCAN_INTERVAL_MS);
        if is_recent || !self.remaining.is_empty() {
            return;
        }
        self.started_at = Some(now);
        let mut request_rates: BTreeMap<&ModelName, f64> = BTreeMap::new();
        for (variant, one) in demand.values().flatten() {
            let requests = request_rates.entry(&variant.model).or_default();
            *requests += f64::from(one.requests);
        }
        let requests = |model: &ModelName| {
            request_rates.get(model).copied().unwrap_or(0.0)
        };
        let models = spec.models.iter().filter(|m| !m.adapters.is_empty());
        self.remaining = models.map(|model| model.name.clone()).collect();
        self.remaining.sort_by(|a, b| requests(a).total_cmp(&requests(b)));
    }
}

impl Placer {
    pub(super) fn place_requested_adapters(
        &mut self,
        now: Millis,
        service: &ServiceName,
        spec: &EngineSpec,
        demand: &DemandSum,
    ) {
        self.load_requests
            .retain(|_, one| now.since(one.last_made) < REQUEST_LIFETIME_MS);
        let due = self.load_requests.iter_mut().filter(|(asked, _)| {
            asked.variant.adapter.is_some()
                && spec.model(&asked.variant.model).is_some()
                && !self.pending_adapter_orders.contains(&asked.variant)
        });
        let due = due.filter_map(|(asked, request)| {
            request.is_due(now).then(|| asked.clone())
        });
        let due: Vec<Asked> = due.collect();
        for asked in due {
            self.place_requested_adapter(now, service, spec, demand, &asked);
        }
    }

    fn place_requested_adapter(
        &mut self,
        now: Millis,
        service: &ServiceName,
        spec: &EngineSpec,
        demand: &DemandSum,
        asked: &Asked,
    ) {
        let Asked { bound, variant } = asked;
        if self.is_served(service, bound, variant) {
            self.load_requests.remove(asked);
            return;
        }
        let hosts = self.hosts(now, service, bound, &variant.model);
        let usage_of = |variant: &Variant| usage_of(demand, variant);
        match place_adapter(variant, &hosts, spec, usage_of) {
            Some(AdapterStep::Load(engine)) => {
                self.pending_adapter_orders.insert(variant.clone());
                let action = OrderWish::Load(variant.clone());
                self.send_order(&engine, action, now);
            }
            Some(AdapterStep::MakeRoom { engine, victim }) => {
                self.send_order(&engine, OrderWish::Unload(victim), now);
            }
            None => {}
        }
    }

    /// Fills free places with adapters that no engine holds, so that they
    /// are there when they are asked for.
    pub(super) fn preload_adapters(
        &mut self,
        now: Millis,
        service: &ServiceName,
        spec: &EngineSpec,
        demand: &DemandSum,
    ) {
        if self.pending_adapter_orders.len() >= MAX_PENDING_ADAPTER_LOADS {
            return;
        }
        let mut scan = self.preload_scans.remove(service).unwrap_or_default();
        scan.start_if_due(spec, demand, now);
        while self.pending_adapter_orders.len() < MAX_PENDING_ADAPTER_LOADS
            && let Some(model) = scan.remaining.last()
        {
            let model = spec.model(model);
            let was_ordered = model.is_some_and(|model| {
                self.preload_one_adapter(now, service, spec, model)
            });
            if !was_ordered {
                scan.remaining.pop();
            }
        }
        self.preload_scans.insert(service.clone(), scan);
    }

    /// Brings one of a model's adapters that no engine holds; tells whether
    /// there was one, and an engine with room for it.
    fn preload_one_adapter(
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
            !self.pending_adapter_orders.contains(variant)
                && !self.is_served(service, &anywhere, variant)
        });
        let Some(variant) = missing.next() else { return false };
        let hosts = self.hosts(now, service, &anywhere, &model.name);
        let Some(engine) = roomiest_host(&hosts, &model.name, spec) else {
            return false;
        };
        let engine = engine.clone();
        self.pending_adapter_orders.insert(variant.clone());
        self.send_order(&engine, OrderWish::Load(variant), now);
        true
    }

    /// Tells whether a sound engine inside a bound takes requests for a
    /// variant.
    fn is_served(
        &self,
        service: &ServiceName,
        bound: &RegionBound,
        variant: &Variant,
    ) -> bool {
        let mut holders = self.holders_of(service, bound, &variant.model);
        holders.any(|(_, entry)| entry.is_available() && entry.serves(variant))
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
            .filter(|(_, entry)| {
                entry.may_order(now) && !entry.executing_model_order
            })
            .map(|(id, entry)| AdapterHost {
                engine: id,
                holding: &entry.holding,
                young: &entry.recent_adapters,
            })
            .collect()
    }

    /// Returns the engines of a service inside a bound that hold a model.
    fn holders_of(
        &self,
        service: &ServiceName,
        bound: &RegionBound,
        model: &ModelName,
    ) -> impl Iterator<Item = (&UpstreamId, &EngineEntry)> {
        let engines = self.holders.engines_with(model);
        let engines = engines.filter_map(|id| self.entries.get_key_value(id));
        engines.filter(move |(_, entry)| {
            entry.service == *service
                && entry.holding.models.contains_key(model)
                && self.is_inside(bound, entry)
        })
    }
}

fn usage_of(demand: &DemandSum, variant: &Variant) -> AdapterUse {
    let mut usage = AdapterUse::default();
    for one in demand.values().filter_map(|variants| variants.get(variant)) {
        usage.requests += f64::from(one.requests);
        usage.runs |= one.running > 0;
    }
    usage
}
