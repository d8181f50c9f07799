//! Who may give orders when, as gateways take the lease one after the other.

use std::sync::{
    Arc, Mutex,
    atomic::{AtomicBool, AtomicU64, Ordering},
};

use futures::FutureExt;
use googletest::prelude::*;
use tokio::{sync::mpsc, task::LocalSet};
use valehold_core::{
    Millis,
    fleet::{
        Listing, StoreVersion,
        crashes::{RecordChange, RecordState},
        weight_loads::{InheritedLoads, LostLoads},
    },
    id::InstanceId,
    lease::{LeaseInEra, LeaseRow, VersionedLease},
};
use valehold_ports::{
    PortError,
    port::{
        Answer,
        fleet::{
            CatalogNews, FleetStore, LeaseSight, LeaseWrite, ListingNews,
            WatchSpan,
        },
    },
};

use super::{Around, LeaseDuty};
use crate::control::input::Input;

/// How long no one may give orders between two holders, in ms.
const QUIET_MS: u64 = 3_000;

/// How long after its start a gateway asks for the lease, in ms.
const SETTLED_MS: u64 = 1_000;

/// Hears of no holder, and need not wait for others.
const ALONE: Around =
    Around { holder_heard: false, store_heard: true, place: 0 };

/// Loads without an answer.
const SEVEN: LostLoads = LostLoads { count: 7, until: Millis::new(19_000) };

/// A store of one row.
struct RowStore {
    lease: Mutex<VersionedLease>,
    clock_ms: AtomicU64,
    /// How often it came back from a copy.
    era: AtomicU64,
    /// Whether the row is from before that.
    is_restored: AtomicBool,
}

impl RowStore {
    fn new() -> Arc<Self> {
        let lease = VersionedLease { version: 0, row: None };
        let lease = Mutex::new(lease);
        Arc::new(Self {
            lease,
            clock_ms: AtomicU64::new(0),
            era: AtomicU64::new(0),
            is_restored: AtomicBool::new(false),
        })
    }

    /// Comes back from a copy.
    fn come_back_from(&self, copy: &VersionedLease) {
        let era = self.era.fetch_add(1, Ordering::SeqCst) + 1;
        let version = StoreVersion { era, version: 0 }.pack();
        let row = copy.row.clone();
        *self.lease.lock().unwrap() = VersionedLease { version, row };
        self.is_restored.store(true, Ordering::SeqCst);
    }

    fn copy(&self) -> VersionedLease {
        self.lease.lock().unwrap().clone()
    }
}

impl FleetStore for RowStore {
    fn read_catalog(&self) -> Answer<'_, CatalogNews> {
        unasked()
    }

    fn await_catalog(&self, _: u64, _: WatchSpan) -> Answer<'_, CatalogNews> {
        unasked()
    }

    fn read_listing(&self) -> Answer<'_, Listing> {
        unasked()
    }

    fn await_listing(&self, _: u64, _: WatchSpan) -> Answer<'_, ListingNews> {
        unasked()
    }

    fn read_lease(&self) -> Answer<'_, LeaseSight> {
        let lease = self.lease.lock().unwrap().clone();
        let store_ms = self.clock_ms.load(Ordering::SeqCst);
        let is_restored = self.is_restored.load(Ordering::SeqCst);
        let lease = LeaseInEra { lease, is_restored };
        let sight = LeaseSight { lease, store_ms };
        async move { Ok(sight) }.boxed()
    }

    fn write_lease<'a>(
        &'a self,
        version: u64,
        row: &'a LeaseRow,
    ) -> Answer<'a, LeaseWrite> {
        let mut lease = self.lease.lock().unwrap();
        let era = self.era.load(Ordering::SeqCst);
        if StoreVersion::unpack(version).era != era {
            let version = StoreVersion { era, version: 0 }.pack();
            return async move { Ok(LeaseWrite::OtherEra { version }) }
                .boxed();
        }
        if lease.version != version {
            return async { Ok(LeaseWrite::Lost) }.boxed();
        }
        let version = version + 1;
        self.is_restored.store(false, Ordering::SeqCst);
        *lease = VersionedLease { version, row: Some(row.clone()) };
        let store_ms = self.clock_ms.load(Ordering::SeqCst);
        async move { Ok(LeaseWrite::Won { version, store_ms }) }.boxed()
    }

    fn read_refused(&self) -> Answer<'_, RecordState> {
        unasked()
    }

    fn write_refused<'a>(&'a self, _: &'a RecordChange) -> Answer<'a, ()> {
        unasked()
    }
}

fn unasked<'a, T: Send + 'a>() -> Answer<'a, T> {
    async { Err(PortError::malformed("not asked for here")) }.boxed()
}

/// A gateway's part in the lease.
struct Member {
    duty: LeaseDuty,
    inputs: mpsc::UnboundedReceiver<Input>,
    store: Arc<RowStore>,
}

impl Member {
    /// Starts one, as a process of its own.
    fn start(store: &Arc<RowStore>, name: &str, now: u64) -> Self {
        let (sender, inputs) = mpsc::unbounded_channel();
        let me = InstanceId::new(name);
        let duty =
            LeaseDuty::new(me, QUIET_MS, store.clone(), sender, at(now));
        Self { duty, inputs, store: store.clone() }
    }

    /// Lets it act at a moment, until its calls are over.
    async fn act(&mut self, now: u64) {
        self.store.clock_ms.store(now, Ordering::SeqCst);
        let now = at(now);
        self.duty.tick(now, ALONE);
        self.hear(now).await;
    }

    async fn hear(&mut self, now: Millis) {
        tokio::task::yield_now().await;
        while let Ok(input) = self.inputs.try_recv() {
            match input {
                Input::LeaseRead(read) => self.duty.read_done(read, now),
                Input::LeaseWritten(write, written) => {
                    self.duty.write_done(write, written, now);
                }
                other => panic!("{other:?}"),
            }
            tokio::task::yield_now().await;
        }
    }

    /// Lets it act often until a moment.
    async fn act_from(&mut self, from: u64, until: u64) {
        for now in (from..until).step_by(50) {
            self.act(now).await;
        }
    }

    async fn step_down(&mut self, now: u64) {
        self.store.clock_ms.store(now, Ordering::SeqCst);
        self.duty.step_down(at(now));
        self.hear(at(now)).await;
    }

    /// Gives an order if it may.
    fn order(&mut self, now: u64) -> bool {
        self.duty.take_order_epoch(at(now)).is_some()
    }
}

fn at(ms: u64) -> Millis {
    Millis::new(ms)
}

/// A holder gave an order, was killed, took its own lease back and stopped at
/// once. The next one was told that no orders had been given, and could give
/// its own 2 s after the first, where 3 s have to pass: engines that do not
/// check fences followed two holders at a time.
#[gtest]
#[tokio::test(flavor = "current_thread")]
async fn a_holder_that_started_again_keeps_the_next_one_quiet() {
    let steps = async {
        let store = RowStore::new();
        let mut first = Member::start(&store, "g1", 0);
        first.act_from(SETTLED_MS, 5_000).await;
        expect_true!(first.order(5_000));
        drop(first);
        let mut again = Member::start(&store, "g1", 5_100);
        again.act_from(5_100 + SETTLED_MS, 6_500).await;
        expect_true!(again.duty.held_epoch(at(6_500)).is_some());
        again.step_down(6_500).await;
        let mut next = Member::start(&store, "g2", 0);
        next.act_from(6_550, 5_000 + QUIET_MS).await;
        expect_true!(next.duty.held_epoch(at(8_000)).is_some());
        expect_false!(next.order(5_000 + QUIET_MS));
        next.act_from(5_000 + QUIET_MS, 12_000).await;
        expect_true!(next.order(12_000));
    };
    LocalSet::new().run_until(steps).await;
}

/// The same where the holder only lost its term for a moment, as on a machine
/// that gets little of its processor.
#[gtest]
#[tokio::test(flavor = "current_thread")]
async fn a_holder_that_lost_its_term_keeps_the_next_one_quiet() {
    let steps = async {
        let store = RowStore::new();
        let mut holder = Member::start(&store, "g1", 0);
        holder.act_from(SETTLED_MS, 5_000).await;
        expect_true!(holder.order(7_500));
        // No renewal for longer than the term.
        holder.act_from(9_000, 9_600).await;
        expect_true!(holder.duty.held_epoch(at(9_600)).is_some());
        holder.step_down(9_600).await;
        let mut next = Member::start(&store, "g2", 0);
        next.act_from(9_650, 7_500 + QUIET_MS).await;
        expect_true!(next.duty.held_epoch(at(10_500)).is_some());
        expect_false!(next.order(7_500 + QUIET_MS));
    };
    LocalSet::new().run_until(steps).await;
}

/// Lets a gateway take the lease, and returns what it counts of others' loads.
async fn inherited(member: &mut Member, from: u64) -> Option<InheritedLoads> {
    member.act_from(from, from + 5_000).await;
    expect_true!(member.duty.held_epoch(at(from + 5_000)).is_some());
    member.duty.take_inheritance()
}

/// Checks that the row told of [`SEVEN`].
fn expect_seven(lost: LostLoads) {
    expect_that!(lost.count, eq(7));
    // Told on the store's clock, which is read a little late at the most.
    expect_that!(lost.until, ge(SEVEN.until));
    expect_that!(lost.until, le(SEVEN.until + 500));
}

#[gtest]
#[tokio::test(flavor = "current_thread")]
async fn nothing_is_inherited_of_nobody() {
    let steps = async {
        let mut first = Member::start(&RowStore::new(), "g1", 0);
        expect_that!(inherited(&mut first, SETTLED_MS).await, none());
    };
    LocalSet::new().run_until(steps).await;
}

#[gtest]
#[tokio::test(flavor = "current_thread")]
async fn a_process_that_lost_its_term_knows_what_it_ordered() {
    let steps = async {
        let mut holder = Member::start(&RowStore::new(), "g1", 0);
        inherited(&mut holder, SETTLED_MS).await;
        let again = inherited(&mut holder, 20_000).await;
        expect_that!(holder.duty.held_epoch(at(25_000)), some(eq(2)));
        expect_that!(again, none());
    };
    LocalSet::new().run_until(steps).await;
}

#[gtest]
#[tokio::test(flavor = "current_thread")]
async fn a_process_that_started_again_inherits_until_its_start() {
    let steps = async {
        let store = RowStore::new();
        let mut first = Member::start(&store, "g1", 0);
        inherited(&mut first, SETTLED_MS).await;
        first.duty.note_lost_loads(SEVEN);
        first.act_from(6_000, 8_000).await;
        drop(first);
        let mut again = Member::start(&store, "g1", 8_100);
        let others = inherited(&mut again, 8_100 + SETTLED_MS).await;
        let others = others.expect("what the last process ordered");
        expect_that!(others.until, ge(at(8_100)));
        expect_that!(others.until, le(at(9_100)));
        expect_seven(others.lost);
    };
    LocalSet::new().run_until(steps).await;
}

#[gtest]
#[tokio::test(flavor = "current_thread")]
async fn the_next_holder_inherits_until_the_last_ones_orders_arrived() {
    let steps = async {
        let store = RowStore::new();
        let mut first = Member::start(&store, "g1", 0);
        inherited(&mut first, SETTLED_MS).await;
        first.duty.note_lost_loads(SEVEN);
        expect_true!(first.order(6_000));
        first.step_down(6_050).await;
        let mut next = Member::start(&store, "g2", 0);
        let others = inherited(&mut next, 6_100).await;
        let others = others.expect("what the last holder ordered");
        expect_that!(others.until, ge(at(6_000)));
        expect_that!(others.until, le(at(8_000)));
        expect_seven(others.lost);
    };
    LocalSet::new().run_until(steps).await;
}

/// The answer to the write that takes the lease comes when its term is over, as
/// on a machine that gets little of its processor. What the last holder began
/// is still to be counted when the lease is taken back.
#[gtest]
#[tokio::test(flavor = "current_thread")]
async fn what_is_inherited_outlasts_a_term_that_was_missed() {
    let steps = async {
        let store = RowStore::new();
        let mut first = Member::start(&store, "g1", 0);
        inherited(&mut first, SETTLED_MS).await;
        expect_true!(first.order(6_000));
        first.step_down(6_050).await;
        let mut next = Member::start(&store, "g2", 0);
        next.act(6_100).await;
        next.store.clock_ms.store(6_300, Ordering::SeqCst);
        next.duty.tick(at(6_300), ALONE);
        tokio::task::yield_now().await;
        let Ok(Input::LeaseRead(read)) = next.inputs.try_recv() else {
            panic!("the row was to be read")
        };
        next.duty.read_done(read, at(6_300));
        next.hear(at(20_000)).await;
        expect_true!(next.duty.held_epoch(at(20_000)).is_none());
        let others = inherited(&mut next, 20_050).await;
        expect_that!(others.is_some(), eq(true));
    };
    LocalSet::new().run_until(steps).await;
}

/// Who holds the lease when the store comes back from a copy goes on, and no
/// other takes it.
#[gtest]
#[tokio::test(flavor = "current_thread")]
async fn a_holder_goes_on_though_its_row_is_gone() {
    let steps = async {
        let store = RowStore::new();
        let nothing = store.copy();
        let mut holder = Member::start(&store, "g1", 0);
        holder.act_from(SETTLED_MS, 5_000).await;
        let epoch = holder.duty.held_epoch(at(5_000));
        expect_true!(epoch.is_some());
        store.come_back_from(&nothing);
        let mut other = Member::start(&store, "g2", 0);
        for now in (5_000..20_000).step_by(50) {
            holder.act(now).await;
            other.act(now).await;
            expect_that!(holder.duty.held_epoch(at(now)), eq(epoch), "{now}");
            expect_false!(other.order(now), "{now}");
        }
    };
    LocalSet::new().run_until(steps).await;
}

/// A copy names the first holder; the second one took the lease after that, and
/// is gone. The first has waited for it to be over, like any other, and has an
/// epoch that nobody had.
#[gtest]
#[tokio::test(flavor = "current_thread")]
async fn an_epoch_that_the_copy_does_not_have_is_not_given_out_again() {
    let steps = async {
        let store = RowStore::new();
        let mut first = Member::start(&store, "g1", 0);
        first.act_from(SETTLED_MS, 5_000).await;
        let copy = store.copy();
        let mut second = Member::start(&store, "g2", 0);
        second.act_from(5_000, 14_000).await;
        expect_true!(second.order(14_000));
        let lost = second.duty.held_epoch(at(14_000)).unwrap();
        store.come_back_from(&copy);
        drop(second);
        let mut earliest = None;
        for now in (14_000..30_000).step_by(50) {
            first.act(now).await;
            if earliest.is_none() && first.order(now) {
                earliest = Some(now);
                let epoch = first.duty.held_epoch(at(now)).unwrap();
                expect_that!(epoch, gt(lost));
            }
        }
        // The second could have given orders until its term was over.
        let quiet_from = 14_000 + 3_000;
        expect_that!(earliest, some(ge(quiet_from + QUIET_MS)));
        expect_that!(earliest, some(le(24_000)));
        // The next one has a later epoch again.
        let held = first.duty.held_epoch(at(29_950)).unwrap();
        drop(first);
        let mut third = Member::start(&store, "g3", 30_000);
        third.act_from(30_000, 40_000).await;
        expect_that!(third.duty.held_epoch(at(40_000)), some(gt(held)));
    };
    LocalSet::new().run_until(steps).await;
}

/// Gateways of an earlier version renew the row that they know, whatever era
/// the store names.
#[gtest]
#[tokio::test(flavor = "current_thread")]
async fn a_row_of_an_earlier_era_that_goes_on_changing_is_held() {
    let steps = async {
        let store = RowStore::new();
        let mut earlier = Member::start(&store, "g1", 0);
        earlier.act_from(SETTLED_MS, 5_000).await;
        store.come_back_from(&store.copy());
        let mut later = Member::start(&store, "g2", 0);
        for now in (5_000..20_000).step_by(50) {
            if now % 700 == 0 {
                let mut lease = store.lease.lock().unwrap();
                lease.row.as_mut().unwrap().renewals += 1;
            }
            later.act(now).await;
            expect_that!(later.duty.held_epoch(at(now)), none(), "{now}");
        }
        later.act_from(20_000, 25_000).await;
        expect_true!(later.duty.held_epoch(at(25_000)).is_some());
    };
    LocalSet::new().run_until(steps).await;
}
