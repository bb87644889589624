//! Fair sharing of scarce capacity among customers.

use std::collections::HashMap;

use googletest::prelude::*;
use mulberryyoke_decide::share::{Flow, Shares, Usage};
use mulberryyoke_model::CustomerId;

const LARGE: CustomerId = CustomerId(1);
const SMALL: CustomerId = CustomerId(2);

/// Records requested and granted tokens a second by customer, in steps of 20 ms.
fn run(shares: &mut Shares, from_s: u64, to_s: u64, flows: &[(CustomerId, u32, u32)]) {
    for step in from_s * 50..to_s * 50 {
        for &(customer, requested, granted) in flows {
            shares.record_request(customer, requested / 50);
            shares.record_grant(customer, granted / 50);
        }
        shares.rebalance(10_000.0, 0.0, step * 20);
    }
}

#[gtest]
fn usage_is_zero_while_capacity_is_sufficient() {
    let mut shares = Shares::default();
    run(
        &mut shares,
        0,
        8,
        &[(LARGE, 8_000, 8_000), (SMALL, 1_000, 1_000)],
    );
    expect_that!(shares.usage(LARGE), eq(Usage::default()));
}

#[gtest]
fn a_small_customer_is_below_its_share_and_a_large_one_at_it() {
    let mut shares = Shares::default();
    run(
        &mut shares,
        0,
        8,
        &[(LARGE, 40_000, 9_000), (SMALL, 1_000, 500)],
    );
    let (large, small) = (shares.usage(LARGE), shares.usage(SMALL));
    expect_that!(large.of_portion, near(1.0, 0.05));
    expect_that!(small.of_portion, lt(0.1));
}

#[gtest]
fn grants_beyond_the_capacity_are_shared_evenly_as_well() {
    let mut shares = Shares::default();
    let other = CustomerId(3);
    run(
        &mut shares,
        0,
        8,
        &[(LARGE, 60_000, 24_000), (other, 60_000, 6_000)],
    );
    let (large, other) = (shares.usage(LARGE), shares.usage(other));
    expect_that!(large.of_given, gt(1.2));
    expect_that!(other.of_given, lt(0.5));
}

#[gtest]
fn grants_from_before_a_shortage_stop_counting_within_seconds() {
    let mut shares = Shares::default();
    run(&mut shares, 0, 6, &[(LARGE, 9_900, 9_900)]);
    let others: Vec<_> = (10..40).map(|id| (CustomerId(id), 2_000, 330)).collect();
    let mut flows = others.clone();
    flows.push((LARGE, 9_900, 0));
    run(&mut shares, 6, 11, &flows);
    expect_that!(shares.usage(LARGE).of_portion, lt(0.8));
}

#[gtest]
fn grants_by_other_routers_count_until_replaced() {
    let mut shares = Shares::default();
    shares.record_request(LARGE, 50_000);
    let flow = Flow {
        requested: 50_000.0,
        granted: 40_000.0,
    };
    shares.set_remote(&HashMap::from([(LARGE, flow), (SMALL, flow)]));
    shares.rebalance(10_000.0, 0.0, 0);
    expect_that!(shares.usage(LARGE).of_portion, gt(1.0));
    shares.set_remote(&HashMap::new());
    shares.rebalance(10_000.0, 0.0, 0);
    expect_that!(shares.usage(LARGE).of_portion, eq(0.0));
}

#[gtest]
fn inactive_customers_are_removed() {
    let mut shares = Shares::default();
    shares.record_request(SMALL, 1_000);
    shares.rebalance(10_000.0, 0.0, 0);
    expect_that!(shares.local().count(), eq(1));
    shares.rebalance(10_000.0, 0.0, 60_000);
    expect_that!(shares.local().count(), eq(0));
}

#[gtest]
fn a_customer_with_many_times_its_share_is_told_apart_from_one_with_less() {
    // Cache hits let servers exceed the configured capacity by far.
    let (hot, newly_hot) = (CustomerId(1), CustomerId(2));
    let mut shares = Shares::default();
    for step in 0..400 {
        shares.record_request(hot, 4_000);
        shares.record_request(newly_hot, 4_000);
        shares.record_grant(hot, 2_000);
        shares.record_grant(newly_hot, 400);
        shares.rebalance(10_000.0, 300.0, step * 20);
    }
    let (hot, newly_hot) = (shares.usage(hot), shares.usage(newly_hot));
    expect_that!(hot.of_given, ge(1.6));
    expect_that!(newly_hot.of_given, le(0.4));
    expect_that!(hot.of_given / newly_hot.of_given, near(5.0, 0.2));
}
