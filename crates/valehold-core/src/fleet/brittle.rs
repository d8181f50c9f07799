//! Upstreams that fall over if they have to reject too many requests.
//!
//! A brittle upstream states in its answers how many requests a second it can
//! reject for want of room. Instances therefore send to it only what surely
//! finds room: each instance keeps to its part of the upstream's slots, and
//! after a rejection, by whichever instance it was received, all instances
//! hold back for as long as keeps the rejections below the stated number. More
//! instances than slots would have one another's requests rejected again and
//! again, so each round of rejections doubles the time between the sends of
//! each instance.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::identity::UpstreamStart;
use crate::{id::ServiceName, time::Millis};

/// The interval at which instances report a brittle service to the others, in
/// ms. Those that send it nothing, or have just started, would learn it by
/// rejections only.
const REPORT_INTERVAL_MS: u64 = 1_000;

/// How long a statement counts for the other upstreams of the service, and for
/// its own upstream without a further answer, in ms. Upstreams repeat it in
/// each answer.
const STATEMENT_LIFETIME_MS: u64 = 10_000;

/// The period for which upstreams state a number of rejections, in ms.
const PERIOD_MS: u64 = 1_000;

/// The part of the stated rejections that is used. Rejections of requests that
/// were in flight when the first one became known use up the rest.
const USED_FRACTION: f64 = 0.5;

/// The maximum time for which rejections hold requests back, in ms.
const MAX_HOLD_BACK_MS: u64 = 5_000;

/// The time between two sends of all instances together to an upstream after
/// the first round of rejections, in ms.
const FIRST_PACE_MS: f64 = 10.0;

/// The maximum time between two sends of an instance to an upstream, in ms.
const MAX_PACE_MS: f64 = 2_000.0;

/// The time without rejections in which the time between sends halves, in ms.
const PACE_HALF_LIFE_MS: f64 = 2_000.0;

/// The number of requests a second that an upstream can reject.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct RejectionCapacity(pub u32);

impl RejectionCapacity {
    /// Returns the minimum time between two rejections, in ms.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    fn interval_ms(self) -> u64 {
        let used = (f64::from(self.0) * USED_FRACTION).floor().max(1.0);
        (PERIOD_MS as f64 / used) as u64
    }
}

/// The report of an instance about an answer of a brittle upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BrittleReport {
    /// The upstream.
    pub start: UpstreamStart,
    /// The service of the upstream.
    pub service: ServiceName,
    /// What the upstream stated.
    pub capacity: RejectionCapacity,
    /// Whether the answer rejected the request for want of room.
    pub is_rejection: bool,
}

/// The requests in flight at an upstream, and its slots.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Occupancy {
    /// The number of requests that the upstream runs at once.
    pub slots: u32,
    /// The requests of this instance.
    pub own: u32,
    /// The requests of all instances, as far as known.
    pub total: u32,
}

/// Whether a request may be sent to an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RoomState {
    /// The upstream is not brittle, or surely has room.
    Room,
    /// This instance's part of the slots is in use.
    Full,
    /// The upstream rejected a request a moment ago.
    HeldBack {
        /// The time until a request may be sent, in ms.
        remaining_ms: u64,
    },
}

#[derive(Debug, Clone, Copy)]
struct Statement {
    capacity: Option<RejectionCapacity>,
    at: Millis,
}

impl Statement {
    fn is_current(&self, now: Millis) -> bool {
        now.since(self.at) < STATEMENT_LIFETIME_MS
    }
}

/// What is known of an upstream that has rejected requests.
#[derive(Debug, Clone, Copy)]
struct HoldBack {
    until: Millis,
    /// Whether an answer since has shown that the upstream has room.
    is_over: bool,
    /// The time between two sends of this instance at the last rejection, in
    /// ms.
    pace_ms: f64,
    rejected_at: Millis,
    /// When this instance last sent a request to the upstream.
    sent_at: Option<Millis>,
}

impl HoldBack {
    /// Returns the time between two sends of this instance, in ms.
    #[allow(clippy::cast_precision_loss)]
    fn pace_ms(&self, now: Millis) -> f64 {
        let quiet_ms = now.since(self.rejected_at) as f64;
        self.pace_ms * (-quiet_ms / PACE_HALF_LIFE_MS).exp2()
    }

    #[allow(clippy::cast_precision_loss)]
    fn is_paced(&self, now: Millis) -> bool {
        let since_sent = self.sent_at.map(|at| now.since(at) as f64);
        since_sent.is_some_and(|ms| ms < self.pace_ms(now))
    }
}

/// The brittle upstreams, as known to one instance.
#[derive(Debug, Clone, Default)]
pub struct BrittleUpstreams {
    /// The last statement of each upstream; without a capacity if its last
    /// answer stated none while other upstreams were brittle.
    upstreams: BTreeMap<UpstreamStart, Statement>,
    /// The last statement of any upstream of each service.
    services: BTreeMap<ServiceName, Statement>,
    /// When each brittle service was last reported by any instance.
    reported_at: BTreeMap<ServiceName, Millis>,
    held_back: BTreeMap<UpstreamStart, HoldBack>,
}

impl BrittleUpstreams {
    /// Records what an answer states. Returns whether the service of the
    /// upstream has to be reported to the other instances.
    pub fn on_answer(
        &mut self,
        start: &UpstreamStart,
        service: &ServiceName,
        capacity: Option<RejectionCapacity>,
        now: Millis,
    ) -> bool {
        if capacity.is_none() && self.is_empty() {
            return false;
        }
        let statement = Statement { capacity, at: now };
        self.upstreams.insert(start.clone(), statement);
        if capacity.is_none() {
            return false;
        }
        self.services.insert(service.clone(), statement);
        let reported_at = self.reported_at.get(service);
        let is_due =
            reported_at.is_none_or(|at| now.since(*at) >= REPORT_INTERVAL_MS);
        if is_due {
            self.reported_at.insert(service.clone(), now);
        }
        is_due
    }

    /// Records another instance's report. `instances` and `spread` are as for
    /// [`on_rejection`](Self::on_rejection).
    pub fn on_report(
        &mut self,
        report: &BrittleReport,
        instances: usize,
        spread: f64,
        now: Millis,
    ) {
        let statement = Statement { capacity: Some(report.capacity), at: now };
        self.services.insert(report.service.clone(), statement);
        self.reported_at.insert(report.service.clone(), now);
        if report.is_rejection {
            self.on_rejection(report, instances, spread, now);
        }
    }

    /// Returns whether a service is known to be brittle.
    pub fn is_brittle(&self, service: &ServiceName, now: Millis) -> bool {
        let statement = self.services.get(service);
        statement.is_some_and(|statement| statement.is_current(now))
    }

    /// Records that this instance sends a request to an upstream.
    pub fn on_send(&mut self, start: &UpstreamStart, now: Millis) {
        if let Some(held_back) = self.held_back.get_mut(start) {
            held_back.sent_at = Some(now);
        }
    }

    /// Records that an upstream accepted a request: it has room again.
    pub fn on_accepted(&mut self, start: &UpstreamStart, now: Millis) {
        if let Some(held_back) = self.held_back.get_mut(start) {
            held_back.is_over |= now >= held_back.until;
        }
    }

    /// Records that a brittle upstream rejected a request of any instance.
    ///
    /// `instances` is the number of instances that send to the upstream.
    /// `spread` is a random number from 0 to 1: instances do not all send again
    /// at the same moment.
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_precision_loss,
        clippy::cast_sign_loss
    )]
    pub fn on_rejection(
        &mut self,
        report: &BrittleReport,
        instances: usize,
        spread: f64,
        now: Millis,
    ) {
        let interval_ms = report.capacity.interval_ms();
        let spread_ms = (interval_ms as f64 * spread.clamp(0.0, 1.0)) as u64;
        let capacity = Some(report.capacity);
        let statement = Statement { capacity, at: now };
        self.upstreams.insert(report.start.clone(), statement);
        let known = self.held_back.get(&report.start).copied();
        let is_new_round = known.is_none_or(|known| now >= known.until);
        let pace_ms = known.map_or(0.0, |known| known.pace_ms(now));
        let first_pace_ms = FIRST_PACE_MS * instances.max(1) as f64;
        // Rejections of one round came from requests that were in flight
        // together. Each takes up its part of the stated number.
        let (from, pace_ms) = match is_new_round {
            true => (now + spread_ms, (pace_ms * 2.0).max(first_pace_ms)),
            false => (known.map_or(now, |known| known.until), pace_ms),
        };
        let until = (from + interval_ms).min(now + MAX_HOLD_BACK_MS);
        let held_back = HoldBack {
            until,
            is_over: false,
            pace_ms: pace_ms.min(MAX_PACE_MS),
            rejected_at: now,
            sent_at: known.and_then(|known| known.sent_at),
        };
        self.held_back.insert(report.start.clone(), held_back);
    }

    /// Returns whether a request may be sent to an upstream. `instances` is
    /// the number of instances that send to it.
    pub fn room(
        &self,
        start: &UpstreamStart,
        service: &ServiceName,
        occupancy: Occupancy,
        instances: usize,
        now: Millis,
    ) -> RoomState {
        if self.capacity(start, service, now).is_none() {
            return RoomState::Room;
        }
        let mut part = part_of(occupancy.slots, instances);
        if let Some(held_back) = self.held_back.get(start) {
            if now < held_back.until {
                let remaining_ms = held_back.until.since(now);
                return RoomState::HeldBack { remaining_ms };
            }
            if held_back.is_paced(now) {
                return RoomState::Full;
            }
            if !held_back.is_over {
                // A single request shows whether there is room again.
                part = 1;
            }
        }
        let has_room =
            occupancy.own < part && occupancy.total < occupancy.slots.max(1);
        if has_room { RoomState::Room } else { RoomState::Full }
    }

    /// Returns whether an upstream rejected a request a moment ago.
    pub fn is_held_back(&self, start: &UpstreamStart, now: Millis) -> bool {
        self.held_back.get(start).is_some_and(|one| now < one.until)
    }

    /// Returns how many requests a second an upstream can reject, or `None` if
    /// it is not brittle.
    fn capacity(
        &self,
        start: &UpstreamStart,
        service: &ServiceName,
        now: Millis,
    ) -> Option<RejectionCapacity> {
        let own = self.upstreams.get(start);
        let statement = own.or_else(|| self.services.get(service))?;
        statement.capacity.filter(|_| statement.is_current(now))
    }

    /// Returns whether no upstream is known to be brittle.
    pub fn is_empty(&self) -> bool {
        self.services.is_empty() && self.upstreams.is_empty()
    }

    /// Removes what has expired.
    pub fn prune(&mut self, now: Millis) {
        self.upstreams.retain(|_, one| one.is_current(now));
        self.services.retain(|_, one| one.is_current(now));
        let services = &self.services;
        self.reported_at.retain(|service, _| services.contains_key(service));
        let upstreams = &self.upstreams;
        self.held_back.retain(|start, _| upstreams.contains_key(start));
    }
}

/// Returns the part of an upstream's slots that one of some instances may use:
/// together no more than there are, but at least one each.
fn part_of(slots: u32, instances: usize) -> u32 {
    let instances = u32::try_from(instances).unwrap_or(u32::MAX).max(1);
    (slots / instances).max(1)
}
