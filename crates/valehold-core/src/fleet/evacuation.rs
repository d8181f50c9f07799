//! Data centres that operators have ordered to be emptied.
//!
//! An order stands until it is taken back. While it stands, upstreams of the
//! data centre get nothing new; what they answer already ends whole. Like the
//! configuration, the orders have a version of the platform's store, and of
//! two sets the one with the greater version holds.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::id::DataCentreId;

/// The data centres that are to be empty, as of one version of the platform's
/// store.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evacuations {
    /// The version; a greater one is newer.
    pub version: u64,
    /// The data centres.
    pub data_centres: BTreeSet<DataCentreId>,
}

/// An order to empty a data centre, or its end.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuationChange {
    /// The data centre.
    pub data_centre: DataCentreId,
    /// Whether it is to be empty; otherwise the order was taken back.
    pub is_ordered: bool,
}

impl Evacuations {
    /// Tells whether a data centre is to be empty.
    pub fn is_ordered(&self, data_centre: &DataCentreId) -> bool {
        self.data_centres.contains(data_centre)
    }

    /// Takes in changes up to a version; tells whether they were newer.
    pub fn apply(
        &mut self,
        version: u64,
        changes: impl IntoIterator<Item = EvacuationChange>,
    ) -> bool {
        if version <= self.version {
            return false;
        }
        self.version = version;
        for change in changes {
            let EvacuationChange { data_centre, is_ordered } = change;
            match is_ordered {
                true => self.data_centres.insert(data_centre),
                false => self.data_centres.remove(&data_centre),
            };
        }
        true
    }
}
