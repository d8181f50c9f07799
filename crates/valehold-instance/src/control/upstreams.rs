//! What is known of engines and of the processes of plain services.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    net::SocketAddr,
    sync::Arc,
};

use valehold_core::{
    Millis,
    account::Reported,
    chart::library::UpstreamState,
    config::{Config, Engine},
    id::{Artifact, DataCentreId, ServiceName, UpstreamId},
    membership::Membership,
};
use valehold_ports::{
    PortError,
    port::{CacheEvents, EngineStatus, Listed, ListedKind, ListedState},
};

use super::{Context, Input};
use crate::{
    settings::Settings,
    snapshot::{EngineRoute, ServiceRoute},
};

/// How often the platform's list is read.
const LIST_EVERY_MS: u64 = 1_000;

/// How often each engine and service process is asked how it does.
const STATUS_EVERY_MS: u64 = 500;

/// How often each engine's cache events are read.
const EVENTS_EVERY_MS: u64 = 1_000;

/// For how long a list that still calls a restarted upstream leaving is not
/// believed.
const LIST_LAG_MS: u64 = 60_000;

/// What is known of one upstream.
#[derive(Debug)]
struct UpstreamInfo {
    address: Option<SocketAddr>,
    data_centre: DataCentreId,
    kind: Kind,
    asked: Option<Millis>,
    asking: bool,
    status: Option<(Millis, EngineStatus)>,
    resident: Arc<BTreeSet<Artifact>>,
    restarted: Option<Millis>,
    cache: CacheEventsSeen,
}

/// How far an engine's cache events were read.
#[derive(Debug, Default)]
struct CacheEventsSeen {
    asked: Option<Millis>,
    asking: bool,
    sequence: u64,
}

#[derive(Debug)]
enum Kind {
    Engine(Box<Engine>),
    Service(ServiceName),
}

/// What an engine's cache events tell.
#[derive(Debug, Default)]
pub(super) struct CacheNews {
    /// Whether events are missing: what was known of the cache is void.
    pub(super) gap: bool,
    /// The blocks that the cache now has.
    pub(super) stored: Vec<u64>,
}

/// Engines and processes of plain services.
pub(super) struct Upstreams {
    known: BTreeMap<UpstreamId, UpstreamInfo>,
    membership: Membership,
    list_asked: Option<Millis>,
    list_asking: bool,
    listed: BTreeMap<UpstreamId, Listed>,
}

impl Upstreams {
    pub(super) fn new(settings: &Settings) -> Self {
        Self {
            known: BTreeMap::new(),
            membership: Membership::new(settings.silence, settings.ejection),
            list_asked: None,
            list_asking: false,
            listed: BTreeMap::new(),
        }
    }

    /// Takes in a configuration.
    pub(super) fn configure(&mut self, config: &Config, now: Millis) {
        let mut before = std::mem::take(&mut self.known);
        for (id, address, data_centre, kind) in declared(config) {
            let address = address.parse().ok();
            let mut known = before.remove(&id).unwrap_or(UpstreamInfo {
                address,
                data_centre: data_centre.clone(),
                kind: Kind::Service(ServiceName::new("")),
                asked: None,
                asking: false,
                status: None,
                resident: Arc::default(),
                restarted: None,
                cache: CacheEventsSeen::default(),
            });
            known.address = address;
            known.data_centre = data_centre;
            known.kind = kind;
            self.known.insert(id, known);
        }
        self.membership.set_members(self.known.keys().cloned(), now);
        self.use_list(now);
    }

    pub(super) fn tick(&mut self, context: &Context, now: Millis) {
        self.membership.tick(now);
        self.ask_list(context, now);
        for (id, known) in &mut self.known {
            ask_one(id, known, context, now);
            ask_cache_events(id, known, context, now);
        }
    }

    pub(super) fn list_read(&mut self, list: Result<Vec<Listed>, PortError>) {
        self.list_asking = false;
        match list {
            Ok(list) => {
                self.listed = list
                    .into_iter()
                    .filter(|l| l.kind != ListedKind::Instance)
                    .map(|l| (UpstreamId::new(&l.name), l))
                    .collect();
                let asked = self.list_asked.unwrap_or_default();
                self.use_list(asked);
            }
            Err(error) => log::warn!("the list was not read: {error}"),
        }
    }

    /// Takes in an engine's report; returns how much can be asked of it if
    /// that has changed.
    pub(super) fn status_read(
        &mut self,
        engine: &UpstreamId,
        asked: Millis,
        result: Result<EngineStatus, PortError>,
        now: Millis,
    ) -> Option<u64> {
        let known = self.known.get_mut(engine)?;
        known.asking = false;
        let status = result.ok()?;
        let boot = known.status.as_ref().map(|(_, before)| before.boot);
        let is_new = boot.is_some_and(|boot| boot != status.boot);
        if is_new {
            known.cache.sequence = 0;
            known.restarted = Some(now);
            self.membership.restarted(engine, now);
        }
        self.membership.heard(engine, now);
        if status.leaving {
            self.membership.said_leaving(engine);
        }
        let resident = resident(&status);
        known.status = Some((asked, status));
        if *known.resident == resident {
            return None;
        }
        let count = resident.len() as u64;
        known.resident = Arc::new(resident);
        Some(count)
    }

    /// Takes in an engine's cache events; returns what they tell.
    pub(super) fn cache_events_read(
        &mut self,
        engine: &UpstreamId,
        result: Result<CacheEvents, PortError>,
    ) -> CacheNews {
        let Some(known) = self.known.get_mut(engine) else {
            return CacheNews::default();
        };
        known.cache.asking = false;
        let Ok(CacheEvents { events }) = result else {
            return CacheNews::default();
        };
        let mut news = CacheNews::default();
        for event in events {
            if event.sequence <= known.cache.sequence {
                continue;
            }
            news.gap |= event.sequence > known.cache.sequence + 1;
            known.cache.sequence = event.sequence;
            news.stored.extend(event.stored);
        }
        news
    }

    pub(super) fn health_read(
        &mut self,
        upstream: &UpstreamId,
        result: &Result<bool, PortError>,
        now: Millis,
    ) {
        if let Some(known) = self.known.get_mut(upstream) {
            known.asking = false;
        }
        match result {
            Ok(leaving) => {
                self.membership.heard(upstream, now);
                if *leaving {
                    self.membership.said_leaving(upstream);
                }
            }
            Err(error) => log::debug!("{upstream} did not answer: {error}"),
        }
    }

    pub(super) fn succeeded(&mut self, upstream: &UpstreamId) {
        self.membership.succeeded(upstream);
    }

    pub(super) fn failed(&mut self, upstream: &UpstreamId, now: Millis) {
        self.membership.failed(upstream, now);
    }

    /// Returns an upstream's address, if it is known.
    pub(super) fn address(&self, id: &UpstreamId) -> Option<SocketAddr> {
        self.known.get(id)?.address
    }

    /// Tells whether an engine may be given artifacts.
    pub(super) fn takes_artifacts(&self, id: &UpstreamId) -> bool {
        let state = self.membership.state(id);
        matches!(state, UpstreamState::Live | UpstreamState::Suspect)
    }

    /// Lists the engines that may be given requests at `now`.
    pub(super) fn engine_routes(&self, now: Millis) -> Vec<EngineRoute> {
        let routes = self.known.iter().filter_map(|(id, known)| {
            let Kind::Engine(engine) = &known.kind else { return None };
            if !self.membership.takes_work(id, now) {
                return None;
            }
            let (reported, status) = known.status.as_ref()?;
            let suspect = self.membership.state(id) == UpstreamState::Suspect;
            Some(EngineRoute {
                id: id.clone(),
                address: known.address?,
                data_centre: known.data_centre.clone(),
                suspect,
                slots: engine.slots,
                prefill_tokens_per_second: engine.prefill_tokens_per_second,
                running: status.running,
                waiting_tokens: status.waiting_tokens,
                reported: *reported,
                resident: known.resident.clone(),
            })
        });
        routes.collect()
    }

    /// Lists the processes of plain services that may be given calls.
    pub(super) fn service_routes(
        &self,
        now: Millis,
    ) -> HashMap<ServiceName, Vec<ServiceRoute>> {
        let mut routes: HashMap<_, Vec<_>> = HashMap::new();
        for (id, known) in &self.known {
            let Kind::Service(service) = &known.kind else { continue };
            let Some(address) = known.address else { continue };
            if self.membership.takes_work(id, now) {
                let route = ServiceRoute {
                    id: id.clone(),
                    address,
                    data_centre: known.data_centre.clone(),
                };
                routes.entry(service.clone()).or_default().push(route);
            }
        }
        routes
    }

    fn ask_list(&mut self, context: &Context, now: Millis) {
        let due =
            self.list_asked.is_none_or(|at| now.since(at) >= LIST_EVERY_MS);
        if !due || self.list_asking {
            return;
        }
        self.list_asked = Some(now);
        self.list_asking = true;
        let list = context.shared.ports.list.clone();
        context.start(async move { Input::List(list.list().await) });
    }

    /// Takes over addresses and leaving states from the newest list.
    fn use_list(&mut self, now: Millis) {
        for (id, known) in &mut self.known {
            let Some(listed) = self.listed.get(id) else {
                if !self.listed.is_empty() {
                    self.membership.listed_gone(id);
                }
                continue;
            };
            known.address = Some(listed.address);
            let restarted_lately =
                known.restarted.is_some_and(|at| now.since(at) < LIST_LAG_MS);
            if listed.state == ListedState::Leaving && !restarted_lately {
                self.membership.said_leaving(id);
            }
        }
    }
}

fn declared(
    config: &Config,
) -> impl Iterator<Item = (UpstreamId, &str, DataCentreId, Kind)> {
    let deployment = config.deployment();
    let engines = deployment.engine.iter().map(|engine| {
        let kind = Kind::Engine(Box::new(engine.clone()));
        let place = engine.data_centre.clone();
        (engine.name.clone(), engine.address.as_str(), place, kind)
    });
    let services = deployment.service.iter().flat_map(|service| {
        service.upstream.iter().map(|process| {
            let kind = Kind::Service(service.name.clone());
            let place = process.data_centre.clone();
            (process.name.clone(), process.address.as_str(), place, kind)
        })
    });
    engines.chain(services)
}

fn ask_one(
    id: &UpstreamId,
    known: &mut UpstreamInfo,
    context: &Context,
    now: Millis,
) {
    let due = known.asked.is_none_or(|at| now.since(at) >= STATUS_EVERY_MS);
    let Some(address) = known.address.filter(|_| due && !known.asking) else {
        return;
    };
    known.asked = Some(now);
    known.asking = true;
    let id = id.clone();
    let ports = context.shared.ports.clone();
    match known.kind {
        Kind::Engine(_) => context.start(async move {
            let result = ports.engines.status(address).await;
            Input::Status { engine: id, asked: now, result }
        }),
        Kind::Service(_) => context.start(async move {
            let result = ports.services.leaving(address).await;
            Input::Health { upstream: id, result }
        }),
    }
}

fn ask_cache_events(
    id: &UpstreamId,
    known: &mut UpstreamInfo,
    context: &Context,
    now: Millis,
) {
    let cache = &mut known.cache;
    let due = cache.asked.is_none_or(|at| now.since(at) >= EVENTS_EVERY_MS);
    let is_engine = matches!(known.kind, Kind::Engine(_));
    let Some(address) = known.address else { return };
    if !due || cache.asking || !is_engine {
        return;
    }
    cache.asked = Some(now);
    cache.asking = true;
    let after = cache.sequence;
    let id = id.clone();
    let engines = context.shared.ports.engines.clone();
    context.start(async move {
        let result = engines.cache_events(address, after).await;
        Input::CacheEvents { engine: id, result }
    });
}

fn resident(status: &EngineStatus) -> BTreeSet<Artifact> {
    let artifacts = status.residency.artifacts.iter();
    artifacts
        .filter(|reported| reported.state == Reported::Resident)
        .map(|reported| reported.artifact.clone())
        .collect()
}
