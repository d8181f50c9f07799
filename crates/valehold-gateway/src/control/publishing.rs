//! Publishes the state of control as views for traffic.

use std::sync::Arc;

use valehold_core::{Millis, fleet::Listing};

use super::Control;
use crate::view::{Life, ReadyMember, View};

/// The minimum time between two views, in ms, except for changes that must be
/// visible at once. If many engines change at the same time, each view covers
/// all changes since the last.
const MIN_VIEW_INTERVAL_MS: u64 = 20;

/// The last published state, and whether it is stale.
#[derive(Debug, Default)]
pub(super) struct Published {
    at: Millis,
    ready: Arc<Vec<ReadyMember>>,
    is_stale: bool,
    has_holder: bool,
    placer_follows: bool,
}

impl Control {
    /// Recomputes the list of gateways that callers may be directed to.
    pub(super) fn update_ready_members(&mut self) {
        let settings = &self.shared.settings;
        let mut ready = self.roster.ready();
        if self.life == Life::Serving {
            ready.push(ReadyMember {
                requests: settings.callers.requests,
                data_centre: settings.data_centre.clone(),
            });
        }
        self.published.ready = Arc::new(ready);
        self.published.is_stale = true;
    }

    /// Marks the view as stale if a lease holder appeared or disappeared.
    pub(super) fn check_lease_holder(&mut self) {
        let has_holder = self.has_holder(self.now());
        self.published.is_stale |= has_holder != self.published.has_holder;
    }

    fn has_holder(&self, now: Millis) -> bool {
        let holds_lease = self.lease.borrow().held_epoch(now).is_some();
        holds_lease || self.roster.lease_holder(now).is_some()
    }

    /// Publishes a view if something changed and the last view is at least
    /// `MIN_VIEW_INTERVAL_MS` old.
    pub(super) fn publish_if_due(&mut self) {
        let has_changes =
            self.published.is_stale || self.upstreams.has_changes();
        let age_ms = self.now().since(self.published.at);
        if has_changes && age_ms >= MIN_VIEW_INTERVAL_MS {
            self.publish();
        }
    }

    /// Publishes a view and updates placement.
    pub(super) fn publish(&mut self) {
        let now = self.now();
        self.update_placer(now);
        let has_holder = self.has_holder(now);
        self.published.at = now;
        self.published.is_stale = false;
        self.published.has_holder = has_holder;
        self.shared.view.store(Arc::new(View {
            life: self.life,
            has_holder,
            catalog: self.catalog.clone(),
            listing: self.upstreams.listing().clone(),
            index: self.upstreams.index().clone(),
            software: self.upstreams.software().clone(),
            recent: self.upstreams.recent().clone(),
            lapsed: self.upstreams.lapsed().clone(),
            evacuations: self.evacuations.clone(),
            ready: self.published.ready.clone(),
        }));
    }

    /// Passes changes of upstreams to placement, which needs them only while
    /// this gateway holds the lease.
    fn update_placer(&mut self, now: Millis) {
        let changes = self.upstreams.take_changes();
        let holds_lease = self.lease.borrow().held_epoch(now).is_some();
        let was_following =
            std::mem::replace(&mut self.published.placer_follows, holds_lease);
        let listing: &Listing = self.upstreams.listing();
        match (holds_lease, was_following) {
            (false, _) => {}
            (true, false) => self.placer.replace_listing(listing),
            (true, true) => {
                self.placer.apply_listing_changes(&changes, listing)
            }
        }
    }
}
