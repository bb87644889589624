//! Turns of the sources of the same data.

use googletest::prelude::*;
use mulberryyoke_decide::failover::Failover;
use mulberryyoke_model::Millis;
use proptest::prelude::*;

/// Largest backoff of a source, in milliseconds.
const MAX_BACKOFF_MS: Millis = 3_000;

/// Longest call and pause after it, in milliseconds.
const MAX_CALL_MS: Millis = 1_000;

/// A failed call: how long it and the pause after it took, and the backoff of its source.
#[derive(Clone, Copy, Debug)]
struct Step {
    call_ms: Millis,
    backoff_ms: Millis,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = (1..=MAX_CALL_MS, 0..=MAX_BACKOFF_MS);
    let step = step.prop_map(|(call_ms, backoff_ms)| Step {
        call_ms,
        backoff_ms,
    });
    prop::collection::vec(step, 1..200)
}

proptest! {
    /// Guards against sources that answer uselessly again and again, and thereby keep another from
    /// being asked: it is, after at most one call to each other source from the end of its backoff.
    #[test]
    fn every_source_gets_its_turn(count in 1_usize..12, steps in steps()) {
        let sources: Vec<usize> = (0..count).collect();
        let mut failover = Failover::default();
        let mut due_at = vec![0; count];
        let mut calls_while_due = vec![0; count];
        let mut now = 0;
        for step in steps {
            let asked = failover.select(&sources, now).expect("there are sources");
            for source in &sources {
                let is_passed_over = due_at[*source] <= now && *source != asked;
                calls_while_due[*source] += usize::from(is_passed_over);
                prop_assert!(calls_while_due[*source] < count, "source {source} starves");
            }
            calls_while_due[asked] = 0;
            now += step.call_ms;
            due_at[asked] = now + step.backoff_ms;
            failover.record_failure(asked, now + step.backoff_ms);
        }
    }

    /// The preferred source is asked alone while it answers, also after others had to be.
    #[test]
    fn the_preferred_source_is_asked_once_it_answers(count in 2_usize..12, steps in steps()) {
        let sources: Vec<usize> = (0..count).collect();
        let mut failover = Failover::default();
        let mut now = 0;
        for step in steps {
            let asked = failover.select(&sources, now).expect("there are sources");
            now += step.call_ms;
            failover.record_failure(asked, now + step.backoff_ms);
        }
        failover.record_success();
        now += MAX_BACKOFF_MS;
        for _ in 0..count {
            prop_assert_eq!(failover.select(&sources, now), Some(0));
            failover.record_success();
        }
    }
}

#[gtest]
fn the_earliest_backoff_ends_first_if_all_back_off() {
    let mut failover = Failover::default();
    let sources = ["a", "b", "c"];
    for (retry_at, source) in [(900, "a"), (300, "b"), (600, "c")] {
        expect_that!(failover.select(&sources, 0), some(eq(source)));
        failover.record_failure(source, retry_at);
    }
    expect_that!(failover.select(&sources, 100), some(eq("b")));
    expect_that!(failover.is_degraded(100), eq(true));
    expect_that!(failover.is_degraded(900), eq(false));
}

/// Each failure after a success is followed by the next preferred source, not by the one that was
/// asked longest ago, which is the key-value service of many gateways.
#[gtest]
fn turns_begin_anew_after_a_success() {
    let mut failover = Failover::default();
    let sources = ["a", "b", "service"];
    for start in [0, 10_000, 20_000] {
        expect_that!(failover.select(&sources, start), some(eq("a")));
        failover.record_failure("a", start + 3_000);
        expect_that!(failover.select(&sources, start), some(eq("b")));
        failover.record_success();
    }
}

#[gtest]
fn sources_may_come_and_go() {
    let mut failover: Failover<&str> = Failover::default();
    expect_that!(failover.select(&[], 0), none());
    expect_that!(failover.select(&["a", "b"], 0), some(eq("a")));
    failover.record_failure("a", 500);
    expect_that!(failover.select(&["a", "b"], 0), some(eq("b")));
    failover.record_failure("b", 500);
    expect_that!(failover.select(&["a", "b", "c"], 100), some(eq("c")));
    failover.record_failure("c", 500);
    expect_that!(failover.select(&["b"], 100), some(eq("b")));
}
