//! Fake engines and the weight store before them.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap, VecDeque},
};

use valehold_core::{
    Millis,
    account::{Reported, ReportedArtifact, ResidencyReport},
    config::{Config, Served},
    id::{Artifact, DataCentreId, UpstreamId},
    order::{Order, Stamp, Wanted},
};

/// The time between two tokens of an answer, in ms.
pub(super) const TOKEN_MS: u64 = 20;

/// How much of a model an engine loads in a second, in MiB.
const LOADED_MIB_PER_S: u64 = 2_048;

/// How many different prefixes an engine's cache holds.
const CACHED_PREFIXES: usize = 24;

/// A request as an engine sees it.
#[derive(Debug, Clone, Copy)]
pub(super) struct Work {
    pub(super) prompt_tokens: u64,
    /// The leading tokens that other prompts share, and which they are.
    pub(super) shared_tokens: u64,
    pub(super) prefix: u32,
    pub(super) answer_tokens: u64,
}

/// When an engine's answer begins and ends.
#[derive(Debug, Clone, Copy)]
pub(super) struct Timing {
    pub(super) first_token: Millis,
    pub(super) end: Millis,
}

#[derive(Debug, Clone, Copy)]
struct Accepted {
    arrived: Millis,
    prompt_tokens: u64,
    timing: Timing,
}

#[derive(Debug)]
struct Held {
    size_mib: u64,
    ready: Millis,
    last_used: Millis,
}

/// One fake engine. Requests are taken in the order in which they arrive.
#[derive(Debug)]
pub(super) struct FakeEngine {
    pub(super) id: UpstreamId,
    pub(super) data_centre: DataCentreId,
    pub(super) usable_mib: u64,
    pub(super) slots: u32,
    pub(super) prefill_per_s: f64,
    pub(super) alive: bool,
    slot_ends: BinaryHeap<Reverse<Millis>>,
    reads_until: Millis,
    accepted: VecDeque<Accepted>,
    prefixes: VecDeque<u32>,
    held: BTreeMap<Artifact, Held>,
    fences: BTreeMap<Artifact, Stamp>,
    pub(super) overcommitted: bool,
}

/// All engines, and the weight store.
#[derive(Debug)]
pub(super) struct Fleet {
    pub(super) engines: Vec<FakeEngine>,
    /// How many times slower than at full speed the weight store is.
    pub(super) slowness: u64,
    loads_at_once: usize,
    loads: Vec<Millis>,
    /// Loads and unloads that were begun.
    pub(super) moves: u64,
}

impl FakeEngine {
    /// Takes a request that arrives at `now`.
    pub(super) fn take(&mut self, work: Work, now: Millis) -> Timing {
        let slot = match self.slot_ends.len() < self.slots as usize {
            true => now,
            false => self.slot_ends.pop().map_or(now, |Reverse(end)| end),
        };
        let start = now.max(slot).max(self.reads_until);
        let uncached = match self.use_prefix(work.prefix) {
            true => work.prompt_tokens - work.shared_tokens,
            false => work.prompt_tokens,
        };
        let first_token = start + self.read_ms(uncached);
        self.reads_until = first_token;
        let end = first_token + work.answer_tokens * TOKEN_MS;
        self.slot_ends.push(Reverse(end));
        let timing = Timing { first_token, end };
        let prompt_tokens = work.prompt_tokens;
        self.accepted.push_back(Accepted {
            arrived: now,
            prompt_tokens,
            timing,
        });
        timing
    }

    /// Returns when a request's answer would begin if it arrived at `now`.
    pub(super) fn would_begin(&self, work: Work, now: Millis) -> Millis {
        let slot = match self.slot_ends.len() < self.slots as usize {
            true => now,
            false => self.slot_ends.peek().map_or(now, |Reverse(end)| *end),
        };
        let start = now.max(slot).max(self.reads_until);
        let uncached = match self.prefixes.contains(&work.prefix) {
            true => work.prompt_tokens - work.shared_tokens,
            false => work.prompt_tokens,
        };
        start + self.read_ms(uncached)
    }

    /// Notes that a model is used.
    pub(super) fn touch(&mut self, artifact: &Artifact, now: Millis) {
        if let Some(held) = self.held.get_mut(artifact) {
            held.last_used = now;
        }
    }

    /// Returns requests running and prompt tokens waiting at a time.
    pub(super) fn load_at(&self, at: Millis) -> (u32, u64) {
        let seen = self.accepted.iter().filter(|a| a.arrived <= at);
        seen.fold((0, 0), |(running, waiting), a| {
            let runs = u32::from(at < a.timing.end);
            let waits = match at < a.timing.first_token {
                true => a.prompt_tokens,
                false => 0,
            };
            (running + runs, waiting + waits)
        })
    }

    /// Forgets requests that ended long before `now`.
    pub(super) fn forget(&mut self, now: Millis) {
        const KEEP_MS: u64 = 20_000;
        let old = |a: &Accepted| a.timing.end + KEEP_MS < now;
        while self.accepted.front().is_some_and(old) {
            self.accepted.pop_front();
        }
    }

    pub(super) fn is_resident(&self, artifact: &Artifact, at: Millis) -> bool {
        let held = self.held.get(artifact);
        self.alive && held.is_some_and(|held| held.ready <= at)
    }

    /// Returns when a model that is there or on its way is ready.
    pub(super) fn ready_at(&self, artifact: &Artifact) -> Option<Millis> {
        self.held.get(artifact).map(|held| held.ready)
    }

    pub(super) fn taken_mib(&self) -> u64 {
        self.held.values().map(|held| held.size_mib).sum()
    }

    /// Returns what was least recently used of what is ready.
    pub(super) fn least_recent(&self, now: Millis) -> Option<Artifact> {
        let ready = self.held.iter().filter(|(_, held)| held.ready <= now);
        let oldest = ready.min_by_key(|(_, held)| held.last_used);
        oldest.map(|(artifact, _)| artifact.clone())
    }

    pub(super) fn report(&self, now: Millis) -> ResidencyReport {
        let artifacts = self.held.iter().map(|(artifact, held)| {
            let state = match held.ready <= now {
                true => Reported::Resident,
                false => Reported::Loading,
            };
            let (artifact, size_mib) = (artifact.clone(), held.size_mib);
            ReportedArtifact { artifact, size_mib, state }
        });
        let fences = self.fences.iter().map(|(a, s)| (a.clone(), *s));
        ResidencyReport {
            artifacts: artifacts.collect(),
            fences: fences.collect(),
        }
    }

    /// Loses everything, as a new process has nothing.
    pub(super) fn lose(&mut self) {
        self.alive = false;
        self.held.clear();
        self.prefixes.clear();
    }

    #[allow(
        clippy::cast_precision_loss,
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss
    )]
    fn read_ms(&self, tokens: u64) -> u64 {
        (tokens as f64 / self.prefill_per_s * 1_000.0).ceil() as u64
    }

    /// Uses a prefix of the cache; returns whether it was there.
    fn use_prefix(&mut self, prefix: u32) -> bool {
        let found = self.prefixes.iter().position(|p| *p == prefix);
        if let Some(index) = found {
            self.prefixes.remove(index);
        }
        self.prefixes.push_back(prefix);
        if self.prefixes.len() > CACHED_PREFIXES {
            self.prefixes.pop_front();
        }
        found.is_some()
    }
}

impl Fleet {
    /// Makes the engines that a configuration declares.
    pub(super) fn new(config: &Config) -> Self {
        let engines = config.deployment().engine.iter();
        let engines = engines.map(|engine| FakeEngine {
            id: engine.name.clone(),
            data_centre: engine.data_centre.clone(),
            usable_mib: engine.usable_mib(),
            slots: engine.slots,
            prefill_per_s: engine.prefill_tokens_per_second,
            alive: true,
            slot_ends: BinaryHeap::new(),
            reads_until: Millis::default(),
            accepted: VecDeque::new(),
            prefixes: VecDeque::new(),
            held: BTreeMap::new(),
            fences: BTreeMap::new(),
            overcommitted: false,
        });
        let store = config.deployment().weight_store;
        Self {
            engines: engines.collect(),
            slowness: 1,
            loads_at_once: store.loads_at_once as usize,
            loads: Vec::new(),
            moves: 0,
        }
    }

    /// Puts a model on an engine without any move, before a run.
    pub(super) fn place(&mut self, index: usize, served: &Served) {
        let engine = &mut self.engines[index];
        let held = Held {
            size_mib: served.size_mib,
            ready: Millis::default(),
            last_used: Millis::default(),
        };
        engine.held.insert(served.artifact.clone(), held);
    }

    /// Lets an engine obey an order.
    pub(super) fn obey(&mut self, index: usize, order: &Order, now: Millis) {
        let engine = &mut self.engines[index];
        engine.fences.insert(order.artifact.clone(), order.stamp);
        match order.wanted {
            Wanted::Resident => {
                self.load(index, &order.artifact, order.size_mib, now);
            }
            Wanted::Absent => self.unload(index, &order.artifact),
        }
    }

    /// Begins a load; returns when it will be ready.
    pub(super) fn load(
        &mut self,
        index: usize,
        artifact: &Artifact,
        size_mib: u64,
        now: Millis,
    ) -> Millis {
        if let Some(ready) = self.engines[index].ready_at(artifact) {
            return ready;
        }
        let began = self.store_turn(now);
        let load_ms = size_mib * 1_000 / LOADED_MIB_PER_S * self.slowness;
        let ready = began + load_ms;
        self.loads.push(ready);
        self.moves += 1;
        let engine = &mut self.engines[index];
        let held = Held { size_mib, ready, last_used: now };
        engine.held.insert(artifact.clone(), held);
        engine.overcommitted |= engine.taken_mib() > engine.usable_mib;
        ready
    }

    pub(super) fn unload(&mut self, index: usize, artifact: &Artifact) {
        if self.engines[index].held.remove(artifact).is_some() {
            self.moves += 1;
        }
    }

    /// Returns when the weight store has room for one more load.
    fn store_turn(&mut self, now: Millis) -> Millis {
        self.loads.retain(|ready| *ready > now);
        if self.loads.len() < self.loads_at_once {
            return now;
        }
        let mut ends = self.loads.clone();
        ends.sort_unstable();
        ends[ends.len() - self.loads_at_once]
    }
}
