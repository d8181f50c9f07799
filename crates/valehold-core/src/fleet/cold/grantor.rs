//! Giving out rights to send to cold upstreams and to those in need.

use std::{
    collections::{BTreeMap, VecDeque},
    net::SocketAddr,
};

use super::{RIGHT_HOLDS_MS, RightAnswer};
use crate::{
    fleet::{upstream_limit::RequestRate, window::Window},
    id::UpstreamId,
    limit::TokenBucket,
    rendezvous,
    time::Millis,
};

/// How long a gateway takes itself for the grantor before it gives out
/// rights, in ms: all hear of a gateway that came or went within so long, and
/// the rights of the one before are over.
const HANDOVER_MS: u64 = 1_000 + RIGHT_HOLDS_MS;

/// After how long without a word of who is there a gateway stood still, in
/// ms: it does not know what happened meanwhile, as if it had just started.
const STOOD_STILL_MS: u64 = 1_500;

/// The window in which rights are counted, in ms: a request is sent within the
/// time that its right holds, and a busy machine may write it a little later.
const WINDOW_MS: u64 = 1_000 + RIGHT_HOLDS_MS + 50;

/// For how many seconds of its rate an upstream in need may get rights at once,
/// if it got none before.
const LIMITED_BURST_S: f64 = 0.5;

/// For how long it is kept what an upstream in need got, in ms, if nobody asks.
const KEEP_LIMITED_MS: u64 = 60_000;

/// In how many ms to ask again who is not the grantor, or not yet.
const NOT_GRANTOR_MS: u32 = 250;

/// The gateways that were there from some moment on.
#[derive(Debug, Clone)]
struct Members {
    from: Millis,
    /// Each with its name for the rendezvous hash.
    all: Vec<(SocketAddr, String)>,
    are_most: bool,
}

impl Members {
    fn grantor(&self, upstream: &UpstreamId) -> Option<SocketAddr> {
        let weight = |name: &str| rendezvous::weight(upstream.as_str(), name);
        let first = self.all.iter().max_by_key(|(_, name)| weight(name))?;
        Some(first.0)
    }
}

/// What an upstream in need may get.
#[derive(Debug, Clone)]
struct Limited {
    rights: TokenBucket,
    asked: Millis,
}

/// One gateway's part in giving out rights to send to cold upstreams and to
/// those in need.
#[derive(Debug, Clone)]
pub struct Grantor {
    own: SocketAddr,
    /// Who was there lately, the newest last.
    members: VecDeque<Members>,
    heard: Millis,
    given: BTreeMap<UpstreamId, Window>,
    limited: BTreeMap<UpstreamId, Limited>,
}

impl Grantor {
    /// Makes the part of a gateway that has heard of nobody.
    pub fn new(own: SocketAddr, now: Millis) -> Self {
        let (members, given) = (VecDeque::new(), BTreeMap::new());
        let limited = BTreeMap::new();
        Self { own, members, heard: now, given, limited }
    }

    /// Takes in who is there, this gateway among them, and whether they are
    /// most of those that were there lately.
    ///
    /// A gateway that hears few of the others may be cut off from the grantor
    /// of the others, and is none itself.
    pub fn hear(&mut self, all: &[SocketAddr], are_most: bool, now: Millis) {
        if now.since(self.heard) >= STOOD_STILL_MS {
            self.members.clear();
        }
        self.heard = now;
        let is_known = self.members.back().is_some_and(|last| {
            let known = last.all.iter().map(|(address, _)| address);
            last.are_most == are_most && known.eq(all.iter())
        });
        if is_known {
            return;
        }
        let named = all.iter().map(|one| (*one, one.to_string())).collect();
        let newest = Members { from: now, all: named, are_most };
        self.members.push_back(newest);
        // All but the last that began so long ago are over.
        let is_over = |next: &Members| now.since(next.from) >= HANDOVER_MS;
        while self.members.get(1).is_some_and(is_over) {
            self.members.pop_front();
        }
    }

    /// Returns the grantor of an upstream, as far as this gateway knows.
    pub fn grantor(&self, upstream: &UpstreamId) -> Option<SocketAddr> {
        self.members.back()?.grantor(upstream)
    }

    /// Tells whether this gateway has been the grantor for long enough.
    fn is_grantor(&self, upstream: &UpstreamId, now: Millis) -> bool {
        for members in self.members.iter().rev() {
            let is_own = members.grantor(upstream) == Some(self.own);
            if !is_own || !members.are_most {
                return false;
            }
            if now.since(members.from) >= HANDOVER_MS {
                return true;
            }
        }
        false
    }

    /// Answers who asks for a right, of which `most` may be given out in a
    /// window.
    pub fn answer(
        &mut self,
        upstream: &UpstreamId,
        most: usize,
        now: Millis,
    ) -> RightAnswer {
        if !self.may_grant(upstream, now) {
            return RightAnswer::Denied { next_ms: NOT_GRANTOR_MS };
        }
        let given = self
            .given
            .entry(upstream.clone())
            .or_insert_with(|| Window::new(WINDOW_MS));
        if given.count(now) < most {
            given.record(now);
            return RightAnswer::Granted;
        }
        let oldest_ms = given.oldest().map_or(0, |at| now.since(at));
        let left_ms = WINDOW_MS.saturating_sub(oldest_ms).max(1);
        let next_ms = u32::try_from(left_ms).unwrap_or(u32::MAX);
        RightAnswer::Denied { next_ms }
    }

    /// Answers who asks for a right to send to an upstream in need.
    ///
    /// Rights come evenly at the rate, from none at the beginning: the grantor
    /// before this one may just have given out what there was.
    pub fn answer_limited(
        &mut self,
        upstream: &UpstreamId,
        rate: RequestRate,
        now: Millis,
    ) -> RightAnswer {
        if !self.may_grant(upstream, now) {
            return RightAnswer::Denied { next_ms: NOT_GRANTOR_MS };
        }
        let rate = rate.per_second();
        let limited =
            self.limited.entry(upstream.clone()).or_insert_with(|| Limited {
                rights: TokenBucket::new_empty(rate, LIMITED_BURST_S, now),
                asked: now,
            });
        limited.asked = now;
        limited.rights.set_rate(rate, LIMITED_BURST_S, now);
        match limited.rights.try_take(1.0, now) {
            Ok(()) => RightAnswer::Granted,
            Err(left_ms) => {
                let next_ms = u32::try_from(left_ms).unwrap_or(u32::MAX);
                RightAnswer::Denied { next_ms }
            }
        }
    }

    /// Tells whether this gateway may give out rights now.
    fn may_grant(&self, upstream: &UpstreamId, now: Millis) -> bool {
        let has_stood_still = now.since(self.heard) >= STOOD_STILL_MS;
        !has_stood_still && self.is_grantor(upstream, now)
    }

    /// Forgets upstreams to which no right was given out lately.
    pub fn sweep(&mut self, now: Millis) {
        self.limited.retain(|_, one| now.since(one.asked) < KEEP_LIMITED_MS);
        self.given.retain(|_, given| given.count(now) > 0);
    }
}
