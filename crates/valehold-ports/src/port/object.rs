//! The object store.

use bytes::Bytes;

use super::Answer;

/// The object store. Objects are written once and never changed.
pub trait Objects: Send + Sync {
    /// Reads an object.
    fn read<'a>(&'a self, name: &'a str) -> Answer<'a, Option<Bytes>>;

    /// Writes an object. Writing the same again does no harm.
    fn write<'a>(&'a self, name: &'a str, body: Bytes) -> Answer<'a, ()>;
}
