//! Tracks when the knowledge of this gateway was last confirmed by the store,
//! tells other gateways, and asks the store when nobody confirms it any more.

use valehold_core::{
    Millis,
    fleet::freshness::{Freshness, StateConfirmation},
};

use super::Control;
use crate::{
    events::Event,
    peers::{Message, roster::ObserverRole},
};

/// The minimum time between two confirmations that this gateway sends, in ms.
/// Watches answer more often while the list changes.
const MIN_CONFIRMATION_INTERVAL_MS: u64 = 400;

/// The freshness of the knowledge of this gateway.
#[derive(Debug)]
pub(super) struct FreshnessState {
    own: Freshness,
    is_outdated: bool,
    /// When other gateways were told last.
    told_at: Option<Millis>,
}

impl FreshnessState {
    /// Creates the state of a gateway that has just started.
    pub(super) fn new(now: Millis) -> Self {
        Self { own: Freshness::new(now), is_outdated: false, told_at: None }
    }
}

impl Control {
    /// Records that the store answered about the configuration.
    pub(super) fn confirm_catalog(&mut self, now: Millis) {
        self.freshness.own.confirm_catalog(now);
    }

    /// Records that the store answered about the list of upstreams, and tells
    /// the other gateways.
    pub(super) fn confirm_listing(&mut self, now: Millis) {
        self.freshness.own.confirm_listing(now);
        let is_due = self.freshness.told_at.is_none_or(|told| {
            now.since(told) >= MIN_CONFIRMATION_INTERVAL_MS
        });
        if is_due && self.has_required_state() {
            self.freshness.told_at = Some(now);
            let (catalog, listing) = self.known_versions();
            let own = &self.freshness.own;
            let told = own.confirmation(catalog, listing, now);
            self.send_all(&Message::Confirmed(told));
        }
    }

    /// Records what an observer told.
    pub(super) fn receive_confirmation(
        &mut self,
        told: &StateConfirmation,
        now: Millis,
    ) {
        let (catalog, listing) = self.known_versions();
        self.freshness.own.receive(told, catalog, listing, now);
    }

    /// Returns the versions of the configuration and of the list.
    fn known_versions(&self) -> (u64, u64) {
        let catalog = self.catalog.as_ref().map_or(0, |one| one.version);
        (catalog, self.upstreams.version())
    }

    /// Returns the role of this gateway in observing the store, by its rank
    /// and the age of its knowledge.
    pub(super) fn role_by_rank_and_age(
        &mut self,
        now: Millis,
    ) -> ObserverRole {
        let role = self.roster.observer_role(self.store);
        let place = self.roster.observer_place();
        self.watch_state.turn.set(place.position);
        let age_ms = self.freshness.own.age_ms(now);
        let is_outdated =
            age_ms >= place.max_age_ms() && self.roster.may_observe();
        if !is_outdated {
            self.freshness.is_outdated = false;
            return role;
        }
        if !std::mem::replace(&mut self.freshness.is_outdated, true) {
            let position = place.position;
            Event::StateOutdated { age_ms, position }.log();
            self.watch_state.ask_at_once();
        }
        match role {
            ObserverRole::Primary => ObserverRole::Primary,
            _ => ObserverRole::Standby,
        }
    }

    /// Returns when the list of upstreams was last confirmed; `None` if it
    /// never was.
    pub(super) fn listing_confirmed(&self) -> Option<Millis> {
        self.freshness.own.listing_confirmed()
    }

    /// Counts the knowledge of a gateway that has just started from now on.
    pub(super) fn restart_freshness(&mut self, now: Millis) {
        self.freshness.own.restart(now);
    }
}
