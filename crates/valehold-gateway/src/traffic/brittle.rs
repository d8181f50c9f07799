//! Sends to brittle upstreams only what surely finds room.

use valehold_core::fleet::{
    Upstream,
    brittle::{BrittleReport, Occupancy, RejectionCapacity, RoomState},
};

use super::{choose::load_of, state::App};
use crate::events::Event;

/// What an answer states about rejections, and whether it is one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct BrittleAnswer {
    /// The number of requests a second that the upstream can reject, if it is
    /// brittle.
    pub(super) capacity: Option<RejectionCapacity>,
    /// Whether the answer rejects the request for want of room.
    pub(super) is_rejection: bool,
}

/// Records what an answer of an upstream states, and has the other gateways
/// told of it.
pub(super) fn record(app: &App, upstream: &Upstream, answer: BrittleAnswer) {
    let (start, service) = (upstream.start(), &upstream.service);
    let (capacity, now) = (answer.capacity, app.now());
    let mut brittle = app.shared.brittle();
    let was_brittle = brittle.is_brittle(service, now);
    let is_due = brittle.on_answer(&start, service, capacity, now);
    let is_rejection = answer.is_rejection;
    if !is_rejection {
        brittle.on_accepted(&start, now);
    }
    let Some(capacity) = capacity else { return };
    let service = service.clone();
    if !was_brittle {
        let RejectionCapacity(rejections_per_second) = capacity;
        let service = service.clone();
        Event::ServiceBrittle { service, rejections_per_second }.log();
    }
    let report = BrittleReport { start, service, capacity, is_rejection };
    if is_rejection {
        let gateways = app.shared.view.load().ready.len();
        brittle.on_rejection(&report, gateways, rand::random(), now);
    }
    if is_rejection || is_due {
        app.shared.report_brittle(report);
    }
}

/// Returns whether a brittle upstream rejected a request a moment ago.
///
/// This is checked again after the choice: connecting takes time, and other
/// gateways may have reported a rejection since.
pub(super) fn is_held_back(app: &App, upstream: &Upstream) -> bool {
    let brittle = app.shared.brittle();
    !brittle.is_empty() && brittle.is_held_back(&upstream.start(), app.now())
}

/// Returns whether a request may be sent to an upstream that may be brittle
/// and runs a number of requests at once.
pub(super) fn room(app: &App, upstream: &Upstream, slots: u32) -> RoomState {
    let brittle = app.shared.brittle();
    if brittle.is_empty() {
        return RoomState::Room;
    }
    let start = upstream.start();
    let own = app.shared.loads().get(&start).map_or(0, |load| load.running);
    let total = load_of(app, &start).running;
    let occupancy = Occupancy { slots, own, total };
    let gateways = app.shared.view.load().ready.len();
    brittle.room(&start, &upstream.service, occupancy, gateways, app.now())
}
