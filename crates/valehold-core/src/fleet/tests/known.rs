//! What is known of upstreams, put together of three sources.

use std::{collections::BTreeSet, sync::Arc};

use googletest::prelude::*;
use proptest::prelude::*;

use crate::{
    fleet::{
        EngineHolding, Holding, KnownUpstreams, Listing, ListingDelta,
        StoreVersion, Upstream, Variant,
    },
    id::{DataCentreId, ModelName, ServiceName, UpstreamId},
    order::Stamp,
    time::Millis,
};

fn at(ms: u64) -> Millis {
    Millis::new(ms)
}

fn holding(models: &[&str]) -> Holding {
    let models = models.iter().map(ModelName::new);
    let models = models.map(|name| (name, BTreeSet::new())).collect();
    Holding { sequence: 0, models }
}

fn engine(id: &str, models: &[&str]) -> Arc<Upstream> {
    Arc::new(Upstream {
        id: UpstreamId::new(id),
        service: ServiceName::new("engines"),
        address: ([10, 0, 0, 1], 80).into(),
        data_centre: DataCentreId::new("north"),
        slots: 4,
        leaving: false,
        cold_for_ms: 0,
        started_at_ms: None,
        holding: holding(models),
    })
}

fn list(version: u64, engines: &[Arc<Upstream>]) -> Listing {
    let entry = |one: &Arc<Upstream>| (one.id.clone(), one.clone());
    Listing { version, upstreams: engines.iter().map(entry).collect() }
}

fn told(id: &str, sequence: u64, models: &[&str]) -> EngineHolding {
    EngineHolding {
        engine: UpstreamId::new(id),
        started_at_ms: None,
        holding: holding(models),
        stamp: Stamp { epoch: 1, sequence },
    }
}

fn delta(before: u64, version: u64) -> ListingDelta {
    ListingDelta {
        base_version: before,
        version,
        changed: Vec::new(),
        removed: Vec::new(),
        after_outage: false,
    }
}

fn holds(known: &KnownUpstreams, id: &str, model: &str) -> bool {
    let upstream = known.listing().upstreams.get(&UpstreamId::new(id));
    upstream.is_some_and(|one| one.holding.can_run(&Variant::plain(model)))
}

#[gtest]
fn the_holders_word_stands_over_the_list() {
    let mut known = KnownUpstreams::default();
    expect_false!(known.has_list());
    let engines = [engine("e1", &["alpha"]), engine("e2", &["beta"])];
    expect_true!(known.replace(list(5, &engines), false, at(0)));
    known.take_changes();
    expect_true!(known.tell(vec![told("e1", 2, &["gamma"])], at(100)));
    expect_true!(holds(&known, "e1", "gamma"));
    expect_false!(holds(&known, "e1", "alpha"));
    let changes = known.take_changes();
    expect_that!(changes, elements_are![eq(&UpstreamId::new("e1"))]);
    // An older word, and one of an engine that is not there.
    expect_false!(known.tell(vec![told("e1", 1, &["beta"])], at(110)));
    expect_false!(known.tell(vec![told("e9", 1, &["beta"])], at(110)));
    let stamp = |sequence| Stamp { epoch: 1, sequence };
    let engine_1 = UpstreamId::new("e1");
    expect_true!(known.was_told(&engine_1, stamp(2)));
    expect_false!(known.was_told(&engine_1, stamp(3)));
    // The list lags: it is believed once the word is old.
    let mut change = delta(5, 6);
    change.changed.push(engine("e1", &["alpha", "beta"]));
    known.apply(&change, at(200));
    expect_true!(holds(&known, "e1", "gamma"));
    let mut change = delta(6, 7);
    change.changed.push(engine("e1", &["alpha"]));
    known.apply(&change, at(2_600));
    expect_true!(holds(&known, "e1", "alpha"));
}

#[gtest]
fn an_older_list_and_a_gap_change_nothing() {
    let mut known = KnownUpstreams::default();
    expect_false!(known.replace(Listing::default(), false, at(0)));
    known.replace(list(5, &[engine("e1", &["alpha"])]), false, at(0));
    expect_false!(known.replace(list(4, &[]), false, at(1)));
    let mut change = delta(6, 7);
    change.removed.push(UpstreamId::new("e1"));
    expect_false!(known.apply(&change, at(2)));
    expect_true!(holds(&known, "e1", "alpha"));
    expect_that!(known.version(), eq(5));
}

#[gtest]
fn who_lapsed_with_the_store_stays_for_a_while() {
    let mut known = KnownUpstreams::default();
    let engines = [engine("e1", &["alpha"]), engine("e2", &["beta"])];
    known.replace(list(5, &engines), false, at(0));
    expect_true!(known.replace(list(6, &engines[..1]), true, at(1_000)));
    expect_true!(holds(&known, "e2", "beta"));
    expect_true!(known.lapsed().contains(&UpstreamId::new("e2")));
    known.take_changes();
    known.pass(at(2_000));
    expect_false!(holds(&known, "e2", "beta"));
    let changes = known.take_changes();
    expect_that!(changes, elements_are![eq(&UpstreamId::new("e2"))]);
    // Without an outage who is missing is gone.
    expect_true!(known.replace(list(7, &[]), false, at(3_000)));
    expect_that!(known.listing().upstreams.len(), eq(0));
}

fn born(birth: u64, id: &str, models: &[&str]) -> Arc<Upstream> {
    let mut upstream = engine(id, models);
    Arc::make_mut(&mut upstream).started_at_ms = Some(birth);
    upstream
}

fn told_of(
    birth: u64,
    id: &str,
    sequence: u64,
    models: &[&str],
) -> EngineHolding {
    EngineHolding { started_at_ms: Some(birth), ..told(id, sequence, models) }
}

fn birth(known: &KnownUpstreams, id: &str) -> Option<u64> {
    known.listing().upstreams.get(&UpstreamId::new(id))?.started_at_ms
}

#[gtest]
fn another_start_holds_nothing_of_before() {
    let mut known = KnownUpstreams::default();
    known.replace(list(5, &[born(1, "e1", &["alpha"])]), false, at(0));
    known.tell(vec![told_of(1, "e1", 7, &["alpha", "beta"])], at(10));
    expect_true!(holds(&known, "e1", "beta"));
    let mut change = delta(5, 6);
    change.changed.push(born(2, "e1", &[]));
    expect_true!(known.apply(&change, at(100)));
    expect_false!(holds(&known, "e1", "alpha"));
    expect_false!(holds(&known, "e1", "beta"));
    expect_that!(birth(&known, "e1"), some(eq(2)));
    // The holder's word of the earlier start, under a greater stamp.
    expect_false!(known.tell(vec![told_of(1, "e1", 8, &["beta"])], at(110)));
    expect_false!(known.tell(vec![told("e1", 9, &["beta"])], at(120)));
    expect_false!(holds(&known, "e1", "beta"));
    // A stamp of before says nothing of the start that is there.
    expect_true!(known.tell(vec![told_of(2, "e1", 10, &["gamma"])], at(130)));
    expect_true!(holds(&known, "e1", "gamma"));
}

#[gtest]
fn a_late_entry_brings_no_earlier_start_back() {
    let mut known = KnownUpstreams::default();
    known.replace(list(5, &[born(2, "e1", &["beta"])]), false, at(0));
    let mut change = delta(5, 6);
    change.changed.push(born(1, "e1", &["alpha"]));
    expect_true!(known.apply(&change, at(10)));
    expect_true!(holds(&known, "e1", "beta"));
    expect_that!(birth(&known, "e1"), some(eq(2)));
    let late = list(7, &[born(1, "e1", &["alpha"])]);
    expect_true!(known.replace(late.clone(), false, at(20)));
    expect_true!(holds(&known, "e1", "beta"));
    expect_that!(known.version(), eq(7));
    // Also once the later one is gone.
    let mut change = delta(7, 8);
    change.removed.push(UpstreamId::new("e1"));
    expect_true!(known.apply(&change, at(30)));
    let later = Listing { version: 9, ..late };
    expect_true!(known.replace(later, false, at(40)));
    expect_that!(known.listing().upstreams.len(), eq(0));
}

#[gtest]
fn the_holder_may_know_of_another_start_first() {
    let mut known = KnownUpstreams::default();
    let early = [born(1, "e1", &["alpha"])];
    known.replace(list(5, &early), false, at(0));
    known.take_changes();
    expect_true!(known.tell(vec![told_of(2, "e1", 3, &[])], at(10)));
    expect_that!(birth(&known, "e1"), some(eq(2)));
    expect_false!(holds(&known, "e1", "alpha"));
    let changes = known.take_changes();
    expect_that!(changes, elements_are![eq(&UpstreamId::new("e1"))]);
    // The list lags: the entry of the earlier start is read again.
    known.replace(list(6, &early), false, at(3_000));
    expect_false!(holds(&known, "e1", "alpha"));
    expect_that!(birth(&known, "e1"), some(eq(2)));
}

#[gtest]
fn an_entry_without_a_birth_tells_of_the_latest_start() {
    let mut known = KnownUpstreams::default();
    known.replace(list(5, &[born(2, "e1", &["alpha"])]), false, at(0));
    known.replace(list(6, &[engine("e1", &["beta"])]), false, at(10));
    expect_true!(holds(&known, "e1", "beta"));
    expect_that!(birth(&known, "e1"), some(eq(2)));
}

#[gtest]
fn a_clock_that_went_back_shuts_no_start_out_for_good() {
    let mut known = KnownUpstreams::default();
    known.replace(list(5, &[born(2, "e1", &["alpha"])]), false, at(0));
    let later = list(6, &[born(1, "e1", &["beta"])]);
    known.replace(later, false, at(599_999));
    expect_that!(birth(&known, "e1"), some(eq(2)));
    let later = list(7, &[born(1, "e1", &["beta"])]);
    known.replace(later, false, at(600_000));
    expect_true!(holds(&known, "e1", "beta"));
    expect_that!(birth(&known, "e1"), some(eq(1)));
}

/// One step of what may be said of three engines.
#[derive(Debug, Clone)]
enum Step {
    List(Vec<(usize, usize)>),
    Change(Vec<(usize, usize)>, Vec<usize>),
    Tell(usize, u64, usize),
}

const ENGINES: [&str; 3] = ["e1", "e2", "e3"];
const MODELS: [&str; 3] = ["alpha", "beta", "gamma"];

fn step() -> impl Strategy<Value = Step> {
    let engines = prop::collection::vec((0..3_usize, 0..3_usize), 0..4);
    let gone = prop::collection::vec(0..3_usize, 0..2);
    prop_oneof![
        engines.clone().prop_map(Step::List),
        (engines, gone).prop_map(|(some, gone)| Step::Change(some, gone)),
        (0..3_usize, 0..20_u64, 0..3_usize)
            .prop_map(|(engine, at, model)| Step::Tell(engine, at, model)),
    ]
}

fn engines_of(some: &[(usize, usize)]) -> Vec<Arc<Upstream>> {
    let one =
        |(id, model): &(usize, usize)| engine(ENGINES[*id], &[MODELS[*model]]);
    some.iter().map(one).collect()
}

/// Tells whether the index finds what a walk over all upstreams finds.
fn finds_all(known: &KnownUpstreams) -> bool {
    let (index, listing) = (known.index(), known.listing());
    let by_model = MODELS.map(ModelName::new).iter().all(|model| {
        let all = listing.upstreams.values();
        let holding = all.filter(|u| u.holding.models.contains_key(model));
        index.holding(model, listing).eq(holding)
    });
    let service = ServiceName::new("engines");
    let all = listing.upstreams.values();
    let of_service = all.filter(|upstream| upstream.service == service);
    by_model && index.of_service(&service, listing).eq(of_service)
}

/// Tells whether whoever was left behind has the newest list after the changes
/// since then, where all of these are still known.
fn may_catch_up(
    behind: &[KnownUpstreams],
    known: &KnownUpstreams,
    now: Millis,
) -> bool {
    behind.iter().all(|one| {
        let Some(delta) = known.recent().since(one.version()) else {
            return true;
        };
        let mut one = one.clone();
        one.apply(&delta, now);
        let mut ids = ENGINES.iter().map(UpstreamId::new);
        one.version() == known.version()
            && ids.all(|id| one.listed(&id) == known.listed(&id))
    })
}

/// What is kept up to date one upstream at a time is what putting all of it
/// together anew gives.
#[gtest]
fn what_changes_is_all_that_changes() {
    let mut runner = proptest::test_runner::TestRunner::default();
    let steps = prop::collection::vec(step(), 1..30);
    runner
        .run(&steps, |steps| {
            let mut known = KnownUpstreams::default();
            let mut followed = Listing::default();
            let mut behind: Vec<KnownUpstreams> = Vec::new();
            let mut version = 1;
            for (number, step) in steps.iter().enumerate() {
                let now = at(number as u64 * 300);
                match step {
                    Step::List(some) => {
                        version += 1;
                        let listing = list(version, &engines_of(some));
                        known.replace(listing, false, now);
                    }
                    Step::Change(some, gone) => {
                        let mut change = delta(known.version(), version + 1);
                        change.changed = engines_of(some);
                        let gone = gone.iter().map(|id| ENGINES[*id]);
                        change.removed = gone.map(UpstreamId::new).collect();
                        version += u64::from(known.apply(&change, now));
                    }
                    Step::Tell(engine, sequence, model) => {
                        let word = told(
                            ENGINES[*engine],
                            *sequence,
                            &[MODELS[*model]],
                        );
                        known.tell(vec![word], now);
                    }
                }
                // Whoever follows the changes alone has the same list.
                for id in known.take_changes() {
                    match known.listing().upstreams.get(&id) {
                        Some(one) => {
                            followed.upstreams.insert(id, one.clone());
                        }
                        None => {
                            followed.upstreams.remove(&id);
                        }
                    }
                }
                prop_assert_eq!(
                    &followed.upstreams,
                    &known.listing().upstreams
                );
                prop_assert!(finds_all(&known));
                prop_assert!(may_catch_up(&behind, &known, now));
                behind.push(known.clone());
            }
            Ok(())
        })
        .unwrap();
}

// Where many start at once, nearly all had read a whole list lately, and could
// tell nobody what was changed by it.
#[gtest]
fn who_read_a_whole_list_tells_what_that_changed() {
    let mut known = changed_often(100, 3);
    let mut later: Vec<Arc<Upstream>> =
        known.listing().upstreams.values().cloned().collect();
    later.push(engine("new", &["alpha"]));
    known.replace(list(9, &later), false, at(100));
    let missed = known.recent().since(3).unwrap();
    expect_that!((missed.base_version, missed.version), eq((3, 9)));
    let names = missed.changed.iter().map(|one| one.id.as_str());
    expect_that!(names.collect::<Vec<_>>(), eq(&vec!["e3", "new"]));
}

/// Makes a list of so many engines, and changes of one of them, one by one.
fn changed_often(engines: usize, changes: u64) -> KnownUpstreams {
    let mut known = KnownUpstreams::default();
    let all: Vec<Arc<Upstream>> =
        (0..engines).map(|n| engine(&format!("e{n}"), &["alpha"])).collect();
    known.replace(list(1, &all), false, at(0));
    for version in 1..=changes {
        let mut change = delta(version, version + 1);
        let models = if version % 2 == 0 { ["alpha"] } else { ["beta"] };
        change.changed = vec![engine(&format!("e{version}"), &models)];
        known.apply(&change, at(version));
    }
    known
}

// Whoever had missed one change of the list read the whole of it from a peer:
// 400 KB at 3,996 upstreams, several times while engines start or crash.
#[gtest]
fn who_is_a_little_behind_is_told_what_changed() {
    let known = changed_often(4_000, 100);
    let missed = known.recent().since(98).unwrap();
    expect_that!(missed.changed.len(), eq(3));
    expect_that!((missed.base_version, missed.version), eq((98, 101)));
    // Nothing is new, or more than is kept.
    expect_that!(known.recent().since(101), none());
    expect_that!(known.recent().since(0), none());
    let known = changed_often(100, 99);
    expect_that!(known.recent().since(1), none());
    expect_that!(known.recent().since(60), some(anything()));
}

/// Returns a version of the store after it came back from a copy.
fn later(version: u64) -> u64 {
    StoreVersion { era: 1, version }.pack()
}

fn is_used(known: &KnownUpstreams, id: &str) -> bool {
    let upstream = known.listing().upstreams.get(&UpstreamId::new(id));
    upstream.is_some_and(|one| !one.leaving)
}

/// A copy of the list has upstreams that said later that they leave, or went.
#[gtest]
fn a_copy_of_the_store_brings_nobody_back_who_left() {
    let mut known = KnownUpstreams::default();
    let all = ["e1", "e2", "e3"].map(|id| engine(id, &["alpha"]));
    known.replace(list(5, &all), false, at(0));
    let leaving = Arc::new(Upstream { leaving: true, ..(*all[0]).clone() });
    let said = ListingDelta {
        changed: vec![leaving],
        removed: vec![UpstreamId::new("e2")],
        ..delta(5, 9)
    };
    expect_true!(known.apply(&said, at(1_000)));
    expect_true!(known.replace(list(later(5), &all), false, at(8_000)));
    expect_false!(is_used(&known, "e1"));
    expect_false!(is_used(&known, "e2"));
    expect_true!(is_used(&known, "e3"));
    // What is older than the copy's list does not count, whatever its number.
    expect_false!(known.replace(list(900, &all), false, at(8_100)));
    // One that writes again was not gone.
    let again = ListingDelta {
        changed: vec![all[1].clone()],
        ..delta(later(5), later(6))
    };
    expect_true!(known.apply(&again, at(9_000)));
    expect_true!(is_used(&known, "e2"));
    expect_false!(is_used(&known, "e1"));
}

/// One that came after the copy is missing in it, and writes its entry again.
#[gtest]
fn an_upstream_that_the_copy_misses_stays_for_a_while() {
    let mut known = KnownUpstreams::default();
    let all = ["e1", "e2"].map(|id| engine(id, &["alpha"]));
    known.replace(list(5, &all), false, at(0));
    known.replace(list(later(3), &all[..1]), false, at(1_000));
    expect_true!(is_used(&known, "e2"));
    known.pass(at(2_000));
    expect_false!(is_used(&known, "e2"));
    // The same by what a peer tells of it.
    let mut told = KnownUpstreams::default();
    told.replace(list(5, &all), false, at(0));
    let gone = vec![UpstreamId::new("e2")];
    let missing = ListingDelta { removed: gone, ..delta(5, later(3)) };
    expect_true!(told.apply(&missing, at(1_000)));
    expect_true!(is_used(&told, "e2"));
    told.pass(at(2_000));
    expect_false!(is_used(&told, "e2"));
}
