//! What requests ask of engines is learned from those that ended.

use std::collections::BTreeMap;

use googletest::prelude::*;
use proptest::prelude::*;

use crate::{
    fleet::work::{ModelWork, busy_engines},
    id::ModelName,
    testing::cases,
};

/// The slots of the engines in these tests.
const SLOTS: u32 = 16;

/// Makes the work of requests that keep a slot for so long each.
fn work(requests: f32, each_slot_ms: f32, event_ms: f32) -> ModelWork {
    let ended = requests * 10.0;
    ModelWork {
        requests,
        recent: requests,
        read_tokens: requests * 380.0,
        ended,
        slot_ms: ended * each_slot_ms,
        events: ended * each_slot_ms / event_ms,
    }
}

fn busy(of: &[(&str, ModelWork)], slots: u32) -> BTreeMap<String, f64> {
    let work = of.iter().map(|(name, work)| (ModelName::new(*name), *work));
    busy_engines(&work.collect(), slots)
        .into_iter()
        .map(|(model, busy)| (model.to_string(), busy))
        .collect()
}

#[gtest]
fn slots_and_reading_keep_engines_busy() {
    let of = [("large", work(10.0, 1_500.0, 40.0))];
    // 1,500 ms of one of 16 slots, and 10 ms of reading, ten times a second.
    expect_that!(busy(&of, SLOTS)["large"], near(1.03, 0.06));
    expect_that!(busy(&of, 4 * SLOTS)["large"], near(0.33, 0.04));
}

#[gtest]
fn a_fast_model_keeps_engines_less_busy() {
    let of = [
        ("large", work(10.0, 1_500.0, 40.0)),
        ("small", work(10.0, 190.0, 5.0)),
        ("other", work(10.0, 1_500.0, 40.0)),
    ];
    let busy = busy(&of, SLOTS);
    expect_that!(busy["small"], lt(busy["large"] / 6.0));
}

#[gtest]
fn a_model_of_which_none_ended_is_a_usual_one() {
    let unseen = ModelWork {
        ended: 0.0,
        slot_ms: 0.0,
        events: 0.0,
        ..work(10.0, 1.0, 1.0)
    };
    let of = [("seen", work(10.0, 1_500.0, 40.0)), ("unseen", unseen)];
    let busy = busy(&of, SLOTS);
    expect_that!(busy["unseen"], near(busy["seen"], 0.1));
}

#[gtest]
fn a_rise_is_believed_at_once_and_chance_is_not() {
    let calm = work(10.0, 1_500.0, 40.0);
    let chance = ModelWork { recent: 14.0, ..calm };
    let rise = ModelWork { recent: 30.0, ..calm };
    let lull = ModelWork { recent: 1.0, ..calm };
    expect_that!(chance.rate(), eq(10.0));
    expect_that!(rise.rate(), eq(30.0));
    expect_that!(lull.rate(), eq(10.0));
}

proptest! {
    #![proptest_config(cases())]

    /// More requests never keep engines less busy, and all is finite.
    #[test]
    fn more_requests_keep_engines_busier(
        requests in 0.0..500.0_f32,
        more in 1.0..4.0_f32,
        slot_ms in 0.0..20_000.0_f32,
        event_ms in 1.0..500.0_f32,
        slots in 1_u32..128,
    ) {
        let few = work(requests, slot_ms, event_ms);
        let many = ModelWork {
            requests: few.requests * more,
            recent: few.recent * more,
            read_tokens: few.read_tokens * more,
            ..few
        };
        let of = [("few", few), ("many", many)];
        let busy = busy(&of, slots);
        prop_assert!(busy.values().all(|busy| busy.is_finite()));
        prop_assert!(busy["many"] >= busy["few"]);
    }
}
