//! What gateways learn together of engines and models.

use googletest::prelude::*;
use proptest::prelude::*;

use crate::{
    Millis,
    fleet::paces::{
        LogRatio, PaceBook, PaceNews, PaceObservation, Paces, ToldPaces,
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

/// Engines of three speeds and models of three paces, as on the users' sheet.
fn true_ratio(engine: usize, model: usize) -> f64 {
    let speed = [1.0, 1.0, 1.3][engine % 3];
    let pace = [1.0, 0.35, 0.23][model % 3];
    speed * pace
}

/// Observations of 90 engines and 18 models, each off by a factor of up to 3
/// either way.
fn observe(count: usize, from: usize) -> Vec<PaceObservation> {
    let observations = (from..from + count).map(|number| {
        let (e, m) = (number * 7 % 90, number * 5 % 18);
        let noise = (draw(number) - 0.5) * 2.0 * 3.0_f64.ln();
        PaceObservation {
            engine: engine(e),
            model: model(m),
            took: LogRatio::from_ln(true_ratio(e, m).ln() + noise),
        }
    });
    observations.collect()
}

/// Returns the mean error of all pairs, as a logarithm.
fn error(paces: &Paces) -> f64 {
    let pairs = (0..90).flat_map(|e| (0..18).map(move |m| (e, m)));
    let errors = pairs.map(|(e, m)| {
        let taken = paces.of_engine(engine(e)) * paces.of_model(model(m));
        (taken / true_ratio(e, m)).ln().abs()
    });
    errors.sum::<f64>() / (90.0 * 18.0)
}

#[gtest]
fn engines_and_models_are_told_apart() {
    let mut book = PaceBook::default();
    let before = error(&book.paces(Millis::new(0)));
    // Three hundred a second, for eight seconds.
    for second in 0..8 {
        let now = Millis::new(second * 1_000);
        let from = usize::try_from(second).unwrap() * 300;
        book.learn(&observe(300, from), now);
    }
    let after = error(&book.paces(Millis::new(8_000)));
    expect_that!(before, gt(0.7));
    expect_that!(after, lt(0.25));
}

#[gtest]
fn an_engine_that_turns_slow_is_found_within_a_second_and_forgotten() {
    let mut book = PaceBook::default();
    book.learn(&observe(3_000, 0), Millis::new(10_000));
    let slow = engine(0);
    let before = book.paces(Millis::new(10_000)).of_engine(slow);
    let seen = PaceObservation {
        engine: slow,
        model: model(0),
        took: LogRatio::from_ln(5.0_f64.ln()),
    };
    for step in 0..4 {
        book.learn(&[seen], Millis::new(10_000 + step * 250));
    }
    let after = book.paces(Millis::new(11_000)).of_engine(slow);
    expect_that!(after, gt(before * 1.4));
    // It is to be asked again some time.
    let later = book.paces(Millis::new(60_000)).of_engine(slow);
    expect_that!(later, lt(1.1));
}

#[gtest]
fn one_that_becomes_a_hub_goes_on_from_what_it_was_told() {
    let mut book = PaceBook::default();
    book.learn(&observe(3_000, 0), Millis::new(10_000));
    let told = book.paces(Millis::new(10_000));
    let mut successor = PaceBook::default();
    successor.adopt(&told, Millis::new(10_000));
    expect_that!(successor.paces(Millis::new(10_000)), eq(&told));
}

proptest! {
    #![proptest_config(cases())]

    /// Who hears all news knows what was told, to one in ten; who lost some
    /// knows it after the next whole.
    #[test]
    fn news_add_up(
        steps in prop::collection::vec(
            (prop::collection::vec((0_usize..6, -40_i32..40), 0..5), any::<bool>()),
            1..30,
        ),
    ) {
        let mut told = ToldPaces::default();
        let mut heard = Paces::default();
        let mut paces = Paces::default();
        let mut now = Millis::new(0);
        let mut lost_since_whole = false;
        for (changes, is_lost) in steps {
            for (number, steps) in changes {
                let ratio = LogRatio::from_ln(f64::from(steps) / 32.0);
                paces.engines.insert(engine(number), ratio);
            }
            now = now + 300;
            let news: PaceNews = told.news(paces.clone(), now);
            if is_lost {
                lost_since_whole = true;
                continue;
            }
            lost_since_whole &= !news.is_whole;
            heard.hear(&news);
            if lost_since_whole {
                continue;
            }
            for number in 0..6 {
                let (is, thought) = (
                    paces.of_engine(engine(number)),
                    heard.of_engine(engine(number)),
                );
                prop_assert!((is / thought).ln().abs() < 0.1);
            }
        }
    }
}
