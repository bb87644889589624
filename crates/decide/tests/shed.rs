//! Whether a prompt is sent, where, and when its caller should come back.

use googletest::prelude::*;
use mulberryyoke_decide::engine::{Candidate, Choice, Engine, Load, Prompt};
use mulberryyoke_decide::plain;
use mulberryyoke_decide::share::Usage;
use mulberryyoke_decide::shed::{self, Objective, Rejection};
use mulberryyoke_model::ServerId;

const AIM: Objective = Objective {
    first_token_ms: 1_000.0,
    max_pause_ms: 600.0,
};

/// A prompt of a shared part of 5,000 tokens and some of its own.
fn prompt(own: u32) -> Prompt {
    Prompt::from_parts("m", [(5, 5_000), (0xffff, own)], 80)
}

/// A server that has tokens to read.
fn loaded(unread: u32) -> Engine {
    let mut engine = Engine::new(64, 600_000);
    engine.others = Load {
        prefill_tokens: unread,
        queued: u32::from(unread > 0),
        running: 0,
    };
    engine
}

/// A server that keeps the shared part of [`prompt`] and has tokens to read.
fn keeper(unread: u32) -> Engine {
    let mut engine = loaded(unread);
    engine.cache.insert(&prompt(1).shared);
    engine
}

fn place(
    engines: &[Engine],
    own: u32,
    standing: Option<Usage>,
) -> std::result::Result<Choice, Rejection> {
    let prompt = prompt(own);
    let candidates = engines.iter().enumerate().map(|(index, engine)| Candidate {
        server: ServerId(u32::try_from(index).unwrap_or(0)),
        engine,
        penalty_ms: 0.0,
    });
    shed::admit(&prompt, candidates, AIM, standing, 0).expect("servers")
}

/// The standing of a customer that was given this part of its portion.
const fn standing(of_portion: f64) -> Usage {
    Usage {
        of_portion,
        of_given: of_portion,
    }
}

#[gtest]
fn who_has_less_than_its_portion_goes_to_an_idle_server_rather_than_be_refused() {
    // 60 tokens a millisecond: the keeper would begin after 1 s.
    let engines = [loaded(0), keeper(60_000)];
    let table = [(0.0, Some(0)), (0.9, Some(0)), (1.0, None), (2.0, None)];
    for (of_portion, server) in table {
        let placed = place(&engines, 20_000, Some(standing(of_portion)));
        let chosen = placed.ok().map(|choice| choice.server.0);
        expect_that!(chosen, eq(server), "{of_portion}");
    }
}

#[gtest]
fn where_the_keeper_is_in_time_nothing_is_read_again() {
    let engines = [loaded(0), keeper(12_000)];
    let placed = place(&engines, 2_000, Some(standing(0.1)));
    expect_that!(placed.map(|choice| choice.server.0), ok(eq(1)));
}

#[gtest]
fn the_more_of_its_portion_a_customer_has_the_less_its_prompts_may_wait() {
    // Unread tokens before a prompt of 5,000 tokens on the only server, and up to which
    // standing it is sent.
    let table = [
        (0, [true, true, true, true]),
        (12_000, [true, true, false, false]),
        (40_000, [true, false, false, false]),
        (60_000, [false, false, false, false]),
    ];
    for (unread, sent) in table {
        let placed = [0.5, 1.0, 1.6, 3.0].map(|of_portion| {
            let engines = [keeper(unread)];
            place(&engines, 5_000, Some(standing(of_portion))).is_ok()
        });
        expect_that!(placed, eq(sent), "{unread}");
    }
}

#[gtest]
fn who_is_refused_comes_back_when_the_excess_is_read_within_bounds() {
    let table = [(60_000, 183.0), (55_000, 100.0), (600_000, 1_500.0)];
    for (unread, retry_ms) in table {
        let held = place(&[keeper(unread)], 3_800, Some(standing(0.5))).expect_err("refused");
        expect_that!(held.retry_after_ms, near(retry_ms, 1.0), "{unread}");
    }
}

#[gtest]
fn what_may_have_run_is_sent_however_much_waits() {
    expect_that!(place(&[keeper(600_000)], 5_000, None), ok(anything()));
}

#[gtest]
fn plain_requests_go_to_the_server_with_the_fewest_rather_near_and_sound() {
    let candidate = |server, requests, is_near, penalty_ms| plain::Candidate {
        server: ServerId(server),
        requests,
        is_same_zone: is_near,
        penalty_ms,
    };
    let table = [
        (vec![], None),
        (
            vec![candidate(1, 2, true, 0.0), candidate(2, 1, false, 0.0)],
            Some(2),
        ),
        (
            vec![candidate(1, 1, false, 0.0), candidate(2, 1, true, 0.0)],
            Some(2),
        ),
        (
            vec![candidate(1, 0, true, 300.0), candidate(2, 9, false, 0.0)],
            Some(2),
        ),
    ];
    for (candidates, server) in table {
        let chosen = plain::choose(candidates.into_iter());
        expect_that!(chosen, eq(server.map(ServerId)));
    }
}
