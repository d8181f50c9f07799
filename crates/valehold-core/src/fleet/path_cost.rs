//! The cost of the network path to another data centre for a request.
//!
//! The settings give the initial latencies within a region and between
//! regions. The actual latency of each path is learned from the connections
//! that are made. In addition to the latency, bytes between data centres have
//! a price. The price counts like a latency when an upstream is chosen, but is
//! not part of the predicted latency.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::topology::{Distance, Topology};
use crate::id::DataCentreId;

/// The costs of distances: the initial latencies of the paths and the prices
/// of bytes.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct DistanceSettings {
    /// The one-way latency between data centres of a region, in ms.
    pub within_region_ms: f64,
    /// The one-way latency between regions, in ms.
    pub between_regions_ms: f64,
    /// The price of sending the bytes of a request to another data centre of
    /// the region, as the equivalent waiting time of the caller in ms.
    pub bytes_within_region_ms: f64,
    /// The price of sending the bytes of a request to another region, as the
    /// equivalent waiting time of the caller in ms.
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
    /// Reports whether all values are 0 or above.
    pub fn are_valid(&self) -> bool {
        let all = [
            self.within_region_ms,
            self.between_regions_ms,
            self.bytes_within_region_ms,
            self.bytes_between_regions_ms,
        ];
        all.iter().all(|one| *one >= 0.0)
    }

    /// Returns the initial round-trip time, in ms.
    fn round_trip_ms(&self, distance: Distance) -> f64 {
        2.0 * match distance {
            Distance::SameDataCentre => 0.0,
            Distance::SameRegion => self.within_region_ms,
            Distance::Elsewhere => self.between_regions_ms,
        }
    }

    /// Returns the price of the bytes of a request and its answer, in ms.
    pub fn bytes_ms(&self, distance: Distance) -> f64 {
        match distance {
            Distance::SameDataCentre => 0.0,
            Distance::SameRegion => self.bytes_within_region_ms,
            Distance::Elsewhere => self.bytes_between_regions_ms,
        }
    }
}

/// The cost of the network path to a data centre for a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PathCost {
    /// The round-trip time, in ms.
    pub round_trip_ms: f64,
    /// The price of the bytes, as the equivalent waiting time of the caller in
    /// ms.
    pub bytes_ms: f64,
}

impl PathCost {
    /// Returns the sum of both costs, in ms.
    pub fn cost_ms(self) -> f64 {
        self.round_trip_ms + self.bytes_ms
    }
}

/// The weight of a new observation that is shorter than the estimate. A busy
/// machine makes connection times longer and never shorter, so a shorter time
/// is more reliable.
const DECREASE_WEIGHT: f64 = 0.5;

/// The weight of a new observation that is longer than the estimate. A path
/// that became slower is recognised after some dozens of connections.
const INCREASE_WEIGHT: f64 = 0.05;

/// The latencies of the network paths to data centres, as measured by
/// connections.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct PathLatencies {
    connect_ms: BTreeMap<DataCentreId, f64>,
}

impl PathLatencies {
    /// Records how long a connection to a data centre took to be made, in ms:
    /// one round trip plus the processing time of both ends.
    pub fn record(&mut self, to: &DataCentreId, took_ms: f64) {
        let Some(known) = self.connect_ms.get_mut(to) else {
            self.connect_ms.insert(to.clone(), took_ms);
            return;
        };
        let weight = match took_ms < *known {
            true => DECREASE_WEIGHT,
            false => INCREASE_WEIGHT,
        };
        *known += (took_ms - *known) * weight;
    }

    /// Returns the cost of the network path to a data centre.
    pub fn cost_to(
        &self,
        data_centre: &DataCentreId,
        topology: &Topology,
        settings: &DistanceSettings,
    ) -> PathCost {
        let distance = topology.distance(data_centre);
        PathCost {
            round_trip_ms: self.round_trip_ms(data_centre, topology, settings),
            bytes_ms: settings.bytes_ms(distance),
        }
    }

    /// Returns the round-trip time to a data centre beyond the round-trip time
    /// within the local data centre, in ms.
    ///
    /// The processing time of both ends is the same everywhere. It cancels out
    /// once connections within the local data centre were measured.
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
