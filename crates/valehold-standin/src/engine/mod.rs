//! A model engine.

mod generate;
mod memory;

use std::{
    collections::BTreeMap,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use tokio::sync::Semaphore;
use valehold_core::{
    id::{Artifact, RequestId},
    order::Order,
    prefix::{block_hashes, prompt_text},
};
use valehold_ports::port::{
    CacheEvent, CacheEvents, EngineStatus, GenerateRequest,
};
use viz::{IntoResponse, Request, RequestExt, Response, Router, StatusCode};

use self::memory::Memory;
use crate::{
    fault::{Faults, answer, not_run},
    server::{Running, json},
};

/// What an engine's stand-in is like.
#[derive(Debug, Clone)]
pub struct EngineSettings {
    /// Its memory for weights, in MiB.
    pub usable_mib: u64,
    /// Whether it refuses orders older than those it has seen.
    pub checks_fences: bool,
    /// How many requests it decodes at once.
    pub slots: usize,
    /// How many prompt tokens it reads in a second.
    pub prefill_tokens_per_second: f64,
    /// The time between two tokens.
    pub token_time: Duration,
    /// The time that a load takes.
    pub load_time: Duration,
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self {
            usable_mib: 70_000,
            checks_fences: true,
            slots: 16,
            prefill_tokens_per_second: 8_000.0,
            token_time: Duration::from_millis(5),
            load_time: Duration::from_millis(200),
        }
    }
}

/// Faults in the frames of answers.
#[derive(Debug, Default)]
struct FrameFaults {
    /// Puts another request's frame into the next answers.
    cross: u32,
    /// Sends a frame of the next answers twice.
    repeat: u32,
    /// Leaves a frame of the next answers out.
    skip: u32,
    /// Breaks the next answers off after some frames.
    cut: u32,
}

#[derive(Debug, Default)]
struct Blocks {
    events: Vec<CacheEvent>,
    sequence: u64,
}

#[derive(Debug)]
struct Shared {
    settings: EngineSettings,
    boot: u64,
    leaving: AtomicBool,
    memory: Mutex<Memory>,
    slots: Arc<Semaphore>,
    running: Arc<Mutex<BTreeMap<Artifact, u32>>>,
    waiting_tokens: Arc<AtomicU64>,
    begun: Mutex<BTreeMap<RequestId, GenerateRequest>>,
    frame_faults: Mutex<FrameFaults>,
    blocks: Mutex<Blocks>,
}

/// A model engine's stand-in. Clones share its state.
#[derive(Debug, Clone)]
pub struct EngineStandin {
    shared: Arc<Shared>,
    /// The faults of requests.
    pub faults: Faults,
    /// The faults of orders.
    pub order_faults: Faults,
}

impl EngineStandin {
    /// Makes an engine that holds nothing.
    pub fn new(settings: EngineSettings) -> Self {
        let slots = Arc::new(Semaphore::new(settings.slots));
        let memory = Memory::new(&settings);
        let shared = Shared {
            settings,
            boot: rand::random(),
            leaving: AtomicBool::new(false),
            memory: Mutex::new(memory),
            slots,
            running: Arc::default(),
            waiting_tokens: Arc::default(),
            begun: Mutex::default(),
            frame_faults: Mutex::default(),
            blocks: Mutex::default(),
        };
        Self {
            shared: Arc::new(shared),
            faults: Faults::default(),
            order_faults: Faults::default(),
        }
    }

    /// Serves it on loopback.
    ///
    /// # Errors
    ///
    /// If no port can be had.
    pub async fn serve(&self) -> std::io::Result<Running> {
        Running::start(self.router()).await
    }

    /// Says from now on that it leaves.
    pub fn leave(&self) {
        self.shared.leaving.store(true, Ordering::Relaxed);
    }

    /// Tells whether its memory was ever overcommitted.
    pub fn was_overcommitted(&self) -> bool {
        lock(&self.shared.memory).was_overcommitted()
    }

    /// Returns how many loads it has begun.
    pub fn loads(&self) -> u64 {
        lock(&self.shared.memory).loads()
    }

    /// Returns how many requests it has begun.
    pub fn requests(&self) -> usize {
        lock(&self.shared.begun).len()
    }

    /// Returns how many requests it is working on.
    pub fn running(&self) -> u32 {
        lock(&self.shared.running).values().sum()
    }

    /// Puts another request's frame into the next answers.
    pub fn cross_next(&self, count: u32) {
        lock(&self.shared.frame_faults).cross = count;
    }

    /// Sends a frame of the next answers twice.
    pub fn repeat_next(&self, count: u32) {
        lock(&self.shared.frame_faults).repeat = count;
    }

    /// Leaves a frame of the next answers out.
    pub fn skip_next(&self, count: u32) {
        lock(&self.shared.frame_faults).skip = count;
    }

    /// Breaks the next answers off after some frames.
    pub fn cut_next(&self, count: u32) {
        lock(&self.shared.frame_faults).cut = count;
    }

    fn status(&self) -> EngineStatus {
        let running = lock(&self.shared.running);
        EngineStatus {
            boot: self.shared.boot,
            leaving: self.shared.leaving.load(Ordering::Relaxed),
            running: running.values().sum(),
            waiting_tokens: self.shared.waiting_tokens.load(Ordering::Relaxed),
            residency: lock(&self.shared.memory).report(&running),
        }
    }

    fn obey(&self, order: &Order) -> Response {
        let running = lock(&self.shared.running);
        match lock(&self.shared.memory).obey(order, &running) {
            true => answer(StatusCode::OK, "obeyed"),
            false => answer(StatusCode::CONFLICT, "an older order"),
        }
    }

    fn begin(&self, request: GenerateRequest) -> Response {
        if self.shared.leaving.load(Ordering::Relaxed) {
            return not_run(StatusCode::SERVICE_UNAVAILABLE, "leaving");
        }
        let holds = {
            let running = lock(&self.shared.running);
            let mut memory = lock(&self.shared.memory);
            memory.is_resident(&request.artifact, &running)
                && request
                    .base
                    .as_ref()
                    .is_none_or(|base| memory.is_resident(base, &running))
        };
        if !holds {
            return not_run(StatusCode::CONFLICT, "model not resident");
        }
        self.note_blocks(&request);
        let id = request.request.clone();
        lock(&self.shared.begun).insert(id, request.clone());
        self.stream(&request, 0)
    }

    fn go_on(&self, id: &RequestId, from: u64) -> Response {
        let begun = lock(&self.shared.begun).get(id).cloned();
        match begun {
            Some(request) => self.stream(&request, from),
            None => answer(StatusCode::NOT_FOUND, "no such request"),
        }
    }

    fn note_blocks(&self, request: &GenerateRequest) {
        let prompt = prompt_text(&request.body);
        let stored = block_hashes(prompt.as_bytes());
        let mut blocks = lock(&self.shared.blocks);
        blocks.sequence += 1;
        let sequence = blocks.sequence;
        blocks.events.push(CacheEvent { sequence, stored });
    }

    fn events_after(&self, after: u64) -> CacheEvents {
        let blocks = lock(&self.shared.blocks);
        let newer = blocks.events.iter().filter(|e| e.sequence > after);
        CacheEvents { events: newer.cloned().collect() }
    }

    fn router(&self) -> Router {
        let this = || self.clone();
        let (status, orders, generate) = (this(), this(), this());
        let (resume, events) = (this(), this());
        Router::new()
            .get("/status", move |_: Request| {
                let this = status.clone();
                async move {
                    let faults = this.faults.clone();
                    let answer = async { json(&this.status()) };
                    viz::Result::Ok(faults.around(answer).await)
                }
            })
            .post("/orders", move |request| {
                let this = orders.clone();
                async move {
                    let faults = this.order_faults.clone();
                    let answer = take_order(this, request);
                    viz::Result::Ok(faults.around(answer).await)
                }
            })
            .post("/generate", move |request| {
                let this = generate.clone();
                async move {
                    let faults = this.faults.clone();
                    let answer = take_request(this, request);
                    viz::Result::Ok(faults.around(answer).await)
                }
            })
            .get("/generate/:id", move |request: Request| {
                let this = resume.clone();
                async move {
                    let id = request.param::<String>("id").unwrap_or_default();
                    let from = number_in(&request, "from=");
                    let faults = this.faults.clone();
                    let id = RequestId::new(id);
                    let answer = async { this.go_on(&id, from) };
                    viz::Result::Ok(faults.around(answer).await)
                }
            })
            .get("/cache-events", move |request: Request| {
                let this = events.clone();
                let after = number_in(&request, "after=");
                async move { viz::Result::Ok(json(&this.events_after(after))) }
            })
    }
}

async fn take_order(engine: EngineStandin, mut request: Request) -> Response {
    match request.json::<Order>().await {
        Ok(order) => engine.obey(&order),
        Err(error) => error.into_response(),
    }
}

async fn take_request(
    engine: EngineStandin,
    mut request: Request,
) -> Response {
    match request.json::<GenerateRequest>().await {
        Ok(request) => engine.begin(request),
        Err(error) => error.into_response(),
    }
}

fn number_in(request: &Request, name: &str) -> u64 {
    let query = request.query_string().unwrap_or_default();
    query.strip_prefix(name).and_then(|n| n.parse().ok()).unwrap_or(0)
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
