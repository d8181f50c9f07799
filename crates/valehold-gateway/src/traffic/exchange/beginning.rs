//! Sending a request, and taking the beginning of its answer.

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use valehold_core::fleet::{Upstream, cold::SendPermit, event::EventOrder};

use super::{
    super::{
        answer::Relay,
        choose::Chosen,
        route::Job,
        send::{BegunAnswer, SendFailure, send},
        state::App,
    },
    Passable,
};

/// The most bytes of an answer that is passed on whole.
const MOST_ANSWER_BYTES: usize = 16 << 20;

/// Sends a request, and takes its whole answer or a stream's first events.
pub(super) async fn begin(
    app: &App,
    job: &Job,
    chosen: &Chosen,
    right: Option<SendPermit>,
    order: &mut EventOrder,
) -> Result<Passable, SendFailure> {
    let upstream = &chosen.upstream;
    let asked = job.asked();
    let start = upstream.start();
    let under_way = app.under_way(&start, asked, chosen.read_tokens);
    let begun = send(app, job, upstream, right, order.last()).await?;
    let head = begun.head.clone();
    if !(job.route.streaming && head.status.is_success()) {
        let body = take_whole(app, upstream, begun).await?;
        return Ok(Passable::Whole { head, body });
    }
    let mut relay = Relay::new(upstream.clone(), job, begun, under_way);
    let first = relay.first_events(app, order).await?;
    relay.hold(first);
    Ok(Passable::Stream { head, relay: Box::new(relay) })
}

/// Takes the body of a whole answer.
async fn take_whole(
    app: &App,
    upstream: &Upstream,
    begun: BegunAnswer,
) -> Result<Bytes, SendFailure> {
    let taking = Limited::new(begun.body, MOST_ANSWER_BYTES).collect();
    let taken = taking.await.map_err(|_| SendFailure::cut_off())?;
    if let Some(reuse) = begun.reuse {
        app.pool.put_back(&upstream.start(), begun.sender, reuse.stated);
    }
    Ok(taken.to_bytes())
}
