//! Engines that turned a variant away are passed over for a while.

use googletest::prelude::*;

use crate::{
    fleet::{
        UpstreamStart, Variant,
        turned_away::{TurnedAway, TurnedAwayMemory},
    },
    id::UpstreamId,
    time::Millis,
};

fn start(id: &str, birth: Option<u64>) -> UpstreamStart {
    UpstreamStart { id: UpstreamId::new(id), started_at_ms: birth }
}

fn at(ms: u64) -> Millis {
    Millis::new(ms)
}

#[gtest]
fn a_refusal_of_the_model_concerns_its_adapters() {
    let engine = start("e1", None);
    let (plain, adapted) =
        (Variant::plain("m1"), Variant::adapted("m1", "a1"));
    let mut memory = TurnedAwayMemory::default();
    memory.note(&engine, Some(&plain), TurnedAway::Busy, at(1_000));
    expect_true!(memory.is_noted(&engine, Some(&plain), at(1_399)));
    expect_true!(memory.is_noted(&engine, Some(&adapted), at(1_399)));
    expect_false!(memory.is_noted(&engine, Some(&plain), at(1_400)));
    expect_false!(memory.is_noted(
        &engine,
        Some(&Variant::plain("m2")),
        at(1_001)
    ));
    let other = start("e2", None);
    expect_false!(memory.is_noted(&other, Some(&plain), at(1_001)));
}

#[gtest]
fn a_refusal_of_an_adapter_concerns_it_alone() {
    let engine = start("e1", None);
    let (plain, adapted) =
        (Variant::plain("m1"), Variant::adapted("m1", "a1"));
    let mut memory = TurnedAwayMemory::default();
    memory.note(&engine, Some(&adapted), TurnedAway::NotHeld, at(1_000));
    expect_true!(memory.is_noted(&engine, Some(&adapted), at(2_499)));
    expect_false!(memory.is_noted(&engine, Some(&plain), at(1_001)));
    memory.taken(&engine, Some(&adapted));
    expect_false!(memory.is_noted(&engine, Some(&adapted), at(1_001)));
}

#[gtest]
fn engines_that_are_gone_are_forgotten() {
    let engine = start("e1", None);
    let variant = Variant::plain("m1");
    let mut memory = TurnedAwayMemory::default();
    memory.note(&engine, Some(&variant), TurnedAway::NotHeld, at(1_000));
    memory.sweep(|_| true, at(1_001));
    expect_true!(memory.is_noted(&engine, Some(&variant), at(1_002)));
    memory.sweep(|_| false, at(1_003));
    expect_false!(memory.is_noted(&engine, Some(&variant), at(1_004)));
}

#[gtest]
fn another_start_of_an_engine_turned_nothing_away() {
    let (first, second) = (start("e1", Some(1)), start("e1", Some(2)));
    let variant = Variant::plain("m1");
    let mut memory = TurnedAwayMemory::default();
    memory.note(&first, Some(&variant), TurnedAway::NotHeld, at(1_000));
    expect_false!(memory.is_noted(&second, Some(&variant), at(1_001)));
}

/// Processes of plain services have no variants.
#[gtest]
fn a_process_is_passed_over_for_any_request() {
    let process = start("p1", None);
    let mut memory = TurnedAwayMemory::default();
    memory.note(&process, None, TurnedAway::NotHeld, at(1_000));
    expect_true!(memory.is_noted(&process, None, at(2_499)));
    expect_false!(memory.is_noted(&process, None, at(2_500)));
    memory.note(&process, None, TurnedAway::Busy, at(3_000));
    memory.taken(&process, None);
    expect_false!(memory.is_noted(&process, None, at(3_001)));
}
