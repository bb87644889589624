//! Retry times of refused callers.

use googletest::prelude::*;
use mulberryyoke_decide::retry_after::{busy_ms, outage_ms, spread};
use mulberryyoke_decide::share::{Shares, Usage};
use mulberryyoke_model::CustomerId;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const LARGE: CustomerId = CustomerId(1);
const OTHER: CustomerId = CustomerId(2);

#[gtest]
fn usage_decays_to_the_share_within_the_stated_time() {
    let mut shares = Shares::default();
    shares.record_request(LARGE, 100_000);
    shares.record_request(OTHER, 100_000);
    shares.record_grant(LARGE, 24_000);
    shares.rebalance(10_000.0, 0.0, 0);
    let usage = shares.usage(LARGE);
    expect_that!(usage.of_portion, gt(1.5));
    let wait_ms = usage.decay_ms();
    expect_that!(wait_ms, gt(100.0));
    // Demand continues while the customer waits.
    let mut before = f64::MAX;
    let mut now = 0;
    while f64::from(u32::try_from(now).unwrap_or(u32::MAX)) < wait_ms {
        before = shares.usage(LARGE).of_portion;
        now += 50;
        shares.record_request(LARGE, 10_000);
        shares.record_request(OTHER, 10_000);
        shares.rebalance(10_000.0, 0.0, now);
    }
    expect_that!(shares.usage(LARGE).of_portion, le(1.0));
    expect_that!(before, ge(1.0));
}

#[gtest]
fn the_times_for_usage_and_full_servers_follow_the_excess() {
    let usage = |of_portion, of_given| Usage {
        of_portion,
        of_given,
    };
    expect_that!(usage(2.0, 0.0).decay_ms(), near(1_500.0, 0.1));
    expect_that!(usage(0.0, 2.0).decay_ms(), near(1_500.0, 0.1));
    expect_that!(usage(0.5, 0.5).decay_ms(), eq(0.0));
    expect_that!(busy_ms(183.0), eq(183.0));
    expect_that!(busy_ms(-5.0), eq(100.0));
    expect_that!(busy_ms(1e9), eq(1_500.0));
}

#[gtest]
fn the_time_grows_with_an_outage_up_to_a_bound() {
    let table = [
        (0, 200.0),
        (400, 200.0),
        (1_000, 500.0),
        (4_000, 2_000.0),
        (60_000, 3_000.0),
    ];
    for (elapsed, expected) in table {
        expect_that!(outage_ms(7, 7 + elapsed), eq(expected), "{elapsed}");
    }
    // A point in time after the current one does not count as an outage.
    expect_that!(outage_ms(9, 7), eq(200.0));
}

#[gtest]
fn a_caller_is_never_told_to_wait_longer_than_it_honours() {
    for expected in [100.0, 500.0, 3_500.0] {
        for remaining in [0, 1, 30, 900, 6_000, u64::MAX] {
            for random in [0.0, 0.3, 1.0] {
                let told = spread(expected, remaining, random);
                let context = format!("{expected} {remaining} {random}");
                expect_that!(u64::from(told), le(remaining / 3 + 1), "{context}");
                expect_that!(f64::from(told), le(expected * 1.5), "{context}");
            }
        }
    }
}

#[gtest]
fn callers_refused_together_are_spread_even_when_bounded() {
    // Without a bound, no caller returns before the expected time.
    expect_that!(spread(1_000.0, 60_000, 0.0), eq(1_000));
    expect_that!(spread(1_000.0, 60_000, 1.0), eq(1_500));
    // A third of the remaining time is 600 ms.
    expect_that!(spread(1_000.0, 1_800, 0.0), eq(400));
    expect_that!(spread(1_000.0, 1_800, 1.0), eq(600));
}

/// Callers that arrive every 50 ms at a pool that has no servers for 20 s. Each has 6 s and retries
/// up to `retries` times. Returns the number of requests during the outage and of callers served.
fn outage(retries: u32, retry_ms: impl Fn(u64, u64, f64) -> u32) -> (u32, u32) {
    const END: u64 = 20_000;
    const PATIENCE_MS: u64 = 6_000;
    let mut rng = ChaCha8Rng::seed_from_u64(4);
    let (mut refused, mut served) = (0, 0);
    for arrival in (0..END).step_by(50) {
        let (mut now, mut left) = (arrival, retries);
        loop {
            if now >= END {
                served += 1;
                break;
            }
            refused += 1;
            let remaining_ms = (arrival + PATIENCE_MS).saturating_sub(now);
            if left == 0 || remaining_ms < 100 {
                break;
            }
            left -= 1;
            now += u64::from(retry_ms(now, remaining_ms, rng.random()).max(1));
        }
    }
    (refused, served)
}

#[gtest]
fn callers_ask_less_often_during_an_outage_and_more_of_them_outlast_it() {
    let growing = |now, remaining_ms, random| spread(outage_ms(0, now), remaining_ms, random);
    let constant = |_, _, _| 200;
    // Callers that retry once: with a constant time, only those of the last 200 ms are served.
    let (_, few) = outage(1, constant);
    let (_, more) = outage(1, growing);
    expect_that!((few, more), (le(4), ge(20)));
    // Callers that retry until their time is up.
    let (often, _) = outage(u32::MAX, constant);
    let (seldom, _) = outage(u32::MAX, growing);
    expect_that!(seldom * 2, le(often), "{seldom} {often}");
}

#[gtest]
fn a_pool_is_used_within_a_second_after_an_outage() {
    // Callers that were refused during an outage of 20 s; some of them return within a second.
    let mut rng = ChaCha8Rng::seed_from_u64(5);
    let end = 20_000;
    let returns = (end - 2_000..end).step_by(50).map(|now| {
        let told = spread(outage_ms(0, now), 6_000, rng.random());
        now + u64::from(told)
    });
    let first = returns.filter(|&at| at >= end).min();
    expect_that!(first, some(le(end + 1_000)));
    // The first refusals of a later outage are short again.
    expect_that!(spread(outage_ms(30_000, 30_100), 6_000, 1.0), le(300));
}

#[gtest]
fn callers_refused_together_do_not_return_together() {
    let mut rng = ChaCha8Rng::seed_from_u64(6);
    for expected in [200.0, 1_000.0, 3_500.0] {
        let mut windows = [0; 10];
        for _ in 0..1_000 {
            let told = f64::from(spread(expected, 6_000, rng.random()));
            let base = expected.min(6_000.0 / 3.0 / 1.5);
            let index = (0..10_u32)
                .rev()
                .find(|&index| told >= base * (1.0 + f64::from(index) / 20.0) - 1.0);
            windows[index.unwrap_or(0) as usize] += 1;
        }
        // Ten windows of equal length get about a tenth of the callers each.
        expect_that!(windows, each(all![ge(50), le(150)]), "{expected}");
    }
}
