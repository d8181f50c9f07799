//! Tests of the registry that merges all sources of information about
//! upstreams.

use std::{collections::BTreeSet, sync::Arc};

use googletest::prelude::*;
use proptest::prelude::*;

use crate::{
    fleet::{
        EngineHolding, Holding, Listing, ListingDelta, StoreVersion, Upstream,
        UpstreamRegistry, Variant,
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
        software: None,
        holding: holding(models),
    })
}

fn list(version: u64, engines: &[Arc<Upstream>]) -> Listing {
    let entry = |one: &Arc<Upstream>| (one.id.clone(), one.clone());
    Listing { version, upstreams: engines.iter().map(entry).collect() }
}

fn report(id: &str, sequence: u64, models: &[&str]) -> EngineHolding {
    EngineHolding {
        engine: UpstreamId::new(id),
        started_at_ms: None,
        holding: holding(models),
        stamp: Stamp { epoch: 1, sequence },
    }
}

fn delta(base_version: u64, version: u64) -> ListingDelta {
    ListingDelta {
        base_version,
        version,
        changed: Vec::new(),
        removed: Vec::new(),
        after_outage: false,
    }
}

fn holds(registry: &UpstreamRegistry, id: &str, model: &str) -> bool {
    let upstream = registry.listing().upstreams.get(&UpstreamId::new(id));
    upstream.is_some_and(|one| one.holding.can_run(&Variant::plain(model)))
}

#[gtest]
fn a_holding_report_overrides_the_list_until_it_is_old() {
    let mut registry = UpstreamRegistry::default();
    expect_false!(registry.has_list());
    let engines = [engine("e1", &["alpha"]), engine("e2", &["beta"])];
    expect_true!(registry.replace(list(5, &engines), false, at(0)));
    registry.take_changes();
    expect_true!(
        registry.receive_holdings(vec![report("e1", 2, &["gamma"])], at(100))
    );
    expect_true!(holds(&registry, "e1", "gamma"));
    expect_false!(holds(&registry, "e1", "alpha"));
    let changes = registry.take_changes();
    expect_that!(changes, elements_are![eq(&UpstreamId::new("e1"))]);
    // An older report, and a report about an unknown engine.
    expect_false!(
        registry.receive_holdings(vec![report("e1", 1, &["beta"])], at(110))
    );
    expect_false!(
        registry.receive_holdings(vec![report("e9", 1, &["beta"])], at(110))
    );
    let stamp = |sequence| Stamp { epoch: 1, sequence };
    let engine_1 = UpstreamId::new("e1");
    expect_true!(registry.has_holding_report(&engine_1, stamp(2)));
    expect_false!(registry.has_holding_report(&engine_1, stamp(3)));
    // The list may lag behind the report, so a change of the list entry
    // overrides the report only when the report is old.
    let mut change = delta(5, 6);
    change.changed.push(engine("e1", &["alpha", "beta"]));
    registry.apply(&change, at(200));
    expect_true!(holds(&registry, "e1", "gamma"));
    let mut change = delta(6, 7);
    change.changed.push(engine("e1", &["alpha"]));
    registry.apply(&change, at(2_600));
    expect_true!(holds(&registry, "e1", "alpha"));
}

#[gtest]
fn an_older_list_and_a_delta_after_a_gap_are_rejected() {
    let mut registry = UpstreamRegistry::default();
    expect_false!(registry.replace(Listing::default(), false, at(0)));
    registry.replace(list(5, &[engine("e1", &["alpha"])]), false, at(0));
    expect_false!(registry.replace(list(4, &[]), false, at(1)));
    let mut change = delta(6, 7);
    change.removed.push(UpstreamId::new("e1"));
    expect_false!(registry.apply(&change, at(2)));
    expect_true!(holds(&registry, "e1", "alpha"));
    expect_that!(registry.version(), eq(5));
}

#[gtest]
fn a_lapsed_upstream_is_kept_for_the_grace_period() {
    let mut registry = UpstreamRegistry::default();
    let engines = [engine("e1", &["alpha"]), engine("e2", &["beta"])];
    registry.replace(list(5, &engines), false, at(0));
    expect_true!(registry.replace(list(6, &engines[..1]), true, at(1_000)));
    expect_true!(holds(&registry, "e2", "beta"));
    expect_true!(registry.lapsed().contains(&UpstreamId::new("e2")));
    registry.take_changes();
    registry.prune(at(2_000));
    expect_false!(holds(&registry, "e2", "beta"));
    let changes = registry.take_changes();
    expect_that!(changes, elements_are![eq(&UpstreamId::new("e2"))]);
    // Without an outage, a missing upstream is removed at once.
    expect_true!(registry.replace(list(7, &[]), false, at(3_000)));
    expect_that!(registry.listing().upstreams.len(), eq(0));
}

fn started(started_at_ms: u64, id: &str, models: &[&str]) -> Arc<Upstream> {
    let mut upstream = engine(id, models);
    Arc::make_mut(&mut upstream).started_at_ms = Some(started_at_ms);
    upstream
}

fn report_of_start(
    started_at_ms: u64,
    id: &str,
    sequence: u64,
    models: &[&str],
) -> EngineHolding {
    EngineHolding {
        started_at_ms: Some(started_at_ms),
        ..report(id, sequence, models)
    }
}

fn start_time(registry: &UpstreamRegistry, id: &str) -> Option<u64> {
    registry.listing().upstreams.get(&UpstreamId::new(id))?.started_at_ms
}

#[gtest]
fn a_restarted_engine_holds_no_models_of_the_earlier_start() {
    let mut registry = UpstreamRegistry::default();
    registry.replace(list(5, &[started(1, "e1", &["alpha"])]), false, at(0));
    registry.receive_holdings(
        vec![report_of_start(1, "e1", 7, &["alpha", "beta"])],
        at(10),
    );
    expect_true!(holds(&registry, "e1", "beta"));
    let mut change = delta(5, 6);
    change.changed.push(started(2, "e1", &[]));
    expect_true!(registry.apply(&change, at(100)));
    expect_false!(holds(&registry, "e1", "alpha"));
    expect_false!(holds(&registry, "e1", "beta"));
    expect_that!(start_time(&registry, "e1"), some(eq(2)));
    // Reports about the earlier start are ignored despite greater stamps.
    expect_false!(registry.receive_holdings(
        vec![report_of_start(1, "e1", 8, &["beta"])],
        at(110)
    ));
    expect_false!(
        registry.receive_holdings(vec![report("e1", 9, &["beta"])], at(120))
    );
    expect_false!(holds(&registry, "e1", "beta"));
    // A report about the present start is accepted.
    expect_true!(registry.receive_holdings(
        vec![report_of_start(2, "e1", 10, &["gamma"])],
        at(130)
    ));
    expect_true!(holds(&registry, "e1", "gamma"));
}

#[gtest]
fn a_late_entry_does_not_restore_an_earlier_start() {
    let mut registry = UpstreamRegistry::default();
    registry.replace(list(5, &[started(2, "e1", &["beta"])]), false, at(0));
    let mut change = delta(5, 6);
    change.changed.push(started(1, "e1", &["alpha"]));
    expect_true!(registry.apply(&change, at(10)));
    expect_true!(holds(&registry, "e1", "beta"));
    expect_that!(start_time(&registry, "e1"), some(eq(2)));
    let late = list(7, &[started(1, "e1", &["alpha"])]);
    expect_true!(registry.replace(late.clone(), false, at(20)));
    expect_true!(holds(&registry, "e1", "beta"));
    expect_that!(registry.version(), eq(7));
    // The same applies after the later start was removed.
    let mut change = delta(7, 8);
    change.removed.push(UpstreamId::new("e1"));
    expect_true!(registry.apply(&change, at(30)));
    let later = Listing { version: 9, ..late };
    expect_true!(registry.replace(later, false, at(40)));
    expect_that!(registry.listing().upstreams.len(), eq(0));
}

#[gtest]
fn a_holding_report_may_announce_a_restart_before_the_list() {
    let mut registry = UpstreamRegistry::default();
    let early = [started(1, "e1", &["alpha"])];
    registry.replace(list(5, &early), false, at(0));
    registry.take_changes();
    expect_true!(
        registry
            .receive_holdings(vec![report_of_start(2, "e1", 3, &[])], at(10))
    );
    expect_that!(start_time(&registry, "e1"), some(eq(2)));
    expect_false!(holds(&registry, "e1", "alpha"));
    let changes = registry.take_changes();
    expect_that!(changes, elements_are![eq(&UpstreamId::new("e1"))]);
    // The list lags and still contains the entry of the earlier start.
    registry.replace(list(6, &early), false, at(3_000));
    expect_false!(holds(&registry, "e1", "alpha"));
    expect_that!(start_time(&registry, "e1"), some(eq(2)));
}

#[gtest]
fn an_entry_without_a_start_time_applies_to_the_latest_start() {
    let mut registry = UpstreamRegistry::default();
    registry.replace(list(5, &[started(2, "e1", &["alpha"])]), false, at(0));
    registry.replace(list(6, &[engine("e1", &["beta"])]), false, at(10));
    expect_true!(holds(&registry, "e1", "beta"));
    expect_that!(start_time(&registry, "e1"), some(eq(2)));
}

#[gtest]
fn a_start_with_a_clock_set_back_is_accepted_after_ten_minutes() {
    let mut registry = UpstreamRegistry::default();
    registry.replace(list(5, &[started(2, "e1", &["alpha"])]), false, at(0));
    let later = list(6, &[started(1, "e1", &["beta"])]);
    registry.replace(later, false, at(599_999));
    expect_that!(start_time(&registry, "e1"), some(eq(2)));
    let later = list(7, &[started(1, "e1", &["beta"])]);
    registry.replace(later, false, at(600_000));
    expect_true!(holds(&registry, "e1", "beta"));
    expect_that!(start_time(&registry, "e1"), some(eq(1)));
}

/// An update about three engines.
#[derive(Debug, Clone)]
enum Step {
    List(Vec<(usize, usize)>),
    Change(Vec<(usize, usize)>, Vec<usize>),
    Report(usize, u64, usize),
}

const ENGINES: [&str; 3] = ["e1", "e2", "e3"];
const MODELS: [&str; 3] = ["alpha", "beta", "gamma"];

fn step() -> impl Strategy<Value = Step> {
    let engines = prop::collection::vec((0..3_usize, 0..3_usize), 0..4);
    let removed = prop::collection::vec(0..3_usize, 0..2);
    prop_oneof![
        engines.clone().prop_map(Step::List),
        (engines, removed)
            .prop_map(|(some, removed)| Step::Change(some, removed)),
        (0..3_usize, 0..20_u64, 0..3_usize)
            .prop_map(|(engine, at, model)| Step::Report(engine, at, model)),
    ]
}

fn engines_of(some: &[(usize, usize)]) -> Vec<Arc<Upstream>> {
    let one =
        |(id, model): &(usize, usize)| engine(ENGINES[*id], &[MODELS[*model]]);
    some.iter().map(one).collect()
}

/// Returns whether the index finds the same upstreams as an iteration over all
/// upstreams.
fn index_is_complete(registry: &UpstreamRegistry) -> bool {
    let (index, listing) = (registry.index(), registry.listing());
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

/// Returns whether each registry in `behind` gets the newest list by applying
/// the recent changes since its version, if all these changes are still kept.
fn can_catch_up(
    behind: &[UpstreamRegistry],
    registry: &UpstreamRegistry,
    now: Millis,
) -> bool {
    behind.iter().all(|one| {
        let Some(delta) = registry.recent().since(one.version()) else {
            return true;
        };
        let mut one = one.clone();
        one.apply(&delta, now);
        let mut ids = ENGINES.iter().map(UpstreamId::new);
        one.version() == registry.version()
            && ids.all(|id| one.listed(&id) == registry.listed(&id))
    })
}

/// After every step, a copy to which only the reported changes were applied
/// equals the merged entries, the index finds all upstreams, and registries
/// that lag behind can catch up.
#[gtest]
fn reported_changes_are_complete() {
    let mut runner = proptest::test_runner::TestRunner::default();
    let steps = prop::collection::vec(step(), 1..30);
    runner
        .run(&steps, |steps| {
            let mut registry = UpstreamRegistry::default();
            let mut copy = Listing::default();
            let mut behind: Vec<UpstreamRegistry> = Vec::new();
            let mut version = 1;
            for (number, step) in steps.iter().enumerate() {
                let now = at(number as u64 * 300);
                match step {
                    Step::List(some) => {
                        version += 1;
                        let listing = list(version, &engines_of(some));
                        registry.replace(listing, false, now);
                    }
                    Step::Change(some, removed) => {
                        let mut change =
                            delta(registry.version(), version + 1);
                        change.changed = engines_of(some);
                        let removed = removed.iter().map(|id| ENGINES[*id]);
                        change.removed =
                            removed.map(UpstreamId::new).collect();
                        version += u64::from(registry.apply(&change, now));
                    }
                    Step::Report(engine, sequence, model) => {
                        let report = report(
                            ENGINES[*engine],
                            *sequence,
                            &[MODELS[*model]],
                        );
                        registry.receive_holdings(vec![report], now);
                    }
                }
                // Apply only the reported changes to the copy.
                for id in registry.take_changes() {
                    match registry.listing().upstreams.get(&id) {
                        Some(one) => {
                            copy.upstreams.insert(id, one.clone());
                        }
                        None => {
                            copy.upstreams.remove(&id);
                        }
                    }
                }
                prop_assert_eq!(
                    &copy.upstreams,
                    &registry.listing().upstreams
                );
                prop_assert!(index_is_complete(&registry));
                prop_assert!(can_catch_up(&behind, &registry, now));
                behind.push(registry.clone());
            }
            Ok(())
        })
        .unwrap();
}

// Guards against a whole list that leaves no recent changes. When many
// instances start at once, nearly all of them have just read a whole list, and
// could not send peers the changes that the list brought.
#[gtest]
fn a_whole_list_adds_its_changes_to_the_recent_ones() {
    let mut registry = changed_often(100, 3);
    let mut later: Vec<Arc<Upstream>> =
        registry.listing().upstreams.values().cloned().collect();
    later.push(engine("new", &["alpha"]));
    registry.replace(list(9, &later), false, at(100));
    let missed = registry.recent().since(3).unwrap();
    expect_that!((missed.base_version, missed.version), eq((3, 9)));
    let names = missed.changed.iter().map(|one| one.id.as_str());
    expect_that!(names.collect::<Vec<_>>(), eq(&vec!["e3", "new"]));
}

/// Returns a registry with a list of engines after some deltas, each of which
/// changes one engine.
fn changed_often(engines: usize, changes: u64) -> UpstreamRegistry {
    let mut registry = UpstreamRegistry::default();
    let all: Vec<Arc<Upstream>> =
        (0..engines).map(|n| engine(&format!("e{n}"), &["alpha"])).collect();
    registry.replace(list(1, &all), false, at(0));
    for version in 1..=changes {
        let mut change = delta(version, version + 1);
        let models = if version % 2 == 0 { ["alpha"] } else { ["beta"] };
        change.changed = vec![engine(&format!("e{version}"), &models)];
        registry.apply(&change, at(version));
    }
    registry
}

// Guards against an instance that missed one change and reads the whole list
// from a peer: 400 KB at 3,996 upstreams, several times while engines start or
// crash.
#[gtest]
fn an_instance_that_lags_behind_gets_only_the_changes() {
    let registry = changed_often(4_000, 100);
    let missed = registry.recent().since(98).unwrap();
    expect_that!(missed.changed.len(), eq(3));
    expect_that!((missed.base_version, missed.version), eq((98, 101)));
    // There are no newer changes, or some are no longer kept.
    expect_that!(registry.recent().since(101), none());
    expect_that!(registry.recent().since(0), none());
    let registry = changed_often(100, 99);
    expect_that!(registry.recent().since(1), none());
    expect_that!(registry.recent().since(60), some(anything()));
}

/// Returns a packed version of the store after a restore from a copy.
fn restored(version: u64) -> u64 {
    StoreVersion { era: 1, version }.pack()
}

fn is_available(registry: &UpstreamRegistry, id: &str) -> bool {
    let upstream = registry.listing().upstreams.get(&UpstreamId::new(id));
    upstream.is_some_and(|one| !one.leaving)
}

/// A copy of the list contains upstreams that reported after the copy was made
/// that they are leaving, or that were removed.
#[gtest]
fn a_restored_store_does_not_bring_back_upstreams_that_left() {
    let mut registry = UpstreamRegistry::default();
    let all = ["e1", "e2", "e3"].map(|id| engine(id, &["alpha"]));
    registry.replace(list(5, &all), false, at(0));
    let leaving = Arc::new(Upstream { leaving: true, ..(*all[0]).clone() });
    let change = ListingDelta {
        changed: vec![leaving],
        removed: vec![UpstreamId::new("e2")],
        ..delta(5, 9)
    };
    expect_true!(registry.apply(&change, at(1_000)));
    expect_true!(registry.replace(list(restored(5), &all), false, at(8_000)));
    expect_false!(is_available(&registry, "e1"));
    expect_false!(is_available(&registry, "e2"));
    expect_true!(is_available(&registry, "e3"));
    // A list from before the restore is rejected despite its greater version.
    expect_false!(registry.replace(list(900, &all), false, at(8_100)));
    // An upstream that writes its entry again is available again.
    let again = ListingDelta {
        changed: vec![all[1].clone()],
        ..delta(restored(5), restored(6))
    };
    expect_true!(registry.apply(&again, at(9_000)));
    expect_true!(is_available(&registry, "e2"));
    expect_false!(is_available(&registry, "e1"));
}

/// An upstream that was listed after the copy was made is missing in the copy
/// until the upstream writes its entry again.
#[gtest]
fn an_upstream_missing_in_a_restored_store_is_kept_for_the_grace_period() {
    let mut registry = UpstreamRegistry::default();
    let all = ["e1", "e2"].map(|id| engine(id, &["alpha"]));
    registry.replace(list(5, &all), false, at(0));
    registry.replace(list(restored(3), &all[..1]), false, at(1_000));
    expect_true!(is_available(&registry, "e2"));
    registry.prune(at(2_000));
    expect_false!(is_available(&registry, "e2"));
    // The same applies to a delta that a peer sends.
    let mut receiver = UpstreamRegistry::default();
    receiver.replace(list(5, &all), false, at(0));
    let removed = vec![UpstreamId::new("e2")];
    let missing = ListingDelta { removed, ..delta(5, restored(3)) };
    expect_true!(receiver.apply(&missing, at(1_000)));
    expect_true!(is_available(&receiver, "e2"));
    receiver.prune(at(2_000));
    expect_false!(is_available(&receiver, "e2"));
}
