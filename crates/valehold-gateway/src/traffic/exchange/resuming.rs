//! Resumes streams at other engines.

use valehold_core::{Millis, Verdict, fleet::Upstream, reason::RetryReason};

use super::{
    super::{answer::Relay, choose::choose_with_permit, crashes},
    Exchange, MAX_TRIES, ReceivedAnswer,
};

impl Exchange {
    /// Resumes a stream that broke off or is silent: sends the request to other
    /// upstreams until one continues the stream after the last relayed event.
    pub(in super::super) async fn resume(
        &mut self,
        broken: &Upstream,
    ) -> Option<Relay> {
        let resumed = self.try_to_resume(broken).await;
        self.silent.clear();
        resumed
    }

    async fn try_to_resume(&mut self, broken: &Upstream) -> Option<Relay> {
        let start = &broken.start();
        self.app.update_health(start, |h, now| h.record_failure(now));
        self.record.record_break_off();
        self.exclude(&start.id, true);
        crashes::wait_for_probe(&self.app, &self.job, broken).await;
        for _ in 0..MAX_TRIES {
            if crashes::is_refused(&self.app, &self.job)
                || !self.try_take_retry(Verdict::MayHaveRun)
            {
                break;
            }
            let choosing =
                choose_with_permit(&self.app, &self.job, &self.tried);
            let Ok((chosen, permit)) = choosing.await else { break };
            self.app.shared.metrics.retried(RetryReason::StreamResumed);
            match self.attempt(&chosen, permit).await {
                Ok(ReceivedAnswer::Stream { relay, .. }) => {
                    return Some(*relay);
                }
                Ok(ReceivedAnswer::Whole { .. }) => {
                    self.exclude(&chosen.upstream.id, true);
                }
                Err(failure) => {
                    self.record.record_failure(&failure);
                    let start = chosen.upstream.start();
                    self.on_cut_off(&chosen, failure, self.sent_at);
                    self.record_rejection(&start, failure);
                    self.exclude(&start.id, failure.arrived);
                    let upstream = &chosen.upstream;
                    crashes::wait_for_probe(&self.app, &self.job, upstream)
                        .await;
                }
            }
        }
        let refusal = self.refuse_as_failed(None);
        let received = self.wait_for_silent(refusal).await;
        received.ok()?.into_relay()
    }

    /// Goes on with the upstream of the send at a position in the record, which
    /// was sent at `sent`, in place of the one that was tried last.
    pub(in super::super) fn go_on_with(
        &mut self,
        position: usize,
        sent: Millis,
    ) {
        self.silent.clear();
        self.supersede(self.record.position());
        self.record.record_going_on(position);
        self.sent_at = sent;
    }

    /// Returns whether the time of the request is over.
    pub(in super::super) fn is_over(&self) -> bool {
        self.left().is_zero()
    }
}
