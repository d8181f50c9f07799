//! No window holds more loads from the weight store than are allowed, however
//! late each of them begins and whoever ordered it.

use googletest::prelude::*;
use proptest::prelude::*;

use crate::{
    fleet::{
        UpstreamStart,
        weight_loads::{
            Inheritance, LoadEnd, LoadRate, LostLoads, OrderPlace, WeightLoads,
        },
    },
    id::UpstreamId,
    time::Millis,
};

/// Ten in a window, four in a burst.
const RATE: LoadRate = LoadRate { per_second: 2.0, window_ms: 5_000 };

/// How late an order without an answer is carried out at the most, in ms.
const MOST_LATE_MS: u64 = 15_000;

fn at(ms: u64) -> Millis {
    Millis::new(ms)
}

fn place(engine: usize, sequence: u64) -> OrderPlace {
    let id = UpstreamId::new(format!("e{engine}"));
    OrderPlace { start: UpstreamStart { id, started_at_ms: None }, sequence }
}

/// Plans so many loads, each at an engine of its own.
fn planning(count: usize) -> WeightLoads {
    let mut loads = WeightLoads::default();
    (0..count).for_each(|engine| loads.plan(place(engine, 0)));
    loads
}

#[gtest]
fn a_load_counts_from_its_plan_until_a_window_after_it_began() {
    let mut loads = planning(1);
    expect_that!(loads.count(RATE, at(60_000)), eq(1));
    loads.end(&place(0, 0), LoadEnd::Began, at(60_000));
    expect_that!(loads.count(RATE, at(65_000)), eq(1));
    expect_that!(loads.count(RATE, at(65_001)), eq(0));
}

#[gtest]
fn a_burst_is_a_part_of_a_window() {
    let mut loads = planning(3);
    expect_that!(loads.left(RATE, at(0)), eq(1));
    loads.plan(place(3, 0));
    expect_that!(loads.left(RATE, at(0)), eq(0));
    (0..4).for_each(|e| loads.end(&place(e, 0), LoadEnd::Began, at(10)));
    expect_that!(loads.left(RATE, at(2_010)), eq(0));
    expect_that!(loads.left(RATE, at(2_011)), eq(4));
}

#[gtest]
fn a_load_that_was_not_sent_counts_no_more() {
    let mut loads = planning(1);
    loads.end(&place(0, 0), LoadEnd::NotBegun, at(10));
    expect_that!(loads.count(RATE, at(10)), eq(0));
}

#[gtest]
fn what_drew_no_answer_counts_until_it_cannot_begin_any_more() {
    let mut loads = planning(1);
    loads.end(&place(0, 0), LoadEnd::Unknown, at(0));
    expect_that!(loads.count(RATE, at(MOST_LATE_MS + 5_000)), eq(1));
    expect_that!(loads.count(RATE, at(MOST_LATE_MS + 5_001)), eq(0));
}

#[gtest]
fn of_several_orders_at_a_place_one_is_carried_out() {
    let mut loads = planning(1);
    loads.end(&place(0, 0), LoadEnd::Unknown, at(0));
    loads.plan(place(0, 0));
    expect_that!(loads.count(RATE, at(600)), eq(1));
    // Turned away: the first one may be the reason.
    loads.end(&place(0, 0), LoadEnd::NotBegun, at(700));
    expect_that!(loads.count(RATE, at(10_000)), eq(1));
    loads.plan(place(0, 0));
    loads.end(&place(0, 0), LoadEnd::Began, at(10_000));
    expect_that!(loads.count(RATE, at(15_000)), eq(1));
    expect_that!(loads.count(RATE, at(15_001)), eq(0));
}

/// The burst would be full of orders that drew no answer, and nothing else
/// could begin while their engines are silent.
#[gtest]
fn lost_loads_leave_room_for_others_after_a_burst() {
    let mut loads = planning(4);
    for engine in 0..4 {
        loads.end(&place(engine, 0), LoadEnd::Unknown, at(0));
        expect_true!(loads.is_counted(&place(engine, 0)));
    }
    expect_false!(loads.is_counted(&place(0, 1)));
    expect_that!(loads.left(RATE, at(2_000)), eq(0));
    expect_that!(loads.left(RATE, at(2_001)), eq(4));
    (4..8).for_each(|engine| loads.plan(place(engine, 0)));
    (4..8).for_each(|e| loads.end(&place(e, 0), LoadEnd::Began, at(2_001)));
    expect_that!(loads.left(RATE, at(5_000)), eq(2));
}

#[gtest]
fn an_order_in_its_place_makes_a_lost_load_void() {
    let mut loads = planning(2);
    loads.end(&place(0, 0), LoadEnd::Unknown, at(0));
    loads.void(&place(0, 0));
    expect_that!(loads.count(RATE, at(100)), eq(1));
}

#[gtest]
fn a_report_of_more_orders_says_that_a_lost_load_is_past() {
    let mut loads = planning(2);
    loads.end(&place(0, 0), LoadEnd::Unknown, at(0));
    let start = place(0, 0).start;
    loads.seen(&start, 0, at(3_000));
    expect_that!(loads.count(RATE, at(9_000)), eq(2));
    loads.seen(&start, 1, at(9_000));
    expect_that!(loads.count(RATE, at(14_000)), eq(2));
    expect_that!(loads.count(RATE, at(14_001)), eq(1));
    // The other one's order is being given: its end tells.
    loads.seen(&place(1, 0).start, 1, at(14_001));
    expect_that!(loads.count(RATE, at(30_000)), eq(1));
}

#[gtest]
fn who_takes_over_counts_the_most_that_may_have_begun() {
    let mut loads = WeightLoads::default();
    let lost = LostLoads::default();
    loads.inherit(Inheritance { until: at(10_000), lost });
    expect_that!(loads.left(RATE, at(9_000)), eq(0));
    expect_that!(loads.left(RATE, at(12_000)), eq(0));
    // A burst, and one before it, are still in the window.
    expect_that!(loads.count(RATE, at(12_001)), eq(8));
    expect_that!(loads.left(RATE, at(12_001)), eq(2));
    expect_that!(loads.left(RATE, at(13_001)), eq(4));
    expect_that!(loads.count(RATE, at(15_001)), eq(0));
}

#[gtest]
fn who_takes_over_counts_what_may_begin_late() {
    let mut loads = planning(3);
    loads.end(&place(0, 0), LoadEnd::Unknown, at(0));
    loads.end(&place(1, 0), LoadEnd::Began, at(0));
    let lost = loads.lost(at(100));
    let until = at(MOST_LATE_MS);
    expect_that!(lost, eq(LostLoads { count: 1, until }));
    let mut next = WeightLoads::default();
    next.inherit(Inheritance { until: at(9_000), lost });
    expect_that!(next.count(RATE, at(MOST_LATE_MS + 5_000)), eq(1));
    expect_that!(next.count(RATE, at(MOST_LATE_MS + 5_001)), eq(0));
    // It tells the one after it, and no longer than they may begin.
    expect_that!(next.lost(at(MOST_LATE_MS)), eq(lost));
    expect_that!(next.lost(at(MOST_LATE_MS + 1)).count, eq(0));
}

#[gtest]
fn a_slow_store_bears_one_load_in_a_window() {
    let rate = LoadRate { per_second: 0.01, window_ms: 5_000 };
    let mut loads = WeightLoads::default();
    expect_that!(loads.left(rate, at(0)), eq(1));
    loads.plan(place(0, 0));
    expect_that!(loads.left(rate, at(60_000)), eq(0));
}

/// How one order goes.
#[derive(Debug, Clone, Copy)]
struct Way {
    /// How long after its plan its end is known, in ms.
    ends_ms: u64,
    /// When it begins: for a load that is taken, a part of that time; for one
    /// without an answer, of the time for which it may be late.
    begins: f64,
    end: WayEnd,
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum WayEnd {
    Taken,
    Away,
    LostAndBegun,
    Lost,
}

fn ways() -> impl Strategy<Value = Way> {
    use WayEnd::*;
    let ends = prop_oneof![
        6 => Just(Taken), 1 => Just(Away),
        2 => Just(LostAndBegun), 1 => Just(Lost),
    ];
    // Mostly soon, at times after a machine stood still.
    let ends_ms = prop_oneof![4 => 1_u64..50, 1 => 50_u64..7_000];
    (ends_ms, 0.0..1.0, ends).prop_map(|(ends_ms, begins, end)| Way {
        ends_ms,
        begins,
        end,
    })
}

/// What happens between two moments at which loads are planned.
#[derive(Debug, Clone)]
struct Step {
    after_ms: u64,
    /// The most that are wanted.
    wanted: usize,
    /// Whether another holder takes over, which can be told from when on the
    /// last one's orders have all arrived.
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

/// One order, until its end is known.
#[derive(Debug)]
struct Given {
    place: OrderPlace,
    ends: u64,
    end: LoadEnd,
}

/// Orders of one holder after another.
#[derive(Default)]
struct World {
    loads: WeightLoads,
    given: Vec<Given>,
    begun: Vec<u64>,
    engines: usize,
}

impl World {
    fn order(&mut self, way: Way, now: u64) {
        let place = place(self.engines, 0);
        self.engines += 1;
        self.loads.plan(place.clone());
        let ends = now + way.ends_ms;
        let part = |span: u64| (span as f64 * way.begins) as u64;
        let end = match way.end {
            WayEnd::Taken => {
                self.begun.push(now + part(way.ends_ms));
                LoadEnd::Began
            }
            WayEnd::Away => LoadEnd::NotBegun,
            WayEnd::LostAndBegun => {
                self.begun.push(ends + part(MOST_LATE_MS));
                LoadEnd::Unknown
            }
            WayEnd::Lost => LoadEnd::Unknown,
        };
        self.given.push(Given { place, ends, end });
    }

    fn hear_ends(&mut self, now: u64) {
        let heard = self.given.extract_if(.., |given| given.ends <= now);
        for given in heard {
            self.loads.end(&given.place, given.end, at(now));
        }
    }

    /// The next holder takes over when the ends of all orders of the last one
    /// are known, and is told how many of them drew no answer.
    fn take_over(&mut self, now: u64) -> u64 {
        let ends = self.given.iter().map(|given| given.ends);
        let until = ends.max().unwrap_or(0).max(now);
        self.hear_ends(until);
        let lost = self.loads.lost(at(until));
        self.given.clear();
        self.loads = WeightLoads::default();
        self.loads.inherit(Inheritance { until: at(until), lost });
        until
    }
}

fn most_within(begun: &[u64], span_ms: u64) -> usize {
    let counts = begun.iter().enumerate().map(|(index, first)| {
        let rest = begun[index..].iter();
        rest.take_while(|one| **one - first <= span_ms).count()
    });
    counts.max().unwrap_or(0)
}

proptest! {
    #[test]
    fn no_window_holds_more_than_are_allowed(
        steps in steps(),
        ways in prop::collection::vec(ways(), 640),
        per_second in 0.1_f64..6.0,
    ) {
        let rate = LoadRate { per_second, ..RATE };
        let mut ways = ways.into_iter();
        let mut world = World::default();
        let mut now = 0;
        for step in steps {
            now += step.after_ms;
            world.hear_ends(now);
            if step.takes_over {
                now = world.take_over(now);
            }
            let left = world.loads.left(rate, at(now)).min(step.wanted);
            for way in ways.by_ref().take(left) {
                world.order(way, now);
            }
        }
        world.begun.sort_unstable();
        let most = most_within(&world.begun, rate.window_ms);
        prop_assert!(most <= rate.in_window(), "{most}");
    }
}
