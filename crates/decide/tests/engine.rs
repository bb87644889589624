//! What a router believes of model servers, and which one it chooses.

use googletest::prelude::*;
use mulberryyoke_decide::engine::{
    Cache, Candidate, Engine, Load, Name, Prompt, Rate, Recent, choose,
};
use mulberryyoke_model::ServerId;

/// Longest pause of a stream on time, in milliseconds.
const PAUSE_MS: f64 = 500.0;

/// A prompt of a shared part and 500 tokens of its own.
fn prompt(shared: u64, tokens: u32) -> Prompt {
    Prompt::of("m", [(1, 100), (shared, tokens), (0xffff, 500)], 80)
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
    choose(prompt, candidates, PAUSE_MS, 0).map(|choice| choice.server.0 as usize)
}

#[gtest]
fn a_part_counts_only_with_all_parts_before_it() {
    let mut cache = Cache::new(10_000);
    cache.insert(&Prompt::of("m", [(1, 100), (2, 300), (9, 50)], 1).shared);
    let table = [
        ("m", vec![(1, 100), (2, 300), (7, 50)], 400),
        ("m", vec![(1, 100), (3, 300), (7, 50)], 100),
        ("m", vec![(2, 300), (1, 100), (7, 50)], 0),
        ("other", vec![(1, 100), (2, 300), (7, 50)], 0),
        ("m", vec![(1, 100)], 0),
        ("m", vec![], 0),
    ];
    for (model, parts, cached) in table {
        let prompt = Prompt::of(model, parts.clone(), 1);
        expect_that!(cache.cached(&prompt), eq(cached), "{model} {parts:?}");
    }
}

#[gtest]
fn the_least_recently_used_parts_yield() {
    let mut cache = Cache::new(1_000);
    let [first, second, third] = [10, 11, 12].map(|id| Prompt::of("m", [(id, 400), (0, 1)], 1));
    cache.insert(&first.shared);
    cache.insert(&second.shared);
    cache.insert(&first.shared);
    cache.insert(&third.shared);
    expect_that!(cache.cached(&first), eq(400));
    expect_that!(cache.cached(&second), eq(0));
    expect_that!(cache.cached(&third), eq(400));
}

#[gtest]
fn what_a_server_lists_counts_until_as_much_was_read_as_it_holds() {
    let mut cache = Cache::new(10_000);
    let known = Prompt::of("m", [(1, 100), (2, 300), (9, 50)], 1);
    let partly = Prompt::of("m", [(3, 100), (2, 300), (9, 50)], 1);
    cache.list([1, 2].map(|part| Name::of("m", part)));
    expect_that!(cache.cached(&known), eq(400));
    expect_that!(cache.cached(&partly), eq(0));
    cache.read(6_000);
    expect_that!(cache.cached(&known), eq(400));
    cache.insert(&partly.shared);
    cache.read(6_000);
    expect_that!(cache.cached(&known), eq(0));
    expect_that!(cache.cached(&partly), eq(400));
}

#[gtest]
fn a_prompt_goes_where_its_shared_part_is_kept_though_others_are_idle() {
    let prompt = prompt(5, 4_000);
    let (mut keeper, idle) = (engine(), engine());
    keeper.send(&prompt, 0);
    keeper.others = Load {
        unread: 30_000,
        queued: 3,
        running: 2,
    };
    expect_that!(chosen(&prompt, &[&idle, &keeper]), some(eq(1)));
}

#[gtest]
fn a_short_shared_part_is_read_again_where_nothing_waits() {
    let prompt = prompt(5, 60);
    let (mut keeper, idle) = (engine(), engine());
    keeper.send(&prompt, 0);
    keeper.others.unread = 30_000;
    expect_that!(chosen(&prompt, &[&idle, &keeper]), some(eq(0)));
}

#[gtest]
fn a_long_prompt_goes_where_it_holds_up_few_streams() {
    let streams = |running, unread| {
        let mut engine = Engine::new(32, 100_000);
        engine.others = Load {
            unread,
            queued: 0,
            running,
        };
        engine
    };
    let (full, few) = (streams(12, 0), streams(1, 6_000));
    // Reading 30,000 tokens takes about the longest pause.
    let table = [(30_000, 1), (2_000, 0)];
    for (tokens, server) in table {
        let prompt = Prompt::of("m", [(9, tokens)], 80);
        expect_that!(
            chosen(&prompt, &[&full, &few]),
            some(eq(server)),
            "{tokens}"
        );
    }
}

#[gtest]
fn what_peers_sent_counts_as_what_was_sent_here() {
    let mut loaded = engine();
    let idle = engine();
    loaded.others.unread = 50_000;
    let unshared = Prompt::of("m", [(3, 900)], 10);
    expect_that!(chosen(&unshared, &[&loaded, &idle]), some(eq(1)));
    expect_that!(loaded.wait_ms(), gt(idle.wait_ms() + 500.0));
}

#[gtest]
fn without_servers_none_is_chosen() {
    expect_that!(chosen(&prompt(5, 10), &[]), none());
}

#[gtest]
fn routers_that_know_nothing_agree_on_the_home_of_a_part() {
    let engines = [engine(), engine(), engine()];
    for shared in 0..50 {
        let prompt = prompt(shared, 2_000);
        let forward = chosen(&prompt, &[&engines[0], &engines[1], &engines[2]]);
        let again = chosen(&prompt, &[&engines[2], &engines[0], &engines[1]]);
        expect_that!(forward, eq(again));
    }
}

#[gtest]
fn counts_come_back_to_nothing() {
    let mut engine = engine();
    let prompt = prompt(5, 1_000);
    let first = engine.send(&prompt, 0);
    let second = engine.send(&prompt, 0);
    expect_that!((first, second), eq((1_600, 500)));
    expect_that!(engine.backlog(), eq(2_100));
    engine.begin(first);
    expect_that!(engine.requests(), eq(2));
    engine.end();
    engine.abandon(second);
    expect_that!(engine.own, eq(Load::default()));
}

#[gtest]
fn the_rate_follows_what_is_seen_within_bounds() {
    let mut rate = Rate::default();
    let before = rate.per_ms();
    rate.observe(100, 1_000.0);
    expect_that!(rate.per_ms(), eq(before), "too few tokens to tell");
    for _ in 0..200 {
        rate.observe(10_000, 520.0);
    }
    expect_that!(rate.per_ms(), near(20.0, 0.5));
    for _ in 0..200 {
        rate.observe(10_000, 1_000_000.0);
    }
    expect_that!(rate.per_ms(), ge(5.9));
}

#[gtest]
fn what_was_sent_fades() {
    let mut recent = Recent::default();
    recent.add(1_000, 0);
    expect_that!(recent.tokens(4_000), near(500.0, 1.0));
    recent.add(1_000, 4_000);
    expect_that!(recent.tokens(8_000), near(750.0, 1.0));
}
