//! What the control thread publishes and the traffic threads read.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    net::SocketAddr,
    sync::Arc,
};

use valehold_core::{
    Millis,
    chart::library::InstanceState,
    config::{Config, Served},
    directory::Entry,
    id::{
        Artifact, DataCentreId, InstanceId, ModelName, ServiceName,
        UpstreamId, WorkspaceId,
    },
    limit::HeldGrant,
};

/// An immutable picture of all control state that traffic depends on.
#[derive(Debug, Clone)]
pub struct Snapshot {
    /// The configuration in force, with its revision.
    pub config: Option<Arc<Config>>,
    /// The revision's number; 0 without a configuration.
    pub revision: u64,
    /// This instance's life.
    pub life: InstanceState,
    /// The engines that may be given work.
    pub engines: Vec<EngineRoute>,
    /// The processes of plain services that may be given work.
    pub services: HashMap<ServiceName, Vec<ServiceRoute>>,
    /// The instances that callers can be sent to.
    pub directory: Vec<Entry>,
    /// What was granted of each workspace's limits.
    pub grants: HashMap<WorkspaceId, HeldGrant>,
    /// The holder of the placement cell, as far as it is known.
    pub holder: Option<InstanceId>,
    /// The revision in force on each instance, as it said last.
    pub revisions: BTreeMap<InstanceId, u64>,
    /// When the store was last read, or never.
    pub store_read: Option<Millis>,
}

impl Snapshot {
    /// Makes the picture of an instance that knows nothing yet.
    pub fn empty(life: InstanceState) -> Self {
        Self {
            config: None,
            revision: 0,
            life,
            engines: Vec::new(),
            services: HashMap::new(),
            directory: Vec::new(),
            grants: HashMap::new(),
            holder: None,
            revisions: BTreeMap::new(),
            store_read: None,
        }
    }

    /// Lists the engines that can answer for a model or adapter now, each
    /// with the versions to ask for.
    ///
    /// Where no engine has the declared version yet, the newest one that is
    /// resident answers.
    pub fn holders<'a>(
        &'a self,
        served: &'a Served,
    ) -> Vec<(&'a EngineRoute, Target)> {
        let declared: Vec<_> = self
            .engines
            .iter()
            .filter(|e| e.resident.contains(&served.artifact))
            .filter_map(|e| Some((e, e.target(&served.artifact, served)?)))
            .collect();
        if !declared.is_empty() {
            return declared;
        }
        self.engines
            .iter()
            .filter_map(|engine| {
                let newest = engine.newest(&served.artifact.name)?;
                Some((engine, engine.target(newest, served)?))
            })
            .collect()
    }

    /// Finds an engine by name.
    pub fn engine(&self, id: &UpstreamId) -> Option<&EngineRoute> {
        self.engines.iter().find(|engine| engine.id == *id)
    }
}

/// What to ask an engine for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// The version of the model or adapter.
    pub artifact: Artifact,
    /// For an adapter, the version of its base.
    pub base: Option<Artifact>,
}

/// An engine that may be given work.
#[derive(Debug, Clone)]
pub struct EngineRoute {
    /// Its name.
    pub id: UpstreamId,
    /// Where it is reached.
    pub address: SocketAddr,
    /// The data centre that it stands in.
    pub data_centre: DataCentreId,
    /// Whether it missed its last reports.
    pub suspect: bool,
    /// How many requests it decodes at once.
    pub slots: u32,
    /// How many prompt tokens it reads in a second.
    pub prefill_tokens_per_second: f64,
    /// Requests running at its last report.
    pub running: u32,
    /// Prompt tokens waiting at its last report.
    pub waiting_tokens: u64,
    /// When its last report was asked for.
    pub reported: Millis,
    /// What can be asked of it; shared between snapshots until it changes.
    pub resident: Arc<BTreeSet<Artifact>>,
}

impl EngineRoute {
    fn newest(&self, name: &ModelName) -> Option<&Artifact> {
        self.resident.iter().rfind(|artifact| artifact.name == *name)
    }

    fn target(&self, artifact: &Artifact, served: &Served) -> Option<Target> {
        let artifact = artifact.clone();
        let Some(base) = &served.base else {
            return Some(Target { artifact, base: None });
        };
        let base = match self.resident.contains(base) {
            true => base.clone(),
            false => self.newest(&base.name)?.clone(),
        };
        Some(Target { artifact, base: Some(base) })
    }
}

/// A process of a plain service that may be given work.
#[derive(Debug, Clone)]
pub struct ServiceRoute {
    /// Its name.
    pub id: UpstreamId,
    /// Where it is reached.
    pub address: SocketAddr,
    /// The data centre that it stands in.
    pub data_centre: DataCentreId,
}
