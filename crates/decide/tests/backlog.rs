//! A gateway's own prompts in flight at a model server.

use googletest::prelude::*;
use mulberryyoke_decide::engine::{Candidate, Engine, Position, Prompt, choose};
use mulberryyoke_model::{Millis, ServerId};

/// An unshared prompt.
fn prompt(tokens: u32) -> Prompt {
    Prompt::from_parts("m", [(9, tokens)], 80)
}

/// A server that prefills 60 tokens per ms and takes 20 ms more to the first token.
fn engine() -> Engine {
    Engine::new(64, 300_000)
}

fn chosen(engines: &[&Engine], now: Millis) -> Option<u32> {
    let candidates = engines.iter().zip(0..).map(|(&engine, id)| Candidate {
        server: ServerId(id),
        engine,
        penalty_ms: 0.0,
    });
    choose(&prompt(800), candidates, 400.0, now).map(|choice| choice.server.0)
}

#[gtest]
fn prefill_is_counted_down_in_order() {
    let mut engine = engine();
    let first = engine.record_send(&prompt(6_000), 1_000);
    let second = engine.record_send(&prompt(6_000), 1_000);
    let table = [
        (1_000, 12_000),
        (1_050, 9_000),
        (1_100, 6_000),
        (1_150, 3_000),
        (1_200, 0),
        (1_300, 0),
    ];
    for (now, tokens) in table {
        engine.advance(now);
        expect_that!(engine.backlog(), eq(tokens), "{now}");
    }
    expect_that!(engine.requests(), eq(2));
    engine.record_first_token(first);
    engine.record_abort(second);
    expect_that!((engine.own.queued, engine.own.running), eq((0, 1)));
}

#[gtest]
fn gateways_that_send_at_the_same_time_count_down_what_the_server_prefills() {
    // In a burst, gateways learn of each other's prompts after sending their own. With a countdown
    // at full speed by each of them, 6% of the replay's requests after a reconnect were late.
    let mut gateways = [engine(), engine(), engine()];
    for gateway in &mut gateways {
        gateway.record_send(&prompt(20_000), 0);
    }
    for now in (0..=500).step_by(20) {
        for gateway in &mut gateways {
            gateway.advance(now);
        }
        let own: Vec<u32> = gateways
            .iter()
            .map(|gateway| gateway.own.prefill_tokens)
            .collect();
        let all: u32 = own.iter().sum();
        for (gateway, own) in gateways.iter_mut().zip(&own) {
            gateway.others.prefill_tokens = all - own;
        }
        // The first interval passes before anyone knows of the others.
        let expected = 60_000_u32.saturating_sub(60 * u32::try_from(now).unwrap_or(0));
        expect_that!(f64::from(all), near(f64::from(expected), 2_500.0), "{now}");
    }
}

#[gtest]
fn a_first_token_ends_the_prefill_at_once() {
    let mut engine = engine();
    let first = engine.record_send(&prompt(6_000), 0);
    let _second = engine.record_send(&prompt(3_000), 0);
    engine.advance(50);
    engine.record_first_token(first);
    expect_that!(engine.backlog(), eq(3_000));
    // A repeated end changes nothing.
    engine.record_abort(first);
    expect_that!(engine.backlog(), eq(3_000));
}

#[gtest]
fn short_prompts_do_not_count_while_only_the_fixed_part_is_left() {
    // Second fleet: prompts of 800 tokens take 9 ms of prefill and 63 ms more to the first token.
    // Counted in full to the first token, one every 20 ms appeared as a backlog of 2,400 tokens.
    let mut engine = engine();
    for _ in 0..200 {
        engine.pool_stats.record_first_token(800, 71.7);
        engine.pool_stats.record_first_token(2_400, 89.1);
    }
    let mut in_flight: Vec<(Millis, Position)> = Vec::new();
    let mut largest = 0;
    for now in (0..2_000).step_by(20) {
        engine.advance(now);
        in_flight.retain(|&(sent_at, position)| {
            let is_waiting = now < sent_at + 72;
            if !is_waiting {
                engine.record_first_token(position);
                engine.record_completion();
            }
            is_waiting
        });
        largest = largest.max(engine.backlog());
        in_flight.push((now, engine.record_send(&prompt(800), now)));
    }
    expect_that!(largest, le(400));
}

#[gtest]
fn a_stalled_server_is_avoided_until_its_first_token() {
    let (mut stalled, idle) = (engine(), engine());
    let position = stalled.record_send(&prompt(800), 0);
    // Prefill of 13 ms, 20 ms more, and a tolerance.
    stalled.advance(60);
    expect_that!(stalled.wait_ms(), eq(0.0));
    stalled.advance(572);
    expect_that!(stalled.wait_ms(), near(500.0, 3.0));
    expect_that!(stalled.queue_ms(), eq(0.0), "no sign of contention");
    expect_that!(chosen(&[&stalled, &idle], 572), some(eq(1)));
    stalled.advance(60_000);
    expect_that!(stalled.wait_ms(), eq(2_000.0), "bounded");
    stalled.record_first_token(position);
    expect_that!(stalled.wait_ms(), eq(0.0));
}

#[gtest]
fn a_single_stuck_prompt_does_not_make_its_server_look_stalled() {
    // Otherwise the only server of a pool rejects everyone until the stuck request times out.
    let mut engine = engine();
    engine.record_send(&prompt(800), 0);
    let second = engine.record_send(&prompt(800), 400);
    engine.advance(440);
    expect_that!(engine.wait_ms(), ge(300.0));
    engine.record_first_token(second);
    expect_that!(engine.wait_ms(), eq(0.0));
    engine.advance(5_000);
    expect_that!(engine.wait_ms(), eq(0.0));
}

#[gtest]
fn a_prompt_behind_others_is_not_overdue_while_they_are_prefilled() {
    let mut engine = engine();
    engine.others.prefill_tokens = 60_000;
    engine.record_send(&prompt(800), 0);
    engine.advance(1_100);
    expect_that!(engine.wait_ms(), near(1_000.0, 1.0));
}

#[gtest]
fn a_prompt_whose_parts_are_fetched_is_not_overdue_or_prefilled_meanwhile() {
    // Otherwise each transfer that takes longer than the tolerance marks its server as stalled.
    let mut engine = engine();
    let position = engine.record_send(&prompt(6_000), 0);
    engine.delay(position, 500.0);
    engine.advance(400);
    expect_that!(engine.wait_ms(), near(100.0, 1.0), "only the prefill");
    // Expected are 500 ms for the transfer, 120 ms for the rest, and a tolerance of 60 ms.
    engine.advance(680);
    expect_that!(engine.wait_ms(), eq(0.0));
    engine.advance(1_180);
    expect_that!(engine.wait_ms(), near(500.0, 3.0));
}

#[gtest]
fn unobserved_first_tokens_are_not_overdue() {
    let mut engine = engine();
    let position = engine.record_send(&prompt(800), 0);
    engine.set_unobserved(position);
    engine.advance(60_000);
    expect_that!(engine.wait_ms(), eq(0.0));
}
