//! The regions of the data centres, and the distances between data centres.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::id::{DataCentreId, RegionId};

/// The distance of a data centre from the local one, the nearest first.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize,
)]
pub enum Distance {
    /// The local data centre.
    SameDataCentre,
    /// Another data centre of the same region.
    SameRegion,
    /// A data centre of another region or of an unknown region.
    Elsewhere,
}

/// The data centres and their regions, relative to the local data centre.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Topology {
    own: DataCentreId,
    regions: BTreeMap<DataCentreId, RegionId>,
}

impl Topology {
    /// Creates the topology relative to the data centre `own`.
    pub fn new(
        own: DataCentreId,
        regions: BTreeMap<DataCentreId, RegionId>,
    ) -> Self {
        Self { own, regions }
    }

    /// Returns the local data centre.
    pub fn own(&self) -> &DataCentreId {
        &self.own
    }

    /// Returns the region of a data centre, or `None` if no region is declared
    /// for the data centre.
    pub fn region_of(&self, data_centre: &DataCentreId) -> Option<&RegionId> {
        self.regions.get(data_centre)
    }

    /// Returns the region of the local data centre, or `None` if no region is
    /// declared for it.
    pub fn own_region(&self) -> Option<&RegionId> {
        self.region_of(&self.own)
    }

    /// Returns the distance of a data centre from the local one.
    ///
    /// If no regions are declared at all, all data centres count as belonging
    /// to the same region.
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
