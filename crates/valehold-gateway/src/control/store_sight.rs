//! Whether the platform's store answers this gateway, and its part in watching
//! the store for others.

use std::time::Duration;

use valehold_core::{Millis, fleet::StoreVersion};
use valehold_ports::PortError;

use super::Control;
use crate::{
    events::Event,
    peers::{message::StoreSight, roster::ObserverRole},
};

/// For how long a gateway that has just started leaves watching the store to
/// others where gateways are many, in ms: until it hears of all of them it
/// takes itself for one of the greatest.
const SETTLE_AMONG_MANY_MS: u64 = 2_500;

impl Control {
    /// Sets this gateway's part in watching the store.
    pub(super) fn watch_store(&mut self, now: Millis) {
        let knows_all = self.knows_all();
        let peers_know = !knows_all
            && self.roster.newer_listing_address(0, None, now).is_some();
        let looks = self.behind.looks_itself(knows_all, peers_know, now);
        let observing = match looks {
            Some(true) => ObserverRole::Primary,
            Some(false) => ObserverRole::Inactive,
            None if self.is_new_among_many(now) => ObserverRole::Inactive,
            None => self.roster.observer_role(self.store),
        };
        self.watch_orders.set_observing(observing);
        if observing == ObserverRole::Inactive {
            self.store = StoreSight::Unknown;
        }
        let looked_after = self.shared.settings.mechanisms.store_looked_after
            && self.roster.others_probe_store();
        self.watch_orders.others_look.set(looked_after);
    }

    fn is_new_among_many(&self, now: Millis) -> bool {
        let age_ms = now.since(self.started);
        self.roster.has_hubs()
            && !self.behind.is_seed()
            && age_ms < SETTLE_AMONG_MANY_MS
    }

    /// Takes in that a call to the store failed after a while.
    pub(super) fn store_failed(
        &mut self,
        error: &PortError,
        lasted: Duration,
        now: Millis,
    ) {
        let lasted_ms = Millis::from(lasted).get();
        if !self.store_presence.record_failure(lasted_ms, now) {
            return;
        }
        if self.store != StoreSight::Fails {
            Event::StoreLost { error: error.to_string() }.log();
        }
        self.store = StoreSight::Fails;
    }

    /// Notes the store's era, by the version of an answer: what was recorded in
    /// an earlier one may be gone.
    pub(super) fn note_era(&mut self, version: u64) {
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

    /// Takes in that the store answered a call.
    pub(super) fn store_heard(&mut self, now: Millis) {
        if self.store == StoreSight::Fails {
            Event::StoreBack.log();
        }
        self.store = StoreSight::Answers;
        self.store_presence.record_answer(now);
    }
}
