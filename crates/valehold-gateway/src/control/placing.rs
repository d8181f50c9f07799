//! When models and adapters are placed, and for which demand.

use tokio::time::Instant;
use valehold_core::Millis;

use super::{Control, demand::Sums, placer::LoadCount};
use crate::view::Load;

/// For how many times as long as placing took other work goes on before the
/// next time, unless that is due by the clock.
const PLACING_RESTS: u32 = 4;

/// When models and adapters are placed next.
#[derive(Debug, Default)]
pub(super) struct Placing {
    is_wanted: bool,
    /// From when on it is done before it is due by itself.
    next: Option<Instant>,
    /// From when on models are planned again.
    next_plan: Option<Instant>,
}

impl Placing {
    /// Notes that it has just been done.
    fn done(&mut self, begun: Instant) {
        self.is_wanted = false;
        self.next = Some(after_rest(begun));
    }

    /// Notes that models have just been planned.
    fn planned(&mut self, begun: Instant) {
        self.next_plan = Some(after_rest(begun));
    }

    fn is_due(&self) -> bool {
        is_past(self.next)
    }

    fn is_plan_due(&self) -> bool {
        is_past(self.next_plan)
    }
}

/// Returns when work that began then is done again: after several times as long
/// as it took, so that it leaves a machine of any strength to other work.
fn after_rest(begun: Instant) -> Instant {
    Instant::now() + begun.elapsed() * PLACING_RESTS
}

fn is_past(at: Option<Instant>) -> bool {
    at.is_none_or(|at| Instant::now() >= at)
}

impl Control {
    /// Places models and adapters soon: at once, but for as long as others have
    /// to get their turn where that takes long.
    pub(super) fn place_soon(&mut self) {
        self.placing.is_wanted = true;
    }

    pub(super) fn place_if_wanted(&mut self) {
        if self.placing.is_wanted && self.placing.is_due() {
            self.place(self.now());
        }
    }

    /// Places models and adapters, if this gateway may give orders.
    pub(super) fn place(&mut self, now: Millis) {
        let begun = Instant::now();
        self.place_now(now);
        self.placing.done(begun);
    }

    fn place_now(&mut self, now: Millis) {
        let may_order = self.lease.borrow().order_epoch(now).is_some();
        let Some(catalog) = self.catalog.clone().filter(|_| may_order) else {
            return;
        };
        if self.sums.is_stale(now) {
            self.sums = self.sum_up(now);
        }
        {
            let limits = self.shared.upstream_limits();
            self.placer.note_rests(&self.shared.rests(), &limits, now);
        }
        let Sums { demand, loads, .. } = &self.sums;
        for (name, service) in &catalog.services {
            let Some(spec) = &service.engine else { continue };
            self.placer.tick(now, name, spec, demand);
        }
        if !self.placing.is_plan_due() {
            return;
        }
        let begun = Instant::now();
        let count = self.placer.plan_if_due(now, &catalog, demand, loads);
        if let Some(count) = count {
            self.placing.planned(begun);
            let LoadCount { counted, allowed } = count;
            self.shared.metrics.weight_loads(counted, allowed);
        }
    }

    /// Adds up what all gateways are asked for and have under way.
    fn sum_up(&self, now: Millis) -> Sums {
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
