//! Simple policies to compare with.

use valehold_core::{
    Millis,
    config::Served,
    id::{Artifact, ModelName},
};

use super::{
    policy::{INSTANCES, Policy},
    trace::Request,
    world::World,
};

/// How often what the scenario brings is looked at.
const TICK_MS: u64 = 500;

/// Runs a baseline. None of them turns a request away for being late.
pub(super) fn run(policy: Policy, world: &mut World<'_>, trace: &[Request]) {
    let engines = world.fleet.engines.len();
    let mut turns = std::collections::BTreeMap::<ModelName, usize>::new();
    let mut sent = vec![vec![Vec::<Millis>::new(); engines]; INSTANCES];
    let mut ticked = Millis::default();
    for request in trace {
        if request.at.since(ticked) >= TICK_MS {
            ticked = request.at;
            world.apply_scenario(ticked);
        }
        if policy == Policy::LoadOnDemand {
            load_on_demand(world, request);
            continue;
        }
        let holders = holders(world, request);
        if holders.is_empty() {
            world.figures.refused("no_upstream");
            continue;
        }
        let index = match policy {
            Policy::RoundRobin => {
                let turn = turns.entry(request.model.clone()).or_default();
                *turn += 1;
                holders[*turn % holders.len()]
            }
            _ => least_in_flight(world, request, &holders, &mut sent),
        };
        world.send(index, request, request.at);
    }
}

/// Lists the engines that have a request's model, and its base.
fn holders(world: &World<'_>, request: &Request) -> Vec<usize> {
    let served = world.served(&request.model);
    let has = |index: &usize| {
        let engine = &world.fleet.engines[*index];
        let resident = |a: &Artifact| engine.is_resident(a, request.at);
        resident(&served.artifact) && served.base.as_ref().is_none_or(resident)
    };
    (0..world.fleet.engines.len()).filter(has).collect()
}

fn least_in_flight(
    world: &World<'_>,
    request: &Request,
    holders: &[usize],
    sent: &mut [Vec<Vec<Millis>>],
) -> usize {
    let report = request.at - world.scenario.report_age_ms();
    let own = &mut sent[request.instance];
    let in_flight = |index: &usize| {
        let (running, _) = world.fleet.engines[*index].load_at(report);
        let since = own[*index].iter().filter(|at| **at >= report).count();
        running as usize + since
    };
    let least = holders.iter().copied().min_by_key(in_flight);
    let index = least.unwrap_or(holders[0]);
    own[index].retain(|at| request.at.since(*at) < 20_000);
    own[index].push(request.at);
    index
}

/// Sends to an engine that has the model, or loads it where the least was
/// used of late; the request waits for the load.
fn load_on_demand(world: &mut World<'_>, request: &Request) {
    let now = request.at;
    let served = world.served(&request.model).clone();
    let base = served.base.as_ref().map(|b| world.served(&b.name).clone());
    let parts: Vec<Served> = base.into_iter().chain([served]).collect();
    let holding = (0..world.fleet.engines.len()).filter(|index| {
        let engine = &world.fleet.engines[*index];
        let there = |s: &Served| engine.ready_at(&s.artifact).is_some();
        engine.alive && parts.iter().all(there)
    });
    let load = |index: &usize| world.fleet.engines[*index].load_at(now);
    let index = match holding.min_by_key(load) {
        // A model all of whose engines are full gets one more.
        Some(index) if !is_full(world, index, now) => index,
        other => match idlest(world, now) {
            Some(index) => index,
            None => match other {
                Some(index) => index,
                None => {
                    world.figures.refused("no_upstream");
                    return;
                }
            },
        },
    };
    let mut ready = now;
    for part in &parts {
        make_room(world, index, part, &parts, now);
        let (artifact, size) = (&part.artifact, part.size_mib);
        let part_ready = world.fleet.load(index, artifact, size, now);
        ready = ready.max(part_ready);
        world.fleet.engines[index].touch(artifact, now);
    }
    world.send(index, request, ready);
}

fn is_full(world: &World<'_>, index: usize, now: Millis) -> bool {
    let engine = &world.fleet.engines[index];
    engine.load_at(now).0 >= engine.slots
}

fn idlest(world: &World<'_>, now: Millis) -> Option<usize> {
    let alive = (0..world.fleet.engines.len())
        .filter(|index| world.fleet.engines[*index].alive);
    alive.min_by_key(|index| world.fleet.engines[*index].load_at(now))
}

fn make_room(
    world: &mut World<'_>,
    index: usize,
    part: &Served,
    keep: &[Served],
    now: Millis,
) {
    let engine = &world.fleet.engines[index];
    if engine.ready_at(&part.artifact).is_some() {
        return;
    }
    loop {
        let engine = &world.fleet.engines[index];
        if engine.taken_mib() + part.size_mib <= engine.usable_mib {
            return;
        }
        let Some(oldest) = engine.least_recent(now) else { return };
        if keep.iter().any(|s| s.artifact == oldest) {
            // What the request needs itself counts as just used.
            world.fleet.engines[index].touch(&oldest, now);
            let next = world.fleet.engines[index].least_recent(now);
            if next.as_ref() == Some(&oldest) {
                return;
            }
            continue;
        }
        world.fleet.unload(index, &oldest);
    }
}

/// All accelerators as one engine that has every model and turns away only
/// what would be late: what no placement could do better.
pub(super) fn pooled(world: &mut World<'_>, trace: &[Request]) {
    let mut ticked = Millis::default();
    for request in trace {
        if request.at.since(ticked) >= TICK_MS {
            ticked = request.at;
            world.apply_scenario(ticked);
        }
        let target_ms = world.workspace(&request.model).first_token_ms;
        let alive = (0..world.fleet.engines.len())
            .filter(|index| world.fleet.engines[*index].alive);
        let first_ms = |index: &usize| {
            let engine = &world.fleet.engines[*index];
            engine.would_begin(request.work, request.at).since(request.at)
        };
        match alive.min_by_key(first_ms) {
            Some(index) if first_ms(&index) <= target_ms => {
                world.send(index, request, request.at);
            }
            _ => world.figures.refused("would_be_late"),
        }
    }
}
