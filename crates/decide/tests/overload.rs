//! When callers go elsewhere, and for how long.

use googletest::prelude::*;
use mulberryyoke_decide::overload::Overload;
use mulberryyoke_model::Millis;

/// Time between measurements, in milliseconds.
const STEP: Millis = 50;

/// Lateness of a task while the node is overloaded, in milliseconds.
const LATE: u64 = 400;

/// Measures the same lateness from one moment to another.
fn run(overload: &mut Overload, from: Millis, to: Millis, late_ms: u64) {
    for step in from / STEP..to / STEP {
        overload.record_delay(late_ms, step * STEP);
    }
}

#[gtest]
fn an_overloaded_node_has_callers_go_elsewhere_until_it_has_caught_up_and_seconds_beyond() {
    let mut overload = Overload::default();
    run(&mut overload, 0, 1_000, 5);
    expect_that!(overload.until(), eq(0));
    run(&mut overload, 1_000, 3_000, LATE);
    expect_that!(overload.is_overloaded(), eq(true));
    expect_that!(overload.since(), eq(1_000));
    expect_that!(overload.until(), eq(Millis::MAX));
    run(&mut overload, 3_000, 5_000, 0);
    expect_that!(overload.is_overloaded(), eq(false));
    expect_that!(overload.until(), eq(6_000));
}

#[gtest]
fn callers_stay_away_longer_each_time_that_the_same_load_comes_back() {
    let mut overload = Overload::default();
    let mut back = 0;
    let mut away = Vec::new();
    for _ in 0..5 {
        // The callers are back and it is overloaded again within two seconds.
        let begin = back + 2_000;
        run(&mut overload, begin, begin + 500, LATE);
        run(&mut overload, begin + 500, begin + 2_000, 0);
        away.push(overload.until() - begin);
        back = overload.until();
    }
    expect_that!(away, eq(&[5_000, 10_000, 20_000, 20_000, 20_000]));
    // After a quiet time it is another load.
    let begin = back + 30_000;
    run(&mut overload, begin, begin + 500, LATE);
    run(&mut overload, begin + 500, begin + 2_000, 0);
    expect_that!(overload.until() - begin, eq(5_000));
}

#[gtest]
fn the_cycle_of_a_flood_before_a_small_node_ends() {
    // Whenever callers are there it gets more than it can do.
    let mut overload = Overload::default();
    let mut changes = 0;
    let mut late_ms = 0;
    for step in 0..55_000 / STEP {
        let now = step * STEP;
        let has_callers = now >= overload.until();
        late_ms = if has_callers {
            late_ms + 20
        } else {
            late_ms / 2
        };
        changes += u32::from(overload.record_delay(late_ms, now));
    }
    // 157 when it took callers as soon as it had caught up.
    expect_that!(changes, le(10));
}

#[gtest]
fn a_moment_of_lateness_changes_nothing() {
    let mut overload = Overload::default();
    expect_that!(overload.record_delay(200, 50), eq(false));
    run(&mut overload, 100, 2_000, 10);
    expect_that!(overload.until(), eq(0));
}
