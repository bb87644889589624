//! What sidecars are told of waiting requests.

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

/// How many of some servers are told while so many customers wait.
fn told(interest: &Interest, count: u32, customers: usize, now: u64) -> usize {
    let open = servers(count);
    let told = open
        .iter()
        .filter(|&&server| is_target(interest, 0, server, &open, customers, now));
    told.count()
}

#[gtest]
fn a_few_sidecars_are_told_of_a_few_requests_and_more_as_they_wait() {
    let rows = [
        ("one", [0, 1, 0], 12, 0, FANOUT_PER_REQUEST),
        ("two", [1, 1, 0], 12, 0, 2 * FANOUT_PER_REQUEST),
        ("many", [0, 100, 0], 12, 0, 12),
        (
            "shortly before",
            [0, 1, 0],
            12,
            FANOUT_DOUBLING_MS - 1,
            FANOUT_PER_REQUEST,
        ),
        (
            "after a step",
            [0, 1, 0],
            12,
            FANOUT_DOUBLING_MS,
            2 * FANOUT_PER_REQUEST,
        ),
        (
            "after two",
            [0, 1, 0],
            12,
            2 * FANOUT_DOUBLING_MS,
            12.min(4 * FANOUT_PER_REQUEST),
        ),
        ("for ever", [0, 1, 0], 12, u64::MAX / 2, 12),
        ("one server", [0, 1, 0], 1, 0, 1),
    ];
    for (row, waiting, servers, waited, expected) in rows {
        let told = told(&interest(waiting), servers, 100, 1_000 + waited);
        expect_that!(told, eq(expected), "{row}");
    }
}

#[gtest]
fn the_fewer_customers_wait_the_more_sidecars_know_of_each() {
    for (customers, expected) in [(1, 12), (2, 12), (8, 6), (12, FANOUT_PER_REQUEST), (0, 12)] {
        let told = told(&interest([0, 1, 0]), 12, customers, 1_000);
        expect_that!(told, eq(expected), "{customers} customers");
    }
}

#[gtest]
fn who_is_told_changes_with_the_salt_and_spreads() {
    let few = interest([0, 1, 0]);
    let open = servers(12);
    let mut counts = [0; 12];
    for salt in 0..600 {
        for server in &open {
            let is_told = is_target(&few, salt, *server, &open, 100, 1_000);
            counts[server.0 as usize] += u32::from(is_told);
        }
    }
    // 600 times 4 of 12.
    expect_that!(counts, each(all![gt(160), lt(240)]));
}

#[gtest]
fn counts_are_told_when_they_differ_enough() {
    let rows = [
        ("something", [0, 0, 0], [0, 0, 1], true),
        ("nothing", [0, 1, 0], [0, 0, 0], true),
        ("nothing still", [0, 0, 0], [0, 0, 0], false),
        ("a little less", [0, 4, 0], [0, 2, 0], false),
        ("much less", [0, 4, 0], [0, 1, 0], true),
        ("a little more", [0, 1, 0], [0, 3, 0], false),
        ("much more", [0, 1, 0], [0, 4, 0], true),
        ("other classes", [0, 3, 1], [0, 1, 3], false),
        ("something urgent", [0, 9, 0], [1, 8, 0], true),
        ("nothing urgent", [1, 9, 0], [0, 9, 0], true),
    ];
    for (row, before, now, expected) in rows {
        let mut told = DeclaredDemand::default();
        told.update(vec![interest(before)]);
        let news = told.update(vec![interest(now)]);
        expect_that!(!news.is_empty(), eq(expected), "{row}");
    }
}

#[gtest]
fn changes_too_small_to_tell_add_up() {
    let mut told = DeclaredDemand::default();
    told.update(vec![interest([0, 40, 0])]);
    let waiting = (0..=39_u16).rev();
    let news = waiting.filter(|&count| !told.update(vec![interest([0, count, 0])]).is_empty());
    expect_that!(news.collect::<Vec<_>>(), eq(&vec![10, 2, 0]));
    expect_that!(told.customers().count(), eq(0));
}

/// A sidecar that has reserved slots for all that it was told of knows of nothing.
#[gtest]
fn a_sidecar_that_has_used_up_what_it_knows_is_told_of_the_rest() {
    let rows = [([0, 3, 0], 3, [0, 1, 0]), ([1, 1, 0], 2, [0, 1, 0])];
    for (before, grants, now) in rows {
        let mut told = DeclaredDemand::default();
        told.update(vec![interest(before)]);
        for _ in 0..grants {
            told.record_grant(ACME);
        }
        expect_that!(told.contains(ACME), eq(false), "{before:?}");
        let news = told.update(vec![interest(now)]);
        expect_that!(news, elements_are![eq(&interest(now))], "{before:?}");
    }
}
