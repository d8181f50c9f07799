//! Rows of what requests are refused for since it crashes upstreams. The key
//! of a row names the culprit.

use serde::{Deserialize, Serialize};
use serde_json::Value;
use valehold_core::fleet::crashes::{
    RecordChange, RecordState, RecordedRefusal,
};
use valehold_ports::{
    PortError,
    port::fleet::{OwnRows, OwnRowsChange},
};

use super::{decode, encode};

/// The value of a row.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
struct RefusedValue {
    /// Until when the culprit is refused, by the store's steady clock, in ms.
    until_ms: u64,
}

/// Reads the rows. Those that cannot be read name no culprit.
pub(in crate::control) fn read(rows: &OwnRows) -> RecordState {
    let refusals = rows.rows.iter().filter_map(|(key, value)| {
        refusal(key, value)
            .inspect_err(|error| {
                log::warn!("the row {key} is left out: {error}");
            })
            .ok()
    });
    RecordState { refusals: refusals.collect(), store_ms: rows.store_ms }
}

fn refusal(key: &str, value: &Value) -> Result<RecordedRefusal, PortError> {
    let culprit = key.parse();
    let culprit =
        culprit.map_err(|_| PortError::malformed("it names no culprit"))?;
    let RefusedValue { until_ms } = decode(value)?;
    Ok(RecordedRefusal { culprit, until_ms })
}

/// Returns the rows that a change writes and removes.
pub(in crate::control) fn rows(
    change: &RecordChange,
) -> Result<OwnRowsChange, PortError> {
    let put = change.put.iter().map(|one| {
        let value = encode(&RefusedValue { until_ms: one.until_ms })?;
        Ok((one.culprit.to_string(), value))
    });
    let remove = change.remove.iter().map(ToString::to_string);
    Ok(OwnRowsChange {
        put: put.collect::<Result<_, PortError>>()?,
        remove: remove.collect(),
    })
}
