//! Server pushback, and the retries that follow it.

use googletest::prelude::*;
use mulberryyoke_decide::pushback::{MAX_DELAY_MS, PROBE_INTERVAL_MS, Pushback, retry_after_ms};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

fn pushback(requests: &[(u64, u64)]) -> Pushback {
    let mut pushback = Pushback::default();
    for (now, delay_ms) in requests {
        pushback.extend(*delay_ms, *now);
    }
    pushback
}

#[gtest]
fn the_delay_is_capped_and_can_only_be_extended() {
    // Times and delays requested, and when the pushback ends.
    let table: [(&[(u64, u64)], u64); 6] = [
        (&[], 0),
        (&[(100, 0)], 0),
        (&[(100, 3_000)], 3_100),
        (&[(100, 3_000), (600, 500)], 3_100),
        (&[(100, 3_000), (600, 4_000)], 4_600),
        (&[(100, u64::MAX)], 100 + MAX_DELAY_MS),
    ];
    for (requests, until) in table {
        let pushback = pushback(requests);
        if let Some(before) = until.checked_sub(1) {
            expect_that!(pushback.is_active(before), eq(true), "{requests:?}");
            expect_that!(pushback.wait_ms(before), eq(1), "{requests:?}");
        }
        expect_that!(pushback.is_active(until), eq(false), "{requests:?}");
        expect_that!(pushback.wait_ms(until), eq(0), "{requests:?}");
    }
}

#[gtest]
fn after_the_delay_single_probes_are_sent_until_one_is_answered() {
    let mut pushback = pushback(&[(0, 1_000)]);
    expect_that!(
        pushback.record_response(500),
        eq(false),
        "sent before the pushback"
    );
    expect_that!(pushback.wait_ms(500), eq(500));
    pushback.record_send(1_000);
    expect_that!(pushback.wait_ms(1_001), eq(PROBE_INTERVAL_MS - 1));
    pushback.record_send(1_000 + PROBE_INTERVAL_MS);
    expect_that!(
        pushback.wait_ms(1_001 + PROBE_INTERVAL_MS),
        eq(PROBE_INTERVAL_MS - 1)
    );
    expect_that!(
        pushback.record_response(1_002 + PROBE_INTERVAL_MS),
        eq(true)
    );
    expect_that!(pushback.wait_ms(1_002 + PROBE_INTERVAL_MS), eq(0));
    expect_that!(
        pushback.record_response(1_003 + PROBE_INTERVAL_MS),
        eq(false),
        "already recovered"
    );
}

/// Requests a second, throughout the simulation.
const RATE_PER_S: u64 = 200;

/// Delay that all servers ask for, and length of the simulation, in milliseconds.
const DELAY_MS: u64 = 3_000;
const SIMULATION_MS: u64 = 10_000;

/// Requests that the servers process a second, and their queue limit.
const CAPACITY_PER_S: f64 = 300.0;
const MAX_QUEUED: f64 = 90.0;

/// Simulates callers that retry after the delay given by `retry_after`. Returns the number of
/// retries refused again, and the maximum number of arrivals in a tenth of a second.
fn simulate(mut retry_after: impl FnMut(u64) -> u64) -> (u64, usize) {
    let sent = (0..SIMULATION_MS).step_by(usize::try_from(1_000 / RATE_PER_S).expect("a step"));
    let attempts = sent.map(|at| match DELAY_MS.checked_sub(at) {
        Some(wait_ms) if wait_ms > 0 => (at + retry_after(wait_ms), true),
        _ => (at, false),
    });
    let mut arrivals: Vec<(u64, bool)> = attempts.collect();
    arrivals.sort_unstable();
    let (mut queued, mut last, mut refused) = (0.0, DELAY_MS, 0);
    for &(at, is_retry) in &arrivals {
        #[expect(clippy::cast_precision_loss, reason = "some seconds in milliseconds")]
        let processed = (at - last) as f64 * CAPACITY_PER_S / 1_000.0;
        queued = f64::max(queued - processed, 0.0);
        last = at;
        if queued < MAX_QUEUED {
            queued += 1.0;
        } else {
            refused += u64::from(is_retry);
        }
    }
    let tenths = arrivals.chunk_by(|a, b| a.0 / 100 == b.0 / 100);
    (refused, tenths.map(<[_]>::len).max().unwrap_or(0))
}

#[gtest]
fn retries_after_pushback_are_spread_out() {
    let mut rng = StdRng::seed_from_u64(1);
    let jittered = simulate(|wait_ms| u64::from(retry_after_ms(wait_ms, rng.random())));
    let half_jittered = simulate(|wait_ms| wait_ms + rng.random_range(0..wait_ms / 2 + 500));
    let unjittered = simulate(|wait_ms| wait_ms);
    // At most four times the normal number of arrivals in a tenth of a second.
    let max = usize::try_from(4 * RATE_PER_S / 10).expect("some requests");
    expect_that!(jittered.1, le(max));
    expect_that!(
        jittered.0,
        lt(half_jittered.0),
        "{jittered:?} {half_jittered:?} {unjittered:?}"
    );
    expect_that!(
        half_jittered.0,
        lt(unjittered.0),
        "{jittered:?} {half_jittered:?} {unjittered:?}"
    );
    println!("refused again, maximum per tenth: {jittered:?}, {half_jittered:?}, {unjittered:?}");
}

#[gtest]
fn retries_wait_at_least_for_the_first_server() {
    for drawn in [0.0, 0.5, 1.0] {
        expect_that!(retry_after_ms(700, drawn), ge(700));
    }
    expect_that!(retry_after_ms(u64::MAX, 1.0), eq(u32::MAX));
}
