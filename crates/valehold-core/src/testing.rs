//! What the property tests of this crate share.

use proptest::test_runner::{Config, RngSeed};

/// The variable that makes property tests run longer, and with other seeds.
const CASES_VARIABLE: &str = "VALEHOLD_CASES";

/// How many cases a property is tried with otherwise.
const CASES: u32 = 512;

/// The seed of the cases that every run tries.
const SEED: u64 = 20_261_202;

/// Returns how properties are tried: with the same cases each time, unless
/// more are asked for.
pub(crate) fn cases() -> Config {
    let asked = std::env::var(CASES_VARIABLE).ok();
    let asked = asked.and_then(|cases| cases.parse().ok());
    Config {
        cases: asked.unwrap_or(CASES),
        rng_seed: match asked {
            Some(_) => RngSeed::Random,
            None => RngSeed::Fixed(SEED),
        },
        failure_persistence: None,
        max_shrink_iters: 10_000,
        ..Config::default()
    }
}

/// As [`cases`], for properties of which one case takes long.
pub(crate) fn few_cases() -> Config {
    const PART: u32 = 8;
    let config = cases();
    Config { cases: config.cases.div_ceil(PART), ..config }
}
