//! Which upstreams turned requests away lately, engines by variant.
//!
//! What is known of engines lags behind what they hold: an order may be on
//! its way, or this instance may be cut off from who tells it. An engine that
//! says that it did not run a request is therefore passed over for the same
//! variant for a while, and a process of a plain service for any request, as
//! long as another one is left.

use std::collections::BTreeMap;

use super::{identity::UpstreamStart, listing::Variant};
use crate::time::Millis;

/// Why an upstream did not run a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TurnedAway {
    /// It does not hold the variant, or is not the one that was meant.
    NotHeld,
    /// It is full, or busy with an order about the variant.
    Busy,
}

impl TurnedAway {
    /// Returns for how long the engine is passed over, in ms.
    const fn keep_ms(self) -> u64 {
        match self {
            Self::NotHeld => 1_500,
            Self::Busy => 400,
        }
    }
}

/// Which upstreams turned requests away lately.
#[derive(Debug, Clone, Default)]
pub struct TurnedAwayMemory {
    /// By variant at engines, and by none at plain services.
    until: BTreeMap<UpstreamStart, BTreeMap<Option<Variant>, Millis>>,
}

impl TurnedAwayMemory {
    /// Notes that an upstream turned a request away.
    pub fn note(
        &mut self,
        upstream: &UpstreamStart,
        variant: Option<&Variant>,
        why: TurnedAway,
        now: Millis,
    ) {
        let until = now + why.keep_ms();
        let noted = self.until.entry(upstream.clone()).or_default();
        noted.insert(variant.cloned(), until);
    }

    /// Notes that an upstream took a request.
    pub fn taken(
        &mut self,
        upstream: &UpstreamStart,
        variant: Option<&Variant>,
    ) {
        let Some(noted) = self.until.get_mut(upstream) else { return };
        noted.remove(&variant.cloned());
        if let Some(variant) = variant {
            let plain = Variant::plain(variant.model.as_str());
            noted.remove(&Some(plain));
        }
    }

    /// Tells whether an upstream turned such a request away lately, or an
    /// engine the model without any adapter.
    pub fn is_noted(
        &self,
        upstream: &UpstreamStart,
        variant: Option<&Variant>,
        now: Millis,
    ) -> bool {
        let Some(noted) = self.until.get(upstream) else { return false };
        noted.iter().any(|(noted, until)| {
            now < *until && concerns(noted.as_ref(), variant)
        })
    }

    /// Forgets what is over, and upstreams that are not `known`.
    pub fn sweep(
        &mut self,
        known: impl Fn(&UpstreamStart) -> bool,
        now: Millis,
    ) {
        self.until.retain(|upstream, noted| {
            noted.retain(|_, until| now < *until);
            known(upstream) && !noted.is_empty()
        });
    }
}

/// Tells whether what was noted of one variant concerns another: the model
/// without any adapter concerns all of them.
fn concerns(noted: Option<&Variant>, asked: Option<&Variant>) -> bool {
    let (Some(noted), Some(asked)) = (noted, asked) else {
        return noted == asked;
    };
    noted == asked || (noted.adapter.is_none() && noted.model == asked.model)
}
