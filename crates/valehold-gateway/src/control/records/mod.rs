//! The rows of the tables in which gateways keep what has to outlive all of
//! them.

pub(super) mod refused;
pub(super) mod streams;

use serde::{Serialize, de::DeserializeOwned};
use serde_json::Value;
use valehold_ports::PortError;

fn encode<T: Serialize>(value: &T) -> Result<Value, PortError> {
    serde_json::to_value(value)
        .map_err(|error| PortError::malformed(error.to_string()))
}

fn decode<T: DeserializeOwned>(value: &Value) -> Result<T, PortError> {
    T::deserialize(value)
        .map_err(|error| PortError::malformed(error.to_string()))
}
