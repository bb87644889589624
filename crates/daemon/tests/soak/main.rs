//! A randomised soak: real gateways on loopback before stand-ins of the platform, with
//! faults injected from outside; what callers and servers saw is held against the promises.
//!
//! `cargo test --release -p mulberryyoked --test soak` plays the seeds of [`SEEDS`]. By hand:
//! `SOAK_SEEDS=100..150 SOAK_GATES=3 SOAK_CALLERS=24 SOAK_JOBS=4` before it.

#[path = "../../../../platform/tests/standin/backend.rs"]
mod backend;
#[path = "../../../../platform/tests/standin/caller.rs"]
#[allow(dead_code, reason = "other tests use the rest")]
mod caller;
#[path = "../../../../platform/tests/standin/operator.rs"]
mod forms;
#[path = "../../../../platform/tests/standin/store.rs"]
#[allow(dead_code, reason = "other tests use the rest")]
mod store;

mod audit;
mod fault_log;
mod gateway;
mod load;
mod operator;
mod plan;
mod proxy;
mod run;

use std::collections::BTreeMap;

use futures::StreamExt;
use futures::stream::iter;

/// Seeds that are played in each run of the tests: those that failed once, with a line on
/// their cause, and some that turned red when a mechanism was switched off.
const SEEDS: [(u64, &str); 5] = [
    (
        203,
        "leaving servers given new work; not-run said of what may have run",
    ),
    (
        207,
        "only the first configuration applied; not-run said of what may have run",
    ),
    (208, "keys honoured with an old configuration"),
    (212, "retries without a budget"),
    (
        4003,
        "servers that say they leave given new work; rest that a server asked for not kept",
    ),
];

/// Gateways, callers and seeds at once, unless the environment says otherwise.
const DEFAULT_GATEWAYS: usize = 3;
const DEFAULT_CALLERS: usize = 16;
const DEFAULT_JOBS: usize = 4;

fn number(name: &str, usual: usize) -> usize {
    let text = std::env::var(name).ok();
    text.and_then(|text| text.parse().ok()).unwrap_or(usual)
}

fn seeds() -> Vec<u64> {
    let Ok(text) = std::env::var("SOAK_SEEDS") else {
        return SEEDS.iter().map(|(seed, _)| *seed).collect();
    };
    let (first, last) = text.split_once("..").expect("SOAK_SEEDS is FIRST..LAST");
    let bound = |text: &str| text.parse().expect("SOAK_SEEDS has numbers");
    (bound(first)..bound(last)).collect()
}

#[test]
fn the_promises_hold_while_faults_overlap() {
    let (gateways, callers) = (
        number("SOAK_GATES", DEFAULT_GATEWAYS),
        number("SOAK_CALLERS", DEFAULT_CALLERS),
    );
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build();
    let outcomes = runtime.expect("a runtime").block_on(async {
        let runs = iter(seeds()).map(|seed| async move {
            let outcome = run::execute(seed, gateways, callers).await;
            println!(
                "seed {seed}: {} requests, {} served, {} findings",
                outcome.requests,
                outcome.served,
                outcome.audit.findings.len()
            );
            (seed, outcome)
        });
        runs.buffer_unordered(number("SOAK_JOBS", DEFAULT_JOBS))
            .collect::<Vec<_>>()
            .await
    });
    let mut faults: BTreeMap<String, usize> = BTreeMap::new();
    let mut checked: BTreeMap<&str, u64> = BTreeMap::new();
    let mut failed = Vec::new();
    for (seed, outcome) in &outcomes {
        for (fault, count) in &outcome.faults {
            *faults.entry(fault.clone()).or_default() += count;
        }
        for (promise, count) in &outcome.audit.checked {
            *checked.entry(promise).or_default() += count;
        }
        if outcome.audit.findings.is_empty() {
            // Logs are kept for the seeds that failed.
            let _ = std::fs::remove_dir_all(&outcome.logs);
            continue;
        }
        failed.push(*seed);
        println!(
            "seed {seed}, logs in {}; again: SOAK_SEEDS={seed}..{}",
            outcome.logs.display(),
            seed + 1
        );
        for finding in outcome.audit.findings.iter().take(8) {
            println!("  {finding}");
        }
    }
    println!("faults {faults:?}");
    println!("checks {checked:?}");
    assert!(failed.is_empty(), "seeds that failed: {failed:?}");
}
