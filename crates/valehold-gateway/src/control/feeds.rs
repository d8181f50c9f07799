//! Following the configuration and the upstreams in the platform's store.

#[cfg(test)]
mod tests;

use std::{cell::Cell, rc::Rc, sync::Arc, time::Duration};

use tokio::sync::{Notify, mpsc};
use valehold_ports::{
    PortError,
    port::fleet::{CatalogNews, FleetStore, ListingNews, WatchSpan},
};

use super::input::Input;
use crate::peers::roster::Observing;

/// The least pause after a failure.
const LEAST_PAUSE: Duration = Duration::from_millis(150);

/// The greatest pause after failures.
const GREATEST_PAUSE: Duration = Duration::from_millis(700);

/// The same for a gateway that hears from others of the store. Each call
/// costs, refused ones too, and 63 gateways that all looked twice a second
/// made 4,400 calls on a day with outages. Below the three seconds within
/// which the users expect a configuration, should the others fall silent.
const GREATEST_PAUSE_IN_RESERVE: Duration = Duration::from_millis(2_200);

/// Between two answers of a watch, so that changes come in bunches.
const BETWEEN_CHANGES: Duration = Duration::from_millis(200);

/// The same for an observer in reserve: it mostly hears of changes from the
/// foremost one before.
const BETWEEN_CHANGES_IN_RESERVE: Duration = Duration::from_millis(700);

type Inputs = mpsc::UnboundedSender<Input>;

/// Pauses after failures, longer and longer.
struct Pauses {
    next: Duration,
    inputs: Inputs,
    orders: Rc<WatchOrders>,
}

impl Pauses {
    fn new(inputs: Inputs, orders: Rc<WatchOrders>) -> Self {
        Self { next: LEAST_PAUSE, inputs, orders }
    }

    fn succeeded(&mut self) {
        self.next = LEAST_PAUSE;
    }

    async fn failed(&mut self, doing: &str, error: PortError) {
        log::debug!("{doing}: {error}");
        let _ = self.inputs.send(Input::StoreFailed(error));
        let jitter = 0.75 + 0.5 * rand::random::<f64>();
        tokio::time::sleep(self.next.mul_f64(jitter)).await;
        let greatest = match self.orders.others_look.get() {
            true => GREATEST_PAUSE_IN_RESERVE,
            false => GREATEST_PAUSE,
        };
        self.next = (self.next * 2).min(greatest);
    }
}

/// Follows the configuration until control ends.
///
/// Observers look again every few seconds. Others hear from them of what a
/// watch of their own that hangs does not bring; where gateways are many most
/// have no watch, and hear of all from peers.
pub(super) async fn follow_catalog(
    store: Arc<dyn FleetStore>,
    inputs: Inputs,
    orders: Rc<WatchOrders>,
) {
    let mut pauses = Pauses::new(inputs.clone(), orders.clone());
    let mut after = None;
    while !inputs.is_closed() {
        let news = match after {
            _ if orders.observing.get() == Observing::Nothing => {
                orders.until_turned().await;
                continue;
            }
            None => store.read_catalog().await,
            Some(after) => {
                let span = match orders.observing.get() {
                    Observing::Nothing | Observing::Configuration => {
                        WatchSpan::Long
                    }
                    Observing::Reserve | Observing::Foremost => {
                        WatchSpan::Brief
                    }
                };
                tokio::select! {
                    news = store.await_catalog(after, span) => news,
                    // A long watch may hang: others rely on this one now.
                    () = orders.turned.notified() => continue,
                }
            }
        };
        let heard = match news {
            Ok(CatalogNews::Accepted { version, catalog }) => {
                after = Some(version);
                Some(catalog)
            }
            Ok(CatalogNews::Nothing { version }) => {
                after = Some(version);
                None
            }
            Ok(CatalogNews::HistoryGone) => {
                after = None;
                tokio::time::sleep(BETWEEN_CHANGES).await;
                continue;
            }
            Err(error) => {
                pauses.failed("following the configuration", error).await;
                continue;
            }
        };
        pauses.succeeded();
        let _ = inputs.send(Input::CatalogHeard(heard));
    }
}

/// What control tells the watches.
#[derive(Debug)]
pub(super) struct WatchOrders {
    /// The version that control has; a peer may have given a newer one than
    /// this watch.
    pub(super) known: Cell<u64>,
    /// This gateway's part in watching for those that do not.
    observing: Cell<Observing>,
    /// Whether enough others look after the store while it fails.
    pub(super) others_look: Cell<bool>,
    /// Tells that it has just become an observer.
    pub(super) turned: Notify,
}

impl WatchOrders {
    /// Makes the orders of a gateway that has just started.
    pub(super) fn new() -> Self {
        Self {
            known: Cell::new(0),
            observing: Cell::new(Observing::Nothing),
            others_look: Cell::new(false),
            turned: Notify::new(),
        }
    }

    /// Sets this gateway's part in watching.
    pub(super) fn set_observing(&self, observing: Observing) {
        let before = self.observing.replace(observing);
        let watches_long =
            matches!(before, Observing::Nothing | Observing::Configuration);
        let is_to_look =
            matches!(observing, Observing::Reserve | Observing::Foremost);
        if watches_long && is_to_look {
            self.turned.notify_one();
        }
    }

    /// Waits while this gateway watches nothing, or a little.
    async fn until_turned(&self) {
        let turned = self.turned.notified();
        // Two watches wait, and one of them is notified.
        let _ = tokio::time::timeout(BETWEEN_CHANGES, turned).await;
    }

    fn watches_listing(&self) -> bool {
        let observing = self.observing.get();
        matches!(observing, Observing::Reserve | Observing::Foremost)
    }

    /// Returns how long a watch of the list rests after a change.
    fn rest_after_change(&self) -> Duration {
        match self.observing.get() {
            Observing::Reserve => BETWEEN_CHANGES_IN_RESERVE,
            Observing::Nothing
            | Observing::Configuration
            | Observing::Foremost => BETWEEN_CHANGES,
        }
    }
}

/// Follows the upstreams while this gateway is an observer, until control
/// ends.
pub(super) async fn follow_listing(
    store: Arc<dyn FleetStore>,
    inputs: Inputs,
    orders: Rc<WatchOrders>,
) {
    let mut pauses = Pauses::new(inputs.clone(), orders.clone());
    let mut after = None;
    while !inputs.is_closed() {
        if !orders.watches_listing() {
            tokio::time::sleep(BETWEEN_CHANGES).await;
            continue;
        }
        let known = orders.known.get();
        let from = after.max((known > 0).then_some(known));
        let Some(from) = from else {
            after = read_all(&*store, &inputs, &mut pauses).await;
            continue;
        };
        match store.await_listing(from, WatchSpan::Brief).await {
            Ok(ListingNews::HistoryGone) => {
                let read = read_all(&*store, &inputs, &mut pauses).await;
                if read.is_some() {
                    after = read;
                    tokio::time::sleep(BETWEEN_CHANGES).await;
                }
            }
            Ok(news) => {
                pauses.succeeded();
                if let ListingNews::Changed { next, .. } = &news {
                    after = Some(*next);
                }
                let _ = inputs.send(Input::ListingChanged(news));
                tokio::time::sleep(orders.rest_after_change()).await;
            }
            Err(error) => pauses.failed("following upstreams", error).await,
        }
    }
}

/// Reads all upstreams; returns from which version to watch.
async fn read_all(
    store: &dyn FleetStore,
    inputs: &Inputs,
    pauses: &mut Pauses,
) -> Option<u64> {
    match store.read_listing().await {
        Ok(listing) => {
            pauses.succeeded();
            let version = listing.version;
            let _ = inputs.send(Input::ListingRead(listing));
            Some(version)
        }
        Err(error) => {
            pauses.failed("reading upstreams", error).await;
            None
        }
    }
}
