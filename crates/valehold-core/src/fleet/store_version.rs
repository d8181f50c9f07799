//! Versions of the platform's store that rise even if the store is restored.
//!
//! The store assigns a rising version to each change. After a restore from an
//! older copy, the store's versions go back and are assigned again. The store
//! counts its restores in an era, so the pair of era and version always rises.
//! The pair is packed into one number, so that code that compares plain
//! versions works unchanged.

/// The number of bits of the version in a packed number. A store with a
/// million changes per second reaches this limit after half a year.
const VERSION_BITS: u32 = 44;

/// A version of the store together with its era.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct StoreVersion {
    /// The number of restores of the store from a copy; 0 if the store does
    /// not report an era.
    pub era: u64,
    /// The version within the era.
    pub version: u64,
}

impl StoreVersion {
    /// Returns the packed number, which is greater than the packed number of
    /// each earlier version. In era 0 it is the version itself.
    pub const fn pack(self) -> u64 {
        (self.era << VERSION_BITS) | self.version
    }

    /// Returns the era and version of a packed number.
    pub const fn unpack(packed: u64) -> Self {
        let era = packed >> VERSION_BITS;
        Self { era, version: packed - (era << VERSION_BITS) }
    }

    /// Returns whether the store was restored from a copy between the packed
    /// numbers `before` and `packed`.
    pub const fn is_later_era(packed: u64, before: u64) -> bool {
        Self::unpack(packed).era > Self::unpack(before).era
    }
}
