//! Routers in a full mesh.

use googletest::prelude::*;
use mulberryyoke_decide::exchange::{Cursor, Instance, Ledger, Limits};
use mulberryyoke_model::{CustomerId, Incarnation, Report, Usage};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

use crate::network::{Delivery, Network, POOL, TICK_MS};

const NODES: usize = 4;
const CUSTOMERS: u32 = 6;
const MAX_TOKENS: u64 = 500;

/// Rounds until all routers know every instance that any router knows.
const CONVERGENCE_ROUNDS: usize = 45;

#[derive(Clone, Copy, Debug)]
enum Step {
    Credit(usize, u32, u64),
    Exchange(usize, usize, Delivery),
    DeliverDelayed,
    Tick,
    Restart(usize),
}

fn delivery() -> impl Strategy<Value = Delivery> {
    prop_oneof![
        4 => Just(Delivery::Complete),
        1 => Just(Delivery::RequestLost),
        1 => Just(Delivery::ResponseLost),
        1 => Just(Delivery::Duplicated),
        1 => Just(Delivery::Delayed),
    ]
}

fn step(restarts: u32) -> impl Strategy<Value = Step> {
    prop_oneof![
        8 => (0..NODES, 0..CUSTOMERS, 1..MAX_TOKENS).prop_map(|(n, c, t)| Step::Credit(n, c, t)),
        8 => (0..NODES, 1..NODES, delivery()).prop_map(|(n, o, d)| Step::Exchange(n, (n + o) % NODES, d)),
        2 => Just(Step::DeliverDelayed),
        3 => Just(Step::Tick),
        // The first router never restarts.
        restarts => (1..NODES).prop_map(Step::Restart),
    ]
}

fn apply(network: &mut Network, step: Step) {
    match step {
        Step::Credit(node, customer, tokens) => network.credit(node, customer, tokens),
        Step::Exchange(caller, other, delivery) => network.exchange(caller, other, delivery),
        Step::DeliverDelayed => network.deliver_delayed(),
        Step::Tick => network.tick(),
        Step::Restart(node) => network.restart(node),
    }
}

fn run(
    restarts: u32,
    limits: Limits,
    check: impl Fn(&mut Network, u64) -> std::result::Result<(), TestCaseError>,
) {
    let config = Config {
        cases: 200,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let steps = proptest::collection::vec(step(restarts), 0..250);
    let result = runner.run(&steps, |steps| {
        let mut network = Network::new(NODES, limits);
        let mut rates = Vec::new();
        let mut since_tick = vec![0; CUSTOMERS as usize];
        for step in steps {
            match step {
                Step::Credit(_, customer, tokens) => since_tick[customer as usize] += tokens,
                Step::Tick => rates.append(&mut since_tick.clone()),
                _ => {}
            }
            if matches!(step, Step::Tick) {
                since_tick.fill(0);
            }
            apply(&mut network, step);
        }
        rates.append(&mut since_tick);
        let max_rate = rates.into_iter().max().unwrap_or(0) * 1_000 / TICK_MS;
        network.exchange_all(CONVERGENCE_ROUNDS);
        check(&mut network, max_rate)
    });
    if let Err(error) = result {
        panic!("{error}");
    }
}

fn unpredicted() -> Limits {
    Limits {
        max_entries: CUSTOMERS as usize,
        ..Limits::default()
    }
}

#[test]
fn totals_are_exact_without_restarts() {
    run(0, unpredicted(), |network, _| {
        for node in &network.nodes {
            prop_assert_eq!(&node.totals, &network.credited);
        }
        Ok(())
    });
}

#[test]
fn restarts_lose_at_most_unsent_tokens() {
    run(1, unpredicted(), |network, _| {
        let totals = &network.nodes[0].totals;
        for (customer, tokens) in &network.credited {
            let total = totals.get(customer).copied().unwrap_or(0);
            let ended = network.ended.get(customer).copied().unwrap_or(0);
            prop_assert!(total >= *tokens, "{total} of {tokens}");
            prop_assert!(total <= tokens + ended, "{total} of {tokens} + {ended}");
        }
        Ok(())
    });
}

#[test]
fn totals_grow_equally_after_restarts() {
    run(1, unpredicted(), |network, _| {
        let before: Vec<_> = network
            .nodes
            .iter()
            .map(|node| node.totals.clone())
            .collect();
        for node in 0..NODES {
            for customer in 0..CUSTOMERS {
                network.credit(node, customer, 10 + u64::from(customer));
            }
        }
        network.exchange_all(3);
        for (node, before) in network.nodes.iter().zip(before) {
            for customer in 0..CUSTOMERS {
                let grown = node.totals[&customer] - before.get(&customer).copied().unwrap_or(0);
                prop_assert_eq!(grown, NODES as u64 * (10 + u64::from(customer)));
            }
        }
        Ok(())
    });
}

#[test]
fn predicted_totals_have_bounded_error() {
    let limits = Limits {
        max_entries: 2,
        max_error: 50,
        ..Limits::default()
    };
    run(0, limits, |network, max_rate| {
        let max_error = limits.max_error + max_rate * limits.horizon_ms / 1_000;
        for node in &network.nodes {
            for (customer, tokens) in &network.credited {
                let total = node.totals.get(customer).copied().unwrap_or(0);
                prop_assert!(total >= *tokens, "{total} of {tokens}");
                let limit = tokens + (NODES as u64 - 1) * max_error;
                prop_assert!(total <= limit, "{total} of {tokens}, at most {limit}");
            }
        }
        Ok(())
    });
}

#[googletest::test]
fn totals_converge_after_a_partition_heals() {
    let mut network = Network::new(4, unpredicted());
    network.exchange_all(2);
    for _ in 0..30 {
        for node in 0..4 {
            network.credit(node, 0, if node < 2 { 100 } else { 300 });
        }
        network.exchange(0, 1, Delivery::Complete);
        network.exchange(2, 3, Delivery::Complete);
        network.exchange(0, 2, Delivery::RequestLost);
        network.tick();
    }
    expect_that!(network.nodes[1].totals[&0], eq(30 * 200));
    expect_that!(network.nodes[3].totals[&0], eq(30 * 600));
    network.exchange_all(1);
    for node in &network.nodes {
        expect_that!(node.totals[&0], eq(30 * 800));
    }
}

#[googletest::test]
fn a_peer_relays_counters_of_an_unreachable_origin() {
    let mut network = Network::new(3, unpredicted());
    network.credit(0, 0, 100);
    for _ in 0..25 {
        network.exchange(0, 1, Delivery::Complete);
        network.exchange(1, 2, Delivery::Complete);
        network.tick();
    }
    expect_that!(network.nodes[2].totals[&0], eq(100));
}

/// Sequence number and tokens of a report, and the expected total.
type Row = (u64, u64, u64);

#[googletest::test]
fn only_consecutive_reports_are_counted() {
    let usage = |tokens| Usage {
        pool: POOL,
        customer: CustomerId(1),
        tokens,
    };
    let rows: [(&str, &[Row]); 4] = [
        ("consecutive", &[(1, 10, 10), (2, 25, 25), (3, 25, 25)]),
        (
            "duplicates",
            &[(1, 10, 10), (1, 10, 10), (2, 15, 15), (1, 10, 15)],
        ),
        (
            "first report after a change of collector",
            &[(7, 100, 0), (8, 130, 30)],
        ),
        (
            "gap while reporting to another collector",
            &[(1, 10, 10), (4, 90, 10), (5, 95, 15)],
        ),
    ];
    for (name, reports) in rows {
        let instance = Instance {
            incarnation: Incarnation(1),
            started_at: 0,
        };
        let mut ledger = Ledger::new(instance, Limits::default());
        let mut cursor = Cursor::default();
        let mut total = 0;
        for (sequence, tokens, expected) in reports {
            let report = Report {
                sequence: *sequence,
                usage: vec![usage(*tokens)],
            };
            ledger.collect(Incarnation(9), &report, 0);
            if let Some(usage) = ledger.totals_since(&mut cursor).first() {
                total = usage.tokens;
            }
            expect_that!(total, eq(*expected), "{name}");
        }
    }
}

#[googletest::test]
fn totals_are_as_old_as_the_mean_of_their_sources() {
    let mut network = Network::new(3, unpredicted());
    let age = |network: &Network| network.now - network.nodes[0].ledger.as_of(network.now);
    expect_that!(age(&network), eq(0));
    network.credit(1, 0, 100);
    network.now += 400;
    network.exchange(0, 1, Delivery::Complete);
    expect_that!(age(&network), eq(400));
    network.now += 300;
    expect_that!(age(&network), eq(700));
    network.exchange(0, 2, Delivery::Complete);
    expect_that!(age(&network), eq(350));
    // A silent peer is excluded.
    network.now += Limits::default().horizon_ms + 1;
    network.exchange(0, 2, Delivery::Complete);
    expect_that!(age(&network), eq(0));
}
