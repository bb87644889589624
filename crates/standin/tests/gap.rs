//! Fairness gap and utilisation, computed from samples.

use googletest::prelude::*;
use mulberryyoke_standin::fleet::{Sample, fairness_gap, utilisation};

/// Samples per second that the launcher takes.
const SAMPLES_PER_SECOND: usize = 10;

/// Builds samples of two customers served at constant rates, in tokens per sample. `waiting`
/// returns whether each customer is backlogged in a sample.
fn samples(seconds: usize, rates: [u64; 2], waiting: impl Fn(usize) -> [bool; 2]) -> Vec<Sample> {
    (0..=seconds * SAMPLES_PER_SECOND)
        .map(|index| Sample {
            service: rates.iter().map(|rate| rate * index as u64).collect(),
            waiting: waiting(index).to_vec(),
            busy: 3,
            slots: 4,
        })
        .collect()
}

#[test]
fn the_gap_is_the_largest_difference_in_service_per_share() {
    // In 10 s, 4,000 tokens for 2 shares and 1,000 tokens for 1 share.
    let gap = fairness_gap(&samples(10, [40, 10], |_| [true, true]), &[2, 1]);
    assert_that!(gap.tokens, near(1000.0, 1e-6));
    assert_that!(gap.fraction, near(1000.0 / (5000.0 / 3.0), 1e-6));
    assert_that!(gap.seconds, eq(10));
    assert_that!(gap.backlogged, eq(2));
}

#[test]
fn the_gap_is_zero_if_service_is_proportional_to_shares() {
    let gap = fairness_gap(&samples(10, [40, 10], |_| [true, true]), &[4, 1]);
    assert_that!(gap.tokens, near(0.0, 1e-6));
}

#[test]
fn windows_in_which_a_customer_is_not_backlogged_are_skipped() {
    // The second customer is not backlogged in one sample, at 4.5 s of 10 s.
    let waiting = |index| [true, index != 45];
    let gap = fairness_gap(&samples(10, [40, 10], waiting), &[1, 1]);
    assert_that!(gap.seconds, eq(5));
    assert_that!(gap.tokens, near(1500.0, 1e-6));
}

#[test]
fn utilisation_ignores_samples_without_waiting_requests() {
    let mut samples = samples(1, [1, 1], |index| [index < 5, false]);
    for sample in &mut samples[5..] {
        sample.busy = 0;
    }
    assert_that!(utilisation(&samples), near(0.75, 1e-6));
}
