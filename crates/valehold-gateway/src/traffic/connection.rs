//! Serves one connection of a caller, decides when it ends, and records how.

use std::{
    cell::{Cell, RefCell},
    convert::Infallible,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
    time::Duration,
};

use bytes::Bytes;
use http::{Request, Response};
use http_body::{Frame, SizeHint};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use tokio::{net::TcpStream, sync::watch};
use valehold_core::Millis;

use super::{App, Body, BrokenOff, dispatch, dispatch::Listener};
use crate::{
    events::{ConnectionEnd, ConnectionEnded, Event},
    view::Life,
};

/// How much longer than allowed a connection may rest: for requests on a slow
/// link, and for a gateway that is behind on its work.
const CLOSE_DELAY_MS: u64 = 1_000;

/// Serves a connection to its end.
///
/// A connection at rest is closed once it has rested for too long or the
/// gateway finishes. Requests that have arrived by then are answered first.
pub(super) async fn serve(
    app: Rc<App>,
    listener: Listener,
    stream: TokioIo<TcpStream>,
    mut life: watch::Receiver<Life>,
) {
    let state = ConnectionState::new(app, listener);
    let of_requests = state.clone();
    let service =
        service_fn(move |request| of_requests.clone().answer(request));
    // The time for a head counts together with the rest before it.
    let connection = http1::Builder::new()
        .header_read_timeout(None)
        .serve_connection(stream, service);
    let mut connection = std::pin::pin!(connection);
    let (ended, closed) = loop {
        let cause = tokio::select! {
            biased;
            ended = connection.as_mut() => break (ended, None),
            _ = life.wait_for(is_finishing) => ConnectionEnd::Stopping,
            () = state.rest_is_over() => ConnectionEnd::Rested,
        };
        // What has arrived meanwhile is read before the connection closes.
        tokio::task::yield_now().await;
        if let Poll::Ready(ended) = futures::poll!(connection.as_mut()) {
            break (ended, None);
        }
        if cause == ConnectionEnd::Rested && state.rest_left().is_some() {
            continue;
        }
        connection.as_mut().graceful_shutdown();
        break (connection.await, Some(cause));
    };
    if let Err(error) = &ended {
        log::debug!("a caller's connection ended with an error: {error}");
    }
    state.log_ended(&ended, closed);
}

pub(super) fn is_finishing(life: &Life) -> bool {
    *life == Life::Finishing
}

/// The state of one connection, from which its end is described.
pub(super) struct ConnectionState {
    app: Rc<App>,
    opened: Millis,
    /// The version of the configuration in force when the connection opened.
    configuration: u64,
    /// The number of requests without a complete answer.
    unanswered: Cell<u32>,
    /// The identifier of the last request.
    last_request: RefCell<Option<Bytes>>,
    /// When the connection opened, or its last answer ended.
    resting_since: Cell<Millis>,
    is_logged: Cell<bool>,
    listener: Listener,
}

impl ConnectionState {
    /// Creates the state of a connection that opens now.
    fn new(app: Rc<App>, listener: Listener) -> Rc<Self> {
        let now = app.now();
        let catalog = app.shared.view.load().catalog.clone();
        Rc::new(Self {
            app,
            opened: now,
            configuration: catalog.map_or(0, |catalog| catalog.version),
            unanswered: Cell::new(0),
            last_request: RefCell::default(),
            resting_since: Cell::new(now),
            is_logged: Cell::new(false),
            listener,
        })
    }

    /// Answers one request of the connection.
    async fn answer(
        self: Rc<Self>,
        request: Request<Incoming>,
    ) -> Result<Response<Body>, Infallible> {
        let app = self.app.clone();
        self.unanswered.set(self.unanswered.get() + 1);
        let answer =
            dispatch::answer(app, self.listener, request, &self).await?;
        Ok(answer.map(|body| Box::pin(TrackedBody::new(body, self)) as _))
    }

    /// Records the identifier of a request that arrived.
    pub(super) fn record_request(&self, id: Option<Bytes>) {
        self.last_request.replace(id);
    }

    /// Records that an answer was passed on to its end.
    fn record_answered(&self) {
        self.unanswered.set(self.unanswered.get().saturating_sub(1));
        self.resting_since.set(self.app.now());
    }

    /// Returns how much longer the connection may rest; `None` if it has rested
    /// for too long. A connection with a request does not rest.
    fn rest_left(&self) -> Option<Duration> {
        let since = match self.unanswered.get() {
            0 => self.resting_since.get(),
            _ => self.app.now(),
        };
        let until = self.app.rests_until(since) + CLOSE_DELAY_MS;
        let left = self.app.shared.clock.until(until);
        (!left.is_zero()).then_some(left)
    }

    /// Waits until the connection has rested for too long.
    async fn rest_is_over(&self) {
        while let Some(left) = self.rest_left() {
            tokio::time::sleep(left).await;
        }
    }

    /// Logs how the connection ended, by what serving it returned and why the
    /// gateway closed it, if it did.
    fn log_ended(
        &self,
        ended: &hyper::Result<()>,
        closed: Option<ConnectionEnd>,
    ) {
        self.log_end(match ended {
            Ok(()) => closed.unwrap_or(ConnectionEnd::Closed),
            Err(error) if error.is_user() => ConnectionEnd::BrokenOff,
            Err(error) if error.is_parse() => ConnectionEnd::BadRequest,
            Err(_) => ConnectionEnd::CallerLeft,
        });
    }

    /// Logs how the connection ended. Only the first call has an effect.
    fn log_end(&self, end: ConnectionEnd) {
        let is_callers = self.listener == Listener::Requests;
        if !is_callers || self.is_logged.replace(true) {
            return;
        }
        let is_unanswered = self.unanswered.get() > 0;
        self.app.shared.metrics.connection_ended(end, is_unanswered);
        let now = self.app.now();
        let last_request = self.last_request.take();
        let last_request =
            last_request.map(|id| String::from_utf8_lossy(&id).into_owned());
        Event::ConnectionEnded(ConnectionEnded {
            end,
            is_unanswered,
            last_request,
            open_ms: now.since(self.opened),
            resting_ms: now.since(self.resting_since.get()),
            configuration: self.configuration,
        })
        .log();
    }
}

impl Drop for ConnectionState {
    /// Logs that the process ended, if the connection is dropped before its
    /// end was logged.
    fn drop(&mut self) {
        self.log_end(ConnectionEnd::ProcessEnded);
    }
}

/// The body of an answer. Once it was passed on to its end, the request no
/// longer counts as unanswered.
struct TrackedBody {
    body: Body,
    /// The connection, until the answer ends.
    connection: Option<Rc<ConnectionState>>,
}

impl TrackedBody {
    fn new(body: Body, connection: Rc<ConnectionState>) -> Self {
        let mut tracked = Self { body, connection: Some(connection) };
        tracked.check_end();
        tracked
    }

    fn check_end(&mut self) {
        if self.body.is_end_stream() {
            self.record_end();
        }
    }

    fn record_end(&mut self) {
        if let Some(connection) = self.connection.take() {
            connection.record_answered();
        }
    }
}

impl http_body::Body for TrackedBody {
    type Data = Bytes;
    type Error = BrokenOff;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokenOff>>> {
        let frame = std::task::ready!(self.body.as_mut().poll_frame(cx));
        match &frame {
            None => self.record_end(),
            Some(Ok(_)) => self.check_end(),
            Some(Err(BrokenOff)) => {}
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
