//! Routes, services and models, as one accepted configuration declares them.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::{
    bound::RegionBound,
    workspace::{Workspace, Workspaces},
};
use crate::id::{AdapterName, ModelName, ServiceName, WorkspaceId};

/// Whether a request may be sent to an upstream more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Repetition {
    /// It may run any number of times.
    Safe,
    /// It may run once.
    Once,
    /// It is a stream that another upstream may go on with.
    Resumable,
}

impl Repetition {
    /// Tells whether a request that may have run may be sent again.
    pub const fn is_allowed(self) -> bool {
        !matches!(self, Self::Once)
    }
}

/// A service that takes a part of a route's requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// The service.
    pub service: ServiceName,
    /// Its part, relative to the other targets' weights.
    pub weight: u32,
}

/// One route: which requests it takes, and how they are to be treated.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// The host that callers name.
    pub host: String,
    /// The beginning of the paths that it takes.
    pub prefix: String,
    /// The services that answer it.
    pub targets: Vec<Target>,
    /// Whether its requests may run more than once.
    pub repetition: Repetition,
    /// Whether its answers are streams of events.
    pub streaming: bool,
    /// The longest time a request may be held, in ms.
    pub longest_ms: u64,
    /// The time within which an answer is to begin, in ms.
    pub begin_within_ms: u64,
    /// The longest pause between events of an answer that is in time, in ms;
    /// 0 if the route states none.
    pub pause_within_ms: u64,
    /// Its rank; 0 is the most urgent.
    pub rank: u8,
    /// The most upstreams that one request may be sent to.
    pub attempts: u32,
    /// Whether its requests need no key.
    pub public: bool,
    /// The regions in which its requests may be served.
    pub bound: RegionBound,
}

impl Route {
    /// Picks the service for a request; `draw` is from 0 to 1.
    pub fn service(&self, draw: f64) -> Option<&ServiceName> {
        let total: u32 = self.targets.iter().map(|t| t.weight).sum();
        let mut left = draw * f64::from(total);
        for target in &self.targets {
            left -= f64::from(target.weight);
            if left < 0.0 {
                return Some(&target.service);
            }
        }
        let weighty = self.targets.iter().rev().find(|t| t.weight > 0);
        weighty.or(self.targets.last()).map(|target| &target.service)
    }
}

/// A model that a service's engines can hold.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ModelSpec {
    /// Its name.
    pub name: ModelName,
    /// The memory of its weights, in MB.
    pub size_mb: u64,
    /// How long its load from the weight store takes if few others run, in
    /// ms; 0 if nothing says so.
    pub load_ms: u64,
    /// Its adapters.
    pub adapters: Vec<AdapterName>,
    /// The memory of one of its adapters, in MB.
    pub adapter_size_mb: u64,
}

/// What the engines of a service are able to do.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EngineSpec {
    /// Requests that an engine decodes at once.
    pub slots: u32,
    /// Memory for weights and adapters, in MB.
    pub memory_mb: u64,
    /// Adapters that it can hold.
    pub adapter_places: usize,
    /// Loads a second that the weight store allows over all engines.
    pub loads_per_second: f64,
    /// The models.
    pub models: Vec<ModelSpec>,
}

impl EngineSpec {
    /// Returns a model's declaration.
    pub fn model(&self, name: &ModelName) -> Option<&ModelSpec> {
        self.models.iter().find(|model| model.name == *name)
    }
}

/// How upstreams of a service are after their start.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct ColdSpec {
    /// How long one stays cold, in ms.
    pub lasts_ms: u64,
    /// The requests a second that a cold one bears, over all gateways.
    pub bears_per_second: f64,
}

/// A service, of plain processes or of model engines.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// For model engines, what they are able to do.
    pub engine: Option<EngineSpec>,
    /// What its upstreams bear while they are cold; `None` if they are never
    /// cold, or bear what they do otherwise.
    pub cold: Option<ColdSpec>,
}

/// What callers may send, and how long they may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// The largest head of a request, in bytes.
    pub header_bytes: usize,
    /// The largest body of a request, in bytes.
    pub body_bytes: usize,
    /// How long a caller may take to send a head, in ms.
    pub head_within_ms: u64,
    /// How long a connection may rest between requests, in ms.
    pub rest_ms: u64,
}

/// One accepted configuration.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Catalog {
    /// Its version; a greater one replaces it.
    pub version: u64,
    /// The routes.
    pub routes: Vec<Route>,
    /// The services.
    pub services: BTreeMap<ServiceName, Service>,
    /// What callers may send.
    pub limits: CallerLimits,
    /// Whose callers may use the routes; `None` lets anyone use them.
    pub workspaces: Option<Workspaces>,
}

impl Catalog {
    /// Finds the route with the longest prefix for a host and path.
    ///
    /// # Example
    ///
    /// ```
    /// # use valehold_core::fleet::catalog::*;
    /// # let route = |prefix: &str| Route {
    /// #     host: "a.example".into(), prefix: prefix.into(),
    /// #     targets: vec![], repetition: Repetition::Once,
    /// #     streaming: false, longest_ms: 1, begin_within_ms: 1,
    /// #     pause_within_ms: 0, rank: 0,
    /// #     attempts: 1, public: false, bound: Default::default(),
    /// # };
    /// # let limits = CallerLimits {
    /// #     header_bytes: 1, body_bytes: 1, head_within_ms: 1,
    /// #     rest_ms: 1,
    /// # };
    /// let catalog = Catalog {
    ///     version: 1,
    ///     routes: vec![route("/"), route("/book/")],
    ///     services: Default::default(),
    ///     limits,
    ///     workspaces: None,
    /// };
    /// let found = catalog.find("A.example", "/book/1").unwrap();
    /// assert_eq!(found.prefix, "/book/");
    /// assert!(catalog.find("b.example", "/").is_none());
    /// ```
    pub fn find(&self, host: &str, path: &str) -> Option<&Route> {
        self.routes
            .iter()
            .filter(|route| route.host.eq_ignore_ascii_case(host))
            .filter(|route| path.starts_with(&route.prefix))
            .max_by_key(|route| route.prefix.len())
    }

    /// Returns the regions in which a request for a host and path may be
    /// served, by its route and its workspace; anywhere as far as neither is
    /// declared.
    pub fn bound_of(
        &self,
        host: &str,
        path: &str,
        workspace: Option<&WorkspaceId>,
    ) -> RegionBound {
        let route = self.find(host, path).map(|route| &route.bound);
        let workspace = workspace
            .zip(self.workspaces.as_ref())
            .and_then(|(name, workspaces)| workspaces.get(name))
            .map(|workspace| &workspace.bound);
        let bounds = route.into_iter().chain(workspace);
        bounds.fold(RegionBound::Anywhere, |all, bound| all.and(bound))
    }

    /// Returns the bounds of a host's routes.
    pub fn bounds_of_host(
        &self,
        host: &str,
    ) -> impl Iterator<Item = &RegionBound> {
        let routes = self
            .routes
            .iter()
            .filter(move |route| route.host.eq_ignore_ascii_case(host));
        routes.map(|route| &route.bound)
    }

    /// Returns the routes and workspaces whose bounds have no region in
    /// common: no request of the one to the other can be served.
    pub fn empty_bounds(&self) -> impl Iterator<Item = (&Route, &Workspace)> {
        let workspaces = self.workspaces.iter().flat_map(Workspaces::iter);
        workspaces.flat_map(move |workspace| {
            let routes = self.routes.iter();
            routes
                .filter(|route| route.bound.and(&workspace.bound).is_empty())
                .map(move |route| (route, workspace))
        })
    }

    /// Returns the services whose upstreams run models.
    pub fn engine_specs(
        &self,
    ) -> impl Iterator<Item = (&ServiceName, &EngineSpec)> {
        let services = self.services.iter();
        services.filter_map(|(name, one)| Some((name, one.engine.as_ref()?)))
    }

    /// Returns how many loads a second the weight store allows: one serves
    /// all services, and the least that any of them states holds.
    pub fn loads_per_second(&self) -> Option<f64> {
        let rates = self.engine_specs().map(|(_, spec)| spec.loads_per_second);
        rates.min_by(f64::total_cmp)
    }

    /// Returns a service whose upstreams run models, by name.
    pub fn engine_spec(&self, service: &ServiceName) -> Option<&EngineSpec> {
        self.services.get(service)?.engine.as_ref()
    }
}
