//! Versions of the platform's store that never go back.
//!
//! The store gives out versions that rise with each change. It may come back
//! from an older copy of itself: then its versions go back, and are given out
//! again. It counts these returns in its era, so that an era and a version in
//! it together always rise. They are kept as one number, which everything that
//! compares versions may go on to compare.

/// How many bits of the number a version has: a store with a million changes a
/// second needs half a year for as many.
const VERSION_BITS: u32 = 44;

/// A version of the store, in one of its eras.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct StoreVersion {
    /// How often the store came back from a copy; 0 if it does not say.
    pub era: u64,
    /// The version in that era.
    pub version: u64,
}

impl StoreVersion {
    /// Returns the number, which is greater than that of each earlier version,
    /// and the version itself in the first era.
    pub const fn rising(self) -> u64 {
        (self.era << VERSION_BITS) | self.version
    }

    /// Returns the version that has a number.
    pub const fn of(rising: u64) -> Self {
        let era = rising >> VERSION_BITS;
        Self { era, version: rising - (era << VERSION_BITS) }
    }

    /// Tells whether the store came back from a copy between two numbers.
    pub const fn is_later_era(rising: u64, before: u64) -> bool {
        Self::of(rising).era > Self::of(before).era
    }
}
