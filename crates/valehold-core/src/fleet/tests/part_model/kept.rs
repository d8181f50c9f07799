//! Scenarios on which the model's checks failed before.

use super::{Scenario, assert_crashing_parts_stop, assert_no_part_is_refused};

#[test]
fn a_wave_and_three_more_beside_eight_parts() {
    assert_no_part_is_refused(Scenario {
        seed: 5_369_910_489_511_318_524,
        culprits: 0,
        culprits_per_s: 0.5,
        sound_per_s: 39.021019485607745,
        sound_parts: 8,
        max_wait_ms: 144,
        waves: vec![2_016, 1_686, 2_126, 1_881],
        has_output: false,
    });
}

#[test]
fn sound_requests_go_on_beside_two_culprits_and_a_wave() {
    assert_crashing_parts_stop(Scenario {
        seed: 18_277_440_643_459_978_273,
        culprits: 2,
        culprits_per_s: 2.9011904340817205,
        sound_per_s: 40.466934319470234,
        sound_parts: 27,
        max_wait_ms: 433,
        waves: vec![2_716],
        has_output: false,
    });
}

#[test]
fn three_waves_within_a_second_beside_two_parts() {
    assert_no_part_is_refused(Scenario {
        seed: 14_752_720_686_071_008_090,
        culprits: 0,
        culprits_per_s: 0.5,
        sound_per_s: 42.33703032160225,
        sound_parts: 2,
        max_wait_ms: 35,
        waves: vec![521, 886, 1_026],
        has_output: false,
    });
}

#[test]
fn two_frequent_culprits_stop_beside_a_wave() {
    assert_crashing_parts_stop(Scenario {
        seed: 16_000_934_535_478_388_656,
        culprits: 2,
        culprits_per_s: 5.7949852572901746,
        sound_per_s: 55.63869692089724,
        sound_parts: 2,
        max_wait_ms: 147,
        waves: vec![2_876],
        has_output: false,
    });
}

#[test]
fn four_waves_over_six_seconds() {
    assert_no_part_is_refused(Scenario {
        seed: 17_426_108_675_641_892_399,
        culprits: 0,
        culprits_per_s: 0.5,
        sound_per_s: 32.68655715110131,
        sound_parts: 31,
        max_wait_ms: 439,
        waves: vec![4_336, 10_096, 8_111, 7_311],
        has_output: false,
    });
}

#[test]
fn two_frequent_culprits_stop() {
    assert_crashing_parts_stop(Scenario {
        seed: 6_351_422_746_865_845_521,
        culprits: 2,
        culprits_per_s: 4.74011717538634,
        sound_per_s: 58.68520631591926,
        sound_parts: 8,
        max_wait_ms: 242,
        waves: vec![],
        has_output: false,
    });
}

#[test]
fn two_waves_at_once_after_another() {
    assert_no_part_is_refused(Scenario {
        seed: 8_156_757_261_575_677_563,
        culprits: 0,
        culprits_per_s: 0.5,
        sound_per_s: 36.75576748261653,
        sound_parts: 3,
        max_wait_ms: 402,
        waves: vec![1_106, 1_626, 1_621],
        has_output: false,
    });
}

#[test]
fn two_frequent_culprits_stop_beside_little_traffic() {
    assert_crashing_parts_stop(Scenario {
        seed: 3_604_121_129_860_609_327,
        culprits: 2,
        culprits_per_s: 4.853482560250959,
        sound_per_s: 7.498404607344171,
        sound_parts: 16,
        max_wait_ms: 494,
        waves: vec![4_748, 1_842, 14_204],
        has_output: false,
    });
}
