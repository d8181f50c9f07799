//! Tests that no window holds more loads from the weight store than allowed,
//! however late each load starts and whichever holder of the lease ordered it.

use googletest::prelude::*;
use proptest::prelude::*;

use crate::{
    fleet::{
        UpstreamStart,
        weight_loads::{
            InheritedLoads, LoadOutcome, LoadRate, LostLoads, OrderPosition,
            WeightLoads,
        },
    },
    id::UpstreamId,
    time::Millis,
};

/// Ten in a window, four in a burst.
const RATE: LoadRate = LoadRate { per_second: 2.0, window_ms: 5_000 };

/// The maximum delay with which an unanswered order is executed, in ms.
const MAX_ORDER_DELAY_MS: u64 = 15_000;

fn at(ms: u64) -> Millis {
    Millis::new(ms)
}

fn position(engine: usize, sequence: u64) -> OrderPosition {
    let id = UpstreamId::new(format!("e{engine}"));
    OrderPosition {
        start: UpstreamStart { id, started_at_ms: None },
        sequence,
    }
}

/// Plans loads, each at an engine of its own.
fn planned(count: usize) -> WeightLoads {
    let mut loads = WeightLoads::default();
    (0..count).for_each(|engine| loads.plan(position(engine, 0)));
    loads
}

#[gtest]
fn a_load_counts_from_planning_until_one_window_after_its_start() {
    let mut loads = planned(1);
    expect_that!(loads.count(RATE, at(60_000)), eq(1));
    loads.record_outcome(&position(0, 0), LoadOutcome::Started, at(60_000));
    expect_that!(loads.count(RATE, at(65_000)), eq(1));
    expect_that!(loads.count(RATE, at(65_001)), eq(0));
}

#[gtest]
fn loads_are_limited_in_each_burst() {
    let mut loads = planned(3);
    expect_that!(loads.available(RATE, at(0)), eq(1));
    loads.plan(position(3, 0));
    expect_that!(loads.available(RATE, at(0)), eq(0));
    (0..4).for_each(|e| {
        loads.record_outcome(&position(e, 0), LoadOutcome::Started, at(10))
    });
    expect_that!(loads.available(RATE, at(2_010)), eq(0));
    expect_that!(loads.available(RATE, at(2_011)), eq(4));
}

#[gtest]
fn a_load_that_was_not_sent_is_not_counted() {
    let mut loads = planned(1);
    loads.record_outcome(&position(0, 0), LoadOutcome::NotStarted, at(10));
    expect_that!(loads.count(RATE, at(10)), eq(0));
}

#[gtest]
fn an_unanswered_load_counts_until_it_can_no_longer_start() {
    let mut loads = planned(1);
    loads.record_outcome(&position(0, 0), LoadOutcome::Unknown, at(0));
    expect_that!(loads.count(RATE, at(MAX_ORDER_DELAY_MS + 5_000)), eq(1));
    expect_that!(loads.count(RATE, at(MAX_ORDER_DELAY_MS + 5_001)), eq(0));
}

#[gtest]
fn several_orders_for_one_position_count_once() {
    let mut loads = planned(1);
    loads.record_outcome(&position(0, 0), LoadOutcome::Unknown, at(0));
    loads.plan(position(0, 0));
    expect_that!(loads.count(RATE, at(600)), eq(1));
    // The engine may reject the second order because it executed the first.
    loads.record_outcome(&position(0, 0), LoadOutcome::NotStarted, at(700));
    expect_that!(loads.count(RATE, at(10_000)), eq(1));
    loads.plan(position(0, 0));
    loads.record_outcome(&position(0, 0), LoadOutcome::Started, at(10_000));
    expect_that!(loads.count(RATE, at(15_000)), eq(1));
    expect_that!(loads.count(RATE, at(15_001)), eq(0));
}

/// Guards against unanswered orders that fill the burst, so that no other load
/// can start while their engines are silent.
#[gtest]
fn unanswered_loads_leave_room_for_others_after_a_burst() {
    let mut loads = planned(4);
    for engine in 0..4 {
        loads.record_outcome(
            &position(engine, 0),
            LoadOutcome::Unknown,
            at(0),
        );
        expect_true!(loads.is_counted(&position(engine, 0)));
    }
    expect_false!(loads.is_counted(&position(0, 1)));
    expect_that!(loads.available(RATE, at(2_000)), eq(0));
    expect_that!(loads.available(RATE, at(2_001)), eq(4));
    (4..8).for_each(|engine| loads.plan(position(engine, 0)));
    (4..8).for_each(|e| {
        loads.record_outcome(&position(e, 0), LoadOutcome::Started, at(2_001))
    });
    expect_that!(loads.available(RATE, at(5_000)), eq(2));
}

#[gtest]
fn another_order_at_its_position_discards_a_lost_load() {
    let mut loads = planned(2);
    loads.record_outcome(&position(0, 0), LoadOutcome::Unknown, at(0));
    loads.discard(&position(0, 0));
    expect_that!(loads.count(RATE, at(100)), eq(1));
}

#[gtest]
fn a_report_of_accepted_orders_ends_earlier_lost_loads() {
    let mut loads = planned(2);
    loads.record_outcome(&position(0, 0), LoadOutcome::Unknown, at(0));
    let start = position(0, 0).start;
    loads.record_accepted(&start, 0, at(3_000));
    expect_that!(loads.count(RATE, at(9_000)), eq(2));
    loads.record_accepted(&start, 1, at(9_000));
    expect_that!(loads.count(RATE, at(14_000)), eq(2));
    expect_that!(loads.count(RATE, at(14_001)), eq(1));
    // An order to the other engine is in flight: its outcome decides.
    loads.record_accepted(&position(1, 0).start, 1, at(14_001));
    expect_that!(loads.count(RATE, at(30_000)), eq(1));
}

#[gtest]
fn a_new_holder_counts_the_maximum_that_may_have_started() {
    let mut loads = WeightLoads::default();
    let lost = LostLoads::default();
    loads.inherit(InheritedLoads { until: at(10_000), lost });
    expect_that!(loads.available(RATE, at(9_000)), eq(0));
    expect_that!(loads.available(RATE, at(12_000)), eq(0));
    // The last two of three bursts are still in the window.
    expect_that!(loads.count(RATE, at(12_001)), eq(8));
    expect_that!(loads.available(RATE, at(12_001)), eq(2));
    expect_that!(loads.available(RATE, at(13_001)), eq(4));
    expect_that!(loads.count(RATE, at(15_001)), eq(0));
}

#[gtest]
fn a_new_holder_counts_loads_that_may_start_late() {
    let mut loads = planned(3);
    loads.record_outcome(&position(0, 0), LoadOutcome::Unknown, at(0));
    loads.record_outcome(&position(1, 0), LoadOutcome::Started, at(0));
    let lost = loads.lost(at(100));
    let until = at(MAX_ORDER_DELAY_MS);
    expect_that!(lost, eq(LostLoads { count: 1, until }));
    let mut next = WeightLoads::default();
    next.inherit(InheritedLoads { until: at(9_000), lost });
    expect_that!(next.count(RATE, at(MAX_ORDER_DELAY_MS + 5_000)), eq(1));
    expect_that!(next.count(RATE, at(MAX_ORDER_DELAY_MS + 5_001)), eq(0));
    // The next holder passes them on for as long as they may start.
    expect_that!(next.lost(at(MAX_ORDER_DELAY_MS)), eq(lost));
    expect_that!(next.lost(at(MAX_ORDER_DELAY_MS + 1)).count, eq(0));
}

#[gtest]
fn a_slow_store_allows_one_load_per_window() {
    let rate = LoadRate { per_second: 0.01, window_ms: 5_000 };
    let mut loads = WeightLoads::default();
    expect_that!(loads.available(rate, at(0)), eq(1));
    loads.plan(position(0, 0));
    expect_that!(loads.available(rate, at(60_000)), eq(0));
}

/// An order with its course in the simulation.
#[derive(Debug, Clone, Copy)]
struct SimulatedOrder {
    /// The time from planning until the outcome is known, in ms.
    outcome_after_ms: u64,
    /// When the load starts: for an accepted order, as a fraction of that
    /// time; for an unanswered one, as a fraction of the maximum delay.
    start_fraction: f64,
    outcome: SimulatedOutcome,
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum SimulatedOutcome {
    Accepted,
    Rejected,
    LostAndStarted,
    Lost,
}

fn simulated_orders() -> impl Strategy<Value = SimulatedOrder> {
    use SimulatedOutcome::*;
    let outcomes = prop_oneof![
        6 => Just(Accepted), 1 => Just(Rejected),
        2 => Just(LostAndStarted), 1 => Just(Lost),
    ];
    // Mostly short, sometimes long after a machine was frozen.
    let outcome_after_ms = prop_oneof![4 => 1_u64..50, 1 => 50_u64..7_000];
    (outcome_after_ms, 0.0..1.0, outcomes).prop_map(
        |(outcome_after_ms, start_fraction, outcome)| SimulatedOrder {
            outcome_after_ms,
            start_fraction,
            outcome,
        },
    )
}

/// One simulated step, at the end of which loads are planned.
#[derive(Debug, Clone)]
struct Step {
    /// The length of the step, in ms.
    after_ms: u64,
    /// The maximum number of loads to plan.
    wanted: usize,
    /// Whether another holder takes over the lease. It knows by when all
    /// orders of the previous holder have arrived.
    takes_over: bool,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = (1_u64..1_500, 0_usize..8, prop::bool::weighted(0.05))
        .prop_map(|(after_ms, wanted, takes_over)| Step {
            after_ms,
            wanted,
            takes_over,
        });
    prop::collection::vec(step, 1..80)
}

/// An order whose outcome is not known yet.
#[derive(Debug)]
struct InFlightOrder {
    position: OrderPosition,
    outcome_at: u64,
    outcome: LoadOutcome,
}

/// Simulates the orders of successive holders of the lease.
#[derive(Default)]
struct Simulation {
    loads: WeightLoads,
    in_flight: Vec<InFlightOrder>,
    started: Vec<u64>,
    engines: usize,
}

impl Simulation {
    fn send(&mut self, order: SimulatedOrder, now: u64) {
        let position = position(self.engines, 0);
        self.engines += 1;
        self.loads.plan(position.clone());
        let outcome_at = now + order.outcome_after_ms;
        let fraction_of =
            |span: u64| (span as f64 * order.start_fraction) as u64;
        let outcome = match order.outcome {
            SimulatedOutcome::Accepted => {
                self.started.push(now + fraction_of(order.outcome_after_ms));
                LoadOutcome::Started
            }
            SimulatedOutcome::Rejected => LoadOutcome::NotStarted,
            SimulatedOutcome::LostAndStarted => {
                self.started
                    .push(outcome_at + fraction_of(MAX_ORDER_DELAY_MS));
                LoadOutcome::Unknown
            }
            SimulatedOutcome::Lost => LoadOutcome::Unknown,
        };
        self.in_flight.push(InFlightOrder { position, outcome_at, outcome });
    }

    fn record_outcomes(&mut self, now: u64) {
        let finished =
            self.in_flight.extract_if(.., |order| order.outcome_at <= now);
        for order in finished {
            self.loads.record_outcome(&order.position, order.outcome, at(now));
        }
    }

    /// Makes another holder take over once the outcomes of all orders are
    /// known, with the number of unanswered orders, and returns the time.
    fn take_over(&mut self, now: u64) -> u64 {
        let outcome_at = self.in_flight.iter().map(|order| order.outcome_at);
        let until = outcome_at.max().unwrap_or(0).max(now);
        self.record_outcomes(until);
        let lost = self.loads.lost(at(until));
        self.in_flight.clear();
        self.loads = WeightLoads::default();
        self.loads.inherit(InheritedLoads { until: at(until), lost });
        until
    }
}

/// Returns the maximum number of starts within any `span_ms`.
fn max_within(started: &[u64], span_ms: u64) -> usize {
    let counts = started.iter().enumerate().map(|(index, first)| {
        let rest = started[index..].iter();
        rest.take_while(|one| **one - first <= span_ms).count()
    });
    counts.max().unwrap_or(0)
}

proptest! {
    #[test]
    fn no_window_holds_more_loads_than_allowed(
        steps in steps(),
        simulated_orders in prop::collection::vec(simulated_orders(), 640),
        per_second in 0.1_f64..6.0,
    ) {
        let rate = LoadRate { per_second, ..RATE };
        let mut simulated_orders = simulated_orders.into_iter();
        let mut simulation = Simulation::default();
        let mut now = 0;
        for step in steps {
            now += step.after_ms;
            simulation.record_outcomes(now);
            if step.takes_over {
                now = simulation.take_over(now);
            }
            let available =
                simulation.loads.available(rate, at(now)).min(step.wanted);
            for order in simulated_orders.by_ref().take(available) {
                simulation.send(order, now);
            }
        }
        simulation.started.sort_unstable();
        let max = max_within(&simulation.started, rate.window_ms);
        prop_assert!(max <= rate.in_window(), "{max}");
    }
}
