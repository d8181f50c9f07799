//! Upstreams found by what they serve, without a walk over all of them.

use std::sync::Arc;

use imbl::{OrdMap, OrdSet};

use super::listing::{Listing, Upstream};
use crate::id::{ModelName, ServiceName, UpstreamId};

type Ids = OrdSet<UpstreamId>;

/// Which upstreams hold each model, and which are of each service. A copy
/// shares what it does not change with its original.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct UpstreamIndex {
    by_model: OrdMap<ModelName, Ids>,
    by_service: OrdMap<ServiceName, Ids>,
}

impl UpstreamIndex {
    /// Returns the upstreams of a list that hold a model.
    pub fn holding<'a>(
        &'a self,
        model: &ModelName,
        listing: &'a Listing,
    ) -> impl Iterator<Item = &'a Arc<Upstream>> + use<'a> {
        let ids = self.by_model.get(model).into_iter().flatten();
        ids.filter_map(|id| listing.upstreams.get(id))
    }

    /// Returns the upstreams of a list that are of a service.
    pub fn of<'a>(
        &'a self,
        service: &ServiceName,
        listing: &'a Listing,
    ) -> impl Iterator<Item = &'a Arc<Upstream>> + use<'a> {
        let ids = self.by_service.get(service).into_iter().flatten();
        ids.filter_map(|id| listing.upstreams.get(id))
    }

    /// Takes in that an upstream is another than before: `None` where there
    /// was, or is, none.
    pub(super) fn change(
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
    index: &mut OrdMap<K, Ids>,
    key: &K,
    id: &UpstreamId,
) {
    index.entry(key.clone()).or_default().insert(id.clone());
}

fn remove<K: Ord + Clone>(
    index: &mut OrdMap<K, Ids>,
    key: &K,
    id: &UpstreamId,
) {
    let Some(ids) = index.get_mut(key) else { return };
    ids.remove(id);
    if ids.is_empty() {
        index.remove(key);
    }
}
