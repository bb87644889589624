//! Fitted time to first token of a pool.

use googletest::prelude::*;
use mulberryyoke_decide::engine::{Engine, Latency};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// A pool of servers of which `slow` run at 0.55 of the usual speed.
struct Pool {
    fixed_ms: f64,
    tokens_per_ms: f64,
    slow: f64,
}

const SECOND_FLEET: Pool = Pool {
    fixed_ms: 63.0,
    tokens_per_ms: 92.1,
    slow: 0.0,
};

impl Pool {
    /// The latency fitted to `count` prompts of these lengths, a third of which found one of
    /// their kind queued.
    fn observed(&self, latency: &mut Latency, lengths: &[u32], count: u32, rng: &mut ChaCha8Rng) {
        for _ in 0..count {
            let own = lengths[rng.random_range(0..lengths.len())];
            let own = own * rng.random_range(50..150) / 100;
            let ahead = if rng.random_range(0..3) == 0 { own } else { 0 };
            let speed = if rng.random::<f64>() < self.slow {
                0.55
            } else {
                1.0
            };
            let ms = self.fixed_ms + f64::from(own + ahead) / self.tokens_per_ms;
            let jitter_ms = rng.random_range(0.0..4.0);
            latency.record(own + ahead, ms / speed + jitter_ms);
        }
    }
}

#[gtest]
fn rate_and_fixed_part_of_each_fleet_are_found() {
    // Guards against counting a long fixed part as prefill: 60 ms before the first token of short
    // prompts made 92 tokens per ms look like 40.
    let table = [
        ("second fleet", SECOND_FLEET, vec![800, 2_400]),
        (
            "first fleet",
            Pool {
                fixed_ms: 9.0,
                tokens_per_ms: 64.2,
                slow: 0.0,
            },
            vec![800, 2_400, 12_000],
        ),
        (
            "fast servers",
            Pool {
                fixed_ms: 20.0,
                tokens_per_ms: 350.0,
                slow: 0.0,
            },
            vec![800, 12_000, 40_000],
        ),
    ];
    for (name, pool, lengths) in table {
        for seed in 0..20 {
            let mut rng = ChaCha8Rng::seed_from_u64(seed);
            let mut latency = Latency::default();
            pool.observed(&mut latency, &lengths, 150, &mut rng);
            let rate = latency.tokens_per_ms();
            expect_that!(
                rate,
                near(pool.tokens_per_ms, 0.2 * pool.tokens_per_ms),
                "{name}, seed {seed}"
            );
            expect_that!(
                latency.fixed_ms(),
                near(pool.fixed_ms + 2.0, 6.0),
                "{name}, seed {seed}"
            );
        }
    }
}

#[gtest]
fn waits_behind_short_prompts_are_not_overestimated() {
    // At an estimate of 40 tokens per ms, the wait behind 20 prompts of 800 tokens was 400 ms
    // instead of 174, and prompts with an objective of 500 ms were rejected.
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut engine = Engine::new(64, 300_000);
    for _ in 0..150 {
        let tokens = [800, 2_400][rng.random_range(0..2)] * rng.random_range(50..150) / 100;
        let ms = 63.0 + f64::from(tokens) / 92.1;
        engine.pool_stats.record_first_token(tokens, ms);
    }
    engine.others.prefill_tokens = 16_000;
    expect_that!(engine.wait_ms(), all!(ge(139.0), le(209.0)));
}

#[gtest]
fn a_quarter_of_slow_servers_leaves_the_rate_near_that_of_the_others() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let pool = Pool {
        slow: 0.25,
        ..SECOND_FLEET
    };
    let mut latency = Latency::default();
    for _ in 0..10 {
        pool.observed(&mut latency, &[800, 2_400, 12_000], 150, &mut rng);
        expect_that!(latency.tokens_per_ms(), all!(ge(60.0), le(110.0)));
    }
}

#[gtest]
fn a_stalled_server_moves_the_line_by_little() {
    let mut rng = ChaCha8Rng::seed_from_u64(2);
    let mut latency = Latency::default();
    SECOND_FLEET.observed(&mut latency, &[800, 2_400], 200, &mut rng);
    let before = latency;
    for stalled_ms in [5_000.0, 8_000.0, 30_000.0] {
        latency.record(2_400, stalled_ms);
        SECOND_FLEET.observed(&mut latency, &[800, 2_400], 10, &mut rng);
    }
    for tokens in [800, 2_400, 12_000] {
        let expected_ms = before.first_token_ms(tokens);
        expect_that!(
            latency.first_token_ms(tokens),
            near(expected_ms, 0.1 * expected_ms),
            "{tokens}"
        );
    }
}

#[gtest]
fn a_lasting_change_is_followed() {
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    let mut latency = Latency::default();
    SECOND_FLEET.observed(&mut latency, &[800, 2_400, 12_000], 200, &mut rng);
    let slower = Pool {
        tokens_per_ms: 40.0,
        ..SECOND_FLEET
    };
    slower.observed(&mut latency, &[800, 2_400, 12_000], 200, &mut rng);
    expect_that!(latency.tokens_per_ms(), near(40.0, 6.0));
}

#[gtest]
fn prompts_of_one_length_keep_their_latency_and_stay_within_bounds() {
    // Equal lengths leave the rate open; the expected time at that length must still be right.
    for (tokens, ms) in [(800, 73.0), (10_000, 520.0), (2_000, 40.0)] {
        let mut latency = Latency::default();
        for _ in 0..200 {
            latency.record(tokens, ms);
        }
        expect_that!(
            latency.first_token_ms(tokens),
            near(ms, 0.05 * ms),
            "{tokens}"
        );
    }
    for ms in [0.0, 1e9, f64::MAX] {
        let mut latency = Latency::default();
        for tokens in (0..400_u32).map(|index| index * 50) {
            latency.record(tokens, ms);
        }
        expect_that!(latency.fixed_ms(), all!(ge(5.0), le(300.0)), "{ms}");
        expect_that!(latency.tokens_per_ms(), all!(ge(5.9), le(400.1)), "{ms}");
    }
}
