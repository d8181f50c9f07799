//! Tests the paces of engines and models that gateways learn together.

use googletest::prelude::*;
use proptest::prelude::*;

use crate::{
    Millis,
    fleet::paces::{
        AdvertisedPaces, LogRatio, PaceEstimator, PaceObservation, PaceUpdate,
        Paces,
    },
    id::{ModelName, ModelTag, UpstreamTag},
    testing::cases,
};

fn engine(number: usize) -> UpstreamTag {
    UpstreamTag::new(u32::try_from(number).unwrap())
}

fn model(number: usize) -> ModelTag {
    ModelName::new(format!("m{number}")).tag()
}

/// A pseudo-random number from 0 to 1.
fn draw(number: usize) -> f64 {
    let hash = xxhash_rust::xxh3::xxh3_64(&number.to_le_bytes());
    #[allow(clippy::cast_precision_loss)]
    let part = (hash >> 11) as f64 / (1_u64 << 53) as f64;
    part
}

/// Returns the true ratio of an engine and a model: three speeds of engines
/// and three paces of models, with the values of the users' sheet.
fn true_ratio(engine: usize, model: usize) -> f64 {
    let speed = [1.0, 1.0, 1.3][engine % 3];
    let pace = [1.0, 0.35, 0.23][model % 3];
    speed * pace
}

/// Returns observations of 90 engines and 18 models, each wrong by a factor of
/// up to 3 in either direction.
fn observe(count: usize, from: usize) -> Vec<PaceObservation> {
    let observations = (from..from + count).map(|number| {
        let (e, m) = (number * 7 % 90, number * 5 % 18);
        let noise = (draw(number) - 0.5) * 2.0 * 3.0_f64.ln();
        PaceObservation {
            engine: engine(e),
            model: model(m),
            ratio: LogRatio::from_ln(true_ratio(e, m).ln() + noise),
        }
    });
    observations.collect()
}

/// Returns the mean error over all pairs of an engine and a model, as a
/// logarithm.
fn error(paces: &Paces) -> f64 {
    let pairs = (0..90).flat_map(|e| (0..18).map(move |m| (e, m)));
    let errors = pairs.map(|(e, m)| {
        let taken = paces.of_engine(engine(e)) * paces.of_model(model(m));
        (taken / true_ratio(e, m)).ln().abs()
    });
    errors.sum::<f64>() / (90.0 * 18.0)
}

#[gtest]
fn paces_of_engines_and_models_are_separated() {
    let mut estimator = PaceEstimator::default();
    let before = error(&estimator.paces(Millis::new(0)));
    // 300 observations per second, for eight seconds.
    for second in 0..8 {
        let now = Millis::new(second * 1_000);
        let from = usize::try_from(second).unwrap() * 300;
        estimator.learn(&observe(300, from), now);
    }
    let after = error(&estimator.paces(Millis::new(8_000)));
    expect_that!(before, gt(0.7));
    expect_that!(after, lt(0.25));
}

#[gtest]
fn a_slow_engine_is_detected_within_a_second_and_decays() {
    let mut estimator = PaceEstimator::default();
    estimator.learn(&observe(3_000, 0), Millis::new(10_000));
    let slow = engine(0);
    let before = estimator.paces(Millis::new(10_000)).of_engine(slow);
    let observation = PaceObservation {
        engine: slow,
        model: model(0),
        ratio: LogRatio::from_ln(5.0_f64.ln()),
    };
    for step in 0..4 {
        estimator.learn(&[observation], Millis::new(10_000 + step * 250));
    }
    let after = estimator.paces(Millis::new(11_000)).of_engine(slow);
    expect_that!(after, gt(before * 1.4));
    // The estimate decays, so that the engine gets requests again.
    let later = estimator.paces(Millis::new(60_000)).of_engine(slow);
    expect_that!(later, lt(1.1));
}

#[gtest]
fn a_new_hub_continues_from_the_advertised_paces() {
    let mut estimator = PaceEstimator::default();
    estimator.learn(&observe(3_000, 0), Millis::new(10_000));
    let advertised = estimator.paces(Millis::new(10_000));
    let mut successor = PaceEstimator::default();
    successor.adopt(&advertised, Millis::new(10_000));
    expect_that!(successor.paces(Millis::new(10_000)), eq(&advertised));
}

proptest! {
    #![proptest_config(cases())]

    /// A gateway that receives all updates knows the paces to one in ten. A
    /// gateway that lost an update knows them after the next full update.
    #[test]
    fn updates_add_up_to_the_advertised_paces(
        steps in prop::collection::vec(
            (prop::collection::vec((0_usize..6, -40_i32..40), 0..5), any::<bool>()),
            1..30,
        ),
    ) {
        let mut advertised = AdvertisedPaces::default();
        let mut received = Paces::default();
        let mut paces = Paces::default();
        let mut now = Millis::new(0);
        let mut lost_since_full = false;
        for (changes, is_lost) in steps {
            for (number, steps) in changes {
                let ratio = LogRatio::from_ln(f64::from(steps) / 32.0);
                paces.engines.insert(engine(number), ratio);
            }
            now = now + 300;
            let update: PaceUpdate = advertised.next_update(paces.clone(), now);
            if is_lost {
                lost_since_full = true;
                continue;
            }
            lost_since_full &= !update.is_full;
            received.apply(&update);
            if lost_since_full {
                continue;
            }
            for number in 0..6 {
                let (actual, assumed) = (
                    paces.of_engine(engine(number)),
                    received.of_engine(engine(number)),
                );
                prop_assert!((actual / assumed).ln().abs() < 0.1);
            }
        }
    }
}
