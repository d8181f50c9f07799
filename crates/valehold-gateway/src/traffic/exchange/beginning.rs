//! Sends a request and receives the beginning of the answer.

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use valehold_core::fleet::{Upstream, cold::SendPermit, event::EventOrder};

use super::{
    super::{
        answer::Relay,
        choose::Chosen,
        crashes::{self, AfterClose},
        route::Job,
        send::{BegunAnswer, SendFailure, send},
        state::App,
    },
    ReceivedAnswer,
};

/// The maximum size in bytes of an answer that is not streamed.
const MAX_ANSWER_BYTES: usize = 16 << 20;

/// Sends a request, and receives the whole answer or the first events of a
/// stream.
pub(super) async fn begin(
    app: &App,
    job: &Job,
    chosen: &Chosen,
    permit: Option<SendPermit>,
    order: &mut EventOrder,
) -> Result<ReceivedAnswer, SendFailure> {
    let upstream = &chosen.upstream;
    let variant = job.bound_variant();
    let (start, sent) = (upstream.start(), app.now());
    app.shared.brittle().on_send(&start, app.now());
    let in_flight = app.track_in_flight(&start, variant, chosen.read_tokens);
    let begun = send(app, job, upstream, permit, order.last()).await?;
    let head = begun.head.clone();
    if !(job.route.streaming && head.status.is_success()) {
        let (body, after_close) =
            read_whole(app, job, upstream, begun).await?;
        if head.status.is_success() && after_close == AfterClose::Alive {
            crashes::record_answer(app, job, sent);
        }
        return Ok(ReceivedAnswer::Whole { head, body });
    }
    let mut relay = Relay::new(upstream.clone(), job, begun, in_flight);
    let first = relay.first_events(app, job, order).await?;
    relay.hold(first);
    Ok(ReceivedAnswer::Stream { head, relay: Box::new(relay) })
}

/// Reads the body of an answer that is not streamed. Returns the connection to
/// the pool if the connection can be reused.
///
/// Returns the body, and what is known of the upstream after its end.
async fn read_whole(
    app: &App,
    job: &Job,
    upstream: &Upstream,
    begun: BegunAnswer,
) -> Result<(Bytes, AfterClose), SendFailure> {
    let reading = Limited::new(begun.body, MAX_ANSWER_BYTES).collect();
    let collected = reading.await.map_err(|_| SendFailure::cut_off())?;
    if let Some(reuse) = begun.reuse {
        app.pool.put_back(&upstream.start(), begun.sender, reuse);
    }
    let after_close = match begun.ends_with_connection {
        true => crashes::after_close(app, job, upstream).await,
        false => AfterClose::Alive,
    };
    match after_close {
        AfterClose::Crashed => Err(SendFailure::cut_off()),
        state => Ok((collected.to_bytes(), state)),
    }
}
