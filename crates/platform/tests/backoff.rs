//! Exponential backoff with jitter.

use std::time::Instant;

use googletest::prelude::*;
use mulberryyoke_platform::Backoff;
use rand::SeedableRng;
use rand::rngs::StdRng;

#[gtest]
fn delays_double_up_to_the_maximum_with_jitter() {
    let mut rng = StdRng::seed_from_u64(1);
    let now = Instant::now();
    let mut backoff = Backoff::new(100, 1_000);
    let mut delays = Vec::new();
    for bound_ms in [100, 200, 400, 800, 1_000, 1_000] {
        let delay_ms = (backoff.next(now, &mut rng) - now).as_millis();
        expect_that!(delay_ms, all![ge(bound_ms / 2), le(bound_ms)]);
        delays.push(delay_ms);
    }
    expect_that!(delays[4], not(eq(delays[5])));
    backoff.reset();
    expect_that!((backoff.next(now, &mut rng) - now).as_millis(), le(100));
}

#[gtest]
fn delays_stay_bounded_after_many_failures() {
    let mut rng = StdRng::seed_from_u64(2);
    let now = Instant::now();
    let mut backoff = Backoff::new(100, 1_000);
    for _ in 0..100 {
        backoff.next(now, &mut rng);
    }
    let delay = backoff.next(now, &mut rng) - now;
    expect_that!(delay.as_millis(), all![ge(500), le(1_000)]);
}
