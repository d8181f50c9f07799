//! Predictions and choices.

use googletest::prelude::*;
use proptest::prelude::*;

use super::{Candidate, RoutingSettings, WhyChosen, choose, predict};
use crate::{id::UpstreamId, testing::cases};

fn candidate(name: &str) -> Candidate {
    Candidate {
        engine: UpstreamId::new(name),
        distance_ms: 1.0,
        connection_ms: 0.0,
        suspect: false,
        slots: 4,
        prefill_tokens_per_second: 1_000.0,
        running: 0,
        waiting_tokens: 0,
        service_ms: 400.0,
        report_age_ms: 0,
        cached_tokens: 0,
        bytes_ms: 0.0,
        pause_within_ms: None,
    }
}

/// Bytes between data centres have a price, and delay nobody.
#[gtest]
fn the_price_of_bytes_counts_in_the_choice_alone() {
    let near = Candidate { waiting_tokens: 50, ..candidate("a") };
    let far = Candidate { bytes_ms: 1_000.0, ..candidate("b") };
    let choice =
        choose(&[near, far.clone()], 100, 0.0, &RoutingSettings::default())
            .expect("an engine");
    expect_that!(choice.engine, eq(&UpstreamId::new("a")));
    let of_far = predict(&far, 100, &RoutingSettings::default());
    let free = Candidate { bytes_ms: 0.0, ..far };
    let of_free = predict(&free, 100, &RoutingSettings::default());
    expect_that!(of_far.total_ms, eq(of_free.total_ms));
    expect_that!(of_far.cost_ms(), eq(of_free.cost_ms() + 1_000.0));
}

#[gtest]
fn each_term_is_its_own() {
    let settings = RoutingSettings::default();
    let idle = candidate("a");
    let busy = Candidate { running: 5, waiting_tokens: 50, ..candidate("a") };
    let warm = Candidate { cached_tokens: 100, ..candidate("a") };
    let idle = predict(&idle, 100, &settings);
    expect_that!(idle.distance_ms, approx_eq(2.0));
    expect_that!(idle.prompt_ms, approx_eq(100.0));
    expect_that!(idle.total_ms, approx_eq(102.0));
    let busy = predict(&busy, 100, &settings);
    expect_that!(busy.queue_ms, approx_eq(50.0));
    expect_that!(busy.slot_ms, approx_eq(200.0));
    let warm = predict(&warm, 100, &settings);
    expect_that!(warm.prompt_ms, approx_eq(10.0));
}

#[gtest]
fn long_readings_go_where_few_answers_would_pause() {
    let settings = RoutingSettings::default();
    // It would read for 510 ms at a stretch, of 600 that answers may pause.
    let crowded = Candidate {
        running: 8,
        slots: 16,
        waiting_tokens: 300,
        cached_tokens: 100,
        pause_within_ms: Some(600.0),
        ..candidate("a")
    };
    // It begins 80 ms later, and nothing runs there.
    let idle =
        Candidate { running: 0, waiting_tokens: 290, ..crowded.clone() };
    let idle =
        Candidate { engine: UpstreamId::new("b"), cached_tokens: 0, ..idle };
    let both = [crowded.clone(), idle.clone()];
    let chosen = choose(&both, 300, 0.999, &settings).unwrap();
    expect_that!(chosen.engine, eq(&idle.engine));
    // Where answers may pause for longer, the sooner one is chosen.
    let patient =
        both.map(|one| Candidate { pause_within_ms: Some(2_000.0), ..one });
    let chosen = choose(&patient, 300, 0.999, &settings).unwrap();
    expect_that!(chosen.engine, eq(&crowded.engine));
    // What others lose is no part of when the answer begins.
    let prediction = predict(&crowded, 300, &settings);
    expect_that!(prediction.harm_ms, gt(0.0));
    let sum = prediction.distance_ms
        + prediction.queue_ms
        + prediction.slot_ms
        + prediction.prompt_ms;
    expect_that!(prediction.total_ms, approx_eq(sum));
}

#[gtest]
fn a_resting_connection_counts_in_the_choice_and_not_in_the_time() {
    let settings = RoutingSettings::default();
    let connected = Candidate { waiting_tokens: 15, ..candidate("a") };
    let further =
        Candidate { connection_ms: settings.connection_ms, ..candidate("b") };
    // 15 ms later, but without a further connection.
    let both = [connected, further.clone()];
    let chosen = choose(&both, 10, 0.0, &settings).unwrap();
    expect_that!(chosen.engine, eq(&UpstreamId::new("a")));
    // A long queue outweighs it.
    let crowded = Candidate { waiting_tokens: 100, ..candidate("a") };
    let both = [crowded, further.clone()];
    let chosen = choose(&both, 10, 0.5, &settings).unwrap();
    expect_that!(chosen.engine, eq(&UpstreamId::new("b")));
    let free = Candidate { connection_ms: 0.0, ..further.clone() };
    let times = [further, free].map(|one| predict(&one, 10, &settings));
    expect_that!(times[0].total_ms, approx_eq(times[1].total_ms));
}

#[gtest]
fn suspect_engines_are_chosen_only_where_no_other_is_left() {
    let settings = RoutingSettings::default();
    let suspect = Candidate { suspect: true, ..candidate("a") };
    let slow = Candidate { waiting_tokens: 9_000, ..candidate("b") };
    let both = [suspect.clone(), slow];
    let chosen = choose(&both, 10, 0.999, &settings).unwrap();
    expect_that!(chosen.engine, eq(&UpstreamId::new("b")));
    let only = choose(&[suspect], 10, 0.5, &settings).unwrap();
    expect_that!(only.why, eq(WhyChosen::Only));
    expect_that!(choose(&[], 10, 0.5, &settings), none());
}

proptest! {
    #![proptest_config(cases())]

    #[test]
    fn chances_sum_to_one_and_fall_with_time(
        waiting in prop::collection::vec(0_u64..5_000, 1..12),
        age in 0_u64..5_000,
        draw in 0.0_f64..1.0,
    ) {
        let candidates: Vec<Candidate> = waiting
            .iter()
            .enumerate()
            .map(|(index, waiting)| Candidate {
                waiting_tokens: *waiting,
                report_age_ms: age,
                ..candidate(&format!("e{index}"))
            })
            .collect();
        let settings = RoutingSettings::default();
        let choice = choose(&candidates, 10, draw, &settings).unwrap();
        let sum: f64 = choice.predictions.iter().map(|p| p.chance).sum();
        prop_assert!((sum - 1.0).abs() < 1e-9);
        for pair in choice.predictions.windows(2) {
            prop_assert!(pair[0].total_ms <= pair[1].total_ms);
            prop_assert!(pair[0].chance >= pair[1].chance);
        }
    }
}
