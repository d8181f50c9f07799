//! Tests of replica plans with region bounds: models stay available inside the
//! bounds in which requests use the models.

use std::collections::{BTreeMap, BTreeSet};

use googletest::prelude::*;
use proptest::prelude::*;

use super::replicas::{declared_mb, spec};
use crate::{
    fleet::{
        Holding, RegionBound,
        catalog::EngineSpec,
        model_sizes::ModelSizes,
        replicas::{
            EngineState, KnownModels, LoadSource, ModelNeed, ModelNeeds,
            Needs, ReplicaStep, plan_with_bounds,
        },
        topology::Topology,
    },
    id::{DataCentreId, ModelName, RegionId, UpstreamId},
    testing::cases,
};

/// The data centres, each with its region.
const PLACES: [(&str, &str); 4] =
    [("n1", "north"), ("n2", "north"), ("s1", "south"), ("e1", "east")];

/// Region bounds, some of which contain or overlap others.
const BOUNDS: [&[&str]; 4] =
    [&["north"], &["south"], &["north", "east"], &["south", "east"]];

/// A time after which a missing model has a higher pressure than any other, in
/// ms.
const LONG_MISSING_MS: u64 = 60_000;

fn topology() -> Topology {
    let region = |(dc, region): (&str, &str)| {
        (DataCentreId::new(dc), RegionId::new(region))
    };
    Topology::new(DataCentreId::new("n1"), PLACES.map(region).into())
}

fn engine(number: usize, models: &BTreeSet<usize>) -> EngineState {
    let (data_centre, _) = PLACES[number % PLACES.len()];
    EngineState {
        id: UpstreamId::new(format!("e{number}")),
        data_centre: DataCentreId::new(data_centre),
        software: None,
        holding: Holding {
            sequence: 0,
            models: models
                .iter()
                .map(|m| (name(*m), BTreeSet::new()))
                .collect(),
        },
        loading: None,
        has_pending_order: false,
        is_available: true,
        copies: BTreeSet::new(),
        has_counted_load: false,
        running_requests: 0.0,
    }
}

fn name(model: usize) -> ModelName {
    ModelName::new(format!("m{model}"))
}

fn bound(number: usize) -> RegionBound {
    RegionBound::within(BOUNDS[number])
}

/// Returns needs with the demand `busy` for each model; `used` lists the
/// bounds and the models that are used inside.
fn needs(busy: &[f64], used: &BTreeSet<(usize, usize)>) -> Needs {
    let busy_need =
        |busy_engines: f64| ModelNeed { busy_engines, ..ModelNeed::default() };
    let all = busy.iter().enumerate();
    let everywhere = all.map(|(model, busy)| (name(model), busy_need(*busy)));
    let mut bounds: BTreeMap<RegionBound, ModelNeeds> = BTreeMap::new();
    for (number, model) in used {
        let need = busy_need(busy[*model] / 2.0);
        bounds.entry(bound(*number)).or_default().insert(name(*model), need);
    }
    Needs { everywhere: everywhere.collect(), bounds }
}

/// Marks all models without a holder as missing for a long time.
fn mark_long_missing(needs: &mut Needs, engines: &[EngineState]) {
    let anywhere = RegionBound::Anywhere;
    let everywhere = std::iter::once((&anywhere, &mut needs.everywhere));
    for (bound, needs) in everywhere.chain(&mut needs.bounds) {
        for (model, need) in needs {
            let held = holders(engines, bound, model);
            need.missing_ms = if held == 0 { LONG_MISSING_MS } else { 0 };
        }
    }
}

fn is_inside(bound: &RegionBound, engine: &EngineState) -> bool {
    bound.allows(topology().region_of(&engine.data_centre))
}

fn holders(
    engines: &[EngineState],
    bound: &RegionBound,
    model: &ModelName,
) -> usize {
    let holds = |e: &&EngineState| {
        e.is_available
            && is_inside(bound, e)
            && e.holding.models.contains_key(model)
    };
    engines.iter().filter(holds).count()
}

fn engine_of(step: &ReplicaStep) -> &UpstreamId {
    match step {
        ReplicaStep::Load { engine, .. }
        | ReplicaStep::Unload { engine, .. } => engine,
    }
}

/// Applies a step to the state of the engines.
fn apply(engines: &mut [EngineState], step: &ReplicaStep) {
    let id = engine_of(step);
    let engine = engines.iter_mut().find(|e| e.id == *id).unwrap();
    match step {
        ReplicaStep::Load { model, .. } => {
            engine.holding.models.insert(model.clone(), BTreeSet::new());
        }
        ReplicaStep::Unload { model, .. } => {
            engine.holding.models.remove(model);
        }
    }
}

/// Plans with the sizes that the specification declares.
fn plan_with(
    spec: &EngineSpec,
    needs: &Needs,
    engines: &[EngineState],
    topology: Option<&Topology>,
    loads: usize,
) -> Vec<ReplicaStep> {
    let sizes = ModelSizes::declared_by(spec);
    let removable = BTreeSet::new();
    let known = KnownModels { sizes: &sizes, removable: &removable };
    plan_with_bounds(spec, known, needs, engines, topology, loads)
}

/// Plans once, applies all steps, and returns the steps.
fn plan_and_apply(
    spec: &EngineSpec,
    needs: &Needs,
    engines: &mut [EngineState],
) -> Vec<ReplicaStep> {
    let steps = plan_with(spec, needs, engines, Some(&topology()), 4);
    for step in &steps {
        apply(engines, step);
    }
    steps
}

/// Returns the models of each bound, and all models with no bound.
fn claims(needs: &Needs) -> Vec<(RegionBound, ModelName)> {
    let anywhere = (&RegionBound::Anywhere, &needs.everywhere);
    let all = std::iter::once(anywhere).chain(&needs.bounds);
    let pairs = |(bound, models): (&RegionBound, &ModelNeeds)| {
        let models = models.keys().cloned();
        models.map(|model| (bound.clone(), model)).collect::<Vec<_>>()
    };
    all.flat_map(pairs).collect()
}

fn used() -> impl Strategy<Value = BTreeSet<(usize, usize)>> {
    prop::collection::btree_set((0..BOUNDS.len(), 0_usize..6), 0..8)
}

/// Returns three of the six models. A set of an exact size whose elements are
/// drawn one by one would be rejected for each element drawn twice.
fn three_models() -> impl Strategy<Value = BTreeSet<usize>> {
    let models: Vec<usize> = (0..6).collect();
    let chosen = prop::sample::subsequence(models, 3);
    chosen.prop_map(|chosen| chosen.into_iter().collect())
}

proptest! {
    #![proptest_config(cases())]

    #[test]
    fn no_plan_leaves_a_model_without_a_replica_inside_a_bound(
        held in prop::collection::vec(
            prop::collection::btree_set(0_usize..6, 0..=3), 4..10,
        ),
        available in prop::collection::vec(prop::bool::weighted(0.8), 10),
        busy in prop::collection::vec(0.0_f64..3.0, 6),
        used in used(),
        is_long_missing in prop::bool::ANY,
    ) {
        let spec = spec(6);
        let numbered = held.iter().enumerate();
        let mut engines: Vec<EngineState> =
            numbered.map(|(number, models)| engine(number, models)).collect();
        for (engine, available) in engines.iter_mut().zip(&available) {
            engine.is_available = *available;
        }
        let mut needs = needs(&busy, &used);
        let claims = claims(&needs);
        for _ in 0..12 {
            if is_long_missing {
                mark_long_missing(&mut needs, &engines);
            }
            let before = engines.clone();
            let steps = plan_and_apply(&spec, &needs, &mut engines);
            for (bound, model) in &claims {
                let held_before = holders(&before, bound, model);
                let held = holders(&engines, bound, model);
                prop_assert!(
                    held >= held_before.min(1),
                    "no engine inside {bound:?} holds {model} any more",
                );
                let has_room = |engine: &&EngineState| {
                    engine.is_available
                        && is_inside(bound, engine)
                        && !steps.iter().any(|s| *engine_of(s) == engine.id)
                        && declared_mb(&engine.holding, &spec) + 70 <= 220
                };
                let loads = steps.len();
                prop_assert!(
                    held > 0
                        || loads >= 4
                        || !engines.iter().any(|e| has_room(&e)),
                    "{model} is not loaded inside {bound:?} despite room",
                );
            }
            for engine in &engines {
                prop_assert!(declared_mb(&engine.holding, &spec) <= 220);
            }
        }
    }

    #[test]
    fn a_missing_model_is_loaded_inside_its_bound(
        held in prop::collection::vec(three_models(), 8..=8),
        busy in prop::collection::vec(0.0_f64..1.0, 6),
        used in used(),
    ) {
        // Twelve places in the north, six in the south and six in the east,
        // for six models: each bound has room for all of them.
        let spec = spec(6);
        let numbered = held.iter().enumerate();
        let mut engines: Vec<EngineState> =
            numbered.map(|(number, models)| engine(number, models)).collect();
        let mut needs = needs(&busy, &used);
        for _ in 0..60 {
            mark_long_missing(&mut needs, &engines);
            plan_and_apply(&spec, &needs, &mut engines);
        }
        for (bound, model) in claims(&needs) {
            prop_assert!(
                holders(&engines, &bound, &model) > 0,
                "no engine inside {bound:?} holds {model}",
            );
        }
    }

    #[test]
    fn plans_with_bounds_converge(
        busy in prop::collection::vec(0.0_f64..3.0, 6),
        used in used(),
    ) {
        let spec = spec(6);
        let engine_of = |number| engine(number, &BTreeSet::from([number % 6]));
        let mut engines: Vec<EngineState> = (0..8).map(engine_of).collect();
        let needs = needs(&busy, &used);
        let mut steps = Vec::new();
        for _ in 0..60 {
            steps = plan_and_apply(&spec, &needs, &mut engines);
        }
        prop_assert!(steps.is_empty(), "the plan still has steps: {steps:?}");
    }
}

/// Returns needs of idle models, of which one is used inside the south.
fn used_in_the_south(model: usize, missing_ms: u64) -> Needs {
    let mut needs = needs(&[0.0; 9], &BTreeSet::from([(1, model)]));
    for need in needs.bounds.values_mut().flat_map(BTreeMap::values_mut) {
        need.missing_ms = missing_ms;
    }
    needs
}

#[gtest]
fn a_replica_outside_does_not_satisfy_a_bound() {
    let spec = spec(2);
    let mut engines: Vec<EngineState> =
        (0..4).map(|number| engine(number, &BTreeSet::from([0]))).collect();
    engines[0] = engine(0, &BTreeSet::from([0, 1]));
    let needs = used_in_the_south(1, 0);
    let steps = plan_with(&spec, &needs, &engines, Some(&topology()), 2);
    let expected = ReplicaStep::Load {
        engine: UpstreamId::new("e2"),
        model: name(1),
        source: LoadSource::WeightStore,
    };
    expect_that!(steps, elements_are![eq(&expected)]);
}

#[gtest]
fn a_model_without_any_replica_is_loaded_inside_its_bound_first() {
    let spec = spec(2);
    let engines: Vec<EngineState> =
        (0..4).map(|number| engine(number, &BTreeSet::from([0]))).collect();
    let needs = used_in_the_south(1, 0);
    let steps = plan_with(&spec, &needs, &engines, Some(&topology()), 2);
    let expected = ReplicaStep::Load {
        engine: UpstreamId::new("e2"),
        model: name(1),
        source: LoadSource::WeightStore,
    };
    expect_that!(steps, elements_are![eq(&expected)]);
}

/// The only engine in the south is full of three models that no other engine
/// holds, and a fourth model is used inside the south. One of the three has to
/// be loaded elsewhere before it can be unloaded there.
#[gtest]
fn a_last_replica_is_relocated_out_of_a_full_bound() {
    let spec = spec(4);
    let mut engines: Vec<EngineState> =
        (0..4).map(|number| engine(number, &BTreeSet::from([3]))).collect();
    engines[2] = engine(2, &BTreeSet::from([0, 1, 2]));
    let needs = used_in_the_south(3, LONG_MISSING_MS);
    let south = RegionBound::within(["south"]);
    let mut steps = Vec::new();
    for _ in 0..3 {
        steps.extend(plan_and_apply(&spec, &needs, &mut engines));
    }
    expect_that!(holders(&engines, &south, &name(3)), eq(1));
    for model in 0..3 {
        let held = holders(&engines, &RegionBound::Anywhere, &name(model));
        expect_that!(held, ge(1));
    }
    let unloads = steps.iter();
    let unloads =
        unloads.filter(|step| matches!(step, ReplicaStep::Unload { .. }));
    expect_that!(unloads.count(), eq(1));
}

#[gtest]
fn without_known_regions_no_engine_is_inside_a_bound() {
    let spec = spec(2);
    let full = BTreeSet::from([0, 1]);
    let engines: Vec<EngineState> =
        (0..3).map(|number| engine(number, &full)).collect();
    let needs = used_in_the_south(1, LONG_MISSING_MS);
    let steps = plan_with(&spec, &needs, &engines, None, 2);
    expect_that!(steps, elements_are![]);
}
