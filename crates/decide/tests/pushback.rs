//! Servers that ask for rest, and what comes back after it.

use googletest::prelude::*;
use mulberryyoke_decide::pushback::{MAX_DELAY_MS, PROBE_INTERVAL_MS, Pushback, retry_after_ms};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

fn asked(rests: &[(u64, u64)]) -> Pushback {
    let mut rest = Pushback::default();
    for (now, rest_ms) in rests {
        rest.extend(*rest_ms, *now);
    }
    rest
}

#[gtest]
fn what_is_asked_holds_within_reason_and_is_lengthened_only() {
    // What is asked and when, and until when nothing is sent.
    let table: [(&[(u64, u64)], u64); 6] = [
        (&[], 0),
        (&[(100, 0)], 0),
        (&[(100, 3_000)], 3_100),
        (&[(100, 3_000), (600, 500)], 3_100),
        (&[(100, 3_000), (600, 4_000)], 4_600),
        (&[(100, u64::MAX)], 100 + MAX_DELAY_MS),
    ];
    for (rests, until) in table {
        let rest = asked(rests);
        if let Some(before) = until.checked_sub(1) {
            expect_that!(rest.is_active(before), eq(true), "{rests:?}");
            expect_that!(rest.wait_ms(before), eq(1), "{rests:?}");
        }
        expect_that!(rest.is_active(until), eq(false), "{rests:?}");
        expect_that!(rest.wait_ms(until), eq(0), "{rests:?}");
    }
}

#[gtest]
fn after_it_one_request_at_a_time_is_tried_until_one_is_answered() {
    let mut rest = asked(&[(0, 1_000)]);
    expect_that!(
        rest.record_response(500),
        eq(false),
        "it was asked before the rest"
    );
    expect_that!(rest.wait_ms(500), eq(500));
    rest.record_send(1_000);
    expect_that!(rest.wait_ms(1_001), eq(PROBE_INTERVAL_MS - 1));
    rest.record_send(1_000 + PROBE_INTERVAL_MS);
    expect_that!(
        rest.wait_ms(1_001 + PROBE_INTERVAL_MS),
        eq(PROBE_INTERVAL_MS - 1)
    );
    expect_that!(rest.record_response(1_002 + PROBE_INTERVAL_MS), eq(true));
    expect_that!(rest.wait_ms(1_002 + PROBE_INTERVAL_MS), eq(0));
    expect_that!(
        rest.record_response(1_003 + PROBE_INTERVAL_MS),
        eq(false),
        "it takes them"
    );
}

/// Requests a second, before, in and after the rest.
const PER_S: u64 = 200;

/// Time for which every server rests, and what is replayed, in milliseconds.
const REST_MS: u64 = 3_000;
const REPLAY_MS: u64 = 10_000;

/// Requests that the servers take in a second, and those that may wait for it.
const TAKEN_PER_S: f64 = 300.0;
const MOST_WAITING: f64 = 90.0;

/// Requests that are refused once more after the rest, and the most that come in a tenth of a
/// second, when those refused come back as `retry` says.
fn replay(mut retry: impl FnMut(u64) -> u64) -> (u64, usize) {
    let sent = (0..REPLAY_MS).step_by(usize::try_from(1_000 / PER_S).expect("a step"));
    let returns = sent.map(|at| match REST_MS.checked_sub(at) {
        Some(wait_ms) if wait_ms > 0 => (at + retry(wait_ms), true),
        _ => (at, false),
    });
    let mut arrivals: Vec<(u64, bool)> = returns.collect();
    arrivals.sort_unstable();
    let (mut waiting, mut last, mut refused) = (0.0, REST_MS, 0);
    for &(at, is_return) in &arrivals {
        #[expect(clippy::cast_precision_loss, reason = "some seconds in milliseconds")]
        let taken = (at - last) as f64 * TAKEN_PER_S / 1_000.0;
        waiting = f64::max(waiting - taken, 0.0);
        last = at;
        if waiting < MOST_WAITING {
            waiting += 1.0;
        } else {
            refused += u64::from(is_return);
        }
    }
    let tenths = arrivals.chunk_by(|a, b| a.0 / 100 == b.0 / 100);
    (refused, tenths.map(<[_]>::len).max().unwrap_or(0))
}

#[gtest]
fn those_refused_in_a_rest_do_not_come_back_together() {
    let mut rng = StdRng::seed_from_u64(1);
    let spread = replay(|wait_ms| u64::from(retry_after_ms(wait_ms, rng.random())));
    let half = replay(|wait_ms| wait_ms + rng.random_range(0..wait_ms / 2 + 500));
    let together = replay(|wait_ms| wait_ms);
    // At most four times what comes in a tenth of a second otherwise.
    let most = usize::try_from(4 * PER_S / 10).expect("some requests");
    expect_that!(spread.1, le(most));
    expect_that!(spread.0, lt(half.0), "{spread:?} {half:?} {together:?}");
    expect_that!(half.0, lt(together.0), "{spread:?} {half:?} {together:?}");
    println!("refused again, most in a tenth: {spread:?}, {half:?}, {together:?}");
}

#[gtest]
fn nobody_is_asked_back_before_the_first_rest_is_over() {
    for drawn in [0.0, 0.5, 1.0] {
        expect_that!(retry_after_ms(700, drawn), ge(700));
    }
    expect_that!(retry_after_ms(u64::MAX, 1.0), eq(u32::MAX));
}
