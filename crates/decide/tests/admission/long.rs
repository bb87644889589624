//! Simulations of several sidecars, which assert the invariants themselves.

use googletest::prelude::*;

use crate::simulation::{Gap, Params, Simulation};

const EVENTS: u64 = 60_000;

/// Maximum cost of a simulated request, in tokens.
const MAX_COST: f64 = 4_000.0;

/// Tokens per second of one slot.
const RATE: f64 = 50.0;

/// Maximum mean relative gap over windows of 20 seconds, in which a slot runs two or
/// three requests.
const MAX_MEAN_RELATIVE_GAP: f64 = 1.0;

fn params(seed: u64) -> Params {
    Params {
        seed,
        servers: 6,
        slots: 8,
        routers: 3,
        customers: 16,
        links_per_router: 6,
        configured_servers: 6,
        assumed_lag: 1_000,
        exchange_interval: 1_000,
        faults_per_million: 0.0,
        fault_kind: None,
        underestimates: false,
    }
}

fn run(params: Params) -> (Simulation, Gap) {
    let mut simulation = Simulation::new(params);
    let mut gap = Gap::new(params.customers);
    let mut next = 20_000;
    for _ in 0..EVENTS {
        if simulation.step() >= next {
            next += 1_000;
            gap.sample(&simulation.service);
        }
    }
    (simulation, gap)
}

/// Gap bound of `docs/design/fairness.md`, in tokens per unit of share, for a
/// share of 1: the largest request of each of two customers, and the service of
/// the whole fleet within the age of the counts.
fn bound(params: Params) -> f64 {
    let slots = f64::from(params.slots) * f64::from(u32::try_from(params.servers).expect("few"));
    let age = f64::from(u32::try_from(params.exchange_interval).expect("short")) / 1_000.0 + 1.0;
    2.0 * MAX_COST + slots * RATE * age
}

#[gtest]
fn gap_stays_within_the_bound() {
    for seed in 1..=3 {
        let (simulation, gap) = run(params(seed));
        expect_that!(gap.largest().0, le(bound(params(seed))), "seed {seed}");
        expect_that!(
            gap.mean_relative_gap(20),
            le(MAX_MEAN_RELATIVE_GAP),
            "seed {seed}"
        );
        expect_that!(
            simulation.slot_usage().0,
            ge(simulation.slot_usage().1 - 8),
            "seed {seed}"
        );
    }
}

#[gtest]
fn underestimating_costs_gains_nothing() {
    let underestimated = Params {
        underestimates: true,
        ..params(4)
    };
    let (_, gap) = run(underestimated);
    expect_that!(gap.largest().0, le(bound(underestimated)));
}

#[gtest]
fn invariants_hold_under_faults() {
    for seed in 1..=4 {
        let faulty = Params {
            faults_per_million: 500.0,
            ..params(seed)
        };
        let (simulation, _) = run(faulty);
        expect_that!(simulation.faults, gt(10), "seed {seed}");
        let least = simulation.service.iter().min();
        expect_that!(least, some(gt(&0)), "seed {seed}");
    }
}

/// One million events per seed: `cargo test -- --ignored`.
#[gtest]
#[ignore = "takes long; run by hand"]
fn invariants_hold_under_faults_for_long() {
    for seed in 1..=20 {
        let faulty = Params {
            faults_per_million: 500.0,
            ..params(seed)
        };
        let mut simulation = Simulation::new(faulty);
        for _ in 0..1_000_000 {
            simulation.step();
        }
    }
}
