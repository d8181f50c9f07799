//! Sends a request and receives the beginning of the answer.

use std::{pin::Pin, rc::Rc};

use tokio::time::Instant;
use valehold_core::{
    Millis,
    fleet::{Upstream, cold::SendPermit, event::EventOrder},
};

use super::{
    super::{
        after_close,
        answer::Relay,
        buffered::{BufferedBody, ReadBodyError, read_body},
        choose::Chosen,
        crashes,
        route::Job,
        send::{BegunAnswer, SendFailure, send},
        state::App,
    },
    ReceivedAnswer,
};

/// A send of a request whose answer has not begun.
pub(super) struct PendingSend {
    pub(super) chosen: Chosen,
    /// The position of the send in the record of the request.
    pub(super) position: usize,
    pub(super) sent_at: Millis,
    pub(super) sent: Instant,
    /// Completes when the answer begins, the send fails, or the request is
    /// refused because it crashes upstreams.
    pub(super) beginning: Pin<Box<dyn Future<Output = Begun>>>,
}

/// The outcome of a send up to the point from which an answer can be relayed.
pub(super) struct Begun {
    /// The position in the event stream after the first events.
    pub(super) order: EventOrder,
    pub(super) result: Result<ReceivedAnswer, SendFailure>,
}

impl PendingSend {
    /// Begins to send a request.
    pub(super) fn new(
        app: &Rc<App>,
        job: &Rc<Job>,
        chosen: &Chosen,
        permit: Option<SendPermit>,
        order: EventOrder,
        position: usize,
    ) -> Self {
        let sent_at = app.now();
        let (app, job) = (app.clone(), job.clone());
        let owned = chosen.clone();
        let beginning = async move {
            let mut order = order;
            let upstream = &owned.upstream;
            let cancelled =
                crashes::until_cancelled(&app, &job, upstream, sent_at);
            let result = tokio::select! {
                result = begin(&app, &job, &owned, permit, &mut order) => result,
                () = cancelled => Err(SendFailure::broken()),
            };
            Begun { order, result }
        };
        Self {
            chosen: chosen.clone(),
            position,
            sent_at,
            sent: Instant::now(),
            beginning: Box::pin(beginning),
        }
    }

    /// Returns the time since the send, in ms.
    pub(super) fn took_ms(&self) -> f64 {
        self.sent.elapsed().as_secs_f64() * 1_000.0
    }
}

/// Sends a request, and receives the whole answer or the first events of a
/// stream.
async fn begin(
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
        let body = read_whole(app, job, upstream, begun).await?;
        if head.status.is_success() {
            crashes::record_answer(app, job, sent);
        }
        return Ok(ReceivedAnswer::Whole { head, body });
    }
    let mut relay = Relay::new(app, upstream.clone(), job, begun, in_flight);
    let first = relay.first_events(app, job, order).await?;
    relay.hold(first);
    Ok(ReceivedAnswer::Stream { head, relay: Box::new(relay) })
}

/// Reads the body of an answer that is not streamed. Returns the connection to
/// the pool if the connection can be reused.
///
/// # Errors
///
/// If the answer broke off, has no room, or is not shown to be whole.
async fn read_whole(
    app: &App,
    job: &Job,
    upstream: &Upstream,
    begun: BegunAnswer,
) -> Result<BufferedBody, SendFailure> {
    let reading = read_body(&app.buffered, begun.body).await;
    let body = reading.map_err(|error| {
        log::debug!("the answer of {}: {error}", upstream.id);
        match error {
            ReadBodyError::BrokenOff(_) => SendFailure::cut_off(),
            ReadBodyError::NoRoom(_) => SendFailure::broken(),
        }
    })?;
    if let Some(reuse) = begun.reuse {
        app.pool.put_back(&upstream.start(), begun.sender, reuse);
    }
    let is_whole = !begun.ends_with_connection
        || after_close::is_whole(app, job, upstream, app.now()).await;
    match is_whole {
        true => Ok(body),
        false => Err(SendFailure::cut_off()),
    }
}
