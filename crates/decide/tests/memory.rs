//! Prompts that fit into the memory of few servers or of none.

use googletest::prelude::*;
use mulberryyoke_decide::engine::{
    Candidate, Choice, Engine, Load, MAX_CANDIDATES, PoolStats, Prompt, shortlist,
};
use mulberryyoke_decide::share::Usage;
use mulberryyoke_decide::shed::{self, Objective, Rejection};
use mulberryyoke_model::ServerId;

const MEMORY: u32 = 475_145;

const OBJECTIVE: Objective = Objective {
    first_token_ms: 4_000.0,
    max_pause_ms: f64::INFINITY,
};

/// A prompt with a shared part of 5,400 tokens, and `tokens` in all.
fn prompt(tokens: u32) -> Prompt {
    Prompt::from_parts("m", [(5, 5_400), (0xffff, tokens - 5_400)], 400)
}

/// A server that runs this number of prompts of 54,600 tokens, each with 200 of output.
fn running(prompts: u32) -> Engine {
    let mut engine = Engine::new(64, MEMORY);
    for _ in 0..prompts {
        engine.reserve(&prompt(54_600));
        engine.own.running += 1;
    }
    engine
}

fn candidates(engines: &[Engine]) -> Vec<Candidate<'_>> {
    let candidates = engines.iter().zip(0..).map(|(engine, id)| Candidate {
        server: ServerId(id),
        engine,
        penalty_ms: 0.0,
    });
    candidates.collect()
}

fn admit(
    engines: &[Engine],
    tokens: u32,
    usage: Option<Usage>,
) -> std::result::Result<Choice, Rejection> {
    let candidates = candidates(engines);
    let candidates = candidates.iter().copied();
    shed::admit(&prompt(tokens), candidates, OBJECTIVE, usage, 0).expect("servers")
}

#[gtest]
fn a_prompt_goes_to_a_server_with_room_rather_than_to_its_cached_part() {
    // Beyond its memory a server preempts requests in mid-stream, or crashes.
    let mut home = running(8);
    home.cache.insert(&prompt(6_000).shared);
    let engines = [home, running(0)];
    let table = [(6_000, 0), (36_000, 0), (37_000, 1), (54_600, 1)];
    for (tokens, server) in table {
        let admitted = admit(&engines, tokens, Some(Usage::default()));
        expect_that!(
            admitted.map(|choice| choice.server.0),
            ok(eq(server)),
            "{tokens}"
        );
    }
}

#[gtest]
fn a_prompt_that_fits_nowhere_is_rejected_until_room_is_expected() {
    // Eight prompts take 438,400 tokens and end within 2 s on average; 18,055 more are needed.
    let engines = [running(9), running(8)];
    let rejection = admit(&engines, 54_600, Some(Usage::default())).expect_err("no room");
    expect_that!(rejection.choice.server, eq(ServerId(1)));
    expect_that!(rejection.retry_after_ms, near(100.0, 20.0));
    expect_that!(
        (rejection.lacks_room(), rejection.is_too_large()),
        eq((true, false))
    );
    let mut slow = engines;
    let mut stats = PoolStats::default();
    for _ in 0..300 {
        stats.record_hold(16_000.0);
    }
    for engine in &mut slow {
        engine.pool_stats = stats;
    }
    let rejection = admit(&slow, 54_600, Some(Usage::default())).expect_err("no room");
    expect_that!(rejection.retry_after_ms, near(659.0, 10.0));
}

#[gtest]
fn a_prompt_larger_than_the_memory_is_never_admitted() {
    let engines = [running(0), running(0)];
    let table = [
        (MEMORY - 1, Some(false)),
        (MEMORY, Some(true)),
        (900_000, Some(true)),
    ];
    for (tokens, is_too_large) in table {
        let mut patient = OBJECTIVE;
        patient.first_token_ms = 60_000.0;
        let candidates = candidates(&engines);
        let admitted = shed::admit(
            &prompt(tokens),
            candidates.iter().copied(),
            patient,
            Some(Usage::default()),
            0,
        );
        let is_rejected = match admitted.expect("servers") {
            Ok(_) => Some(false),
            Err(rejection) => Some(rejection.is_too_large()),
        };
        expect_that!(is_rejected, eq(is_too_large), "{tokens}");
    }
}

#[gtest]
fn a_request_that_may_have_run_is_not_rejected_for_memory() {
    for tokens in [54_600, 900_000] {
        let admitted = admit(&[running(9), running(8)], tokens, None);
        expect_that!(admitted, ok(anything()), "{tokens}");
    }
}

#[gtest]
fn requests_of_other_gateways_take_memory() {
    let mut busy = running(0);
    let others = Load {
        prefill_tokens: 0,
        queued: 0,
        running: 230,
    };
    busy.set_others(others, 1_000);
    let admitted = admit(&[busy.clone(), running(0)], 54_600, Some(Usage::default()));
    expect_that!(admitted.map(|choice| choice.server.0), ok(eq(1)));
    // Long queued prompts of others show in their prefill backlog.
    let others = Load {
        prefill_tokens: 440_000,
        queued: 8,
        running: 0,
    };
    busy.set_others(others, 2_000);
    expect_that!(busy.memory.free(), lt(54_600));
}

#[gtest]
fn servers_without_known_memory_have_room() {
    let engines = [Engine::new(64, 0)];
    expect_that!(
        admit(&engines, 54_600, Some(Usage::default())),
        ok(anything())
    );
}

#[gtest]
fn the_shortlist_contains_servers_with_room() {
    // More servers have the part cached than the shortlist has room for, and all are full.
    let mut engines = vec![running(9); 40];
    for engine in &mut engines {
        engine.cache = running(0).cache;
        engine.cache.insert(&prompt(54_600).shared);
    }
    engines[30] = running(0);
    for seed in 0..20 {
        let candidates = candidates(&engines);
        let shortlist = shortlist(&prompt(54_600), candidates.into_iter(), seed);
        expect_that!(shortlist.len(), eq(MAX_CANDIDATES));
        let has_room = shortlist
            .iter()
            .any(|candidate| candidate.server == ServerId(30));
        expect_that!(has_room, eq(true), "{seed}");
    }
}
