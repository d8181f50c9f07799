//! Other instances: heartbeats, what they ask for, and grants.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
};

use valehold_core::{
    Millis,
    chart::library::InstanceState,
    config::Revision,
    demand,
    directory::Entry,
    id::{Artifact, InstanceId, WorkspaceId},
    limit::HeldGrant,
    placement::ModelDemand,
    rendezvous,
};
use valehold_ports::port::{Listed, ListedKind};

use super::{Context, Input};
use crate::{
    Error,
    peer::{Ask, Heartbeat, HeartbeatReply, Link, Reply},
};

/// How often a heartbeat goes to each chosen peer.
const HEARTBEAT_EVERY_MS: u64 = 500;

/// How often the holder of the placement lease is told the demand.
const DEMAND_EVERY_MS: u64 = 2_000;

/// To how many peers heartbeats go. Up to so many instances all know each
/// other; beyond that each is watched by so many, see `docs/CAPACITY.md`.
const HEARTBEAT_PEERS: usize = 16;

/// After how long without a heartbeat a peer is left out of the directory.
const SILENT_MS: u64 = 3_000;

/// Within what window a workspace's requests are counted.
const ASKED_WINDOW_MS: f64 = 2_000.0;

/// A newer revision that a peer has.
pub(super) struct Newest {
    pub(super) number: u64,
    address: SocketAddr,
    link: Link,
}

impl Newest {
    /// Asks the peer for its revision if it is newer than `after`.
    pub(super) async fn ask(&self, after: u64) -> Option<Revision> {
        let ask = Ask::RevisionAfter(after);
        match self.link.ask(self.address, &ask).await {
            Ok(Reply::Revision(revision)) => revision,
            Ok(Reply::Heartbeat(_)) => None,
            Err(error) => {
                log::warn!("a peer's revision was not read: {error}");
                None
            }
        }
    }
}

/// What a peer said last.
#[derive(Debug)]
struct PeerInfo {
    at: Millis,
    entry: Option<Entry>,
    life: InstanceState,
    revision: u64,
    demand: BTreeMap<Artifact, ModelDemand>,
    asked: BTreeMap<WorkspaceId, f64>,
}

/// The other instances.
pub(super) struct Peers {
    link: Link,
    addresses: BTreeMap<InstanceId, SocketAddr>,
    heard: BTreeMap<InstanceId, PeerInfo>,
    heartbeat_at: Option<Millis>,
    told_demand: Option<Millis>,
    grants: HashMap<WorkspaceId, HeldGrant>,
    asked: BTreeMap<WorkspaceId, f64>,
    asked_at: Millis,
}

impl Peers {
    pub(super) fn new(link: Link) -> Self {
        Self {
            link,
            addresses: BTreeMap::new(),
            heard: BTreeMap::new(),
            heartbeat_at: None,
            told_demand: None,
            grants: HashMap::new(),
            asked: BTreeMap::new(),
            asked_at: Millis::default(),
        }
    }

    /// Takes in the platform's list.
    pub(super) fn listed(&mut self, list: &[Listed], own: &InstanceId) {
        let peers = list
            .iter()
            .filter(|l| l.kind == ListedKind::Instance)
            .filter(|l| l.name != own.as_str());
        for listed in peers {
            if let Some(address) = listed.peer_address {
                let id = InstanceId::new(&listed.name);
                self.addresses.insert(id, address);
            }
        }
        // An instance that the list lacks is kept while it is still heard.
        let names: Vec<&str> = list.iter().map(|l| l.name.as_str()).collect();
        let heard = &self.heard;
        self.addresses.retain(|id, _| {
            names.contains(&id.as_str()) || heard.contains_key(id)
        });
    }

    pub(super) fn tick(
        &mut self,
        context: &Context,
        now: Millis,
        heartbeat: Heartbeat,
        holder: Option<InstanceId>,
        demand: impl FnOnce() -> BTreeMap<Artifact, ModelDemand>,
    ) {
        self.heard.retain(|_, heard| now.since(heard.at) < SILENT_MS * 4);
        self.fade_asked(now);
        let due = self
            .heartbeat_at
            .is_none_or(|at| now.since(at) >= HEARTBEAT_EVERY_MS);
        if !due {
            return;
        }
        let mut for_holder = heartbeat.clone();
        for_holder.asked = self.asked.clone().into_iter().collect();
        let told =
            self.told_demand.is_some_and(|at| now.since(at) < DEMAND_EVERY_MS);
        if !told {
            self.told_demand = Some(now);
            for_holder.demand = Some(demand().into_iter().collect());
        }
        let for_holder = holder.map(|holder| (holder, for_holder));
        self.send_heartbeats(context, now, heartbeat, for_holder);
    }

    /// Sends a heartbeat to each chosen peer, and another to the holder of
    /// the placement lease.
    pub(super) fn send_heartbeats(
        &mut self,
        context: &Context,
        now: Millis,
        heartbeat: Heartbeat,
        for_holder: Option<(InstanceId, Heartbeat)>,
    ) {
        self.heartbeat_at = Some(now);
        let own = heartbeat.entry.instance.clone();
        let names: Vec<String> =
            self.addresses.keys().map(ToString::to_string).collect();
        let chosen = rendezvous::owners(own.as_str(), &names, HEARTBEAT_PEERS);
        let mut chosen: Vec<&str> =
            chosen.into_iter().map(String::as_str).collect();
        let holder = for_holder.as_ref().map(|(holder, _)| holder.as_str());
        chosen.extend(holder.filter(|holder| !chosen.contains(holder)));
        for name in chosen {
            let Some(address) = self.addresses.get(name) else {
                continue;
            };
            let (link, address) = (self.link.clone(), *address);
            let beat = match &for_holder {
                Some((holder, beat)) if holder.as_str() == name => beat,
                _ => &heartbeat,
            };
            let ask = Ask::Heartbeat(beat.clone());
            context.start(async move {
                let result = link.ask(address, &ask).await;
                Input::Peer { asked: now, result }
            });
        }
    }

    /// Takes in the answer to a heartbeat; returns what is newer there.
    pub(super) fn reply_received(
        &mut self,
        asked: Millis,
        result: Result<Reply, Error>,
        now: Millis,
    ) -> Option<Newest> {
        let reply = match result {
            Ok(Reply::Heartbeat(reply)) => reply,
            Ok(Reply::Revision(_)) => return None,
            Err(error) => {
                log::debug!("a heartbeat was lost: {error}");
                return None;
            }
        };
        let HeartbeatReply { instance, life, revision, grants } = reply;
        let heard = self.heard.entry(instance.clone()).or_insert(PeerInfo {
            at: now,
            entry: None,
            life,
            revision,
            demand: BTreeMap::new(),
            asked: BTreeMap::new(),
        });
        heard.at = now;
        heard.life = life;
        heard.revision = revision;
        for (workspace, grant) in grants {
            let held = self.grants.entry(workspace).or_default();
            held.receive(grant, asked);
        }
        let address = *self.addresses.get(&instance)?;
        let link = self.link.clone();
        Some(Newest { number: revision, address, link })
    }

    /// Takes in a peer's heartbeat.
    pub(super) fn heartbeat_received(&mut self, beat: Heartbeat, now: Millis) {
        let id = beat.entry.instance.clone();
        let before = self.heard.remove(&id);
        let demand = match beat.demand {
            Some(demand) => demand.into_iter().collect(),
            None => before.map(|heard| heard.demand).unwrap_or_default(),
        };
        let heard = PeerInfo {
            at: now,
            entry: Some(beat.entry),
            life: beat.life,
            revision: beat.revision,
            demand,
            asked: beat.asked.into_iter().collect(),
        };
        self.heard.insert(id, heard);
    }

    /// Counts a request of a workspace, for the sharing of its limits.
    pub(super) fn note_asked(&mut self, workspace: Option<&WorkspaceId>) {
        if let Some(workspace) = workspace {
            *self.asked.entry(workspace.clone()).or_default() += 1.0;
        }
    }

    /// Returns what this instance's callers ask for lately.
    pub(super) fn asked(&self) -> &BTreeMap<WorkspaceId, f64> {
        &self.asked
    }

    /// Returns what each other instance's callers ask for of a workspace.
    pub(super) fn asked_of(
        &self,
        workspace: &WorkspaceId,
    ) -> BTreeMap<InstanceId, f64> {
        let asked = self.heard.iter().filter_map(|(id, heard)| {
            Some((id.clone(), *heard.asked.get(workspace)?))
        });
        asked.collect()
    }

    /// Takes in a grant that this instance gave itself.
    pub(super) fn receive_own(
        &mut self,
        workspace: WorkspaceId,
        grant: valehold_core::limit::Grant,
        now: Millis,
    ) {
        self.grants.entry(workspace).or_default().receive(grant, now);
    }

    /// Returns the grants that this instance holds.
    pub(super) fn grants(&self) -> &HashMap<WorkspaceId, HeldGrant> {
        &self.grants
    }

    /// Adds the others' demand to this instance's.
    pub(super) fn total_demand(
        &self,
        own: BTreeMap<Artifact, ModelDemand>,
        now: Millis,
    ) -> BTreeMap<Artifact, ModelDemand> {
        let mut total = own;
        for heard in self.heard.values() {
            if now.since(heard.at) < SILENT_MS {
                demand::add(&mut total, &heard.demand);
            }
        }
        total
    }

    /// Lists the other instances that callers can be sent to.
    pub(super) fn serving(&self, now: Millis) -> Vec<Entry> {
        let serving = self.heard.values().filter(|heard| {
            let heard_lately = now.since(heard.at) < SILENT_MS;
            heard_lately && heard.life == InstanceState::Serving
        });
        serving.filter_map(|heard| heard.entry.clone()).collect()
    }

    /// Returns the revision in force on each other instance.
    pub(super) fn revisions(&self) -> BTreeMap<InstanceId, u64> {
        let heard = self.heard.iter();
        heard.map(|(id, heard)| (id.clone(), heard.revision)).collect()
    }

    fn fade_asked(&mut self, now: Millis) {
        const LEAST_ASKED: f64 = 0.01;
        #[allow(clippy::cast_precision_loss)]
        let elapsed_ms = now.since(self.asked_at) as f64;
        self.asked_at = now;
        let kept = (-elapsed_ms / ASKED_WINDOW_MS).exp();
        for asked in self.asked.values_mut() {
            *asked *= kept;
        }
        self.asked.retain(|_, asked| *asked >= LEAST_ASKED);
    }
}
