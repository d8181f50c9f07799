//! Giving traffic what control knows.

use std::sync::Arc;

use valehold_core::{Millis, fleet::Listing};

use super::Control;
use crate::view::{Life, ReadyMember, View};

/// The least time between two views, in ms, but for changes that must be seen
/// at once. Where many engines change at the same time each view takes in
/// what came since the last.
const VIEW_EVERY_MS: u64 = 20;

/// What was published, and what has changed since.
#[derive(Debug, Default)]
pub(super) struct Published {
    at: Millis,
    ready: Arc<Vec<ReadyMember>>,
    is_old: bool,
    has_holder: bool,
    placer_follows: bool,
}

impl Control {
    /// Notes that the gateways that callers may be sent to are others.
    pub(super) fn members_changed(&mut self) {
        let settings = &self.shared.settings;
        let mut ready = self.roster.ready();
        if self.life == Life::Serving {
            ready.push(ReadyMember {
                requests: settings.callers.requests,
                data_centre: settings.data_centre.clone(),
            });
        }
        self.published.ready = Arc::new(ready);
        self.published.is_old = true;
    }

    /// Notes whether traffic is to know of another holder of the lease.
    pub(super) fn holder_may_have_changed(&mut self) {
        let has_holder = self.has_holder(self.now());
        self.published.is_old |= has_holder != self.published.has_holder;
    }

    fn has_holder(&self, now: Millis) -> bool {
        let holds = self.lease.borrow().held_epoch(now).is_some();
        holds || self.roster.lease_holder(now).is_some()
    }

    /// Publishes a view if something changed and the last is not too young.
    pub(super) fn publish_if_due(&mut self) {
        let has_changes =
            self.published.is_old || self.upstreams.has_changes();
        let age_ms = self.now().since(self.published.at);
        if has_changes && age_ms >= VIEW_EVERY_MS {
            self.publish();
        }
    }

    /// Publishes a view.
    pub(super) fn publish(&mut self) {
        let now = self.now();
        self.pass_to_placer(now);
        let has_holder = self.has_holder(now);
        self.published.at = now;
        self.published.is_old = false;
        self.published.has_holder = has_holder;
        self.shared.view.store(Arc::new(View {
            life: self.life,
            has_holder,
            catalog: self.catalog.clone(),
            listing: self.upstreams.listing().clone(),
            index: self.upstreams.index().clone(),
            recent: self.upstreams.recent().clone(),
            lapsed: self.upstreams.lapsed().clone(),
            evacuations: self.evacuations.clone(),
            ready: self.published.ready.clone(),
        }));
    }

    /// Passes what changed of upstreams on to placement, which needs it only
    /// while this gateway holds the lease.
    fn pass_to_placer(&mut self, now: Millis) {
        let changes = self.upstreams.take_changes();
        let holds = self.lease.borrow().held_epoch(now).is_some();
        let follows =
            std::mem::replace(&mut self.published.placer_follows, holds);
        let listing: &Listing = self.upstreams.listing();
        match (holds, follows) {
            (false, _) => {}
            (true, false) => self.placer.replace_listing(listing),
            (true, true) => {
                self.placer.apply_listing_changes(&changes, listing)
            }
        }
    }
}
