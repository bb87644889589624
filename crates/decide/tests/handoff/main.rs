//! A heavy caller on nodes of very different sizes, simulated with readiness checks alone and with
//! connection handoff.

#![allow(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss,
    reason = "times and counts of a short simulation"
)]

mod node;
mod zone;

use googletest::prelude::*;
use mulberryyoke_decide::handoff::{Trigger, candidates, targets};

use crate::zone::{Caller, Relief, Zone};

/// Sizes of the nodes of a zone in thousandths of a processor: two large and nine small ones.
const MIXED_SIZES: [u32; 11] = [500, 500, 90, 90, 90, 90, 90, 90, 90, 90, 90];

/// Requests a second that overload a small node but not a large one.
const HEAVY_RATE: f64 = 270.0;

/// Length of the simulation, in seconds.
const SECONDS: u64 = 40;

fn heavy() -> Vec<Caller> {
    let light = (1..30).map(|id| Caller {
        id,
        rate: 1.0,
        from_ms: 0,
    });
    let heavy = Caller {
        id: 0,
        rate: HEAVY_RATE,
        from_ms: 0,
    };
    light.chain([heavy]).collect()
}

#[gtest]
fn only_nodes_of_at_least_twice_the_size_are_targets() {
    let nodes = [(1, 500), (2, 90), (3, 180), (4, 179), (5, 500)];
    let found = targets(90, nodes.into_iter());
    expect_that!(found, eq(&[1, 3, 5]));
    expect_that!(targets(500, nodes.into_iter()), is_empty());
}

#[gtest]
fn targets_are_used_evenly_and_a_second_one_is_tried() {
    let targets = [1, 3, 5];
    let first = (0..99).filter_map(|drawn| candidates(&targets, drawn).next());
    let mut counts = [0; 6];
    first.for_each(|target| counts[target] += 1);
    expect_that!(counts, eq([0, 33, 0, 33, 0, 33]));
    for drawn in 0..9 {
        let two: Vec<usize> = candidates(&targets, drawn).collect();
        expect_that!(two.len(), eq(2));
        expect_that!(two[0], not(eq(two[1])));
    }
    expect_that!(candidates(&[7], 3).collect::<Vec<usize>>(), eq(&[7]));
    expect_that!(candidates(&[0_u8; 0], 3).count(), eq(0));
}

#[gtest]
fn handoff_continues_for_a_hold_time_after_the_delay_drops() {
    let mut trigger = Trigger::default();
    trigger.record_delay(9, 1_000);
    expect_that!(trigger.until(), eq(0));
    trigger.record_delay(10, 2_000);
    trigger.record_delay(0, 2_050);
    expect_that!(trigger.until(), eq(5_000));
}

#[gtest]
fn a_heavy_caller_is_served_on_time_after_five_seconds() {
    for seed in 0..20 {
        let outcome = Zone::new(&MIXED_SIZES, seed).run(&heavy(), Relief::Handoff, SECONDS);
        expect_that!(outcome.on_time_after(5_000), ge(0.95), "seed {seed}");
        expect_that!(outcome.refused, eq(0), "seed {seed}");
    }
    // With readiness checks alone the caller moves from one small node to the next.
    let alone =
        (0..20).map(|seed| Zone::new(&MIXED_SIZES, seed).run(&heavy(), Relief::Readiness, SECONDS));
    let served: f64 = alone
        .map(|outcome| outcome.on_time_after(5_000))
        .sum::<f64>()
        / 20.0;
    expect_that!(served, lt(0.95));
}

#[gtest]
fn nine_heavy_callers_are_served_by_the_large_nodes() {
    let callers: Vec<Caller> = (0..9)
        .map(|id| Caller {
            id,
            rate: 130.0,
            from_ms: 0,
        })
        .collect();
    let mean = |relief| {
        let outcomes =
            (0..10).map(|seed| Zone::new(&MIXED_SIZES, seed).run(&callers, relief, SECONDS));
        outcomes
            .map(|outcome| outcome.on_time_after(5_000))
            .sum::<f64>()
            / 10.0
    };
    expect_that!(mean(Relief::Handoff), ge(0.95));
    expect_that!(mean(Relief::Handoff), gt(mean(Relief::Readiness)));
}

#[gtest]
fn a_heavy_caller_that_arrives_later_is_served_on_time() {
    for seed in 0..10 {
        let callers = [
            Caller {
                id: 0,
                rate: 60.0,
                from_ms: 0,
            },
            Caller {
                id: 1,
                rate: HEAVY_RATE,
                from_ms: 20_000,
            },
        ];
        let outcome = Zone::new(&MIXED_SIZES, seed).run(&callers, Relief::Handoff, SECONDS);
        expect_that!(outcome.on_time_after(25_000), ge(0.95), "seed {seed}");
    }
}

#[gtest]
fn without_larger_nodes_nothing_is_handed_off() {
    for seed in 0..5 {
        let run = |relief| Zone::new(&[90; 6], seed).run(&heavy(), relief, SECONDS);
        let (readiness, handoff) = (run(Relief::Readiness), run(Relief::Handoff));
        expect_that!(handoff.on_time_after(0), eq(readiness.on_time_after(0)));
        expect_that!(handoff.handed_off, eq(0));
    }
}

#[gtest]
fn light_callers_are_rarely_handed_off() {
    let light: Vec<Caller> = (0..30)
        .map(|id| Caller {
            id,
            rate: 10.0,
            from_ms: 0,
        })
        .collect();
    for seed in 0..5 {
        let outcome = Zone::new(&MIXED_SIZES, seed).run(&light, Relief::Handoff, SECONDS);
        expect_that!(outcome.handed_off * 20, le(outcome.requests), "seed {seed}");
        expect_that!(outcome.on_time_after(0), ge(0.99), "seed {seed}");
    }
}
