//! What operators declare: a deployment, templates, and workspaces.
//!
//! The declarations are files in a directory that lives in version control:
//! `deployment.toml`, `templates/*.toml` and `workspaces/*.toml`. A set of
//! [`Files`] is accepted whole or refused whole; [`Config::try_from_files`]
//! says for every fault in which file and line it lies and how to mend it.

mod check;
mod deployment;
mod files;
pub mod pack;
mod problem;
mod revision;
mod template;
#[cfg(test)]
mod tests;
mod workspace;

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
};

pub use self::{
    check::MAX_PRIORITY,
    deployment::{
        Adapter, CallPattern, DataCentre, Deployment, Distance, Engine, Model,
        PlacementSettings, Service, ServiceUpstream, Weighing, WeightStore,
    },
    files::{DEPLOYMENT_FILE, Files},
    problem::{Problem, Problems},
    revision::{
        Conflict, FileChange, Head, Number, Revision, differing_paths, merge,
    },
    template::{Parameter, ParameterKind, Template},
    workspace::{Limits, Workspace, key_digest},
};
use crate::id::{Artifact, DataCentreId, ModelName, ServiceName, WorkspaceId};

/// Declarations that were checked as a whole.
#[derive(Debug, Clone)]
pub struct Config {
    deployment: Deployment,
    workspaces: BTreeMap<WorkspaceId, Arc<Workspace>>,
    served: BTreeMap<ModelName, Served>,
    keys: HashMap<String, WorkspaceId>,
    regions: HashMap<DataCentreId, String>,
}

/// What stands behind a name that callers use for a model.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Served {
    /// The version of the model itself, or of the adapter.
    pub artifact: Artifact,
    /// The memory that the artifact takes on an engine, in MiB.
    pub size_mib: u64,
    /// For an adapter, the base model that has to be on the same engine.
    pub base: Option<Artifact>,
    /// How many engines should hold it at the least.
    pub min_replicas: u32,
}

impl Config {
    /// Checks files and makes the configuration that they declare.
    ///
    /// # Errors
    ///
    /// All faults that were found, each with file, line and mend.
    pub fn try_from_files(files: &Files) -> Result<Self, Problems> {
        check::config(files)
    }

    /// Returns the deployment.
    pub fn deployment(&self) -> &Deployment {
        &self.deployment
    }

    /// Returns the workspaces by name.
    pub fn workspaces(&self) -> &BTreeMap<WorkspaceId, Arc<Workspace>> {
        &self.workspaces
    }

    /// Returns the workspace that a caller's key belongs to.
    pub fn workspace_of_key(&self, key: &str) -> Option<&Arc<Workspace>> {
        let name = self.keys.get(&key_digest(key))?;
        self.workspaces.get(name)
    }

    /// Returns every model and adapter that some workspace uses.
    ///
    /// The base of a used adapter is among them.
    pub fn served(&self) -> &BTreeMap<ModelName, Served> {
        &self.served
    }

    /// Returns a plain service by name.
    pub fn service(&self, name: &ServiceName) -> Option<&Service> {
        self.deployment.service.iter().find(|s| s.name == *name)
    }

    /// Returns the region of a data centre, or `""` if it has none.
    pub fn region(&self, data_centre: &DataCentreId) -> &str {
        self.regions.get(data_centre).map_or("", String::as_str)
    }

    /// Returns the one-way distance between two data centres, in ms.
    pub fn distance_ms(&self, from: &DataCentreId, to: &DataCentreId) -> f64 {
        let distances = &self.deployment.distance;
        if from == to {
            distances.within_data_centre_ms
        } else if self.region(from) == self.region(to) {
            distances.within_region_ms
        } else {
            distances.between_regions_ms
        }
    }
}
