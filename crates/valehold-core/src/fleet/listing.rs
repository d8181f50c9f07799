//! The platform's list of upstreams, in which each upstream registers itself.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
    net::SocketAddr,
    sync::Arc,
};

use imbl::OrdMap;
use serde::{Deserialize, Serialize};

use super::identity::UpstreamStart;
use crate::id::{
    AdapterName, DataCentreId, ModelName, ServiceName, SoftwareVersion,
    UpstreamId,
};

/// A model without an adapter, or with one of its adapters.
#[derive(
    Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Variant {
    /// The model.
    pub model: ModelName,
    /// The adapter, or `None` for the model without an adapter.
    pub adapter: Option<AdapterName>,
}

impl Variant {
    /// Returns the variant of a model without an adapter.
    pub fn plain(model: impl AsRef<str>) -> Self {
        Self { model: ModelName::new(model), adapter: None }
    }

    /// Returns the variant of a model with an adapter.
    pub fn adapted(model: impl AsRef<str>, adapter: impl AsRef<str>) -> Self {
        let adapter = Some(AdapterName::new(adapter));
        Self { model: ModelName::new(model), adapter }
    }
}

impl From<&str> for Variant {
    /// Parses `model` or `model/adapter`.
    fn from(text: &str) -> Self {
        match text.split_once('/') {
            Some((model, adapter)) => Self::adapted(model, adapter),
            None => Self::plain(text),
        }
    }
}

impl fmt::Display for Variant {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.adapter {
            Some(adapter) => write!(f, "{}/{adapter}", self.model),
            None => write!(f, "{}", self.model),
        }
    }
}

/// The models and adapters that an engine holds after a number of orders.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holding {
    /// The number of orders that the engine has accepted since its start; 0 in
    /// entries of the platform's list, which does not contain the number.
    pub sequence: u64,
    /// The engine's models, each with the adapters that are loaded or loading.
    pub models: BTreeMap<ModelName, BTreeSet<AdapterName>>,
}

impl Holding {
    /// Returns whether the engine can run requests for a variant.
    pub fn can_run(&self, variant: &Variant) -> bool {
        self.models.get(&variant.model).is_some_and(|adapters| {
            let requested = variant.adapter.as_ref();
            requested.is_none_or(|adapter| adapters.contains(adapter))
        })
    }

    /// Returns a variant for each adapter of each model.
    pub fn adapter_variants(&self) -> impl Iterator<Item = Variant> + '_ {
        self.models.iter().flat_map(|(model, adapters)| {
            adapters.iter().map(|adapter| Variant {
                model: model.clone(),
                adapter: Some(adapter.clone()),
            })
        })
    }

    /// Returns the number of adapters of all models.
    pub fn adapter_count(&self) -> usize {
        self.models.values().map(BTreeSet::len).sum()
    }
}

/// The entry of one upstream: an engine, or a process of a plain service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Upstream {
    /// The name of the upstream, which stays the same after a restart.
    pub id: UpstreamId,
    /// The service that the upstream belongs to.
    pub service: ServiceName,
    /// The address that receives requests.
    pub address: SocketAddr,
    /// The data centre of the upstream.
    pub data_centre: DataCentreId,
    /// The number of requests that the upstream processes concurrently.
    pub slots: u32,
    /// Whether the upstream has reported that it is leaving. A leaving
    /// upstream gets no new requests.
    pub leaving: bool,
    /// The remaining time for which the upstream is cold, in ms, as of its
    /// last report.
    pub cold_for_ms: u64,
    /// The start time in ms of the upstream's own clock, or `None` if the
    /// upstream does not report a start time. A different start time under the
    /// same name is a restart, after which the upstream has lost all models
    /// that it held before.
    pub started_at_ms: Option<u64>,
    /// The version of the upstream's software, or `None` if only a report of
    /// another start states one.
    pub software: Option<SoftwareVersion>,
    /// The models that the upstream holds; empty for a plain service.
    pub holding: Holding,
}

impl Upstream {
    /// Returns the start of the upstream that this entry describes.
    pub fn start(&self) -> UpstreamStart {
        UpstreamStart {
            id: self.id.clone(),
            started_at_ms: self.started_at_ms,
        }
    }
}

/// Changes of the platform's list from one version to a later one.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ListingDelta {
    /// The version of the list that the changes start from. The delta contains
    /// every change after this version.
    pub base_version: u64,
    /// The version of the list after the changes.
    pub version: u64,
    /// Entries that are new or differ.
    pub changed: Vec<Arc<Upstream>>,
    /// Upstreams that were removed.
    pub removed: Vec<UpstreamId>,
    /// Whether the platform's store was unavailable until shortly before, so
    /// that some removed entries may only have lapsed during the outage.
    pub after_outage: bool,
}

/// Entries by the names of the upstreams. A clone shares unchanged parts with
/// the original, so that the cost of a new snapshot depends on the number of
/// changes since the previous snapshot.
pub type Upstreams = OrdMap<UpstreamId, Arc<Upstream>>;

/// All upstreams at one version of the platform's list.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Listing {
    /// The version of the list. A list with a greater version is newer.
    pub version: u64,
    /// The entries of the list.
    pub upstreams: Upstreams,
}

impl Listing {
    /// Returns the upstreams of a service that are not leaving.
    pub fn available<'a>(
        &'a self,
        service: &'a ServiceName,
    ) -> impl Iterator<Item = &'a Arc<Upstream>> {
        self.upstreams
            .values()
            .filter(move |u| u.service == *service && !u.leaving)
    }

    /// Returns the entry of one start of an upstream, or `None` if the list
    /// has no entry of the upstream or only an entry of another start.
    pub fn get_start(&self, start: &UpstreamStart) -> Option<&Arc<Upstream>> {
        let listed = self.upstreams.get(&start.id);
        listed.filter(|one| one.started_at_ms == start.started_at_ms)
    }

    /// Applies a delta and returns `true`. Changes nothing and returns `false`
    /// if the list already contains the changes, or if changes between the
    /// list and the delta are missing.
    pub fn apply(&mut self, delta: &ListingDelta) -> bool {
        if delta.base_version > self.version || delta.version <= self.version {
            return false;
        }
        self.version = delta.version;
        for upstream in &delta.changed {
            self.upstreams.insert(upstream.id.clone(), upstream.clone());
        }
        for id in &delta.removed {
            self.upstreams.remove(id);
        }
        true
    }
}
