//! Refusals of requests that get no answer from an upstream.

use valehold_core::{Millis, Verdict, reason::RefusalReason};

use super::{
    super::{
        choose::{NoChoice, choose},
        crashes::{self, CrashRefusal},
        refusal::Refusal,
    },
    Exchange, MIN_TIME_LEFT,
};

/// The time after which to retry when no upstream is available, in ms.
pub(super) const NO_UPSTREAM_RETRY_AFTER_MS: u64 = 400;

/// The time after which to retry at another gateway while this one stops, in
/// ms.
const STOPPING_RETRY_AFTER_MS: u64 = 20;

/// How much longer than the mean of its model a stream may take.
const MAX_STREAM_FACTOR: f64 = 2.0;

/// The part of the objective that a stream may take to begin, as a divisor.
const BEGIN_FRACTION: u64 = 4;

/// The range over which the retries of callers that wait for the same upstream
/// are spread, in ms. The range is twice as long as the time after a backoff
/// in which the upstream receives only one request.
const RETRY_SPREAD_MS: u64 = 400;

/// The maximum delay before a retry, as a fraction of the time that the caller
/// still waits.
const MAX_RETRY_DELAY_FRACTION: f64 = 0.3;

impl Exchange {
    /// Returns the maximum delay before a retry that the caller can be given,
    /// in ms.
    fn max_retry_delay_ms(&self) -> u64 {
        let left = self.left_for_retries();
        let max_delay = left.mul_f64(MAX_RETRY_DELAY_FRACTION);
        Millis::from(max_delay).get().max(1)
    }

    /// Refuses a request that crashes upstreams, or whose prompt has a part
    /// that does. The refusal states the full
    /// time until the request may run again, because a caller that retries
    /// sooner would be refused again.
    pub(super) fn refuse_if_it_crashes(&self) -> Result<(), Refusal> {
        let refusal = crashes::current_refusal(&self.app, &self.job);
        let Some(CrashRefusal { reason, left_ms }) = refusal else {
            return Ok(());
        };
        Err(match self.verdict {
            Verdict::NotRun => Refusal::not_run(reason, left_ms),
            _ => Refusal::may_have_run(reason),
        })
    }

    /// Refuses a stream that would probably be cut off by a stop of this gateway
    /// that has begun. Others can serve it whole.
    pub(super) fn refuse_if_stopping(&self) -> Result<(), Refusal> {
        let job = &self.job;
        let is_cut = self.app.request_end(job.deadline) < job.deadline;
        if !is_cut || !job.route.streaming {
            return Ok(());
        }
        let left_ms = Millis::from(self.left()).get();
        match self.needed_ms() > left_ms {
            true => Err(Refusal::not_run(
                RefusalReason::Stopping,
                STOPPING_RETRY_AFTER_MS,
            )),
            false => Ok(()),
        }
    }

    /// Returns the time that a stream may need, in ms.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    fn needed_ms(&self) -> u64 {
        let variant = self.job.request.variant.as_ref();
        let expected_ms =
            variant.map_or(0.0, |one| self.app.expected_slot_ms(&one.model));
        let begin_ms = self.job.route.begin_within_ms / BEGIN_FRACTION;
        begin_ms + (expected_ms * MAX_STREAM_FACTOR) as u64
    }

    /// Returns the refusal for a request whose available upstreams are all in
    /// a backoff.
    pub(super) fn refuse_for_backoff(&self, retry_after_ms: u64) -> Refusal {
        self.refuse_with_spread(
            RefusalReason::UpstreamsResting,
            retry_after_ms,
        )
    }

    /// Returns the refusal for a request whose available upstreams are all
    /// rate-limited.
    pub(super) fn refuse_for_limit(&self, retry_after_ms: u64) -> Refusal {
        self.refuse_with_spread(
            RefusalReason::UpstreamsLimited,
            retry_after_ms,
        )
    }

    /// Returns the refusal for a request whose available upstreams are all
    /// brittle and may have no room.
    pub(super) fn refuse_for_room(
        &self,
        retry_after_ms: Option<u64>,
    ) -> Refusal {
        self.refuse_with_spread(
            RefusalReason::UpstreamsBrittle,
            retry_after_ms.unwrap_or(NO_UPSTREAM_RETRY_AFTER_MS),
        )
    }

    /// Returns a refusal that states when an upstream may accept a request.
    /// A random delay is added, so that callers that wait for the same moment
    /// do not retry all at once.
    fn refuse_with_spread(
        &self,
        reason: RefusalReason,
        retry_after_ms: u64,
    ) -> Refusal {
        let spread_ms = rand::random_range(0..=RETRY_SPREAD_MS);
        self.give_up(reason, Some(retry_after_ms + spread_ms))
    }

    /// Returns the refusal for a request that every tried upstream rejected or
    /// failed to answer.
    ///
    /// If an upstream, tried or not, could accept the request, the default
    /// delay applies. Otherwise the refusal states when an upstream may accept
    /// a request, if that is known, and else `backoff_ms`, the backoff that
    /// the last upstream requested.
    pub(super) fn refuse_as_failed(&self, backoff_ms: Option<u64>) -> Refusal {
        if self.verdict != Verdict::NotRun {
            return self.give_up(RefusalReason::UpstreamFailed, None);
        }
        let retry_after_ms = match choose(&self.app, &self.job, &[]) {
            Err(NoChoice::AllBackingOff { retry_after_ms }) => {
                return self.refuse_for_backoff(retry_after_ms);
            }
            Err(NoChoice::AllLimited { retry_after_ms }) => {
                return self.refuse_for_limit(retry_after_ms);
            }
            Err(NoChoice::AllBrittle { retry_after_ms }) => {
                return self.refuse_for_room(retry_after_ms);
            }
            Err(NoChoice::WouldBeLate { retry_after_ms, .. }) => {
                Some(retry_after_ms)
            }
            Err(_) => backoff_ms,
            Ok(_) => None,
        };
        self.give_up(RefusalReason::UpstreamFailed, retry_after_ms)
    }

    /// Returns the refusal that ends the request. The refusal states whether
    /// the request may have run and, if it did not run, when to retry.
    pub(super) fn give_up(
        &self,
        reason: RefusalReason,
        retry_after_ms: Option<u64>,
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
                let delay_ms =
                    retry_after_ms.unwrap_or(NO_UPSTREAM_RETRY_AFTER_MS);
                Refusal::not_run(
                    reason,
                    delay_ms.min(self.max_retry_delay_ms()),
                )
            }
            _ => Refusal::may_have_run(reason),
        }
    }
}
