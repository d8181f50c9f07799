//! Memory is never overcommitted, whatever becomes of orders and holders.

use std::collections::BTreeMap;

use googletest::prelude::*;
use proptest::prelude::*;

use super::{
    EngineAccount, OrderFault, Reported, ReportedArtifact, ResidencyReport,
};
use crate::{
    Millis,
    chart::library::ResidencyState,
    id::{Artifact, UpstreamId},
    order::{Order, Stamp, Wanted},
    testing::cases,
};

const USABLE_MIB: u64 = 100;
const BOUND_MS: u64 = 1_000;
const RESEND_MS: u64 = 100;
/// Sizes of the artifacts: any two of the larger ones do not fit together.
const SIZES: [u64; 4] = [60, 50, 45, 30];
const HOLDERS: usize = 3;

fn artifact(index: usize) -> Artifact {
    Artifact::new(format!("m{}", index % SIZES.len()), 1)
}

fn size(artifact: &Artifact) -> u64 {
    let index =
        (0..SIZES.len()).find(|i| super::tests::artifact(*i) == *artifact);
    SIZES[index.unwrap()]
}

/// An engine that obeys at once, and finishes loads when it is told to.
#[derive(Debug, Default)]
struct Engine {
    checks_fences: bool,
    held: BTreeMap<Artifact, Reported>,
    fences: BTreeMap<Artifact, Stamp>,
    epoch: u64,
}

impl Engine {
    fn taken_mib(&self) -> u64 {
        self.held.keys().map(size).sum()
    }

    fn obey(&mut self, order: &Order) {
        if self.checks_fences {
            let fence = self.fences.get(&order.artifact).copied();
            let stale = fence.is_some_and(|fence| order.stamp < fence);
            if stale || order.stamp.epoch < self.epoch {
                return;
            }
            self.epoch = order.stamp.epoch;
            self.fences.insert(order.artifact.clone(), order.stamp);
        }
        match order.wanted {
            Wanted::Resident => {
                let held = self.held.entry(order.artifact.clone());
                held.or_insert(Reported::Loading);
            }
            Wanted::Absent => {
                self.held.remove(&order.artifact);
            }
        }
    }

    fn report(&self) -> ResidencyReport {
        let artifacts = self.held.iter().map(|(artifact, state)| {
            let (artifact, state) = (artifact.clone(), *state);
            ReportedArtifact { size_mib: size(&artifact), artifact, state }
        });
        let fences = self.fences.iter().map(|(a, s)| (a.clone(), *s));
        ResidencyReport {
            artifacts: artifacts.collect(),
            fences: fences.collect(),
        }
    }
}

/// A holder of the cell: the newest, or an earlier one that was paused and
/// does not know that its time is over.
#[derive(Debug)]
struct Holder {
    epoch: u64,
    sequence: u64,
    account: EngineAccount,
    /// Orders decided whose recording has no answer yet.
    intended: Vec<Order>,
    /// Reports asked for and not taken in yet.
    reports: Vec<(Millis, ResidencyReport)>,
    gone: bool,
}

impl Holder {
    fn stamp(&mut self) -> Stamp {
        self.sequence += 1;
        Stamp { epoch: self.epoch, sequence: self.sequence }
    }
}

#[derive(Debug, Clone)]
enum Step {
    Pass(u64),
    Load(usize, usize),
    Unload(usize, usize),
    Renew(usize),
    /// The record takes effect, if the holder's epoch is the newest, and is
    /// answered, or the answer is lost.
    Record {
        holder: usize,
        answered: bool,
    },
    /// The record certainly does not take effect.
    Refuse(usize),
    Send(usize),
    Deliver {
        message: usize,
        again: bool,
    },
    Drop(usize),
    FinishLoads,
    AskReport(usize),
    TakeReport {
        holder: usize,
        report: usize,
    },
    ClearRows(usize),
    TakeOver,
    /// Decides, records and sends in one go, as happens when all is well.
    Place {
        load: bool,
        index: usize,
    },
    /// Asks the engine for a report and takes it in.
    Report,
}

fn step() -> impl Strategy<Value = Step> {
    // Mostly the newest holder, for earlier ones can do little.
    let holder = prop_oneof![4 => Just(0), 1 => 1..HOLDERS];
    let thing = 0..SIZES.len();
    prop_oneof![
        3 => (1_u64..400).prop_map(Step::Pass),
        4 => (holder.clone(), thing.clone())
            .prop_map(|(h, a)| Step::Load(h, a)),
        4 => (holder.clone(), thing).prop_map(|(h, a)| Step::Unload(h, a)),
        1 => holder.clone().prop_map(Step::Renew),
        6 => (holder.clone(), any::<bool>()).prop_map(|(holder, answered)| {
            Step::Record { holder, answered }
        }),
        1 => holder.clone().prop_map(Step::Refuse),
        6 => holder.clone().prop_map(Step::Send),
        6 => (0_usize..8, any::<bool>()).prop_map(|(message, again)| {
            Step::Deliver { message, again }
        }),
        1 => (0_usize..8).prop_map(Step::Drop),
        3 => Just(Step::FinishLoads),
        4 => holder.clone().prop_map(Step::AskReport),
        4 => (holder.clone(), 0_usize..4).prop_map(|(holder, report)| {
            Step::TakeReport { holder, report }
        }),
        2 => holder.prop_map(Step::ClearRows),
        1 => Just(Step::TakeOver),
        12 => (any::<bool>(), 0..SIZES.len()).prop_map(|(load, index)| {
            Step::Place { load, index }
        }),
        8 => Just(Step::Report),
    ]
}

/// Everything outside the account: time, the platform, the engine, the net.
struct World {
    now: Millis,
    bound_ms: u64,
    engine: Engine,
    epoch: u64,
    rows: BTreeMap<Artifact, Order>,
    messages: Vec<(Order, Millis)>,
    holders: Vec<Holder>,
}

impl World {
    fn new(checks_fences: bool, bound_ms: u64) -> Self {
        let engine = Engine { checks_fences, ..Engine::default() };
        let mut world = Self {
            now: Millis::new(1),
            bound_ms,
            engine,
            epoch: 0,
            rows: BTreeMap::new(),
            messages: Vec::new(),
            holders: Vec::new(),
        };
        world.take_over();
        world
    }

    fn take_over(&mut self) {
        self.epoch += 1;
        let mut account = EngineAccount::new(
            UpstreamId::new("e"),
            USABLE_MIB,
            self.engine.checks_fences,
            self.bound_ms,
        );
        for order in self.rows.values() {
            account.take_over(order.clone(), self.now);
        }
        self.holders.push(Holder {
            epoch: self.epoch,
            sequence: 0,
            account,
            intended: Vec::new(),
            reports: Vec::new(),
            gone: false,
        });
    }

    /// Returns one of the newest holders; earlier ones are never heard of.
    fn holder(&mut self, index: usize) -> &mut Holder {
        let newest = self.holders.len() - 1;
        let index = newest - index.min(newest);
        &mut self.holders[index]
    }

    fn take(&mut self, step: &Step) {
        let now = self.now;
        match step {
            Step::Pass(ms) => self.now = now + *ms,
            Step::Load(holder, index) => {
                let artifact = artifact(*index);
                let holder = self.holder(*holder);
                let stamp = holder.stamp();
                let size = size(&artifact);
                let order =
                    holder.account.order_load(&artifact, size, stamp, now);
                holder.intended.extend(order);
            }
            Step::Unload(holder, index) => {
                let artifact = artifact(*index);
                let holder = self.holder(*holder);
                let stamp = holder.stamp();
                let order = holder.account.order_unload(&artifact, stamp, now);
                holder.intended.extend(order);
            }
            Step::Renew(holder) => {
                let holder = self.holder(*holder);
                let (epoch, sequence) = (holder.epoch, &mut holder.sequence);
                let stamp = || {
                    *sequence += 1;
                    Stamp { epoch, sequence: *sequence }
                };
                let renewed = holder.account.renew(epoch, stamp, now);
                holder.intended.extend(renewed);
            }
            Step::Record { holder, answered } => {
                self.record(*holder, *answered);
            }
            Step::Refuse(holder) => {
                let holder = self.holder(*holder);
                for order in std::mem::take(&mut holder.intended) {
                    holder.account.not_recorded(&order);
                }
            }
            Step::Send(holder) => self.send(*holder),
            Step::Deliver { message, again } => {
                self.deliver(*message, *again);
            }
            Step::Drop(message) => {
                if *message < self.messages.len() {
                    self.messages.remove(*message);
                }
            }
            Step::FinishLoads => {
                for state in self.engine.held.values_mut() {
                    *state = Reported::Resident;
                }
            }
            Step::AskReport(holder) => {
                let report = self.engine.report();
                self.holder(*holder).reports.push((now, report));
            }
            Step::TakeReport { holder, report } => {
                let holder = self.holder(*holder);
                if *report < holder.reports.len() {
                    let (asked, report) = holder.reports.remove(*report);
                    holder.account.observe(&report, asked);
                }
            }
            Step::ClearRows(holder) => self.clear_rows(*holder),
            Step::TakeOver => self.take_over(),
            Step::Place { load, index } => {
                self.take(&match load {
                    true => Step::Load(0, *index),
                    false => Step::Unload(0, *index),
                });
                self.take(&Step::Record { holder: 0, answered: true });
                self.take(&Step::Send(0));
            }
            Step::Report => {
                let report = self.engine.report();
                self.holder(0).account.observe(&report, now);
            }
        }
    }

    fn record(&mut self, index: usize, answered: bool) {
        let newest = self.epoch;
        let now = self.now;
        let holder = self.holder(index);
        if holder.gone {
            return;
        }
        let orders = std::mem::take(&mut holder.intended);
        if holder.epoch != newest {
            // The condition on the epoch does not hold.
            holder.gone = true;
            return;
        }
        if answered {
            for order in &orders {
                holder.account.recorded(order, now);
            }
        } else {
            // It is open what became of it: the holder gives up.
            holder.gone = true;
        }
        for order in orders {
            self.rows.insert(order.artifact.clone(), order);
        }
    }

    /// Sends what is due. Only engines that check fences may get an order
    /// from a holder whose lease is over; see the assumption in the design
    /// note on orders.
    fn send(&mut self, index: usize) {
        let (now, newest) = (self.now, self.epoch);
        let fenced = self.engine.checks_fences;
        let holder = self.holder(index);
        if holder.gone || (!fenced && holder.epoch != newest) {
            return;
        }
        let due = holder.account.take_due(holder.epoch, now, RESEND_MS);
        self.messages.extend(due.into_iter().map(|order| (order, now)));
    }

    fn deliver(&mut self, index: usize, again: bool) {
        if index >= self.messages.len() {
            return;
        }
        let (order, sent) = match again {
            true => self.messages[index].clone(),
            false => self.messages.remove(index),
        };
        let in_time = self.now.since(sent) < BOUND_MS;
        if self.engine.checks_fences || in_time {
            self.engine.obey(&order);
        }
    }

    fn clear_rows(&mut self, index: usize) {
        let newest = self.epoch;
        let rows: Vec<Artifact> = self.rows.keys().cloned().collect();
        let holder = self.holder(index);
        if holder.gone || holder.epoch != newest {
            return;
        }
        for artifact in holder.account.settled_rows(rows.iter()) {
            self.rows.remove(&artifact);
        }
    }
}

proptest! {
    #![proptest_config(cases())]

    #[test]
    fn no_interleaving_overcommits_an_engine(
        checks_fences: bool,
        steps in prop::collection::vec(step(), 1..120),
    ) {
        let mut world = World::new(checks_fences, BOUND_MS);
        for step in &steps {
            world.take(step);
            prop_assert!(
                world.engine.taken_mib() <= USABLE_MIB,
                "{:?} after {step:?}",
                world.engine.held,
            );
        }
    }

    /// What a holder takes for reachable is held by the engine, unless it
    /// lost its memory, which these engines do not.
    #[test]
    fn what_the_newest_holder_takes_for_reachable_is_there(
        checks_fences: bool,
        steps in prop::collection::vec(step(), 1..120),
    ) {
        let mut world = World::new(checks_fences, BOUND_MS);
        for step in &steps {
            world.take(step);
            let holder = world.holders.last().unwrap();
            if holder.gone {
                continue;
            }
            for index in 0..SIZES.len() {
                let artifact = artifact(index);
                if holder.account.is_reachable(&artifact) {
                    prop_assert!(
                        world.engine.held.contains_key(&artifact),
                        "{artifact} after {step:?}",
                    );
                }
            }
        }
    }
}

/// Load a, unload a, load b while a copy of the first order is on its way.
fn late_copy(checks_fences: bool, bound_ms: u64) -> u64 {
    let mut world = World::new(checks_fences, bound_ms);
    let record = Step::Record { holder: 0, answered: true };
    let report = [
        Step::AskReport(0),
        Step::TakeReport { holder: 0, report: 0 },
        Step::ClearRows(0),
    ];
    world.take(&Step::Load(0, 0));
    world.take(&record);
    world.take(&Step::Send(0));
    // The copy stays behind; the order itself arrives and is obeyed.
    world.take(&Step::Deliver { message: 0, again: true });
    world.take(&Step::FinishLoads);
    report.iter().for_each(|step| world.take(step));
    world.take(&Step::Unload(0, 0));
    world.take(&record);
    world.take(&Step::Send(0));
    world.take(&Step::Deliver { message: 1, again: false });
    world.take(&Step::Pass(10));
    report.iter().for_each(|step| world.take(step));
    world.take(&Step::Load(0, 1));
    world.take(&record);
    world.take(&Step::Send(0));
    let newest = world.messages.len() - 1;
    if newest > 0 {
        world.take(&Step::Deliver { message: newest, again: false });
    }
    world.take(&Step::Deliver { message: 0, again: false });
    world.engine.taken_mib()
}

#[gtest]
fn a_late_copy_overcommits_where_no_bound_is_kept() {
    // Without the mechanism: the engine checks no fences and the bound for
    // late orders is nothing.
    expect_that!(late_copy(false, 0), gt(USABLE_MIB));
    expect_that!(late_copy(false, BOUND_MS), le(USABLE_MIB));
    expect_that!(late_copy(true, 0), le(USABLE_MIB));
}

fn account(checks_fences: bool) -> EngineAccount {
    let engine = UpstreamId::new("e");
    EngineAccount::new(engine, USABLE_MIB, checks_fences, BOUND_MS)
}

fn stamp(sequence: u64) -> Stamp {
    Stamp { epoch: 1, sequence }
}

#[gtest]
fn a_claim_stands_from_the_decision_on() {
    let mut account = account(true);
    let now = Millis::new(1);
    let first = account.order_load(&artifact(0), 60, stamp(1), now);
    expect_that!(first, ok(anything()));
    let second = account.order_load(&artifact(1), 50, stamp(2), now);
    expect_that!(second, err(eq(&OrderFault::NoRoom)));
    let again = account.order_load(&artifact(0), 60, stamp(3), now);
    expect_that!(again, err(eq(&OrderFault::AlreadyThere)));
    expect_that!(account.free_mib(), eq(40));
}

#[gtest]
fn an_order_is_sent_only_once_it_is_recorded() {
    let mut account = account(true);
    let now = Millis::new(1);
    let order = account.order_load(&artifact(0), 60, stamp(1), now).unwrap();
    expect_that!(account.take_due(1, now, RESEND_MS), is_empty());
    account.recorded(&order, now);
    expect_that!(account.take_due(1, now, RESEND_MS), len(eq(1)));
    expect_that!(account.take_due(1, now, RESEND_MS), is_empty());
    let later = now + RESEND_MS;
    expect_that!(account.take_due(1, later, RESEND_MS), len(eq(1)));
}

#[gtest]
fn an_order_that_was_not_recorded_leaves_no_trace() {
    let mut account = account(true);
    let now = Millis::new(1);
    let order = account.order_load(&artifact(0), 60, stamp(1), now).unwrap();
    account.not_recorded(&order);
    expect_that!(account.free_mib(), eq(USABLE_MIB));
    expect_that!(account.residency(&artifact(0)), eq(ResidencyState::Absent));
}

#[gtest]
fn an_earlier_holders_open_order_is_decided_anew_after_a_report() {
    let mut account = account(true);
    let order = Order {
        engine: UpstreamId::new("e"),
        artifact: artifact(0),
        size_mib: 60,
        wanted: Wanted::Resident,
        stamp: stamp(7),
    };
    account.take_over(order, Millis::new(10));
    let next = || Stamp { epoch: 2, sequence: 1 };
    expect_that!(account.renew(2, next, Millis::new(10)), is_empty());
    account.observe(&ResidencyReport::default(), Millis::new(20));
    expect_that!(account.take_due(2, Millis::new(20), 0), is_empty());
    let renewed = account.renew(2, next, Millis::new(21));
    expect_that!(renewed, len(eq(1)));
    expect_that!(account.claimed_mib(), eq(60));
    account.recorded(&renewed[0], Millis::new(22));
    expect_that!(account.take_due(2, Millis::new(22), 0), len(eq(1)));
}

#[gtest]
fn a_report_that_was_overtaken_is_left_out() {
    let mut account = account(true);
    let held = ResidencyReport {
        artifacts: vec![ReportedArtifact {
            artifact: artifact(0),
            size_mib: 60,
            state: Reported::Resident,
        }],
        fences: Vec::new(),
    };
    for overtaken in [9, 10] {
        account.observe(&ResidencyReport::default(), Millis::new(10));
        account.observe(&held, Millis::new(overtaken));
        expect_that!(account.is_reachable(&artifact(0)), eq(false));
    }
    account.observe(&held, Millis::new(11));
    expect_that!(account.is_reachable(&artifact(0)), eq(true));
}
