//! What this instance sent to each engine and has not seen the end of.

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
};

use valehold_core::{Millis, id::UpstreamId};

#[derive(Debug, Clone, Copy)]
struct Sent {
    at: Millis,
    prompt_tokens: u64,
    /// Whether its prompt is still to be read.
    waiting: bool,
}

#[derive(Debug, Default)]
struct Engines {
    sent: HashMap<UpstreamId, HashMap<u64, Sent>>,
    /// A mean of how long requests kept a slot, in ms.
    service_ms: HashMap<UpstreamId, f64>,
}

/// Work that an engine's last report cannot know of.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(super) struct Unreported {
    pub(super) running: u32,
    pub(super) waiting_tokens: u64,
}

/// Requests under way, by engine. Clones share them.
#[derive(Debug, Clone, Default)]
pub(super) struct Outstanding {
    engines: Arc<Mutex<Engines>>,
    next: Arc<AtomicU64>,
}

/// A request that is under way until it is dropped.
#[derive(Debug)]
pub(super) struct UnderWay {
    outstanding: Outstanding,
    engine: UpstreamId,
    number: u64,
}

/// How long a request is taken to keep a slot before any ended, in ms.
const FIRST_SERVICE_MS: f64 = 2_000.0;

/// How much a new time moves the mean.
const SERVICE_WEIGHT: f64 = 0.05;

impl Outstanding {
    /// Notes that a request is sent.
    pub(super) fn send(
        &self,
        engine: &UpstreamId,
        prompt_tokens: u64,
        now: Millis,
    ) -> UnderWay {
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        let sent = Sent { at: now, prompt_tokens, waiting: true };
        let mut engines = self.lock();
        engines.sent.entry(engine.clone()).or_default().insert(number, sent);
        drop(engines);
        UnderWay { outstanding: self.clone(), engine: engine.clone(), number }
    }

    /// Returns what was sent to an engine since a report was asked for.
    pub(super) fn since(
        &self,
        engine: &UpstreamId,
        report: Millis,
    ) -> Unreported {
        let engines = self.lock();
        let Some(sent) = engines.sent.get(engine) else {
            return Unreported::default();
        };
        let newer = sent.values().filter(|sent| sent.at >= report);
        newer.fold(Unreported::default(), |sum, sent| Unreported {
            running: sum.running + 1,
            waiting_tokens: sum.waiting_tokens
                + if sent.waiting { sent.prompt_tokens } else { 0 },
        })
    }

    /// Returns how long a request keeps a slot of an engine, in ms.
    pub(super) fn service_ms(&self, engine: &UpstreamId) -> f64 {
        let engines = self.lock();
        engines.service_ms.get(engine).copied().unwrap_or(FIRST_SERVICE_MS)
    }

    fn lock(&self) -> MutexGuard<'_, Engines> {
        // Each change is one insertion or removal, so the maps stay whole.
        self.engines.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl UnderWay {
    /// Notes that the answer has begun: the prompt was read.
    pub(super) fn prompt_read(&self) {
        let mut engines = self.outstanding.lock();
        let sent = engines.sent.get_mut(&self.engine);
        if let Some(sent) = sent.and_then(|s| s.get_mut(&self.number)) {
            sent.waiting = false;
        }
    }

    /// Notes that the request kept a slot for so long.
    pub(super) fn served(&self, service_ms: f64) {
        let mut engines = self.outstanding.lock();
        let engine = self.engine.clone();
        let mean =
            engines.service_ms.entry(engine).or_insert(FIRST_SERVICE_MS);
        *mean += SERVICE_WEIGHT * (service_ms - *mean);
    }
}

impl Drop for UnderWay {
    fn drop(&mut self) {
        let mut engines = self.outstanding.lock();
        if let Some(sent) = engines.sent.get_mut(&self.engine) {
            sent.remove(&self.number);
        }
    }
}
