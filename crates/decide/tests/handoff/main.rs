//! One caller's load before nodes of very different sizes, replayed with today's way alone and
//! with connections that are handed on.

#![allow(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss,
    reason = "some seconds in milliseconds, and what is counted in them"
)]

mod node;
mod zone;

use googletest::prelude::*;
use mulberryyoke_decide::handoff::{Trigger, candidates, targets};

use crate::zone::{Caller, Way, Zone};

/// Thousandths of a processor of the nodes of a zone: two large and nine small ones.
const MIXED: [u32; 11] = [500, 500, 90, 90, 90, 90, 90, 90, 90, 90, 90];

/// Requests a second of a caller that overloads a small node and no large one.
const HEAVY: f64 = 270.0;

/// Seconds that are played.
const SECONDS: u64 = 40;

fn heavy() -> Vec<Caller> {
    let light = (1..30).map(|id| Caller {
        id,
        rate: 1.0,
        from_ms: 0,
    });
    let heavy = Caller {
        id: 0,
        rate: HEAVY,
        from_ms: 0,
    };
    light.chain([heavy]).collect()
}

#[gtest]
fn only_nodes_with_twice_as_much_of_a_processor_are_handed_connections() {
    let nodes = [(1, 500), (2, 90), (3, 180), (4, 179), (5, 500)];
    let found = targets(90, nodes.into_iter());
    expect_that!(found, eq(&[1, 3, 5]));
    expect_that!(targets(500, nodes.into_iter()), is_empty());
}

#[gtest]
fn each_larger_node_gets_its_part_and_another_is_asked_where_one_cannot() {
    let targets = [1, 3, 5];
    let first = (0..99).filter_map(|drawn| candidates(&targets, drawn).next());
    let mut parts = [0; 6];
    first.for_each(|target| parts[target] += 1);
    expect_that!(parts, eq([0, 33, 0, 33, 0, 33]));
    for drawn in 0..9 {
        let two: Vec<usize> = candidates(&targets, drawn).collect();
        expect_that!(two.len(), eq(2));
        expect_that!(two[0], not(eq(two[1])));
    }
    expect_that!(candidates(&[7], 3).collect::<Vec<usize>>(), eq(&[7]));
    expect_that!(candidates(&[0_u8; 0], 3).count(), eq(0));
}

#[gtest]
fn a_node_hands_on_as_long_as_it_is_behind_and_seconds_beyond() {
    let mut behind = Trigger::default();
    behind.record_delay(9, 1_000);
    expect_that!(behind.until(), eq(0));
    behind.record_delay(10, 2_000);
    behind.record_delay(0, 2_050);
    expect_that!(behind.until(), eq(5_000));
}

#[gtest]
fn a_heavy_caller_is_served_within_five_seconds_and_stays_so() {
    for seed in 0..20 {
        let played = Zone::new(&MIXED, seed).play(&heavy(), Way::HandOn, SECONDS);
        expect_that!(played.on_time_after(5_000), ge(0.95), "seed {seed}");
        expect_that!(played.unconnected, eq(0), "seed {seed}");
    }
    // With readiness alone the caller goes from one small node to the next.
    let alone = (0..20).map(|seed| Zone::new(&MIXED, seed).play(&heavy(), Way::Today, SECONDS));
    let served: f64 = alone.map(|played| played.on_time_after(5_000)).sum::<f64>() / 20.0;
    expect_that!(served, lt(0.95));
}

#[gtest]
fn nine_heavy_callers_share_the_large_nodes() {
    let callers: Vec<Caller> = (0..9)
        .map(|id| Caller {
            id,
            rate: 130.0,
            from_ms: 0,
        })
        .collect();
    let mean = |way| {
        let played = (0..10).map(|seed| Zone::new(&MIXED, seed).play(&callers, way, SECONDS));
        played
            .map(|played| played.on_time_after(5_000))
            .sum::<f64>()
            / 10.0
    };
    expect_that!(mean(Way::HandOn), ge(0.95));
    expect_that!(mean(Way::HandOn), gt(mean(Way::Today)));
}

#[gtest]
fn a_caller_that_comes_later_is_taken_up_as_well() {
    for seed in 0..10 {
        let callers = [
            Caller {
                id: 0,
                rate: 60.0,
                from_ms: 0,
            },
            Caller {
                id: 1,
                rate: HEAVY,
                from_ms: 20_000,
            },
        ];
        let played = Zone::new(&MIXED, seed).play(&callers, Way::HandOn, SECONDS);
        expect_that!(played.on_time_after(25_000), ge(0.95), "seed {seed}");
    }
}

/// Where all nodes are small nobody is handed anything, and it is as it was.
#[gtest]
fn in_a_zone_of_small_nodes_nothing_changes() {
    for seed in 0..5 {
        let play = |way| Zone::new(&[90; 6], seed).play(&heavy(), way, SECONDS);
        let (today, on) = (play(Way::Today), play(Way::HandOn));
        expect_that!(on.on_time_after(0), eq(today.on_time_after(0)));
        expect_that!(on.handed_on, eq(0));
    }
}

#[gtest]
fn light_callers_are_served_where_they_are() {
    let light: Vec<Caller> = (0..30)
        .map(|id| Caller {
            id,
            rate: 10.0,
            from_ms: 0,
        })
        .collect();
    for seed in 0..5 {
        let played = Zone::new(&MIXED, seed).play(&light, Way::HandOn, SECONDS);
        expect_that!(played.handed_on * 20, le(played.asked), "seed {seed}");
        expect_that!(played.on_time_after(0), ge(0.99), "seed {seed}");
    }
}
