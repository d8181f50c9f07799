//! Tests of the memory that models take on engines: no order loads beyond what
//! an engine really holds, whatever the configuration declares by then.

use std::collections::{BTreeMap, BTreeSet};

use googletest::prelude::*;
use proptest::prelude::*;

use super::replicas::{holding, spec};
use crate::{
    fleet::{
        Holding, ModelSpec, Variant,
        adapters::{AdapterHost, AdapterStep, AdapterUsage, place_adapter},
        catalog::EngineSpec,
        model_sizes::{ModelSize, ModelSizes},
        replicas::{
            EngineState, KnownModels, ModelNeed, ModelNeeds, Needs,
            ReplicaStep, plan_with_bounds,
        },
    },
    id::{AdapterName, DataCentreId, ModelName, UpstreamId},
    testing::cases,
    time::Millis,
};

const MODELS: usize = 6;

/// The sizes that a model may be declared with, in MB.
const SIZES: [u64; 3] = [30, 70, 110];

/// How long an order may take to arrive, in ms.
const MAX_ORDER_DELAY_MS: u64 = 15_000;

fn name(number: usize) -> ModelName {
    ModelName::new(format!("m{number}"))
}

/// Returns a specification of some models with their sizes in MB.
fn spec_of(models: &[(usize, u64)]) -> EngineSpec {
    let model = |(number, size_mb): &(usize, u64)| ModelSpec {
        name: name(*number),
        size_mb: *size_mb,
        load_ms: 4_000,
        adapters: vec![AdapterName::new("a1"), AdapterName::new("a2")],
        adapter_size_mb: size_mb / 10,
    };
    let models = models.iter().map(model).collect();
    EngineSpec { models, ..spec(0) }
}

fn state(number: usize, holding: Holding) -> EngineState {
    EngineState {
        id: UpstreamId::new(format!("e{number}")),
        data_centre: DataCentreId::new("north"),
        software: None,
        holding,
        loading: None,
        has_pending_order: false,
        is_available: true,
        copies: BTreeSet::new(),
        has_counted_load: false,
        running_requests: 0.0,
    }
}

fn needs_of(spec: &EngineSpec) -> Needs {
    let need = ModelNeed { busy_engines: 0.5, ..ModelNeed::default() };
    let models = spec.models.iter().map(|model| model.name.clone());
    let needs: ModelNeeds = models.map(|model| (model, need)).collect();
    Needs::from(needs)
}

/// Plans with the sizes known, where some models may be removed.
fn plan_with(
    spec: &EngineSpec,
    sizes: &ModelSizes,
    removable: &BTreeSet<ModelName>,
    engines: &[EngineState],
) -> Vec<ReplicaStep> {
    let known = KnownModels { sizes, removable };
    plan_with_bounds(spec, known, &needs_of(spec), engines, None, 4)
}

/// An order on its way.
#[derive(Debug, Clone)]
struct Order {
    engine: usize,
    variant: Variant,
    is_load: bool,
    /// The sizes that were declared when the order was sent.
    size: Option<ModelSize>,
    expected_sequence: u64,
    sent_at: Millis,
}

/// An engine with the memory that it really uses.
#[derive(Debug, Clone, Default)]
struct RealEngine {
    holding: Holding,
    /// The memory of each model and adapter, in MB, as of its load.
    memory: BTreeMap<Variant, u64>,
}

impl RealEngine {
    fn used_mb(&self) -> u64 {
        self.memory.values().sum()
    }

    /// Carries an order out, if the engine still expects it.
    fn carry_out(&mut self, order: &Order) {
        if self.holding.sequence != order.expected_sequence {
            return;
        }
        self.holding.sequence += 1;
        let Variant { model, adapter } = &order.variant;
        let models = &mut self.holding.models;
        match (order.is_load, adapter) {
            (true, Some(adapter)) => {
                let adapters = models.get_mut(model).unwrap();
                adapters.insert(adapter.clone());
                let size_mb = order.size.unwrap().adapter_size_mb;
                self.memory.insert(order.variant.clone(), size_mb);
            }
            (true, None) => {
                models.insert(model.clone(), BTreeSet::new());
                let size_mb = order.size.unwrap().size_mb;
                self.memory.insert(order.variant.clone(), size_mb);
            }
            (false, Some(adapter)) => {
                models.get_mut(model).unwrap().remove(adapter);
                self.memory.remove(&order.variant);
            }
            (false, None) => {
                models.remove(model);
                self.memory.retain(|variant, _| variant.model != *model);
            }
        }
    }
}

#[derive(Debug, Clone)]
enum Happening {
    /// A configuration declares models, each with one of [`SIZES`].
    Configure(BTreeMap<usize, usize>),
    /// The holder plans; some of its orders are delayed.
    Plan { delayed: Vec<bool> },
    /// The holder places an adapter of a model.
    PlaceAdapter { model: usize, adapter: bool, delayed: bool },
    /// A delayed order arrives.
    Arrive(prop::sample::Index),
    /// Time passes, in ms.
    Wait(u64),
    /// Another gateway takes the lease, which knows the newest configuration
    /// only.
    NewHolder,
}

fn happening() -> impl Strategy<Value = Happening> {
    prop_oneof![
        2 => prop::collection::btree_map(0..MODELS, 0..SIZES.len(), 1..5)
            .prop_map(Happening::Configure),
        4 => prop::collection::vec(prop::bool::weighted(0.3), 3)
            .prop_map(|delayed| Happening::Plan { delayed }),
        2 => (0..MODELS, any::<bool>(), prop::bool::weighted(0.3)).prop_map(
            |(model, adapter, delayed)| Happening::PlaceAdapter {
                model, adapter, delayed,
            }
        ),
        2 => any::<prop::sample::Index>().prop_map(Happening::Arrive),
        1 => (0_u64..40_000).prop_map(Happening::Wait),
        1 => Just(Happening::NewHolder),
    ]
}

/// Engines, the holder of the lease, and orders on their way.
struct Fleet {
    engines: Vec<RealEngine>,
    spec: EngineSpec,
    sizes: ModelSizes,
    delayed: Vec<Order>,
    now: Millis,
    /// Whether models keep one size, so that a holder that knows the newest
    /// configuration only knows the sizes of its models.
    has_fixed_sizes: bool,
}

impl Fleet {
    fn new(has_fixed_sizes: bool) -> Self {
        Self {
            engines: vec![RealEngine::default(); 3],
            spec: spec_of(&[]),
            sizes: ModelSizes::default(),
            delayed: Vec::new(),
            now: Millis::new(1),
            has_fixed_sizes,
        }
    }

    fn held(&self) -> BTreeSet<ModelName> {
        let engines = self.engines.iter();
        engines.flat_map(|e| e.holding.models.keys().cloned()).collect()
    }

    fn configure(&mut self, models: &BTreeMap<usize, usize>) {
        let size = |(model, size): (&usize, &usize)| {
            let size = if self.has_fixed_sizes { model } else { size };
            (*model, SIZES[size % SIZES.len()])
        };
        let models: Vec<(usize, u64)> = models.iter().map(size).collect();
        self.spec = spec_of(&models);
        let held = self.held();
        let held = held.iter().collect();
        self.sizes.declare(&self.spec.models, &held, self.now);
    }

    /// Returns the holdings as the holder knows them.
    fn states(&self) -> Vec<EngineState> {
        let engines = self.engines.iter().enumerate();
        let state = |(number, one): (usize, &RealEngine)| {
            state(number, one.holding.clone())
        };
        engines.map(state).collect()
    }

    fn order(&self, engine: usize, variant: Variant, is_load: bool) -> Order {
        let declared = self.spec.model(&variant.model);
        Order {
            engine,
            size: declared.map(ModelSize::from),
            variant,
            is_load,
            expected_sequence: self.engines[engine].holding.sequence,
            sent_at: self.now,
        }
    }

    fn send(&mut self, order: Order, is_delayed: bool) {
        if is_delayed {
            self.delayed.push(order);
        } else {
            self.engines[order.engine].carry_out(&order);
        }
    }

    fn plan(&mut self, delayed: &[bool]) {
        let undeclared = self.held().into_iter();
        let removable = undeclared
            .filter(|model| self.spec.model(model).is_none())
            .collect();
        let states = self.states();
        let steps = plan_with(&self.spec, &self.sizes, &removable, &states);
        for step in steps {
            let (id, model, is_load) = match step {
                ReplicaStep::Load { engine, model, .. } => {
                    (engine, model, true)
                }
                ReplicaStep::Unload { engine, model } => {
                    (engine, model, false)
                }
            };
            let engine = states.iter().position(|one| one.id == id).unwrap();
            let variant = Variant { model, adapter: None };
            let order = self.order(engine, variant, is_load);
            self.send(order, delayed[engine]);
        }
    }

    fn place_adapter(&mut self, variant: Variant, is_delayed: bool) {
        if self.spec.model(&variant.model).is_none() {
            return;
        }
        let states = self.states();
        let recent = BTreeMap::new();
        let hosts: Vec<AdapterHost<'_>> = states
            .iter()
            .map(|state| AdapterHost {
                engine: &state.id,
                holding: &state.holding,
                recent: &recent,
            })
            .collect();
        let usage = |_: &Variant| AdapterUsage::default();
        let step =
            place_adapter(&variant, &hosts, &self.spec, &self.sizes, usage);
        let (id, variant, is_load) = match step {
            Some(AdapterStep::Load(engine)) => (engine, variant, true),
            Some(AdapterStep::MakeRoom { engine, victim }) => {
                (engine, victim, false)
            }
            None => return,
        };
        let engine = states.iter().position(|one| one.id == id).unwrap();
        let order = self.order(engine, variant, is_load);
        self.send(order, is_delayed);
    }

    fn happen(&mut self, happening: &Happening) {
        match happening {
            Happening::Configure(models) => self.configure(models),
            Happening::Plan { delayed } => self.plan(delayed),
            Happening::PlaceAdapter { model, adapter, delayed } => {
                let adapter = if *adapter { "a1" } else { "a2" };
                let variant = Variant::adapted(name(*model).as_str(), adapter);
                self.place_adapter(variant, *delayed);
            }
            Happening::Arrive(index) => {
                if !self.delayed.is_empty() {
                    let index = index.index(self.delayed.len());
                    let order = self.delayed.remove(index);
                    self.engines[order.engine].carry_out(&order);
                }
            }
            Happening::Wait(ms) => {
                self.now = self.now + *ms;
                let now = self.now;
                self.delayed.retain(|order| {
                    now.since(order.sent_at) < MAX_ORDER_DELAY_MS
                });
            }
            Happening::NewHolder => {
                if self.has_fixed_sizes {
                    self.sizes = ModelSizes::declared_by(&self.spec);
                }
            }
        }
    }
}

proptest! {
    #![proptest_config(cases())]

    #[test]
    fn no_order_loads_beyond_what_an_engine_really_holds(
        has_fixed_sizes in any::<bool>(),
        happenings in prop::collection::vec(happening(), 1..60),
    ) {
        let mut fleet = Fleet::new(has_fixed_sizes);
        for happening in &happenings {
            fleet.happen(happening);
            for engine in &fleet.engines {
                let places = fleet.spec.adapter_places;
                prop_assert!(engine.used_mb() <= fleet.spec.memory_mb);
                prop_assert!(engine.holding.adapter_count() <= places);
            }
        }
    }

    /// The memory of models that are no longer declared is not lost.
    #[test]
    fn every_declared_model_finds_a_place_in_the_end(
        held in prop::collection::btree_set(10_usize..16, 0..=3),
        is_known in any::<bool>(),
    ) {
        let dropped: Vec<(usize, u64)> =
            held.iter().map(|model| (*model, 70)).collect();
        let spec = spec_of(&[(0, 70), (1, 70), (2, 70)]);
        let mut sizes = ModelSizes::declared_by(&spec_of(&dropped));
        if !is_known {
            sizes = ModelSizes::new();
        }
        sizes.declare(&spec.models, &BTreeSet::new(), Millis::new(1));
        let removable: BTreeSet<ModelName> =
            held.iter().copied().map(name).collect();
        let mut engine = RealEngine::default();
        for model in &removable {
            engine.holding.models.insert(model.clone(), BTreeSet::new());
        }
        for _ in 0..8 {
            let states = [state(0, engine.holding.clone())];
            for step in plan_with(&spec, &sizes, &removable, &states) {
                match step {
                    ReplicaStep::Load { model, .. } => {
                        let models = &mut engine.holding.models;
                        models.insert(model, BTreeSet::new());
                    }
                    ReplicaStep::Unload { model, .. } => {
                        engine.holding.models.remove(&model);
                    }
                }
            }
        }
        let held = engine.holding.models.keys();
        prop_assert_eq!(held.cloned().collect::<Vec<_>>(),
            vec![name(0), name(1), name(2)]);
    }
}

fn load(engine: usize, model: usize) -> ReplicaStep {
    ReplicaStep::Load {
        engine: UpstreamId::new(format!("e{engine}")),
        model: name(model),
        source: crate::fleet::replicas::LoadSource::WeightStore,
    }
}

#[gtest]
fn a_dropped_model_stays_while_another_engine_has_room() {
    let full = holding(&[("m0", &[]), ("m1", &[]), ("m2", &[])]);
    let mut sizes = ModelSizes::declared_by(&spec(3));
    let declared = spec_of(&[(0, 70), (1, 70), (3, 70)]);
    sizes.declare(&declared.models, &BTreeSet::new(), Millis::new(1));
    let removable = BTreeSet::from([name(2)]);
    let engines = [state(0, full.clone()), state(1, Holding::default())];
    let steps = plan_with(&declared, &sizes, &removable, &engines);
    expect_that!(steps, contains(eq(&load(1, 3))));
    let unload =
        |step: &&ReplicaStep| matches!(step, ReplicaStep::Unload { .. });
    expect_that!(steps.iter().filter(unload).count(), eq(0));
    let steps = plan_with(&declared, &sizes, &removable, &engines[..1]);
    let engine = UpstreamId::new("e0");
    let expected = ReplicaStep::Unload { engine, model: name(2) };
    expect_that!(steps, elements_are![eq(&expected)]);
    // Until it may be removed, it counts and stays.
    let steps = plan_with(&declared, &sizes, &BTreeSet::new(), &engines[..1]);
    expect_that!(steps, elements_are![]);
}

#[gtest]
fn no_adapter_is_unloaded_beside_a_model_of_unknown_size() {
    let spec = spec(1);
    let sizes = ModelSizes::declared_by(&spec);
    let held = holding(&[("m0", &["a1"]), ("unknown", &[])]);
    let id = UpstreamId::new("e0");
    let recent = BTreeMap::new();
    let hosts = [AdapterHost { engine: &id, holding: &held, recent: &recent }];
    let variant = Variant::adapted("m0", "a2");
    let step = place_adapter(&variant, &hosts, &spec, &sizes, |_| {
        AdapterUsage::default()
    });
    expect_that!(step, none());
}

fn size_of(sizes: &ModelSizes, model: usize) -> Option<u64> {
    sizes.get(&name(model)).map(|size| size.size_mb)
}

#[gtest]
fn the_largest_size_is_kept_while_the_model_is_held_and_a_while_after() {
    let mut sizes = ModelSizes::declared_by(&spec_of(&[(0, 110)]));
    let (held, nothing) = (name(0), BTreeSet::new());
    let held = BTreeSet::from([&held]);
    let at = Millis::new;
    let small = spec_of(&[(0, 70)]).models;
    sizes.declare(&small, &held, at(100_000));
    sizes.declare(&small, &held, at(300_000));
    expect_that!(size_of(&sizes, 0), some(eq(110)));
    sizes.declare(&small, &nothing, at(320_000));
    expect_that!(size_of(&sizes, 0), some(eq(110)));
    sizes.declare(&small, &nothing, at(360_000));
    expect_that!(size_of(&sizes, 0), some(eq(70)));
    sizes.declare(&[], &held, at(900_000));
    sizes.declare(&[], &held, at(1_900_000));
    expect_that!(size_of(&sizes, 0), some(eq(70)));
    sizes.declare(&[], &nothing, at(1_960_000));
    expect_that!(size_of(&sizes, 0), none());
}

#[gtest]
fn the_number_of_kept_sizes_is_bounded() {
    let mut sizes = ModelSizes::new();
    for change in 0..100_u64 {
        let first = usize::try_from(change).unwrap() * 100;
        let models: Vec<(usize, u64)> =
            (first..first + 100).map(|model| (model, 70)).collect();
        let spec = spec_of(&models);
        let now = Millis::new(change * 300);
        sizes.declare(&spec.models, &BTreeSet::new(), now);
    }
    expect_that!(size_of(&sizes, 9_999), some(eq(70)));
    let kept = (0..10_000).filter(|model| size_of(&sizes, *model).is_some());
    expect_that!(kept.count(), eq(4_196));
}
