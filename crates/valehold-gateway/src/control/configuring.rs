//! Putting configurations in force, and passing them on.

use std::sync::Arc;

use valehold_core::{Millis, fleet::Catalog};

use super::Control;
use crate::{
    events::{CatalogSource, Event},
    peers::{Message, message::StoreSight, roster::Observing},
};

impl Control {
    /// Takes a configuration that the store gave, and passes it on.
    pub(super) fn configure_by_store(
        &mut self,
        catalog: Catalog,
        now: Millis,
    ) {
        let observing = self.roster.observing(self.store);
        let passes_on =
            observing == Observing::Foremost && self.roster.has_hubs();
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
        self.shared.metrics.catalog(catalog.version);
        self.catalog = Some(Arc::new(catalog));
        self.live();
        if !self.roster.has_hubs() || self.store == StoreSight::Answers {
            self.send_heartbeats(now);
        }
        self.publish();
        true
    }
}
