//! Tests of restarted engines, of polls, and of the placement of adapters.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    rc::Rc,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use futures::FutureExt;
use googletest::prelude::*;
use tokio::{sync::mpsc, time::timeout};
use valehold_core::{
    Millis,
    fleet::{
        BoundVariant, CallerLimits, Catalog, EngineHolding, Holding, Listing,
        ModelSpec, RegionBound, Service, Upstream, UpstreamStart, Variant,
        catalog::EngineSpec, topology::Topology,
    },
    id::{
        AdapterName, DataCentreId, InstanceId, ModelName, ServiceName,
        UpstreamId,
    },
};
use valehold_ports::{
    PortError,
    port::{
        Answer,
        fleet::{
            EngineOrder, EngineReport, FleetEngines, OrderAnswer,
            OrderOutcome, OrderWish,
        },
    },
};

use super::{Authority, MAX_POLLS_IN_FLIGHT, Placer};
use crate::{
    control::input::{Input, OrderResult, PendingOrder},
    mechanisms::MechanismSettings,
    peers::{
        message::VariantDemand,
        roster::sums::{DemandSum, Loads},
    },
};

/// How long a report of an engine that answers within some ms is waited for.
const REPORT_WITHIN: Duration = Duration::from_secs(60);

/// Engines that answer no call.
struct SilentEngines;

impl FleetEngines for SilentEngines {
    fn report(&self, _: SocketAddr) -> Answer<'_, EngineReport> {
        async { Err(PortError::timed_out("silent")) }.boxed()
    }

    fn order<'a>(&'a self, _: &'a EngineOrder) -> Answer<'a, OrderAnswer> {
        async { Err(PortError::timed_out("silent")) }.boxed()
    }
}

fn placer() -> Placer {
    let (inputs, _) = mpsc::unbounded_channel();
    let holder = InstanceId::new("g1");
    let authority = Authority { holder, epoch: Rc::new(|| Some(1)) };
    let mechanisms = MechanismSettings::default();
    let topology = Topology::new(DataCentreId::new("north"), [].into());
    let engines = Arc::new(SilentEngines);
    Placer::new(engines, inputs, authority, 5.0, mechanisms, topology)
}

fn at(ms: u64) -> Millis {
    Millis::new(ms)
}

fn start(started_at_ms: u64) -> UpstreamStart {
    UpstreamStart {
        id: UpstreamId::new("e1"),
        started_at_ms: Some(started_at_ms),
    }
}

fn holding(sequence: u64, models: &[&str]) -> Holding {
    let models = models.iter().map(ModelName::new);
    let models = models.map(|model| (model, BTreeSet::new())).collect();
    Holding { sequence, models }
}

fn listing_of_one(started_at_ms: u64, models: &[&str]) -> Listing {
    let upstream = Upstream {
        id: UpstreamId::new("e1"),
        service: ServiceName::new("engines"),
        address: ([127, 0, 0, 1], 1).into(),
        data_centre: DataCentreId::new("north"),
        slots: 4,
        leaving: false,
        cold_for_ms: 0,
        started_at_ms: Some(started_at_ms),
        software: None,
        holding: holding(0, models),
    };
    let upstreams = [(upstream.id.clone(), Arc::new(upstream))];
    Listing { version: 1, upstreams: upstreams.into_iter().collect() }
}

fn report(
    started_at_ms: u64,
    sequence: u64,
    models: &[&str],
) -> Result<EngineReport, PortError> {
    Ok(EngineReport {
        birth: Some(started_at_ms),
        holding: holding(sequence, models),
        copies: BTreeSet::new(),
        busy: false,
    })
}

/// Creates a placer that knows one engine, after a report of its first start
/// with seven accepted orders.
fn placer_with_engine() -> Placer {
    let mut placer = placer();
    placer.replace_listing(&listing_of_one(1, &["alpha"]));
    placer.begin_epoch(1, None);
    placer.on_report(&start(1), report(1, 7, &["alpha", "beta"]), at(0));
    placer
}

/// Returns the latest advertisement of the engine's holding.
fn advertised(placer: &Placer) -> EngineHolding {
    placer.holdings_where(|_, _| true).remove(0)
}

#[gtest]
fn a_report_of_a_later_start_is_applied_at_once() {
    let mut placer = placer_with_engine();
    let before = advertised(&placer);
    placer.on_report(&start(1), report(2, 0, &[]), at(100));
    let after = advertised(&placer);
    expect_that!(after.started_at_ms, some(eq(2)));
    expect_that!(after.holding, eq(&holding(0, &[])));
    expect_that!(after.stamp, gt(before.stamp));
    expect_that!(placer.holdings_to_advertise(at(100)), len(eq(1)));
}

#[gtest]
fn a_listing_of_a_later_start_discards_the_earlier_state() {
    let mut placer = placer_with_engine();
    placer.replace_listing(&listing_of_one(2, &["gamma"]));
    expect_that!(advertised(&placer).started_at_ms, some(eq(2)));
    expect_that!(advertised(&placer).holding, eq(&holding(0, &["gamma"])));
}

#[gtest]
fn a_late_report_does_not_restore_an_earlier_start() {
    let mut placer = placer_with_engine();
    placer.replace_listing(&listing_of_one(2, &[]));
    placer.on_report(&start(2), report(2, 1, &["gamma"]), at(100));
    let unchanged = advertised(&placer);
    // This poll was sent before the engine was restarted.
    placer.on_report(&start(1), report(1, 9, &["alpha"]), at(110));
    // The answer to a later poll describes the earlier start.
    placer.on_report(&start(2), report(1, 9, &["alpha"]), at(120));
    expect_that!(advertised(&placer), eq(&unchanged));
}

#[gtest]
fn an_order_to_an_earlier_start_changes_nothing() {
    let mut placer = placer_with_engine();
    placer.replace_listing(&listing_of_one(2, &[]));
    let unchanged = advertised(&placer);
    let order = PendingOrder {
        engine: start(1),
        address: ([127, 0, 0, 1], 1).into(),
        action: OrderWish::Load(Variant::adapted("alpha", "a1")),
        expected_sequence: 7,
        epoch: 1,
        planned_at: at(0),
        source: None,
        min_duration_ms: 0,
    };
    let outcome = OrderOutcome::Accepted;
    let answer = OrderAnswer { outcome, leaving: false };
    let result = OrderResult::Answered(answer);
    placer.on_order_finished(order, &result, at(100));
    expect_that!(advertised(&placer), eq(&unchanged));
}

/// Engines that answer after 5 ms and count the polls, in total and at the
/// same time.
#[derive(Default)]
struct CountingEngines {
    in_flight: Arc<AtomicUsize>,
    max_in_flight: Arc<AtomicUsize>,
    polled: AtomicUsize,
}

impl FleetEngines for CountingEngines {
    fn report(&self, _: SocketAddr) -> Answer<'_, EngineReport> {
        let now = self.in_flight.fetch_add(1, Ordering::Relaxed) + 1;
        self.max_in_flight.fetch_max(now, Ordering::Relaxed);
        self.polled.fetch_add(1, Ordering::Relaxed);
        async {
            tokio::time::sleep(Duration::from_millis(5)).await;
            self.in_flight.fetch_sub(1, Ordering::Relaxed);
            report(1, 0, &["alpha"])
        }
        .boxed()
    }

    fn order<'a>(&'a self, _: &'a EngineOrder) -> Answer<'a, OrderAnswer> {
        async { Err(PortError::timed_out("silent")) }.boxed()
    }
}

fn listing_of_engines(count: usize) -> Listing {
    let template = Upstream::clone(
        &listing_of_one(1, &["alpha"]).upstreams[&start(1).id],
    );
    let upstreams = (0..count).map(|number| {
        let id = UpstreamId::new(format!("e{number}"));
        let upstream = Upstream { id: id.clone(), ..template.clone() };
        (id, Arc::new(upstream))
    });
    Listing { version: 1, upstreams: upstreams.collect() }
}

/// Polls `count` engines at the start of an epoch. Returns the maximum number
/// of polls at the same time and the total number of polls.
async fn poll_all_engines(count: usize) -> (usize, usize) {
    let engines = Arc::new(CountingEngines::default());
    let (inputs, mut reports) = mpsc::unbounded_channel();
    let mut placer = Placer { inputs, ..placer() };
    placer.engines = engines.clone();
    placer.replace_listing(&listing_of_engines(count));
    placer.begin_epoch(1, None);
    let service = ServiceName::new("engines");
    let mut now = 1_000;
    placer.poll_due_engines(&service, at(now));
    while placer.polls_in_flight > 0 {
        let Some(Input::EngineReported { start, report }) =
            timeout(REPORT_WITHIN, reports.recv())
                .await
                .expect("a report of an engine")
        else {
            break;
        };
        now += 1;
        placer.on_report(&start, report, at(now));
        placer.poll_due_engines(&service, at(now));
    }
    let max_in_flight = engines.max_in_flight.load(Ordering::Relaxed);
    (max_in_flight, engines.polled.load(Ordering::Relaxed))
}

// A holder once polled every engine at the same time when its epoch began, and
// kept each connection: 3,912 descriptors for 3,996 engines, where a machine
// of the smallest kind has 3,900 for its sockets. With more engines, no such
// machine could have held the lease, and no gateway would have placed models.
#[gtest]
#[tokio::test]
async fn the_number_of_polls_in_flight_does_not_grow_with_the_engines() {
    let local = tokio::task::LocalSet::new();
    let (max_in_flight, polled) =
        local.run_until(poll_all_engines(1_000)).await;
    let (max_of_twice, polled_of_twice) =
        local.run_until(poll_all_engines(2_000)).await;
    expect_that!(max_in_flight, le(256));
    expect_that!(max_of_twice, eq(max_in_flight));
    expect_that!((polled, polled_of_twice), eq((1_000, 2_000)));
}

// An engine that does not answer occupies a poll until the poll times out.
// Unless silent engines are polled last, engines that answer wait for them
// again and again.
#[gtest]
#[tokio::test]
async fn silent_engines_are_polled_after_responding_ones() {
    let local = tokio::task::LocalSet::new();
    local
        .run_until(async {
            let (inputs, _reports) = mpsc::unbounded_channel();
            let mut placer = Placer { inputs, ..placer() };
            placer
                .replace_listing(&listing_of_engines(MAX_POLLS_IN_FLIGHT + 1));
            placer.begin_epoch(1, None);
            let service = ServiceName::new("engines");
            placer.poll_due_engines(&service, at(1_000));
            let not_polled = |placer: &Placer| {
                let entries = placer.entries.values();
                entries.filter(|entry| !entry.call_in_flight).count()
            };
            expect_that!(not_polled(&placer), eq(1));
            let polled =
                placer.entries.values().filter(|entry| entry.call_in_flight);
            let polled: Vec<_> =
                polled.map(|entry| entry.start.clone()).collect();
            for start in polled {
                let error = Err(PortError::timed_out("silent"));
                placer.on_report(&start, error, at(1_300));
            }
            // All engines are due again. The one that was never polled comes
            // first.
            placer.poll_due_engines(&service, at(2_000));
            let not_polled =
                placer.entries.values().find(|entry| !entry.call_in_flight);
            expect_that!(not_polled.map(|entry| entry.failures), some(eq(1)));
        })
        .await;
}

/// Creates the specification of some models with three adapters each.
fn spec_of(models: &[&str]) -> EngineSpec {
    let adapters = ["a1", "a2", "a3"].map(AdapterName::new);
    let model = |name: &&str| ModelSpec {
        name: ModelName::new(*name),
        size_mb: 70,
        load_ms: 5_000,
        adapters: adapters.to_vec(),
        adapter_size_mb: 1,
    };
    EngineSpec {
        slots: 64,
        memory_mb: 220,
        adapter_places: 8,
        loads_per_second: 2.0,
        models: models.iter().map(model).collect(),
    }
}

/// Creates a configuration of some services.
fn catalog_of(services: BTreeMap<ServiceName, Service>) -> Catalog {
    let limits = CallerLimits {
        header_limit_bytes: 1,
        body_limit_bytes: 1,
        header_read_timeout_ms: 1,
        keep_alive_timeout_ms: 1,
    };
    let (routes, workspaces) = (Vec::new(), None);
    Catalog { version: 1, routes, services, limits, workspaces }
}

/// Records that a configuration declares some models.
fn declare(placer: &mut Placer, spec: &EngineSpec, now: Millis) {
    let service = Service { engine: Some(spec.clone()), cold: None };
    let services = [(ServiceName::new("engines"), service)];
    let catalog = catalog_of(services.into());
    placer.record_catalog(&catalog, &Listing::default(), now);
}

/// Creates demand for some models, each with its requests per second.
fn demand_for(models: &[(&str, f32)]) -> DemandSum {
    let demand_of = |(model, requests): &(&str, f32)| {
        let variant = Variant::adapted(*model, "a1");
        let demand = VariantDemand {
            variant: variant.clone(),
            requests_per_second: *requests,
            busy_engines: 0.1,
            running: 0,
        };
        (variant, demand)
    };
    let variants = models.iter().map(demand_of).collect();
    DemandSum::from([(RegionBound::Anywhere, variants)])
}

/// Creates a placer that knows the holdings of some engines.
fn placer_with_engines(holdings: &[&[(&str, &[&str])]]) -> Placer {
    let mut placer = placer();
    placer.replace_listing(&listing_of_engines(holdings.len()));
    for (number, models) in holdings.iter().enumerate() {
        let id = UpstreamId::new(format!("e{number}"));
        let held_model = |(model, adapters): &(&str, &[&str])| {
            let adapters = adapters.iter().map(AdapterName::new).collect();
            (ModelName::new(*model), adapters)
        };
        let models = models.iter().map(held_model).collect();
        let holding = Holding { sequence: 0, models };
        let copies = BTreeSet::new();
        let birth = Some(1);
        let report = EngineReport { birth, holding, copies, busy: false };
        let start = UpstreamStart { id, started_at_ms: birth };
        placer.on_report(&start, Ok(report), at(0));
    }
    placer
}

/// Returns the adapters with a load order in flight.
fn pending_orders(placer: &Placer) -> Vec<String> {
    placer.pending_adapter_orders.iter().map(ToString::to_string).collect()
}

#[gtest]
#[tokio::test]
async fn adapters_are_preloaded_for_the_most_requested_models() {
    let local = tokio::task::LocalSet::new();
    local
        .run_until(async {
            let holdings: &[&[(&str, &[&str])]] = &[
                &[("alpha", &[]), ("beta", &["a1"])],
                &[("alpha", &[])],
                &[("beta", &[])],
            ];
            let mut placer = placer_with_engines(holdings);
            let spec = spec_of(&["alpha", "beta"]);
            declare(&mut placer, &spec, at(0));
            let service = ServiceName::new("engines");
            let demand = demand_for(&[("alpha", 0.5), ("beta", 3.0)]);
            placer.preload_adapters(at(1_000), &service, &spec, &demand);
            // Adapters that an engine holds are not loaded, and no more than
            // three loads are in flight.
            let expected = ["alpha/a1", "beta/a2", "beta/a3"];
            expect_that!(pending_orders(&placer), eq(&expected));
        })
        .await;
}

#[gtest]
#[tokio::test]
async fn a_load_request_is_served_by_an_engine_that_holds_the_model() {
    let local = tokio::task::LocalSet::new();
    local
        .run_until(async {
            let holdings: &[&[(&str, &[&str])]] =
                &[&[("alpha", &["a1"])], &[("beta", &[])], &[("alpha", &[])]];
            let mut placer = placer_with_engines(holdings);
            let spec = spec_of(&["alpha", "beta"]);
            declare(&mut placer, &spec, at(0));
            let service = ServiceName::new("engines");
            let demand = DemandSum::new();
            let bound = RegionBound::Anywhere;
            let variant = |model| Variant::adapted(model, "a1");
            for model in ["alpha", "beta", "gamma"] {
                let (bound, variant) = (bound.clone(), variant(model));
                placer.on_load_request(
                    BoundVariant { bound, variant },
                    at(1_000),
                );
            }
            placer.place_requested_adapters(
                at(1_000),
                &service,
                &spec,
                &demand,
            );
            // An engine holds the first adapter already, and the specification
            // does not contain the last model.
            expect_that!(
                pending_orders(&placer),
                elements_are![eq("beta/a1")]
            );
            expect_true!(
                placer.entries[&UpstreamId::new("e1")].call_in_flight
            );
            let requests = placer
                .load_requests
                .keys()
                .map(|requested| &requested.variant.model);
            let requests: Vec<&str> =
                requests.map(ModelName::as_str).collect();
            expect_that!(requests, elements_are![eq(&"beta"), eq(&"gamma")]);
        })
        .await;
}

// A holder once scanned all engines for each load request, and listed all
// adapters on all engines each time: 28 ms for 30 load requests and 36 ms for
// the list with 4,000 engines on a whole core, and eight times as long on the
// smallest machines. There, 126 of 269 requested models and adapters were
// never served.
#[gtest]
fn holders_of_a_model_are_found_without_scanning_all_engines() {
    let holders_among = |count: usize| {
        let mut placer = placer();
        placer.replace_listing(&listing_of_engines(count));
        let id = UpstreamId::new("e1");
        let held = Holding { sequence: 1, ..holding(1, &["beta"]) };
        let entry = placer.entries.get_mut(&id).unwrap();
        entry.holding = held;
        placer.holders.record(&id, entry);
        placer.holders.engines_with(&ModelName::new("beta")).count()
    };
    expect_that!((holders_among(100), holders_among(4_000)), eq((1, 1)));
}

#[gtest]
fn engines_that_unloaded_a_model_are_removed_from_its_holders() {
    let mut placer = placer_with_engine();
    let beta = ModelName::new("beta");
    expect_that!(placer.holders.engines_with(&beta).count(), eq(1));
    placer.on_report(&start(1), report(1, 8, &["alpha"]), at(100));
    placer.holders.rebuild_if_due(&placer.entries, at(10_000));
    expect_that!(placer.holders.engines_with(&beta).count(), eq(0));
    expect_that!(
        placer.holders.engines_with(&ModelName::new("alpha")).count(),
        eq(1)
    );
}

/// Plans the models of the service, and returns whether the engine's place was
/// taken from a model.
fn unloads(placer: &mut Placer, spec: &EngineSpec, now: Millis) -> bool {
    let service = ServiceName::new("engines");
    let (demand, loads) = (DemandSum::new(), Loads::new());
    placer.place_models(now, &service, spec, &demand, &loads, 4);
    placer.entries[&start(1).id].unloading.is_some()
}

// The holder of the lease may lag behind the newest configuration, and so may
// gateways that still send requests for a model that it drops.
#[gtest]
#[tokio::test]
async fn a_dropped_model_makes_way_after_ten_seconds_of_one_epoch() {
    let local = tokio::task::LocalSet::new();
    local
        .run_until(async {
            let mut placer = placer();
            let before = spec_of(&["alpha", "beta", "gamma"]);
            declare(&mut placer, &before, at(0));
            let models = ["alpha", "beta", "gamma"];
            placer.replace_listing(&listing_of_one(1, &models));
            let after = spec_of(&["alpha", "beta", "delta"]);
            declare(&mut placer, &after, at(0));
            placer.begin_epoch(1, None);
            placer.on_report(&start(1), report(1, 7, &models), at(0));
            expect_false!(unloads(&mut placer, &after, at(1_000)));
            expect_false!(unloads(&mut placer, &after, at(10_000)));
            placer.begin_epoch(2, None);
            placer.on_report(&start(1), report(1, 7, &models), at(11_000));
            expect_false!(unloads(&mut placer, &after, at(11_000)));
            expect_false!(unloads(&mut placer, &after, at(20_900)));
            expect_true!(unloads(&mut placer, &after, at(21_000)));
        })
        .await;
}

// A gateway that never held the lease learns the sizes as well.
#[gtest]
fn sizes_of_dropped_models_are_kept_while_listed_engines_hold_them() {
    let mut placer = placer();
    let service = ServiceName::new("engines");
    let listing = listing_of_one(1, &["gamma"]);
    declare(&mut placer, &spec_of(&["gamma"]), at(0));
    let catalog = catalog_of(BTreeMap::new());
    let gamma = ModelName::new("gamma");
    for now in [50_000, 200_000, 900_000] {
        placer.record_catalog(&catalog, &listing, at(now));
        let size = placer.models.sizes_of(&service).get(&gamma);
        expect_that!(size.map(|size| size.size_mb), some(eq(70)));
    }
    placer.record_catalog(&catalog, &Listing::default(), at(960_000));
    expect_that!(placer.models.sizes_of(&service).get(&gamma), none());
}
