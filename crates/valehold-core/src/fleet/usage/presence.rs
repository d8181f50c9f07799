//! The share of each limit that gateways which reach one another may use.
//!
//! A silent gateway may have stopped, or may be cut off and still serve
//! callers. So the gateways on one side of a network partition use a share of
//! each limit in proportion to their number, out of all gateways that were
//! present recently. The shares of groups that cannot reach one another sum to
//! at most one.

use std::collections::BTreeMap;

use crate::time::Millis;

/// How long a majority of gateways counts an absent gateway among all
/// gateways, in ms. After that, the gateway counts as gone.
const GONE_AFTER_MS: u64 = 60_000;

/// How long gateways that reach at most half of all may use their share, in
/// ms. They stop well before the majority counts them as gone and divides
/// the limits without them.
const MINORITY_ACTIVE_MS: u64 = 45_000;

/// One in this many of all gateways must be present for a hub to throttle.
const MIN_PRESENT_DIVISOR: usize = 8;

/// The gateways that are present now, and those that were present recently.
///
/// `K` identifies a gateway.
#[derive(Debug, Clone)]
pub struct Presence<K> {
    /// When each recent gateway was last present.
    seen: BTreeMap<K, Millis>,
    /// The number of gateways that are present now.
    present: usize,
    /// The number of recent gateways that others report.
    reported: usize,
    /// Since when at most half of all gateways are present.
    minority_since: Option<Millis>,
}

impl<K: Ord> Presence<K> {
    /// Creates the presence of a gateway that knows no other gateway, among at
    /// least `count` gateways.
    pub fn new(count: usize) -> Self {
        Self {
            seen: BTreeMap::new(),
            present: 1,
            reported: count,
            minority_since: None,
        }
    }

    /// Updates the presence of all gateways.
    ///
    /// `present` are the gateways that are present now, including this one,
    /// and `left` those that announced that they leave, which are no longer
    /// counted. `reported` is the number of recent gateways that others
    /// report.
    pub fn update(
        &mut self,
        present: impl IntoIterator<Item = K>,
        left: impl IntoIterator<Item = K>,
        reported: usize,
        now: Millis,
    ) {
        self.present = 0;
        for gateway in present {
            self.seen.insert(gateway, now);
            self.present += 1;
        }
        for gateway in left {
            self.seen.remove(&gateway);
        }
        self.reported = reported;
        let is_minority = self.gateway_count() > 1
            && self.present * 2 <= self.gateway_count();
        self.minority_since =
            is_minority.then(|| self.minority_since.unwrap_or(now));
        if !is_minority {
            let is_recent = |at: Millis| now.since(at) < GONE_AFTER_MS;
            self.seen.retain(|_, at| is_recent(*at));
        }
    }

    /// Returns whether more than half of the recent gateways are present.
    pub fn is_majority(&self) -> bool {
        self.minority_since.is_none()
    }

    /// Returns whether all recent gateways are present.
    pub fn is_complete(&self) -> bool {
        self.present >= self.gateway_count()
    }

    /// Returns the number of gateways that are present now.
    pub fn present(&self) -> usize {
        self.present
    }

    /// Returns the number of gateways that this one saw recently, to report it
    /// to others.
    pub fn seen(&self) -> usize {
        self.seen.len()
    }

    /// Returns the number of gateways among which limits are divided.
    pub fn gateway_count(&self) -> usize {
        self.seen.len().max(self.reported).max(1)
    }

    /// Returns whether enough gateways are present for a hub to throttle them.
    ///
    /// The share of a few gateways may be less than the cost of a single
    /// request. Throttles would then reject all requests for a long time after
    /// one. Instead, each gateway applies its own share, which admits requests
    /// by chance.
    pub fn may_throttle(&self) -> bool {
        self.present * MIN_PRESENT_DIVISOR >= self.gateway_count()
    }

    /// Returns the fraction of each limit that the present gateways may use
    /// together.
    pub fn share(&self, now: Millis) -> f64 {
        self.share_of(self.present, now)
    }

    /// Returns the fraction of each limit that this gateway may use without
    /// throttles.
    pub fn own_share(&self, now: Millis) -> f64 {
        self.share_of(1, now)
    }

    /// Returns the fraction for a number of gateways; 0 once a minority has to
    /// stop.
    #[allow(clippy::cast_precision_loss)]
    fn share_of(&self, gateways: usize, now: Millis) -> f64 {
        let is_over = |since| now.since(since) >= MINORITY_ACTIVE_MS;
        match self.minority_since {
            Some(since) if is_over(since) => 0.0,
            _ => (gateways as f64 / self.gateway_count() as f64).min(1.0),
        }
    }
}
