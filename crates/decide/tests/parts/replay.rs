//! Replays of a pool of twelve servers behind several gateways.

use googletest::prelude::*;

use crate::fleet::{Fleet, Result, Scenario};

/// Requests with a bad part that may reach servers later than 3 s after the fifth crash.
const MAX_LATE: usize = 3;

/// Crashes by one bad part: five and those that may follow.
const MAX_CRASHES: usize = 5 + MAX_LATE;

/// Requests with a bad part per second up to which servers crash one by one.
const SLOW_PER_S: f64 = 2.0;

fn replay(scenario: &Scenario, seeds: u64) -> Vec<Result> {
    let runs = (0..seeds).map(|seed| Fleet::new(scenario.clone(), seed).run());
    runs.collect()
}

/// Expects what must hold however often servers crash.
fn expect_bounds(scenario: &Scenario, results: &[Result]) {
    let late = results.iter().map(|result| result.late).max();
    expect_that!(late, some(le(MAX_LATE)), "{scenario:?}");
    for result in results {
        expect_that!(2 * result.withheld, le(result.sound), "{scenario:?}");
    }
}

/// Expects what must hold if servers crash one by one.
fn expect_precision(scenario: &Scenario, results: &[Result]) {
    for result in results {
        expect_that!(result.crashes, le(MAX_CRASHES), "{scenario:?}");
        expect_that!(result.convicted, eq(0), "sound parts, {scenario:?}");
        expect_that!(
            result.convicted_sessions,
            eq(0),
            "sound parts, {scenario:?}"
        );
    }
}

#[gtest]
fn a_bad_part_is_held_and_no_sound_one() {
    for gateways in [3, 12] {
        for place in [1, 2] {
            for bad_per_s in [0.5, 2.0, 10.0, 40.0] {
                let scenario = Scenario {
                    gateways,
                    bad: vec![(place, 2_000)],
                    bad_per_s,
                    ..Scenario::default()
                };
                let results = replay(&scenario, 3);
                expect_bounds(&scenario, &results);
                if bad_per_s <= SLOW_PER_S {
                    expect_precision(&scenario, &results);
                }
            }
        }
    }
}

#[gtest]
fn two_bad_parts_are_held_at_the_same_time() {
    let scenario = Scenario {
        bad: vec![(1, 2_000), (2, 2_000)],
        ..Scenario::default()
    };
    expect_bounds(&scenario, &replay(&scenario, 10));
}

#[gtest]
fn a_bad_part_that_comes_back_is_held_still() {
    let scenario = Scenario {
        pause: 10_000..200_000,
        duration_ms: 205_000,
        ..Scenario::default()
    };
    let results = replay(&scenario, 2);
    expect_bounds(&scenario, &results);
    expect_precision(&scenario, &results);
}

#[gtest]
fn a_version_that_is_immune_runs_the_part() {
    let scenario = Scenario {
        versions: vec![true, false],
        ..Scenario::default()
    };
    let results = replay(&scenario, 10);
    expect_bounds(&scenario, &results);
    expect_precision(&scenario, &results);
    let runs = results.iter().map(|result| result.immune_runs).min();
    expect_that!(runs, some(ge(20)));
}

#[gtest]
fn kills_of_many_servers_convict_nothing() {
    for count in [4, 8, 12] {
        let scenario = Scenario {
            bad: Vec::new(),
            kills: (1..8).map(|kill| (kill * 3_700, count)).collect(),
            ..Scenario::default()
        };
        let results = replay(&scenario, 2);
        expect_bounds(&scenario, &results);
        expect_precision(&scenario, &results);
    }
}
