//! Digests that identify requests by their content.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use thiserror::Error;

use crate::id::WorkspaceId;

/// Identifies a request by its content: host, path, caller and body.
///
/// Two attempts at the same request have different identifiers and the same
/// content. The value is the first 64 bits of a SHA-256 digest. A
/// cryptographic hash keeps callers from making a request that passes for the
/// request of another caller. Among 10,000 tracked contents of a fleet, the
/// chance that any two have the same value is 1 in 370 billion.
#[derive(
    Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct RequestContent(u64);

impl RequestContent {
    /// Computes the digest of a request.
    ///
    /// # Example
    ///
    /// ```
    /// use valehold_core::fleet::crashes::RequestContent;
    ///
    /// let of = |path| RequestContent::of("callers.example", path, None, b"");
    /// assert_eq!(of("/a"), of("/a"));
    /// assert_ne!(of("/a"), of("/b"));
    /// ```
    #[must_use]
    pub fn of(
        host: &str,
        path: &str,
        caller: Option<&WorkspaceId>,
        body: &[u8],
    ) -> Self {
        let caller = caller.map_or("", WorkspaceId::as_str);
        let mut hasher = Sha256::new();
        for part in [host, path, caller] {
            hasher.update(part.len().to_be_bytes());
            hasher.update(part);
        }
        hasher.update(body);
        let digest: [u8; 32] = hasher.finalize().into();
        let [a, b, c, d, e, f, g, h, ..] = digest;
        Self(u64::from_be_bytes([a, b, c, d, e, f, g, h]))
    }
}

/// The error for a text that is not the digest of a request or of a part.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("a digest must be 16 hexadecimal digits")]
pub struct ParseContentError;

impl FromStr for RequestContent {
    type Err = ParseContentError;

    /// Parses the format that `Display` writes.
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        parse_digest(text).map(Self)
    }
}

/// Parses a digest of 16 hexadecimal digits.
pub(super) fn parse_digest(text: &str) -> Result<u64, ParseContentError> {
    let is_hexadecimal = text.bytes().all(|b| b.is_ascii_hexdigit());
    match text.len() == 16 && is_hexadecimal {
        true => u64::from_str_radix(text, 16).map_err(|_| ParseContentError),
        false => Err(ParseContentError),
    }
}

impl fmt::Display for RequestContent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl fmt::Debug for RequestContent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "RequestContent({self})")
    }
}
