//! Engines over HTTP, with answers as server-sent events.

use bytes::Bytes;
use eventsource_stream::Eventsource;
use futures::{FutureExt, StreamExt, TryStreamExt, future};
use http::Request;
use http_body_util::{BodyDataStream, Full};
use valehold_core::{id::RequestId, order::Order, stream::Frame};

use super::client::{
    ClientSettings, Connections, HttpClient, bare, check_status, uri,
    with_json,
};
use crate::{
    error::PortError,
    port::{
        Address, Answer, CacheEvents, EngineStatus, Engines, FrameStream,
        GenerateRequest,
    },
};

/// Engines, each at its own address.
#[derive(Debug, Clone)]
pub struct HttpEngines {
    client: HttpClient,
}

impl HttpEngines {
    /// Makes a client; nothing is sent yet.
    pub fn new(settings: ClientSettings) -> Self {
        Self { client: HttpClient::new(settings, Connections::Kept) }
    }

    async fn read_status(
        &self,
        engine: Address,
    ) -> Result<EngineStatus, PortError> {
        let request = bare("GET", uri(engine, "/status")?)?;
        let status = self.client.json(request).await?;
        status.ok_or_else(|| PortError::malformed("no status"))
    }

    async fn send_order(
        &self,
        engine: Address,
        order: &Order,
    ) -> Result<(), PortError> {
        let request = with_json(uri(engine, "/orders")?, order)?;
        check_status(self.client.whole(request).await?.status())
    }

    async fn frames(
        &self,
        request: Request<Full<Bytes>>,
    ) -> Result<FrameStream, PortError> {
        let response = self.client.begin(request).await?;
        check_status(response.status())?;
        let frames = BodyDataStream::new(response.into_body())
            .eventsource()
            .map_err(|e| PortError::broken(e.to_string()))
            .and_then(|event| future::ready(frame(&event.data)));
        Ok(frames.boxed())
    }

    async fn begin_generation(
        &self,
        engine: Address,
        request: &GenerateRequest,
    ) -> Result<FrameStream, PortError> {
        self.frames(with_json(uri(engine, "/generate")?, request)?).await
    }

    async fn go_on(
        &self,
        engine: Address,
        request: &RequestId,
        from: u64,
    ) -> Result<FrameStream, PortError> {
        let path = format!("/generate/{request}?from={from}");
        self.frames(bare("GET", uri(engine, &path)?)?).await
    }

    async fn read_events(
        &self,
        engine: Address,
        after: u64,
    ) -> Result<CacheEvents, PortError> {
        let path = format!("/cache-events?after={after}");
        let events = self.client.json(bare("GET", uri(engine, &path)?)?);
        Ok(events.await?.unwrap_or_default())
    }
}

fn frame(data: &str) -> Result<Frame, PortError> {
    serde_json::from_str(data).map_err(|e| PortError::malformed(e.to_string()))
}

impl Engines for HttpEngines {
    fn status(&self, engine: Address) -> Answer<'_, EngineStatus> {
        self.read_status(engine).boxed()
    }

    fn order<'a>(
        &'a self,
        engine: Address,
        order: &'a Order,
    ) -> Answer<'a, ()> {
        self.send_order(engine, order).boxed()
    }

    fn generate<'a>(
        &'a self,
        engine: Address,
        request: &'a GenerateRequest,
    ) -> Answer<'a, FrameStream> {
        self.begin_generation(engine, request).boxed()
    }

    fn resume<'a>(
        &'a self,
        engine: Address,
        request: &'a RequestId,
        from_sequence: u64,
    ) -> Answer<'a, FrameStream> {
        self.go_on(engine, request, from_sequence).boxed()
    }

    fn cache_events(
        &self,
        engine: Address,
        after: u64,
    ) -> Answer<'_, CacheEvents> {
        self.read_events(engine, after).boxed()
    }
}
