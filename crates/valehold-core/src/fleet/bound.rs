//! Region bounds: restrictions of requests to regions.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::id::RegionId;

/// The regions in which a request may be served.
///
/// A bound that names regions does not allow a data centre whose region is
/// unknown: a missing entry in the topology must not widen a restriction.
#[derive(
    Debug,
    Clone,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Serialize,
    Deserialize,
)]
pub enum RegionBound {
    /// Any region, also an unknown one.
    #[default]
    Anywhere,
    /// Only these regions; no region at all if the set is empty.
    Within(BTreeSet<RegionId>),
}

impl RegionBound {
    /// Creates a bound that allows only the given regions.
    pub fn within(regions: impl IntoIterator<Item = impl AsRef<str>>) -> Self {
        Self::Within(regions.into_iter().map(RegionId::new).collect())
    }

    /// Returns the bound that allows the regions that both bounds allow.
    #[must_use]
    pub fn intersection(&self, other: &Self) -> Self {
        match (self, other) {
            (Self::Anywhere, bound) | (bound, Self::Anywhere) => bound.clone(),
            (Self::Within(a), Self::Within(b)) => {
                Self::Within(a.intersection(b).cloned().collect())
            }
        }
    }

    /// Returns the regions that the bound names, or `None` if every region is
    /// allowed.
    pub fn regions(&self) -> Option<&BTreeSet<RegionId>> {
        match self {
            Self::Anywhere => None,
            Self::Within(regions) => Some(regions),
        }
    }

    /// Returns whether a request may be served in a region; `None` stands for
    /// an unknown region.
    pub fn allows(&self, region: Option<&RegionId>) -> bool {
        match self {
            Self::Anywhere => true,
            Self::Within(regions) => {
                region.is_some_and(|region| regions.contains(region))
            }
        }
    }

    /// Returns whether every region that this bound allows is also allowed by
    /// `other`.
    pub fn is_within(&self, other: &Self) -> bool {
        match (self, other) {
            (_, Self::Anywhere) => true,
            (Self::Anywhere, Self::Within(_)) => false,
            (Self::Within(a), Self::Within(b)) => a.is_subset(b),
        }
    }

    /// Returns whether the bound allows no region at all.
    pub fn is_empty(&self) -> bool {
        matches!(self, Self::Within(regions) if regions.is_empty())
    }
}
