//! Sends whose upstream is silent, while another upstream is tried.
//!
//! A silent upstream may be sound and go on. The request stays with it until
//! another one has begun to answer: the other one may reject the request, fail,
//! or be silent as well.

use std::task::Poll;

use super::{
    super::refusal::Refusal,
    Exchange, ReceivedAnswer,
    beginning::{Begun, PendingSend},
};

/// The silent sends of one request.
#[derive(Default)]
pub(super) struct SilentSends(Vec<PendingSend>);

impl SilentSends {
    pub(super) fn push(&mut self, send: PendingSend) {
        self.0.push(send);
    }

    pub(super) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Ends all silent sends.
    pub(super) fn clear(&mut self) {
        self.0.clear();
    }

    /// Removes and returns the first send whose outcome is known. Never
    /// completes if there is none.
    pub(super) async fn next(&mut self) -> (PendingSend, Begun) {
        std::future::poll_fn(|cx| {
            for index in 0..self.0.len() {
                let beginning = self.0[index].beginning.as_mut();
                if let Poll::Ready(begun) = beginning.poll(cx) {
                    return Poll::Ready((self.0.swap_remove(index), begun));
                }
            }
            Poll::Pending
        })
        .await
    }
}

impl Exchange {
    /// Waits until an upstream that was silent has begun to answer. Returns
    /// `refusal` if none does in time.
    pub(super) async fn wait_for_silent(
        &mut self,
        refusal: Refusal,
    ) -> Result<ReceivedAnswer, Refusal> {
        let (app, deadline) = (self.app.clone(), self.job.deadline);
        while !self.silent.is_empty() {
            let next = self.silent.next();
            let next = app.wait_for_request(deadline, next).await;
            let Some((send, begun)) = next else {
                return Err(self.refuse_as_failed(None));
            };
            if let Some(received) = self.on_silent(&send, begun) {
                self.silent.clear();
                return Ok(received);
            }
        }
        Err(refusal)
    }
}
