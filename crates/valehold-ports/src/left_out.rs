//! Entries of others that cannot be used.
//!
//! Anybody may write into a shared table. An entry that cannot be read is
//! logged when it comes and when it changes, and not each time that it is read.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{Mutex, PoisonError},
};

use xxhash_rust::xxh3::xxh3_64;

/// The entries that were left out last: a hash of what stood in each.
#[derive(Debug, Default)]
pub struct LeftOut {
    entries: Mutex<BTreeMap<String, u64>>,
}

impl LeftOut {
    /// Notes an entry that is left out; tells whether it was not before, or
    /// has changed since.
    pub fn is_new(&self, key: &str, value: &[u8]) -> bool {
        let hash = xxh3_64(value);
        self.with(|known| known.insert(key.to_owned(), hash) != Some(hash))
    }

    /// Forgets an entry: it is gone, or can be used.
    pub fn forget(&self, key: &str) {
        self.with(|known| known.remove(key));
    }

    /// Forgets entries that are not `there` any more.
    pub fn retain<'a>(&self, there: impl Iterator<Item = &'a str>) {
        let there: BTreeSet<&str> = there.collect();
        self.with(|known| known.retain(|key, _| there.contains(&**key)));
    }

    fn with<T>(&self, act: impl FnOnce(&mut BTreeMap<String, u64>) -> T) -> T {
        // Plain hashes: any value that a panic left is a valid one.
        act(&mut self.entries.lock().unwrap_or_else(PoisonError::into_inner))
    }
}
