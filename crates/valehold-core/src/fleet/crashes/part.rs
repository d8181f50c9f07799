//! Digests that identify the parts of prompts.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};

use super::ParseContentError;

/// Identifies a part of a prompt that requests may share.
///
/// Two prompts hold the same part if the parts have the same digest.
#[derive(
    Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct PartId(u64);

impl PartId {
    /// Makes the identifier from the digest of the part's text.
    pub const fn new(digest: u64) -> Self {
        Self(digest)
    }
}

impl FromStr for PartId {
    type Err = ParseContentError;

    /// Parses the format that `Display` writes.
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        super::content::parse_digest(text).map(Self)
    }
}

impl fmt::Display for PartId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl fmt::Debug for PartId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "PartId({self})")
    }
}
