//! Acceptance or rejection of prompts, and selection of plain servers.

use googletest::prelude::*;
use mulberryyoke_decide::engine::{Candidate, Choice, Engine, Load, Prompt};
use mulberryyoke_decide::plain;
use mulberryyoke_decide::share::Usage;
use mulberryyoke_decide::shed::{self, Objective, Rejection};
use mulberryyoke_model::ServerId;

const OBJECTIVE: Objective = Objective {
    first_token_ms: 1_000.0,
    max_pause_ms: 600.0,
};

/// A prompt with a shared part of 5,000 tokens and `own` unshared ones.
fn prompt(own: u32) -> Prompt {
    Prompt::from_parts("m", [(5, 5_000), (0xffff, own)], 80)
}

/// A server with this prefill backlog.
fn loaded(backlog: u32) -> Engine {
    let mut engine = Engine::new(64, 600_000);
    engine.others = Load {
        prefill_tokens: backlog,
        queued: u32::from(backlog > 0),
        running: 0,
    };
    engine
}

/// A server with the shared part of [`prompt`] cached and this prefill backlog.
fn cached(backlog: u32) -> Engine {
    let mut engine = loaded(backlog);
    engine.cache.insert(&prompt(1).shared);
    engine
}

fn admit(
    engines: &[Engine],
    own: u32,
    usage: Option<Usage>,
) -> std::result::Result<Choice, Rejection> {
    let prompt = prompt(own);
    let candidates = engines.iter().enumerate().map(|(index, engine)| Candidate {
        server: ServerId(u32::try_from(index).unwrap_or(0)),
        engine,
        penalty_ms: 0.0,
    });
    shed::admit(&prompt, candidates, OBJECTIVE, usage, 0).expect("servers")
}

/// The usage of a customer that got this fraction of its fair share.
const fn usage(of_portion: f64) -> Usage {
    Usage {
        of_portion,
        of_given: of_portion,
    }
}

#[gtest]
fn below_its_fair_share_a_prompt_is_recomputed_rather_than_rejected() {
    // At 60 tokens per millisecond, the server with the part cached is busy for 1 s.
    let engines = [loaded(0), cached(60_000)];
    let table = [(0.0, Some(0)), (0.9, Some(0)), (1.0, None), (2.0, None)];
    for (of_portion, server) in table {
        let admitted = admit(&engines, 20_000, Some(usage(of_portion)));
        let chosen = admitted.ok().map(|choice| choice.server.0);
        expect_that!(chosen, eq(server), "{of_portion}");
    }
}

#[gtest]
fn a_prompt_stays_with_its_cached_part_within_the_objective() {
    let engines = [loaded(0), cached(12_000)];
    let admitted = admit(&engines, 2_000, Some(usage(0.1)));
    expect_that!(admitted.map(|choice| choice.server.0), ok(eq(1)));
}

#[gtest]
fn the_accepted_wait_shrinks_with_a_customers_usage() {
    // Prefill backlog of the only server, and for each usage whether a prompt of 5,000 tokens
    // is accepted.
    let table = [
        (0, [true, true, true, true]),
        (12_000, [true, true, false, false]),
        (40_000, [true, false, false, false]),
        (60_000, [false, false, false, false]),
    ];
    for (backlog, accepted) in table {
        let admitted = [0.5, 1.0, 1.6, 3.0].map(|of_portion| {
            let engines = [cached(backlog)];
            admit(&engines, 5_000, Some(usage(of_portion))).is_ok()
        });
        expect_that!(admitted, eq(accepted), "{backlog}");
    }
}

#[gtest]
fn the_retry_delay_is_the_excess_latency_within_bounds() {
    let table = [(60_000, 183.0), (55_000, 100.0), (600_000, 1_500.0)];
    for (backlog, retry_ms) in table {
        let rejection = admit(&[cached(backlog)], 3_800, Some(usage(0.5))).expect_err("refused");
        expect_that!(rejection.retry_after_ms, near(retry_ms, 1.0), "{backlog}");
    }
}

#[gtest]
fn a_prompt_without_usage_is_always_accepted() {
    expect_that!(admit(&[cached(600_000)], 5_000, None), ok(anything()));
}

#[gtest]
fn plain_requests_prefer_few_requests_the_same_zone_and_no_failures() {
    let candidate = |server, requests, is_same_zone, penalty_ms| plain::Candidate {
        server: ServerId(server),
        requests,
        slots: 6,
        slowdown: 1.0,
        is_same_zone,
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
        let chosen = plain::choose(candidates.into_iter(), plain::Service::default());
        expect_that!(chosen, eq(server.map(ServerId)));
    }
}

#[gtest]
fn a_customer_above_its_share_can_still_meet_the_objective_when_it_retries() {
    // Guards against times after which the first answer would come late however idle the servers:
    // the objective counts from the first attempt.
    for of_portion in [1.3, 2.0, 5.0] {
        let rejection = admit(&[cached(6_000)], 400, Some(usage(of_portion)));
        let rejection = rejection.expect_err("contended servers");
        let in_time_ms = OBJECTIVE.first_token_ms - rejection.choice.prefill_ms;
        expect_that!(rejection.retry_after_ms, le(in_time_ms), "{of_portion}");
        expect_that!(rejection.retry_after_ms, ge(100.0), "{of_portion}");
    }
}
