//! What requests are refused for: their whole content, or parts of their
//! prompts.

use std::{collections::BTreeSet, fmt, str::FromStr};

use serde::{Deserialize, Serialize};

use super::{ParseContentError, PartId, RefusedReport, RequestContent};

/// The beginning of the text of a [`Culprit::Parts`].
const PARTS_PREFIX: &str = "parts";

/// Parts of prompts that were in flight at the same crashes, each time in one
/// request.
///
/// One of the parts crashes upstreams. Requests that hold all of them are
/// refused, so that a part that merely stands beside the culprit in each
/// prompt does not stop requests without the culprit.
#[derive(
    Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct PartGroup(BTreeSet<PartId>);

impl PartGroup {
    /// Makes a group of some parts.
    pub fn new(parts: impl IntoIterator<Item = PartId>) -> Self {
        Self(parts.into_iter().collect())
    }

    /// Returns the parts.
    pub fn iter(&self) -> impl Iterator<Item = PartId> {
        self.0.iter().copied()
    }

    /// Returns whether a prompt with these parts holds the whole group.
    ///
    /// An empty group, which only a broken report can have, is in no prompt.
    pub fn is_within(&self, parts: &BTreeSet<PartId>) -> bool {
        !self.0.is_empty() && self.0.is_subset(parts)
    }
}

/// What requests are refused for.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Culprit {
    /// One request, whoever sends it again.
    Request(RequestContent),
    /// Parts of prompts, in whatever request they stand together.
    Parts(PartGroup),
}

impl From<RequestContent> for Culprit {
    fn from(content: RequestContent) -> Self {
        Self::Request(content)
    }
}

impl FromStr for Culprit {
    type Err = ParseContentError;

    /// Parses the format that `Display` writes.
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let Some(parts) = text.strip_prefix(PARTS_PREFIX) else {
            return text.parse().map(Self::Request);
        };
        let parts = parts.strip_prefix('-').ok_or(ParseContentError)?;
        let parts: BTreeSet<PartId> =
            parts.split('-').map(str::parse).collect::<Result<_, _>>()?;
        Ok(Self::Parts(PartGroup(parts)))
    }
}

impl fmt::Display for Culprit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Request(content) => content.fmt(f),
            Self::Parts(group) => {
                f.write_str(PARTS_PREFIX)?;
                group.0.iter().try_for_each(|part| write!(f, "-{part}"))
            }
        }
    }
}

impl fmt::Debug for Culprit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Culprit({self})")
    }
}

/// The refusal of all requests with a culprit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    /// What the requests are refused for.
    pub culprit: Culprit,
    /// The time until the requests are accepted again, in ms.
    pub left_ms: u64,
}

impl From<RefusedReport> for Refusal {
    fn from(report: RefusedReport) -> Self {
        let RefusedReport { content, left_ms } = report;
        Self { culprit: content.into(), left_ms }
    }
}
