//! Applies listings and their changes to the registry of upstreams.

use valehold_core::{
    Millis,
    fleet::{Listing, ListingDelta},
};
use valehold_ports::port::fleet::ListingNews;

use super::Control;
use crate::{events::Event, peers::message::Message};

impl Control {
    /// Replaces the whole list of upstreams if the list is not older than the
    /// known one.
    pub(super) fn replace_listing(&mut self, listing: Listing, now: Millis) {
        let after_outage = self.store_presence.has_just_recovered(now);
        let changed = self.entries_with_other_cold_state(&listing);
        let (version, known) = (listing.version, self.upstreams.version());
        if version < known {
            Event::ListLeftOut { version, known }.log();
        }
        if self.upstreams.replace(listing, after_outage, now) {
            self.update_cold_estimates(&changed, now);
            self.update_watched_version();
            self.serve_if_ready();
        }
    }

    /// Applies changes from the store's watch and broadcasts them.
    pub(super) fn on_listing_changes(
        &mut self,
        changes: ListingNews,
        now: Millis,
    ) {
        let ListingNews::Changed { version, changed, gone, .. } = changes
        else {
            return;
        };
        let Some(version) = version else { return };
        let changed = self.without_expected_cooling(changed, now);
        let before = self.upstreams.version();
        let after_outage = self.store_presence.has_just_recovered(now);
        let delta = ListingDelta {
            base_version: before,
            version,
            changed,
            removed: gone,
            after_outage,
        };
        if self.apply_delta(&delta, now) {
            self.send_all(&Message::ListingChanged(delta));
        }
    }

    /// Applies changes of the list and returns whether they were new.
    pub(super) fn apply_delta(
        &mut self,
        delta: &ListingDelta,
        now: Millis,
    ) -> bool {
        let is_new = self.upstreams.apply(delta, now);
        if is_new {
            self.update_cold_estimates(&delta.changed, now);
            self.update_watched_version();
        }
        is_new
    }

    fn update_watched_version(&mut self) {
        self.watch_state.known_version.set(self.upstreams.version());
    }

    /// Broadcasts what engines hold after orders at once, except with many
    /// groups of gateways: orders end a hundred times a second there, and the
    /// next tick reports all finished orders together.
    pub(super) fn send_holdings_unless_many_groups(&mut self, now: Millis) {
        if !self.roster.has_many_groups() {
            self.send_holdings(now);
        }
    }

    /// Sends what engines hold after orders to peers and to local traffic.
    pub(super) fn send_holdings(&mut self, now: Millis) {
        if self.lease.borrow().held_epoch(now).is_none() {
            return;
        }
        let holdings = self.placer.holdings_unknown_to(&self.upstreams, now);
        if holdings.is_empty() {
            return;
        }
        let message = Message::Holdings(holdings.clone());
        self.send_all(&message);
        self.upstreams.receive_holdings(holdings, now);
    }
}
