//! The upstreams that there are, as they list themselves.

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
    AdapterName, DataCentreId, ModelName, ServiceName, UpstreamId,
};

/// A model, alone or with one of its adapters.
#[derive(
    Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Variant {
    /// The model.
    pub model: ModelName,
    /// The adapter, if any.
    pub adapter: Option<AdapterName>,
}

impl Variant {
    /// Makes the variant of a model without an adapter.
    pub fn plain(model: impl AsRef<str>) -> Self {
        Self { model: ModelName::new(model), adapter: None }
    }

    /// Makes the variant of a model with an adapter.
    pub fn adapted(model: impl AsRef<str>, adapter: impl AsRef<str>) -> Self {
        let adapter = Some(AdapterName::new(adapter));
        Self { model: ModelName::new(model), adapter }
    }
}

impl From<&str> for Variant {
    /// Reads a model, and after a slash an adapter of it.
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

/// What an engine holds, as of a number of orders that it has taken.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holding {
    /// How many orders it has taken since its start; 0 in the list, which
    /// does not say.
    pub sequence: u64,
    /// Its models, each with the adapters that are there or on their way.
    pub models: BTreeMap<ModelName, BTreeSet<AdapterName>>,
}

impl Holding {
    /// Tells whether a request for a variant can run here.
    pub fn has(&self, variant: &Variant) -> bool {
        self.models.get(&variant.model).is_some_and(|adapters| {
            let wanted = variant.adapter.as_ref();
            wanted.is_none_or(|adapter| adapters.contains(adapter))
        })
    }

    /// Returns each of its adapters, with the model.
    pub fn adapted(&self) -> impl Iterator<Item = Variant> + '_ {
        self.models.iter().flat_map(|(model, adapters)| {
            adapters.iter().map(|adapter| Variant {
                model: model.clone(),
                adapter: Some(adapter.clone()),
            })
        })
    }

    /// Counts the adapters of all models.
    pub fn adapters(&self) -> usize {
        self.models.values().map(BTreeSet::len).sum()
    }
}

/// One upstream: an engine, or a process of a plain service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Upstream {
    /// Its name, under which it may start again.
    pub id: UpstreamId,
    /// The service that it belongs to.
    pub service: ServiceName,
    /// Where it is reached.
    pub address: SocketAddr,
    /// The data centre that it stands in.
    pub data_centre: DataCentreId,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Whether it said that it leaves.
    pub leaving: bool,
    /// For how much longer it is cold, in ms, as of its last word.
    pub cold_for_ms: u64,
    /// When it started, in ms of its own clock, if it says so: another one
    /// under the same name is another start, which holds nothing of before.
    pub started_at_ms: Option<u64>,
    /// What it holds, if it runs models.
    pub holding: Holding,
}

impl Upstream {
    /// Returns which start of it this tells of.
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
    /// The version that they start from: every later change is among them.
    pub before: u64,
    /// The version of the newest of them.
    pub version: u64,
    /// Upstreams that are new or differ.
    pub changed: Vec<Arc<Upstream>>,
    /// Upstreams that are gone.
    pub gone: Vec<UpstreamId>,
    /// Whether the store was away until a moment ago, so that some of those
    /// that are gone may only have lapsed.
    pub after_outage: bool,
}

/// Upstreams by their names. A copy shares what it does not change with its
/// original, so that a view costs what changed since the one before.
pub type Upstreams = OrdMap<UpstreamId, Arc<Upstream>>;

/// All upstreams as of one version of the platform's list.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Listing {
    /// The version; a greater one is newer.
    pub version: u64,
    /// The upstreams.
    pub upstreams: Upstreams,
}

impl Listing {
    /// Returns the upstreams of a service that take new work.
    pub fn of<'a>(
        &'a self,
        service: &'a ServiceName,
    ) -> impl Iterator<Item = &'a Arc<Upstream>> {
        self.upstreams
            .values()
            .filter(move |u| u.service == *service && !u.leaving)
    }

    /// Returns the entry of one start of an upstream.
    pub fn of_start(&self, start: &UpstreamStart) -> Option<&Arc<Upstream>> {
        let listed = self.upstreams.get(&start.id);
        listed.filter(|one| one.started_at_ms == start.started_at_ms)
    }

    /// Takes changes in, if they are newer and none before them is missing.
    pub fn apply(&mut self, delta: &ListingDelta) -> bool {
        if delta.before > self.version || delta.version <= self.version {
            return false;
        }
        self.version = delta.version;
        for upstream in &delta.changed {
            self.upstreams.insert(upstream.id.clone(), upstream.clone());
        }
        for id in &delta.gone {
            self.upstreams.remove(id);
        }
        true
    }
}
