//! Stand-ins for everything that a configuration declares.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use valehold_core::{
    config::{Config, Engine},
    id::{DataCentreId, UpstreamId},
};
use valehold_ports::port::{Listed, ListedKind, ListedState};

use crate::{
    engine::{EngineSettings, EngineStandin},
    platform::PlatformStandin,
    server::Running,
    service::ServiceStandin,
};

/// How fast a site's engines are.
#[derive(Debug, Clone, Copy)]
pub struct Pace {
    /// The time between two tokens.
    pub token_time: Duration,
    /// The time that a load takes.
    pub load_time: Duration,
}

impl Default for Pace {
    fn default() -> Self {
        Self {
            token_time: Duration::from_millis(5),
            load_time: Duration::from_millis(200),
        }
    }
}

/// A platform, engines and plain services, all served on loopback.
#[derive(Debug)]
pub struct Site {
    /// The platform.
    pub platform: PlatformStandin,
    /// The engines, by name.
    pub engines: BTreeMap<UpstreamId, EngineStandin>,
    /// The processes of plain services, by name.
    pub services: BTreeMap<UpstreamId, ServiceStandin>,
    platform_server: Running,
    servers: BTreeMap<UpstreamId, Running>,
}

impl Site {
    /// Starts stand-ins for all that `config` declares, and lists them.
    ///
    /// # Errors
    ///
    /// If ports cannot be had.
    pub async fn start(config: &Config, pace: Pace) -> std::io::Result<Self> {
        let platform = PlatformStandin::new();
        let platform_server = platform.serve().await?;
        let mut site = Self {
            platform,
            engines: BTreeMap::new(),
            services: BTreeMap::new(),
            platform_server,
            servers: BTreeMap::new(),
        };
        let deployment = config.deployment();
        for engine in &deployment.engine {
            site.start_engine(engine, pace).await?;
        }
        for service in &deployment.service {
            for process in &service.upstream {
                let standin = ServiceStandin::new();
                let server = standin.serve().await?;
                let (name, place) = (&process.name, &process.data_centre);
                site.list(name, ListedKind::Service, server.address(), place);
                site.servers.insert(name.clone(), server);
                site.services.insert(name.clone(), standin);
            }
        }
        Ok(site)
    }

    /// Starts an engine, or a new process in the place of one.
    ///
    /// # Errors
    ///
    /// If a port cannot be had.
    pub async fn start_engine(
        &mut self,
        engine: &Engine,
        pace: Pace,
    ) -> std::io::Result<()> {
        let standin = EngineStandin::new(EngineSettings {
            usable_mib: engine.usable_mib(),
            checks_fences: engine.checks_fences,
            slots: engine.slots as usize,
            prefill_tokens_per_second: engine.prefill_tokens_per_second,
            token_time: pace.token_time,
            load_time: pace.load_time,
        });
        let server = standin.serve().await?;
        let (name, place) = (&engine.name, &engine.data_centre);
        self.list(name, ListedKind::Engine, server.address(), place);
        self.servers.insert(name.clone(), server);
        self.engines.insert(name.clone(), standin);
        Ok(())
    }

    /// Ends an upstream at once, as a kill would.
    pub fn kill(&mut self, upstream: &UpstreamId) {
        self.servers.remove(upstream);
    }

    /// Returns an upstream's address.
    ///
    /// # Panics
    ///
    /// If there is no such upstream, or it was killed.
    pub fn address(&self, upstream: &UpstreamId) -> SocketAddr {
        self.servers[upstream].address()
    }

    /// Returns the platform's address.
    pub fn platform_address(&self) -> SocketAddr {
        self.platform_server.address()
    }

    /// Lists an entry instance.
    pub fn list_instance(
        &self,
        name: &str,
        callers: SocketAddr,
        peers: SocketAddr,
        data_centre: &DataCentreId,
    ) {
        self.platform.set_listed(Listed {
            name: name.to_owned(),
            kind: ListedKind::Instance,
            address: callers,
            peer_address: Some(peers),
            data_centre: data_centre.clone(),
            state: ListedState::Live,
        });
    }

    fn list(
        &self,
        name: &UpstreamId,
        kind: ListedKind,
        address: SocketAddr,
        data_centre: &DataCentreId,
    ) {
        self.platform.set_listed(Listed {
            name: name.to_string(),
            kind,
            address,
            peer_address: None,
            data_centre: data_centre.clone(),
            state: ListedState::Live,
        });
    }
}
