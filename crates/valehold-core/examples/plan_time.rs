//! Measures the time that a replica plan takes, by the size of the fleet.
//!
//! `cargo run --release -p valehold-core --example plan_time`

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Instant,
};

use valehold_core::{
    fleet::{
        Holding, ModelSpec, RegionBound,
        catalog::EngineSpec,
        model_sizes::ModelSizes,
        replicas::{
            EngineState, KnownModels, ModelNeed, ModelNeeds, Needs,
            plan_with_bounds,
        },
        topology::Topology,
    },
    id::{AdapterName, DataCentreId, ModelName, RegionId, UpstreamId},
};

/// The numbers of engines and models: the sizes of the users' deployments, and
/// the target size.
const SIZES: [(usize, usize); 5] =
    [(18, 39), (140, 305), (240, 399), (1_500, 560), (4_000, 560)];

/// The number of times that each plan is made; the shortest time is printed.
const ROUNDS: usize = 9;

fn name(number: usize) -> ModelName {
    ModelName::new(format!("model-{number:05}"))
}

fn spec(models: usize) -> EngineSpec {
    let model = |number| ModelSpec {
        name: name(number),
        size_mb: 72_700,
        load_ms: 5_800,
        adapters: (0..3).map(|a| AdapterName::new(format!("a{a}"))).collect(),
        adapter_size_mb: 66,
    };
    EngineSpec {
        slots: 48,
        memory_mb: 220_000,
        adapter_places: 8,
        loads_per_second: 34.0,
        models: (0..models).map(model).collect(),
    }
}

/// Returns engines that hold three models each, in turn, so that the first
/// models may have more replicas.
fn engines(count: usize, models: usize) -> Vec<EngineState> {
    let state = |engine: usize| {
        let held = (0..3).map(|place| (engine * 3 + place) % models);
        let held = held.map(|model| (name(model), BTreeSet::new()));
        EngineState {
            id: UpstreamId::new(format!("engine-{engine:05}")),
            data_centre: DataCentreId::new(format!("dc-{}", engine % 6)),
            software: None,
            holding: Holding { sequence: 9, models: held.collect() },
            loading: None,
            has_pending_order: false,
            is_available: true,
            copies: BTreeSet::new(),
            has_counted_load: false,
            running_requests: (engine % 40) as f64,
        }
    };
    (0..count).map(state).collect()
}

/// Returns needs in which every tenth model keeps 4 engines busy, and the
/// others 0.2.
fn needs(models: usize) -> ModelNeeds {
    let need = |number: usize| ModelNeed {
        busy_engines: if number.is_multiple_of(10) { 4.0 } else { 0.2 },
        ..ModelNeed::default()
    };
    (0..models).map(|number| (name(number), need(number))).collect()
}

/// Returns a topology of six data centres in three regions.
fn topology() -> Topology {
    let region = |number: usize| {
        let data_centre = DataCentreId::new(format!("dc-{number}"));
        (data_centre, RegionId::new(format!("region-{}", number / 2)))
    };
    Topology::new(DataCentreId::new("dc-0"), (0..6).map(region).collect())
}

/// Returns bounds of one region each: a third of the models is used inside
/// each region, by half of the requests for the model.
fn bounds(needs: &ModelNeeds) -> BTreeMap<RegionBound, ModelNeeds> {
    let mut bounds: BTreeMap<RegionBound, ModelNeeds> = BTreeMap::new();
    for (number, (model, need)) in needs.iter().enumerate() {
        let region = format!("region-{}", number % 3);
        let half =
            ModelNeed { busy_engines: need.busy_engines / 2.0, ..*need };
        let inside = bounds.entry(RegionBound::within([region])).or_default();
        inside.insert(model.clone(), half);
    }
    bounds
}

/// Returns the number of steps of a plan and the shortest time that the plan
/// took, in ms.
fn measure(
    spec: &EngineSpec,
    needs: &Needs,
    engines: &[EngineState],
) -> (usize, f64) {
    let topology = topology();
    let sizes = ModelSizes::declared_by(spec);
    let removable = BTreeSet::new();
    let known = KnownModels { sizes: &sizes, removable: &removable };
    let mut shortest_ms = f64::MAX;
    let mut steps = 0;
    for _ in 0..ROUNDS {
        let began = Instant::now();
        let topology = Some(&topology);
        let plan = plan_with_bounds(spec, known, needs, engines, topology, 60);
        let took_ms = began.elapsed().as_secs_f64() * 1_000.0;
        shortest_ms = shortest_ms.min(took_ms);
        steps = plan.len();
    }
    (steps, shortest_ms)
}

fn main() {
    println!("engines  models  bounds  steps  ms");
    for (engine_count, model_count) in SIZES {
        let spec = spec(model_count);
        let engines = engines(engine_count, model_count);
        let everywhere = needs(model_count);
        let bounds = bounds(&everywhere);
        let unbound = Needs::from(everywhere.clone());
        for needs in [unbound, Needs { everywhere, bounds }] {
            let (steps, ms) = measure(&spec, &needs, &engines);
            let bounds = needs.bounds.len();
            println!(
                "{engine_count:7} {model_count:7} {bounds:7} {steps:6}  {ms:.1}"
            );
        }
    }
}
