//! Bounds on waiting requests.

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
fn a_customer_is_bounded_by_its_own_queue() {
    let rows = [
        ("setting of the router", None, 3),
        ("customer's own, smaller", Some(2), 2),
        ("customer's own, larger", Some(5), 5),
    ];
    for (row, queue, most) in rows {
        let mut limiter = Limiter::new(3, 100);
        for _ in 0..most {
            expect_that!(
                limiter.admit(LARGE, 1, queue),
                eq(Decision::Enqueue),
                "{row}"
            );
        }
        expect_that!(
            limiter.admit(LARGE, 1, queue),
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
            limiter.admit(LARGE, 1, queue),
            eq(Decision::Enqueue),
            "{row}"
        );
    }
}

#[gtest]
fn a_full_router_takes_from_the_customer_with_the_most_for_its_share() {
    let rows = [
        (
            "flooder asks",
            [(LARGE, 1, 9), (SMALL, 1, 1)],
            LARGE,
            1,
            Decision::RouterFull,
        ),
        (
            "small asks",
            [(LARGE, 1, 9), (SMALL, 1, 1)],
            SMALL,
            1,
            Decision::Displace(LARGE),
        ),
        (
            "newcomer asks",
            [(LARGE, 1, 9), (SMALL, 1, 1)],
            OTHER,
            1,
            Decision::Displace(LARGE),
        ),
        (
            "share counts",
            [(LARGE, 9, 9), (SMALL, 1, 1)],
            OTHER,
            1,
            Decision::RouterFull,
        ),
        (
            "larger share asks",
            [(LARGE, 1, 5), (SMALL, 5, 5)],
            SMALL,
            5,
            Decision::Displace(LARGE),
        ),
    ];
    for (row, held, customer, share, expected) in rows {
        let mut limiter = Limiter::new(100, 10);
        for (holder, share, count) in held {
            fill(&mut limiter, holder, share, count);
        }
        expect_that!(limiter.admit(customer, share, None), eq(expected), "{row}");
    }
}

#[gtest]
fn displacing_keeps_the_total() {
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
fn time_to_come_back_follows_the_drain_rate() {
    // Waiting requests, milliseconds between starts (0 for none), least and most seconds.
    let rows = [
        (0, 100, 1, 1),
        (100, 100, 9, 13),
        (1_000, 100, 90, 120),
        (5, 0, 6, 6),
        (900, 0, 120, 120),
    ];
    for (waiting, pause, least, most) in rows {
        let mut limiter = Limiter::new(u32::MAX, u32::MAX);
        let mut now = 0;
        if pause > 0 {
            for _ in 0..1_000 {
                now += pause;
                limiter.readmit(LARGE, 1);
                limiter.remove(LARGE, true, now);
            }
        }
        fill(&mut limiter, LARGE, 1, waiting);
        let seconds = limiter.retry_after(LARGE, now);
        expect_that!(
            seconds,
            all![ge(least), le(most)],
            "{waiting} waiting, {pause} ms"
        );
        expect_that!(seconds, le(MAX_RETRY_AFTER_S));
    }
}

#[gtest]
fn a_rate_forgets() {
    let mut rate = Rate::default();
    for second in 0..100 {
        rate.count(second * 1_000);
    }
    expect_that!(rate.per_second(99_000), near(1.0, 0.1));
    expect_that!(rate.per_second(119_000), lt(0.2));
    expect_that!(rate.is_stale(99_000), eq(false));
    expect_that!(rate.is_stale(300_000), eq(true));
}
