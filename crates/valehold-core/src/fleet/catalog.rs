//! The catalog: the routes, services, models and limits that one accepted
//! configuration declares.

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
    /// The request may run any number of times.
    Idempotent,
    /// The request may run at most once.
    AtMostOnce,
    /// The answer is a stream that another upstream can continue.
    Resumable,
}

impl Repetition {
    /// Returns whether a request that may have run may be sent again.
    pub const fn allows_resend(self) -> bool {
        !matches!(self, Self::AtMostOnce)
    }
}

/// A service that receives a share of the requests of a route.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// The service.
    pub service: ServiceName,
    /// The share of requests, relative to the weights of the other targets.
    pub weight: u32,
}

/// A route: the requests that it matches, and how these requests are handled.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// The host that requests name, compared without regard to case.
    pub host: String,
    /// The prefix of the paths that the route matches.
    pub prefix: String,
    /// The services that answer the requests.
    pub targets: Vec<Target>,
    /// Whether the requests may run more than once.
    pub repetition: Repetition,
    /// Whether the answers are event streams.
    pub streaming: bool,
    /// The maximum duration of a request, in ms; 0 if the route declares none.
    pub max_duration_ms: u64,
    /// The objective for the time until an answer begins, in ms.
    pub begin_within_ms: u64,
    /// The objective for the longest pause between the events of an answer, in
    /// ms; 0 if the route declares none.
    pub pause_within_ms: u64,
    /// The rank of the requests; 0 is the most urgent.
    pub rank: u8,
    /// The maximum number of upstreams that one request is sent to.
    pub attempts: u32,
    /// Whether requests need no API key.
    pub public: bool,
    /// The regions in which the requests may be served.
    pub bound: RegionBound,
}

impl Route {
    /// Picks the service for a request by weight, or returns `None` if the
    /// route has no targets.
    ///
    /// `draw` is a random number from 0 to 1. A target without weight is
    /// picked only if no target has a weight.
    pub fn service(&self, draw: f64) -> Option<&ServiceName> {
        let total: u32 = self.targets.iter().map(|t| t.weight).sum();
        let mut left = draw * f64::from(total);
        for target in &self.targets {
            left -= f64::from(target.weight);
            if left < 0.0 {
                return Some(&target.service);
            }
        }
        let last_weighted = self.targets.iter().rev().find(|t| t.weight > 0);
        last_weighted.or(self.targets.last()).map(|target| &target.service)
    }

    /// Returns whether a single service answers the requests of the route.
    pub fn has_only_target(&self) -> bool {
        self.targets.len() == 1
    }

    /// Returns whether a service answers requests of the route.
    pub fn has_target(&self, service: &ServiceName) -> bool {
        self.targets.iter().any(|target| target.service == *service)
    }
}

/// A model that a service's engines can hold.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ModelSpec {
    /// The name of the model.
    pub name: ModelName,
    /// The memory that the weights use, in MB.
    pub size_mb: u64,
    /// The duration of a load from the weight store while few other loads
    /// run, in ms; 0 if the configuration declares none.
    pub load_ms: u64,
    /// The adapters of the model.
    pub adapters: Vec<AdapterName>,
    /// The memory that one adapter uses, in MB.
    pub adapter_size_mb: u64,
}

/// The capacity of the engines of a service, and the models that the engines
/// can hold.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EngineSpec {
    /// The number of requests that an engine decodes concurrently.
    pub slots: u32,
    /// The memory of an engine for weights and adapters, in MB.
    pub memory_mb: u64,
    /// The number of adapters that an engine can hold.
    pub adapter_places: usize,
    /// The loads per second that the weight store allows, over all engines.
    pub loads_per_second: f64,
    /// The models that the engines can hold.
    pub models: Vec<ModelSpec>,
}

impl EngineSpec {
    /// Returns the declaration of a model, or `None` if the service does not
    /// declare the model.
    pub fn model(&self, name: &ModelName) -> Option<&ModelSpec> {
        self.models.iter().find(|model| model.name == *name)
    }
}

/// The limits of upstreams that are cold, which means recently started.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct ColdSpec {
    /// How long an upstream stays cold after its start, in ms.
    pub lasts_ms: u64,
    /// The requests per second that a cold upstream can take from all gateways
    /// together.
    #[serde(rename = "bears_per_second")]
    pub requests_per_second: f64,
}

/// A service, whose upstreams are either plain processes or model engines.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// The specification of the engines; `None` for plain processes.
    pub engine: Option<EngineSpec>,
    /// The limits of cold upstreams; `None` if upstreams are never cold, or
    /// can take as many requests while cold as otherwise.
    pub cold: Option<ColdSpec>,
}

/// The limits on the size and timing of requests from callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// The maximum size of the head of a request, in bytes.
    pub header_limit_bytes: usize,
    /// The maximum size of the body of a request, in bytes.
    pub body_limit_bytes: usize,
    /// How long a caller may take to send the head of a request, in ms.
    pub header_read_timeout_ms: u64,
    /// How long a connection may stay idle between requests, in ms.
    pub keep_alive_timeout_ms: u64,
}

/// One accepted configuration.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Catalog {
    /// The version; a catalog with a greater version replaces this one.
    pub version: u64,
    /// The routes.
    pub routes: Vec<Route>,
    /// The services.
    pub services: BTreeMap<ServiceName, Service>,
    /// The limits on the size and timing of requests.
    pub limits: CallerLimits,
    /// The workspaces whose callers may use the routes; with `None`, any
    /// caller may use the routes.
    pub workspaces: Option<Workspaces>,
}

impl Catalog {
    /// Returns the route with the longest matching prefix for a host and path,
    /// or `None` if no route matches.
    ///
    /// # Example
    ///
    /// ```
    /// # use valehold_core::fleet::catalog::*;
    /// # let route = |prefix: &str| Route {
    /// #     host: "a.example".into(), prefix: prefix.into(),
    /// #     targets: vec![], repetition: Repetition::AtMostOnce,
    /// #     streaming: false, max_duration_ms: 1, begin_within_ms: 1,
    /// #     pause_within_ms: 0, rank: 0,
    /// #     attempts: 1, public: false, bound: Default::default(),
    /// # };
    /// # let limits = CallerLimits {
    /// #     header_limit_bytes: 1, body_limit_bytes: 1,
    /// #     header_read_timeout_ms: 1, keep_alive_timeout_ms: 1,
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
    /// served.
    ///
    /// This is the intersection of the bounds of the route and the workspace;
    /// one that the catalog does not declare sets no bound.
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
        bounds
            .fold(RegionBound::Anywhere, |all, bound| all.intersection(bound))
    }

    /// Returns the bounds of all routes of a host.
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

    /// Returns the pairs of a route and a workspace whose bounds have no
    /// region in common: no request of the workspace to the route can be
    /// served.
    pub fn empty_bounds(&self) -> impl Iterator<Item = (&Route, &Workspace)> {
        let workspaces = self.workspaces.iter().flat_map(Workspaces::iter);
        workspaces.flat_map(move |workspace| {
            let routes = self.routes.iter();
            routes
                .filter(|route| {
                    route.bound.intersection(&workspace.bound).is_empty()
                })
                .map(move |route| (route, workspace))
        })
    }

    /// Returns the services whose upstreams are model engines.
    pub fn engine_specs(
        &self,
    ) -> impl Iterator<Item = (&ServiceName, &EngineSpec)> {
        let services = self.services.iter();
        services.filter_map(|(name, one)| Some((name, one.engine.as_ref()?)))
    }

    /// Returns the loads per second that the weight store allows, or `None` if
    /// no service has engines.
    ///
    /// One weight store serves all services, so the lowest rate that any
    /// service declares applies.
    pub fn loads_per_second(&self) -> Option<f64> {
        let rates = self.engine_specs().map(|(_, spec)| spec.loads_per_second);
        rates.min_by(f64::total_cmp)
    }

    /// Returns the engine specification of a service, or `None` if the service
    /// is not declared or has no engines.
    pub fn engine_spec(&self, service: &ServiceName) -> Option<&EngineSpec> {
        self.services.get(service)?.engine.as_ref()
    }
}
