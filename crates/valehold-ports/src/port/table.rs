//! The transactional table service.

use serde::{Deserialize, Serialize, de::DeserializeOwned};

use super::Answer;
use crate::error::PortError;

/// A row of the table.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Its key.
    pub key: String,
    /// Its version: the number of the commit that wrote it, never reused.
    pub version: u64,
    /// Its value.
    pub value: String,
}

/// A condition on a key; the version 0 stands for no row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Condition {
    /// The key.
    pub key: String,
    /// The version that it must have.
    pub version: u64,
}

/// A write to a key; no value deletes the row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Write {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Option<String>,
}

/// Writes that happen all together, if all conditions hold.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Transaction {
    /// The conditions.
    pub conditions: Vec<Condition>,
    /// The writes.
    pub writes: Vec<Write>,
}

impl Transaction {
    /// Makes an empty transaction.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a condition.
    #[must_use]
    pub fn when(mut self, key: impl Into<String>, version: u64) -> Self {
        self.conditions.push(Condition { key: key.into(), version });
        self
    }

    /// Adds a write.
    #[must_use]
    pub fn put(
        mut self,
        key: impl Into<String>,
        value: impl Into<String>,
    ) -> Self {
        let value = Some(value.into());
        self.writes.push(Write { key: key.into(), value });
        self
    }

    /// Adds a deletion.
    #[must_use]
    pub fn delete(mut self, key: impl Into<String>) -> Self {
        self.writes.push(Write { key: key.into(), value: None });
        self
    }
}

/// How a transaction ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CommitOutcome {
    /// It took effect; the rows it wrote have this version.
    Done {
        /// The version.
        version: u64,
    },
    /// A condition did not hold, so nothing was written.
    Conflict {
        /// The key of the first condition that did not hold.
        key: String,
    },
}

/// The transactional table service.
pub trait Table: Send + Sync {
    /// Reads a row.
    fn get<'a>(&'a self, key: &'a str) -> Answer<'a, Option<Row>>;

    /// Reads all rows whose keys begin with `prefix`, as of one moment.
    fn scan<'a>(&'a self, prefix: &'a str) -> Answer<'a, Vec<Row>>;

    /// Tries a transaction.
    ///
    /// An error whose verdict is not "not run" leaves it open whether the
    /// transaction took effect or will.
    fn commit<'a>(&'a self, tx: &'a Transaction) -> Answer<'a, CommitOutcome>;
}

/// Reads a row's value.
///
/// # Errors
///
/// If the value is not of the type.
pub fn decode<T: DeserializeOwned>(row: &Row) -> Result<T, PortError> {
    serde_json::from_str(&row.value)
        .map_err(|e| PortError::malformed(format!("the row {}: {e}", row.key)))
}

/// Makes a row's value.
///
/// # Panics
///
/// If the type has a map whose keys are not texts; none in this project has.
pub fn encode<T: Serialize>(value: &T) -> String {
    serde_json::to_string(value).expect("rows have texts for keys")
}
