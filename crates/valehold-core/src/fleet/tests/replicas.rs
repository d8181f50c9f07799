//! Tests of replica plans: no plan unloads the last replica of a model or
//! exceeds the memory of an engine.

use std::collections::{BTreeMap, BTreeSet};

use googletest::prelude::*;
use proptest::prelude::*;

use crate::{
    fleet::{
        Holding, ModelSpec,
        catalog::EngineSpec,
        model_sizes::ModelSizes,
        replicas::{EngineState, LoadSource, ModelNeed, ReplicaStep, plan},
    },
    id::{AdapterName, DataCentreId, ModelName, SoftwareVersion, UpstreamId},
    testing::cases,
};

/// Returns a specification with `models` models, of which three fit an engine.
pub(super) fn spec(models: usize) -> EngineSpec {
    let model = |number: usize| ModelSpec {
        name: ModelName::new(format!("m{number}")),
        size_mb: 70,
        load_ms: 4_000,
        adapters: (1..=4)
            .map(|number| AdapterName::new(format!("a{number}")))
            .collect(),
        adapter_size_mb: 1,
    };
    EngineSpec {
        slots: 64,
        memory_mb: 220,
        adapter_places: 2,
        loads_per_second: 2.0,
        models: (0..models).map(model).collect(),
    }
}

/// Returns a holding of models, each with its adapters.
pub(super) fn holding(models: &[(&str, &[&str])]) -> Holding {
    let entry = |(model, adapters): &(&str, &[&str])| {
        let adapters = adapters.iter().map(AdapterName::new).collect();
        (ModelName::new(model), adapters)
    };
    Holding { sequence: 0, models: models.iter().map(entry).collect() }
}

/// Returns the memory that an engine uses, in MB, if its models have the sizes
/// that `spec` declares.
pub(super) fn declared_mb(holding: &Holding, spec: &EngineSpec) -> u64 {
    let used_mb = ModelSizes::declared_by(spec).used_mb(holding);
    used_mb.expect("all models are declared")
}

fn engine(number: usize, models: &BTreeSet<usize>) -> EngineState {
    let name =
        |model: &usize| (ModelName::new(format!("m{model}")), BTreeSet::new());
    EngineState {
        id: UpstreamId::new(format!("e{number}")),
        data_centre: DataCentreId::new("north"),
        software: None,
        holding: Holding {
            sequence: 0,
            models: models.iter().map(name).collect(),
        },
        loading: None,
        has_pending_order: false,
        is_available: true,
        copies: BTreeSet::new(),
        has_counted_load: false,
        running_requests: 0.0,
    }
}

fn needs(busy: &[f64]) -> BTreeMap<ModelName, ModelNeed> {
    let entry = |(number, busy): (usize, &f64)| {
        let need = ModelNeed { busy_engines: *busy, ..ModelNeed::default() };
        (ModelName::new(format!("m{number}")), need)
    };
    busy.iter().enumerate().map(entry).collect()
}

/// Applies a step to the state of the engines.
fn apply(engines: &mut [EngineState], step: &ReplicaStep) {
    let (ReplicaStep::Load { engine, .. }
    | ReplicaStep::Unload { engine, .. }) = step;
    let engine = engines.iter_mut().find(|e| e.id == *engine).unwrap();
    match step {
        ReplicaStep::Load { model, .. } => {
            engine.holding.models.insert(model.clone(), BTreeSet::new());
        }
        ReplicaStep::Unload { model, .. } => {
            engine.holding.models.remove(model);
        }
    }
}

fn holders(engines: &[EngineState], model: &ModelName) -> usize {
    let holds = |e: &&EngineState| {
        e.is_available && e.holding.models.contains_key(model)
    };
    engines.iter().filter(holds).count()
}

proptest! {
    #![proptest_config(cases())]

    #[test]
    fn plans_keep_every_model_and_stay_within_all_limits(
        held in prop::collection::vec(
            prop::collection::btree_set(0_usize..6, 0..=3), 3..8,
        ),
        available in prop::collection::vec(prop::bool::weighted(0.8), 8),
        busy in prop::collection::vec(0.0_f64..3.0, 6),
        loads in 0_usize..4,
    ) {
        let spec = spec(6);
        let mut engines: Vec<EngineState> = held
            .iter()
            .enumerate()
            .map(|(number, models)| engine(number, models))
            .collect();
        for (engine, available) in engines.iter_mut().zip(&available) {
            engine.is_available = *available;
        }
        let demand = needs(&busy);
        for _ in 0..12 {
            let before: Vec<usize> = spec
                .models
                .iter()
                .map(|model| holders(&engines, &model.name))
                .collect();
            let steps = plan(&spec, &demand, &engines, loads);
            let from_store = |step: &&ReplicaStep| {
                matches!(
                    step,
                    ReplicaStep::Load {
                        source: LoadSource::WeightStore, ..
                    }
                )
            };
            prop_assert!(steps.iter().filter(from_store).count() <= loads);
            for step in &steps {
                apply(&mut engines, step);
            }
            for (model, before) in spec.models.iter().zip(before) {
                let now = holders(&engines, &model.name);
                prop_assert!(
                    now >= before.min(1),
                    "no engine holds {} any more",
                    model.name,
                );
            }
            for engine in &engines {
                prop_assert!(declared_mb(&engine.holding, &spec) <= 220);
            }
        }
    }

    #[test]
    fn plans_converge(
        busy in prop::collection::vec(0.0_f64..3.0, 6),
    ) {
        let spec = spec(6);
        let engine_of = |number| engine(number, &BTreeSet::from([number % 6]));
        let mut engines: Vec<EngineState> = (0..6).map(engine_of).collect();
        let demand = needs(&busy);
        let mut steps = Vec::new();
        for _ in 0..60 {
            steps = plan(&spec, &demand, &engines, 3);
            for step in &steps {
                apply(&mut engines, step);
            }
        }
        prop_assert!(steps.is_empty(), "the plan still has steps: {steps:?}");
    }
}

#[gtest]
fn a_missing_model_is_loaded_from_a_local_copy() {
    let spec = spec(2);
    let mut engines: Vec<EngineState> =
        (0..3).map(|number| engine(number, &BTreeSet::from([0]))).collect();
    engines[2].copies.insert(ModelName::new("m1"));
    let steps = plan(&spec, &BTreeMap::new(), &engines, 0);
    let expected = ReplicaStep::Load {
        engine: UpstreamId::new("e2"),
        model: ModelName::new("m1"),
        source: LoadSource::Copy,
    };
    expect_that!(steps, elements_are![eq(&expected)]);
}

/// Guards against slow recovery after a crash. Of 31 engines that restarted
/// empty, most began with a load from the weight store, which takes six
/// seconds, although the engines had local copies of missing models. A load
/// from a copy takes one or two seconds.
#[gtest]
fn restarted_engines_load_their_copies_first() {
    let spec = spec(4);
    let mut engines: Vec<EngineState> =
        (0..2).map(|number| engine(number, &BTreeSet::new())).collect();
    engines[0].copies = BTreeSet::from([ModelName::new("m2")]);
    engines[1].copies = BTreeSet::from([ModelName::new("m3")]);
    // The models without a copy have the higher pressure.
    let demand = needs(&[2.0, 1.5, 0.5, 0.1]);
    let steps = plan(&spec, &demand, &engines, 8);
    let load = |engine: &str, model: &str| ReplicaStep::Load {
        engine: UpstreamId::new(engine),
        model: ModelName::new(model),
        source: LoadSource::Copy,
    };
    expect_that!(
        steps,
        elements_are![eq(&load("e0", "m2")), eq(&load("e1", "m3"))]
    );
}

#[gtest]
fn a_short_lull_in_demand_costs_no_replica() {
    let spec = spec(4);
    let full = BTreeSet::from([0, 1, 2]);
    let engines: Vec<EngineState> =
        (0..2).map(|number| engine(number, &full)).collect();
    let mut demand = needs(&[0.0, 0.0, 0.0, 0.7]);
    for model in ["m0", "m1", "m2"] {
        let need = demand.get_mut(&ModelName::new(model)).unwrap();
        need.recent_busy_engines = 2.0;
    }
    // The pressure of the missing model is lower than the recent pressure of
    // the others.
    demand.get_mut(&ModelName::new("m3")).unwrap().busy_engines = 0.0;
    expect_that!(plan(&spec, &demand, &engines, 2), elements_are![]);
    for model in ["m0", "m1", "m2"] {
        demand.get_mut(&ModelName::new(model)).unwrap().recent_busy_engines =
            0.0;
    }
    expect_that!(plan(&spec, &demand, &engines, 2).len(), eq(1));
}

#[gtest]
fn a_busy_model_takes_the_places_of_idle_ones() {
    let spec = spec(4);
    let full = BTreeSet::from([0, 1, 2]);
    let mut engines: Vec<EngineState> =
        (0..4).map(|number| engine(number, &full)).collect();
    engines[3] = engine(3, &BTreeSet::from([0, 1, 3]));
    let demand = needs(&[0.0, 0.0, 0.0, 2.0]);
    for _ in 0..20 {
        for step in plan(&spec, &demand, &engines, 2) {
            apply(&mut engines, &step);
        }
    }
    expect_that!(holders(&engines, &ModelName::new("m3")), eq(4));
}

#[gtest]
fn models_get_replicas_for_their_adapters() {
    let spec = spec(2);
    let mut engines: Vec<EngineState> = (0..4)
        .map(|number| engine(number, &BTreeSet::from([number % 2])))
        .collect();
    let need = ModelNeed {
        busy_engines: 0.01,
        adapters_in_use: 7.0,
        ..ModelNeed::default()
    };
    let demand = BTreeMap::from([(ModelName::new("m0"), need)]);
    for _ in 0..20 {
        for step in plan(&spec, &demand, &engines, 2) {
            apply(&mut engines, &step);
        }
    }
    expect_that!(holders(&engines, &ModelName::new("m0")), eq(4));
}

/// Returns the plan for two engines that are full of busy models while a
/// fourth model has been missing for `missing_ms`.
fn plan_for_full_engines(missing_ms: u64) -> Vec<ReplicaStep> {
    let spec = spec(4);
    let full = BTreeSet::from([0, 1, 2]);
    let engines: Vec<EngineState> =
        (0..2).map(|number| engine(number, &full)).collect();
    let mut demand = needs(&[2.0, 2.0, 2.0, 0.0]);
    let missing = ModelNeed { missing_ms, ..ModelNeed::default() };
    demand.insert(ModelName::new("m3"), missing);
    plan(&spec, &demand, &engines, 2)
}

#[gtest]
fn the_pressure_of_a_missing_model_grows_with_time() {
    // No replica of a busy model is unloaded at first, but one is later.
    expect_that!(plan_for_full_engines(0), elements_are![]);
    let later = plan_for_full_engines(10_000);
    expect_true!(matches!(later[..], [ReplicaStep::Unload { .. }]));
}

#[gtest]
fn the_model_with_the_lowest_cost_is_unloaded() {
    let spec = spec(4);
    let full = BTreeSet::from([0, 1, 2]);
    let mut engines: Vec<EngineState> =
        (0..2).map(|number| engine(number, &full)).collect();
    engines[0].running_requests = 40.0;
    let demand = needs(&[0.9, 0.02, 0.9, 0.0]);
    let steps = plan(&spec, &demand, &engines, 2);
    let expected = ReplicaStep::Unload {
        engine: UpstreamId::new("e1"),
        model: ModelName::new("m1"),
    };
    expect_that!(steps, elements_are![eq(&expected)]);
}

fn name(model: usize) -> ModelName {
    ModelName::new(format!("m{model}"))
}

/// Applies plans until a plan has no step, for at most `rounds` rounds.
fn settle(
    spec: &EngineSpec,
    demand: &BTreeMap<ModelName, ModelNeed>,
    engines: &mut [EngineState],
    rounds: usize,
) {
    for _ in 0..rounds {
        let steps = plan(spec, demand, engines, 3);
        for step in &steps {
            apply(engines, step);
        }
        if steps.is_empty() {
            return;
        }
    }
}

// Guards against models that stay missing while requests name the models. With
// more models declared than the engines had places for, each idle model kept
// its only replica: 345 of 399 models were missing, the plan had no step for
// the rest of the day, and every request for a missing model was refused.
#[gtest]
fn an_idle_model_is_unloaded_for_a_model_with_demand() {
    let spec = spec(8);
    let mut engines =
        vec![engine(0, &[0, 1, 2].into()), engine(1, &[3, 4, 5].into())];
    let demand = needs(&[0.5, 0.5, 0.0, 0.5, 0.5, 0.5, 0.0, 0.1]);
    let steps = plan(&spec, &demand, &engines, 3);
    let expected =
        ReplicaStep::Unload { engine: UpstreamId::new("e0"), model: name(2) };
    expect_that!(steps, elements_are![eq(&expected)]);
    settle(&spec, &demand, &mut engines, 10);
    expect_that!(holders(&engines, &name(7)), eq(1));
    // No room is made for the other idle model.
    expect_that!(holders(&engines, &name(6)), eq(0));
}

#[gtest]
fn busy_models_keep_their_replicas_while_idle_models_are_missing() {
    let spec = spec(40);
    let busy = BTreeSet::from([0, 1, 2]);
    let mut engines: Vec<EngineState> =
        (0..4).map(|number| engine(number, &busy)).collect();
    let mut demand = needs(&[3.0, 3.0, 3.0]);
    for model in 3..40 {
        let missing = ModelNeed { missing_ms: 60_000, ..ModelNeed::default() };
        demand.insert(name(model), missing);
    }
    expect_that!(plan(&spec, &demand, &engines, 3), elements_are![]);
    // A model with demand gets one of the places, and no more.
    demand.get_mut(&name(20)).unwrap().busy_engines = 0.01;
    settle(&spec, &demand, &mut engines, 10);
    expect_that!(holders(&engines, &name(20)), eq(1));
    let kept: usize =
        (0..3).map(|model| holders(&engines, &name(model))).sum();
    expect_that!(kept, eq(11));
}

#[gtest]
fn free_places_go_to_models_with_demand_first() {
    let spec = spec(8);
    let mut engines = vec![engine(0, &[0].into()), engine(1, &[].into())];
    let mut demand = needs(&[0.1]);
    for model in 1..8 {
        let missing_ms = 60_000 - 1_000 * model as u64;
        demand.insert(
            name(model),
            ModelNeed { missing_ms, ..ModelNeed::default() },
        );
    }
    demand.get_mut(&name(7)).unwrap().busy_engines = 0.01;
    let steps = plan(&spec, &demand, &engines, 1);
    let loads_m7 = matches!(
        &steps[..],
        [ReplicaStep::Load { model, .. }] if *model == name(7)
    );
    expect_true!(loads_m7);
    // The remaining places are filled with idle models, which may be requested
    // next.
    settle(&spec, &demand, &mut engines, 10);
    let held: usize =
        (0..8).map(|model| holders(&engines, &name(model))).sum();
    expect_that!(held, eq(6));
}

#[gtest]
fn an_idle_model_is_loaded_once_although_an_engine_has_a_copy() {
    let mut spec = spec(8);
    // Without adapters, no model gets further replicas for adapters.
    spec.models.iter_mut().for_each(|model| model.adapters.clear());
    let mut engines =
        vec![engine(0, &[0, 1].into()), engine(1, &[2, 3].into())];
    engines[0].copies.insert(name(4));
    let demand = needs(&[0.01, 0.01, 0.01, 0.01]);
    let steps = plan(&spec, &demand, &engines, 3);
    let loads = steps.iter().filter(|step| {
        matches!(step, ReplicaStep::Load { model, .. } if *model == name(4))
    });
    expect_that!(loads.count(), eq(1));
}

proptest! {
    #![proptest_config(cases())]

    #[test]
    fn models_with_demand_are_loaded_where_models_outnumber_places(
        held in prop::collection::vec(
            prop::collection::btree_set(0_usize..40, 0..=3), 3..8,
        ),
        requested in prop::collection::btree_map(
            0_usize..40, 0.001_f64..3.0, 1..9,
        ),
    ) {
        let spec = spec(40);
        let mut engines: Vec<EngineState> = held
            .iter()
            .enumerate()
            .map(|(number, models)| engine(number, models))
            .collect();
        let demand: BTreeMap<ModelName, ModelNeed> = requested
            .iter()
            .map(|(model, busy)| {
                let need = ModelNeed {
                    busy_engines: *busy,
                    ..ModelNeed::default()
                };
                (name(*model), need)
            })
            .collect();
        for _ in 0..80 {
            let steps = plan(&spec, &demand, &engines, 3);
            for step in &steps {
                apply(&mut engines, step);
            }
            for engine in &engines {
                prop_assert!(declared_mb(&engine.holding, &spec) <= 220);
            }
        }
        for model in requested.keys() {
            let held = holders(&engines, &name(*model));
            prop_assert!(held >= 1, "no engine holds m{model}");
        }
    }
}

/// A stream of the only holder of its version has no other engine to go on at.
#[gtest]
fn a_second_replica_goes_to_the_version_of_a_lone_holder() {
    let spec = spec(1);
    let with = |number: usize, software: &str, models: &[usize]| EngineState {
        software: Some(SoftwareVersion::new(software)),
        running_requests: number as f64,
        ..engine(number, &models.iter().copied().collect())
    };
    let loads_at = |engines: &[EngineState]| {
        let steps = plan(&spec, &needs(&[2.0]), engines, 1);
        let loads = steps.into_iter().filter_map(|step| match step {
            ReplicaStep::Load { engine, .. } => Some(engine.to_string()),
            ReplicaStep::Unload { .. } => None,
        });
        loads.collect::<Vec<_>>()
    };
    let mut engines =
        vec![with(9, "v1", &[0]), with(1, "v2", &[]), with(2, "v1", &[])];
    expect_that!(loads_at(&engines), elements_are![eq("e2")]);
    // With two holders of v1, the engine with the fewest requests comes next.
    engines[2] = with(2, "v1", &[0]);
    engines.push(with(3, "v1", &[]));
    expect_that!(loads_at(&engines), elements_are![eq("e1")]);
}
