//! Which addresses callers should use.

#[cfg(test)]
mod tests;

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{
    id::{DataCentreId, InstanceId},
    rendezvous,
};

/// An instance that callers can be sent to.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The instance.
    pub instance: InstanceId,
    /// Its address for callers.
    pub address: SocketAddr,
    /// The data centre that it stands in.
    pub data_centre: DataCentreId,
}

/// Orders instances for one caller: the nearest data centre first.
///
/// Within the same distance the order differs from caller to caller, so that
/// callers spread, and is the same for one caller, so that what an instance
/// learned of it stays of use.
pub fn order_for(
    entries: &[Entry],
    caller: &str,
    distance_ms: impl Fn(&DataCentreId) -> f64,
) -> Vec<Entry> {
    let mut ordered: Vec<Entry> = entries.to_vec();
    ordered.sort_by(|a, b| {
        let near = distance_ms(&a.data_centre)
            .total_cmp(&distance_ms(&b.data_centre));
        let weight =
            |e: &Entry| rendezvous::weight(caller, e.instance.as_str());
        near.then_with(|| weight(b).cmp(&weight(a)))
    });
    ordered
}
