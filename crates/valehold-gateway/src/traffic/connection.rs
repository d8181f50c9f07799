//! Serves one connection of a caller, and records how it ends.

use std::{
    cell::{Cell, RefCell},
    convert::Infallible,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
};

use bytes::Bytes;
use http::{Request, Response};
use http_body::{Frame, SizeHint};
use hyper::body::Incoming;
use valehold_core::Millis;

use super::{App, Body, BrokenOff, dispatch, dispatch::Listener};
use crate::events::{ConnectionEnd, ConnectionEnded, Event};

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
    pub(super) fn new(app: Rc<App>, listener: Listener) -> Rc<Self> {
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
    pub(super) async fn answer(
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

    /// Logs how the connection ended, by what serving it returned.
    pub(super) fn log_ended(
        &self,
        ended: &hyper::Result<()>,
        is_stopping: bool,
    ) {
        self.log_end(match ended {
            Ok(()) if is_stopping => ConnectionEnd::Stopping,
            Ok(()) => ConnectionEnd::Closed,
            Err(error) if error.is_timeout() => ConnectionEnd::Rested,
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
