//! Where the cell's rows are in the platform's table.

use valehold_core::id::{Artifact, UpstreamId};

/// The one cell that there is today. Keys carry its number, so that engines
/// can be split over several without moving what is stored.
const CELL: u16 = 0;

/// Returns the key of the lease.
pub(super) fn lease_key() -> String {
    format!("cells/{CELL}/lease")
}

/// Returns the key of the epoch, which changes only with the holder.
pub(super) fn epoch_key() -> String {
    format!("cells/{CELL}/epoch")
}

/// Returns the prefix of the keys of orders.
pub(super) fn orders_prefix() -> String {
    format!("cells/{CELL}/orders/")
}

/// Returns the key of the order about an artifact on an engine.
pub(super) fn order_key(engine: &UpstreamId, artifact: &Artifact) -> String {
    format!("{}{engine}/{artifact}", orders_prefix())
}
