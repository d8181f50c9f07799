//! Models stay reachable inside the bounds in which they are used.

use std::collections::{BTreeMap, BTreeSet};

use googletest::prelude::*;
use proptest::prelude::*;

use super::replicas::spec;
use crate::{
    fleet::{
        Holding, RegionBound,
        adapters::used_mb,
        catalog::EngineSpec,
        replicas::{
            EngineState, LoadSource, ModelNeed, ModelNeeds, Needs,
            ReplicaStep, plan_by_place,
        },
        topology::Topology,
    },
    id::{DataCentreId, ModelName, RegionId, UpstreamId},
    testing::cases,
};

/// Data centres, and the region of each.
const PLACES: [(&str, &str); 4] =
    [("n1", "north"), ("n2", "north"), ("s1", "south"), ("e1", "east")];

/// Bounds of which one lies inside another, and one meets two.
const BOUNDS: [&[&str]; 4] =
    [&["north"], &["south"], &["north", "east"], &["south", "east"]];

/// How long a plan waits before a lost model presses as hard as any, in ms.
const LONG_LOST_MS: u64 = 60_000;

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
        holding: Holding {
            sequence: 0,
            models: models
                .iter()
                .map(|m| (name(*m), BTreeSet::new()))
                .collect(),
        },
        loading: None,
        busy: false,
        sound: true,
        copies: BTreeSet::new(),
        is_counted: false,
        load: 0.0,
    }
}

fn name(model: usize) -> ModelName {
    ModelName::new(format!("m{model}"))
}

fn bound(number: usize) -> RegionBound {
    RegionBound::within(BOUNDS[number])
}

/// Needs by the demand anywhere, and the models used inside bounds.
fn needs(busy: &[f64], used: &BTreeSet<(usize, usize)>) -> Needs {
    let busy_need = |busy: f64| ModelNeed { busy, ..ModelNeed::default() };
    let all = busy.iter().enumerate();
    let everywhere = all.map(|(model, busy)| (name(model), busy_need(*busy)));
    let mut bounds: BTreeMap<RegionBound, ModelNeeds> = BTreeMap::new();
    for (number, model) in used {
        let need = busy_need(busy[*model] / 2.0);
        bounds.entry(bound(*number)).or_default().insert(name(*model), need);
    }
    Needs { everywhere: everywhere.collect(), bounds }
}

/// Notes that models were missed for long.
fn long_lost(needs: &mut Needs, engines: &[EngineState]) {
    let anywhere = RegionBound::Anywhere;
    let everywhere = std::iter::once((&anywhere, &mut needs.everywhere));
    for (bound, needs) in everywhere.chain(&mut needs.bounds) {
        for (model, need) in needs {
            let held = holders(engines, bound, model);
            need.lost_ms = if held == 0 { LONG_LOST_MS } else { 0 };
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
        e.sound && is_inside(bound, e) && e.holding.models.contains_key(model)
    };
    engines.iter().filter(holds).count()
}

fn engine_of(step: &ReplicaStep) -> &UpstreamId {
    match step {
        ReplicaStep::Load { engine, .. }
        | ReplicaStep::Unload { engine, .. } => engine,
    }
}

/// Carries a step out at once.
fn carry_out(engines: &mut [EngineState], step: &ReplicaStep) {
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

fn step_all(
    spec: &EngineSpec,
    needs: &Needs,
    engines: &mut [EngineState],
) -> Vec<ReplicaStep> {
    let steps = plan_by_place(spec, needs, engines, Some(&topology()), 4);
    for step in &steps {
        carry_out(engines, step);
    }
    steps
}

/// Returns each bound's models, and those that are used anywhere.
fn claims(needs: &Needs) -> Vec<(RegionBound, ModelName)> {
    let anywhere = (&RegionBound::Anywhere, &needs.everywhere);
    let all = std::iter::once(anywhere).chain(&needs.bounds);
    let one = |(bound, models): (&RegionBound, &ModelNeeds)| {
        let models = models.keys().cloned();
        models.map(|model| (bound.clone(), model)).collect::<Vec<_>>()
    };
    all.flat_map(one).collect()
}

fn used() -> impl Strategy<Value = BTreeSet<(usize, usize)>> {
    prop::collection::btree_set((0..BOUNDS.len(), 0_usize..6), 0..8)
}

proptest! {
    #![proptest_config(cases())]

    #[test]
    fn no_plan_leaves_a_model_unreachable_inside_a_bound(
        held in prop::collection::vec(
            prop::collection::btree_set(0_usize..6, 0..=3), 4..10,
        ),
        sound in prop::collection::vec(prop::bool::weighted(0.8), 10),
        busy in prop::collection::vec(0.0_f64..3.0, 6),
        used in used(),
        is_long in prop::bool::ANY,
    ) {
        let spec = spec(6);
        let numbered = held.iter().enumerate();
        let mut engines: Vec<EngineState> =
            numbered.map(|(number, models)| engine(number, models)).collect();
        for (engine, sound) in engines.iter_mut().zip(&sound) {
            engine.sound = *sound;
        }
        let mut needs = needs(&busy, &used);
        let claims = claims(&needs);
        for _ in 0..12 {
            if is_long {
                long_lost(&mut needs, &engines);
            }
            let before = engines.clone();
            let steps = step_all(&spec, &needs, &mut engines);
            for (bound, model) in &claims {
                let held_before = holders(&before, bound, model);
                let held = holders(&engines, bound, model);
                prop_assert!(
                    held >= held_before.min(1),
                    "{model} was lost inside {bound:?}",
                );
                let has_room = |engine: &&EngineState| {
                    engine.sound
                        && is_inside(bound, engine)
                        && !steps.iter().any(|s| *engine_of(s) == engine.id)
                        && used_mb(&engine.holding, &spec) + 70 <= 220
                };
                let loads = steps.len();
                prop_assert!(
                    held > 0 || loads >= 4 || !engines.iter().any(|e| has_room(&e)),
                    "{model} stays missed inside {bound:?}",
                );
            }
            for engine in &engines {
                prop_assert!(used_mb(&engine.holding, &spec) <= 220);
            }
        }
    }

    #[test]
    fn a_missed_model_comes_back_inside_its_bound(
        held in prop::collection::vec(
            prop::collection::btree_set(0_usize..6, 3), 8..=8,
        ),
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
            long_lost(&mut needs, &engines);
            step_all(&spec, &needs, &mut engines);
        }
        for (bound, model) in claims(&needs) {
            prop_assert!(
                holders(&engines, &bound, &model) > 0,
                "{model} is missed inside {bound:?}",
            );
        }
    }

    #[test]
    fn plans_for_bounds_come_to_rest(
        busy in prop::collection::vec(0.0_f64..3.0, 6),
        used in used(),
    ) {
        let spec = spec(6);
        let one = |number| engine(number, &BTreeSet::from([number % 6]));
        let mut engines: Vec<EngineState> = (0..8).map(one).collect();
        let needs = needs(&busy, &used);
        let mut steps = Vec::new();
        for _ in 0..60 {
            steps = step_all(&spec, &needs, &mut engines);
        }
        prop_assert!(steps.is_empty(), "still {steps:?}");
    }
}

/// Needs of models that nobody uses but one, inside the south.
fn used_in_the_south(model: usize, lost_ms: u64) -> Needs {
    let mut needs = needs(&[0.0; 9], &BTreeSet::from([(1, model)]));
    for need in needs.bounds.values_mut().flat_map(BTreeMap::values_mut) {
        need.lost_ms = lost_ms;
    }
    needs
}

#[gtest]
fn a_replica_outside_counts_nothing_inside() {
    let spec = spec(2);
    let mut engines: Vec<EngineState> =
        (0..4).map(|number| engine(number, &BTreeSet::from([0]))).collect();
    engines[0] = engine(0, &BTreeSet::from([0, 1]));
    let needs = used_in_the_south(1, 0);
    let steps = plan_by_place(&spec, &needs, &engines, Some(&topology()), 2);
    let expected = ReplicaStep::Load {
        engine: UpstreamId::new("e2"),
        model: name(1),
        source: LoadSource::WeightStore,
    };
    expect_that!(steps, elements_are![eq(&expected)]);
}

#[gtest]
fn a_model_that_is_gone_is_loaded_inside_its_bound_first() {
    let spec = spec(2);
    let engines: Vec<EngineState> =
        (0..4).map(|number| engine(number, &BTreeSet::from([0]))).collect();
    let needs = used_in_the_south(1, 0);
    let steps = plan_by_place(&spec, &needs, &engines, Some(&topology()), 2);
    let expected = ReplicaStep::Load {
        engine: UpstreamId::new("e2"),
        model: name(1),
        source: LoadSource::WeightStore,
    };
    expect_that!(steps, elements_are![eq(&expected)]);
}

/// Three models of which each is held once, in the south, leave no room there
/// for one that is used inside the south.
#[gtest]
fn the_last_of_their_kind_move_out_of_a_full_bound() {
    let spec = spec(4);
    let mut engines: Vec<EngineState> =
        (0..4).map(|number| engine(number, &BTreeSet::from([3]))).collect();
    engines[2] = engine(2, &BTreeSet::from([0, 1, 2]));
    let needs = used_in_the_south(3, LONG_LOST_MS);
    let south = RegionBound::within(["south"]);
    let mut steps = Vec::new();
    for _ in 0..3 {
        steps.extend(step_all(&spec, &needs, &mut engines));
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
    let needs = used_in_the_south(1, LONG_LOST_MS);
    let steps = plan_by_place(&spec, &needs, &engines, None, 2);
    expect_that!(steps, elements_are![]);
}
