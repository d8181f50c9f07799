//! Passing an upstream's answer on to the caller.

use std::{sync::Arc, time::Duration};

use bytes::{Bytes, BytesMut};
use futures::stream;
use http::{HeaderValue, Response, StatusCode, header};
use http_body::Frame;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::{body::Incoming, client::conn::http1::SendRequest};
use tokio::time::Instant;
use valehold_core::fleet::{
    Upstream, UpstreamStart, Variant,
    event::{EventOrder, EventPosition, EventSplitter},
};

use super::{
    Body, BrokenOff,
    exchange::{Exchange, ReceivedAnswer},
    route::Job,
    send::{BegunAnswer, Rest, SendFailure},
    state::{App, InFlightGuard},
};
use crate::view::Life;

/// After which pause a resumable stream is taken up at another engine, if one
/// can.
const LONGEST_PAUSE: Duration = Duration::from_millis(1_500);

/// An upstream's stream, from which whole events are taken.
pub(super) struct Relay {
    upstream: Arc<Upstream>,
    body: Incoming,
    sender: Option<SendRequest<Full<Bytes>>>,
    rest: Option<Rest>,
    splitter: EventSplitter,
    under_way: InFlightGuard,
    variant: Option<Variant>,
    began: Instant,
    /// Events that were taken and not passed on yet.
    held: Option<Bytes>,
}

/// What came next of a stream.
enum Next {
    Events(Bytes),
    End,
}

impl Relay {
    pub(super) fn new(
        upstream: Arc<Upstream>,
        job: &Job,
        begun: BegunAnswer,
        under_way: InFlightGuard,
    ) -> Self {
        Self {
            upstream,
            body: begun.body,
            sender: Some(begun.sender),
            rest: begun.rest,
            splitter: EventSplitter::default(),
            under_way,
            variant: job.request.variant.clone(),
            began: Instant::now(),
            held: None,
        }
    }

    /// Waits for the first events.
    pub(super) async fn first_events(
        &mut self,
        app: &App,
        order: &mut EventOrder,
    ) -> Result<Bytes, SendFailure> {
        let next = self.next(app, order).await;
        let next = next.map_err(|BrokenOff| SendFailure::cut_off())?;
        self.under_way.prompt_prefilled();
        self.began = Instant::now();
        match next {
            Next::Events(bytes) => Ok(bytes),
            // A whole stream without events is one, too.
            Next::End => Ok(Bytes::new()),
        }
    }

    /// Keeps events until the answer is passed on.
    pub(super) fn hold(&mut self, events: Bytes) {
        self.held = Some(events);
    }

    /// Tells whether events were taken that are to be passed on.
    pub(super) fn has_output(&self) -> bool {
        self.held.as_ref().is_some_and(|held| !held.is_empty())
    }

    async fn next(
        &mut self,
        app: &App,
        order: &mut EventOrder,
    ) -> Result<Next, BrokenOff> {
        if let Some(held) = self.held.take() {
            return Ok(Next::Events(held));
        }
        loop {
            let events = self.whole_events(order)?;
            if !events.is_empty() {
                return Ok(Next::Events(events));
            }
            match self.body.frame().await {
                Some(Ok(frame)) => {
                    if let Some(bytes) = frame.data_ref() {
                        self.splitter.push(bytes);
                    }
                }
                Some(Err(error)) => {
                    log::debug!("{} broke off: {error}", self.upstream.id);
                    return Err(BrokenOff);
                }
                None if self.splitter.has_pending() => return Err(BrokenOff),
                None => {
                    self.let_rest(app);
                    return Ok(Next::End);
                }
            }
        }
    }

    fn whole_events(
        &mut self,
        order: &mut EventOrder,
    ) -> Result<Bytes, BrokenOff> {
        let mut all = BytesMut::new();
        loop {
            let event = self.splitter.next_event().map_err(|_| BrokenOff)?;
            let Some(event) = event else { return Ok(all.freeze()) };
            match order.advance(event.id) {
                EventPosition::Next => all.extend_from_slice(&event.bytes),
                EventPosition::Duplicate => {}
                EventPosition::Gap => return Err(BrokenOff),
            }
        }
    }

    fn let_rest(&mut self, app: &App) {
        let took_ms = self.began.elapsed().as_secs_f64() * 1_000.0;
        if let Some(variant) = &self.variant {
            app.record_slot_time(&variant.model, took_ms);
        }
        if let (Some(sender), Some(rest)) = (self.sender.take(), self.rest) {
            app.pool.rest(&self.upstream.start(), sender, rest.stated);
        }
    }

    fn upstream_start(&self) -> UpstreamStart {
        self.upstream.start()
    }
}

/// A stream on its way to the caller.
struct Passing {
    exchange: Exchange,
    relay: Option<Relay>,
}

impl Passing {
    /// Returns the next events; `None` at the end.
    async fn next(&mut self) -> Option<Result<Bytes, BrokenOff>> {
        loop {
            let relay = self.relay.as_mut()?;
            let app = self.exchange.app.clone();
            let mut order = self.exchange.order;
            let start = relay.upstream_start();
            let taking = relay.next(&app, &mut order);
            let taken = self
                .exchange
                .wait_for_upstream(&start.id, LONGEST_PAUSE, taking)
                .await;
            self.exchange.order = order;
            match taken {
                Some(Ok(Next::Events(events))) => {
                    self.exchange.record.record_relayed();
                    return Some(Ok(events));
                }
                Some(Ok(Next::End)) => {
                    self.relay = None;
                    self.exchange.log_answered(StatusCode::OK);
                    return None;
                }
                Some(Err(BrokenOff)) | None => {}
            }
            if let Err(broken) = self.resume().await {
                self.relay = None;
                self.exchange.log_broken_off();
                return Some(Err(broken));
            }
        }
    }

    /// Takes the stream up at another engine, if that is allowed.
    async fn resume(&mut self) -> Result<(), BrokenOff> {
        let relay = self.relay.take().ok_or(BrokenOff)?;
        let start = relay.upstream_start();
        // The engine stops working on it when its connection goes.
        drop(relay);
        let resumed = self.exchange.resume(&start).await;
        self.relay = Some(resumed.ok_or(BrokenOff)?);
        Ok(())
    }
}

/// Passes an answer on.
pub(super) fn pass(
    received: ReceivedAnswer,
    mut exchange: Exchange,
) -> Response<Body> {
    let leaving = exchange.app.shared.view.load().life != Life::Serving;
    let mut answer = match received {
        ReceivedAnswer::Whole { head, body } => {
            exchange.record.record_relayed();
            exchange.log_answered(head.status);
            let body = Full::new(body).map_err(BrokenOff::from);
            Response::from_parts(head, Box::pin(body) as Body)
        }
        ReceivedAnswer::Stream { head, relay } => {
            let passing = Passing { exchange, relay: Some(*relay) };
            let events = stream::unfold(passing, |mut passing| async {
                let next = passing.next().await?;
                Some((next.map(Frame::data), passing))
            });
            let body = Box::pin(StreamBody::new(events));
            Response::from_parts(head, body as Body)
        }
    };
    if leaving {
        let close = HeaderValue::from_static("close");
        answer.headers_mut().insert(header::CONNECTION, close);
    }
    answer
}
