//! Putting configurations in force, and passing them on.

use std::sync::Arc;

use valehold_core::{Millis, fleet::Catalog};

use super::Control;
use crate::{
    events::{CatalogSource, EmptyBoundPair, Event},
    peers::{Message, message::StoreStatus, roster::ObserverRole},
};

/// How many pairs without a common region are named in the log: enough to
/// find the mistake, in a line of bounded length.
const MOST_NAMED_PAIRS: usize = 16;

impl Control {
    /// Takes a configuration that the store gave, and passes it on.
    pub(super) fn configure_by_store(
        &mut self,
        catalog: Catalog,
        now: Millis,
    ) {
        let observing = self.roster.observer_role(self.store);
        let passes_on =
            observing == ObserverRole::Primary && self.roster.has_hubs();
        let message =
            passes_on.then(|| Message::Catalog(Box::new(catalog.clone())));
        if self.configure(catalog, CatalogSource::Store, now)
            && let Some(message) = message
        {
            self.send_all(&message);
        }
    }

    /// Takes a configuration, if it is newer; tells whether it was.
    pub(super) fn configure(
        &mut self,
        catalog: Catalog,
        source: CatalogSource,
        now: Millis,
    ) -> bool {
        let before = self.catalog.as_ref().map_or(0, |c| c.version);
        let version = catalog.version;
        if version <= before {
            return false;
        }
        Event::ConfigurationInForce { version, before, source }.log();
        log_empty_bounds(&catalog);
        self.shared.metrics.catalog(catalog.version);
        self.catalog = Some(Arc::new(catalog));
        self.live();
        if !self.roster.has_hubs() || self.store == StoreStatus::Reachable {
            self.send_heartbeats(now);
        }
        self.publish();
        true
    }
}

/// Logs which routes and workspaces have no region in common: nothing else
/// tells operators before the first request is refused for it.
fn log_empty_bounds(catalog: &Catalog) {
    let count = catalog.empty_bounds().count();
    if count == 0 {
        return;
    }
    let pairs = catalog.empty_bounds().take(MOST_NAMED_PAIRS);
    let pairs = pairs.map(|(route, workspace)| EmptyBoundPair {
        host: route.host.clone(),
        prefix: route.prefix.clone(),
        workspace: workspace.name.clone(),
    });
    let (version, pairs) = (catalog.version, pairs.collect());
    Event::EmptyBounds { version, count, pairs }.log();
}
