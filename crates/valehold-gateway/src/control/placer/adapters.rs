//! Placement of adapters on engines that hold their models.
//!
//! The cost of placing an adapter grows with the number of engines that hold
//! its model, not with the number of all engines.

use std::collections::BTreeMap;

use valehold_core::{
    Millis,
    fleet::{
        BoundVariant, RegionBound, Variant,
        adapters::{
            AdapterHost, AdapterStep, AdapterUsage, host_with_fewest_adapters,
            place_adapter,
        },
        catalog::{EngineSpec, ModelSpec},
    },
    id::{ModelName, ServiceName, UpstreamId},
};
use valehold_ports::port::fleet::OrderWish;

use super::Placer;
use crate::{control::entry::EngineEntry, peers::roster::sums::DemandSum};

/// The number of pending adapter loads at which no further adapters are
/// preloaded.
const MAX_PENDING_ADAPTER_LOADS: usize = 3;

/// How long a load request is kept after it was last made, in ms.
const REQUEST_LIFETIME_MS: u64 = 1_000;

/// The minimum interval between two attempts to place the adapter of one load
/// request, in ms. An earlier attempt has the same result unless an order has
/// ended or demand has changed in between.
const REQUEST_RETRY_INTERVAL_MS: u64 = 50;

/// The minimum interval between the starts of two scans for adapters that no
/// engine holds, in ms. Load requests are served independently of the scans.
const PRELOAD_SCAN_INTERVAL_MS: u64 = 1_000;

/// A load request: requests of callers wait for a variant that has to be
/// loaded.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct LoadRequest {
    /// When the load request was last made.
    pub(super) last_made: Millis,
    /// When placing the variant was last attempted.
    last_tried: Option<Millis>,
}

impl LoadRequest {
    /// Returns whether another attempt to place the variant is due, and if so
    /// records the attempt.
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

/// The progress of a scan for adapters that no engine holds.
#[derive(Debug, Default)]
pub(super) struct PreloadScan {
    /// The models that are still to be scanned, in ascending order of their
    /// request rates: the scan takes models from the end.
    remaining: Vec<ModelName>,
    /// When the scan started.
    started_at: Option<Millis>,
}

impl PreloadScan {
    /// Starts the next scan if the last one has ended and its interval has
    /// passed.
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
        for (variant, variant_demand) in demand.values().flatten() {
            let requests = request_rates.entry(&variant.model).or_default();
            *requests += f64::from(variant_demand.requests_per_second);
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
    /// Attempts to place the adapters of all load requests for which an
    /// attempt is due.
    pub(super) fn place_requested_adapters(
        &mut self,
        now: Millis,
        service: &ServiceName,
        spec: &EngineSpec,
        demand: &DemandSum,
    ) {
        self.load_requests.retain(|_, request| {
            now.since(request.last_made) < REQUEST_LIFETIME_MS
        });
        let due = self.load_requests.iter_mut().filter(|(requested, _)| {
            requested.variant.adapter.is_some()
                && spec.model(&requested.variant.model).is_some()
                && !self.pending_adapter_orders.contains(&requested.variant)
        });
        let due = due.filter_map(|(requested, request)| {
            request.is_due(now).then(|| requested.clone())
        });
        let due: Vec<BoundVariant> = due.collect();
        for requested in due {
            self.place_requested_adapter(
                now, service, spec, demand, &requested,
            );
        }
    }

    /// Loads the adapter of a load request, or unloads another adapter to make
    /// room. Removes the load request if the adapter is already served.
    fn place_requested_adapter(
        &mut self,
        now: Millis,
        service: &ServiceName,
        spec: &EngineSpec,
        demand: &DemandSum,
        requested: &BoundVariant,
    ) {
        let BoundVariant { bound, variant } = requested;
        if self.is_served(service, bound, variant) {
            self.load_requests.remove(requested);
            return;
        }
        let hosts = self.hosts(now, service, bound, &variant.model);
        let usage_of = |variant: &Variant| usage_of(demand, variant);
        let sizes = self.models.sizes_of(service);
        match place_adapter(variant, &hosts, spec, sizes, usage_of) {
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

    /// Preloads adapters that no engine holds into free places, so that later
    /// requests for them need not wait for a load.
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

    /// Loads one of a model's adapters that no engine holds. Returns `false`
    /// if there is no such adapter or no engine with room for one.
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
        let sizes = self.models.sizes_of(service);
        let Some(engine) =
            host_with_fewest_adapters(&hosts, &model.name, spec, sizes)
        else {
            return false;
        };
        let engine = engine.clone();
        self.pending_adapter_orders.insert(variant.clone());
        self.send_order(&engine, OrderWish::Load(variant), now);
        true
    }

    /// Returns whether an available engine inside a bound accepts requests for
    /// a variant.
    fn is_served(
        &self,
        service: &ServiceName,
        bound: &RegionBound,
        variant: &Variant,
    ) -> bool {
        let mut holders = self.holders_of(service, bound, &variant.model);
        holders.any(|(_, entry)| entry.is_available() && entry.serves(variant))
    }

    /// Returns the engines inside a bound that hold a model and can get an
    /// order for an adapter now. Engines that execute a model order cannot.
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
                recent: &entry.recent_adapters,
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

/// Returns the usage of a variant, over all bounds.
fn usage_of(demand: &DemandSum, variant: &Variant) -> AdapterUsage {
    let mut usage = AdapterUsage::default();
    for variant_demand in
        demand.values().filter_map(|variants| variants.get(variant))
    {
        usage.requests_per_second +=
            f64::from(variant_demand.requests_per_second);
        usage.is_running |= variant_demand.running > 0;
    }
    usage
}
