//! An index of the upstreams of a list by model and by service.
//!
//! The index finds the upstreams of a model or service without an iteration
//! over all upstreams of the list.

use std::sync::Arc;

use imbl::{OrdMap, OrdSet};

use super::listing::{Listing, Upstream};
use crate::id::{ModelName, ServiceName, UpstreamId};

type UpstreamIds = OrdSet<UpstreamId>;

/// The upstreams that hold each model and the upstreams of each service.
///
/// A clone shares unchanged parts with the original.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct UpstreamIndex {
    by_model: OrdMap<ModelName, UpstreamIds>,
    by_service: OrdMap<ServiceName, UpstreamIds>,
}

impl UpstreamIndex {
    /// Returns the upstreams of a list that hold a model, in the order of
    /// their names.
    pub fn holding<'a>(
        &'a self,
        model: &ModelName,
        listing: &'a Listing,
    ) -> impl Iterator<Item = &'a Arc<Upstream>> + use<'a> {
        let ids = self.by_model.get(model).into_iter().flatten();
        ids.filter_map(|id| listing.upstreams.get(id))
    }

    /// Returns the upstreams of a list that belong to a service, in the order
    /// of their names.
    pub fn of_service<'a>(
        &'a self,
        service: &ServiceName,
        listing: &'a Listing,
    ) -> impl Iterator<Item = &'a Arc<Upstream>> + use<'a> {
        let ids = self.by_service.get(service).into_iter().flatten();
        ids.filter_map(|id| listing.upstreams.get(id))
    }

    /// Updates the index after the entry of one upstream changed. `before` is
    /// `None` if the upstream is new, and `after` is `None` if the upstream
    /// was removed.
    pub(super) fn update(
        &mut self,
        before: Option<&Upstream>,
        after: Option<&Upstream>,
    ) {
        if let Some(before) = before {
            let is_same = after.is_some_and(|after| {
                after.service == before.service
                    && models(after).eq(models(before))
            });
            if is_same {
                return;
            }
            remove(&mut self.by_service, &before.service, &before.id);
            for model in models(before) {
                remove(&mut self.by_model, model, &before.id);
            }
        }
        if let Some(after) = after {
            insert(&mut self.by_service, &after.service, &after.id);
            for model in models(after) {
                insert(&mut self.by_model, model, &after.id);
            }
        }
    }
}

fn models(upstream: &Upstream) -> impl Iterator<Item = &ModelName> {
    upstream.holding.models.keys()
}

fn insert<K: Ord + Clone>(
    index: &mut OrdMap<K, UpstreamIds>,
    key: &K,
    id: &UpstreamId,
) {
    index.entry(key.clone()).or_default().insert(id.clone());
}

fn remove<K: Ord + Clone>(
    index: &mut OrdMap<K, UpstreamIds>,
    key: &K,
    id: &UpstreamId,
) {
    let Some(ids) = index.get_mut(key) else { return };
    ids.remove(id);
    if ids.is_empty() {
        index.remove(key);
    }
}
