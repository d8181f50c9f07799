//! Upstreams that ask an instance for rest.
//!
//! An upstream that is overrun turns a request away and says for how long it
//! wants nothing from the instance that sent it: no request of any kind, no
//! question and no order. That is neither a failure of the upstream nor about
//! the one request, so it is kept by upstream. When the rest is over one
//! request goes first, and the others follow once that was not turned away:
//! all that waited would overrun the upstream again.

use std::{collections::BTreeMap, time::Duration};

use super::identity::UpstreamStart;
use crate::time::Millis;

/// The longest rest that is kept, in ms. Longer ones are a slip of whoever
/// set them; the upstream is asked again by one request, and may repeat it.
const MOST_REST_MS: u64 = 600_000;

/// For how long the first request after a rest goes alone, in ms: upstreams
/// turn requests away within some ms, and the way to the furthest region and
/// back takes 100.
const TRIAL_MS: u64 = 200;

/// For how long it is kept that a rest is over, in ms: an upstream that no
/// request was for meanwhile begins like any other.
const KEEP_OVER_MS: u64 = 10_000;

/// What an instance may do with an upstream now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RestSight {
    /// It may be sent to.
    Awake,
    /// It is to be left alone.
    Resting {
        /// In how many ms it may be sent to, if it does not ask again.
        left_ms: u64,
    },
}

/// One upstream's rest.
#[derive(Debug, Clone, Copy)]
struct Rest {
    until: Millis,
    /// When the first request after it was sent.
    trial: Option<Millis>,
}

impl Rest {
    fn sight(&self, now: Millis) -> RestSight {
        let trial_until = self.trial.map(|began| began + TRIAL_MS);
        let until = trial_until.unwrap_or(self.until);
        match until.since(now) {
            0 => RestSight::Awake,
            left_ms => RestSight::Resting { left_ms },
        }
    }
}

/// The upstreams that asked one instance for rest.
#[derive(Debug, Clone, Default)]
pub struct Rests {
    rests: BTreeMap<UpstreamStart, Rest>,
}

impl Rests {
    /// Notes that an upstream asked for rest; tells whether it had none.
    ///
    /// Each answer asks for itself, so that of several the latest end counts,
    /// in whatever order they come.
    pub fn ask(
        &mut self,
        upstream: &UpstreamStart,
        rest: Duration,
        now: Millis,
    ) -> bool {
        let rest_ms = Millis::from(rest).get().min(MOST_REST_MS);
        if rest_ms == 0 {
            return false;
        }
        let until = now + rest_ms;
        let known = self.rests.get(upstream).map(|known| known.until);
        let until = known.map_or(until, |known| known.max(until));
        self.rests.insert(upstream.clone(), Rest { until, trial: None });
        known.is_none_or(|known| known <= now)
    }

    /// Returns what may be done with an upstream.
    pub fn sight(&self, upstream: &UpstreamStart, now: Millis) -> RestSight {
        let rest = self.rests.get(upstream);
        rest.map_or(RestSight::Awake, |rest| rest.sight(now))
    }

    /// Tells whether an upstream may be sent to.
    pub fn is_awake(&self, upstream: &UpstreamStart, now: Millis) -> bool {
        self.sight(upstream, now) == RestSight::Awake
    }

    /// Tells whether a request may be sent to an upstream at this moment; the
    /// first one after a rest goes alone from now on.
    pub fn may_send(&mut self, upstream: &UpstreamStart, now: Millis) -> bool {
        if !self.is_awake(upstream, now) {
            return false;
        }
        if let Some(rest) = self.rests.get_mut(upstream) {
            rest.trial.get_or_insert(now);
        }
        true
    }

    /// Notes that an upstream took a request: its rest, if over, is done with.
    pub fn took(&mut self, upstream: &UpstreamStart, now: Millis) {
        let is_over = |rest: &Rest| now >= rest.until;
        if self.rests.get(upstream).is_some_and(is_over) {
            self.rests.remove(upstream);
        }
    }

    /// Tells whether no upstream asked for rest lately.
    pub fn is_empty(&self) -> bool {
        self.rests.is_empty()
    }

    /// Forgets rests that are long over, and starts that are not `known`.
    pub fn sweep(
        &mut self,
        known: impl Fn(&UpstreamStart) -> bool,
        now: Millis,
    ) {
        self.rests.retain(|start, rest| {
            known(start) && now.since(rest.until) < KEEP_OVER_MS
        });
    }
}
