//! What an engine's memory holds, and how it obeys orders.

use std::{collections::BTreeMap, time::Duration};

use tokio::time::Instant;
use valehold_core::{
    account::{Reported, ReportedArtifact, ResidencyReport},
    id::Artifact,
    order::{Order, Stamp, Wanted},
};

use super::EngineSettings;

#[derive(Debug)]
struct Held {
    size_mib: u64,
    state: Reported,
    ready: Instant,
}

/// An engine's memory.
#[derive(Debug)]
pub(super) struct Memory {
    usable_mib: u64,
    checks_fences: bool,
    load_time: Duration,
    held: BTreeMap<Artifact, Held>,
    fences: BTreeMap<Artifact, Stamp>,
    epoch: u64,
    overcommitted: bool,
    loads: u64,
}

impl Memory {
    pub(super) fn new(settings: &EngineSettings) -> Self {
        Self {
            usable_mib: settings.usable_mib,
            checks_fences: settings.checks_fences,
            load_time: settings.load_time,
            held: BTreeMap::new(),
            fences: BTreeMap::new(),
            epoch: 0,
            overcommitted: false,
            loads: 0,
        }
    }

    pub(super) fn was_overcommitted(&self) -> bool {
        self.overcommitted
    }

    pub(super) fn loads(&self) -> u64 {
        self.loads
    }

    /// Obeys an order; returns whether it was not refused as too old.
    pub(super) fn obey(
        &mut self,
        order: &Order,
        running: &BTreeMap<Artifact, u32>,
    ) -> bool {
        self.settle(running);
        if self.checks_fences && !self.passes_fence(order) {
            return false;
        }
        match order.wanted {
            Wanted::Resident => self.load(order),
            Wanted::Absent => self.unload(order, running),
        }
        true
    }

    pub(super) fn is_resident(
        &mut self,
        artifact: &Artifact,
        running: &BTreeMap<Artifact, u32>,
    ) -> bool {
        self.settle(running);
        let held = self.held.get(artifact);
        held.is_some_and(|held| held.state == Reported::Resident)
    }

    pub(super) fn report(
        &mut self,
        running: &BTreeMap<Artifact, u32>,
    ) -> ResidencyReport {
        self.settle(running);
        let artifacts = self
            .held
            .iter()
            .map(|(artifact, held)| ReportedArtifact {
                artifact: artifact.clone(),
                size_mib: held.size_mib,
                state: held.state,
            })
            .collect();
        let fences = self.fences.iter().map(|(a, s)| (a.clone(), *s));
        ResidencyReport { artifacts, fences: fences.collect() }
    }

    fn passes_fence(&mut self, order: &Order) -> bool {
        let fence = self.fences.get(&order.artifact).copied();
        let is_old = fence.is_some_and(|fence| order.stamp < fence);
        if is_old || order.stamp.epoch < self.epoch {
            return false;
        }
        self.epoch = order.stamp.epoch;
        self.fences.insert(order.artifact.clone(), order.stamp);
        true
    }

    fn load(&mut self, order: &Order) {
        if let Some(held) = self.held.get_mut(&order.artifact) {
            if held.state == Reported::Unloading {
                held.state = Reported::Resident;
            }
            return;
        }
        let held = Held {
            size_mib: order.size_mib,
            state: Reported::Loading,
            ready: Instant::now() + self.load_time,
        };
        self.held.insert(order.artifact.clone(), held);
        self.loads += 1;
        let taken: u64 = self.held.values().map(|held| held.size_mib).sum();
        if taken > self.usable_mib {
            self.overcommitted = true;
        }
    }

    fn unload(&mut self, order: &Order, running: &BTreeMap<Artifact, u32>) {
        if let Some(held) = self.held.get_mut(&order.artifact) {
            held.state = Reported::Unloading;
        }
        self.settle(running);
    }

    /// Lets loads end, and unloads whose last request has ended.
    fn settle(&mut self, running: &BTreeMap<Artifact, u32>) {
        let now = Instant::now();
        for held in self.held.values_mut() {
            if held.state == Reported::Loading && held.ready <= now {
                held.state = Reported::Resident;
            }
        }
        self.held.retain(|artifact, held| {
            let busy = running.get(artifact).copied().unwrap_or(0) > 0;
            held.state != Reported::Unloading || busy
        });
    }
}
