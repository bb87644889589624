//! Transfers of cached prompt parts instead of waiting at their home or prefilling them again.

use googletest::prelude::*;
use mulberryyoke_decide::engine::{
    Candidate, Choice, Engine, Load, Prompt, Source, Transfer, choose, choose_urgent,
};
use mulberryyoke_decide::share::Usage;
use mulberryyoke_decide::shed::{self, Objective};
use mulberryyoke_model::ServerId;

const MAX_PAUSE_MS: f64 = 400.0;

/// 5,400 tokens take 30 ms.
const TRANSFER: Transfer = Transfer {
    token_bytes: 163_840,
    link_mbps: 260_000,
};

/// Time at which all parts are settled that have been cached since the start.
const NOW: u64 = 10_000;

/// A prompt with a shared part of 5,400 tokens.
fn prompt() -> Prompt {
    Prompt::from_parts("m", [(5, 5_400), (0xffff, 600)], 80)
}

fn engine(backlog: u32) -> Engine {
    let mut engine = Engine::new(64, 400_000);
    engine.transfer = Some(TRANSFER);
    engine.others = Load {
        prefill_tokens: backlog,
        queued: u32::from(backlog > 0),
        running: 0,
    };
    engine
}

/// A server with this prefill backlog that has the shared part settled.
fn home(backlog: u32) -> Engine {
    let mut engine = engine(backlog);
    engine.cache.insert(&prompt().shared);
    engine.settle(&prompt().shared, 0);
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

fn chosen(engines: &[Engine]) -> Choice {
    let candidates = candidates(engines);
    choose(&prompt(), candidates.iter().copied(), MAX_PAUSE_MS, NOW).expect("servers")
}

/// The chosen server and the source.
fn route(engines: &[Engine]) -> (u32, Option<u32>) {
    let choice = chosen(engines);
    (choice.server.0, choice.fetch_from.map(|server| server.0))
}

#[gtest]
fn a_part_is_copied_once_its_home_is_busier_by_a_margin() {
    // A backlog of 6,000 tokens takes 100 ms. A copy at every short wait would evict other parts.
    let table = [
        (0, (0, None)),
        (6_000, (0, None)),
        (30_000, (1, Some(0))),
        (60_000, (1, Some(0))),
    ];
    for (backlog, expected) in table {
        expect_that!(
            route(&[home(backlog), engine(0)]),
            eq(expected),
            "{backlog}"
        );
    }
}

#[gtest]
fn a_choice_with_a_transfer_counts_its_time_and_no_prefill() {
    let choice = chosen(&[home(60_000), engine(0)]);
    expect_that!(choice.fetched, eq(5_400));
    expect_that!((choice.uncached, choice.recomputed), eq((600, 0)));
    expect_that!(choice.wait_ms, near(30.2, 0.1));
    expect_that!(choice.prefill_ms, lt(40.0));
}

#[gtest]
fn pools_without_a_link_fetch_nothing() {
    let mut engines = [home(30_000), engine(0)];
    for engine in &mut engines {
        engine.transfer = None;
    }
    expect_that!(route(&engines), eq((0, None)));
}

#[gtest]
fn a_part_that_is_only_being_prefilled_is_not_fetched() {
    // Its server has nothing to send yet, so that the receiver would prefill it again.
    let mut reading = engine(0);
    reading.record_send(&prompt(), NOW);
    reading.others.prefill_tokens = 30_000;
    expect_that!(route(&[reading.clone(), engine(0)]), eq((0, None)));
    reading.settle(&prompt().shared, NOW - 200);
    expect_that!(route(&[reading.clone(), engine(0)]), eq((0, None)));
    reading.settle(&prompt().shared, NOW - 300);
    expect_that!(route(&[reading, engine(0)]), eq((1, Some(0))));
}

#[gtest]
fn a_part_reported_by_its_server_is_settled() {
    let mut reported = engine(30_000);
    reported.cache.set_reported(prompt().part_ids);
    expect_that!(route(&[reported, engine(0)]), eq((1, Some(0))));
}

#[gtest]
fn a_part_reported_by_a_peer_settles_after_its_prefill() {
    let mut peer = engine(30_000);
    // Waiting takes 500 ms, prefill and first token 110 ms.
    peer.record_peer_prefill(&prompt().shared, NOW - 800);
    expect_that!(route(&[peer.clone(), engine(0)]), eq((0, None)));
    peer = engine(30_000);
    peer.record_peer_prefill(&prompt().shared, NOW - 1_000);
    expect_that!(route(&[peer, engine(0)]), eq((1, Some(0))));
}

#[gtest]
fn small_gaps_are_prefilled() {
    let prompt = Prompt::from_parts("m", [(5, 150), (0xffff, 600)], 80);
    let mut home = engine(60_000);
    home.cache.insert(&prompt.shared);
    home.settle(&prompt.shared, 0);
    let engines = [home, engine(0)];
    let candidates = candidates(&engines);
    let choice = choose(&prompt, candidates.iter().copied(), MAX_PAUSE_MS, NOW).expect("servers");
    expect_that!((choice.server.0, choice.fetch_from), eq((1, None)));
}

#[gtest]
fn an_unsuitable_server_is_not_a_source() {
    let engines = [home(60_000), engine(0)];
    let mut failing = candidates(&engines);
    failing[0].penalty_ms = 300.0;
    let choice = choose(&prompt(), failing.into_iter(), MAX_PAUSE_MS, NOW).expect("servers");
    expect_that!(choice.fetch_from, none());
    let mut excluded = home(60_000);
    excluded.source.exclude(NOW + 1);
    expect_that!(chosen(&[excluded, engine(0)]).fetch_from, none());
}

#[gtest]
fn transfers_to_a_server_run_one_at_a_time() {
    let mut receiver = engine(0);
    let other = Prompt::from_parts("m", [(6, 50_000), (0xffff, 600)], 80);
    receiver.record_fetch(&other, 50_000, NOW);
    expect_that!(receiver.fetch_ms(5_400, NOW), some(near(285.0, 2.0)));
    expect_that!(
        route(&[home(30_000), receiver, engine(0)]),
        eq((2, Some(0)))
    );
}

#[gtest]
fn a_fetched_part_counts_as_cached_and_settles_with_the_first_token() {
    let mut receiver = engine(0);
    receiver.record_fetch(&prompt(), 5_400, NOW);
    expect_that!(receiver.record_send(&prompt(), NOW).tokens, eq(600));
    expect_that!(receiver.cache.settled_tokens(&prompt(), NOW + 900), eq(0));
    receiver.settle(&prompt().shared, NOW + 100);
    expect_that!(
        receiver.cache.settled_tokens(&prompt(), NOW + 400),
        eq(5_400)
    );
}

#[gtest]
fn a_source_is_excluded_after_two_late_transfers_in_a_row() {
    let table: [(&[bool], bool); 4] = [
        (&[true], true),
        (&[true, false, true], true),
        (&[true, true], false),
        (&[true, true, false], false),
    ];
    for (late, is_available) in table {
        let mut source = Source::default();
        for &is_late in late {
            source.record_fetch(is_late, 1_000);
        }
        expect_that!(source.is_available(1_000), eq(is_available), "{late:?}");
        expect_that!(source.is_available(6_000), eq(true), "{late:?}");
    }
}

#[gtest]
fn a_customer_at_its_share_gets_a_copy_rather_than_a_rejection() {
    // Below a wait that a copy is worth, but above what the customer's objective allows.
    let objective = Objective {
        first_token_ms: 400.0,
        max_pause_ms: MAX_PAUSE_MS,
    };
    let usage = Usage {
        of_portion: 1.0,
        of_given: 1.0,
    };
    let admit = |engines: &[Engine]| {
        let candidates = candidates(engines);
        let admitted = shed::admit(
            &prompt(),
            candidates.iter().copied(),
            objective,
            Some(usage),
            NOW,
        );
        admitted.expect("servers").map(|choice| choice.fetched).ok()
    };
    let mut engines = [home(12_000), engine(0)];
    expect_that!(admit(&engines), some(eq(5_400)));
    for engine in &mut engines {
        engine.transfer = None;
    }
    expect_that!(admit(&engines), none());
}

#[gtest]
fn an_urgent_prompt_is_copied_rather_than_prefilled_again() {
    let engines = [home(60_000), engine(0)];
    let candidates = candidates(&engines);
    let choice = choose_urgent(&prompt(), candidates.iter().copied(), MAX_PAUSE_MS, NOW);
    expect_that!(choice.map(|choice| choice.recomputed), some(eq(0)));
}
