//! Limits on queued requests.

use googletest::prelude::*;
use mulberryyoke_decide::limiter::{Decision, Limiter, MAX_RETRY_AFTER_S, Rate};
use mulberryyoke_model::CustomerId;

const LARGE: CustomerId = CustomerId(1);
const SMALL: CustomerId = CustomerId(2);
const OTHER: CustomerId = CustomerId(3);

fn fill(limiter: &mut Limiter, customer: CustomerId, share: u32, count: u32) {
    for _ in 0..count {
        limiter.readmit(customer, share);
    }
}

#[gtest]
fn queued_requests_of_a_customer_are_limited() {
    let rows = [
        ("default", None, 3),
        ("override, smaller", Some(2), 2),
        ("override, larger", Some(5), 5),
    ];
    for (row, customer_limit, max) in rows {
        let mut limiter = Limiter::new(3, 100);
        for _ in 0..max {
            expect_that!(
                limiter.admit(LARGE, 1, customer_limit),
                eq(Decision::Enqueue),
                "{row}"
            );
        }
        expect_that!(
            limiter.admit(LARGE, 1, customer_limit),
            eq(Decision::CustomerFull),
            "{row}"
        );
        expect_that!(
            limiter.admit(SMALL, 1, None),
            eq(Decision::Enqueue),
            "{row}"
        );
        limiter.remove(LARGE, true, 0);
        expect_that!(
            limiter.admit(LARGE, 1, customer_limit),
            eq(Decision::Enqueue),
            "{row}"
        );
    }
}

#[gtest]
fn a_full_router_displaces_the_customer_with_the_most_requests_per_share() {
    let rows = [
        (
            "largest customer",
            [(LARGE, 1, 9), (SMALL, 1, 1)],
            LARGE,
            1,
            Decision::RouterFull,
        ),
        (
            "small customer",
            [(LARGE, 1, 9), (SMALL, 1, 1)],
            SMALL,
            1,
            Decision::Displace(LARGE),
        ),
        (
            "new customer",
            [(LARGE, 1, 9), (SMALL, 1, 1)],
            OTHER,
            1,
            Decision::Displace(LARGE),
        ),
        (
            "largest customer within its share",
            [(LARGE, 9, 9), (SMALL, 1, 1)],
            OTHER,
            1,
            Decision::RouterFull,
        ),
        (
            "customer with a larger share",
            [(LARGE, 1, 5), (SMALL, 5, 5)],
            SMALL,
            5,
            Decision::Displace(LARGE),
        ),
    ];
    for (row, queued, customer, share, expected) in rows {
        let mut limiter = Limiter::new(100, 10);
        for (owner, share, count) in queued {
            fill(&mut limiter, owner, share, count);
        }
        expect_that!(limiter.admit(customer, share, None), eq(expected), "{row}");
    }
}

#[gtest]
fn displacement_keeps_the_total() {
    let mut limiter = Limiter::new(100, 4);
    fill(&mut limiter, LARGE, 1, 4);
    assert_that!(limiter.admit(SMALL, 1, None), eq(Decision::Displace(LARGE)));
    limiter.remove(LARGE, false, 0);
    expect_that!(
        (
            limiter.total(),
            limiter.waiting(LARGE),
            limiter.waiting(SMALL)
        ),
        eq((4, 3, 1))
    );
}

#[gtest]
fn retry_after_follows_the_drain_rate() {
    // Queued requests, milliseconds between starts (0 for none), minimum and maximum
    // seconds.
    let rows = [
        (0, 100, 1, 1),
        (100, 100, 9, 13),
        (1_000, 100, 90, 120),
        (5, 0, 6, 6),
        (900, 0, 120, 120),
    ];
    for (waiting, interval, min, max) in rows {
        let mut limiter = Limiter::new(u32::MAX, u32::MAX);
        let mut now = 0;
        if interval > 0 {
            for _ in 0..1_000 {
                now += interval;
                limiter.readmit(LARGE, 1);
                limiter.remove(LARGE, true, now);
            }
        }
        fill(&mut limiter, LARGE, 1, waiting);
        let seconds = limiter.retry_after(LARGE, now);
        expect_that!(
            seconds,
            all![ge(min), le(max)],
            "{waiting} waiting, {interval} ms"
        );
        expect_that!(seconds, le(MAX_RETRY_AFTER_S));
    }
}

#[gtest]
fn rate_decays() {
    let mut rate = Rate::default();
    for second in 0..100 {
        rate.record(second * 1_000);
    }
    expect_that!(rate.per_second(99_000), near(1.0, 0.1));
    expect_that!(rate.per_second(119_000), lt(0.2));
    expect_that!(rate.is_stale(99_000), eq(false));
    expect_that!(rate.is_stale(300_000), eq(true));
}
