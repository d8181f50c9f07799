//! What an upstream says of its own leaving holds for good.

use std::{collections::BTreeSet, sync::Arc};

use googletest::prelude::*;
use proptest::prelude::*;

use crate::{
    fleet::{
        EngineHolding, Holding, KnownUpstreams, Listing, ListingDelta,
        Upstream, UpstreamStart, leaving::LeavingUpstreams,
    },
    id::{DataCentreId, ServiceName, UpstreamId},
    order::Stamp,
    time::Millis,
};

const SERVICE: &str = "engines";

fn at(ms: u64) -> Millis {
    Millis::new(ms)
}

fn start(id: u8, birth: Option<u64>) -> UpstreamStart {
    UpstreamStart {
        id: UpstreamId::new(format!("e{id}")),
        started_at_ms: birth,
    }
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
        holding: Holding::default(),
    })
}

/// What may be said of upstreams, and by whom.
#[derive(Debug, Clone)]
enum Word {
    /// The store's whole list: each with its birth, if it states one.
    Listed { entries: Vec<(u8, Option<u64>)>, after_outage: bool },
    /// A change that the store's watch gave.
    Changed { id: u8, birth: Option<u64>, leaving: bool },
    /// An entry went.
    Gone { id: u8, after_outage: bool },
    /// The holder told what it holds.
    Told { id: u8, birth: Option<u64> },
    /// It said so in an answer, or a peer told of that.
    Leaves { id: u8, birth: Option<u64> },
    /// Time passed, in ms.
    Passed(u64),
}

/// Births as they are stated: by none of them, or by all.
fn birth() -> impl Strategy<Value = Option<u64>> {
    (1_u64..4).prop_map(Some)
}

fn word() -> impl Strategy<Value = Word> {
    let id = 0_u8..3;
    prop_oneof![
        (prop::collection::vec((id.clone(), birth()), 0..4), any::<bool>())
            .prop_map(|(entries, after_outage)| Word::Listed {
                entries,
                after_outage
            }),
        (id.clone(), birth(), any::<bool>()).prop_map(
            |(id, birth, leaving)| Word::Changed { id, birth, leaving }
        ),
        (id.clone(), any::<bool>())
            .prop_map(|(id, after_outage)| Word::Gone { id, after_outage }),
        (id.clone(), birth()).prop_map(|(id, birth)| Word::Told { id, birth }),
        (id, birth()).prop_map(|(id, birth)| Word::Leaves { id, birth }),
        (0_u64..70_000).prop_map(Word::Passed),
    ]
}

/// Takes words in, one after the other.
struct Run {
    known: KnownUpstreams,
    said: BTreeSet<UpstreamStart>,
    now: Millis,
    version: u64,
}

impl Run {
    fn new() -> Self {
        Self {
            known: KnownUpstreams::default(),
            said: BTreeSet::new(),
            now: at(1_000),
            version: 0,
        }
    }

    fn change(&mut self, delta: impl FnOnce(&mut ListingDelta)) {
        let before = self.known.version();
        self.version += 1;
        let mut change = ListingDelta {
            base_version: before,
            version: self.version,
            changed: Vec::new(),
            removed: Vec::new(),
            after_outage: false,
        };
        delta(&mut change);
        self.known.apply(&change, self.now);
    }

    fn take(&mut self, word: Word) {
        match word {
            Word::Listed { entries, after_outage } => {
                self.version += 1;
                let entries = entries.into_iter().map(|(id, birth)| {
                    let start = start(id, birth);
                    (start.id.clone(), entry(&start, false))
                });
                let upstreams = entries.collect();
                let list = Listing { version: self.version, upstreams };
                self.known.replace(list, after_outage, self.now);
            }
            Word::Changed { id, birth, leaving } => {
                let changed = entry(&start(id, birth), leaving);
                self.change(|delta| delta.changed.push(changed));
            }
            Word::Gone { id, after_outage } => self.change(|delta| {
                delta.removed.push(start(id, None).id);
                delta.after_outage = after_outage;
            }),
            Word::Told { id, birth } => {
                let stamp = Stamp { epoch: 1, sequence: self.version };
                let engine = start(id, None).id;
                let holding = Holding::default();
                let told = EngineHolding {
                    engine,
                    started_at_ms: birth,
                    holding,
                    stamp,
                };
                self.known.tell(vec![told], self.now);
            }
            Word::Leaves { id, birth } => {
                let start = start(id, birth);
                let is_new = self.known.say_leaving(&start, self.now);
                assert_eq!(is_new, self.said.insert(start));
            }
            Word::Passed(ms) => {
                self.now = self.now + ms;
                self.known.pass(self.now);
            }
        }
    }
}

proptest! {
    /// Whatever entries, holders and time say after it, and in whatever order:
    /// no start that said that it leaves is used again.
    #[test]
    fn nothing_brings_back_who_said_that_it_leaves(
        words in prop::collection::vec(word(), 1..60),
    ) {
        let mut run = Run::new();
        for word in words {
            // Words are kept for ten minutes after an upstream is gone.
            if run.now >= at(580_000) {
                break;
            }
            run.take(word);
            let service = ServiceName::new(SERVICE);
            for upstream in run.known.listing().available(&service) {
                prop_assert!(!run.said.contains(&upstream.start()));
            }
        }
    }

    /// Nor is any other start of it, or any other upstream, held back.
    #[test]
    fn no_other_start_is_held_back(
        words in prop::collection::vec(word(), 1..60),
    ) {
        let mut run = Run::new();
        for word in words {
            let is_listed_as_leaving =
                matches!(word, Word::Changed { leaving: true, .. });
            if is_listed_as_leaving {
                continue;
            }
            run.take(word);
            for upstream in run.known.listing().upstreams.values() {
                let is_held_back = upstream.leaving;
                let has_said = run.said.contains(&upstream.start());
                prop_assert_eq!(is_held_back, has_said);
            }
        }
    }
}

#[gtest]
fn a_word_lasts_as_long_as_its_upstream_and_ten_minutes() {
    let (kept, gone) = (start(1, None), start(2, None));
    let mut leaving = LeavingUpstreams::default();
    expect_true!(leaving.note(&kept, 2, at(0)));
    expect_true!(leaving.note(&gone, 2, at(0)));
    expect_false!(leaving.note(&gone, 2, at(10)));
    let known = |one: &UpstreamStart| *one == kept;
    leaving.sweep(known, at(599_000));
    expect_true!(leaving.contains(&gone));
    leaving.sweep(known, at(660_000));
    expect_true!(leaving.contains(&kept));
    expect_false!(leaving.contains(&gone));
    leaving.sweep(|_| false, at(1_259_000));
    expect_true!(leaving.contains(&kept));
    leaving.sweep(|_| false, at(1_320_000));
    expect_false!(leaving.contains(&kept));
}

#[gtest]
fn words_are_bounded_and_the_oldest_goes_first() {
    let mut leaving = LeavingUpstreams::default();
    for number in 0..5_000_u64 {
        leaving.note(&start(1, Some(number)), 1, at(number));
    }
    expect_that!(leaving.starts().count(), eq(4_096));
    expect_false!(leaving.contains(&start(1, Some(903))));
    expect_true!(leaving.contains(&start(1, Some(904))));
}

// Words were bounded by a number that was twice the upstreams of the fleets of
// its time. With 3,996 upstreams, the word of one that leaves was forgotten
// while it left, and it was given requests again.
#[gtest]
fn every_upstream_of_a_large_fleet_may_leave_and_its_successor_too() {
    let upstreams = 8_000;
    let mut leaving = LeavingUpstreams::default();
    for number in 0..2 * upstreams as u64 {
        leaving.note(&start(1, Some(number)), upstreams, at(number));
    }
    expect_that!(leaving.starts().count(), eq(2 * upstreams));
    expect_true!(leaving.contains(&start(1, Some(0))));
}
