//! How a request ends that gets no answer from an upstream.

use valehold_core::{Millis, Verdict, reason::RefusalReason};

use super::{
    super::{
        choose::{NoChoice, choose},
        crashes,
        refusal::Refusal,
    },
    Exchange, MIN_TIME_LEFT,
};

/// In how many ms to come back when no upstream takes a request.
pub(super) const NO_UPSTREAM_COME_BACK_MS: u64 = 400;

/// Over how many ms callers that come back for the same upstream are spread:
/// twice as long as the first request after its rest goes alone.
const RETURN_SPREAD_MS: u64 = 400;

/// The part of its time that a caller is told to wait at the most.
const MOST_COME_BACK: f64 = 0.3;

impl Exchange {
    /// Returns how long the caller can be told to wait.
    fn most_wait_ms(&self) -> u64 {
        let most = self.left().mul_f64(MOST_COME_BACK);
        Millis::from(most).get().max(1)
    }

    /// Refuses a request that crashes the upstreams that run it, with when it
    /// may run again: a caller that is told to come back sooner would be
    /// refused again.
    pub(super) fn refuse_if_it_crashes(&self) -> Result<(), Refusal> {
        let left_ms = crashes::remaining_refusal_ms(&self.app, &self.job);
        let Some(left_ms) = left_ms else { return Ok(()) };
        let reason = RefusalReason::CrashesUpstreams;
        Err(match self.verdict {
            Verdict::NotRun => Refusal::not_run(reason, left_ms),
            _ => Refusal::may_have_run(reason),
        })
    }

    /// Refuses a request that only upstreams which rest could take.
    pub(super) fn refuse_for_rest(&self, retry_after_ms: u64) -> Refusal {
        self.refuse_until(RefusalReason::UpstreamsResting, retry_after_ms)
    }

    /// Refuses a request that only upstreams in need could take.
    pub(super) fn refuse_for_limit(&self, retry_after_ms: u64) -> Refusal {
        self.refuse_until(RefusalReason::UpstreamsLimited, retry_after_ms)
    }

    /// Refuses a request with when an upstream may take one; callers that wait
    /// for the same moment come back one after the other.
    fn refuse_until(
        &self,
        reason: RefusalReason,
        retry_after_ms: u64,
    ) -> Refusal {
        let spread_ms = rand::random_range(0..=RETURN_SPREAD_MS);
        self.give_up(reason, Some(retry_after_ms + spread_ms))
    }

    /// Refuses a request that all upstreams which it was sent to turned away
    /// or failed: at once it could go to another one, or not before one that
    /// rests may be asked again.
    pub(super) fn refuse_as_failed(&self, asked_ms: Option<u64>) -> Refusal {
        if self.verdict != Verdict::NotRun {
            return self.give_up(RefusalReason::UpstreamFailed, None);
        }
        let come_back_ms = match choose(&self.app, &self.job, &[]) {
            Err(NoChoice::AllBackingOff { retry_after_ms }) => {
                return self.refuse_for_rest(retry_after_ms);
            }
            Err(NoChoice::AllLimited { retry_after_ms }) => {
                return self.refuse_for_limit(retry_after_ms);
            }
            Err(NoChoice::WouldBeLate { retry_after_ms, .. }) => {
                Some(retry_after_ms)
            }
            Err(_) => asked_ms,
            Ok(_) => None,
        };
        self.give_up(RefusalReason::UpstreamFailed, come_back_ms)
    }

    /// Returns the refusal that ends the request: whether it may have run,
    /// and if not, when to come back.
    pub(super) fn give_up(
        &self,
        reason: RefusalReason,
        come_back_ms: Option<u64>,
    ) -> Refusal {
        let is_late = self.left() <= MIN_TIME_LEFT;
        let reason = match reason {
            RefusalReason::UpstreamFailed if is_late => {
                RefusalReason::TimedOut
            }
            reason => reason,
        };
        match self.verdict {
            Verdict::NotRun => {
                let come_back =
                    come_back_ms.unwrap_or(NO_UPSTREAM_COME_BACK_MS);
                Refusal::not_run(reason, come_back.min(self.most_wait_ms()))
            }
            _ => Refusal::may_have_run(reason),
        }
    }
}
