//! Choice of a server and the budget of retries.

use googletest::prelude::*;
use mulberryyoke_decide::placement::{Candidate, PromptPrefix, choose, two_random_choices};
use mulberryyoke_decide::retry::Budget;
use mulberryyoke_model::{CustomerId, ServerId};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;

const ACME: CustomerId = CustomerId(1);

fn candidate(server: u32, same_zone: bool, free_slots: u32) -> Candidate {
    Candidate {
        server: ServerId(server),
        same_zone,
        free_slots,
        slots: 8,
        running: 0,
    }
}

#[gtest]
fn a_free_server_is_chosen_near_first_then_by_free_slots() {
    let rows = [
        ("none", vec![], None),
        (
            "none free",
            vec![candidate(1, true, 0), candidate(2, false, 0)],
            None,
        ),
        (
            "only one free",
            vec![candidate(1, true, 0), candidate(2, false, 1)],
            Some(2),
        ),
        (
            "near first",
            vec![candidate(1, false, 8), candidate(2, true, 1)],
            Some(2),
        ),
        (
            "most free",
            vec![candidate(1, true, 2), candidate(2, true, 3)],
            Some(2),
        ),
    ];
    for (row, candidates, expected) in rows {
        expect_that!(
            choose(&candidates, None),
            eq(expected.map(ServerId)),
            "{row}"
        );
    }
}

#[gtest]
fn a_warm_server_goes_first_but_never_idles_another() {
    let servers: Vec<u32> = (1..=5).collect();
    let prefix = PromptPrefix::of(ACME, b"You are a helpful assistant");
    let warm = prefix
        .preferred_server(servers.iter().copied().map(ServerId))
        .unwrap();
    let free = |busy: Option<ServerId>| -> Vec<Candidate> {
        let all = servers
            .iter()
            .map(|&server| candidate(server, server != warm.0, 2));
        all.map(|mut candidate| {
            if Some(candidate.server) == busy {
                candidate.free_slots = 0;
            }
            candidate
        })
        .collect()
    };
    expect_that!(choose(&free(None), Some(prefix)), some(eq(warm)));
    let other = choose(&free(Some(warm)), Some(prefix));
    expect_that!(other, some(not(eq(warm))));
}

#[gtest]
fn prefixes_spread_over_servers_and_stay() {
    let servers = || (0..8).map(ServerId);
    let mut counts = [0; 8];
    for number in 0..800_u32 {
        let prefix = PromptPrefix::of(ACME, &number.to_le_bytes());
        let warm = prefix.preferred_server(servers()).unwrap();
        counts[warm.0 as usize] += 1;
        // A server that leaves moves only its own prefixes.
        let without = servers().filter(|server| *server != ServerId(0));
        let after = prefix.preferred_server(without).unwrap();
        expect_that!(after == warm || warm == ServerId(0), eq(true));
    }
    expect_that!(counts, each(all![gt(50), lt(150)]));
    let other = PromptPrefix::of(CustomerId(2), &1_u32.to_le_bytes());
    expect_that!(other, not(eq(PromptPrefix::of(ACME, &1_u32.to_le_bytes()))));
}

#[gtest]
fn the_baseline_takes_the_less_loaded_of_two() {
    let mut rng = ChaCha8Rng::seed_from_u64(7719);
    let candidates = [candidate(1, true, 0), candidate(2, true, 8)];
    let mut counts = [0, 0];
    for _ in 0..1_000 {
        let server = two_random_choices(&candidates, &mut rng).unwrap();
        counts[server.0 as usize - 1] += 1;
    }
    // The loaded one only when it is drawn twice: a quarter.
    expect_that!(counts[0], all![gt(200), lt(300)]);
    expect_that!(two_random_choices(&[], &mut rng), none());
}

#[gtest]
fn retries_stay_within_the_budget() {
    // Percent, first attempts, retries then allowed.
    let rows = [(10, 0, 10), (10, 1_000, 10), (0, 1_000, 0), (100, 3, 10)];
    for (percent, firsts, allowed) in rows {
        let mut budget = Budget::new(percent);
        for _ in 0..firsts {
            budget.deposit();
        }
        let spent = (0..1_000).filter(|_| budget.try_withdraw()).count();
        expect_that!(
            spent,
            eq(allowed),
            "{percent} percent, {firsts} first attempts"
        );
    }
}

#[gtest]
fn a_fault_costs_at_most_the_stated_part() {
    let mut budget = Budget::new(10);
    let mut retries = 0;
    for _ in 0..1_000 {
        budget.deposit();
        if budget.try_withdraw() {
            retries += 1;
        }
    }
    // Ten at first, and one for each ten first attempts; the very first adds
    // nothing to the full budget.
    expect_that!(retries, eq(10 + 99));
    expect_that!(budget.available(), eq(0));
}
