//! When models and adapters are placed, and on which sums of demand.

use tokio::time::Instant;
use valehold_core::Millis;

use super::{Control, demand::Sums, placer::LoadCount};
use crate::view::Load;

/// The pause after a placement, as a multiple of the time that the placement
/// took. Other work proceeds during the pause. Regular placements, which
/// follow the clock, do not wait for the pause to end.
const PAUSE_FACTOR: u32 = 4;

/// The earliest times of the next placement and the next plan.
#[derive(Debug, Default)]
pub(super) struct PlacementSchedule {
    /// Whether a placement was requested since the last one.
    is_requested: bool,
    /// The earliest time of a requested placement.
    not_before: Option<Instant>,
    /// The earliest time of the next plan for models.
    plan_not_before: Option<Instant>,
}

impl PlacementSchedule {
    /// Records that a placement has just ended.
    fn record_placement(&mut self, started: Instant) {
        self.is_requested = false;
        self.not_before = Some(next_start(started));
    }

    /// Records that a plan for models has just been made.
    fn record_plan(&mut self, started: Instant) {
        self.plan_not_before = Some(next_start(started));
    }

    fn is_due(&self) -> bool {
        is_past(self.not_before)
    }

    fn is_plan_due(&self) -> bool {
        is_past(self.plan_not_before)
    }
}

/// Returns the earliest time to repeat work that has just ended. The pause is
/// a multiple of the duration of the work, so that other work gets its share
/// of the processor on a machine of any speed.
fn next_start(started: Instant) -> Instant {
    Instant::now() + started.elapsed() * PAUSE_FACTOR
}

fn is_past(at: Option<Instant>) -> bool {
    at.is_none_or(|at| Instant::now() >= at)
}

impl Control {
    /// Requests a placement of models and adapters as soon as the pause after
    /// the last placement has ended.
    pub(super) fn request_placement(&mut self) {
        self.placing.is_requested = true;
    }

    /// Places models and adapters if that was requested and the pause after
    /// the last placement has ended.
    pub(super) fn place_if_requested(&mut self) {
        if self.placing.is_requested && self.placing.is_due() {
            self.place(self.now());
        }
    }

    /// Places models and adapters if this gateway may give orders, whether
    /// the pause has ended or not.
    pub(super) fn place(&mut self, now: Millis) {
        let started = Instant::now();
        self.place_now(now);
        self.placing.record_placement(started);
    }

    fn place_now(&mut self, now: Millis) {
        let may_order = self.lease.borrow().order_epoch(now).is_some();
        let Some(catalog) = self.catalog.clone().filter(|_| may_order) else {
            return;
        };
        if self.sums.is_stale(now) {
            self.sums = self.fleet_sums(now);
        }
        {
            let limits = self.shared.upstream_limits();
            self.placer.update_restrictions(
                &self.shared.backoffs(),
                &limits,
                now,
            );
        }
        let Sums { demand, loads, .. } = &self.sums;
        for (name, service) in &catalog.services {
            let Some(spec) = &service.engine else { continue };
            self.placer.tick(now, name, spec, demand);
        }
        if !self.placing.is_plan_due() {
            return;
        }
        let started = Instant::now();
        let count = self.placer.plan_if_due(now, &catalog, demand, loads);
        if let Some(count) = count {
            self.placing.record_plan(started);
            let LoadCount { counted, allowed } = count;
            self.shared.metrics.weight_loads(counted, allowed);
        }
    }

    /// Returns the sums of demand and loads over all gateways.
    fn fleet_sums(&self, now: Millis) -> Sums {
        let own = self.demand.by_bound(&self.shared.running());
        let demand = self.roster.sum_demand(&own, now);
        let mut loads =
            self.roster.loads_of_others(&self.advertised_loads, now);
        for (start, load) in self.shared.loads().iter() {
            let sum: &mut Load = loads.entry(start.tag()).or_default();
            *sum = sum.plus(*load);
        }
        Sums::new(demand, loads, now)
    }
}
