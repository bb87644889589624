//! Overload detection and the backoff of callers.

use googletest::prelude::*;
use mulberryyoke_decide::overload::Overload;
use mulberryyoke_model::Millis;

/// Time between measurements, in milliseconds.
const STEP_MS: Millis = 50;

/// Scheduling delay while the node is overloaded, in milliseconds.
const OVERLOAD_DELAY_MS: u64 = 400;

/// Records a constant scheduling delay from one time to another.
fn run(overload: &mut Overload, from: Millis, to: Millis, delay_ms: u64) {
    for step in from / STEP_MS..to / STEP_MS {
        overload.record_delay(delay_ms, step * STEP_MS);
    }
}

#[gtest]
fn callers_are_sent_elsewhere_during_an_overload_and_a_backoff() {
    let mut overload = Overload::default();
    run(&mut overload, 0, 1_000, 5);
    expect_that!(overload.until(), eq(0));
    run(&mut overload, 1_000, 3_000, OVERLOAD_DELAY_MS);
    expect_that!(overload.is_overloaded(), eq(true));
    expect_that!(overload.since(), eq(1_000));
    expect_that!(overload.until(), eq(Millis::MAX));
    run(&mut overload, 3_000, 5_000, 0);
    expect_that!(overload.is_overloaded(), eq(false));
    expect_that!(overload.until(), eq(6_000));
}

#[gtest]
fn the_backoff_doubles_while_the_same_overload_recurs() {
    let mut overload = Overload::default();
    let mut returned_at = 0;
    let mut backoffs = Vec::new();
    for _ in 0..5 {
        // The callers return and overload the node again within two seconds.
        let start = returned_at + 2_000;
        run(&mut overload, start, start + 500, OVERLOAD_DELAY_MS);
        run(&mut overload, start + 500, start + 2_000, 0);
        backoffs.push(overload.until() - start);
        returned_at = overload.until();
    }
    expect_that!(backoffs, eq(&[5_000, 10_000, 20_000, 20_000, 20_000]));
    // After a longer quiet period the backoff starts over.
    let start = returned_at + 30_000;
    run(&mut overload, start, start + 500, OVERLOAD_DELAY_MS);
    run(&mut overload, start + 500, start + 2_000, 0);
    expect_that!(overload.until() - start, eq(5_000));
}

#[gtest]
fn a_persistent_overload_does_not_cause_flapping() {
    // The callers overload the node whenever they are routed to it.
    let mut overload = Overload::default();
    let mut changes = 0;
    let mut delay_ms = 0;
    for step in 0..55_000 / STEP_MS {
        let now = step * STEP_MS;
        let has_callers = now >= overload.until();
        delay_ms = if has_callers {
            delay_ms + 20
        } else {
            delay_ms / 2
        };
        changes += u32::from(overload.record_delay(delay_ms, now));
    }
    expect_that!(changes, le(10));
}

#[gtest]
fn a_single_delay_does_not_count_as_an_overload() {
    let mut overload = Overload::default();
    expect_that!(overload.record_delay(200, 50), eq(false));
    run(&mut overload, 100, 2_000, 10);
    expect_that!(overload.until(), eq(0));
}
