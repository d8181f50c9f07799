//! Everything becomes and stays reachable, within memory, at few moves.

use std::collections::{BTreeMap, BTreeSet};

use googletest::prelude::*;
use proptest::prelude::*;

use super::{
    Action, EngineView, ModelDemand, Planner, Reason, StepKind, forecast,
};
use crate::{
    Millis,
    capacity::Capacity,
    config::{
        Served, Weighing,
        pack::{EngineRoom, PackFault, pack},
    },
    demand::{DemandSettings, Estimator},
    id::{Artifact, DataCentreId, ModelName, UpstreamId},
    testing::few_cases,
};

type AllServed = BTreeMap<ModelName, Served>;
type Demand = BTreeMap<Artifact, ModelDemand>;

const HORIZON_S: f64 = 300.0;

fn model(name: &str, size_mib: u64) -> Served {
    Served {
        artifact: Artifact::new(name, 1),
        size_mib,
        base: None,
        min_replicas: 1,
    }
}

fn adapter(name: &str, base: &str, size_mib: u64) -> Served {
    let base = Some(Artifact::new(base, 1));
    Served { base, ..model(name, size_mib) }
}

fn served(all: impl IntoIterator<Item = Served>) -> AllServed {
    all.into_iter().map(|s| (s.artifact.name.clone(), s)).collect()
}

fn engine(index: usize, usable_mib: u64) -> EngineView {
    EngineView {
        engine: UpstreamId::new(format!("e{index}")),
        data_centre: DataCentreId::new(format!("d{}", index % 2)),
        free_mib: usable_mib,
        capacity: Capacity { slots: 4.0, tokens_read: 1_000.0 },
        takes_work: true,
        reachable: BTreeSet::new(),
        claimed: BTreeMap::new(),
        leaving: BTreeSet::new(),
        unsettled: BTreeSet::new(),
    }
}

fn engines(sizes: &[u64]) -> Vec<EngineView> {
    sizes.iter().enumerate().map(|(i, size)| engine(i, *size)).collect()
}

fn rooms(sizes: &[u64]) -> Vec<EngineRoom> {
    let engines = engines(sizes).into_iter();
    engines
        .map(|engine| EngineRoom {
            engine: engine.engine,
            data_centre: engine.data_centre,
            usable_mib: engine.free_mib,
        })
        .collect()
}

/// Engines whose orders take some rounds to have an effect.
struct World {
    engines: Vec<EngineView>,
    usable: Vec<u64>,
    pending: Vec<(usize, Action)>,
    moves: usize,
}

impl World {
    fn new(sizes: &[u64]) -> Self {
        Self {
            engines: engines(sizes),
            usable: sizes.to_vec(),
            pending: Vec::new(),
            moves: 0,
        }
    }

    /// Plans a round; what it orders has its effect `delay` rounds later.
    fn round(
        &mut self,
        served: &AllServed,
        demand: &Demand,
        weighing: Weighing,
        delay: usize,
    ) {
        let views = self.engines.clone();
        let planner =
            Planner::new(served, demand, weighing, HORIZON_S, views, 2);
        for action in planner.plan() {
            self.order(&action);
            self.moves += 1;
            self.pending.push((delay, action));
        }
        self.settle();
    }

    fn find(&mut self, action: &Action) -> &mut EngineView {
        let named = |e: &&mut EngineView| e.engine == action.engine;
        self.engines.iter_mut().find(named).unwrap()
    }

    fn order(&mut self, action: &Action) {
        let engine = self.find(action);
        let artifact = action.artifact.clone();
        assert!(engine.unsettled.insert(artifact.clone()));
        match action.kind {
            StepKind::Load => {
                assert!(engine.free_mib >= action.size_mib);
                engine.free_mib -= action.size_mib;
                engine.claimed.insert(artifact, action.size_mib);
            }
            StepKind::Unload => {
                engine.reachable.remove(&artifact);
                engine.leaving.insert(artifact);
            }
        }
    }

    fn settle(&mut self) {
        let pending = std::mem::take(&mut self.pending);
        for (rounds, action) in pending {
            if rounds > 0 {
                self.pending.push((rounds - 1, action));
                continue;
            }
            let engine = self.find(&action);
            let artifact = action.artifact.clone();
            engine.unsettled.remove(&artifact);
            match action.kind {
                StepKind::Load => {
                    engine.reachable.insert(artifact);
                }
                StepKind::Unload => {
                    engine.leaving.remove(&artifact);
                    let size = engine.claimed.remove(&artifact).unwrap();
                    engine.free_mib += size;
                }
            }
        }
    }

    fn reachable(&self, served: &Served) -> bool {
        self.engines.iter().any(|engine| {
            let has = |a: &Artifact| engine.reachable.contains(a);
            has(&served.artifact) && served.base.as_ref().is_none_or(has)
        })
    }

    /// Whether some version of a model or adapter can answer.
    fn answers(&self, served: &Served) -> bool {
        let named = |engine: &EngineView, name: &ModelName| {
            engine.reachable.iter().any(|a| a.name == *name)
        };
        self.engines.iter().any(|engine| {
            named(engine, &served.artifact.name)
                && served.base.as_ref().is_none_or(|b| named(engine, &b.name))
        })
    }

    fn overcommitted(&self) -> bool {
        self.engines.iter().zip(&self.usable).any(|(engine, usable)| {
            engine.claimed.values().sum::<u64>() > *usable
        })
    }
}

fn rate(requests_per_second: f64) -> ModelDemand {
    ModelDemand { requests_per_second, service_s: 1.0, read_tokens: 10.0 }
}

/// A set of models and adapters that engines of 100 MiB hold, with room.
fn deployments() -> impl Strategy<Value = (Vec<u64>, AllServed)> {
    let models = prop::collection::vec((10_u64..50, 0_usize..3), 1..8);
    (2_usize..6, models).prop_filter_map("does not fit", |(count, models)| {
        let sizes = vec![100; count];
        let mut all = Vec::new();
        for (index, (size, adapters)) in models.iter().enumerate() {
            let name = format!("m{index}");
            all.push(model(&name, *size));
            for number in 0..*adapters {
                let adapter_name = format!("m{index}-a{number}");
                all.push(adapter(&adapter_name, &name, 3));
            }
        }
        let all = served(all);
        pack(&rooms(&sizes), &all).ok()?;
        Some((sizes, all))
    })
}

proptest! {
    #![proptest_config(few_cases())]

    /// Whatever demand does, and through a change of every version, what
    /// was reachable stays so and memory is kept.
    #[test]
    fn what_is_reachable_stays_so_through_demand_and_new_versions(
        (sizes, first) in deployments(),
        delay in 0_usize..3,
        rates in prop::collection::vec(0.0_f64..20.0, 12),
    ) {
        let mut world = World::new(&sizes);
        let mut second = first.clone();
        for served in second.values_mut() {
            if served.base.is_none() {
                served.artifact.version = 2;
            } else if let Some(base) = &mut served.base {
                base.version = 2;
            }
        }
        let weighing = Weighing { attainment: 1.0, moves: 5.0 };
        let mut answered = BTreeSet::new();
        for round in 0..120 {
            let all = if round < 60 { &first } else { &second };
            let demand: Demand = all
                .values()
                .enumerate()
                .map(|(i, served)| {
                    let at = (i + round / 10) % rates.len();
                    (served.artifact.clone(), rate(rates[at]))
                })
                .collect();
            world.round(all, &demand, weighing, delay);
            prop_assert!(!world.overcommitted());
            for served in all.values() {
                let name = served.artifact.name.clone();
                if world.answers(served) {
                    answered.insert(name);
                } else {
                    prop_assert!(
                        !answered.contains(&name),
                        "{name} was lost in round {round}",
                    );
                }
            }
        }
        prop_assert_eq!(answered.len(), first.len());
    }
}

#[gtest]
fn an_empty_site_fills_up_with_each_model_once() {
    let all = served([
        model("a", 60),
        model("b", 50),
        adapter("a-x", "a", 5),
        adapter("b-x", "b", 5),
    ]);
    let steps = forecast(
        &all,
        &Demand::new(),
        Weighing::default(),
        HORIZON_S,
        engines(&[100, 100, 100]),
    );
    expect_that!(steps, len(eq(4)));
    let loads = steps.iter().all(|step| step.kind == StepKind::Load);
    expect_that!(loads, eq(true));
}

#[gtest]
fn a_dead_engines_models_are_loaded_elsewhere() {
    let all = served([model("a", 60), model("b", 50)]);
    let mut world = World::new(&[100, 100, 100]);
    for _ in 0..5 {
        world.round(&all, &Demand::new(), Weighing::default(), 0);
    }
    let dead = world
        .engines
        .iter_mut()
        .find(|e| e.reachable.contains(&Artifact::new("a", 1)))
        .unwrap();
    dead.takes_work = false;
    dead.reachable.clear();
    for _ in 0..5 {
        world.round(&all, &Demand::new(), Weighing::default(), 0);
    }
    expect_that!(world.reachable(&all["a"]), eq(true));
}

#[gtest]
fn a_busy_model_gets_a_replica_if_it_is_worth_the_move() {
    let all = served([model("a", 40), model("b", 40)]);
    let a = Artifact::new("a", 1);
    let demand: Demand = [(a.clone(), rate(8.0))].into();
    let cases = [(5.0, 2), (1e9, 1)];
    for (moves, wanted) in cases {
        let weighing = Weighing { attainment: 1.0, moves };
        let mut world = World::new(&[100, 100]);
        for _ in 0..10 {
            world.round(&all, &demand, weighing, 0);
        }
        let holders =
            world.engines.iter().filter(|e| e.reachable.contains(&a));
        expect_that!(holders.count(), eq(wanted), "price {moves}");
    }
}

/// Two models swing between busy and idle every 20 s; returns the moves.
fn moves_under_a_swing(settings: DemandSettings) -> usize {
    let all = served([model("a", 60), model("b", 60)]);
    let (a, b) = (Artifact::new("a", 1), Artifact::new("b", 1));
    let weighing = Weighing { attainment: 1.0, moves: 200.0 };
    let mut world = World::new(&[100, 100, 100]);
    let mut estimator = Estimator::new(settings, Millis::new(0));
    for second in 1..=400_u64 {
        let busy = if (second / 20) % 2 == 0 { &a } else { &b };
        for _ in 0..8 {
            estimator.arrived(busy, 10);
        }
        estimator.close_window(Millis::new(second * 1_000));
        world.round(&all, &estimator.demand(), weighing, 1);
    }
    world.moves
}

#[gtest]
fn a_swinging_demand_does_not_swing_the_models() {
    let slow_fall = moves_under_a_swing(DemandSettings::default());
    // Two first loads, and the third engine given to one of them.
    expect_that!(slow_fall, le(3));
    // Without the mechanism: estimates that fall as fast as they rise.
    let rise_half_ms = DemandSettings::default().rise_half_ms;
    let fast_fall = moves_under_a_swing(DemandSettings {
        fall_half_ms: rise_half_ms,
        ..DemandSettings::default()
    });
    expect_that!(fast_fall, gt(20));
}

#[gtest]
fn replicas_go_to_another_data_centre() {
    let twice = Served { min_replicas: 2, ..model("a", 40) };
    let all = served([twice]);
    let mut world = World::new(&[100, 90, 100, 90]);
    for _ in 0..3 {
        world.round(&all, &Demand::new(), Weighing::default(), 0);
    }
    let places: BTreeSet<_> = world
        .engines
        .iter()
        .filter(|e| e.reachable.contains(&all["a"].artifact))
        .map(|e| e.data_centre.clone())
        .collect();
    expect_that!(places, len(eq(2)));
}

#[gtest]
fn a_full_site_makes_room_by_giving_up_a_spare_replica() {
    let all = served([model("a", 60), model("b", 60)]);
    let a = Artifact::new("a", 1);
    let mut views = engines(&[100, 100]);
    for view in &mut views {
        view.claimed.insert(a.clone(), 60);
        view.reachable.insert(a.clone());
        view.free_mib = 40;
    }
    let none = Demand::new();
    let weighing = Weighing::default();
    let planner = Planner::new(&all, &none, weighing, HORIZON_S, views, 4);
    let steps = planner.plan();
    expect_that!(steps, len(eq(1)));
    expect_that!(steps[0].kind, eq(StepKind::Unload));
    let room_for = Reason::RoomFor(Artifact::new("b", 1));
    expect_that!(steps[0].reason, eq(&room_for));
}

#[gtest]
fn sets_that_do_not_fit_are_refused_with_the_reason() {
    let too_large = pack(&rooms(&[100]), &served([model("a", 101)]));
    expect_that!(too_large, err(matches_pattern!(PackFault::TooLarge { .. })));
    let none_left =
        pack(&rooms(&[100]), &served([model("a", 60), model("b", 60)]));
    expect_that!(none_left, err(matches_pattern!(PackFault::NoRoom { .. })));
    let no_change = pack(&rooms(&[100]), &served([model("a", 60)]));
    expect_that!(
        no_change,
        err(matches_pattern!(PackFault::NoRoomForChange {
            needed_mib: eq(&60),
            free_mib: eq(&40),
            ..
        }))
    );
}

#[gtest]
fn an_adapters_own_base_is_never_given_up_for_it() {
    let all = served([model("a", 60), adapter("a-x", "a", 30)]);
    let a = Artifact::new("a", 1);
    let mut views = engines(&[80, 100]);
    for view in &mut views {
        view.claimed.insert(a.clone(), 60);
        view.reachable.insert(a.clone());
        view.free_mib -= 60;
    }
    let x = Artifact::new("a-x", 1);
    views[1].claimed.insert(x.clone(), 30);
    views[1].reachable.insert(x.clone());
    views[1].free_mib -= 30;
    let demand: Demand = [(x, rate(100.0))].into();
    let weighing = Weighing { attainment: 1.0, moves: 1.0 };
    let planner = Planner::new(&all, &demand, weighing, HORIZON_S, views, 4);
    expect_that!(planner.plan(), is_empty());
}
