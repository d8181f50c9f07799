//! Relays an upstream's answer to the caller.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use futures::stream;
use http::{HeaderValue, Response, StatusCode, header};
use http_body::Frame;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::{body::Incoming, client::conn::http1::SendRequest};
use tokio::time::Instant;
use valehold_core::{
    Millis,
    fleet::{
        Upstream, Variant,
        event::{EventOrder, EventSplitter},
    },
};

use super::{
    Body, BrokenOff, after_close,
    buffered::BufferedBytes,
    crashes,
    exchange::{Exchange, ReceivedAnswer},
    pool::Reuse,
    route::Job,
    send::{BegunAnswer, SendFailure},
    state::{App, InFlightGuard},
};
use crate::{clock::LastLooks, view::Life};

/// The pause after which a resumable stream is continued at another engine, if
/// one is eligible.
const MAX_PAUSE: Duration = Duration::from_millis(1_500);

/// For how long what has arrived is still passed on after the time of a request
/// is over, in ms. Less than a stopping gateway has left by then.
const LAST_READ_MS: u64 = 80;

/// How often that is looked at.
const LAST_READ_INTERVAL: Duration = Duration::from_millis(5);

/// Reads complete events from an upstream's stream.
pub(super) struct Relay {
    upstream: Arc<Upstream>,
    body: Incoming,
    sender: Option<SendRequest<Full<Bytes>>>,
    reuse: Option<Reuse>,
    splitter: EventSplitter,
    /// Counts the bytes in the splitter.
    buffered: BufferedBytes,
    in_flight: InFlightGuard,
    /// Whether only the end of the connection ends the body, and the answer is
    /// not shown to be whole yet.
    ends_with_connection: bool,
    /// When the end of the body was read.
    ended_at: Option<Millis>,
    variant: Option<Variant>,
    began: Instant,
    /// Events that were read and not passed on yet.
    held: Option<Bytes>,
    /// How the body ended, once it has.
    ended: Option<BodyEnd>,
}

/// How the body of an answer ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum BodyEnd {
    Regular,
    BrokenOff,
}

/// The next item of a stream.
enum Next {
    Events(Bytes),
    /// The end of a whole answer.
    End,
}

impl Relay {
    pub(super) fn new(
        app: &App,
        upstream: Arc<Upstream>,
        job: &Job,
        begun: BegunAnswer,
        in_flight: InFlightGuard,
    ) -> Self {
        Self {
            upstream,
            body: begun.body,
            sender: Some(begun.sender),
            reuse: begun.reuse,
            ends_with_connection: begun.ends_with_connection,
            ended_at: None,
            splitter: EventSplitter::default(),
            buffered: app.buffered.begin(),
            in_flight,
            variant: job.request.variant.clone(),
            began: Instant::now(),
            held: None,
            ended: None,
        }
    }

    /// Waits for the first events.
    pub(super) async fn first_events(
        &mut self,
        app: &App,
        job: &Job,
        order: &mut EventOrder,
    ) -> Result<Bytes, SendFailure> {
        let next = self.next(app, job, order).await;
        let next = next.map_err(|BrokenOff| SendFailure::cut_off())?;
        self.in_flight.prompt_prefilled();
        self.began = Instant::now();
        match next {
            Next::Events(bytes) => Ok(bytes),
            // A complete stream without events is also an answer.
            Next::End => Ok(Bytes::new()),
        }
    }

    /// Holds events until the answer is passed on.
    pub(super) fn hold(&mut self, events: Bytes) {
        self.held = Some(events);
    }

    async fn next(
        &mut self,
        app: &App,
        job: &Job,
        order: &mut EventOrder,
    ) -> Result<Next, BrokenOff> {
        if let Some(held) = self.held.take() {
            return Ok(Next::Events(held));
        }
        loop {
            let events = self.complete_events(order);
            if !events.is_empty() {
                return Ok(Next::Events(events));
            }
            match self.ended {
                None => self.read_frame().await,
                Some(BodyEnd::BrokenOff) => return Err(BrokenOff),
                Some(BodyEnd::Regular) if self.splitter.has_pending() => {
                    return Err(BrokenOff);
                }
                Some(BodyEnd::Regular) => return self.end(app, job).await,
            }
        }
    }

    /// Reads more of the body, or its end.
    async fn read_frame(&mut self) {
        match self.body.frame().await {
            Some(Ok(frame)) => {
                if let Some(bytes) = frame.data_ref() {
                    self.splitter.push(bytes);
                }
                let held = self.splitter.pending_bytes();
                if let Err(error) = self.buffered.set(held) {
                    log::debug!("{}: {error}", self.upstream.id);
                    self.ended = Some(BodyEnd::BrokenOff);
                }
            }
            Some(Err(error)) => {
                log::debug!(
                    "{} ended the stream early: {error}",
                    self.upstream.id
                );
                self.ended = Some(BodyEnd::BrokenOff);
            }
            None => self.ended = Some(BodyEnd::Regular),
        }
    }

    /// Returns whether the stream is known to have broken off.
    fn has_broken_off(&self) -> bool {
        self.ended == Some(BodyEnd::BrokenOff)
    }

    /// Waits until the stream goes on or has come to its regular end. Never
    /// completes if the stream breaks off.
    async fn wait_until_it_goes_on(&mut self) {
        if self.ended.is_none() {
            self.read_frame().await;
        }
        if self.has_broken_off() {
            std::future::pending().await
        }
    }

    /// Returns the events that can be passed on. A fault after them counts as a
    /// break of the stream.
    fn complete_events(&mut self, order: &mut EventOrder) -> Bytes {
        let events = self.splitter.next_events(order);
        if let Some(fault) = events.fault {
            log::debug!("the stream of {}: {fault}", self.upstream.id);
            self.splitter = EventSplitter::default();
            self.ended = Some(BodyEnd::BrokenOff);
        }
        events.bytes
    }

    /// Handles the end of the body, which is an error if the answer is not
    /// shown to be whole.
    async fn end(&mut self, app: &App, job: &Job) -> Result<Next, BrokenOff> {
        if self.ends_with_connection {
            // The caller may give this call up and repeat it.
            let ended = *self.ended_at.get_or_insert_with(|| app.now());
            if !after_close::is_whole(app, job, &self.upstream, ended).await {
                return Err(BrokenOff);
            }
            self.ends_with_connection = false;
        }
        self.finish(app);
        Ok(Next::End)
    }

    fn finish(&mut self, app: &App) {
        let took_ms = self.began.elapsed().as_secs_f64() * 1_000.0;
        if let Some(variant) = &self.variant {
            app.record_slot_time(&variant.model, took_ms);
        }
        if let (Some(sender), Some(reuse)) = (self.sender.take(), self.reuse) {
            app.pool.put_back(&self.upstream.start(), sender, reuse);
        }
    }

    /// Returns the time since the first output.
    fn output_time(&self) -> Duration {
        self.began.elapsed()
    }
}

/// Relays a stream to the caller, and resumes it at another engine if its
/// upstream fails.
struct StreamRelay {
    exchange: Exchange,
    relay: Option<Relay>,
    /// Whether the upstream of `relay` has outlived the request.
    is_outlived: bool,
    /// When the time of the request was first seen to be over, and the reads
    /// since then.
    over: Option<(Millis, LastLooks)>,
}

impl StreamRelay {
    /// Returns the next events; `None` at the end.
    async fn next(&mut self) -> Option<Result<Bytes, BrokenOff>> {
        loop {
            if self.relay.is_some() && self.is_time_up() {
                self.relay = None;
                return Some(self.break_off().await);
            }
            let relay = self.relay.as_mut()?;
            let app = self.exchange.app.clone();
            let mut order = self.exchange.order;
            let upstream = relay.upstream.clone();
            let reading = relay.next(&app, &self.exchange.job, &mut order);
            let read = self
                .exchange
                .wait_for_upstream(&upstream.start(), MAX_PAUSE, reading)
                .await;
            self.exchange.order = order;
            match read {
                Some(Ok(Next::Events(events))) => {
                    self.exchange.record.record_relayed();
                    self.record_if_outlived();
                    return Some(Ok(events));
                }
                Some(Ok(Next::End)) => {
                    self.record_outlived();
                    self.relay = None;
                    self.exchange.log_answered(StatusCode::OK);
                    return None;
                }
                Some(Err(BrokenOff)) => {
                    if !self.is_outlived {
                        let sent = self.exchange.sent_at();
                        let job = &self.exchange.job;
                        crashes::on_break_off(&app, job, &upstream, sent);
                    }
                    self.relay = self.resume(&upstream).await;
                }
                // What has arrived meanwhile is passed on.
                None if self.exchange.is_over() => {
                    tokio::time::sleep(LAST_READ_INTERVAL).await;
                }
                None => self.take_over().await,
            }
            if self.relay.is_none() {
                return Some(self.break_off().await);
            }
        }
    }

    /// Returns whether the time of the request is over, also for what arrived
    /// before: the gateway may have been suspended until now. A stream that
    /// never pauses has no more time than others.
    fn is_time_up(&mut self) -> bool {
        if !self.exchange.is_over() {
            return false;
        }
        let now = self.exchange.app.now();
        let begin = || (now, LastLooks::begin());
        let (since, reads) = self.over.get_or_insert_with(begin);
        reads.are_over() && now.since(*since) >= LAST_READ_MS
    }

    /// Breaks the answer off.
    async fn break_off(&mut self) -> Result<Bytes, BrokenOff> {
        self.exchange.log_broken_off();
        // The connection writes what it was given before it is closed only if
        // the body waits in between.
        tokio::task::yield_now().await;
        Err(BrokenOff)
    }

    /// Records that the upstream has outlived the request, if the answer has
    /// gone on for long enough.
    fn record_if_outlived(&mut self) {
        let Some(relay) = &self.relay else { return };
        if relay.output_time() >= crashes::OUTLIVED_AFTER_OUTPUT {
            self.record_outlived();
        }
    }

    /// Records that the upstream has outlived the request.
    fn record_outlived(&mut self) {
        let Some(relay) = &self.relay else { return };
        if std::mem::replace(&mut self.is_outlived, true) {
            return;
        }
        let app = &self.exchange.app;
        let output_ms = Millis::from(relay.output_time()).get();
        let began = app.now().get().saturating_sub(output_ms);
        let job = &self.exchange.job;
        crashes::record_answer(app, job, Millis::new(began));
    }

    /// Resumes the stream at another engine, if that is allowed.
    async fn resume(&mut self, broken: &Upstream) -> Option<Relay> {
        // The engine stops generating when its connection is closed.
        self.relay = None;
        self.is_outlived = false;
        self.exchange.resume(broken).await
    }

    /// Tries to resume a silent stream at another engine. The silent engine may
    /// be sound, so its stream is given up only once another engine goes on
    /// with it.
    async fn take_over(&mut self) {
        let Some(mut silent) = self.relay.take() else { return };
        let position = self.exchange.record.position();
        let upstream = silent.upstream.clone();
        let sent = self.exchange.sent_at();
        let resumed = tokio::select! {
            biased;
            () = silent.wait_until_it_goes_on() => None,
            resumed = self.exchange.resume(&upstream) => resumed,
        };
        match resumed {
            Some(relay) => {
                if silent.has_broken_off() && !self.is_outlived {
                    let Exchange { app, job, .. } = &self.exchange;
                    crashes::on_break_off(app, job, &upstream, sent);
                }
                self.is_outlived = false;
                self.relay = Some(relay);
            }
            None => {
                self.exchange.go_on_with(position, sent);
                self.relay = Some(silent);
            }
        }
    }
}

/// Builds the response that relays an answer to the caller.
pub(super) fn into_response(
    received: ReceivedAnswer,
    mut exchange: Exchange,
) -> Response<Body> {
    let leaving = exchange.app.shared.view.load().life != Life::Serving;
    let mut answer = match received {
        ReceivedAnswer::Whole { head, body } => {
            exchange.record.record_relayed();
            exchange.log_answered(head.status);
            let body = body.map_err(BrokenOff::from);
            Response::from_parts(head, Box::pin(body) as Body)
        }
        ReceivedAnswer::Stream { head, relay } => {
            let relaying = StreamRelay {
                exchange,
                relay: Some(*relay),
                is_outlived: false,
                over: None,
            };
            let events = stream::unfold(relaying, |mut relaying| async {
                let next = relaying.next().await?;
                Some((next.map(Frame::data), relaying))
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
