//! A client that tells for each failure whether the request may have run.

use std::{net::SocketAddr, time::Duration};

use bytes::{Bytes, BytesMut};
use http::{Request, Response, StatusCode, Uri, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::{TokioExecutor, TokioTimer},
};
use serde::{Serialize, de::DeserializeOwned};
use valehold_core::Verdict;

use crate::error::{PortError, PortErrorKind};

/// The header by which an upstream says that it did not run a request.
pub const NOT_RUN_HEADER: &str = "x-not-run";

/// After how long a resting connection is probed, and again.
const SILENCE_PROBE: Duration = Duration::from_secs(1);

/// How many probes in a row may get no answer.
const SILENCE_PROBES: u32 = 2;

/// For how long a connection to one of many hosts may rest: an order follows
/// the report that it waits for within that.
const SHORT_REST: Duration = Duration::from_millis(500);

/// How long sent bytes may stay unconfirmed.
const SILENCE_LIMIT: Duration = Duration::from_millis(2_500);

/// How long the client waits, and how much it takes.
#[derive(Debug, Clone, Copy)]
pub struct ClientSettings {
    /// For a connection.
    pub connect_timeout: Duration,
    /// For the beginning of an answer.
    pub answer_timeout: Duration,
    /// For the rest of a whole answer.
    pub body_timeout: Duration,
    /// For the next part of it: a long answer over a full link comes part by
    /// part, one of a process that froze does not.
    pub part_timeout: Duration,
    /// The largest whole answer, in bytes.
    pub max_body: usize,
    /// For how long a kept connection may rest before it is closed; `None`
    /// leaves that to the other side.
    pub rest: Option<Duration>,
}

impl Default for ClientSettings {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_millis(500),
            answer_timeout: Duration::from_secs(2),
            body_timeout: Duration::from_secs(5),
            part_timeout: Duration::from_secs(5),
            max_body: 16 * 1024 * 1024,
            rest: None,
        }
    }
}

impl ClientSettings {
    /// Returns the settings of a client of many hosts. A process has a bounded
    /// number of descriptors, so connections rest only briefly.
    pub fn of_many_hosts() -> Self {
        Self { rest: Some(SHORT_REST), ..Self::default() }
    }
}

/// Whether a connection may serve several requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Connections {
    /// Kept and used again.
    Kept,
    /// One for each request, so that a failure to connect proves that this
    /// request was not sent.
    OneEach,
}

/// A client for whole answers, and for answers as they come.
#[derive(Debug, Clone)]
pub struct HttpClient {
    client: Client<HttpConnector, Full<Bytes>>,
    settings: ClientSettings,
}

impl HttpClient {
    /// Makes a client.
    pub fn new(settings: ClientSettings, connections: Connections) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(settings.connect_timeout));
        // A machine without power or behind a cut says nothing: probes tell.
        connector.set_keepalive(Some(SILENCE_PROBE));
        connector.set_keepalive_interval(Some(SILENCE_PROBE));
        connector.set_keepalive_retries(Some(SILENCE_PROBES));
        connector.set_tcp_user_timeout(Some(SILENCE_LIMIT));
        let mut builder = Client::builder(TokioExecutor::new());
        // The library would send a request again on its own when a kept
        // connection turns out closed. Whether to is decided elsewhere.
        builder.retry_canceled_requests(false);
        if let Some(rest) = settings.rest {
            builder.pool_idle_timeout(rest);
            // Without a timer it would be closed with the next request only.
            builder.pool_timer(TokioTimer::new());
        }
        if connections == Connections::OneEach {
            builder.pool_max_idle_per_host(0);
        }
        Self { client: builder.build(connector), settings }
    }

    /// Sends a request and waits for the beginning of the answer.
    ///
    /// # Errors
    ///
    /// If there is none in time, or the other side did not run it.
    pub async fn begin(
        &self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, PortError> {
        let timeout = self.settings.answer_timeout;
        let sending = self.client.request(request);
        let response = tokio::time::timeout(timeout, sending)
            .await
            .map_err(|_| PortError::timed_out("no answer in time"))?
            .map_err(|e| match e.is_connect() {
                true => PortError::not_connected(e.to_string()),
                false => PortError::broken(e.to_string()),
            })?;
        refuse_if_not_run(&response)?;
        Ok(response)
    }

    /// Sends a request and takes the whole answer.
    ///
    /// # Errors
    ///
    /// As [`HttpClient::begin`], or if the answer breaks off.
    pub async fn whole(
        &self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Bytes>, PortError> {
        let (parts, body) = self.begin(request).await?.into_parts();
        let timeout = self.settings.body_timeout;
        let body =
            tokio::time::timeout(timeout, self.collect(body)).await.map_err(
                |_| PortError::timed_out("no whole answer in time"),
            )??;
        Ok(Response::from_parts(parts, body))
    }

    /// Takes all parts of a body.
    async fn collect(&self, body: Incoming) -> Result<Bytes, PortError> {
        let mut limited = Limited::new(body, self.settings.max_body);
        let mut collected = BytesMut::new();
        loop {
            let timeout = self.settings.part_timeout;
            let frame =
                tokio::time::timeout(timeout, limited.frame())
                    .await
                    .map_err(|_| PortError::timed_out("the answer stopped"))?;
            let Some(frame) = frame else { return Ok(collected.freeze()) };
            let frame = frame.map_err(|e| PortError::broken(e.to_string()))?;
            if let Ok(data) = frame.into_data() {
                collected.extend_from_slice(&data);
            }
        }
    }

    /// Sends a request and reads a JSON answer; `None` for "not found".
    ///
    /// # Errors
    ///
    /// As [`HttpClient::whole`], or if the answer is not what it should be.
    pub async fn json<T: DeserializeOwned>(
        &self,
        request: Request<Full<Bytes>>,
    ) -> Result<Option<T>, PortError> {
        let response = self.whole(request).await?;
        if response.status() == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        check_status(response.status())?;
        serde_json::from_slice(response.body())
            .map(Some)
            .map_err(|e| PortError::malformed(e.to_string()))
    }
}

/// Makes an address and a path into a URI.
///
/// # Errors
///
/// If the path is none.
pub fn uri(address: SocketAddr, path: &str) -> Result<Uri, PortError> {
    Uri::builder()
        .scheme("http")
        .authority(address.to_string())
        .path_and_query(path)
        .build()
        .map_err(|e| not_sendable(&e.to_string()))
}

/// Makes a request without a body.
///
/// # Errors
///
/// If the method is none.
pub fn bare(
    method: &str,
    uri: Uri,
) -> Result<Request<Full<Bytes>>, PortError> {
    Request::builder()
        .method(method)
        .uri(uri)
        .body(Full::default())
        .map_err(|e| not_sendable(&e.to_string()))
}

/// Makes a request whose body is JSON.
///
/// # Errors
///
/// If the value cannot be written as JSON.
pub fn with_json<T: Serialize>(
    uri: Uri,
    value: &T,
) -> Result<Request<Full<Bytes>>, PortError> {
    let body =
        serde_json::to_vec(value).map_err(|e| not_sendable(&e.to_string()))?;
    Request::builder()
        .method("POST")
        .uri(uri)
        .header(header::CONTENT_TYPE, "application/json")
        .body(Full::from(body))
        .map_err(|e| not_sendable(&e.to_string()))
}

/// Makes an error of a status that is not a success.
///
/// # Errors
///
/// If it is none.
pub fn check_status(status: StatusCode) -> Result<(), PortError> {
    if status.is_success() {
        return Ok(());
    }
    let message = format!("the answer's status is {status}");
    let kind = PortErrorKind::Failed;
    Err(PortError::new(kind, Verdict::MayHaveRun, message))
}

/// Reads a JSON answer of a server that says with 429 and 503 that it did
/// nothing.
///
/// # Errors
///
/// If the answer is no success, or not what it should be.
pub fn json_of<T: DeserializeOwned>(
    answer: &Response<Bytes>,
) -> Result<T, PortError> {
    refuse_if_failed(answer.status())?;
    serde_json::from_slice(answer.body())
        .map_err(|e| PortError::malformed(e.to_string()))
}

/// Makes an error of a status that is not a success, of such a server.
///
/// # Errors
///
/// If it is none.
pub fn refuse_if_failed(status: StatusCode) -> Result<(), PortError> {
    if status.is_success() {
        return Ok(());
    }
    let verdict = match status {
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => {
            Verdict::NotRun
        }
        _ => Verdict::MayHaveRun,
    };
    let message = format!("the store answered {status}");
    Err(PortError::new(PortErrorKind::Failed, verdict, message))
}

/// Makes the error of a request that could not be written.
pub fn not_sendable(message: &str) -> PortError {
    let kind = PortErrorKind::Malformed;
    PortError::new(kind, Verdict::NotRun, message)
}

fn refuse_if_not_run(response: &Response<Incoming>) -> Result<(), PortError> {
    let headers = response.headers();
    let Some(why) = headers.get(NOT_RUN_HEADER) else { return Ok(()) };
    let why = why.to_str().unwrap_or("refused").to_owned();
    let come_back = headers
        .get(header::RETRY_AFTER)
        .and_then(|value| value.to_str().ok()?.parse().ok())
        .map(Duration::from_secs);
    let error = PortError::new(PortErrorKind::Refused, Verdict::NotRun, why);
    Err(error.come_back(come_back))
}
