//! Placement of requests and the retry budget.

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
fn placement_prefers_the_same_zone_then_free_slots() {
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
            "same zone first",
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
fn prefix_affinity_applies_only_to_servers_with_a_free_slot() {
    let servers: Vec<u32> = (1..=5).collect();
    let prefix = PromptPrefix::of(ACME, b"You are a helpful assistant");
    let preferred = prefix
        .preferred_server(servers.iter().copied().map(ServerId))
        .unwrap();
    let free = |busy: Option<ServerId>| -> Vec<Candidate> {
        let all = servers
            .iter()
            .map(|&server| candidate(server, server != preferred.0, 2));
        all.map(|mut candidate| {
            if Some(candidate.server) == busy {
                candidate.free_slots = 0;
            }
            candidate
        })
        .collect()
    };
    expect_that!(choose(&free(None), Some(prefix)), some(eq(preferred)));
    let other = choose(&free(Some(preferred)), Some(prefix));
    expect_that!(other, some(not(eq(preferred))));
}

#[gtest]
fn prefixes_are_balanced_and_keep_their_server() {
    let servers = || (0..8).map(ServerId);
    let mut counts = [0; 8];
    for number in 0..800_u32 {
        let prefix = PromptPrefix::of(ACME, &number.to_le_bytes());
        let preferred = prefix.preferred_server(servers()).unwrap();
        counts[preferred.0 as usize] += 1;
        // Removing a server moves only its own prefixes.
        let without = servers().filter(|server| *server != ServerId(0));
        let after = prefix.preferred_server(without).unwrap();
        expect_that!(after == preferred || preferred == ServerId(0), eq(true));
    }
    expect_that!(counts, each(all![gt(50), lt(150)]));
    let other = PromptPrefix::of(CustomerId(2), &1_u32.to_le_bytes());
    expect_that!(other, not(eq(PromptPrefix::of(ACME, &1_u32.to_le_bytes()))));
}

#[gtest]
fn two_random_choices_prefers_the_less_loaded_server() {
    let mut rng = ChaCha8Rng::seed_from_u64(7719);
    let candidates = [candidate(1, true, 0), candidate(2, true, 8)];
    let mut counts = [0, 0];
    for _ in 0..1_000 {
        let server = two_random_choices(&candidates, &mut rng).unwrap();
        counts[server.0 as usize - 1] += 1;
    }
    // The loaded server is chosen only if it is drawn twice, with probability 1/4.
    expect_that!(counts[0], all![gt(200), lt(300)]);
    expect_that!(two_random_choices(&[], &mut rng), none());
}

#[gtest]
fn retries_stay_within_the_budget() {
    // Percent, first attempts, expected number of retries.
    let rows = [(10, 0, 10), (10, 1_000, 10), (0, 1_000, 0), (100, 3, 10)];
    for (percent, first_attempts, allowed) in rows {
        let mut budget = Budget::new(percent);
        for _ in 0..first_attempts {
            budget.deposit();
        }
        let spent = (0..1_000).filter(|_| budget.try_withdraw()).count();
        expect_that!(
            spent,
            eq(allowed),
            "{percent} percent, {first_attempts} first attempts"
        );
    }
}

#[gtest]
fn retries_are_limited_to_the_configured_percentage() {
    let mut budget = Budget::new(10);
    let mut retries = 0;
    for _ in 0..1_000 {
        budget.deposit();
        if budget.try_withdraw() {
            retries += 1;
        }
    }
    // The initial ten, plus one per ten first attempts, except that the first
    // attempt finds the budget already full.
    expect_that!(retries, eq(10 + 99));
    expect_that!(budget.available(), eq(0));
}
