//! One run of one policy.

use std::collections::BTreeMap;

use rand::{Rng, SeedableRng, rngs::StdRng};
use valehold_core::{
    Millis,
    account::EngineAccount,
    admission::{self, AdmissionSettings},
    config::{Config, Served, Weighing},
    demand::{DemandSettings, Estimator},
    id::{Artifact, UpstreamId},
    limit::TokenBucket,
    order::Stamp,
    placement::{Action, EngineView, Planner, StepKind, forecast},
    prefix::{BLOCK_BYTES, BYTES_PER_TOKEN, PrefixHints},
    routing::{self, Candidate, RoutingSettings},
};

use super::{
    baselines,
    fleet::{Fleet, TOKEN_MS, Timing, Work},
    policy::{INSTANCES, Policy},
    table::Figures,
    trace::{Request, Scenario, User, requests},
    world::World,
};

/// How often placement is planned and engines report their memory.
const TICK_MS: u64 = 500;

/// Runs a policy through a scenario.
pub fn run(
    user: User,
    scenario: Scenario,
    config: &Config,
    policy: Policy,
    seed: u64,
    length_s: u64,
) -> Figures {
    let length_ms = length_s * 1_000;
    let trace = requests(user, scenario, config, seed, length_ms, INSTANCES);
    let mut fleet = Fleet::new(config);
    fleet.slowness = scenario.slowness();
    fill(&mut fleet, config);
    let mut world = World {
        scenario,
        length_ms,
        config,
        fleet,
        figures: Figures::default(),
        random: StdRng::seed_from_u64(seed ^ 0x5eed),
    };
    match policy {
        Policy::Valehold { weighing, routing, admission } => {
            let valehold = Valehold::new(&world, weighing, routing, admission);
            valehold.run(&mut world, &trace);
        }
        Policy::Pooled => baselines::pooled(&mut world, &trace),
        _ => baselines::run(policy, &mut world, &trace),
    }
    world.finish()
}

/// Places every model once, as the planner does on empty engines.
fn fill(fleet: &mut Fleet, config: &Config) {
    let engines = config.deployment().engine.iter();
    let empty = engines.map(|e| EngineView::at_rest(e, BTreeMap::new()));
    let deployment = config.deployment();
    let steps = forecast(
        config.served(),
        &BTreeMap::new(),
        deployment.weighing,
        deployment.placement.horizon_s,
        empty.collect(),
    );
    for step in steps {
        let index = fleet.engines.iter().position(|e| e.id == step.engine);
        let served = &config.served()[&step.artifact.name];
        fleet.place(index.expect("the engine is there"), served);
    }
}

/// A request that an instance sent. It sees the answer begin and end.
#[derive(Debug, Clone, Copy)]
struct Sent {
    at: Millis,
    prompt_tokens: u64,
    timing: Timing,
}

/// The product's decisions, put together as an instance does.
struct Valehold {
    weighing: Weighing,
    routing: RoutingSettings,
    admission: AdmissionSettings,
    accounts: Vec<EngineAccount>,
    sequence: u64,
    loads: TokenBucket,
    estimator: Estimator,
    /// What each instance sent to each engine.
    sent: Vec<Vec<Vec<Sent>>>,
    hints: Vec<PrefixHints>,
    service_ms: f64,
}

impl Valehold {
    fn new(
        world: &World<'_>,
        weighing: Option<Weighing>,
        routing: RoutingSettings,
        admission: AdmissionSettings,
    ) -> Self {
        let deployment = world.config.deployment();
        let store = deployment.weight_store;
        let engines = world.fleet.engines.len();
        let start = Millis::default();
        let accounts = deployment.engine.iter().map(|engine| {
            let (name, usable) = (engine.name.clone(), engine.usable_mib());
            EngineAccount::new(name, usable, true, 0)
        });
        Self {
            weighing: weighing.unwrap_or(deployment.weighing),
            routing,
            admission,
            accounts: accounts.collect(),
            sequence: 0,
            loads: TokenBucket::new(store.loads_per_second, 1.0, start),
            estimator: Estimator::new(DemandSettings::default(), start),
            sent: vec![vec![Vec::new(); engines]; INSTANCES],
            hints: vec![PrefixHints::new(300_000, 65_536); INSTANCES],
            service_ms: 2_000.0,
        }
    }

    fn run(mut self, world: &mut World<'_>, trace: &[Request]) {
        let mut next_tick = Millis::default();
        for request in trace {
            while next_tick <= request.at {
                self.tick(world, next_tick);
                next_tick = next_tick + TICK_MS;
            }
            self.request(world, request);
        }
    }

    fn tick(&mut self, world: &mut World<'_>, now: Millis) {
        world.apply_scenario(now);
        self.estimator.close_window_if_due(now);
        for (engine, account) in
            world.fleet.engines.iter().zip(&mut self.accounts)
        {
            if engine.alive {
                account.observe(&engine.report(now), now);
            }
        }
        if world.scenario.store_is_up(world.part(now)) {
            self.place(world, now);
        }
        for sent in self.sent.iter_mut().flatten() {
            sent.retain(|sent| now < sent.timing.end);
        }
    }

    fn place(&mut self, world: &mut World<'_>, now: Millis) {
        let store = world.config.deployment().weight_store;
        let under_way: usize =
            self.accounts.iter().map(EngineAccount::loads_under_way).sum();
        let width = store.loads_at_once as usize;
        let left = width.saturating_sub(under_way);
        let loads = left.min(self.loads.available(now));
        let demand = self.estimator.demand();
        let planner = Planner::new(
            world.config.served(),
            &demand,
            self.weighing,
            world.config.deployment().placement.horizon_s,
            self.views(world),
            loads,
        );
        for action in planner.plan() {
            self.order(world, &action, now);
        }
    }

    fn order(&mut self, world: &mut World<'_>, action: &Action, now: Millis) {
        let engines = &world.fleet.engines;
        let index = engines.iter().position(|e| e.id == action.engine);
        let index = index.expect("the engine is there");
        self.sequence += 1;
        let stamp = Stamp { epoch: 1, sequence: self.sequence };
        let account = &mut self.accounts[index];
        let (artifact, size) = (&action.artifact, action.size_mib);
        let order = match action.kind {
            StepKind::Load => {
                let _ = self.loads.try_take(1.0, now);
                account.order_load(artifact, size, stamp, now)
            }
            StepKind::Unload => account.order_unload(artifact, stamp, now),
        };
        if let Ok(order) = order {
            account.recorded(&order, now);
            for order in account.take_due(1, now, 1_000) {
                world.fleet.obey(index, &order, now);
            }
        }
    }

    fn views(&self, world: &World<'_>) -> Vec<EngineView> {
        let declared = world.config.deployment().engine.iter();
        let engines = declared.zip(&world.fleet.engines).zip(&self.accounts);
        let views = engines.map(|((declared, engine), account)| {
            let mut view =
                EngineView::from_account(declared, account, engine.alive);
            if !engine.alive {
                view.reachable.clear();
            }
            view
        });
        views.collect()
    }

    fn request(&mut self, world: &mut World<'_>, request: &Request) {
        let now = request.at;
        let served = world.served(&request.model).clone();
        let tokens = request.work.prompt_tokens;
        self.estimator.arrived(&served.artifact, tokens);
        let candidates = self.candidates(world, request, &served);
        let draw = world.random.random();
        let tokens = request.work.prompt_tokens;
        let choice = routing::choose(&candidates, tokens, draw, &self.routing);
        let Some(choice) = choice else {
            world.figures.refused("no_upstream");
            return;
        };
        let workspace = world.workspace(&request.model);
        let admit = |predicted_ms| {
            admission::admit(
                predicted_ms,
                workspace.priority,
                workspace.first_token_ms,
                &self.admission,
            )
        };
        let least = &choice.predictions[0];
        let engine = match admit(choice.predicted_ms) {
            Ok(()) => &choice.engine,
            Err(_) if admit(least.total_ms).is_ok() => &least.engine,
            Err(_) => {
                world.figures.refused("would_be_late");
                return;
            }
        };
        let engine = engine.clone();
        let cached = choice
            .predictions
            .iter()
            .find(|prediction| prediction.engine == engine)
            .map_or(0, |prediction| prediction.cached_tokens);
        let read = tokens.saturating_sub(cached);
        self.estimator.finished(
            &served.artifact,
            service_s(request.work),
            read,
        );
        self.send(world, request, &engine, now);
    }

    fn send(
        &mut self,
        world: &mut World<'_>,
        request: &Request,
        engine: &UpstreamId,
        now: Millis,
    ) {
        let index = world.fleet.engines.iter().position(|e| e.id == *engine);
        let index = index.expect("the engine is there");
        let blocks = blocks_of(request.work);
        self.hints[request.instance].note(engine, &blocks, now);
        let service_ms = service_s(request.work) * 1_000.0;
        self.service_ms += 0.05 * (service_ms - self.service_ms);
        let timing = world.send(index, request, now);
        let prompt_tokens = request.work.prompt_tokens;
        let sent = Sent { at: now, prompt_tokens, timing };
        self.sent[request.instance][index].push(sent);
    }

    fn candidates(
        &self,
        world: &World<'_>,
        request: &Request,
        served: &Served,
    ) -> Vec<Candidate> {
        let now = request.at;
        let age = world.scenario.report_age_ms();
        let report = now - age;
        let engines = world.fleet.engines.iter().enumerate();
        let holders = engines.filter(|(index, engine)| {
            let wanted = |a: &Artifact| {
                engine.is_resident(a, now)
                    && self.accounts[*index].is_reachable(a)
            };
            let base = served.base.as_ref();
            wanted(&served.artifact) && base.is_none_or(wanted)
        });
        let blocks = blocks_of(request.work);
        holders
            .map(|(index, engine)| {
                let (running, waiting) = engine.load_at(report);
                let sent = &self.sent[request.instance][index];
                let since = sent.iter().filter(|s| s.at >= report);
                let own = since.clone().filter(|s| now < s.timing.end);
                let own = u32::try_from(own.count()).unwrap_or(u32::MAX);
                let unread = since.filter(|s| now < s.timing.first_token);
                let unread: u64 = unread.map(|s| s.prompt_tokens).sum();
                let hints = &self.hints[request.instance];
                let cached = hints.cached_blocks(&engine.id, &blocks, now);
                let cached_bytes = cached * BLOCK_BYTES;
                Candidate {
                    engine: engine.id.clone(),
                    distance_ms: 1.0,
                    connection_ms: 0.0,
                    suspect: false,
                    slots: engine.slots,
                    prefill_tokens_per_second: engine.prefill_per_s,
                    running: running + own,
                    waiting_tokens: waiting + unread,
                    service_ms: self.service_ms,
                    report_age_ms: age,
                    cached_tokens: (cached_bytes / BYTES_PER_TOKEN) as u64,
                    bytes_ms: 0.0,
                    pause_within_ms: None,
                }
            })
            .collect()
    }
}

/// Returns for how long a request keeps a slot, in seconds.
#[allow(clippy::cast_precision_loss)]
fn service_s(work: Work) -> f64 {
    (work.answer_tokens * TOKEN_MS) as f64 / 1_000.0
}

/// Makes the blocks of a prompt whose beginning is shared.
fn blocks_of(work: Work) -> Vec<u64> {
    let tokens_a_block = (BLOCK_BYTES / BYTES_PER_TOKEN) as u64;
    let shared = work.shared_tokens / tokens_a_block;
    (0..shared).map(|block| u64::from(work.prefix) << 32 | block).collect()
}
