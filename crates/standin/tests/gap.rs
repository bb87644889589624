//! The launcher's measure of the fairness gap and of utilisation.

use googletest::prelude::*;
use mulberryyoke_standin::fleet::{Sample, fairness_gap, utilisation};

/// Samples a second, as the launcher takes them.
const PER_SECOND: usize = 10;

/// Samples of two customers served at constant rates; `waits` tells whether
/// each has waiting work at an instant.
fn samples(seconds: usize, rates: [u64; 2], waits: impl Fn(usize) -> [bool; 2]) -> Vec<Sample> {
    (0..=seconds * PER_SECOND)
        .map(|at| Sample {
            service: rates.iter().map(|rate| rate * at as u64).collect(),
            waiting: waits(at).to_vec(),
            busy: 3,
            slots: 4,
        })
        .collect()
}

#[test]
fn measures_the_largest_difference_by_share() {
    let both = |_| [true, true];
    // Over 10 s: 4,000 tokens for 2 shares, 1,000 tokens for 1 share.
    let gap = fairness_gap(&samples(10, [40, 10], both), &[2, 1]);
    assert_that!(gap.tokens, near(1000.0, 1e-6));
    assert_that!(gap.fraction, near(1000.0 / (5000.0 / 3.0), 1e-6));
    assert_that!(gap.seconds, eq(10));
    assert_that!(gap.backlogged, eq(2));
}

#[test]
fn finds_none_when_service_follows_shares() {
    let gap = fairness_gap(&samples(10, [40, 10], |_| [true, true]), &[4, 1]);
    assert_that!(gap.tokens, near(0.0, 1e-6));
}

#[test]
fn leaves_out_windows_in_which_one_has_nothing_waiting() {
    // The second has nothing waiting for an instant after 4 s, of 10.
    let gap = fairness_gap(&samples(10, [40, 10], |at| [true, at != 45]), &[1, 1]);
    assert_that!(gap.seconds, eq(5));
    assert_that!(gap.tokens, near(1500.0, 1e-6));
}

#[test]
fn utilisation_counts_only_instants_at_which_work_waits() {
    let mut samples = samples(1, [1, 1], |at| [at < 5, false]);
    for sample in &mut samples[5..] {
        sample.busy = 0;
    }
    assert_that!(utilisation(&samples), near(0.75, 1e-6));
}
