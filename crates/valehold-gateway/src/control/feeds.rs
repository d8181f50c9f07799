//! Following what operators write and the upstreams in the platform's store.

mod orders;
mod pauses;
#[cfg(test)]
mod tests;

use std::{rc::Rc, sync::Arc, time::Duration};

use tokio::{sync::mpsc, time::Instant};
use valehold_ports::{
    PortError,
    port::{
        Answer,
        fleet::{CatalogNews, FleetStore, ListingNews, WatchSpan},
    },
};

pub(super) use self::orders::WatchOrders;
use self::{orders::BETWEEN_CHANGES, pauses::Pauses};
use super::input::Input;
use crate::{events::Event, peers::roster::ObserverRole};

/// How much longer than its span's patience a watch is waited for, whatever
/// the adapter does.
const PATIENCE_SLACK: Duration = Duration::from_millis(50);

type Inputs = mpsc::UnboundedSender<Input>;

/// Follows the configuration, and orders to empty data centres, until control
/// ends.
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
            _ if orders.observing.get() == ObserverRole::Inactive => {
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
                    () = orders.resumed.notified() => continue,
                }
            }
        };
        let heard = match news {
            Ok(CatalogNews::Heard { version, catalog, evacuations }) => {
                after = Some(version);
                Input::CatalogUpdated { version, catalog, evacuations }
            }
            Ok(CatalogNews::HistoryGone) => {
                tell_history_gone("watch_configuration", after);
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
        let _ = inputs.send(heard);
    }
}

fn tell_history_gone(call: &str, after: Option<u64>) {
    let (call, after) = (call.to_owned(), after.unwrap_or_default());
    Event::HistoryGone { call, after }.log();
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
        let news = tokio::select! {
            news = within_patience(span, watch) => news,
            () = orders.resumed.notified() => continue,
        };
        match news {
            Ok(ListingNews::HistoryGone) => {
                tell_history_gone("watch_upstreams", Some(from));
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
