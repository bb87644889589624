//! Retry times of refused callers.

use googletest::prelude::*;
use mulberryyoke_decide::retry_after::{busy_ms, outage_ms, over_share_ms, spread};
use mulberryyoke_decide::share::{Shares, Usage};
use mulberryyoke_model::CustomerId;

const LARGE: CustomerId = CustomerId(1);
const OTHER: CustomerId = CustomerId(2);

#[gtest]
fn a_customer_above_its_share_returns_when_its_usage_has_decayed() {
    let mut shares = Shares::default();
    shares.record_request(LARGE, 100_000);
    shares.record_request(OTHER, 100_000);
    shares.record_grant(LARGE, 24_000);
    shares.rebalance(10_000.0, 0.0, 0);
    let usage = shares.usage(LARGE);
    expect_that!(usage.of_portion, gt(1.5));
    let wait_ms = over_share_ms(usage);
    expect_that!(wait_ms, gt(100.0));
    // Demand continues while the customer waits; a retry much earlier would be refused again.
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
fn the_time_for_usage_and_full_servers_is_bounded() {
    let usage = |of_portion, of_given| Usage {
        of_portion,
        of_given,
    };
    expect_that!(over_share_ms(usage(2.0, 0.0)), near(1_500.0, 0.1));
    expect_that!(over_share_ms(usage(0.0, 2.0)), near(1_500.0, 0.1));
    expect_that!(over_share_ms(usage(1.001, 1.0)), eq(100.0));
    expect_that!(over_share_ms(usage(1e9, 1.0)), eq(3_500.0));
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
