//! Watches the configuration and the upstreams in the platform's store.

mod backoff;
#[cfg(test)]
mod tests;
mod watch_state;

use std::{rc::Rc, sync::Arc, time::Duration};

use tokio::{sync::mpsc, time::Instant};
use valehold_ports::{
    PortError,
    port::{
        Answer,
        fleet::{CatalogNews, FleetStore, ListingNews, WatchSpan},
    },
};

pub(super) use self::watch_state::WatchState;
use self::{backoff::WatchBackoff, watch_state::CHANGE_INTERVAL};
use super::input::Input;
use crate::{events::Event, peers::roster::ObserverRole};

/// The time added to a span's patience before a watch is abandoned, in case
/// the adapter does not enforce its own timeout.
const PATIENCE_SLACK: Duration = Duration::from_millis(50);

type Inputs = mpsc::UnboundedSender<Input>;

/// Watches the configuration and the evacuation orders until control ends.
///
/// Observers poll every few seconds, and other gateways learn from observers
/// what their own hanging watch misses. In a large system most gateways have
/// no watch and receive all changes from peers.
pub(super) async fn follow_catalog(
    store: Arc<dyn FleetStore>,
    inputs: Inputs,
    state: Rc<WatchState>,
) {
    let mut backoff = WatchBackoff::new(inputs.clone(), state.clone());
    let mut after = None;
    while !inputs.is_closed() {
        let started = Instant::now();
        let outcome = match after {
            _ if state.role.get() == ObserverRole::Inactive => {
                state.wait_for_activation().await;
                continue;
            }
            None => store.read_catalog().await,
            Some(after) => {
                let span = backoff.span(state.catalog_span());
                let watch = store.await_catalog(after, span);
                tokio::select! {
                    outcome = within_patience(span, watch) => outcome,
                    // A long watch may hang, and other gateways now rely on
                    // this one.
                    () = state.activated.notified() => continue,
                    () = state.outdated.notified() => continue,
                    () = state.resumed.notified() => continue,
                }
            }
        };
        let input = match outcome {
            Ok(CatalogNews::Heard {
                version,
                store_ms,
                catalog,
                evacuations,
            }) => {
                after = Some(version);
                state.set_store_clock(store_ms);
                Input::CatalogUpdated { version, catalog, evacuations }
            }
            Ok(CatalogNews::HistoryGone) => {
                log_history_gone("watch_configuration", after);
                after = None;
                tokio::time::sleep(CHANGE_INTERVAL).await;
                continue;
            }
            Err(error) => {
                state.is_catalog_failing.set(true);
                backoff.failed(error, started).await;
                continue;
            }
        };
        backoff.succeeded();
        state.on_catalog_answer();
        let _ = inputs.send(input);
    }
}

fn log_history_gone(call: &str, after: Option<u64>) {
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

/// Watches the upstreams while this gateway is an observer, until control
/// ends.
pub(super) async fn follow_listing(
    store: Arc<dyn FleetStore>,
    inputs: Inputs,
    state: Rc<WatchState>,
) {
    let mut backoff = WatchBackoff::new(inputs.clone(), state.clone());
    let mut after = None;
    while !inputs.is_closed() {
        if !state.watches_listing() {
            state.wait_to_watch_listing().await;
            continue;
        }
        if backoff.is_failing {
            state.wait_for_catalog().await;
        }
        let started = Instant::now();
        let known = state.known_version.get();
        let from = after.max((known > 0).then_some(known));
        let Some(from) = from else {
            after = read_all(&*store, &inputs, &mut backoff).await;
            continue;
        };
        let span = backoff.span(state.listing_span());
        let watch = store.await_listing(from, span);
        let outcome = tokio::select! {
            outcome = within_patience(span, watch) => outcome,
            () = state.outdated.notified() => continue,
            () = state.resumed.notified() => continue,
        };
        match outcome {
            Ok(ListingNews::HistoryGone) => {
                log_history_gone("watch_upstreams", Some(from));
                let read = read_all(&*store, &inputs, &mut backoff).await;
                if read.is_some() {
                    after = read;
                    tokio::time::sleep(CHANGE_INTERVAL).await;
                }
            }
            Ok(outcome) => {
                backoff.succeeded();
                if let ListingNews::Changed { next, store_ms, .. } = &outcome {
                    after = Some(*next);
                    state.set_store_clock(*store_ms);
                }
                let _ = inputs.send(Input::ListingChanged(outcome));
                tokio::time::sleep(state.pause_after_change()).await;
            }
            Err(error) => backoff.failed(error, started).await,
        }
    }
}

/// Reads the whole list, and returns the version after which to watch.
async fn read_all(
    store: &dyn FleetStore,
    inputs: &Inputs,
    backoff: &mut WatchBackoff,
) -> Option<u64> {
    let started = Instant::now();
    match store.read_listing().await {
        Ok(listing) => {
            backoff.succeeded();
            let version = listing.version;
            let _ = inputs.send(Input::ListingRead(listing));
            Some(version)
        }
        Err(error) => {
            backoff.failed(error, started).await;
            None
        }
    }
}
