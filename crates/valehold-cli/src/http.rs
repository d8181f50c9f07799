//! Asking an instance's operators' interface.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{Request, StatusCode, header};
use http_body_util::{BodyExt, Full};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use serde_json::Value;

use crate::error::{FAILED, Failure, UNREACHABLE};

/// How long an instance may take to answer.
const TIMEOUT: Duration = Duration::from_secs(15);

/// An instance's operators' interface.
#[derive(Debug, Clone)]
pub struct Operators {
    address: SocketAddr,
    key: String,
    client: Client<HttpConnector, Full<Bytes>>,
}

impl Operators {
    /// Makes a client; nothing is sent yet.
    pub fn new(address: SocketAddr, key: String) -> Self {
        let client = Client::builder(TokioExecutor::new()).build_http();
        Self { address, key, client }
    }

    /// Reads a page.
    pub async fn get(&self, path: &str) -> Result<Value, Failure> {
        self.ask("GET", path, Bytes::new()).await
    }

    /// Sends a value to a page.
    pub async fn post(
        &self,
        path: &str,
        value: &Value,
    ) -> Result<Value, Failure> {
        self.ask("POST", path, Bytes::from(value.to_string())).await
    }

    async fn ask(
        &self,
        method: &str,
        path: &str,
        body: Bytes,
    ) -> Result<Value, Failure> {
        let unreachable = |cause: &dyn std::fmt::Display| {
            let address = self.address;
            let message = format!("the instance at {address}: {cause}");
            Failure::message(UNREACHABLE, message)
        };
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address))
            .header(header::AUTHORIZATION, format!("Bearer {}", self.key))
            .body(Full::from(body))
            .map_err(|e| Failure::message(FAILED, e))?;
        let asking = async {
            let response = self.client.request(request).await;
            let (parts, body) =
                response.map_err(|e| unreachable(&e))?.into_parts();
            let body = body.collect().await.map_err(|e| unreachable(&e))?;
            Ok::<_, Failure>((parts.status, body.to_bytes()))
        };
        let (status, body) = tokio::time::timeout(TIMEOUT, asking)
            .await
            .map_err(|_| unreachable(&"no answer in time"))??;
        let value: Value =
            serde_json::from_slice(&body).map_err(|e| unreachable(&e))?;
        answered(status, value)
    }
}

fn answered(status: StatusCode, value: Value) -> Result<Value, Failure> {
    // Faults in declarations are an answer of their own.
    if status.is_success() || value.get("faults").is_some() {
        return Ok(value);
    }
    let message = value.get("error").and_then(Value::as_str);
    let message = message.unwrap_or("the instance gave no reason");
    let code = match status {
        StatusCode::SERVICE_UNAVAILABLE => UNREACHABLE,
        _ => FAILED,
    };
    Err(Failure::message(code, format!("{status}: {message}")))
}
