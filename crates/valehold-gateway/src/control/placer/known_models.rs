//! What this gateway knows of models that engines may hold: their sizes, and
//! since when models on engines are not declared.

use std::collections::{BTreeMap, BTreeSet};

use valehold_core::{
    Millis,
    fleet::{
        Catalog, catalog::EngineSpec, model_sizes::ModelSizes,
        replicas::EngineState,
    },
    id::{ModelName, ServiceName},
};

/// How long a model on an engine has to be undeclared before it may be
/// unloaded, in ms.
///
/// Gateways that lag still send requests for the model, a holder that lags
/// does not know yet that the model is declared, and an operator may take a
/// change back within seconds.
const REMOVABLE_AFTER_MS: u64 = 10_000;

/// The sizes that are known of a service that no configuration declared.
static NO_SIZES: ModelSizes = ModelSizes::new();

/// The models of all services.
#[derive(Debug, Default)]
pub(super) struct ModelRecords {
    sizes: BTreeMap<ServiceName, ModelSizes>,
    /// The undeclared models that engines hold, and since when this gateway
    /// has known that while it held the lease.
    undeclared_since: BTreeMap<ServiceName, BTreeMap<ModelName, Millis>>,
}

impl ModelRecords {
    /// Records the models that a new configuration declares. `held` are the
    /// models that engines of each service hold or load.
    pub(super) fn record_catalog(
        &mut self,
        catalog: &Catalog,
        held: &BTreeMap<&ServiceName, BTreeSet<&ModelName>>,
        now: Millis,
    ) {
        let none = BTreeSet::new();
        let held_of = |service| held.get(service).unwrap_or(&none);
        for (service, spec) in catalog.engine_specs() {
            let sizes = self.sizes.entry(service.clone()).or_default();
            sizes.declare(&spec.models, held_of(service), now);
        }
        for (service, sizes) in &mut self.sizes {
            if catalog.engine_spec(service).is_none() {
                sizes.declare(&[], held_of(service), now);
            }
        }
        self.sizes.retain(|_, sizes| !sizes.is_empty());
    }

    /// Begins a lease epoch: the time in which another gateway held the lease
    /// does not count.
    pub(super) fn begin_epoch(&mut self) {
        self.undeclared_since.clear();
    }

    /// Returns the sizes of the models of a service.
    pub(super) fn sizes_of(&self, service: &ServiceName) -> &ModelSizes {
        self.sizes.get(service).unwrap_or(&NO_SIZES)
    }

    /// Returns the undeclared models on engines that may be unloaded by now.
    pub(super) fn removable(
        &mut self,
        service: &ServiceName,
        spec: &EngineSpec,
        engines: &[EngineState],
        now: Millis,
    ) -> BTreeSet<ModelName> {
        let models = spec.models.iter().map(|model| &model.name);
        let declared: BTreeSet<&ModelName> = models.collect();
        let held = engines.iter().flat_map(|one| one.holding.models.keys());
        let undeclared: BTreeSet<&ModelName> =
            held.filter(|model| !declared.contains(model)).collect();
        let previous =
            self.undeclared_since.remove(service).unwrap_or_default();
        let since = |model: &ModelName| match previous.get(model) {
            Some(since) => *since,
            None => {
                log_undeclared(service, model);
                now
            }
        };
        let since: BTreeMap<ModelName, Millis> = undeclared
            .into_iter()
            .map(|model| (model.clone(), since(model)))
            .collect();
        let removable = since
            .iter()
            .filter(|(_, since)| now.since(**since) >= REMOVABLE_AFTER_MS)
            .map(|(model, _)| model.clone())
            .collect();
        self.undeclared_since.insert(service.clone(), since);
        removable
    }
}

fn log_undeclared(service: &ServiceName, model: &ModelName) {
    log::info!(
        "engines of service {service} hold model {model}, which the \
         configuration does not declare"
    );
}
