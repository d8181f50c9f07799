//! Applies configurations and propagates them to peers.

use std::sync::Arc;

use valehold_core::{Millis, fleet::Catalog};

use super::Control;
use crate::{
    events::{CatalogSource, EmptyBoundPair, Event},
    peers::{Message, message::StoreStatus, roster::ObserverRole},
};

/// The maximum number of pairs without a common region in the log: enough to
/// find the mistake in a line of bounded length.
const MAX_LOGGED_PAIRS: usize = 16;

impl Control {
    /// Applies a configuration read from the store, and broadcasts it if this
    /// gateway is the primary observer of the store.
    pub(super) fn apply_stored_catalog(
        &mut self,
        catalog: Catalog,
        now: Millis,
    ) {
        let role = self.roster.observer_role(self.store);
        let broadcasts =
            role == ObserverRole::Primary && self.roster.has_hubs();
        let message =
            broadcasts.then(|| Message::Catalog(Box::new(catalog.clone())));
        if self.apply_catalog(catalog, CatalogSource::Store, now)
            && let Some(message) = message
        {
            self.send_all(&message);
        }
    }

    /// Applies a configuration if it is newer than the known one, and returns
    /// whether it was.
    pub(super) fn apply_catalog(
        &mut self,
        catalog: Catalog,
        source: CatalogSource,
        now: Millis,
    ) -> bool {
        let previous = self.catalog.as_ref().map_or(0, |c| c.version);
        let version = catalog.version;
        if version <= previous {
            return false;
        }
        let keep_alive_ms = catalog.limits.keep_alive_timeout_ms;
        let before = previous;
        Event::ConfigurationInForce { version, before, source, keep_alive_ms }
            .log();
        log_empty_bounds(&catalog);
        self.shared.metrics.catalog(catalog.version);
        let listing = self.upstreams.listing();
        self.placer.record_catalog(&catalog, listing, now);
        self.catalog = Some(Arc::new(catalog));
        self.serve_if_ready();
        if !self.roster.has_hubs() || self.store == StoreStatus::Reachable {
            self.send_heartbeats(now);
        }
        self.publish();
        true
    }
}

/// Logs pairs of routes and workspaces without a common region. Nothing else
/// informs operators before the first request is refused for this reason.
fn log_empty_bounds(catalog: &Catalog) {
    let count = catalog.empty_bounds().count();
    if count == 0 {
        return;
    }
    let pairs = catalog.empty_bounds().take(MAX_LOGGED_PAIRS);
    let pairs = pairs.map(|(route, workspace)| EmptyBoundPair {
        host: route.host.clone(),
        prefix: route.prefix.clone(),
        workspace: workspace.name.clone(),
    });
    let (version, pairs) = (catalog.version, pairs.collect());
    Event::EmptyBounds { version, count, pairs }.log();
}
