//! Versions of a store that comes back from copies rise all the same.

use googletest::prelude::*;
use proptest::prelude::*;

use crate::{fleet::StoreVersion, testing::cases};

#[gtest]
fn the_first_era_has_the_versions_themselves() {
    let version = StoreVersion { era: 0, version: 17 };
    expect_that!(version.rising(), eq(17));
    expect_false!(StoreVersion::is_later_era(18, 17));
    let later = StoreVersion { era: 1, version: 2 }.rising();
    expect_true!(StoreVersion::is_later_era(later, 17));
    expect_false!(StoreVersion::is_later_era(17, later));
}

proptest! {
    #![proptest_config(cases())]

    #[test]
    fn the_number_rises_and_tells_both(
        eras in (0..9_u64, 0..9_u64),
        versions in (0..1_u64 << 40, 0..1_u64 << 40),
    ) {
        let one = StoreVersion { era: eras.0, version: versions.0 };
        let other = StoreVersion { era: eras.1, version: versions.1 };
        prop_assert_eq!(one.rising().cmp(&other.rising()), one.cmp(&other));
        prop_assert_eq!(StoreVersion::of(one.rising()), one);
    }
}
