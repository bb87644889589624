//! Declaration of waiting requests to the sidecars.

use googletest::prelude::*;
use mulberryyoke_decide::declare::{
    DeclaredDemand, FANOUT_DOUBLING_MS, FANOUT_PER_REQUEST, is_target,
};
use mulberryyoke_model::{CustomerId, Interest, ServerId};

const ACME: CustomerId = CustomerId(1);

fn interest(waiting: [u16; 3]) -> Interest {
    Interest {
        customer: ACME,
        waiting,
        cost: 1,
        since: 1_000,
    }
}

fn servers(count: u32) -> Vec<ServerId> {
    (0..count).map(ServerId).collect()
}

/// Number of servers, out of `count`, that the requests are declared to.
fn target_count(interest: &Interest, count: u32, customers: usize, now: u64) -> usize {
    let eligible = servers(count);
    let targets = eligible
        .iter()
        .filter(|&&server| is_target(interest, 0, server, &eligible, customers, now));
    targets.count()
}

#[gtest]
fn fanout_grows_with_the_number_of_requests_and_their_waiting_time() {
    let rows = [
        ("one", [0, 1, 0], 12, 0, FANOUT_PER_REQUEST),
        ("two", [1, 1, 0], 12, 0, 2 * FANOUT_PER_REQUEST),
        ("many", [0, 100, 0], 12, 0, 12),
        (
            "shortly before doubling",
            [0, 1, 0],
            12,
            FANOUT_DOUBLING_MS - 1,
            FANOUT_PER_REQUEST,
        ),
        (
            "after one doubling",
            [0, 1, 0],
            12,
            FANOUT_DOUBLING_MS,
            2 * FANOUT_PER_REQUEST,
        ),
        (
            "after two doublings",
            [0, 1, 0],
            12,
            2 * FANOUT_DOUBLING_MS,
            12.min(4 * FANOUT_PER_REQUEST),
        ),
        ("saturated", [0, 1, 0], 12, u64::MAX / 2, 12),
        ("one server", [0, 1, 0], 1, 0, 1),
    ];
    for (row, waiting, servers, waited, expected) in rows {
        let targets = target_count(&interest(waiting), servers, 100, 1_000 + waited);
        expect_that!(targets, eq(expected), "{row}");
    }
}

#[gtest]
fn fanout_grows_as_fewer_customers_wait() {
    for (customers, expected) in [(1, 12), (2, 12), (8, 6), (12, FANOUT_PER_REQUEST), (0, 12)] {
        let targets = target_count(&interest([0, 1, 0]), 12, customers, 1_000);
        expect_that!(targets, eq(expected), "{customers} customers");
    }
}

#[gtest]
fn targets_change_with_the_salt_and_are_balanced() {
    let few = interest([0, 1, 0]);
    let eligible = servers(12);
    let mut counts = [0; 12];
    for salt in 0..600 {
        for server in &eligible {
            let is_selected = is_target(&few, salt, *server, &eligible, 100, 1_000);
            counts[server.0 as usize] += u32::from(is_selected);
        }
    }
    // 4 of 12 servers for each of 600 salts: 200 each on average.
    expect_that!(counts, each(all![gt(160), lt(240)]));
}

#[gtest]
fn counts_are_declared_after_a_significant_change() {
    let rows = [
        ("first request", [0, 0, 0], [0, 0, 1], true),
        ("none left", [0, 1, 0], [0, 0, 0], true),
        ("still none", [0, 0, 0], [0, 0, 0], false),
        ("a little less", [0, 4, 0], [0, 2, 0], false),
        ("much less", [0, 4, 0], [0, 1, 0], true),
        ("a little more", [0, 1, 0], [0, 3, 0], false),
        ("much more", [0, 1, 0], [0, 4, 0], true),
        ("other classes", [0, 3, 1], [0, 1, 3], false),
        ("first urgent request", [0, 9, 0], [1, 8, 0], true),
        ("no urgent request left", [1, 9, 0], [0, 9, 0], true),
    ];
    for (row, before, now, expected) in rows {
        let mut declared = DeclaredDemand::default();
        declared.update(vec![interest(before)]);
        let changes = declared.update(vec![interest(now)]);
        expect_that!(!changes.is_empty(), eq(expected), "{row}");
    }
}

#[gtest]
fn insignificant_changes_accumulate() {
    let mut declared = DeclaredDemand::default();
    declared.update(vec![interest([0, 40, 0])]);
    let waiting = (0..=39_u16).rev();
    let changes =
        waiting.filter(|&count| !declared.update(vec![interest([0, count, 0])]).is_empty());
    expect_that!(changes.collect::<Vec<_>>(), eq(&vec![10, 2, 0]));
    expect_that!(declared.customers().count(), eq(0));
}

/// Guards against requests that stay undeclared after the sidecar has reserved
/// slots for all declared ones.
#[gtest]
fn remaining_requests_are_declared_after_the_known_ones_are_granted() {
    let rows = [([0, 3, 0], 3, [0, 1, 0]), ([1, 1, 0], 2, [0, 1, 0])];
    for (before, grants, now) in rows {
        let mut declared = DeclaredDemand::default();
        declared.update(vec![interest(before)]);
        for _ in 0..grants {
            declared.record_grant(ACME);
        }
        expect_that!(declared.contains(ACME), eq(false), "{before:?}");
        let changes = declared.update(vec![interest(now)]);
        expect_that!(changes, elements_are![eq(&interest(now))], "{before:?}");
    }
}
