//! Tests that an upstream that reported that it is leaving is not used again.

use std::{collections::BTreeSet, sync::Arc};

use googletest::prelude::*;
use proptest::prelude::*;

use crate::{
    fleet::{
        EngineHolding, Holding, Listing, ListingDelta, Upstream,
        UpstreamRegistry, UpstreamStart, leaving::LeavingUpstreams,
    },
    id::{DataCentreId, ServiceName, UpstreamId},
    order::Stamp,
    time::Millis,
};

const SERVICE: &str = "engines";

fn at(ms: u64) -> Millis {
    Millis::new(ms)
}

fn start(id: u8, started_at_ms: Option<u64>) -> UpstreamStart {
    UpstreamStart { id: UpstreamId::new(format!("e{id}")), started_at_ms }
}

fn entry(start: &UpstreamStart, leaving: bool) -> Arc<Upstream> {
    Arc::new(Upstream {
        id: start.id.clone(),
        service: ServiceName::new(SERVICE),
        address: ([10, 0, 0, 1], 80).into(),
        data_centre: DataCentreId::new("north"),
        slots: 4,
        leaving,
        cold_for_ms: 0,
        started_at_ms: start.started_at_ms,
        software: None,
        holding: Holding::default(),
    })
}

/// An event that changes what an instance knows about upstreams.
#[derive(Debug, Clone)]
enum Event {
    /// The store returned its whole list. Each entry is a name and a start
    /// time.
    Listed { entries: Vec<(u8, Option<u64>)>, after_outage: bool },
    /// The store's watch returned a changed entry.
    Changed { id: u8, started_at_ms: Option<u64>, leaving: bool },
    /// The store's watch returned a removed entry.
    Removed { id: u8, after_outage: bool },
    /// The lease holder reported what the engine holds.
    Reported { id: u8, started_at_ms: Option<u64> },
    /// The upstream reported in an answer that it is leaving, or a peer
    /// reported such an answer.
    Leaves { id: u8, started_at_ms: Option<u64> },
    /// Time passed, in ms.
    Passed(u64),
}

/// Returns a start time. Every entry and report in these tests states one.
fn start_time() -> impl Strategy<Value = Option<u64>> {
    (1_u64..4).prop_map(Some)
}

fn event() -> impl Strategy<Value = Event> {
    let id = 0_u8..3;
    prop_oneof![
        (
            prop::collection::vec((id.clone(), start_time()), 0..4),
            any::<bool>()
        )
            .prop_map(|(entries, after_outage)| Event::Listed {
                entries,
                after_outage
            }),
        (id.clone(), start_time(), any::<bool>()).prop_map(
            |(id, started_at_ms, leaving)| Event::Changed {
                id,
                started_at_ms,
                leaving
            }
        ),
        (id.clone(), any::<bool>()).prop_map(|(id, after_outage)| {
            Event::Removed { id, after_outage }
        }),
        (id.clone(), start_time()).prop_map(|(id, started_at_ms)| {
            Event::Reported { id, started_at_ms }
        }),
        (id, start_time()).prop_map(|(id, started_at_ms)| Event::Leaves {
            id,
            started_at_ms
        }),
        (0_u64..70_000).prop_map(Event::Passed),
    ]
}

/// Applies events to a registry, one after the other.
struct Run {
    registry: UpstreamRegistry,
    leaving: BTreeSet<UpstreamStart>,
    now: Millis,
    version: u64,
}

impl Run {
    fn new() -> Self {
        Self {
            registry: UpstreamRegistry::default(),
            leaving: BTreeSet::new(),
            now: at(1_000),
            version: 0,
        }
    }

    fn change(&mut self, delta: impl FnOnce(&mut ListingDelta)) {
        let before = self.registry.version();
        self.version += 1;
        let mut change = ListingDelta {
            base_version: before,
            version: self.version,
            changed: Vec::new(),
            removed: Vec::new(),
            after_outage: false,
        };
        delta(&mut change);
        self.registry.apply(&change, self.now);
    }

    fn apply(&mut self, event: Event) {
        match event {
            Event::Listed { entries, after_outage } => {
                self.version += 1;
                let entries =
                    entries.into_iter().map(|(id, started_at_ms)| {
                        let start = start(id, started_at_ms);
                        (start.id.clone(), entry(&start, false))
                    });
                let upstreams = entries.collect();
                let list = Listing { version: self.version, upstreams };
                self.registry.replace(list, after_outage, self.now);
            }
            Event::Changed { id, started_at_ms, leaving } => {
                let changed = entry(&start(id, started_at_ms), leaving);
                self.change(|delta| delta.changed.push(changed));
            }
            Event::Removed { id, after_outage } => self.change(|delta| {
                delta.removed.push(start(id, None).id);
                delta.after_outage = after_outage;
            }),
            Event::Reported { id, started_at_ms } => {
                let stamp = Stamp { epoch: 1, sequence: self.version };
                let engine = start(id, None).id;
                let holding = Holding::default();
                let report =
                    EngineHolding { engine, started_at_ms, holding, stamp };
                self.registry.receive_holdings(vec![report], self.now);
            }
            Event::Leaves { id, started_at_ms } => {
                let start = start(id, started_at_ms);
                let is_new = self.registry.record_leaving(&start, self.now);
                assert_eq!(is_new, self.leaving.insert(start));
            }
            Event::Passed(ms) => {
                self.now = self.now + ms;
                self.registry.prune(self.now);
            }
        }
    }
}

proptest! {
    /// A start that reported that it is leaving is not used again, regardless
    /// of the list entries and holder reports that follow and of their order.
    #[test]
    fn no_event_makes_a_leaving_start_available_again(
        events in prop::collection::vec(event(), 1..60),
    ) {
        let mut run = Run::new();
        for event in events {
            // Reports are kept for ten minutes after an upstream is gone.
            if run.now >= at(580_000) {
                break;
            }
            run.apply(event);
            let service = ServiceName::new(SERVICE);
            for upstream in run.registry.listing().available(&service) {
                prop_assert!(!run.leaving.contains(&upstream.start()));
            }
        }
    }

    /// The report of one start does not mark another start of the upstream, or
    /// another upstream, as leaving.
    #[test]
    fn only_the_start_that_reported_it_is_marked_as_leaving(
        events in prop::collection::vec(event(), 1..60),
    ) {
        let mut run = Run::new();
        for event in events {
            let is_listed_as_leaving =
                matches!(event, Event::Changed { leaving: true, .. });
            if is_listed_as_leaving {
                continue;
            }
            run.apply(event);
            for upstream in run.registry.listing().upstreams.values() {
                let is_marked = upstream.leaving;
                let has_reported = run.leaving.contains(&upstream.start());
                prop_assert_eq!(is_marked, has_reported);
            }
        }
    }
}

#[gtest]
fn a_report_is_kept_until_ten_minutes_after_its_start_is_gone() {
    let (kept, gone) = (start(1, None), start(2, None));
    let mut leaving = LeavingUpstreams::default();
    expect_true!(leaving.record(&kept, 2, at(0)));
    expect_true!(leaving.record(&gone, 2, at(0)));
    expect_false!(leaving.record(&gone, 2, at(10)));
    let known = |one: &UpstreamStart| *one == kept;
    leaving.prune(known, at(599_000));
    expect_true!(leaving.contains(&gone));
    leaving.prune(known, at(660_000));
    expect_true!(leaving.contains(&kept));
    expect_false!(leaving.contains(&gone));
    leaving.prune(|_| false, at(1_259_000));
    expect_true!(leaving.contains(&kept));
    leaving.prune(|_| false, at(1_320_000));
    expect_false!(leaving.contains(&kept));
}

#[gtest]
fn reports_are_bounded_and_the_oldest_is_evicted_first() {
    let mut leaving = LeavingUpstreams::default();
    for number in 0..5_000_u64 {
        leaving.record(&start(1, Some(number)), 1, at(number));
    }
    expect_that!(leaving.starts().count(), eq(4_096));
    expect_false!(leaving.contains(&start(1, Some(903))));
    expect_true!(leaving.contains(&start(1, Some(904))));
}

// Guards against a fixed limit on the number of reports. In a fleet of 3,996
// upstreams, with a limit of twice the size of earlier fleets, the report of a
// leaving upstream was evicted too early, and the upstream got requests again.
#[gtest]
fn reports_of_a_large_fleet_and_its_replacements_are_all_kept() {
    let upstreams = 8_000;
    let mut leaving = LeavingUpstreams::default();
    for number in 0..2 * upstreams as u64 {
        leaving.record(&start(1, Some(number)), upstreams, at(number));
    }
    expect_that!(leaving.starts().count(), eq(2 * upstreams));
    expect_true!(leaving.contains(&start(1, Some(0))));
}
