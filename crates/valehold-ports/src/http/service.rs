//! Plain services over HTTP.

use futures::FutureExt;
use http::{Request, header};
use http_body_util::Full;

use super::client::{
    ClientSettings, Connections, HttpClient, bare, check_status, not_sendable,
    uri,
};
use crate::{
    error::PortError,
    port::{Address, Answer, ServiceAnswer, ServiceCall, Services},
};

/// Plain services, each process at its own address.
#[derive(Debug, Clone)]
pub struct HttpServices {
    calls: HttpClient,
    checks: HttpClient,
}

impl HttpServices {
    /// Makes a client; nothing is sent yet.
    pub fn new(settings: ClientSettings) -> Self {
        Self {
            calls: HttpClient::new(settings, Connections::OneEach),
            checks: HttpClient::new(settings, Connections::Kept),
        }
    }

    async fn make_call(
        &self,
        upstream: Address,
        call: &ServiceCall,
    ) -> Result<ServiceAnswer, PortError> {
        let mut request = Request::builder()
            .method(call.method.as_str())
            .uri(uri(upstream, &call.path)?);
        if let Some(content_type) = &call.content_type {
            request = request.header(header::CONTENT_TYPE, content_type);
        }
        let request = request
            .body(Full::from(call.body.clone()))
            .map_err(|e| not_sendable(&e.to_string()))?;
        let (parts, body) = self.calls.whole(request).await?.into_parts();
        let content_type = parts
            .headers
            .get(header::CONTENT_TYPE)
            .and_then(|value| value.to_str().ok())
            .map(str::to_owned);
        let status = parts.status.as_u16();
        Ok(ServiceAnswer { status, content_type, body })
    }

    async fn ask_leaving(&self, upstream: Address) -> Result<bool, PortError> {
        let request = bare("GET", uri(upstream, "/health")?)?;
        let response = self.checks.whole(request).await?;
        check_status(response.status())?;
        Ok(response.body().as_ref() == b"leaving")
    }
}

impl Services for HttpServices {
    fn call<'a>(
        &'a self,
        upstream: Address,
        call: &'a ServiceCall,
    ) -> Answer<'a, ServiceAnswer> {
        self.make_call(upstream, call).boxed()
    }

    fn leaving(&self, upstream: Address) -> Answer<'_, bool> {
        self.ask_leaving(upstream).boxed()
    }
}
