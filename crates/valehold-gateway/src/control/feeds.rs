//! Following the configuration and the upstreams in the platform's store.

#[cfg(test)]
mod tests;

use std::{cell::Cell, rc::Rc, sync::Arc, time::Duration};

use tokio::{
    sync::{Notify, mpsc},
    time::Instant,
};
use valehold_ports::{
    PortError, PortErrorKind,
    port::{
        Answer,
        fleet::{CatalogNews, FleetStore, ListingNews, WatchSpan},
    },
};

use super::input::Input;
use crate::peers::roster::Observing;

/// How much longer than its span's patience a watch is waited for, whatever
/// the adapter does.
const PATIENCE_SLACK: Duration = Duration::from_millis(50);

/// The least pause after a failure.
const LEAST_PAUSE: Duration = Duration::from_millis(150);

/// The greatest pause after failures.
const GREATEST_PAUSE: Duration = Duration::from_millis(700);

/// The same for a gateway that hears from others of the store. Each call
/// costs, refused ones too, and 63 gateways that all looked twice a second
/// made 4,400 calls on a day with outages. Below the three seconds within
/// which the users expect a configuration, should the others fall silent.
const GREATEST_PAUSE_IN_RESERVE: Duration = Duration::from_millis(2_200);

/// For how long at the most a watch of upstreams waits until the store answers
/// about the configuration. It then looks itself, as it may be that only the
/// configuration cannot be read.
const LISTING_WAITS: Duration = Duration::from_millis(2_500);

/// Between two answers of a watch, so that changes come in bunches.
const BETWEEN_CHANGES: Duration = Duration::from_millis(200);

/// The same for an observer in reserve: it mostly hears of changes from the
/// foremost one before.
const BETWEEN_CHANGES_IN_RESERVE: Duration = Duration::from_millis(700);

type Inputs = mpsc::UnboundedSender<Input>;

/// Pauses after failures, longer and longer.
struct Pauses {
    next: Duration,
    /// Whether the last call failed.
    is_failing: bool,
    inputs: Inputs,
    orders: Rc<WatchOrders>,
}

impl Pauses {
    fn new(inputs: Inputs, orders: Rc<WatchOrders>) -> Self {
        Self { next: LEAST_PAUSE, is_failing: false, inputs, orders }
    }

    /// Returns how long the next watch is to wait, if it waits for so long
    /// while the store answers.
    ///
    /// A store that just failed is only asked what changed, until it answers:
    /// a watch that began shortly before the store came back would hang on for
    /// all of its time.
    fn span(&self, usual: WatchSpan) -> WatchSpan {
        match self.is_failing {
            true => WatchSpan::Now,
            false => usual,
        }
    }

    fn succeeded(&mut self) {
        self.next = LEAST_PAUSE;
        self.is_failing = false;
    }

    /// Notes that a call failed, and pauses before the next.
    ///
    /// The first call that gets no answer is followed by another at once: a
    /// watch that was forgotten, or whose connection died, tells nothing of
    /// the store as it is now.
    async fn failed(&mut self, error: PortError, began: Instant) {
        let was_failing = std::mem::replace(&mut self.is_failing, true);
        let is_silence = error.kind() == PortErrorKind::TimedOut;
        let lasted = began.elapsed();
        let _ = self.inputs.send(Input::StoreFailed { error, lasted });
        if is_silence && !was_failing {
            return;
        }
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
        let began = Instant::now();
        let news = match after {
            _ if orders.observing.get() == Observing::Nothing => {
                orders.until_turned().await;
                continue;
            }
            None => store.read_catalog().await,
            Some(after) => {
                let span = pauses.span(orders.catalog_span());
                let watch = store.await_catalog(after, span);
                tokio::select! {
                    news = within_patience(span, watch) => news,
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
                orders.catalog_fails.set(true);
                pauses.failed(error, began).await;
                continue;
            }
        };
        pauses.succeeded();
        orders.catalog_answers();
        let _ = inputs.send(Input::CatalogHeard(heard));
    }
}

/// Limits a watch to its span's patience.
async fn within_patience<T>(
    span: WatchSpan,
    watch: Answer<'_, T>,
) -> Result<T, PortError> {
    let limit = span.patience() + PATIENCE_SLACK;
    tokio::time::timeout(limit, watch)
        .await
        .unwrap_or_else(|_| Err(PortError::timed_out("no answer in time")))
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
    /// Whether the store does not answer about the configuration.
    catalog_fails: Cell<bool>,
    /// Tells that it answers about the configuration again.
    catalog_answered: Notify,
}

impl WatchOrders {
    /// Makes the orders of a gateway that has just started.
    pub(super) fn new() -> Self {
        Self {
            known: Cell::new(0),
            observing: Cell::new(Observing::Nothing),
            others_look: Cell::new(false),
            turned: Notify::new(),
            catalog_fails: Cell::new(false),
            catalog_answered: Notify::new(),
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

    /// Notes that the store answered about the configuration.
    fn catalog_answers(&self) {
        if self.catalog_fails.replace(false) {
            self.catalog_answered.notify_one();
        }
    }

    /// Waits for a while if the store does not answer about the configuration
    /// either: one of both watches looks for it. Both made 480 calls on a day
    /// of 34 s, of which the store was silent for 12.
    async fn while_catalog_fails(&self) {
        if self.catalog_fails.get() {
            let answered = self.catalog_answered.notified();
            let _ = tokio::time::timeout(LISTING_WAITS, answered).await;
        }
    }

    /// Returns how long a watch of the configuration waits.
    fn catalog_span(&self) -> WatchSpan {
        match self.observing.get() {
            Observing::Nothing | Observing::Configuration => WatchSpan::Long,
            Observing::Reserve | Observing::Foremost => WatchSpan::Brief,
        }
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
        if pauses.is_failing {
            orders.while_catalog_fails().await;
        }
        let began = Instant::now();
        let known = orders.known.get();
        let from = after.max((known > 0).then_some(known));
        let Some(from) = from else {
            after = read_all(&*store, &inputs, &mut pauses).await;
            continue;
        };
        let span = pauses.span(WatchSpan::Brief);
        let watch = store.await_listing(from, span);
        match within_patience(span, watch).await {
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
            Err(error) => pauses.failed(error, began).await,
        }
    }
}

/// Reads all upstreams; returns from which version to watch.
async fn read_all(
    store: &dyn FleetStore,
    inputs: &Inputs,
    pauses: &mut Pauses,
) -> Option<u64> {
    let began = Instant::now();
    match store.read_listing().await {
        Ok(listing) => {
            pauses.succeeded();
            let version = listing.version;
            let _ = inputs.send(Input::ListingRead(listing));
            Some(version)
        }
        Err(error) => {
            pauses.failed(error, began).await;
            None
        }
    }
}
