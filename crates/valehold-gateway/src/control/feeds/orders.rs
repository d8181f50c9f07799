//! What control tells the watches on the store, and they one another.

use std::{cell::Cell, time::Duration};

use tokio::sync::Notify;
use valehold_ports::port::fleet::WatchSpan;

use crate::peers::roster::ObserverRole;

/// For how long at the most a watch of upstreams waits until the store answers
/// about the configuration. It then looks itself, as it may be that only the
/// configuration cannot be read.
const LISTING_WAITS: Duration = Duration::from_millis(2_500);

/// Between two answers of a watch, so that changes come in bunches.
pub(super) const BETWEEN_CHANGES: Duration = Duration::from_millis(200);

/// The same for an observer in reserve: it mostly hears of changes from the
/// foremost one before.
const BETWEEN_CHANGES_IN_RESERVE: Duration = Duration::from_millis(700);

/// What control tells the watches.
#[derive(Debug)]
pub(in crate::control) struct WatchOrders {
    /// The version that control has; a peer may have given a newer one than
    /// this watch.
    pub(in crate::control) known: Cell<u64>,
    /// This gateway's part in watching for those that do not.
    pub(super) observing: Cell<ObserverRole>,
    /// Whether enough others look after the store while it fails.
    pub(in crate::control) others_look: Cell<bool>,
    /// Tells that it has just become an observer.
    pub(super) turned: Notify,
    /// Tells that the machine was suspended: what a watch waits for may have
    /// been said, and its connection may be gone.
    pub(super) resumed: Notify,
    /// Whether the store does not answer about the configuration.
    pub(super) catalog_fails: Cell<bool>,
    /// Tells that it answers about the configuration again.
    catalog_answered: Notify,
}

impl WatchOrders {
    /// Makes the orders of a gateway that has just started.
    pub(in crate::control) fn new() -> Self {
        Self {
            known: Cell::new(0),
            observing: Cell::new(ObserverRole::Inactive),
            others_look: Cell::new(false),
            turned: Notify::new(),
            resumed: Notify::new(),
            catalog_fails: Cell::new(false),
            catalog_answered: Notify::new(),
        }
    }

    /// Sets this gateway's part in watching.
    pub(in crate::control) fn set_observing(&self, observing: ObserverRole) {
        let before = self.observing.replace(observing);
        let watches_long = matches!(
            before,
            ObserverRole::Inactive | ObserverRole::ConfigurationOnly
        );
        let is_to_look =
            matches!(observing, ObserverRole::Standby | ObserverRole::Primary);
        if watches_long && is_to_look {
            self.turned.notify_one();
        }
    }

    /// Returns this gateway's part in watching.
    pub(in crate::control) fn observing(&self) -> ObserverRole {
        self.observing.get()
    }

    /// Has watches begin anew after the machine was suspended.
    pub(in crate::control) fn resume(&self) {
        self.resumed.notify_waiters();
    }

    /// Waits while this gateway watches nothing, or a little.
    pub(super) async fn until_turned(&self) {
        let turned = self.turned.notified();
        // Two watches wait, and one of them is notified.
        let _ = tokio::time::timeout(BETWEEN_CHANGES, turned).await;
    }

    /// Notes that the store answered about the configuration.
    pub(super) fn catalog_answers(&self) {
        if self.catalog_fails.replace(false) {
            self.catalog_answered.notify_one();
        }
    }

    /// Waits for a while if the store does not answer about the configuration
    /// either: one of both watches looks for it. Both made 480 calls on a day
    /// of 34 s, of which the store was silent for 12.
    pub(super) async fn while_catalog_fails(&self) {
        if self.catalog_fails.get() {
            let answered = self.catalog_answered.notified();
            let _ = tokio::time::timeout(LISTING_WAITS, answered).await;
        }
    }

    /// Returns how long a watch of the configuration waits.
    pub(super) fn catalog_span(&self) -> WatchSpan {
        match self.observing.get() {
            ObserverRole::Inactive | ObserverRole::ConfigurationOnly => {
                WatchSpan::Long
            }
            ObserverRole::Standby | ObserverRole::Primary => WatchSpan::Brief,
        }
    }

    pub(super) fn watches_listing(&self) -> bool {
        let observing = self.observing.get();
        matches!(observing, ObserverRole::Standby | ObserverRole::Primary)
    }

    /// Returns how long a watch of the list rests after a change.
    pub(super) fn rest_after_change(&self) -> Duration {
        match self.observing.get() {
            ObserverRole::Standby => BETWEEN_CHANGES_IN_RESERVE,
            ObserverRole::Inactive
            | ObserverRole::ConfigurationOnly
            | ObserverRole::Primary => BETWEEN_CHANGES,
        }
    }
}
