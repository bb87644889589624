//! Pauses between attempts.

use std::time::Instant;

use googletest::prelude::*;
use mulberryyoke_platform::Backoff;
use rand::SeedableRng;
use rand::rngs::StdRng;

#[gtest]
fn pauses_double_up_to_a_bound_and_vary() {
    let mut rng = StdRng::seed_from_u64(1);
    let now = Instant::now();
    let mut backoff = Backoff::new(100, 1_000);
    let mut pauses = Vec::new();
    for bound_ms in [100, 200, 400, 800, 1_000, 1_000] {
        let pause_ms = (backoff.next(now, &mut rng) - now).as_millis();
        expect_that!(pause_ms, all![ge(bound_ms / 2), le(bound_ms)]);
        pauses.push(pause_ms);
    }
    expect_that!(pauses[4], not(eq(pauses[5])));
    backoff.reset();
    expect_that!((backoff.next(now, &mut rng) - now).as_millis(), le(100));
}

#[gtest]
fn pauses_stay_bounded_after_many_failures() {
    let mut rng = StdRng::seed_from_u64(2);
    let now = Instant::now();
    let mut backoff = Backoff::new(100, 1_000);
    for _ in 0..100 {
        backoff.next(now, &mut rng);
    }
    let pause = backoff.next(now, &mut rng) - now;
    expect_that!(pause.as_millis(), all![ge(500), le(1_000)]);
}
