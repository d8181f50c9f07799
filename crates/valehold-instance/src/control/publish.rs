//! Publishing snapshots, and answering peers from the control state.

use valehold_core::{
    chart::library::InstanceState, directory::Entry, id::WorkspaceId,
    limit::Grant,
};

use super::Control;
use crate::{
    peer::{Answerer, Ask, Heartbeat, HeartbeatReply, Reply},
    snapshot::Snapshot,
};

impl Control {
    /// Publishes the control state as it is now.
    pub(super) fn publish(&mut self) {
        let now = self.context.now();
        let shared = &self.context.shared;
        let mut revisions = self.peers.revisions();
        let own = shared.settings.instance.clone();
        revisions.insert(own, self.config.number());
        let mut directory = self.peers.serving(now);
        if self.life == InstanceState::Serving {
            directory.push(self.entry());
        }
        let snapshot = Snapshot {
            config: self.config.current().map(|(config, _)| config.clone()),
            revision: self.config.number(),
            life: self.life,
            engines: self.upstreams.engine_routes(now),
            services: self.upstreams.service_routes(now),
            directory,
            grants: self.peers.grants().clone(),
            holder: self.cell.holder(now),
            revisions,
            store_read: self.store_read,
        };
        shared.metrics.revision(snapshot.revision);
        shared.metrics.holds_cell(self.cell.is_held(now));
        if let Some(read) = self.store_read {
            #[allow(clippy::cast_precision_loss)]
            let age_s = now.since(read) as f64 / 1_000.0;
            shared.metrics.knowledge_age(age_s);
        }
        shared.snapshot.store(snapshot.into());
    }

    /// Makes this instance's heartbeat, as all but the holder get it.
    pub(super) fn heartbeat(&self) -> Heartbeat {
        Heartbeat {
            entry: self.entry(),
            life: self.life,
            revision: self.config.number(),
            in_flight: self.context.shared.in_flight(),
            demand: None,
            asked: Vec::new(),
        }
    }

    /// Answers a peer.
    pub(super) fn answer(&mut self, question: Answerer) {
        let now = self.context.now();
        let reply = match question.ask {
            Ask::RevisionAfter(number) => {
                Reply::Revision(self.config.newer_than(number))
            }
            Ask::Heartbeat(beat) => {
                let id = beat.entry.instance.clone();
                let asked: Vec<WorkspaceId> =
                    beat.asked.iter().map(|(w, _)| w.clone()).collect();
                self.peers.heartbeat_received(beat, now);
                let grants = self.grant(&id, asked);
                Reply::Heartbeat(HeartbeatReply {
                    instance: self.context.shared.settings.instance.clone(),
                    life: self.life,
                    revision: self.config.number(),
                    grants,
                })
            }
        };
        // The peer may have stopped waiting.
        let _ = question.reply.send(reply);
    }

    /// Grants an instance its part of each workspace's limits, if this one
    /// holds the lease.
    fn grant(
        &mut self,
        instance: &valehold_core::id::InstanceId,
        workspaces: Vec<WorkspaceId>,
    ) -> Vec<(WorkspaceId, Grant)> {
        let now = self.context.now();
        let own = self.context.shared.settings.instance.clone();
        let Some(grantor) = self.cell.grantor(now) else {
            return Vec::new();
        };
        let mut grants = Vec::new();
        for workspace in workspaces {
            let mut demand = self.peers.asked_of(&workspace);
            if let Some(asked) = self.peers.asked().get(&workspace) {
                demand.insert(own.clone(), *asked);
            }
            let grant = grantor.grant(&workspace, instance, &demand, now);
            grants.push((workspace, grant));
        }
        grants
    }

    /// Grants this instance its own part, if it holds the lease.
    pub(super) fn grant_own(&mut self) {
        let now = self.context.now();
        let own = self.context.shared.settings.instance.clone();
        let asked = self.peers.asked().keys().cloned().collect();
        for (workspace, grant) in self.grant(&own, asked) {
            self.peers.receive_own(workspace, grant, now);
        }
    }

    fn entry(&self) -> Entry {
        let settings = &self.context.shared.settings;
        Entry {
            instance: settings.instance.clone(),
            address: settings.callers.listen,
            data_centre: settings.data_centre.clone(),
        }
    }
}
