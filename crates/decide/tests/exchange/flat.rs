//! Routers that all exchange with each other.

use googletest::prelude::*;
use mulberryyoke_decide::exchange::{Cursor, Instance, Ledger, Limits};
use mulberryyoke_model::{CustomerId, Incarnation, Report, Usage};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

use crate::net::{Fate, Net, POOL, TICK_MS};

const NODES: usize = 4;
const CUSTOMERS: u32 = 6;
const MOST_TOKENS: u64 = 500;

/// Rounds after which every life that anyone has heard of is known to all.
const QUIET_ROUNDS: usize = 45;

#[derive(Clone, Copy, Debug)]
enum Step {
    Credit(usize, u32, u64),
    Exchange(usize, usize, Fate),
    DeliverLate,
    Tick,
    Restart(usize),
}

fn fate() -> impl Strategy<Value = Fate> {
    prop_oneof![
        4 => Just(Fate::Whole),
        1 => Just(Fate::RequestLost),
        1 => Just(Fate::AnswerLost),
        1 => Just(Fate::Repeated),
        1 => Just(Fate::Delayed),
    ]
}

fn step(restarts: u32) -> impl Strategy<Value = Step> {
    prop_oneof![
        8 => (0..NODES, 0..CUSTOMERS, 1..MOST_TOKENS).prop_map(|(n, c, t)| Step::Credit(n, c, t)),
        8 => (0..NODES, 1..NODES, fate()).prop_map(|(n, o, f)| Step::Exchange(n, (n + o) % NODES, f)),
        2 => Just(Step::DeliverLate),
        3 => Just(Step::Tick),
        // The first router never restarts.
        restarts => (1..NODES).prop_map(Step::Restart),
    ]
}

fn take(net: &mut Net, step: Step) {
    match step {
        Step::Credit(node, customer, tokens) => net.credit(node, customer, tokens),
        Step::Exchange(caller, other, fate) => net.exchange(caller, other, fate),
        Step::DeliverLate => net.deliver_late(),
        Step::Tick => net.tick(),
        Step::Restart(node) => net.restart(node),
    }
}

fn run(
    restarts: u32,
    limits: Limits,
    check: impl Fn(&mut Net, u64) -> std::result::Result<(), TestCaseError>,
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
        let mut net = Net::open(NODES, limits);
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
            take(&mut net, step);
        }
        rates.append(&mut since_tick);
        let fastest = rates.into_iter().max().unwrap_or(0) * 1_000 / TICK_MS;
        net.quiet(QUIET_ROUNDS);
        check(&mut net, fastest)
    });
    if let Err(error) = result {
        panic!("{error}");
    }
}

fn all_fit() -> Limits {
    Limits {
        max_entries: CUSTOMERS as usize,
        ..Limits::default()
    }
}

#[test]
fn without_restarts_every_total_is_exact() {
    run(0, all_fit(), |net, _| {
        for node in &net.nodes {
            prop_assert_eq!(&node.totals, &net.credited);
        }
        Ok(())
    });
}

#[test]
fn restarts_lose_at_most_what_nobody_had_heard() {
    run(1, all_fit(), |net, _| {
        let totals = &net.nodes[0].totals;
        for (customer, tokens) in &net.credited {
            let total = totals.get(customer).copied().unwrap_or(0);
            let ended = net.ended.get(customer).copied().unwrap_or(0);
            prop_assert!(total >= *tokens, "{total} of {tokens}");
            prop_assert!(total <= tokens + ended, "{total} of {tokens} + {ended}");
        }
        Ok(())
    });
}

#[test]
fn after_restarts_every_total_grows_alike() {
    run(1, all_fit(), |net, _| {
        let before: Vec<_> = net.nodes.iter().map(|node| node.totals.clone()).collect();
        for node in 0..NODES {
            for customer in 0..CUSTOMERS {
                net.credit(node, customer, 10 + u64::from(customer));
            }
        }
        net.quiet(3);
        for (node, before) in net.nodes.iter().zip(before) {
            for customer in 0..CUSTOMERS {
                let grown = node.totals[&customer] - before.get(&customer).copied().unwrap_or(0);
                prop_assert_eq!(grown, NODES as u64 * (10 + u64::from(customer)));
            }
        }
        Ok(())
    });
}

#[test]
fn predicted_totals_exceed_the_truth_by_a_bounded_amount() {
    let limits = Limits {
        max_entries: 2,
        max_error: 50,
        ..Limits::default()
    };
    run(0, limits, |net, fastest| {
        let ahead = limits.max_error + fastest * limits.horizon_ms / 1_000;
        for node in &net.nodes {
            for (customer, tokens) in &net.credited {
                let total = node.totals.get(customer).copied().unwrap_or(0);
                prop_assert!(total >= *tokens, "{total} of {tokens}");
                let most = tokens + (NODES as u64 - 1) * ahead;
                prop_assert!(total <= most, "{total} of {tokens}, at most {most}");
            }
        }
        Ok(())
    });
}

#[googletest::test]
fn a_partition_is_made_good_after_the_rejoin() {
    let mut net = Net::open(4, all_fit());
    net.quiet(2);
    for _ in 0..30 {
        for node in 0..4 {
            net.credit(node, 0, if node < 2 { 100 } else { 300 });
        }
        net.exchange(0, 1, Fate::Whole);
        net.exchange(2, 3, Fate::Whole);
        net.exchange(0, 2, Fate::RequestLost);
        net.tick();
    }
    expect_that!(net.nodes[1].totals[&0], eq(30 * 200));
    expect_that!(net.nodes[3].totals[&0], eq(30 * 600));
    net.quiet(1);
    for node in &net.nodes {
        expect_that!(node.totals[&0], eq(30 * 800));
    }
}

#[googletest::test]
fn what_one_peer_cannot_hear_another_passes_on() {
    let mut net = Net::open(3, all_fit());
    net.credit(0, 0, 100);
    for _ in 0..25 {
        net.exchange(0, 1, Fate::Whole);
        net.exchange(1, 2, Fate::Whole);
        net.tick();
    }
    expect_that!(net.nodes[2].totals[&0], eq(100));
}

/// Sequence number and tokens of a report, and the total after it.
type Row = (u64, u64, u64);

#[googletest::test]
fn a_report_counts_only_if_it_follows_the_one_before() {
    let usage = |tokens| Usage {
        pool: POOL,
        customer: CustomerId(1),
        tokens,
    };
    let rows: [(&str, &[Row]); 4] = [
        ("a whole life", &[(1, 10, 10), (2, 25, 25), (3, 25, 25)]),
        (
            "repeats",
            &[(1, 10, 10), (1, 10, 10), (2, 15, 15), (1, 10, 15)],
        ),
        (
            "taken over from another collector",
            &[(7, 100, 0), (8, 130, 30)],
        ),
        (
            "back from another collector",
            &[(1, 10, 10), (4, 90, 10), (5, 95, 15)],
        ),
    ];
    for (what, reports) in rows {
        let life = Instance {
            incarnation: Incarnation(1),
            started_at: 0,
        };
        let mut ledger = Ledger::new(life, Limits::default());
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
            expect_that!(total, eq(*expected), "{what}");
        }
    }
}

#[googletest::test]
fn the_totals_are_as_old_as_what_they_rest_on() {
    let mut net = Net::open(3, all_fit());
    let heard = |net: &Net| net.now - net.nodes[0].ledger.as_of(net.now);
    expect_that!(heard(&net), eq(0));
    net.credit(1, 0, 100);
    net.now += 400;
    net.exchange(0, 1, Fate::Whole);
    expect_that!(heard(&net), eq(400));
    net.now += 300;
    expect_that!(heard(&net), eq(700));
    net.exchange(0, 2, Fate::Whole);
    expect_that!(heard(&net), eq(350));
    // A peer that is not heard for long no longer counts.
    net.now += Limits::default().horizon_ms + 1;
    net.exchange(0, 2, Fate::Whole);
    expect_that!(heard(&net), eq(0));
}
