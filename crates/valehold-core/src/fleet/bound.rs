//! The regions in which a request may be served.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::id::RegionId;

/// The regions in which a request may be served.
///
/// Not knowing is not permission: where a bound names regions, a place whose
/// region is not known lies outside of it.
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
    /// Any of them.
    #[default]
    Anywhere,
    /// These only; none at all if it is empty.
    Within(BTreeSet<RegionId>),
}

impl RegionBound {
    /// Makes a bound of some regions.
    pub fn within(regions: impl IntoIterator<Item = impl AsRef<str>>) -> Self {
        Self::Within(regions.into_iter().map(RegionId::new).collect())
    }

    /// Returns the bound that holds where both hold.
    #[must_use]
    pub fn and(&self, other: &Self) -> Self {
        match (self, other) {
            (Self::Anywhere, bound) | (bound, Self::Anywhere) => bound.clone(),
            (Self::Within(a), Self::Within(b)) => {
                Self::Within(a.intersection(b).cloned().collect())
            }
        }
    }

    /// Returns the regions that it names; `None` if it sets none.
    pub fn regions(&self) -> Option<&BTreeSet<RegionId>> {
        match self {
            Self::Anywhere => None,
            Self::Within(regions) => Some(regions),
        }
    }

    /// Tells whether a request may be served in a region.
    pub fn allows(&self, region: Option<&RegionId>) -> bool {
        match self {
            Self::Anywhere => true,
            Self::Within(regions) => {
                region.is_some_and(|region| regions.contains(region))
            }
        }
    }

    /// Tells whether what is served inside this bound is inside another one
    /// as well.
    pub fn is_within(&self, other: &Self) -> bool {
        match (self, other) {
            (_, Self::Anywhere) => true,
            (Self::Anywhere, Self::Within(_)) => false,
            (Self::Within(a), Self::Within(b)) => a.is_subset(b),
        }
    }

    /// Tells whether there is no region in which a request may be served.
    pub fn is_empty(&self) -> bool {
        matches!(self, Self::Within(regions) if regions.is_empty())
    }
}
