//! Which region each data centre belongs to, and how far apart two are.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::id::{DataCentreId, RegionId};

/// How far a data centre is, the nearest first.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize,
)]
pub enum Distance {
    /// It is this one.
    SameDataCentre,
    /// It is another one of the same region.
    SameRegion,
    /// It is in another region, or nothing says where it is.
    Elsewhere,
}

/// The data centres and their regions, seen from one of them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Topology {
    own: DataCentreId,
    regions: BTreeMap<DataCentreId, RegionId>,
}

impl Topology {
    /// Makes the topology seen from a data centre.
    pub fn new(
        own: DataCentreId,
        regions: BTreeMap<DataCentreId, RegionId>,
    ) -> Self {
        Self { own, regions }
    }

    /// Returns the data centre from which it is seen.
    pub fn own(&self) -> &DataCentreId {
        &self.own
    }

    /// Returns the region of a data centre, if it is known.
    pub fn region_of(&self, data_centre: &DataCentreId) -> Option<&RegionId> {
        self.regions.get(data_centre)
    }

    /// Returns the region from which it is seen, if it is known.
    pub fn own_region(&self) -> Option<&RegionId> {
        self.region_of(&self.own)
    }

    /// Returns how far a data centre is from here.
    ///
    /// Where no regions are declared at all, every data centre is taken to
    /// stand in the same one.
    pub fn distance(&self, data_centre: &DataCentreId) -> Distance {
        if *data_centre == self.own {
            return Distance::SameDataCentre;
        }
        if self.regions.is_empty() {
            return Distance::SameRegion;
        }
        let region = self.region_of(data_centre);
        match region.is_some() && region == self.own_region() {
            true => Distance::SameRegion,
            false => Distance::Elsewhere,
        }
    }
}
