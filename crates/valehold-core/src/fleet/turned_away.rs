//! Which engines turned a variant away lately.
//!
//! What is known of engines lags behind what they hold: an order may be on
//! its way, or this instance may be cut off from who tells it. An engine that
//! says that it did not run a request is therefore passed over for the same
//! variant for a while, as long as another one is left.

use std::collections::BTreeMap;

use super::{identity::UpstreamStart, listing::Variant};
use crate::time::Millis;

/// Why an engine did not run a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TurnedAway {
    /// It does not hold the variant.
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

/// Which engines turned a variant away lately.
#[derive(Debug, Clone, Default)]
pub struct TurnedAwayMemory {
    until: BTreeMap<UpstreamStart, BTreeMap<Variant, Millis>>,
}

impl TurnedAwayMemory {
    /// Notes that an engine turned a variant away.
    pub fn note(
        &mut self,
        engine: &UpstreamStart,
        variant: &Variant,
        why: TurnedAway,
        now: Millis,
    ) {
        let until = now + why.keep_ms();
        let of_engine = self.until.entry(engine.clone()).or_default();
        of_engine.insert(variant.clone(), until);
    }

    /// Notes that an engine took a variant.
    pub fn taken(&mut self, engine: &UpstreamStart, variant: &Variant) {
        if let Some(of_engine) = self.until.get_mut(engine) {
            of_engine.remove(variant);
            of_engine.remove(&Variant::plain(variant.model.as_str()));
        }
    }

    /// Tells whether an engine turned a variant, or the model without any
    /// adapter, away lately.
    pub fn is_noted(
        &self,
        engine: &UpstreamStart,
        variant: &Variant,
        now: Millis,
    ) -> bool {
        let Some(of_engine) = self.until.get(engine) else { return false };
        of_engine.iter().any(|(noted, until)| {
            let concerns = noted == variant
                || (noted.adapter.is_none() && noted.model == variant.model);
            concerns && now < *until
        })
    }

    /// Forgets what is over, and engines that are not `known`.
    pub fn sweep(
        &mut self,
        known: impl Fn(&UpstreamStart) -> bool,
        now: Millis,
    ) {
        self.until.retain(|engine, of_engine| {
            of_engine.retain(|_, until| now < *until);
            known(engine) && !of_engine.is_empty()
        });
    }
}
