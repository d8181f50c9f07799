//! Issues the permits to send to cold and rate-limited upstreams.

use std::{
    collections::{BTreeMap, VecDeque},
    net::SocketAddr,
};

use super::{PERMIT_LIFETIME_MS, PermitReply};
use crate::{
    fleet::{upstream_limit::RequestRate, window::Window},
    id::UpstreamId,
    limit::TokenBucket,
    rendezvous,
    time::Millis,
};

/// The time for which a gateway has to be the grantor before it issues
/// permits, in ms. Within 1,000 ms all gateways learn that a gateway joined or
/// left, and the permits of the previous grantor then expire.
const HANDOVER_MS: u64 = 1_000 + PERMIT_LIFETIME_MS;

/// The time without an update of the live members after which a gateway counts
/// as stalled, in ms. The gateway does not know what happened meanwhile, and
/// waits for [`HANDOVER_MS`] again like one that has just started.
const STALL_MS: u64 = 1_500;

/// The window in which issued permits are counted, in ms. A request is sent
/// within the lifetime of its permit; a busy machine may write the request up
/// to 50 ms later.
const WINDOW_MS: u64 = 1_000 + PERMIT_LIFETIME_MS + 50;

/// The burst of permits that a rate-limited upstream may get after an idle
/// time, in seconds of its rate.
const LIMITED_BURST_S: f64 = 0.5;

/// The time after the last permit request for which the token bucket of a
/// rate-limited upstream is kept, in ms.
const LIMITED_RETENTION_MS: u64 = 60_000;

/// The retry time sent by a gateway that is not the grantor, or has not been
/// the grantor for long enough, in ms.
const NOT_GRANTOR_RETRY_MS: u32 = 250;

/// The gateways that were live from some time on.
#[derive(Debug, Clone)]
struct Members {
    from: Millis,
    /// Each address with its text, which is the key of the rendezvous hash.
    all: Vec<(SocketAddr, String)>,
    is_majority: bool,
}

impl Members {
    fn grantor(&self, upstream: &UpstreamId) -> Option<SocketAddr> {
        let weight = |name: &str| rendezvous::weight(upstream.as_str(), name);
        let first = self.all.iter().max_by_key(|(_, name)| weight(name))?;
        Some(first.0)
    }
}

/// The permits that a rate-limited upstream may get.
#[derive(Debug, Clone)]
struct Limited {
    permits: TokenBucket,
    requested_at: Millis,
}

/// Issues permits to send to the cold and rate-limited upstreams of which this
/// gateway is the grantor.
#[derive(Debug, Clone)]
pub struct PermitGrantor {
    own: SocketAddr,
    /// The recent sets of live members, the newest last.
    members: VecDeque<Members>,
    updated_at: Millis,
    issued: BTreeMap<UpstreamId, Window>,
    limited: BTreeMap<UpstreamId, Limited>,
}

impl PermitGrantor {
    /// Creates the grantor of the gateway with the address `own`, which knows
    /// no members yet.
    pub fn new(own: SocketAddr, now: Millis) -> Self {
        let (members, issued) = (VecDeque::new(), BTreeMap::new());
        let limited = BTreeMap::new();
        Self { own, members, updated_at: now, issued, limited }
    }

    /// Records the live members including this gateway, and whether they are
    /// the majority of the recent members.
    ///
    /// A gateway that does not receive from the majority may be cut off from
    /// the grantor on which the other gateways agree, and issues no permits.
    pub fn update_members(
        &mut self,
        all: &[SocketAddr],
        is_majority: bool,
        now: Millis,
    ) {
        if now.since(self.updated_at) >= STALL_MS {
            self.members.clear();
        }
        self.updated_at = now;
        let is_unchanged = self.members.back().is_some_and(|last| {
            let known = last.all.iter().map(|(address, _)| address);
            last.is_majority == is_majority && known.eq(all.iter())
        });
        if is_unchanged {
            return;
        }
        let named = all.iter().map(|one| (*one, one.to_string())).collect();
        let newest = Members { from: now, all: named, is_majority };
        self.members.push_back(newest);
        // Of the sets that began `HANDOVER_MS` ago or earlier, only the last
        // one still matters.
        let is_expired = |next: &Members| now.since(next.from) >= HANDOVER_MS;
        while self.members.get(1).is_some_and(is_expired) {
            self.members.pop_front();
        }
    }

    /// Returns the grantor of an upstream among the current members, or `None`
    /// if no members are known.
    pub fn grantor_of(&self, upstream: &UpstreamId) -> Option<SocketAddr> {
        self.members.back()?.grantor(upstream)
    }

    /// Reports whether this gateway has been the grantor of an upstream for
    /// [`HANDOVER_MS`].
    fn is_grantor(&self, upstream: &UpstreamId, now: Millis) -> bool {
        for members in self.members.iter().rev() {
            let is_own = members.grantor(upstream) == Some(self.own);
            if !is_own || !members.is_majority {
                return false;
            }
            if now.since(members.from) >= HANDOVER_MS {
                return true;
            }
        }
        false
    }

    /// Answers a permit request for a cold upstream, for which at most `max`
    /// permits may be issued in a window.
    pub fn answer(
        &mut self,
        upstream: &UpstreamId,
        max: usize,
        now: Millis,
    ) -> PermitReply {
        if !self.may_issue(upstream, now) {
            return PermitReply::Denied {
                retry_after_ms: NOT_GRANTOR_RETRY_MS,
            };
        }
        let issued = self
            .issued
            .entry(upstream.clone())
            .or_insert_with(|| Window::new(WINDOW_MS));
        if issued.count(now) < max {
            issued.record(now);
            return PermitReply::Granted;
        }
        let oldest_ms = issued.oldest().map_or(0, |at| now.since(at));
        let left_ms = WINDOW_MS.saturating_sub(oldest_ms).max(1);
        let retry_after_ms = u32::try_from(left_ms).unwrap_or(u32::MAX);
        PermitReply::Denied { retry_after_ms }
    }

    /// Answers a permit request for a rate-limited upstream.
    ///
    /// Permits accrue evenly at the rate. The token bucket starts empty, since
    /// the previous grantor may just have issued all available permits.
    pub fn answer_limited(
        &mut self,
        upstream: &UpstreamId,
        rate: RequestRate,
        now: Millis,
    ) -> PermitReply {
        if !self.may_issue(upstream, now) {
            return PermitReply::Denied {
                retry_after_ms: NOT_GRANTOR_RETRY_MS,
            };
        }
        let rate = rate.per_second();
        let limited =
            self.limited.entry(upstream.clone()).or_insert_with(|| Limited {
                permits: TokenBucket::new_empty(rate, LIMITED_BURST_S, now),
                requested_at: now,
            });
        limited.requested_at = now;
        limited.permits.set_rate(rate, LIMITED_BURST_S, now);
        match limited.permits.try_take(1.0, now) {
            Ok(()) => PermitReply::Granted,
            Err(left_ms) => {
                let retry_after_ms =
                    u32::try_from(left_ms).unwrap_or(u32::MAX);
                PermitReply::Denied { retry_after_ms }
            }
        }
    }

    /// Reports whether this gateway may issue permits for an upstream now.
    fn may_issue(&self, upstream: &UpstreamId, now: Millis) -> bool {
        let is_stalled = now.since(self.updated_at) >= STALL_MS;
        !is_stalled && self.is_grantor(upstream, now)
    }

    /// Removes the token buckets without a recent permit request, and the
    /// windows that contain no permit.
    pub fn prune(&mut self, now: Millis) {
        self.limited.retain(|_, one| {
            now.since(one.requested_at) < LIMITED_RETENTION_MS
        });
        self.issued.retain(|_, issued| issued.count(now) > 0);
    }
}
