//! Tests that packed store versions rise across restores of the store.

use googletest::prelude::*;
use proptest::prelude::*;

use crate::{fleet::StoreVersion, testing::cases};

#[gtest]
fn packed_versions_of_the_first_era_equal_the_versions() {
    let version = StoreVersion { era: 0, version: 17 };
    expect_that!(version.pack(), eq(17));
    expect_false!(StoreVersion::is_later_era(18, 17));
    let later = StoreVersion { era: 1, version: 2 }.pack();
    expect_true!(StoreVersion::is_later_era(later, 17));
    expect_false!(StoreVersion::is_later_era(17, later));
}

proptest! {
    #![proptest_config(cases())]

    #[test]
    fn packed_numbers_keep_the_order_and_unpack_to_the_version(
        eras in (0..9_u64, 0..9_u64),
        versions in (0..1_u64 << 40, 0..1_u64 << 40),
    ) {
        let one = StoreVersion { era: eras.0, version: versions.0 };
        let other = StoreVersion { era: eras.1, version: versions.1 };
        prop_assert_eq!(one.pack().cmp(&other.pack()), one.cmp(&other));
        prop_assert_eq!(StoreVersion::unpack(one.pack()), one);
    }
}
