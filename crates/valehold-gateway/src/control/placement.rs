//! When models and adapters are placed, and for which demand.

use tokio::time::Instant;
use valehold_core::Millis;

use super::{Control, demand::Sums, placer::LoadCount};
use crate::view::Load;

/// For how many times as long as placing took other work goes on before the
/// next time, unless that is due by the clock.
const PAUSE_FACTOR: u32 = 4;

/// When models and adapters are placed next.
#[derive(Debug, Default)]
pub(super) struct PlacementSchedule {
    is_requested: bool,
    /// From when on it is done before it is due by itself.
    not_before: Option<Instant>,
    /// From when on models are planned again.
    plan_not_before: Option<Instant>,
}

impl PlacementSchedule {
    /// Notes that it has just been done.
    fn record_placement(&mut self, started: Instant) {
        self.is_requested = false;
        self.not_before = Some(next_start(started));
    }

    /// Notes that models have just been planned.
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

/// Returns when work that began then is done again: after several times as long
/// as it took, so that it leaves a machine of any strength to other work.
fn next_start(started: Instant) -> Instant {
    Instant::now() + started.elapsed() * PAUSE_FACTOR
}

fn is_past(at: Option<Instant>) -> bool {
    at.is_none_or(|at| Instant::now() >= at)
}

impl Control {
    /// Places models and adapters soon: at once, but for as long as others have
    /// to get their turn where that takes long.
    pub(super) fn request_placement(&mut self) {
        self.placing.is_requested = true;
    }

    pub(super) fn place_if_requested(&mut self) {
        if self.placing.is_requested && self.placing.is_due() {
            self.place(self.now());
        }
    }

    /// Places models and adapters, if this gateway may give orders.
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
        if self.sums.is_old(now) {
            self.sums = self.fleet_sums(now);
        }
        {
            let limits = self.shared.upstream_limits();
            self.placer.update_restrictions(
                &self.shared.rests(),
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

    /// Adds up what all gateways are asked for and have under way.
    fn fleet_sums(&self, now: Millis) -> Sums {
        let own = self.demand.list(&self.shared.running());
        let demand = self.roster.sum_demand(&own, now);
        let mut loads = self.roster.loads_of_others(&self.told_loads, now);
        for (start, load) in self.shared.loads().iter() {
            let sum: &mut Load = loads.entry(start.tag()).or_default();
            *sum = sum.plus(*load);
        }
        Sums::new(demand, loads, now)
    }
}
