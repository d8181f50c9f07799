//! Serves one connection of a caller, decides when it ends, and records how.

use std::{
    cell::{Cell, RefCell},
    convert::Infallible,
    io,
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
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    sync::watch,
};
use valehold_core::Millis;

use super::{App, Body, BrokenOff, dispatch, dispatch::Listener};
use crate::{
    events::{ConnectionEnd, ConnectionEnded, Event},
    view::Life,
};

/// How much longer than allowed a connection may rest: for requests on a slow
/// link, and for a gateway that is behind on its work.
const CLOSE_DELAY_MS: u64 = 1_000;

/// How long a connection that is closed may take to complete the head of a
/// request that has begun to arrive.
const CLOSE_TIME: Duration = Duration::from_secs(1);

/// How long a connection that has just opened may take for its first request
/// to begin when the gateway finishes, in ms.
const FIRST_REQUEST_MS: u64 = 1_000;

/// How often a connection whose next request is arriving looks for its end.
const ARRIVAL_POLL: Duration = Duration::from_millis(20);

/// Serves a connection to its end.
///
/// A connection at rest is closed once it has rested for too long or the
/// gateway finishes. Requests that have begun to arrive by then are answered
/// first.
pub(super) async fn serve(
    app: Rc<App>,
    listener: Listener,
    stream: TcpStream,
    mut life: watch::Receiver<Life>,
) {
    let state = ConnectionState::new(app, listener);
    let stream = TrackedStream { stream, connection: state.clone() };
    let stream = TokioIo::new(stream);
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
        if cause == ConnectionEnd::Stopping {
            tokio::select! {
                biased;
                ended = connection.as_mut() => break (ended, None),
                () = state.next_request_arrived() => {}
            }
        }
        connection.as_mut().graceful_shutdown();
        let closing = connection.as_mut();
        let ended = match tokio::time::timeout(CLOSE_TIME, closing).await {
            Ok(ended) => ended,
            // The head of a request that does not go on to arrive.
            Err(_) if state.unanswered.get() == 0 => Ok(()),
            Err(_) => connection.await,
        };
        break (ended, Some(cause));
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
    /// Whether bytes arrived that belong to no request yet.
    is_arriving: Cell<bool>,
    /// The number of requests that arrived.
    requests: Cell<u64>,
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
            is_arriving: Cell::new(false),
            requests: Cell::new(0),
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
        self.requests.set(self.requests.get() + 1);
        self.is_arriving.set(false);
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
        self.is_arriving.set(false);
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

    /// Records that bytes arrived: of the next request, unless one is being
    /// read or answered.
    fn record_bytes(&self) {
        self.is_arriving.set(self.unanswered.get() == 0);
    }

    /// Waits until no request is on its way: for the rest of a head that has
    /// begun to arrive, as long as a head may take, and shortly for the first
    /// request of a new connection.
    async fn next_request_arrived(&self) {
        let began = self.app.now();
        let head_until = began + self.head_timeout_ms();
        let first_until = self.opened + FIRST_REQUEST_MS;
        while self.unanswered.get() == 0 {
            let until = match (self.is_arriving.get(), self.requests.get()) {
                (true, _) => head_until,
                (false, 0) => first_until,
                (false, _) => return,
            };
            if self.app.now() >= until {
                return;
            }
            tokio::time::sleep(ARRIVAL_POLL).await;
        }
    }

    /// Returns how long the head of a request may take, in ms.
    fn head_timeout_ms(&self) -> u64 {
        let view = self.app.shared.view.load();
        let limits = view.catalog.as_ref().map(|one| &one.limits);
        limits.map_or(0, |limits| limits.header_read_timeout_ms)
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

/// The stream of a connection, which records that bytes arrive.
struct TrackedStream {
    stream: TcpStream,
    connection: Rc<ConnectionState>,
}

impl AsyncRead for TrackedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(cx, buffer);
        if buffer.filled().len() > before {
            self.connection.record_bytes();
        }
        read
    }
}

impl AsyncWrite for TrackedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }

    fn poll_flush(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, slices)
    }
}

/// The body of an answer. Once it was passed on to its end, the request no
/// longer counts as unanswered.
struct TrackedBody {
    body: Body,
    /// The connection, until the answer ends.
    connection: Option<Rc<ConnectionState>>,
    is_polled: bool,
}

impl TrackedBody {
    fn new(body: Body, connection: Rc<ConnectionState>) -> Self {
        let connection = Some(connection);
        let mut tracked = Self { body, connection, is_polled: false };
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

impl Drop for TrackedBody {
    /// Counts the request as answered if its answer has no body on the wire,
    /// as for the method HEAD: such a body is never polled.
    fn drop(&mut self) {
        if !self.is_polled {
            self.record_end();
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
        self.is_polled = true;
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
