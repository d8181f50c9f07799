//! Upstreams that recently rejected requests.
//!
//! The recorded holdings of an engine may be out of date: an order may be in
//! flight, or this instance may be cut off from the instances that report
//! holdings. An upstream that rejected a request is therefore avoided for a
//! short time, as long as another upstream is left: an engine for the same
//! variant, and a process of a plain service for all requests.

use std::collections::BTreeMap;

use super::{identity::UpstreamStart, listing::Variant};
use crate::time::Millis;

/// Why an upstream did not run a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Rejection {
    /// The engine does not hold the variant, or the request reached another
    /// upstream than the intended one.
    NotHeld,
    /// The upstream is full, or busy with an order for the variant.
    Busy,
}

impl Rejection {
    /// Returns how long the upstream is avoided, in ms.
    const fn avoid_ms(self) -> u64 {
        match self {
            Self::NotHeld => 1_500,
            Self::Busy => 400,
        }
    }
}

/// The upstreams that recently rejected requests.
#[derive(Debug, Clone, Default)]
pub struct RecentRejections {
    /// Until when each upstream is avoided: per variant for engines, and under
    /// the key `None` for plain services.
    until: BTreeMap<UpstreamStart, BTreeMap<Option<Variant>, Millis>>,
}

impl RecentRejections {
    /// Records that an upstream rejected a request.
    pub fn record(
        &mut self,
        upstream: &UpstreamStart,
        variant: Option<&Variant>,
        reason: Rejection,
        now: Millis,
    ) {
        let until = now + reason.avoid_ms();
        let rejected = self.until.entry(upstream.clone()).or_default();
        rejected.insert(variant.cloned(), until);
    }

    /// Records that an upstream accepted a request, which removes the
    /// rejections of the variant and of its model without an adapter.
    pub fn record_accepted(
        &mut self,
        upstream: &UpstreamStart,
        variant: Option<&Variant>,
    ) {
        let Some(rejected) = self.until.get_mut(upstream) else { return };
        rejected.remove(&variant.cloned());
        if let Some(variant) = variant {
            let plain = Variant::plain(variant.model.as_str());
            rejected.remove(&Some(plain));
        }
    }

    /// Returns whether an upstream recently rejected a request for a variant,
    /// or for the model of the variant without an adapter.
    pub fn contains(
        &self,
        upstream: &UpstreamStart,
        variant: Option<&Variant>,
        now: Millis,
    ) -> bool {
        let Some(rejected) = self.until.get(upstream) else { return false };
        rejected.iter().any(|(rejected, until)| {
            now < *until && applies(rejected.as_ref(), variant)
        })
    }

    /// Removes expired rejections, and rejections of starts for which `known`
    /// returns `false`.
    pub fn prune(
        &mut self,
        known: impl Fn(&UpstreamStart) -> bool,
        now: Millis,
    ) {
        self.until.retain(|upstream, rejected| {
            rejected.retain(|_, until| now < *until);
            known(upstream) && !rejected.is_empty()
        });
    }
}

/// Returns whether the rejection of one variant applies to another. The
/// rejection of a model without an adapter applies to all its adapters.
fn applies(rejected: Option<&Variant>, requested: Option<&Variant>) -> bool {
    let (Some(rejected), Some(requested)) = (rejected, requested) else {
        return rejected == requested;
    };
    rejected == requested
        || (rejected.adapter.is_none() && rejected.model == requested.model)
}
