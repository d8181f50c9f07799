//! What the way to another data centre costs a request.
//!
//! Settings say how long the ways within a region and between regions take at
//! first; how long each really takes is learned from connections that are
//! made. Beside the time, bytes between data centres have a price; it counts
//! in a choice as a time would, and is no part of what is predicted.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::topology::{Distance, Topology};
use crate::id::DataCentreId;

/// What distances cost, until more is known.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct DistanceSettings {
    /// The way between data centres of a region, one way, in ms.
    pub within_region_ms: f64,
    /// The way between regions, one way, in ms.
    pub between_regions_ms: f64,
    /// For how many ms a caller may as well wait as have its bytes go to
    /// another data centre of the region.
    pub bytes_within_region_ms: f64,
    /// For how many ms a caller may as well wait as have its bytes go to
    /// another region.
    pub bytes_between_regions_ms: f64,
}

impl Default for DistanceSettings {
    fn default() -> Self {
        Self {
            within_region_ms: 1.0,
            between_regions_ms: 10.0,
            bytes_within_region_ms: 2.0,
            bytes_between_regions_ms: 8.0,
        }
    }
}

impl DistanceSettings {
    /// Tells whether all are 0 or above.
    pub fn are_valid(&self) -> bool {
        let all = [
            self.within_region_ms,
            self.between_regions_ms,
            self.bytes_within_region_ms,
            self.bytes_between_regions_ms,
        ];
        all.iter().all(|one| *one >= 0.0)
    }

    /// Returns how long the way takes at first, there and back, in ms.
    fn round_trip_ms(&self, distance: Distance) -> f64 {
        2.0 * match distance {
            Distance::SameDataCentre => 0.0,
            Distance::SameRegion => self.within_region_ms,
            Distance::Elsewhere => self.between_regions_ms,
        }
    }

    /// Returns what the bytes of a request and its answer cost, in ms.
    pub fn bytes_ms(&self, distance: Distance) -> f64 {
        match distance {
            Distance::SameDataCentre => 0.0,
            Distance::SameRegion => self.bytes_within_region_ms,
            Distance::Elsewhere => self.bytes_between_regions_ms,
        }
    }
}

/// What the way to a data centre costs a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Way {
    /// How long it takes there and back, in ms.
    pub round_trip_ms: f64,
    /// What bytes on it cost, as the time that a caller may as well wait, in
    /// ms.
    pub bytes_ms: f64,
}

impl Way {
    /// Returns the sum, in ms.
    pub fn cost_ms(self) -> f64 {
        self.round_trip_ms + self.bytes_ms
    }
}

/// The part by which a shorter time than expected is taken over: a busy
/// machine makes times longer and never shorter.
const SHORTER_PART: f64 = 0.5;

/// The part by which a longer time is taken over: a way that grew is known
/// after some dozens of connections.
const LONGER_PART: f64 = 0.05;

/// How long the ways to data centres take, as connections showed.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Ways {
    connect_ms: BTreeMap<DataCentreId, f64>,
}

impl Ways {
    /// Notes how long a connection to a data centre took to be made, in ms:
    /// one round trip, and what both ends need.
    pub fn note(&mut self, to: &DataCentreId, took_ms: f64) {
        let Some(known) = self.connect_ms.get_mut(to) else {
            self.connect_ms.insert(to.clone(), took_ms);
            return;
        };
        let part = match took_ms < *known {
            true => SHORTER_PART,
            false => LONGER_PART,
        };
        *known += (took_ms - *known) * part;
    }

    /// Returns the way to a data centre.
    pub fn to(
        &self,
        data_centre: &DataCentreId,
        topology: &Topology,
        settings: &DistanceSettings,
    ) -> Way {
        let distance = topology.distance(data_centre);
        Way {
            round_trip_ms: self.round_trip_ms(data_centre, topology, settings),
            bytes_ms: settings.bytes_ms(distance),
        }
    }

    /// Returns how much longer a round trip to a data centre takes than one
    /// within the own, in ms.
    ///
    /// What both ends need for a connection is the same everywhere and falls
    /// out, once connections within the own data centre were seen.
    fn round_trip_ms(
        &self,
        to: &DataCentreId,
        topology: &Topology,
        settings: &DistanceSettings,
    ) -> f64 {
        let distance = topology.distance(to);
        if distance == Distance::SameDataCentre {
            return 0.0;
        }
        let Some(known) = self.connect_ms.get(to) else {
            return settings.round_trip_ms(distance);
        };
        let own = self.connect_ms.get(topology.own());
        (known - own.copied().unwrap_or_default()).max(0.0)
    }
}
