//! Estimated state of model servers, and selection of one for a prompt.

use googletest::prelude::*;
use mulberryyoke_decide::engine::{
    Cache, Candidate, DecayedTokens, Engine, Footprint, Load, MAX_CANDIDATES, PartId, PoolStats,
    Prompt, choose, shortlist,
};
use mulberryyoke_model::ServerId;

/// Longest acceptable pause of a stream.
const MAX_PAUSE_MS: f64 = 500.0;

/// A prompt with a shared part and 500 unshared tokens.
fn prompt(shared: u64, tokens: u32) -> Prompt {
    Prompt::from_parts("m", [(1, 100), (shared, tokens), (0xffff, 500)], 80)
}

fn engine() -> Engine {
    Engine::new(8, 100_000)
}

fn chosen(prompt: &Prompt, engines: &[&Engine]) -> Option<usize> {
    let candidates = engines.iter().enumerate().map(|(index, engine)| Candidate {
        server: ServerId(u32::try_from(index).unwrap_or(0)),
        engine,
        penalty_ms: 0.0,
    });
    choose(prompt, candidates, MAX_PAUSE_MS, 0).map(|choice| choice.server.0 as usize)
}

#[gtest]
fn a_part_is_cached_only_with_all_parts_before_it() {
    let mut cache = Cache::new(10_000);
    cache.insert(&Prompt::from_parts("m", [(1, 100), (2, 300), (9, 50)], 1).shared);
    let table = [
        ("m", vec![(1, 100), (2, 300), (7, 50)], 400),
        ("m", vec![(1, 100), (3, 300), (7, 50)], 100),
        ("m", vec![(2, 300), (1, 100), (7, 50)], 0),
        ("other", vec![(1, 100), (2, 300), (7, 50)], 0),
        ("m", vec![(1, 100)], 0),
        ("m", vec![], 0),
    ];
    for (model, parts, cached) in table {
        let prompt = Prompt::from_parts(model, parts.clone(), 1);
        expect_that!(
            cache.cached_tokens(&prompt),
            eq(cached),
            "{model} {parts:?}"
        );
    }
}

#[gtest]
fn the_least_recently_used_parts_are_evicted() {
    let mut cache = Cache::new(1_000);
    let [first, second, third] =
        [10, 11, 12].map(|id| Prompt::from_parts("m", [(id, 400), (0, 1)], 1));
    cache.insert(&first.shared);
    cache.insert(&second.shared);
    cache.insert(&first.shared);
    cache.insert(&third.shared);
    expect_that!(cache.cached_tokens(&first), eq(400));
    expect_that!(cache.cached_tokens(&second), eq(0));
    expect_that!(cache.cached_tokens(&third), eq(400));
}

#[gtest]
fn unshared_tokens_evict_parts_that_are_not_used_meanwhile() {
    // Prompts with unshared parts push shared ones out of a server's cache; estimates that count
    // shared tokens alone expect them to be cached for good.
    let mut cache = Cache::new(10_000);
    let [unused, used] = [10, 11].map(|id| Prompt::from_parts("m", [(id, 400), (0, 1)], 1));
    cache.insert(&unused.shared);
    for _ in 0..6 {
        cache.insert(&used.shared);
        cache.record_unshared(1_500.0);
    }
    expect_that!(cache.cached_tokens(&unused), eq(400), "9,800 tokens fit");
    cache.insert(&used.shared);
    cache.record_unshared(300.0);
    expect_that!(cache.cached_tokens(&unused), eq(0));
    expect_that!(cache.cached_tokens(&used), eq(400));
}

#[gtest]
fn running_requests_take_cache_space_until_they_end() {
    let mut engine = Engine::new(8, 10_000);
    let [first, second] = [10, 11].map(|id| Prompt::from_parts("m", [(id, 4_000), (0, 1)], 1));
    engine.cache.insert(&first.shared);
    let large = Prompt::from_parts("m", [(0, 7_000)], 100);
    let reservation = engine.reserve(&large);
    expect_that!(reservation.tokens, eq(7_050));
    expect_that!(engine.cache.cached_tokens(&first), eq(0));
    engine.release(reservation, true);
    engine.cache.insert(&second.shared);
    expect_that!(engine.cache.cached_tokens(&second), eq(4_000));
    expect_that!(engine.memory.taken(), eq(0));
}

#[gtest]
fn requests_of_other_gateways_age_cached_parts() {
    // Other gateways' prompts are not known one by one. Their requests end at their number
    // divided by their duration: eight in 2 s, with 1,000 unshared tokens each.
    let mut engine = Engine::new(64, 60_000);
    let cached = Prompt::from_parts("m", [(10, 4_000), (0, 1)], 1);
    engine.cache.insert(&cached.shared);
    let others = Load {
        prefill_tokens: 0,
        queued: 0,
        running: 8,
    };
    for now in (1_000..9_500).step_by(500) {
        engine.set_others(others, now);
        expect_that!(engine.cache.cached_tokens(&cached), eq(4_000), "{now}");
    }
    expect_that!(engine.memory.taken(), eq(16_000));
    engine.set_others(others, 12_000);
    expect_that!(engine.cache.cached_tokens(&cached), eq(0));
}

#[gtest]
fn expected_output_follows_observations_and_weakly_the_hint() {
    let mut footprint = Footprint::default();
    for _ in 0..300 {
        footprint.record_output(40, 400);
    }
    let mut prompt = Prompt::from_parts("m", [(0, 1_000)], 1_000);
    let table = [
        (None, 100.0),
        (Some(100), 100.0),
        (Some(200), 130.0),
        (Some(90_000), 370.0),
    ];
    for (hint, tokens) in table {
        prompt.expected_output_tokens = hint;
        expect_that!(footprint.output_tokens(&prompt), near(tokens, 1.0));
    }
}

#[gtest]
fn reported_parts_expire_after_a_full_cache_of_prefill() {
    let mut cache = Cache::new(10_000);
    let known = Prompt::from_parts("m", [(1, 100), (2, 300), (9, 50)], 1);
    let partly = Prompt::from_parts("m", [(3, 100), (2, 300), (9, 50)], 1);
    cache.set_reported([1, 2].map(|part| PartId::new("m", part)));
    expect_that!(cache.cached_tokens(&known), eq(400));
    expect_that!(cache.cached_tokens(&partly), eq(0));
    cache.record_unshared(6_000.0);
    expect_that!(cache.cached_tokens(&known), eq(400));
    cache.insert(&partly.shared);
    cache.record_unshared(6_000.0);
    expect_that!(cache.cached_tokens(&known), eq(0));
    expect_that!(cache.cached_tokens(&partly), eq(400));
}

#[gtest]
fn a_prompt_prefers_a_cached_long_part_over_an_idle_server() {
    let prompt = prompt(5, 4_000);
    let (mut cached, idle) = (engine(), engine());
    cached.record_send(&prompt, 0);
    cached.others = Load {
        prefill_tokens: 30_000,
        queued: 3,
        running: 2,
    };
    expect_that!(chosen(&prompt, &[&idle, &cached]), some(eq(1)));
}

#[gtest]
fn a_short_shared_part_is_recomputed_on_an_idle_server() {
    let prompt = prompt(5, 60);
    let (mut cached, idle) = (engine(), engine());
    cached.record_send(&prompt, 0);
    cached.others.prefill_tokens = 30_000;
    expect_that!(chosen(&prompt, &[&idle, &cached]), some(eq(0)));
}

#[gtest]
fn a_long_prompt_prefers_the_server_with_fewer_streams() {
    let streams = |running, unread| {
        let mut engine = Engine::new(32, 100_000);
        engine.others = Load {
            prefill_tokens: unread,
            queued: 0,
            running,
        };
        engine
    };
    let (full, few) = (streams(12, 0), streams(1, 6_000));
    // Prefilling 30,000 tokens takes about as long as the longest acceptable pause.
    let table = [(30_000, 1), (2_000, 0)];
    for (tokens, server) in table {
        let prompt = Prompt::from_parts("m", [(9, tokens)], 80);
        expect_that!(
            chosen(&prompt, &[&full, &few]),
            some(eq(server)),
            "{tokens}"
        );
    }
}

#[gtest]
fn load_from_other_gateways_counts() {
    let mut loaded = engine();
    let idle = engine();
    loaded.others.prefill_tokens = 50_000;
    let unshared = Prompt::from_parts("m", [(3, 900)], 10);
    expect_that!(chosen(&unshared, &[&loaded, &idle]), some(eq(1)));
    expect_that!(loaded.wait_ms(), gt(idle.wait_ms() + 500.0));
}

#[gtest]
fn no_candidates_yield_no_choice() {
    expect_that!(chosen(&prompt(5, 10), &[]), none());
}

#[gtest]
fn uncached_prompts_prefer_the_same_server_in_any_candidate_order() {
    let engines = [engine(), engine(), engine()];
    for shared in 0..50 {
        let prompt = prompt(shared, 2_000);
        let forward = chosen(&prompt, &[&engines[0], &engines[1], &engines[2]]);
        let again = chosen(&prompt, &[&engines[2], &engines[0], &engines[1]]);
        expect_that!(forward, eq(again));
    }
}

#[gtest]
fn load_returns_to_zero() {
    let mut engine = engine();
    let prompt = prompt(5, 1_000);
    let first = engine.record_send(&prompt, 0);
    let second = engine.record_send(&prompt, 0);
    expect_that!((first.tokens, second.tokens), eq((1_600, 500)));
    expect_that!(engine.backlog(), eq(2_100));
    engine.record_first_token(first);
    expect_that!(engine.requests(), eq(2));
    engine.record_completion();
    engine.record_abort(second);
    expect_that!(engine.own, eq(Load::default()));
}

#[gtest]
fn the_prefill_rate_follows_observations_within_bounds() {
    let mut stats = PoolStats::default();
    let before = stats.latency().tokens_per_ms();
    stats.record_first_token(100, 1_000.0);
    let after = stats.latency().tokens_per_ms();
    expect_that!(after, near(before, 0.05 * before), "too few tokens to tell");
    let mut stats = PoolStats::default();
    for _ in 0..200 {
        stats.record_first_token(10_000, 520.0);
    }
    expect_that!(stats.latency().tokens_per_ms(), near(20.0, 0.5));
    for _ in 0..200 {
        stats.record_first_token(10_000, 1_000_000.0);
    }
    expect_that!(stats.latency().tokens_per_ms(), ge(5.9));
}

#[gtest]
fn recent_tokens_decay() {
    let mut recent = DecayedTokens::default();
    recent.add(1_000, 0);
    expect_that!(recent.tokens(4_000), near(500.0, 1.0));
    recent.add(1_000, 4_000);
    expect_that!(recent.tokens(8_000), near(750.0, 1.0));
}

#[gtest]
fn the_wait_for_a_slot_follows_the_hold_time() {
    let mut engine = Engine::new(16, 100_000);
    let mut pace = PoolStats::default();
    for _ in 0..400 {
        pace.record_hold(3_200.0);
    }
    engine.pool_stats = pace;
    engine.others.running = 16;
    expect_that!(engine.excess_requests(), eq(1));
    expect_that!(engine.wait_ms(), near(200.0, 2.0));
    engine.others.queued = 3;
    expect_that!(engine.wait_ms(), near(800.0, 8.0));
    engine.slots = 64;
    expect_that!(engine.wait_ms(), eq(0.0));
}

#[gtest]
fn relative_speed_follows_a_slow_server() {
    let (mut engine, pace) = (Engine::new(16, 100_000), PoolStats::default());
    for _ in 0..100 {
        let pool = pace.latency();
        engine.speed.record_first_token(10_000, 520.0, pool, 0);
    }
    expect_that!(engine.first_token_ms(10_000), near(520.0, 5.0));
    for _ in 0..200 {
        let pool = pace.latency();
        engine
            .speed
            .record_first_token(10_000, 1_000_000.0, pool, 0);
    }
    expect_that!(engine.speed.ratio(0), ge(0.29));
}

/// Servers of which only `cached_on` have the shared parts of the prompt cached.
fn fleet(count: u32, prompt: &Prompt, cached_on: &[u32]) -> Vec<Engine> {
    let engine = |index| {
        let mut engine = Engine::new(16, 100_000);
        if cached_on.contains(&index) {
            engine.cache.insert(&prompt.shared);
        }
        engine
    };
    (0..count).map(engine).collect()
}

/// Ids of the shortlisted servers, sorted.
fn shortlisted(engines: &[Engine], prompt: &Prompt, seed: u64) -> Vec<u32> {
    let candidates = engines.iter().zip(0..).map(|(engine, id)| Candidate {
        server: ServerId(id),
        engine,
        penalty_ms: 0.0,
    });
    let mut chosen: Vec<u32> = shortlist(prompt, candidates, seed)
        .iter()
        .map(|candidate| candidate.server.0)
        .collect();
    chosen.sort_unstable();
    chosen
}

#[gtest]
fn the_shortlist_contains_all_servers_with_the_prompt_cached() {
    let prompt = Prompt::from_parts("m", [(1, 500), (2, 5_000), (3, 600)], 10);
    let cached_on = [17, 99, 140];
    let engines = fleet(180, &prompt, &cached_on);
    let first = shortlisted(&engines, &prompt, 1);
    expect_that!(first.len(), eq(MAX_CANDIDATES));
    for cached in &cached_on {
        expect_that!(first.contains(cached), eq(true));
    }
    let second = shortlisted(&engines, &prompt, 2);
    let both = first
        .iter()
        .filter(|server| second.contains(server))
        .count();
    // The three with the prompt cached, the preferred one, and random overlap in the other twelve.
    expect_that!(both, all!(ge(4), le(9)));
}

#[gtest]
fn few_servers_are_all_shortlisted() {
    let prompt = Prompt::from_parts("m", [(1, 500), (2, 600)], 10);
    for count in [0, 1, 9, 16] {
        let engines = fleet(count, &prompt, &[]);
        let all: Vec<u32> = (0..count).collect();
        expect_that!(shortlisted(&engines, &prompt, 5), eq(&all));
    }
}

#[gtest]
fn gateways_with_equal_estimates_spread_their_choices() {
    let engines = fleet(180, &Prompt::default(), &[]);
    let mut chosen = std::collections::HashMap::new();
    for seed in 0..300 {
        let prompt = Prompt::from_parts("m", [(seed, 900)], 10);
        let candidates = engines.iter().zip(0..).map(|(engine, id)| Candidate {
            server: ServerId(id),
            engine,
            penalty_ms: 0.0,
        });
        let some = shortlist(&prompt, candidates, seed);
        let choice = choose(&prompt, some.iter().copied(), 600.0, 0).expect("servers");
        *chosen.entry(choice.server).or_insert(0) += 1;
    }
    // Without a shortlist all 300 prompts go to one server.
    expect_that!(chosen.values().copied().max(), some(le(12)));
    expect_that!(chosen.len(), ge(100));
}
