//! Tracks whether the platform's store answers, and the role of this gateway
//! in observing the store for others.

use std::time::Duration;

use valehold_core::{Millis, fleet::StoreVersion};
use valehold_ports::PortError;

use super::Control;
use crate::{
    events::Event,
    peers::{message::StoreStatus, roster::ObserverRole},
};

/// How long a gateway that has just started leaves observing the store to
/// others in a large system, in ms. Before the gateway has received reports of
/// all others, it ranks itself among the highest.
const SETTLE_AMONG_MANY_MS: u64 = 2_500;

impl Control {
    /// Updates the role of this gateway in observing the store.
    pub(super) fn update_observer_role(&mut self, now: Millis) {
        let has_required_state = self.has_required_state();
        if !has_required_state {
            self.restart_freshness(now);
        }
        let peers_are_complete = !has_required_state
            && self.roster.newer_listing_address(0, None, now).is_some();
        let reads_store = self.catch_up.reads_store(
            has_required_state,
            peers_are_complete,
            now,
        );
        let role = match reads_store {
            Some(true) => ObserverRole::Primary,
            Some(false) => ObserverRole::Inactive,
            None if self.is_new_among_many(now) => ObserverRole::Inactive,
            None => self.role_by_rank_and_age(now),
        };
        self.watch_state.set_role(role);
        if role == ObserverRole::Inactive {
            self.store = StoreStatus::Unknown;
        }
        let is_probed_by_others =
            self.shared.settings.mechanisms.store_looked_after
                && self.roster.others_probe_store();
        self.watch_state.others_probe_store.set(is_probed_by_others);
    }

    fn is_new_among_many(&self, now: Millis) -> bool {
        let age_ms = now.since(self.started);
        self.roster.has_hubs()
            && !self.catch_up.is_seed()
            && age_ms < SETTLE_AMONG_MANY_MS
    }

    /// Records that a call to the store failed after a while.
    pub(super) fn on_store_failed(
        &mut self,
        error: &PortError,
        duration: Duration,
        now: Millis,
    ) {
        let lasted_ms = Millis::from(duration).get();
        if !self.store_presence.record_failure(lasted_ms, now) {
            return;
        }
        if self.store != StoreStatus::Unreachable {
            Event::StoreLost { error: error.to_string() }.log();
        }
        self.store = StoreStatus::Unreachable;
    }

    /// Records the store's era from the version of an answer. In a new era,
    /// entries recorded in an earlier era may be missing.
    pub(super) fn record_store_era(&mut self, version: u64) {
        let era = StoreVersion::unpack(version).era;
        let before = self.store_era;
        if before.is_some_and(|before| era <= before) {
            return;
        }
        self.store_era = Some(era);
        if let Some(before) = before {
            Event::StoreRestored { era, before }.log();
            self.shared.crashes().on_store_restored();
        }
        self.shared.metrics.store_era(era);
    }

    /// Records that the store answered a call.
    pub(super) fn on_store_answered(&mut self, now: Millis) {
        if self.store == StoreStatus::Unreachable {
            Event::StoreBack.log();
        }
        self.store = StoreStatus::Reachable;
        self.store_presence.record_answer(now);
    }
}
