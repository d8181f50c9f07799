//! What the holder keeps of engines that start again under their name.

use std::{collections::BTreeSet, net::SocketAddr, rc::Rc, sync::Arc};

use futures::FutureExt;
use googletest::prelude::*;
use tokio::sync::mpsc;
use valehold_core::{
    Millis,
    fleet::{
        EngineHolding, Holding, Listing, Upstream, UpstreamStart, Variant,
        topology::Topology,
    },
    id::{DataCentreId, InstanceId, ModelName, ServiceName, UpstreamId},
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

use super::{Authority, Placer};
use crate::{
    control::input::{GivenOrder, OrderEnd},
    mechanisms::MechanismSettings,
};

/// Engines that answer nothing.
struct Silent;

impl FleetEngines for Silent {
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
    let engines = Arc::new(Silent);
    Placer::new(engines, inputs, authority, 5.0, mechanisms, topology)
}

fn at(ms: u64) -> Millis {
    Millis::new(ms)
}

fn start(birth: u64) -> UpstreamStart {
    UpstreamStart { id: UpstreamId::new("e1"), birth: Some(birth) }
}

fn holding(sequence: u64, models: &[&str]) -> Holding {
    let models = models.iter().map(ModelName::new);
    let models = models.map(|model| (model, BTreeSet::new())).collect();
    Holding { sequence, models }
}

fn list(birth: u64, models: &[&str]) -> Listing {
    let upstream = Upstream {
        id: UpstreamId::new("e1"),
        service: ServiceName::new("engines"),
        address: ([127, 0, 0, 1], 1).into(),
        data_centre: DataCentreId::new("north"),
        slots: 4,
        leaving: false,
        cold_for_ms: 0,
        birth: Some(birth),
        holding: holding(0, models),
    };
    let upstreams = [(upstream.id.clone(), Arc::new(upstream))].into();
    Listing { version: 1, upstreams }
}

fn report(
    birth: u64,
    sequence: u64,
    models: &[&str],
) -> Result<EngineReport, PortError> {
    Ok(EngineReport {
        birth: Some(birth),
        holding: holding(sequence, models),
        copies: BTreeSet::new(),
        busy: false,
    })
}

/// Makes a placer that knows an engine's first start: seven orders were taken.
fn knowing() -> Placer {
    let mut placer = placer();
    placer.listed(&list(1, &["alpha"]));
    placer.begin_epoch(1, None);
    placer.reported(&start(1), report(1, 7, &["alpha", "beta"]), at(0));
    placer
}

/// Returns the last word on the engine.
fn word(placer: &Placer) -> EngineHolding {
    placer.told(|_, _| true).remove(0)
}

#[gtest]
fn a_report_of_another_start_counts_at_once() {
    let mut placer = knowing();
    let before = word(&placer);
    placer.reported(&start(1), report(2, 0, &[]), at(100));
    let after = word(&placer);
    expect_that!(after.birth, some(eq(2)));
    expect_that!(after.holding, eq(&holding(0, &[])));
    expect_that!(after.stamp, gt(before.stamp));
    expect_that!(placer.news(at(100)), len(eq(1)));
}

#[gtest]
fn an_entry_of_another_start_voids_what_was_known() {
    let mut placer = knowing();
    placer.listed(&list(2, &["gamma"]));
    expect_that!(word(&placer).birth, some(eq(2)));
    expect_that!(word(&placer).holding, eq(&holding(0, &["gamma"])));
}

#[gtest]
fn a_late_report_brings_no_earlier_start_back() {
    let mut placer = knowing();
    placer.listed(&list(2, &[]));
    placer.reported(&start(2), report(2, 1, &["gamma"]), at(100));
    let known = word(&placer);
    // It was asked before the engine started again.
    placer.reported(&start(1), report(1, 9, &["alpha"]), at(110));
    // It answers for its earlier start.
    placer.reported(&start(2), report(1, 9, &["alpha"]), at(120));
    expect_that!(word(&placer), eq(&known));
}

#[gtest]
fn an_order_to_an_earlier_start_changes_nothing() {
    let mut placer = knowing();
    placer.listed(&list(2, &[]));
    let known = word(&placer);
    let order = GivenOrder {
        engine: start(1),
        address: ([127, 0, 0, 1], 1).into(),
        wish: OrderWish::Load(Variant::adapted("alpha", "a1")),
        expected_sequence: 7,
        epoch: 1,
        planned: at(0),
        source: None,
        least_ms: 0,
    };
    let outcome = OrderOutcome::Accepted;
    let answer = OrderAnswer { outcome, leaving: false };
    let taken = OrderEnd::Answered(answer);
    placer.ordered(order, &taken, at(100));
    expect_that!(word(&placer), eq(&known));
}
