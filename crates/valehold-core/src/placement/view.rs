//! What the planner knows of engines.

use std::collections::{BTreeMap, BTreeSet};

use crate::{
    account::EngineAccount,
    capacity::Capacity,
    config::{Engine, Served},
    id::{Artifact, DataCentreId, ModelName, UpstreamId},
};

/// What the planner knows of one engine.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineView {
    /// The engine.
    pub engine: UpstreamId,
    /// The data centre that it stands in.
    pub data_centre: DataCentreId,
    /// Memory that weights may take and no claim is on, in MiB.
    pub free_mib: u64,
    /// What it can do at once.
    pub capacity: Capacity,
    /// Whether it may be given new artifacts.
    pub takes_work: bool,
    /// The artifacts that requests can be sent to.
    pub reachable: BTreeSet<Artifact>,
    /// Everything with a claim on its memory, and the size of each.
    pub claimed: BTreeMap<Artifact, u64>,
    /// Claimed artifacts that were told to go.
    pub leaving: BTreeSet<Artifact>,
    /// Artifacts for which an order is unsettled; no other may be given.
    pub unsettled: BTreeSet<Artifact>,
}

impl EngineView {
    /// Makes the view of an engine from the claims on its memory.
    pub fn from_account(
        engine: &Engine,
        account: &EngineAccount,
        takes_work: bool,
    ) -> Self {
        let those = |is: fn(&EngineAccount, &Artifact) -> bool| {
            let claimed = account.claims().map(|(artifact, _)| artifact);
            claimed.filter(|a| is(account, a)).cloned().collect()
        };
        let claims = account.claims();
        Self {
            engine: engine.name.clone(),
            data_centre: engine.data_centre.clone(),
            free_mib: account.free_mib(),
            capacity: engine.capacity(),
            takes_work,
            reachable: those(EngineAccount::is_reachable),
            claimed: claims.map(|(a, size)| (a.clone(), size)).collect(),
            leaving: those(EngineAccount::is_leaving),
            unsettled: those(EngineAccount::is_unsettled),
        }
    }

    /// Makes the view of an engine that holds some artifacts and to which no
    /// order is on its way.
    pub fn at_rest(engine: &Engine, held: BTreeMap<Artifact, u64>) -> Self {
        let taken: u64 = held.values().sum();
        Self {
            engine: engine.name.clone(),
            data_centre: engine.data_centre.clone(),
            free_mib: engine.usable_mib().saturating_sub(taken),
            capacity: engine.capacity(),
            takes_work: true,
            reachable: held.keys().cloned().collect(),
            claimed: held,
            leaving: BTreeSet::new(),
            unsettled: BTreeSet::new(),
        }
    }

    pub(super) fn may_take(&self, size_mib: u64) -> bool {
        self.takes_work && self.free_mib >= size_mib
    }

    /// Tells whether it holds an artifact, or will when its load is done.
    pub(super) fn holds(&self, artifact: &Artifact) -> bool {
        self.claimed.contains_key(artifact) && !self.leaving.contains(artifact)
    }

    /// Tells whether requests for an artifact can be sent to it.
    ///
    /// An adapter needs its base, in the version in use, beside it.
    pub(super) fn serves(&self, served: &Served) -> bool {
        self.reachable.contains(&served.artifact)
            && served.base.as_ref().is_none_or(|b| self.reachable.contains(b))
    }

    /// Tells whether some version of a model or adapter can be asked here.
    pub(super) fn answers(&self, served: &Served) -> bool {
        let has = |name: &ModelName| {
            self.reachable.iter().any(|artifact| artifact.name == *name)
        };
        has(&served.artifact.name)
            && served.base.as_ref().is_none_or(|base| has(&base.name))
    }

    /// Tells whether it serves an artifact, or will when its loads are done.
    pub(super) fn will_serve(&self, served: &Served) -> bool {
        self.takes_work
            && self.holds(&served.artifact)
            && served.base.as_ref().is_none_or(|base| self.holds(base))
    }

    /// Tells whether an artifact will be reachable when its load is done.
    pub(super) fn expects(&self, artifact: &Artifact) -> bool {
        self.holds(artifact) && !self.reachable.contains(artifact)
    }
}
