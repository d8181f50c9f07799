//! Plain services.

use bytes::Bytes;

use super::{Address, Answer};

/// A call to a plain service.
#[derive(Debug, Clone)]
pub struct ServiceCall {
    /// The HTTP method.
    pub method: String,
    /// The path and query at the service.
    pub path: String,
    /// The body's content type.
    pub content_type: Option<String>,
    /// The body.
    pub body: Bytes,
}

/// A service's whole answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The content type.
    pub content_type: Option<String>,
    /// The body.
    pub body: Bytes,
}

/// Plain services.
pub trait Services: Send + Sync {
    /// Makes a call, once, on a connection of its own.
    fn call<'a>(
        &'a self,
        upstream: Address,
        call: &'a ServiceCall,
    ) -> Answer<'a, ServiceAnswer>;

    /// Asks a process whether it is there and takes work.
    ///
    /// Returns whether it is leaving.
    fn leaving(&self, upstream: Address) -> Answer<'_, bool>;
}
